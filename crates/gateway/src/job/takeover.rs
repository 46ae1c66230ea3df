//! The change from an attempt that may still succeed to the next one.
//!
//! An upstream that is silent for a while is sound, and an upstream's error is an answer. Such an attempt is
//! given up only for another one that can be made at once.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use fescue_policy::quarantine::Standing;
use fescue_policy::retry::Failure;
use tokio::time::{Instant, timeout_at};

use super::Job;

/// The interval of the checks whether another upstream can take a request over.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The time that an attempt may take.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// When another upstream may take the request over; `None` if none may.
    pub takeover: Option<Instant>,
    /// When the attempt ends.
    pub end: Instant,
}

impl Job {
    /// Waits for a part of an upstream's answer.
    ///
    /// # Errors
    ///
    /// [`Failure::TimedOut`] at the end of the attempt, or earlier if [`Self::secure_next`] has secured
    /// another one.
    pub async fn wait<T>(
        &mut self,
        limit: Limit,
        answer: impl Future<Output = T>,
    ) -> Result<T, Failure> {
        let mut answer = pin!(answer);
        let mut takeover = limit.takeover;
        while let Some(at) = takeover.filter(|at| *at < limit.end) {
            if let Ok(answer) = timeout_at(at, &mut answer).await {
                return Ok(answer);
            }
            if self.secure_next(Failure::TimedOut).await {
                return Err(Failure::TimedOut);
            }
            takeover = Some(Instant::now() + RECHECK_INTERVAL);
        }
        let ended = timeout_at(limit.end, answer).await;
        ended.map_err(|_| Failure::TimedOut)
    }

    /// Takes a slot at another upstream and a retry for an attempt that follows a failed one; returns
    /// whether both were left. The next attempt uses them.
    pub async fn secure_next(&mut self, failure: Failure) -> bool {
        let service = &self.service.name;
        if !self.may_follow(failure)
            || matches!(
                self.gateway.standing(&self.prints),
                Standing::Quarantined(_)
            )
            || self.sends >= self.route.attempts.max(1)
            || !self.gateway.has_retry(service)
        {
            return false;
        }
        let Some(slot) = self.try_acquire().await else {
            return false;
        };
        if !self.gateway.take_retry(&self.service.name) {
            self.return_permit(&slot);
            slot.cancel();
            return false;
        }
        self.secured = Some(slot);
        true
    }
}
