//! Changes of a set of rules, as sent to the admin API and stored.

use super::{Key, RuleSet};
use crate::record;

record! {
    /// A change of a set of rules: the lines that it sets and the rules that it removes.
    #[derive(Default)]
    pub struct Delta {
        /// The lines that are added, or that replace the line with the same key.
        pub lines: Vec<String>,
        /// The keys of the rules that are removed.
        pub removed: Vec<Key>,
    }
}

impl Delta {
    /// Returns the change that turns `old` into `new`.
    pub fn between(old: &RuleSet, new: &RuleSet) -> Self {
        let same = |key: &Key, text: &str| old.lines.get(key).is_some_and(|l| l.text == text);
        let changed = new
            .lines
            .iter()
            .filter(|(key, line)| !same(key, &line.text));
        let lines = changed.map(|(_, line)| line.text.clone()).collect();
        let absent = old.lines.keys().filter(|key| !new.lines.contains_key(*key));
        let removed = absent.cloned().collect();
        Self { lines, removed }
    }

    /// Returns whether the change sets and removes nothing.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty() && self.removed.is_empty()
    }

    /// Returns the keys of all rules that the change sets or removes, to find conflicting changes.
    ///
    /// Lines that can't be parsed are skipped.
    pub fn keys(&self) -> impl Iterator<Item = Key> {
        let parsed = self
            .lines
            .iter()
            .filter_map(|l| super::Line::parse(l).ok()?);
        let set = parsed.map(|line| line.rule.key());
        set.chain(self.removed.iter().cloned())
    }
}
