//! Whether an upstream may get a request, and how it compares with others.

use std::time::Duration;

use tokio::time::Instant;

use super::{Requirements, Server};
use crate::origins::Origin;

/// The number of unread prompt tokens that count as much load as one running request.
const UNREAD_TOKENS_PER_REQUEST: f64 = 4000.0;

/// One moment on both clocks. A placement looks at all upstreams, and reads the clock once.
#[derive(Clone, Copy, Debug)]
pub(super) struct Moment {
    /// The time since the process started.
    pub now: Duration,
    /// The same moment.
    pub instant: Instant,
}

impl Moment {
    /// Creates the current moment, `now` after the process started.
    pub fn new(now: Duration) -> Self {
        Self {
            now,
            instant: Instant::now(),
        }
    }
}

/// The requests that may be sent to an upstream.
///
/// One that drains goes on serving for some time. New work should go elsewhere, but a stream that has begun may have
/// nowhere else to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Intake {
    /// All requests.
    All,
    /// Only those that continue a stream.
    Continuations,
    /// No requests.
    None,
}

/// How an upstream at which a request may run compares with others.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rating {
    /// Its work divided by its capacity.
    pub load: f64,
    /// Whether its circuit breaker allows a request.
    pub accepts: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
}

impl Server {
    /// Returns which requests may be sent there, as far as it is known to leave.
    pub(super) fn intake(&self, now: Instant) -> Intake {
        if !self.is_leaving() {
            return Intake::All;
        }
        match self.facts.drain_end() {
            Some(end) if now < end => Intake::Continuations,
            _ => Intake::None,
        }
    }

    /// Returns whether it is an upstream at which a request with these requirements may run at some time.
    pub(super) fn suits(&self, requirements: &Requirements<'_>) -> bool {
        let continues = |origin: &Origin| self.version() == Some(&origin.version);
        self.entry.service == *requirements.service
            && !requirements.tried.contains(&self.entry.id)
            && requirements.origin.is_none_or(continues)
    }

    /// Rates the upstream for a request with these requirements; `None` if the request may not be sent
    /// there, apart from the circuit breaker.
    pub(super) fn rate(&self, requirements: &Requirements<'_>, at: Moment) -> Option<Rating> {
        let intake = self.intake(at.instant);
        let fits = self.suits(requirements)
            && requirements.may_use(intake)
            && !requirements.denied.contains(&self.entry.id)
            && self.facts.delay(at.instant).is_none();
        if !fits {
            return None;
        }
        let cold = self.cold_rate(at.now).is_some();
        let state = self.state.lock();
        if !state.allows(requirements.limited, cold, at) || !state.is_listed(at.instant) {
            return None;
        }
        let work = f64::from(state.running) + state.unread as f64 / UNREAD_TOKENS_PER_REQUEST;
        Some(Rating {
            load: work / f64::from(self.entry.slots.max(1)),
            accepts: state.breaker.allows(at.now),
            leaving: intake != Intake::All,
        })
    }
}
