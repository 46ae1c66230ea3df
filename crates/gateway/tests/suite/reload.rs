//! Settings that change while the process runs.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use fescue_gateway::gateway::Gateway;
use fescue_gateway::reload::Reload;
use tokio::time::sleep;

use super::site::{Store, gateway, settings_text};

/// A settings file that a gateway follows, removed at the end.
struct Followed {
    path: PathBuf,
    gateway: Arc<Gateway>,
    written: u64,
}

impl Followed {
    async fn start(name: &str) -> Self {
        let file = format!("fescue-reload-{}-{name}.json", std::process::id());
        let path = std::env::temp_dir().join(file);
        let gateway = gateway("vm-1", &Store::open(1));
        let mut followed = Self {
            path,
            gateway,
            written: 0,
        };
        followed.write(&settings_text("vm-1").to_string());
        let reload = Reload::open(followed.path.clone()).expect("a follower");
        tokio::spawn(reload.run(Arc::clone(&followed.gateway)));
        followed
    }

    /// Writes the file with a time of its own, however coarse the file system's clock is.
    fn write(&mut self, text: &str) {
        std::fs::write(&self.path, text).expect("written");
        self.written += 1;
        let at = SystemTime::UNIX_EPOCH + Duration::from_secs(self.written);
        let file = std::fs::File::options().write(true).open(&self.path);
        let set = file.and_then(|file| file.set_modified(at));
        set.expect("a time of change");
    }

    async fn look(&self) {
        sleep(Duration::from_secs(5)).await;
    }
}

impl Drop for Followed {
    fn drop(&mut self) {
        // A file that is left behind in the temporary folder does no harm.
        let _removed = std::fs::remove_file(&self.path);
    }
}

#[tokio::test(start_paused = true)]
async fn reload_changed_file_takes_effect() {
    let mut followed = Followed::start("changed").await;
    let mut text = settings_text("vm-1");
    text["relist_ms"] = 700.into();
    text["grace_s"] = 3.into();
    text["retries"]["extra"] = 9.into();
    followed.write(&text.to_string());
    followed.look().await;
    let tuning = followed.gateway.tuning();
    assert_eq!(tuning.relist, Duration::from_millis(700));
    assert_eq!(tuning.grace, Duration::from_secs(3));
    assert_eq!(tuning.retries.extra, 9.0);
}

#[tokio::test(start_paused = true)]
async fn reload_file_that_cannot_be_used_changes_nothing() {
    let mut followed = Followed::start("broken").await;
    let before = followed.gateway.tuning();
    let mut wrong = settings_text("vm-1");
    wrong["link_mbps"] = 0.into();
    wrong["grace_s"] = 1.into();
    for text in ["{\"vm\": ", &wrong.to_string()] {
        followed.write(text);
        followed.look().await;
        assert_eq!(followed.gateway.tuning(), before);
    }
    // A later good file counts again.
    let mut good = settings_text("vm-1");
    good["grace_s"] = 5.into();
    followed.write(&good.to_string());
    followed.look().await;
    assert_eq!(followed.gateway.tuning().grace, Duration::from_secs(5));
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
