//! Tests of reloading the settings while the process runs.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use fescue_gateway::gateway::Gateway;
use fescue_gateway::reload::Reload;
use tokio::time::sleep;

use super::site::{Store, gateway, settings_text};

/// A settings file watched by a gateway; removed on drop.
struct WatchedFile {
    path: PathBuf,
    gateway: Arc<Gateway>,
    writes: u64,
}

impl WatchedFile {
    async fn start(name: &str) -> Self {
        let file = format!("fescue-reload-{}-{name}.json", std::process::id());
        let path = std::env::temp_dir().join(file);
        let gateway = gateway("vm-1", &Store::open(1));
        let mut watched = Self {
            path,
            gateway,
            writes: 0,
        };
        watched.write(&settings_text("vm-1").to_string());
        let reload = Reload::open(watched.path.clone()).expect("SIGHUP handler is installed");
        tokio::spawn(reload.run(Arc::clone(&watched.gateway)));
        watched
    }

    /// Writes the file with a distinct modification time, so that the change is detected even if
    /// the file system's clock is coarse.
    fn write(&mut self, text: &str) {
        std::fs::write(&self.path, text).expect("file is written");
        self.writes += 1;
        let at = SystemTime::UNIX_EPOCH + Duration::from_secs(self.writes);
        let file = std::fs::File::options().write(true).open(&self.path);
        let set = file.and_then(|file| file.set_modified(at));
        set.expect("modification time is set");
    }

    async fn wait_for_poll(&self) {
        sleep(Duration::from_secs(5)).await;
    }
}

impl Drop for WatchedFile {
    fn drop(&mut self) {
        // A file left behind in the temporary directory does no harm.
        let _removed = std::fs::remove_file(&self.path);
    }
}

#[tokio::test(start_paused = true)]
async fn reload_changed_file_takes_effect() {
    let mut watched = WatchedFile::start("changed").await;
    let mut text = settings_text("vm-1");
    text["relist_ms"] = 700.into();
    text["grace_s"] = 3.into();
    text["retries"]["extra"] = 9.into();
    watched.write(&text.to_string());
    watched.wait_for_poll().await;
    let tuning = watched.gateway.tuning();
    assert_eq!(tuning.relist, Duration::from_millis(700));
    assert_eq!(tuning.grace, Duration::from_secs(3));
    assert_eq!(tuning.retries.extra, 9.0);
}

#[tokio::test(start_paused = true)]
async fn reload_file_that_cannot_be_used_changes_nothing() {
    let mut watched = WatchedFile::start("broken").await;
    let before = watched.gateway.tuning();
    let mut wrong = settings_text("vm-1");
    wrong["link_mbps"] = 0.into();
    wrong["grace_s"] = 1.into();
    let mut short = settings_text("vm-1");
    short["drain_ms"] = 200.into();
    for text in ["{\"vm\": ", &wrong.to_string(), &short.to_string()] {
        watched.write(text);
        watched.wait_for_poll().await;
        assert_eq!(watched.gateway.tuning(), before);
    }
    // A later valid file takes effect.
    let mut good = settings_text("vm-1");
    good["grace_s"] = 5.into();
    watched.write(&good.to_string());
    watched.wait_for_poll().await;
    assert_eq!(watched.gateway.tuning().grace, Duration::from_secs(5));
}

#[test]
fn needs_restart_names_the_fields() {
    let gateway = gateway("vm-1", &Store::open(1));
    let mut text = settings_text("vm-1");
    text["store"] = "127.0.0.1:77".into();
    text["log"] = "debug".into();
    text["grace_s"] = 1.into();
    let other = super::site::parse(&text);
    assert_eq!(gateway.settings.needs_restart(&other), ["store", "log"]);
}
