//! Draws and returns of one router, in one transaction.

use fescue_core::{BudgetId, Incarnation, Tokens};
use fescue_policy::account::AllowanceRow;
use fescue_policy::ledger::Parts;
use fescue_policy::sizing::{DrawInputs, Policy};
use indexmap::IndexMap;

use super::{Accounts, Step, allowance, closed, decode_budgets, write_all};
use crate::{Row, TableError, keys};

/// What a router asks of the table in one exchange.
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    /// Counts the exchanges of an incarnation.
    pub number: u64,
    /// What it knows of each budget that it wants to draw on.
    pub draws: IndexMap<BudgetId, DrawInputs>,
    /// What it gives back, by budget and origin.
    pub returns: IndexMap<BudgetId, Parts>,
    /// Whether the router knows that its row is closed, and has written off what went back then.
    pub knows_closed: bool,
}

/// What an exchange brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExchangeOutcome {
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
    ) -> Result<ExchangeOutcome, TableError> {
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
}

fn dedup(names: &mut Vec<String>) {
    let mut seen = std::collections::HashSet::new();
    names.retain(|name| seen.insert(name.clone()));
}

fn plan_exchange(
    owner: Incarnation,
    ask: &Exchange,
    policy: &dyn Policy,
    rows: &[Row],
) -> Result<Step<ExchangeOutcome>, TableError> {
    let mut own = allowance(&rows[0], owner)?;
    if own.has_exchanged(ask.number) {
        let drawn = own.exchange.drawn;
        return Ok(Step::Done(ExchangeOutcome {
            drawn,
            ..ExchangeOutcome::default()
        }));
    }
    if own.closed.is_some() && !ask.knows_closed {
        return Err(closed(owner));
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
        let outlook = DrawInputs { free, ..*outlook };
        wants.insert(id.clone(), policy.draw(&outlook));
    }
    let drawn = own.draw(owner, ask.number, &wants, &mut budgets)?;
    let free = budgets.iter().map(|(id, budget)| (id.clone(), budget.free));
    let free = free.collect();
    let exchanged = ExchangeOutcome { drawn, free };
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
