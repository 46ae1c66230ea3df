//! Follows what the platform publishes: the configuration and the upstreams.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::UpstreamId;
use rand::Rng;
use tokio::time::{Instant, sleep};

use crate::adapter::{Batch, Entry, Registry, RegistryError, Topic};
use crate::catalog::Catalog;
use crate::gateway::Gateway;

/// How long one call waits for changes; a connection that went silent is noticed soon after.
const WAIT: Duration = Duration::from_secs(1);

/// The first pause after a failed call.
const PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after failed calls, so that a version reaches the router well within the
/// time that is allowed for it.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Follows a topic for as long as the process runs.
pub async fn follow(gateway: Arc<Gateway>, registry: Arc<dyn Registry>, topic: Topic) {
    let mut follower = Follower {
        gateway,
        registry,
        topic,
        version: None,
        failures: 0,
        returned: false,
    };
    loop {
        follower.step().await;
    }
}

struct Follower {
    gateway: Arc<Gateway>,
    registry: Arc<dyn Registry>,
    topic: Topic,
    /// Up to which version changes have been read; `None` where a list is needed.
    version: Option<u64>,
    failures: u32,
    /// Whether this answer is the first after the store had failed.
    returned: bool,
}

impl Follower {
    async fn step(&mut self) {
        let started = Instant::now();
        let read = match self.version {
            None => self.registry.list(self.topic).await,
            Some(after) => self.registry.changes(self.topic, after, WAIT).await,
        };
        let call = match self.version {
            None => "list",
            Some(_) => "changes",
        };
        self.gateway.metrics.count_store(call, read.is_ok());
        match read {
            Ok(batch) => self.take(batch),
            Err(RegistryError::Compacted) => {
                tracing::info!(topic = ?self.topic, "history is gone; listing anew");
                self.version = None;
            }
            Err(RegistryError::Unavailable(error)) => self.pause(&error, started).await,
        }
        self.expire();
    }

    fn take(&mut self, batch: Batch) {
        self.returned = self.failures > 0;
        if self.returned {
            tracing::info!(topic = ?self.topic, failures = self.failures, "store answers again");
            self.failures = 0;
        }
        let list = self.version.is_none();
        let mut listed = Vec::new();
        for entry in batch.entries {
            if let Some(id) = self.apply(entry) {
                listed.push(id);
            }
        }
        if list && self.topic == Topic::Upstreams {
            let grace = self.gateway.tuning().relist;
            self.gateway.servers.lock().mark_missing(&listed, grace);
        }
        self.version = Some(batch.version);
        if self.topic == Topic::Upstreams {
            self.gateway.note_synced();
        }
        let count = self.gateway.servers.lock().len();
        self.gateway.metrics.upstreams.set(count as i64);
        self.gateway.changed.notify_waiters();
    }

    /// Takes over one entry; returns the upstream that it lists.
    fn apply(&self, entry: Entry) -> Option<UpstreamId> {
        match entry {
            Entry::Manifest(manifest) => {
                let (version, routes) = (manifest.version, manifest.routes.len());
                let new = self.gateway.set_catalog(Catalog::open(*manifest));
                tracing::info!(version, routes, new, "configuration read");
                if new {
                    self.gateway.metrics.manifest_version.set(version as i64);
                    self.gateway.budget_wake.notify_one();
                }
                None
            }
            Entry::Upstream(upstream) => {
                let id = upstream.id.clone();
                tracing::info!(
                    upstream = id.as_str(),
                    service = upstream.service.as_str(),
                    draining = upstream.draining,
                    address = %upstream.address,
                    "upstream listed"
                );
                self.gateway.servers.lock().put(*upstream);
                Some(id)
            }
            Entry::Removed(id) => {
                // What was removed while the store was away may be listed again soon.
                let lapsed = self.returned;
                tracing::info!(upstream = id.as_str(), lapsed, "upstream no longer listed");
                let mut servers = self.gateway.servers.lock();
                if lapsed {
                    servers.mark_removed(&id, self.gateway.tuning().relist);
                } else {
                    servers.remove(&id);
                }
                None
            }
            Entry::Unreadable { name, reason } => {
                tracing::warn!(topic = ?self.topic, entry = name, reason, "entry can't be read");
                if self.topic == Topic::Upstreams
                    && let Ok(id) = name.parse()
                {
                    self.gateway.servers.lock().remove(&id);
                }
                None
            }
        }
    }

    async fn pause(&mut self, error: &str, started: Instant) {
        if self.failures == 0 {
            tracing::warn!(topic = ?self.topic, error, "store can't be read");
        }
        self.failures += 1;
        let pause = PAUSE * self.failures.min(4);
        let pause = pause.min(LONGEST_PAUSE);
        let jitter = rand::rng().random_range(0.5..1.0);
        let waited = started.elapsed();
        sleep(pause.mul_f64(jitter).saturating_sub(waited / 4)).await;
    }

    /// Drops the upstreams that are still missing some time after the store's return.
    fn expire(&mut self) {
        if self.topic != Topic::Upstreams || self.failures > 0 {
            return;
        }
        let gone = self.gateway.servers.lock().drop_missing();
        for id in gone {
            tracing::info!(
                upstream = id.as_str(),
                "upstream is still missing; it is gone"
            );
        }
    }
}
