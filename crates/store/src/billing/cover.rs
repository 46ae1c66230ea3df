//! Bills whose lines lack the tokens, because the table lost their draw when it came back from a copy.

use std::sync::LazyLock;

use fescue_core::{BudgetId, Incarnation, Tokens};
use fescue_policy::account::{AllowanceRow, BudgetRow, Closing};
use fescue_policy::bills::Bill;
use fescue_policy::ledger::Parts;
use indexmap::IndexMap;

use super::{Allowances, Billing};
use crate::{Row, TableError, Transaction, keys};

/// The row of an incarnation whose own row the table lost, and of which only bills are known.
static LOST_ROW: LazyLock<AllowanceRow> = LazyLock::new(|| {
    let vm = "lost".parse().expect("a valid VM name");
    let data_centre = "lost".parse().expect("a valid name of a data centre");
    let by = "lost".parse().expect("a valid change id");
    let closed = Some(Closing { by, noted: None });
    AllowanceRow {
        closed,
        ..AllowanceRow::open(vm, data_centre)
    }
});

pub(super) fn lost_row() -> AllowanceRow {
    LOST_ROW.clone()
}

impl Billing {
    /// Draws what the lines lack for the bills, and lowers the charges by what the budgets lack.
    pub(super) async fn cover(
        &self,
        allowances: &mut Allowances,
        bills: &mut [Bill],
        write: &mut Transaction,
    ) -> Result<(), TableError> {
        let mut budgets = self.budgets(bills).await?;
        // What earlier bills of the batch take from each line.
        let mut taken: IndexMap<(Incarnation, BudgetId), Tokens> = IndexMap::new();
        for bill in bills {
            let Some((_, budget)) = budgets.get_mut(&bill.budget) else {
                continue;
            };
            let mut charges = Parts::default();
            for part in bill.charges.iter() {
                let (_, row) = &mut allowances[&part.origin];
                let line = row.line(&bill.budget);
                let taken = taken.entry((part.origin, bill.budget.clone())).or_default();
                let left = line.outstanding().saturating_sub(*taken);
                let lacking = part.amount.saturating_sub(left);
                let drawn = budget.draw(line, lacking);
                let uncovered = lacking.saturating_sub(drawn);
                let charged = part.amount.saturating_sub(uncovered);
                *taken = taken.saturating_add(charged);
                charges.push(part.origin, charged);
                if !lacking.is_zero() {
                    tracing::warn!(request = %bill.request, budget = %bill.budget, tokens = %lacking, %uncovered, "bill covered from the budget, as the table lost a draw");
                }
            }
            bill.charges = charges;
        }
        for (row, value) in budgets.values() {
            write.replace(row, value);
        }
        Ok(())
    }

    async fn budgets(
        &self,
        bills: &[Bill],
    ) -> Result<IndexMap<BudgetId, (Row, BudgetRow)>, TableError> {
        let mut ids: Vec<_> = bills.iter().map(|bill| bill.budget.clone()).collect();
        ids.sort_unstable();
        ids.dedup();
        let keys: Vec<_> = ids.iter().map(keys::budget).collect();
        let rows = self.table.read(&keys).await?;
        let mut found = IndexMap::new();
        for (id, row) in ids.into_iter().zip(rows) {
            let value: BudgetRow = row.decode()?.unwrap_or_default();
            found.insert(id, (row, value));
        }
        Ok(found)
    }
}
