//! Authenticates the caller and reads the headers of a request.

use axum::http::{HeaderMap, header};
use fescue_core::hash::key_digest;
use fescue_core::outcome::Reason;
use fescue_core::rules::Team;
use fescue_core::{BudgetId, Priority, Refusal, RequestId};

use super::answer::Known;
use crate::blackboard::Board;
use crate::lifecycle::Phase;

/// The header with a request id chosen by the caller, which allows a safe repeat.
const KEY: &str = "idempotency-key";

/// The header that selects a priority; the default is the first one of the team.
const PRIORITY: &str = "x-fescue-priority";

/// The header that selects one of the team's budgets.
const BUDGET: &str = "x-fescue-budget";

/// The identity and options of a request, read from its headers.
pub(super) struct Caller {
    pub(super) team: Team,
    pub(super) budget: BudgetId,
    pub(super) priority: Priority,
    pub(super) request: RequestId,
    /// Whether the caller chose the id, so that an earlier attempt may exist.
    pub(super) keyed: bool,
}

impl Caller {
    /// Authenticates the team and reads the other headers. What they say is noted in `known`.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the key is unknown, a header is invalid, or the team may not use what it
    /// asks for.
    pub(super) fn read(
        board: &Board,
        headers: &HeaderMap,
        known: &mut Known,
    ) -> Result<Self, Refusal> {
        let team = team(board, headers)?;
        known.team = Some(team.name.clone());
        let priority = priority(&team, headers)?;
        known.priority = Some(priority);
        let budget = budget(board, &team, headers)?;
        let key = text(headers, KEY)?;
        let request = match key {
            Some(key) => key.parse().map_err(bad_request)?,
            None => new_id(board)?,
        };
        known.request = Some(request.clone());
        Ok(Self {
            team,
            budget,
            priority,
            request,
            keyed: key.is_some(),
        })
    }
}

/// Returns the team that the bearer key belongs to.
pub(super) fn team(board: &Board, headers: &HeaderMap) -> Result<Team, Refusal> {
    if board.phase() == Phase::Starting {
        return Err(Refusal::not_run(Reason::NotReady, "the router is starting"));
    }
    let value = text(headers, header::AUTHORIZATION.as_str())?;
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
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
    let priority = name.parse().map_err(bad_request)?;
    if team.priorities.contains(&priority) {
        return Ok(priority);
    }
    let message = format!("team {} may not use priority {priority}", team.name);
    Err(Refusal::not_run(Reason::Forbidden, message))
}

fn budget(board: &Board, team: &Team, headers: &HeaderMap) -> Result<BudgetId, Refusal> {
    let name = text(headers, BUDGET)?.unwrap_or(BudgetId::DEFAULT_NAME);
    let budget = BudgetId::new(&team.name, name).map_err(bad_request)?;
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
    let unreadable = |_| bad_request(format!("the header {name} isn't plain text"));
    value.to_str().map(Some).map_err(unreadable)
}

fn bad_request(message: impl ToString) -> Refusal {
    Refusal::not_run(Reason::BadRequest, message.to_string())
}

/// Creates a request id that is unique in the fleet.
fn new_id(board: &Board) -> Result<RequestId, Refusal> {
    let id = format!("r-{}-{}", board.me.incarnation, board.next_number());
    id.parse().map_err(bad_request)
}
