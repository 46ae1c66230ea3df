//! Clears blocks of tokens: witnesses record each block before it is spent.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescue_core::{BudgetId, Incarnation, Tokens};
use fescue_peer::{PeerApi, PeerError};
use fescue_policy::ledger::Parts;
use fescue_policy::witness::{self, Noted, Notes};
use fescue_policy::{account::AccountError, rendezvous};
use fescue_store::TableError;
use fescue_store::accounts::Accounts;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::Mutex;

use crate::blackboard::Board;

/// The timeout for a witness to record a block.
const NOTE_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a witness that did not answer is excluded from selection.
const EXCLUSION_PERIOD: Duration = Duration::from_secs(5);

/// The witnesses of this router and what they have recorded.
#[derive(Default)]
struct Witnesses {
    /// All totals ever sent to witnesses.
    notes: Notes,
    /// The witnesses declared in the table.
    declared: Vec<Incarnation>,
    /// The epoch of the declared set; notes recorded under another epoch prove nothing.
    epoch: u64,
    /// The number of attempts to declare witnesses.
    attempts: u64,
    /// Whether the table may hold a set other than `declared`.
    uncertain: bool,
    /// The witnesses that hold all totals.
    seeded: HashSet<Incarnation>,
    /// When each excluded witness failed to answer, in the time of the board.
    failed: HashMap<Incarnation, Duration>,
    /// The closed incarnations that the table lists as acknowledged.
    acknowledged: Vec<Incarnation>,
}

/// Clears blocks of tokens with the witnesses of this router.
#[derive(Clone)]
pub struct Clearing {
    board: Arc<Board>,
    accounts: Accounts,
    state: Arc<Mutex<Witnesses>>,
}

impl Clearing {
    /// Creates the clearing of a router without witnesses.
    pub fn new(board: Arc<Board>, accounts: Accounts) -> Self {
        let state = Arc::default();
        Self {
            board,
            accounts,
            state,
        }
    }

    /// Clears free tokens up to the amount wanted of each budget, in one message per witness.
    ///
    /// Returns whether the tokens may be spent.
    pub async fn clear(&self, wants: &[(BudgetId, Tokens)]) -> bool {
        let mut state = self.state.lock().await;
        let mut blocks = Vec::new();
        {
            let mut ledger = self.board.ledger.lock();
            for (budget, want) in wants {
                let parts = ledger.start_clearing(budget, *want);
                if !parts.is_empty() {
                    blocks.push((budget.clone(), parts));
                }
            }
        }
        if blocks.is_empty() {
            return true;
        }
        let noted = self.note(&mut state, &blocks).await;
        let mut ledger = self.board.ledger.lock();
        for (budget, parts) in &blocks {
            ledger.end_clearing(budget, parts, noted);
        }
        noted
    }

    /// Declares a new set of witnesses when the candidates change, and acknowledges closings.
    pub async fn review(&self) {
        if self.board.fence() == 0 {
            return;
        }
        let mut state = self.state.lock().await;
        let now = self.board.now();
        state
            .failed
            .retain(|_, at| now.saturating_sub(*at) < EXCLUSION_PERIOD);
        let wanted = self.candidates(&state);
        let acknowledged = self.acknowledged();
        let same = state.declared == wanted && state.acknowledged == acknowledged;
        if same && !state.uncertain {
            return;
        }
        let was_uncertain = std::mem::replace(&mut state.uncertain, true);
        let me = self.board.me.incarnation;
        // Each attempt has its own epoch, so that no two sets of witnesses share one.
        state.attempts += 1;
        let epoch = state.attempts;
        let declared = self
            .accounts
            .set_witnesses(me, epoch, &wanted, &acknowledged);
        match declared.await {
            Ok(()) => {
                tracing::info!(witnesses = ?wanted, closed = acknowledged.len(), "witnesses declared");
                state.seeded.clear();
                state.epoch = epoch;
                state.declared = wanted;
                state.acknowledged = acknowledged;
                state.uncertain = false;
            }
            Err(TableError::Refused(AccountError::Closed(_))) => self.board.evict(),
            Err(TableError::Unavailable(_)) => state.uncertain = was_uncertain,
            Err(error) => {
                tracing::warn!(%error, "declaring witnesses failed; the table may hold another set");
            }
        }
    }

    /// Declares the witnesses anew before the next block, since the row may name others.
    pub(super) async fn redeclare(&self) {
        self.state.lock().await.uncertain = true;
    }

    /// Returns the witnesses to declare: current ones that remain eligible, then other members of
    /// the same data centre.
    fn candidates(&self, state: &Witnesses) -> Vec<Incarnation> {
        let me = &self.board.me;
        let members = self.board.members.lock();
        let near = members.alive();
        let near = near.filter(|(_, m)| m.data_centre == me.data_centre && !m.leaving);
        let near = near.map(|(incarnation, _)| incarnation);
        let mut near: Vec<_> = near.filter(|i| !state.failed.contains_key(i)).collect();
        rendezvous::sort_by_rank(me.incarnation.get(), &mut near);
        let kept = state.declared.iter().filter(|w| near.contains(w)).copied();
        let mut chosen: Vec<_> = kept.collect();
        let new: Vec<_> = near
            .iter()
            .filter(|w| !chosen.contains(w))
            .copied()
            .collect();
        chosen.extend(new);
        chosen.truncate(witness::target_count(near.len()));
        chosen
    }

    /// Returns the closed incarnations whose tokens and bills this router no longer holds and will
    /// not accept again.
    fn acknowledged(&self) -> Vec<Incarnation> {
        let mut closed: Vec<_> = self.board.closed.lock().iter().copied().collect();
        closed.sort_unstable();
        let ledger = self.board.ledger.lock();
        closed.retain(|origin| ledger.holds_none_of(*origin));
        drop(ledger);
        let kept = self.board.kept.lock();
        let bills = kept.values().flat_map(|bills| bills.values());
        let charged: HashSet<_> = bills
            .flat_map(|bill| bill.charges.iter().map(|part| part.origin))
            .collect();
        closed.retain(|origin| !charged.contains(origin) && !kept.contains_key(origin));
        closed
    }

    async fn note(&self, state: &mut Witnesses, blocks: &[(BudgetId, Parts)]) -> bool {
        if state.uncertain || self.board.evicted.load(Ordering::Acquire) {
            return false;
        }
        let mut block = Notes::default();
        for (budget, parts) in blocks {
            state.notes.add(budget, parts);
            for part in parts.iter() {
                let total = state.notes.get(budget, part.origin);
                block.raise(budget, part.origin, total);
            }
        }
        if state.declared.is_empty() {
            return true;
        }
        let majority = witness::majority(state.declared.len());
        let (notes, declared) = (&state.notes, state.declared.clone());
        let mut asked: FuturesUnordered<_> = declared
            .iter()
            .map(|w| self.ask(*w, state.epoch, state.seeded.contains(w), &block, notes))
            .collect();
        let mut noted = Vec::new();
        while let Some(answer) = asked.next().await {
            noted.extend(answer);
            if noted.len() >= majority {
                break;
            }
        }
        drop(asked);
        state.seeded.extend(&noted);
        let enough = noted.len() >= majority;
        if !enough {
            self.exclude_silent(state, &noted);
        }
        enough
    }

    /// Excludes the witnesses that did not answer, so that the next round replaces them.
    fn exclude_silent(&self, state: &mut Witnesses, noted: &[Incarnation]) {
        let now = self.board.now();
        let silent = state.declared.iter().filter(|w| !noted.contains(w));
        let silent: Vec<_> = silent.copied().collect();
        let fresh = silent
            .iter()
            .filter(|w| !state.failed.contains_key(w))
            .count();
        state
            .failed
            .extend(silent.iter().map(|witness| (*witness, now)));
        // Only a new failure triggers a round; otherwise rounds would follow without a pause.
        if fresh > 0 {
            self.board.need.notify_one();
        }
    }

    /// Asks one witness to record the block; returns the witness if it did.
    async fn ask(
        &self,
        witness: Incarnation,
        epoch: u64,
        seeded: bool,
        block: &Notes,
        whole: &Notes,
    ) -> Option<Incarnation> {
        let link = self.board.members.lock().link(witness)?;
        let notes = if seeded { block } else { whole };
        let noted = match self.send(&link, epoch, notes, !seeded).await {
            Ok(Noted::Unseeded) => self.send(&link, epoch, whole, true).await,
            answer => answer,
        };
        match noted {
            Ok(Noted::Yes) => Some(witness),
            Ok(Noted::Refused) => {
                self.board.evict();
                None
            }
            Ok(Noted::Unseeded) | Err(_) => None,
        }
    }

    async fn send(
        &self,
        link: &Arc<dyn PeerApi>,
        epoch: u64,
        notes: &Notes,
        whole: bool,
    ) -> Result<Noted, PeerError> {
        let me = self.board.me.incarnation;
        let answer = tokio::time::timeout(NOTE_TIMEOUT, link.note(me, epoch, notes.clone(), whole));
        let late = |_| PeerError::Lost("witness did not answer in time".to_owned());
        answer.await.map_err(late)?
    }
}
