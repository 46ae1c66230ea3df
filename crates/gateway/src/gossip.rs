//! Shares what one router has found out about requests and upstreams with all other routers.
//!
//! New findings go to all routers at once. Datagrams get lost and routers start anew, so each router
//! also sends what it knows to another one, chosen at random, once a second. Evidence of crashes is
//! in the store as well, see [`crate::fleet`], for a fleet that starts anew. See
//! [docs/design/platform.md](../../../docs/design/platform.md).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::UpstreamId;
use fescue_policy::quarantine;
use fescue_policy::rate_limit::{RequestRate, STATEMENT_TTL, Statement};
use indexmap::{IndexMap, IndexSet};
use parking_lot::Mutex;
use rand::seq::{IndexedRandom, SliceRandom};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::sync::Notify;

use crate::cold::{self, ColdFinding};
use crate::evacuations::{self, EvacuationFinding};
use crate::gateway::Gateway;
use crate::upstreams::Server;

/// Interval at which a router sends its findings to another one.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of findings in one datagram.
const MAX_FINDINGS: usize = 12;

/// Size of a datagram's evidence of crashes from which on another one is begun, and the largest encoded sizes of a report,
/// of its context and of each part there.
const MAX_CRASH_BYTES: usize = 1200;
const REPORT_BYTES: usize = 100;
const CONTEXT_BYTES: usize = 90;
const PART_BYTES: usize = 34;

/// Maximum number of cold upstreams in one datagram: 12 with ids of 47 characters were 1,774 bytes.
const MAX_COLD: usize = 8;

/// Maximum number of findings of each kind that one exchange sends.
const MAX_EXCHANGED: usize = 2 * MAX_FINDINGS;

/// Maximum number of evacuations in one datagram. Their names are up to 64 bytes long.
const MAX_EVACUATIONS: usize = 8;

/// Number of routers that are told at once of a change of an evacuation. Most routers learn of it from the
/// store at the same time, and each of them tells this many.
const EVACUATION_PEERS: usize = 4;

/// Maximum number of findings that wait to be sent.
const MAX_WAITING: usize = 4096;

/// What a router has found out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Findings {
    /// The requests and parts of prompts that may have crashed upstreams, or were cleared.
    #[serde(default)]
    pub crashes: Vec<quarantine::Report>,
    /// What the latest answers of upstreams said of their limits.
    #[serde(default)]
    pub limits: Vec<LimitFinding>,
    /// The upstream processes that have ended and are still listed.
    #[serde(default)]
    pub ended: Vec<EndedFinding>,
    /// The data centres that are evacuated, or were.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuations: Vec<EvacuationFinding>,
    /// The upstreams that are cold.
    #[serde(default)]
    pub cold: Vec<ColdFinding>,
}

/// An upstream process that has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedFinding {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its start time by its own clock; a later start has not ended.
    pub started: Option<u64>,
}

/// What an upstream's latest answer said of its limit.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitFinding {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its start time by its own clock; a later start has no limit yet.
    pub started: Option<u64>,
    /// The limit; `None` if it has ended.
    pub rate: Option<RequestRate>,
    /// How long ago the answer arrived.
    #[serde(rename = "age_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// The hashes whose evidence has changed at this router, until they are published.
#[derive(Debug, Default)]
pub struct Outbox {
    peers: Mutex<IndexSet<u64>>,
    store: Mutex<IndexSet<u64>>,
    limits: Mutex<IndexSet<UpstreamId>>,
    ended: Mutex<IndexSet<UpstreamId>>,
    cold: Mutex<IndexSet<UpstreamId>>,
    wake: Notify,
}

impl Outbox {
    /// Adds hashes to be sent to the other routers and to be written to the store.
    pub fn push(&self, prints: Vec<u64>) {
        if prints.is_empty() {
            return;
        }
        for queue in [&self.peers, &self.store] {
            let mut queue = queue.lock();
            queue.extend(&prints);
            queue.truncate(MAX_WAITING);
        }
        self.wake.notify_one();
    }

    /// Adds an upstream whose limit is to be sent to the other routers.
    pub fn push_limit(&self, upstream: &UpstreamId) {
        let mut limits = self.limits.lock();
        limits.insert(upstream.clone());
        limits.truncate(MAX_WAITING);
        self.wake.notify_one();
    }

    /// Adds an upstream whose end is to be told to the other routers.
    pub fn push_ended(&self, upstream: &UpstreamId) {
        let mut ended = self.ended.lock();
        ended.insert(upstream.clone());
        ended.truncate(MAX_WAITING);
        self.wake.notify_one();
    }

    /// Has changes sent that are kept elsewhere.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Adds an upstream that is cold, which is to be told to other routers.
    pub fn push_cold(&self, upstream: &UpstreamId) {
        let mut cold = self.cold.lock();
        cold.insert(upstream.clone());
        cold.truncate(MAX_WAITING);
        self.wake.notify_one();
    }

    /// Waits until there is something to send to the other routers.
    pub async fn changed(&self) {
        self.wake.notified().await;
    }

    /// Takes up to `most` hashes that are to be written to the store.
    pub fn take_for_store(&self, most: usize) -> Vec<u64> {
        let mut store = self.store.lock();
        let count = store.len().min(most);
        store.drain(..count).collect()
    }

    /// Adds hashes that are to be written to the store only: their rows could not be written, or are
    /// gone.
    pub fn push_to_store(&self, prints: Vec<u64>) {
        self.store.lock().extend(prints);
    }
}

/// Returns the datagrams that tell all other routers what this one has found out since the last call.
pub fn new_findings(gateway: &Gateway) -> Vec<(SocketAddr, Findings)> {
    let now = gateway.now();
    let prints: Vec<_> = gateway.outbox.peers.lock().drain(..).collect();
    let crashes: Vec<_> = {
        let suspects = gateway.suspects.lock();
        let reports = prints.iter().map(|print| suspects.report(*print, now));
        reports.flatten().collect()
    };
    let upstreams: Vec<_> = gateway.outbox.limits.lock().drain(..).collect();
    let limits: Vec<_> = {
        let servers = gateway.servers.lock();
        let servers = upstreams
            .iter()
            .filter_map(|upstream| servers.get(upstream));
        servers
            .filter_map(|server| limit_finding(server, now))
            .collect()
    };
    let upstreams: Vec<_> = gateway.outbox.ended.lock().drain(..).collect();
    let ended: Vec<_> = {
        let servers = gateway.servers.lock();
        let servers = upstreams
            .iter()
            .filter_map(|upstream| servers.get(upstream));
        servers.filter_map(|server| ended_finding(server)).collect()
    };
    let findings = split(&crashes, &limits, &ended);
    let peers = gateway.peers.lock().addresses();
    let to_all = |peer: SocketAddr| findings.iter().map(move |part| (peer, part.clone()));
    let told = peers.choose_multiple(&mut rand::rng(), EVACUATION_PEERS);
    let told: Vec<_> = told.copied().collect();
    let mut sent: Vec<_> = peers.into_iter().flat_map(to_all).collect();
    for part in split_evacuations(&gateway.evacuations.take_changed()) {
        sent.extend(told.iter().map(|peer| (*peer, part.clone())));
    }
    sent.extend(new_cold_findings(gateway));
    sent
}

fn new_cold_findings(gateway: &Gateway) -> impl Iterator<Item = (SocketAddr, Findings)> {
    let upstreams: Vec<_> = gateway.outbox.cold.lock().drain(..).collect();
    let mut told: IndexMap<SocketAddr, Vec<ColdFinding>> = IndexMap::new();
    for upstream in upstreams {
        if let Some(finding) = cold::finding(gateway, &upstream) {
            for peer in cold::listeners(gateway, &finding) {
                told.entry(peer).or_default().push(finding.clone());
            }
        }
    }
    let parts = |(peer, findings): (SocketAddr, Vec<ColdFinding>)| {
        let parts: Vec<_> = split_cold(&findings).collect();
        parts.into_iter().map(move |part| (peer, part))
    };
    told.into_iter().flat_map(parts)
}

fn split_cold(cold: &[ColdFinding]) -> impl Iterator<Item = Findings> {
    cold.chunks(MAX_COLD).map(|cold| Findings {
        cold: cold.to_vec(),
        ..Findings::default()
    })
}

/// Returns the datagrams that tell another router, chosen at random, what this one knows: the evidence of
/// crashes that changed last, and limits of upstreams chosen at random.
pub fn all_findings(gateway: &Gateway) -> Vec<(SocketAddr, Findings)> {
    let now = gateway.now();
    let crashes = gateway.suspects.lock().latest(MAX_EXCHANGED, now);
    let (mut limits, mut ended): (Vec<_>, Vec<_>) = {
        let servers = gateway.servers.lock();
        let limits = servers
            .iter()
            .filter_map(|server| limit_finding(server, now));
        let ended = servers.iter().filter_map(|server| ended_finding(server));
        (limits.collect(), ended.collect())
    };
    limits.shuffle(&mut rand::rng());
    limits.truncate(MAX_EXCHANGED);
    ended.shuffle(&mut rand::rng());
    ended.truncate(MAX_EXCHANGED);
    let mut cold = cold::numbered_findings(gateway);
    cold.shuffle(&mut rand::rng());
    cold.truncate(MAX_EXCHANGED);
    let mut findings = split(&crashes, &limits, &ended);
    findings.extend(split_evacuations(&gateway.evacuations.findings()));
    findings.extend(split_cold(&cold));
    let peers = gateway.peers.lock().addresses();
    let Some(peer) = peers.choose(&mut rand::rng()) else {
        return Vec::new();
    };
    findings.into_iter().map(|part| (*peer, part)).collect()
}

/// Returns what is known of an upstream's limit; `None` if nothing is, or nothing that still counts.
fn limit_finding(server: &Server, now: Duration) -> Option<LimitFinding> {
    let statement = server.statement()?;
    let age = now.saturating_sub(statement.at);
    (age < STATEMENT_TTL).then(|| LimitFinding {
        upstream: server.entry.id.clone(),
        started: server.entry.started_at,
        rate: statement.rate,
        age,
    })
}

/// Returns the finding of an upstream process that has ended and is still listed. Without a start time it
/// can't be told from its successor.
fn ended_finding(server: &Server) -> Option<EndedFinding> {
    let started = server.entry.started_at.filter(|_| server.facts.is_ended());
    started.map(|started| EndedFinding {
        upstream: server.entry.id.clone(),
        started: Some(started),
    })
}

/// Divides reports so that each part fits into a datagram.
fn split_crashes(crashes: &[quarantine::Report]) -> Vec<Vec<quarantine::Report>> {
    let mut parts: Vec<Vec<quarantine::Report>> = Vec::new();
    let mut left = 0;
    for report in crashes {
        let context = report.context.as_ref();
        let context = context.map(|context| CONTEXT_BYTES + PART_BYTES * context.parts.len());
        let bytes = REPORT_BYTES + context.unwrap_or(0);
        if bytes > left {
            parts.push(Vec::new());
            left = MAX_CRASH_BYTES;
        }
        left -= bytes;
        parts
            .last_mut()
            .expect("one was begun")
            .push(report.clone());
    }
    parts
}

/// Distributes findings over datagrams.
fn split(
    crashes: &[quarantine::Report],
    limits: &[LimitFinding],
    ended: &[EndedFinding],
) -> Vec<Findings> {
    let crashes = split_crashes(crashes).into_iter().map(|crashes| Findings {
        crashes,
        ..Findings::default()
    });
    let limits = limits.chunks(MAX_FINDINGS).map(|limits| Findings {
        limits: limits.to_vec(),
        ..Findings::default()
    });
    let ended = ended.chunks(MAX_FINDINGS).map(|ended| Findings {
        ended: ended.to_vec(),
        ..Findings::default()
    });
    crashes.chain(limits).chain(ended).collect()
}

/// Distributes what is known of evacuations over datagrams.
fn split_evacuations(evacuations: &[EvacuationFinding]) -> Vec<Findings> {
    let parts = evacuations.chunks(MAX_EVACUATIONS);
    let part = |evacuations: &[EvacuationFinding]| Findings {
        evacuations: evacuations.to_vec(),
        ..Findings::default()
    };
    parts.map(part).collect()
}

/// Takes over what another router has found out.
pub fn receive(gateway: &Gateway, findings: &Findings) {
    evacuations::receive(gateway, &findings.evacuations);
    for finding in &findings.ended {
        receive_ended(gateway, finding);
    }
    for finding in &findings.cold {
        cold::receive_finding(gateway, finding);
    }
    for finding in &findings.limits {
        receive_limit(gateway, finding);
    }
    let now = gateway.now();
    for report in &findings.crashes {
        let mut suspects = gateway.suspects.lock();
        if suspects.receive(report, now) {
            let strength = suspects.evidence(report.print).strength();
            tracing::debug!(
                print = report.print,
                strength,
                "received evidence of crashes"
            );
        }
    }
}

fn receive_ended(gateway: &Gateway, finding: &EndedFinding) {
    let servers = gateway.servers.lock();
    let server = servers.get(&finding.upstream);
    let same = server.filter(|server| server.entry.started_at == finding.started);
    if same.is_some_and(|server| server.facts.record_ended()) {
        tracing::info!(upstream = %finding.upstream, started_at = finding.started, "another router found that an upstream process has ended");
    }
}

fn receive_limit(gateway: &Gateway, finding: &LimitFinding) {
    let now = gateway.now();
    let Some(at) = now.checked_sub(finding.age) else {
        // Older than this process, which will get answers of its own.
        return;
    };
    let server = {
        let servers = gateway.servers.lock();
        servers.get(&finding.upstream).map(Arc::clone)
    };
    let Some(server) = server.filter(|server| server.entry.started_at == finding.started) else {
        return;
    };
    let rate = finding.rate;
    if server.record_statement(Statement { rate, at }) {
        let limit = rate.map(RequestRate::per_second);
        tracing::debug!(upstream = %finding.upstream, limit, "received an upstream's limit");
    }
}
