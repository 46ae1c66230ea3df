//! The time limits of callers' connections, as they were over time.
//!
//! They follow the configuration while a connection is open. Between two requests the longest ones apply
//! that were in force since the first of them, as the caller may go by any of these.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::model::Limits;

/// The time limits while no configuration has been loaded.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// How much longer than configured an idle connection is kept, so that a caller that reuses it at
/// the last moment still finds it open.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// The largest number of changes that are kept apart. More are merged into longer limits.
const MAX_CHANGES: usize = 64;

/// The time that a request head may take, and the time for which a connection may be idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLimits {
    /// The longest time from the first byte of a head to its end.
    pub head: Duration,
    /// The longest time without a request.
    pub idle: Duration,
}

impl Default for TimeLimits {
    fn default() -> Self {
        Self {
            head: DEFAULT_TIMEOUT,
            idle: DEFAULT_TIMEOUT + IDLE_MARGIN,
        }
    }
}

impl From<Limits> for TimeLimits {
    fn from(limits: Limits) -> Self {
        Self {
            head: limits.header_time,
            idle: limits.idle_time + IDLE_MARGIN,
        }
    }
}

impl TimeLimits {
    /// Returns the longer of each two limits.
    fn max(self, other: Self) -> Self {
        Self {
            head: self.head.max(other.head),
            idle: self.idle.max(other.idle),
        }
    }
}

/// The limits in force now and before.
#[derive(Debug, Default)]
pub struct History {
    /// The limits before the first change.
    first: TimeLimits,
    /// When limits came into force, the latest ones last.
    changes: VecDeque<(Instant, TimeLimits)>,
}

impl History {
    /// Records limits that come into force at `at`.
    pub fn record(&mut self, at: Instant, limits: TimeLimits) {
        if self.latest() == limits {
            return;
        }
        if self.changes.len() >= MAX_CHANGES
            && let Some((_, oldest)) = self.changes.pop_front()
        {
            self.first = self.first.max(oldest);
        }
        self.changes.push_back((at, limits));
    }

    fn latest(&self) -> TimeLimits {
        self.changes
            .back()
            .map_or(self.first, |(_, latest)| *latest)
    }

    /// Returns the longest limits that were in force at some time since `since`.
    pub fn longest_since(&self, since: Instant) -> TimeLimits {
        let mut longest = self.latest();
        for (place, (at, limits)) in self.changes.iter().enumerate().rev() {
            longest = longest.max(*limits);
            if *at <= since {
                return longest;
            }
            if place == 0 {
                longest = longest.max(self.first);
            }
        }
        longest
    }
}
