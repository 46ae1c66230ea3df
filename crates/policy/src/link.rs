//! How much of its VM's network link a router uses, and when it sends callers elsewhere.
//!
//! VMs differ in their links by a factor of twenty, and the balancer doesn't know. A router whose
//! link is nearly full says that it isn't ready, so that new connections reach other routers, and
//! has some of its callers connect anew. It refuses nothing for that: what has arrived has used the
//! link already.

use std::time::Duration;

/// Above this part of its link, a router asks for no new connections.
const BUSY: f64 = 0.8;

/// Below this part, its link is calm.
const CALM: f64 = 0.5;

/// How long the link must have been calm for new connections to be asked for. The balancer sends a
/// caller to the same router for as long as that is ready, so a caller that a small VM can't carry
/// would be back at once; meanwhile it finds the routers that can.
const HOLD: Duration = Duration::from_secs(30);

/// Above this part, a router has some of its callers connect anew, to reach others. Those that stay
/// keep it busy, so that the rest is spread over as many routers as it takes.
const SHED: f64 = 0.8;

/// How fast the known use follows the measured one, a second.
const GAIN: f64 = 2.0;

/// A router's use of its link. Bytes count once: each passes the link inwards and outwards.
#[derive(Clone, Copy, Debug)]
pub struct LinkMonitor {
    /// Bytes a second that the link carries each way.
    capacity: f64,
    /// Bytes a second that pass.
    used: f64,
    busy: bool,
    /// For how long the link has been calm.
    calm: Duration,
}

impl LinkMonitor {
    /// Opens the share of a router whose link carries `capacity` bytes a second each way.
    pub fn open(capacity: f64) -> Self {
        Self {
            capacity,
            used: 0.0,
            busy: false,
            calm: Duration::ZERO,
        }
    }

    /// Takes over a changed capacity.
    pub fn resize(&mut self, capacity: f64) {
        self.capacity = capacity;
    }

    /// Follows the use of the link, as measured over some time; returns whether the router has
    /// become busy, or no longer is.
    pub fn observe(&mut self, bytes: u64, elapsed: Duration) -> Option<bool> {
        let seconds = elapsed.as_secs_f64();
        if seconds <= 0.0 {
            return None;
        }
        let measured = bytes as f64 / seconds;
        self.used += (measured - self.used) * (GAIN * seconds).min(1.0);
        let part = self.utilization();
        self.calm = match part < CALM {
            true => self.calm.saturating_add(elapsed),
            false => Duration::ZERO,
        };
        let busy = part > BUSY || (self.busy && self.calm < HOLD);
        let changed = busy != self.busy;
        self.busy = busy;
        changed.then_some(busy)
    }

    /// Returns whether the router asks for no new connections.
    pub fn is_busy(&self) -> bool {
        self.busy
    }

    /// Returns whether the link is nearly full now.
    pub fn is_full(&self) -> bool {
        self.utilization() > BUSY
    }

    /// Returns which part of the link is used.
    pub fn utilization(&self) -> f64 {
        self.used / self.capacity
    }

    /// Returns whether a caller should connect anew after its answer; `random` is between 0 and 1.
    pub fn should_shed(&self, random: f64) -> bool {
        random * self.utilization() < self.utilization() - SHED
    }
}
