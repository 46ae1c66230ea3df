//! What one router holds of each budget, and what it may spend now.
//!
//! Tokens move one way: drawn or taken from a peer they are *free*; noted by witnesses they are
//! *cleared* and may be spent; a request *reserves* its upper bound, and once it ends, what it used
//! is *spent* until its bill is stored. Tokens keep the incarnation whose line in the table they
//! came from, their origin, so that a bill always charges the line that paid for it.

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
/// It is settled or released exactly once; both take it by value.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation that is dropped strands its tokens"]
pub struct Reservation {
    /// The budget.
    pub budget: BudgetId,
    /// Where the tokens came from.
    parts: Parts,
}

impl Reservation {
    /// Returns the upper bound that was reserved.
    pub fn bound(&self) -> Tokens {
        self.parts.total()
    }
}

/// A budget of which less is cleared than a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Short {
    /// What is missing.
    pub missing: Tokens,
}

impl Ledger {
    /// Opens an empty ledger for one incarnation.
    pub fn open(owner: Incarnation) -> Self {
        let holdings = IndexMap::new();
        Self { owner, holdings }
    }

    /// Returns the incarnation whose ledger this is.
    pub fn owner(&self) -> Incarnation {
        self.owner
    }

    /// Returns the holding of a budget.
    pub fn holding(&self, budget: &BudgetId) -> Option<&Holding> {
        self.holdings.get(budget)
    }

    /// Returns all holdings.
    pub fn holdings(&self) -> impl Iterator<Item = (&BudgetId, &Holding)> {
        self.holdings.iter()
    }

    /// Adds tokens that were drawn, or taken from a peer.
    pub fn credit(&mut self, budget: &BudgetId, parts: &Parts) {
        let holding = self.holding_mut(budget);
        holding.each(parts, |lot, amount| {
            lot.free = lot.free.saturating_add(amount)
        });
    }

    /// Takes up to `want` free tokens to have them noted by the witnesses.
    pub fn start_clearing(&mut self, budget: &BudgetId, want: Tokens) -> Parts {
        let holding = self.holding_mut(budget);
        let parts = holding.take(want, |lot| &mut lot.free);
        holding.each(&parts, |lot, amount| {
            lot.clearing = lot.clearing.saturating_add(amount)
        });
        parts
    }

    /// Ends the clearing of a block: noted, it may be spent; else it is free again.
    pub fn end_clearing(&mut self, budget: &BudgetId, parts: &Parts, noted: bool) {
        let holding = self.holding_mut(budget);
        holding.each(parts, |lot, amount| {
            lot.clearing = lot.clearing.saturating_sub(amount);
            let side = if noted {
                &mut lot.cleared
            } else {
                &mut lot.free
            };
            *side = side.saturating_add(amount);
        });
    }

    /// Sets the upper bound of a request aside.
    ///
    /// # Errors
    ///
    /// When less than that is cleared; nothing is set aside then.
    pub fn reserve(&mut self, budget: &BudgetId, bound: Tokens) -> Result<Reservation, Short> {
        let holding = self.holding_mut(budget);
        let missing = bound.saturating_sub(holding.cleared());
        if !missing.is_zero() {
            return Err(Short { missing });
        }
        let parts = holding.take(bound, |lot| &mut lot.cleared);
        holding.each(&parts, |lot, amount| {
            lot.reserved = lot.reserved.saturating_add(amount)
        });
        let budget = budget.clone();
        Ok(Reservation { budget, parts })
    }

    /// Ends a request that used `used` tokens and returns what its bill charges.
    ///
    /// More than the bound can't be charged, so `used` is capped there.
    pub fn settle(&mut self, reservation: Reservation, used: Tokens) -> Parts {
        let Reservation { budget, parts } = reservation;
        let (charged, rest) = parts.split(used);
        let holding = self.holding_mut(&budget);
        holding.each(&charged, |lot, amount| {
            lot.reserved = lot.reserved.saturating_sub(amount);
            lot.spent = lot.spent.saturating_add(amount);
        });
        holding.each(&rest, |lot, amount| {
            lot.reserved = lot.reserved.saturating_sub(amount);
            lot.cleared = lot.cleared.saturating_add(amount);
        });
        charged
    }

    /// Ends a request that used nothing.
    pub fn release(&mut self, reservation: Reservation) {
        let _charged = self.settle(reservation, Tokens::ZERO);
    }

    /// Ends the wait for a bill: stored, its tokens are gone; a second bill of a request that was
    /// billed already leaves them to spend.
    pub fn end_billing(&mut self, budget: &BudgetId, charged: &Parts, stored: bool) {
        let holding = self.holding_mut(budget);
        holding.each(charged, |lot, amount| {
            lot.spent = lot.spent.saturating_sub(amount);
            if !stored {
                lot.cleared = lot.cleared.saturating_add(amount);
            }
        });
    }

    /// Takes up to `want` cleared tokens out, for a peer. They are gone before the peer is answered.
    pub fn give(&mut self, budget: &BudgetId, want: Tokens) -> Parts {
        self.holding_mut(budget).take(want, |lot| &mut lot.cleared)
    }

    /// Takes up to `want` unspent tokens out, to return them to the table: free ones first.
    pub fn withdraw(&mut self, budget: &BudgetId, want: Tokens) -> Parts {
        let holding = self.holding_mut(budget);
        let mut parts = holding.take(want, |lot| &mut lot.free);
        let rest = want.saturating_sub(parts.total());
        parts.extend(holding.take(rest, |lot| &mut lot.cleared));
        parts
    }

    /// Writes off what no witness has noted of the owner's own lines.
    ///
    /// When its row is closed with the witnesses' word, these tokens have gone back already.
    pub fn write_off_unnoted(&mut self) {
        let owner = self.owner;
        for holding in self.holdings.values_mut() {
            let unnoted = holding.lot(owner).map_or(Tokens::ZERO, |lot| lot.free);
            let unnoted = Parts::single(owner, unnoted);
            holding.each(&unnoted, |lot, amount| {
                lot.free = lot.free.saturating_sub(amount)
            });
        }
    }

    /// Returns whether nothing of an incarnation's lines is held.
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
