//! The tables that requests and controllers share.
//!
//! # Lock order
//!
//! `handover` before `peers` before `escrow`; no other two are held at once, and none across an
//! `await`.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use fescue_core::{Incarnation, ServiceId, TeamId, Tokens};
use fescue_policy::escrow::{Escrow, Reserved};
use fescue_policy::quarantine::{Standing, Suspects};
use fescue_policy::window::{Budget, RetryWindow};
use fescue_store::table::Table;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::adapter::HeaderCodec;
use crate::catalog::Catalog;
use crate::handover::Handover;
use crate::lifecycle::{Event, Lifecycle, Phase};
use crate::link_use::LinkUse;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::settings::{Settings, Tuning};
use crate::upstreams::Servers;

/// For how long a router with a full link may not have heard of the upstreams; well under the time
/// within which a leaving upstream must get no new work.
const MAX_SYNC_AGE: Duration = Duration::from_millis(1800);

/// The shared tables of one gateway.
pub struct Gateway {
    /// Its settings as they were at the start.
    pub settings: Settings,
    tuning: Mutex<Tuning>,
    /// This start of the process.
    pub incarnation: Incarnation,
    /// How callers and upstreams write heads.
    pub codec: Box<dyn HeaderCodec>,
    /// The store's tables.
    pub table: Arc<dyn Table>,
    /// Its metrics.
    pub metrics: Metrics,
    /// The upstreams.
    pub servers: Mutex<Servers>,
    /// What it may spend of each team's tokens.
    pub escrow: Mutex<Escrow>,
    /// Requests that crashed upstreams.
    pub suspects: Mutex<Suspects>,
    /// Fingerprints to tell the other routers of.
    pub new_suspects: Mutex<Vec<u64>>,
    /// The other live routers.
    pub peers: Mutex<Peers>,
    /// How much of its VM's link it uses.
    pub link: LinkUse,
    /// What routers asked each other for tokens.
    pub handover: Mutex<Handover>,
    /// Counts the answers of other routers.
    pub peer_replies: watch::Sender<u64>,
    /// Signals a change of the upstreams or the configuration.
    pub changed: Notify,
    /// Wakes the budget controller.
    pub budget_wake: Notify,
    /// Counts the rounds of the budget controller.
    pub budget_rounds: watch::Sender<u64>,
    /// The requests that are open.
    pub running: watch::Sender<u64>,
    /// What the process may do.
    pub phase: watch::Sender<Phase>,
    /// The number of live routers, this one included.
    routers: AtomicUsize,
    catalog: Mutex<Option<Arc<Catalog>>>,
    retries: Mutex<HashMap<ServiceId, RetryWindow>>,
    lifecycle: Mutex<Lifecycle>,
    connected: Mutex<Instant>,
    /// When the upstreams were last heard of.
    last_sync: Mutex<Instant>,
    end: Mutex<Option<Instant>>,
    start: Instant,
}

impl Gateway {
    /// Opens the tables of a process that starts.
    pub fn open(
        settings: Settings,
        codec: Box<dyn HeaderCodec>,
        table: Arc<dyn Table>,
    ) -> Arc<Self> {
        let peers = Mutex::new(Peers::open(&settings.vm));
        let link = LinkUse::open(settings.link_mbps);
        let tuning = Mutex::new(settings.tuning());
        Arc::new(Self {
            settings,
            tuning,
            incarnation: Incarnation::new(rand::random()),
            codec,
            table,
            metrics: Metrics::default(),
            servers: Mutex::default(),
            escrow: Mutex::default(),
            suspects: Mutex::default(),
            new_suspects: Mutex::default(),
            peers,
            link,
            handover: Mutex::default(),
            peer_replies: watch::Sender::new(0),
            changed: Notify::new(),
            budget_wake: Notify::new(),
            budget_rounds: watch::Sender::new(0),
            running: watch::Sender::new(0),
            phase: watch::Sender::new(Phase::Starting),
            routers: AtomicUsize::new(1),
            catalog: Mutex::default(),
            retries: Mutex::default(),
            lifecycle: Mutex::new(Lifecycle::open()),
            connected: Mutex::new(Instant::now()),
            last_sync: Mutex::new(Instant::now()),
            end: Mutex::default(),
            start: Instant::now(),
        })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the settings that may change.
    pub fn tuning(&self) -> Tuning {
        *self.tuning.lock()
    }

    /// Takes over changed settings.
    pub fn set_tuning(&self, tuning: Tuning) {
        *self.tuning.lock() = tuning;
        self.link.resize(tuning.link_mbps);
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.lock().clone()
    }

    /// Puts a version in force, unless a later one is; returns whether it is new.
    pub fn set_catalog(&self, catalog: Catalog) -> bool {
        let mut current = self.catalog.lock();
        let version = catalog.manifest().version;
        let known = current.as_ref().map(|known| known.manifest().version);
        if known.is_some_and(|known| known >= version) {
            return false;
        }
        *current = Some(Arc::new(catalog));
        true
    }

    /// Returns what the process may do.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Takes an event of the process's life.
    pub fn handle(&self, event: Event) {
        let changed = self.lifecycle.lock().handle(event);
        if let Some(phase) = changed {
            self.phase.send_replace(phase);
        }
    }

    /// Returns the number of live routers.
    pub fn routers(&self) -> usize {
        self.routers.load(Ordering::Relaxed)
    }

    /// Takes over the number of live routers.
    pub fn set_routers(&self, routers: usize) {
        self.routers.store(routers.max(1), Ordering::Relaxed);
    }

    /// Counts a request for a service, which earns retries.
    pub fn count_request(&self, service: &ServiceId) {
        let budget = Budget::from(self.tuning().retries);
        let mut retries = self.retries.lock();
        let window = retries.entry(service.clone()).or_default();
        window.count_request(self.now(), &budget);
    }

    /// Takes a retry out of the fleet's budget; returns whether there was one.
    pub fn take_retry(&self, service: &ServiceId) -> bool {
        let budget = Budget::from(self.tuning().retries);
        let mut retries = self.retries.lock();
        let window = retries.entry(service.clone()).or_default();
        window.take(self.now(), &budget, self.routers())
    }

    /// Sets tokens of a team aside.
    pub fn reserve(&self, team: &TeamId, tokens: Tokens) -> Reserved {
        let clock = self.table.clock().unwrap_or_default();
        let mut escrow = self.escrow.lock();
        escrow.balance(team).reserve(tokens, clock)
    }

    /// Follows the teams' rates of spending.
    pub fn observe_spending(&self, elapsed: Duration) {
        let mut escrow = self.escrow.lock();
        for (_, balance) in escrow.iter_mut() {
            balance.observe(elapsed);
        }
    }

    /// Returns what is thought of a request's fingerprint.
    pub fn standing(&self, fingerprint: u64) -> Standing {
        self.suspects.lock().standing(fingerprint, self.now())
    }

    /// Notes that an upstream crashed with a request open.
    pub fn record_crash(&self, fingerprint: u64) {
        let crashes = self.suspects.lock().blame(fingerprint, self.now());
        tracing::warn!(%fingerprint, crashes, "an upstream crashed with this request open");
        self.new_suspects.lock().push(fingerprint);
    }

    /// Notes when the process will end.
    pub fn set_end(&self, end: Instant) {
        *self.end.lock() = Some(end);
    }

    /// Returns how long the process still lives, where its end is known.
    pub fn lifetime(&self) -> Option<Duration> {
        let end = *self.end.lock();
        end.map(|end| end.saturating_duration_since(Instant::now()))
    }

    /// Notes that the list of upstreams is as new as the store's.
    pub fn note_synced(&self) {
        *self.last_sync.lock() = Instant::now();
    }

    /// Returns whether this router may be the only one that doesn't know which upstreams leave: its
    /// own link is full, so the store's answers may not get through. An outage of the store looks
    /// the same here; routers with room on their links use what they know until it ends.
    pub fn is_isolated(&self) -> bool {
        self.link.is_full() && self.last_sync.lock().elapsed() > MAX_SYNC_AGE
    }

    /// Notes that a caller connected.
    pub fn note_connection(&self) {
        *self.connected.lock() = Instant::now();
    }

    /// Returns when a caller last connected.
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

/// An open request.
pub struct RequestGuard(Arc<Gateway>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.running.send_modify(|running| *running -= 1);
        self.0.metrics.running.dec();
    }
}

/// A request that waits for tokens, until it is dropped.
pub struct TokenWait {
    gateway: Arc<Gateway>,
    team: TeamId,
    tokens: Tokens,
}

impl TokenWait {
    /// Counts a request as waiting.
    pub fn start(gateway: &Arc<Gateway>, team: &TeamId, tokens: Tokens) -> Self {
        gateway.escrow.lock().balance(team).start_waiting(tokens);
        gateway.budget_wake.notify_one();
        Self {
            gateway: Arc::clone(gateway),
            team: team.clone(),
            tokens,
        }
    }
}

impl Drop for TokenWait {
    fn drop(&mut self) {
        let mut escrow = self.gateway.escrow.lock();
        escrow.balance(&self.team).end_waiting(self.tokens);
    }
}

/// Tokens of a team that are set aside for one request; settled when dropped.
pub struct Reservation {
    gateway: Arc<Gateway>,
    team: TeamId,
    reserved: Tokens,
    consumed: Tokens,
}

impl Reservation {
    /// Holds tokens that [`Gateway::reserve`] has set aside.
    pub fn hold(gateway: &Arc<Gateway>, team: &TeamId, reserved: Tokens) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            team: team.clone(),
            reserved,
            consumed: Tokens::ZERO,
        }
    }

    /// Counts tokens as consumed.
    pub fn consume(&mut self, tokens: Tokens) {
        self.consumed = self.consumed.saturating_add(tokens);
    }

    /// Returns what was consumed.
    pub fn consumed(&self) -> Tokens {
        self.consumed
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut escrow = self.gateway.escrow.lock();
        let balance = escrow.balance(&self.team);
        balance.settle(self.reserved, self.consumed);
    }
}
