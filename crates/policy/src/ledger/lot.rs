//! Tokens by the line of the table that they came from.

use fescue_core::{Incarnation, Tokens, record};

/// What a router holds of one origin's line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lot {
    /// Held, not yet noted by witnesses.
    pub free: Tokens,
    /// On the way to the witnesses.
    pub clearing: Tokens,
    /// Noted; may be spent.
    pub cleared: Tokens,
    /// Set aside for running requests.
    pub reserved: Tokens,
    /// Used, with the bill not yet stored.
    pub spent: Tokens,
}

impl Lot {
    /// Returns all of it.
    pub fn total(&self) -> Tokens {
        [
            self.free,
            self.clearing,
            self.cleared,
            self.reserved,
            self.spent,
        ]
        .into_iter()
        .sum()
    }
}

record! {
    /// Some tokens of one origin.
    pub struct Part {
        /// The incarnation whose line they came from.
        pub origin: Incarnation,
        /// How many.
        pub amount: Tokens,
    }

    /// Tokens of several origins.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct Parts(Vec<Part>);
}

impl Parts {
    /// Makes tokens of one origin.
    pub fn single(origin: Incarnation, amount: Tokens) -> Self {
        let mut parts = Self::default();
        parts.push(origin, amount);
        parts
    }

    /// Adds tokens; none are left out.
    pub fn push(&mut self, origin: Incarnation, amount: Tokens) {
        if amount.is_zero() {
            return;
        }
        match self.0.iter_mut().find(|part| part.origin == origin) {
            Some(part) => part.amount = part.amount.saturating_add(amount),
            None => self.0.push(Part { origin, amount }),
        }
    }

    /// Adds all of `other`.
    pub fn extend(&mut self, other: Self) {
        for part in other.0 {
            self.push(part.origin, part.amount);
        }
    }

    /// Returns the parts.
    pub fn iter(&self) -> impl Iterator<Item = &Part> {
        self.0.iter()
    }

    /// Returns the sum.
    pub fn total(&self) -> Tokens {
        self.0.iter().map(|part| part.amount).sum()
    }

    /// Returns whether there are no tokens.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Splits off the first `amount` tokens.
    pub fn split(self, amount: Tokens) -> (Self, Self) {
        let (mut first, mut rest) = (Self::default(), Self::default());
        let mut left = amount;
        for part in self.0 {
            let taken = part.amount.min(left);
            left = left.saturating_sub(taken);
            first.push(part.origin, taken);
            rest.push(part.origin, part.amount.saturating_sub(taken));
        }
        (first, rest)
    }
}
