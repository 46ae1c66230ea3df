//! Endpoints for budgets, for held tokens of closed incarnations, and for bills.

use std::sync::Arc;

use axum::Json;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use fescue_core::{BudgetId, ChangeId, Incarnation, TeamId, Tokens};
use fescue_policy::account::AccountError;
use fescue_store::TableError;
use serde::Deserialize;
use serde_json::{Value, json};

use super::{Admin, Problem};

type Answer = Result<Json<Value>, Problem>;

/// The body of a request to top up a budget.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TopUp {
    id: ChangeId,
    amount: Tokens,
    author: String,
}

/// The body of a request to release the tokens of one budget that a closed incarnation holds.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Release {
    budget: BudgetId,
    author: String,
}

/// The query of the list of bills; without a team, bills of all teams are listed.
#[derive(Debug, Deserialize)]
pub(super) struct BillFilter {
    team: Option<TeamId>,
}

pub(super) async fn list(State(admin): State<Arc<Admin>>) -> Answer {
    let rows = admin.accounts.budgets().await?;
    let allowances = admin.accounts.allowances().await?;
    let budgets: Vec<_> = rows
        .iter()
        .map(|(id, row)| {
            let lines = allowances.values().filter_map(|a| a.lines.get(id));
            let (mut billed, mut outstanding) = (row.settled, Tokens::ZERO);
            for line in lines {
                billed = billed.saturating_add(line.billed);
                outstanding = outstanding.saturating_add(line.outstanding());
            }
            json!({
                "budget": id, "credited": row.credited, "free": row.free,
                "billed": billed, "with_routers": outstanding,
            })
        })
        .collect();
    Ok(Json(json!({"budgets": budgets})))
}

pub(super) async fn show(
    State(admin): State<Arc<Admin>>,
    Path((team, name)): Path<(String, String)>,
) -> Answer {
    let id = budget(&team, &name)?;
    let Json(all) = list(State(admin)).await?;
    let rows = all["budgets"].as_array().cloned().unwrap_or_default();
    let found = rows.into_iter().find(|row| row["budget"] == json!(id));
    found
        .map(Json)
        .ok_or_else(|| Problem::not_found(format!("budget {id} was never topped up")))
}

pub(super) async fn top_up(
    State(admin): State<Arc<Admin>>,
    Path((team, name)): Path<(String, String)>,
    Json(body): Json<TopUp>,
) -> Answer {
    let id = budget(&team, &name)?;
    let known = admin.board.book().budgets.contains(&id);
    // Rules that were just applied may not be in force on this router yet.
    if !known && !admin.config.load().await?.1.budgets.contains(&id) {
        return Err(Problem::not_found(format!("no rule names a budget {id}")));
    }
    let row = admin
        .accounts
        .top_up(&body.id, &id, body.amount, &body.author)
        .await;
    let row = row.map_err(|error| match error {
        TableError::Refused(AccountError::ZeroAmount | AccountError::OverMaximum) => {
            Problem::bad_request(error.to_string())
        }
        error => error.into(),
    })?;
    let stored = admin.accounts.find_top_up(&body.id).await?;
    let same = stored.is_some_and(|s| s.budget == id && s.amount == body.amount);
    if !same {
        let message = format!("change {} was another top-up", body.id);
        return Err(Problem::new(StatusCode::CONFLICT, "id_reused", message));
    }
    tracing::info!(budget = %id, tokens = %body.amount, author = body.author, "topped up");
    Ok(Json(
        json!({"budget": id, "credited": row.credited, "free": row.free}),
    ))
}

pub(super) async fn held(State(admin): State<Arc<Admin>>) -> Answer {
    let rows = admin.accounts.allowances().await?;
    let mut held = Vec::new();
    for (owner, row) in rows.iter().filter(|(_, row)| row.closed.is_some()) {
        let waiting = rows
            .values()
            .filter(|other| other.closed.is_none() && !other.acknowledged.contains(owner));
        let waiting: Vec<_> = waiting.map(|other| other.vm.clone()).collect();
        for (budget, line) in &row.lines {
            if line.outstanding().is_zero() {
                continue;
            }
            held.push(json!({
                "incarnation": owner, "vm": row.vm, "budget": budget,
                "tokens": line.outstanding(), "unacknowledged": waiting,
            }));
        }
    }
    Ok(Json(json!({"held": held})))
}

pub(super) async fn release(
    State(admin): State<Arc<Admin>>,
    Path(incarnation): Path<String>,
    Json(body): Json<Release>,
) -> Answer {
    let owner: Incarnation = incarnation
        .parse()
        .map_err(|e: fescue_core::id::IdError| Problem::bad_request(e.to_string()))?;
    let released = admin.accounts.release(owner, &body.budget).await?;
    tracing::warn!(%owner, budget = %body.budget, tokens = %released, author = body.author, "held tokens released");
    Ok(Json(json!({"budget": body.budget, "released": released})))
}

pub(super) async fn bills(
    State(admin): State<Arc<Admin>>,
    Query(filter): Query<BillFilter>,
) -> Answer {
    let bills = admin.billing.list(filter.team.as_ref()).await?;
    let rows: Vec<_> = bills
        .iter()
        .map(
            |bill| json!({"request": bill.request, "budget": bill.budget, "tokens": bill.amount()}),
        )
        .collect();
    Ok(Json(json!({"bills": rows})))
}

fn budget(team: &str, name: &str) -> Result<BudgetId, Problem> {
    let id = format!("{team}/{name}");
    id.parse()
        .map_err(|e: fescue_core::id::IdError| Problem::bad_request(e.to_string()))
}
