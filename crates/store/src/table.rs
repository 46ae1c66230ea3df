//! The border to the table service and the object store.

use std::time::Duration;

use async_trait::async_trait;
use fescue_core::record;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

record! {
    /// One row as it was read.
    pub struct Row {
        /// Its key.
        pub key: String,
        /// Its version; zero where there is no row.
        pub version: u64,
        /// Its value; null where there is no row.
        pub value: Value,
    }

    /// A version that a row must have for a transaction to commit.
    pub struct Expect {
        /// The row.
        pub key: String,
        /// Its version; zero where it must be absent.
        pub version: u64,
    }

    /// A row to write.
    pub struct Put {
        /// The row.
        pub key: String,
        /// Its new value.
        pub value: Value,
    }

    /// Rows that are written together, or not at all.
    #[derive(Default)]
    pub struct Transaction {
        /// The versions that it depends on.
        pub expect: Vec<Expect>,
        /// The rows that it writes.
        pub put: Vec<Put>,
        /// The rows that it removes.
        pub delete: Vec<String>,
    }
}

impl Transaction {
    /// Replaces a row, if it still is as it was read.
    pub fn replace(&mut self, row: &Row, value: &impl Serialize) {
        self.require(row);
        let key = row.key.clone();
        let value = encode(value);
        self.put.push(Put { key, value });
    }

    /// Removes a row, if it still is as it was read.
    pub fn remove(&mut self, row: &Row) {
        self.require(row);
        self.delete.push(row.key.clone());
    }

    /// Depends on a row being as it was read.
    pub fn require(&mut self, row: &Row) {
        let (key, version) = (row.key.clone(), row.version);
        self.expect.push(Expect { key, version });
    }
}

impl Put {
    /// Writes a value, whatever the row holds.
    pub fn encode(key: impl Into<String>, value: &impl Serialize) -> Self {
        Self {
            key: key.into(),
            value: encode(value),
        }
    }
}

/// Turns a value of ours into JSON.
///
/// # Panics
///
/// Never: our rows are plain data with text keys, which always have a JSON form.
fn encode(value: &impl Serialize) -> Value {
    serde_json::to_value(value).expect("rows are plain data")
}

impl Row {
    /// A row that doesn't exist yet.
    pub fn absent(key: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            version: 0,
            value: Value::Null,
        }
    }

    /// Returns whether the row exists.
    pub fn exists(&self) -> bool {
        self.version != 0
    }

    /// Decodes the value; `None` where there is no row.
    ///
    /// # Errors
    ///
    /// When the row holds something else.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<Option<T>, TableError> {
        if !self.exists() {
            return Ok(None);
        }
        let decoded = T::deserialize(&self.value);
        let bad = |error| TableError::Corrupt(self.key.clone(), format!("{error}"));
        decoded.map(Some).map_err(bad)
    }
}

/// How a transaction ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Commit {
    /// All rows are written, with this version where the service tells it.
    Done(Option<u64>),
    /// A row had another version; nothing is written.
    Conflict,
}

/// Why a call to the platform gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    /// The call did not take effect.
    #[error("the platform can't be reached: {0}")]
    Unavailable(String),
    /// The call may have taken effect.
    #[error("the platform's answer was lost: {0}")]
    Lost(String),
    /// A row doesn't hold what it should.
    #[error("row {0} can't be read: {1}")]
    Corrupt(String, String),
    /// A change that a row doesn't allow.
    #[error(transparent)]
    Refused(#[from] fescue_policy::account::AccountError),
}

/// The transactional table service.
///
/// An implementer keeps two things: a transaction whose expected versions all hold is written as a
/// whole, and [`TableError::Unavailable`] is answered only where nothing was or will be written.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads rows; those that don't exist come back absent, in the order asked.
    ///
    /// # Errors
    ///
    /// When the service can't be reached in time.
    async fn read(&self, keys: &[String]) -> Result<Vec<Row>, TableError>;

    /// Reads up to `limit` rows whose keys start with `prefix` and come after `after`.
    ///
    /// # Errors
    ///
    /// When the service can't be reached in time.
    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, TableError>;

    /// Writes a transaction.
    ///
    /// # Errors
    ///
    /// [`TableError::Lost`] when it may have been written.
    async fn transact(&self, transaction: &Transaction) -> Result<Commit, TableError>;

    /// Returns the service's steady clock, no later than it is now, and no earlier than when the
    /// last answer was given; `None` where the service has no clock.
    fn clock(&self) -> Option<Duration> {
        None
    }
}

/// The object store.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Stores an object under a name.
    ///
    /// # Errors
    ///
    /// When the store can't be reached in time.
    async fn put(&self, name: &str, bytes: Vec<u8>) -> Result<(), TableError>;

    /// Fetches an object.
    ///
    /// # Errors
    ///
    /// When the store can't be reached in time.
    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, TableError>;
}

/// How many rows one call of [`scan_all`] reads at a time.
const SCAN_ROWS: usize = 200;

/// Reads all rows whose keys start with `prefix`.
///
/// # Errors
///
/// When the service can't be reached in time.
pub async fn scan_all(table: &dyn Table, prefix: &str) -> Result<Vec<Row>, TableError> {
    scan_after(table, prefix, "").await
}

/// Reads all rows whose keys start with `prefix` and come after `after`.
///
/// # Errors
///
/// When the service can't be reached in time.
pub async fn scan_after(
    table: &dyn Table,
    prefix: &str,
    after: &str,
) -> Result<Vec<Row>, TableError> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let last = rows.last().map_or(after, |row| row.key.as_str()).to_owned();
        let page = table.scan(prefix, &last, SCAN_ROWS).await?;
        let full = page.len() == SCAN_ROWS;
        rows.extend(page);
        if !full {
            return Ok(rows);
        }
    }
}
