//! How long streams may go on at upstreams that leave.
//!
//! An upstream serves for some time after it has said that it drains, or after its entry was removed. See
//! [docs/design/versions.md](../../../../docs/design/versions.md#upstreams-that-leave).

use std::sync::Arc;
use std::time::Duration;

use fescue_core::UpstreamId;
use indexmap::IndexMap;
use tokio::time::Instant;

use super::Server;
use crate::model::Upstream;

/// The upstreams that leave, and since when.
#[derive(Debug, Default)]
pub(super) struct Draining {
    /// The time for which streams go on at an upstream after it began to leave.
    pub time: Duration,
    /// The earliest time at which the changes that are being applied can have been made; `None` if that isn't known.
    pub changed_since: Option<Instant>,
    /// The upstreams that are no longer listed.
    left: IndexMap<UpstreamId, Arc<Server>>,
}

impl Draining {
    /// Creates an empty list.
    pub fn open(time: Duration) -> Self {
        Self {
            time,
            ..Self::default()
        }
    }

    /// Records since when an upstream drains; `known` is its entry before, if it is of the same process.
    ///
    /// Where the router didn't follow the beginning, the time may be over: it has started since, say.
    pub fn record(&self, server: &Server, known: Option<&Upstream>) {
        let begins = known.is_some_and(|known| !known.draining);
        match self.changed_since.filter(|_| begins) {
            Some(since) => server.facts.record_drain_end(since + self.time),
            None if begins || server.facts.drain_end().is_none() => {
                server.facts.record_drain_end(Instant::now());
            }
            None => {}
        }
    }

    /// Takes over an upstream whose entry was removed.
    pub fn insert(&mut self, server: &Server) {
        self.record(server, Some(&server.entry));
        self.left
            .insert(server.entry.id.clone(), Arc::new(server.as_draining()));
    }

    /// Forgets an upstream that is listed again.
    pub fn forget(&mut self, id: &UpstreamId) {
        self.left.swap_remove(id);
    }

    /// Drops the upstreams at which no stream may go on any more.
    pub fn drop_ended(&mut self) {
        let now = Instant::now();
        let goes_on = |server: &Arc<Server>| server.facts.drain_end().is_some_and(|end| now < end);
        self.left.retain(|_, server| goes_on(server));
    }

    /// Iterates over the upstreams that are no longer listed.
    pub fn left(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.left.values()
    }
}
