//! Has witnesses note blocks before they are spent.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescue_core::{BudgetId, Incarnation, Tokens};
use fescue_peer::{PeerError, PeerService};
use fescue_policy::ledger::Parts;
use fescue_policy::witness::{self, Noted, Notes};
use fescue_policy::{account::AccountError, rendezvous};
use fescue_store::TableError;
use fescue_store::accounts::Accounts;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::Mutex;

use crate::blackboard::Board;

/// How long a witness may take to note a block.
const NOTE: Duration = Duration::from_millis(400);

/// How long a witness that gave no answer is not named again.
const PASSED_OVER: Duration = Duration::from_secs(5);

/// What this router's witnesses know.
#[derive(Default)]
struct Witnesses {
    /// All that was ever sent to be noted.
    notes: Notes,
    /// The witnesses that the table names.
    declared: Vec<Incarnation>,
    /// Counts how often they were named; what a witness noted under another epoch proves nothing.
    epoch: u64,
    /// Counts the tries to name witnesses.
    tries: u64,
    /// Set while the table may name others than `declared`.
    uncertain: bool,
    /// Those that hold all totals.
    seeded: HashSet<Incarnation>,
    /// Witnesses that gave no answer, and when; they are not named again for a while.
    failed: HashMap<Incarnation, Duration>,
    /// The closed incarnations that the table says are acknowledged.
    acknowledged: Vec<Incarnation>,
}

/// Has blocks noted.
#[derive(Clone)]
pub struct Clearing {
    board: Arc<Board>,
    accounts: Accounts,
    state: Arc<Mutex<Witnesses>>,
}

impl Clearing {
    /// Opens the clearing of a router that has no witnesses yet.
    pub fn new(board: Arc<Board>, accounts: Accounts) -> Self {
        let state = Arc::default();
        Self {
            board,
            accounts,
            state,
        }
    }

    /// Has free tokens noted, up to what is wanted of each budget, in one message to each witness.
    ///
    /// Returns whether they may be spent now.
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

    /// Names other witnesses when one is gone or more could be had, and acknowledges closings.
    pub async fn review(&self) {
        if self.board.fence() == 0 {
            return;
        }
        let mut state = self.state.lock().await;
        let now = self.board.now();
        state
            .failed
            .retain(|_, at| now.saturating_sub(*at) < PASSED_OVER);
        let wanted = self.candidates(&state);
        let acknowledged = self.acknowledged();
        let same = state.declared == wanted && state.acknowledged == acknowledged;
        if same && !state.uncertain {
            return;
        }
        let was_uncertain = std::mem::replace(&mut state.uncertain, true);
        let me = self.board.me.incarnation;
        // Each try has an epoch of its own, so that no two sets of witnesses ever share one.
        state.tries += 1;
        let epoch = state.tries;
        let declared = self
            .accounts
            .set_witnesses(me, epoch, &wanted, &acknowledged);
        match declared.await {
            Ok(()) => {
                tracing::info!(witnesses = ?wanted, closed = acknowledged.len(), "witnesses named");
                state.seeded.clear();
                state.epoch = epoch;
                state.declared = wanted;
                state.acknowledged = acknowledged;
                state.uncertain = false;
            }
            Err(TableError::Refused(AccountError::Closed(_))) => self.board.oust(),
            Err(TableError::Unavailable(_)) => state.uncertain = was_uncertain,
            Err(error) => {
                tracing::warn!(%error, "the table may name other witnesses");
            }
        }
    }

    /// Returns the witnesses to name: those that stay, then others of the own data centre.
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

    /// Returns the closed incarnations of which nothing is held here and never will be.
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
        if state.uncertain || self.board.ousted.load(Ordering::Acquire) {
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
            self.pass_over(state, &noted);
        }
        enough
    }

    /// Has others named in the place of witnesses that gave no answer, with the next round.
    fn pass_over(&self, state: &mut Witnesses, noted: &[Incarnation]) {
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
        // Only a new failure is worth a round of its own, or rounds would follow without a pause.
        if fresh > 0 {
            self.board.need.notify_one();
        }
    }

    /// Asks one witness; returns it if it noted the block.
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
                self.board.oust();
                None
            }
            Ok(Noted::Unseeded) | Err(_) => None,
        }
    }

    async fn send(
        &self,
        link: &Arc<dyn PeerService>,
        epoch: u64,
        notes: &Notes,
        whole: bool,
    ) -> Result<Noted, PeerError> {
        let me = self.board.me.incarnation;
        let answer = tokio::time::timeout(NOTE, link.note(me, epoch, notes.clone(), whole));
        let late = |_| PeerError::Lost("the witness is late".to_owned());
        answer.await.map_err(late)?
    }
}
