//! The listed upstreams, their idle connections, and the load that this router puts on each.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{ServiceId, UpstreamId, hash};
use fescue_policy::affinity::{self, Candidate};
use fescue_policy::limit::Breaker;
use fescue_policy::quarantine::Attempt;
use fescue_policy::rate_limit::{RequestRate, Statement};
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::link::{Link, LinkError};
use crate::model::Upstream;

/// The time-out for connecting to an upstream; twice the longest latency within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The longest time that a connection may have been idle when it is reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// The longest time that a connection may have been idle when it is reused for a request that may
/// not be repeated.
const MAX_IDLE_TIME_UNREPEATABLE: Duration = Duration::from_millis(1500);

/// How long a connection may take to become ready for its next request.
const RECYCLE_TIMEOUT: Duration = Duration::from_millis(50);

/// The largest number of idle connections that are kept per upstream.
const MAX_IDLE_LINKS: usize = 24;

/// The number of unread prompt tokens that count as much load as one running request.
const UNREAD_TOKENS_PER_REQUEST: f64 = 4000.0;

/// This router's connections and requests at one upstream.
#[derive(Debug, Default)]
struct State {
    idle: Vec<Link>,
    running: u32,
    /// Prompt tokens of requests whose first event has not arrived.
    unread: u64,
    breaker: Breaker,
    /// The requests whose connection broke lately.
    broken: Vec<BrokenRequest>,
    /// What the latest answer said of the upstream's limit; `None` if nothing is known.
    statement: Option<Statement>,
    /// When the upstream's home can grant a request again.
    blocked_until: Option<Instant>,
    /// Whether a check for a crash is in progress.
    checking: bool,
    /// The end of the grace period of an upstream that is no longer listed; `None` while listed.
    grace_end: Option<Instant>,
}

/// A listed upstream with this router's state for it.
#[derive(Debug)]
pub struct Server {
    /// The entry that the upstream published.
    pub entry: Upstream,
    member: u64,
    state: Arc<Mutex<State>>,
}

/// The time within which a broken request and a refused connection count as one crash.
const CRASH_WINDOW: Duration = Duration::from_secs(2);

/// The age at which a statement about a limit is renewed by the next answer.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(15);

/// The largest number of broken requests that are kept per upstream.
const MAX_BROKEN: usize = 256;

/// A request whose connection broke before its answer was complete.
#[derive(Clone, Debug)]
pub struct BrokenRequest {
    /// The id of the request.
    pub id: String,
    /// The attempt that failed.
    pub attempt: Attempt,
    /// Whether the answer had begun.
    pub begun: bool,
    /// When the connection broke.
    pub at: Instant,
}

impl Server {
    fn open(entry: Upstream) -> Self {
        let member = hash::digest64(entry.id.as_str().as_bytes());
        Self {
            entry,
            member,
            state: Arc::default(),
        }
    }

    /// Takes an idle connection, or opens one if none is fresh enough. `once` says that the request
    /// may not be repeated.
    ///
    /// # Errors
    ///
    /// When no connection is established within the time-out.
    pub async fn connect(&self, once: bool) -> Result<Link, LinkError> {
        let longest = if once {
            MAX_IDLE_TIME_UNREPEATABLE
        } else {
            MAX_IDLE_TIME
        };
        {
            let mut state = self.state.lock();
            while let Some(link) = state.idle.pop() {
                if link.is_usable(longest) {
                    return Ok(link);
                }
            }
        }
        self.reconnect().await
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// When no connection is established within the time-out.
    pub async fn reconnect(&self) -> Result<Link, LinkError> {
        Link::open(self.entry.address, CONNECT_TIMEOUT).await
    }

    /// Returns a connection to the idle pool once it is ready for another request.
    pub fn recycle(self: &Arc<Self>, mut link: Link) {
        let server = Arc::clone(self);
        tokio::spawn(async move {
            if link.wait_ready(RECYCLE_TIMEOUT).await {
                let mut state = server.state.lock();
                if state.idle.len() < MAX_IDLE_LINKS {
                    state.idle.push(link);
                }
            }
        });
    }

    /// Records the outcome of a request in the circuit breaker.
    pub fn record_outcome(&self, now: Duration, good: bool) {
        self.state.lock().breaker.record(now, good);
    }

    /// Records that a request's connection broke, and drops the idle connections. Returns whether
    /// the upstream has to be checked for a crash, which ends with [`Self::take_broken`].
    pub fn record_disconnect(&self, broken: BrokenRequest) -> bool {
        let mut state = self.state.lock();
        state.idle.clear();
        if state.broken.len() < MAX_BROKEN {
            state.broken.push(broken);
        }
        !std::mem::replace(&mut state.checking, true)
    }

    /// Takes the requests whose connection broke within the crash window.
    pub fn take_broken(&self) -> Vec<BrokenRequest> {
        let mut state = self.state.lock();
        state.checking = false;
        let mut broken = std::mem::take(&mut state.broken);
        broken.retain(|request| request.at.elapsed() < CRASH_WINDOW);
        broken
    }

    /// Takes over what an answer said of the limit, unless a later one is known or there is no limit
    /// to be ended; returns whether it differs from what was known, or renews an old statement.
    pub fn record_statement(&self, statement: Statement) -> bool {
        let mut state = self.state.lock();
        let Some(known) = state.statement else {
            if statement.rate.is_some() {
                state.statement = Some(statement);
            }
            return statement.rate.is_some();
        };
        if known.at >= statement.at {
            return false;
        }
        let unchanged = known.rate == statement.rate;
        let fresh = statement.at.saturating_sub(known.at) < RENEWAL_INTERVAL;
        if unchanged && (fresh || statement.rate.is_none()) {
            return false;
        }
        state.statement = Some(statement);
        true
    }

    /// Returns what is known of the limit.
    pub fn statement(&self) -> Option<Statement> {
        self.state.lock().statement
    }

    /// Returns the limit in force.
    pub fn limit(&self, now: Duration) -> Option<RequestRate> {
        self.state.lock().statement?.limit(now)
    }

    /// Gives the upstream no request for some time, since its limit is used up.
    pub fn block(&self, wait: Duration) {
        self.state.lock().blocked_until = Some(Instant::now() + wait);
    }

    /// Returns how long the upstream's limit allows no request; `None` if it may allow one now.
    fn blocked(&self, now: Duration) -> Option<Duration> {
        let state = self.state.lock();
        state.statement?.limit(now)?;
        let until = state.blocked_until?;
        let left = until.saturating_duration_since(Instant::now());
        Some(left).filter(|left| !left.is_zero())
    }

    /// Returns the number of this router's requests that are running there.
    pub fn running(&self) -> u32 {
        self.state.lock().running
    }

    fn load(&self) -> f64 {
        let state = self.state.lock();
        let work = f64::from(state.running) + state.unread as f64 / UNREAD_TOKENS_PER_REQUEST;
        work / f64::from(self.entry.slots.max(1))
    }

    fn mark_missing(&self, grace: Duration) {
        let mut state = self.state.lock();
        state
            .grace_end
            .get_or_insert_with(|| Instant::now() + grace);
    }

    /// Returns whether the upstream is listed or still in its grace period.
    fn is_listed(&self) -> bool {
        let grace_end = self.state.lock().grace_end;
        grace_end.is_none_or(|until| Instant::now() < until)
    }

    /// Returns whether the upstream may get new requests.
    pub fn is_usable(&self) -> bool {
        !self.entry.draining && self.is_listed()
    }

    fn accepts(&self, now: Duration) -> bool {
        self.is_usable() && self.state.lock().breaker.allows(now)
    }

    /// Returns whether a request with these requirements may be sent there, apart from the circuit
    /// breaker.
    fn fits(&self, requirements: &Requirements<'_>, now: Duration) -> bool {
        self.entry.service == *requirements.service
            && !requirements.tried.contains(&self.entry.id)
            && !requirements.denied.contains(&self.entry.id)
            && self.blocked(now).is_none()
    }
}

/// A request's share of an upstream's load, released when dropped.
#[derive(Debug)]
pub struct Slot {
    server: Arc<Server>,
    unread: u64,
    permitted: bool,
}

impl Slot {
    /// Returns the upstream that the slot belongs to.
    pub fn server(&self) -> &Arc<Server> {
        &self.server
    }

    /// Removes the prompt from the upstream's load. The first event shows that it has been read.
    pub fn mark_prompt_read(&mut self) {
        let mut state = self.server.state.lock();
        state.unread = state.unread.saturating_sub(self.unread);
        self.unread = 0;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.mark_prompt_read();
        self.server.state.lock().running -= 1;
    }
}

impl Slot {
    /// Records that the upstream's limit allows the request.
    pub fn mark_permitted(&mut self) {
        self.permitted = true;
    }

    /// Returns whether a permit was taken for the request.
    pub fn is_permitted(&self) -> bool {
        self.permitted
    }

    /// Gives the slot up before the request was sent.
    pub fn cancel(self) {
        self.server.state.lock().breaker.abandon();
    }
}

/// The criteria by which an upstream is chosen for a request.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The service that the upstream must belong to.
    pub service: &'a ServiceId,
    /// The hash of the prompt's shared prefix; `None` if it has no part that others share.
    pub prefix: Option<u64>,
    /// The number of tokens of the prompt.
    pub input: u64,
    /// The upstreams of earlier attempts, which are not chosen again.
    pub tried: &'a [UpstreamId],
    /// The upstreams whose limits allow this request none now.
    pub denied: &'a [UpstreamId],
    /// A hash of the request, which decides between equal candidates.
    pub tie_breaker: u64,
}

/// All listed upstreams, and those in their grace period.
#[derive(Debug, Default)]
pub struct Servers {
    table: HashMap<UpstreamId, Arc<Server>>,
}

impl Servers {
    /// Inserts or updates an upstream. Its state is kept unless it restarted or its address changed.
    pub fn put(&mut self, entry: Upstream) {
        let mut server = Server::open(entry);
        if let Some(known) = self.table.get(&server.entry.id) {
            known.state.lock().grace_end = None;
            let (old, new) = (&known.entry, &server.entry);
            if old.address == new.address && old.started_at == new.started_at {
                server.state = Arc::clone(&known.state);
            }
        }
        let id = server.entry.id.clone();
        self.table.insert(id, Arc::new(server));
    }

    /// Removes an upstream at once; returns whether it was known.
    pub fn remove(&mut self, id: &UpstreamId) -> bool {
        self.table.remove(id).is_some()
    }

    /// Starts the grace period of all upstreams that are absent from a full list.
    pub fn mark_missing(&mut self, listed: &[UpstreamId], grace: Duration) {
        for (id, server) in &self.table {
            if !listed.contains(id) {
                server.mark_missing(grace);
            }
        }
    }

    /// Starts the grace period of one upstream.
    pub fn mark_removed(&mut self, id: &UpstreamId, grace: Duration) {
        if let Some(server) = self.table.get(id) {
            server.mark_missing(grace);
        }
    }

    /// Removes the upstreams whose grace period has ended, and returns their ids.
    pub fn drop_missing(&mut self) -> Vec<UpstreamId> {
        let expired = self.table.iter().filter(|(_, server)| !server.is_listed());
        let expired: Vec<_> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.table.remove(id);
        }
        expired
    }

    /// Returns an upstream by its id.
    pub fn get(&self, id: &UpstreamId) -> Option<&Arc<Server>> {
        self.table.get(id)
    }

    /// Returns the number of upstreams, including those in their grace period.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether there are no upstreams.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns how long no upstream of a service can be used because of limits; `None` if limits are not
    /// the reason.
    pub fn blocked(&self, service: &ServiceId, now: Duration) -> Option<Duration> {
        let usable = |server: &&Arc<Server>| server.entry.service == *service && server.is_usable();
        let usable = self.table.values().filter(usable);
        usable.filter_map(|server| server.blocked(now)).min()
    }

    /// Iterates over all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.table.values()
    }

    /// Chooses an upstream and acquires a slot there. Upstreams in the data centre `near` are
    /// marked as near in the choice; `None` if no upstream may be used.
    pub fn acquire(
        &self,
        now: Duration,
        requirements: &Requirements<'_>,
        near: &str,
    ) -> Option<Slot> {
        let available =
            |server: &&Arc<Server>| server.fits(requirements, now) && server.accepts(now);
        let mut servers: Vec<_> = self.table.values().filter(available).collect();
        if servers.is_empty() {
            // The circuit breaker of every remaining upstream is open; one of them may still serve.
            let listed =
                |server: &&Arc<Server>| server.fits(requirements, now) && server.is_usable();
            servers = self.table.values().filter(listed).collect();
        }
        let candidate = |server: &&Arc<Server>| Candidate {
            member: server.member,
            load: server.load(),
            near: server.entry.data_centre.as_str() == near,
        };
        let candidates: Vec<_> = servers.iter().map(candidate).collect();
        let chosen = affinity::choose(&candidates, requirements.prefix, requirements.tie_breaker)?;
        let server = Arc::clone(servers[chosen]);
        {
            let mut state = server.state.lock();
            state.running += 1;
            state.unread += requirements.input;
            state.breaker.start();
        }
        let unread = requirements.input;
        Some(Slot {
            server,
            unread,
            permitted: false,
        })
    }
}
