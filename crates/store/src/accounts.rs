//! Budgets and allowances in the table.
//!
//! Each operation reads rows, changes them by the rules of [`fescue_policy::account`], and writes
//! them if they are unchanged since the read. After a conflict or a lost answer it reads them
//! again: the rows then show whether the change took effect, so that a retry doesn't apply it
//! twice.

mod closing;
mod exchange;
mod recovery;

pub use exchange::{Exchange, ExchangeOutcome};
pub use recovery::{Memory, Settled};

use std::sync::Arc;

use fescue_core::{BudgetId, ChangeId, DataCentreId, Era, Incarnation, Tokens, VmId};
use fescue_policy::account::{AllowanceRow, BudgetRow, TopUpRow};
use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::table::scan_all;
use crate::{Commit, Row, Table, TableError, Transaction, keys};

/// The number of attempts at an operation before the store is reported as unavailable.
const MAX_ATTEMPTS: u32 = 8;

/// The number of confirmed top-ups that a handle remembers.
const MAX_TOP_UPS: usize = 1024;

/// The position of the era's number within a fencing number, above the numbers of all starts of a VM.
const ERA_SHIFT: u32 = 32;

/// The plan of one attempt, made from the rows that it has read.
enum Plan<T> {
    /// Commit the transaction, then return the value.
    Write(Transaction, T),
    /// Return the value without a write.
    Done(T),
}

/// Access to the budgets and allowances in the table.
#[derive(Clone)]
pub struct Accounts {
    table: Arc<dyn Table>,
    /// The last top-ups that were confirmed, for a table that comes back without them.
    top_ups: Arc<Mutex<IndexMap<ChangeId, TopUpRow>>>,
}

impl Accounts {
    /// Creates access to the accounts in `table`.
    pub fn open(table: Arc<dyn Table>) -> Self {
        let top_ups = Arc::default();
        Self { table, top_ups }
    }

    /// Returns the table that holds the accounts.
    pub fn table(&self) -> &Arc<dyn Table> {
        &self.table
    }

    /// Credits a budget, once for each change id; returns the budget's row.
    ///
    /// # Errors
    ///
    /// Returns an error if the amount isn't allowed or the store can't be reached.
    pub async fn top_up(
        &self,
        id: &ChangeId,
        budget: &BudgetId,
        amount: Tokens,
        author: &str,
    ) -> Result<BudgetRow, TableError> {
        let keys = [keys::top_up(id), keys::budget(budget)];
        let record = TopUpRow {
            budget: budget.clone(),
            amount,
            author: author.to_owned(),
        };
        let (stored, row) = self
            .retry(&keys, |rows| {
                let mut row: BudgetRow = rows[1].decode()?.unwrap_or_default();
                if let Some(stored) = rows[0].decode()? {
                    return Ok(Plan::Done((stored, row)));
                }
                row.top_up(amount)?;
                let mut write = Transaction::default();
                write.replace(&rows[0], &record);
                write.replace(&rows[1], &row);
                Ok(Plan::Write(write, (record.clone(), row)))
            })
            .await?;
        let mut top_ups = self.top_ups.lock();
        top_ups.insert(id.clone(), stored);
        if top_ups.len() > MAX_TOP_UPS {
            top_ups.shift_remove_index(0);
        }
        Ok(row)
    }

    /// Reads the top-up of a change id, to distinguish a repeat from a reused id.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached.
    pub async fn find_top_up(&self, id: &ChangeId) -> Result<Option<TopUpRow>, TableError> {
        let rows = self.table.read(&[keys::top_up(id)]).await?;
        rows[0].decode()
    }

    /// Reads the row of a budget; `None` if it was never credited.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached.
    pub async fn budget(&self, id: &BudgetId) -> Result<Option<BudgetRow>, TableError> {
        let rows = self.table.read(&[keys::budget(id)]).await?;
        rows[0].decode()
    }

    /// Inserts the row of a new incarnation; returns its fencing number, which is higher than that
    /// of any earlier incarnation on the same VM.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached.
    pub async fn register(
        &self,
        owner: Incarnation,
        vm: &VmId,
        data_centre: &DataCentreId,
    ) -> Result<u64, TableError> {
        let mut row = AllowanceRow::open(vm.clone(), data_centre.clone());
        let keys = [keys::allowance(owner), keys::fence(vm)];
        self.retry(&keys, |rows| {
            let last: u64 = rows[1].decode()?.unwrap_or_default();
            if rows[0].exists() {
                return Ok(Plan::Done(last));
            }
            // The table may have lost numbers of an earlier era.
            let floor = rows[1]
                .era
                .map_or(0, |era| era.get().saturating_sub(1) << ERA_SHIFT);
            let fence = last.max(floor) + 1;
            row.settled = rows[0].era;
            let mut write = Transaction::default();
            write.replace(&rows[0], &row);
            write.replace(&rows[1], &fence);
            Ok(Plan::Write(write, fence))
        })
        .await
    }

    /// Stores the witnesses of an incarnation and the closed incarnations that it acknowledges.
    ///
    /// `epoch` counts how often the incarnation has named witnesses.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached or the row is closed.
    pub async fn set_witnesses(
        &self,
        owner: Incarnation,
        epoch: u64,
        witnesses: &[Incarnation],
        acknowledged: &[Incarnation],
    ) -> Result<(), TableError> {
        self.retry(&[keys::allowance(owner)], |rows| {
            let mut row = own_allowance(&rows[0], owner)?;
            if row.closed.is_some() {
                return Err(closed_error(owner));
            }
            row.witnesses = witnesses.to_vec();
            row.epoch = epoch;
            row.acknowledged = acknowledged.to_vec();
            let mut write = Transaction::default();
            write.replace(&rows[0], &row);
            Ok(Plan::Write(write, ()))
        })
        .await
    }

    /// Returns the allowances of one incarnation; `None` if its row doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached.
    pub async fn allowance(&self, owner: Incarnation) -> Result<Option<AllowanceRow>, TableError> {
        let rows = self.table.read(&[keys::allowance(owner)]).await?;
        rows[0].decode()
    }

    /// Returns the allowances of all incarnations whose rows exist, including closed ones.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached.
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

    /// Returns the allowances of all incarnations whose rows can be read, and the incarnations whose
    /// rows can't.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached.
    pub async fn readable_allowances(
        &self,
    ) -> Result<(IndexMap<Incarnation, AllowanceRow>, Vec<Incarnation>), TableError> {
        let rows = scan_all(self.table.as_ref(), keys::ALLOWANCES).await?;
        let (mut found, mut unreadable) = (IndexMap::new(), Vec::new());
        for row in &rows {
            let name = row.key.trim_start_matches(keys::ALLOWANCES);
            let Ok(owner) = name.parse() else { continue };
            match row.decode() {
                Ok(Some(value)) => drop(found.insert(owner, value)),
                Ok(None) => {}
                Err(_) => unreadable.push(owner),
            }
        }
        Ok((found, unreadable))
    }

    /// Returns the rows of all budgets that can be read.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached.
    pub async fn budgets(&self) -> Result<IndexMap<BudgetId, BudgetRow>, TableError> {
        let rows = scan_all(self.table.as_ref(), keys::BUDGETS).await?;
        Ok(readable_budgets(&rows))
    }

    /// Reads rows and writes what `plan` returns for them; retries after conflicts and lost
    /// answers.
    async fn retry<T>(
        &self,
        keys: &[String],
        mut plan: impl FnMut(&[Row]) -> Result<Plan<T>, TableError> + Send,
    ) -> Result<T, TableError>
    where
        T: Send,
    {
        let mut lost = None;
        for _ in 0..MAX_ATTEMPTS {
            let rows = match self.table.read(keys).await {
                Ok(rows) => rows,
                Err(error) => return Err(lost.unwrap_or(error)),
            };
            let (write, value) = match plan(&rows)? {
                Plan::Done(value) => return Ok(value),
                Plan::Write(write, value) => (write, value),
            };
            match self.table.transact(&write).await {
                Ok(Commit::Done(_)) => return Ok(value),
                Ok(Commit::Conflict) => {}
                Err(error @ TableError::Lost(_)) => lost = Some(error),
                Err(error) => return Err(lost.unwrap_or(error)),
            }
        }
        let conflicts = || TableError::Unavailable(format!("{MAX_ATTEMPTS} conflicts in a row"));
        Err(lost.unwrap_or_else(conflicts))
    }
}

/// Returns the error of an operation on a row that is closed or has been deleted.
fn closed_error(owner: Incarnation) -> TableError {
    fescue_policy::account::AccountError::Closed(owner).into()
}

fn allowance(row: &Row, owner: Incarnation) -> Result<AllowanceRow, TableError> {
    row.decode()?.ok_or_else(|| closed_error(owner))
}

/// Decodes the budgets among the rows that can be read, so that one malformed budget doesn't stop draws on
/// the others. Nothing can be drawn from it or returned to it.
fn readable_budgets(rows: &[Row]) -> IndexMap<BudgetId, BudgetRow> {
    let mut budgets = IndexMap::new();
    for row in rows {
        match decode_budgets(std::slice::from_ref(row)) {
            Ok(decoded) => budgets.extend(decoded),
            Err(error) => tracing::warn!(%error, "row of a budget is malformed; not used"),
        }
    }
    budgets
}

/// Returns the row of the incarnation that asks, which must have settled in the era of the read.
fn own_allowance(row: &Row, owner: Incarnation) -> Result<AllowanceRow, TableError> {
    let own = row.decode::<AllowanceRow>()?;
    if own.as_ref().is_some_and(|own| own.settled == row.era) {
        return own.ok_or_else(|| closed_error(owner));
    }
    let first = row.era.is_none_or(|era| era == Era::FIRST);
    match own {
        Some(own) if own.closed.is_some() => Ok(own),
        None if first => Err(closed_error(owner)),
        _ => Err(TableError::Unavailable(
            "the table came back from a copy, and the row isn't settled yet".to_owned(),
        )),
    }
}

/// Decodes the budgets among the rows and skips all other rows.
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

/// Creates a transaction that writes the allowance row, which comes first in `rows`, and the
/// budgets.
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
