//! What one router remembers of its exchanges with the table, for a table that comes back from an older
//! copy.
//!
//! The row in the copy names the last exchange that it includes and the totals drawn until then, so
//! that each lost draw and return is applied once. See
//! [docs/design/restored-store-own.md](../../../docs/design/restored-store-own.md).

use std::collections::VecDeque;

use fescue_core::{BudgetId, Tokens};
use indexmap::IndexMap;

use crate::ledger::Parts;

/// The number of exchanges with returns that are kept; returns of older ones are not repeated.
const MAX_RETURNS: usize = 4096;

/// The returns of one exchange, by budget and origin.
pub type Returns = IndexMap<BudgetId, Parts>;

/// The exchanges of one incarnation that the table acknowledged.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    /// The number of the last exchange.
    number: u64,
    /// The totals drawn by budget.
    drawn: IndexMap<BudgetId, Tokens>,
    /// The returns by the numbers of their exchanges, in order.
    returns: VecDeque<(u64, Returns)>,
}

impl Journal {
    /// Records an exchange that took effect.
    pub fn record(&mut self, number: u64, drawn: &IndexMap<BudgetId, Tokens>, returns: &Returns) {
        self.number = number;
        for (id, amount) in drawn {
            let total = self.drawn.entry(id.clone()).or_default();
            *total = total.saturating_add(*amount);
        }
        if !returns.is_empty() {
            self.returns.push_back((number, returns.clone()));
        }
        if self.returns.len() > MAX_RETURNS {
            self.returns.pop_front();
        }
    }

    /// Lowers the total drawn of a budget by tokens that this router gave up because the table lost
    /// their draw.
    pub fn give_up(&mut self, id: &BudgetId, amount: Tokens) {
        if let Some(total) = self.drawn.get_mut(id) {
            *total = total.saturating_sub(amount);
        }
    }

    /// Returns the number of the last exchange.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the totals drawn by budget.
    pub fn drawn(&self) -> &IndexMap<BudgetId, Tokens> {
        &self.drawn
    }

    /// Returns the budgets and parts of all returns after an exchange.
    pub fn returns_after(&self, number: u64) -> impl Iterator<Item = (&BudgetId, &Parts)> {
        let later = self.returns.iter().filter(move |(at, _)| *at > number);
        later.flat_map(|(_, returns)| returns.iter())
    }
}
