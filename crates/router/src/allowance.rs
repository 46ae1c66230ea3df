//! The allowance controller: draws, hands over, clears and gives back tokens.
//!
//! A request asks [`Allowance::reserve`]. Where too little is cleared, it states its need on the
//! blackboard and waits for a round. A round asks the table, then peers, then the witnesses, and
//! notes for each need what it found, so that a refusal says why. The ways weighed are in
//! [docs/design/budgets.md](../../../docs/design/budgets.md).

mod clearing;
mod plan;
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

/// How long a request may wait for its tokens.
const PATIENCE: Duration = Duration::from_secs(3);

/// When it is worth asking again while the store can't be reached.
const STORE_PAUSE: Duration = Duration::from_secs(2);

/// Where requests get their tokens.
#[derive(Clone)]
pub struct Allowance {
    board: Arc<Board>,
    rounds: watch::Receiver<u64>,
}

/// A need on the blackboard, taken back when dropped.
struct Stated<'a> {
    board: &'a Board,
    budget: &'a BudgetId,
    number: u64,
    round: u64,
}

impl<'a> Stated<'a> {
    fn state(board: &'a Board, budget: &'a BudgetId, bound: Tokens) -> Self {
        let number = board.next_number();
        let round = board.needs.lock().wait(budget, number, bound);
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

impl Drop for Stated<'_> {
    fn drop(&mut self) {
        self.board.needs.lock().leave(self.budget, self.number);
    }
}

impl Allowance {
    /// Opens the way to the tokens that `rounds` reports on.
    pub fn new(board: Arc<Board>, rounds: watch::Receiver<u64>) -> Self {
        Self { board, rounds }
    }

    /// Sets the upper bound of a request aside.
    ///
    /// # Errors
    ///
    /// A refusal that says whether the budget is used up or can't be asked; nothing has run.
    pub async fn reserve(&self, budget: &BudgetId, bound: Tokens) -> Result<Reservation, Refusal> {
        if !self.is_contended(budget, bound)
            && let Some(reservation) = self.try_reserve(budget, bound)
        {
            return Ok(reservation);
        }
        let mut rounds = self.rounds.clone();
        let stated = Stated::state(&self.board, budget, bound);
        let deadline = tokio::time::Instant::now() + PATIENCE;
        loop {
            let woken = tokio::time::timeout_at(deadline, rounds.changed()).await;
            if let Some(reservation) = self.try_reserve(budget, bound) {
                return Ok(reservation);
            }
            let verdict = stated.verdict();
            // Other witnesses may be named meanwhile, so only time ends the wait for them.
            let last = verdict.filter(|v| *v != Verdict::Unwitnessed || woken.is_err());
            if let Some(verdict) = last {
                return Err(refusal(budget, bound, verdict));
            }
            if woken.is_err() {
                return Err(refusal(budget, bound, Verdict::Unreachable));
            }
        }
    }

    /// Returns whether requests wait that would lack what this one takes.
    fn is_contended(&self, budget: &BudgetId, bound: Tokens) -> bool {
        let mut needs = self.board.needs.lock();
        let waiting = needs.need(budget).waiting();
        let ledger = self.board.ledger.lock();
        let purse = ledger.holding(budget);
        let cleared = purse.map_or(Tokens::ZERO, |purse| purse.cleared());
        !waiting.is_zero() && cleared < waiting.saturating_add(bound)
    }

    fn try_reserve(&self, budget: &BudgetId, bound: Tokens) -> Option<Reservation> {
        let reservation = self.board.ledger.lock().reserve(budget, bound).ok()?;
        // Only what was served counts as demand, or refused requests would make this router hoard.
        let now = self.board.now();
        self.board.needs.lock().served(budget, now, bound);
        Some(reservation)
    }
}

fn refusal(budget: &BudgetId, bound: Tokens, verdict: Verdict) -> Refusal {
    match verdict {
        Verdict::Empty => {
            let message = format!("budget {budget} doesn't cover {bound} tokens");
            Refusal::not_run(Reason::BudgetExhausted, message)
        }
        Verdict::Unreachable => {
            let message = format!("budget {budget} can't be asked for {bound} tokens now");
            Refusal::not_run(Reason::StoreDown, message).with_retry_after(STORE_PAUSE)
        }
        Verdict::Unwitnessed => {
            let message = format!("no peer can note {bound} tokens of budget {budget} now");
            Refusal::not_run(Reason::StoreDown, message).with_retry_after(STORE_PAUSE)
        }
    }
}
