//! The progress of a planned stop, which decides what the process may still take.
//!
//! See [docs/design/platform.md](../../../docs/design/platform.md#planned-stops).

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_policy::lifetime::{Lengths, Removal};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use crate::model::{Route, RouteKind};

/// The number of failed readiness checks after which a balancer is assumed to send no more requests.
const REMOVAL_CHECKS: u32 = 3;

/// The fraction of the grace period after which this is assumed however rarely it checks. A busy process
/// handles the signal late, so it is less than the time that a balancer has, three eighths.
const REMOVAL_FRACTION: f64 = 0.35;

/// The number of its intervals after which a balancer that has not checked again is gone.
const CHECKER_INTERVALS: u32 = 3;

/// The interval that is assumed after its first check.
const CHECKER_INTERVAL: Duration = Duration::from_secs(1);

/// The shortest and the longest time after which it is gone.
const CHECKER_TTL: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// The maximum number of balancers that are told apart.
const MAX_CHECKERS: usize = 64;

/// The schedule of a planned stop.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    /// When no balancer is assumed to send requests, at the latest.
    removal: Instant,
    /// When no more request is taken.
    end: Instant,
    /// When requests that are still open are ended.
    abort: Instant,
}

/// A balancer that checks readiness.
#[derive(Clone, Copy, Debug)]
struct Checker {
    last: Instant,
    /// The time between its latest checks.
    interval: Duration,
    /// The number of checks that failed since the stop began.
    failed: u32,
}

impl Checker {
    /// Returns whether it will probably check again.
    fn is_expected(&self, now: Instant) -> bool {
        let ttl = self.interval.saturating_mul(CHECKER_INTERVALS);
        now.duration_since(self.last) < ttl.clamp(CHECKER_TTL.0, CHECKER_TTL.1)
    }
}

/// The progress of a planned stop.
#[derive(Debug)]
pub struct Drain {
    start: Instant,
    schedule: watch::Sender<Option<Schedule>>,
    checkers: Mutex<HashMap<IpAddr, Checker>>,
    /// How long the latest requests took, by the name of their route.
    lengths: Mutex<HashMap<String, Lengths>>,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            schedule: watch::Sender::new(None),
            checkers: Mutex::default(),
            lengths: Mutex::default(),
        }
    }
}

impl Drain {
    /// Starts a stop. No request is taken after `end`, and open ones are ended at `abort`.
    pub fn start(&self, grace: Duration, end: Instant, abort: Instant) {
        let removal = Instant::now() + grace.mul_f64(REMOVAL_FRACTION);
        let removal = removal.min(end);
        self.schedule.send_replace(Some(Schedule {
            removal,
            end,
            abort,
        }));
    }

    /// Takes no more requests from now on.
    pub fn close(&self) {
        self.schedule.send_modify(|schedule| {
            if let Some(schedule) = schedule {
                schedule.end = schedule.end.min(Instant::now());
            }
        });
    }

    /// Returns whether a stop has begun.
    pub fn is_started(&self) -> bool {
        self.schedule.borrow().is_some()
    }

    /// Returns the time until no more request is taken; `None` while no stop is under way.
    pub fn time_left(&self) -> Option<Duration> {
        let schedule = *self.schedule.borrow();
        schedule.map(|schedule| schedule.end.saturating_duration_since(Instant::now()))
    }

    /// Records a readiness check and whether it is answered with a failure.
    pub fn record_check(&self, from: IpAddr, failed: bool) {
        let failed = failed && self.is_started();
        let now = Instant::now();
        let mut checkers = self.checkers.lock();
        checkers.retain(|_, checker| checker.is_expected(now));
        if checkers.len() >= MAX_CHECKERS && !checkers.contains_key(&from) {
            return;
        }
        let checker = checkers.entry(from).or_insert(Checker {
            last: now,
            interval: CHECKER_INTERVAL,
            failed: 0,
        });
        if checker.last < now {
            checker.interval = now.duration_since(checker.last);
        }
        checker.last = now;
        checker.failed += u32::from(failed);
    }

    /// Returns whether each balancer that checks readiness has had enough failures to stop sending
    /// requests; `None` if none checks.
    pub fn is_removed(&self) -> Option<bool> {
        let (now, checkers) = (Instant::now(), self.checkers.lock());
        let expected = checkers.values().filter(|checker| checker.is_expected(now));
        let least = expected.map(|checker| checker.failed).min();
        least.map(|least| least >= REMOVAL_CHECKS)
    }

    /// Returns whether a balancer may still send requests.
    pub fn removal(&self) -> Removal {
        let schedule = *self.schedule.borrow();
        let late = schedule.is_some_and(|schedule| Instant::now() >= schedule.removal);
        match late || self.is_removed() == Some(true) {
            true => Removal::Assumed,
            false => Removal::Pending,
        }
    }

    /// Waits until the balancer is assumed to send no more requests.
    pub async fn wait_for_removal(&self, interval: Duration) {
        while self.removal() == Removal::Pending {
            tokio::time::sleep(interval).await;
        }
    }

    /// Returns whether a request that must end by `deadline` may be started now.
    pub fn may_start(&self, route: &Route, deadline: Instant) -> bool {
        let Some(left) = self.time_left() else {
            return true;
        };
        let bound = deadline.saturating_duration_since(Instant::now());
        let (removal, now) = (self.removal(), self.start.elapsed());
        let lengths = self.lengths.lock();
        let unknown = Lengths::default();
        let lengths = lengths.get(&route.name).unwrap_or(&unknown);
        let required = match removal {
            // It has no answer if it is ended at the exit; its caller can send it again if it is refused.
            Removal::Assumed if route.kind != RouteKind::Idempotent => bound,
            _ => lengths.required(removal, now, bound, route.target),
        };
        !left.is_zero() && required <= left
    }

    /// Records how long a request of a route took; `cut` says that it would have taken longer.
    pub fn record_length(&self, route: &Route, length: Duration, cut: bool) {
        let now = self.start.elapsed();
        let mut all = self.lengths.lock();
        let lengths = all.entry(route.name.clone()).or_default();
        match cut {
            true => lengths.record_cut(length, now),
            false => lengths.record(length, now),
        }
    }

    /// Forgets the routes that are not in the configuration any more.
    pub fn retain_routes(&self, routes: &[Arc<Route>]) {
        let listed = |name: &String| routes.iter().any(|route| route.name == *name);
        self.lengths.lock().retain(|name, _| listed(name));
    }

    /// Waits until no more request is taken.
    pub async fn closed(&self) {
        self.wait_until(|schedule| schedule.end).await;
    }

    /// Waits until open requests have to end.
    pub async fn aborted(&self) {
        self.wait_until(|schedule| schedule.abort).await;
    }

    /// Waits for a time of the schedule, which may be set or brought forward meanwhile.
    async fn wait_until(&self, time: impl Fn(&Schedule) -> Instant) {
        let mut schedule = self.schedule.subscribe();
        loop {
            let until = schedule.borrow_and_update().as_ref().map(&time);
            let changed = schedule.changed();
            match until {
                Some(until) => tokio::select! {
                    () = sleep_until(until) => return,
                    _ = changed => {}
                },
                // Cannot fail, since the sender lives as long as this.
                None => drop(changed.await),
            }
        }
    }
}
