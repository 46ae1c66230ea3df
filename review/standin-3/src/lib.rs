//! What the cases share: a small deployment on loopback, a caller, and the record of what was seen.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescue_gateway::link::Link;
use fescue_site::manifest::EVENT_TOKENS;
use fescue_site::process::Ports;
use fescue_site::store;
use http::{HeaderValue, Method, Request};
use http_body_util::{BodyExt, Full};
use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};

/// The record of a run: what was sent, answered and run, with the seconds since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn open(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self {
            start: Instant::now(),
            file,
        })
    }

    pub fn note(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {text}");
        println!("{line}");
        // The line has been printed as well.
        let _written = writeln!(self.file.lock(), "{line}");
    }
}

/// A child process that is killed when it is dropped.
pub struct Process {
    child: Mutex<Child>,
}

impl Process {
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.lock().id())
            .ok()
            .and_then(Pid::from_raw);
        if let Some(id) = id {
            // A process that has ended already needs no signal.
            let _sent = kill_process(id, signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        let mut child = self.child.lock();
        let _killed = child.kill();
        let _ended = child.wait();
    }

    pub fn id(&self) -> u32 {
        self.child.lock().id()
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        matches!(self.child.lock().try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(Signal::CONT);
        self.kill();
    }
}

/// An engine or a service in a process of its own.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub version: String,
    pub process: Process,
}

/// The runs that engines have begun: engine, request, first event or 0.
pub type Runs = Arc<Mutex<Vec<(String, String, String)>>>;

impl Engine {
    /// Starts an engine; `port` 0 takes a free one.
    pub fn spawn(
        id: &str,
        version: &str,
        port: u16,
        arguments: &[&str],
        runs: &Runs,
        record: &Record,
    ) -> std::io::Result<Self> {
        let program = std::env::current_exe()?.with_file_name("engine");
        let mut child = Command::new(program)
            .args([id, version, &port.to_string()])
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| std::io::Error::other("no output"))?;
        let mut lines = BufReader::new(stdout).lines();
        let first = lines
            .next()
            .ok_or_else(|| std::io::Error::other("the engine ended"))??;
        let address = first.parse().map_err(std::io::Error::other)?;
        let (runs, record, name) = (Arc::clone(runs), record.clone(), id.to_owned());
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let mut words = line.split(' ');
                if words.next() == Some("run") {
                    let id = words.next().unwrap_or_default().to_owned();
                    let from = words.next().unwrap_or_default().to_owned();
                    runs.lock().push((name.clone(), id, from));
                }
                record.note(&format!("engine {name}: {line}"));
            }
        });
        Ok(Self {
            id: id.to_owned(),
            address,
            version: version.to_owned(),
            process: Process {
                child: Mutex::new(child),
            },
        })
    }

    /// Returns the entry that the engine writes to the store.
    pub fn entry(&self, service: &str, zone: &str, slots: u32, born: u64, sequence: u64) -> Value {
        json!({
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": self.version,
            "slots": slots,
            "state": "available",
            "warmup_remaining_ms": 0,
            "sequence_number": sequence,
            "born": born,
        })
    }
}

/// A machine of the system: one gateway process, started as the deploy file says.
pub struct Machine {
    pub name: String,
    pub ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    pub process: Mutex<Option<Process>>,
}

impl Machine {
    pub fn new(dir: &Path, name: &str, zone: &str, store: SocketAddr) -> std::io::Result<Self> {
        let ports = Ports::allocate()?;
        let settings = json!({
            "vm": name,
            "data_centre": zone,
            "listen": {
                "callers": ports.callers,
                "ready": ports.ready,
                "peers": ports.peers,
                "metrics": ports.metrics,
            },
            "store": store,
            "grace_s": 8,
            "relist_ms": 2000,
            "drain_ms": 2000,
            "link_mbps": 1000.0,
            "crowding": false,
            "scheduling": true,
            "retries": { "window_s": 10, "ratio": 0.2, "extra": 56 },
            "regions": { "zone-a": "region", "zone-b": "region", "zone-c": "region" },
            "log": "info",
        });
        let path = dir.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())?;
        Ok(Self {
            name: name.to_owned(),
            ports,
            settings: path,
            log: dir.join(format!("{name}.log")),
            process: Mutex::new(None),
        })
    }

    pub fn start(&self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/fescuedrift")
            .arg("gateway")
            .env("FESCUEDRIFT_SETTINGS", &self.settings)
            .env_remove("FESCUE_LOG")
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *self.process.lock() = Some(Process {
            child: Mutex::new(child),
        });
        Ok(())
    }

    /// Kills the process, as a loss of power would.
    pub fn power_off(&self) {
        drop(self.process.lock().take());
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(process) = &*self.process.lock() {
            process.signal(signal);
        }
    }

    pub async fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let Ok(mut link) = Link::open(self.ports.ready, limit).await else {
            return false;
        };
        let request = Request::builder()
            .uri("/readyz")
            .header("host", "ready")
            .body(Full::new(Bytes::new()));
        let Ok(request) = request else { return false };
        matches!(timeout(limit, link.send(request)).await, Ok(Ok(response)) if response.status().is_success())
    }

    pub async fn await_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready().await {
                return true;
            }
            sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Ask {
    pub path: String,
    pub host: String,
    pub key: String,
    pub id: String,
    pub deadline: Duration,
    /// The tokens of the prompt and the most of the answer; `None` for a plain request.
    pub usage: Option<(u64, u64)>,
    pub parts: String,
    /// The last event and the attempt that brought the first one.
    pub resumes: Option<(u64, String)>,
}

impl Ask {
    pub fn stream(path: &str, key: &str, id: &str, input: u64, events: u64) -> Self {
        Self {
            path: path.to_owned(),
            host: fescue_site::manifest::HOST.to_owned(),
            key: key.to_owned(),
            id: id.to_owned(),
            deadline: Duration::from_secs(10),
            usage: Some((input, events * EVENT_TOKENS)),
            parts: format!("c0:{},a{id}:{}", input / 2, input - input / 2),
            resumes: None,
        }
    }

    pub fn plain(path: &str, key: &str, id: &str, deadline: Duration) -> Self {
        Self {
            usage: None,
            parts: String::new(),
            deadline,
            ..Self::stream(path, key, id, 0, 0)
        }
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(Bytes::from(format!("body of {}", self.id))));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = self.path.parse().expect("a path");
        let mut fields = vec![
            ("host", self.host.clone()),
            ("authorization", format!("Bearer {}", self.key)),
            ("x-fescuedrift-attempt-id", self.id.clone()),
            (
                "x-fescuedrift-deadline-ms",
                self.deadline.as_millis().to_string(),
            ),
        ];
        if let Some((input, output)) = self.usage {
            fields.push(("x-fescuedrift-model", "m".to_owned()));
            fields.push(("x-fescuedrift-token-usage", format!("{input},{output}")));
            fields.push(("x-fescuedrift-prompt-prefix", self.parts.clone()));
        }
        if let Some((last, first)) = &self.resumes {
            fields.push(("last-event-id", last.to_string()));
            fields.push(("resumes", first.clone()));
        }
        for (name, value) in fields {
            let value = HeaderValue::from_str(&value).expect("ASCII");
            request.headers_mut().insert(name, value);
        }
        request
    }
}

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub struct Got {
    /// The status; 0 if there was no answer.
    pub status: u16,
    pub signed: bool,
    /// The body as far as it came.
    pub text: String,
    /// Whether the answer ended as complete by its framing.
    pub complete: bool,
    pub error: String,
}

impl Got {
    /// Returns the numbers of the events, and the version that each shows.
    pub fn events(&self) -> Vec<(u64, String)> {
        let events = self.text.split("\n\n").filter(|event| !event.is_empty());
        events
            .filter_map(|event| {
                let id = event
                    .lines()
                    .find_map(|line| line.strip_prefix("id: "))?
                    .parse()
                    .ok()?;
                let data = event.lines().find_map(|line| line.strip_prefix("data: "))?;
                Some((id, data.rsplit(' ').next().unwrap_or_default().to_owned()))
            })
            .collect()
    }

    /// Returns the tokens that the tenant got: the prompt of a success, and each event.
    pub fn tokens(&self, ask: &Ask) -> u64 {
        match (ask.usage, (200..300).contains(&self.status)) {
            (Some((input, _)), true) => input + self.events().len() as u64 * EVENT_TOKENS,
            _ => 0,
        }
    }
}

/// Sends a request over a new connection and reads the answer to its end.
pub async fn send(to: SocketAddr, ask: &Ask) -> Got {
    send_for(to, ask, ask.deadline + Duration::from_secs(1)).await
}

/// The same, and leaves after `limit`.
pub async fn send_for(to: SocketAddr, ask: &Ask, limit: Duration) -> Got {
    let mut got = Got::default();
    match timeout(limit, exchange(to, ask, &mut got)).await {
        Ok(Ok(())) => got.complete = true,
        Ok(Err(error)) => got.error = error,
        Err(_) => got.error = format!("no end within {limit:?}"),
    }
    got
}

async fn exchange(to: SocketAddr, ask: &Ask, got: &mut Got) -> Result<(), String> {
    let mut link = Link::open(to, Duration::from_secs(1))
        .await
        .map_err(|e| e.to_string())?;
    let response = link.send(ask.request()).await.map_err(|e| e.to_string())?;
    got.status = response.status().as_u16();
    got.signed = response
        .headers()
        .contains_key("x-fescuedrift-response-signature");
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| e.to_string())?;
        if let Ok(data) = frame.into_data() {
            got.text.push_str(&String::from_utf8_lossy(&data));
        }
    }
    Ok(())
}

/// The longest time that a case takes.
const LIMIT: Duration = Duration::from_secs(105);

/// Runs a case whose folder is the first argument, and ends the processes that it started. `case` returns what broke the
/// rule, or `None` if it held. Returns the exit code: 1, 0, or 2 if the case couldn't run.
pub async fn run_case<F>(case: impl FnOnce(Record) -> F) -> ExitCode
where
    F: Future<Output = Result<Option<String>, String>>,
{
    let Some(folder) = std::env::args().nth(1) else {
        return ExitCode::from(2);
    };
    let record = match Record::open(&Path::new(&folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    record.note(if calm() {
        "without the disruption"
    } else {
        "with the disruption"
    });
    let ended = timeout(LIMIT, case(record.clone())).await;
    let (note, code) = match ended {
        Ok(Ok(None)) => ("the rule held".to_owned(), 0),
        Ok(Ok(Some(broken))) => (format!("the rule was broken: {broken}"), 1),
        Ok(Err(error)) => (format!("the case couldn't run: {error}"), 2),
        Err(_) => ("the case couldn't run: it took too long".to_owned(), 2),
    };
    record.note(&note);
    ExitCode::from(code)
}

/// Creates a temporary folder.
pub fn folder(name: &str) -> Result<PathBuf, String> {
    let folder = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(text)?;
    Ok(folder)
}

/// Returns the text of an error.
pub fn text(error: std::io::Error) -> String {
    error.to_string()
}

/// Starts machines, each in a zone, and waits until they are ready and know each other.
pub async fn start_machines(
    dir: &Path,
    store: SocketAddr,
    count: usize,
) -> Result<Vec<Machine>, String> {
    let places = [
        ("edge-a-1", "zone-a"),
        ("edge-b-1", "zone-b"),
        ("edge-c-1", "zone-c"),
    ];
    let mut machines = Vec::new();
    for (name, zone) in places.into_iter().take(count) {
        let machine = Machine::new(dir, name, zone, store).map_err(text)?;
        machine.start().map_err(text)?;
        machines.push(machine);
    }
    for machine in &machines {
        if !machine.await_ready(Duration::from_secs(30)).await {
            return Err(format!("{} isn't ready", machine.name));
        }
    }
    sleep(Duration::from_secs(6)).await;
    Ok(machines)
}

/// Whether the disruption is left out.
pub fn calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// Starts a store and, before it, writes the manifest.
pub async fn open_store(manifest: &Value) -> std::io::Result<store::Server> {
    let server = store::Store::spawn().await?;
    server.store.put("op", "config", manifest);
    Ok(server)
}
