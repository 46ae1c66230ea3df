//! Decides whether and where an answer that broke off goes on.
//!
//! What two software versions of an engine write doesn't fit together, so an answer goes on only at the
//! version that began it. See [docs/design/service.md](../../../../../docs/design/service.md).

use fescue_core::{Refusal, SoftwareVersion};

use super::Run;
use crate::dispatch::Permit;
use crate::front::relay::{self, Progress};
use crate::upstream::{Reply, is_declined, software_version};

impl Run {
    /// Takes another attempt from the retry budget; returns whether one was left.
    ///
    /// The first continuation of an answer is free: it replaces work that an upstream no longer does, and all
    /// answers of an upstream may break off at once.
    pub(super) fn spend_retry(&mut self, delivered: u64) -> bool {
        let free = delivered > 0 && !std::mem::replace(&mut self.resumed, true);
        free || self.front.retries.lock().spend()
    }

    /// Returns whether an answer shows that the upstream isn't of the software version that has to go on, and
    /// records its version then, since its report is older.
    pub(super) fn is_other_version(
        &mut self,
        permit: &Permit,
        reply: &Reply,
        progress: &Progress,
    ) -> bool {
        let Some(expected) = progress.resume_version() else {
            return false;
        };
        let named = software_version(reply.headers());
        let is_answer = reply.status().is_success() && relay::is_stream(reply.headers());
        // A refusal need not name a version.
        let is_refusal = is_declined(reply) && named.is_some();
        if named.as_ref() == Some(expected) || !(is_answer || is_refusal) {
            return false;
        }
        let upstream = &permit.upstream.name;
        tracing::warn!(request = %self.caller.request, %upstream, %expected, named = named.as_ref().map(SoftwareVersion::as_str), "the upstream is of another software version; its answer is dropped");
        let mut upstreams = self.front.board.upstreams.lock();
        upstreams.record_version(permit.handle(), named);
        // The answer has not gone on yet.
        self.resumed = false;
        true
    }

    /// Logs why an answer that has begun breaks off without another attempt.
    pub(super) fn log_break_off(&self, progress: &Progress, why: &str) {
        if progress.delivered > 0 {
            tracing::warn!(
                target: "decision",
                request = %self.caller.request,
                delivered = progress.delivered,
                version = progress.version.as_ref().map(SoftwareVersion::as_str),
                why,
                "the answer breaks off"
            );
        }
    }

    /// Returns the refusal of an answer that has begun but whose software version is unknown, so that no
    /// upstream may go on with it.
    pub(super) fn unknown_version(&self, progress: &Progress) -> Option<Refusal> {
        if progress.may_go_on() {
            return None;
        }
        self.log_break_off(progress, "the upstream named no software version");
        Some(super::broken_off(progress.delivered))
    }
}
