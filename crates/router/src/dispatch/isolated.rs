//! The requests that wait for the one upstream that their fingerprint selects.

use std::collections::BTreeMap;

use fescue_core::Priority;
use fescue_policy::queue::Ticket;

use super::pools::Entry;

/// Isolated requests, the most urgent first and then in order of arrival.
///
/// They are kept apart from the fair queue, in which a request whose upstream is closed would hold back
/// those behind it. They are few: only repeats of requests that ran while an upstream crashed.
#[derive(Default)]
pub(super) struct Isolated {
    entries: BTreeMap<(Priority, Ticket), Entry>,
}

impl Isolated {
    pub(super) fn push(&mut self, ticket: Ticket, entry: Entry) {
        self.entries.insert((entry.job.priority, ticket), entry);
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Entry> {
        let mut keys = Priority::ALL.into_iter().map(|priority| (priority, ticket));
        keys.find_map(|key| self.entries.remove(&key))
    }

    /// Removes and returns the first request for which `place` returns a value, with that value.
    pub(super) fn take<T>(&mut self, place: impl Fn(&Entry) -> Option<T>) -> Option<(Entry, T)> {
        let mut entries = self.entries.iter();
        let (key, placed) = entries.find_map(|(key, entry)| Some((*key, place(entry)?)))?;
        Some((self.entries.remove(&key)?, placed))
    }

    /// Removes and returns the requests that satisfy `condition`.
    pub(super) fn take_all(&mut self, condition: impl Fn(&Entry) -> bool) -> Vec<Entry> {
        let taken = self.entries.extract_if(.., |_, entry| condition(entry));
        taken.map(|(_, entry)| entry).collect()
    }

    /// Iterates over the requests.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Entry> {
        self.entries.values_mut()
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}
