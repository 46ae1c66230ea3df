//! A fleet-wide retry budget over a sliding window, divided between routers without messages.
//!
//! Each router may retry the given ratio of its own requests plus an equal share of the fixed extra,
//! so the sum over all routers stays within the fleet's budget for any distribution of the traffic.

use std::collections::VecDeque;
use std::time::Duration;

/// The retries allowed to the whole fleet within a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// The length of the window.
    pub window: Duration,
    /// The number of retries per request.
    pub ratio: f64,
    /// The number of further retries, for all routers together.
    pub extra: f64,
}

/// The fraction of its share that a router uses, since clocks and windows differ slightly between
/// routers.
const SAFETY_FACTOR: f64 = 0.8;

/// The times of the requests and retries of one service at one router.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl RetryWindow {
    /// Records a request, which adds to the retries allowed.
    pub fn count_request(&mut self, now: Duration, budget: &Budget) {
        self.expire(now, budget);
        self.requests.push_back(now);
    }

    /// Returns whether a retry is left in the budget. `routers` share the extra.
    pub fn allows(&mut self, now: Duration, budget: &Budget, routers: usize) -> bool {
        self.expire(now, budget);
        let own = self.requests.len() as f64 * budget.ratio;
        let extra = budget.extra / routers.max(1) as f64;
        (self.retries.len() + 1) as f64 <= (own + extra) * SAFETY_FACTOR
    }

    /// Takes a retry from the budget; returns whether one was left. `routers` share the extra.
    pub fn take(&mut self, now: Duration, budget: &Budget, routers: usize) -> bool {
        let allowed = self.allows(now, budget, routers);
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    fn expire(&mut self, now: Duration, budget: &Budget) {
        let old = |at: &Duration| now.saturating_sub(*at) > budget.window;
        while self.requests.front().is_some_and(old) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(old) {
            self.retries.pop_front();
        }
    }
}
