//! The upstreams that are listed, with their connections and what this router has there.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{ServiceId, UpstreamId, hash};
use fescue_policy::affinity::{self, Candidate};
use fescue_policy::limit::Breaker;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::link::{Link, LinkError};
use crate::model::Upstream;

/// How long a connection to an upstream may take; twice the longest way within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long an idle connection is kept at most.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// How long a connection may have been idle for a request that may not be repeated.
const MAX_IDLE_TIME_UNREPEATABLE: Duration = Duration::from_millis(1500);

/// How long a connection may take to be ready for its next request.
const RECYCLE_TIMEOUT: Duration = Duration::from_millis(50);

/// The idle connections that are kept for one upstream.
const MAX_IDLE_LINKS: usize = 24;

/// The unread prompt tokens that weigh as much as one running request.
const UNREAD_TOKENS_PER_REQUEST: f64 = 4000.0;

/// What this router has at one upstream.
#[derive(Debug, Default)]
struct State {
    idle: Vec<Link>,
    running: u32,
    /// Prompt tokens of requests that have no first event yet.
    unread: u64,
    breaker: Breaker,
    /// Requests that broke here lately, by fingerprint.
    broken: Vec<(u64, Instant)>,
    /// Until when it may be used although it is no longer listed.
    missing: Option<Instant>,
}

/// One listed upstream.
#[derive(Debug)]
pub struct Server {
    /// What it says of itself.
    pub entry: Upstream,
    member: u64,
    state: Arc<Mutex<State>>,
}

/// Within which time a broken request and a refused connection are taken for one crash.
const CRASH_WINDOW: Duration = Duration::from_secs(2);

impl Server {
    fn open(entry: Upstream) -> Self {
        let member = hash::short(entry.id.as_str().as_bytes());
        Self {
            entry,
            member,
            state: Arc::default(),
        }
    }

    /// Takes an idle connection or opens one.
    ///
    /// # Errors
    ///
    /// When none is established in time.
    pub async fn link(&self, once: bool) -> Result<Link, LinkError> {
        let longest = if once {
            MAX_IDLE_TIME_UNREPEATABLE
        } else {
            MAX_IDLE_TIME
        };
        {
            let mut state = self.state.lock();
            while let Some(link) = state.idle.pop() {
                if link.usable(longest) {
                    return Ok(link);
                }
            }
        }
        Link::open(self.entry.address, CONNECT_TIMEOUT).await
    }

    /// Keeps a connection for the next request, once it is ready.
    pub fn recycle(self: &Arc<Self>, mut link: Link) {
        let server = Arc::clone(self);
        tokio::spawn(async move {
            if link.recycle(RECYCLE_TIMEOUT).await {
                let mut state = server.state.lock();
                if state.idle.len() < MAX_IDLE_LINKS {
                    state.idle.push(link);
                }
            }
        });
    }

    /// Notes how a request went, for deciding whether the upstream is tried at all.
    pub fn record_outcome(&self, now: Duration, good: bool) {
        self.state.lock().breaker.learn(now, good);
    }

    /// Notes that a request's connection broke here.
    pub fn record_disconnect(&self, fingerprint: u64) {
        let mut state = self.state.lock();
        state.idle.clear();
        state.broken.push((fingerprint, Instant::now()));
    }

    /// Returns the requests that broke here just before the upstream stopped accepting
    /// connections, once each.
    pub fn take_crash_suspects(&self) -> Vec<u64> {
        let mut state = self.state.lock();
        let broken = std::mem::take(&mut state.broken);
        let recent = broken.iter().filter(|(_, at)| at.elapsed() < CRASH_WINDOW);
        recent.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Returns how many of this router's requests are there.
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
        state.missing.get_or_insert_with(|| Instant::now() + grace);
    }

    /// Returns whether it is listed, or may be used as if it were.
    fn is_listed(&self) -> bool {
        let missing = self.state.lock().missing;
        missing.is_none_or(|until| Instant::now() < until)
    }

    fn is_usable(&self) -> bool {
        !self.entry.draining && self.is_listed()
    }

    fn accepts(&self, now: Duration) -> bool {
        self.is_usable() && self.state.lock().breaker.allows(now)
    }
}

/// A request's place at an upstream, given up when dropped.
#[derive(Debug)]
pub struct Slot {
    server: Arc<Server>,
    unread: u64,
}

impl Slot {
    /// Returns the upstream.
    pub fn server(&self) -> &Arc<Server> {
        &self.server
    }

    /// Notes that the prompt has been read, as the first event shows.
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

/// What a request needs of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The hash of the prompt's shared prefix.
    pub prefix: Option<u64>,
    /// The tokens of the prompt.
    pub input: u64,
    /// The upstreams that were tried already.
    pub tried: &'a [UpstreamId],
    /// A number of the request, for breaking ties.
    pub tie_breaker: u64,
}

/// All listed upstreams.
#[derive(Debug, Default)]
pub struct Servers {
    table: HashMap<UpstreamId, Arc<Server>>,
}

impl Servers {
    /// Takes over what an upstream says of itself.
    pub fn put(&mut self, entry: Upstream) {
        let mut server = Server::open(entry);
        if let Some(known) = self.table.get(&server.entry.id) {
            known.state.lock().missing = None;
            let (old, new) = (&known.entry, &server.entry);
            if old.address == new.address && old.started_at == new.started_at {
                server.state = Arc::clone(&known.state);
            }
        }
        let id = server.entry.id.clone();
        self.table.insert(id, Arc::new(server));
    }

    /// Drops an upstream that is no longer listed.
    pub fn remove(&mut self, id: &UpstreamId) -> bool {
        self.table.remove(id).is_some()
    }

    /// Notes that upstreams which aren't among `listed` are missing from a full list.
    pub fn mark_missing(&mut self, listed: &[UpstreamId], grace: Duration) {
        for (id, server) in &self.table {
            if !listed.contains(id) {
                server.mark_missing(grace);
            }
        }
    }

    /// Notes that an upstream is missing, without dropping it yet.
    pub fn mark_removed(&mut self, id: &UpstreamId, grace: Duration) {
        if let Some(server) = self.table.get(id) {
            server.mark_missing(grace);
        }
    }

    /// Drops upstreams that have been missing for too long; returns them.
    pub fn drop_missing(&mut self) -> Vec<UpstreamId> {
        let late = self.table.iter().filter(|(_, server)| !server.is_listed());
        let late: Vec<_> = late.map(|(id, _)| id.clone()).collect();
        for id in &late {
            self.table.remove(id);
        }
        late
    }

    /// Returns how many upstreams are listed.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether none is listed.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Chooses an upstream and takes a place there.
    pub fn acquire(
        &self,
        now: Duration,
        requirements: &Requirements<'_>,
        near: &str,
    ) -> Option<Slot> {
        let fits = |server: &&Arc<Server>| {
            server.entry.service == *requirements.service
                && !requirements.tried.contains(&server.entry.id)
                && server.accepts(now)
        };
        let mut servers: Vec<_> = self.table.values().filter(fits).collect();
        if servers.is_empty() {
            // All that are left failed lately; one of them may still serve.
            let listed = |server: &&Arc<Server>| {
                server.entry.service == *requirements.service
                    && server.is_usable()
                    && !requirements.tried.contains(&server.entry.id)
            };
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
        Some(Slot { server, unread })
    }
}
