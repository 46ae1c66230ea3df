//! The tables that requests and controllers share.
//!
//! # Lock order
//!
//! A thread takes these locks in the order of the fields of [`Board`], which is that of their ranks:
//! lifecycle, rules, members, needs, ledger, outbox, kept, notebook, suspects, pools, upstreams,
//! closed, transfers, recent.
//! No lock is held across a call to the table, a peer or an upstream; the guards can't cross an
//! `await`, so the compiler keeps that.

mod members;
mod needs;
mod recent;
mod rules;

pub use members::{Member, Members};
pub use needs::{Need, Needs, Verdict};
pub use recent::Recent;
pub use rules::{ApplyOutcome, Rules};

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use fescue_core::rules::Book;
use fescue_core::settings::Settings;
use fescue_core::{DataCentreId, Incarnation, UpstreamId, VmId};
use fescue_policy::bills::{Bill, BillId};
use fescue_policy::ledger::Ledger;
use fescue_policy::quarantine::Suspects;
use fescue_policy::witness::Notebook;
use indexmap::IndexMap;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::dispatch::Pools;
use crate::lifecycle::{Event, Lifecycle, Phase};
use crate::link::Transfers;
use crate::lock::RankedMutex;
use crate::metrics::Metrics;
use crate::upstream::Upstreams;

/// Who this router is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// This start of the process.
    pub incarnation: Incarnation,
    /// Its VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
}

/// The copies of bills that this router keeps for others.
pub type Kept = IndexMap<Incarnation, IndexMap<u64, Bill>>;

/// The shared tables of one router.
pub struct Board {
    /// Who this router is.
    pub me: Identity,
    /// Its settings.
    pub settings: Settings,
    /// Its metrics.
    pub metrics: Metrics,
    /// Whether it serves.
    pub lifecycle: RankedMutex<Lifecycle>,
    /// The rules in force.
    pub rules: RankedMutex<Rules>,
    /// The other routers.
    pub members: RankedMutex<Members>,
    /// What waiting requests need of each budget.
    pub needs: RankedMutex<Needs>,
    /// What it holds of each budget.
    pub ledger: RankedMutex<Ledger>,
    /// Its bills that are not stored yet.
    pub outbox: RankedMutex<IndexMap<BillId, Bill>>,
    /// Copies of others' bills.
    pub kept: RankedMutex<Kept>,
    /// What it noted for others.
    pub notebook: RankedMutex<Notebook>,
    /// Requests that crashed upstreams.
    pub suspects: RankedMutex<Suspects>,
    /// Requests that wait for upstreams.
    pub pools: RankedMutex<Pools>,
    /// The upstreams.
    pub upstreams: RankedMutex<Upstreams>,
    /// Incarnations that are known to be closed.
    pub closed: RankedMutex<HashSet<Incarnation>>,
    /// What peers were given, so that a repeated request gets the same answer.
    pub transfers: RankedMutex<Transfers>,
    /// The bodies' fingerprints of requests seen lately, to tell a repeat from a reused id.
    pub recent: RankedMutex<Recent>,
    /// The fencing number of this incarnation; zero until it is registered.
    pub fence: AtomicU64,
    /// Set once peers have closed this router's allowances.
    pub evicted: AtomicBool,
    /// Wakes the allowance controller.
    pub need: Notify,
    /// Wakes the billing controller.
    pub bill: Notify,
    /// Wakes the queue.
    pub capacity: Notify,
    /// The phase, for those that wait for a change.
    pub phase: watch::Sender<Phase>,
    /// Requests that run now.
    pub running: watch::Sender<u64>,
    numbers: AtomicU64,
    start: Instant,
}

impl Board {
    /// Opens the tables of a router that starts.
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
            notebook: RankedMutex::new(8, Notebook::default()),
            suspects: RankedMutex::new(9, Suspects::default()),
            pools: RankedMutex::new(10, Pools::default()),
            upstreams: RankedMutex::new(11, Upstreams::default()),
            closed: RankedMutex::new(12, HashSet::new()),
            transfers: RankedMutex::new(13, HashMap::new()),
            recent: RankedMutex::new(14, Recent::default()),
            fence: AtomicU64::new(0),
            evicted: AtomicBool::new(false),
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

    /// Returns a number that this incarnation has not used before.
    pub fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns the fencing number.
    pub fn fence(&self) -> u64 {
        self.fence.load(Ordering::Acquire)
    }

    /// Returns the rules in force.
    pub fn book(&self) -> Arc<Book> {
        self.rules.lock().book()
    }

    /// Returns what the router may do.
    pub fn phase(&self) -> Phase {
        self.lifecycle.lock().phase()
    }

    /// Takes an event of the router's life.
    pub fn handle(&self, event: Event) {
        let changed = self.lifecycle.lock().handle(event);
        if let Some(phase) = changed {
            self.phase.send_replace(phase);
        }
    }

    /// Notes that peers have closed this router's allowances: it ends what it has and stops.
    pub fn evict(&self) {
        if !self.evicted.swap(true, Ordering::AcqRel) {
            tracing::error!("the allowances of this router were closed by its peers");
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

/// A request that runs.
pub struct Running {
    board: Arc<Board>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.board.running.send_modify(|running| *running -= 1);
        self.board.metrics.running.dec();
    }
}
