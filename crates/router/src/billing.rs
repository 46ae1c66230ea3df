//! The billing controller: stores bills in batches and tells keepers which copies can go.

use std::sync::Arc;

use fescue_core::{BudgetId, RequestId, Tokens};
use fescue_policy::bills::{Bill, BillId, InsertOutcome};
use fescue_policy::ledger::Reservation;
use fescue_store::TableError;
use fescue_store::billing::Billing;

use crate::blackboard::Board;
use crate::copies::CopySender;

/// The most bills that are stored in one transaction.
const BATCH: usize = 100;

/// What a bill is made of besides its reservation.
#[derive(Clone, Debug)]
pub struct RequestDetails {
    /// The budget.
    pub budget: BudgetId,
    /// The request.
    pub request: RequestId,
    /// The fingerprint of its body.
    pub body: u64,
}

/// Makes bills, and stores them.
#[derive(Clone)]
pub struct Biller {
    board: Arc<Board>,
    billing: Arc<Billing>,
    copying: CopySender,
}

impl Biller {
    /// Opens the controller of a router that has no bill yet.
    pub fn new(board: Arc<Board>, billing: Arc<Billing>, copying: CopySender) -> Self {
        Self {
            board,
            billing,
            copying,
        }
    }

    /// Ends a request that used `used` tokens: bills it and waits until peers keep the bill.
    ///
    /// With no peer at hand the bill is stored first; with no store either it is kept here only
    /// and counted as exposed. See [docs/design/billing.md](../../../docs/design/billing.md).
    pub async fn bill(&self, reservation: Reservation, item: RequestDetails, used: Tokens) {
        let bound = reservation.bound();
        if used > bound {
            self.board.metrics.over_bound.inc();
            tracing::warn!(request = %item.request, %used, %bound, "the upstream used more than its bound");
        }
        let charges = self.board.ledger.lock().settle(reservation, used);
        let id = BillId {
            by: self.board.me.incarnation,
            number: self.board.next_number(),
        };
        let bill = Bill {
            id,
            request: item.request,
            budget: item.budget,
            charges,
            body: item.body,
        };
        tracing::info!(request = %bill.request, budget = %bill.budget, tokens = %bill.amount(), "billed");
        self.board.outbox.lock().insert(id, bill.clone());
        if self.copying.replicate(bill).await == 0 {
            self.flush().await;
            if self.board.outbox.lock().contains_key(&id) {
                self.board.metrics.exposed_bills.inc();
                tracing::warn!(number = id.number, "a bill has no copy and isn't stored");
            }
        }
    }

    /// Stores bills at the pace of the settings.
    pub async fn run(&self) {
        loop {
            let pause = tokio::time::sleep(self.board.settings.pace.bills);
            tokio::select! {
                () = pause => {}
                () = self.board.bill.notified() => {}
            }
            self.flush().await;
        }
    }

    /// Stores all bills that wait; returns whether none is left.
    pub async fn flush(&self) -> bool {
        loop {
            let batch: Vec<_> = {
                let outbox = self.board.outbox.lock();
                outbox.values().take(BATCH).cloned().collect()
            };
            if batch.is_empty() {
                return true;
            }
            match self.billing.insert(&batch).await {
                Ok(entered) => self.conclude(&batch, &entered),
                Err(TableError::Refused(_)) if batch.len() > 1 => {
                    return self.flush_each(&batch).await;
                }
                Err(error) => {
                    self.board.metrics.store_failures.inc();
                    tracing::warn!(%error, bills = batch.len(), "bills wait for the table");
                    return false;
                }
            }
        }
    }

    /// Stores bills one by one, so that one that a line can't pay doesn't hold up the others.
    async fn flush_each(&self, batch: &[Bill]) -> bool {
        let mut all = true;
        for bill in batch {
            let alone = std::slice::from_ref(bill);
            match self.billing.insert(alone).await {
                Ok(entered) => self.conclude(alone, &entered),
                Err(error) => {
                    all = false;
                    tracing::error!(%error, request = %bill.request, "a bill can't be stored");
                }
            }
        }
        all
    }

    /// Returns the fingerprint of a request that is known to have been billed.
    pub async fn body_of(&self, budget: &BudgetId, request: &RequestId) -> Option<u64> {
        self.billing.body_hash(budget.team(), request).await
    }

    fn conclude(&self, batch: &[Bill], entered: &[InsertOutcome]) {
        for (bill, entered) in batch.iter().zip(entered) {
            // Another flush may have concluded the same bill meanwhile.
            if self.board.outbox.lock().shift_remove(&bill.id).is_none() {
                continue;
            }
            let stored = !matches!(entered, InsertOutcome::Duplicate(_));
            let mut ledger = self.board.ledger.lock();
            ledger.end_billing(&bill.budget, &bill.charges, stored);
            drop(ledger);
            if stored {
                let tokens = bill.amount().get();
                self.board.metrics.billed_tokens.inc_by(tokens);
            } else {
                self.board.metrics.duplicate_bills.inc();
                tracing::info!(request = %bill.request, "the request was billed before");
            }
        }
        self.copying
            .mark_stored(batch.iter().map(|bill| bill.id.number));
    }
}
