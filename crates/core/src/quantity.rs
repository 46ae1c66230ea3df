//! Quantities with their units: tokens, weights, priorities.

use std::fmt;
use std::iter::Sum;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::id::IdError;

/// The largest number of tokens that one budget may be credited with.
///
/// Far below `u64::MAX`, so that the sums of a whole fleet can't overflow.
pub const MAX_BUDGET: Tokens = Tokens::new(1 << 53);

/// A number of tokens, the unit in which budgets are kept.
///
/// Sums that could overflow are checked, since a wrapped sum would hand out money.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(u64);

impl Tokens {
    /// No tokens.
    pub const ZERO: Self = Self(0);

    /// Wraps a count.
    pub const fn new(count: u64) -> Self {
        Self(count)
    }

    /// Returns the count.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns whether there are none.
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// Adds, or returns `None` where the sum doesn't fit.
    pub fn checked_add(self, other: Self) -> Option<Self> {
        self.0.checked_add(other.0).map(Self)
    }

    /// Subtracts, or returns `None` where `other` is the larger.
    pub fn checked_sub(self, other: Self) -> Option<Self> {
        self.0.checked_sub(other.0).map(Self)
    }

    /// Subtracts, and stops at zero.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Adds, and stops at the largest count.
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Scales by a factor of at least zero, rounded down.
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

/// The weight of a team among the teams of one priority, at least one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Weight(u32);

impl Weight {
    /// The weight of a team whose rule names none.
    pub const ONE: Self = Self(1);

    /// Returns the weight as a number.
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

/// How urgent a request is.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub enum Priority {
    /// Work that a person waits for at a counter or in a yard.
    Urgent,
    /// Work that a person waits for at a desk.
    Standard,
    /// Work that nobody waits for.
    Bulk,
}

impl Priority {
    /// All priorities, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Standard, Self::Bulk];

    /// Returns the place in [`Priority::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the name as rules and headers write it.
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
