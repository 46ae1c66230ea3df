//! The rules in force, with recent changes for peers that lag behind.

use std::collections::VecDeque;
use std::sync::Arc;

use fescue_core::Incarnation;
use fescue_core::report::Report;
use fescue_core::rules::RuleSet;
use fescue_store::config::Change;

/// The maximum number of changes kept for peers.
const MAX_CHANGES: usize = 1024;

/// The rules in force on this router.
#[derive(Debug, Default)]
pub struct Rules {
    version: u64,
    book: Arc<RuleSet>,
    /// The last changes, contiguous up to the version in force.
    changes: VecDeque<Change>,
    newest: Option<(Incarnation, u64)>,
}

/// The outcome of [`Rules::apply`].
#[derive(Debug)]
pub enum ApplyOutcome {
    /// The change is now in force.
    InForce,
    /// The version in force already includes the change.
    Old,
    /// Changes between the version in force and this one are missing.
    Gap,
    /// The change cannot be applied to the rules in force.
    Invalid(Box<Report>),
}

impl Rules {
    /// Returns the version in force; zero before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the rules in force.
    pub fn book(&self) -> Arc<RuleSet> {
        Arc::clone(&self.book)
    }

    /// Records the version of a peer if it is the newest reported.
    pub fn record_peer(&mut self, peer: Incarnation, version: u64) {
        if self.newest.is_none_or(|(_, newest)| version >= newest) {
            self.newest = Some((peer, version));
        }
    }

    /// Returns the peer that reported the newest version, and that version.
    pub fn newest_peer(&self) -> Option<(Incarnation, u64)> {
        self.newest
    }

    /// Returns the changes after a version, or a single change with all rules if some are evicted.
    pub fn since(&self, version: u64) -> Vec<Change> {
        let oldest = self.changes.front().map_or(self.version + 1, |c| c.version);
        if version + 1 < oldest && version < self.version {
            return vec![Change::full(self.version, &self.book)];
        }
        let newer = self.changes.iter().filter(|c| c.version > version);
        newer.cloned().collect()
    }

    /// Applies a change if it is the next one or holds all rules; the version never decreases.
    pub fn apply(&mut self, change: Change) -> ApplyOutcome {
        if change.version <= self.version {
            return ApplyOutcome::Old;
        }
        if !change.full && change.version != self.version + 1 {
            return ApplyOutcome::Gap;
        }
        match change.apply(&self.book) {
            Err(report) => ApplyOutcome::Invalid(report),
            Ok(book) => {
                self.version = change.version;
                self.book = Arc::new(book);
                if change.full {
                    self.changes.clear();
                } else {
                    self.changes.push_back(change);
                }
                if self.changes.len() > MAX_CHANGES {
                    self.changes.pop_front();
                }
                ApplyOutcome::InForce
            }
        }
    }
}
