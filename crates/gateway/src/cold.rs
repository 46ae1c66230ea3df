//! Upstreams that are cold: they have just started and tolerate few requests.
//!
//! Entries, answers and other routers report how long an upstream stays cold. A cold one gets requests only with
//! permits, see [`crate::permits`]. What a router learns goes to the homes of the upstream at once, and these tell
//! all other routers: the number of datagrams grows with the number of routers and not with its square. See
//! [docs/design/cold-upstreams.md](../../../docs/design/cold-upstreams.md).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{DataCentreId, UpstreamId};
use fescue_policy::warmup::Report;
use indexmap::IndexSet;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::time::{MissedTickBehavior, interval};

use crate::gateway::Gateway;
use crate::model::Upstream;
use crate::peers::Home;
use crate::permits;
use crate::upstreams::Server;

/// Interval of the checks for upstreams that have become warm.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How long an upstream stays cold.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdFinding {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its start time by its own clock; a later start has reports of its own.
    pub started: Option<u64>,
    /// The number of the entry that said so, by which a report that is known is told from a new one; `None` if it
    /// was no numbered entry.
    #[serde(default)]
    pub sequence: Option<u64>,
    /// The time for which the upstream stays cold.
    #[serde(rename = "remaining_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
}

impl ColdFinding {
    fn new(upstream: &UpstreamId, report: Report) -> Self {
        Self {
            upstream: upstream.clone(),
            started: report.started,
            sequence: report.sequence,
            remaining: report.remaining,
        }
    }

    fn report(&self) -> Report {
        Report {
            started: self.started,
            sequence: self.sequence,
            remaining: self.remaining,
        }
    }
}

/// The upstreams that were cold at the last check.
#[derive(Debug, Default)]
pub struct ColdUpstreams(Mutex<IndexSet<UpstreamId>>);

/// Takes over what an entry says of its upstream's warm-up.
pub fn receive_entry(gateway: &Gateway, entry: &Upstream, copied: bool) {
    let now = gateway.now();
    let news = {
        let mut servers = gateway.servers.lock();
        servers.record_warmup(entry, copied, now)
    };
    if news {
        gateway.outbox.push_cold(&entry.id);
    }
}

/// Takes over what an upstream's answer says of its warm-up.
pub fn receive_answer(gateway: &Gateway, server: &Server, remaining: Duration) {
    let report = Report {
        started: server.entry.started_at,
        sequence: None,
        remaining,
    };
    let before = server.cold_rate(gateway.now());
    let news = server.warmth.record(report, gateway.now());
    if news && before.is_none() {
        gateway.outbox.push_cold(&server.entry.id);
    }
    refresh(gateway);
}

/// Takes over what another router says of an upstream's warm-up, and passes it on if this router is a home.
pub fn receive_finding(gateway: &Gateway, finding: &ColdFinding) {
    let now = gateway.now();
    let warmth = gateway.servers.lock().warmth(&finding.upstream, now);
    let report = finding.report();
    let news = warmth.record(report, now);
    if news && report.is_numbered() && is_home(gateway, &finding.upstream) {
        gateway.outbox.push_cold(&finding.upstream);
    }
    if news {
        refresh(gateway);
    }
}

/// Makes all upstreams of a data centre cold for the warm-up time of their services: an evacuation ends, during
/// which they got no requests. Returns their number.
pub fn mark_data_centre(gateway: &Gateway, data_centre: &DataCentreId) -> usize {
    let marked = {
        let servers = gateway.servers.lock();
        servers.mark_cold(data_centre, gateway.now())
    };
    tracing::info!(
        data_centre = data_centre.as_str(),
        upstreams = marked,
        "upstreams of a data centre count as cold"
    );
    refresh(gateway);
    marked
}

/// Returns the finding about an upstream; `None` if there is nothing to tell.
pub fn finding(gateway: &Gateway, upstream: &UpstreamId) -> Option<ColdFinding> {
    let now = gateway.now();
    let warmth = gateway.servers.lock().warmth(upstream, now);
    let report = warmth.report(now)?;
    Some(ColdFinding::new(upstream, report))
}

/// Returns the findings about all cold upstreams that any router may pass on: by their numbers others know whether
/// these are news, so that a report does not go around.
pub fn numbered_findings(gateway: &Gateway) -> Vec<ColdFinding> {
    let now = gateway.now();
    let servers = gateway.servers.lock();
    let finding = |server: &Arc<Server>| {
        let report = server.warmth.report(now)?;
        let report = report.is_numbered().then_some(report)?;
        Some(ColdFinding::new(&server.entry.id, report))
    };
    servers.iter().filter_map(finding).collect()
}

/// Returns the routers that this one tells of a cold upstream.
pub fn listeners(gateway: &Gateway, finding: &ColdFinding) -> Vec<SocketAddr> {
    let mut peers = gateway.peers.lock();
    let homes = peers.homes_of(permits::place(&finding.upstream));
    match homes {
        Some(homes) if finding.report().is_numbered() && !homes.contains(&Home::Own) => {
            let peers = homes.into_iter().filter_map(|home| match home {
                Home::Own => None,
                Home::Peer(peer) => Some(peer),
            });
            peers.collect()
        }
        _ => peers.addresses(),
    }
}

fn is_home(gateway: &Gateway, upstream: &UpstreamId) -> bool {
    let homes = gateway.peers.lock().homes_of(permits::place(upstream));
    homes.is_some_and(|homes| homes.contains(&Home::Own))
}

/// Logs the upstreams that have become cold or warm, and updates the metric.
pub fn refresh(gateway: &Gateway) {
    let now = gateway.now();
    let cold: Vec<_> = {
        let servers = gateway.servers.lock();
        let cold = servers.iter().filter_map(|server| {
            let rate = server.cold_rate(now)?;
            Some((Arc::clone(server), rate))
        });
        cold.collect()
    };
    gateway.metrics.cold_upstreams.set(cold.len() as i64);
    let current: IndexSet<_> = cold.iter().map(|(s, _)| s.entry.id.clone()).collect();
    let before = std::mem::replace(&mut *gateway.cold.0.lock(), current.clone());
    for (server, rate) in cold {
        if !before.contains(&server.entry.id) {
            tracing::info!(
                upstream = server.entry.id.as_str(),
                started_at = server.entry.started_at,
                remaining_ms = server.cold_time(now).map(|left| left.as_millis() as u64),
                ended = server.facts.is_ended(),
                limit = rate.per_second(),
                "upstream is cold"
            );
        }
    }
    for id in before.difference(&current) {
        tracing::info!(upstream = id.as_str(), "upstream is warm again or has left");
    }
}

/// Checks for upstreams that have become warm, for as long as the process runs.
pub async fn run(gateway: Arc<Gateway>) {
    let mut checks = interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        checks.tick().await;
        refresh(&gateway);
    }
}
