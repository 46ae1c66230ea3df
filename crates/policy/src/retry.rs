//! Rules for retrying a request that failed at one upstream at another.

use std::time::Duration;

/// The number of retries that each first attempt adds to the budget.
const RETRY_RATIO: f64 = 0.1;

/// The largest number of retries that may be saved up.
const MAX_SAVED: f64 = 10.0;

/// The upper bound of an expected wait.
const MAX_WAIT: Duration = Duration::from_secs(3600);

/// The shortest delay before a retry that a caller is told.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The longest delay before a retry that a caller is told.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// A budget of retries, so that they don't overload a failing pool.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// Adds the fraction of a retry that a first attempt earns.
    pub fn earn(&mut self) {
        self.saved = (self.saved + RETRY_RATIO).min(MAX_SAVED);
    }

    /// Takes a retry from the budget; returns whether one was left.
    pub fn spend(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}

/// The way in which an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be established, so nothing was sent.
    NotSent,
    /// The upstream answered that it didn't run the request.
    Declined,
    /// The connection broke before any answer; the upstream may have run the request.
    Broke,
    /// The connection broke in the middle of the answer.
    MidAnswer,
    /// The upstream didn't answer in time.
    TimedOut,
}

impl Failure {
    /// Returns whether the failure proves that the upstream didn't run the request.
    pub const fn proves_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Declined)
    }
}

/// Returns whether a failed attempt may be retried.
///
/// `repeat` states that the request may run twice; otherwise it is retried only if the failure proves
/// that it didn't run. `resumes` states that the upstream can resume an answer; otherwise a request
/// that failed in the middle of the answer isn't retried.
pub const fn may_retry(failure: Failure, repeat: bool, resumes: bool) -> bool {
    match failure {
        Failure::NotSent | Failure::Declined => true,
        Failure::Broke | Failure::TimedOut => repeat,
        Failure::MidAnswer => repeat && resumes,
    }
}

/// Returns the expected wait behind `ahead` requests that are served at `rate` per second, at most an
/// hour.
pub fn expected_wait(ahead: usize, rate: f64) -> Duration {
    let seconds = ahead as f64 / rate.max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
}

/// Returns the delay after which a caller that was refused for an expected wait should retry.
pub fn retry_after(wait: Duration) -> Duration {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
