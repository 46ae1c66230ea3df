//! A small deployment between stand-ins of the users' platform, and the record of a case.

pub mod engine;

use std::fmt::Display;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use fescue_site::caller::Outcome;
use fescue_site::engine::{RequestLog, Upstream};
use fescue_site::manifest::{ENGINES, LEDGER, Team, manifest, upstream_entry};
use fescue_site::process::{Gateway, GatewayOptions, Ports};
use fescue_site::store::{Server, Store};
use parking_lot::Mutex;
use rustix::process::Signal;
use serde_json::Value;

/// The longest time that a case may take.
const CASE_TIMEOUT: Duration = Duration::from_secs(115);

/// The longest time that a gateway may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// What a case found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

impl Verdict {
    /// Ends the process with the exit code of the verdict.
    pub fn exit(self) -> ! {
        std::process::exit(match self {
            Self::Held => 0,
            Self::Broken => 1,
            Self::NotRun => 2,
        })
    }
}

/// Returns whether the case runs with its disruption: `TROUBLE` isn't `0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<std::fs::File>>,
    start: Instant,
}

impl Record {
    /// Creates the file that the variable `RECORD` names, else `record.txt` in the working directory.
    pub fn open() -> std::io::Result<Self> {
        let path = std::env::var_os("RECORD").map_or("record.txt".into(), PathBuf::from);
        Ok(Self {
            file: Arc::new(Mutex::new(std::fs::File::create(path)?)),
            start: Instant::now(),
        })
    }

    /// Writes one line.
    pub fn line(&self, text: impl Display) {
        let seconds = self.start.elapsed().as_secs_f64();
        let line = format!("{seconds:8.3} s  {text}\n");
        if let Err(error) = self.file.lock().write_all(line.as_bytes()) {
            eprintln!("the record can't be written: {error}");
        }
    }
}

/// The store, the upstreams and one team of a small deployment.
pub struct Site {
    pub store: Server,
    pub requests: Arc<Mutex<RequestLog>>,
    pub team: Team,
    folder: PathBuf,
    program: PathBuf,
}

impl Site {
    /// Starts a store with a manifest of one team, and without upstreams.
    pub async fn open(prepaid: u64) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let program = std::env::var_os("GATEWAY").ok_or_else(|| {
            std::io::Error::other("the variable GATEWAY must name the program of the deploy file")
        })?;
        let team = Team::new("yard", prepaid);
        let store = Store::spawn().await?;
        let config = manifest(1, std::slice::from_ref(&team));
        store.store.put("op", "config", &config);
        Ok(Self {
            store,
            requests: Arc::default(),
            team,
            folder,
            program: program.into(),
        })
    }

    /// Starts an upstream of the project's stand-ins and registers it.
    pub async fn upstream(&self, service: &str, id: &str) -> std::io::Result<Upstream> {
        let upstream = Upstream::spawn(id, &self.requests).await?;
        let entry = upstream_entry(service, upstream.address, 16, false);
        self.register(id, &entry);
        Ok(upstream)
    }

    /// Starts two engines and two upstreams of the plain service.
    pub async fn upstreams(&self) -> std::io::Result<Vec<Upstream>> {
        let mut all = Vec::new();
        for (service, name) in [(ENGINES, "e"), (LEDGER, "l")] {
            for index in 0..2 {
                all.push(self.upstream(service, &format!("{name}-{index}")).await?);
            }
        }
        Ok(all)
    }

    /// Writes the entry of an upstream.
    pub fn register(&self, id: &str, entry: &Value) {
        self.store.store.put("servers", id, entry);
    }

    /// Starts a gateway on a VM, without waiting until it is ready.
    pub fn spawn(&self, vm: &str, ports: Ports) -> std::io::Result<Gateway> {
        Gateway::spawn(&GatewayOptions {
            program: &self.program,
            wrapper: &[],
            dir: &self.folder,
            vm,
            store: self.store.address,
            ports,
            crowding: true,
            scheduling: true,
        })
    }

    /// Starts a gateway on a VM and waits until it is ready.
    pub async fn ready(&self, vm: &str) -> std::io::Result<Gateway> {
        let gateway = self.spawn(vm, Ports::allocate()?)?;
        match gateway.await_ready(READY_TIMEOUT).await {
            true => Ok(gateway),
            false => Err(std::io::Error::other("a gateway is not ready in time")),
        }
    }

    /// Returns how often an upstream began to run a request.
    pub fn runs(&self, id: &str) -> u32 {
        self.requests.lock().runs.get(id).copied().unwrap_or(0)
    }

    /// Returns the folder of the settings files.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        // Only temporary files are left if this fails.
        let _removed = std::fs::remove_dir_all(&self.folder);
    }
}

/// Runs a case to its verdict; an error means that it could not run.
pub fn run_case<F>(case: impl FnOnce(Record) -> F)
where
    F: Future<Output = std::io::Result<Verdict>>,
{
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let verdict = Record::open().and_then(|record| {
        // What the case has started ends with it.
        let case = async { tokio::time::timeout(CASE_TIMEOUT, case(record)).await };
        let late = |_| std::io::Error::other("it takes too long");
        runtime.block_on(case).map_err(late)?
    });
    match verdict {
        Ok(verdict) => verdict.exit(),
        Err(error) => {
            eprintln!("the case can't run: {error}");
            Verdict::NotRun.exit()
        }
    }
}

/// Kills gateways at the same moment and waits for their ends.
pub async fn kill(gateways: impl IntoIterator<Item = Gateway>) {
    let gateways: Vec<_> = gateways.into_iter().collect();
    for gateway in &gateways {
        gateway.signal(Signal::KILL);
    }
    for gateway in gateways {
        if gateway.await_exit(Duration::from_secs(5)).await.is_some() {
            // Its process has been waited for: dropping it would send a signal to that id again.
            std::mem::forget(gateway);
        }
    }
}

/// Returns how a request ended, as its caller saw it.
pub fn describe(seen: &Outcome) -> String {
    match seen {
        Outcome::Served { .. } => "200".to_owned(),
        Outcome::Refused {
            status,
            retry_after,
        } => format!("{} retry-after {retry_after:?}", status.as_u16()),
        Outcome::Broken(error) => format!("broken: {error}"),
        Outcome::Wrong(text) => format!("wrong: {text}"),
    }
}
