//! The state that requests and controllers of one router share.
//!
//! # Lock order
//!
//! A thread takes these locks in the order of the fields of [`Board`], which is that of their ranks:
//! lifecycle, rules, members, needs, ledger, outbox, kept, notebook, suspects, pools, upstreams,
//! closed, transfers, recent, stored, stored copies, stream times.
//! No lock is held across a call to the table, a peer or an upstream; the compiler ensures it, as
//! the guards cannot be held across an `await`.

mod members;
mod needs;
mod recent;
mod retained;
mod rules;

pub use members::{Member, Members};
pub use needs::{Need, Needs, Verdict};
pub use recent::Recent;
pub use retained::Retained;
pub use rules::{ApplyOutcome, Rules};

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use fescue_core::rules::RuleSet;
use fescue_core::settings::Settings;
use fescue_core::{DataCentreId, Era, Incarnation, ModelId, UpstreamId, VmId};
use fescue_policy::bills::{Bill, BillId};
use fescue_policy::ledger::Ledger;
use fescue_policy::quarantine::Suspects;
use fescue_policy::stream_times::StreamTimes;
use fescue_policy::witness::NoteStore;
use indexmap::IndexMap;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::dispatch::Pools;
use crate::grace::Grace;
use crate::lifecycle::{Event, Lifecycle, Phase};
use crate::link::Transfers;
use crate::lock::RankedMutex;
use crate::metrics::Metrics;
use crate::upstream::Upstreams;

/// The identity of this router.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The incarnation, which is new at each start of the process.
    pub incarnation: Incarnation,
    /// The VM that it runs on.
    pub vm: VmId,
    /// The data centre of the VM.
    pub data_centre: DataCentreId,
}

/// The copies of bills kept for other routers, by owner and bill number.
pub type Kept = IndexMap<Incarnation, IndexMap<u64, Bill>>;

/// The shared state of one router.
pub struct Board {
    /// The identity of this router.
    pub me: Identity,
    /// The settings read at the start.
    pub settings: Settings,
    /// The metrics exported by this router.
    pub metrics: Metrics,
    /// The state machine from start to stop.
    pub lifecycle: RankedMutex<Lifecycle>,
    /// The rules in force.
    pub rules: RankedMutex<Rules>,
    /// The other routers of the fleet.
    pub members: RankedMutex<Members>,
    /// The tokens that waiting requests need of each budget.
    pub needs: RankedMutex<Needs>,
    /// The tokens held of each budget.
    pub ledger: RankedMutex<Ledger>,
    /// The bills of this router that are not stored yet.
    pub outbox: RankedMutex<IndexMap<BillId, Bill>>,
    /// The copies of bills kept for other routers.
    pub kept: RankedMutex<Kept>,
    /// The notes recorded as a witness for other routers.
    pub notebook: RankedMutex<NoteStore>,
    /// The requests that crashed upstreams.
    pub suspects: RankedMutex<Suspects>,
    /// The requests that wait for upstreams.
    pub pools: RankedMutex<Pools>,
    /// The upstreams and their state.
    pub upstreams: RankedMutex<Upstreams>,
    /// The incarnations whose allowances are known to be closed.
    pub closed: RankedMutex<HashSet<Incarnation>>,
    /// The last transfer to each peer, so that a repeated request gets the same answer.
    pub transfers: RankedMutex<Transfers>,
    /// The body fingerprints of recent requests, to tell a retry from a reused id.
    pub recent: RankedMutex<Recent>,
    /// The bills of this router that were stored lately.
    pub stored: RankedMutex<Retained>,
    /// The copies of other routers' bills that were stored lately.
    pub stored_copies: RankedMutex<Retained>,
    /// The times that streams of each model lately took.
    pub stream_times: RankedMutex<IndexMap<ModelId, StreamTimes>>,
    /// The deadlines of a planned stop, once it has begun.
    pub grace: OnceLock<Grace>,
    /// The fencing number of this incarnation; zero until it is registered.
    pub fence: AtomicU64,
    /// The number of the last era of the table in which all routers have settled; zero if none is known.
    settled: AtomicU64,
    /// The number of the last era of the table in which it has the rules in force here.
    rules_checked: AtomicU64,
    /// Whether peers have closed the allowances of this router.
    pub evicted: AtomicBool,
    /// Whether this router closes its row itself, at the end of a planned stop.
    pub closes_row: AtomicBool,
    /// Wakes the allowance controller.
    pub need: Notify,
    /// Wakes the billing controller.
    pub bill: Notify,
    /// Wakes the dispatcher of queued requests.
    pub capacity: Notify,
    /// The current phase, for tasks that wait for a change.
    pub phase: watch::Sender<Phase>,
    /// The number of running requests.
    pub running: watch::Sender<u64>,
    numbers: AtomicU64,
    start: Instant,
}

impl Board {
    /// Creates the state of a router that starts.
    pub fn new(settings: Settings, incarnation: Incarnation) -> Arc<Self> {
        let me = Identity {
            incarnation,
            vm: settings.vm.clone(),
            data_centre: settings.data_centre.clone(),
        };
        Arc::new(Self {
            me,
            settings,
            metrics: Metrics::default(),
            lifecycle: RankedMutex::new(1, Lifecycle::open()),
            rules: RankedMutex::new(2, Rules::default()),
            members: RankedMutex::new(3, Members::default()),
            needs: RankedMutex::new(4, Needs::default()),
            ledger: RankedMutex::new(5, Ledger::open(incarnation)),
            outbox: RankedMutex::new(6, IndexMap::new()),
            kept: RankedMutex::new(7, Kept::new()),
            notebook: RankedMutex::new(8, NoteStore::default()),
            suspects: RankedMutex::new(9, Suspects::default()),
            pools: RankedMutex::new(10, Pools::default()),
            upstreams: RankedMutex::new(11, Upstreams::default()),
            closed: RankedMutex::new(12, HashSet::new()),
            transfers: RankedMutex::new(13, HashMap::new()),
            recent: RankedMutex::new(14, Recent::default()),
            stored: RankedMutex::new(15, Retained::default()),
            stored_copies: RankedMutex::new(16, Retained::default()),
            stream_times: RankedMutex::new(17, IndexMap::new()),
            grace: OnceLock::new(),
            fence: AtomicU64::new(0),
            settled: AtomicU64::new(0),
            rules_checked: AtomicU64::new(0),
            evicted: AtomicBool::new(false),
            closes_row: AtomicBool::new(false),
            need: Notify::new(),
            bill: Notify::new(),
            capacity: Notify::new(),
            phase: watch::Sender::new(Phase::Starting),
            running: watch::Sender::new(0),
            numbers: AtomicU64::new(0),
            start: Instant::now(),
        })
    }

    /// Returns the time since this router started.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns a number that is unique within this incarnation.
    pub fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns the fencing number; zero until this incarnation is registered.
    pub fn fence(&self) -> u64 {
        self.fence.load(Ordering::Acquire)
    }

    /// Returns whether all routers are known to have settled in an era of the table, so that new
    /// state may be written; a table without eras never returns from a copy.
    pub fn is_settled(&self, era: Option<Era>) -> bool {
        let settled = self.settled.load(Ordering::Acquire);
        era.is_none_or(|era| era == Era::FIRST || era.get() == settled)
    }

    /// Returns whether the table is known to have the rules in force here in an era.
    pub fn are_rules_checked(&self, era: Era) -> bool {
        self.rules_checked.load(Ordering::Acquire) >= era.get()
    }

    /// Records that the table has the rules in force here in an era.
    pub fn mark_rules_checked(&self, era: Era) {
        self.rules_checked.fetch_max(era.get(), Ordering::AcqRel);
    }

    /// Records that all routers have settled in an era.
    pub fn mark_settled(&self, era: Era) {
        self.settled.fetch_max(era.get(), Ordering::AcqRel);
    }

    /// Returns the rules in force.
    pub fn book(&self) -> Arc<RuleSet> {
        self.rules.lock().book()
    }

    /// Returns the current phase of the lifecycle.
    pub fn phase(&self) -> Phase {
        self.lifecycle.lock().phase()
    }

    /// Handles a lifecycle event and publishes the phase if it changes.
    pub fn handle(&self, event: Event) {
        if event == Event::Stop {
            // Only the first signal counts; whoever sees the new phase finds the deadlines.
            self.grace();
        }
        let changed = self.lifecycle.lock().handle(event);
        if let Some(phase) = changed {
            self.phase.send_replace(phase);
        }
    }

    /// Marks this router as evicted: peers closed its allowances, so it finishes its requests and
    /// stops.
    ///
    /// Has no effect once the router closes its row itself: peers then report that closing.
    pub fn evict(&self) {
        if self.closes_row.load(Ordering::Acquire) {
            return;
        }
        if !self.evicted.swap(true, Ordering::AcqRel) {
            tracing::error!("peers closed the allowances of this router; stopping");
            self.handle(Event::Stop);
        }
    }

    /// Returns the upstreams that are known to be leaving.
    pub fn leaving_upstreams(&self) -> Vec<(UpstreamId, u64)> {
        self.upstreams.lock().leaving()
    }

    /// Counts a request as running until the guard is dropped.
    pub fn start_request(self: &Arc<Self>) -> Running {
        self.running.send_modify(|running| *running += 1);
        self.metrics.running.inc();
        Running {
            board: Arc::clone(self),
        }
    }
}

/// A guard that counts a request as running until it is dropped.
pub struct Running {
    board: Arc<Board>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.board.running.send_modify(|running| *running -= 1);
        self.board.metrics.running.dec();
    }
}
