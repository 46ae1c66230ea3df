//! The traits that an adapter implements for its platform.

use std::time::Duration;

use async_trait::async_trait;
use fescue_core::{TeamId, UpstreamId};
use http::request::Parts;
use http::{HeaderMap, StatusCode};

use crate::model::{Call, Manifest, Upstream};

/// Something that the platform publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The configuration.
    Configuration,
    /// The upstreams.
    Upstreams,
}

/// One published entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// A version of the configuration.
    Manifest(Box<Manifest>),
    /// An upstream that can be used, or is leaving.
    Upstream(Box<Upstream>),
    /// An upstream that is no longer listed.
    Removed(UpstreamId),
    /// An entry that can't be read; the field and the reason are logged.
    Unreadable {
        /// The entry's name.
        name: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// Entries as of one version of the platform's store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// The store's version; changes are read from here on.
    pub version: u64,
    /// The entries in order.
    pub entries: Vec<Entry>,
}

/// Why a topic couldn't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegistryError {
    /// The changes asked for are no longer kept; the topic must be listed anew.
    #[error("the history is no longer kept")]
    Compacted,
    /// The store gave no usable answer.
    #[error("the store can't be read: {0}")]
    Unavailable(String),
}

/// What the platform publishes to the gateway.
#[async_trait]
pub trait Registry: Send + Sync {
    /// Reads all entries of a topic.
    ///
    /// # Errors
    ///
    /// When the store gives no usable answer in time.
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

/// A request's header that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("header {field}: {reason}")]
pub struct MalformedHeader {
    /// The header.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

/// What is added to a request that is sent to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct ForwardContext<'a> {
    /// The upstream that it is meant for; any other must decline it.
    pub upstream: &'a UpstreamId,
    /// The caller's team.
    pub team: Option<&'a TeamId>,
    /// How long the caller still waits.
    pub left: Option<Duration>,
    /// The rank; zero is the most urgent.
    pub rank: u8,
    /// Whether the service runs model engines.
    pub engine: bool,
    /// The last event that was relayed, when a stream is resumed.
    pub last_event: Option<&'a str>,
}

/// What the head of an upstream's answer says beside its status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMeta {
    /// The upstream did not run the request.
    pub declined: bool,
    /// The upstream isn't the one that the request was meant for.
    pub misdirected: bool,
    /// The request that the answer belongs to, where it is named.
    pub id: Option<String>,
    /// Whether the upstream's signature is there.
    pub signed: bool,
}

/// How the platform's callers and upstreams write heads.
pub trait HeaderCodec: Send + Sync {
    /// Decodes a caller's headers.
    ///
    /// # Errors
    ///
    /// The first header that can't be read.
    fn decode(&self, head: &Parts) -> Result<Call, MalformedHeader>;

    /// Writes the headers of a request to an upstream: the caller's, less those of one connection
    /// and those that only the system may set, and the system's own.
    fn encode(&self, head: &Parts, sending: &ForwardContext<'_>) -> HeaderMap;

    /// Reads the head of an upstream's answer.
    fn decode_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMeta;
}
