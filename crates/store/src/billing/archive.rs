//! Archiving of expired pages from the table to the object store.

use fescue_core::{TeamId, record};
use fescue_policy::bills::{Bill, Bucket, Page, is_expired};

use super::{Billing, chain};
use crate::table::scan_all;
use crate::{Commit, Row, TableError, Transaction, keys};

/// The maximum number of pages that are archived at a time.
const MAX_PAGES: usize = 100;

/// The minimum number of expired pages for an archive object; fewer stay in the table.
const MIN_PAGES: usize = 20;

record! {
    /// The row that refers to a range of archived pages.
    pub struct ArchiveRow {
        /// The name of the object with the bills in JSON.
        pub object: String,
        /// The number of bills in the object.
        pub bills: usize,
    }
}

impl Billing {
    /// Moves expired pages of a bucket to the object store; returns how many. `now` is in seconds
    /// since the Unix epoch.
    ///
    /// Two routers may do this at the same time: they write the same object, and only one of their
    /// transactions deletes the pages. The last page stays in the table, since the chain continues
    /// from its number.
    ///
    /// # Errors
    ///
    /// Returns an error if the table or the object store can't be reached; no bill is lost then.
    pub async fn archive(&self, bucket: Bucket, now: u64) -> Result<usize, TableError> {
        let prefix = keys::bucket(bucket);
        let rows = self.table.scan(&prefix, "", MAX_PAGES + 1).await?;
        let newest = rows.len().saturating_sub(1);
        let (mut expired, mut bills) = (Vec::new(), Vec::new());
        for row in &rows[..newest] {
            let page: Option<Page> = row.decode()?;
            let Some(page) = page.filter(|page| is_expired(page.at, now)) else {
                break;
            };
            bills.extend(page.bills);
            expired.push(row);
        }
        if expired.len() < MIN_PAGES {
            return Ok(0);
        }
        let first = chain::number(&expired[0].key);
        let object = format!("bills-{bucket}-{first:012}-{}", expired.len());
        let encoded = serde_json::to_vec(&bills);
        let encoded = encoded.map_err(|e| TableError::Corrupt(object.clone(), e.to_string()))?;
        self.objects.put(&object, encoded).await?;
        let mut write = Transaction::default();
        expired.iter().for_each(|row| write.remove(row));
        let archived = ArchiveRow {
            object,
            bills: bills.len(),
        };
        write.replace(&Row::absent(keys::archive(bucket, first)), &archived);
        match self.table.transact(&write).await? {
            Commit::Done(_) => Ok(expired.len()),
            Commit::Conflict => Ok(0),
        }
    }

    /// Returns all bills of a team, or of all teams if `team` is `None`, the archived ones first.
    ///
    /// # Errors
    ///
    /// Returns an error if the table or the object store can't be reached.
    pub async fn list(&self, team: Option<&TeamId>) -> Result<Vec<Bill>, TableError> {
        let mut found: Vec<Bill> = Vec::new();
        for row in scan_all(self.table.as_ref(), keys::ARCHIVES).await? {
            let Some(ArchiveRow { object, .. }) = row.decode()? else {
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
