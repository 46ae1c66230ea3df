//! Streams that have begun, which go on only at upstreams like the one that began them.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::outcome::Reason;
use fescue_core::{Refusal, SoftwareVersion};
use tokio::time::Instant;

use super::Job;
use crate::model::Upstream;
use crate::origins::{self, Continuation, Intent, Origin, StreamKey};
use crate::upstreams::Server;

/// `Retry-After` when all upstreams of a version are unusable: one that has crashed may be back by then.
const RETRY_AFTER_VERSION: Duration = Duration::from_secs(1);

impl Job {
    /// Returns the key under which the origin of this request's stream is kept, which names the attempt that
    /// began it.
    pub fn stream_key(&self) -> StreamKey {
        let resumed = self
            .call
            .last_event
            .as_ref()
            .and(self.call.resumes.as_ref());
        let attempt = resumed.unwrap_or(&self.call.id);
        StreamKey::new(self.team.as_ref(), &self.call.model, attempt)
    }

    /// Announces at which version the stream of a new request is going to begin, if that can't be inferred later.
    pub(super) fn announce_origin(&mut self, server: &Server) {
        let needed = self.route.resumable
            && !self.call.id.is_empty()
            && self.continuation == Continuation::Fresh
            && self.gateway.versions.is_mixed(&self.service.name);
        if needed || self.intent.is_some() {
            let intent = self.next_intent(server.version());
            origins::announce(&self.gateway, &intent);
            self.intent = Some(intent);
        }
    }

    /// Builds the intent to begin at a version, which holds before those of earlier attempts.
    fn next_intent(&self, version: Option<&SoftwareVersion>) -> Intent {
        let turn = match &self.intent {
            None => 1,
            Some(before) if before.version.as_ref() == version => before.turn,
            Some(before) => before.turn + 1,
        };
        Intent {
            key: self.stream_key(),
            service: self.service.name.clone(),
            version: version.cloned(),
            turn,
            lifetime: origins::lifetime(self.resumable_until()),
        }
    }

    /// Stores the origin of a new stream if an intent of an earlier attempt names another version; returns false if
    /// that fails, so that the stream must not begin.
    pub async fn secure_origin(&mut self, server: &Server) -> bool {
        if self.continuation != Continuation::Fresh || self.intent.is_none() {
            return true;
        }
        let intent = self.next_intent(self.confirmed_version(server).as_ref());
        let stored = intent.turn == 1 || origins::store_intent(&self.gateway, &intent).await;
        self.intent = Some(intent);
        stored
    }

    /// Records which upstream brought the first event of a new stream, before the event is forwarded. The
    /// origin of one that is taken up is recorded here too: its caller may take it up again.
    pub fn record_origin(&mut self, server: &Server, weights: Option<u64>) {
        match &self.continuation {
            Continuation::Fresh => {}
            Continuation::Unknown => return,
            Continuation::Of(origin) => {
                let key = self.stream_key();
                return origins::record(&self.gateway, key, origin, self.resumable_until());
            }
        }
        let Some(version) = self.confirmed_version(server) else {
            self.continuation = Continuation::Unknown;
            let until = self.resumable_until();
            // Nobody must conclude from what the service has had what this stream is.
            origins::record_unknown(&self.gateway, self.stream_key(), until);
            return;
        };
        let origin = Origin {
            service: self.service.name.clone(),
            version,
            weights,
        };
        if self.route.resumable && !self.call.id.is_empty() {
            origins::record(
                &self.gateway,
                self.stream_key(),
                &origin,
                self.resumable_until(),
            );
        }
        self.continuation = Continuation::Of(origin);
    }

    /// Returns the version of the process that sent an answer; `None` if it isn't known, or if the entry has
    /// changed since the request was placed: then the answer may come from a successor.
    fn confirmed_version(&self, server: &Server) -> Option<SoftwareVersion> {
        let placed = &server.entry;
        let servers = self.gateway.servers.lock();
        let current = servers.get(&placed.id).map(|current| &current.entry);
        let same =
            |entry: &Upstream| entry.is_same_process(placed) && entry.version == placed.version;
        let confirmed = current.is_none_or(same);
        server.version().filter(|_| confirmed).cloned()
    }

    /// Returns whether a process may go on with the stream, as far as its entry tells now.
    pub fn may_come_from(&self, server: &Server) -> bool {
        let origin = self.continuation.origin();
        origin.is_none_or(|origin| self.confirmed_version(server).as_ref() == Some(&origin.version))
    }

    /// Returns whether an answer comes from other weights than those that began the stream.
    pub fn has_other_weights(&self, weights: Option<u64>) -> bool {
        let began = self.continuation.origin().and_then(|origin| origin.weights);
        weights.is_some() && began.is_some() && weights != began
    }

    /// Returns whether a stream that has begun can go on at any upstream but those tried. A new request can
    /// always wait for one.
    pub fn can_continue(&self) -> bool {
        match &self.continuation {
            Continuation::Fresh => true,
            Continuation::Unknown => false,
            Continuation::Of(_) => {
                let servers = self.gateway.servers.lock();
                servers.can_serve(&self.requirements(&[]))
            }
        }
    }

    /// Builds the refusal of a request that was not run, as its stream can't go on anywhere.
    pub(super) fn refuse_continuation(&self) -> Refusal {
        let message = "no upstream of the version that began the stream is left";
        let refusal = Refusal::not_run(Reason::NoUpstream, message);
        let servers = self.gateway.servers.lock();
        let origin = self.continuation.origin();
        if let Some(origin) = origin {
            let of_version = |server: &&Arc<Server>| {
                let entry = &server.entry;
                entry.service == origin.service && entry.version.as_ref() == Some(&origin.version)
            };
            let listed: Vec<_> = servers.iter().filter(of_version).collect();
            let leaving = listed.iter().filter(|server| server.is_leaving()).count();
            tracing::info!(
                request = self.call.id,
                version = origin.version.as_str(),
                listed = listed.len(),
                leaving,
                tried = self.tried.len(),
                "stream can't go on at any upstream of its version"
            );
        }
        match origin.is_some_and(|origin| servers.lists_version(origin)) {
            true => refusal.with_retry_after(RETRY_AFTER_VERSION),
            false => refusal,
        }
    }

    /// Returns until when the caller may take the stream up in later attempts.
    fn resumable_until(&self) -> Instant {
        let deadline = self.call.deadline.unwrap_or(Duration::ZERO);
        // A caller may name any deadline, also one that no clock reaches.
        self.arrival + deadline.max(self.route.timeout).min(origins::MAX_LIFETIME)
    }
}
