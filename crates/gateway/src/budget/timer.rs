//! Drives what depends on time: repeated questions, requests that have waited too long, refills and
//! returns.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::TeamId;
use tokio::time::{Instant, timeout};

use super::effects::Effects;
use super::{Budget, State};

/// Interval of the steps while requests wait or questions are open.
const BUSY_INTERVAL: Duration = Duration::from_millis(20);

/// Interval of the steps while tokens are spent, in which balances that run low are refilled and surplus
/// is returned.
const REFILL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of the steps of a router that holds nothing and spends nothing.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the timer for as long as the process does.
pub async fn run(budget: Arc<Budget>) {
    let (mut refilled, mut interval) = (Instant::now(), IDLE_INTERVAL);
    loop {
        let _woken = timeout(interval, budget.active.notified()).await;
        let elapsed = refilled.elapsed();
        let refill = elapsed >= REFILL_INTERVAL;
        if refill {
            budget.observe_spending(elapsed);
            refilled = Instant::now();
        }
        interval = budget.step(refill);
    }
}

impl Budget {
    /// Takes the steps that are due; returns when the next ones are.
    pub fn step(&self, refill: bool) -> Duration {
        let mut effects = Effects::default();
        let (busy, spends) = {
            let mut state = self.state.lock();
            self.tell_cut_off(&mut state, &mut effects);
            for team in state.open_teams() {
                self.expire_waiting(&mut state, &team, &mut effects);
                self.expire_questions(&mut state, &team, &mut effects);
                self.serve(&mut state, &team, &mut effects);
            }
            if refill {
                self.refill(&mut state, &mut effects);
                self.return_surplus(&mut state, &mut effects);
            }
            let spends = state
                .escrow
                .iter_mut()
                .any(|(_, balance)| balance.is_used());
            (!state.open_teams().is_empty(), spends)
        };
        effects.within_timer();
        self.apply(effects);
        match (busy, spends) {
            (true, _) => BUSY_INTERVAL,
            (_, true) => REFILL_INTERVAL,
            _ => IDLE_INTERVAL,
        }
    }

    /// Gives what is there to those that wait for it, for all teams, and asks for what is missing.
    pub(super) fn serve_all(&self) {
        let mut effects = Effects::default();
        {
            let mut state = self.state.lock();
            for team in state.open_teams() {
                self.serve(&mut state, &team, &mut effects);
            }
        }
        self.apply(effects);
    }
}

impl State {
    /// Returns the teams of which something is open.
    pub(super) fn open_teams(&self) -> Vec<TeamId> {
        let open = self.teams.iter().filter(|(_, known)| {
            !known.waiting.is_empty() || !known.questions.is_empty() || known.asks.is_open()
        });
        open.map(|(team, _)| team.clone()).collect()
    }
}
