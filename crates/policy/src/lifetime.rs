//! Whether a process that is about to exit may still take a request.
//!
//! A request that the process can't finish must not be started there. Its deadline bounds how long it
//! takes; a stream's deadline is often longer than a process has left, so the lengths of the route's latest
//! requests are used as well. See [docs/design/platform.md](../../../docs/design/platform.md#planned-stops).

use std::collections::VecDeque;
use std::time::Duration;

/// The number of requests whose lengths are kept for each route.
const RETAINED_LENGTHS: usize = 128;

/// The number of lengths below which the longest of them says nothing about the next request.
const MIN_LENGTHS: usize = 32;

/// The fraction of the latest requests that must have been shorter than the time left, while the
/// balancer may still send requests.
const LIKELY_FRACTION: f64 = 0.95;

/// The multiple of the longest of the latest requests that must be left afterwards.
const SAFE_FACTOR: u32 = 2;

/// Whether the balancer may still send requests to a stopping process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// It may, so that a refusal costs callers a retry: requests that will probably end are taken.
    Pending,
    /// It has had time to stop sending: requests are taken if nothing suggests that they don't end, which is
    /// enough for those whose callers get an answer nevertheless.
    Assumed,
}

/// How long the latest requests of one route took.
#[derive(Clone, Debug, Default)]
pub struct Lengths {
    latest: VecDeque<Duration>,
    /// When the first length was recorded.
    since: Option<Duration>,
}

impl Lengths {
    /// Adds the length of a request that has ended at `now`.
    pub fn record(&mut self, length: Duration, now: Duration) {
        self.since.get_or_insert(now.saturating_sub(length));
        if self.latest.len() == RETAINED_LENGTHS {
            self.latest.pop_front();
        }
        self.latest.push_back(length);
    }

    /// Adds the length of a request that was cut at `now`, and would have taken longer. It counts only
    /// if all others were shorter.
    pub fn record_cut(&mut self, length: Duration, now: Duration) {
        if self.latest.iter().all(|known| *known < length) {
            self.record(length, now);
        }
    }

    /// Returns the time that must be left for a request to be taken at `now`. It covers no pause of an
    /// upstream, so what would have no answer then needs the time until its deadline. It never exceeds
    /// `bound`, the time until the request's deadline; `target` is the route's target latency.
    pub fn required(
        &self,
        removal: Removal,
        now: Duration,
        bound: Duration,
        target: Duration,
    ) -> Duration {
        let mut lengths: Vec<_> = self.latest.iter().copied().collect();
        lengths.sort_unstable();
        let longest = lengths.last().copied().unwrap_or_default();
        let enough = lengths.len() >= MIN_LENGTHS;
        // A process that started lately has seen none of the long requests.
        let watched = self.since.is_some_and(|since| now >= since + bound);
        let required = match removal {
            Removal::Pending if enough => {
                lengths[(lengths.len() as f64 * LIKELY_FRACTION) as usize]
            }
            Removal::Pending => longest.max(target * SAFE_FACTOR),
            Removal::Assumed if enough && watched => longest * SAFE_FACTOR,
            Removal::Assumed => bound,
        };
        required.min(bound)
    }
}
