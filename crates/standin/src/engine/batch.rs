//! The engine's state: batch slots, request queue, prefix cache and counters.

use std::collections::HashMap;
use std::time::Duration;

use fescue_core::{Priority, SoftwareVersion, hash, record};
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::watch;

record! {
    /// The speed and capacity of an engine.
    #[derive(Copy)]
    pub struct Profile {
        /// Number of requests that run concurrently.
        pub slots: usize,
        /// Time to prefill one prompt token, in microseconds.
        pub prefill_us: u64,
        /// Time to generate one completion token, in microseconds.
        pub token_us: u64,
        /// Capacity of the prefix cache, in blocks of 64 bytes of prompt.
        pub cache_blocks: usize,
        /// Whether requests with a stale fencing number are refused.
        pub fencing: bool,
    }

    /// The faults injected into an engine; the default is none.
    #[derive(Default)]
    #[serde(default)]
    pub struct EngineFaults {
        /// Whether every response breaks off, as when the process has died.
        pub down: bool,
        /// Factor by which each completion token takes longer; zero and one change nothing.
        pub slowdown: u64,
        /// Whether the engine reports that it is leaving and refuses new requests.
        pub leaving: bool,
        /// Whether responses carry the id of another request.
        pub crossed: bool,
        /// Token index, counted from the start of the completion, at which streams break off; zero
        /// for never.
        pub cut_after: u64,
        /// Limit that answers name, in requests a second; empty for none.
        pub limit: String,
        /// Software version that the load report names instead of the engine's own; empty for its own.
        pub reported_version: String,
        /// Whether a continuation is run whatever software version it asks for.
        pub unchecked_version: bool,
    }

    /// The load report that an engine serves at `/v1/load`.
    #[derive(Default)]
    pub struct Load {
        /// Random number that tells one start of the engine from the next.
        pub incarnation: u64,
        /// Requests that hold a slot.
        pub running: usize,
        /// Requests that wait for a slot.
        pub waiting: usize,
        /// Whether new requests are refused.
        pub leaving: bool,
        /// Requests that were given a slot since the start.
        pub started: u64,
        /// Requests whose caller disconnected before the end.
        pub cancelled: u64,
        /// Prompt blocks found in the prefix cache.
        pub hits: u64,
        /// Prompt blocks that had to be prefilled.
        pub misses: u64,
        /// Crashes caused by the prompt of a request.
        pub crashes: u64,
        /// Software version; empty for none.
        pub software_version: String,
    }
}

/// The software version of an engine that was given no other.
pub const DEFAULT_VERSION: &str = "1";

/// Length of the prompt text in one block of the prefix cache.
const BLOCK_BYTES: usize = 64;

struct State {
    /// Waiting requests by arrival number.
    waiting: IndexMap<u64, Priority>,
    running: usize,
    next_number: u64,
    /// Hashes of cached prompt prefixes, the least recently used first.
    cache: IndexMap<u64, ()>,
    /// Highest fencing number seen, by VM.
    fences: HashMap<String, u64>,
    faults: EngineFaults,
    load: Load,
}

/// A simulated engine, shared by all requests to it.
pub struct Engine {
    /// Speed and capacity, fixed at the start.
    pub profile: Profile,
    state: Mutex<State>,
    queue_changes: watch::Sender<u64>,
}

/// The slot of a running request; dropping it frees the slot.
pub struct Slot<'a> {
    engine: &'a Engine,
}

impl Engine {
    /// Creates an idle engine with a random incarnation.
    pub fn open(profile: Profile) -> Self {
        let state = State {
            waiting: IndexMap::new(),
            running: 0,
            next_number: 0,
            cache: IndexMap::new(),
            fences: HashMap::new(),
            faults: EngineFaults::default(),
            load: Load {
                incarnation: rand::random(),
                software_version: DEFAULT_VERSION.to_owned(),
                ..Load::default()
            },
        };
        let state = Mutex::new(state);
        let queue_changes = watch::Sender::new(0);
        Self {
            profile,
            state,
            queue_changes,
        }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.state.lock().faults = faults;
        self.notify_waiting();
    }

    /// Returns a copy of the injected faults.
    pub fn faults(&self) -> EngineFaults {
        self.state.lock().faults.clone()
    }

    /// Returns the current load report.
    pub fn load(&self) -> Load {
        let state = self.state.lock();
        let reported = Some(&state.faults.reported_version).filter(|version| !version.is_empty());
        Load {
            running: state.running,
            waiting: state.waiting.len(),
            leaving: state.faults.leaving,
            software_version: reported.unwrap_or(&state.load.software_version).clone(),
            ..state.load.clone()
        }
    }

    /// Returns the text that the engine names as its software version; it need not be a valid one.
    pub fn version(&self) -> String {
        self.state.lock().load.software_version.clone()
    }

    /// Returns the number that tells one start of the engine from the next.
    pub fn incarnation(&self) -> u64 {
        self.state.lock().load.incarnation
    }

    /// Simulates a replacement of the process by one of another software version at the same address:
    /// running streams break off, and the cache is empty.
    pub fn replace(&self, version: &str) {
        let mut state = self.state.lock();
        state.load.incarnation = rand::random();
        version.clone_into(&mut state.load.software_version);
        state.cache.clear();
    }

    /// Returns whether a continuation that asks for `version` may run here.
    pub fn check_version(&self, version: Option<&SoftwareVersion>) -> bool {
        let state = self.state.lock();
        let own = state.load.software_version.as_str();
        state.faults.unchecked_version || version.is_none_or(|version| version.as_str() == own)
    }

    /// Records the fencing number of a request from `vm`; returns whether the request may run.
    ///
    /// Without [`Profile::fencing`], every number is accepted.
    pub fn check_fence(&self, vm: &str, fence: u64) -> bool {
        let mut state = self.state.lock();
        let latest = state.fences.entry(vm.to_owned()).or_default();
        if self.profile.fencing && fence < *latest {
            return false;
        }
        *latest = fence.max(*latest);
        true
    }

    /// Waits for a slot; slots go to waiting requests by priority, then by arrival.
    pub async fn acquire_slot(&self, priority: Priority) -> Slot<'_> {
        let mut changes = self.queue_changes.subscribe();
        let entry = QueueEntry::push(self, priority);
        while !entry.try_start() {
            let _changed = changes.changed().await;
        }
        self.state.lock().load.started += 1;
        Slot { engine: self }
    }

    /// Adds a prompt to the prefix cache and returns the time to prefill it.
    ///
    /// Only blocks after the longest cached prefix take time.
    pub fn prefill(&self, prompt: &[u8]) -> Duration {
        let mut state = self.state.lock();
        let mut missed = 0;
        let mut cached = true;
        let mut end = 0;
        while end < prompt.len() {
            end = (end + BLOCK_BYTES).min(prompt.len());
            let block = hash::digest64(&prompt[..end]);
            cached = cached && state.cache.contains_key(&block);
            state.cache_block(block, self.profile.cache_blocks);
            if cached {
                state.load.hits += 1;
            } else {
                state.load.misses += 1;
                missed += 1;
            }
        }
        let tokens = missed * super::stream::token_count(BLOCK_BYTES);
        Duration::from_micros(tokens * self.profile.prefill_us)
    }

    /// Returns the time to generate one token, with the slowdown fault applied.
    pub fn token_time(&self) -> Duration {
        let slowdown = self.state.lock().faults.slowdown.max(1);
        Duration::from_micros(self.profile.token_us * slowdown)
    }

    /// Counts a request whose caller disconnected before the end.
    pub fn count_cancelled(&self) {
        self.state.lock().load.cancelled += 1;
    }

    /// Simulates a crash: the engine is down until its faults are replaced.
    pub fn crash(&self) {
        let mut state = self.state.lock();
        state.faults.down = true;
        state.load.crashes += 1;
        drop(state);
        self.notify_waiting();
    }

    fn notify_waiting(&self) {
        self.queue_changes.send_modify(|count| *count += 1);
    }
}

impl State {
    fn cache_block(&mut self, block: u64, capacity: usize) {
        self.cache.shift_remove(&block);
        self.cache.insert(block, ());
        if self.cache.len() > capacity {
            self.cache.shift_remove_index(0);
        }
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.engine.state.lock().running -= 1;
        self.engine.notify_waiting();
    }
}

/// An entry in the engine's queue; dropping it removes the entry.
struct QueueEntry<'a> {
    engine: &'a Engine,
    number: u64,
}

impl<'a> QueueEntry<'a> {
    fn push(engine: &'a Engine, priority: Priority) -> Self {
        let mut state = engine.state.lock();
        let number = state.next_number;
        state.next_number += 1;
        state.waiting.insert(number, priority);
        Self { engine, number }
    }

    fn try_start(&self) -> bool {
        let mut state = self.engine.state.lock();
        if state.running >= self.engine.profile.slots {
            return false;
        }
        let first = state
            .waiting
            .iter()
            .min_by_key(|(number, p)| (**p, **number));
        if first.is_none_or(|(number, _)| *number != self.number) {
            return false;
        }
        state.waiting.shift_remove(&self.number);
        state.running += 1;
        true
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let mut state = self.engine.state.lock();
        state.waiting.shift_remove(&self.number);
        drop(state);
        self.engine.notify_waiting();
    }
}
