//! Checks of rules against the whole set, such as references to teams and services.

use super::{Key, Rule, RuleSet};

/// Returns the faults of a whole set of rules, each with the key of the rule that it concerns.
pub(super) fn all(rules: &RuleSet) -> Vec<(Key, String)> {
    let lines = rules.lines.values();
    let mut faults: Vec<_> = lines
        .filter_map(|line| rule_fault(rules, &line.rule))
        .collect();
    faults.extend(share_fault(rules));
    faults
}

/// Returns the faults that were introduced by changing the rules with the given keys.
pub(super) fn changed(rules: &RuleSet, keys: &[Key]) -> Vec<(Key, String)> {
    let lines = keys.iter().filter_map(|key| rules.lines.get(key));
    let mut faults: Vec<_> = lines
        .filter_map(|line| rule_fault(rules, &line.rule))
        .collect();
    faults.extend(share_fault(rules));
    faults
}

fn rule_fault(rules: &RuleSet, rule: &Rule) -> Option<(Key, String)> {
    rule_message(rules, rule).map(|message| (rule.key(), message))
}

fn share_fault(rules: &RuleSet) -> Option<(Key, String)> {
    let total: u32 = rules.priorities.values().map(|p| p.share).sum();
    let last = rules.priorities.values().next_back()?;
    let key = Rule::Priority(last.clone()).key();
    let message = format!("the shares add up to {total} percent");
    (total > 100).then_some((key, message))
}

fn rule_message(rules: &RuleSet, rule: &Rule) -> Option<String> {
    match rule {
        Rule::Team(team) => {
            let same_key = |other: &&super::Team| {
                other.key_digest == team.key_digest && other.name != team.name
            };
            let other = rules.teams.values().find(same_key)?;
            Some(format!("team {} has the same key", other.name))
        }
        Rule::Budget(budget) => {
            let known = rules.teams.contains_key(budget.name.team());
            (!known).then(|| format!("there is no team {}", budget.name.team()))
        }
        Rule::Upstream(upstream) => {
            let unknown = |name: &&_| !rules.services.contains_key(*name);
            if let Some(name) = upstream.services.iter().find(unknown) {
                return Some(format!("there is no service {name}"));
            }
            if upstream.slots == 0 {
                return Some("an upstream needs at least one slot".to_owned());
            }
            let unused = upstream.models.is_empty() && upstream.services.is_empty();
            unused.then(|| "expected models=… or services=…".to_owned())
        }
        Rule::Priority(_) | Rule::Service(_) | Rule::Setting(..) => None,
    }
}
