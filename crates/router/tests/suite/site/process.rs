//! The process of one router.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use super::eventually;
use super::limits::Report;

/// The token that the admin API accepts.
pub const OPERATOR: &str = "operator-token";

/// A running router process, which is killed on drop.
pub struct Process {
    pub vm: String,
    pub data_centre: String,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
    child: Child,
    log: Arc<Mutex<Vec<Value>>>,
}

impl Process {
    /// Starts a router, collects its log, and waits until it listens.
    pub async fn spawn(dir: &Path, vm: &str, data_centre: &str, platform: SocketAddr) -> Self {
        Self::spawn_with(dir, vm, data_centre, platform, &Value::Null).await
    }

    /// Starts a router as [`Process::spawn`] does; `changes` replace keys in sections of its settings.
    pub async fn spawn_with(
        dir: &Path,
        vm: &str,
        data_centre: &str,
        platform: SocketAddr,
        changes: &Value,
    ) -> Self {
        let settings = write_settings(dir, vm, data_centre, platform, changes);
        let mut child = Command::new(env!("CARGO_BIN_EXE_fescuedrift"))
            .arg("--settings")
            .arg(settings)
            .env_remove("FESCUE_LOG")
            .stdout(Stdio::piped())
            .spawn()
            .expect("the router starts");
        let log = Arc::new(Mutex::new(Vec::new()));
        let stdout = child.stdout.take().expect("the router's standard output");
        let lines = Arc::clone(&log);
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                match serde_json::from_str(&line) {
                    Ok(value) => lines.lock().push(value),
                    Err(_) => eprintln!("{line}"),
                }
            }
        });
        eventually("the router listens", || async { listening(&log).is_some() }).await;
        let listening = listening(&log).expect("the router listens");
        let address = |name: &str| {
            let text = listening[name].as_str().expect("an address");
            text.parse().expect("an address")
        };
        Self {
            vm: vm.to_owned(),
            data_centre: data_centre.to_owned(),
            callers: address("callers"),
            peers: address("peers"),
            operators: address("operators"),
            child,
            log,
        }
    }

    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(id.expect("a process id"), signal).expect("the signal is sent");
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the process has exited, within a time limit.
    pub async fn wait(&mut self) -> ExitStatus {
        let (report, child) = (self.report(), &mut self.child);
        let exit = async {
            loop {
                let status = child.try_wait().expect("the process can be waited for");
                if let Some(status) = status {
                    return status;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        report.exit(exit).await
    }

    /// Returns what a failure shows of this router.
    pub fn report(&self) -> Report {
        Report {
            operators: self.operators,
            log: Arc::clone(&self.log),
        }
    }

    /// Returns the last `count` log lines but those of requests, to explain a failure.
    pub fn log_tail(&self, count: usize) -> String {
        let log = self.log.lock();
        let lines = log.iter().filter(|line| line["request"].is_null());
        let lines: Vec<_> = lines.map(Value::to_string).collect();
        lines[lines.len().saturating_sub(count)..].join("\n")
    }

    /// Returns the log lines whose message is exactly `message`.
    pub fn logged(&self, message: &str) -> Vec<Value> {
        let log = self.log.lock();
        log.iter()
            .filter(|line| line["message"] == message)
            .cloned()
            .collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

fn listening(log: &Mutex<Vec<Value>>) -> Option<Value> {
    let log = log.lock();
    log.iter()
        .find(|line| line["message"] == "listening")
        .cloned()
}

fn write_settings(
    dir: &Path,
    vm: &str,
    data_centre: &str,
    platform: SocketAddr,
    changes: &Value,
) -> String {
    let write = |name: &str, text: &str| {
        let path = dir.join(name);
        std::fs::write(&path, text).expect("the file is written");
        path.display().to_string()
    };
    let operator = write("operator.token", OPERATOR);
    let peer = write("peer.token", "peer-token");
    let any_port = "127.0.0.1:0";
    let mut settings = serde_json::json!({
        "vm": vm,
        "data_centre": data_centre,
        "listen": {"callers": any_port, "peers": any_port, "operators": any_port},
        "platform": {"address": platform, "timeout_ms": 400},
        "operator_token_file": operator,
        "peer_token_file": peer,
        "limits": {"body_bytes": 65536, "receive_ms": 700, "max_tokens": 4096},
        "pace": {
            "allowance_ms": 50, "bills_ms": 100, "rules_ms": 50,
            "heartbeat_ms": 50, "silence_ms": 1000, "linger_ms": 50,
        },
    });
    for (section, keys) in changes.as_object().into_iter().flatten() {
        for (key, value) in keys.as_object().into_iter().flatten() {
            settings[section][key] = value.clone();
        }
    }
    write(&format!("{vm}.json"), &settings.to_string())
}
