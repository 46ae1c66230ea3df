//! Bills in the table, each request once.

mod archive;
mod chain;

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use fescue_core::{Incarnation, RequestId, TeamId};
use fescue_policy::account::AllowanceRow;
use fescue_policy::bills::{Bill, Bucket, Index, InsertOutcome};
use indexmap::IndexMap;
use tokio::sync::Mutex;

use crate::{Commit, ObjectStore, Row, Table, TableError, Transaction, keys};
use chain::Chain;

/// How often a flush tries again before it reports the store as unreachable.
const TRIES: u32 = 8;

/// The bills of the fleet, as one router reads and writes them.
pub struct Billing {
    table: Arc<dyn Table>,
    objects: Arc<dyn ObjectStore>,
    chains: Mutex<IndexMap<Bucket, Chain>>,
}

/// Returns the seconds since 1970.
pub fn unix_time() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}

impl Billing {
    /// Opens the bills that are kept in `table`, old ones in `objects`; chains are read when they
    /// are first needed.
    pub fn open(table: Arc<dyn Table>, objects: Arc<dyn ObjectStore>) -> Self {
        let chains = Mutex::new(IndexMap::new());
        Self {
            table,
            objects,
            chains,
        }
    }

    /// Stores bills and charges the lines that pay, in one transaction.
    ///
    /// Returns what became of each bill, in order. Repeating the call after a lost answer finds
    /// the bills stored.
    ///
    /// # Errors
    ///
    /// When the store can't be reached; the bills may then be stored or not.
    pub async fn insert(&self, bills: &[Bill]) -> Result<Vec<InsertOutcome>, TableError> {
        let mut chains = self.chains.lock().await;
        let mut buckets: Vec<_> = bills.iter().map(Bill::bucket).collect();
        buckets.sort_unstable();
        buckets.dedup();
        for bucket in &buckets {
            if !chains.contains_key(bucket) {
                let chain = Chain::read(self.table.as_ref(), *bucket).await?;
                chains.insert(*bucket, chain);
            }
        }
        let mut lost = None;
        for _ in 0..TRIES {
            let mut refused = None;
            match self.try_insert(&mut chains, bills).await {
                Ok(Some(entered)) => return Ok(entered),
                Ok(None) => {}
                Err(error @ TableError::Lost(_)) => lost = Some(error),
                // A line may lack what another router has charged for the same bills.
                Err(error @ TableError::Refused(_)) => refused = Some(error),
                Err(error) => return Err(lost.unwrap_or(error)),
            }
            // Another router wrote a page, or this one did and doesn't know.
            let mut pages = 0;
            for bucket in &buckets {
                match chains[bucket].catch_up(self.table.as_ref()).await {
                    Ok(read) => pages += read,
                    Err(error) => return Err(lost.unwrap_or(error)),
                }
            }
            if let Some(error) = refused.filter(|_| pages == 0) {
                return Err(error);
            }
        }
        let busy = || TableError::Unavailable(format!("{TRIES} conflicts in a row"));
        Err(lost.unwrap_or_else(busy))
    }

    /// Returns the body's fingerprint of a request that is known to have been billed.
    pub async fn body_hash(&self, team: &TeamId, request: &RequestId) -> Option<u64> {
        let chains = self.chains.lock().await;
        let chain = chains.get(&Bucket::of(team, request))?;
        chain.index().body_of(team, request)
    }

    /// Tries once; `None` when another router was first.
    async fn try_insert(
        &self,
        chains: &mut IndexMap<Bucket, Chain>,
        bills: &[Bill],
    ) -> Result<Option<Vec<InsertOutcome>>, TableError> {
        let (entered, fresh) = sort(chains, bills);
        if fresh.is_empty() {
            return Ok(Some(entered));
        }
        let mut origins = self.origins(&fresh).await?;
        let mut write = Transaction::default();
        charge(&mut origins, &fresh)?;
        for (row, value) in origins.values() {
            write.replace(row, value);
        }
        let mut by_bucket: IndexMap<Bucket, Vec<Bill>> = IndexMap::new();
        for bill in fresh {
            by_bucket
                .entry(bill.bucket())
                .or_default()
                .push(bill.clone());
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
                Ok(Some(entered))
            }
        }
    }

    async fn origins(
        &self,
        bills: &[&Bill],
    ) -> Result<IndexMap<Incarnation, (Row, AllowanceRow)>, TableError> {
        let parts = bills.iter().flat_map(|bill| bill.charges.iter());
        let mut origins: Vec<_> = parts.map(|part| part.origin).collect();
        origins.sort_unstable();
        origins.dedup();
        let names: Vec<_> = origins.iter().map(|o| keys::allowance(*o)).collect();
        let rows = self.table.read(&names).await?;
        let mut found = IndexMap::new();
        for (origin, row) in origins.into_iter().zip(rows) {
            let missing = || TableError::Corrupt(row.key.clone(), "it is gone".to_owned());
            let value = row.decode()?.ok_or_else(missing)?;
            found.insert(origin, (row, value));
        }
        Ok(found)
    }
}

/// Says what becomes of each bill and picks the ones that are new.
fn sort<'a>(
    chains: &IndexMap<Bucket, Chain>,
    bills: &'a [Bill],
) -> (Vec<InsertOutcome>, Vec<&'a Bill>) {
    let mut batch = Index::default();
    let (mut entered, mut fresh) = (Vec::new(), Vec::new());
    for bill in bills {
        let stored = chains[&bill.bucket()].index().look_up(bill);
        let outcome = match stored {
            InsertOutcome::New => batch.look_up(bill),
            known => known,
        };
        if outcome == InsertOutcome::New {
            batch.insert(bill);
            fresh.push(bill);
        }
        entered.push(outcome);
    }
    (entered, fresh)
}

/// Charges the lines that pay.
fn charge(
    origins: &mut IndexMap<Incarnation, (Row, AllowanceRow)>,
    bills: &[&Bill],
) -> Result<(), TableError> {
    for bill in bills {
        for part in bill.charges.iter() {
            let (_, row) = &mut origins[&part.origin];
            row.line(&bill.budget).bill(part.amount)?;
        }
    }
    Ok(())
}
