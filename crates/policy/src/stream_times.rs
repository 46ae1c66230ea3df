//! How long streams lately took, to tell whether one more can end within a given time.

use std::time::Duration;

/// The time after which a slowest observation gives way to those of the next window.
const WINDOW: Duration = Duration::from_secs(60);

/// The time that one stream took, without the time in which its caller didn't read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pace {
    /// The time until the first output token.
    pub first: Duration,
    /// The mean time from one output token to the next.
    pub per_token: Duration,
}

impl Pace {
    /// Returns the time that `tokens` output tokens take at this pace.
    pub fn time_for(&self, tokens: u64) -> Duration {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        let rest = self.per_token.saturating_mul(tokens);
        self.first.saturating_add(rest)
    }

    fn slower(self, other: Self) -> Self {
        Self {
            first: self.first.max(other.first),
            per_token: self.per_token.max(other.per_token),
        }
    }
}

/// The slowest pace of streams in the current window and the one before it.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamTimes {
    start: Duration,
    current: Option<Pace>,
    previous: Option<Pace>,
}

impl StreamTimes {
    /// Records the pace of a stream that ended, or of one that still runs.
    pub fn record(&mut self, pace: Pace, now: Duration) {
        let age = now.saturating_sub(self.start);
        if age >= WINDOW {
            self.previous = self.current.take().filter(|_| age < WINDOW * 2);
            self.start = now;
        }
        let slowest = self.current.unwrap_or_default();
        self.current = Some(slowest.slower(pace));
    }

    /// Returns the slowest pace lately, or `None` if no stream was observed.
    pub fn slowest(&self, now: Duration) -> Option<Pace> {
        let age = now.saturating_sub(self.start);
        let current = self.current.filter(|_| age < WINDOW * 2);
        let previous = self.previous.filter(|_| age < WINDOW);
        match (current, previous) {
            (Some(current), Some(previous)) => Some(current.slower(previous)),
            (current, previous) => current.or(previous),
        }
    }
}
