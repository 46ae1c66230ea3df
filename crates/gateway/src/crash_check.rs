//! Finds out whether an upstream crashed when connections to it broke.
//!
//! A connection also breaks for reasons of its own. An upstream has crashed if nothing listens on its
//! address any more, though it is listed and not about to leave. The check starts at once: later
//! requests may not reach the upstream before it has been restarted.

use std::sync::Arc;
use std::time::Duration;

use fescue_policy::quarantine::CrashId;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::link::LinkError;
use crate::upstreams::{BrokenRequest, Server};

/// Delay before the second connection attempt: a dying process may still accept the first one.
const RECHECK_DELAY: Duration = Duration::from_millis(200);

/// The time within which two crashes of an upstream that doesn't name its start count as one.
const CRASH_PERIOD: Duration = Duration::from_secs(2);

/// Starts a check of an upstream, after [`Server::record_disconnect`] has returned true.
pub fn spawn(gateway: &Arc<Gateway>, server: &Arc<Server>) {
    let (gateway, server) = (Arc::clone(gateway), Arc::clone(server));
    tokio::spawn(async move {
        let mut refused = is_refused(&server).await;
        if refused == Some(false) {
            sleep(RECHECK_DELAY).await;
            refused = is_refused(&server).await;
        }
        if refused == Some(true) {
            record(&gateway, &server);
        } else {
            let broken = server.take_broken(false).len();
            let upstream = server.entry.id.as_str();
            tracing::info!(
                upstream,
                broken,
                ?refused,
                "connections broke without a crash"
            );
        }
    });
}

/// Clears a request whose answer is complete once its upstream has outlived the beginning of the answer by `rest`. If the
/// upstream crashes before, the request was open there. `closed` tells that the connection ended with the answer, as it does
/// at a crash.
pub fn settle(
    gateway: &Arc<Gateway>,
    server: &Arc<Server>,
    request: BrokenRequest,
    rest: Duration,
    closed: bool,
) {
    let (gateway, server) = (Arc::clone(gateway), Arc::clone(server));
    let number = server.start_settling(request);
    tokio::spawn(async move {
        sleep(rest).await;
        let suspicious = closed || server.has_closed_idle();
        if suspicious && is_refused(&server).await == Some(true) {
            record(&gateway, &server);
        } else if let Some(request) = server.end_settling(number) {
            gateway.record_complete(&request.attempt);
        }
    });
}

/// Returns whether the upstream refuses connections; `None` if it gives no answer.
async fn is_refused(server: &Arc<Server>) -> Option<bool> {
    match server.reconnect().await {
        Ok(link) => {
            server.recycle(link);
            Some(false)
        }
        Err(LinkError::Refused(_)) => Some(true),
        Err(_) => None,
    }
}

/// Records that an upstream refused a connection, as a crash of the requests that were open there.
/// An upstream that is about to leave, or that is no longer listed, ended for another reason.
pub fn record(gateway: &Gateway, server: &Server) {
    let broken = server.take_broken(true);
    // A process that keeps its connections has not ended; it may refuse new ones for a while.
    let ended = !broken.is_empty() || server.has_lost_idle();
    if ended && server.facts.record_ended() {
        let upstream = server.entry.id.as_str();
        tracing::info!(
            upstream,
            started_at = server.entry.started_at,
            "upstream process has ended; its version is unknown until it is listed anew"
        );
        gateway.outbox.push_ended(&server.entry.id);
    }
    let listed = {
        let servers = gateway.servers.lock();
        let current = servers.get(&server.entry.id);
        current.is_some_and(|current| current.is_usable())
    };
    if !listed {
        let upstream = server.entry.id.as_str();
        tracing::info!(
            upstream,
            broken = broken.len(),
            "connections broke as the upstream left"
        );
        return;
    }
    let crash = crash_id(gateway, server);
    for request in &broken {
        gateway.record_crash(&server.entry.id, crash, request);
    }
}

/// Identifies a crash by the process that has ended, or by the time if the entry doesn't tell one process of an
/// upstream from the next.
fn crash_id(gateway: &Gateway, server: &Server) -> CrashId {
    let upstream = server.entry.id.as_str();
    match (server.entry.started_at, gateway.table.clock()) {
        (Some(started), _) => CrashId::new(&format!("{upstream} {started}")),
        (None, clock) => {
            let period = clock.unwrap_or_default().as_secs() / CRASH_PERIOD.as_secs();
            CrashId::new(&format!("{upstream} at {period}"))
        }
    }
}
