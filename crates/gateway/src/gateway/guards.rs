//! Guards that release what a request holds of the gateway's state when it ends.

use std::sync::Arc;

use fescue_core::{TeamId, Tokens};

use super::Gateway;

/// A guard that counts a request as open until it is dropped.
pub struct RequestGuard(pub(super) Arc<Gateway>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.running.send_modify(|running| *running -= 1);
        self.0.metrics.running.dec();
    }
}

/// Where the tokens come from that a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenSource {
    /// This router's next draw from the store.
    Store,
    /// The answer of another router.
    Peer,
}

/// A guard that counts a request as waiting for tokens until it is dropped.
pub struct TokenWait {
    gateway: Arc<Gateway>,
    team: TeamId,
    tokens: Tokens,
    source: TokenSource,
}

impl TokenWait {
    /// Counts a request as waiting; wakes the budget controller if it waits for the store.
    pub fn start(
        gateway: &Arc<Gateway>,
        team: &TeamId,
        tokens: Tokens,
        source: TokenSource,
    ) -> Self {
        let mut escrow = gateway.escrow.lock();
        let balance = escrow.balance(team);
        match source {
            TokenSource::Store => {
                balance.start_waiting(tokens);
                gateway.budget_wake.notify_one();
            }
            TokenSource::Peer => balance.start_asking(tokens),
        }
        drop(escrow);
        Self {
            gateway: Arc::clone(gateway),
            team: team.clone(),
            tokens,
            source,
        }
    }

    /// Returns where the tokens come from.
    pub fn source(&self) -> TokenSource {
        self.source
    }
}

impl Drop for TokenWait {
    fn drop(&mut self) {
        let mut escrow = self.gateway.escrow.lock();
        let balance = escrow.balance(&self.team);
        match self.source {
            TokenSource::Store => balance.end_waiting(self.tokens),
            TokenSource::Peer => balance.end_asking(self.tokens),
        }
    }
}

/// Tokens of a team that are reserved for one request, and settled when this is dropped.
pub struct Reservation {
    gateway: Arc<Gateway>,
    team: TeamId,
    reserved: Tokens,
    consumed: Tokens,
}

impl Reservation {
    /// Takes ownership of tokens that [`Gateway::reserve`] has reserved.
    pub fn hold(gateway: &Arc<Gateway>, team: &TeamId, reserved: Tokens) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            team: team.clone(),
            reserved,
            consumed: Tokens::ZERO,
        }
    }

    /// Adds to the tokens that will be settled as consumed.
    pub fn consume(&mut self, tokens: Tokens) {
        self.consumed = self.consumed.saturating_add(tokens);
    }

    /// Returns the number of tokens consumed so far.
    pub fn consumed(&self) -> Tokens {
        self.consumed
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut escrow = self.gateway.escrow.lock();
        let balance = escrow.balance(&self.team);
        balance.settle(self.reserved, self.consumed);
    }
}
