//! What a round asks of the table, worked out from the blackboard.

use std::collections::HashMap;
use std::time::Duration;

use fescue_core::quantity::MAX_BUDGET;
use fescue_core::rules::Setting;
use fescue_core::{BudgetId, Tokens};
use fescue_policy::ledger::Ledger;
use fescue_policy::sizing::{DrawInputs, Horizon, Policy};
use fescue_store::accounts::Exchange;

use crate::blackboard::Board;

/// What earlier rounds showed of the table.
#[derive(Debug, Default)]
pub(super) struct Known {
    /// What each budget had free when it was last read.
    pub(super) free: HashMap<BudgetId, Tokens>,
    /// Whether the table has been slow or failing of late.
    pub(super) unwell: bool,
}

/// Returns how allowances are sized by the rules in force.
pub(super) fn policy(board: &Board) -> Horizon {
    let book = board.book();
    let share = book.setting(Setting::DrawShare) as f64 / 100.0;
    Horizon {
        ahead: Duration::from_secs(book.setting(Setting::AllowanceHorizon)),
        share,
    }
}

/// Works out what to draw and what to give back.
///
/// What is given back has left the ledger when this returns.
pub(super) fn exchange(board: &Board, policy: &dyn Policy, known: &Known, number: u64) -> Exchange {
    let routers = board.members.lock().alive().count() as u32 + 1;
    let now = board.now();
    let mut needs = board.needs.lock();
    let mut ledger = board.ledger.lock();
    let mut ask = Exchange {
        number,
        ..Exchange::default()
    };
    for (budget, need) in needs.iter_mut() {
        let unspent = unspent(&ledger, budget);
        let waiting = need.waiting();
        let outlook = DrawInputs {
            rate: need.demand.rate(now),
            unspent,
            needed: waiting.saturating_sub(unspent),
            free: known.free.get(budget).copied().unwrap_or(MAX_BUDGET),
            routers,
            degraded: known.unwell,
        };
        let idle = need.demand.is_idle(now) && waiting.is_zero();
        if !idle && !policy.draw(&outlook).is_zero() {
            ask.draws.insert(budget.clone(), outlook);
            continue;
        }
        let keep = if idle {
            Tokens::ZERO
        } else {
            policy.keep(&outlook)
        };
        let surplus = unspent.saturating_sub(keep.max(waiting));
        // A small surplus isn't worth a write until the budget is idle.
        if surplus > keep || (idle && !surplus.is_zero()) {
            let parts = ledger.withdraw(budget, surplus);
            ask.returns.insert(budget.clone(), parts);
        }
    }
    ask
}

/// Returns what the ledger holds of a budget that no request has set aside.
pub(super) fn unspent(ledger: &Ledger, budget: &BudgetId) -> Tokens {
    let purse = ledger.holding(budget);
    purse.map_or(Tokens::ZERO, |purse| purse.unspent())
}
