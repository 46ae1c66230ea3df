//! Plans the exchange of a round with the table from the state of the blackboard.

use std::collections::HashMap;
use std::time::Duration;

use fescue_core::quantity::MAX_BUDGET;
use fescue_core::rules::Setting;
use fescue_core::{BudgetId, Tokens};
use fescue_policy::ledger::Ledger;
use fescue_policy::sizing::{DrawInputs, Horizon, Policy};
use fescue_store::accounts::Exchange;

use crate::blackboard::Board;

/// The state of the table as seen by earlier rounds.
#[derive(Debug, Default)]
pub(super) struct TableState {
    /// The free tokens of each budget at its last read.
    pub(super) free: HashMap<BudgetId, Tokens>,
    /// Whether the table has failed recently.
    pub(super) degraded: bool,
}

/// Returns the sizing policy that the rules in force define.
pub(super) fn policy(board: &Board) -> Horizon {
    let book = board.book();
    let share = book.setting(Setting::DrawShare) as f64 / 100.0;
    Horizon {
        ahead: Duration::from_secs(book.setting(Setting::AllowanceHorizon)),
        share,
    }
}

/// Plans which tokens to draw and which to return.
///
/// Tokens to be returned are withdrawn from the ledger before this function returns.
pub(super) fn exchange(
    board: &Board,
    policy: &dyn Policy,
    known: &TableState,
    number: u64,
) -> Exchange {
    let routers = board.members.lock().alive().count() as u32 + 1;
    let now = board.now();
    let mut needs = board.needs.lock();
    let mut ledger = board.ledger.lock();
    let mut request = Exchange {
        number,
        ..Exchange::default()
    };
    for (budget, need) in needs.iter_mut() {
        let unspent = unspent(&ledger, budget);
        let waiting = need.waiting();
        let inputs = DrawInputs {
            rate: need.demand.rate(now),
            unspent,
            needed: waiting.saturating_sub(unspent),
            free: known.free.get(budget).copied().unwrap_or(MAX_BUDGET),
            routers,
            degraded: known.degraded,
        };
        let idle = need.demand.is_idle(now) && waiting.is_zero();
        if !idle && !policy.draw(&inputs).is_zero() {
            request.draws.insert(budget.clone(), inputs);
            continue;
        }
        let keep = if idle {
            Tokens::ZERO
        } else {
            policy.keep(&inputs)
        };
        let surplus = unspent.saturating_sub(keep.max(waiting));
        // A small surplus is returned only once the budget is idle, to save writes to the table.
        if surplus > keep || (idle && !surplus.is_zero()) {
            let parts = ledger.withdraw(budget, surplus);
            request.returns.insert(budget.clone(), parts);
        }
    }
    request
}

/// Returns the tokens of a budget that the ledger holds and no request has reserved.
pub(super) fn unspent(ledger: &Ledger, budget: &BudgetId) -> Tokens {
    let holding = ledger.holding(budget);
    holding.map_or(Tokens::ZERO, |holding| holding.unspent())
}
