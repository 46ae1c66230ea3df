//! What a router holds of one budget.

use fescue_core::{Incarnation, Tokens};
use indexmap::IndexMap;

use super::{Lot, Parts};

/// The lots of one budget, the longest held first.
#[derive(Clone, Debug, Default)]
pub struct Holding {
    lots: IndexMap<Incarnation, Lot>,
}

impl Holding {
    /// Returns the lot of one origin.
    pub fn lot(&self, origin: Incarnation) -> Option<&Lot> {
        self.lots.get(&origin)
    }

    /// Returns all lots.
    pub fn lots(&self) -> impl Iterator<Item = (Incarnation, &Lot)> {
        self.lots.iter().map(|(origin, lot)| (*origin, lot))
    }

    /// Returns what may be spent now.
    pub fn cleared(&self) -> Tokens {
        self.lots.values().map(|lot| lot.cleared).sum()
    }

    /// Returns what is held and not yet noted.
    pub fn free(&self) -> Tokens {
        self.lots.values().map(|lot| lot.free).sum()
    }

    /// Returns what no request has set aside or used.
    pub fn unspent(&self) -> Tokens {
        let unspent = |lot: &Lot| [lot.free, lot.clearing, lot.cleared].into_iter().sum();
        self.lots.values().map(unspent).sum()
    }

    /// Takes up to `want` tokens from one side of each lot in turn.
    pub(super) fn take(&mut self, want: Tokens, side: impl Fn(&mut Lot) -> &mut Tokens) -> Parts {
        let mut parts = Parts::default();
        let mut left = want;
        for (origin, lot) in &mut self.lots {
            let side = side(lot);
            let amount = left.min(*side);
            *side = side.saturating_sub(amount);
            left = left.saturating_sub(amount);
            parts.push(*origin, amount);
        }
        parts
    }

    /// Applies a change to the lot of each part, and drops lots that end up empty.
    pub(super) fn each(&mut self, parts: &Parts, mut change: impl FnMut(&mut Lot, Tokens)) {
        for part in parts.iter() {
            let lot = self.lots.entry(part.origin).or_default();
            change(lot, part.amount);
        }
        self.lots.retain(|_, lot| !lot.total().is_zero());
    }
}
