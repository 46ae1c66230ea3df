//! Tokens grouped by the line of the table that they came from.

use fescue_core::{Incarnation, Tokens, record};

/// The tokens that a router holds of one origin's line, by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lot {
    /// Tokens that witnesses haven't recorded yet.
    pub free: Tokens,
    /// Tokens sent to the witnesses, without an answer yet.
    pub clearing: Tokens,
    /// Tokens that witnesses have recorded and that may be spent.
    pub cleared: Tokens,
    /// Tokens reserved for running requests.
    pub reserved: Tokens,
    /// Tokens that were used and whose bill isn't stored yet.
    pub spent: Tokens,
}

impl Lot {
    /// Returns the sum over all states.
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
    /// An amount of tokens from one origin.
    pub struct Part {
        /// The incarnation whose line the tokens came from.
        pub origin: Incarnation,
        /// The number of tokens, above zero.
        pub amount: Tokens,
    }

    /// Amounts of tokens from several origins, each origin at most once.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct Parts(Vec<Part>);
}

impl Parts {
    /// Creates a set of parts with one origin; it is empty if `amount` is zero.
    pub fn single(origin: Incarnation, amount: Tokens) -> Self {
        let mut parts = Self::default();
        parts.push(origin, amount);
        parts
    }

    /// Adds tokens to the part of their origin; an `amount` of zero adds no part.
    pub fn push(&mut self, origin: Incarnation, amount: Tokens) {
        if amount.is_zero() {
            return;
        }
        match self.0.iter_mut().find(|part| part.origin == origin) {
            Some(part) => part.amount = part.amount.saturating_add(amount),
            None => self.0.push(Part { origin, amount }),
        }
    }

    /// Adds all parts of `other`.
    pub fn extend(&mut self, other: Self) {
        for part in other.0 {
            self.push(part.origin, part.amount);
        }
    }

    /// Iterates over the parts in order of insertion.
    pub fn iter(&self) -> impl Iterator<Item = &Part> {
        self.0.iter()
    }

    /// Returns the number of tokens over all origins.
    pub fn total(&self) -> Tokens {
        self.0.iter().map(|part| part.amount).sum()
    }

    /// Returns whether there are no parts, and so no tokens.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Splits off the first `amount` tokens; returns them and the rest.
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
