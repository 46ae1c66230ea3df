//! The service that answers calls from other routers.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::sync::Arc;

use async_trait::async_trait;
use fescue_core::{BudgetId, Incarnation, Tokens};
use fescue_peer::{BillCopies, Heartbeat, PeerApi, PeerError, TokenRequest};
use fescue_policy::ledger::Parts;
use fescue_policy::witness::{Noted, Notes, Report};

use crate::allowance::Clearing;
use crate::blackboard::Board;

/// The last transfer of tokens of one budget to one peer.
#[derive(Clone, Debug)]
pub struct Transfer {
    number: u64,
    parts: Parts,
}

/// The last transfers, by peer and budget.
pub type Transfers = HashMap<(Incarnation, BudgetId), Transfer>;

/// Returns the answer to a repeated request; an outdated number gets no tokens.
fn previous_answer(transfers: &Transfers, take: &TokenRequest) -> Option<Parts> {
    let last = transfers.get(&(take.from, take.budget.clone()))?;
    match last.number.cmp(&take.number) {
        Ordering::Less => None,
        Ordering::Equal => Some(last.parts.clone()),
        Ordering::Greater => Some(Parts::default()),
    }
}

/// Answers calls from other routers on the state of this one.
pub struct PeerService {
    board: Arc<Board>,
    clearing: Clearing,
}

impl PeerService {
    /// Creates the service; `clearing` clears tokens before a transfer.
    pub fn new(board: Arc<Board>, clearing: Clearing) -> Self {
        Self { board, clearing }
    }

    /// Returns how many tokens may be transferred.
    ///
    /// A peer asks only for what its waiting requests lack, so it gets all unspent tokens up to
    /// that amount; keeping half back refused a request that the fleet could pay for. Of two
    /// routers that need the same budget, only the one with the lower incarnation receives tokens;
    /// otherwise both would transfer theirs and both would still be short.
    fn transferable(&self, take: &TokenRequest) -> Tokens {
        let mut needs = self.board.needs.lock();
        let need = needs.need(&take.budget);
        let waiting = need.waiting();
        let ledger = self.board.ledger.lock();
        let unspent = ledger
            .holding(&take.budget)
            .map_or(Tokens::ZERO, |p| p.unspent());
        if !waiting.is_zero() && take.from > self.board.me.incarnation {
            return Tokens::ZERO;
        }
        unspent.min(take.want)
    }
}

#[async_trait]
impl PeerApi for PeerService {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> Result<Heartbeat, PeerError> {
        crate::membership::apply_heartbeat(&self.board, &heartbeat);
        Ok(crate::membership::heartbeat(&self.board))
    }

    async fn take_tokens(&self, take: TokenRequest) -> Result<Parts, PeerError> {
        if let Some(parts) = previous_answer(&self.board.transfers.lock(), &take) {
            return Ok(parts);
        }
        let transferable = self.transferable(&take);
        let cleared = {
            let ledger = self.board.ledger.lock();
            let holding = ledger.holding(&take.budget);
            holding.map_or(Tokens::ZERO, |holding| holding.cleared())
        };
        let more = transferable.saturating_sub(cleared);
        if !more.is_zero() {
            // Transferred tokens count as spent here, so witnesses must record them first.
            let wants = [(take.budget.clone(), more)];
            self.clearing.clear(&wants).await;
        }
        let mut ledger = self.board.ledger.lock();
        let mut transfers = self.board.transfers.lock();
        // A duplicate of this request may have been answered while the witnesses were asked.
        if let Some(parts) = previous_answer(&transfers, &take) {
            return Ok(parts);
        }
        let parts = ledger.give(&take.budget, transferable);
        let number = take.number;
        tracing::info!(budget = %take.budget, to = %take.from, tokens = %parts.total(), "tokens transferred to a peer");
        let answer = parts.clone();
        transfers.insert((take.from, take.budget), Transfer { number, parts });
        Ok(answer)
    }

    async fn note(
        &self,
        from: Incarnation,
        epoch: u64,
        notes: Notes,
        whole: bool,
    ) -> Result<Noted, PeerError> {
        let mut notebook = self.board.notebook.lock();
        Ok(notebook.note(from, epoch, &notes, whole))
    }

    async fn refuse(
        &self,
        owner: Incarnation,
        epoch: u64,
    ) -> Result<(Incarnation, Report), PeerError> {
        let report = self.board.notebook.lock().refuse(owner, epoch);
        Ok((self.board.me.incarnation, report))
    }

    async fn keep_copies(&self, owner: Incarnation, copies: BillCopies) -> Result<(), PeerError> {
        let mut kept = self.board.kept.lock();
        let bills = kept.entry(owner).or_default();
        for bill in copies.bills {
            bills.insert(bill.id.number, bill);
        }
        let now = self.board.now();
        for number in copies.stored {
            if let Some(bill) = bills.swap_remove(&number) {
                self.board.stored_copies.lock().push(now, bill);
            }
        }
        if bills.is_empty() {
            kept.swap_remove(&owner);
        }
        Ok(())
    }

    async fn rule_changes(&self, after: u64) -> Result<Vec<Vec<u8>>, PeerError> {
        let changes = self.board.rules.lock().since(after);
        let encoded = changes.iter().map(serde_json::to_vec);
        let encoded = encoded.collect::<Result<_, _>>();
        encoded.map_err(|e| PeerError::Malformed(e.to_string()))
    }
}
