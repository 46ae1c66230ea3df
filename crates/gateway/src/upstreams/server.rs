//! One listed upstream: its connections, the load that this router puts on it, and what its answers told.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::{SoftwareVersion, hash};
use fescue_policy::limit::Breaker;
use fescue_policy::quarantine::Attempt;
use fescue_policy::rate_limit::{RequestRate, Statement};
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::time::Instant;

use super::rating::{Intake, Moment};
use super::shards::ShardMemo;
use super::{Block, Facts, Warmth};
use crate::link::{Link, LinkError};
use crate::model::Upstream;

/// The time-out for connecting to an upstream; twice the longest latency within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The same while this router's own link is full, for which the upstream's acceptance waits.
const CONNECT_TIMEOUT_LINK_FULL: Duration = Duration::from_secs(1);

/// The longest time that a connection may have been idle when it is reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// The longest time that a connection may have been idle when it is reused for a request that may
/// not be repeated.
const MAX_IDLE_TIME_UNREPEATABLE: Duration = Duration::from_millis(1500);

/// How long a connection may take to become ready for its next request.
const RECYCLE_TIMEOUT: Duration = Duration::from_millis(50);

/// The largest number of idle connections that are kept per upstream.
const MAX_IDLE_LINKS: usize = 24;

/// This router's connections and requests at one upstream.
#[derive(Debug, Default)]
pub(super) struct State {
    idle: Vec<Link>,
    pub(super) running: u32,
    /// Prompt tokens of requests whose first event has not arrived.
    pub(super) unread: u64,
    pub(super) breaker: Breaker,
    /// The requests whose connection broke lately.
    broken: Vec<BrokenRequest>,
    /// The requests whose answers are complete, but have only just begun.
    settling: IndexMap<u64, BrokenRequest>,
    /// What the latest answer said of the upstream's limit; `None` if nothing is known.
    statement: Option<Statement>,
    /// When the upstream's home can grant a request again.
    blocked_until: Option<Instant>,
    /// Whether a check for a crash is in progress.
    checking: bool,
    /// The end of the grace period of an upstream that is no longer listed; `None` while listed.
    pub(super) grace_end: Option<Instant>,
    /// When an idle connection was last found closed.
    lost_idle: Option<Instant>,
}

impl State {
    pub(super) fn is_listed(&self, now: Instant) -> bool {
        self.grace_end.is_none_or(|until| now < until)
    }

    fn limit(&self, now: Duration) -> Option<RequestRate> {
        self.statement?.limit(now)
    }

    /// Returns how long its limit, or that of a `cold` upstream, allows no request.
    fn blocked(&self, cold: bool, at: Moment) -> Option<Duration> {
        if !cold {
            self.limit(at.now)?;
        }
        let until = self.blocked_until?;
        let left = until.saturating_duration_since(at.instant);
        Some(left).filter(|left| !left.is_zero())
    }

    /// Returns whether the limit may allow a request; one that is not `limited` needs that there is none.
    pub(super) fn allows(&self, limited: bool, cold: bool, at: Moment) -> bool {
        match limited {
            true => self.blocked(cold, at).is_none(),
            false => !cold && self.limit(at.now).is_none(),
        }
    }
}

/// A listed upstream with this router's state for it.
#[derive(Debug)]
pub struct Server {
    /// The entry that the upstream published.
    pub entry: Upstream,
    pub(super) member: u64,
    pub(super) shard_memo: ShardMemo,
    pub(super) state: Arc<Mutex<State>>,
    /// What is known of the process.
    pub facts: Arc<Facts>,
    /// What is known of its warm-up.
    pub warmth: Arc<Warmth>,
}

/// The time within which a broken request and a refused connection count as one crash.
const CRASH_WINDOW: Duration = Duration::from_secs(2);

/// The age at which a statement about a limit is renewed by the next answer.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(15);

/// The largest number of broken requests that are kept per upstream.
const MAX_BROKEN: usize = 256;

/// A request whose connection broke before its answer was complete, or that counts as such if its upstream crashes.
#[derive(Clone, Debug)]
pub struct BrokenRequest {
    /// The id of the request.
    pub id: String,
    /// The attempt that failed.
    pub attempt: Attempt,
    /// Whether the answer had gone on for long enough to clear the parts of its prompt.
    pub settled: bool,
    /// When the connection broke.
    pub at: Instant,
}

impl Server {
    pub(super) fn open(entry: Upstream) -> Self {
        let member = hash::digest64(entry.id.as_str().as_bytes());
        Self {
            entry,
            member,
            shard_memo: ShardMemo::default(),
            state: Arc::default(),
            facts: Arc::default(),
            warmth: Arc::default(),
        }
    }

    /// Returns the upstream as one that drains, after it is no longer listed: some leave without saying so.
    pub(super) fn as_draining(&self) -> Self {
        Self {
            entry: Upstream {
                draining: true,
                ..self.entry.clone()
            },
            member: self.member,
            shard_memo: ShardMemo::default(),
            state: Arc::clone(&self.state),
            facts: Arc::clone(&self.facts),
            warmth: Arc::clone(&self.warmth),
        }
    }

    /// Takes an idle connection, or opens one if none is fresh enough. `once` says that the request
    /// may not be repeated, `link_full` that this router's own link is full.
    ///
    /// # Errors
    ///
    /// When no connection is established within the time-out.
    pub async fn connect(&self, once: bool, link_full: bool) -> Result<Link, LinkError> {
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
                if link.is_closed() {
                    state.lost_idle = Some(Instant::now());
                }
            }
        }
        let limit = match link_full {
            true => CONNECT_TIMEOUT_LINK_FULL,
            false => CONNECT_TIMEOUT,
        };
        Link::open(self.entry.address, limit).await
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

    /// Records that a connection was not established in time, for which the upstream isn't the cause if
    /// this router's own link is full.
    pub fn record_unreachable(&self, now: Duration, link_full: bool) {
        if !link_full {
            self.record_outcome(now, false);
        }
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

    /// Keeps a request whose answer is complete until [`Self::end_settling`] is called with the number that is
    /// returned.
    pub fn start_settling(&self, request: BrokenRequest) -> u64 {
        let mut state = self.state.lock();
        let number = rand::random();
        if state.settling.len() < MAX_BROKEN {
            state.settling.insert(number, request);
        }
        number
    }

    /// Returns a request whose answer is complete; `None` if its upstream has crashed since.
    pub fn end_settling(&self, number: u64) -> Option<BrokenRequest> {
        self.state.lock().settling.swap_remove(&number)
    }

    /// Returns whether all idle connections are closed, as at a crash. One that was used lately is not closed for being
    /// idle.
    pub fn has_closed_idle(&self) -> bool {
        let state = self.state.lock();
        !state.idle.is_empty() && state.idle.iter().all(Link::is_closed)
    }

    /// Takes the requests whose connection broke within the crash window; with those whose answers have only just begun
    /// if the upstream has `crashed`.
    pub fn take_broken(&self, crashed: bool) -> Vec<BrokenRequest> {
        let mut state = self.state.lock();
        state.checking = false;
        let mut broken = std::mem::take(&mut state.broken);
        if crashed {
            broken.extend(state.settling.drain(..).map(|(_, request)| request));
        }
        broken.retain(|request| request.at.elapsed() < CRASH_WINDOW);
        broken
    }

    /// Takes over what an answer said of the limit, unless a later one is known or there is no limit
    /// to be ended; returns whether it differs from what was known, or renews an old statement.
    pub fn record_statement(&self, statement: Statement) -> bool {
        let mut state = self.state.lock();
        let known = state.statement;
        let repeated = known.is_some_and(|known| {
            let fresh = statement.at.saturating_sub(known.at) < RENEWAL_INTERVAL;
            known.rate == statement.rate && fresh
        });
        let news = statement.supersedes(known) && !repeated;
        if news {
            state.statement = Some(statement);
        }
        news
    }

    /// Returns what is known of the limit.
    pub fn statement(&self) -> Option<Statement> {
        self.state.lock().statement
    }

    /// Returns the limit that the upstream's answers name.
    pub fn stated_limit(&self, now: Duration) -> Option<RequestRate> {
        self.state.lock().limit(now)
    }

    /// Returns the limit in force: the smaller one of what the answers name and of what a cold upstream tolerates.
    pub fn limit(&self, now: Duration) -> Option<RequestRate> {
        let (stated, cold) = (self.stated_limit(now), self.cold_rate(now));
        match (stated, cold) {
            (Some(stated), Some(cold)) => Some(stated.min(cold)),
            _ => stated.or(cold),
        }
    }

    /// Returns the rate that a cold upstream tolerates; `None` if it is warm.
    ///
    /// A process that has ended counts as cold until the entry of its successor is known: the successor may listen
    /// on its address already.
    pub fn cold_rate(&self, now: Duration) -> Option<RequestRate> {
        let (warmup, left) = self.warmth.state(now)?;
        (left.is_some() || self.facts.is_ended()).then_some(warmup.rate)
    }

    /// Returns for how long its reports say that it is cold.
    pub fn cold_time(&self, now: Duration) -> Option<Duration> {
        self.warmth.state(now).and_then(|(_, left)| left)
    }

    /// Gives the upstream no request for some time, since its limit is used up.
    pub fn block(&self, wait: Duration) {
        self.state.lock().blocked_until = Some(Instant::now() + wait);
    }

    /// Returns how long the upstream's limit or a pause allows no request; `None` if it may get one now.
    pub(super) fn blocked(&self, now: Duration) -> Option<Block> {
        let block = |wait, pausing| Block { wait, pausing };
        let cold = self.cold_rate(now).is_some();
        let limit = self.state.lock().blocked(cold, Moment::new(now));
        let pause = self.facts.delay(Instant::now());
        let limit = limit.map(|wait| block(wait, false));
        limit.max(pause.map(|wait| block(wait, true)))
    }

    /// Returns the number of this router's requests that are running there.
    pub fn running(&self) -> u32 {
        self.state.lock().running
    }

    pub(super) fn mark_missing(&self, grace: Duration) {
        let mut state = self.state.lock();
        state
            .grace_end
            .get_or_insert_with(|| Instant::now() + grace);
    }

    /// Returns whether the upstream is listed or still in its grace period.
    pub(super) fn is_listed(&self) -> bool {
        self.state.lock().is_listed(Instant::now())
    }

    /// Returns whether the upstream may get new requests.
    pub fn is_usable(&self) -> bool {
        self.is_usable_at(Instant::now())
    }

    pub(super) fn is_usable_at(&self, now: Instant) -> bool {
        self.intake(now) == Intake::All && self.state.lock().is_listed(now)
    }

    /// Returns whether the upstream is shutting down, as its entry or its answers say.
    pub fn is_leaving(&self) -> bool {
        self.entry.draining || self.facts.is_leaving()
    }

    /// Returns the version of its software; `None` if it names none, or if the process that named it has
    /// ended: another one may have taken its place.
    pub fn version(&self) -> Option<&SoftwareVersion> {
        let version = self.entry.version.as_ref();
        version.filter(|_| !self.facts.is_ended())
    }

    /// Returns whether an idle connection was found closed within the crash window.
    pub fn has_lost_idle(&self) -> bool {
        let lost = self.state.lock().lost_idle;
        lost.is_some_and(|at| at.elapsed() < CRASH_WINDOW)
    }
}
