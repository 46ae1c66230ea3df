//! The requests of one team that wait for tokens at one router, and their order.
//!
//! The more urgent go first. Among equally urgent ones, those that can still be answered by their target
//! go in the order of their arrival, and those that can't go after all that can: after an outage, requests
//! that are late already would otherwise make every later one late too.

use std::collections::BTreeMap;
use std::time::Duration;

use fescue_core::Tokens;

/// A request that waits for tokens. Times are since an arbitrary fixed start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// The tokens that it may consume at most.
    pub tokens: Tokens,
    /// Its rank; zero is the most urgent.
    pub rank: u8,
    /// The time by which it should be answered.
    pub target: Duration,
    /// The time until which it waits.
    pub end: Duration,
}

/// The place of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    rank: u8,
    number: u64,
}

/// Sorts by lateness, then by urgency, then by arrival.
type Place = (bool, u8, u64);

/// The waiting requests of one team, each with an item that its caller keeps with it.
#[derive(Debug)]
pub struct Waiting<T> {
    entries: BTreeMap<Place, (Need, T)>,
    total: Tokens,
    next: u64,
}

impl<T> Default for Waiting<T> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            total: Tokens::ZERO,
            next: 0,
        }
    }
}

impl<T> Waiting<T> {
    /// Adds a request.
    pub fn push(&mut self, need: Need, item: T) -> Ticket {
        let ticket = Ticket {
            rank: need.rank,
            number: self.next,
        };
        self.next += 1;
        self.total = self.total.saturating_add(need.tokens);
        self.entries
            .insert((false, need.rank, ticket.number), (need, item));
        ticket
    }

    /// Removes a request; `None` if it has left the queue.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let Ticket { rank, number } = ticket;
        let places = [(false, rank, number), (true, rank, number)];
        places.into_iter().find_map(|place| self.take(place))
    }

    /// Returns the request that gets the next tokens.
    pub fn first(&mut self, now: Duration) -> Option<&Need> {
        self.first_entry(now).map(|(need, _)| need)
    }

    /// Returns the request that gets the next tokens, with its item.
    pub fn first_entry(&mut self, now: Duration) -> Option<(&Need, &T)> {
        loop {
            let (place, (need, _)) = self.entries.first_key_value()?;
            let (late, rank, number) = *place;
            if late || need.target >= now {
                break;
            }
            let entry = self.entries.remove(&(late, rank, number))?;
            self.entries.insert((true, rank, number), entry);
        }
        self.entries
            .values()
            .next()
            .map(|(need, item)| (need, item))
    }

    /// Removes the request that gets the next tokens.
    pub fn pop(&mut self, now: Duration) -> Option<T> {
        self.first(now)?;
        let place = *self.entries.first_key_value()?.0;
        self.take(place)
    }

    /// Removes the requests that satisfy a condition.
    pub fn extract(&mut self, condition: impl Fn(&Need, &T) -> bool) -> Vec<T> {
        let entries = self.entries.iter();
        let places = entries.filter(|(_, (need, item))| condition(need, item));
        let places: Vec<_> = places.map(|(place, _)| *place).collect();
        let taken = places.into_iter().filter_map(|place| self.take(place));
        taken.collect()
    }

    /// Lets the requests that satisfy a condition wait until `end` if that is later.
    pub fn extend(&mut self, end: Duration, condition: impl Fn(&T) -> bool) {
        let entries = self.entries.values_mut();
        for (need, _) in entries.filter(|(_, item)| condition(item)) {
            need.end = need.end.max(end);
        }
    }

    /// Returns the tokens that all waiting requests need together.
    pub fn total(&self) -> Tokens {
        self.total
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn take(&mut self, place: Place) -> Option<T> {
        let (need, item) = self.entries.remove(&place)?;
        self.total = self.total.saturating_sub(need.tokens);
        Some(item)
    }
}
