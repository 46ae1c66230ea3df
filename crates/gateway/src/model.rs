//! What the gateway believes of the outside: routes, services, teams, upstreams, calls.
//!
//! These are the project's own words. An adapter decodes its platform's names into them once, see
//! [docs/design/platform.md](../../../docs/design/platform.md).

use std::net::SocketAddr;
use std::time::Duration;

use fescue_core::{DataCentreId, ServiceId, TeamId, Tokens, UpstreamId};
use indexmap::IndexMap;

/// What may be repeated of a route's requests, and how they are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// Answered by a stream of events; may run again only where the route allows resuming.
    Streaming,
}

/// One way from a host and a path prefix to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The prefix that a path must begin with.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or a stream's first event, is on time.
    pub target: Duration,
    /// The longest pause between events that is on time.
    pub gap: Option<Duration>,
    /// Its rank; zero is the most urgent.
    pub priority: u8,
    /// The services that it goes to, with their weights.
    pub split: Vec<(ServiceId, u32)>,
    /// The most upstreams that one request may be sent to.
    pub attempts: u32,
    /// Whether it may be used without a key.
    pub anonymous: bool,
    /// Whether its streams may be resumed at another upstream.
    pub resumable: bool,
}

impl Route {
    /// Returns whether a request that may have run may be sent again.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// A group of equal upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// The connections that one upstream accepts from all routers together.
    pub connections: u32,
    /// What its upstreams are when they are model engines.
    pub engine: Option<Engine>,
}

/// The properties of a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// The most tokens that one event of a stream holds.
    pub event_tokens: u64,
    /// The tokens that its memory holds.
    pub memory: Tokens,
}

/// A team with its keys and its prepaid tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: TeamId,
    /// The keys that its callers show.
    pub keys: Vec<String>,
    /// Its rank, which goes before a route's; zero is the most urgent.
    pub priority: u8,
    /// What it may consume in total; `None` where it has no limit.
    pub prepaid: Option<Tokens>,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The bytes of a request's head.
    pub header_bytes: usize,
    /// The bytes of a request's body.
    pub body_bytes: usize,
    /// The time that a request's head may take to arrive.
    pub header_time: Duration,
    /// The time that a connection may stay idle.
    pub idle_time: Duration,
}

/// One version of the configuration, in full.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    /// Its version; a later one is higher.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: IndexMap<ServiceId, Service>,
    /// The teams; `None` where no key is asked for.
    pub teams: Option<Vec<Team>>,
    /// The limits on callers.
    pub limits: Limits,
}

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its name, which is new at most of its starts.
    pub id: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub warmup: Duration,
    /// When it started, as it says itself; tells two starts under one name apart.
    pub started_at: Option<u64>,
}

/// What a caller's headers ask for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// The id of this attempt of the caller.
    pub id: String,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The key that it shows.
    pub key: Option<String>,
    /// The model that it asks for; empty for plain services.
    pub model: String,
    /// The tokens of its prompt.
    pub input: Tokens,
    /// The most tokens of its answer.
    pub output: Tokens,
    /// The parts of its prompt in order, each by a hash of its id and with its tokens.
    pub parts: Vec<Part>,
    /// The last event that the caller has, when it resumes a stream.
    pub last_event: Option<String>,
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// A hash of its id.
    pub hash: u64,
    /// Its tokens.
    pub tokens: u64,
}

impl Call {
    /// Returns the most that the request may consume.
    pub fn bound(&self) -> Tokens {
        self.input.saturating_add(self.output)
    }

    /// Returns the hash of the last part that other requests share.
    pub fn shared_prefix(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        self.parts.get(shared).map(|part| part.hash)
    }
}
