//! HTTP responses for refusals: a status, a JSON body and whether the request ran.

use std::time::Duration;

use axum::Json;
use axum::http::{HeaderName, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use fescue_core::outcome::Reason;
use fescue_core::{Execution, ModelId, Priority, Refusal, RequestId, ServiceId, TeamId};
use serde_json::{Value, json};

use crate::blackboard::Board;

/// The response header that says whether the request ran.
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("x-fescue-outcome");

/// The response header with the request's id.
pub(super) const REQUEST: HeaderName = HeaderName::from_static("x-request-id");

/// The `Retry-After` of a request that no upstream took.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the refusal of a request that no upstream took, so that it didn't run.
pub(super) fn not_taken(message: &str) -> Refusal {
    Refusal::not_run(Reason::NoUpstream, message).with_retry_after(RETRY_AFTER)
}

/// What is known of a request so far; the steps of its admission fill it in.
#[derive(Clone, Debug, Default)]
pub(super) struct Known {
    pub(super) request: Option<RequestId>,
    pub(super) team: Option<TeamId>,
    pub(super) priority: Option<Priority>,
    pub(super) model: Option<ModelId>,
    pub(super) service: Option<ServiceId>,
}

/// Builds the response for a refusal, logs it and counts it.
pub(super) fn refuse(board: &Board, known: &Known, refusal: Refusal) -> Response {
    let request = known.request.as_ref();
    board.metrics.count_refusal(refusal.reason);
    tracing::info!(
        target: "decision",
        request = request.map(RequestId::as_str),
        reason = refusal.reason.code(),
        team = known.team.as_ref().map(TeamId::as_str),
        priority = known.priority.map(Priority::as_str),
        model = known.model.as_ref().map(ModelId::as_str),
        service = known.service.as_ref().map(ServiceId::as_str),
        outcome = refusal.execution.as_str(),
        detail = refusal.message,
        "refused"
    );
    let status = StatusCode::from_u16(refusal.reason.status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = (status, Json(body(request, &refusal))).into_response();
    let headers = response.headers_mut();
    if let Some(pause) = refusal.retry_after {
        let seconds = pause.as_secs_f64().ceil().max(1.0) as u64;
        headers.insert(header::RETRY_AFTER, seconds.into());
    }
    set_headers(&mut response, request, refusal.execution);
    response
}

/// Adds the headers that every response to a request has.
pub(super) fn set_headers(
    response: &mut Response,
    request: Option<&RequestId>,
    execution: Execution,
) {
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(execution.as_str()));
    let id = request.and_then(|id| HeaderValue::from_str(id.as_str()).ok());
    if let Some(id) = id {
        headers.insert(REQUEST, id);
    }
}

/// Returns the JSON body of a refusal.
pub(super) fn body(request: Option<&RequestId>, refusal: &Refusal) -> Value {
    json!({
        "error": {
            "code": refusal.reason.code(),
            "message": refusal.message,
            "type": "fescuedrift",
        },
        "outcome": refusal.execution,
        "request_id": request,
    })
}
