//! Closing the rows of incarnations that are gone, and what becomes of their tokens.

use fescue_core::{BudgetId, Incarnation, Tokens};
use fescue_policy::account::{AllowanceRow, BudgetRow, Closing};
use indexmap::IndexMap;

use super::{Accounts, Step, allowance, decode_budgets, write_all};
use crate::{TableError, Transaction, keys};

impl Accounts {
    /// Closes an incarnation's allowances and returns what went back to budgets.
    ///
    /// `noted` is what a majority of the witnesses named for the `epoch`th time reported; those of
    /// another naming prove nothing, so a row that has moved on is left open.
    ///
    /// # Errors
    ///
    /// When the store can't be reached.
    pub async fn close(
        &self,
        owner: Incarnation,
        epoch: u64,
        closing: &Closing,
    ) -> Result<IndexMap<BudgetId, Tokens>, TableError> {
        let names = self.names_with_budgets(owner).await?;
        self.repeat(&names, |rows| {
            let mut row = allowance(&rows[0], owner)?;
            if row.closed.is_some() {
                return Ok(Step::Done(IndexMap::new()));
            }
            if row.epoch != epoch {
                return Err(TableError::Unavailable("the witnesses changed".to_owned()));
            }
            let mut budgets = decode_budgets(&rows[1..])?;
            let refunds = row.close(owner, closing.clone(), &mut budgets);
            Ok(Step::Write(write_all(rows, &row, &budgets), refunds))
        })
        .await
    }

    /// Gives what a closed row holds of a budget back, on an operator's word.
    ///
    /// # Errors
    ///
    /// When a row isn't closed or acknowledged, or the store can't be reached.
    pub async fn release(&self, owner: Incarnation, id: &BudgetId) -> Result<Tokens, TableError> {
        let others = self.allowances().await?;
        let others: Vec<_> = others.into_values().collect();
        let names = [keys::allowance(owner), keys::budget(id)];
        self.repeat(&names, |rows| {
            let mut row = allowance(&rows[0], owner)?;
            let mut budget: BudgetRow = rows[1].decode()?.unwrap_or_default();
            let amount = row.release(owner, id, &mut budget, &others)?;
            let mut write = Transaction::default();
            write.replace(&rows[0], &row);
            write.replace(&rows[1], &budget);
            Ok(Step::Write(write, amount))
        })
        .await
    }

    /// Folds the finished lines of a closed row into their budgets; a row left empty goes.
    ///
    /// # Errors
    ///
    /// When the row is open or the store can't be reached.
    pub async fn fold(&self, owner: Incarnation) -> Result<bool, TableError> {
        let names = self.names_with_budgets(owner).await?;
        self.repeat(&names, |rows| {
            if !rows[0].exists() {
                return Ok(Step::Done(true));
            }
            let mut row = allowance(&rows[0], owner)?;
            if row.closed.is_none() {
                return Ok(Step::Done(false));
            }
            let before = row.lines.len();
            let mut budgets = decode_budgets(&rows[1..])?;
            let empty = row.fold(&mut budgets);
            if before == row.lines.len() && !empty {
                return Ok(Step::Done(false));
            }
            let mut write = write_all(rows, &row, &budgets);
            if empty {
                write.put.retain(|put| put.key != rows[0].key);
                write.delete.push(rows[0].key.clone());
            }
            Ok(Step::Write(write, empty))
        })
        .await
    }

    async fn names_with_budgets(&self, owner: Incarnation) -> Result<Vec<String>, TableError> {
        let mut names = vec![keys::allowance(owner)];
        let rows = self.table.read(&names).await?;
        if let Some(row) = rows[0].decode::<AllowanceRow>()? {
            names.extend(row.lines.keys().map(keys::budget));
        }
        Ok(names)
    }
}
