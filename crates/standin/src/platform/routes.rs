//! HTTP routes of the platform, the server side of [`fescue_store::http`].

use std::sync::Arc;
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::{Path, Request, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use fescue_core::Era;
use fescue_store::http::{ERA_HEADER, ReadRequest, ScanRequest};
use fescue_store::{Commit, ObjectStore, Table, TableError, Transaction, Vm, VmList};

use super::{Faults, InMemory};

/// Delay of a lost response; longer than the timeout of any client.
const LOST_RESPONSE_DELAY: Duration = Duration::from_secs(120);

type Platform = State<Arc<InMemory>>;

/// Returns the platform's routes, with its fault, VM and usage controls under `/control`.
pub fn router(memory: Arc<InMemory>) -> Router {
    Router::new()
        .route("/v1/read", post(read))
        .route("/v1/scan", post(scan))
        .route("/v1/transact", post(transact))
        .route("/v1/objects/{name}", put(put_object).get(get_object))
        .route("/v1/vms", get(vms))
        .layer(middleware::from_fn_with_state(
            Arc::clone(&memory),
            name_era,
        ))
        .route("/control/faults", put(set_faults).get(faults))
        .route("/control/vms", put(set_vms))
        .route("/control/usage", get(usage))
        .route("/control/copy", put(copy))
        .route("/control/restore", put(restore))
        .with_state(memory)
}

/// Names the era in every answer.
async fn name_era(State(memory): Platform, request: Request, next: Next) -> Response {
    let mut response = next.run(request).await;
    if let Some(era) = memory.era() {
        let headers = response.headers_mut();
        headers.insert(ERA_HEADER, HeaderValue::from(era.get()));
    }
    response
}

async fn respond<T: serde::Serialize>(result: Result<T, TableError>) -> Response {
    match result {
        Ok(value) => Json(value).into_response(),
        Err(TableError::Lost(_)) => {
            tokio::time::sleep(LOST_RESPONSE_DELAY).await;
            StatusCode::GATEWAY_TIMEOUT.into_response()
        }
        Err(error) => (StatusCode::SERVICE_UNAVAILABLE, error.to_string()).into_response(),
    }
}

/// Delays requests of VMs that are cut off, as a network that drops packets does.
async fn delay_if_cut(memory: &InMemory, headers: &HeaderMap) {
    let name = headers.get("x-vm").and_then(|v| v.to_str().ok());
    let name = name.unwrap_or_default().to_owned();
    if memory.faults().cut.contains(&name) {
        tokio::time::sleep(LOST_RESPONSE_DELAY).await;
    }
}

async fn read(
    State(memory): Platform,
    headers: HeaderMap,
    Json(request): Json<ReadRequest>,
) -> Response {
    delay_if_cut(&memory, &headers).await;
    respond(memory.read(&request.keys).await).await
}

async fn scan(
    State(memory): Platform,
    headers: HeaderMap,
    Json(request): Json<ScanRequest>,
) -> Response {
    delay_if_cut(&memory, &headers).await;
    let rows = memory.scan(&request.prefix, &request.after, request.limit);
    respond(rows.await).await
}

async fn transact(
    State(memory): Platform,
    headers: HeaderMap,
    Json(transaction): Json<Transaction>,
) -> Response {
    delay_if_cut(&memory, &headers).await;
    let commit = memory.transact(&transaction).await;
    respond(commit.map(|commit| matches!(commit, Commit::Done(_)))).await
}

async fn put_object(State(memory): Platform, Path(name): Path<String>, body: Bytes) -> Response {
    let stored = memory.put(&name, body.to_vec()).await;
    respond(stored.map(|()| true)).await
}

async fn get_object(State(memory): Platform, Path(name): Path<String>) -> Response {
    match memory.get(&name).await {
        Ok(Some(bytes)) => bytes.into_response(),
        Ok(None) => StatusCode::NOT_FOUND.into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn vms(State(memory): Platform, headers: HeaderMap) -> Response {
    delay_if_cut(&memory, &headers).await;
    respond(memory.vms().await).await
}

async fn set_faults(State(memory): Platform, Json(faults): Json<Faults>) {
    memory.set_faults(faults);
}

async fn faults(State(memory): Platform) -> Json<Faults> {
    Json(memory.faults())
}

async fn set_vms(State(memory): Platform, Json(vms): Json<Vec<Vm>>) {
    memory.set_vms(vms);
}

async fn usage(State(memory): Platform) -> Json<super::Usage> {
    Json(memory.usage())
}

async fn copy(State(memory): Platform) {
    memory.copy();
}

async fn restore(State(memory): Platform) -> Json<Era> {
    Json(memory.restore())
}
