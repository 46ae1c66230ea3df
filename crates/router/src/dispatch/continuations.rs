//! Requests whose answer broke off and that wait for an upstream where it may go on.
//!
//! They are granted before the queue, since their callers have begun to read, and each as soon as an
//! upstream of its software version is open, so that they don't hold up requests which others can serve.

use std::time::Duration;

use fescue_policy::queue::Ticket;
use indexmap::IndexMap;

use super::pools::{Entry, Job};

/// A waiting continuation.
struct Waiting {
    entry: Entry,
    deadline: Duration,
}

/// The waiting continuations of one pool, in the order of arrival.
#[derive(Default)]
pub(super) struct Continuations {
    waiting: IndexMap<Ticket, Waiting>,
}

impl Continuations {
    /// Adds a continuation that waits until `deadline`.
    pub(super) fn push(&mut self, ticket: Ticket, entry: Entry, deadline: Duration) {
        self.waiting.insert(ticket, Waiting { entry, deadline });
    }

    /// Removes a continuation and returns it.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Entry> {
        let waiting = self.waiting.shift_remove(&ticket)?;
        Some(waiting.entry)
    }

    /// Removes and returns those whose deadline has passed.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<Entry> {
        self.extract(|waiting| waiting.deadline <= now)
    }

    /// Removes and returns those that no upstream can serve, according to `has_prospect`.
    pub(super) fn extract_hopeless(&mut self, has_prospect: impl Fn(&Job) -> bool) -> Vec<Entry> {
        self.extract(|waiting| !has_prospect(&waiting.entry.job))
    }

    /// Returns the tickets in the order of arrival.
    pub(super) fn tickets(&self) -> Vec<Ticket> {
        self.waiting.keys().copied().collect()
    }

    pub(super) fn get(&self, ticket: Ticket) -> Option<&Entry> {
        let waiting = self.waiting.get(&ticket)?;
        Some(&waiting.entry)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    fn extract(&mut self, remove: impl Fn(&Waiting) -> bool) -> Vec<Entry> {
        let matching = self.waiting.iter().filter(|(_, waiting)| remove(waiting));
        let matching: Vec<_> = matching.map(|(ticket, _)| *ticket).collect();
        let entries = matching.into_iter().map(|ticket| self.remove(ticket));
        entries.flatten().collect()
    }
}
