//! The engine's state: what runs, what waits, what is cached.

use std::collections::HashMap;
use std::time::Duration;

use fescue_core::{Priority, hash, record};
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::watch;

record! {
    /// How fast an engine is and how much it holds.
    #[derive(Copy)]
    pub struct Profile {
        /// Requests that run at once.
        pub slots: usize,
        /// Time to prefill one token, in microseconds.
        pub prefill_us: u64,
        /// Time to generate one token, in microseconds.
        pub token_us: u64,
        /// How many prompt blocks the cache holds.
        pub cache_blocks: usize,
        /// Whether it refuses orders with an old fencing number.
        pub fencing: bool,
    }

    /// What goes wrong at an engine.
    #[derive(Default)]
    #[serde(default)]
    pub struct EngineFaults {
        /// Every connection is cut.
        pub down: bool,
        /// Each token takes this many times as long.
        pub slowdown: u64,
        /// It says that it leaves.
        pub leaving: bool,
        /// Answers name another request than their own.
        pub crossed: bool,
        /// Streams are cut after this many tokens; zero for never.
        pub cut_after: u64,
    }

    /// What an engine reports of itself.
    #[derive(Copy, Default)]
    pub struct Load {
        /// Drawn at random at each start.
        pub incarnation: u64,
        /// Requests that run.
        pub running: usize,
        /// Requests that wait.
        pub waiting: usize,
        /// Whether it takes no new work.
        pub leaving: bool,
        /// Requests that it began since its start.
        pub started: u64,
        /// Requests whose caller went before the end.
        pub cancelled: u64,
        /// Prompt blocks found in the cache.
        pub hits: u64,
        /// Prompt blocks not found there.
        pub misses: u64,
        /// Crashes caused by a request.
        pub crashes: u64,
    }
}

/// The bytes of a prompt in one cached block.
const BLOCK_BYTES: usize = 64;

struct State {
    waiting: IndexMap<u64, Priority>,
    running: usize,
    next: u64,
    cache: IndexMap<u64, ()>,
    fences: HashMap<String, u64>,
    faults: EngineFaults,
    load: Load,
}

/// One engine.
pub struct Engine {
    /// Its speed and size.
    pub profile: Profile,
    state: Mutex<State>,
    turn: watch::Sender<u64>,
}

/// A running request; its slot is free again once it is dropped.
pub struct Slot<'a> {
    engine: &'a Engine,
}

impl Engine {
    /// Opens an idle engine.
    pub fn open(profile: Profile) -> Self {
        let state = State {
            waiting: IndexMap::new(),
            running: 0,
            next: 0,
            cache: IndexMap::new(),
            fences: HashMap::new(),
            faults: EngineFaults::default(),
            load: Load {
                incarnation: rand::random(),
                ..Load::default()
            },
        };
        let state = Mutex::new(state);
        let turn = watch::Sender::new(0);
        Self {
            profile,
            state,
            turn,
        }
    }

    /// Sets the faults in force.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.state.lock().faults = faults;
        self.wake();
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> EngineFaults {
        self.state.lock().faults.clone()
    }

    /// Returns the load as it is now.
    pub fn load(&self) -> Load {
        let state = self.state.lock();
        Load {
            running: state.running,
            waiting: state.waiting.len(),
            leaving: state.faults.leaving,
            ..state.load
        }
    }

    /// Takes an order's fencing number; returns whether the order may run.
    pub fn check_fence(&self, vm: &str, fence: u64) -> bool {
        let mut state = self.state.lock();
        let known = state.fences.entry(vm.to_owned()).or_default();
        if self.profile.fencing && fence < *known {
            return false;
        }
        *known = fence.max(*known);
        true
    }

    /// Waits for a slot; the most urgent waiting request gets the next one.
    pub async fn acquire_slot(&self, priority: Priority) -> Slot<'_> {
        let mut turns = self.turn.subscribe();
        let ticket = Ticket::take(self, priority);
        while !ticket.try_start() {
            let _changed = turns.changed().await;
        }
        self.state.lock().load.started += 1;
        Slot { engine: self }
    }

    /// Returns the time to prefill a prompt, less for what the cache has, and caches it.
    pub fn prefill(&self, prompt: &[u8]) -> Duration {
        let mut state = self.state.lock();
        let mut missed = 0;
        let mut cached = true;
        let mut end = 0;
        while end < prompt.len() {
            end = (end + BLOCK_BYTES).min(prompt.len());
            let block = hash::short(&prompt[..end]);
            cached = cached && state.cache.contains_key(&block);
            state.touch(block, self.profile.cache_blocks);
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

    /// Returns the time that one token takes now.
    pub fn token_time(&self) -> Duration {
        let slowdown = self.state.lock().faults.slowdown.max(1);
        Duration::from_micros(self.profile.token_us * slowdown)
    }

    /// Counts a caller that went before the end.
    pub fn count_cancelled(&self) {
        self.state.lock().load.cancelled += 1;
    }

    /// Goes down because of a request.
    pub fn crash(&self) {
        let mut state = self.state.lock();
        state.faults.down = true;
        state.load.crashes += 1;
        drop(state);
        self.wake();
    }

    fn wake(&self) {
        self.turn.send_modify(|turn| *turn += 1);
    }
}

impl State {
    fn touch(&mut self, block: u64, most: usize) {
        self.cache.shift_remove(&block);
        self.cache.insert(block, ());
        if self.cache.len() > most {
            self.cache.shift_remove_index(0);
        }
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.engine.state.lock().running -= 1;
        self.engine.wake();
    }
}

/// A place in the engine's queue; it is given up when dropped.
struct Ticket<'a> {
    engine: &'a Engine,
    number: u64,
}

impl<'a> Ticket<'a> {
    fn take(engine: &'a Engine, priority: Priority) -> Self {
        let mut state = engine.state.lock();
        let number = state.next;
        state.next += 1;
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

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        let mut state = self.engine.state.lock();
        state.waiting.shift_remove(&self.number);
        drop(state);
        self.engine.wake();
    }
}
