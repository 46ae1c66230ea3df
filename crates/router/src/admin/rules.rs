//! Endpoints that show, check and change the rules.

use std::sync::Arc;

use axum::Json;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use fescue_core::ChangeId;
use fescue_core::rules::{Delta, RuleSet};
use fescue_store::config::ChangeOutcome;
use serde::Deserialize;
use serde_json::{Value, json};

use fescue_store::TableError;

use super::{Admin, Problem};
use crate::config::Controller;

/// The body of a request to change the rules, made against version `base`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Change {
    id: ChangeId,
    base: u64,
    author: String,
    delta: Delta,
}

/// The body of a request to check the text of a set of rules.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Check {
    text: String,
}

pub(super) async fn show(State(admin): State<Arc<Admin>>) -> Result<Json<Value>, Problem> {
    let (version, book) = admin.config.load().await?;
    Ok(Json(json!({"version": version, "text": book.to_text()})))
}

pub(super) async fn check(Json(body): Json<Check>) -> Result<Json<Value>, Problem> {
    let book = RuleSet::parse("rules", &body.text);
    let book = book.map_err(|report| Problem::bad_request(report.to_string()))?;
    Ok(Json(json!({"lines": book.lines.len()})))
}

pub(super) async fn apply(
    State(admin): State<Arc<Admin>>,
    Json(body): Json<Change>,
) -> Result<Response, Problem> {
    let era = admin.config.era();
    if !admin.board.is_settled(era) {
        let message = "the table came back from a copy, and its rules may not be the newest yet";
        return Err(TableError::Unavailable(message.to_owned()).into());
    }
    let applied = admin
        .config
        .apply_in(era, &body.id, body.base, &body.author, &body.delta)
        .await?;
    match applied {
        ChangeOutcome::Version(version) => {
            // A change that no router has in force would be gone if the table lost it.
            let controller = Controller::new(Arc::clone(&admin.board), admin.config.clone());
            controller.run_round().await;
            tracing::info!(version, author = body.author, "rules changed");
            Ok(Json(json!({"version": version})).into_response())
        }
        ChangeOutcome::Conflict(changes) => {
            let others: Vec<_> = changes
                .iter()
                .map(|c| json!({"version": c.version, "author": c.author, "delta": c.delta}))
                .collect();
            let message = "others changed the same rules meanwhile";
            let error = json!({"code": "race_lost", "message": message, "changes": others});
            let body = Json(json!({"error": error}));
            Ok((StatusCode::CONFLICT, body).into_response())
        }
        ChangeOutcome::Invalid(message) => Err(Problem::bad_request(message)),
    }
}
