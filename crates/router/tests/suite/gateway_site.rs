//! A gateway process between stand-ins for the platform: the fixture of the gateway's tests.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use fescue_site::caller::{Kind, Outcome, RequestSpec};
use fescue_site::engine::{RequestLog, Upstream};
use fescue_site::manifest::{ENGINES, LEDGER, Team, manifest, upstream_entry};
use fescue_site::process::{Gateway, GatewayOptions, Ports};
use fescue_site::store::{Server, Store};
use parking_lot::Mutex;
use serde_json::{Value, json};

/// The timeout for a gateway to become ready.
pub const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// The timeout for a gateway to exit.
///
/// It is far longer than the grace period, so that a slow machine isn't taken for a process that
/// hangs.
pub const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Memory of the smallest VM that a router runs on, in bytes.
pub const SMALLEST_VM_MEMORY: u64 = 160 << 20;

pub struct Site {
    pub store: Server,
    pub record: Arc<Mutex<RequestLog>>,
    pub engines: Vec<Upstream>,
    pub ledgers: Vec<Upstream>,
    pub team: Team,
    pub folder: PathBuf,
    /// Whether the gateways schedule prompts; the variable `FESCUE_SCHEDULING` turns it on for all tests.
    pub scheduling: bool,
}

impl Site {
    /// Starts a store, two engines and two ledgers, with one team that has `prepaid` tokens.
    pub async fn open(name: &str, prepaid: u64) -> Self {
        let store = Store::spawn().await.expect("a store");
        let record: Arc<Mutex<RequestLog>> = Arc::default();
        let mut site = Self {
            store,
            record,
            engines: Vec::new(),
            ledgers: Vec::new(),
            team: Team::new("yard", prepaid),
            folder: std::env::temp_dir().join(format!("fescue-{name}-{}", std::process::id())),
            scheduling: std::env::var_os("FESCUE_SCHEDULING").is_some(),
        };
        std::fs::create_dir_all(&site.folder).expect("a folder");
        for index in 0..2 {
            let engine = Upstream::spawn(&format!("e-{index}"), &site.record).await;
            site.engines.push(engine.expect("an engine"));
            let ledger = Upstream::spawn(&format!("l-{index}"), &site.record).await;
            site.ledgers.push(ledger.expect("a ledger"));
        }
        for engine in &site.engines {
            site.register(engine, ENGINES, false);
        }
        for ledger in &site.ledgers {
            site.register(ledger, LEDGER, false);
        }
        let manifest = manifest(1, std::slice::from_ref(&site.team));
        site.store.store.put("op", "config", &manifest);
        site
    }

    pub fn register(&self, upstream: &Upstream, service: &str, draining: bool) {
        let state = if draining { "draining" } else { "available" };
        self.register_with(upstream, service, &json!({ "state": state }));
    }

    /// Registers an upstream with an entry in which `fields` replace what it would say.
    pub fn register_with(&self, upstream: &Upstream, service: &str, fields: &Value) {
        let mut entry = upstream_entry(service, upstream.address, 8, false);
        entry["version"] = json!(upstream.version);
        for (name, value) in fields.as_object().into_iter().flatten() {
            entry[name] = value.clone();
        }
        self.store.store.put("servers", &upstream.id, &entry);
    }

    pub fn spawn(&self, vm: &str) -> Gateway {
        self.spawn_with(vm, false)
    }

    /// Starts a gateway that may refuse requests when it is crowded.
    pub fn spawn_with(&self, vm: &str, crowding: bool) -> Gateway {
        let start = GatewayOptions {
            program: Path::new(env!("CARGO_BIN_EXE_fescuedrift")),
            wrapper: &[],
            dir: &self.folder,
            vm,
            store: self.store.address,
            ports: Ports::allocate().expect("ports"),
            crowding,
            scheduling: self.scheduling,
        };
        Gateway::spawn(&start).expect("a gateway")
    }

    pub async fn ready(&self, vm: &str) -> Gateway {
        let gateway = self.spawn(vm);
        assert!(
            gateway.await_ready(READY_TIMEOUT).await,
            "the gateway is ready"
        );
        gateway
    }

    pub fn ask(&self, kind: Kind, id: &str) -> RequestSpec {
        RequestSpec::new(kind, &self.team, id)
    }

    pub fn runs(&self, id: &str) -> u32 {
        self.record.lock().runs.get(id).copied().unwrap_or_default()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if let Err(error) = std::fs::remove_dir_all(&self.folder) {
            eprintln!("{} can't be removed: {error}", self.folder.display());
        }
    }
}

pub fn status(seen: &Outcome) -> Option<u16> {
    match seen {
        Outcome::Refused { status, .. } => Some(status.as_u16()),
        _ => None,
    }
}
