//! What waiting requests need of each budget, and what the last round found.

use std::collections::HashMap;
use std::time::Duration;

use fescue_core::{BudgetId, Tokens};
use fescue_policy::sizing::Demand;
use indexmap::IndexMap;

/// What the last round found for a budget that requests wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The table and the peers asked have no more.
    Exhausted,
    /// The table can't be asked, and the peers asked have no more.
    Unreachable,
    /// There is more, but too few witnesses answered.
    Unwitnessed,
}

/// One budget's demand.
#[derive(Debug, Default)]
pub struct Need {
    /// How much is asked for.
    pub demand: Demand,
    /// The bounds of the requests that wait, by their numbers.
    waiting: IndexMap<u64, Tokens>,
    /// What the last round found, and the number of that round.
    verdict: Option<(u64, Verdict)>,
}

impl Need {
    /// Returns what the waiting requests need in all.
    pub fn waiting(&self) -> Tokens {
        self.waiting.values().copied().sum()
    }

    /// Returns what a round found that began at `round` or later.
    pub fn verdict_since(&self, round: u64) -> Option<Verdict> {
        let (found, verdict) = self.verdict?;
        (found >= round).then_some(verdict)
    }
}

/// The demand for all budgets.
#[derive(Debug, Default)]
pub struct Needs {
    needs: IndexMap<BudgetId, Need>,
    round: u64,
}

impl Needs {
    /// Counts a request whose tokens were set aside.
    pub fn record_demand(&mut self, budget: &BudgetId, now: Duration, bound: Tokens) {
        self.need(budget).demand.add(now, bound);
    }

    /// Adds a waiting request; returns the first round that will see it.
    pub fn add(&mut self, budget: &BudgetId, number: u64, bound: Tokens) -> u64 {
        self.need(budget).waiting.insert(number, bound);
        self.round + 1
    }

    /// Takes out a waiting request.
    pub fn remove(&mut self, budget: &BudgetId, number: u64) {
        self.need(budget).waiting.shift_remove(&number);
    }

    /// Begins a round; returns its number and what is needed as it begins.
    pub fn begin_round(&mut self) -> (u64, HashMap<BudgetId, Tokens>) {
        self.round += 1;
        let needs = self.needs.iter();
        let waiting = needs.map(|(budget, need)| (budget.clone(), need.waiting()));
        (self.round, waiting.collect())
    }

    /// Notes what a round found.
    pub fn record_verdict(&mut self, budget: &BudgetId, round: u64, verdict: Verdict) {
        self.need(budget).verdict = Some((round, verdict));
    }

    /// Returns what a round found that began at `round` or later.
    pub fn verdict_since(&self, budget: &BudgetId, round: u64) -> Option<Verdict> {
        self.needs.get(budget)?.verdict_since(round)
    }

    /// Returns the need of a budget, made empty where there is none.
    pub fn need(&mut self, budget: &BudgetId) -> &mut Need {
        if !self.needs.contains_key(budget) {
            self.needs.insert(budget.clone(), Need::default());
        }
        &mut self.needs[budget]
    }

    /// Returns all needs.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&BudgetId, &mut Need)> {
        self.needs.iter_mut()
    }
}
