//! The operators' API, on an address and with a token of its own.
//!
//! Every verb is described in [docs/operators/admin-api.md](../../../docs/operators/admin-api.md).

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

/// What the operators' API needs.
pub struct Admin {
    /// The shared tables.
    pub board: Arc<Board>,
    /// Budgets and allowances.
    pub accounts: Accounts,
    /// Bills.
    pub billing: Arc<Billing>,
    /// Rules.
    pub config: Config,
    /// What operators show.
    pub token: Secret,
}

/// Returns the routes for operators.
pub fn router(admin: Arc<Admin>) -> Router {
    let guarded = Router::new()
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
        .merge(guarded)
        .with_state(admin)
}

async fn check_token(State(admin): State<Arc<Admin>>, request: Request, next: Next) -> Response {
    let shown = request.headers().get(header::AUTHORIZATION);
    let shown = shown.and_then(|value| value.to_str().ok());
    let token = shown.and_then(|shown| shown.strip_prefix("Bearer "));
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
