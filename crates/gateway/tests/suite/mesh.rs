//! Many routers' budgets connected without a network, before a store with the rates of the platform's.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use async_trait::async_trait;
use fescue_core::{Era, Incarnation, TeamId, Tokens, hash};
use fescue_gateway::budget::{self, Budget, Goal, Message, Post};
use fescue_gateway::metrics::Metrics;
use fescue_gateway::peers::{Peer, Peers};
use fescue_policy::homes;
use fescue_store::table::{Commit, Row, Table, TableError, Transaction, partition};
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::{Instant, sleep, sleep_until};

use super::site::Store;

/// Time that a datagram takes between two routers.
const TRIP: Duration = Duration::from_micros(500);

/// Time that the store takes for a read.
const READ_TIME: Duration = Duration::from_millis(4);

/// Time that a partition of the store takes for a transaction, one after the other.
const TRANSACTION_TIME: Duration = Duration::from_millis(5);

/// Time after which a call that is not answered fails.
const SILENCE: Duration = Duration::from_millis(700);

/// The waiting time from which on a partition refuses transactions.
const MAX_QUEUE: Duration = Duration::from_secs(1);

/// A store whose partitions apply one transaction after the other.
pub struct PacedStore {
    inner: Arc<Store>,
    free: Mutex<HashMap<String, Instant>>,
    /// Transactions that were refused because too many waited.
    pub refused: AtomicU64,
    down: watch::Sender<bool>,
}

impl PacedStore {
    pub fn open() -> Arc<Self> {
        Arc::new(Self {
            inner: Store::open(1),
            free: Mutex::default(),
            refused: AtomicU64::new(0),
            down: watch::Sender::new(false),
        })
    }

    /// Copies the contents.
    pub fn copy(&self) {
        self.inner.memory.copy();
    }

    /// Comes back from the latest copy.
    pub fn restore(&self) {
        self.inner.memory.restore();
    }

    /// Starts or ends an outage, in which no call is answered.
    pub fn set_down(&self, down: bool) {
        self.down.send_replace(down);
    }

    async fn wait(&self, time: Duration) -> Result<(), TableError> {
        sleep(time).await;
        if *self.down.borrow() {
            sleep(Duration::from_millis(700)).await;
            return Err(TableError::Unavailable("no answer".to_owned()));
        }
        Ok(())
    }
}

#[async_trait]
impl Table for PacedStore {
    async fn read(&self, keys: &[String]) -> Result<Vec<Row>, TableError> {
        self.wait(READ_TIME).await?;
        self.inner.read(keys).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, TableError> {
        self.wait(READ_TIME).await?;
        self.inner.scan(prefix, after, limit).await
    }

    async fn transact(&self, transaction: &Transaction) -> Result<Commit, TableError> {
        self.wait(Duration::ZERO).await?;
        let part = transaction
            .put
            .first()
            .map(|put| partition(&put.key).to_owned());
        let done = {
            let mut free = self.free.lock();
            let free = free
                .entry(part.unwrap_or_default())
                .or_insert_with(Instant::now);
            let start = (*free).max(Instant::now());
            if start - Instant::now() > MAX_QUEUE {
                self.refused.fetch_add(1, Ordering::Relaxed);
                return Err(TableError::Unavailable("too many calls".to_owned()));
            }
            *free = start + TRANSACTION_TIME;
            *free
        };
        sleep_until(done).await;
        self.inner.transact(transaction).await
    }

    fn clock(&self) -> Option<Duration> {
        self.inner.clock()
    }

    fn era(&self) -> Option<Era> {
        self.inner.era()
    }
}

/// What becomes of a router's calls to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reach {
    /// They arrive.
    #[default]
    Open,
    /// They are refused at once.
    Refused,
    /// They are not answered.
    Silent,
    /// They arrive, and the answers of transactions are lost.
    Lost,
}

/// One router's way to the store.
pub struct Way {
    store: Arc<PacedStore>,
    reach: Mutex<Reach>,
    /// Transactions that have arrived.
    pub writes: AtomicU64,
}

impl Way {
    /// Sets what becomes of the calls that begin from now on.
    pub fn set(&self, reach: Reach) {
        *self.reach.lock() = reach;
    }

    async fn pass(&self) -> Result<(), TableError> {
        let reach = *self.reach.lock();
        if matches!(reach, Reach::Open | Reach::Lost) {
            return Ok(());
        }
        if reach == Reach::Silent {
            sleep(SILENCE).await;
        }
        Err(TableError::Unavailable("cut off".to_owned()))
    }
}

#[async_trait]
impl Table for Way {
    async fn read(&self, keys: &[String]) -> Result<Vec<Row>, TableError> {
        self.pass().await?;
        self.store.read(keys).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, TableError> {
        self.pass().await?;
        self.store.scan(prefix, after, limit).await
    }

    async fn transact(&self, transaction: &Transaction) -> Result<Commit, TableError> {
        self.pass().await?;
        self.writes.fetch_add(1, Ordering::Relaxed);
        let lost = *self.reach.lock() == Reach::Lost;
        let done = self.store.transact(transaction).await;
        match lost {
            true => Err(TableError::Lost("no answer".to_owned())),
            false => done,
        }
    }

    fn clock(&self) -> Option<Duration> {
        self.store.clock()
    }

    fn era(&self) -> Option<Era> {
        self.store.era()
    }
}

/// The datagrams that were sent, by kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub asks: u64,
    pub held: u64,
    pub gifts: u64,
    pub returns: u64,
    pub probes: u64,
    pub rows: u64,
    /// Questions to witnesses, of holders and of those who take tokens back.
    pub witness: u64,
}

impl Counts {
    /// Returns the number of all datagrams, with the acknowledgements of returns and probes.
    pub fn all(&self) -> u64 {
        self.asks
            + self.held
            + self.gifts
            + 2 * (self.returns + self.probes)
            + self.rows
            + 2 * self.witness
    }
}

type Node = (Weak<Budget>, Incarnation, Arc<Mutex<Peers>>);

/// The connections between all routers.
#[derive(Default)]
pub struct Network {
    nodes: Mutex<HashMap<SocketAddr, Node>>,
    /// The pairs of routers between which no datagram arrives.
    cut: Mutex<HashSet<(SocketAddr, SocketAddr)>>,
    pub counts: Mutex<Counts>,
}

impl Network {
    fn node(&self, address: SocketAddr) -> Option<Node> {
        self.nodes.lock().get(&address).cloned()
    }

    fn connects(&self, from: SocketAddr, to: SocketAddr) -> bool {
        !self.cut.lock().contains(&(from.min(to), from.max(to)))
    }
}

struct Wire {
    network: Arc<Network>,
    from: SocketAddr,
}

impl Wire {
    fn deliver(
        &self,
        to: SocketAddr,
        act: impl FnOnce(&Network, SocketAddr, Node) + Send + 'static,
    ) {
        let (network, from) = (Arc::clone(&self.network), self.from);
        tokio::spawn(async move {
            sleep(TRIP).await;
            if let Some(node) = network.node(to).filter(|_| network.connects(from, to)) {
                act(&network, from, node);
            }
        });
    }

    /// Lets `to` answer, so that this router knows that it runs.
    fn sign_of_life(&self, to: SocketAddr, number: Option<u64>) {
        self.deliver(to, move |network, from, (_, incarnation, _)| {
            if let Some((budget, _, peers)) = network.node(from) {
                peers.lock().mark_responsive(to, incarnation);
                if let (Some(budget), Some(number)) = (budget.upgrade(), number) {
                    budget.close_return(number);
                }
            }
        });
    }
}

impl Post for Wire {
    fn send(&self, to: SocketAddr, message: Message) {
        {
            let mut counts = self.network.counts.lock();
            let count = match &message {
                Message::Ask(_) => &mut counts.asks,
                Message::Held(_) => &mut counts.held,
                Message::Gift(_) => &mut counts.gifts,
                Message::Return(_) => &mut counts.returns,
                Message::Row(_) => &mut counts.rows,
                Message::Extend(_) | Message::Fence(_) => &mut counts.witness,
                Message::Extended(_) | Message::Fenced(_) => &mut 0,
            };
            *count += 1;
        }
        self.deliver(to, move |_, from, (budget, ..)| {
            if let Some(budget) = budget.upgrade() {
                budget.receive(from, message);
            }
        });
    }

    fn probe(&self, routers: &[SocketAddr]) {
        let node = self.network.node(self.from);
        for router in routers {
            let due = node.as_ref().is_some_and(|(_, _, peers)| {
                peers.lock().start_probe(*router, Duration::from_millis(40))
            });
            if due {
                self.network.counts.lock().probes += 1;
                self.sign_of_life(*router, None);
            }
        }
    }

    fn acknowledge(&self, to: SocketAddr, number: u64) {
        // The sender of the return learns that this router has it.
        let (network, from) = (Arc::clone(&self.network), self.from);
        let Some((_, incarnation, _)) = network.node(from) else {
            return;
        };
        self.deliver(to, move |_, _, (budget, _, peers)| {
            peers.lock().mark_responsive(from, incarnation);
            if let Some(budget) = budget.upgrade() {
                budget.close_return(number);
            }
        });
    }
}

/// A running router.
pub struct Router {
    pub budget: Arc<Budget>,
    pub way: Arc<Way>,
    tasks: Vec<AbortHandle>,
}

impl Router {
    /// Ends the process at once, as a kill would.
    fn end(&self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.end();
    }
}

/// A fleet of routers that know each other.
pub struct Fleet {
    pub store: Arc<PacedStore>,
    pub network: Arc<Network>,
    pub routers: Vec<Router>,
    goal: watch::Sender<Goal>,
}

fn address(index: usize) -> SocketAddr {
    let [.., high, low] = u32::try_from(index).expect("a small number").to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 7000))
}

impl Fleet {
    /// Starts `count` routers at about the same time.
    pub fn start(count: usize, prepaid: &IndexMap<TeamId, Tokens>) -> Self {
        let mut fleet = Self {
            store: PacedStore::open(),
            network: Arc::default(),
            routers: Vec::new(),
            goal: watch::Sender::new(Goal::Serve),
        };
        fleet.restart(count, prepaid);
        fleet
    }

    /// Kills all routers and starts them anew.
    pub fn restart(&mut self, count: usize, prepaid: &IndexMap<TeamId, Tokens>) {
        self.routers.clear();
        self.network.nodes.lock().clear();
        let incarnations: Vec<_> = (0..count)
            .map(|_| Incarnation::new(rand::random()))
            .collect();
        for index in 0..count {
            let others = (0..count).filter(|other| *other != index);
            let others = others.map(|other| {
                Peer::new(&format!("vm-{other}"), address(other), incarnations[other])
            });
            let router = self.spawn(index, incarnations[index], others.collect());
            router.budget.set_prepaid(prepaid.clone());
            self.routers.push(router);
        }
    }

    /// Ends a process for good. The other routers still list it.
    pub fn kill(&mut self, index: usize) {
        self.routers[index].end();
        self.network.nodes.lock().remove(&address(index));
    }

    /// Starts a process on the VM of one that has ended, and lists it in place of that one.
    pub fn start_again(&mut self, index: usize, prepaid: &IndexMap<TeamId, Tokens>) {
        let incarnation = Incarnation::new(rand::random());
        let mut others = self.listed();
        others.retain(|(other, _)| *other != index);
        let others = others.into_iter().map(|(_, peer)| peer).collect();
        self.routers[index] = self.spawn(index, incarnation, others);
        self.routers[index].budget.set_prepaid(prepaid.clone());
        self.relist();
    }

    /// Lets all routers list just those that run, as their heartbeats do after some time.
    pub fn relist(&self) {
        let listed = self.listed();
        for (address, (_, _, peers)) in self.network.nodes.lock().iter() {
            let others = listed.iter().filter(|(_, peer)| peer.address != *address);
            let others = others.map(|(_, peer)| *peer).collect();
            peers.lock().set(others, true);
        }
    }

    /// Returns the running routers, by their places.
    fn listed(&self) -> Vec<(usize, Peer)> {
        let nodes = self.network.nodes.lock();
        let running = (0..self.routers.len()).filter_map(|index| {
            let (_, incarnation, _) = nodes.get(&address(index))?;
            let peer = Peer::new(&format!("vm-{index}"), address(index), *incarnation);
            Some((index, peer))
        });
        running.collect()
    }

    /// Cuts a router off from all others, or ends that.
    pub fn set_cut(&self, index: usize, cut: bool) {
        let others = (0..self.routers.len()).filter(|other| *other != index);
        others.for_each(|other| self.set_cut_between(index, other, cut));
    }

    /// Cuts two routers off from each other, or ends that.
    pub fn set_cut_between(&self, one: usize, other: usize, cut: bool) {
        let (one, other) = (address(one), address(other));
        let pair = (one.min(other), one.max(other));
        let mut pairs = self.network.cut.lock();
        match cut {
            true => pairs.insert(pair),
            false => pairs.remove(&pair),
        };
    }

    /// Returns the routers that a team selects, best first, by their places.
    pub fn candidates(&self, team: &TeamId) -> Vec<usize> {
        let members: Vec<_> = (0..self.routers.len())
            .map(|index| hash::digest64(format!("vm-{index}").as_bytes()))
            .collect();
        homes::order(
            hash::digest64(team.as_str().as_bytes()),
            &members,
            members.len(),
        )
    }

    fn spawn(&self, index: usize, incarnation: Incarnation, others: Vec<Peer>) -> Router {
        let vm = format!("vm-{index}").parse().expect("a VM");
        let mut peers = Peers::open(&vm);
        peers.set(others, true);
        let peers = Arc::new(Mutex::new(peers));
        let wire = Wire {
            network: Arc::clone(&self.network),
            from: address(index),
        };
        let way = Arc::new(Way {
            store: Arc::clone(&self.store),
            reach: Mutex::default(),
            writes: AtomicU64::default(),
        });
        let table: Arc<dyn Table> = way.clone();
        let metrics = Arc::new(Metrics::default());
        let process = (vm, incarnation);
        let budget = Budget::open(process, table, Arc::clone(&peers), Arc::new(wire), metrics);
        let node = (Arc::downgrade(&budget), incarnation, peers);
        self.network.nodes.lock().insert(address(index), node);
        let draws = tokio::spawn(budget::run(Arc::clone(&budget), self.goal.subscribe()));
        let timer = tokio::spawn(budget::run_timer(Arc::clone(&budget)));
        let extension = tokio::spawn(budget::run_extension(Arc::clone(&budget)));
        let reclaim = tokio::spawn(budget::run_reclaim(Arc::clone(&budget)));
        let settlement = tokio::spawn(budget::settlement::run(Arc::clone(&budget)));
        let tasks = [draws, timer, extension, reclaim, settlement];
        let tasks = tasks.iter().map(JoinHandle::abort_handle).collect();
        Router { budget, way, tasks }
    }
}
