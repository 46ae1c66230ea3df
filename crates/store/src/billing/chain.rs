//! The chain of pages of one bucket, as far as this router has read it.

use fescue_policy::bills::{Bill, Bucket, Index, Page};

use super::unix_time;
use crate::table::{scan_after, scan_all};
use crate::{Row, Table, TableError, keys};

/// The state of a chain: its end and an index of the billed requests.
pub(super) struct Chain {
    bucket: Bucket,
    /// The number of the page to write next.
    next_number: u64,
    /// The time of the last page, in seconds since the Unix epoch.
    last_time: u64,
    index: Index,
}

impl Chain {
    /// Reads a whole chain for the first time.
    ///
    /// Archiving leaves the last page of a chain in the table, so that every reader finds the
    /// number from which to continue.
    pub(super) async fn read(table: &dyn Table, bucket: Bucket) -> Result<Self, TableError> {
        let mut chain = Self {
            bucket,
            next_number: 0,
            last_time: 0,
            index: Index::default(),
        };
        let rows = scan_all(table, &keys::bucket(bucket)).await?;
        chain.append_rows(&rows)?;
        Ok(chain)
    }

    /// Reads the pages that were written since the last read; returns how many.
    pub(super) async fn catch_up(&mut self, table: &dyn Table) -> Result<usize, TableError> {
        let Some(last) = self.next_number.checked_sub(1) else {
            let rows = scan_all(table, &keys::bucket(self.bucket)).await?;
            self.append_rows(&rows)?;
            return Ok(rows.len());
        };
        let after = keys::page(self.bucket, last);
        let rows = scan_after(table, &keys::bucket(self.bucket), &after).await?;
        self.append_rows(&rows)?;
        Ok(rows.len())
    }

    /// Returns the index of the billed requests that have been read.
    pub(super) fn index(&self) -> &Index {
        &self.index
    }

    /// Creates the next page; its time is no earlier than that of the last page, even if clocks
    /// differ between VMs or are set back.
    pub(super) fn next_page(&self, now: u64, bills: Vec<Bill>) -> Page {
        let at = now.max(self.last_time);
        Page { at, bills }
    }

    /// Returns the absent row at which the next page will be inserted.
    pub(super) fn next_row(&self) -> Row {
        Row::absent(keys::page(self.bucket, self.next_number))
    }

    /// Adds a page that follows those read so far.
    pub(super) fn append(&mut self, page: &Page, now: u64) {
        self.index.add_page(page);
        self.index.prune(now);
        self.last_time = page.at;
        self.next_number += 1;
    }

    fn append_rows(&mut self, rows: &[Row]) -> Result<(), TableError> {
        let now = unix_time();
        for row in rows {
            let missing = || TableError::Corrupt(row.key.clone(), "it is gone".to_owned());
            let page: Page = row.decode()?.ok_or_else(missing)?;
            self.next_number = number(&row.key);
            self.append(&page, now);
        }
        Ok(())
    }
}

/// Parses the number of a page from its key.
pub(super) fn number(key: &str) -> u64 {
    let number = key.rsplit('/').next();
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}
