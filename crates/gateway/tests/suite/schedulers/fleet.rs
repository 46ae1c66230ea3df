//! Gateways that share engines, connected without sockets.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fescue_core::Tokens;
use fescue_gateway::catalog::Catalog;
use fescue_gateway::datagrams::{self, Network};
use fescue_gateway::gateway::Gateway;
use fescue_gateway::model::{Engine, Manifest};
use fescue_gateway::peers::Peer;
use fescue_gateway::schedulers::{self, Grant, Outcome, Place};
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::site::{self, Store, gateway_with, settings_text};
use crate::upstreams::upstream;

/// Time that a datagram takes.
pub const TRIP: Duration = Duration::from_millis(4);

/// The target of the route.
pub const TARGET: Duration = Duration::from_millis(400);

/// The number of tokens that fit into an engine's memory.
const MEMORY: u64 = 200_000;

/// A prompt.
#[derive(Clone, Copy, Debug)]
pub struct Prompt {
    pub input: u64,
    pub target: Duration,
    pub deadline: Duration,
}

pub const SHORT: Prompt = Prompt {
    input: 628,
    target: TARGET,
    deadline: Duration::from_secs(2),
};

/// A prompt that an engine of unknown rate reads in 1.1 s.
pub const LONG: Prompt = Prompt {
    input: 54_600,
    target: Duration::from_secs(4),
    deadline: Duration::from_secs(8),
};

type Inbox = mpsc::UnboundedSender<(Vec<u8>, SocketAddr)>;

/// The connections between all routers.
#[derive(Default)]
pub struct Wires {
    inboxes: Mutex<HashMap<SocketAddr, Inbox>>,
    /// The routers that no datagram reaches or leaves.
    cut: Mutex<HashSet<SocketAddr>>,
    /// How many of the next datagrams of each kind are lost.
    lost: Mutex<HashMap<String, u32>>,
    /// How many datagrams of each kind were sent.
    counts: Mutex<HashMap<String, u32>>,
    repeat: AtomicBool,
}

impl Wires {
    pub fn set_cut(&self, router: SocketAddr, cut: bool) {
        let mut routers = self.cut.lock();
        match cut {
            true => routers.insert(router),
            false => routers.remove(&router),
        };
    }

    pub fn lose(&self, kind: &str, count: u32) {
        self.lost.lock().insert(kind.to_owned(), count);
    }

    /// Sets whether each datagram arrives twice.
    pub fn set_repeat(&self, repeat: bool) {
        self.repeat.store(repeat, Ordering::Relaxed);
    }

    pub fn count(&self, kind: &str) -> u32 {
        self.counts.lock().get(kind).copied().unwrap_or_default()
    }

    /// Returns how often a datagram arrives.
    fn pass(&self, bytes: &[u8], ends: [SocketAddr; 2]) -> usize {
        let datagram: HashMap<String, serde_json::Value> =
            serde_json::from_slice(bytes).expect("a datagram");
        let kind = datagram.into_keys().next().expect("a kind");
        *self.counts.lock().entry(kind.clone()).or_default() += 1;
        if let Some(left) = self.lost.lock().get_mut(&kind).filter(|left| **left > 0) {
            *left -= 1;
            return 0;
        }
        let cut = self.cut.lock();
        match ends.iter().any(|end| cut.contains(end)) {
            true => 0,
            false => 1 + usize::from(self.repeat.load(Ordering::Relaxed)),
        }
    }
}

/// One router's end.
struct Wire {
    address: SocketAddr,
    wires: Arc<Wires>,
    inbox: tokio::sync::Mutex<mpsc::UnboundedReceiver<(Vec<u8>, SocketAddr)>>,
}

impl Network for Wire {
    async fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        let inbox = self.wires.inboxes.lock().get(&to).cloned();
        for _ in 0..self.wires.pass(bytes, [self.address, to]) {
            let (inbox, bytes, from) = (inbox.clone(), bytes.to_vec(), self.address);
            tokio::spawn(async move {
                sleep(TRIP).await;
                let arrived = inbox.map(|inbox| inbox.send((bytes, from)));
                drop(arrived);
            });
        }
        Ok(())
    }

    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        let received = self.inbox.lock().await.recv().await;
        let (bytes, from) = received.ok_or(io::ErrorKind::BrokenPipe)?;
        buffer[..bytes.len()].copy_from_slice(&bytes);
        Ok((bytes.len(), from))
    }
}

/// Routers that share four engines, which are one shard.
pub struct Fleet {
    pub routers: Vec<Arc<Gateway>>,
    pub network: Arc<Wires>,
}

fn address(router: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7001 + router as u16))
}

/// Returns a configuration whose only service has model engines.
pub fn manifest() -> Manifest {
    let mut manifest = site::manifest(1, Vec::new(), &[("yard", 1_000_000)]);
    for service in manifest.services.values_mut() {
        service.engine = Some(Engine {
            event_tokens: 1,
            memory: Tokens::new(MEMORY),
        });
    }
    manifest
}

impl Fleet {
    pub async fn start(routers: usize) -> Self {
        Self::start_with(routers, &[]).await
    }

    /// Starts routers of which those named in `off` have the setting off.
    pub async fn start_with(routers: usize, off: &[usize]) -> Self {
        let store = Store::open(1);
        let open = |index: usize| {
            let mut settings = settings_text(&format!("vm-{index}"));
            settings["scheduling"] = serde_json::json!(!off.contains(&index));
            gateway_with(&settings, &store)
        };
        let fleet = Self {
            routers: (0..routers).map(open).collect(),
            network: Arc::default(),
        };
        for (index, router) in fleet.routers.iter().enumerate() {
            router.set_catalog(Catalog::open(manifest()));
            for engine in ["e-0", "e-1", "e-2", "e-3"] {
                router.servers.lock().put(upstream(engine, false));
            }
            let (sender, inbox) = mpsc::unbounded_channel();
            let address = address(index);
            fleet.network.inboxes.lock().insert(address, sender);
            let wire = Wire {
                address,
                wires: Arc::clone(&fleet.network),
                inbox: tokio::sync::Mutex::new(inbox),
            };
            tokio::spawn(datagrams::run(Arc::clone(router), Arc::new(wire)));
        }
        fleet.list(|_| true);
        sleep(TRIP).await;
        fleet
    }

    /// Tells all routers which others are live.
    fn list(&self, live: impl Fn(usize) -> bool) {
        for (own, router) in self.routers.iter().enumerate() {
            let others = self.routers.iter().enumerate();
            let others = others.filter(|(index, _)| *index != own && live(*index));
            let peer = |(index, other): (usize, &Arc<Gateway>)| {
                Peer::new(&format!("vm-{index}"), address(index), other.incarnation)
            };
            router.peers.lock().set(others.map(peer).collect(), true);
        }
    }

    /// Takes a router off the lists of all others. It still runs.
    pub fn unlist(&self, router: usize) {
        self.list(|index| index != router);
    }

    pub fn address(&self, router: usize) -> SocketAddr {
        address(router)
    }

    /// Returns the home of the shard and the other routers.
    pub async fn roles(&self) -> (usize, Vec<usize>) {
        let granted = grant(self.ask(0, SHORT).await);
        let known = granted.ticket.home();
        let all = 0..self.routers.len();
        let home = all.clone().find(|index| Some(address(*index)) == known);
        let home = home.unwrap_or(0);
        drop(granted);
        sleep(10 * TRIP).await;
        (home, all.filter(|index| *index != home).collect())
    }

    /// Lets a router ask for an engine. All prompts have one shared prefix.
    pub async fn ask(&self, router: usize, prompt: Prompt) -> Outcome {
        let place = Place {
            number: rand::random(),
            service: "plain".parse().expect("a service"),
            shard: 0,
            prefix: Some(1),
            shared: 0,
            input: prompt.input,
            output: 100,
            rank: 0,
            team: 1,
            target: prompt.target,
            deadline: prompt.deadline,
            excluded: Vec::new(),
        };
        schedulers::ask(&self.routers[router], place, TARGET).await
    }

    /// Returns the tokens that the engines of the shards of a home have yet to read.
    pub fn reading(&self, home: usize) -> u64 {
        schedulers::sweep(&self.routers[home]);
        let reading = self.routers[home].metrics.reading_tokens.get();
        reading.try_into().expect("a number of tokens")
    }
}

pub fn grant(outcome: Outcome) -> Grant {
    match outcome {
        Outcome::Granted(grant) => grant,
        other => panic!("no engine was granted: {other:?}"),
    }
}
