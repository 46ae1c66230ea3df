//! When a request that failed at one upstream may be sent to another.

use std::time::Duration;

/// The part of a second try that each first try earns.
const EARNED: f64 = 0.1;

/// The second tries that may be saved up.
const MOST_SAVED: f64 = 10.0;

/// The longest wait that is worked out.
const LONGEST_WAIT: Duration = Duration::from_secs(3600);

/// The shortest pause that a caller is told to make.
const SHORTEST_PAUSE: Duration = Duration::from_secs(1);

/// The longest pause that a caller is told to make.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// A budget of second tries, so that a failing pool isn't flooded with them.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MOST_SAVED }
    }
}

impl RetryBudget {
    /// Counts a first try.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED).min(MOST_SAVED);
    }

    /// Takes a second try; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}

/// What is known of a try that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection stood, so nothing was sent.
    NotSent,
    /// The upstream said that it didn't take the request.
    Declined,
    /// The connection broke before any answer; the upstream may have run it.
    Broke,
    /// The connection broke within the answer.
    MidAnswer,
    /// No answer came in time.
    TimedOut,
}

impl Failure {
    /// Returns whether this proves that the upstream did not run the request.
    pub const fn proves_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Declined)
    }
}

/// Returns whether a failed try may be followed by another.
///
/// A call that may not be repeated is only tried again where the failure proves that it did not
/// run. Within an answer, only an upstream that resumes can go on.
pub const fn may_retry(failure: Failure, repeat: bool, resumes: bool) -> bool {
    match failure {
        Failure::NotSent | Failure::Declined => true,
        Failure::Broke | Failure::TimedOut => repeat,
        Failure::MidAnswer => repeat && resumes,
    }
}

/// Returns how long a request waits behind `ahead` others that are served at `rate` a second.
pub fn expected_wait(ahead: usize, rate: f64) -> Duration {
    let seconds = ahead as f64 / rate.max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(seconds.min(LONGEST_WAIT.as_secs_f64()))
}

/// Returns when a caller who was refused for an expected wait should ask again.
pub fn retry_after(wait: Duration) -> Duration {
    wait.clamp(SHORTEST_PAUSE, LONGEST_PAUSE)
}
