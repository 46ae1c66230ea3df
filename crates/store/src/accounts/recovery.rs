//! Recovery of a router's rows after the table came back from an older copy.
//!
//! See [docs/design/restored-store-own.md](../../../../docs/design/restored-store-own.md).

use fescue_core::{BudgetId, DataCentreId, Era, Incarnation, Tokens, VmId};
use fescue_policy::account::AllowanceRow;
use fescue_policy::journal::Journal;
use indexmap::IndexMap;

use super::exchange::dedup;
use super::{Accounts, Plan, closed_error, decode_budgets};
use crate::table::Put;
use crate::{Commit, Row, TableError, Transaction, keys};

/// What a router remembers of its rows.
#[derive(Clone, Debug)]
pub struct Memory {
    /// The incarnation of the router.
    pub owner: Incarnation,
    /// The VM that it runs on.
    pub vm: VmId,
    /// The data centre of the VM.
    pub data_centre: DataCentreId,
    /// Its fencing number.
    pub fence: u64,
    /// The exchanges that were acknowledged.
    pub journal: Journal,
    /// Whether its row was closed, so that a missing row was folded and not lost.
    pub closed: bool,
    /// The number of an exchange whose answer was lost.
    pub pending: Option<u64>,
}

/// The outcome of comparing a router's rows with what it remembers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settled {
    /// What the pending exchange drew; `None` if the table doesn't include that exchange.
    pub pending: Option<IndexMap<BudgetId, Tokens>>,
    /// The drawn tokens that the table lost and no longer has free, by budget.
    pub short: IndexMap<BudgetId, Tokens>,
}

impl Accounts {
    /// Writes what the table lost of a router's draws, returns and fencing number, once for each era.
    ///
    /// # Errors
    ///
    /// Returns an error if the row was closed on its witnesses' reports, if the era is past or if the store can't be reached.
    pub async fn settle(&self, era: Era, memory: &Memory) -> Result<Settled, TableError> {
        let mut keys = vec![keys::allowance(memory.owner), keys::fence(&memory.vm)];
        for (id, parts) in memory.journal.returns_after(0) {
            keys.push(keys::budget(id));
            keys.extend(parts.iter().map(|part| keys::allowance(part.origin)));
        }
        keys.extend(memory.journal.drawn().keys().map(keys::budget));
        dedup(&mut keys);
        self.retry(&keys, |rows| plan_settlement(era, memory, rows))
            .await
    }

    /// Draws what the lines still lack to the totals drawn, as far as it is free; returns by how much
    /// the free tokens fall short.
    ///
    /// # Errors
    ///
    /// Returns an error if the row is closed or the store can't be reached.
    pub async fn redraw(
        &self,
        owner: Incarnation,
        totals: &IndexMap<BudgetId, Tokens>,
    ) -> Result<IndexMap<BudgetId, Tokens>, TableError> {
        let mut keys = vec![keys::allowance(owner)];
        keys.extend(totals.keys().map(keys::budget));
        self.retry(&keys, |rows| {
            let mut own = super::own_allowance(&rows[0], owner)?;
            if is_refunded(&own) {
                return Err(closed_error(owner));
            }
            let mut budgets = decode_budgets(rows)?;
            let before = own.clone();
            let short = own.redraw(totals, &mut budgets);
            if own == before {
                return Ok(Plan::Done(short));
            }
            Ok(Plan::Write(super::write_all(rows, &own, &budgets), short))
        })
        .await
    }

    /// Applies the top-ups again that were confirmed through this handle and that the table lost.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached; the method may be called again.
    pub async fn repeat_top_ups(&self) -> Result<(), TableError> {
        let known: Vec<_> = self.top_ups.lock().clone().into_iter().collect();
        let keys: Vec<_> = known.iter().map(|(id, _)| keys::top_up(id)).collect();
        if keys.is_empty() {
            return Ok(());
        }
        let rows = self.table.read(&keys).await?;
        for ((id, top_up), _) in known.iter().zip(&rows).filter(|(_, row)| !row.exists()) {
            self.top_up(id, &top_up.budget, top_up.amount, &top_up.author)
                .await?;
            tracing::warn!(%id, budget = %top_up.budget, tokens = %top_up.amount, "the table lost a top-up; applied again");
        }
        Ok(())
    }

    /// Returns whether all routers have settled in an era, so that tokens may be drawn and calls
    /// claimed.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached.
    pub async fn is_fleet_settled(&self, era: Era) -> Result<bool, TableError> {
        if era == Era::FIRST {
            return Ok(true);
        }
        let rows = self.table.read(&[keys::settled(era)]).await?;
        Ok(rows[0].exists())
    }

    /// Records that all routers have settled in an era.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached or has entered another era.
    pub async fn mark_fleet_settled(&self, era: Era) -> Result<(), TableError> {
        let write = Transaction {
            put: vec![Put::encode(keys::settled(era), &era)],
            era: Some(era),
            ..Transaction::default()
        };
        match self.table.transact(&write).await? {
            Commit::Done(_) => Ok(()),
            Commit::Conflict => Err(past_era(era)),
        }
    }
}

fn past_era(era: Era) -> TableError {
    TableError::Unavailable(format!("the table has left era {era}"))
}

/// Returns whether a row was closed on the reports of its witnesses, and its lost draws settled with it.
fn is_refunded(row: &AllowanceRow) -> bool {
    let closing = row.closed.as_ref();
    closing.is_some_and(|closing| closing.noted.is_some())
}

fn plan_settlement(era: Era, memory: &Memory, rows: &[Row]) -> Result<Plan<Settled>, TableError> {
    if rows[0].era != Some(era) {
        return Err(past_era(era));
    }
    let Memory { owner, journal, .. } = memory;
    let stored = rows[0].decode()?;
    if stored.is_none() && memory.closed {
        return Err(closed_error(*owner));
    }
    let opened = || AllowanceRow::open(memory.vm.clone(), memory.data_centre.clone());
    let mut own: AllowanceRow = stored.unwrap_or_else(opened);
    if is_refunded(&own) {
        return Err(closed_error(*owner));
    }
    let includes = memory.pending.filter(|number| own.has_exchanged(*number));
    let pending = includes.map(|_| own.exchange.drawn.clone());
    let mut budgets = decode_budgets(rows)?;
    let mut others: IndexMap<Incarnation, (&Row, AllowanceRow)> = IndexMap::new();
    if own.settled != Some(era) {
        for (id, parts) in journal.returns_after(own.exchange.number) {
            let Some(budget) = budgets.get_mut(id) else {
                continue;
            };
            for part in parts.iter() {
                if part.origin == *owner {
                    budget.take_back_again(own.line(id), part.amount);
                } else if let Some(other) = other_row(&mut others, rows, part.origin)? {
                    budget.take_back_again(other.line(id), part.amount);
                }
            }
        }
    }
    if own.settled == Some(era) {
        let short = own.redraw(journal.drawn(), &mut IndexMap::new());
        return Ok(Plan::Done(Settled { pending, short }));
    }
    let short = own.redraw(journal.drawn(), &mut budgets);
    own.exchange.number = own.exchange.number.max(journal.number());
    own.settled = Some(era);
    let mut write = super::write_all(rows, &own, &budgets);
    for (row, other) in others.values() {
        write.replace(row, other);
    }
    let last: u64 = rows[1].decode()?.unwrap_or_default();
    if last < memory.fence {
        write.replace(&rows[1], &memory.fence);
    }
    Ok(Plan::Write(write, Settled { pending, short }))
}

/// Returns the row of another incarnation; `None` if it is gone, and with it the line to return to.
fn other_row<'a, 'r>(
    others: &'a mut IndexMap<Incarnation, (&'r Row, AllowanceRow)>,
    rows: &'r [Row],
    origin: Incarnation,
) -> Result<Option<&'a mut AllowanceRow>, TableError> {
    if !others.contains_key(&origin) {
        let key = keys::allowance(origin);
        let row = rows.iter().find(|row| row.key == key);
        let Some((row, value)) = row.and_then(|row| Some((row, row.decode().transpose()?))) else {
            return Ok(None);
        };
        others.insert(origin, (row, value?));
    }
    Ok(others.get_mut(&origin).map(|(_, value)| value))
}
