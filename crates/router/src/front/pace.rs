//! Measures the pace of a stream, without the time in which its caller doesn't read.

use std::time::Duration;

use fescue_policy::stream_times::Pace;
use tokio::time::Instant;

/// The interval at which the pace of a running stream is recorded.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// A measurement of the time that one attempt waits for its upstream.
pub(super) struct PaceMeter<F: Fn(Pace)> {
    record: F,
    /// The start of the current wait for an event.
    wait_start: Option<Instant>,
    waited: Duration,
    first: Option<Duration>,
    tokens: u32,
    recorded: Duration,
}

impl<F: Fn(Pace)> PaceMeter<F> {
    /// Creates the meter of an attempt that has waited `waited` for the head of the answer; `record`
    /// is called with its pace from time to time and at its end.
    pub(super) fn open(waited: Duration, record: F) -> Self {
        Self {
            record,
            wait_start: None,
            waited,
            first: None,
            tokens: 0,
            recorded: waited,
        }
    }

    /// Starts to wait for an event.
    pub(super) fn start_wait(&mut self) {
        self.wait_start = Some(Instant::now());
    }

    /// Counts a token, which ends the wait.
    pub(super) fn count_token(&mut self) {
        self.end_wait();
        self.tokens += 1;
        self.first.get_or_insert(self.waited);
        if self.waited.saturating_sub(self.recorded) >= RECORD_INTERVAL {
            self.report();
        }
    }

    fn end_wait(&mut self) {
        let start = self.wait_start.take();
        self.waited += start.map_or(Duration::ZERO, |start| start.elapsed());
    }

    /// Records the pace. A single token tells nothing of the time between two.
    fn report(&mut self) {
        self.recorded = self.waited;
        let Some(first) = self.first.filter(|_| self.tokens > 1) else {
            return;
        };
        let rest = self.waited.saturating_sub(first);
        let per_token = rest / (self.tokens - 1);
        (self.record)(Pace { first, per_token });
    }
}

impl<F: Fn(Pace)> Drop for PaceMeter<F> {
    fn drop(&mut self) {
        // The time spent on a token that didn't come counts too.
        self.end_wait();
        self.report();
    }
}
