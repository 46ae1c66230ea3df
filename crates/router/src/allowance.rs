//! Token allowances: drawing, transferring, clearing and returning tokens.
//!
//! A request calls [`Allowance::reserve`]. If too few tokens are cleared, it registers its need on
//! the blackboard and waits for a round of the [`Replenisher`]. A round asks the table, then peers,
//! then the witnesses, and records the result for each need, so that a refusal states its cause.
//! Design alternatives are discussed in
//! [docs/design/budgets.md](../../../docs/design/budgets.md).

mod clearing;
mod plan;
mod recovery;
mod replenisher;
mod transfer;

pub use clearing::Clearing;
pub use replenisher::Replenisher;

use std::sync::Arc;
use std::time::Duration;

use fescue_core::outcome::Reason;
use fescue_core::{BudgetId, Refusal, Tokens};
use fescue_policy::ledger::Reservation;
use tokio::sync::watch;

use crate::blackboard::{Board, Verdict};

/// How long a request waits for its tokens before it is refused.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(3);

/// The delay after which a caller may retry while the store or the witnesses are unavailable.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Reserves tokens for requests out of the allowances of this router.
#[derive(Clone)]
pub struct Allowance {
    board: Arc<Board>,
    rounds: watch::Receiver<u64>,
}

/// A need registered on the blackboard, which is removed on drop.
struct PendingNeed<'a> {
    board: &'a Board,
    budget: &'a BudgetId,
    number: u64,
    round: u64,
}

impl<'a> PendingNeed<'a> {
    fn register(board: &'a Board, budget: &'a BudgetId, bound: Tokens) -> Self {
        let number = board.next_number();
        let round = board.needs.lock().add(budget, number, bound);
        board.need.notify_one();
        Self {
            board,
            budget,
            number,
            round,
        }
    }

    fn verdict(&self) -> Option<Verdict> {
        let needs = self.board.needs.lock();
        needs.verdict_since(self.budget, self.round)
    }
}

impl Drop for PendingNeed<'_> {
    fn drop(&mut self) {
        self.board.needs.lock().remove(self.budget, self.number);
    }
}

impl Allowance {
    /// Creates a handle; `rounds` carries the number of the last finished round.
    pub fn new(board: Arc<Board>, rounds: watch::Receiver<u64>) -> Self {
        Self { board, rounds }
    }

    /// Reserves `bound` tokens, the most that a request can use.
    ///
    /// # Errors
    ///
    /// Returns a refusal that tells an exhausted budget from an unavailable store or too few
    /// witnesses. The request has not run.
    pub async fn reserve(&self, budget: &BudgetId, bound: Tokens) -> Result<Reservation, Refusal> {
        if !self.is_contended(budget, bound)
            && let Some(reservation) = self.try_reserve(budget, bound)
        {
            return Ok(reservation);
        }
        let mut rounds = self.rounds.clone();
        let pending = PendingNeed::register(&self.board, budget, bound);
        let deadline = tokio::time::Instant::now() + RESERVE_TIMEOUT;
        loop {
            let woken = tokio::time::timeout_at(deadline, rounds.changed()).await;
            if let Some(reservation) = self.try_reserve(budget, bound) {
                return Ok(reservation);
            }
            let verdict = pending.verdict();
            // Other witnesses may be declared meanwhile, so only the timeout ends this wait.
            let last = verdict.filter(|v| *v != Verdict::Unwitnessed || woken.is_err());
            if let Some(verdict) = last {
                return Err(refusal(budget, bound, verdict));
            }
            if woken.is_err() {
                return Err(refusal(budget, bound, Verdict::Unreachable));
            }
        }
    }

    /// Returns whether this reservation would take tokens that waiting requests need.
    fn is_contended(&self, budget: &BudgetId, bound: Tokens) -> bool {
        let mut needs = self.board.needs.lock();
        let waiting = needs.need(budget).waiting();
        let ledger = self.board.ledger.lock();
        let holding = ledger.holding(budget);
        let cleared = holding.map_or(Tokens::ZERO, |holding| holding.cleared());
        !waiting.is_zero() && cleared < waiting.saturating_add(bound)
    }

    fn try_reserve(&self, budget: &BudgetId, bound: Tokens) -> Option<Reservation> {
        let reservation = self.board.ledger.lock().reserve(budget, bound).ok()?;
        // Only granted reservations count as demand; otherwise refused requests would make this
        // router draw tokens that it does not use.
        let now = self.board.now();
        self.board.needs.lock().record_demand(budget, now, bound);
        Some(reservation)
    }
}

fn refusal(budget: &BudgetId, bound: Tokens, verdict: Verdict) -> Refusal {
    match verdict {
        Verdict::Exhausted => {
            let message = format!("budget {budget} doesn't cover {bound} tokens");
            Refusal::not_run(Reason::BudgetExhausted, message)
        }
        Verdict::Unreachable => {
            let message = format!("budget {budget} can't be asked for {bound} tokens now");
            Refusal::not_run(Reason::StoreDown, message).with_retry_after(RETRY_AFTER)
        }
        Verdict::Unwitnessed => {
            let message = format!("no peer can note {bound} tokens of budget {budget} now");
            Refusal::not_run(Reason::StoreDown, message).with_retry_after(RETRY_AFTER)
        }
    }
}
