//! What other routers may ask of this one.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::sync::Arc;

use async_trait::async_trait;
use fescue_core::{BudgetId, Incarnation, Tokens};
use fescue_peer::{BillCopies, Heartbeat, PeerError, PeerService, TokenRequest};
use fescue_policy::ledger::Parts;
use fescue_policy::witness::{Noted, Notes, Report};

use crate::allowance::Clearing;
use crate::blackboard::Board;

/// The last tokens that one peer was given of one budget.
#[derive(Clone, Debug)]
pub struct Given {
    number: u64,
    parts: Parts,
}

/// What every peer was given last, by peer and budget.
pub type AllGiven = HashMap<(Incarnation, BudgetId), Given>;

/// Returns what was given under this number before; a number that is late gets nothing.
fn given_before(given: &AllGiven, take: &TokenRequest) -> Option<Parts> {
    let last = given.get(&(take.from, take.budget.clone()))?;
    match last.number.cmp(&take.number) {
        Ordering::Less => None,
        Ordering::Equal => Some(last.parts.clone()),
        Ordering::Greater => Some(Parts::default()),
    }
}

/// Answers other routers.
pub struct Answers {
    board: Arc<Board>,
    clearing: Clearing,
}

impl Answers {
    /// Opens the answers of this router.
    pub fn open(board: Arc<Board>, clearing: Clearing) -> Self {
        Self { board, clearing }
    }

    /// Returns how much may be handed over.
    ///
    /// A peer asks only for what its waiting requests lack, so it gets all of that: keeping half
    /// back refused a request that the fleet could pay for. Of two routers that need the same budget only the one with the lower incarnation is given
    /// to, or both would hand over what they have and both would still be short.
    fn spare(&self, take: &TokenRequest) -> Tokens {
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
impl PeerService for Answers {
    async fn heartbeat(&self, greeting: Heartbeat) -> Result<Heartbeat, PeerError> {
        crate::membership::hear(&self.board, &greeting);
        Ok(crate::membership::greeting(&self.board))
    }

    async fn take_tokens(&self, take: TokenRequest) -> Result<Parts, PeerError> {
        if let Some(parts) = given_before(&self.board.given.lock(), &take) {
            return Ok(parts);
        }
        let spare = self.spare(&take);
        let cleared = {
            let ledger = self.board.ledger.lock();
            let purse = ledger.holding(&take.budget);
            purse.map_or(Tokens::ZERO, |purse| purse.cleared())
        };
        let more = spare.saturating_sub(cleared);
        if !more.is_zero() {
            // What is handed over counts as spent here, so it is noted first.
            let wants = [(take.budget.clone(), more)];
            self.clearing.clear(&wants).await;
        }
        let mut ledger = self.board.ledger.lock();
        let mut given = self.board.given.lock();
        // The same request may have come twice while the witnesses were asked.
        if let Some(parts) = given_before(&given, &take) {
            return Ok(parts);
        }
        let parts = ledger.give(&take.budget, spare);
        let number = take.number;
        tracing::info!(budget = %take.budget, to = %take.from, tokens = %parts.total(), "tokens handed to a peer");
        let answer = parts.clone();
        given.insert((take.from, take.budget), Given { number, parts });
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
        for number in copies.stored {
            bills.swap_remove(&number);
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
