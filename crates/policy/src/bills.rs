//! Bills, with deduplication by request id.
//!
//! A bill belongs to the bucket of its request id. A bucket is a chain of numbered pages in the table;
//! a batch of bills is written as the next page, in the same transaction that charges the lines that
//! pay for it. A router has read all earlier pages before it inserts one, so it detects a second bill
//! of a request and keeps the tokens of that bill. Request ids are kept for [`DEDUP_WINDOW`]; older
//! pages are moved to the archive. See [docs/design/billing.md](../../../docs/design/billing.md).

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::time::Duration;

use fescue_core::{BudgetId, Incarnation, RequestId, TeamId, Tokens, hash, record};
use serde::{Deserialize, Serialize};

use crate::ledger::Parts;

/// The number of buckets that the bills of a fleet are spread over.
///
/// It is fixed, since two routers with different numbers could bill a request twice.
pub const BUCKETS: u32 = 4;

/// The minimum time for which a request id is kept; a later repeat counts as a new request.
pub const DEDUP_WINDOW: Duration = Duration::from_secs(2 * 3600);

/// The number of a chain of pages, as it appears in row keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Bucket(u32);

impl Bucket {
    /// Returns the bucket of a request, by a hash of its team and id.
    pub fn of(team: &TeamId, request: &RequestId) -> Self {
        let digest = hash::digest64(format!("{team}/{request}").as_bytes());
        Self((digest % u64::from(BUCKETS)) as u32)
    }

    /// Iterates over all buckets.
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
    /// The id of a bill, which distinguishes a resent bill from a second bill of the same request.
    #[derive(Copy, Hash)]
    pub struct BillId {
        /// The router that issued the bill.
        pub by: Incarnation,
        /// The sequence number of the bill at that router.
        pub number: u64,
    }

    /// The charge for one request.
    pub struct Bill {
        /// The id of the bill.
        pub id: BillId,
        /// The id of the request that is charged.
        pub request: RequestId,
        /// The budget that is charged.
        pub budget: BudgetId,
        /// The amounts charged to each line.
        pub charges: Parts,
        /// A hash of the request's body, which distinguishes a repeat from a reused request id.
        pub body: u64,
    }

    /// A page of a bucket.
    pub struct Page {
        /// The time of writing in seconds since the Unix epoch, no earlier than that of the page before.
        pub at: u64,
        /// The bills of one batch.
        pub bills: Vec<Bill>,
    }
}

impl Bill {
    /// Returns the tokens charged to all lines together.
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

/// Returns a hash of a request's team and id, which takes far less memory than the strings.
fn key(team: &TeamId, request: &RequestId) -> u128 {
    hash::digest128(format!("{team}/{request}").as_bytes())
}

/// The outcome of inserting a bill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InsertOutcome {
    /// The chain has no bill of the request yet.
    New,
    /// The chain has this same bill; the answer to an earlier attempt was lost.
    Stored,
    /// The request was billed before, by the bill with this id.
    Duplicate(BillId),
}

/// The billed requests of one bucket, as far as a router has read them.
#[derive(Clone, Debug, Default)]
pub struct Index {
    seen: HashMap<u128, BilledRequest>,
    /// The time and the requests of each page, the oldest page first.
    pages: VecDeque<(u64, Vec<u128>)>,
}

#[derive(Clone, Copy, Debug)]
struct BilledRequest {
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

    /// Adds one bill; the first bill of a request is kept.
    pub fn insert(&mut self, bill: &Bill) {
        let billed = BilledRequest {
            id: bill.id,
            body: bill.body,
        };
        self.seen.entry(bill.key()).or_insert(billed);
    }

    /// Removes the requests of pages that were written longer than [`DEDUP_WINDOW`] before `now`.
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

    /// Returns the outcome that inserting a bill would have.
    pub fn look_up(&self, bill: &Bill) -> InsertOutcome {
        match self.seen.get(&bill.key()) {
            None => InsertOutcome::New,
            Some(billed) if billed.id == bill.id => InsertOutcome::Stored,
            Some(billed) => InsertOutcome::Duplicate(billed.id),
        }
    }

    /// Returns the body hash of a request; `None` if no bill of it is known.
    pub fn body_of(&self, team: &TeamId, request: &RequestId) -> Option<u64> {
        self.seen.get(&key(team, request)).map(|billed| billed.body)
    }

    /// Returns the number of billed requests in the index.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Returns whether the index has no requests.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }
}

/// Returns whether a page written at `at` is older than [`DEDUP_WINDOW`] at `now`, both in seconds.
pub fn is_expired(at: u64, now: u64) -> bool {
    now.saturating_sub(at) > DEDUP_WINDOW.as_secs()
}
