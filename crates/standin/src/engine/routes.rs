//! HTTP routes of the engine: chat completions as server-sent events, load report, fault control.

use std::convert::Infallible;
use std::sync::Arc;

use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use fescue_core::{Priority, SoftwareVersion};
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;

use super::{Engine, EngineFaults, Load, stream};

/// A prompt that contains this text crashes the engine.
const CRASH_TEXT: &str = "crash-the-engine";

/// The header in which the engine names its software version.
const VERSION_HEADER: &str = "x-software-version";

/// Returns the engine's routes, with `/control/faults` to set its faults.
pub fn router(engine: Arc<Engine>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(create_completion))
        .route("/v1/load", get(load))
        .route("/control/faults", put(set_faults))
        .with_state(engine)
}

/// The fields of a chat completion request that the engine uses.
struct Completion {
    prompt: Vec<u8>,
    max_tokens: u64,
    /// Index of the first token to send, for a resumed stream.
    resume_from: u64,
    /// The software version that must go on, for a resumed stream.
    resume_version: Option<SoftwareVersion>,
    priority: Priority,
}

impl Completion {
    fn read(headers: &HeaderMap, body: &Value) -> Self {
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
        let priority = text("x-priority").and_then(|p| p.parse().ok());
        let resume_from = text("x-resume-from").and_then(|n| n.parse().ok());
        let resume_version = text("x-resume-version").and_then(|v| v.parse().ok());
        let messages = body["messages"].as_array().cloned().unwrap_or_default();
        let contents = messages.iter().filter_map(|m| m["content"].as_str());
        let prompt = contents.collect::<Vec<_>>().join("\n").into_bytes();
        Self {
            prompt,
            max_tokens: body["max_tokens"].as_u64().unwrap_or(16),
            resume_from: resume_from.unwrap_or(0),
            resume_version,
            priority: priority.unwrap_or(Priority::Standard),
        }
    }
}

async fn create_completion(
    State(engine): State<Arc<Engine>>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    let faults = engine.faults();
    if faults.down {
        return truncated_response();
    }
    let text = |name: &str| {
        headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
    };
    let fence = text("x-fence").parse().unwrap_or(0);
    if !engine.check_fence(text("x-vm"), fence) {
        return (StatusCode::PRECONDITION_FAILED, "old fencing number").into_response();
    }
    if faults.leaving {
        return (StatusCode::SERVICE_UNAVAILABLE, "leaving").into_response();
    }
    let completion = Completion::read(&headers, &body);
    if String::from_utf8_lossy(&completion.prompt).contains(CRASH_TEXT) {
        engine.crash();
        return truncated_response();
    }
    let version = engine.version();
    let mut response = if engine.check_version(completion.resume_version.as_ref()) {
        let (sender, receiver) = mpsc::channel(4);
        tokio::spawn(generate(engine, completion, version.clone(), sender));
        let body = Body::from_stream(ReceiverStream::new(receiver).map(Ok::<_, Infallible>));
        let content_type = (header::CONTENT_TYPE, "text/event-stream");
        ([content_type], body).into_response()
    } else {
        (StatusCode::PRECONDITION_FAILED, "other software version").into_response()
    };
    let own_id = text("x-request-id");
    let sent_id = if faults.crossed { "another" } else { own_id };
    let named = [
        ("x-request-id", sent_id),
        ("x-attempt", text("x-attempt")),
        ("x-request-limit", &faults.limit),
        (VERSION_HEADER, &version),
    ];
    for (name, value) in named.into_iter().filter(|(_, value)| !value.is_empty()) {
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
            response.headers_mut().insert(name, value);
        }
    }
    response
}

/// Returns a response whose body fails before its first byte, as when the process dies.
fn truncated_response() -> Response {
    let error: Result<Bytes, _> = Err(std::io::Error::other("down"));
    Body::from_stream(tokio_stream::once(error)).into_response()
}

async fn generate(
    engine: Arc<Engine>,
    completion: Completion,
    version: String,
    sender: mpsc::Sender<Bytes>,
) {
    let incarnation = engine.incarnation();
    let slot = tokio::select! {
        slot = engine.acquire_slot(completion.priority) => slot,
        () = sender.closed() => {
            engine.count_cancelled();
            return;
        }
    };
    tokio::time::sleep(engine.prefill(&completion.prompt)).await;
    for index in completion.resume_from..completion.max_tokens {
        tokio::time::sleep(engine.token_time()).await;
        let faults = engine.faults();
        let replaced = engine.incarnation() != incarnation;
        if replaced || faults.down || (faults.cut_after > 0 && index >= faults.cut_after) {
            return;
        }
        let token = stream::completion_token(&completion.prompt, &version, index);
        let event = json!({"choices": [{"index": 0, "delta": {"content": token}}]});
        if sender.send(sse_event(&event)).await.is_err() {
            engine.count_cancelled();
            return;
        }
    }
    drop(slot);
    let prompt = stream::token_count(completion.prompt.len());
    let usage = json!({"prompt_tokens": prompt, "completion_tokens": completion.max_tokens});
    let last =
        json!({"choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}], "usage": usage});
    let _sent = sender.send(sse_event(&last)).await;
    let _sent = sender.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
}

fn sse_event(event: &Value) -> Bytes {
    Bytes::from(format!("data: {event}\n\n"))
}

async fn load(State(engine): State<Arc<Engine>>) -> Response {
    if engine.faults().down {
        return truncated_response();
    }
    Json::<Load>(engine.load()).into_response()
}

async fn set_faults(State(engine): State<Arc<Engine>>, Json(faults): Json<EngineFaults>) {
    engine.set_faults(faults);
}
