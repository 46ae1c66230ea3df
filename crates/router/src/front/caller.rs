//! Who calls, and what the headers of a request say.

use axum::http::{HeaderMap, header};
use fescue_core::hash::key_digest;
use fescue_core::outcome::Reason;
use fescue_core::rules::Team;
use fescue_core::{BudgetId, Priority, Refusal, RequestId};

use crate::blackboard::Board;
use crate::lifecycle::Phase;

/// The header with which a caller makes its request repeatable.
const KEY: &str = "idempotency-key";

/// The header that names a priority.
const PRIORITY: &str = "x-fescue-priority";

/// The header that names a budget.
const BUDGET: &str = "x-fescue-budget";

/// What a request's headers say.
pub(super) struct Caller {
    pub(super) team: Team,
    pub(super) budget: BudgetId,
    pub(super) priority: Priority,
    pub(super) request: RequestId,
    /// Whether the caller chose the id, so that an earlier attempt may exist.
    pub(super) keyed: bool,
}

impl Caller {
    /// Reads the headers.
    pub(super) fn read(board: &Board, headers: &HeaderMap) -> Result<Self, Refusal> {
        let team = team(board, headers)?;
        let priority = priority(&team, headers)?;
        let budget = budget(board, &team, headers)?;
        let key = text(headers, KEY)?;
        let request = match key {
            Some(key) => key.parse().map_err(bad)?,
            None => made(board)?,
        };
        Ok(Self {
            team,
            budget,
            priority,
            request,
            keyed: key.is_some(),
        })
    }
}

/// Finds the team by its bearer key.
pub(super) fn team(board: &Board, headers: &HeaderMap) -> Result<Team, Refusal> {
    if board.phase() == Phase::Starting {
        return Err(Refusal::not_run(Reason::NotReady, "the router is starting"));
    }
    let shown = text(headers, header::AUTHORIZATION.as_str())?;
    let key = shown.and_then(|shown| shown.strip_prefix("Bearer "));
    let Some(key) = key else {
        let message = "expected the header `Authorization: Bearer KEY`";
        return Err(Refusal::not_run(Reason::BadKey, message));
    };
    let book = board.book();
    let team = book.team_by_digest(&key_digest(key.trim()));
    let unknown = || Refusal::not_run(Reason::BadKey, "no team has this key");
    team.cloned().ok_or_else(unknown)
}

fn priority(team: &Team, headers: &HeaderMap) -> Result<Priority, Refusal> {
    let first = team.priorities.first().copied();
    let Some(name) = text(headers, PRIORITY)? else {
        return Ok(first.unwrap_or(Priority::Standard));
    };
    let priority = name.parse().map_err(bad)?;
    if team.priorities.contains(&priority) {
        return Ok(priority);
    }
    let message = format!("team {} may not use priority {priority}", team.name);
    Err(Refusal::not_run(Reason::Forbidden, message))
}

fn budget(board: &Board, team: &Team, headers: &HeaderMap) -> Result<BudgetId, Refusal> {
    let name = text(headers, BUDGET)?.unwrap_or(BudgetId::DEFAULT_NAME);
    let budget = BudgetId::new(&team.name, name).map_err(bad)?;
    if board.book().budgets.contains(&budget) {
        return Ok(budget);
    }
    let message = format!("there is no budget {budget}");
    Err(Refusal::not_run(Reason::NotFound, message))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let unreadable = |_| bad(format!("the header {name} isn't plain text"));
    value.to_str().map(Some).map_err(unreadable)
}

fn bad(message: impl ToString) -> Refusal {
    Refusal::not_run(Reason::BadRequest, message.to_string())
}

/// Makes an id that no other request of the fleet has.
fn made(board: &Board) -> Result<RequestId, Refusal> {
    let id = format!("r-{}-{}", board.me.incarnation, board.next_number());
    id.parse().map_err(bad)
}
