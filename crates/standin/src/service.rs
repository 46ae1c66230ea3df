//! Stand-in for a plain service such as a purchase registry; it counts the runs of each request.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::{Path, State};
use axum::http::{HeaderMap, HeaderValue};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use fescue_core::record;
use parking_lot::Mutex;
use serde_json::json;

record! {
    /// The faults injected into a service; the default is none.
    #[derive(Default)]
    #[serde(default)]
    pub struct ServiceFaults {
        /// Delay of each call, in milliseconds.
        pub delay_ms: u64,
        /// Whether calls are run but their response bodies break off.
        pub lose_answers: bool,
    }
}

/// A simulated service that runs every call, repeated ones too.
#[derive(Default)]
pub struct Service {
    run_counts: Mutex<BTreeMap<String, u64>>,
    faults: Mutex<ServiceFaults>,
}

impl Service {
    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        *self.faults.lock() = faults;
    }

    /// Returns how many times each request was run, by request id.
    pub fn run_counts(&self) -> BTreeMap<String, u64> {
        self.run_counts.lock().clone()
    }
}

/// Returns the service's routes, with `/control/faults` and `/control/runs`.
pub fn router(service: Arc<Service>) -> Router {
    Router::new()
        .route("/control/faults", put(set_faults))
        .route("/control/runs", get(runs))
        .route("/{*path}", post(run))
        .with_state(service)
}

async fn run(
    State(service): State<Arc<Service>>,
    Path(path): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let id = headers.get("x-request-id").and_then(|v| v.to_str().ok());
    let id = id.unwrap_or("none").to_owned();
    let count = {
        let mut counts = service.run_counts.lock();
        let count = counts.entry(id.clone()).or_default();
        *count += 1;
        *count
    };
    let faults = service.faults.lock().clone();
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.lose_answers {
        let error: Result<Bytes, _> = Err(std::io::Error::other("lost"));
        return Body::from_stream(tokio_stream::once(error)).into_response();
    }
    let attempt = headers.get("x-attempt").cloned();
    let attempt = attempt.unwrap_or(HeaderValue::from_static("0"));
    let echo = String::from_utf8_lossy(&body).into_owned();
    let request_id = [("x-request-id", id.clone())];
    let body = Json(json!({"registered": id, "path": path, "run": count, "call": echo}));
    ([("x-attempt", attempt)], request_id, body).into_response()
}

async fn set_faults(State(service): State<Arc<Service>>, Json(faults): Json<ServiceFaults>) {
    service.set_faults(faults);
}

async fn runs(State(service): State<Arc<Service>>) -> Json<BTreeMap<String, u64>> {
    Json(service.run_counts())
}
