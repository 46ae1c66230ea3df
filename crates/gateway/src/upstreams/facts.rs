//! What the answers of one upstream process say of whether it takes requests.
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
    /// The id of the request whose answer said so.
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
    pause: Option<Fact>,
    /// The number of requests placed since the end of the pause.
    placed: u32,
    /// Whether the process has ended.
    ended: bool,
}

impl Known {
    /// Returns what keeps any request from being sent.
    fn withdrawn(&self, now: Instant) -> Option<Hindrance> {
        if let Some(fact) = &self.leaving {
            return Some(hindrance(Withdrawal::Leaving, fact, None));
        }
        let left = self.paused(now)?;
        Some(hindrance(
            Withdrawal::Pausing,
            self.pause.as_ref()?,
            Some(left),
        ))
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

fn hindrance(reason: Withdrawal, fact: &Fact, wait: Option<Duration>) -> Hindrance {
    Hindrance {
        reason,
        source: fact.source.clone(),
        wait,
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

    /// Returns why no further request may be placed at the upstream now.
    pub fn hindrance(&self) -> Option<Hindrance> {
        let now = Instant::now();
        let known = self.0.lock();
        let stepped = || {
            let left = known.stepped(now)?;
            let fact = known.pause.as_ref()?;
            Some(hindrance(Withdrawal::Pausing, fact, Some(left)))
        };
        known.withdrawn(now).or_else(stepped)
    }

    /// Returns whether there is a [`Self::hindrance`].
    pub(super) fn hinders(&self, now: Instant) -> bool {
        let known = self.0.lock();
        known.leaving.is_some() || known.paused(now).is_some() || known.stepped(now).is_some()
    }

    /// Returns why a request that was placed at the upstream may no longer be sent there.
    pub fn withdrawal(&self) -> Option<Hindrance> {
        self.0.lock().withdrawn(Instant::now())
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
