//! Transfers unspent tokens from peers to this router.

use std::collections::HashMap;
use std::sync::Arc;

use fescue_core::{BudgetId, Incarnation, Tokens};
use fescue_peer::{PeerApi, TokenRequest};
use fescue_policy::ledger::Parts;

use crate::blackboard::Board;

/// The maximum number of peers asked for one budget in one round.
const MAX_PEERS: usize = 8;

/// Requests tokens from peers and credits them to the ledger.
#[derive(Default)]
pub(super) struct Transfers {
    /// The numbers of requests whose answer was lost; a retry with the same number gets it.
    lost: HashMap<(Incarnation, BudgetId), u64>,
}

impl Transfers {
    /// Takes up to `want` tokens from peers, those of the same data centre first, and returns how
    /// many were credited.
    pub(super) async fn take(&mut self, board: &Board, budget: &BudgetId, want: Tokens) -> Tokens {
        let mut received = Tokens::ZERO;
        for (peer, link) in peers_by_distance(board) {
            let missing = want.saturating_sub(received);
            if missing.is_zero() {
                break;
            }
            let parts = self.ask(board, peer, &link, budget, missing).await;
            let parts = drop_closed(board, parts);
            if parts.is_empty() {
                continue;
            }
            received = received.saturating_add(parts.total());
            board.metrics.taken_tokens.inc_by(parts.total().get());
            board.ledger.lock().credit(budget, &parts);
            tracing::info!(%budget, from = %peer, tokens = %parts.total(), "tokens taken from a peer");
        }
        received
    }

    async fn ask(
        &mut self,
        board: &Board,
        peer: Incarnation,
        link: &Arc<dyn PeerApi>,
        budget: &BudgetId,
        want: Tokens,
    ) -> Parts {
        let key = (peer, budget.clone());
        let number = self.lost.remove(&key);
        let number = number.unwrap_or_else(|| board.next_number());
        let take = TokenRequest {
            from: board.me.incarnation,
            number,
            budget: budget.clone(),
            want,
        };
        match link.take_tokens(take).await {
            Ok(parts) => parts,
            Err(error) => {
                tracing::debug!(%budget, from = %peer, %error, "peer did not answer a token transfer; the next attempt reuses its number");
                self.lost.insert(key, number);
                Parts::default()
            }
        }
    }
}

/// Drops tokens of closed incarnations, as this router may have acknowledged their closing.
fn drop_closed(board: &Board, parts: Parts) -> Parts {
    let closed = board.closed.lock();
    let mut open = Parts::default();
    for part in parts.iter().filter(|part| !closed.contains(&part.origin)) {
        open.push(part.origin, part.amount);
    }
    open
}

fn peers_by_distance(board: &Board) -> Vec<(Incarnation, Arc<dyn PeerApi>)> {
    let near = &board.me.data_centre;
    let members = board.members.lock();
    let mut peers: Vec<_> = members.alive().collect();
    peers.sort_by_key(|(incarnation, m)| (&m.data_centre != near, *incarnation));
    let peers = peers.into_iter().take(MAX_PEERS);
    peers
        .map(|(incarnation, m)| (incarnation, Arc::clone(&m.link)))
        .collect()
}
