//! The endpoints for the load balancer's readiness check and for metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::extract::{ConnectInfo, State};
use axum::http::StatusCode;
use axum::routing::get;
use tokio::net::TcpListener;

use crate::gateway::Gateway;
use crate::lifecycle::Phase;
use crate::logs::Logs;

/// Serves `/readyz`: 200 if the gateway accepts requests, 503 otherwise.
pub async fn serve_ready(gateway: Arc<Gateway>, listener: TcpListener) {
    let app = Router::new()
        .route("/readyz", get(ready))
        .with_state(gateway);
    let app = app.into_make_service_with_connect_info::<SocketAddr>();
    if let Err(error) = axum::serve(listener, app).await {
        tracing::error!(%error, "readiness listener failed; /readyz is no longer served");
    }
}

async fn ready(
    State(gateway): State<Arc<Gateway>>,
    ConnectInfo(from): ConnectInfo<SocketAddr>,
) -> StatusCode {
    let crowded = match gateway.settings.crowding {
        true => gateway.crowd.is_withdrawn(),
        false => gateway.link.is_busy(),
    };
    let ready = gateway.phase() == Phase::Ready && !crowded;
    gateway.drain.record_check(from.ip(), !ready);
    match ready {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Serves `/metrics` in the text format.
pub async fn serve_metrics(gateway: Arc<Gateway>, logs: Arc<Logs>, listener: TcpListener) {
    let state = (gateway, logs);
    let app = Router::new()
        .route("/metrics", get(metrics))
        .with_state(state);
    if let Err(error) = axum::serve(listener, app).await {
        tracing::error!(%error, "metrics listener failed; /metrics is no longer served");
    }
}

async fn metrics(State((gateway, logs)): State<(Arc<Gateway>, Arc<Logs>)>) -> String {
    gateway.metrics.log_dropped.set(logs.dropped() as i64);
    gateway.metrics.to_text()
}
