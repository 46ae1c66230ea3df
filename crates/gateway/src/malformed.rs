//! Reports rows of the store that can't be decoded, once each.

use fescue_store::table::{Row, TableError};
use indexmap::IndexMap;

/// Maximum number of rows that are remembered.
const MAX_ROWS: usize = 1024;

/// The malformed rows that have been reported.
#[derive(Debug, Default)]
pub struct MalformedRows {
    /// The version of each row, by key.
    reported: IndexMap<String, u64>,
}

impl MalformedRows {
    /// Logs that a row can't be decoded and isn't used, unless this version of it was reported before.
    pub fn report(&mut self, row: &Row, error: &TableError) {
        if self.reported.len() >= MAX_ROWS {
            self.reported.clear();
        }
        if self.reported.insert(row.key.clone(), row.version) != Some(row.version) {
            let (key, version) = (row.key.as_str(), row.version);
            tracing::warn!(key, version, %error, "row is malformed; not used");
        }
    }
}
