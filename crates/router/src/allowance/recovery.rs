//! Settles the allowances of this router after the table came back from an older copy.

use std::sync::atomic::Ordering;

use fescue_core::{BudgetId, Era, Tokens};
use fescue_policy::account::AccountError;
use fescue_store::TableError;
use fescue_store::accounts::{Exchange, Memory, Settled};
use indexmap::IndexMap;

use super::Replenisher;

impl Replenisher {
    /// Writes what the table lost of this router's state; returns whether its row is settled in the
    /// current era of the table.
    ///
    /// Until then the row can't be used. See
    /// [docs/design/restored-store-own.md](../../../../docs/design/restored-store-own.md).
    pub async fn recover(&mut self) -> bool {
        let Some(era) = self.accounts.table().era().filter(|era| *era != Era::FIRST) else {
            return true;
        };
        if self.board.fence() == 0 {
            return false;
        }
        if !self.board.is_settled(Some(era)) {
            match self.accounts.is_fleet_settled(era).await {
                Ok(true) => self.board.mark_settled(era),
                Ok(false) => {}
                Err(error) => self.count_failure(&error),
            }
        }
        if self.settled != Some(era)
            && !(self.board.are_rules_checked(era) && self.settle(era).await)
        {
            return false;
        }
        if self.owes {
            self.redraw().await;
        }
        true
    }

    async fn settle(&mut self, era: Era) -> bool {
        let me = self.board.me.clone();
        let memory = Memory {
            owner: me.incarnation,
            vm: me.vm,
            data_centre: me.data_centre,
            fence: self.board.fence(),
            journal: self.journal.clone(),
            closed: self.board.evicted.load(Ordering::Acquire),
            pending: self.pending.as_ref().map(|request| request.number),
        };
        // Credits come first, so that the lost draws find them.
        let settled = async {
            self.repeat_claims().await?;
            self.accounts.repeat_top_ups().await?;
            self.accounts.settle(era, &memory).await
        };
        let settled = settled.await;
        match settled {
            Ok(settled) => {
                tracing::warn!(%era, short = ?settled.short, "allowances settled after a return of the table");
                self.apply(settled);
                self.clearing.redeclare().await;
                self.settled = Some(era);
                true
            }
            // A closed row draws nothing; its closing is applied before the next exchange.
            Err(TableError::Refused(AccountError::Closed(_))) => {
                self.board.evict();
                self.settled = Some(era);
                true
            }
            Err(error) => {
                self.count_failure(&error);
                false
            }
        }
    }

    /// Writes the claims again that the table lost.
    pub(super) async fn repeat_claims(&self) -> Result<(), TableError> {
        let era = self.accounts.table().era();
        let Some(era) = era.filter(|era| *era != Era::FIRST) else {
            return Ok(());
        };
        match &self.claims {
            Some(claims) => claims.repeat(era).await,
            None => Ok(()),
        }
    }

    fn apply(&mut self, settled: Settled) {
        if let Some(request) = self.pending.take() {
            match settled.pending {
                Some(drawn) => self.conclude(&request, &drawn),
                // The table lost the exchange, or never had it; it can't take effect any more.
                None => self.restore_returns(request),
            }
        }
        self.give_up(&settled.short);
    }

    /// Records an exchange that took effect and credits what it drew.
    pub(super) fn conclude(&mut self, request: &Exchange, drawn: &IndexMap<BudgetId, Tokens>) {
        let me = self.board.me.incarnation;
        self.journal.record(request.number, drawn, &request.returns);
        for (budget, amount) in drawn {
            self.credit(budget, me, *amount);
        }
    }

    /// Gives up unspent tokens whose draw the table lost and for which it has no others.
    fn give_up(&mut self, short: &IndexMap<BudgetId, Tokens>) {
        self.owes = false;
        for (budget, amount) in short {
            let given = self.board.ledger.lock().write_off(budget, *amount);
            self.journal.give_up(budget, given);
            self.owes |= given < *amount;
            tracing::warn!(%budget, tokens = %amount, given_up = %given, "lost draws exceed the free tokens of the budget");
        }
    }

    /// Draws tokens for those that are spent or with peers already.
    async fn redraw(&mut self) {
        let me = self.board.me.incarnation;
        match self.accounts.redraw(me, self.journal.drawn()).await {
            Ok(short) => self.give_up(&short),
            Err(TableError::Refused(AccountError::Closed(_))) => self.owes = false,
            Err(error) => self.count_failure(&error),
        }
    }
}
