//! Old pages leave the table for the object store.

use fescue_core::{TeamId, record};
use fescue_policy::bills::{Bill, Bucket, Page, is_expired};

use super::{Billing, chain};
use crate::table::scan_all;
use crate::{Commit, Row, TableError, Transaction, keys};

/// The most pages that are archived at a time.
const MOST_PAGES: usize = 100;

/// Fewer old pages than this wait for more.
const LEAST_PAGES: usize = 20;

record! {
    /// Where archived pages are.
    pub struct Archived {
        /// The object with their bills.
        pub object: String,
        /// How many bills it holds.
        pub bills: usize,
    }
}

impl Billing {
    /// Moves a bucket's old pages to the object store and returns how many.
    ///
    /// Two routers may do it at once: the object is the same, and one transaction removes the
    /// pages. The last page stays, since the chain goes on from its number.
    ///
    /// # Errors
    ///
    /// When a store can't be reached; nothing is lost then.
    pub async fn archive(&self, bucket: Bucket, now: u64) -> Result<usize, TableError> {
        let prefix = keys::bucket(bucket);
        let rows = self.table.scan(&prefix, "", MOST_PAGES + 1).await?;
        let newest = rows.len().saturating_sub(1);
        let (mut old, mut bills) = (Vec::new(), Vec::new());
        for row in &rows[..newest] {
            let page: Option<Page> = row.decode()?;
            let Some(page) = page.filter(|page| is_expired(page.at, now)) else {
                break;
            };
            bills.extend(page.bills);
            old.push(row);
        }
        if old.len() < LEAST_PAGES {
            return Ok(0);
        }
        let first = chain::number(&old[0].key);
        let object = format!("bills-{bucket}-{first:012}-{}", old.len());
        let encoded = serde_json::to_vec(&bills);
        let encoded = encoded.map_err(|e| TableError::Corrupt(object.clone(), e.to_string()))?;
        self.objects.put(&object, encoded).await?;
        let mut write = Transaction::default();
        old.iter().for_each(|row| write.remove(row));
        let archived = Archived {
            object,
            bills: bills.len(),
        };
        write.replace(&Row::absent(keys::archive(bucket, first)), &archived);
        match self.table.transact(&write).await? {
            Commit::Done(_) => Ok(old.len()),
            Commit::Conflict => Ok(0),
        }
    }

    /// Returns all bills of a team, or of all teams, archived ones first.
    ///
    /// # Errors
    ///
    /// When a store can't be reached.
    pub async fn list(&self, team: Option<&TeamId>) -> Result<Vec<Bill>, TableError> {
        let mut found: Vec<Bill> = Vec::new();
        for row in scan_all(self.table.as_ref(), keys::ARCHIVES).await? {
            let Some(Archived { object, .. }) = row.decode()? else {
                continue;
            };
            let missing = || TableError::Corrupt(object.clone(), "it is gone".to_owned());
            let bytes = self.objects.get(&object).await?.ok_or_else(missing)?;
            let bills: Result<Vec<Bill>, _> = serde_json::from_slice(&bytes);
            found.extend(bills.map_err(|e| TableError::Corrupt(object.clone(), e.to_string()))?);
        }
        for bucket in Bucket::all() {
            for row in scan_all(self.table.as_ref(), &keys::bucket(bucket)).await? {
                let page: Option<Page> = row.decode()?;
                found.extend(page.into_iter().flat_map(|page| page.bills));
            }
        }
        found.retain(|bill| team.is_none_or(|team| bill.budget.team() == team));
        Ok(found)
    }
}
