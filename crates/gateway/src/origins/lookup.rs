//! Finds the origin of a stream that another router began: asks other routers, then reads the store.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::Incarnation;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::{Origin, StreamKey, intents, rows};
use crate::datagrams::Datagram;
use crate::gateway::Gateway;

/// The number of other routers that are told of a stream, and the size of the fleet from which on only one
/// is, so that the datagrams of a large fleet stay within its limits.
const TOLD_ROUTERS: usize = 2;
const LARGE_FLEET: usize = 100;

/// The number of other routers that are asked; more than are told, as routers may know different peers.
const ASKED_ROUTERS: usize = 8;

/// The time to wait for answers before more routers are asked, and for theirs; longer than the longest round trip
/// within a region.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);

/// Tells another router of a stream that has begun.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BegunStream {
    key: StreamKey,
    origin: Origin,
    /// How long the caller may resume it.
    #[serde(rename = "left_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    lifetime: Duration,
}

/// Asks another router for the origin of a stream.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Inquiry {
    number: u64,
    key: StreamKey,
}

/// Answers an [`Inquiry`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer {
    number: u64,
    from: Incarnation,
    origin: Option<Origin>,
    /// Whether two streams claim the key.
    ambiguous: bool,
}

/// The inquiries that wait for answers, by number.
#[derive(Debug, Default)]
pub(super) struct Inquiries(Mutex<HashMap<u64, mpsc::UnboundedSender<Answer>>>);

/// Why the origin of a stream can't be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Missing {
    /// Nobody knows it, and nobody will.
    Unknown,
    /// Two streams of different origins claim the attempt.
    Ambiguous,
    /// No router that was asked knows it, and the store can't be read now.
    Unavailable,
}

fn told_routers(gateway: &Gateway) -> usize {
    match gateway.routers() {
        routers if routers > LARGE_FLEET => 1,
        _ => TOLD_ROUTERS,
    }
}

/// Tells other routers, which the key selects, of a stream that has begun here.
pub(super) fn tell(gateway: &Gateway, key: StreamKey, origin: &Origin, lifetime: Duration) {
    let told = told_routers(gateway);
    let peers = gateway.peers.lock().select(key.0, told);
    for peer in peers {
        let origin = origin.clone();
        let begun = BegunStream {
            key,
            origin,
            lifetime,
        };
        gateway.courier.send(peer, Datagram::Begun(begun));
    }
}

/// Takes over what another router tells of a stream.
pub fn take_over(gateway: &Gateway, begun: BegunStream) {
    let BegunStream {
        key,
        origin,
        lifetime,
    } = begun;
    gateway.origins.record(key, origin, lifetime, false);
}

/// Answers another router's inquiry from what this one knows.
pub fn answer(gateway: &Gateway, inquiry: Inquiry) -> Answer {
    let known = gateway.origins.get(inquiry.key);
    Answer {
        number: inquiry.number,
        from: gateway.incarnation,
        ambiguous: known == Some(None),
        origin: known.flatten(),
    }
}

/// Passes an answer on to the request that waits for it. An answer that comes too late is dropped.
pub fn receive(gateway: &Gateway, answer: Answer) {
    let open = gateway.origins.inquiries.0.lock();
    if let Some(waiting) = open.get(&answer.number) {
        // The request may have ended.
        let _ended = waiting.send(answer);
    }
}

/// Finds the origin of a stream, by `limit` at the latest. `mixed` tells whether its service has had several versions
/// lately, so that its intent is probably stored.
///
/// # Errors
///
/// Why it can't be told.
pub async fn find(
    gateway: &Arc<Gateway>,
    key: StreamKey,
    mixed: bool,
    limit: Instant,
) -> Result<Origin, Missing> {
    let arrival = Instant::now();
    let known = |origin: Option<Origin>| origin.ok_or(Missing::Ambiguous);
    if let Some(origin) = gateway.origins.get(key) {
        return known(origin);
    }
    if let Some(origin) = ask(gateway, key, limit).await {
        return known(origin);
    }
    // A bucket of intents is read sooner than the rows of all routers.
    let mut intent = match mixed {
        true => Some(read_intent(gateway, key, limit).await),
        false => None,
    };
    if let Some(Ok(Some(origin))) = intent {
        return known(origin);
    }
    let scanned = timeout_at(limit, rows::scan_since(gateway, arrival)).await;
    if let Some(origin) = gateway.origins.get(key) {
        return known(origin);
    }
    if intent.is_none() {
        intent = Some(read_intent(gateway, key, limit).await);
    }
    match (intent, scanned) {
        (Some(Ok(Some(origin))), _) => known(origin),
        (Some(Ok(None)), Ok(Ok(()))) => Err(Missing::Unknown),
        _ => Err(Missing::Unavailable),
    }
}

/// Reads the intent of a stream, see [`intents::read`].
async fn read_intent(
    gateway: &Gateway,
    key: StreamKey,
    limit: Instant,
) -> Result<Option<Option<Origin>>, Missing> {
    match timeout_at(limit, intents::read(gateway, key)).await {
        Ok(Ok(found)) => Ok(found),
        Ok(Err(_)) | Err(_) => Err(Missing::Unavailable),
    }
}

/// Asks the routers that were told, then more; returns the first answer of one that knows the stream.
async fn ask(gateway: &Gateway, key: StreamKey, limit: Instant) -> Option<Option<Origin>> {
    let peers = gateway.peers.lock().select(key.0, ASKED_ROUTERS);
    let number = rand::random();
    let (sender, mut answers) = mpsc::unbounded_channel();
    gateway.origins.inquiries.0.lock().insert(number, sender);
    let _open = OpenInquiry { gateway, number };
    let told = told_routers(gateway).min(peers.len());
    let mut answered = HashSet::new();
    for asked in [&peers[..told], &peers[..]] {
        send(gateway, asked, Inquiry { number, key });
        let until = limit.min(Instant::now() + ANSWER_TIMEOUT);
        while answered.len() < asked.len() {
            let Ok(Some(answer)) = timeout_at(until, answers.recv()).await else {
                break;
            };
            if answer.ambiguous || answer.origin.is_some() {
                return Some(answer.origin);
            }
            answered.insert(answer.from);
        }
    }
    None
}

fn send(gateway: &Gateway, peers: &[SocketAddr], inquiry: Inquiry) {
    for peer in peers {
        gateway.courier.send(*peer, Datagram::Inquiry(inquiry));
    }
}

/// A guard that ends the wait for answers when it is dropped, also by a caller that disconnects.
struct OpenInquiry<'a> {
    gateway: &'a Gateway,
    number: u64,
}

impl Drop for OpenInquiry<'_> {
    fn drop(&mut self) {
        let inquiries = &self.gateway.origins.inquiries;
        inquiries.0.lock().remove(&self.number);
    }
}
