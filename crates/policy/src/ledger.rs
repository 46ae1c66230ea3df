//! The tokens that one router holds of each budget, and which of them it may spend.
//!
//! Tokens pass through these states: *free* after they are drawn or taken from a peer; *cleared*,
//! and so spendable, once witnesses have recorded them; *reserved* while a request holds its upper
//! bound; *spent* from the end of the request until its bill is stored. Tokens carry their origin,
//! the incarnation whose line in the table they came from, so that a bill always charges the line
//! that paid for it.

mod holding;
mod lot;

pub use holding::Holding;
pub use lot::{Lot, Part, Parts};

use fescue_core::{BudgetId, Incarnation, Tokens};
use indexmap::IndexMap;

/// The tokens that one router holds.
#[derive(Clone, Debug)]
pub struct Ledger {
    owner: Incarnation,
    holdings: IndexMap<BudgetId, Holding>,
}

/// The tokens set aside for one request.
///
/// # Invariants
///
/// A reservation is settled or released exactly once; both methods take it by value.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "the tokens of a dropped reservation stay reserved forever"]
pub struct Reservation {
    /// The budget that the tokens belong to.
    pub budget: BudgetId,
    /// The tokens by origin.
    parts: Parts,
}

impl Reservation {
    /// Returns the number of tokens reserved: the upper bound of the request's cost.
    pub fn bound(&self) -> Tokens {
        self.parts.total()
    }
}

/// The error for a request that needs more tokens than are cleared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Short {
    /// The number of tokens to clear before the reservation can succeed.
    pub missing: Tokens,
}

impl Ledger {
    /// Creates an empty ledger for one incarnation.
    pub fn open(owner: Incarnation) -> Self {
        let holdings = IndexMap::new();
        Self { owner, holdings }
    }

    /// Returns the incarnation of the router that holds the tokens.
    pub fn owner(&self) -> Incarnation {
        self.owner
    }

    /// Returns the tokens held of a budget; `None` if it was never used here.
    pub fn holding(&self, budget: &BudgetId) -> Option<&Holding> {
        self.holdings.get(budget)
    }

    /// Iterates over the holdings of all budgets, in order of first use.
    pub fn holdings(&self) -> impl Iterator<Item = (&BudgetId, &Holding)> {
        self.holdings.iter()
    }

    /// Adds tokens that were drawn from the table or taken from a peer; they start as free.
    pub fn credit(&mut self, budget: &BudgetId, parts: &Parts) {
        let holding = self.holding_mut(budget);
        holding.update(parts, |lot, amount| {
            lot.free = lot.free.saturating_add(amount)
        });
    }

    /// Moves up to `want` free tokens to clearing, so that the witnesses can record them.
    pub fn start_clearing(&mut self, budget: &BudgetId, want: Tokens) -> Parts {
        let holding = self.holding_mut(budget);
        let parts = holding.take(want, |lot| &mut lot.free);
        holding.update(&parts, |lot, amount| {
            lot.clearing = lot.clearing.saturating_add(amount)
        });
        parts
    }

    /// Ends the clearing of a block: its tokens become cleared if it was noted, else free again.
    pub fn end_clearing(&mut self, budget: &BudgetId, parts: &Parts, noted: bool) {
        let holding = self.holding_mut(budget);
        holding.update(parts, |lot, amount| {
            lot.clearing = lot.clearing.saturating_sub(amount);
            let state = if noted {
                &mut lot.cleared
            } else {
                &mut lot.free
            };
            *state = state.saturating_add(amount);
        });
    }

    /// Reserves the upper bound of a request's cost.
    ///
    /// # Errors
    ///
    /// Returns [`Short`], and reserves nothing, if fewer tokens than `bound` are cleared.
    pub fn reserve(&mut self, budget: &BudgetId, bound: Tokens) -> Result<Reservation, Short> {
        let holding = self.holding_mut(budget);
        let missing = bound.saturating_sub(holding.cleared());
        if !missing.is_zero() {
            return Err(Short { missing });
        }
        let parts = holding.take(bound, |lot| &mut lot.cleared);
        holding.update(&parts, |lot, amount| {
            lot.reserved = lot.reserved.saturating_add(amount)
        });
        let budget = budget.clone();
        Ok(Reservation { budget, parts })
    }

    /// Ends a request that used `used` tokens and returns the tokens that its bill charges.
    ///
    /// No more than the bound can be charged, so `used` is capped at it.
    pub fn settle(&mut self, reservation: Reservation, used: Tokens) -> Parts {
        let Reservation { budget, parts } = reservation;
        let (charged, rest) = parts.split(used);
        let holding = self.holding_mut(&budget);
        holding.update(&charged, |lot, amount| {
            lot.reserved = lot.reserved.saturating_sub(amount);
            lot.spent = lot.spent.saturating_add(amount);
        });
        holding.update(&rest, |lot, amount| {
            lot.reserved = lot.reserved.saturating_sub(amount);
            lot.cleared = lot.cleared.saturating_add(amount);
        });
        charged
    }

    /// Ends a request that used no tokens.
    pub fn release(&mut self, reservation: Reservation) {
        let _charged = self.settle(reservation, Tokens::ZERO);
    }

    /// Ends the billing of a request: the tokens of a stored bill are removed. The bill of a request
    /// that was billed before isn't stored, and its tokens become cleared again.
    pub fn end_billing(&mut self, budget: &BudgetId, charged: &Parts, stored: bool) {
        let holding = self.holding_mut(budget);
        holding.update(charged, |lot, amount| {
            lot.spent = lot.spent.saturating_sub(amount);
            if !stored {
                lot.cleared = lot.cleared.saturating_add(amount);
            }
        });
    }

    /// Removes up to `want` cleared tokens, for a peer.
    ///
    /// They must be removed before the peer is answered, so that they can't be spent twice.
    pub fn give(&mut self, budget: &BudgetId, want: Tokens) -> Parts {
        self.holding_mut(budget).take(want, |lot| &mut lot.cleared)
    }

    /// Removes up to `want` unspent tokens, free ones first, to return them to the table.
    pub fn withdraw(&mut self, budget: &BudgetId, want: Tokens) -> Parts {
        let holding = self.holding_mut(budget);
        let mut parts = holding.take(want, |lot| &mut lot.free);
        let rest = want.saturating_sub(parts.total());
        parts.extend(holding.take(rest, |lot| &mut lot.cleared));
        parts
    }

    /// Removes the owner's own tokens that no witness has recorded.
    ///
    /// If the owner's row was closed on the witnesses' reports, the table has already taken these
    /// tokens back.
    pub fn write_off_unnoted(&mut self) {
        let owner = self.owner;
        for holding in self.holdings.values_mut() {
            let unnoted = holding.lot(owner).map_or(Tokens::ZERO, |lot| lot.free);
            let unnoted = Parts::single(owner, unnoted);
            holding.update(&unnoted, |lot, amount| {
                lot.free = lot.free.saturating_sub(amount)
            });
        }
    }

    /// Removes up to `want` of the owner's own unspent tokens, free ones first; returns how many.
    ///
    /// The table lost their draw and has no other tokens for them.
    pub fn write_off(&mut self, budget: &BudgetId, want: Tokens) -> Tokens {
        let owner = self.owner;
        let holding = self.holding_mut(budget);
        let Some(lot) = holding.lot(owner) else {
            return Tokens::ZERO;
        };
        let amount = want.min(lot.free.saturating_add(lot.cleared));
        holding.update(&Parts::single(owner, amount), |lot, amount| {
            let free = amount.min(lot.free);
            lot.free = lot.free.saturating_sub(free);
            lot.cleared = lot.cleared.saturating_sub(amount.saturating_sub(free));
        });
        amount
    }

    /// Returns whether the ledger holds no tokens that came from `origin`'s lines.
    pub fn holds_none_of(&self, origin: Incarnation) -> bool {
        let held = |holding: &Holding| {
            holding
                .lot(origin)
                .is_some_and(|lot| !lot.total().is_zero())
        };
        !self.holdings.values().any(held)
    }

    fn holding_mut(&mut self, budget: &BudgetId) -> &mut Holding {
        if !self.holdings.contains_key(budget) {
            self.holdings.insert(budget.clone(), Holding::default());
        }
        &mut self.holdings[budget]
    }
}
