//! The two interfaces at which things fail: the table and the peers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_trait::async_trait;
use fescue_core::Incarnation;
use fescue_peer::{BillCopies, Heartbeat, PeerApi, PeerError, TokenRequest};
use fescue_policy::ledger::Parts;
use fescue_policy::witness::{Noted, Notes, Report};
use fescue_standin::platform::InMemory;
use fescue_store::{Commit, Row, Table, TableError, Transaction};
use parking_lot::Mutex;

use super::Node;

/// What is cut, and which answers get lost.
#[derive(Default)]
pub struct Faults {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    links: BTreeSet<(usize, usize)>,
    stores: BTreeSet<usize>,
    silent: BTreeSet<usize>,
    lose_peer_answers: u32,
    no_hand_over: bool,
}

impl Faults {
    /// Cuts two routers off each other.
    pub fn cut(&self, a: usize, b: usize) {
        self.state.lock().links.extend([(a, b), (b, a)]);
    }

    /// Cuts a router off the table.
    pub fn cut_store(&self, node: usize) {
        self.state.lock().stores.insert(node);
    }

    /// Joins a router and the table again.
    pub fn join_store(&self, node: usize) {
        self.state.lock().stores.remove(&node);
    }

    /// Has a router answer no peer, as when it is frozen.
    pub fn silence(&self, node: usize) {
        self.state.lock().silent.insert(node);
    }

    /// Has a router answer again.
    pub fn unsilence(&self, node: usize) {
        self.state.lock().silent.remove(&node);
    }

    /// Loses the next answers of peers, after they took effect.
    pub fn lose_peer_answers(&self, count: u32) {
        self.state.lock().lose_peer_answers = count;
    }

    /// Has no router hand tokens over, for comparison.
    pub fn forbid_hand_over(&self) {
        self.state.lock().no_hand_over = true;
    }

    /// Ends all faults.
    pub fn clear(&self) {
        *self.state.lock() = State::default();
    }

    pub fn is_cut(&self, a: usize, b: usize) -> bool {
        let state = self.state.lock();
        let silent = state.silent.contains(&a) || state.silent.contains(&b);
        silent || state.links.contains(&(a, b))
    }

    fn loses_peer_answer(&self) -> bool {
        let mut state = self.state.lock();
        let loses = state.lose_peer_answers > 0;
        state.lose_peer_answers = state.lose_peer_answers.saturating_sub(1);
        loses
    }
}

/// One router's way to the table.
pub struct Port {
    memory: Arc<InMemory>,
    faults: Arc<Faults>,
    node: usize,
}

impl Port {
    pub fn open(memory: Arc<InMemory>, faults: Arc<Faults>, node: usize) -> Self {
        Self {
            memory,
            faults,
            node,
        }
    }

    fn pass(&self) -> Result<(), TableError> {
        if self.faults.state.lock().stores.contains(&self.node) {
            return Err(TableError::Unavailable("cut off".to_owned()));
        }
        Ok(())
    }
}

#[async_trait]
impl Table for Port {
    async fn read(&self, keys: &[String]) -> Result<Vec<Row>, TableError> {
        self.pass()?;
        self.memory.read(keys).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, TableError> {
        self.pass()?;
        self.memory.scan(prefix, after, limit).await
    }

    async fn transact(&self, transaction: &Transaction) -> Result<Commit, TableError> {
        self.pass()?;
        self.memory.transact(transaction).await
    }
}

/// One router's way to another.
pub struct Wire {
    faults: Arc<Faults>,
    from: usize,
    to: usize,
    link: Arc<dyn PeerApi>,
    alive: Arc<AtomicBool>,
}

impl Wire {
    pub fn open(faults: Arc<Faults>, from: usize, to: usize, target: &Node) -> Self {
        let link = Arc::clone(&target.answers);
        let alive = Arc::clone(&target.alive);
        Self {
            faults,
            from,
            to,
            link,
            alive,
        }
    }

    fn pass(&self) -> Result<(), PeerError> {
        let dead = !self.alive.load(Ordering::Acquire);
        if dead || self.faults.is_cut(self.from, self.to) {
            return Err(PeerError::Unreachable("cut off".to_owned()));
        }
        Ok(())
    }

    fn answer<T>(&self, answer: Result<T, PeerError>) -> Result<T, PeerError> {
        if self.faults.loses_peer_answer() {
            return Err(PeerError::Lost("told to lose it".to_owned()));
        }
        answer
    }
}

#[async_trait]
impl PeerApi for Wire {
    async fn heartbeat(&self, greeting: Heartbeat) -> Result<Heartbeat, PeerError> {
        self.pass()?;
        self.answer(self.link.heartbeat(greeting).await)
    }

    async fn take_tokens(&self, take: TokenRequest) -> Result<Parts, PeerError> {
        self.pass()?;
        if self.faults.state.lock().no_hand_over {
            return Ok(Parts::default());
        }
        self.answer(self.link.take_tokens(take).await)
    }

    async fn note(
        &self,
        from: Incarnation,
        epoch: u64,
        notes: Notes,
        whole: bool,
    ) -> Result<Noted, PeerError> {
        self.pass()?;
        self.answer(self.link.note(from, epoch, notes, whole).await)
    }

    async fn refuse(
        &self,
        owner: Incarnation,
        epoch: u64,
    ) -> Result<(Incarnation, Report), PeerError> {
        self.pass()?;
        self.answer(self.link.refuse(owner, epoch).await)
    }

    async fn keep_copies(&self, owner: Incarnation, copies: BillCopies) -> Result<(), PeerError> {
        self.pass()?;
        self.answer(self.link.keep_copies(owner, copies).await)
    }

    async fn rule_changes(&self, after: u64) -> Result<Vec<Vec<u8>>, PeerError> {
        self.pass()?;
        self.answer(self.link.rule_changes(after).await)
    }
}
