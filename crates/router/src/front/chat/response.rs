//! HTTP responses for chat completions: a stream of events, or one collected answer.

use axum::Json;
use axum::body::Body;
use axum::http::header;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use fescue_core::Refusal;
use fescue_core::outcome::Reason;
use futures_util::StreamExt;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::front::relay::{self, Piece};

/// Returns a response that streams the events.
pub(super) fn stream(receiver: mpsc::Receiver<Piece>) -> Response {
    let pieces = ReceiverStream::new(receiver).map(|Piece::Event(data)| {
        let frame = [b"data: ", data.as_ref(), b"\n\n"].concat();
        Ok::<_, std::convert::Infallible>(Bytes::from(frame))
    });
    let kind = (header::CONTENT_TYPE, "text/event-stream");
    ([kind], Body::from_stream(pieces)).into_response()
}

/// The largest text of a collected answer.
const MAX_COLLECTED_BYTES: usize = 4 << 20;

/// Collects all events into one JSON response.
pub(super) async fn collect(mut receiver: mpsc::Receiver<Piece>) -> Result<Response, Refusal> {
    let (mut text, mut usage, mut ended) = (String::new(), Value::Null, false);
    while let Some(Piece::Event(data)) = receiver.recv().await {
        if data.as_ref() == relay::DONE {
            ended = true;
            continue;
        }
        let Ok(value) = serde_json::from_slice::<Value>(&data) else {
            break;
        };
        if value.get("error").is_some() {
            break;
        }
        let content = &value["choices"][0]["delta"]["content"];
        text.push_str(content.as_str().unwrap_or_default());
        if text.len() > MAX_COLLECTED_BYTES {
            break;
        }
        if let Some(found) = value.get("usage") {
            usage = found.clone();
        }
    }
    if !ended {
        return Err(Refusal::ran(Reason::UpstreamFailed, "the answer broke off"));
    }
    let message = json!({"role": "assistant", "content": text});
    let choice = json!({"index": 0, "message": message, "finish_reason": "stop"});
    let body = json!({"object": "chat.completion", "choices": [choice], "usage": usage});
    Ok(Json(body).into_response())
}
