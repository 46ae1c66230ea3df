//! Quantities and levels: tokens, weights and priorities.

use std::fmt;
use std::iter::Sum;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::id::IdError;

/// The maximum number of tokens that one budget may be credited with.
///
/// It is far below `u64::MAX`, so that sums over a whole fleet can't overflow.
pub const MAX_BUDGET: Tokens = Tokens::new(1 << 53);

/// A number of tokens, the unit of budgets and bills.
///
/// Arithmetic is checked or saturating, since a wrapped sum would grant tokens that were not paid
/// for.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(u64);

impl Tokens {
    /// Zero tokens, also the default.
    pub const ZERO: Self = Self(0);

    /// Creates a quantity from a plain count of tokens.
    pub const fn new(count: u64) -> Self {
        Self(count)
    }

    /// Returns the quantity as a plain count of tokens.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns whether the count is zero.
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// Adds `other`, or returns `None` if the sum overflows a `u64`.
    pub fn checked_add(self, other: Self) -> Option<Self> {
        self.0.checked_add(other.0).map(Self)
    }

    /// Subtracts `other`, or returns `None` if `other` is larger.
    pub fn checked_sub(self, other: Self) -> Option<Self> {
        self.0.checked_sub(other.0).map(Self)
    }

    /// Subtracts `other`; the result is zero if `other` is larger.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Adds `other`; the result is `u64::MAX` if the sum overflows.
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Multiplies by `factor` and rounds down; a negative factor counts as zero.
    pub fn scale(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor.max(0.0)) as u64)
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Tokens {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let count = text.parse().map(Self);
        count.map_err(|_| IdError::new("a number of tokens", text))
    }
}

impl Sum for Tokens {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::ZERO, Self::saturating_add)
    }
}

/// The relative weight of a team among the teams of one priority, from 1 to 1000.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Weight(u32);

impl Weight {
    /// The weight of a team whose rule sets none.
    pub const ONE: Self = Self(1);

    /// Returns the weight as a plain number, from 1 to 1000.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for Weight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Weight {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        match text.parse() {
            Ok(weight @ 1..=1000) => Ok(Self(weight)),
            _ => Err(IdError::new("a weight from 1 to 1000", text)),
        }
    }
}

/// The priority of a request, which decides its share of capacity and its latency target.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub enum Priority {
    /// Interactive work for a person on site, such as at a counter or in a yard.
    Urgent,
    /// Interactive work for a person at a desk.
    Standard,
    /// Batch work that no person waits for.
    Bulk,
}

impl Priority {
    /// All priorities, from the most to the least urgent.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Standard, Self::Bulk];

    /// Returns the index into [`Priority::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the name that rules and headers use.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Standard => "standard",
            Self::Bulk => "bulk",
        }
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Priority {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let found = Self::ALL.into_iter().find(|p| p.as_str() == text);
        found.ok_or_else(|| IdError::new("a priority (urgent, standard or bulk)", text))
    }
}
