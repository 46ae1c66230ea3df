//! Asks peers to hand unspent tokens over.

use std::collections::HashMap;
use std::sync::Arc;

use fescue_core::{BudgetId, Incarnation, Tokens};
use fescue_peer::{PeerService, TokenRequest};
use fescue_policy::ledger::Parts;

use crate::blackboard::Board;

/// The most peers that one round asks for one budget.
const FAN_OUT: usize = 8;

/// Takes tokens from peers.
#[derive(Default)]
pub(super) struct Transfers {
    /// Requests whose answer was lost: asked again with the same number, they find it.
    lost: HashMap<(Incarnation, BudgetId), u64>,
}

impl Transfers {
    /// Asks peers, those of the own data centre first, until `want` tokens are had.
    pub(super) async fn take(&mut self, board: &Board, budget: &BudgetId, want: Tokens) -> Tokens {
        let mut got = Tokens::ZERO;
        for (peer, link) in nearest(board) {
            let missing = want.saturating_sub(got);
            if missing.is_zero() {
                break;
            }
            let parts = self.ask(board, peer, &link, budget, missing).await;
            let parts = drop_closed(board, parts);
            if parts.is_empty() {
                continue;
            }
            got = got.saturating_add(parts.total());
            board.metrics.taken_tokens.inc_by(parts.total().get());
            board.ledger.lock().credit(budget, &parts);
            tracing::info!(%budget, from = %peer, tokens = %parts.total(), "tokens taken from a peer");
        }
        got
    }

    async fn ask(
        &mut self,
        board: &Board,
        peer: Incarnation,
        link: &Arc<dyn PeerService>,
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
                tracing::debug!(%budget, from = %peer, %error, "a peer gave no answer");
                self.lost.insert(key, number);
                Parts::default()
            }
        }
    }
}

/// Leaves out tokens of incarnations that are closed, which this router may have acknowledged.
fn drop_closed(board: &Board, parts: Parts) -> Parts {
    let closed = board.closed.lock();
    let mut open = Parts::default();
    for part in parts.iter().filter(|part| !closed.contains(&part.origin)) {
        open.push(part.origin, part.amount);
    }
    open
}

fn nearest(board: &Board) -> Vec<(Incarnation, Arc<dyn PeerService>)> {
    let near = &board.me.data_centre;
    let members = board.members.lock();
    let mut peers: Vec<_> = members.alive().collect();
    peers.sort_by_key(|(incarnation, m)| (&m.data_centre != near, *incarnation));
    let peers = peers.into_iter().take(FAN_OUT);
    peers
        .map(|(incarnation, m)| (incarnation, Arc::clone(&m.link)))
        .collect()
}
