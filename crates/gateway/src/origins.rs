//! Remembers which upstream version began each stream, so that it goes on only there.
//!
//! Several versions of an upstream's software may serve side by side, and what two of them write doesn't
//! fit together. A caller whose stream broke off names the attempt that brought its first event, at any
//! router. Each router keeps the origins of its own streams, tells one or two others at once (`lookup`),
//! and writes those that still run to the store (`rows`). While a service has several versions, what a stream is
//! going to begin at is stored before (`intents`). A stream of unknown origin is never resumed.
//! See [docs/design/versions.md](../../../docs/design/versions.md).

mod intents;
mod lookup;
mod rows;

use std::time::Duration;

use fescue_core::{ServiceId, SoftwareVersion, TeamId, hash, record};
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::gateway::Gateway;
pub use intents::{
    Intent, announce, receive as receive_intent, run as run_intents, store as store_intent,
};
pub use lookup::{Answer, BegunStream, Inquiry, Missing, answer, find, receive, take_over};
pub use rows::run;

/// The largest number of streams whose origins are kept.
const MAX_STREAMS: usize = 1 << 18;

/// The time beyond the caller's deadline for which an origin is kept.
const EXPIRY_MARGIN: Duration = Duration::from_secs(1);

/// The longest time for which an origin is kept.
pub const MAX_LIFETIME: Duration = Duration::from_secs(300);

/// Identifies a stream: the hash of its team, its model and the attempt that brought its first event. A team
/// can't name the streams of another one, and no stream goes on with another model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of the stream of `model` that an attempt of a team began.
    pub fn new(team: Option<&TeamId>, model: &str, attempt: &str) -> Self {
        let team = team.map_or("", TeamId::as_str);
        let model = hash::digest64(model.as_bytes());
        Self(hash::digest64(
            format!("{team} {model} {attempt}").as_bytes(),
        ))
    }
}

record! {
    /// What the upstream was that began a stream.
    pub struct Origin {
        /// Its service.
        pub service: ServiceId,
        /// The version of its software.
        pub version: SoftwareVersion,
        /// The version of its model's weights; `None` if it named none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub weights: Option<u64>,
    }
}

/// The upstreams that may run a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Continuation {
    /// The caller has no events yet: all of the service.
    #[default]
    Fresh,
    /// The caller has events: those that are like the upstream that began.
    Of(Origin),
    /// The caller has events of an upstream that names no version: none.
    Unknown,
}

impl Continuation {
    /// Returns what the upstream must be like; `None` if any, or none, may run the request.
    pub fn origin(&self) -> Option<&Origin> {
        match self {
            Self::Of(origin) => Some(origin),
            Self::Fresh | Self::Unknown => None,
        }
    }
}

/// What is known of one stream.
#[derive(Debug)]
struct Known {
    /// `None` if two streams of different origins claim the same key.
    origin: Option<Origin>,
    expiry: Instant,
    /// Whether this router relays the stream and has not relayed its end.
    open: bool,
    /// When it was recorded.
    recorded: Instant,
}

/// A stream that this router relays.
struct OpenStream {
    key: StreamKey,
    origin: Origin,
    /// The time for which it can be resumed.
    left: Duration,
    /// When its origin was recorded.
    recorded: Instant,
}

/// The origins that this router knows.
#[derive(Debug, Default)]
pub struct Origins {
    known: Mutex<IndexMap<StreamKey, Known>>,
    /// Notified when a stream begins here.
    begun: Notify,
    inquiries: lookup::Inquiries,
    scans: rows::Scans,
    intents: intents::Intents,
}

impl Origins {
    /// Records the origin of a stream that can be resumed for `lifetime`; `open` tells whether this router
    /// relays it.
    fn record(&self, key: StreamKey, origin: Origin, lifetime: Duration, open: bool) {
        let expiry = Instant::now() + lifetime.min(MAX_LIFETIME);
        let mut known = self.known.lock();
        if let Some(entry) = known.get_mut(&key) {
            if entry.origin.as_ref() != Some(&origin) {
                tracing::warn!(stream = key.0, ?origin, before = ?entry.origin, "two streams claim one attempt; neither can be resumed");
                entry.origin = None;
            }
            entry.expiry = entry.expiry.max(expiry);
            if open && !entry.open {
                (entry.open, entry.recorded) = (true, Instant::now());
            }
            return;
        }
        if known.len() >= MAX_STREAMS {
            evict(&mut known);
        }
        let origin = Some(origin);
        known.insert(
            key,
            Known {
                origin,
                expiry,
                open,
                recorded: Instant::now(),
            },
        );
    }

    fn record_unknown(&self, key: StreamKey, lifetime: Duration) {
        let expiry = Instant::now() + lifetime.min(MAX_LIFETIME);
        let mut known = self.known.lock();
        if known.len() >= MAX_STREAMS {
            evict(&mut known);
        }
        let unknown = Known {
            origin: None,
            expiry,
            open: false,
            recorded: Instant::now(),
        };
        known.insert(key, unknown);
    }

    /// Returns the origin of a stream; `Some(None)` if it is ambiguous, `None` if it is not known here.
    fn get(&self, key: StreamKey) -> Option<Option<Origin>> {
        let known = self.known.lock();
        let entry = known.get(&key)?;
        (Instant::now() < entry.expiry).then(|| entry.origin.clone())
    }

    /// Records that the end of a stream was relayed, so that few callers will resume it.
    pub fn close(&self, key: StreamKey) {
        if let Some(entry) = self.known.lock().get_mut(&key) {
            entry.open = false;
        }
    }

    /// Drops the origins of streams that nobody resumes any more.
    fn drop_expired(&self) {
        let now = Instant::now();
        self.known.lock().retain(|_, entry| now < entry.expiry);
    }

    /// Returns the streams that this router relays.
    fn open(&self) -> Vec<OpenStream> {
        let now = Instant::now();
        let known = self.known.lock();
        let open = known.iter().filter(|(_, entry)| entry.open);
        let open = open.filter_map(|(key, entry)| {
            Some(OpenStream {
                key: *key,
                origin: entry.origin.clone()?,
                left: entry.expiry.saturating_duration_since(now),
                recorded: entry.recorded,
            })
        });
        open.collect()
    }
}

/// Drops the oldest half of what other routers told; the streams that this router relays stay.
fn evict(known: &mut IndexMap<StreamKey, Known>) {
    let streams = known.len();
    tracing::warn!(
        streams,
        "too many streams; dropping the origins of the oldest"
    );
    let mut place = 0;
    known.retain(|_, entry| {
        place += 1;
        entry.open || place > MAX_STREAMS / 2
    });
}

/// Returns the time for which the origin of a stream is kept whose caller may resume it until `deadline`.
pub fn lifetime(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now()) + EXPIRY_MARGIN
}

/// Records that it isn't known which version began a stream, so that it isn't resumed.
pub fn record_unknown(gateway: &Gateway, key: StreamKey, deadline: Instant) {
    gateway.origins.record_unknown(key, lifetime(deadline));
}

/// Records the origin of a stream whose first event has arrived, and tells other routers. The caller may
/// resume it until `deadline`.
pub fn record(gateway: &Gateway, key: StreamKey, origin: &Origin, deadline: Instant) {
    let lifetime = lifetime(deadline);
    gateway.origins.record(key, origin.clone(), lifetime, true);
    gateway.origins.begun.notify_one();
    lookup::tell(gateway, key, origin, lifetime);
}
