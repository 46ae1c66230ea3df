//! The rules in force, with the changes that led there for peers that lag behind.

use std::collections::VecDeque;
use std::sync::Arc;

use fescue_core::Incarnation;
use fescue_core::report::Report;
use fescue_core::rules::Book;
use fescue_store::config::Change;

/// The most changes that are kept for peers.
const MOST_CHANGES: usize = 1024;

/// The rules in force on this router.
#[derive(Debug, Default)]
pub struct Rules {
    version: u64,
    book: Arc<Book>,
    /// The last changes, without a gap up to the version in force.
    changes: VecDeque<Change>,
    newest: Option<(Incarnation, u64)>,
}

/// How a change was taken.
#[derive(Debug)]
pub enum Taken {
    /// It is in force.
    InForce,
    /// It was in force already.
    Old,
    /// Changes before it are missing.
    Gap,
    /// It can't be applied.
    Invalid(Box<Report>),
}

impl Rules {
    /// Returns the version in force; zero before any.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the rules in force.
    pub fn book(&self) -> Arc<Book> {
        Arc::clone(&self.book)
    }

    /// Notes which version a peer has.
    pub fn hear(&mut self, peer: Incarnation, version: u64) {
        if self.newest.is_none_or(|(_, newest)| version >= newest) {
            self.newest = Some((peer, version));
        }
    }

    /// Returns the peer with the newest version heard of.
    pub fn newest_peer(&self) -> Option<(Incarnation, u64)> {
        self.newest
    }

    /// Returns the changes after a version, or one of all rules where some are kept no more.
    pub fn since(&self, version: u64) -> Vec<Change> {
        let oldest = self.changes.front().map_or(self.version + 1, |c| c.version);
        if version + 1 < oldest && version < self.version {
            return vec![Change::full(self.version, &self.book)];
        }
        let newer = self.changes.iter().filter(|c| c.version > version);
        newer.cloned().collect()
    }

    /// Puts a change in force if it is the next one; the version never goes back.
    pub fn take(&mut self, change: Change) -> Taken {
        if change.version <= self.version {
            return Taken::Old;
        }
        if !change.full && change.version != self.version + 1 {
            return Taken::Gap;
        }
        match change.apply(&self.book) {
            Err(report) => Taken::Invalid(report),
            Ok(book) => {
                self.version = change.version;
                self.book = Arc::new(book);
                if change.full {
                    self.changes.clear();
                } else {
                    self.changes.push_back(change);
                }
                if self.changes.len() > MOST_CHANGES {
                    self.changes.pop_front();
                }
                Taken::InForce
            }
        }
    }
}
