//! Exchanges with the table: draws and returns of one router in one transaction.

use fescue_core::{BudgetId, Incarnation, Tokens};
use fescue_policy::account::AllowanceRow;
use fescue_policy::ledger::Parts;
use fescue_policy::sizing::{DrawInputs, Policy};
use indexmap::IndexMap;

use super::{Accounts, Plan, allowance, closed_error, own_allowance, readable_budgets, write_all};
use crate::{Row, TableError, keys};

/// A router's request to draw tokens from budgets and to return unspent ones.
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    /// The sequence number of the exchange within the incarnation.
    pub number: u64,
    /// The inputs of the sizing policy for each budget to draw on.
    pub draws: IndexMap<BudgetId, DrawInputs>,
    /// The tokens to return, by budget and origin.
    pub returns: IndexMap<BudgetId, Parts>,
    /// Whether the router knows that its row is closed and has written off the tokens that were
    /// refunded at the closing.
    pub knows_closed: bool,
}

/// The outcome of an exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExchangeOutcome {
    /// The tokens drawn from each budget.
    pub drawn: IndexMap<BudgetId, Tokens>,
    /// The tokens that each budget has free after the exchange; empty for a repeated exchange.
    pub free: IndexMap<BudgetId, Tokens>,
}

impl Exchange {
    /// Returns whether the exchange has no draws and no returns.
    pub fn is_empty(&self) -> bool {
        self.draws.is_empty() && self.returns.is_empty()
    }
}

impl Accounts {
    /// Draws and returns tokens, once for each exchange number.
    ///
    /// `policy` decides how much to draw, given the tokens that each budget has free. Nothing is
    /// written if nothing is drawn and the exchange has no returns.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Lost`] if the exchange may have taken effect; the caller must then
    /// repeat it with the same number.
    pub async fn exchange(
        &self,
        owner: Incarnation,
        request: &Exchange,
        policy: &dyn Policy,
    ) -> Result<ExchangeOutcome, TableError> {
        let mut keys = vec![keys::allowance(owner)];
        let returned = request.returns.values().flat_map(Parts::iter);
        let origins: Vec<_> = returned.map(|part| part.origin).collect();
        keys.extend(origins.iter().map(|origin| keys::allowance(*origin)));
        let budgets = request.draws.keys().chain(request.returns.keys());
        keys.extend(budgets.map(keys::budget));
        dedup(&mut keys);
        self.retry(&keys, |rows| plan_exchange(owner, request, policy, rows))
            .await
    }
}

/// Removes later duplicates and keeps the order.
pub(super) fn dedup(keys: &mut Vec<String>) {
    let mut seen = std::collections::HashSet::new();
    keys.retain(|key| seen.insert(key.clone()));
}

fn plan_exchange(
    owner: Incarnation,
    request: &Exchange,
    policy: &dyn Policy,
    rows: &[Row],
) -> Result<Plan<ExchangeOutcome>, TableError> {
    let mut own = own_allowance(&rows[0], owner)?;
    if own.has_exchanged(request.number) {
        let drawn = own.exchange.drawn;
        return Ok(Plan::Done(ExchangeOutcome {
            drawn,
            ..ExchangeOutcome::default()
        }));
    }
    if own.closed.is_some() && !request.knows_closed {
        return Err(closed_error(owner));
    }
    let mut budgets = readable_budgets(rows);
    let mut others = IndexMap::new();
    for (id, parts) in &request.returns {
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
    for (id, inputs) in &request.draws {
        let free = budgets.get(id).map_or(Tokens::ZERO, |budget| budget.free);
        let inputs = DrawInputs { free, ..*inputs };
        wants.insert(id.clone(), policy.draw(&inputs));
    }
    let drawn = own.draw(owner, request.number, &wants, &mut budgets)?;
    let free = budgets.iter().map(|(id, budget)| (id.clone(), budget.free));
    let free = free.collect();
    let outcome = ExchangeOutcome { drawn, free };
    if request.returns.is_empty() && outcome.drawn.values().all(|drawn| drawn.is_zero()) {
        return Ok(Plan::Done(outcome));
    }
    let mut write = write_all(rows, &own, &budgets);
    for (origin, other) in &others {
        let key = keys::allowance(*origin);
        if let Some(row) = rows.iter().find(|row| row.key == key) {
            write.replace(row, other);
        }
    }
    Ok(Plan::Write(write, outcome))
}

/// Returns the row of another incarnation, decoding it on first use.
fn other_row<'a>(
    others: &'a mut IndexMap<Incarnation, AllowanceRow>,
    rows: &[Row],
    origin: Incarnation,
) -> Result<&'a mut AllowanceRow, TableError> {
    if !others.contains_key(&origin) {
        let key = keys::allowance(origin);
        let row = rows.iter().find(|row| row.key == key);
        let row = row.ok_or_else(|| closed_error(origin))?;
        others.insert(origin, allowance(row, origin)?);
    }
    Ok(&mut others[&origin])
}
