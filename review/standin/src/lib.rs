//! A small deployment on loopback: gateway processes, the platform's store and its operator, and
//! the balancer's view of which gateways are ready.

use std::collections::HashSet;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use fescue_site::manifest::upstream_entry;
use fescue_site::process::Ports;
use fescue_site::proxy::{Faults, Proxy};
use fescue_site::store::{Server, Store};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};

/// The exit codes of a case.
pub const BROKEN: i32 = 1;
pub const HELD: i32 = 0;
pub const NOT_RUN: i32 = 2;

/// Returns whether the disruption is on.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A record of what happened, in a file, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the file `record.txt` in the folder that is the program's first argument.
    pub fn open() -> std::io::Result<Self> {
        let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
        let file = File::create(Path::new(&folder).join("record.txt"))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock();
        if let Err(error) = writeln!(file, "{at:8.3} s  {text}") {
            eprintln!("record not written: {error}");
        }
    }

    /// Writes a line, and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }
}

/// The longest time that a case may take.
const MAX_LENGTH: Duration = Duration::from_secs(115);

/// The gateway processes that run, and the folder of their settings and logs.
static PROCESSES: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Runs a case within the time limit, ends all processes that it started, and exits with its code.
pub async fn run_case<F>(case: impl FnOnce(Record) -> F)
where
    F: Future<Output = std::io::Result<i32>> + Send + 'static,
{
    let code = match Record::open() {
        Ok(record) => {
            let case = tokio::spawn(case(record.clone()));
            let mut terminate = signal(SignalKind::terminate()).expect("a handler for SIGTERM");
            let mut interrupt = signal(SignalKind::interrupt()).expect("a handler for SIGINT");
            let ended = tokio::select! {
                ended = timeout(MAX_LENGTH, case) => match ended {
                    Ok(Ok(Ok(code))) => Ok(code),
                    Ok(Ok(Err(error))) => Err(error.to_string()),
                    Ok(Err(error)) => Err(error.to_string()),
                    Err(_) => Err(format!("not done after {MAX_LENGTH:?}")),
                },
                _ = terminate.recv() => Err("terminated".to_owned()),
                _ = interrupt.recv() => Err("interrupted".to_owned()),
            };
            ended.unwrap_or_else(|error| {
                record.say(&format!("the case could not run: {error}"));
                NOT_RUN
            })
        }
        Err(error) => {
            eprintln!("record.txt can't be written: {error}");
            NOT_RUN
        }
    };
    for process in PROCESSES.lock().drain(..) {
        let mut process = process.lock();
        let _killed = process.kill();
        let _ended = process.wait();
    }
    if let Some(folder) = FOLDER.lock().take() {
        let _removed = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code);
}

/// One machine with its addresses.
pub struct Node {
    pub name: String,
    pub ports: Ports,
    process: Mutex<Option<Arc<Mutex<Child>>>>,
}

/// The machines of the system, and the platform around them.
pub struct Fleet {
    pub record: Record,
    pub store: Server,
    pub nodes: Vec<Node>,
    folder: PathBuf,
    /// The path of each machine to the store.
    paths: Vec<Proxy>,
    ready: Mutex<HashSet<usize>>,
}

impl Fleet {
    /// Creates `count` machines, without starting their processes.
    pub async fn open(record: &Record, count: usize) -> std::io::Result<Arc<Self>> {
        let folder = std::env::temp_dir().join(format!("fescue-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        *FOLDER.lock() = Some(folder.clone());
        let mut nodes = Vec::new();
        for index in 0..count {
            nodes.push(Node {
                name: format!("edge-here-{}", index + 1),
                ports: Ports::allocate()?,
                process: Mutex::new(None),
            });
        }
        let store = Store::spawn().await?;
        let mut paths = Vec::new();
        for _ in 0..count {
            paths.push(Proxy::spawn(store.address).await?);
        }
        let fleet = Arc::new(Self {
            record: record.clone(),
            store,
            paths,
            nodes,
            folder,
            ready: Mutex::default(),
        });
        tokio::spawn(balance(Arc::downgrade(&fleet)));
        Ok(fleet)
    }

    /// Fills the deploy file's template for a machine.
    fn settings(&self, index: usize) -> std::io::Result<String> {
        let (node, store) = (&self.nodes[index], self.paths[index].address);
        let text = std::fs::read_to_string("deploy/gateway.json")?;
        let ports = node.ports;
        let values = [
            ("node_name|json", format!("\"{}\"", node.name)),
            ("zone|json", "\"here\"".to_owned()),
            ("zones|json", "{}".to_owned()),
            (
                "listen_addresses.frontend|json",
                format!("\"{}\"", ports.callers),
            ),
            (
                "listen_addresses.ready|json",
                format!("\"{}\"", ports.ready),
            ),
            ("ip_address", "127.0.0.1".to_owned()),
            ("internal_port_range.0", ports.metrics.port().to_string()),
            ("internal_port_range.1", ports.peers.port().to_string()),
            ("platform.address|json", format!("\"{store}\"")),
            ("contract_params.grace_period_s", "8".to_owned()),
            ("contract_params.drain_timeout_ms", "2000".to_owned()),
            ("limits.link_bandwidth_mbps", "1000.0".to_owned()),
            ("contract_params.budget_window_s", "10".to_owned()),
            ("contract_params.retry_budget_ratio", "0.2".to_owned()),
            ("contract_params.retry_budget_extra", "56".to_owned()),
        ];
        let filled = values.iter().fold(text, |text, (name, value)| {
            text.replace(&format!("{{{{{name}}}}}"), value)
        });
        match filled.contains("{{") {
            true => Err(std::io::Error::other(
                "the template has an unknown placeholder",
            )),
            false => Ok(filled),
        }
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&self, index: usize) -> std::io::Result<()> {
        let node = &self.nodes[index];
        let path = self.folder.join(format!("{}.json", node.name));
        std::fs::write(&path, self.settings(index)?)?;
        let log = File::create(self.folder.join(format!("{}.log", node.name)))?;
        let child = Command::new("target/release/fescuedrift")
            .arg("gateway")
            .env_clear()
            .env("FESCUEDRIFT_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()?;
        self.record.line(&format!("{} starts", node.name));
        let child = Arc::new(Mutex::new(child));
        PROCESSES.lock().push(Arc::clone(&child));
        *node.process.lock() = Some(child);
        Ok(())
    }

    /// Starts all processes and waits until they are ready.
    pub async fn start_all(&self) -> std::io::Result<()> {
        for index in 0..self.nodes.len() {
            self.start(index)?;
        }
        self.await_ready(self.nodes.len(), Duration::from_secs(20))
            .await
    }

    /// Waits until at least `count` machines are in rotation.
    pub async fn await_ready(&self, count: usize, limit: Duration) -> std::io::Result<()> {
        let until = Instant::now() + limit;
        while self.ready.lock().len() < count {
            if Instant::now() >= until {
                return Err(std::io::Error::other("the gateways were not ready in time"));
            }
            sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, index: usize, signal: Signal) {
        if let Some(process) = &*self.nodes[index].process.lock() {
            let id = i32::try_from(process.lock().id())
                .ok()
                .and_then(Pid::from_raw);
            let sent = id.map(|id| kill_process(id, signal));
            self.record.line(&format!(
                "{signal:?} to {}: {sent:?}",
                self.nodes[index].name
            ));
        }
    }

    /// Ends the process of a machine by SIGKILL.
    pub fn kill(&self, index: usize) {
        self.signal(index, Signal::KILL);
        if let Some(process) = self.nodes[index].process.lock().take() {
            let _ended = process.lock().wait();
        }
        self.ready.lock().remove(&index);
    }

    /// Cuts a machine from the store, or ends the cut. Bytes are held back in both directions.
    pub fn cut_from_store(&self, index: usize, cut: bool) {
        let faults = Faults {
            silent_up: cut,
            silent_down: cut,
            ..Faults::default()
        };
        self.paths[index].set_faults(faults);
        let name = &self.nodes[index].name;
        self.record.say(&format!(
            "{name} is {} the store",
            if cut { "cut from" } else { "in reach of" }
        ));
    }

    /// Writes the entry of a server. It changes only when more than its number changes.
    pub fn register(&self, service: &str, id: &str, address: SocketAddr, slots: u32) {
        let entry = upstream_entry(service, address, slots, false);
        self.store.store.put("servers", id, &entry);
    }

    /// Returns the machines in rotation; all if none is.
    pub fn rotation(&self) -> Vec<usize> {
        let ready = self.ready.lock();
        match ready.is_empty() {
            true => (0..self.nodes.len()).collect(),
            false => ready.iter().copied().collect(),
        }
    }

    /// Returns what a machine's row of licenses grants for a team, as the store holds it.
    pub fn granted(&self, index: usize, team: &str) -> u64 {
        let row = self.store.store.get("holders", &self.nodes[index].name);
        let row = row.unwrap_or(Value::Null);
        let granted = &row["licenses"][team]["granted"];
        let text = granted.as_str().and_then(|text| text.parse().ok());
        granted.as_u64().or(text).unwrap_or_default()
    }

    /// Prints the last log lines of a machine that hold a text.
    pub fn log_lines(&self, index: usize, text: &str, most: usize) -> Vec<String> {
        let path = self.folder.join(format!("{}.log", self.nodes[index].name));
        let log = std::fs::read_to_string(path).unwrap_or_default();
        let found: Vec<_> = log.lines().filter(|line| line.contains(text)).collect();
        found
            .iter()
            .rev()
            .take(most)
            .map(|line| (*line).to_owned())
            .collect()
    }
}

/// Asks each machine once a second whether it is ready; two misses take it out of rotation.
async fn balance(fleet: std::sync::Weak<Fleet>) {
    let mut misses = Vec::new();
    loop {
        let Some(alive) = fleet.upgrade() else { return };
        misses.resize(alive.nodes.len(), 0_u32);
        for (index, node) in alive.nodes.iter().enumerate() {
            let good = get_status(node.ports.ready, "/readyz").await == Some(StatusCode::OK);
            misses[index] = if good { 0 } else { misses[index] + 1 };
            let mut ready = alive.ready.lock();
            if good {
                ready.insert(index);
            } else if misses[index] >= 2 {
                ready.remove(&index);
            }
        }
        drop(alive);
        sleep(Duration::from_secs(1)).await;
    }
}

async fn get_status(address: SocketAddr, path: &str) -> Option<StatusCode> {
    let exchange = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let driver = tokio::spawn(driver);
        let request = Request::builder().uri(path).header("host", "ready");
        let request = request.body(Full::new(bytes::Bytes::new())).ok()?;
        let response = sender.send_request(request).await.ok()?;
        let status = response.status();
        let _body = response.into_body().collect().await;
        driver.abort();
        Some(status)
    };
    timeout(Duration::from_millis(500), exchange).await.ok()?
}
