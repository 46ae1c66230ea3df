//! Graceful shutdown: requests finish, bills are stored, tokens are returned, the row is removed.
//!
//! The order of the steps and what follows from one that fails are in
//! [docs/design/fleet.md](../../../docs/design/fleet.md).

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescue_core::ChangeId;
use fescue_policy::account::Closing;
use fescue_store::TableError;
use fescue_store::accounts::Accounts;
use tokio::time::Instant;

use crate::allowance::Replenisher;
use crate::billing::Biller;
use crate::blackboard::Board;

/// The delay before a failed step is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Waits until no request is running, or until `deadline`.
pub async fn wait_for_requests(board: &Board, deadline: Instant) {
    let mut running = board.running.subscribe();
    let ended = running.wait_for(|running| *running == 0);
    if tokio::time::timeout_at(deadline, ended).await.is_err() {
        let running = *board.running.borrow();
        tracing::error!(
            running,
            "requests have not ended before their deadline; their tokens are left to peers"
        );
    }
}

/// A step of the shutdown once no request is running, in the order of execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Stores the bills; peers hold copies of those that are left.
    Bills,
    /// Returns the unspent tokens.
    Tokens,
    /// Closes the row of this incarnation, so that nothing is drawn with it any more.
    Close,
    /// Adds the row's totals to the budgets and deletes it.
    Fold,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Bills => "bills",
            Self::Tokens => "tokens",
            Self::Close => "close",
            Self::Fold => "fold",
        })
    }
}

/// The result of one attempt at a step.
enum Attempt {
    Done,
    /// The attempt failed, and another may succeed.
    Failed(String),
    /// The step can't be done by this router.
    Impossible(&'static str),
}

/// The components that the steps of the shutdown use.
pub struct Shutdown<'a> {
    /// The state that the router's components share.
    pub board: &'a Arc<Board>,
    /// Stores the bills.
    pub biller: &'a Biller,
    /// Returns the tokens; its task must have ended.
    pub replenisher: &'a mut Replenisher,
    /// The rows of the incarnations in the table.
    pub accounts: &'a Accounts,
}

impl Shutdown<'_> {
    /// Stores all bills, returns all unspent tokens, and closes and folds the row of this
    /// incarnation; returns the steps that are left to the peers.
    ///
    /// Each step is retried until it has used half of the time left until `deadline`, so that a
    /// failing one leaves time for the next; the last may use all of it.
    pub async fn settle(mut self, deadline: Instant) -> Vec<Step> {
        let mut left = Vec::new();
        for step in [Step::Bills, Step::Tokens, Step::Close, Step::Fold] {
            // Peers refund the unspent tokens of an open row by the notes of witnesses. A row that
            // its own router closes is not refunded, so it is closed only without such tokens and
            // without requests, which hold some.
            let blocked = match step {
                Step::Bills | Step::Tokens => false,
                Step::Close => left.contains(&Step::Tokens) || *self.board.running.borrow() > 0,
                Step::Fold => left.contains(&Step::Close),
            };
            if blocked || !self.run(step, deadline).await {
                left.push(step);
            }
        }
        tracing::info!(
            bills = self.board.outbox.lock().len(),
            left = %left.iter().map(Step::to_string).collect::<Vec<_>>().join(","),
            "shutdown steps ended; peers take over what is left"
        );
        left
    }

    /// Runs one step until it is done; returns whether it is.
    async fn run(&mut self, step: Step, deadline: Instant) -> bool {
        let start = Instant::now();
        let remaining = deadline.saturating_duration_since(start);
        let limit = if step == Step::Fold {
            remaining
        } else {
            remaining / 2
        };
        let mut attempts = 0_u32;
        let done = tokio::time::timeout(limit, async {
            loop {
                attempts += 1;
                match self.attempt(step).await {
                    Attempt::Done => return true,
                    Attempt::Failed(error) => {
                        tracing::warn!(%step, attempts, error, "shutdown step failed; retrying");
                        tokio::time::sleep(RETRY_INTERVAL).await;
                    }
                    Attempt::Impossible(reason) => {
                        tracing::info!(%step, reason, "shutdown step not possible; leaving it to peers");
                        return false;
                    }
                }
            }
        })
        .await;
        let took_ms = start.elapsed().as_millis() as u64;
        match done {
            Ok(true) => tracing::info!(%step, attempts, took_ms, "shutdown step done"),
            Ok(false) => {}
            Err(_) => {
                tracing::error!(%step, attempts, took_ms, "shutdown step not done in time; leaving it to peers");
            }
        }
        done.unwrap_or(false)
    }

    async fn attempt(&mut self, step: Step) -> Attempt {
        match step {
            Step::Bills => match self.biller.flush().await {
                true => Attempt::Done,
                false => {
                    // Bills wait until the lines that pay for them are settled with a table that came back.
                    self.replenisher.recover().await;
                    let bills = self.board.outbox.lock().len();
                    Attempt::Failed(format!("{bills} bills not stored"))
                }
            },
            Step::Tokens => match self.replenisher.return_all().await {
                true => Attempt::Done,
                false => Attempt::Failed("the table did not take the tokens".to_owned()),
            },
            Step::Close => retried(self.close().await),
            Step::Fold => match self.accounts.fold(self.board.me.incarnation).await {
                Ok(true) => Attempt::Done,
                Ok(false) => Attempt::Impossible("tokens of the row are held or not billed yet"),
                Err(error) => retried(Err(error)),
            },
        }
    }

    /// Closes the row of this incarnation unless a peer has closed or deleted it.
    async fn close(&self) -> Result<(), TableError> {
        let me = self.board.me.incarnation;
        let by = format!("stopped-{me}");
        let by: ChangeId = by.parse().map_err(|error| {
            TableError::Unavailable(format!("{by} can't be a change id: {error}"))
        })?;
        let Some(row) = self.accounts.allowance(me).await? else {
            return Ok(());
        };
        if let Some(closing) = row.closed {
            if closing.by != by {
                self.board.evict();
            }
            return Ok(());
        }
        self.board.closes_row.store(true, Ordering::Release);
        let closing = Closing { by, noted: None };
        self.accounts.close(me, row.epoch, &closing).await.map(drop)
    }
}

/// Returns the result of an attempt whose failure may be temporary.
fn retried(result: Result<(), TableError>) -> Attempt {
    match result {
        Ok(()) => Attempt::Done,
        Err(error) => Attempt::Failed(error.to_string()),
    }
}
