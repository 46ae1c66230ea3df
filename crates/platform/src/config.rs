//! The rules in the table: a version that only rises, and one row for each change.

use std::sync::Arc;

use fescue_core::rules::{Book, Delta};
use fescue_core::{ChangeId, record};

use crate::table::scan_after;
use crate::{Commit, Table, TableError, Transaction, keys};

/// How often a change is tried again after a lost answer.
const TRIES: u32 = 4;

record! {
    /// The version in force.
    #[derive(Default)]
    pub struct Head {
        /// Counts the changes.
        pub version: u64,
    }

    /// One change of the rules.
    pub struct Change {
        /// The version that it makes.
        pub version: u64,
        /// Chosen by who asked, so that asking again does it once.
        pub id: ChangeId,
        /// Who asked.
        pub author: String,
        /// What differs.
        pub delta: Delta,
    }
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is in force as this version.
    Version(u64),
    /// Others changed the same rules since the version that it was made from.
    Lost(Vec<Change>),
    /// The rules would have faults with it.
    Invalid(String),
}

/// The rules in the table.
#[derive(Clone)]
pub struct Config {
    table: Arc<dyn Table>,
}

impl Config {
    /// Opens the rules that are kept in `table`.
    pub fn open(table: Arc<dyn Table>) -> Self {
        Self { table }
    }

    /// Returns the version in force.
    ///
    /// # Errors
    ///
    /// When the store can't be reached.
    pub async fn version(&self) -> Result<u64, TableError> {
        let rows = self.table.read(&[keys::RULES_HEAD.to_owned()]).await?;
        let head: Head = rows[0].decode()?.unwrap_or_default();
        Ok(head.version)
    }

    /// Returns the changes after a version, in order.
    ///
    /// # Errors
    ///
    /// When the store can't be reached.
    pub async fn since(&self, version: u64) -> Result<Vec<Change>, TableError> {
        let after = keys::change(version);
        let rows = scan_after(self.table.as_ref(), keys::CHANGES, &after).await?;
        let changes = rows.iter().filter_map(|row| row.decode().transpose());
        changes.collect()
    }

    /// Reads all rules and their version.
    ///
    /// # Errors
    ///
    /// When the store can't be reached or a stored change can't be applied.
    pub async fn load(&self) -> Result<(u64, Book), TableError> {
        let mut book = Book::default();
        let mut version = 0;
        for change in self.since(0).await? {
            let bad = |e: Box<_>| TableError::Corrupt(keys::change(change.version), format!("{e}"));
            book = book.with(&change.delta).map_err(bad)?;
            version = change.version;
        }
        Ok((version, book))
    }

    /// Puts a change in force that was made from version `base`.
    ///
    /// Changes of other rules meanwhile don't hinder it. A change id that is in force already is
    /// answered with its version.
    ///
    /// # Errors
    ///
    /// [`TableError::Lost`] when it may be in force; it is then asked again with the same id.
    pub async fn apply(
        &self,
        id: &ChangeId,
        base: u64,
        author: &str,
        delta: &Delta,
    ) -> Result<Applied, TableError> {
        let mut lost = None;
        for _ in 0..TRIES {
            match self.try_apply(id, base, author, delta).await {
                Ok(Some(applied)) => return Ok(applied),
                Ok(None) => {}
                Err(error @ TableError::Lost(_)) => lost = Some(error),
                Err(error) => return Err(lost.unwrap_or(error)),
            }
        }
        let busy = || TableError::Unavailable(format!("{TRIES} conflicts in a row"));
        Err(lost.unwrap_or_else(busy))
    }

    async fn try_apply(
        &self,
        id: &ChangeId,
        base: u64,
        author: &str,
        delta: &Delta,
    ) -> Result<Option<Applied>, TableError> {
        let names = [keys::RULES_HEAD.to_owned(), keys::change_id(id)];
        let rows = self.table.read(&names).await?;
        if let Some(Head { version }) = rows[1].decode()? {
            return Ok(Some(Applied::Version(version)));
        }
        let (version, book) = self.load().await?;
        let head: Head = rows[0].decode()?.unwrap_or_default();
        if head.version != version {
            return Ok(None);
        }
        let others = self.since(base).await?;
        let touched: Vec<_> = delta.keys().collect();
        let clash = |change: &Change| change.delta.keys().any(|key| touched.contains(&key));
        let lost: Vec<_> = others.into_iter().filter(clash).collect();
        if !lost.is_empty() {
            return Ok(Some(Applied::Lost(lost)));
        }
        if let Err(report) = book.with(delta) {
            return Ok(Some(Applied::Invalid(report.to_string())));
        }
        let head = Head {
            version: version + 1,
        };
        let change = Change {
            version: head.version,
            id: id.clone(),
            author: author.to_owned(),
            delta: delta.clone(),
        };
        let mut write = Transaction::default();
        write.replace(&rows[0], &head);
        write.replace(&rows[1], &head);
        write.replace(&crate::Row::absent(keys::change(head.version)), &change);
        match self.table.transact(&write).await? {
            Commit::Done => Ok(Some(Applied::Version(head.version))),
            Commit::Conflict => Ok(None),
        }
    }
}
