//! Budgets and allowances in the table.
//!
//! Each operation reads rows, lets [`fescue_policy::account`] change them, and writes them if they
//! are still as read. After a conflict or a lost answer it reads again: the row itself then says
//! whether the change took effect, so that repeating never doubles it.

use std::sync::Arc;

use fescue_core::{BudgetId, ChangeId, DataCentreId, Incarnation, Tokens, VmId};
use fescue_policy::account::{AllowanceRow, BudgetRow, Closing, TopUpRow};
use fescue_policy::ledger::Parts;
use fescue_policy::sizing::{Outlook, Policy};
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

/// What a router asks of the table in one exchange.
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    /// Counts the exchanges of an incarnation.
    pub number: u64,
    /// What it knows of each budget that it wants to draw on.
    pub draws: IndexMap<BudgetId, Outlook>,
    /// What it gives back, by budget and origin.
    pub returns: IndexMap<BudgetId, Parts>,
}

/// What an exchange brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Exchanged {
    /// What was drawn of each budget.
    pub drawn: IndexMap<BudgetId, Tokens>,
    /// What each budget has free now, where that was read.
    pub free: IndexMap<BudgetId, Tokens>,
}

impl Exchange {
    /// Returns whether there is nothing to ask.
    pub fn is_empty(&self) -> bool {
        self.draws.is_empty() && self.returns.is_empty()
    }
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

    /// Draws and gives back, once for each number, and returns what was drawn.
    ///
    /// Nothing is written where nothing is drawn or given back.
    /// How much is drawn is left to `policy`, which sees what each budget has free.
    ///
    /// # Errors
    ///
    /// [`TableError::Lost`] when it may have taken effect; it is then asked again with the same
    /// number.
    pub async fn exchange(
        &self,
        owner: Incarnation,
        ask: &Exchange,
        policy: &dyn Policy,
    ) -> Result<Exchanged, TableError> {
        let mut names = vec![keys::allowance(owner)];
        let returned = ask.returns.values().flat_map(Parts::iter);
        let origins: Vec<_> = returned.map(|part| part.origin).collect();
        names.extend(origins.iter().map(|origin| keys::allowance(*origin)));
        let budgets = ask.draws.keys().chain(ask.returns.keys());
        names.extend(budgets.map(keys::budget));
        dedup(&mut names);
        self.repeat(&names, |rows| plan_exchange(owner, ask, policy, rows))
            .await
    }

    /// Names the witnesses of an incarnation and what it acknowledges.
    ///
    /// # Errors
    ///
    /// When the store can't be reached or the row is closed.
    pub async fn declare(
        &self,
        owner: Incarnation,
        witnesses: &[Incarnation],
        acknowledged: &[Incarnation],
    ) -> Result<(), TableError> {
        self.repeat(&[keys::allowance(owner)], |rows| {
            let mut row = allowance(&rows[0], owner)?;
            if row.closed.is_some() {
                return Err(closed(owner));
            }
            row.witnesses = witnesses.to_vec();
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

    /// Closes an incarnation's allowances and returns what went back to budgets.
    ///
    /// `noted` is what a majority of the witnesses named in the row reported; those of another set
    /// prove nothing, so a row whose witnesses are no longer `witnesses` is left open.
    ///
    /// # Errors
    ///
    /// When the store can't be reached.
    pub async fn close(
        &self,
        owner: Incarnation,
        witnesses: &[Incarnation],
        closing: &Closing,
    ) -> Result<IndexMap<BudgetId, Tokens>, TableError> {
        let names = self.names_with_budgets(owner).await?;
        self.repeat(&names, |rows| {
            let mut row = allowance(&rows[0], owner)?;
            if row.closed.is_some() {
                return Ok(Step::Done(IndexMap::new()));
            }
            if row.witnesses != witnesses {
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
                Ok(Commit::Done) => return Ok(value),
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

fn dedup(names: &mut Vec<String>) {
    let mut seen = std::collections::HashSet::new();
    names.retain(|name| seen.insert(name.clone()));
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

fn plan_exchange(
    owner: Incarnation,
    ask: &Exchange,
    policy: &dyn Policy,
    rows: &[Row],
) -> Result<Step<Exchanged>, TableError> {
    let mut own = allowance(&rows[0], owner)?;
    if own.has_exchanged(ask.number) {
        let drawn = own.exchange.drawn;
        return Ok(Step::Done(Exchanged {
            drawn,
            ..Exchanged::default()
        }));
    }
    let mut budgets = decode_budgets(rows)?;
    let mut others = IndexMap::new();
    for (id, parts) in &ask.returns {
        let Some(budget) = budgets.get_mut(id) else {
            continue;
        };
        for part in parts.iter() {
            if part.origin == owner {
                budget.take_back(own.line(id), part.amount)?;
                continue;
            }
            let other = other_row(&mut others, rows, part.origin)?;
            budget.take_back(other.line(id), part.amount)?;
        }
    }
    let mut wants = IndexMap::new();
    for (id, outlook) in &ask.draws {
        let free = budgets.get(id).map_or(Tokens::ZERO, |budget| budget.free);
        let outlook = Outlook { free, ..*outlook };
        wants.insert(id.clone(), policy.draw(&outlook));
    }
    let drawn = own.draw(owner, ask.number, &wants, &mut budgets)?;
    let free = budgets.iter().map(|(id, budget)| (id.clone(), budget.free));
    let free = free.collect();
    let exchanged = Exchanged { drawn, free };
    if ask.returns.is_empty() && exchanged.drawn.values().all(|drawn| drawn.is_zero()) {
        return Ok(Step::Done(exchanged));
    }
    let mut write = write_all(rows, &own, &budgets);
    for (origin, other) in &others {
        let key = keys::allowance(*origin);
        if let Some(row) = rows.iter().find(|row| row.key == key) {
            write.replace(row, other);
        }
    }
    Ok(Step::Write(write, exchanged))
}

fn other_row<'a>(
    others: &'a mut IndexMap<Incarnation, AllowanceRow>,
    rows: &[Row],
    origin: Incarnation,
) -> Result<&'a mut AllowanceRow, TableError> {
    if !others.contains_key(&origin) {
        let key = keys::allowance(origin);
        let row = rows.iter().find(|row| row.key == key);
        let row = row.ok_or_else(|| closed(origin))?;
        others.insert(origin, allowance(row, origin)?);
    }
    Ok(&mut others[&origin])
}
