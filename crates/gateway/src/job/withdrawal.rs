//! Upstreams that may get no requests: they said so in their answers, or their data centre is evacuated.

use fescue_core::Refusal;
use fescue_core::outcome::Reason;
use tokio::time::Instant;

use super::Job;
use crate::adapter::ResponseMeta;
use crate::cold;
use crate::upstreams::{Block, Server};

impl Job {
    /// Returns whether the upstream takes no requests since this one was placed there.
    pub(super) fn is_withdrawn(&self, server: &Server) -> bool {
        let data_centre = &server.entry.data_centre;
        if self.gateway.evacuations.contains(data_centre) {
            tracing::info!(
                request = self.call.id,
                upstream = %server.entry.id,
                %data_centre,
                "data centre is evacuated since the request was placed there; not sent"
            );
            return true;
        }
        // What is sent through a full link may arrive after the drain time.
        if server.facts.drain_end().is_some() && self.gateway.link.is_full() {
            tracing::info!(
                request = self.call.id,
                upstream = %server.entry.id,
                "own link is full; nothing is sent to an upstream that leaves"
            );
            return true;
        }
        let continues = self.continuation.origin().is_some();
        let Some(hindrance) = server.facts.withdrawal(continues) else {
            return false;
        };
        tracing::info!(
            request = self.call.id,
            upstream = %server.entry.id,
            reason = ?hindrance.reason,
            source = hindrance.source,
            "upstream takes no requests since this one was placed; not sent"
        );
        true
    }

    /// Records what an answer said of whether its upstream takes requests. That of another process at the
    /// same address says nothing of it.
    pub(super) fn record_withdrawal(&self, server: &Server, meta: &ResponseMeta, sent: Instant) {
        if meta.misdirected {
            return;
        }
        let (request, upstream) = (self.call.id.as_str(), server.entry.id.as_str());
        if meta.leaving && server.facts.record_leaving(request) {
            let time = self.gateway.settings.continuation_time();
            server.facts.record_drain_end(Instant::now() + time);
            tracing::info!(
                request,
                upstream,
                "upstream says that it is leaving; only streams that have begun go on there"
            );
        }
        if let Some(remaining) = meta.warmup {
            cold::receive_answer(&self.gateway, server, remaining);
        }
        if let Some(pause) = meta.pause
            && server.facts.record_pause(request, pause, sent)
        {
            let ms = pause.as_millis() as u64;
            tracing::info!(
                request,
                upstream,
                ms,
                "upstream asks for a pause; it gets no requests until its end"
            );
        }
    }

    /// Returns whether evacuations or the allowed regions leave no upstream of the service.
    pub(super) fn is_excluded(&self) -> bool {
        let servers = self.gateway.servers.lock();
        servers.is_excluded(&self.service.name, self.allowed.as_ref())
    }

    /// Returns how long all upstreams of the service are blocked.
    pub(super) fn all_blocked(&self) -> Option<Block> {
        let servers = self.gateway.servers.lock();
        servers.all_blocked(&self.service.name, self.gateway.now())
    }
}

/// Builds the refusal for a request that no upstream may get before a block ends.
pub(super) fn refuse_blocked(block: Block) -> Refusal {
    let (reason, message) = match block.pausing {
        true => (
            Reason::NoUpstream,
            "the upstreams that are left asked for a pause",
        ),
        false => (
            Reason::Overload,
            "the upstreams that are left name limits, which are used up",
        ),
    };
    Refusal::not_run(reason, message).with_retry_after(block.wait)
}
