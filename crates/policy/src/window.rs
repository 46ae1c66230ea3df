//! A fleet-wide retry budget over a sliding window, divided between routers without messages.
//!
//! Each router may use the ratio of its own requests and its part of the fixed extra, so the sum
//! over all routers stays within the fleet's budget however the traffic is spread.

use std::collections::VecDeque;
use std::time::Duration;

/// What the fleet may retry within a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// The window.
    pub window: Duration,
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond that, for all routers together.
    pub extra: f64,
}

/// The part of its budget that a router uses, since clocks and windows differ a little.
const USED: f64 = 0.8;

/// The requests and retries of one service at one router.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl RetryWindow {
    /// Counts a request.
    pub fn count_request(&mut self, now: Duration, budget: &Budget) {
        self.expire(now, budget);
        self.requests.push_back(now);
    }

    /// Takes a retry out of the budget; returns whether there was one.
    pub fn take(&mut self, now: Duration, budget: &Budget, routers: usize) -> bool {
        self.expire(now, budget);
        let own = self.requests.len() as f64 * budget.ratio;
        let extra = budget.extra / routers.max(1) as f64;
        let allowed = (self.retries.len() + 1) as f64 <= (own + extra) * USED;
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
