//! Bills in the table, each request once.

use std::sync::Arc;

use fescue_core::{Incarnation, RequestId, TeamId};
use fescue_policy::account::AllowanceRow;
use fescue_policy::bills::{Bill, Bucket, Entered, Index, PAGE_BILLS, Page};
use indexmap::IndexMap;
use tokio::sync::Mutex;

use crate::table::scan_all;
use crate::{Commit, Row, Table, TableError, Transaction, keys};

/// How often a flush tries again before it reports the store as unreachable.
const TRIES: u32 = 8;

/// The end of one bucket's chain, as last read.
struct Chain {
    bucket: Bucket,
    number: u64,
    row: Row,
    page: Page,
    index: Index,
}

/// The bills of the fleet, as one router reads and writes them.
pub struct Billing {
    table: Arc<dyn Table>,
    chains: Mutex<IndexMap<Bucket, Chain>>,
}

impl Billing {
    /// Opens the bills that are kept in `table`; chains are read when they are first needed.
    pub fn open(table: Arc<dyn Table>) -> Self {
        let chains = Mutex::new(IndexMap::new());
        Self { table, chains }
    }

    /// Stores bills and charges the lines that pay, in one transaction.
    ///
    /// Returns what became of each bill, in order. Repeating the call after a lost answer finds
    /// the bills stored.
    ///
    /// # Errors
    ///
    /// When the store can't be reached; the bills may then be stored or not.
    pub async fn enter(&self, bills: &[Bill]) -> Result<Vec<Entered>, TableError> {
        let mut chains = self.chains.lock().await;
        let mut lost = None;
        for _ in 0..TRIES {
            match self.try_enter(&mut chains, bills).await {
                Ok(Some(entered)) => return Ok(entered),
                Ok(None) => {}
                Err(error @ TableError::Lost(_)) => lost = Some(error),
                Err(error) => return Err(lost.unwrap_or(error)),
            }
        }
        let busy = || TableError::Unavailable(format!("{TRIES} conflicts in a row"));
        Err(lost.unwrap_or_else(busy))
    }

    /// Returns the body's fingerprint of a request that is known to have been billed.
    pub async fn body_of(&self, team: &TeamId, request: &RequestId) -> Option<u64> {
        let chains = self.chains.lock().await;
        let chain = chains.get(&Bucket::of(team, request))?;
        chain.index.body_of(team, request)
    }

    /// Returns all bills of a team, the oldest of each bucket first.
    ///
    /// # Errors
    ///
    /// When the store can't be reached.
    pub async fn list(&self, team: Option<&TeamId>) -> Result<Vec<Bill>, TableError> {
        let mut found = Vec::new();
        for bucket in Bucket::all() {
            for row in scan_all(self.table.as_ref(), &keys::bucket(bucket)).await? {
                let page: Page = row.decode()?.unwrap_or_default();
                found.extend(page.bills);
            }
        }
        let wanted = |bill: &Bill| team.is_none_or(|team| bill.budget.team() == team);
        found.retain(wanted);
        Ok(found)
    }

    async fn try_enter(
        &self,
        chains: &mut IndexMap<Bucket, Chain>,
        bills: &[Bill],
    ) -> Result<Option<Vec<Entered>>, TableError> {
        let buckets: Vec<_> = bills.iter().map(Bill::bucket).collect();
        self.catch_up(chains, &buckets).await?;
        let (entered, fresh) = sort(chains, bills);
        if fresh.is_empty() {
            return Ok(Some(entered));
        }
        let origins = self.origins(&fresh).await?;
        let write = plan(chains, &fresh, origins)?;
        match self.table.transact(&write).await? {
            Commit::Done => Ok(Some(entered)),
            Commit::Conflict => Ok(None),
        }
    }

    /// Reads the chains of some buckets to their ends.
    async fn catch_up(
        &self,
        chains: &mut IndexMap<Bucket, Chain>,
        buckets: &[Bucket],
    ) -> Result<(), TableError> {
        for bucket in buckets {
            if !chains.contains_key(bucket) {
                chains.insert(*bucket, self.first(*bucket).await?);
            }
        }
        let mut behind: Vec<Bucket> = buckets.to_vec();
        behind.sort_unstable();
        behind.dedup();
        while !behind.is_empty() {
            let names: Vec<_> = behind
                .iter()
                .map(|bucket| keys::page(*bucket, chains[bucket].number))
                .collect();
            let rows = self.table.read(&names).await?;
            for (bucket, row) in behind.iter().zip(rows) {
                chains[bucket].read(row)?;
            }
            behind.retain(|bucket| chains[bucket].advance());
        }
        Ok(())
    }

    /// Reads a whole chain for the first time.
    async fn first(&self, bucket: Bucket) -> Result<Chain, TableError> {
        let mut chain = Chain::empty(bucket);
        for row in scan_all(self.table.as_ref(), &keys::bucket(bucket)).await? {
            chain.number = page_number(&row.key);
            chain.read(row)?;
        }
        Ok(chain)
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

fn page_number(key: &str) -> u64 {
    let number = key.rsplit('/').next();
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}

impl Chain {
    fn empty(bucket: Bucket) -> Self {
        Self {
            bucket,
            number: 0,
            row: Row::absent(keys::page(bucket, 0)),
            page: Page::default(),
            index: Index::default(),
        }
    }

    /// Takes in the page that the chain stands at.
    fn read(&mut self, row: Row) -> Result<(), TableError> {
        if row.version == self.row.version && row.key == self.row.key {
            return Ok(());
        }
        self.page = row.decode()?.unwrap_or_default();
        self.index.read(&self.page);
        self.row = row;
        Ok(())
    }

    /// Moves past a sealed page; returns whether there was one.
    fn advance(&mut self) -> bool {
        if self.page.sealed {
            self.number += 1;
            self.row = Row::absent(keys::page(self.bucket, self.number));
            self.page = Page::default();
            return true;
        }
        false
    }

    fn append(&self, bills: &[&Bill], write: &mut Transaction) {
        let mut page = self.page.clone();
        page.bills.extend(bills.iter().map(|bill| (*bill).clone()));
        page.sealed = page.bills.len() >= PAGE_BILLS;
        write.replace(&self.row, &page);
        if page.sealed {
            let next = Row::absent(keys::page(self.bucket, self.number + 1));
            write.replace(&next, &Page::default());
        }
    }
}

/// Says what becomes of each bill and picks the ones that are new.
fn sort<'a>(chains: &IndexMap<Bucket, Chain>, bills: &'a [Bill]) -> (Vec<Entered>, Vec<&'a Bill>) {
    let mut batch = Index::default();
    let (mut entered, mut fresh) = (Vec::new(), Vec::new());
    for bill in bills {
        let stored = chains[&bill.bucket()].index.look_up(bill);
        let outcome = match stored {
            Entered::Fresh => batch.look_up(bill),
            known => known,
        };
        if outcome == Entered::Fresh {
            batch.insert(bill);
            fresh.push(bill);
        }
        entered.push(outcome);
    }
    (entered, fresh)
}

fn plan(
    chains: &IndexMap<Bucket, Chain>,
    bills: &[&Bill],
    mut origins: IndexMap<Incarnation, (Row, AllowanceRow)>,
) -> Result<Transaction, TableError> {
    let mut write = Transaction::default();
    let mut by_bucket: IndexMap<Bucket, Vec<&Bill>> = IndexMap::new();
    for bill in bills {
        by_bucket.entry(bill.bucket()).or_default().push(bill);
        for part in bill.charges.iter() {
            let (_, row) = &mut origins[&part.origin];
            row.line(&bill.budget).bill(part.amount)?;
        }
    }
    for (bucket, bills) in &by_bucket {
        chains[bucket].append(bills, &mut write);
    }
    for (row, value) in origins.values() {
        write.replace(row, value);
    }
    Ok(write)
}
