//! A plain service's stand-in, such as a purchase registry: it counts each call that it runs.

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
    /// What goes wrong at a service.
    #[derive(Default)]
    #[serde(default)]
    pub struct ServiceFaults {
        /// How long a call takes, in milliseconds.
        pub delay_ms: u64,
        /// Calls run and their answers are lost.
        pub lose_answers: bool,
    }
}

/// A service.
#[derive(Default)]
pub struct Service {
    runs: Mutex<BTreeMap<String, u64>>,
    faults: Mutex<ServiceFaults>,
}

impl Service {
    /// Sets the faults in force.
    pub fn set_faults(&self, faults: ServiceFaults) {
        *self.faults.lock() = faults;
    }

    /// Returns how often each request ran.
    pub fn run_counts(&self) -> BTreeMap<String, u64> {
        self.runs.lock().clone()
    }
}

/// Returns the routes of a service and of its control address.
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
        let mut runs = service.runs.lock();
        let count = runs.entry(id.clone()).or_default();
        *count += 1;
        *count
    };
    let faults = service.faults.lock().clone();
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.lose_answers {
        let cut: Result<Bytes, _> = Err(std::io::Error::other("lost"));
        return Body::from_stream(tokio_stream::once(cut)).into_response();
    }
    let attempt = headers.get("x-attempt").cloned();
    let attempt = attempt.unwrap_or(HeaderValue::from_static("0"));
    let echo = String::from_utf8_lossy(&body).into_owned();
    let names = [("x-request-id", id.clone())];
    let body = Json(json!({"registered": id, "path": path, "run": count, "call": echo}));
    ([("x-attempt", attempt)], names, body).into_response()
}

async fn set_faults(State(service): State<Arc<Service>>, Json(faults): Json<ServiceFaults>) {
    service.set_faults(faults);
}

async fn runs(State(service): State<Arc<Service>>) -> Json<BTreeMap<String, u64>> {
    Json(service.run_counts())
}
