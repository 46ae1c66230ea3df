//! Closes the allowances of routers that are gone, and submits the bills kept for them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{BudgetId, ChangeId, Era, Incarnation, Tokens};
use fescue_policy::account::{AllowanceRow, Closing};
use fescue_policy::rendezvous;
use fescue_policy::witness::{self, Notes};
use fescue_store::TableError;
use fescue_store::accounts::Accounts;
use fescue_store::billing::Billing;
use indexmap::IndexMap;

use crate::blackboard::Board;

/// The interval between two rounds.
const INTERVAL: Duration = Duration::from_secs(2);

/// How long routers have after a return of the table to settle before their allowances are closed.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The hash key that assigns closings to one of the live routers; the bytes spell "clos".
const CLOSING_KEY: u64 = 0x636c_6f73;

/// The controller that closes allowances of lost routers and folds closed rows.
pub struct Closer {
    board: Arc<Board>,
    accounts: Accounts,
    billing: Arc<Billing>,
    /// When the owner of an open row was first found missing from the members.
    missing: HashMap<Incarnation, Duration>,
    /// The incarnations whose rows can't be read.
    unreadable: Vec<Incarnation>,
    /// The era in which routers haven't settled yet, and since when.
    unsettled: Option<(Era, Duration)>,
    /// The last era in which the copies of stored bills were recalled.
    recalled: Option<Era>,
}

impl Closer {
    /// Creates the controller; [`Closer::run`] starts it.
    pub fn new(board: Arc<Board>, accounts: Accounts, billing: Arc<Billing>) -> Self {
        Self {
            board,
            accounts,
            billing,
            missing: HashMap::new(),
            unreadable: Vec::new(),
            unsettled: None,
            recalled: None,
        }
    }

    /// Runs rounds until the task is dropped.
    pub async fn run(&mut self) {
        loop {
            tokio::time::sleep(INTERVAL).await;
            self.run_round().await;
        }
    }

    /// Submits kept bills and, if closings are assigned to this router, closes and folds rows.
    pub async fn run_round(&mut self) {
        self.submit_bills().await;
        let alive = self.board.members.lock().incarnations();
        if !rendezvous::is_owner(CLOSING_KEY, self.board.me.incarnation, &alive) {
            self.missing.clear();
            return;
        }
        let (rows, unreadable) = match self.accounts.readable_allowances().await {
            Ok(listed) => listed,
            Err(error) => {
                tracing::debug!(%error, "reading allowances failed; retrying in the next round");
                return;
            }
        };
        if self.unreadable != unreadable {
            tracing::warn!(
                ?unreadable,
                "rows of allowances are malformed; they stay open"
            );
            self.unreadable = unreadable;
        }
        self.missing.retain(|owner, _| rows.contains_key(owner));
        for (owner, row) in &rows {
            if row.closed.is_some() {
                self.fold(*owner, row).await;
            } else if self.is_gone(*owner, &alive) {
                self.close(*owner, row).await;
            }
        }
        self.settle_fleet(&rows, &alive).await;
        self.prune_closed(&rows, &alive);
    }

    /// After a return of the table, states when all routers have settled; one that takes too long is
    /// closed, since the others may draw nothing until then.
    async fn settle_fleet(
        &mut self,
        rows: &IndexMap<Incarnation, AllowanceRow>,
        alive: &[Incarnation],
    ) {
        let Some(era) = self.accounts.table().era() else {
            return;
        };
        if self.board.is_settled(Some(era)) {
            return;
        }
        let now = self.board.now();
        let (_, since) = *self.unsettled.get_or_insert((era, now));
        if self.unsettled.is_some_and(|(other, _)| other != era) {
            self.unsettled = Some((era, now));
            return;
        }
        let open = rows.iter().filter(|(_, row)| row.closed.is_none());
        let late: Vec<_> = open.filter(|(_, row)| row.settled != Some(era)).collect();
        let me = self.board.me.incarnation;
        let all = {
            let closed = self.board.closed.lock();
            let known = |router: &Incarnation| rows.contains_key(router) || closed.contains(router);
            alive.iter().chain([&me]).all(known)
        };
        if late.is_empty() && all {
            match self.accounts.mark_fleet_settled(era).await {
                Ok(()) => {
                    tracing::warn!(%era, "all routers have settled after a return of the table")
                }
                Err(error) => {
                    tracing::warn!(%error, %era, "stating that all routers have settled failed; retrying in the next round")
                }
            }
        } else if now.saturating_sub(since) >= SETTLE_TIMEOUT {
            for (owner, row) in late {
                tracing::warn!(%owner, vm = %row.vm, "router did not settle after a return of the table; closing its allowances");
                self.close(*owner, row).await;
            }
        }
    }

    fn is_gone(&mut self, owner: Incarnation, alive: &[Incarnation]) -> bool {
        if owner == self.board.me.incarnation || alive.contains(&owner) {
            self.missing.remove(&owner);
            return false;
        }
        let now = self.board.now();
        let since = *self.missing.entry(owner).or_insert(now);
        now.saturating_sub(since) >= self.board.settings.intervals.peer_timeout
    }

    /// Closes the allowances of one router and refunds the tokens that its witnesses prove unspent.
    async fn close(&mut self, owner: Incarnation, row: &AllowanceRow) {
        let reports = self.refuse(owner, row).await;
        let noted = witness::merge_reports(row.witnesses.len(), &reports);
        let proved = noted.is_some();
        let by = format!("closed-by-{}", self.board.me.incarnation);
        let Ok(by) = by.parse::<ChangeId>() else {
            return;
        };
        let era = self.accounts.table().era();
        let closed = if row.settled == era {
            let closing = Closing { by, noted };
            self.accounts.close(owner, row.epoch, &closing).await
        } else {
            let mut known = Notes::default();
            reports.iter().for_each(|report| known.merge(&report.notes));
            let known = known.totals_of(owner);
            let closed = self.accounts.close_unsettled(owner, &by, &known).await;
            closed.map(|()| IndexMap::new())
        };
        match closed {
            Ok(refunds) => {
                self.board.closed.lock().insert(owner);
                log_closing(owner, row, proved, &refunds);
            }
            Err(error) => {
                tracing::warn!(%owner, %error, "closing allowances failed; retrying in the next round")
            }
        }
    }

    /// Tells the witnesses of a row to refuse further notes of its owner; returns their reports.
    async fn refuse(&self, owner: Incarnation, row: &AllowanceRow) -> Vec<witness::Report> {
        let mut reports = Vec::new();
        for name in &row.witnesses {
            if *name == self.board.me.incarnation {
                reports.push(self.board.notebook.lock().refuse(owner, row.epoch));
                continue;
            }
            let Some(link) = self.board.members.lock().link(*name) else {
                continue;
            };
            match link.refuse(owner, row.epoch).await {
                Ok((incarnation, report)) if incarnation == *name => reports.push(report),
                _ => {}
            }
        }
        reports
    }

    async fn fold(&self, owner: Incarnation, row: &AllowanceRow) {
        self.board.closed.lock().insert(owner);
        if row.lines.values().all(|line| !line.outstanding().is_zero()) && !row.lines.is_empty() {
            return;
        }
        if let Err(error) = self.accounts.fold(owner).await {
            tracing::debug!(%owner, %error, "folding a closed row failed; retrying in the next round");
        }
    }

    /// Removes closed incarnations that are gone and whose rows no longer exist.
    fn prune_closed(&self, rows: &IndexMap<Incarnation, AllowanceRow>, alive: &[Incarnation]) {
        let mut closed = self.board.closed.lock();
        closed.retain(|owner| {
            rows.contains_key(owner) || alive.contains(owner) || self.unreadable.contains(owner)
        });
    }

    /// Submits the bills kept for lost owners, once the allowances of those are closed.
    async fn submit_bills(&mut self) {
        self.recall_copies();
        let alive = self.board.members.lock().incarnations();
        let owners: Vec<_> = {
            let kept = self.board.kept.lock();
            let gone = kept.keys().filter(|owner| !alive.contains(owner));
            gone.copied().collect()
        };
        for owner in owners {
            if let Err(error) = self.submit_bills_of(owner).await {
                tracing::debug!(%owner, %error, "submitting kept bills failed; retrying in the next round");
            }
        }
    }

    /// After the table came back from a copy, counts the copies of bills as not stored again, until
    /// their owners or this router have submitted them.
    fn recall_copies(&mut self) {
        let era = self.accounts.table().era();
        if !self.board.is_settled(era) || era == self.recalled {
            return;
        }
        let first = era.is_none_or(|era| era == Era::FIRST);
        self.recalled = era;
        if first {
            return;
        }
        let mut kept = self.board.kept.lock();
        for bill in self.board.stored_copies.lock().bills() {
            let bills = kept.entry(bill.id.by).or_default();
            bills.insert(bill.id.number, bill);
        }
    }

    async fn submit_bills_of(&self, owner: Incarnation) -> Result<(), TableError> {
        let row = self.accounts.allowance(owner).await?;
        if row.is_some_and(|row| row.closed.is_none()) {
            return Ok(());
        }
        let bills: Vec<_> = {
            let kept = self.board.kept.lock();
            let bills = kept.get(&owner).into_iter().flat_map(|b| b.values());
            bills.cloned().collect()
        };
        let entered = match self.billing.insert(&bills).await {
            // The table may have lost the row or a draw of the owner for good.
            Err(TableError::Refused(_) | TableError::Corrupt(..))
                if self.recalled.is_some_and(|era| era != Era::FIRST) =>
            {
                self.billing.insert_covered(&bills).await?
            }
            entered => entered?,
        };
        tracing::info!(%owner, bills = entered.len(), "kept bills submitted");
        let mut kept = self.board.kept.lock();
        kept.swap_remove(&owner);
        let mut stored = self.board.stored_copies.lock();
        let now = self.board.now();
        bills.into_iter().for_each(|bill| stored.push(now, bill));
        Ok(())
    }
}

fn log_closing(
    owner: Incarnation,
    row: &AllowanceRow,
    proved: bool,
    refunds: &IndexMap<BudgetId, Tokens>,
) {
    let refunded: Tokens = refunds.values().copied().sum();
    let held = row.outstanding().saturating_sub(refunded);
    tracing::warn!(%owner, vm = %row.vm, proved, %refunded, %held, "allowances closed");
}
