//! The difference between two books.

use super::{Key, RuleSet};
use crate::record;

record! {
    /// The lines that a change sets and the rules that it removes.
    #[derive(Default)]
    pub struct Delta {
        /// Lines that are new or differ.
        pub lines: Vec<String>,
        /// Rules that go.
        pub removed: Vec<Key>,
    }
}

impl Delta {
    /// Returns what leads from `old` to `new`.
    pub fn between(old: &RuleSet, new: &RuleSet) -> Self {
        let same = |key: &Key, text: &str| old.lines.get(key).is_some_and(|l| l.text == text);
        let changed = new
            .lines
            .iter()
            .filter(|(key, line)| !same(key, &line.text));
        let lines = changed.map(|(_, line)| line.text.clone()).collect();
        let gone = old.lines.keys().filter(|key| !new.lines.contains_key(*key));
        let removed = gone.cloned().collect();
        Self { lines, removed }
    }

    /// Returns whether nothing differs.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty() && self.removed.is_empty()
    }

    /// Returns what the change is about, for comparing two changes.
    pub fn keys(&self) -> impl Iterator<Item = Key> {
        let parsed = self
            .lines
            .iter()
            .filter_map(|l| super::Line::parse(l).ok()?);
        let set = parsed.map(|line| line.rule.key());
        set.chain(self.removed.iter().cloned())
    }
}
