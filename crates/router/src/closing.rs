//! Closes the allowances of routers that are gone, and hands in the bills kept for them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{BudgetId, ChangeId, Incarnation, Tokens};
use fescue_policy::account::{AllowanceRow, Closing};
use fescue_policy::{rendezvous, witness};
use fescue_store::TableError;
use fescue_store::accounts::Accounts;
use fescue_store::billing::Billing;
use indexmap::IndexMap;

use crate::blackboard::Board;

/// How often the duty is looked at.
const PACE: Duration = Duration::from_secs(2);

/// The key by which the router that looks after closings is found.
const DUTY: u64 = 0x636c_6f73;

/// The controller that closes and folds allowances.
pub struct Closer {
    board: Arc<Board>,
    accounts: Accounts,
    billing: Arc<Billing>,
    /// Since when an open row's owner has not been heard of.
    missing: HashMap<Incarnation, Duration>,
}

impl Closer {
    /// Opens the controller.
    pub fn new(board: Arc<Board>, accounts: Accounts, billing: Arc<Billing>) -> Self {
        Self {
            board,
            accounts,
            billing,
            missing: HashMap::new(),
        }
    }

    /// Looks after closings as long as the router runs.
    pub async fn run(&mut self) {
        loop {
            tokio::time::sleep(PACE).await;
            self.run_round().await;
        }
    }

    /// Looks after closings once.
    pub async fn run_round(&mut self) {
        self.hand_in().await;
        let alive = self.board.members.lock().incarnations();
        if !rendezvous::is_owner(DUTY, self.board.me.incarnation, &alive) {
            self.missing.clear();
            return;
        }
        let Ok(rows) = self.accounts.allowances().await else {
            return;
        };
        self.missing.retain(|owner, _| rows.contains_key(owner));
        for (owner, row) in &rows {
            if row.closed.is_some() {
                self.fold(*owner, row).await;
            } else if self.is_gone(*owner, &alive) {
                self.close(*owner, row).await;
            }
        }
        self.forget(&rows);
    }

    fn is_gone(&mut self, owner: Incarnation, alive: &[Incarnation]) -> bool {
        if owner == self.board.me.incarnation || alive.contains(&owner) {
            self.missing.remove(&owner);
            return false;
        }
        let now = self.board.now();
        let since = *self.missing.entry(owner).or_insert(now);
        now.saturating_sub(since) >= self.board.settings.pace.silence
    }

    /// Closes one router's allowances; what its witnesses prove unspent goes back.
    async fn close(&mut self, owner: Incarnation, row: &AllowanceRow) {
        let reports = self.refuse(owner, row).await;
        let noted = witness::merge_reports(row.witnesses.len(), &reports);
        let proved = noted.is_some();
        let by = format!("closed-by-{}", self.board.me.incarnation);
        let Ok(by) = by.parse::<ChangeId>() else {
            return;
        };
        let closing = Closing { by, noted };
        let closed = self.accounts.close(owner, row.epoch, &closing).await;
        match closed {
            Ok(refunds) => {
                self.board.closed.lock().insert(owner);
                log_closing(owner, row, proved, &refunds);
            }
            Err(error) => tracing::warn!(%owner, %error, "allowances can't be closed now"),
        }
    }

    /// Has the witnesses of a row refuse its owner and returns their reports.
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
            tracing::debug!(%owner, %error, "a closed row can't be folded now");
        }
    }

    /// Forgets closed incarnations whose rows are gone.
    fn forget(&self, rows: &IndexMap<Incarnation, AllowanceRow>) {
        let mut closed = self.board.closed.lock();
        closed.retain(|owner| rows.contains_key(owner));
    }

    /// Stores the bills kept for owners whose allowances are closed.
    async fn hand_in(&self) {
        let alive = self.board.members.lock().incarnations();
        let owners: Vec<_> = {
            let kept = self.board.kept.lock();
            let gone = kept.keys().filter(|owner| !alive.contains(owner));
            gone.copied().collect()
        };
        for owner in owners {
            if let Err(error) = self.hand_in_for(owner).await {
                tracing::debug!(%owner, %error, "kept bills wait for the table");
            }
        }
    }

    async fn hand_in_for(&self, owner: Incarnation) -> Result<(), TableError> {
        let row = self.accounts.allowance(owner).await?;
        if row.is_some_and(|row| row.closed.is_none()) {
            return Ok(());
        }
        let bills: Vec<_> = {
            let kept = self.board.kept.lock();
            let bills = kept.get(&owner).into_iter().flat_map(|b| b.values());
            bills.cloned().collect()
        };
        let entered = self.billing.insert(&bills).await?;
        tracing::info!(%owner, bills = entered.len(), "kept bills handed in");
        self.board.kept.lock().swap_remove(&owner);
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
