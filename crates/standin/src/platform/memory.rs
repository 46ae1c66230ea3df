//! Table service, object store and VM list in memory, with injected faults.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use async_trait::async_trait;
use fescue_core::{Era, record};
use fescue_store::{Commit, ObjectStore, Row, Table, TableError, Transaction, Vm, VmList};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;

record! {
    /// The faults injected into the platform; the default is none.
    #[derive(Default)]
    #[serde(default)]
    pub struct Faults {
        /// Whether every call is refused.
        pub outage: bool,
        /// Delay of each call, in milliseconds.
        pub delay_ms: u64,
        /// Number of following transactions that are executed but whose response is lost.
        pub lose_next: u64,
        /// Number of following transactions whose response is lost and that are executed only by
        /// [`InMemory::apply_delayed_writes`], if their expected versions still match then.
        pub late_next: u64,
        /// Percentage of transactions that are executed but whose response is lost.
        pub lose_percent: u32,
        /// Percentage of calls that are refused.
        pub refuse_percent: u32,
        /// VMs whose table and VM list requests over HTTP time out, by their `x-vm` header.
        pub cut: Vec<String>,
    }

    /// Counters of table operations since the start, from which the load on the store is read.
    #[derive(Copy, Default)]
    pub struct Usage {
        /// Read and scan calls.
        pub reads: u64,
        /// Rows returned by reads and scans, absent rows of reads included.
        pub rows_read: u64,
        /// Committed transactions.
        pub writes: u64,
        /// Rows put or deleted by committed transactions.
        pub rows_written: u64,
        /// Transactions refused because an expected row version did not match.
        pub conflicts: u64,
    }
}

/// What the platform stores, and what a copy of it holds.
#[derive(Clone, Default)]
struct Contents {
    /// Version and value of each row.
    rows: BTreeMap<String, (u64, Value)>,
    version: u64,
    objects: HashMap<String, Vec<u8>>,
}

struct State {
    contents: Contents,
    copy: Contents,
    era: Era,
    vms: Vec<Vm>,
    faults: Faults,
    usage: Usage,
    rng: StdRng,
    delayed: Vec<Transaction>,
}

/// An in-memory platform, shared by the routers of a test.
pub struct InMemory {
    state: Mutex<State>,
}

impl InMemory {
    /// Creates an empty platform; `seed` determines which calls the percentage faults hit.
    pub fn open(seed: u64) -> Self {
        let state = State {
            contents: Contents::default(),
            copy: Contents::default(),
            era: Era::new(1),
            vms: Vec::new(),
            faults: Faults::default(),
            usage: Usage::default(),
            rng: StdRng::seed_from_u64(seed),
            delayed: Vec::new(),
        };
        let state = Mutex::new(state);
        Self { state }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.lock().faults = faults;
    }

    /// Returns a copy of the injected faults.
    pub fn faults(&self) -> Faults {
        self.state.lock().faults.clone()
    }

    /// Executes the transactions held back by [`Faults::late_next`]; returns how many committed.
    pub fn apply_delayed_writes(&self) -> usize {
        let mut state = self.state.lock();
        let delayed = std::mem::take(&mut state.delayed);
        let commits = delayed.iter().map(|transaction| state.commit(transaction));
        let commits: Vec<_> = commits.collect();
        commits
            .iter()
            .filter(|commit| matches!(commit, Commit::Done(_)))
            .count()
    }

    /// Copies rows, their versions and objects, for [`InMemory::restore`].
    pub fn copy(&self) {
        let mut state = self.state.lock();
        state.copy = state.contents.clone();
    }

    /// Returns to the last copy, or to nothing if there is none, and starts a new era.
    ///
    /// What was written since the copy is lost, and its versions are given out again.
    pub fn restore(&self) -> Era {
        let mut state = self.state.lock();
        state.contents = state.copy.clone();
        state.era = Era::new(state.era.get() + 1);
        state.era
    }

    /// Replaces the VM list that routers read.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.state.lock().vms = vms;
    }

    /// Returns the counters of table operations.
    pub fn usage(&self) -> Usage {
        self.state.lock().usage
    }

    async fn apply_call_faults(&self) -> Result<(), TableError> {
        let (delay, refused) = {
            let mut state = self.state.lock();
            let percent = state.faults.refuse_percent;
            let drawn = percent > 0 && state.rng.random_range(0..100) < percent;
            (state.faults.delay_ms, state.faults.outage || drawn)
        };
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        if refused {
            return Err(TableError::Unavailable("the platform is down".to_owned()));
        }
        Ok(())
    }
}

impl State {
    fn row(&self, key: &str) -> Row {
        let absent = Row {
            era: Some(self.era),
            ..Row::absent(key)
        };
        match self.contents.rows.get(key) {
            None => absent,
            Some((version, value)) => Row {
                version: *version,
                value: value.clone(),
                ..absent
            },
        }
    }

    fn commit(&mut self, transaction: &Transaction) -> Commit {
        let matches = |e: &fescue_store::table::Expect| self.row(&e.key).version == e.version;
        let current = transaction.era.is_none_or(|era| era == self.era);
        if !current || !transaction.expect.iter().all(matches) {
            self.usage.conflicts += 1;
            return Commit::Conflict;
        }
        self.usage.writes += 1;
        self.contents.version += 1;
        for put in &transaction.put {
            self.usage.rows_written += 1;
            let value = (self.contents.version, put.value.clone());
            self.contents.rows.insert(put.key.clone(), value);
        }
        for key in &transaction.delete {
            self.usage.rows_written += 1;
            self.contents.rows.remove(key);
        }
        Commit::Done(Some(self.contents.version))
    }

    fn drops_response(&mut self) -> bool {
        if self.faults.lose_next > 0 {
            self.faults.lose_next -= 1;
            return true;
        }
        let percent = self.faults.lose_percent;
        percent > 0 && self.rng.random_range(0..100) < percent
    }
}

#[async_trait]
impl Table for InMemory {
    async fn read(&self, keys: &[String]) -> Result<Vec<Row>, TableError> {
        self.apply_call_faults().await?;
        let mut state = self.state.lock();
        state.usage.reads += 1;
        state.usage.rows_read += keys.len() as u64;
        Ok(keys.iter().map(|key| state.row(key)).collect())
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, TableError> {
        self.apply_call_faults().await?;
        let mut state = self.state.lock();
        let start = after.max(prefix).to_owned();
        let keys = state.contents.rows.range(start..).map(|(key, _)| key);
        let keys = keys.take_while(|key| key.starts_with(prefix));
        let keys = keys.filter(|key| key.as_str() > after || after.is_empty());
        let rows: Vec<_> = keys.take(limit).map(|key| state.row(key)).collect();
        state.usage.reads += 1;
        state.usage.rows_read += rows.len() as u64;
        Ok(rows)
    }

    async fn transact(&self, transaction: &Transaction) -> Result<Commit, TableError> {
        if transaction.partition().is_none() {
            let error = "a transaction can't span several partitions";
            return Err(TableError::Unavailable(error.to_owned()));
        }
        self.apply_call_faults().await?;
        let mut state = self.state.lock();
        if state.faults.late_next > 0 {
            state.faults.late_next -= 1;
            state.delayed.push(transaction.clone());
            return Err(TableError::Lost(
                "transaction delayed by an injected fault".to_owned(),
            ));
        }
        let commit = state.commit(transaction);
        if state.drops_response() {
            return Err(TableError::Lost(
                "response dropped by an injected fault".to_owned(),
            ));
        }
        Ok(commit)
    }

    fn era(&self) -> Option<Era> {
        Some(self.state.lock().era)
    }
}

#[async_trait]
impl ObjectStore for InMemory {
    async fn put(&self, name: &str, bytes: Vec<u8>) -> Result<(), TableError> {
        self.apply_call_faults().await?;
        let mut state = self.state.lock();
        state.contents.objects.insert(name.to_owned(), bytes);
        Ok(())
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, TableError> {
        self.apply_call_faults().await?;
        Ok(self.state.lock().contents.objects.get(name).cloned())
    }
}

#[async_trait]
impl VmList for InMemory {
    async fn vms(&self) -> Result<Vec<Vm>, TableError> {
        self.apply_call_faults().await?;
        Ok(self.state.lock().vms.clone())
    }
}
