//! Passes an engine's events on to the caller.

use bytes::Bytes;
use fescue_policy::retry::Failure;
use serde_json::Value;
use tokio::sync::mpsc;

use crate::upstream::{Events, Reply};

/// The data that ends an answer.
const DONE: &[u8] = b"[DONE]";

/// What a caller gets.
#[derive(Clone, Debug)]
pub(super) enum Piece {
    /// The data of one event.
    Event(Bytes),
}

/// What came of an answer so far, over all attempts.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Tokens that the caller has.
    pub(super) delivered: u64,
    /// What the engine says it used, once it ended.
    pub(super) usage: Option<Usage>,
    /// The events that end the answer, held back until the bill is kept.
    pub(super) end: Vec<Bytes>,
}

/// What an engine says that a request used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Usage {
    pub(super) prompt: u64,
    pub(super) completion: u64,
}

/// How an attempt ended.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// The answer is whole.
    Whole,
    /// The caller went.
    CallerGone,
    /// The upstream failed.
    Failed(Failure),
}

/// Passes the events of one attempt on.
pub(super) async fn relay(
    reply: Reply,
    progress: &mut Progress,
    caller: &mpsc::Sender<Piece>,
) -> Ending {
    let mut frames = Events::open(reply.into_body());
    loop {
        let frame = tokio::select! {
            frame = frames.next() => frame,
            () = caller.closed() => return Ending::CallerGone,
        };
        let data = match frame {
            Ok(Some(data)) => data,
            Ok(None) => return Ending::Failed(Failure::MidAnswer),
            Err(failure) => return Ending::Failed(failure),
        };
        if data.as_ref() == DONE {
            progress.end.push(data);
            return Ending::Whole;
        }
        if let Some(usage) = last_usage(&data) {
            progress.usage = Some(usage);
            progress.end.push(data);
            continue;
        }
        progress.delivered += 1;
        if caller.send(Piece::Event(data)).await.is_err() {
            return Ending::CallerGone;
        }
    }
}

/// Reads the usage of the event that ends an answer.
fn last_usage(data: &[u8]) -> Option<Usage> {
    // Most events have no usage; looking for the word spares parsing them.
    let word = b"\"usage\"";
    data.windows(word.len()).find(|w| w == word)?;
    let value: Value = serde_json::from_slice(data).ok()?;
    let usage = value.get("usage")?;
    Some(Usage {
        prompt: usage.get("prompt_tokens")?.as_u64()?,
        completion: usage.get("completion_tokens")?.as_u64()?,
    })
}
