//! A table service in memory, with faults that are set from outside.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use async_trait::async_trait;
use fescue_core::record;
use fescue_store::{Commit, ObjectStore, Row, Table, TableError, Transaction, Vm, VmList};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;

record! {
    /// What goes wrong at the platform.
    #[derive(Default)]
    #[serde(default)]
    pub struct Faults {
        /// Every call is refused.
        pub outage: bool,
        /// Each call takes this long, in milliseconds.
        pub delay_ms: u64,
        /// How many of the next writes take effect and lose their answer.
        pub lose_next: u64,
        /// How many of the next writes lose their answer and take effect only when they are let in,
        /// if what they depend on still holds then.
        pub late_next: u64,
        /// How many of a hundred writes take effect and lose their answer.
        pub lose_percent: u32,
        /// How many of a hundred calls are refused.
        pub refuse_percent: u32,
        /// The caller addresses that are cut off, by the name that they send.
        pub cut: Vec<String>,
    }

    /// What was used of the platform, for the store's load.
    #[derive(Copy, Default)]
    pub struct Usage {
        /// Calls of read and scan.
        pub reads: u64,
        /// Rows read.
        pub rows_read: u64,
        /// Transactions written.
        pub writes: u64,
        /// Rows written.
        pub rows_written: u64,
        /// Transactions refused because a row had changed.
        pub conflicts: u64,
    }
}

struct State {
    rows: BTreeMap<String, (u64, Value)>,
    clock: u64,
    objects: HashMap<String, Vec<u8>>,
    vms: Vec<Vm>,
    faults: Faults,
    usage: Usage,
    dice: StdRng,
    late: Vec<Transaction>,
}

/// The platform's data and faults.
pub struct Memory {
    state: Mutex<State>,
}

impl Memory {
    /// Opens an empty platform whose random faults follow `seed`.
    pub fn open(seed: u64) -> Self {
        let state = State {
            rows: BTreeMap::new(),
            clock: 0,
            objects: HashMap::new(),
            vms: Vec::new(),
            faults: Faults::default(),
            usage: Usage::default(),
            dice: StdRng::seed_from_u64(seed),
            late: Vec::new(),
        };
        let state = Mutex::new(state);
        Self { state }
    }

    /// Sets the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.state.lock().faults = faults;
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> Faults {
        self.state.lock().faults.clone()
    }

    /// Lets the writes in that are on their way, and returns how many took effect.
    pub fn let_late_in(&self) -> usize {
        let mut state = self.state.lock();
        let late = std::mem::take(&mut state.late);
        let written = late.iter().map(|write| state.write(write));
        let written: Vec<_> = written.collect();
        written
            .iter()
            .filter(|commit| matches!(commit, Commit::Done(_)))
            .count()
    }

    /// Sets the VM list as callers will see it.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.state.lock().vms = vms;
    }

    /// Returns what was used so far.
    pub fn usage(&self) -> Usage {
        self.state.lock().usage
    }

    async fn pass(&self) -> Result<(), TableError> {
        let (delay, refused) = {
            let mut state = self.state.lock();
            let percent = state.faults.refuse_percent;
            let unlucky = percent > 0 && state.dice.random_range(0..100) < percent;
            (state.faults.delay_ms, state.faults.outage || unlucky)
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
        match self.rows.get(key) {
            None => Row::absent(key),
            Some((version, value)) => Row {
                key: key.to_owned(),
                version: *version,
                value: value.clone(),
            },
        }
    }

    fn write(&mut self, transaction: &Transaction) -> Commit {
        let holds = |e: &fescue_store::table::Expect| self.row(&e.key).version == e.version;
        if !transaction.expect.iter().all(holds) {
            self.usage.conflicts += 1;
            return Commit::Conflict;
        }
        self.usage.writes += 1;
        self.clock += 1;
        for put in &transaction.put {
            self.usage.rows_written += 1;
            let value = (self.clock, put.value.clone());
            self.rows.insert(put.key.clone(), value);
        }
        for key in &transaction.delete {
            self.usage.rows_written += 1;
            self.rows.remove(key);
        }
        Commit::Done(Some(self.clock))
    }

    fn loses_answer(&mut self) -> bool {
        if self.faults.lose_next > 0 {
            self.faults.lose_next -= 1;
            return true;
        }
        let percent = self.faults.lose_percent;
        percent > 0 && self.dice.random_range(0..100) < percent
    }
}

#[async_trait]
impl Table for Memory {
    async fn read(&self, keys: &[String]) -> Result<Vec<Row>, TableError> {
        self.pass().await?;
        let mut state = self.state.lock();
        state.usage.reads += 1;
        state.usage.rows_read += keys.len() as u64;
        Ok(keys.iter().map(|key| state.row(key)).collect())
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, TableError> {
        self.pass().await?;
        let mut state = self.state.lock();
        let start = after.max(prefix).to_owned();
        let keys = state.rows.range(start..).map(|(key, _)| key);
        let keys = keys.take_while(|key| key.starts_with(prefix));
        let keys = keys.filter(|key| key.as_str() > after || after.is_empty());
        let rows: Vec<_> = keys.take(limit).map(|key| state.row(key)).collect();
        state.usage.reads += 1;
        state.usage.rows_read += rows.len() as u64;
        Ok(rows)
    }

    async fn transact(&self, transaction: &Transaction) -> Result<Commit, TableError> {
        self.pass().await?;
        let mut state = self.state.lock();
        if state.faults.late_next > 0 {
            state.faults.late_next -= 1;
            state.late.push(transaction.clone());
            return Err(TableError::Lost("on its way".to_owned()));
        }
        let commit = state.write(transaction);
        if state.loses_answer() {
            return Err(TableError::Lost("told to lose it".to_owned()));
        }
        Ok(commit)
    }
}

#[async_trait]
impl ObjectStore for Memory {
    async fn put(&self, name: &str, bytes: Vec<u8>) -> Result<(), TableError> {
        self.pass().await?;
        self.state.lock().objects.insert(name.to_owned(), bytes);
        Ok(())
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, TableError> {
        self.pass().await?;
        Ok(self.state.lock().objects.get(name).cloned())
    }
}

#[async_trait]
impl VmList for Memory {
    async fn vms(&self) -> Result<Vec<Vm>, TableError> {
        self.pass().await?;
        Ok(self.state.lock().vms.clone())
    }
}
