//! Checks that concern more than one rule.

use super::{Key, Rule, RuleSet};

/// Returns the faults of a whole book, with the rule that each is about.
pub(super) fn all(book: &RuleSet) -> Vec<(Key, String)> {
    let lines = book.lines.values();
    let mut faults: Vec<_> = lines.filter_map(|line| about(book, &line.rule)).collect();
    faults.extend(shares(book));
    faults
}

/// Returns the faults that changing some rules brought.
pub(super) fn some(book: &RuleSet, changed: &[Key]) -> Vec<(Key, String)> {
    let lines = changed.iter().filter_map(|key| book.lines.get(key));
    let mut faults: Vec<_> = lines.filter_map(|line| about(book, &line.rule)).collect();
    faults.extend(shares(book));
    faults
}

fn about(book: &RuleSet, rule: &Rule) -> Option<(Key, String)> {
    fault(book, rule).map(|message| (rule.key(), message))
}

fn shares(book: &RuleSet) -> Option<(Key, String)> {
    let shares: u32 = book.priorities.values().map(|p| p.share).sum();
    let last = book.priorities.values().next_back()?;
    let key = Rule::Priority(last.clone()).key();
    let message = format!("the shares add up to {shares} percent");
    (shares > 100).then_some((key, message))
}

fn fault(book: &RuleSet, rule: &Rule) -> Option<String> {
    match rule {
        Rule::Team(team) => {
            let same = |other: &&super::Team| {
                other.key_digest == team.key_digest && other.name != team.name
            };
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
