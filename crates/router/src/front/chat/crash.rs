//! Evidence against a request whose upstream went down while running it.

use std::sync::Arc;
use std::time::Duration;

use fescue_policy::quarantine::{Attempt, CrashId, SETTLE_TIME};
use fescue_policy::retry::Failure;

use super::Run;
use crate::dispatch::Permit;
use crate::front::Front;
use crate::upstream::Handle;

impl Run {
    /// Counts a crash against the request if the upstream went down while it ran, and against the parts
    /// of its prompt unless the answer had settled.
    ///
    /// An upstream that was already down when the request was placed is no evidence against it.
    pub(super) async fn record_crash(
        &self,
        upstream: &Handle,
        (failure, started): (Failure, Duration),
        sent: &Attempt,
    ) {
        if !matches!(failure, Failure::Broke | Failure::MidAnswer) {
            return;
        }
        let settled = self.answer.is_settled(self.front.board.now());
        if let Some(crash) = find_crash(&self.front, upstream, started).await {
            let request = self.caller.request.to_string();
            blame(&self.front, &request, upstream, (crash, settled), sent);
        }
    }

    /// Clears a request whose answer is complete, once its upstream has outlived the beginning of the answer.
    pub(super) fn settle(&self, permit: &Permit, sent: Attempt) {
        let board = &self.front.board;
        let rest = self.answer.settles_in(board.now()).unwrap_or(SETTLE_TIME);
        if rest.is_zero() || !sent.has_parts() {
            board.suspects.lock().record_complete(&sent, board.now());
            return;
        }
        let (front, request) = (Arc::clone(&self.front), self.caller.request.to_string());
        let (upstream, started) = (permit.handle().clone(), permit.started());
        tokio::spawn(async move {
            tokio::time::sleep(rest).await;
            if let Some(crash) = find_crash(&front, &upstream, started).await {
                blame(&front, &request, &upstream, (crash, false), &sent);
                return;
            }
            let board = &front.board;
            let changed = board.suspects.lock().record_complete(&sent, board.now());
            if !changed.is_empty() {
                front.membership_wake.notify_one();
            }
        });
    }
}

/// Returns the crash of an upstream that has gone down since a request was `started` there; `None` if it answers, or
/// was down before.
async fn find_crash(front: &Front, upstream: &Handle, started: Duration) -> Option<CrashId> {
    let board = &front.board;
    let address = upstream.rule.address;
    if front.client.get(address, "/v1/load").await.is_some() {
        return None;
    }
    let since = board
        .upstreams
        .lock()
        .record_missed_report(upstream, board.now());
    let (_, incarnation) = since.filter(|(since, _)| started <= *since)?;
    Some(CrashId::new(&format!(
        "{} {incarnation}",
        upstream.rule.name
    )))
}

/// Counts a crash against a request that was open at it.
fn blame(
    front: &Front,
    request: &str,
    upstream: &Handle,
    (crash, settled): (CrashId, bool),
    sent: &Attempt,
) {
    let board = &front.board;
    let crashes: Vec<_> = {
        let mut suspects = board.suspects.lock();
        let now = board.now();
        let changed = suspects.record_crash(sent, crash, settled, now).into_iter();
        let strength = |print| (print, suspects.evidence(print).strength());
        changed.map(strength).collect()
    };
    tracing::warn!(request, upstream = %upstream.rule.name, ?crashes, settled, "upstream went down while running the request; counted as a crash");
    front.membership_wake.notify_one();
}
