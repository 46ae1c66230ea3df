//! The operators' HTTP API, which has its own address and token.
//!
//! Every endpoint is described in [docs/operators/admin-api.md](../../../docs/operators/admin-api.md).

mod budgets;
mod fleet;
mod problem;
mod rules;

use std::sync::Arc;

use axum::Router;
use axum::extract::{Request, State};
use axum::http::{StatusCode, header};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use fescue_store::accounts::Accounts;
use fescue_store::billing::Billing;
use fescue_store::config::Config;

use crate::blackboard::Board;
use crate::lifecycle::Phase;
use crate::secrets::Secret;

pub use problem::Problem;

/// The components that the handlers of the operators' API use.
pub struct Admin {
    /// The state that the router's components share.
    pub board: Arc<Board>,
    /// The stored budgets and allowances.
    pub accounts: Accounts,
    /// The stored bills.
    pub billing: Arc<Billing>,
    /// The stored rules, which may be newer than those in force here.
    pub config: Config,
    /// The bearer token of operators.
    pub token: Secret,
}

/// Returns the routes of the operators' API; health checks and metrics need no token.
pub fn router(admin: Arc<Admin>) -> Router {
    let authenticated = Router::new()
        .route("/admin/v1/status", get(fleet::status))
        .route("/admin/v1/rules", get(rules::show).post(rules::apply))
        .route("/admin/v1/rules/check", post(rules::check))
        .route("/admin/v1/budgets", get(budgets::list))
        .route("/admin/v1/budgets/{team}/{name}", get(budgets::show))
        .route(
            "/admin/v1/budgets/{team}/{name}/top-up",
            post(budgets::top_up),
        )
        .route("/admin/v1/held", get(budgets::held))
        .route(
            "/admin/v1/held/{incarnation}/release",
            post(budgets::release),
        )
        .route("/admin/v1/bills", get(budgets::bills))
        .route("/admin/v1/upstreams", get(fleet::upstreams))
        .route("/admin/v1/upstreams/{name}/drain", post(fleet::drain))
        .route("/admin/v1/vms", get(fleet::vms))
        .layer(from_fn_with_state(Arc::clone(&admin), check_token));
    Router::new()
        .route("/healthz", get(|| async { "alive\n" }))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
        .merge(authenticated)
        .with_state(admin)
}

async fn check_token(State(admin): State<Arc<Admin>>, request: Request, next: Next) -> Response {
    let value = request.headers().get(header::AUTHORIZATION);
    let value = value.and_then(|value| value.to_str().ok());
    let token = value.and_then(|value| value.strip_prefix("Bearer "));
    if token.is_some_and(|token| admin.token.matches(token.trim())) {
        return next.run(request).await;
    }
    Problem::new(
        StatusCode::UNAUTHORIZED,
        "bad_token",
        "the operators' token is missing or wrong",
    )
    .into_response()
}

async fn ready(State(admin): State<Arc<Admin>>) -> Response {
    match admin.board.phase() {
        Phase::Ready => "ready\n".into_response(),
        phase => (StatusCode::SERVICE_UNAVAILABLE, format!("{phase:?}\n")).into_response(),
    }
}

async fn metrics(State(admin): State<Arc<Admin>>) -> Response {
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    (
        [(header::CONTENT_TYPE, kind)],
        admin.board.metrics.to_text(),
    )
        .into_response()
}
