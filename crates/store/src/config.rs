//! The rules in the table, as an increasing version and one row for each change.

use std::sync::{Arc, LazyLock};

use fescue_core::report::Report;
use fescue_core::rules::{Delta, RuleSet};
use fescue_core::{ChangeId, Era, record};

use crate::table::scan_after;
use crate::{Commit, ObjectStore, Table, TableError, Transaction, keys};

/// The number of attempts to write a change, including those after a conflict or a lost answer.
const MAX_ATTEMPTS: u32 = 4;

record! {
    /// The row with the version in force; also maps the id of a change to its version.
    #[derive(Default)]
    pub struct Head {
        /// The number of changes so far.
        pub version: u64,
    }

    /// A change of the rules.
    pub struct Change {
        /// The version that results from the change.
        pub version: u64,
        /// The id that the author's client chose, so that a repeated request is applied once.
        pub id: ChangeId,
        /// The operator who requested the change.
        pub author: String,
        /// The rules that differ from the version before.
        pub delta: Delta,
        /// Whether `delta` holds all rules of this version instead, which is sent to routers that
        /// are many versions behind.
        #[serde(default, rename = "whole")]
        pub full: bool,
    }

    /// The row that refers to a snapshot of all rules.
    pub struct Snapshot {
        /// The version of the rules in the snapshot.
        pub version: u64,
        /// The name of the object with the rules as text.
        pub object: String,
    }
}

/// The outcome of applying a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change is in force as this version.
    Version(u64),
    /// These changes of the same rules were made since the base version; nothing was written.
    Conflict(Vec<Change>),
    /// The resulting rules would be invalid, for the reasons given; nothing was written.
    Invalid(String),
}

impl Change {
    /// Creates a change that holds all rules of a version.
    pub fn full(version: u64, book: &RuleSet) -> Self {
        Self {
            version,
            id: FULL_CHANGE_ID.clone(),
            author: "fescuedrift".to_owned(),
            delta: Delta::between(&RuleSet::default(), book),
            full: true,
        }
    }

    /// Returns the rules of an earlier version with the change applied.
    ///
    /// # Errors
    ///
    /// Returns a report of the errors if the resulting rules would be invalid.
    pub fn apply(&self, book: &RuleSet) -> Result<RuleSet, Box<Report>> {
        if self.full {
            return RuleSet::default().with_delta(&self.delta);
        }
        book.with_delta(&self.delta)
    }
}

/// The number of versions from one snapshot to the next, and the lag above which a snapshot is
/// read.
const SNAPSHOT_EVERY: u64 = 256;

/// The id of all changes that hold all rules.
static FULL_CHANGE_ID: LazyLock<ChangeId> =
    LazyLock::new(|| "whole".parse().expect("valid change id"));

/// Access to the rules in the table.
#[derive(Clone)]
pub struct Config {
    table: Arc<dyn Table>,
    objects: Arc<dyn ObjectStore>,
}

impl Config {
    /// Creates access to the rules in `table` and their snapshots in `objects`.
    pub fn open(table: Arc<dyn Table>, objects: Arc<dyn ObjectStore>) -> Self {
        Self { table, objects }
    }

    /// Returns the version of the rules in force; zero before the first change.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached.
    pub async fn version(&self) -> Result<u64, TableError> {
        let rows = self.table.read(&[keys::RULES_HEAD.to_owned()]).await?;
        let head: Head = rows[0].decode()?.unwrap_or_default();
        Ok(head.version)
    }

    /// Returns the changes after a version, in order.
    ///
    /// If the newest snapshot is more than 256 versions ahead, the first change holds all rules of
    /// the snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached.
    pub async fn changes_since(&self, version: u64) -> Result<Vec<Change>, TableError> {
        let rows = self.table.read(&[keys::RULES_SNAPSHOT.to_owned()]).await?;
        let snapshot: Option<Snapshot> = rows[0].decode()?;
        let Some(snapshot) = snapshot.filter(|s| s.version > version + SNAPSHOT_EVERY) else {
            return self.changes_after(version).await;
        };
        let Some(text) = self.objects.get(&snapshot.object).await? else {
            return self.changes_after(version).await;
        };
        let text = String::from_utf8_lossy(&text).into_owned();
        let book = RuleSet::parse(&snapshot.object, &text);
        let corrupt = |e: Box<_>| TableError::Corrupt(snapshot.object.clone(), format!("{e}"));
        let mut changes = vec![Change::full(snapshot.version, &book.map_err(corrupt)?)];
        changes.extend(self.changes_after(snapshot.version).await?);
        Ok(changes)
    }

    /// Stores all rules of a version as an object, so that a starting router needn't read every
    /// change.
    async fn store_snapshot(&self, version: u64, book: &RuleSet) -> Result<(), TableError> {
        let object = format!("rules-{version}");
        self.objects
            .put(&object, book.to_text().into_bytes())
            .await?;
        let rows = self.table.read(&[keys::RULES_SNAPSHOT.to_owned()]).await?;
        let newest: Option<Snapshot> = rows[0].decode()?;
        if newest.is_some_and(|newest| newest.version >= version) {
            return Ok(());
        }
        let mut write = Transaction::default();
        write.replace(&rows[0], &Snapshot { version, object });
        self.table.transact(&write).await.map(drop)
    }

    async fn changes_after(&self, version: u64) -> Result<Vec<Change>, TableError> {
        let after = keys::change(version);
        let rows = scan_after(self.table.as_ref(), keys::CHANGES, &after).await?;
        let mut changes = Vec::new();
        for row in &rows {
            match row.decode() {
                Ok(Some(change)) => changes.push(change),
                Ok(None) => {}
                Err(error) if changes.is_empty() => return Err(error),
                Err(error) => {
                    tracing::warn!(%error, "a change of the rules is malformed; only those before it are read");
                    break;
                }
            }
        }
        Ok(changes)
    }

    /// Reads all rules and their version.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached or a stored change can't be applied.
    pub async fn load(&self) -> Result<(u64, RuleSet), TableError> {
        let mut book = RuleSet::default();
        let mut version = 0;
        for change in self.changes_since(0).await? {
            let corrupt =
                |e: Box<_>| TableError::Corrupt(keys::change(change.version), format!("{e}"));
            book = change.apply(&book).map_err(corrupt)?;
            version = change.version;
        }
        Ok((version, book))
    }

    /// Returns the era of the table's last answer.
    pub fn era(&self) -> Option<Era> {
        self.table.era()
    }

    /// Writes changes again that the table lost, unless their versions are in force there.
    ///
    /// `changes` are contiguous or hold all rules, and the last one is the version in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be reached or another change came first; the method may be
    /// called again.
    pub async fn repeat(&self, changes: &[Change]) -> Result<(), TableError> {
        let Some(last) = changes.last() else {
            return Ok(());
        };
        let mut keys = vec![keys::RULES_HEAD.to_owned()];
        keys.extend(changes.iter().map(|change| keys::change(change.version)));
        keys.extend(changes.iter().map(|change| keys::change_id(&change.id)));
        let rows = self.table.read(&keys).await?;
        let head: Head = rows[0].decode()?.unwrap_or_default();
        if head.version >= last.version {
            return Ok(());
        }
        let mut write = Transaction::default();
        let version = last.version;
        write.replace(&rows[0], &Head { version });
        let (stored, ids) = rows[1..].split_at(changes.len());
        let rows = changes.iter().zip(stored.iter().zip(ids));
        for (change, (stored, id)) in rows.filter(|(c, _)| c.version > head.version) {
            write.replace(stored, change);
            if !change.full {
                let version = change.version;
                write.replace(id, &Head { version });
            }
        }
        match self.table.transact(&write).await? {
            Commit::Done(_) => {
                tracing::warn!(
                    version,
                    lost = version - head.version,
                    "rules written again after a return of the table"
                );
                Ok(())
            }
            Commit::Conflict => {
                let changed = "the rules changed while they were written again";
                Err(TableError::Unavailable(changed.to_owned()))
            }
        }
    }

    /// Puts a change in force that was made against version `base`.
    ///
    /// Changes of other rules since `base` are no conflict. For a change id that is already in
    /// force, its version is returned.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Lost`] if the change may be in force; the call may be repeated with
    /// the same id.
    pub async fn apply(
        &self,
        id: &ChangeId,
        base: u64,
        author: &str,
        delta: &Delta,
    ) -> Result<ChangeOutcome, TableError> {
        self.apply_in(None, id, base, author, delta).await
    }

    /// Applies a change like [`Config::apply`] if the table is in `era`; in another one, all attempts
    /// fail.
    ///
    /// # Errors
    ///
    /// Returns an error like [`Config::apply`].
    pub async fn apply_in(
        &self,
        era: Option<Era>,
        id: &ChangeId,
        base: u64,
        author: &str,
        delta: &Delta,
    ) -> Result<ChangeOutcome, TableError> {
        let mut lost = None;
        for _ in 0..MAX_ATTEMPTS {
            match self.try_apply(era, id, base, author, delta).await {
                Ok(Some(applied)) => return Ok(applied),
                Ok(None) => {}
                Err(error @ TableError::Lost(_)) => lost = Some(error),
                Err(error) => return Err(lost.unwrap_or(error)),
            }
        }
        let conflicts = || TableError::Unavailable(format!("{MAX_ATTEMPTS} conflicts in a row"));
        Err(lost.unwrap_or_else(conflicts))
    }

    /// Attempts the change once; returns `None` after a conflict with a concurrent write.
    async fn try_apply(
        &self,
        era: Option<Era>,
        id: &ChangeId,
        base: u64,
        author: &str,
        delta: &Delta,
    ) -> Result<Option<ChangeOutcome>, TableError> {
        let keys = [keys::RULES_HEAD.to_owned(), keys::change_id(id)];
        let rows = self.table.read(&keys).await?;
        if let Some(Head { version }) = rows[1].decode()? {
            return Ok(Some(ChangeOutcome::Version(version)));
        }
        let (version, book) = self.load().await?;
        let head: Head = rows[0].decode()?.unwrap_or_default();
        if head.version != version {
            return Ok(None);
        }
        let others = self.changes_after(base).await?;
        let touched: Vec<_> = delta.keys().collect();
        let overlaps = |change: &Change| change.delta.keys().any(|key| touched.contains(&key));
        let conflicting: Vec<_> = others.into_iter().filter(overlaps).collect();
        if !conflicting.is_empty() {
            return Ok(Some(ChangeOutcome::Conflict(conflicting)));
        }
        let changed = match book.with_delta(delta) {
            Ok(changed) => changed,
            Err(report) => return Ok(Some(ChangeOutcome::Invalid(report.to_string()))),
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
        let mut write = Transaction {
            era,
            ..Transaction::default()
        };
        write.replace(&rows[0], &head);
        write.replace(&rows[1], &head);
        write.replace(&crate::Row::absent(keys::change(head.version)), &change);
        match self.table.transact(&write).await? {
            Commit::Done(_) => {
                if head.version.is_multiple_of(SNAPSHOT_EVERY) {
                    // Without this snapshot, a starting router only has more changes to read.
                    let _stored = self.store_snapshot(head.version, &changed).await;
                }
                Ok(Some(ChangeOutcome::Version(head.version)))
            }
            Commit::Conflict => Ok(None),
        }
    }
}
