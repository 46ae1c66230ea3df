//! The gateway's data model: routes, services, teams, upstreams and calls.
//!
//! The types don't depend on a platform. An adapter decodes its platform's formats into them, see
//! [docs/design/platform.md](../../../docs/design/platform.md).

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{DataCentreId, ServiceId, SoftwareVersion, TeamId, Tokens, UpstreamId};
use fescue_policy::warmup::Warmup;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// The name of a region, which may be any text. Data centres are mapped to regions by the settings.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Region(String);

impl Region {
    /// Creates the name of a region.
    pub fn new(name: impl Into<String>) -> Self {
        Self(name.into())
    }
}

/// Whether a route's requests may be repeated, and how they are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// Answered by a stream of events; may run again only where the route allows resuming.
    Streaming,
}

/// A mapping from a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name that logs show.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The prefix that the path must start with.
    pub prefix: String,
    /// Whether requests may be repeated, and how they are answered.
    pub kind: RouteKind,
    /// The time-out of a request; a shorter deadline of the caller applies.
    pub timeout: Duration,
    /// The target latency of a response, or of a stream's first event.
    pub target: Duration,
    /// The target for the longest gap between events; `None` if there is no target.
    pub gap: Option<Duration>,
    /// The priority within a team's priority; zero is the most urgent.
    pub priority: u8,
    /// The services that requests are distributed to, with their weights.
    pub split: Vec<(ServiceId, u32)>,
    /// The largest number of upstreams that may run one request.
    pub attempts: u32,
    /// Whether requests without a key are accepted.
    pub anonymous: bool,
    /// Whether streams may be resumed at another upstream.
    pub resumable: bool,
    /// The regions whose upstreams requests may be sent to; empty if all.
    pub allowed_regions: Vec<Region>,
}

impl Route {
    /// Returns whether a request that may already have run may be sent again.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// A group of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The name that routes and upstreams refer to.
    pub name: ServiceId,
    /// The number of connections that one upstream accepts from all routers together.
    pub connections: u32,
    /// The properties of its model engines; `None` for other services.
    pub engine: Option<Engine>,
    /// How its upstreams warm up; `None` if cold ones tolerate the usual rate.
    pub warmup: Option<Warmup>,
}

/// The properties of a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// The largest number of tokens in one event of a stream.
    pub event_tokens: u64,
    /// The number of tokens that fit into the engine's memory.
    pub memory: Tokens,
}

/// A team with its keys and its prepaid tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// The name under which the team's tokens are accounted.
    pub name: TeamId,
    /// The API keys of the team's callers.
    pub keys: Vec<String>,
    /// The priority, which takes precedence over a route's; zero is the most urgent.
    pub priority: u8,
    /// The tokens that the team may consume in total; `None` if unlimited.
    pub prepaid: Option<Tokens>,
    /// The regions whose upstreams its requests may be sent to; empty if all.
    pub allowed_regions: Vec<Region>,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest request head, in bytes.
    pub header_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The time within which a request head must arrive.
    pub header_time: Duration,
    /// The time after which an idle connection is closed.
    pub idle_time: Duration,
}

/// A complete version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    /// The version number, which increases with every change.
    pub version: u64,
    /// The routes of all hosts.
    pub routes: Vec<Arc<Route>>,
    /// The services by name.
    pub services: IndexMap<ServiceId, Service>,
    /// The teams; `None` if no keys are required.
    pub teams: Option<Vec<Team>>,
    /// The limits on what callers may send.
    pub limits: Limits,
}

/// The entry that an upstream publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The name, which usually changes with every start.
    pub id: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentreId,
    /// The version of its software; `None` if it names none that can be read. Its streams can then not be
    /// resumed at another upstream.
    pub version: Option<SoftwareVersion>,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and takes no new requests.
    pub draining: bool,
    /// The remaining warm-up time as of when the entry was written.
    pub warmup: Duration,
    /// The start time by the upstream's own clock, which tells apart two starts under one name.
    pub started_at: Option<u64>,
    /// The number of the entry, which rises with each one that the upstream writes after its start.
    pub sequence: Option<u64>,
}

impl Upstream {
    /// Returns whether two entries of one id belong to the same start of the upstream. Without a start
    /// time it is the same while it listens on the same address.
    pub fn is_same_process(&self, other: &Self) -> bool {
        self.started_at == other.started_at
            && (self.started_at.is_some() || self.address == other.address)
    }

    /// Compares the ages of two entries of one id; a greater one was written later. `None` if that
    /// can't be told.
    ///
    /// A new process starts its sequence anew, so the start times come first.
    pub fn compare_age(&self, other: &Self) -> Option<Ordering> {
        if self.started_at == other.started_at {
            return Some(self.sequence?.cmp(&other.sequence?));
        }
        Some(self.started_at?.cmp(&other.started_at?))
    }
}

/// The decoded headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// The id of the request, which differs between the caller's own retries.
    pub id: String,
    /// How long the caller waits for a response; `None` if it doesn't say.
    pub deadline: Option<Duration>,
    /// The caller's API key.
    pub key: Option<String>,
    /// The requested model; empty for services without model engines.
    pub model: String,
    /// The number of tokens of the prompt.
    pub input: Tokens,
    /// The largest number of tokens of the response.
    pub output: Tokens,
    /// The parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// The id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<String>,
    /// The id of the caller's attempt that brought the first event of the stream, if it resumes one.
    pub resumes: Option<String>,
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// The hash of the part's id.
    pub hash: u64,
    /// The number of tokens of the part.
    pub tokens: u64,
}

impl Call {
    /// Returns the largest number of tokens that the request may consume.
    pub fn bound(&self) -> Tokens {
        self.input.saturating_add(self.output)
    }

    /// Returns the hashes of the parts of the prompt that other requests may share: all but the last.
    pub fn shared_parts(&self) -> Vec<u64> {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.hash).collect()
    }

    /// Returns the hash of the last part of the prompt that other requests may share: the one before
    /// the last part.
    pub fn shared_prefix(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        self.parts.get(shared).map(|part| part.hash)
    }
}
