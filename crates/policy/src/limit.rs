//! How many requests one router may have at an upstream, without asking the other routers.
//!
//! Each router may always use its own part of the upstream's slots. Beyond that it uses slots that
//! the upstream reported idle, corrected by what it sent since the report, since reports lag.

use std::time::Duration;

/// What an upstream last said of itself, corrected by what this router did since.
#[derive(Clone, Copy, Debug, Default)]
pub struct Occupancy {
    /// Requests that ran or waited there, as reported.
    pub reported: u32,
    /// What this router sent since the report's time.
    pub sent: u32,
    /// What ended of this router's since the report's time.
    pub ended: u32,
}

impl Occupancy {
    /// Returns how many requests are there, as far as is known.
    pub fn estimate(&self) -> u32 {
        let more = self.reported.saturating_add(self.sent);
        more.saturating_sub(self.ended)
    }
}

/// The smallest part of its slots that a troubled upstream is still given.
const LEAST_FACTOR: f64 = 0.1;

/// How much a failure takes off an upstream's limit, as a factor.
const BACK_OFF: f64 = 0.7;

/// How much an answer in good time adds to an upstream's limit.
const RECOVER: f64 = 0.02;

/// An upstream's limit at one router.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    slots: u32,
    routers: u32,
    factor: f64,
}

impl Limit {
    /// Opens the limit of an upstream with `slots`, shared by `routers`.
    pub fn open(slots: u32, routers: u32) -> Self {
        let factor = 1.0;
        Self {
            slots,
            routers,
            factor,
        }
    }

    /// Takes over changed numbers.
    pub fn resize(&mut self, slots: u32, routers: u32) {
        self.slots = slots;
        self.routers = routers;
    }

    /// Returns the slots that count now.
    pub fn slots(&self) -> u32 {
        let slots = f64::from(self.slots) * self.factor;
        (slots as u32).max(1)
    }

    /// Returns this router's own part.
    pub fn share(&self) -> u32 {
        (self.slots() / self.routers.max(1)).max(1)
    }

    /// Returns whether one more request may go, with `own` of this router's there already.
    pub fn allows(&self, own: u32, occupancy: &Occupancy) -> bool {
        own < self.share() || occupancy.estimate().max(own) < self.slots()
    }

    /// Notes how a request went: an answer in good time, or a failure or a late one.
    pub fn record(&mut self, good: bool) {
        let factor = if good {
            self.factor + RECOVER
        } else {
            self.factor * BACK_OFF
        };
        self.factor = factor.clamp(LEAST_FACTOR, 1.0);
    }
}

/// How many failures in a row open an upstream's circuit.
const TRIP_AFTER: u32 = 3;

/// How long an open circuit stays open before one request may try.
const COOL_DOWN: Duration = Duration::from_secs(2);

/// Whether an upstream is tried at all.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    failures: u32,
    until: Option<Duration>,
    probing: bool,
}

impl Breaker {
    /// Returns whether a request may go at `now`; after the cool-down only one may, as a probe.
    pub fn allows(&self, now: Duration) -> bool {
        self.until.is_none_or(|until| now >= until && !self.probing)
    }

    /// Notes that a request goes.
    pub fn start(&mut self) {
        self.probing = self.until.is_some();
    }

    /// Notes how a request went.
    pub fn record(&mut self, now: Duration, good: bool) {
        self.probing = false;
        if good {
            *self = Self::default();
            return;
        }
        self.failures += 1;
        if self.failures >= TRIP_AFTER {
            self.until = Some(now + COOL_DOWN);
        }
    }

    /// Notes that a request ended without saying anything of the upstream.
    pub fn abandon(&mut self) {
        self.probing = false;
    }
}
