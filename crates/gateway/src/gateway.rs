//! The state that requests and controllers share.
//!
//! # Lock order
//!
//! `catalog` before `time_limits` and before what [`crate::budget`] locks; `evacuations` before `servers` before
//! `versions`; no other two are held at once, and none across an `await`. A [`crate::upstreams::Slot`] that a home
//! placed locks `schedulers` when it is dropped or its prompt has been read, so neither happens while another lock is
//! held.

mod guards;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use fescue_core::{Incarnation, ServiceId, UpstreamId};
use fescue_policy::quarantine::{Attempt, CrashId, Prints, Standing, Suspects};
use fescue_policy::rate_limit::{RequestRate, Statement};
use fescue_policy::window::{Budget, RetryWindow};
use fescue_store::table::Table;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::adapter::HeaderCodec;
use crate::budget::Budget as TokenBudget;
use crate::buffers::Buffers;
use crate::catalog::Catalog;
use crate::cold::ColdUpstreams;
use crate::crowd::Crowd;
use crate::datagrams::Courier;
use crate::drain::Drain;
use crate::evacuations::Evacuations;
use crate::gossip::Outbox;
use crate::lifecycle::{Event, Lifecycle, Phase};
use crate::link_use::LinkUsage;
use crate::metrics::Metrics;
use crate::origins::Origins;
use crate::peers::Peers;
use crate::permits::Permits;
use crate::schedulers::Schedulers;
use crate::settings::{Settings, Tuning};
use crate::startup::Startup;
use crate::time_limits::History;
use crate::upstreams::{BrokenRequest, Server, Servers};
use crate::versions::Versions;

pub use guards::RequestGuard;

/// The part of each response body that doesn't count against the limit on all of them, and that limit.
const ORDINARY_RESPONSE_BYTES: usize = 64 << 10;
const RESPONSE_BYTES: usize = 16 << 20;

/// The same of request bodies.
const ORDINARY_REQUEST_BYTES: usize = 16 << 10;
const REQUEST_BYTES: usize = 32 << 20;

/// The shared state of one gateway process.
pub struct Gateway {
    /// The settings as read at the start; [`Gateway::tuning`] has those that may change.
    pub settings: Settings,
    tuning: Mutex<Tuning>,
    /// A random number that identifies this run of the process.
    pub incarnation: Incarnation,
    /// The platform's decoder and encoder of request and response heads.
    pub codec: Box<dyn HeaderCodec>,
    /// The table service of the store.
    pub table: Arc<dyn Table>,
    /// The metrics that `/metrics` serves.
    pub metrics: Arc<Metrics>,
    /// The memory for response bodies that are read whole, until their callers have read them.
    pub buffers: Buffers,
    /// The memory for request bodies, which are kept for further attempts.
    pub request_buffers: Buffers,
    /// The upstreams that requests may be sent to.
    pub servers: Mutex<Servers>,
    /// The data centres that are evacuated.
    pub evacuations: Evacuations,
    /// The tokens of each team that this router may spend.
    pub budget: Arc<TokenBudget>,
    /// The datagrams to other routers.
    pub courier: Arc<Courier>,
    /// The requests and parts of prompts that may have crashed upstreams.
    pub suspects: Mutex<Suspects>,
    /// What this router has found out and the others may not know yet.
    pub outbox: Outbox,
    /// The other live routers.
    pub peers: Arc<Mutex<Peers>>,
    /// The permits for requests to upstreams that name limits.
    pub permits: Permits,
    /// The schedulers of the engines that prompts are placed on.
    pub schedulers: Schedulers,
    /// The upstreams that are cold.
    pub cold: ColdUpstreams,
    /// The upstream versions that began streams.
    pub origins: Origins,
    /// The versions that services have had.
    pub versions: Versions,
    /// The use of the VM's network link.
    pub link: LinkUsage,
    /// The use of the VM's processor.
    pub crowd: Crowd,
    /// The time limits of callers' connections.
    pub time_limits: Mutex<History>,
    /// Notified when the upstreams or the configuration change.
    pub changed: Notify,
    /// The first configuration, until it was compared with the other routers'.
    pub startup: Mutex<Startup>,
    /// The number of open requests.
    pub running: watch::Sender<u64>,
    /// The progress of a planned stop.
    pub drain: Drain,
    /// The phase of the process's lifecycle.
    pub phase: watch::Sender<Phase>,
    /// The number of live routers, this one included.
    routers: AtomicUsize,
    catalog: Mutex<Option<Arc<Catalog>>>,
    retries: Mutex<HashMap<ServiceId, RetryWindow>>,
    lifecycle: Mutex<Lifecycle>,
    connected: Mutex<Instant>,
    /// The number of open connections of callers.
    connections: AtomicUsize,
    /// When the list of upstreams was last known to be current.
    last_sync: Mutex<Instant>,
    start: Instant,
}

impl Gateway {
    /// Creates the state of a starting process.
    pub fn open(
        settings: Settings,
        codec: Box<dyn HeaderCodec>,
        table: Arc<dyn Table>,
    ) -> Arc<Self> {
        let incarnation = Incarnation::new(rand::random());
        let peers = Arc::new(Mutex::new(Peers::open(&settings.vm)));
        let courier = Courier::open(incarnation, Arc::clone(&peers));
        let metrics = Arc::new(Metrics::default());
        let budget = TokenBudget::open(
            (settings.vm.clone(), incarnation),
            Arc::clone(&table),
            Arc::clone(&peers),
            courier.clone(),
            Arc::clone(&metrics),
        );
        let link = LinkUsage::open(settings.link_mbps);
        let servers = Mutex::new(Servers::open(settings.continuation_time()));
        let tuning = Mutex::new(settings.tuning());
        Arc::new(Self {
            settings,
            tuning,
            incarnation,
            codec,
            table,
            metrics,
            buffers: Buffers::open(ORDINARY_RESPONSE_BYTES, RESPONSE_BYTES),
            request_buffers: Buffers::open(ORDINARY_REQUEST_BYTES, REQUEST_BYTES),
            servers,
            evacuations: Evacuations::default(),
            budget,
            courier,
            suspects: Mutex::default(),
            outbox: Outbox::default(),
            peers,
            permits: Permits::default(),
            schedulers: Schedulers::default(),
            cold: ColdUpstreams::default(),
            origins: Origins::default(),
            versions: Versions::default(),
            link,
            crowd: Crowd::default(),
            time_limits: Mutex::default(),
            changed: Notify::new(),
            startup: Mutex::default(),
            running: watch::Sender::new(0),
            drain: Drain::default(),
            phase: watch::Sender::new(Phase::Starting),
            routers: AtomicUsize::new(1),
            catalog: Mutex::default(),
            retries: Mutex::default(),
            lifecycle: Mutex::new(Lifecycle::open()),
            connected: Mutex::new(Instant::now()),
            connections: AtomicUsize::new(0),
            last_sync: Mutex::new(Instant::now()),
            start: Instant::now(),
        })
    }

    /// Returns the time since the process started, which the policies use as their clock.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the settings that may change at run time.
    pub fn tuning(&self) -> Tuning {
        *self.tuning.lock()
    }

    /// Applies changed settings.
    pub fn set_tuning(&self, tuning: Tuning) {
        *self.tuning.lock() = tuning;
        self.link.resize(tuning.link_mbps);
    }

    /// Returns the current configuration; `None` until the first one is loaded.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.lock().clone()
    }

    /// Replaces the configuration if the version is newer than the current one; returns whether it
    /// is.
    pub fn set_catalog(&self, catalog: Catalog) -> bool {
        let mut current = self.catalog.lock();
        let version = catalog.manifest().version;
        let known = current.as_ref().map(|known| known.manifest().version);
        if known.is_some_and(|known| known >= version) {
            return false;
        }
        let limits = catalog.manifest().limits.into();
        self.time_limits.lock().record(Instant::now(), limits);
        self.budget.set_prepaid(catalog.prepaid());
        self.metrics.teams.set_teams(catalog.team_names());
        let catalog = Arc::new(catalog);
        *current = Some(Arc::clone(&catalog));
        drop(current);
        let services = &catalog.manifest().services;
        self.servers.lock().set_warmups(services);
        true
    }

    /// Returns the current phase of the process's lifecycle.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Applies a lifecycle event and publishes the phase if it changed.
    pub fn handle(&self, event: Event) {
        let changed = self.lifecycle.lock().handle(event);
        if let Some(phase) = changed {
            self.phase.send_replace(phase);
        }
    }

    /// Returns the number of live routers, this one included; at least 1.
    pub fn routers(&self) -> usize {
        self.routers.load(Ordering::Relaxed)
    }

    /// Sets the number of live routers; 0 counts as 1.
    pub fn set_routers(&self, routers: usize) {
        self.routers.store(routers.max(1), Ordering::Relaxed);
    }

    /// Counts a request for a service. The retry budget grows with the number of requests.
    pub fn count_request(&self, service: &ServiceId) {
        let budget = Budget::from(self.tuning().retries);
        let mut retries = self.retries.lock();
        let window = retries.entry(service.clone()).or_default();
        window.count_request(self.now(), &budget);
    }

    /// Returns whether a retry is left in the fleet's retry budget.
    pub fn has_retry(&self, service: &ServiceId) -> bool {
        let budget = Budget::from(self.tuning().retries);
        let mut retries = self.retries.lock();
        let window = retries.entry(service.clone()).or_default();
        window.allows(self.now(), &budget, self.routers())
    }

    /// Takes a retry out of the fleet's retry budget; returns whether one was left.
    pub fn take_retry(&self, service: &ServiceId) -> bool {
        let budget = Budget::from(self.tuning().retries);
        let mut retries = self.retries.lock();
        let window = retries.entry(service.clone()).or_default();
        window.take(self.now(), &budget, self.routers())
    }

    /// Returns the quarantine state of a request.
    pub fn standing(&self, prints: &Prints) -> Standing {
        self.suspects.lock().standing(prints, self.now())
    }

    /// Returns whether a request that is quarantined for a part of its prompt is run as a probe.
    pub fn start_probe(&self, prints: &Prints, part: u64) -> bool {
        let turn = self.peers.lock().own_rank(part);
        let mut suspects = self.suspects.lock();
        suspects.start_probe(prints, part, turn, self.now())
    }

    /// Records that an upstream crashed while a request was open there.
    pub fn record_crash(&self, upstream: &UpstreamId, crash: CrashId, broken: &BrokenRequest) {
        let (changed, crashes) = {
            let mut suspects = self.suspects.lock();
            let changed = suspects.record_crash(&broken.attempt, crash, broken.settled, self.now());
            let crashes: Vec<_> = changed
                .iter()
                .map(|print| (*print, suspects.evidence(*print).strength()))
                .collect();
            (changed, crashes)
        };
        tracing::warn!(
            request = broken.id,
            upstream = upstream.as_str(),
            settled = broken.settled,
            ?crashes,
            "upstream crashed while this request was open"
        );
        self.outbox.push(changed);
    }

    /// Records what an upstream's answer said of its limit, and tells the other routers if it is news.
    pub fn record_limit(&self, server: &Server, rate: Option<RequestRate>) {
        let statement = Statement {
            rate,
            at: self.now(),
        };
        let before = server.stated_limit(self.now());
        if !server.record_statement(statement) {
            return;
        }
        if before != rate {
            tracing::info!(
                upstream = server.entry.id.as_str(),
                limit = rate.map(RequestRate::per_second),
                before = before.map(RequestRate::per_second),
                "upstream's limit changed"
            );
        }
        self.outbox.push_limit(&server.entry.id);
    }

    /// Records that an answer has settled, which clears the parts of its prompt.
    pub fn record_begun(&self, attempt: &Attempt) {
        let now = self.now();
        let changed = self.suspects.lock().record_begun(attempt, now);
        self.outbox.push(changed);
    }

    /// Records that an answer is complete, which clears the request and the parts of its prompt.
    pub fn record_complete(&self, attempt: &Attempt) {
        let now = self.now();
        let changed = self.suspects.lock().record_complete(attempt, now);
        self.outbox.push(changed);
    }

    /// Records that the list of upstreams was as current as the store's at some time.
    pub fn note_synced(&self, at: Instant) {
        *self.last_sync.lock() = at;
    }

    /// Returns the time at which the list of upstreams was last known to be current.
    pub fn last_sync(&self) -> Instant {
        *self.last_sync.lock()
    }

    /// Returns whether this router may miss changes that other routers see: its own link is full and
    /// its list of upstreams is out of date, so the store's answers may not get through. An outage of
    /// the store can't be told apart from this here; routers whose links have room keep using the
    /// list that they know until the outage ends.
    pub fn is_isolated(&self) -> bool {
        let age = self.last_sync.lock().elapsed();
        self.link.is_full() && age > self.settings.max_sync_age()
    }

    /// Records a caller's new connection.
    pub fn open_connection(&self) {
        *self.connected.lock() = Instant::now();
        self.metrics.connections.inc();
        self.connections.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns whether callers that connect anew would reach this router again.
    pub fn awaits_removal(&self) -> bool {
        self.settings.crowding && self.crowd.awaits_removal()
    }

    /// Returns whether a caller should connect anew after its answer, to reach another router.
    pub fn should_shed(&self) -> bool {
        !self.awaits_removal() && self.link.should_shed()
    }

    /// Returns the time after which a request that is refused here may come again: `usual`, unless the link
    /// is full, which each request fills further until it reaches another router.
    pub fn retry_after(&self, usual: Duration) -> Duration {
        match self.settings.crowding && self.link.is_full() {
            true => self.crowd.spread_retry().max(usual),
            false => usual,
        }
    }

    /// Records that a caller's connection is closed.
    pub fn close_connection(&self) {
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of open connections of callers.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns when a caller last connected; the start of the process if none has.
    pub fn last_connection(&self) -> Instant {
        *self.connected.lock()
    }

    /// Counts a request as open until the guard is dropped.
    pub fn start_request(self: &Arc<Self>) -> RequestGuard {
        self.running.send_modify(|running| *running += 1);
        self.metrics.running.inc();
        RequestGuard(Arc::clone(self))
    }
}
