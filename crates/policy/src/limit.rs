//! Per-router limits on concurrent requests to an upstream, without coordination between routers.
//!
//! Each router may always use its own share of the upstream's slots. Beyond that, it uses slots that
//! the upstream reported as idle, less the requests it has sent since, because reports lag.

use std::time::Duration;

/// The last load report of an upstream and this router's requests since then.
#[derive(Clone, Copy, Debug, Default)]
pub struct Occupancy {
    /// The requests running or waiting at the upstream, as reported.
    pub reported: u32,
    /// The requests that this router has sent since the report.
    pub sent: u32,
    /// The requests of this router that have ended since the report.
    pub ended: u32,
}

impl Occupancy {
    /// Returns an estimate of the requests now running or waiting at the upstream.
    pub fn estimate(&self) -> u32 {
        let more = self.reported.saturating_add(self.sent);
        more.saturating_sub(self.ended)
    }
}

/// The smallest fraction of its slots that a failing upstream is still given.
const MIN_FACTOR: f64 = 0.1;

/// The factor by which a failure multiplies an upstream's limit.
const DECREASE_FACTOR: f64 = 0.7;

/// The fraction of its slots that a timely answer adds to an upstream's limit.
const INCREASE_STEP: f64 = 0.02;

/// The adaptive limit of one upstream at one router.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    slots: u32,
    routers: u32,
    factor: f64,
}

impl Limit {
    /// Creates the limit of an upstream with `slots` that is shared by `routers`.
    pub fn open(slots: u32, routers: u32) -> Self {
        let factor = 1.0;
        Self {
            slots,
            routers,
            factor,
        }
    }

    /// Sets changed numbers of slots and routers; the adapted factor stays.
    pub fn resize(&mut self, slots: u32, routers: u32) {
        self.slots = slots;
        self.routers = routers;
    }

    /// Returns the number of routers that share the upstream, at least 1.
    pub fn routers(&self) -> u32 {
        self.routers.max(1)
    }

    /// Returns the number of slots after adaptation to failures, at least 1.
    pub fn slots(&self) -> u32 {
        let slots = f64::from(self.slots) * self.factor;
        (slots as u32).max(1)
    }

    /// Returns the number of slots reserved for this router, at least 1.
    pub fn share(&self) -> u32 {
        (self.slots() / self.routers.max(1)).max(1)
    }

    /// Returns whether this router may send another request when it has `own` at the upstream.
    pub fn allows(&self, own: u32, occupancy: &Occupancy) -> bool {
        own < self.share() || occupancy.estimate().max(own) < self.slots()
    }

    /// Adapts the limit to the outcome of a request; `good` means an answer in time.
    pub fn record(&mut self, good: bool) {
        let factor = if good {
            self.factor + INCREASE_STEP
        } else {
            self.factor * DECREASE_FACTOR
        };
        self.factor = factor.clamp(MIN_FACTOR, 1.0);
    }
}

/// The number of consecutive failures that open an upstream's circuit.
const FAILURE_THRESHOLD: u32 = 3;

/// The time for which a circuit stays open before a probe is allowed.
const OPEN_TIME: Duration = Duration::from_secs(2);

/// A circuit breaker for one upstream at one router.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    failures: u32,
    until: Option<Duration>,
    probing: bool,
}

impl Breaker {
    /// Returns whether a request may be sent at `now`. Once an open circuit may be probed, only one
    /// request is allowed at a time.
    pub fn allows(&self, now: Duration) -> bool {
        self.until.is_none_or(|until| now >= until && !self.probing)
    }

    /// Records that a request is sent; it is the probe if the circuit is open.
    pub fn start(&mut self) {
        self.probing = self.until.is_some();
    }

    /// Records the outcome of a request that ended at `now`.
    pub fn record(&mut self, now: Duration, good: bool) {
        self.probing = false;
        if good {
            *self = Self::default();
            return;
        }
        self.failures += 1;
        if self.failures >= FAILURE_THRESHOLD {
            self.until = Some(now + OPEN_TIME);
        }
    }

    /// Records that a request ended without telling anything about the upstream's health.
    pub fn abandon(&mut self) {
        self.probing = false;
    }
}
