//! Monitoring of the VM's network link, and load shedding when it is nearly full.
//!
//! The link capacities of VMs differ by a factor of twenty, which the load balancer doesn't know. A
//! router whose link is nearly full reports that it isn't ready, so that new connections go to other
//! routers, and makes some of its callers reconnect. It refuses no requests for this reason, since a
//! request that has arrived has already used the link.

use std::time::Duration;

/// The utilization above which a router accepts no new connections.
const BUSY_ABOVE: f64 = 0.8;

/// The utilization below which the link is calm.
const CALM_BELOW: f64 = 0.5;

/// The time for which the link must be calm before new connections are accepted again.
///
/// The load balancer sends a caller to the same router while that is ready, so a caller that a small
/// VM can't serve would return at once. Within this time it connects to routers that can.
const CALM_TIME: Duration = Duration::from_secs(30);

/// The utilization above which a router makes some callers reconnect, to reach other routers. The
/// remaining callers keep it busy, so that the others spread over as many routers as necessary.
const SHED_ABOVE: f64 = 0.8;

/// The gain per second with which the average use follows the measured one.
const GAIN: f64 = 2.0;

/// A moving average of a router's use of its link.
///
/// Bytes count once, since each passes the link inwards and outwards.
#[derive(Clone, Copy, Debug)]
pub struct LinkMonitor {
    /// The bytes per second that the link carries in each direction.
    capacity: f64,
    /// The average of the bytes per second that pass the link.
    used: f64,
    /// The bytes per second of the last observation.
    current: f64,
    busy: bool,
    /// The time for which the link has been calm.
    calm: Duration,
}

impl LinkMonitor {
    /// Creates a monitor for a link that carries `capacity` bytes per second in each direction.
    pub fn open(capacity: f64) -> Self {
        Self {
            capacity,
            used: 0.0,
            current: 0.0,
            busy: false,
            calm: Duration::ZERO,
        }
    }

    /// Sets a changed capacity, in bytes per second in each direction.
    pub fn resize(&mut self, capacity: f64) {
        self.capacity = capacity;
    }

    /// Updates the average with the bytes that passed within `elapsed`.
    ///
    /// Returns the new value of [`Self::is_busy`] if it has changed.
    pub fn observe(&mut self, bytes: u64, elapsed: Duration) -> Option<bool> {
        let seconds = elapsed.as_secs_f64();
        if seconds <= 0.0 {
            return None;
        }
        let measured = bytes as f64 / seconds;
        self.current = measured;
        self.used += (measured - self.used) * (GAIN * seconds).min(1.0);
        let utilization = self.utilization();
        self.calm = match utilization < CALM_BELOW {
            true => self.calm.saturating_add(elapsed),
            false => Duration::ZERO,
        };
        let busy = utilization > BUSY_ABOVE || (self.busy && self.calm < CALM_TIME);
        let changed = busy != self.busy;
        self.busy = busy;
        changed.then_some(busy)
    }

    /// Returns whether the router accepts no new connections.
    pub fn is_busy(&self) -> bool {
        self.busy
    }

    /// Returns whether the link is nearly full now, however long it is kept busy after that.
    pub fn is_full(&self) -> bool {
        self.utilization() > BUSY_ABOVE
    }

    /// Returns the fraction of the capacity in use; above 1 if the link is overloaded.
    pub fn utilization(&self) -> f64 {
        self.used / self.capacity
    }

    /// Returns the fraction of the capacity that was in use at the last observation.
    pub fn current(&self) -> f64 {
        self.current / self.capacity
    }

    /// Returns whether a caller should reconnect after its answer; `random` is between 0 and 1.
    pub fn should_shed(&self, random: f64) -> bool {
        random * self.utilization() < self.utilization() - SHED_ABOVE
    }
}
