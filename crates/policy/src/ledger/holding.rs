//! The tokens that a router holds of one budget.

use fescue_core::{Incarnation, Tokens};
use indexmap::IndexMap;

use super::{Lot, Parts};

/// The lots of one budget, the one held longest first.
#[derive(Clone, Debug, Default)]
pub struct Holding {
    lots: IndexMap<Incarnation, Lot>,
}

impl Holding {
    /// Returns the lot of one origin; `None` if it is empty.
    pub fn lot(&self, origin: Incarnation) -> Option<&Lot> {
        self.lots.get(&origin)
    }

    /// Iterates over all lots with their origins.
    pub fn lots(&self) -> impl Iterator<Item = (Incarnation, &Lot)> {
        self.lots.iter().map(|(origin, lot)| (*origin, lot))
    }

    /// Returns the number of tokens that may be spent now.
    pub fn cleared(&self) -> Tokens {
        self.lots.values().map(|lot| lot.cleared).sum()
    }

    /// Returns the number of tokens that witnesses haven't recorded yet.
    pub fn free(&self) -> Tokens {
        self.lots.values().map(|lot| lot.free).sum()
    }

    /// Returns the number of tokens that no request has reserved or used.
    pub fn unspent(&self) -> Tokens {
        let unspent = |lot: &Lot| [lot.free, lot.clearing, lot.cleared].into_iter().sum();
        self.lots.values().map(unspent).sum()
    }

    /// Removes up to `want` tokens in one state, from each lot in turn.
    pub(super) fn take(&mut self, want: Tokens, state: impl Fn(&mut Lot) -> &mut Tokens) -> Parts {
        let mut parts = Parts::default();
        let mut left = want;
        for (origin, lot) in &mut self.lots {
            let available = state(lot);
            let amount = left.min(*available);
            *available = available.saturating_sub(amount);
            left = left.saturating_sub(amount);
            parts.push(*origin, amount);
        }
        parts
    }

    /// Applies a change to the lot of each part, and removes lots that end up empty.
    pub(super) fn update(&mut self, parts: &Parts, mut change: impl FnMut(&mut Lot, Tokens)) {
        for part in parts.iter() {
            let lot = self.lots.entry(part.origin).or_default();
            change(lot, part.amount);
        }
        self.lots.retain(|_, lot| !lot.total().is_zero());
    }
}
