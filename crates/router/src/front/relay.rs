//! Forwards an engine's events to the caller.

use axum::http::{HeaderMap, header};
use bytes::Bytes;
use fescue_core::SoftwareVersion;
use fescue_policy::retry::Failure;
use fescue_policy::stream_times::Pace;
use serde_json::Value;
use tokio::sync::mpsc;

use super::pace::PaceMeter;
use crate::upstream::{Events, Reply};

/// The data of the event that ends an answer.
pub(super) const DONE: &[u8] = b"[DONE]";

/// A part of the answer on its way to the caller.
#[derive(Clone, Debug)]
pub(super) enum Piece {
    /// The data of one event.
    Event(Bytes),
}

/// The state of an answer, accumulated over all attempts.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// The number of tokens delivered to the caller.
    pub(super) delivered: u64,
    /// The software version that the answer named whose first token was delivered; only upstreams of this
    /// version may go on. `None` if it named none that can be read.
    pub(super) version: Option<SoftwareVersion>,
    /// The usage reported by the engine at the end of the answer.
    pub(super) usage: Option<Usage>,
    /// The final events of the answer, held back until the bill is stored.
    pub(super) final_events: Vec<Bytes>,
}

/// The token usage of a request as reported by the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Usage {
    pub(super) prompt: u64,
    pub(super) completion: u64,
}

/// The outcome of one attempt.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The answer is complete.
    Complete,
    /// The caller closed its connection.
    Disconnected,
    /// The router stopped before the answer was complete.
    Stopped,
    /// The upstream's software version isn't the one that began the answer; nothing was forwarded.
    OtherVersion,
    /// The upstream failed or did not answer in time.
    Failed(Failure),
}

impl Progress {
    /// Returns whether an upstream may go on with the answer, or begin it.
    pub(super) fn may_go_on(&self) -> bool {
        self.delivered == 0 || self.version.is_some()
    }

    /// Returns the software version at which the answer has to go on, if it has begun.
    pub(super) fn resume_version(&self) -> Option<&SoftwareVersion> {
        self.version.as_ref().filter(|_| self.delivered > 0)
    }
}

/// Forwards the events of one attempt, and holds back those that end the answer.
///
/// An answer of more than `max_tokens`, all attempts together, fails, since nothing is reserved for it.
/// `on_event` is called with each event that is forwarded; `meter` measures how long each event is
/// awaited.
pub(super) async fn relay(
    reply: Reply,
    max_tokens: u64,
    progress: &mut Progress,
    caller: &mpsc::Sender<Piece>,
    mut on_event: impl FnMut(),
    mut meter: PaceMeter<impl Fn(Pace)>,
) -> Outcome {
    // Those of an attempt that broke off after them are not part of what this one writes.
    progress.final_events.clear();
    let mut events = Events::open(reply.into_body());
    loop {
        meter.start_wait();
        let event = tokio::select! {
            event = events.next() => event,
            () = caller.closed() => return Outcome::Disconnected,
        };
        let data = match event {
            Ok(Some(data)) => data,
            Ok(None) => return Outcome::Failed(Failure::MidAnswer),
            Err(failure) => return Outcome::Failed(failure),
        };
        if data.as_ref() == DONE {
            progress.final_events.push(data);
            return Outcome::Complete;
        }
        if let Some(usage) = parse_usage(&data) {
            // What is held back must end.
            if !progress.final_events.is_empty() {
                return Outcome::Failed(Failure::MidAnswer);
            }
            progress.usage = Some(usage);
            progress.final_events.push(data);
            continue;
        }
        // Anything but a JSON object is no part of an answer, nor is an error of the engine's.
        if progress.delivered >= max_tokens || !data.starts_with(b"{") || is_error(&data) {
            return Outcome::Failed(Failure::MidAnswer);
        }
        meter.count_token();
        progress.delivered += 1;
        on_event();
        if caller.send(Piece::Event(data)).await.is_err() {
            return Outcome::Disconnected;
        }
    }
}

/// Returns whether the text of an event has a key. Most events lack the rare ones; the search avoids
/// parsing them as JSON.
fn has_key(data: &[u8], key: &[u8]) -> bool {
    data.windows(key.len()).any(|window| window == key)
}

/// Returns whether an event reports an error in place of a part of the answer.
fn is_error(data: &[u8]) -> bool {
    if !has_key(data, b"\"error\"") {
        return false;
    }
    let value = serde_json::from_slice::<Value>(data);
    value.map_or(true, |value| {
        value.get("error").is_some_and(|error| !error.is_null())
    })
}

/// Returns the usage in an event, which only the last event of an answer has.
fn parse_usage(data: &[u8]) -> Option<Usage> {
    if !has_key(data, b"\"usage\"") {
        return None;
    }
    let value: Value = serde_json::from_slice(data).ok()?;
    let usage = value.get("usage")?;
    Some(Usage {
        prompt: usage.get("prompt_tokens")?.as_u64()?,
        completion: usage.get("completion_tokens")?.as_u64()?,
    })
}

/// Returns whether a successful answer is a stream of events that a caller can read. One that doesn't name
/// its type is taken for a stream.
pub fn is_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(header::CONTENT_TYPE);
    let events = b"text/event-stream";
    kind.is_none_or(|kind| kind.as_bytes().to_ascii_lowercase().starts_with(events))
        && !headers.contains_key(header::CONTENT_ENCODING)
}
