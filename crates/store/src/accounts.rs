//! Budgets and allowances in the table.
//!
//! Each operation reads rows, lets [`fescue_policy::account`] change them, and writes them if they
//! are still as read. After a conflict or a lost answer it reads again: the row itself then says
//! whether the change took effect, so that repeating never doubles it.

mod closing;
mod exchange;

pub use exchange::{Exchange, ExchangeOutcome};

use std::sync::Arc;

use fescue_core::{BudgetId, ChangeId, DataCentreId, Incarnation, Tokens, VmId};
use fescue_policy::account::{AllowanceRow, BudgetRow, TopUpRow};
use indexmap::IndexMap;

use crate::table::scan_all;
use crate::{Commit, Row, Table, TableError, Transaction, keys};

/// How often an operation tries again before it reports the store as unreachable.
const TRIES: u32 = 8;

/// How an operation that is tried again ended one try.
enum Step<T> {
    Write(Transaction, T),
    Done(T),
}

/// Budgets and allowances in the table.
#[derive(Clone)]
pub struct Accounts {
    table: Arc<dyn Table>,
}

impl Accounts {
    /// Opens the accounts that are kept in `table`.
    pub fn open(table: Arc<dyn Table>) -> Self {
        Self { table }
    }

    /// Returns the table.
    pub fn table(&self) -> &Arc<dyn Table> {
        &self.table
    }

    /// Credits a budget once for each change id.
    ///
    /// # Errors
    ///
    /// When the amount isn't allowed or the store can't be reached.
    pub async fn top_up(
        &self,
        id: &ChangeId,
        budget: &BudgetId,
        amount: Tokens,
        author: &str,
    ) -> Result<BudgetRow, TableError> {
        let rows = [keys::top_up(id), keys::budget(budget)];
        self.repeat(&rows, |rows| {
            let mut row: BudgetRow = rows[1].decode()?.unwrap_or_default();
            if rows[0].exists() {
                return Ok(Step::Done(row));
            }
            row.top_up(amount)?;
            let record = TopUpRow {
                budget: budget.clone(),
                amount,
                author: author.to_owned(),
            };
            let mut write = Transaction::default();
            write.replace(&rows[0], &record);
            write.replace(&rows[1], &row);
            Ok(Step::Write(write, row))
        })
        .await
    }

    /// Reads a top-up, to tell a repeat from an id that was used for another.
    ///
    /// # Errors
    ///
    /// When the store can't be reached.
    pub async fn find_top_up(&self, id: &ChangeId) -> Result<Option<TopUpRow>, TableError> {
        let rows = self.table.read(&[keys::top_up(id)]).await?;
        rows[0].decode()
    }

    /// Reads one budget.
    ///
    /// # Errors
    ///
    /// When the store can't be reached.
    pub async fn budget(&self, id: &BudgetId) -> Result<Option<BudgetRow>, TableError> {
        let rows = self.table.read(&[keys::budget(id)]).await?;
        rows[0].decode()
    }

    /// Opens the row of a new incarnation and returns its fencing number, which is higher than
    /// that of any earlier incarnation on the same VM.
    ///
    /// # Errors
    ///
    /// When the store can't be reached.
    pub async fn register(
        &self,
        owner: Incarnation,
        vm: &VmId,
        data_centre: &DataCentreId,
    ) -> Result<u64, TableError> {
        let row = AllowanceRow::open(vm.clone(), data_centre.clone());
        let names = [keys::allowance(owner), keys::fence(vm)];
        self.repeat(&names, |rows| {
            let last: u64 = rows[1].decode()?.unwrap_or_default();
            if rows[0].exists() {
                return Ok(Step::Done(last));
            }
            let fence = last + 1;
            let mut write = Transaction::default();
            write.replace(&rows[0], &row);
            write.replace(&rows[1], &fence);
            Ok(Step::Write(write, fence))
        })
        .await
    }

    /// Names the witnesses of an incarnation, for the `epoch`th time, and what it acknowledges.
    ///
    /// # Errors
    ///
    /// When the store can't be reached or the row is closed.
    pub async fn set_witnesses(
        &self,
        owner: Incarnation,
        epoch: u64,
        witnesses: &[Incarnation],
        acknowledged: &[Incarnation],
    ) -> Result<(), TableError> {
        self.repeat(&[keys::allowance(owner)], |rows| {
            let mut row = allowance(&rows[0], owner)?;
            if row.closed.is_some() {
                return Err(closed(owner));
            }
            row.witnesses = witnesses.to_vec();
            row.epoch = epoch;
            row.acknowledged = acknowledged.to_vec();
            let mut write = Transaction::default();
            write.replace(&rows[0], &row);
            Ok(Step::Write(write, ()))
        })
        .await
    }

    /// Returns the allowances of one incarnation.
    ///
    /// # Errors
    ///
    /// When the store can't be reached.
    pub async fn allowance(&self, owner: Incarnation) -> Result<Option<AllowanceRow>, TableError> {
        let rows = self.table.read(&[keys::allowance(owner)]).await?;
        rows[0].decode()
    }

    /// Returns the allowances of all incarnations.
    ///
    /// # Errors
    ///
    /// When the store can't be reached.
    pub async fn allowances(&self) -> Result<IndexMap<Incarnation, AllowanceRow>, TableError> {
        let rows = scan_all(self.table.as_ref(), keys::ALLOWANCES).await?;
        let mut found = IndexMap::new();
        for row in &rows {
            let name = row.key.trim_start_matches(keys::ALLOWANCES);
            let (Ok(owner), Some(value)) = (name.parse(), row.decode()?) else {
                continue;
            };
            found.insert(owner, value);
        }
        Ok(found)
    }

    /// Returns all budgets.
    ///
    /// # Errors
    ///
    /// When the store can't be reached.
    pub async fn budgets(&self) -> Result<IndexMap<BudgetId, BudgetRow>, TableError> {
        let rows = scan_all(self.table.as_ref(), keys::BUDGETS).await?;
        let mut found = IndexMap::new();
        for row in &rows {
            let name = row.key.trim_start_matches(keys::BUDGETS);
            let (Ok(id), Some(value)) = (name.parse(), row.decode()?) else {
                continue;
            };
            found.insert(id, value);
        }
        Ok(found)
    }

    /// Reads rows, plans a write and tries again after conflicts and lost answers.
    async fn repeat<T>(
        &self,
        names: &[String],
        mut plan: impl FnMut(&[Row]) -> Result<Step<T>, TableError> + Send,
    ) -> Result<T, TableError>
    where
        T: Send,
    {
        let mut lost = None;
        for _ in 0..TRIES {
            let rows = match self.table.read(names).await {
                Ok(rows) => rows,
                Err(error) => return Err(lost.unwrap_or(error)),
            };
            let (write, value) = match plan(&rows)? {
                Step::Done(value) => return Ok(value),
                Step::Write(write, value) => (write, value),
            };
            match self.table.transact(&write).await {
                Ok(Commit::Done(_)) => return Ok(value),
                Ok(Commit::Conflict) => {}
                Err(error @ TableError::Lost(_)) => lost = Some(error),
                Err(error) => return Err(lost.unwrap_or(error)),
            }
        }
        let busy = || TableError::Unavailable(format!("{TRIES} conflicts in a row"));
        Err(lost.unwrap_or_else(busy))
    }
}

fn closed(owner: Incarnation) -> TableError {
    fescue_policy::account::AccountError::Closed(owner).into()
}

fn allowance(row: &Row, owner: Incarnation) -> Result<AllowanceRow, TableError> {
    row.decode()?.ok_or_else(|| closed(owner))
}

fn decode_budgets(rows: &[Row]) -> Result<IndexMap<BudgetId, BudgetRow>, TableError> {
    let mut budgets = IndexMap::new();
    for row in rows {
        let Some(name) = row.key.strip_prefix(keys::BUDGETS) else {
            continue;
        };
        if let (Ok(id), Some(budget)) = (name.parse(), row.decode()?) {
            budgets.insert(id, budget);
        }
    }
    Ok(budgets)
}

fn write_all(
    rows: &[Row],
    own: &AllowanceRow,
    budgets: &IndexMap<BudgetId, BudgetRow>,
) -> Transaction {
    let mut write = Transaction::default();
    write.replace(&rows[0], own);
    for (id, budget) in budgets {
        let key = keys::budget(id);
        if let Some(row) = rows.iter().find(|row| row.key == key) {
            write.replace(row, budget);
        }
    }
    write
}
