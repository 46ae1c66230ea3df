//! Fixtures: a gateway with an in-memory store, its settings and its manifest.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use fescue_core::{Era, Incarnation, ServiceId, TeamId, Tokens};
use fescue_gateway::adapter::{ForwardContext, HeaderCodec, MalformedHeader, ResponseMeta};
use fescue_gateway::budget::{Budget, Message, Post, Request, Reservation, Shortage};
use fescue_gateway::gateway::Gateway;
use fescue_gateway::metrics::Metrics;
use fescue_gateway::model::{Call, Limits, Manifest, Route, RouteKind, Service, Team};
use fescue_gateway::peers::Peers;
use fescue_gateway::settings::Settings;
use fescue_standin::platform::InMemory;
use fescue_store::table::{Commit, Row, Table, TableError, Transaction};
use http::request::Parts;
use http::{HeaderMap, StatusCode};
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::task::{JoinHandle, yield_now};
use tokio::time::Instant;

/// An in-memory store whose clock starts at its creation.
pub struct Store {
    pub memory: InMemory,
    start: Instant,
}

impl Store {
    pub fn open(seed: u64) -> Arc<Self> {
        Arc::new(Self {
            memory: InMemory::open(seed),
            start: Instant::now(),
        })
    }
}

#[async_trait]
impl Table for Store {
    async fn read(&self, keys: &[String]) -> Result<Vec<Row>, TableError> {
        self.memory.read(keys).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, TableError> {
        self.memory.scan(prefix, after, limit).await
    }

    async fn transact(&self, transaction: &Transaction) -> Result<Commit, TableError> {
        self.memory.transact(transaction).await
    }

    fn clock(&self) -> Option<Duration> {
        Some(self.start.elapsed())
    }

    fn era(&self) -> Option<Era> {
        self.memory.era()
    }
}

struct Plain;

impl HeaderCodec for Plain {
    fn decode(&self, _head: &Parts) -> Result<Call, MalformedHeader> {
        Ok(Call::default())
    }

    fn encode(&self, head: &Parts, _sending: &ForwardContext<'_>) -> HeaderMap {
        head.headers.clone()
    }

    fn decode_response(&self, _status: StatusCode, _headers: &HeaderMap) -> ResponseMeta {
        ResponseMeta::default()
    }
}

/// Returns valid settings of a gateway on the given VM, as JSON.
pub fn settings_text(vm: &str) -> serde_json::Value {
    serde_json::json!({
        "vm": vm,
        "data_centre": "here",
        "listen": {
            "callers": "127.0.0.1:1",
            "ready": "127.0.0.1:2",
            "peers": "127.0.0.1:3",
            "metrics": "127.0.0.1:4",
        },
        "store": "127.0.0.1:5",
        "grace_s": 8,
        "relist_ms": 2000,
        "link_mbps": 1000,
        "retries": { "window_s": 10, "ratio": 0.2, "extra": 56 },
        "log": "info",
    })
}

pub fn parse(text: &serde_json::Value) -> Settings {
    Settings::parse("settings", &text.to_string()).expect("settings")
}

pub fn gateway(vm: &str, store: &Arc<Store>) -> Arc<Gateway> {
    gateway_with(&settings_text(vm), store)
}

/// Creates a gateway with the given settings.
pub fn gateway_with(settings: &serde_json::Value, store: &Arc<Store>) -> Arc<Gateway> {
    let table: Arc<dyn Table> = store.clone();
    Gateway::open(parse(settings), Box::new(Plain), table)
}

pub fn route(name: &str, host: &str, prefix: &str, split: &[(&str, u32)]) -> Route {
    let service = |(name, weight): &(&str, u32)| (name.parse().expect("a service"), *weight);
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(100),
        gap: None,
        priority: 0,
        split: split.iter().map(service).collect(),
        attempts: 2,
        anonymous: false,
        resumable: false,
        allowed_regions: Vec::new(),
    }
}

pub fn manifest(version: u64, routes: Vec<Route>, teams: &[(&str, u64)]) -> Manifest {
    let team = |(name, prepaid): &(&str, u64)| Team {
        name: name.parse().expect("a team"),
        keys: vec![format!("first-{name}"), format!("second-{name}")],
        priority: 0,
        prepaid: Some(Tokens::new(*prepaid)),
        allowed_regions: Vec::new(),
    };
    let service = Service {
        name: "plain".parse().expect("a service"),
        connections: 10,
        engine: None,
        warmup: None,
    };
    let services: IndexMap<ServiceId, Service> =
        [(service.name.clone(), service)].into_iter().collect();
    Manifest {
        version,
        routes: routes.into_iter().map(Arc::new).collect(),
        services,
        teams: Some(teams.iter().map(team).collect()),
        limits: Limits {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        },
    }
}

/// A network that delivers nothing.
struct Silence;

impl Post for Silence {
    fn send(&self, _to: SocketAddr, _message: Message) {}

    fn probe(&self, _routers: &[SocketAddr]) {}

    fn acknowledge(&self, _to: SocketAddr, _number: u64) {}
}

/// Returns the budget of a router that knows no others.
pub fn budget(vm: &str, store: &Arc<Store>) -> Arc<Budget> {
    let vm = vm.parse().expect("a VM");
    let peers = Arc::new(Mutex::new(Peers::open(&vm)));
    let table: Arc<dyn Table> = store.clone();
    let process = (vm, Incarnation::new(rand::random()));
    let metrics = Arc::new(Metrics::default());
    Budget::open(process, table, peers, Arc::new(Silence), metrics)
}

pub fn prepay(budget: &Budget, team: &TeamId, tokens: u64) {
    budget.set_prepaid([(team.clone(), Tokens::new(tokens))].into_iter().collect());
}

/// A request that waits for tokens.
pub type WaitingRequest = JoinHandle<Result<Reservation, Shortage>>;

/// Lets a request ask for tokens; returns once it has them or waits for them.
pub async fn ask(budget: &Arc<Budget>, team: &TeamId, tokens: u64) -> WaitingRequest {
    let (budget, team) = (Arc::clone(budget), team.clone());
    let waiting = tokio::spawn(async move {
        let now = Instant::now();
        let request = Request {
            team: &team,
            tokens: Tokens::new(tokens),
            rank: 0,
            target: now + Duration::from_millis(500),
            deadline: now + Duration::from_secs(3600),
        };
        budget.reserve(&request).await
    });
    yield_now().await;
    waiting
}

/// Returns what a request got; `None` if it still waits.
pub async fn outcome(waiting: &mut WaitingRequest) -> Option<Result<Reservation, Shortage>> {
    yield_now().await;
    if !waiting.is_finished() {
        return None;
    }
    Some(waiting.await.expect("a request"))
}

/// Returns the number of generated cases.
pub fn case_count(usual: u64) -> u64 {
    let set = std::env::var("FESCUE_CASES").ok();
    set.and_then(|cases| cases.parse().ok()).unwrap_or(usual)
}

/// Returns the seed of the first generated case.
pub fn first_seed() -> u64 {
    let set = std::env::var("FESCUE_SEED").ok();
    set.and_then(|seed| seed.parse().ok()).unwrap_or(1)
}
