//! Closing of the rows of dead incarnations, and refunds of their tokens.

use fescue_core::{BudgetId, ChangeId, Incarnation, Tokens};
use fescue_policy::account::{AllowanceRow, BudgetRow, Closing};
use indexmap::IndexMap;

use super::{Accounts, Plan, allowance, decode_budgets, write_all};
use crate::{TableError, Transaction, keys};

impl Accounts {
    /// Closes an incarnation's allowances; returns the tokens refunded to each budget.
    ///
    /// [`Closing::noted`] are the totals that a majority of the witnesses of `epoch` reported.
    /// Reports of another epoch prove nothing, so a row whose epoch has changed is left open.
    ///
    /// # Errors
    ///
    /// Returns an error if the epoch has changed or the store can't be reached.
    pub async fn close(
        &self,
        owner: Incarnation,
        epoch: u64,
        closing: &Closing,
    ) -> Result<IndexMap<BudgetId, Tokens>, TableError> {
        let keys = self.keys_with_budgets(owner).await?;
        self.retry(&keys, |rows| {
            let mut row = allowance(&rows[0], owner)?;
            if row.closed.is_some() {
                return Ok(Plan::Done(IndexMap::new()));
            }
            if row.settled != rows[0].era {
                return Err(TableError::Unavailable(
                    "the row isn't settled, so its witnesses may be outdated".to_owned(),
                ));
            }
            if row.epoch != epoch {
                return Err(TableError::Unavailable(
                    "the witnesses changed since their reports were requested".to_owned(),
                ));
            }
            let mut budgets = decode_budgets(&rows[1..])?;
            let refunds = row.close(owner, closing.clone(), &mut budgets);
            Ok(Plan::Write(write_all(rows, &row, &budgets), refunds))
        })
        .await
    }

    /// Closes the allowances of an incarnation that didn't settle after the table came back from a
    /// copy.
    ///
    /// The row may name outdated witnesses, so nothing is refunded. `known` are the totals that any
    /// witness recorded: what the row lacks of them is drawn again, as far as it is free.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached.
    pub async fn close_unsettled(
        &self,
        owner: Incarnation,
        by: &ChangeId,
        known: &IndexMap<BudgetId, Tokens>,
    ) -> Result<(), TableError> {
        let mut keys = vec![keys::allowance(owner)];
        keys.extend(known.keys().map(keys::budget));
        self.retry(&keys, |rows| {
            let mut row = allowance(&rows[0], owner)?;
            if row.closed.is_some() || row.settled == rows[0].era {
                return Ok(Plan::Done(()));
            }
            let mut budgets = decode_budgets(&rows[1..])?;
            row.redraw(known, &mut budgets);
            let by = by.clone();
            row.closed = Some(Closing { by, noted: None });
            Ok(Plan::Write(write_all(rows, &row, &budgets), ()))
        })
        .await
    }

    /// Refunds all tokens that a closed row holds of a budget; returns how many.
    ///
    /// An operator must have confirmed that no process of the incarnation can still be running.
    ///
    /// # Errors
    ///
    /// Returns an error if the row is open, if an open row of another incarnation hasn't
    /// acknowledged its closing, or if the store can't be reached.
    pub async fn release(&self, owner: Incarnation, id: &BudgetId) -> Result<Tokens, TableError> {
        let others = self.allowances().await?;
        let others: Vec<_> = others.into_values().collect();
        let keys = [keys::allowance(owner), keys::budget(id)];
        self.retry(&keys, |rows| {
            let mut row = allowance(&rows[0], owner)?;
            let mut budget: BudgetRow = rows[1].decode()?.unwrap_or_default();
            let amount = row.release(owner, id, &mut budget, &others)?;
            let mut write = Transaction::default();
            write.replace(&rows[0], &row);
            write.replace(&rows[1], &budget);
            Ok(Plan::Write(write, amount))
        })
        .await
    }

    /// Folds the lines of a closed row that have nothing outstanding into their budgets.
    ///
    /// Returns whether the row is gone: it is deleted when no lines are left. An open row is not
    /// changed.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached.
    pub async fn fold(&self, owner: Incarnation) -> Result<bool, TableError> {
        let keys = self.keys_with_budgets(owner).await?;
        self.retry(&keys, |rows| {
            if !rows[0].exists() {
                return Ok(Plan::Done(true));
            }
            let mut row = allowance(&rows[0], owner)?;
            if row.closed.is_none() {
                return Ok(Plan::Done(false));
            }
            let before = row.lines.len();
            let mut budgets = decode_budgets(&rows[1..])?;
            let empty = row.fold(&mut budgets);
            if before == row.lines.len() && !empty {
                return Ok(Plan::Done(false));
            }
            let mut write = write_all(rows, &row, &budgets);
            if empty {
                write.put.retain(|put| put.key != rows[0].key);
                write.delete.push(rows[0].key.clone());
            }
            Ok(Plan::Write(write, empty))
        })
        .await
    }

    /// Returns the keys of an incarnation's row and of the budgets that it has lines for.
    async fn keys_with_budgets(&self, owner: Incarnation) -> Result<Vec<String>, TableError> {
        let mut keys = vec![keys::allowance(owner)];
        let rows = self.table.read(&keys).await?;
        if let Some(row) = rows[0].decode::<AllowanceRow>()? {
            keys.extend(row.lines.keys().map(keys::budget));
        }
        Ok(keys)
    }
}
