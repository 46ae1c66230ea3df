//! Reloads the settings while the process runs, on SIGHUP and when the file changes.
//!
//! Invalid settings are ignored and the last valid ones stay in force. The fields are described in
//! [docs/operators/gateway.md](../../../docs/operators/gateway.md).

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use miette::IntoDiagnostic;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{MissedTickBehavior, interval};

use crate::gateway::Gateway;
use crate::settings::Settings;

/// Interval between checks of the file's modification time.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Watches one settings file and SIGHUP.
pub struct Reload {
    path: PathBuf,
    modified: Option<SystemTime>,
    hangup: Signal,
}

impl Reload {
    /// Creates a watcher of the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the handler for SIGHUP cannot be installed.
    pub fn open(path: PathBuf) -> miette::Result<Self> {
        let hangup = signal(SignalKind::hangup()).into_diagnostic()?;
        let modified = modified(&path);
        Ok(Self {
            path,
            modified,
            hangup,
        })
    }

    /// Reloads the settings into `gateway` for as long as the process runs.
    pub async fn run(mut self, gateway: Arc<Gateway>) {
        let mut polls = interval(POLL_INTERVAL);
        polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = self.hangup.recv() => self.read(&gateway, "signal"),
                _ = polls.tick() => {
                    if modified(&self.path) != self.modified {
                        self.read(&gateway, "file changed");
                    }
                }
            }
        }
    }

    fn read(&mut self, gateway: &Gateway, cause: &'static str) {
        self.modified = modified(&self.path);
        match Settings::open(&self.path) {
            Ok(settings) => apply(gateway, &settings, cause),
            Err(error) => {
                let error = format!("{error:?}");
                tracing::warn!(
                    cause,
                    error,
                    "invalid settings; the last valid ones stay in force"
                );
            }
        }
    }
}

/// Returns the modification time of the file, or `None` if it cannot be read.
fn modified(path: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|data| data.modified())
        .ok()
}

/// Applies the settings that can change at run time; logs those that need a restart.
pub fn apply(gateway: &Gateway, settings: &Settings, cause: &'static str) {
    let before = gateway.tuning();
    let after = settings.tuning();
    gateway.set_tuning(after);
    let restart = gateway.settings.needs_restart(settings).join(",");
    tracing::info!(
        cause,
        changed = before != after,
        ?after,
        needs_restart = restart,
        "settings read"
    );
}
