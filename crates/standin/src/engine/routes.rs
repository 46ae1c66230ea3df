//! The engine's protocol over HTTP: chat completions with server-sent events.

use std::convert::Infallible;
use std::sync::Arc;

use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::{HeaderMap, HeaderName, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use fescue_core::Priority;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;

use super::{Engine, EngineFaults, Load, stream};

/// A prompt with this word brings the engine down.
const CRASH_WORD: &str = "crash-the-engine";

/// Returns the routes of an engine and of its control address.
pub fn router(engine: Arc<Engine>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(complete))
        .route("/v1/load", get(load))
        .route("/control/faults", put(set_faults))
        .with_state(engine)
}

/// What the engine reads of a request.
struct Order {
    prompt: Vec<u8>,
    most: u64,
    skip: u64,
    priority: Priority,
}

impl Order {
    fn read(headers: &HeaderMap, body: &Value) -> Self {
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
        let priority = text("x-priority").and_then(|p| p.parse().ok());
        let skip = text("x-resume-from").and_then(|n| n.parse().ok());
        let messages = body["messages"].as_array().cloned().unwrap_or_default();
        let contents = messages.iter().filter_map(|m| m["content"].as_str());
        let prompt = contents.collect::<Vec<_>>().join("\n").into_bytes();
        Self {
            prompt,
            most: body["max_tokens"].as_u64().unwrap_or(16),
            skip: skip.unwrap_or(0),
            priority: priority.unwrap_or(Priority::Standard),
        }
    }
}

async fn complete(
    State(engine): State<Arc<Engine>>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    let faults = engine.faults();
    if faults.down {
        return broken();
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
    let order = Order::read(&headers, &body);
    if String::from_utf8_lossy(&order.prompt).contains(CRASH_WORD) {
        engine.crash();
        return broken();
    }
    let (sender, receiver) = mpsc::channel(4);
    tokio::spawn(generate(engine, order, sender));
    let body = Body::from_stream(ReceiverStream::new(receiver).map(Ok::<_, Infallible>));
    let kind = (header::CONTENT_TYPE, "text/event-stream".to_owned());
    let own = text("x-request-id").to_owned();
    let named = if faults.crossed {
        "another".to_owned()
    } else {
        own
    };
    let request = (HeaderName::from_static("x-request-id"), named);
    let attempt = (
        HeaderName::from_static("x-attempt"),
        text("x-attempt").to_owned(),
    );
    ([kind, request, attempt], body).into_response()
}

/// An answer whose body breaks off, as when the process dies.
fn broken() -> Response {
    let cut: Result<Bytes, _> = Err(std::io::Error::other("down"));
    Body::from_stream(tokio_stream::once(cut)).into_response()
}

async fn generate(engine: Arc<Engine>, order: Order, sender: mpsc::Sender<Bytes>) {
    let slot = tokio::select! {
        slot = engine.acquire_slot(order.priority) => slot,
        () = sender.closed() => {
            engine.count_cancelled();
            return;
        }
    };
    tokio::time::sleep(engine.prefill(&order.prompt)).await;
    for place in order.skip..order.most {
        tokio::time::sleep(engine.token_time()).await;
        let faults = engine.faults();
        if faults.down || (faults.cut_after > 0 && place >= faults.cut_after) {
            return;
        }
        let word = stream::completion_token(&order.prompt, place);
        let event = json!({"choices": [{"index": 0, "delta": {"content": word}}]});
        if sender.send(frame(&event)).await.is_err() {
            engine.count_cancelled();
            return;
        }
    }
    drop(slot);
    let prompt = stream::token_count(order.prompt.len());
    let usage = json!({"prompt_tokens": prompt, "completion_tokens": order.most});
    let last =
        json!({"choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}], "usage": usage});
    let _sent = sender.send(frame(&last)).await;
    let _sent = sender.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
}

fn frame(event: &Value) -> Bytes {
    Bytes::from(format!("data: {event}\n\n"))
}

async fn load(State(engine): State<Arc<Engine>>) -> Response {
    if engine.faults().down {
        return broken();
    }
    Json::<Load>(engine.load()).into_response()
}

async fn set_faults(State(engine): State<Arc<Engine>>, Json(faults): Json<EngineFaults>) {
    engine.set_faults(faults);
}
