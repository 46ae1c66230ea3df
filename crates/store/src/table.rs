//! The interfaces of the table service and the object store.

use std::time::Duration;

use async_trait::async_trait;
use fescue_core::{Era, record};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

record! {
    /// A row as it was read.
    pub struct Row {
        /// The key of the row.
        pub key: String,
        /// The version, which every write changes; zero if the row doesn't exist.
        pub version: u64,
        /// The value in JSON; null if the row doesn't exist.
        pub value: Value,
        /// The era in which it was read; `None` if the service names none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub era: Option<Era>,
    }

    /// A precondition of a transaction: the version that a row must have for it to commit.
    pub struct Expect {
        /// The key of the row.
        pub key: String,
        /// The expected version; zero if the row must not exist.
        pub version: u64,
    }

    /// A write of one row.
    pub struct Put {
        /// The key of the row.
        pub key: String,
        /// The new value in JSON.
        pub value: Value,
    }

    /// A set of writes that commits as a whole or not at all.
    #[derive(Default)]
    pub struct Transaction {
        /// The preconditions, which must all hold.
        pub expect: Vec<Expect>,
        /// The rows to write.
        pub put: Vec<Put>,
        /// The keys of the rows to delete.
        pub delete: Vec<String>,
        /// The earliest era in which a row of the preconditions was read; `None` if unknown.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub era: Option<Era>,
    }
}

impl Transaction {
    /// Adds a write of `row`, with the precondition that it is unchanged since it was read.
    pub fn replace(&mut self, row: &Row, value: &impl Serialize) {
        self.require(row);
        let key = row.key.clone();
        let value = encode(value);
        self.put.push(Put { key, value });
    }

    /// Adds a deletion of `row`, with the precondition that it is unchanged since it was read.
    pub fn remove(&mut self, row: &Row) {
        self.require(row);
        self.delete.push(row.key.clone());
    }

    /// Adds the precondition that `row` is unchanged since it was read.
    pub fn require(&mut self, row: &Row) {
        let (key, version) = (row.key.clone(), row.version);
        self.expect.push(Expect { key, version });
        self.era = match (self.era, row.era) {
            (Some(known), Some(read)) => Some(known.min(read)),
            (known, read) => known.or(read),
        };
    }

    /// Returns the partition of its rows; `None` if they are of several.
    pub fn partition(&self) -> Option<&str> {
        let expected = self.expect.iter().map(|expect| expect.key.as_str());
        let written = self.put.iter().map(|put| put.key.as_str());
        let deleted = self.delete.iter().map(String::as_str);
        let mut partitions = expected.chain(written).chain(deleted).map(partition);
        let first = partitions.next().unwrap_or_default();
        partitions.all(|other| other == first).then_some(first)
    }
}

impl Put {
    /// Creates a write of a serialized value, without a precondition.
    pub fn encode(key: impl Into<String>, value: &impl Serialize) -> Self {
        Self {
            key: key.into(),
            value: encode(value),
        }
    }
}

/// Serializes a row's value to JSON.
///
/// # Panics
///
/// Never panics for the types of this workspace's rows: they derive their serialization and have
/// map keys that serialize as strings.
fn encode(value: &impl Serialize) -> Value {
    serde_json::to_value(value).expect("row values serialize to JSON")
}

impl Row {
    /// Creates the representation of a row that doesn't exist, to be inserted by a transaction.
    pub fn absent(key: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            version: 0,
            value: Value::Null,
            era: None,
        }
    }

    /// Returns whether the row existed when it was read.
    pub fn exists(&self) -> bool {
        self.version != 0
    }

    /// Deserializes the value; returns `None` if the row doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Corrupt`] if the value isn't a `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<Option<T>, TableError> {
        if !self.exists() {
            return Ok(None);
        }
        let decoded = T::deserialize(&self.value);
        let corrupt = |error| TableError::Corrupt(self.key.clone(), format!("{error}"));
        decoded.map(Some).map_err(corrupt)
    }
}

/// The outcome of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Commit {
    /// The transaction committed; the version of the written rows if the service reports it.
    Done(Option<u64>),
    /// A precondition failed; nothing was written.
    Conflict,
}

/// The error of a call to the platform, or of an operation on stored rows.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    /// The call failed and did not take effect.
    #[error("the platform can't be reached: {0}")]
    Unavailable(String),
    /// The answer was lost, and the call may have taken effect.
    #[error("the platform's answer was lost: {0}")]
    Lost(String),
    /// The row or object with this key can't be decoded or is missing.
    #[error("row {0} can't be read: {1}")]
    Corrupt(String, String),
    /// The row doesn't allow the change.
    #[error(transparent)]
    Refused(#[from] fescue_policy::account::AccountError),
}

/// The tables whose rows have a partition of their own, as they are written often and never together
/// with rows of other tables.
const OWN_PARTITIONS: [&str; 4] = ["fleet", "intents", "streams", "versions"];

/// Returns the partition of the row with a key. A partition applies its transactions one after the
/// other, so tables in one partition slow each other down; a transaction can't span two.
pub fn partition(key: &str) -> &str {
    let table = key.split_once('/').map_or("", |(table, _)| table);
    match OWN_PARTITIONS.contains(&table) {
        true => table,
        false => "",
    }
}

/// The transactional table service.
///
/// Implementations must write a transaction whose preconditions all hold as a whole, and may return
/// [`TableError::Unavailable`] only if nothing was written and nothing will be. A transaction whose
/// preconditions were read in an earlier [`Era`] than the current one is a conflict. All rows of a
/// transaction are in one [`partition`].
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads rows in the order of `keys`; a row that doesn't exist is returned as [`Row::absent`].
    ///
    /// # Errors
    ///
    /// Returns an error if the service can't be reached in time.
    async fn read(&self, keys: &[String]) -> Result<Vec<Row>, TableError>;

    /// Reads up to `limit` rows whose keys start with `prefix` and sort after `after`, in key
    /// order.
    ///
    /// # Errors
    ///
    /// Returns an error if the service can't be reached in time.
    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, TableError>;

    /// Commits a transaction if its preconditions hold.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Lost`] if it may have been written.
    async fn transact(&self, transaction: &Transaction) -> Result<Commit, TableError>;

    /// Returns a lower bound of the service's monotonic clock, which is no earlier than the time of
    /// its last answer; `None` if the service has no clock.
    fn clock(&self) -> Option<Duration> {
        None
    }

    /// Returns the era of the service's latest answer; `None` if it names none.
    ///
    /// After a change, writes that were acknowledged may be gone, and versions are given out again.
    fn era(&self) -> Option<Era> {
        None
    }
}

/// The object store, which holds archived bills and snapshots of the rules.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Stores an object under a name, replacing any earlier one.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached in time.
    async fn put(&self, name: &str, bytes: Vec<u8>) -> Result<(), TableError>;

    /// Reads an object; `None` if there is none of that name.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached in time.
    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, TableError>;
}

/// The number of rows that [`scan_all`] and [`scan_after`] read per call.
const SCAN_PAGE_ROWS: usize = 200;

/// Reads all rows whose keys start with `prefix`, in key order.
///
/// # Errors
///
/// Returns an error if the service can't be reached in time.
pub async fn scan_all(table: &dyn Table, prefix: &str) -> Result<Vec<Row>, TableError> {
    scan_after(table, prefix, "").await
}

/// Reads all rows whose keys start with `prefix` and sort after `after`, in key order. Starts over if
/// the era changes between two pages.
///
/// # Errors
///
/// Returns an error if the service can't be reached in time.
pub async fn scan_after(
    table: &dyn Table,
    prefix: &str,
    after: &str,
) -> Result<Vec<Row>, TableError> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let last = rows.last().map_or(after, |row| row.key.as_str()).to_owned();
        let page = table.scan(prefix, &last, SCAN_PAGE_ROWS).await?;
        let full = page.len() == SCAN_PAGE_ROWS;
        if let (Some(before), Some(row)) = (rows.last(), page.first())
            && Era::differ(before.era, row.era)
        {
            rows.clear();
            continue;
        }
        rows.extend(page);
        if !full {
            return Ok(rows);
        }
    }
}
