//! Takes over changed settings while the process runs: at SIGHUP, and when the file has changed.
//!
//! What can't be read changes nothing. The fields are described in
//! [docs/operators/gateway.md](../../../docs/operators/gateway.md).

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use miette::IntoDiagnostic;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{MissedTickBehavior, interval};

use crate::gateway::Gateway;
use crate::settings::Settings;

/// The time between two looks at the file.
const LOOK: Duration = Duration::from_secs(2);

/// Follows one settings file.
pub struct Reload {
    path: PathBuf,
    modified: Option<SystemTime>,
    hangup: Signal,
}

impl Reload {
    /// Opens a follower of the file that the process was started with.
    ///
    /// # Errors
    ///
    /// When the signal can't be waited for.
    pub fn open(path: PathBuf) -> miette::Result<Self> {
        let hangup = signal(SignalKind::hangup()).into_diagnostic()?;
        let modified = modified(&path);
        Ok(Self {
            path,
            modified,
            hangup,
        })
    }

    /// Follows the file for as long as the process runs.
    pub async fn run(mut self, gateway: Arc<Gateway>) {
        let mut looks = interval(LOOK);
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = self.hangup.recv() => self.read(&gateway, "signal"),
                _ = looks.tick() => {
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
                    "settings can't be used; the last ones stay in force"
                );
            }
        }
    }
}

/// Returns when the file was last changed; none where that can't be seen, which changes nothing.
fn modified(path: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|data| data.modified())
        .ok()
}

/// Takes over what may change, and names what needs a restart.
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
