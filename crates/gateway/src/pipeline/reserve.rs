//! Reserves the tokens of a request.

use std::time::Duration;

use fescue_core::outcome::Reason;
use fescue_core::{Refusal, Tokens};
use rand::Rng;

use crate::budget::{Pending, Request, Reservation, Shortage};
use crate::gateway::Gateway;
use crate::model::Team;

/// `Retry-After` while it is not known when the store answers again.
const RETRY_AFTER_OUTAGE: Duration = Duration::from_secs(1);

/// `Retry-After` while tokens are on their way.
const RETRY_AFTER_PENDING: Duration = Duration::from_millis(300);

/// The part by which a known `Retry-After` is lengthened at random, so that callers don't come back all at
/// once.
const MAX_SPREAD: f64 = 0.3;

/// Reserves the most tokens that the request may consume, and waits for them if this router holds too few.
pub async fn reserve(
    gateway: &Gateway,
    team: &Team,
    request: Request<'_>,
) -> Result<Option<Reservation>, Refusal> {
    if request.tokens.is_zero() {
        return Ok(None);
    }
    let reserved = gateway.budget.reserve(&request).await;
    let reserved = reserved.map_err(|shortage| match shortage {
        Shortage::Exhausted(left) => exhausted(team, request.tokens, left),
        Shortage::Pending(pending) => unavailable(team, request.tokens, &pending),
    })?;
    Ok(Some(reserved))
}

fn exhausted(team: &Team, bound: Tokens, left: Tokens) -> Refusal {
    let (bound, left) = (bound.get(), left.get());
    let message = format!(
        "the request takes up to {bound} tokens; team {} has {left} left",
        team.name
    );
    Refusal::not_run(Reason::BudgetExhausted, message)
}

/// Returns the refusal of a request whose tokens could not be had in time.
fn unavailable(team: &Team, bound: Tokens, pending: &Pending) -> Refusal {
    let bound = bound.get();
    let asked = match (pending.asked, pending.answer) {
        _ if pending.reclaim => "a router that doesn't answer holds them".to_owned(),
        (None, _) => "this router draws them".to_owned(),
        (Some(router), None) => format!("{router} has not answered"),
        (Some(router), Some(answer)) => format!("{router} answered: {answer}"),
    };
    let message = format!(
        "{bound} tokens of team {} can't be had in time; {asked}",
        team.name
    );
    let reason = match pending.store_down {
        true => Reason::StoreDown,
        false => Reason::TokensPending,
    };
    let spread = 1.0 + rand::rng().random_range(0.0..MAX_SPREAD);
    let retry = match (pending.wait, pending.store_down) {
        (Some(wait), _) => wait.mul_f64(spread),
        (None, true) => RETRY_AFTER_OUTAGE,
        (None, false) => RETRY_AFTER_PENDING,
    };
    Refusal::not_run(reason, message).with_retry_after(retry)
}
