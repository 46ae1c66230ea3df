//! Which software version each service has had, as the store keeps it.
//!
//! The origin of a stream is lost if all routers that know it end before one of them can write it. It can still be
//! told if its service has had one version only for longer than the stream can be old. So the store has a row a
//! service that says since when that is so, and one that says which routes have lately led elsewhere. They change
//! when a version comes or goes, or with the configuration, not with streams. A router uses an upstream of
//! another version only once the service's row says so. See
//! [docs/design/versions.md](../../../docs/design/versions.md#services-of-one-version).

mod admission;
mod controller;
mod inference;

use std::time::Duration;

use fescue_core::{Era, ServiceId, SoftwareVersion, UpstreamId, record};
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::model::{Manifest, Upstream};
use admission::Listed;
pub use admission::put;
pub use controller::run;
pub use inference::{Inferred, Present, Rows, infer};

/// Key of a service's row.
fn service_key(service: &ServiceId) -> String {
    format!("versions/service.{service}")
}

/// Key of the row of the configuration.
const MANIFEST_KEY: &str = "versions/manifest";

record! {
    /// The version of a service's upstreams.
    pub struct ServiceRow {
        /// The only version; `None` if there are several, or one that can't be read.
        pub version: Option<SoftwareVersion>,
        /// Since when no stream has begun at another one, on the store's clock.
        pub since_ms: u64,
        /// The era in which the row was written; in a later one it may come from a copy.
        pub era: Option<Era>,
    }

    /// The configuration that is in force.
    pub struct ManifestRow {
        /// Its version.
        pub version: u64,
        /// Since when the changes of routes are known, on the store's clock.
        pub since_ms: u64,
        /// Routes that led to other services until some time ago.
        pub moved: Vec<Moved>,
        /// See [`ServiceRow::era`].
        pub era: Option<Era>,
    }

    /// A route that was added, removed or led elsewhere.
    pub struct Moved {
        /// Its host.
        pub host: String,
        /// Its prefix.
        pub prefix: String,
        /// When that was noticed, on the store's clock.
        pub at_ms: u64,
    }
}

/// An entry that isn't used until its service's row allows that.
#[derive(Clone, Debug)]
struct Held {
    entry: Upstream,
    /// Whether it may come from an older copy of the store.
    copied: bool,
}

#[derive(Debug, Default)]
struct State {
    /// Whether the controller runs; without it no entry is held.
    running: bool,
    held: IndexMap<UpstreamId, Held>,
    /// The versions that services use although their rows may say otherwise.
    unverified: IndexMap<ServiceId, Listed>,
    /// When each service was last known to have several versions.
    mixed: IndexMap<ServiceId, Instant>,
    /// Since when the list of upstreams has been followed without a failure, and when it was last current.
    followed: Option<(Instant, Instant)>,
}

/// Time after which all upstreams that live are listed as they are, once the list is followed again: the platform's
/// time for entries that lapsed, and a margin for those that have started anew.
const SETTLE_TIME: Duration = Duration::from_millis(2500);

/// The greatest age of a list that counts as current: longer than a call that waits for changes.
const MAX_LIST_AGE: Duration = Duration::from_secs(2);

/// Time for which a service counts as one of several versions after it had them: until its row says that there is one,
/// and that has held for longer than a stream can be old.
const MIXED_RETENTION: Duration = Duration::from_secs(40);

/// What this router knows of the versions of services.
#[derive(Debug, Default)]
pub struct Versions {
    state: Mutex<State>,
    /// Wakes the controller when an entry is held.
    wake: Notify,
    reads: inference::Reads,
}

impl Versions {
    /// Records that the list of upstreams is current.
    pub fn note_followed(&self) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let followed = state
            .followed
            .filter(|(_, last)| last.elapsed() < MAX_LIST_AGE);
        state.followed = Some((followed.map_or(now, |(since, _)| since), now));
    }

    /// Returns whether the list of upstreams has been current for long enough that it is complete.
    fn is_list_complete(&self) -> bool {
        let followed = self.state.lock().followed;
        followed.is_some_and(|(since, last)| {
            since.elapsed() >= SETTLE_TIME && last.elapsed() < MAX_LIST_AGE
        })
    }

    /// Records that a service has several versions.
    fn note_mixed(&self, service: &ServiceId) {
        let mixed = &mut self.state.lock().mixed;
        mixed.insert(service.clone(), Instant::now());
    }

    /// Returns whether a service has had several versions lately, as far as this router knows, so that the version of
    /// a stream that it begins now may not be inferred later.
    pub fn is_mixed(&self, service: &ServiceId) -> bool {
        let state = self.state.lock();
        let noted = state.mixed.get(service);
        noted.is_some_and(|at| at.elapsed() < MIXED_RETENTION)
    }

    /// Records that the list of upstreams may be out of date.
    pub fn note_interrupted(&self) {
        self.state.lock().followed = None;
    }
}

/// Returns the services that streams which can be resumed may come from.
fn resumable_services(manifest: &Manifest) -> IndexMap<ServiceId, ()> {
    let routes = manifest.routes.iter().filter(|route| route.resumable);
    let services = routes.flat_map(|route| route.split.iter().map(|(name, _)| name.clone()));
    services.map(|name| (name, ())).collect()
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
