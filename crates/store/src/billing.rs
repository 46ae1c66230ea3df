//! Bills in the table, with at most one bill per request.

mod archive;
mod chain;
mod cover;

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use fescue_core::{Era, Incarnation, RequestId, TeamId};
use fescue_policy::account::AllowanceRow;
use fescue_policy::bills::{Bill, Bucket, Index, InsertOutcome};
use indexmap::IndexMap;
use tokio::sync::Mutex;

use crate::{Commit, ObjectStore, Row, Table, TableError, Transaction, keys};
use chain::Chain;

/// The number of attempts to insert a batch before the store is reported as unavailable.
const MAX_ATTEMPTS: u32 = 8;

/// The allowance rows that bills charge, by incarnation.
type Allowances = IndexMap<Incarnation, (Row, AllowanceRow)>;

/// What is done with a bill that its lines can't pay for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shortage {
    /// It is refused.
    Refuse,
    /// The line draws what it lacks, since the table may have lost its draw.
    Cover,
}

/// One router's access to the bills of the fleet.
pub struct Billing {
    table: Arc<dyn Table>,
    objects: Arc<dyn ObjectStore>,
    /// The chains read so far.
    chains: Mutex<Chains>,
}

/// The chains that one router has read, all in the same era of the table.
#[derive(Default)]
struct Chains {
    era: Option<Era>,
    read: IndexMap<Bucket, Chain>,
}

impl Chains {
    /// Reads the chains of buckets that aren't known yet, and all anew after the table came back from
    /// a copy.
    async fn read(&mut self, table: &dyn Table, buckets: &[Bucket]) -> Result<(), TableError> {
        loop {
            if self.era != table.era() {
                self.read.clear();
                self.era = table.era();
            }
            let unread = buckets
                .iter()
                .find(|bucket| !self.read.contains_key(*bucket));
            let Some(bucket) = unread else {
                return Ok(());
            };
            let chain = Chain::read(table, *bucket).await?;
            self.read.insert(*bucket, chain);
        }
    }
}

/// Returns the seconds since the Unix epoch; zero if the system clock is set to an earlier time.
pub fn unix_time() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}

impl Billing {
    /// Creates access to the bills in `table` and the archived ones in `objects`; a chain is read
    /// when it is first needed.
    pub fn open(table: Arc<dyn Table>, objects: Arc<dyn ObjectStore>) -> Self {
        let chains = Mutex::default();
        Self {
            table,
            objects,
            chains,
        }
    }

    /// Inserts new bills and charges the lines that pay for them, in one transaction.
    ///
    /// Returns the outcome of each bill in order. A repeat of the call after a lost answer finds
    /// the bills stored.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached, in which case the bills may have been
    /// stored, or if a line can't pay for its bills.
    pub async fn insert(&self, bills: &[Bill]) -> Result<Vec<InsertOutcome>, TableError> {
        self.insert_as(bills, Shortage::Refuse).await
    }

    /// Inserts bills like [`Billing::insert`] after the table came back from a copy and all routers
    /// have settled: what a line lacks is drawn from the budget, and what the budget lacks isn't
    /// charged.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached, in which case the bills may have been stored.
    pub async fn insert_covered(&self, bills: &[Bill]) -> Result<Vec<InsertOutcome>, TableError> {
        self.insert_as(bills, Shortage::Cover).await
    }

    /// Returns the era of the table's last answer.
    pub fn era(&self) -> Option<Era> {
        self.table.era()
    }

    async fn insert_as(
        &self,
        bills: &[Bill],
        shortage: Shortage,
    ) -> Result<Vec<InsertOutcome>, TableError> {
        let mut chains = self.chains.lock().await;
        let mut buckets: Vec<_> = bills.iter().map(Bill::bucket).collect();
        buckets.sort_unstable();
        buckets.dedup();
        let mut lost = None;
        for _ in 0..MAX_ATTEMPTS {
            let mut refused = None;
            if let Err(error) = chains.read(self.table.as_ref(), &buckets).await {
                return Err(lost.unwrap_or(error));
            }
            match self.try_insert(&mut chains, bills, shortage).await {
                Ok(Some(outcomes)) => return Ok(outcomes),
                Ok(None) => {}
                Err(error @ TableError::Lost(_)) => lost = Some(error),
                // Another router may have inserted the same bills, so that the line was already
                // charged.
                Err(error @ TableError::Refused(_)) => refused = Some(error),
                Err(error) => return Err(lost.unwrap_or(error)),
            }
            // Another router wrote a page, or this router did and lost the answer.
            let mut pages = 0;
            for bucket in &buckets {
                match chains.read[bucket].catch_up(self.table.as_ref()).await {
                    Ok(read) => pages += read,
                    Err(error) => return Err(lost.unwrap_or(error)),
                }
            }
            if let Some(error) = refused.filter(|_| pages == 0) {
                return Err(error);
            }
        }
        let conflicts = || TableError::Unavailable(format!("{MAX_ATTEMPTS} conflicts in a row"));
        Err(lost.unwrap_or_else(conflicts))
    }

    /// Returns the body hash of a billed request; `None` if no bill of it has been read.
    pub async fn body_hash(&self, team: &TeamId, request: &RequestId) -> Option<u64> {
        let chains = self.chains.lock().await;
        let chain = chains.read.get(&Bucket::of(team, request))?;
        chain.index().body_of(team, request)
    }

    /// Attempts the insertion once; returns `None` after a conflict.
    async fn try_insert(
        &self,
        chains: &mut Chains,
        bills: &[Bill],
        shortage: Shortage,
    ) -> Result<Option<Vec<InsertOutcome>>, TableError> {
        let Chains { era, read: chains } = chains;
        let (outcomes, new_bills) = classify(chains, bills);
        if new_bills.is_empty() {
            return Ok(Some(outcomes));
        }
        let mut write = Transaction {
            era: *era,
            ..Transaction::default()
        };
        let mut allowances = self.allowances(&new_bills, shortage).await?;
        let mut new_bills: Vec<_> = new_bills.into_iter().cloned().collect();
        if shortage == Shortage::Cover {
            self.cover(&mut allowances, &mut new_bills, &mut write)
                .await?;
        }
        charge_lines(&mut allowances, &new_bills)?;
        for (row, value) in allowances.values() {
            write.replace(row, value);
        }
        let mut by_bucket: IndexMap<Bucket, Vec<Bill>> = IndexMap::new();
        for bill in new_bills {
            by_bucket.entry(bill.bucket()).or_default().push(bill);
        }
        let now = unix_time();
        let pages = by_bucket.into_iter();
        let pages = pages.map(|(bucket, bills)| (bucket, chains[&bucket].next_page(now, bills)));
        let pages: Vec<_> = pages.collect();
        for (bucket, page) in &pages {
            write.replace(&chains[bucket].next_row(), page);
        }
        match self.table.transact(&write).await? {
            Commit::Conflict => Ok(None),
            Commit::Done(_) => {
                for (bucket, page) in &pages {
                    chains[bucket].append(page, now);
                }
                Ok(Some(outcomes))
            }
        }
    }

    /// Reads the allowance rows that the bills charge.
    async fn allowances(
        &self,
        bills: &[&Bill],
        shortage: Shortage,
    ) -> Result<Allowances, TableError> {
        let parts = bills.iter().flat_map(|bill| bill.charges.iter());
        let mut origins: Vec<_> = parts.map(|part| part.origin).collect();
        origins.sort_unstable();
        origins.dedup();
        let keys: Vec<_> = origins.iter().map(|o| keys::allowance(*o)).collect();
        let rows = self.table.read(&keys).await?;
        let mut found = IndexMap::new();
        for (origin, row) in origins.into_iter().zip(rows) {
            let missing = || TableError::Corrupt(row.key.clone(), "it is gone".to_owned());
            let mut value = row.decode()?;
            if shortage == Shortage::Cover {
                value = value.or_else(|| Some(cover::lost_row()));
            }
            let value = value.ok_or_else(missing)?;
            found.insert(origin, (row, value));
        }
        Ok(found)
    }
}

/// Returns the outcome that each bill will have, and the bills that are new.
fn classify<'a>(
    chains: &IndexMap<Bucket, Chain>,
    bills: &'a [Bill],
) -> (Vec<InsertOutcome>, Vec<&'a Bill>) {
    let mut batch = Index::default();
    let (mut outcomes, mut new_bills) = (Vec::new(), Vec::new());
    for bill in bills {
        let stored = chains[&bill.bucket()].index().look_up(bill);
        let outcome = match stored {
            InsertOutcome::New => batch.look_up(bill),
            known => known,
        };
        if outcome == InsertOutcome::New {
            batch.insert(bill);
            new_bills.push(bill);
        }
        outcomes.push(outcome);
    }
    (outcomes, new_bills)
}

/// Charges the bills to the lines that pay for them.
fn charge_lines(allowances: &mut Allowances, bills: &[Bill]) -> Result<(), TableError> {
    for bill in bills {
        for part in bill.charges.iter() {
            let (_, row) = &mut allowances[&part.origin];
            row.line(&bill.budget).bill(part.amount)?;
        }
    }
    Ok(())
}
