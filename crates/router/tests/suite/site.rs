//! A deployment on loopback: each router is a process, the stand-ins run in the test's process.

mod limits;
mod process;

pub use limits::bounded;
pub use process::Process;

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fescue_core::hash::key_digest;
use fescue_core::rules::{Delta, RuleSet};
use fescue_core::{BudgetId, Tokens};
use fescue_standin::caller::{Caller, Request, Response};
use fescue_standin::engine::{self, Engine, Profile};
use fescue_standin::platform::{self, InMemory};
use fescue_standin::server::Server;
use fescue_standin::service::{self, Service};
use fescue_store::accounts::Accounts;
use fescue_store::billing::Billing;
use fescue_store::config::{ChangeOutcome, Config};
use fescue_store::{Vm, VmState};
use serde_json::Value;

/// The bearer key of the team `yard`.
pub const KEY: &str = "yard-key";

/// The time after which a condition that doesn't hold fails the test.
const TIMEOUT: Duration = Duration::from_secs(30);

/// The interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The number of the next site, which keeps the directories of parallel tests apart.
static NEXT_SITE: AtomicU64 = AtomicU64::new(0);

/// An engine that takes 1 ms per token and runs eight requests at a time.
pub const QUICK: Profile = Profile {
    slots: 8,
    prefill_us: 20,
    token_us: 1000,
    cache_blocks: 1024,
    fencing: false,
};

/// An engine that takes 10 ms per token, so that a test can inject faults during a stream.
pub const SLOW: Profile = Profile {
    slots: 128,
    token_us: 10_000,
    ..QUICK
};

/// A running deployment, whose routers are killed on drop.
pub struct Site {
    pub memory: Arc<InMemory>,
    pub engines: Vec<(Arc<Engine>, Server)>,
    pub registry: (Arc<Service>, Server),
    pub routers: Vec<Process>,
    pub caller: Caller,
    dir: PathBuf,
    /// The keys of the settings that differ from the usual ones, by section.
    changes: Value,
    platform: Server,
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

impl Site {
    /// Starts engines with the given profile, a registry, and one router per data centre.
    pub async fn start(data_centres: &[&str], engines: usize, profile: Profile) -> Self {
        Self::start_with(data_centres, engines, profile, Value::Null).await
    }

    /// Starts a deployment as [`Site::start`] does; `changes` replace keys in sections of the routers'
    /// settings.
    pub async fn start_with(
        data_centres: &[&str],
        engines: usize,
        profile: Profile,
        changes: Value,
    ) -> Self {
        let memory = Arc::new(InMemory::open(1));
        let platform = Server::spawn(loopback(), platform::router(memory.clone())).await;
        let mut running = Vec::new();
        for _ in 0..engines {
            let engine = Arc::new(Engine::open(profile));
            let server = Server::spawn(loopback(), engine::router(engine.clone())).await;
            running.push((engine, server.expect("a server on a free port")));
        }
        let service = Arc::new(Service::default());
        let server = Server::spawn(loopback(), service::router(service.clone())).await;
        let number = NEXT_SITE.fetch_add(1, Ordering::Relaxed);
        let dir = format!("fescue-site-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(dir);
        std::fs::create_dir_all(&dir).expect("the directory is created");
        let mut site = Self {
            memory,
            engines: running,
            registry: (service, server.expect("a server on a free port")),
            routers: Vec::new(),
            caller: Caller::open(),
            dir,
            changes,
            platform: platform.expect("a server on a free port"),
        };
        site.apply_rules("founding", &site.rules()).await;
        site.top_up("founding", 1_000_000).await;
        for data_centre in data_centres {
            site.start_router(data_centre).await;
        }
        site.wait_for_peers().await;
        site
    }

    /// Returns the rules of the deployment: one team, three priorities and all upstreams.
    pub fn rules(&self) -> String {
        let digest = key_digest(KEY);
        let mut text = format!(
            "priority urgent share=60 target=20s # asked by Awa\n\
             priority standard share=30 target=20s # asked by Awa\n\
             priority bulk share=10 target=20s # asked by Awa\n\
             team yard key={digest} priorities=standard,urgent # asked by Awa\n\
             budget yard/main # asked by Awa\n\
             service purchases price=20 repeat=never timeout=2s # asked by Awa\n"
        );
        for (index, (_, server)) in self.engines.iter().enumerate() {
            let at = server.address;
            text.push_str(&format!(
                "upstream engine-{index} at={at} data-centre=dakar-1 models=price slots=128 \
                 fencing=ignores orders=unchecked # asked by Awa\n"
            ));
        }
        let at = self.registry.1.address;
        text.push_str(&format!(
            "upstream registry at={at} data-centre=dakar-1 services=purchases slots=8 \
             fencing=ignores orders=unchecked # asked by Awa\n"
        ));
        text
    }

    /// Puts rules in force and returns their version.
    pub async fn apply_rules(&self, id: &str, text: &str) -> u64 {
        let config = Config::open(self.memory.clone(), self.memory.clone());
        let (version, old) = config.load().await.expect("the rules can be read");
        let new = RuleSet::parse("rules", text).expect("the rules parse");
        let delta = Delta::between(&old, &new);
        let id = id.parse().expect("a valid change id");
        match config.apply(&id, version, "Awa", &delta).await {
            Ok(ChangeOutcome::Version(version)) => version,
            other => panic!("applying the rules failed: {other:?}"),
        }
    }

    pub async fn top_up(&self, id: &str, amount: u64) {
        let budget: BudgetId = "yard/main".parse().expect("a valid budget id");
        let id = id.parse().expect("a valid change id");
        let accounts = Accounts::open(self.memory.clone());
        let credited = accounts
            .top_up(&id, &budget, Tokens::new(amount), "Awa")
            .await;
        credited.expect("the store is up");
    }

    /// Starts another router and waits until it is ready.
    pub async fn start_router(&mut self, data_centre: &str) {
        let vm = format!("vm-{}", self.routers.len());
        let platform = self.platform.address;
        let process =
            Process::spawn_with(&self.dir, &vm, data_centre, platform, &self.changes).await;
        self.routers.push(process);
        self.publish_vms();
        let operators = self.routers[self.routers.len() - 1].operators;
        self.wait_for_answer(operators, "/readyz", 200).await;
    }

    /// Sets the platform's list of VMs to those of all routers.
    fn publish_vms(&self) {
        let list = |router: &Process| Vm {
            vm: router.vm.parse().expect("a valid VM name"),
            address: router.peers,
            data_centre: router
                .data_centre
                .parse()
                .expect("a valid data centre name"),
            state: VmState::Live,
        };
        self.memory.set_vms(self.routers.iter().map(list).collect());
    }

    async fn wait_for_peers(&self) {
        let all = self.routers.len() - 1;
        for index in 0..self.routers.len() {
            eventually("router receives heartbeats from all peers", || async {
                self.status(index).await["peers"].as_u64() == Some(all as u64)
            })
            .await;
        }
    }

    async fn wait_for_answer(&self, to: SocketAddr, path: &str, status: u16) {
        eventually(path, || async {
            let answer = bounded(path, self.caller.send(to, &Request::get(path))).await;
            answer.is_ok_and(|answer| answer.status == status)
        })
        .await;
    }

    /// Waits until a version of the rules is in force on all routers.
    pub async fn wait_for_version(&self, version: u64) {
        for index in 0..self.routers.len() {
            eventually("the rules are in force", || async {
                self.status(index).await["rules"].as_u64() == Some(version)
            })
            .await;
        }
    }

    /// Calls the admin API of the first router, with the operator token unless `ask` has a key.
    pub async fn admin(&self, ask: &Request) -> Response {
        let key = ask.key.clone().or(Some(process::OPERATOR.to_owned()));
        let ask = Request { key, ..ask.clone() };
        let router = &self.routers[0];
        let answer = self.caller.send(router.operators, &ask);
        let answer = router.report().answer(&ask.path, answer).await;
        answer.unwrap_or_else(|error| panic!("admin API gave no answer: {error}"))
    }

    /// Returns the status of a router, or null if it doesn't answer.
    pub async fn status(&self, index: usize) -> serde_json::Value {
        self.routers[index].report().status(&self.caller).await
    }

    /// Sends a request to a router and returns its answer, which must arrive within a time limit.
    pub async fn ask(&self, index: usize, ask: &Request) -> Response {
        let router = &self.routers[index];
        let answer = self.caller.send(router.callers, ask);
        let name = ask.id.as_deref().unwrap_or(&ask.path);
        let answer = router.report().answer(name, answer).await;
        answer.unwrap_or_else(|error| panic!("router {index} gave no answer: {error}"))
    }

    /// Sends a request to a router from a background task, which fails if no answer arrives within a
    /// time limit.
    pub fn spawn_ask(
        &self,
        index: usize,
        ask: &Request,
    ) -> tokio::task::JoinHandle<Option<Response>> {
        let router = &self.routers[index];
        let (caller, to, report) = (self.caller.clone(), router.callers, router.report());
        let ask = ask.clone();
        tokio::spawn(async move {
            let name = ask.id.as_deref().unwrap_or(&ask.path);
            let answer = report.answer(name, caller.send(to, &ask)).await;
            answer.ok()
        })
    }

    /// Opens `count` streams at a router and waits until the engines run all of them.
    ///
    /// Stream N has the request id `r-N` and the prompt `lot N`.
    pub async fn open_streams(
        &self,
        index: usize,
        count: usize,
        max_tokens: u64,
    ) -> Vec<tokio::task::JoinHandle<Option<Response>>> {
        let ask = |n| chat(&format!("r-{n}"), &format!("lot {n}"), max_tokens);
        let open = (0..count).map(|n| self.spawn_ask(index, &ask(n))).collect();
        let loads = || self.engines.iter().map(|(engine, _)| engine.load().started);
        eventually("the streams are open", || async {
            loads().sum::<u64>() >= count as u64
        })
        .await;
        open
    }

    /// Returns the billed tokens of each request, and fails if a request is billed twice.
    pub async fn bills(&self) -> std::collections::BTreeMap<String, u64> {
        let billing = Billing::open(self.memory.clone(), self.memory.clone());
        let bills = billing.list(None).await.expect("the bills can be read");
        let mut found = std::collections::BTreeMap::new();
        for bill in bills {
            let twice = found.insert(bill.request.to_string(), bill.amount().get());
            assert!(twice.is_none(), "{} is billed twice", bill.request);
        }
        found
    }

    /// Waits until at least `count` requests are billed, and returns all bills.
    pub async fn wait_for_bills(&self, count: usize) -> std::collections::BTreeMap<String, u64> {
        eventually("the bills are stored", || async {
            self.bills().await.len() >= count
        })
        .await;
        self.bills().await
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.routers.clear();
        let _gone = std::fs::remove_dir_all(&self.dir);
    }
}

/// Polls a condition until it holds, and fails after [`TIMEOUT`]; `what` names the condition.
pub async fn eventually<F>(what: &str, mut condition: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(
            tokio::time::Instant::now() < deadline,
            "timed out waiting for: {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the request to register a purchase, under a request id.
pub fn purchase(id: &str) -> Request {
    let body = r#"{"seller":"cooperative 7","kg":40}"#;
    Request::post("/services/purchases/register", KEY, body).with_id(id)
}

/// Returns a request for a streamed chat completion, under a request id.
pub fn chat(id: &str, prompt: &str, max_tokens: u64) -> Request {
    Request::chat(KEY, "price", prompt, max_tokens).with_id(id)
}

/// Returns the text that an engine generates for a prompt up to `max_tokens`.
pub fn expected_text(prompt: &str, max_tokens: u64) -> String {
    text_of_version(engine::DEFAULT_VERSION, prompt, max_tokens)
}

/// Returns the text that an engine of a software version generates for a prompt up to `max_tokens`.
pub fn text_of_version(version: &str, prompt: &str, max_tokens: u64) -> String {
    (0..max_tokens)
        .map(|position| engine::completion_token(prompt.as_bytes(), version, position))
        .collect()
}
