//! Shares what one router has found out about requests and upstreams with all other routers.
//!
//! New findings go to all routers at once. Datagrams get lost and routers start anew, so each router
//! also sends all that it knows to another one, chosen at random, once a second. Evidence of crashes is
//! in the store as well, see [`crate::fleet`], for a fleet that starts anew. See
//! [docs/design/platform.md](../../../docs/design/platform.md).

use std::net::SocketAddr;
use std::time::Duration;

use fescue_policy::quarantine::{Evidence, RETENTION};
use indexmap::IndexSet;
use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::sync::Notify;

use crate::gateway::Gateway;

/// Interval at which a router sends all its findings to another one.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of findings in one datagram, and maximum number that wait to be sent.
const MAX_FINDINGS: usize = 12;
const MAX_WAITING: usize = 4096;

/// What a router has found out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings {
    /// The requests and parts of prompts that may have crashed upstreams, or were cleared.
    #[serde(default)]
    pub crashes: Vec<CrashFinding>,
}

/// The evidence about one request or part of a prompt.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashFinding {
    /// The hash of the request or part.
    pub print: u64,
    /// The evidence.
    #[serde(flatten)]
    pub evidence: Evidence,
    /// How long ago the evidence last changed.
    #[serde(rename = "age_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// The hashes whose evidence has changed at this router, until they are published.
#[derive(Debug, Default)]
pub struct Outbox {
    peers: Mutex<IndexSet<u64>>,
    store: Mutex<IndexSet<u64>>,
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

    /// Puts back hashes that could not be written to the store.
    pub fn return_to_store(&self, prints: Vec<u64>) {
        self.store.lock().extend(prints);
    }
}

/// Returns the datagrams that tell all other routers what this one has found out since the last call.
pub fn new_findings(gateway: &Gateway) -> Vec<(SocketAddr, Findings)> {
    let prints: Vec<_> = gateway.outbox.peers.lock().drain(..).collect();
    let crashes = crash_findings(gateway, |print| prints.contains(print));
    let findings = split(crashes);
    let peers = gateway.peers.lock().addresses();
    let to_all = |peer: SocketAddr| findings.iter().map(move |part| (peer, part.clone()));
    peers.into_iter().flat_map(to_all).collect()
}

/// Returns the datagrams that tell another router, chosen at random, all that this one knows.
pub fn all_findings(gateway: &Gateway) -> Vec<(SocketAddr, Findings)> {
    let findings = split(crash_findings(gateway, |_| true));
    let peers = gateway.peers.lock().addresses();
    let Some(peer) = peers.choose(&mut rand::rng()) else {
        return Vec::new();
    };
    findings.into_iter().map(|part| (*peer, part)).collect()
}

fn crash_findings(gateway: &Gateway, chosen: impl Fn(&u64) -> bool) -> Vec<CrashFinding> {
    let now = gateway.evidence_clock();
    let suspects = gateway.suspects.lock();
    let chosen = suspects.iter().filter(|(print, ..)| chosen(print));
    let finding = |(print, evidence, at)| CrashFinding {
        print,
        evidence,
        age: now.saturating_sub(at),
    };
    chosen.map(finding).collect()
}

fn split(crashes: Vec<CrashFinding>) -> Vec<Findings> {
    let part = |crashes: &[CrashFinding]| Findings {
        crashes: crashes.to_vec(),
    };
    crashes.chunks(MAX_FINDINGS).map(part).collect()
}

/// Takes over what another router has found out.
pub fn receive(gateway: &Gateway, findings: &Findings) {
    let now = gateway.evidence_clock();
    let fresh = |finding: &&CrashFinding| finding.age < RETENTION;
    for finding in findings.crashes.iter().filter(fresh) {
        let at = now.saturating_sub(finding.age);
        let mut suspects = gateway.suspects.lock();
        if suspects.merge(finding.print, finding.evidence, at) {
            let strength = suspects.evidence(finding.print).strength();
            tracing::debug!(
                print = finding.print,
                strength,
                "received evidence of crashes"
            );
        }
    }
}
