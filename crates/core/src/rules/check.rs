//! Checks that concern more than one rule.

use super::{Book, Key, Rule};

/// Returns the faults of a whole book, with the rule that each is about.
pub(super) fn faults(book: &Book) -> Vec<(Key, String)> {
    let mut faults = Vec::new();
    for line in book.lines.values() {
        let message = fault(book, &line.rule);
        faults.extend(message.map(|m| (line.rule.key(), m)));
    }
    let shares: u32 = book.priorities.values().map(|p| p.share).sum();
    if shares > 100 {
        let last = book.priorities.values().next_back();
        let key = last.map(|rule| Rule::Priority(rule.clone()).key());
        let message = format!("the shares add up to {shares} percent");
        faults.extend(key.map(|key| (key, message)));
    }
    faults
}

fn fault(book: &Book, rule: &Rule) -> Option<String> {
    match rule {
        Rule::Team(team) => {
            let same = |other: &&super::Team| other.key == team.key && other.name != team.name;
            let other = book.teams.values().find(same)?;
            Some(format!("team {} has the same key", other.name))
        }
        Rule::Budget(budget) => {
            let known = book.teams.contains_key(budget.name.team());
            (!known).then(|| format!("there is no team {}", budget.name.team()))
        }
        Rule::Upstream(upstream) => {
            let unknown = |name: &&_| !book.services.contains_key(*name);
            if let Some(name) = upstream.services.iter().find(unknown) {
                return Some(format!("there is no service {name}"));
            }
            if upstream.slots == 0 {
                return Some("an upstream needs at least one slot".to_owned());
            }
            let idle = upstream.models.is_empty() && upstream.services.is_empty();
            idle.then(|| "expected models=… or services=…".to_owned())
        }
        Rule::Priority(_) | Rule::Service(_) | Rule::Setting(..) => None,
    }
}
