//! Routers as processes of their own on loopback, with the stand-ins in the test's process.

mod process;

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

/// The bearer key of the team `yard`.
pub const KEY: &str = "yard-key";

/// How long anything may take before a test fails.
const PATIENCE: Duration = Duration::from_secs(30);

/// How often a condition is looked at.
const LOOK: Duration = Duration::from_millis(20);

static SITES: AtomicU64 = AtomicU64::new(0);

/// A quick engine with room for eight requests.
pub const QUICK: Profile = Profile {
    slots: 8,
    prefill_us: 20,
    token_us: 1000,
    cache_blocks: 1024,
    fencing: false,
};

/// An engine slow enough that things can happen during a stream.
pub const SLOW: Profile = Profile {
    slots: 128,
    token_us: 10_000,
    ..QUICK
};

/// A running deployment.
pub struct Site {
    pub memory: Arc<InMemory>,
    pub engines: Vec<(Arc<Engine>, Server)>,
    pub registry: (Arc<Service>, Server),
    pub routers: Vec<Process>,
    pub caller: Caller,
    folder: PathBuf,
    platform: Server,
}

fn local() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

impl Site {
    /// Starts engines of a profile, a registry, and routers in the data centres named.
    pub async fn start(data_centres: &[&str], engines: usize, profile: Profile) -> Self {
        let memory = Arc::new(InMemory::open(1));
        let platform = Server::spawn(local(), platform::router(memory.clone())).await;
        let mut running = Vec::new();
        for _ in 0..engines {
            let engine = Arc::new(Engine::open(profile));
            let server = Server::spawn(local(), engine::router(engine.clone())).await;
            running.push((engine, server.expect("a port")));
        }
        let service = Arc::new(Service::default());
        let server = Server::spawn(local(), service::router(service.clone())).await;
        let number = SITES.fetch_add(1, Ordering::Relaxed);
        let folder = format!("fescue-site-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut site = Self {
            memory,
            engines: running,
            registry: (service, server.expect("a port")),
            routers: Vec::new(),
            caller: Caller::open(),
            folder,
            platform: platform.expect("a port"),
        };
        site.apply_rules("founding", &site.rules()).await;
        site.top_up("founding", 1_000_000).await;
        for data_centre in data_centres {
            site.start_router(data_centre).await;
        }
        site.wait_for_peers().await;
        site
    }

    /// Returns the rules of the deployment.
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

    /// Puts a text in force and returns its version.
    pub async fn apply_rules(&self, id: &str, text: &str) -> u64 {
        let config = Config::open(self.memory.clone(), self.memory.clone());
        let (version, old) = config.load().await.expect("the rules can be read");
        let new = RuleSet::parse("rules", text).expect("the rules parse");
        let delta = Delta::between(&old, &new);
        let id = id.parse().expect("a change id");
        match config.apply(&id, version, "Awa", &delta).await {
            Ok(ChangeOutcome::Version(version)) => version,
            other => panic!("the rules aren't in force: {other:?}"),
        }
    }

    pub async fn top_up(&self, id: &str, amount: u64) {
        let budget: BudgetId = "yard/main".parse().expect("a budget");
        let id = id.parse().expect("a change id");
        let accounts = Accounts::open(self.memory.clone());
        let credited = accounts
            .top_up(&id, &budget, Tokens::new(amount), "Awa")
            .await;
        credited.expect("the store is up");
    }

    /// Starts one more router and waits until it is ready.
    pub async fn start_router(&mut self, data_centre: &str) {
        let vm = format!("vm-{}", self.routers.len());
        let platform = self.platform.address;
        let process = Process::spawn(&self.folder, &vm, data_centre, platform).await;
        self.routers.push(process);
        self.list_vms();
        let operators = self.routers[self.routers.len() - 1].operators;
        self.wait_for_answer(operators, "/readyz", 200).await;
    }

    /// Has the platform list all routers.
    fn list_vms(&self) {
        let list = |router: &Process| Vm {
            vm: router.vm.parse().expect("a vm"),
            address: router.peers,
            data_centre: router.data_centre.parse().expect("a data centre"),
            state: VmState::Live,
        };
        self.memory.set_vms(self.routers.iter().map(list).collect());
    }

    async fn wait_for_peers(&self) {
        let all = self.routers.len() - 1;
        for index in 0..self.routers.len() {
            eventually("all routers hear of each other", || async {
                self.status(index).await["peers"].as_u64() == Some(all as u64)
            })
            .await;
        }
    }

    async fn wait_for_answer(&self, to: SocketAddr, path: &str, status: u16) {
        eventually(path, || async {
            let answer = self.caller.send(to, &Request::get(path)).await;
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

    /// Asks a router's admin API.
    pub async fn admin(&self, ask: &Request) -> Response {
        let key = ask.key.clone().or(Some(process::OPERATOR.to_owned()));
        let ask = Request { key, ..ask.clone() };
        let answer = self.caller.send(self.routers[0].operators, &ask).await;
        answer.unwrap_or_else(|error| panic!("no answer: {error}"))
    }

    /// Returns a router's own status.
    pub async fn status(&self, index: usize) -> serde_json::Value {
        let ask = Request {
            key: Some(process::OPERATOR.to_owned()),
            ..Request::get("/admin/v1/status")
        };
        let answer = self.caller.send(self.routers[index].operators, &ask).await;
        let body = answer.map(|answer| answer.body).unwrap_or_default();
        serde_json::from_str(&body).unwrap_or_default()
    }

    /// Sends a request to a router.
    pub async fn ask(&self, index: usize, ask: &Request) -> Response {
        let answer = self.caller.send(self.routers[index].callers, ask).await;
        answer.unwrap_or_else(|error| panic!("router {index} gave no answer: {error}"))
    }

    /// Sends a request in the background.
    pub fn ask_later(
        &self,
        index: usize,
        ask: &Request,
    ) -> tokio::task::JoinHandle<Option<Response>> {
        let (caller, to, ask) = (
            self.caller.clone(),
            self.routers[index].callers,
            ask.clone(),
        );
        tokio::spawn(async move { caller.send(to, &ask).await.ok() })
    }

    /// Opens streams at a router, named `r-0` and so on, and waits until engines run them all.
    ///
    /// The prompt of each is `lot N`.
    pub async fn open_streams(
        &self,
        index: usize,
        count: usize,
        most: u64,
    ) -> Vec<tokio::task::JoinHandle<Option<Response>>> {
        let ask = |n| chat(&format!("r-{n}"), &format!("lot {n}"), most);
        let open = (0..count).map(|n| self.ask_later(index, &ask(n))).collect();
        let loads = || self.engines.iter().map(|(engine, _)| engine.load().started);
        eventually("the streams are open", || async {
            loads().sum::<u64>() >= count as u64
        })
        .await;
        open
    }

    /// Returns the tokens billed, by request; fails on a request that is billed twice.
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

    /// Waits until this many requests are billed.
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
        let _gone = std::fs::remove_dir_all(&self.folder);
    }
}

/// Waits until a condition holds.
pub async fn eventually<F>(what: &str, mut holds: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let deadline = tokio::time::Instant::now() + PATIENCE;
    while !holds().await {
        assert!(tokio::time::Instant::now() < deadline, "never came: {what}");
        tokio::time::sleep(LOOK).await;
    }
}

/// Returns the purchase with an id.
pub fn purchase(id: &str) -> Request {
    let body = r#"{"seller":"cooperative 7","kg":40}"#;
    Request::post("/services/purchases/register", KEY, body).with_id(id)
}

/// Returns a streamed chat with an id.
pub fn chat(id: &str, prompt: &str, most: u64) -> Request {
    Request::chat(KEY, "price", prompt, most).with_id(id)
}

/// Returns the whole text that an engine generates for a prompt.
pub fn expected_text(prompt: &str, most: u64) -> String {
    (0..most)
        .map(|place| engine::completion_token(prompt.as_bytes(), place))
        .collect()
}
