//! The HTTP API for callers: chat completions, plain services and the list of models.

mod answer;
mod caller;
mod chat;
mod intake;
mod pace;
mod relay;
mod services;

use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::http::{HeaderMap, HeaderValue, header};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, body::Body, http::Request};
use fescue_core::Refusal;
use fescue_core::outcome::Reason;
use fescue_store::claims::Claims;
use parking_lot::Mutex;
use serde_json::json;

use crate::allowance::Allowance;
use crate::billing::Biller;
use crate::blackboard::Board;
use crate::upstream::{Client, Handle, named_limit};
use answer::Known;
use fescue_policy::rate_limit::Statement;
use fescue_policy::retry::RetryBudget;

/// The components that request handlers use.
pub struct Front {
    /// The state that the router's components share.
    pub board: Arc<Board>,
    /// Reserves tokens for requests.
    pub allowance: Allowance,
    /// Records what requests used.
    pub biller: Biller,
    /// The claims on calls that must not run twice.
    pub claims: Claims,
    /// The HTTP client for calls to upstreams.
    pub client: Client,
    /// The retry budget, which keeps retries from flooding a failing pool.
    pub retries: Mutex<RetryBudget>,
    /// Wakes the membership controller to send an update to the peers at once.
    pub membership_wake: Arc<tokio::sync::Notify>,
}

impl Front {
    /// Records what an upstream's answer says of its limit, and tells the peers if that is news.
    fn record_limit(&self, upstream: &Handle, headers: &HeaderMap) {
        let statement = Statement {
            rate: named_limit(headers),
            at: self.board.now(),
        };
        let mut upstreams = self.board.upstreams.lock();
        if upstreams.record_answer(upstream, statement) {
            self.membership_wake.notify_one();
        }
    }
}

/// Returns the routes of the callers' API.
pub fn router(front: Arc<Front>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat::complete))
        .route("/v1/models", get(models))
        .route("/services/{service}/{*path}", post(services::call))
        .fallback(not_found)
        .layer(from_fn_with_state(Arc::clone(&front), close_if_stopping))
        .with_state(front)
}

/// Closes the connection after an answer of a stopping router, so that its caller opens the next one
/// elsewhere.
async fn close_if_stopping(
    State(front): State<Arc<Front>>,
    request: Request<Body>,
    next: Next,
) -> Response {
    let mut response = next.run(request).await;
    if front.board.grace.get().is_some() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn models(State(front): State<Arc<Front>>, headers: HeaderMap) -> Response {
    if let Err(refusal) = caller::team(&front.board, &headers) {
        return answer::refuse(&front.board, &Known::default(), refusal);
    }
    let book = front.board.book();
    let upstreams = book.upstreams.values();
    let mut models: Vec<_> = upstreams.flat_map(|u| u.models.iter()).collect();
    models.sort();
    models.dedup();
    let data: Vec<_> = models
        .iter()
        .map(|model| json!({"id": model, "object": "model", "owned_by": "fescuedrift"}))
        .collect();
    Json(json!({"object": "list", "data": data})).into_response()
}

async fn not_found(State(front): State<Arc<Front>>, request: Request<Body>) -> Response {
    let message = format!("there is no {} {}", request.method(), request.uri().path());
    let refusal = Refusal::not_run(Reason::NotFound, message);
    answer::refuse(&front.board, &Known::default(), refusal)
}
