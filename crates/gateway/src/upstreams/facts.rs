//! What is known of whether one upstream process takes requests: what its answers say, and since when it drains.
//!
//! These facts hold for the process, not for its address or for its entry in the list, which may lag. They
//! bind this router only; see [docs/design/service.md](../../../../docs/design/service.md).

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// The number of requests that may be sent in the first step after a pause.
const FIRST_STEP_REQUESTS: u32 = 2;

/// The time after which twice as many requests may be sent.
const STEP_TIME: Duration = Duration::from_millis(250);

/// The number of steps after which a pause no longer limits anything.
const STEPS: u32 = 8;

/// Something that an answer said, and which one.
#[derive(Clone, Debug)]
struct Fact {
    /// The id of the request that the answer belongs to.
    source: String,
    /// When the answer arrived.
    at: Instant,
    /// When the fact ends; `None` if only with the process.
    end: Option<Instant>,
}

/// Why an upstream gets no request now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hindrance {
    /// What the upstream said.
    pub reason: Withdrawal,
    /// The id of the request whose answer said so; empty if only the list did.
    pub source: String,
    /// The time until the upstream may get a request; `None` if never.
    pub wait: Option<Duration>,
}

/// The way in which an upstream withdraws from new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// It is shutting down.
    Leaving,
    /// It wants no request for some time.
    Pausing,
}

/// The facts about one upstream process.
#[derive(Debug, Default)]
pub struct Facts(Mutex<Known>);

#[derive(Debug, Default)]
struct Known {
    leaving: Option<Fact>,
    /// When the last request may be sent there; `None` while it isn't known to leave.
    drain_end: Option<Instant>,
    pause: Option<Fact>,
    /// The number of requests placed since the end of the pause.
    placed: u32,
    /// Whether the process has ended.
    ended: bool,
}

impl Known {
    /// Returns what keeps a request from being sent; one that `continues` a stream may be sent until the end of the
    /// drain time.
    fn withdrawn(&self, now: Instant, continues: bool) -> Option<Hindrance> {
        let drained = self.drain_end.is_some_and(|end| now >= end);
        let leaving = self.leaving.as_ref();
        if drained || leaving.is_some_and(|_| !continues || self.drain_end.is_none()) {
            return Some(Hindrance {
                reason: Withdrawal::Leaving,
                source: leaving.map_or_else(String::new, |fact| fact.source.clone()),
                wait: None,
            });
        }
        let left = self.paused(now)?;
        self.pausing(left)
    }

    /// Returns what keeps requests from being placed for some time.
    fn delay(&self, now: Instant) -> Option<Duration> {
        self.paused(now).or_else(|| self.stepped(now))
    }

    fn pausing(&self, left: Duration) -> Option<Hindrance> {
        Some(Hindrance {
            reason: Withdrawal::Pausing,
            source: self.pause.as_ref()?.source.clone(),
            wait: Some(left),
        })
    }

    /// Returns what is left of a pause.
    fn paused(&self, now: Instant) -> Option<Duration> {
        let left = self.pause.as_ref()?.end?.saturating_duration_since(now);
        Some(left).filter(|left| !left.is_zero())
    }

    /// Returns what is left of the current step after a pause, if it allows no further request.
    fn stepped(&self, now: Instant) -> Option<Duration> {
        let end = self.pause.as_ref()?.end?;
        let since = now.saturating_duration_since(end).as_millis();
        let step = u32::try_from(since / STEP_TIME.as_millis()).unwrap_or(STEPS);
        if step >= STEPS || self.placed < FIRST_STEP_REQUESTS << step {
            return None;
        }
        let end = end + STEP_TIME * (step + 1);
        Some(end.saturating_duration_since(now))
    }
}

impl Facts {
    /// Records that the upstream is shutting down; returns whether that is news.
    pub fn record_leaving(&self, source: &str) -> bool {
        let mut known = self.0.lock();
        let news = known.leaving.is_none();
        known.leaving.get_or_insert_with(|| Fact {
            source: source.to_owned(),
            at: Instant::now(),
            end: None,
        });
        news
    }

    /// Records that the upstream wants no request for some time, as the answer to a request said that was
    /// sent at `sent`; returns whether that changes the end of the pause.
    ///
    /// Answers to requests that were open at the same time may come in any order, so a pause is shortened
    /// only by the answer to a request that was sent after the pause was known.
    pub fn record_pause(&self, source: &str, length: Duration, sent: Instant) -> bool {
        let mut known = self.0.lock();
        let at = Instant::now();
        let end = at + length;
        let later = |pause: &Fact| sent >= pause.at || pause.end.is_none_or(|known| end > known);
        if !known.pause.as_ref().is_none_or(later) {
            return false;
        }
        known.placed = 0;
        known.pause = Some(Fact {
            source: source.to_owned(),
            at,
            end: Some(end),
        });
        true
    }

    /// Records when the last request may be sent to an upstream that leaves. The earliest such time holds, however often
    /// and in which way the router learns that it leaves.
    pub fn record_drain_end(&self, end: Instant) {
        let mut known = self.0.lock();
        known.drain_end = Some(known.drain_end.map_or(end, |before| before.min(end)));
    }

    /// Takes back that the upstream leaves, as its entry says that it is available. What its answers said holds.
    pub(super) fn clear_drain_end(&self) {
        let mut known = self.0.lock();
        if known.leaving.is_none() {
            known.drain_end = None;
        }
    }

    /// Returns when the last request may be sent to an upstream that leaves; `None` if it isn't known to.
    pub fn drain_end(&self) -> Option<Instant> {
        self.0.lock().drain_end
    }

    /// Returns why no further request may be placed at the upstream now.
    pub fn hindrance(&self) -> Option<Hindrance> {
        let now = Instant::now();
        let known = self.0.lock();
        let stepped = || known.pausing(known.stepped(now)?);
        known.withdrawn(now, false).or_else(stepped)
    }

    /// Returns for how long a pause allows no further request; `None` if one may be placed now.
    pub(super) fn delay(&self, now: Instant) -> Option<Duration> {
        self.0.lock().delay(now)
    }

    /// Returns why a request that was placed at the upstream may no longer be sent there. One that `continues` a
    /// stream may be sent while the upstream drains.
    pub fn withdrawal(&self, continues: bool) -> Option<Hindrance> {
        self.0.lock().withdrawn(Instant::now(), continues)
    }

    /// Returns whether the upstream is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.0.lock().leaving.is_some()
    }

    /// Records that the process has ended; returns whether that is news. Another one may start under the same
    /// id and with another version before its entry is published.
    pub fn record_ended(&self) -> bool {
        !std::mem::replace(&mut self.0.lock().ended, true)
    }

    /// Returns whether the process has ended.
    pub fn is_ended(&self) -> bool {
        self.0.lock().ended
    }

    /// Takes back that the process has ended: its entry has changed, and there is no start time by which a
    /// successor's entry could be told.
    pub(super) fn clear_ended(&self) {
        self.0.lock().ended = false;
    }

    /// Counts a request that is placed at the upstream.
    pub(super) fn count_placed(&self) {
        let mut known = self.0.lock();
        known.placed = known.placed.saturating_add(1);
    }

    /// Takes back a request that was placed at the upstream and not sent.
    pub(super) fn discount_placed(&self) {
        let mut known = self.0.lock();
        known.placed = known.placed.saturating_sub(1);
    }
}
