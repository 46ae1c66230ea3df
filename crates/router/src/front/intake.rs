//! Reads a request's body within the limits, and what a chat completion asks for.

use axum::body::Body;
use bytes::Bytes;
use fescue_core::outcome::Reason;
use fescue_core::settings::Limits;
use fescue_core::{ModelId, Refusal, Tokens, hash};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde_json::{Map, Value};

/// The bytes of text that are reckoned as one token, chosen low so that the bound holds.
const TOKEN_BYTES: usize = 3;

/// The tokens reckoned for the frame of each message.
const MESSAGE_TOKENS: usize = 4;

/// The bytes of a prompt that decide where its prefix may be cached.
const PREFIX_BYTES: usize = 512;

/// Reads a whole body.
pub(super) async fn read(body: Body, limits: &Limits) -> Result<Bytes, Refusal> {
    let most = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
    let read = Limited::new(body, most).collect();
    let read = match tokio::time::timeout(limits.receive_timeout, read).await {
        Err(_) => {
            let message = format!("the body took longer than {:?}", limits.receive_timeout);
            return Err(Refusal::not_run(Reason::SlowCaller, message));
        }
        Ok(read) => read,
    };
    read.map(|body| body.to_bytes()).map_err(|error| {
        if error.downcast_ref::<LengthLimitError>().is_some() {
            let message = format!("the body is over {most} bytes");
            return Refusal::not_run(Reason::TooLarge, message);
        }
        Refusal::not_run(Reason::BadRequest, "the body broke off")
    })
}

/// What a chat completion asks for.
#[derive(Debug)]
pub(super) struct Order {
    pub(super) model: ModelId,
    /// Whether the caller wants the answer as it is generated.
    pub(super) stream: bool,
    /// The tokens reckoned for the prompt.
    pub(super) prompt: u64,
    /// The most tokens to generate.
    pub(super) most: u64,
    /// The hash of the prompt's beginning.
    pub(super) prefix: u64,
    /// The fingerprint of the whole content.
    pub(super) fingerprint: u64,
    /// The body for the upstream.
    pub(super) body: Bytes,
}

impl Order {
    /// Reads a body.
    pub(super) fn parse(body: &[u8], limits: &Limits) -> Result<Self, Refusal> {
        let value = serde_json::from_slice(body).map_err(|e| bad(format!("the body: {e}")))?;
        let Value::Object(mut fields) = value else {
            return Err(bad("the body isn't a JSON object"));
        };
        let model = fields.get("model").and_then(Value::as_str);
        let model = model.ok_or_else(|| bad("model: expected a text"))?;
        let model = model.parse().map_err(|e| bad(format!("model: {e}")))?;
        let most = most(&fields, limits)?;
        let text = prompt_text(&fields)?;
        let prompt = reckon(&fields, &text);
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(bad("stream: expected true or false")),
        };
        let head = &text.as_bytes()[..text.len().min(PREFIX_BYTES)];
        let prefix = hash::digest64(&[format!("{model}\n").as_bytes(), head].concat());
        let fingerprint = hash::digest64(format!("{model}\n{text}").as_bytes());
        fields.insert("max_tokens".to_owned(), most.into());
        fields.insert("stream".to_owned(), true.into());
        let usage = serde_json::json!({"include_usage": true});
        fields.insert("stream_options".to_owned(), usage);
        let body = Bytes::from(Value::Object(fields).to_string());
        Ok(Self {
            model,
            stream,
            prompt,
            most,
            prefix,
            fingerprint,
            body,
        })
    }

    /// Returns the most that the request can cost.
    pub(super) fn bound(&self) -> Tokens {
        Tokens::new(self.prompt.saturating_add(self.most))
    }
}

fn bad(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Reason::BadRequest, message)
}

fn most(fields: &Map<String, Value>, limits: &Limits) -> Result<u64, Refusal> {
    match fields.get("max_tokens") {
        None | Some(Value::Null) => Ok(limits.default_tokens),
        Some(value) => {
            let range = 1..=limits.max_tokens;
            let most = value.as_u64().filter(|most| range.contains(most));
            let expected = || {
                let most = limits.max_tokens;
                bad(format!(
                    "max_tokens: expected a number from 1 to {most}, not {value}"
                ))
            };
            most.ok_or_else(expected)
        }
    }
}

fn prompt_text(fields: &Map<String, Value>) -> Result<String, Refusal> {
    let messages = fields.get("messages").and_then(Value::as_array);
    let messages = messages.filter(|messages| !messages.is_empty());
    let messages = messages.ok_or_else(|| bad("messages: expected a list with a message"))?;
    let mut text = String::new();
    for (index, message) in messages.iter().enumerate() {
        let content = message.get("content").and_then(Value::as_str);
        let content =
            content.ok_or_else(|| bad(format!("messages[{index}].content: expected a text")))?;
        text.push_str(content);
        text.push('\n');
    }
    Ok(text)
}

fn reckon(fields: &Map<String, Value>, text: &str) -> u64 {
    let messages = fields.get("messages").and_then(Value::as_array);
    let messages = messages.map_or(0, Vec::len);
    (text.len().div_ceil(TOKEN_BYTES) + messages * MESSAGE_TOKENS) as u64
}
