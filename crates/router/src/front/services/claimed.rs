//! Claims on non-idempotent calls: makes, awaits, answers and withdraws them.

use std::time::Duration;

use fescue_core::outcome::Reason;
use fescue_core::{Era, Refusal};
use fescue_store::TableError;
use fescue_store::claims::{Answer, CallId, ClaimOutcome, ClaimRow};
use tokio::time::Instant;

use super::{Kept, ServiceCall};

/// The delay before a failed access to the claims table is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The interval at which an earlier claim is read while its answer is awaited.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the refusal of a call of which it isn't known whether an earlier attempt ran.
pub(super) fn not_looked_up(refusal: Refusal) -> Refusal {
    let message = "this attempt was not sent, but an earlier one may have run";
    match refusal.reason {
        Reason::NotReady => Refusal {
            retry_after: refusal.retry_after,
            ..Refusal::unknown(Reason::NotReady, message)
        },
        _ => refusal,
    }
}

impl ServiceCall {
    /// Returns an earlier claim on the call; without a lookup if the router made the id.
    pub(super) async fn find(&self, deadline: Instant) -> Result<Option<ClaimRow>, Refusal> {
        if !self.caller.keyed {
            return Ok(None);
        }
        loop {
            match self.front.claims.find(&self.id()).await {
                Ok(found) => return Ok(found),
                Err(error) => self.wait_for_store(deadline, &error).await?,
            }
        }
    }

    /// Claims the call, and retries until the deadline while the store fails.
    pub(super) async fn claim(
        &self,
        claim: &ClaimRow,
        deadline: Instant,
    ) -> Result<ClaimOutcome, Refusal> {
        loop {
            let era = self.front.claims.era();
            if !self.front.board.is_settled(era) {
                // An earlier claim may be lost until its router has written it again.
                self.front.board.need.notify_one();
                let error = TableError::Unavailable("the table came back from a copy".to_owned());
                self.wait_for_store(deadline, &error).await?;
                continue;
            }
            match self.front.claims.claim(&self.id(), claim, era).await {
                Ok(claimed) => return Ok(claimed),
                Err(error) => {
                    let waited = self.wait_for_store(deadline, &error).await;
                    if waited.is_err() {
                        // The claim may have been stored; left there, it would block later attempts forever.
                        self.withdraw(claim.clone());
                    }
                    waited?;
                }
            }
        }
    }

    /// Waits before the next access to the store, or returns a refusal if the deadline is too close.
    pub(super) async fn wait_for_store(
        &self,
        deadline: Instant,
        error: &TableError,
    ) -> Result<(), Refusal> {
        self.front.board.metrics.store_failures.inc();
        let board = &self.front.board;
        if Instant::now() + RETRY_DELAY < deadline && board.can_end(RETRY_DELAY) {
            tokio::time::sleep(RETRY_DELAY).await;
            return Ok(());
        }
        tracing::warn!(request = %self.caller.request, %error, "claiming the call failed until its deadline; refused and not sent");
        // This attempt sent nothing. Only for an id that the router made is it certain that there was
        // no earlier attempt.
        if self.caller.keyed {
            let message = "this attempt was not sent, but an earlier one may have run";
            return Err(
                Refusal::unknown(Reason::StoreDown, message).with_retry_after(RETRY_DELAY * 10)
            );
        }
        let message = "the call can't be claimed now and was not sent";
        Err(Refusal::not_run(Reason::StoreDown, message).with_retry_after(RETRY_DELAY * 10))
    }

    /// Answers from a claim that was found in an era of the table, and waits for its answer if needed; the call is not sent again.
    pub(super) async fn answer_from_claim(
        &self,
        earlier: ClaimRow,
        era: Option<Era>,
        deadline: Instant,
    ) -> Result<Kept, Refusal> {
        if earlier.body != self.fingerprint {
            return Err(self.id_reused());
        }
        let mut last = earlier;
        loop {
            if let Some(answer) = last.answer {
                let share = None;
                return Ok(Kept { answer, share });
            }
            let board = &self.front.board;
            let alive = board.members.lock().incarnations();
            let running = last.by == board.me.incarnation || alive.contains(&last.by);
            let late = Instant::now() + POLL_INTERVAL >= deadline || !board.can_end(POLL_INTERVAL);
            if !running || late {
                let message = "an earlier attempt may have run; its outcome isn't known";
                return Err(Refusal::unknown(Reason::MayHaveRun, message));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
            match self.front.claims.find(&self.id()).await {
                Ok(Some(row)) => last = row,
                // In a later era the claim may be lost instead, and the call may have run.
                Ok(None) if self.front.claims.era() == era => {
                    let message = "the earlier attempt was withdrawn and did not run";
                    let refusal = Refusal::not_run(Reason::NoUpstream, message);
                    return Err(refusal.with_retry_after(Duration::from_secs(1)));
                }
                Ok(None) | Err(_) => {}
            }
        }
    }

    /// Stores the answer for repeats of the call; if that fails, retries in the background.
    pub(super) async fn store_answer(&self, claim: ClaimRow, answer: Answer) {
        let (claims, id) = (self.front.claims.clone(), self.id());
        if claims
            .store_answer(&id, &claim, answer.clone())
            .await
            .is_ok()
        {
            return;
        }
        let running = self.front.board.start_request();
        tokio::spawn(async move {
            while claims
                .store_answer(&id, &claim, answer.clone())
                .await
                .is_err()
            {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            drop(running);
        });
    }

    /// Withdraws the claim on a call that did not run, with retries in the background.
    pub(super) fn withdraw(&self, claim: ClaimRow) {
        let (claims, id) = (self.front.claims.clone(), self.id());
        let running = self.front.board.start_request();
        tokio::spawn(async move {
            while claims.withdraw(&id, &claim).await.is_err() {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            drop(running);
        });
    }

    pub(super) fn id(&self) -> CallId {
        CallId {
            service: self.rule.name.clone(),
            team: self.caller.team.name.clone(),
            request: self.caller.request.clone(),
        }
    }
}
