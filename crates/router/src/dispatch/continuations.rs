//! Requests whose answer broke off and that wait for an upstream where it may go on.
//!
//! They are granted before the queue, since their callers have begun to read, and each as soon as an
//! upstream of its software version is open, so that they don't hold up requests which others can serve.

use std::time::Duration;

use fescue_policy::queue::Ticket;
use indexmap::IndexMap;

use super::pools::{Entry, Job};

/// The waiting continuations of one pool, in the order of arrival.
#[derive(Default)]
pub(super) struct Continuations {
    waiting: IndexMap<Ticket, Entry>,
}

impl Continuations {
    pub(super) fn push(&mut self, ticket: Ticket, entry: Entry) {
        self.waiting.insert(ticket, entry);
    }

    /// Removes a continuation and returns it.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Entry> {
        self.waiting.shift_remove(&ticket)
    }

    /// Removes and returns those whose deadline has passed.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<Entry> {
        self.extract(|entry| entry.deadline <= now)
    }

    /// Removes and returns those that no upstream can serve, according to `has_prospect`.
    pub(super) fn extract_hopeless(&mut self, has_prospect: impl Fn(&Job) -> bool) -> Vec<Entry> {
        self.extract(|entry| !has_prospect(&entry.job))
    }

    /// Returns the tickets in the order of arrival.
    pub(super) fn tickets(&self) -> Vec<Ticket> {
        self.waiting.keys().copied().collect()
    }

    pub(super) fn get(&self, ticket: Ticket) -> Option<&Entry> {
        self.waiting.get(&ticket)
    }

    /// Iterates over the continuations.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Entry> {
        self.waiting.values_mut()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    fn extract(&mut self, remove: impl Fn(&Entry) -> bool) -> Vec<Entry> {
        let matching = self.waiting.iter().filter(|(_, entry)| remove(entry));
        let matching: Vec<_> = matching.map(|(ticket, _)| *ticket).collect();
        let entries = matching.into_iter().map(|ticket| self.remove(ticket));
        entries.flatten().collect()
    }
}
