//! Tokens that are reserved for one request.

use std::sync::Weak;

use fescue_core::{TeamId, Tokens};

use super::Budget;
use super::effects::Effects;

/// Tokens of a team that are reserved for one request, and settled when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    pub(super) budget: Weak<Budget>,
    pub(super) team: TeamId,
    pub(super) reserved: Tokens,
    pub(super) consumed: Tokens,
}

impl Reservation {
    /// Adds to the tokens that will be settled as consumed.
    pub fn consume(&mut self, tokens: Tokens) {
        self.consumed = self.consumed.saturating_add(tokens);
    }

    /// Returns the number of tokens consumed so far.
    pub fn consumed(&self) -> Tokens {
        self.consumed
    }

    /// Returns the number of tokens that are reserved.
    pub fn reserved(&self) -> Tokens {
        self.reserved
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let Some(budget) = self.budget.upgrade() else {
            return;
        };
        let mut effects = Effects::default();
        {
            let mut state = budget.state.lock();
            let balance = state.escrow.balance(&self.team);
            balance.settle(self.reserved, self.consumed);
            let known = state.teams.get(&self.team);
            if known.is_some_and(|t| !t.waiting.is_empty() || !t.questions.is_empty()) {
                budget.serve(&mut state, &self.team, &mut effects);
            }
        }
        budget.apply(effects);
    }
}
