//! The traits through which an adapter connects the gateway to its platform.

use std::time::Duration;

use async_trait::async_trait;
use fescue_core::{DataCentreId, Era, TeamId, UpstreamId};
use fescue_policy::rate_limit::RequestRate;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::model::{Call, Manifest, Upstream};

/// A kind of entry that the platform publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// Versions of the configuration, and evacuations of data centres.
    Configuration,
    /// The running upstreams.
    Upstreams,
}

/// One published entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// A version of the configuration.
    Manifest(Box<Manifest>),
    /// An upstream that is available or draining.
    Upstream(Box<Upstream>),
    /// An upstream that is no longer listed.
    Removed(UpstreamId),
    /// A data centre whose upstreams get no requests, since a version of the store.
    Evacuated(DataCentreId, u64),
    /// A data centre whose evacuation ended with a version of the store.
    EvacuationEnded(DataCentreId, u64),
    /// An entry that can't be decoded; its name and the reason are logged.
    Unreadable {
        /// The name under which the entry is stored.
        name: String,
        /// The decoding error.
        reason: String,
    },
}

/// Entries as of one version of the platform's store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// The store's version; pass it to [`Registry::changes`] to read what follows.
    pub version: u64,
    /// The era of the store in which the entries were read; `None` if it names none. A version of
    /// another era can't be continued from: the topic must be listed anew.
    pub era: Option<Era>,
    /// The entries in the store's order.
    pub entries: Vec<Entry>,
}

/// The reason why a topic couldn't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegistryError {
    /// The changes asked for are no longer kept; the topic must be listed anew.
    #[error("the history is no longer kept")]
    Compacted,
    /// The store gave no usable answer.
    #[error("the store can't be read: {0}")]
    Unavailable(String),
}

/// The source of the platform's configuration and upstreams.
#[async_trait]
pub trait Registry: Send + Sync {
    /// Reads all entries of a topic.
    ///
    /// # Errors
    ///
    /// [`RegistryError::Unavailable`] when the store gives no usable answer in time.
    async fn list(&self, topic: Topic) -> Result<Batch, RegistryError>;

    /// Waits up to `wait` for changes after a version.
    ///
    /// # Errors
    ///
    /// [`RegistryError::Compacted`] when the topic must be listed anew.
    async fn changes(
        &self,
        topic: Topic,
        after: u64,
        wait: Duration,
    ) -> Result<Batch, RegistryError>;
}

/// A request header that can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("header {field}: {reason}")]
pub struct MalformedHeader {
    /// The name of the header.
    pub field: &'static str,
    /// The decoding error, which the caller is told.
    pub reason: String,
}

/// The values from which the gateway's own headers of a forwarded request are built.
#[derive(Clone, Copy, Debug)]
pub struct ForwardContext<'a> {
    /// The upstream that the request is addressed to; any other must decline it.
    pub upstream: &'a UpstreamId,
    /// The caller's team.
    pub team: Option<&'a TeamId>,
    /// The time left until the request's deadline.
    pub left: Option<Duration>,
    /// The request's rank; zero is the most urgent.
    pub rank: u8,
    /// Whether the service runs model engines.
    pub engine: bool,
    /// The id of the last relayed event when a stream is resumed.
    pub last_event: Option<&'a str>,
    /// The version of the weights with which a resumed stream began; an upstream with others must decline
    /// the request. `None` if it isn't known.
    pub weights: Option<u64>,
}

/// What an upstream states in the headers of its response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMeta {
    /// Whether the upstream states that it did not run the request.
    pub declined: bool,
    /// Whether the request reached an upstream that it was not addressed to.
    pub misdirected: bool,
    /// The id of the request that the response belongs to; `None` if not stated.
    pub id: Option<String>,
    /// The version of the model's weights at the start of the response; `None` if not stated.
    pub weights: Option<u64>,
    /// Whether the response carries the upstream's signature.
    pub signed: bool,
    /// The rate of requests that the upstream takes from all routers together; `None` if not stated.
    pub limit: Option<RequestRate>,
    /// Whether the upstream states that it is shutting down.
    pub leaving: bool,
    /// The time for which an upstream that rejects the request wants no other one; `None` if not stated.
    pub pause: Option<Duration>,
    /// The time for which the upstream stays cold; `None` if not stated.
    pub warmup: Option<Duration>,
}

/// Parses the rate of requests that an upstream names in a header. A malformed one is logged and left out.
pub fn parse_limit(value: &HeaderValue) -> Option<RequestRate> {
    let text = String::from_utf8_lossy(value.as_bytes());
    match text.parse() {
        Ok(rate) => Some(rate),
        Err(error) => {
            tracing::warn!(%error, "malformed limit of an upstream; ignored");
            None
        }
    }
}

/// The longest pause that an upstream may ask for.
pub const MAX_PAUSE: Duration = Duration::from_secs(300);

/// Parses the seconds, whole or not, for which an upstream wants no request. A longer time than
/// [`MAX_PAUSE`] is cut to it; zero, a negative number, a date or other text is left out. Both are logged.
pub fn parse_pause(value: &HeaderValue) -> Option<Duration> {
    let text = String::from_utf8_lossy(value.as_bytes());
    let seconds = text.trim().parse::<f64>().ok();
    let Some(seconds) = seconds.filter(|seconds| *seconds > 0.0) else {
        tracing::warn!(%text, "pause of an upstream is no positive number of seconds; ignored");
        return None;
    };
    if seconds > MAX_PAUSE.as_secs_f64() {
        tracing::warn!(%text, longest = MAX_PAUSE.as_secs(), "pause of an upstream is too long; shortened");
        return Some(MAX_PAUSE);
    }
    Some(Duration::from_secs_f64(seconds))
}

/// Decodes and encodes the headers that the platform's callers and upstreams use.
pub trait HeaderCodec: Send + Sync {
    /// Decodes a caller's headers.
    ///
    /// # Errors
    ///
    /// The first header that can't be decoded.
    fn decode(&self, head: &Parts) -> Result<Call, MalformedHeader>;

    /// Encodes the headers of a forwarded request: the caller's, without hop-by-hop headers and those
    /// that only the system may set, plus the system's own.
    fn encode(&self, head: &Parts, context: &ForwardContext<'_>) -> HeaderMap;

    /// Decodes the head of an upstream's response.
    fn decode_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMeta;

    /// Returns the name of the field that the platform adds to server-sent events; `None` if it adds none.
    fn event_field(&self) -> Option<&str> {
        None
    }
}
