//! The rules in the table: a version that only rises, and one row for each change.

use std::sync::{Arc, LazyLock};

use fescue_core::report::Report;
use fescue_core::rules::{Book, Delta};
use fescue_core::{ChangeId, record};

use crate::table::scan_after;
use crate::{Commit, ObjectStore, Table, TableError, Transaction, keys};

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
        /// Whether `delta` holds all rules as of this version, for who lags far behind.
        #[serde(default, rename = "whole")]
        pub full: bool,
    }

    /// Where all rules as of a version are kept.
    pub struct Snapshot {
        /// The version.
        pub version: u64,
        /// The object with all lines.
        pub object: String,
    }
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is in force as this version.
    Version(u64),
    /// Others changed the same rules since the version that it was made from.
    Conflict(Vec<Change>),
    /// The rules would have faults with it.
    Invalid(String),
}

impl Change {
    /// Makes one change of all rules of a version.
    pub fn full(version: u64, book: &Book) -> Self {
        Self {
            version,
            id: FULL_CHANGE_ID.clone(),
            author: "fescuedrift".to_owned(),
            delta: Delta::between(&Book::default(), book),
            full: true,
        }
    }

    /// Applies the change to the rules of an earlier version.
    ///
    /// # Errors
    ///
    /// The faults that the rules would have.
    pub fn apply(&self, book: &Book) -> Result<Book, Box<Report>> {
        if self.full {
            return Book::default().with(&self.delta);
        }
        book.with(&self.delta)
    }
}

/// How many changes lie between two snapshots.
const SNAPSHOT_EVERY: u64 = 256;

/// The id of a change that holds all rules.
static FULL_CHANGE_ID: LazyLock<ChangeId> =
    LazyLock::new(|| "whole".parse().expect("a plain name"));

/// The rules in the table.
#[derive(Clone)]
pub struct Config {
    table: Arc<dyn Table>,
    objects: Arc<dyn ObjectStore>,
}

impl Config {
    /// Opens the rules that are kept in `table`, their snapshots in `objects`.
    pub fn open(table: Arc<dyn Table>, objects: Arc<dyn ObjectStore>) -> Self {
        Self { table, objects }
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

    /// Returns the changes after a version, in order, or one of all rules and those after it.
    ///
    /// # Errors
    ///
    /// When the store can't be reached.
    pub async fn changes_since(&self, version: u64) -> Result<Vec<Change>, TableError> {
        let rows = self.table.read(&[keys::RULES_SNAPSHOT.to_owned()]).await?;
        let snapshot: Option<Snapshot> = rows[0].decode()?;
        let Some(snapshot) = snapshot.filter(|s| s.version > version + SNAPSHOT_EVERY) else {
            return self.after(version).await;
        };
        let Some(text) = self.objects.get(&snapshot.object).await? else {
            return self.after(version).await;
        };
        let text = String::from_utf8_lossy(&text).into_owned();
        let book = Book::parse(&snapshot.object, &text);
        let bad = |e: Box<_>| TableError::Corrupt(snapshot.object.clone(), format!("{e}"));
        let mut changes = vec![Change::full(snapshot.version, &book.map_err(bad)?)];
        changes.extend(self.after(snapshot.version).await?);
        Ok(changes)
    }

    /// Keeps all rules of a version as an object, so that who starts needn't read every change.
    async fn keep_snapshot(&self, version: u64, book: &Book) -> Result<(), TableError> {
        let object = format!("rules-{version}");
        self.objects
            .put(&object, book.to_text().into_bytes())
            .await?;
        let rows = self.table.read(&[keys::RULES_SNAPSHOT.to_owned()]).await?;
        let known: Option<Snapshot> = rows[0].decode()?;
        if known.is_some_and(|known| known.version >= version) {
            return Ok(());
        }
        let mut write = Transaction::default();
        write.replace(&rows[0], &Snapshot { version, object });
        self.table.transact(&write).await.map(drop)
    }

    async fn after(&self, version: u64) -> Result<Vec<Change>, TableError> {
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
        for change in self.changes_since(0).await? {
            let bad = |e: Box<_>| TableError::Corrupt(keys::change(change.version), format!("{e}"));
            book = change.apply(&book).map_err(bad)?;
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
    ) -> Result<ApplyOutcome, TableError> {
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
    ) -> Result<Option<ApplyOutcome>, TableError> {
        let names = [keys::RULES_HEAD.to_owned(), keys::change_id(id)];
        let rows = self.table.read(&names).await?;
        if let Some(Head { version }) = rows[1].decode()? {
            return Ok(Some(ApplyOutcome::Version(version)));
        }
        let (version, book) = self.load().await?;
        let head: Head = rows[0].decode()?.unwrap_or_default();
        if head.version != version {
            return Ok(None);
        }
        let others = self.after(base).await?;
        let touched: Vec<_> = delta.keys().collect();
        let clash = |change: &Change| change.delta.keys().any(|key| touched.contains(&key));
        let lost: Vec<_> = others.into_iter().filter(clash).collect();
        if !lost.is_empty() {
            return Ok(Some(ApplyOutcome::Conflict(lost)));
        }
        let changed = match book.with(delta) {
            Ok(changed) => changed,
            Err(report) => return Ok(Some(ApplyOutcome::Invalid(report.to_string()))),
        };
        let head = Head {
            version: version + 1,
        };
        let change = Change {
            version: head.version,
            id: id.clone(),
            author: author.to_owned(),
            delta: delta.clone(),
            full: false,
        };
        let mut write = Transaction::default();
        write.replace(&rows[0], &head);
        write.replace(&rows[1], &head);
        write.replace(&crate::Row::absent(keys::change(head.version)), &change);
        match self.table.transact(&write).await? {
            Commit::Done(_) => {
                if head.version.is_multiple_of(SNAPSHOT_EVERY) {
                    // A snapshot that fails costs time at a start, nothing else.
                    let _kept = self.keep_snapshot(head.version, &changed).await;
                }
                Ok(Some(ApplyOutcome::Version(head.version)))
            }
            Commit::Conflict => Ok(None),
        }
    }
}
