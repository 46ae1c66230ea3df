//! The rules: shown, checked and changed.

use std::sync::Arc;

use axum::Json;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use fescue_core::ChangeId;
use fescue_core::rules::{Book, Delta};
use fescue_store::config::ApplyOutcome;
use serde::Deserialize;
use serde_json::{Value, json};

use super::{Admin, Problem};

/// A change of the rules.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Ask {
    id: ChangeId,
    base: u64,
    author: String,
    delta: Delta,
}

/// A text to check.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Check {
    text: String,
}

pub(super) async fn show(State(admin): State<Arc<Admin>>) -> Result<Json<Value>, Problem> {
    let (version, book) = admin.config.load().await?;
    Ok(Json(json!({"version": version, "text": book.to_text()})))
}

pub(super) async fn check(Json(ask): Json<Check>) -> Result<Json<Value>, Problem> {
    let book = Book::parse("rules", &ask.text);
    let book = book.map_err(|report| Problem::bad(report.to_string()))?;
    Ok(Json(json!({"lines": book.lines.len()})))
}

pub(super) async fn apply(
    State(admin): State<Arc<Admin>>,
    Json(ask): Json<Ask>,
) -> Result<Response, Problem> {
    let applied = admin
        .config
        .apply(&ask.id, ask.base, &ask.author, &ask.delta)
        .await?;
    match applied {
        ApplyOutcome::Version(version) => {
            tracing::info!(version, author = ask.author, "rules changed");
            Ok(Json(json!({"version": version})).into_response())
        }
        ApplyOutcome::Conflict(changes) => {
            let others: Vec<_> = changes
                .iter()
                .map(|c| json!({"version": c.version, "author": c.author, "delta": c.delta}))
                .collect();
            let message = "others changed the same rules meanwhile";
            let error = json!({"code": "race_lost", "message": message, "changes": others});
            let body = Json(json!({"error": error}));
            Ok((StatusCode::CONFLICT, body).into_response())
        }
        ApplyOutcome::Invalid(message) => Err(Problem::bad(message)),
    }
}
