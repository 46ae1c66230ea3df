//! Error responses of the operators' API.

use axum::Json;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use fescue_store::TableError;
use serde_json::json;

/// An error response with an HTTP status, a stable code and a message.
#[derive(Debug)]
pub struct Problem {
    status: StatusCode,
    code: &'static str,
    message: String,
}

impl Problem {
    /// Creates an error response; clients match on `code`, which must stay stable.
    pub fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            status,
            code,
            message,
        }
    }

    /// Creates the response to an invalid request, with status 400.
    pub fn bad_request(message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    /// Creates the response for an item that does not exist, with status 404.
    pub fn not_found(message: impl Into<String>) -> Self {
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
