//! A few routers joined in one process: the real controllers over a table in memory, with faults
//! at the two interfaces, and the clock paused.

mod node;
mod wire;

pub use node::Node;
pub use wire::{Faults, Port, Wire};

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use fescue_core::rules::{Book, Delta};
use fescue_core::{BudgetId, Incarnation, Tokens};
use fescue_policy::account::TopUpRow;
use fescue_router::membership;
use fescue_standin::platform::{Faults as StoreFaults, Memory};
use fescue_store::accounts::Accounts;
use fescue_store::billing::Billing;
use fescue_store::config::Config;
use fescue_store::table::scan_all;
use fescue_store::{Row, Table, TableError};

/// A fleet over one table.
pub struct Fleet {
    pub memory: Arc<Memory>,
    pub faults: Arc<Faults>,
    pub nodes: Vec<Option<Node>>,
    pub frozen: BTreeSet<usize>,
    starts: u64,
}

/// The rules of the fleet: one team with one budget.
pub const RULES: &str = "\
team yard key=0000000000000000000000000000000000000000000000000000000000000000 # asked by Awa
budget yard/main # asked by Awa
";

pub fn budget() -> BudgetId {
    "yard/main".parse().expect("a budget")
}

impl Fleet {
    /// Starts routers in the data centres named, and has them hear of each other.
    pub async fn start(data_centres: &[&'static str]) -> Self {
        let memory = Arc::new(Memory::open(1));
        let table: Arc<dyn Table> = memory.clone();
        let book = Book::parse("rules", RULES).expect("the rules parse");
        let delta = Delta::between(&Book::default(), &book);
        let id = "founding".parse().expect("a change id");
        let config = Config::open(table, memory.clone());
        let applied = config.apply(&id, 0, "Awa", &delta).await;
        applied.expect("the rules are in force");
        let mut fleet = Self {
            memory,
            faults: Arc::default(),
            nodes: Vec::new(),
            frozen: BTreeSet::new(),
            starts: 0,
        };
        for data_centre in data_centres {
            let node = fleet.make(fleet.nodes.len(), data_centre);
            fleet.nodes.push(Some(node));
        }
        fleet.settle_in().await;
        fleet
    }

    fn make(&mut self, index: usize, data_centre: &'static str) -> Node {
        self.starts += 1;
        let incarnation = Incarnation::new(self.starts * 100 + index as u64);
        let port = Port::open(self.memory.clone(), Arc::clone(&self.faults), index);
        Node::open(
            index,
            data_centre,
            incarnation,
            Arc::new(port),
            self.memory.clone(),
        )
    }

    /// Starts a router anew in the place of one that was killed.
    pub async fn restart(&mut self, index: usize, data_centre: &'static str) {
        let node = self.make(index, data_centre);
        self.nodes[index] = Some(node);
        self.settle_in().await;
    }

    /// Kills a router: all that it held in memory is gone.
    pub fn kill(&mut self, index: usize) -> Option<Node> {
        self.nodes[index].take().inspect(Node::die)
    }

    async fn settle_in(&mut self) {
        for _ in 0..2 {
            self.beat();
            for index in 0..self.nodes.len() {
                if let Some(node) = self.awake(index) {
                    node.config.run_round().await;
                    node.rounds.run_round().await;
                }
            }
        }
    }

    /// Returns a router that runs and isn't frozen.
    pub fn awake(&mut self, index: usize) -> Option<&mut Node> {
        if self.frozen.contains(&index) {
            return None;
        }
        self.nodes[index].as_mut()
    }

    /// Returns a router that must be running.
    pub fn node(&mut self, index: usize) -> &mut Node {
        self.awake(index).expect("the router runs")
    }

    /// Has all routers that reach each other exchange heartbeats.
    pub fn beat(&mut self) {
        let pairs = (0..self.nodes.len()).flat_map(|a| (0..self.nodes.len()).map(move |b| (a, b)));
        for (from, to) in pairs.filter(|(a, b)| a != b) {
            let (Some(sender), Some(receiver)) = (&self.nodes[from], &self.nodes[to]) else {
                continue;
            };
            let wire = Wire::open(Arc::clone(&self.faults), from, to, receiver);
            sender.know(receiver, Arc::new(wire));
            let frozen = self.frozen.contains(&from) || self.frozen.contains(&to);
            if frozen || self.faults.is_cut(from, to) {
                continue;
            }
            let greeting = membership::greeting(&receiver.board);
            membership::apply_greeting(&sender.board, &greeting);
        }
        for node in self.nodes.iter().flatten() {
            node.advance();
        }
    }

    /// Lets time pass, with heartbeats.
    pub async fn pass(&mut self, seconds: u64) {
        for _ in 0..seconds {
            tokio::time::advance(Duration::from_secs(1)).await;
            self.beat();
        }
    }

    /// Has every awake router look after closings, flush its bills and hold a round.
    pub async fn work(&mut self) {
        for index in 0..self.nodes.len() {
            if let Some(node) = self.awake(index) {
                node.closer.run_round().await;
                node.biller.flush().await;
                node.rounds.run_round().await;
            }
        }
    }

    /// Freezes a router: it does nothing and answers nobody until it is thawed.
    pub fn freeze(&mut self, index: usize) {
        self.frozen.insert(index);
        self.faults.silence(index);
    }

    /// Thaws a router.
    pub fn thaw(&mut self, index: usize) {
        self.frozen.remove(&index);
        self.faults.unsilence(index);
    }

    fn change_store(&self, change: impl FnOnce(&mut StoreFaults)) {
        let mut faults = self.memory.faults();
        change(&mut faults);
        self.memory.set_faults(faults);
    }

    /// Loses the answers of the table's next writes after they took effect.
    pub fn lose_store_answers(&self, count: u64) {
        self.change_store(|faults| faults.lose_next = count);
    }

    /// Has the table's next writes take effect only once they are let in.
    pub fn delay_store_writes(&self, count: u64) {
        self.change_store(|faults| faults.late_next = count);
    }

    /// Has each call of the table take a time, in milliseconds.
    pub fn set_store_delay(&self, delay_ms: u64) {
        self.change_store(|faults| faults.delay_ms = delay_ms);
    }

    /// Has the table refuse every call, or work again.
    pub fn set_outage(&self, outage: bool) {
        self.change_store(|faults| faults.outage = outage);
    }

    /// Checks the tokens, but not while the table can't be read.
    pub async fn check_unless_down(&self) {
        if !self.memory.faults().outage {
            self.check().await;
        }
    }

    /// Lets so much time pass that routers which are silent are noticed and then closed.
    pub async fn wait_for_closing(&mut self) {
        for _ in 0..2 {
            self.pass(8).await;
            self.work().await;
        }
    }

    /// Ends all faults and works until everything has settled.
    pub async fn heal(&mut self) {
        self.faults.clear();
        self.memory.set_faults(StoreFaults::default());
        self.memory.let_late_in();
        self.frozen.clear();
        for _ in 0..6 {
            self.pass(6).await;
            self.work().await;
        }
    }

    pub fn accounts(&self) -> Accounts {
        Accounts::open(self.memory.clone())
    }

    pub async fn top_up(&self, id: &str, amount: u64) -> Result<(), TableError> {
        let id = id.parse().expect("a change id");
        let (accounts, budget) = (self.accounts(), budget());
        let credited = accounts.top_up(&id, &budget, Tokens::new(amount), "Awa");
        credited.await.map(drop)
    }

    /// Returns what each request was billed, and fails on a request billed twice.
    pub async fn bills(&self) -> BTreeMap<String, u64> {
        let billing = Billing::open(self.memory.clone(), self.memory.clone());
        let bills = billing.list(None).await.expect("the bills can be read");
        let mut found = BTreeMap::new();
        for bill in bills {
            let before = found.insert(bill.request.to_string(), bill.amount().get());
            assert!(before.is_none(), "{} is billed twice", bill.request);
        }
        found
    }

    /// Checks that no token was made or lost, in the table and in every ledger.
    ///
    /// For each budget: credited = free + settled + Σ (drawn − returned); and for each origin, what
    /// all routers could still bill on its line is at most what the line has left.
    pub async fn check(&self) {
        let id = budget();
        let row = self.accounts().budget(&id).await.expect("the budget");
        let row = row.unwrap_or_default();
        let rows = self.accounts().allowances().await.expect("the allowances");
        let mut kept = Tokens::ZERO;
        let mut billed = row.settled;
        for (owner, allowance) in &rows {
            let Some(line) = allowance.lines.get(&id) else {
                continue;
            };
            let left = line.drawn.checked_sub(line.returned);
            let left = left.expect("no more is returned than was drawn");
            assert!(line.billed <= left, "{owner} is billed more than it has");
            kept = kept.saturating_add(left);
            billed = billed.saturating_add(line.billed);
        }
        let sum = row.free.saturating_add(row.settled).saturating_add(kept);
        assert_eq!(row.credited, sum, "tokens were made or lost in the table");
        let credited = self.top_ups().await;
        assert_eq!(
            row.credited, credited,
            "a top-up was credited twice or not at all"
        );
        let sum: u64 = self.bills().await.values().sum();
        assert_eq!(billed.get(), sum, "bills and charges differ");
        for (owner, allowance) in &rows {
            let line = allowance.lines.get(&id).cloned().unwrap_or_default();
            let closed = allowance.closed.is_some();
            let held = self.billable(*owner, closed);
            assert!(
                held <= line.outstanding(),
                "routers could bill {held} on {owner}, which has {}",
                line.outstanding()
            );
        }
    }

    /// Returns the sum of all top-ups that the table knows by their ids.
    async fn top_ups(&self) -> Tokens {
        let rows = scan_all(self.memory.as_ref(), "topup/").await;
        let rows = rows.expect("the table can be read");
        let decode = |row: &Row| row.decode::<TopUpRow>().expect("a top-up");
        let rows = rows.iter().filter_map(decode);
        rows.map(|row| row.amount).sum()
    }

    /// Returns what all routers hold of a line; of a closed one, only what witnesses noted.
    fn billable(&self, origin: Incarnation, closed: bool) -> Tokens {
        let nodes = self.nodes.iter().flatten();
        let held = nodes.map(|node| {
            let ledger = node.board.ledger.lock();
            let lot = ledger
                .holding(&budget())
                .and_then(|p| p.lot(origin).copied());
            let lot = lot.unwrap_or_default();
            let stored = node.stored_but_unconfirmed(origin);
            let free = if closed { Tokens::ZERO } else { lot.free };
            let spendable = lot.cleared.saturating_add(lot.reserved);
            let unbilled = lot.spent.saturating_sub(stored);
            free.saturating_add(spendable).saturating_add(unbilled)
        });
        held.sum()
    }
}
