//! The billing controller: stores bills in batches and releases their copies on peers.

use std::sync::Arc;

use fescue_core::{BudgetId, Era, RequestId, Tokens};
use fescue_policy::bills::{Bill, BillId, InsertOutcome};
use fescue_policy::ledger::Reservation;
use fescue_store::TableError;
use fescue_store::billing::Billing;
use parking_lot::Mutex;

use crate::blackboard::Board;
use crate::copies::CopySender;

/// The maximum number of bills stored in one transaction.
const BATCH_SIZE: usize = 100;

/// The details of a request that go into its bill.
#[derive(Clone, Debug)]
pub struct RequestDetails {
    /// The budget that pays for the request.
    pub budget: BudgetId,
    /// The identifier under which a request is billed at most once.
    pub request: RequestId,
    /// The fingerprint of the request body.
    pub body: u64,
}

/// Bills requests and stores the bills.
#[derive(Clone)]
pub struct Biller {
    board: Arc<Board>,
    billing: Arc<Billing>,
    copies: CopySender,
    /// The last era of the table in which the stored bills are known to be in it.
    checked: Arc<Mutex<Option<Era>>>,
}

impl Biller {
    /// Creates the controller of a router without bills.
    pub fn new(board: Arc<Board>, billing: Arc<Billing>, copies: CopySender) -> Self {
        Self {
            board,
            billing,
            copies,
            checked: Arc::default(),
        }
    }

    /// Bills a finished request for `used` tokens and waits until peers hold copies of the bill.
    ///
    /// If no peer holds a copy, the bill is stored at once; if the store is unavailable too, the
    /// bill stays in memory only and is counted as exposed. See
    /// [docs/design/billing.md](../../../docs/design/billing.md).
    pub async fn bill(&self, reservation: Reservation, item: RequestDetails, used: Tokens) {
        let bound = reservation.bound();
        if used > bound {
            self.board.metrics.over_bound.inc();
            tracing::warn!(request = %item.request, %used, %bound, "upstream used more tokens than reserved; billing the reserved amount");
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
        if self.copies.replicate(bill).await == 0 {
            self.flush().await;
            if self.board.outbox.lock().contains_key(&id) {
                self.board.metrics.exposed_bills.inc();
                tracing::warn!(
                    number = id.number,
                    "bill has no copy on a peer and is not stored; a crash now would lose it"
                );
            }
        }
    }

    /// Stores bills at the configured interval, or earlier when notified.
    pub async fn run(&self) {
        loop {
            let pause = tokio::time::sleep(self.board.settings.intervals.bills);
            tokio::select! {
                () = pause => {}
                () = self.board.bill.notified() => {}
            }
            self.flush().await;
        }
    }

    /// Stores all pending bills; returns whether none are left.
    pub async fn flush(&self) -> bool {
        if !self.store_lost().await {
            return false;
        }
        loop {
            let batch: Vec<_> = {
                let outbox = self.board.outbox.lock();
                outbox.values().take(BATCH_SIZE).cloned().collect()
            };
            if batch.is_empty() {
                return true;
            }
            match self.billing.insert(&batch).await {
                Ok(entered) => self.conclude(&batch, &entered),
                Err(TableError::Refused(_) | TableError::Corrupt(..)) => {
                    return self.flush_each(&batch).await;
                }
                Err(error) => {
                    self.board.metrics.store_failures.inc();
                    tracing::warn!(%error, bills = batch.len(), "storing bills failed; retrying with the next flush");
                    return false;
                }
            }
        }
    }

    /// After the table came back from a copy, stores the bills again that it may have lost; returns
    /// whether all are in the table.
    async fn store_lost(&self) -> bool {
        let era = self.billing.era();
        if era.is_none_or(|era| era == Era::FIRST) || *self.checked.lock() == era {
            return true;
        }
        // The lines that pay for the bills aren't in the table before that.
        if !self.board.is_settled(era) {
            return false;
        }
        let bills = self.board.stored.lock().bills();
        for batch in bills.chunks(BATCH_SIZE) {
            match self.billing.insert_covered(batch).await {
                Ok(entered) => self.conclude_lost(batch, &entered),
                Err(error) => {
                    self.board.metrics.store_failures.inc();
                    tracing::warn!(%error, bills = batch.len(), "storing bills again failed; retrying with the next flush");
                    return false;
                }
            }
        }
        *self.checked.lock() = era;
        true
    }

    /// Takes back the tokens of lost bills whose requests were billed again meanwhile.
    fn conclude_lost(&self, batch: &[Bill], entered: &[InsertOutcome]) {
        let mut again = 0;
        for (bill, entered) in batch.iter().zip(entered) {
            match entered {
                InsertOutcome::New => again += 1,
                InsertOutcome::Stored => {}
                InsertOutcome::Duplicate(_) => {
                    let mut ledger = self.board.ledger.lock();
                    ledger.credit(&bill.budget, &bill.charges);
                    drop(ledger);
                    self.board.stored.lock().remove(bill.id);
                    tracing::info!(request = %bill.request, "request of a lost bill was billed again; dropping the lost one");
                }
            }
        }
        tracing::warn!(
            bills = batch.len(),
            again,
            "stored bills compared with the table"
        );
        self.copies
            .mark_stored(batch.iter().map(|bill| bill.id.number));
    }

    /// Stores bills one by one, so that one that its line cannot cover does not block the others.
    async fn flush_each(&self, batch: &[Bill]) -> bool {
        let mut all = true;
        for bill in batch {
            let alone = std::slice::from_ref(bill);
            // After a return of the table, the draw of the tokens may be lost for good.
            let era = self.billing.era();
            let covered = era.is_some_and(|era| era != Era::FIRST) && self.board.is_settled(era);
            let inserted = match covered {
                true => self.billing.insert_covered(alone).await,
                false => self.billing.insert(alone).await,
            };
            match inserted {
                Ok(entered) => self.conclude(alone, &entered),
                Err(error) => {
                    all = false;
                    tracing::error!(%error, request = %bill.request, "storing a bill failed; it stays in the outbox");
                }
            }
        }
        all
    }

    /// Returns the body fingerprint of a request if it is known to have been billed.
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
                let now = self.board.now();
                self.board.stored.lock().push(now, bill.clone());
                let tokens = bill.amount().get();
                self.board.metrics.billed_tokens.inc_by(tokens);
            } else {
                self.board.metrics.duplicate_bills.inc();
                tracing::info!(request = %bill.request, "request already billed; dropping the duplicate bill");
            }
        }
        self.copies
            .mark_stored(batch.iter().map(|bill| bill.id.number));
    }
}
