//! Tokens that waiting requests need of each budget, and the verdicts of allowance rounds.

use std::collections::HashMap;
use std::time::Duration;

use fescue_core::{BudgetId, Tokens};
use fescue_policy::sizing::Demand;
use indexmap::IndexMap;

/// Why the last round could not cover the need for a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Neither the table nor the peers asked have more tokens.
    Exhausted,
    /// The table is unavailable, and the peers asked have no more tokens.
    Unreachable,
    /// There are tokens, but too few witnesses answered to clear them.
    Unwitnessed,
}

/// The demand for one budget and the requests that wait for its tokens.
#[derive(Debug, Default)]
pub struct Need {
    /// The demand of granted reservations, as a rate over time.
    pub demand: Demand,
    /// The bounds of the waiting requests, by number.
    waiting: IndexMap<u64, Tokens>,
    /// The last verdict, with the number of its round.
    verdict: Option<(u64, Verdict)>,
}

impl Need {
    /// Returns the sum of the bounds of all waiting requests.
    pub fn waiting(&self) -> Tokens {
        self.waiting.values().copied().sum()
    }

    /// Returns the last verdict if its round is `round` or later.
    pub fn verdict_since(&self, round: u64) -> Option<Verdict> {
        let (found, verdict) = self.verdict?;
        (found >= round).then_some(verdict)
    }
}

/// The needs for all budgets, with the number of the current round.
#[derive(Debug, Default)]
pub struct Needs {
    needs: IndexMap<BudgetId, Need>,
    round: u64,
}

impl Needs {
    /// Counts a granted reservation as demand.
    pub fn record_demand(&mut self, budget: &BudgetId, now: Duration, bound: Tokens) {
        self.need(budget).demand.add(now, bound);
    }

    /// Adds a waiting request; returns the first round that will see it.
    pub fn add(&mut self, budget: &BudgetId, number: u64, bound: Tokens) -> u64 {
        self.need(budget).waiting.insert(number, bound);
        self.round + 1
    }

    /// Removes a waiting request.
    pub fn remove(&mut self, budget: &BudgetId, number: u64) {
        self.need(budget).waiting.shift_remove(&number);
    }

    /// Begins a round; returns its number and the need for each budget at that time.
    pub fn begin_round(&mut self) -> (u64, HashMap<BudgetId, Tokens>) {
        self.round += 1;
        let needs = self.needs.iter();
        let waiting = needs.map(|(budget, need)| (budget.clone(), need.waiting()));
        (self.round, waiting.collect())
    }

    /// Records the verdict of a round.
    pub fn record_verdict(&mut self, budget: &BudgetId, round: u64, verdict: Verdict) {
        self.need(budget).verdict = Some((round, verdict));
    }

    /// Returns the last verdict if its round is `round` or later.
    pub fn verdict_since(&self, budget: &BudgetId, round: u64) -> Option<Verdict> {
        self.needs.get(budget)?.verdict_since(round)
    }

    /// Returns the need for a budget, inserting an empty one if there is none.
    pub fn need(&mut self, budget: &BudgetId) -> &mut Need {
        if !self.needs.contains_key(budget) {
            self.needs.insert(budget.clone(), Need::default());
        }
        &mut self.needs[budget]
    }

    /// Returns all needs, in the order in which their budgets were first requested.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&BudgetId, &mut Need)> {
        self.needs.iter_mut()
    }
}
