//! The grace period of a planned stop: which requests may still start, and when the others end.
//!
//! See [docs/design/fleet.md](../../../docs/design/fleet.md).

use std::time::Duration;

use fescue_core::outcome::Reason;
use fescue_core::settings::Settings;
use fescue_core::{ModelId, Refusal};
use fescue_policy::stream_times::Pace;
use tokio::time::Instant;

use crate::blackboard::Board;
use crate::lifecycle::Phase;

/// The number of calls to the platform that may time out while bills and tokens are returned.
const SETTLE_CALLS: u32 = 4;

/// The largest part of the grace period that is kept for bills and tokens, as a divisor.
const MAX_SETTLE_PART: u32 = 4;

/// The part of that time in which the bills of ended requests are made, as a divisor.
const BILLING_PART: u32 = 4;

/// The part of that time which is left for the exit of the process, as a divisor.
const EXIT_PART: u32 = 4;

/// The `Retry-After` of a request that another router can serve at once.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The deadlines of a planned stop that has begun.
#[derive(Clone, Copy, Debug)]
pub struct Grace {
    /// When new connections are no longer accepted.
    pub listen_end: Instant,
    /// When requests that still run are ended.
    pub requests_end: Instant,
    /// When the bills of those requests must have been made.
    pub bills_end: Instant,
    /// When bills and tokens must be back and the process exits.
    pub exit: Instant,
}

impl Grace {
    /// Divides the grace period of a stop that begins at `now`.
    pub fn open(now: Instant, settings: &Settings) -> Self {
        let intervals = &settings.intervals;
        let period = intervals.grace_period;
        let settle = settings.platform.timeout * SETTLE_CALLS;
        let settle = settle.min(period / MAX_SETTLE_PART);
        let requests_end = now + period - settle;
        Self {
            listen_end: requests_end.min(now + intervals.shutdown_delay),
            requests_end,
            bills_end: requests_end + settle / BILLING_PART,
            exit: now + period - settle / EXIT_PART,
        }
    }
}

impl Board {
    /// Returns the deadlines of the stop, which begins now if it hasn't.
    pub fn grace(&self) -> Grace {
        let open = || Grace::open(Instant::now(), &self.settings);
        *self.grace.get_or_init(open)
    }

    /// Returns whether a request that takes up to `time` can end before a stop ends it.
    pub fn can_end(&self, time: Duration) -> bool {
        let end = self.grace.get().map(|grace| grace.requests_end);
        end.is_none_or(|end| Instant::now() + time <= end)
    }

    /// Waits until a request that takes up to `time` can't end any more before a stop ends it.
    ///
    /// Never returns unless the router stops.
    pub async fn too_late_for(&self, time: Duration) {
        let mut phase = self.phase.subscribe();
        let stopping = |phase: &Phase| matches!(phase, Phase::Draining | Phase::Stopped);
        drop(phase.wait_for(stopping).await);
        if let Some(grace) = self.grace.get() {
            let latest = grace.requests_end.checked_sub(time);
            tokio::time::sleep_until(latest.unwrap_or_else(Instant::now)).await;
        }
    }

    /// Runs a step that precedes the start at an upstream; ends it with a refusal once a request
    /// that takes up to `time` is too late.
    pub async fn unless_too_late<T>(
        &self,
        time: Duration,
        step: impl Future<Output = Result<T, Refusal>>,
    ) -> Result<T, Refusal> {
        tokio::select! {
            biased;
            () = self.too_late_for(time) => Err(refusal()),
            result = step => result,
        }
    }

    /// Returns the longest time that one attempt at a stream of up to `tokens` tokens takes.
    ///
    /// That is the time-out, or what streams of the model lately took at their slowest.
    pub fn stream_time(&self, model: &ModelId, tokens: u64) -> Duration {
        let now = self.now();
        let times = self.stream_times.lock();
        let slowest = times.get(model).and_then(|times| times.slowest(now));
        self.limit_to_timeout(slowest.map(|pace| pace.time_for(tokens)))
    }

    /// Returns the shortest time that a stream of a model not known yet may take.
    pub fn shortest_stream_time(&self) -> Duration {
        let now = self.now();
        let times = self.stream_times.lock();
        let slowest = times.values().filter_map(|times| times.slowest(now));
        self.limit_to_timeout(slowest.map(|pace| pace.time_for(1)).min())
    }

    /// Records the pace of a stream.
    pub fn record_pace(&self, model: &ModelId, pace: Pace) {
        let now = self.now();
        let mut times = self.stream_times.lock();
        times.entry(model.clone()).or_default().record(pace, now);
    }

    fn limit_to_timeout(&self, time: Option<Duration>) -> Duration {
        let timeout = self.settings.limits.request_timeout;
        time.map_or(timeout, |time| time.min(timeout))
    }
}

/// Returns the refusal of a request that was not sent to any upstream.
pub fn refusal() -> Refusal {
    let message = "the router is stopping, and the request might not end before that";
    Refusal::not_run(Reason::NotReady, message).with_retry_after(RETRY_AFTER)
}

/// Returns the refusal of a request that a stop ended after `delivered` tokens.
pub fn ended(delivered: u64) -> Refusal {
    if delivered > 0 {
        let message = format!("the router stopped after {delivered} tokens of the answer");
        return Refusal::ran(Reason::Deadline, message);
    }
    Refusal::unknown(Reason::Deadline, "the router stopped before an answer came")
}
