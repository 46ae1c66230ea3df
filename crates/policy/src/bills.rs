//! Bills, each request once.
//!
//! A bill goes to the bucket of its request id. A bucket is a chain of numbered pages in the table;
//! a batch of bills is the next page, inserted in the same transaction that charges the lines which
//! paid for it. Whoever inserts a page has read those before it, so a second bill of a request is
//! seen and its tokens stay with who meant to spend them. Requests are remembered for [`DEDUP_WINDOW`];
//! older pages go to the archive. See [docs/design/billing.md](../../../docs/design/billing.md).

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::time::Duration;

use fescue_core::{BudgetId, Incarnation, RequestId, TeamId, Tokens, hash, record};
use serde::{Deserialize, Serialize};

use crate::ledger::Parts;

/// How many chains the bills of a fleet are spread over.
///
/// Two routers that use different numbers could bill a request twice, so it is fixed.
pub const BUCKETS: u32 = 4;

/// How long a request id is remembered at least; a repeat after that is a new request.
pub const DEDUP_WINDOW: Duration = Duration::from_secs(2 * 3600);

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
    pub struct Page {
        /// When it was written, in seconds since 1970, and no earlier than the page before it.
        pub at: u64,
        /// The bills.
        pub bills: Vec<Bill>,
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

    fn key(&self) -> u128 {
        key(self.budget.team(), &self.request)
    }
}

/// Returns what a request is remembered by, far smaller than its names.
fn key(team: &TeamId, request: &RequestId) -> u128 {
    hash::long(format!("{team}/{request}").as_bytes())
}

/// What became of a bill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InsertOutcome {
    /// It is new to the chain.
    New,
    /// This very bill is there; its answer was lost.
    Stored,
    /// The request was billed before, by the bill named.
    Duplicate(BillId),
}

/// The requests of a bucket that one router has read.
#[derive(Clone, Debug, Default)]
pub struct Index {
    seen: HashMap<u128, Known>,
    /// The requests of each page, the oldest page first.
    pages: VecDeque<(u64, Vec<u128>)>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    id: BillId,
    body: u64,
}

impl Index {
    /// Adds the bills of a page.
    pub fn add_page(&mut self, page: &Page) {
        let keys = page.bills.iter().map(Bill::key).collect();
        for bill in &page.bills {
            self.insert(bill);
        }
        self.pages.push_back((page.at, keys));
    }

    /// Adds one bill; the first of a request stays.
    pub fn insert(&mut self, bill: &Bill) {
        let known = Known {
            id: bill.id,
            body: bill.body,
        };
        self.seen.entry(bill.key()).or_insert(known);
    }

    /// Forgets the requests of pages that were written longer than [`DEDUP_WINDOW`] before `now`.
    pub fn prune(&mut self, now: u64) {
        while self
            .pages
            .front()
            .is_some_and(|(at, _)| is_expired(*at, now))
        {
            let (_, keys) = self.pages.pop_front().unwrap_or_default();
            for key in keys {
                self.seen.remove(&key);
            }
        }
    }

    /// Says what would become of a bill.
    pub fn look_up(&self, bill: &Bill) -> InsertOutcome {
        match self.seen.get(&bill.key()) {
            None => InsertOutcome::New,
            Some(known) if known.id == bill.id => InsertOutcome::Stored,
            Some(known) => InsertOutcome::Duplicate(known.id),
        }
    }

    /// Returns the body's fingerprint of a request that was billed.
    pub fn body_of(&self, team: &TeamId, request: &RequestId) -> Option<u64> {
        self.seen.get(&key(team, request)).map(|known| known.body)
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

/// Returns whether a page written at `at` is past [`DEDUP_WINDOW`] at `now`.
pub fn is_expired(at: u64, now: u64) -> bool {
    now.saturating_sub(at) > DEDUP_WINDOW.as_secs()
}
