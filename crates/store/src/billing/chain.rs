//! One bucket's chain of pages, as far as this router has read it.

use fescue_policy::bills::{Bill, Bucket, Index, Page};

use super::unix_time;
use crate::table::{scan_after, scan_all};
use crate::{Row, Table, TableError, keys};

/// A chain and the requests in it.
pub(super) struct Chain {
    bucket: Bucket,
    /// The number of the page to write next.
    next: u64,
    /// When the last page was written.
    newest: u64,
    index: Index,
}

impl Chain {
    /// Reads a whole chain for the first time.
    ///
    /// The archive leaves the last page of a chain in the table, so that whoever reads it finds the
    /// number to go on from.
    pub(super) async fn read(table: &dyn Table, bucket: Bucket) -> Result<Self, TableError> {
        let mut chain = Self {
            bucket,
            next: 0,
            newest: 0,
            index: Index::default(),
        };
        let rows = scan_all(table, &keys::bucket(bucket)).await?;
        chain.take(&rows)?;
        Ok(chain)
    }

    /// Reads the pages that others wrote since, and returns how many.
    pub(super) async fn catch_up(&mut self, table: &dyn Table) -> Result<usize, TableError> {
        let Some(last) = self.next.checked_sub(1) else {
            let rows = scan_all(table, &keys::bucket(self.bucket)).await?;
            self.take(&rows)?;
            return Ok(rows.len());
        };
        let after = keys::page(self.bucket, last);
        let rows = scan_after(table, &keys::bucket(self.bucket), &after).await?;
        self.take(&rows)?;
        Ok(rows.len())
    }

    /// Returns the requests read so far.
    pub(super) fn index(&self) -> &Index {
        &self.index
    }

    /// Makes the next page; its time is never before that of the last, whatever clocks do.
    pub(super) fn next_page(&self, now: u64, bills: Vec<Bill>) -> Page {
        let at = now.max(self.newest);
        Page { at, bills }
    }

    /// Returns the row of the next page, which must not exist yet.
    pub(super) fn next_row(&self) -> Row {
        Row::absent(keys::page(self.bucket, self.next))
    }

    /// Takes a page that was written after those read so far.
    pub(super) fn append(&mut self, page: &Page, now: u64) {
        self.index.add_page(page);
        self.index.prune(now);
        self.newest = page.at;
        self.next += 1;
    }

    fn take(&mut self, rows: &[Row]) -> Result<(), TableError> {
        let now = unix_time();
        for row in rows {
            let missing = || TableError::Corrupt(row.key.clone(), "it is gone".to_owned());
            let page: Page = row.decode()?.ok_or_else(missing)?;
            self.next = number(&row.key);
            self.append(&page, now);
        }
        Ok(())
    }
}

/// Returns the number of a page from its key.
pub(super) fn number(key: &str) -> u64 {
    let number = key.rsplit('/').next();
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}
