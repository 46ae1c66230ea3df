//! Bills, each request once.
//!
//! A bill goes to the bucket of its request id. A bucket is a chain of pages in the table; a bill
//! is appended to the last page in the same transaction that charges the lines which paid for it.
//! Whoever appends has read the whole chain, so a second bill of a request is seen and its tokens
//! stay with who meant to spend them. See [docs/design/billing.md](../../../docs/design/billing.md).

use std::collections::HashMap;
use std::fmt;

use fescue_core::{BudgetId, Incarnation, RequestId, TeamId, Tokens, hash, record};
use serde::{Deserialize, Serialize};

use crate::ledger::Parts;

/// How many chains the bills of a fleet are spread over.
///
/// Two routers that use different numbers could bill a request twice, so it is fixed.
pub const BUCKETS: u32 = 4;

/// How many bills a page takes before the next is begun.
pub const PAGE_BILLS: usize = 128;

/// A chain of pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Bucket(u32);

impl Bucket {
    /// Returns the bucket of a request.
    pub fn of(team: &TeamId, request: &RequestId) -> Self {
        let digest = hash::short(format!("{team}/{request}").as_bytes());
        Self((digest % u64::from(BUCKETS)) as u32)
    }

    /// Returns all buckets.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..BUCKETS).map(Self)
    }
}

impl fmt::Display for Bucket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:04}", self.0)
    }
}

record! {
    /// Names one bill of one router, so that sending it again is told from a second bill.
    #[derive(Copy, Hash)]
    pub struct BillId {
        /// The router that made it.
        pub by: Incarnation,
        /// Counts its bills.
        pub number: u64,
    }

    /// What one request cost.
    pub struct Bill {
        /// Which bill it is.
        pub id: BillId,
        /// The request.
        pub request: RequestId,
        /// The budget that pays.
        pub budget: BudgetId,
        /// The lines that pay.
        pub charges: Parts,
        /// A fingerprint of the request's body, to tell a repeat from a reused id.
        pub body: u64,
    }

    /// A page of a bucket.
    #[derive(Default)]
    pub struct Page {
        /// The bills, in the order in which they came.
        pub bills: Vec<Bill>,
        /// Whether the next page was begun.
        pub sealed: bool,
    }
}

impl Bill {
    /// Returns the sum.
    pub fn amount(&self) -> Tokens {
        self.charges.total()
    }

    /// Returns the bucket that the bill belongs to.
    pub fn bucket(&self) -> Bucket {
        Bucket::of(self.budget.team(), &self.request)
    }

    fn key(&self) -> (TeamId, RequestId) {
        (self.budget.team().clone(), self.request.clone())
    }
}

/// What became of a bill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entered {
    /// It is new to the chain.
    Fresh,
    /// This very bill is there; its answer was lost.
    Stored,
    /// The request was billed before, by the bill named.
    Duplicate(BillId),
}

/// All bills of a bucket that one router has read.
#[derive(Clone, Debug, Default)]
pub struct Index {
    seen: HashMap<(TeamId, RequestId), Known>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    id: BillId,
    body: u64,
}

impl Index {
    /// Adds the bills of a page that was read.
    pub fn read(&mut self, page: &Page) {
        for bill in &page.bills {
            self.insert(bill);
        }
    }

    /// Adds one stored bill; the first of a request stays.
    pub fn insert(&mut self, bill: &Bill) {
        let known = Known {
            id: bill.id,
            body: bill.body,
        };
        self.seen.entry(bill.key()).or_insert(known);
    }

    /// Says what would become of a bill.
    pub fn look_up(&self, bill: &Bill) -> Entered {
        match self.seen.get(&bill.key()) {
            None => Entered::Fresh,
            Some(known) if known.id == bill.id => Entered::Stored,
            Some(known) => Entered::Duplicate(known.id),
        }
    }

    /// Returns the body's fingerprint of a request that was billed.
    pub fn body_of(&self, team: &TeamId, request: &RequestId) -> Option<u64> {
        let key = (team.clone(), request.clone());
        self.seen.get(&key).map(|known| known.body)
    }

    /// Returns how many requests it knows.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Returns whether it knows none.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }
}
