//! Watches the configuration and the upstreams published by the platform.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::{Era, SoftwareVersion, UpstreamId};
use rand::Rng;
use tokio::time::{Instant, sleep};

use crate::adapter::{Batch, Entry, Registry, RegistryError, Topic};
use crate::gateway::Gateway;
use crate::{evacuations, startup, versions};

/// Time one call waits for changes; a dead connection is detected shortly after it.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// The same while this router's link is full: the answer waits for the link as well.
const POLL_TIMEOUT_LINK_FULL: Duration = Duration::from_millis(200);

/// Delay after the first failed call.
const BASE_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum delay after failed calls, so that a new version reaches the router well within the time
/// allowed for it.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Time after the store came back from a copy for which its lists may be older than what is known.
const COPY_WINDOW: Duration = Duration::from_secs(30);

/// Watches a topic for as long as the process runs and applies its changes to the gateway.
pub async fn follow(gateway: Arc<Gateway>, registry: Arc<dyn Registry>, topic: Topic) {
    let mut follower = Follower {
        gateway,
        registry,
        topic,
        version: None,
        era: None,
        restored: None,
        failures: 0,
        recovered: false,
    };
    loop {
        follower.step().await;
    }
}

struct Follower {
    gateway: Arc<Gateway>,
    registry: Arc<dyn Registry>,
    topic: Topic,
    /// Last version read; `None` if the topic has to be listed.
    version: Option<u64>,
    /// The era of the last batch; `None` if none was read or the store names none.
    era: Option<Era>,
    /// When the era was last seen to change.
    restored: Option<Instant>,
    failures: u32,
    /// Whether the current batch is the first after failed calls.
    recovered: bool,
}

impl Follower {
    async fn step(&mut self) {
        let started = Instant::now();
        let wait = match self.gateway.link.is_full() {
            true => POLL_TIMEOUT_LINK_FULL,
            false => LONG_POLL_TIMEOUT,
        };
        let read = match self.version {
            None => self.registry.list(self.topic).await,
            Some(after) => self.registry.changes(self.topic, after, wait).await,
        };
        let call = match self.version {
            None => "list",
            Some(_) => "changes",
        };
        self.gateway.metrics.count_store(call, read.is_ok());
        match read {
            Ok(batch) => {
                // The store answers at once, or after the wait if there is nothing new.
                let waited = self.version.is_some() && batch.entries.is_empty();
                let read_at = if waited { started + wait } else { started };
                let followed = self.version.is_some() && self.failures == 0;
                if self.topic == Topic::Upstreams {
                    // Changes are told at once to a call that waits for them.
                    let since = match followed && started.elapsed() <= wait {
                        true => Instant::now(),
                        false => self.gateway.last_sync(),
                    };
                    self.gateway.servers.lock().set_changed_since(Some(since));
                }
                self.apply_batch(batch, read_at.min(Instant::now()));
            }
            Err(RegistryError::Compacted) => {
                tracing::info!(topic = ?self.topic, "change history compacted; listing again");
                self.version = None;
            }
            Err(RegistryError::Unavailable(error)) => self.back_off(&error, started).await,
        }
        self.drop_expired();
        self.review_evacuations();
    }

    fn apply_batch(&mut self, batch: Batch, read_at: Instant) {
        self.recovered = self.failures > 0;
        if self.recovered {
            tracing::info!(topic = ?self.topic, failures = self.failures, "store reachable again");
            self.failures = 0;
        }
        let list = self.version.is_none();
        if self.enter_era(&batch) && !list {
            // The changes leave out what was written between the copy and the version asked from.
            self.version = None;
            return;
        }
        if self.topic == Topic::Configuration {
            // A configuration may lead to upstreams that must get no request.
            let copied = self.may_be_copied(list);
            evacuations::receive_batch(&self.gateway, &batch, list, copied);
        }
        let mut listed = Vec::new();
        for entry in batch.entries {
            if let Some(id) = self.apply(entry, list) {
                listed.push(id);
            }
        }
        if list && self.topic == Topic::Upstreams {
            let grace = self.gateway.tuning().relist;
            self.gateway.servers.lock().mark_missing(&listed, grace);
        }
        self.version = Some(batch.version);
        if self.topic == Topic::Upstreams {
            self.gateway.note_synced(read_at);
            self.gateway.versions.note_followed();
        }
        let count = self.gateway.servers.lock().len();
        self.gateway.metrics.upstreams.set(count as i64);
        self.gateway.changed.notify_waiters();
    }

    /// Takes over the era of a batch; returns whether the store came back from an older copy since the
    /// batch before, as far as can be told.
    fn enter_era(&mut self, batch: &Batch) -> bool {
        let changed = Era::differ(self.era, batch.era);
        let rewound = self.version.is_some_and(|version| batch.version < version);
        self.era = batch.era.or(self.era);
        if (changed || rewound) && self.topic == Topic::Upstreams {
            self.gateway.versions.note_interrupted();
        }
        if changed || rewound {
            let (topic, era) = (self.topic, self.era.map(Era::get));
            tracing::warn!(
                ?topic,
                era,
                "the store came back from an older copy; listing anew"
            );
            self.restored = Some(Instant::now());
        }
        changed || rewound
    }

    /// Returns whether a list may tell less than what is known.
    fn may_be_copied(&self, list: bool) -> bool {
        list && self.restored.is_some_and(|at| at.elapsed() < COPY_WINDOW)
    }

    /// Applies one entry of a `list` or of a feed; returns the ID of the upstream if it lists one.
    fn apply(&self, entry: Entry, list: bool) -> Option<UpstreamId> {
        match entry {
            Entry::Manifest(manifest) => {
                startup::receive(&self.gateway, manifest, self.era);
                None
            }
            Entry::Upstream(upstream) => {
                let id = upstream.id.clone();
                tracing::info!(
                    upstream = id.as_str(),
                    service = upstream.service.as_str(),
                    version = upstream.version.as_ref().map(SoftwareVersion::as_str),
                    draining = upstream.draining,
                    started_at = upstream.started_at,
                    address = %upstream.address,
                    "upstream listed"
                );
                let copied = self.may_be_copied(list);
                if !versions::put(&self.gateway, *upstream, copied) {
                    tracing::info!(
                        upstream = id.as_str(),
                        "entry is older than what is known; ignored"
                    );
                }
                Some(id)
            }
            Entry::Removed(id) => {
                // An upstream removed during an outage of the store may be listed again soon.
                let lapsed = self.recovered;
                self.gateway.versions.forget(&id);
                tracing::info!(upstream = id.as_str(), lapsed, "upstream no longer listed");
                let mut servers = self.gateway.servers.lock();
                if lapsed {
                    servers.mark_removed(&id, self.gateway.tuning().relist);
                } else {
                    servers.withdraw(&id);
                }
                None
            }
            Entry::Evacuated(..) | Entry::EvacuationEnded(..) => None,
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

    async fn back_off(&mut self, error: &str, started: Instant) {
        if self.failures == 0 {
            tracing::warn!(topic = ?self.topic, error, "reading from the store failed; retrying");
        }
        self.failures += 1;
        if self.topic == Topic::Upstreams {
            self.gateway.versions.note_interrupted();
        }
        let delay = BASE_BACKOFF * self.failures.min(4);
        let delay = delay.min(MAX_BACKOFF);
        let jitter = rand::rng().random_range(0.5..1.0);
        let waited = started.elapsed();
        sleep(delay.mul_f64(jitter).saturating_sub(waited / 4)).await;
    }

    /// Drops the upstreams that are not listed again within the grace period after an outage, and takes
    /// back those that had left and have stayed listed since the store came back from a copy.
    fn drop_expired(&mut self) {
        if self.topic != Topic::Upstreams || self.failures > 0 {
            return;
        }
        let (gone, stayed) = {
            let mut servers = self.gateway.servers.lock();
            (servers.drop_missing(), servers.take_stayed())
        };
        for id in stayed {
            let upstream = id.as_str();
            tracing::info!(upstream, "upstream that had left stays listed; used again");
        }
        for id in gone {
            tracing::info!(
                upstream = id.as_str(),
                "upstream was not listed again in time; dropped"
            );
        }
    }

    /// Logs evacuations as they begin, and ends those that a copy of the store lacks while the store answers.
    fn review_evacuations(&self) {
        if self.topic == Topic::Configuration && self.failures == 0 {
            evacuations::expire(&self.gateway);
        }
        evacuations::review(&self.gateway);
    }
}
