//! What an operator is told when something can't be done.

use axum::Json;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use fescue_store::TableError;
use serde_json::json;

/// A failure with a status, a stable code and a sentence.
#[derive(Debug)]
pub struct Problem {
    status: StatusCode,
    code: &'static str,
    message: String,
}

impl Problem {
    /// Reports a failure.
    pub fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            status,
            code,
            message,
        }
    }

    /// Reports a request that makes no sense.
    pub fn bad(message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    /// Reports something that isn't there.
    pub fn missing(message: impl Into<String>) -> Self {
        Self::new(StatusCode::NOT_FOUND, "not_found", message)
    }
}

impl From<TableError> for Problem {
    fn from(error: TableError) -> Self {
        let (status, code) = match &error {
            TableError::Refused(_) => (StatusCode::CONFLICT, "refused"),
            TableError::Lost(_) => (StatusCode::GATEWAY_TIMEOUT, "answer_lost"),
            TableError::Unavailable(_) => (StatusCode::SERVICE_UNAVAILABLE, "store_down"),
            TableError::Corrupt(..) => (StatusCode::INTERNAL_SERVER_ERROR, "corrupt"),
        };
        let message = match &error {
            TableError::Lost(_) => format!("{error}; ask again with the same id"),
            _ => error.to_string(),
        };
        Self::new(status, code, message)
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let error = json!({"code": self.code, "message": self.message});
        (self.status, Json(json!({"error": error}))).into_response()
    }
}
