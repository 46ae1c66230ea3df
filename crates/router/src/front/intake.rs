//! Reads request bodies within the limits and parses chat completions.

use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use fescue_core::outcome::Reason;
use fescue_core::settings::Limits;
use fescue_core::{ModelId, Refusal, Tokens, hash};
use fescue_policy::quarantine::Prints;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body as _;
use serde_json::{Map, Value};

use crate::blackboard::Board;

/// The bytes of text counted as one token; low, so that the estimate is an upper bound.
const BYTES_PER_TOKEN: usize = 3;

/// The tokens counted for the delimiters of each message.
const TOKENS_PER_MESSAGE: usize = 4;

/// The length of the prompt prefix that is hashed to find upstreams that may have it cached.
const PREFIX_BYTES: usize = 512;

/// The time for which the rest of a body is read once its request is refused.
///
/// Closing a connection with unread data resets it, and the caller may lose the answer.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads a whole body, unless a request that takes up to `time` is or gets too late on a stopping
/// router.
pub(super) async fn read_in_time(
    board: &Board,
    time: Duration,
    mut body: Body,
) -> Result<Bytes, Refusal> {
    let whole = read(&mut body, &board.settings.limits);
    let result = board.unless_too_late(time, whole).await;
    if result.is_err() && board.grace.get().is_some() && !body.is_end_stream() {
        tokio::spawn(tokio::time::timeout(DISCARD_TIMEOUT, discard(body)));
    }
    result
}

async fn discard(mut body: Body) {
    while let Some(Ok(_)) = body.frame().await {}
}

/// Reads a whole body within the limits on size and time.
async fn read(body: &mut Body, limits: &Limits) -> Result<Bytes, Refusal> {
    let max_bytes = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
    let read = Limited::new(body, max_bytes).collect();
    let read = match tokio::time::timeout(limits.receive_timeout, read).await {
        Err(_) => {
            let message = format!("the body took longer than {:?}", limits.receive_timeout);
            return Err(Refusal::not_run(Reason::SlowCaller, message));
        }
        Ok(read) => read,
    };
    read.map(|body| body.to_bytes()).map_err(|error| {
        if error.downcast_ref::<LengthLimitError>().is_some() {
            let message = format!("the body is over {max_bytes} bytes");
            return Refusal::not_run(Reason::TooLarge, message);
        }
        Refusal::not_run(Reason::BadRequest, "the body broke off")
    })
}

/// A parsed chat completion request.
#[derive(Debug)]
pub(super) struct ChatRequest {
    pub(super) model: ModelId,
    /// Whether the caller wants the answer as it is generated.
    pub(super) stream: bool,
    /// The estimated length of the prompt, in tokens.
    pub(super) prompt: u64,
    /// The limit on generated tokens.
    pub(super) max_tokens: u64,
    /// The hash of the model and the first [`PREFIX_BYTES`] of the prompt.
    pub(super) prefix: u64,
    /// The hash of the model and the whole prompt, which identifies repeats of the request, and those
    /// of the messages that other requests may share.
    pub(super) prints: Prints,
    /// The body that is sent to the upstream.
    pub(super) body: Bytes,
}

impl ChatRequest {
    /// Parses and checks a body.
    pub(super) fn parse(body: &[u8], limits: &Limits) -> Result<Self, Refusal> {
        let value =
            serde_json::from_slice(body).map_err(|e| bad_request(format!("the body: {e}")))?;
        let Value::Object(mut fields) = value else {
            return Err(bad_request("the body isn't a JSON object"));
        };
        let model = fields.get("model").and_then(Value::as_str);
        let model = model.ok_or_else(|| bad_request("model: expected a text"))?;
        let model = model
            .parse()
            .map_err(|e| bad_request(format!("model: {e}")))?;
        let max_tokens = max_tokens(&fields, limits)?;
        let text = prompt_text(&fields)?;
        let prompt = estimate_tokens(&fields, &text);
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(bad_request("stream: expected true or false")),
        };
        let head = &text.as_bytes()[..text.len().min(PREFIX_BYTES)];
        let prefix = hash::digest64(&[format!("{model}\n").as_bytes(), head].concat());
        let prints = Prints {
            request: hash::digest64(format!("{model}\n{text}").as_bytes()),
            parts: message_hashes(&fields),
        };
        fields.insert("max_tokens".to_owned(), max_tokens.into());
        fields.insert("stream".to_owned(), true.into());
        let usage = serde_json::json!({"include_usage": true});
        fields.insert("stream_options".to_owned(), usage);
        let body = Bytes::from(Value::Object(fields).to_string());
        Ok(Self {
            model,
            stream,
            prompt,
            max_tokens,
            prefix,
            prints,
            body,
        })
    }

    /// Returns the upper bound of the tokens that the request can use.
    pub(super) fn bound(&self) -> Tokens {
        Tokens::new(self.prompt.saturating_add(self.max_tokens))
    }
}

fn bad_request(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Reason::BadRequest, message)
}

fn max_tokens(fields: &Map<String, Value>, limits: &Limits) -> Result<u64, Refusal> {
    match fields.get("max_tokens") {
        None | Some(Value::Null) => Ok(limits.default_tokens),
        Some(value) => {
            let range = 1..=limits.max_tokens;
            let tokens = value.as_u64().filter(|tokens| range.contains(tokens));
            let expected = || {
                let limit = limits.max_tokens;
                bad_request(format!(
                    "max_tokens: expected a number from 1 to {limit}, not {value}"
                ))
            };
            tokens.ok_or_else(expected)
        }
    }
}

fn prompt_text(fields: &Map<String, Value>) -> Result<String, Refusal> {
    let messages = fields.get("messages").and_then(Value::as_array);
    let messages = messages.filter(|messages| !messages.is_empty());
    let messages =
        messages.ok_or_else(|| bad_request("messages: expected a list with a message"))?;
    let mut text = String::new();
    for (index, message) in messages.iter().enumerate() {
        let content = message.get("content").and_then(Value::as_str);
        let content = content
            .ok_or_else(|| bad_request(format!("messages[{index}].content: expected a text")))?;
        text.push_str(content);
        text.push('\n');
    }
    Ok(text)
}

/// Returns the hashes of all messages but the last, which is the request's own.
fn message_hashes(fields: &Map<String, Value>) -> Vec<u64> {
    let messages = fields.get("messages").and_then(Value::as_array);
    let shared = messages.and_then(|messages| messages.split_last());
    let shared = shared.map_or(&[][..], |(_, shared)| shared);
    let contents = shared
        .iter()
        .filter_map(|message| message.get("content")?.as_str());
    contents
        .map(|content| hash::digest64(content.as_bytes()))
        .collect()
}

fn estimate_tokens(fields: &Map<String, Value>, text: &str) -> u64 {
    let messages = fields.get("messages").and_then(Value::as_array);
    let messages = messages.map_or(0, Vec::len);
    (text.len().div_ceil(BYTES_PER_TOKEN) + messages * TOKENS_PER_MESSAGE) as u64
}
