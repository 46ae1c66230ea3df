//! The claim on a call that may not be repeated: made, waited for, answered, withdrawn.

use std::time::Duration;

use fescue_core::Refusal;
use fescue_core::outcome::Reason;
use fescue_store::TableError;
use fescue_store::claims::{Answer, CallId, ClaimOutcome, ClaimRow};
use tokio::time::Instant;

use super::Work;

/// How long a background write of a claim waits before it is tried again.
const AGAIN: Duration = Duration::from_millis(200);

/// How often a claim of another router is looked at while its answer is awaited.
const LOOK: Duration = Duration::from_millis(100);

impl Work {
    /// Looks for an earlier claim, where the caller chose the id and there may be one.
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

    /// Claims the call, waiting for the store until the deadline.
    pub(super) async fn claim(
        &self,
        claim: &ClaimRow,
        deadline: Instant,
    ) -> Result<ClaimOutcome, Refusal> {
        loop {
            match self.front.claims.claim(&self.id(), claim).await {
                Ok(claimed) => return Ok(claimed),
                Err(error) => {
                    let waited = self.wait_for_store(deadline, &error).await;
                    if waited.is_err() {
                        // The claim may be in the table; it must not bar a later try for good.
                        self.withdraw(claim.clone());
                    }
                    waited?;
                }
            }
        }
    }

    pub(super) async fn wait_for_store(
        &self,
        deadline: Instant,
        error: &TableError,
    ) -> Result<(), Refusal> {
        self.front.board.metrics.store_failures.inc();
        if Instant::now() + AGAIN < deadline {
            tokio::time::sleep(AGAIN).await;
            return Ok(());
        }
        tracing::warn!(request = %self.caller.request, %error, "the call can't be claimed");
        // This attempt sent nothing, but only an id that the router made is sure to have no other.
        if self.caller.keyed {
            let message = "this attempt was not sent, but an earlier one may have run";
            return Err(Refusal::unknown(Reason::StoreDown, message).after(AGAIN * 10));
        }
        let message = "the call can't be claimed now and was not sent";
        Err(Refusal::not_run(Reason::StoreDown, message).after(AGAIN * 10))
    }

    /// Answers from an earlier claim; the call is never made again.
    pub(super) async fn answer_before(
        &self,
        before: ClaimRow,
        deadline: Instant,
    ) -> Result<Answer, Refusal> {
        if before.body != self.fingerprint {
            return Err(self.reused());
        }
        let mut last = before;
        loop {
            if let Some(answer) = last.answer {
                return Ok(answer);
            }
            let board = &self.front.board;
            let alive = board.members.lock().incarnations();
            let running = last.by == board.me.incarnation || alive.contains(&last.by);
            if !running || Instant::now() + LOOK >= deadline {
                let message = "an earlier attempt may have run; its outcome isn't known";
                return Err(Refusal::unknown(Reason::MayHaveRun, message));
            }
            tokio::time::sleep(LOOK).await;
            match self.front.claims.find(&self.id()).await {
                Ok(Some(row)) => last = row,
                Ok(None) => {
                    let message = "the earlier attempt was withdrawn and did not run";
                    let refusal = Refusal::not_run(Reason::NoUpstream, message);
                    return Err(refusal.after(Duration::from_secs(1)));
                }
                Err(_) => {}
            }
        }
    }

    /// Stores the answer for repeats; while the store is away this goes on in the background.
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
                tokio::time::sleep(AGAIN).await;
            }
            drop(running);
        });
    }

    /// Withdraws the claim of a call that was not sent, in the background.
    pub(super) fn withdraw(&self, claim: ClaimRow) {
        let (claims, id) = (self.front.claims.clone(), self.id());
        let running = self.front.board.start_request();
        tokio::spawn(async move {
            while claims.withdraw(&id, &claim).await.is_err() {
                tokio::time::sleep(AGAIN).await;
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
