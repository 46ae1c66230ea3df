//! The feeds, when the store comes back from an older copy of its contents.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use fescue_core::Era;
use fescue_gateway::adapter::{Batch, Entry, Registry, RegistryError, Topic};
use fescue_gateway::feeds::follow;
use fescue_gateway::gateway::Gateway;
use fescue_gateway::model::Upstream;
use parking_lot::Mutex;
use tokio::time::{advance, sleep};

use super::site::{Store, gateway, gateway_with, manifest, settings_text};
use super::upstreams::upstream;

/// A call, and its answer.
pub type Scene = (&'static str, Result<Batch, RegistryError>);

/// Gives one answer after the other, each only to the call that it belongs to.
struct Scripted(Mutex<VecDeque<Scene>>);

impl Scripted {
    async fn answer(&self, call: &str) -> Result<Batch, RegistryError> {
        let next = self.0.lock().pop_front();
        match next {
            Some((expected, answer)) => {
                assert_eq!(call, expected, "{answer:?}");
                answer
            }
            None => std::future::pending().await,
        }
    }
}

#[async_trait]
impl Registry for Scripted {
    async fn list(&self, _topic: Topic) -> Result<Batch, RegistryError> {
        self.answer("list").await
    }

    async fn changes(
        &self,
        _topic: Topic,
        after: u64,
        _wait: Duration,
    ) -> Result<Batch, RegistryError> {
        self.answer(&format!("changes after {after}")).await
    }
}

pub fn batch(era: u64, version: u64, entries: Vec<Entry>) -> Result<Batch, RegistryError> {
    let era = Some(Era::new(era));
    Ok(Batch {
        version,
        era,
        entries,
    })
}

/// Builds an entry by the upstream's start time and the entry's number since then.
fn entry(id: &str, started: u64, sequence: u64, draining: bool) -> Entry {
    Entry::Upstream(Box::new(Upstream {
        started_at: Some(started),
        sequence: Some(sequence),
        ..upstream(id, draining)
    }))
}

fn removed(id: &str) -> Entry {
    Entry::Removed(id.parse().expect("an id"))
}

/// Follows a topic until all answers are used; returns the gateway, whose feed waits from then on.
pub async fn play(topic: Topic, scenes: Vec<Scene>) -> Arc<Gateway> {
    let gateway = gateway("vm-1", &Store::open(1));
    let registry = Arc::new(Scripted(Mutex::new(scenes.into())));
    let follower = tokio::spawn(follow(Arc::clone(&gateway), registry.clone(), topic));
    for _ in 0..1000 {
        assert!(!follower.is_finished(), "the feed ended");
        if registry.0.lock().is_empty() {
            // The last answer is applied before the next call.
            sleep(Duration::from_millis(1)).await;
            return gateway;
        }
        sleep(Duration::from_millis(1)).await;
    }
    panic!("calls that were not made: {:?}", registry.0.lock());
}

/// Returns the ids of the upstreams that get requests.
fn usable(gateway: &Gateway) -> Vec<String> {
    let servers = gateway.servers.lock();
    let usable = servers.iter().filter(|server| server.is_usable());
    let mut usable: Vec<_> = usable.map(|server| server.entry.id.to_string()).collect();
    usable.sort();
    usable
}

/// The store has passed the feed's version when it is asked again, so it answers with changes, which
/// leave out what was written between the copy and that version.
#[tokio::test(start_paused = true)]
async fn follow_lists_anew_without_status_410() {
    let scenes = vec![
        ("list", batch(1, 10, vec![entry("a", 1, 1, false)])),
        (
            "changes after 10",
            batch(2, 12, vec![entry("c", 1, 1, false)]),
        ),
        (
            "list",
            batch(
                2,
                12,
                ["a", "b", "c"].map(|id| entry(id, 1, 1, false)).into(),
            ),
        ),
        (
            "changes after 12",
            batch(2, 13, vec![entry("d", 1, 1, false)]),
        ),
    ];
    let gateway = play(Topic::Upstreams, scenes).await;
    assert_eq!(usable(&gateway), ["a", "b", "c", "d"]);
}

#[tokio::test(start_paused = true)]
async fn follow_lists_anew_after_two_returns() {
    let scenes = vec![
        ("list", batch(1, 10, vec![entry("a", 1, 1, false)])),
        ("changes after 10", Err(RegistryError::Compacted)),
        ("list", batch(2, 8, vec![entry("a", 1, 1, false)])),
        (
            "changes after 8",
            batch(3, 9, vec![entry("c", 1, 1, false)]),
        ),
        (
            "list",
            batch(3, 9, vec![entry("b", 1, 1, false), entry("c", 1, 1, false)]),
        ),
    ];
    let gateway = play(Topic::Upstreams, scenes).await;
    // The one that is missing is in its grace period.
    assert_eq!(usable(&gateway), ["a", "b", "c"]);
}

/// The copy is from before the upstream began to drain; it must get no request, as it told this router.
#[tokio::test(start_paused = true)]
async fn follow_keeps_draining_upstream_against_older_entry() {
    for older in [
        entry("a", 5, 2, false),
        entry("a", 5, 3, false),
        entry("a", 4, 9, false),
    ] {
        let scenes = vec![
            ("list", batch(1, 10, vec![entry("a", 5, 3, true)])),
            ("changes after 10", Err(RegistryError::Compacted)),
            ("list", batch(2, 8, vec![older])),
            ("changes after 8", batch(2, 8, Vec::new())),
        ];
        let gateway = play(Topic::Upstreams, scenes).await;
        assert_eq!(usable(&gateway), [""; 0]);
    }
}

/// Knowledge ends with the process: one that started anew under the id is another upstream.
#[tokio::test(start_paused = true)]
async fn follow_takes_upstream_that_started_anew() {
    let scenes = vec![
        (
            "list",
            batch(1, 10, vec![entry("a", 5, 3, true), entry("b", 5, 3, false)]),
        ),
        ("changes after 10", batch(1, 11, vec![removed("b")])),
        ("changes after 11", Err(RegistryError::Compacted)),
        (
            "list",
            batch(2, 8, vec![entry("a", 6, 1, false), entry("b", 6, 1, false)]),
        ),
    ];
    let gateway = play(Topic::Upstreams, scenes).await;
    assert_eq!(usable(&gateway), ["a", "b"]);
}

/// The copy still lists an upstream that has left. If it runs all the same, it writes again.
#[tokio::test(start_paused = true)]
async fn follow_revives_no_removed_upstream() {
    let before = || {
        vec![
            ("list", batch(1, 10, vec![entry("a", 5, 3, false)])),
            ("changes after 10", batch(1, 11, vec![removed("a")])),
            ("changes after 11", batch(2, 12, Vec::new())),
            ("list", batch(2, 12, vec![entry("a", 5, 3, false)])),
            ("changes after 12", Err(RegistryError::Compacted)),
            ("list", batch(2, 13, vec![entry("a", 5, 3, false)])),
        ]
    };
    let gateway = play(Topic::Upstreams, before()).await;
    assert_eq!(usable(&gateway), [""; 0]);
    let mut scenes = before();
    scenes.push((
        "changes after 13",
        batch(2, 14, vec![entry("a", 5, 4, false)]),
    ));
    let gateway = play(Topic::Upstreams, scenes).await;
    assert_eq!(usable(&gateway), ["a"]);
}

/// An upstream that was removed in error and is silent in the feed must not stay away for good: the
/// platform removes the entries of those that have left within a few seconds.
#[tokio::test(start_paused = true)]
async fn follow_takes_removed_upstream_that_stays_listed() {
    let scenes = vec![
        (
            "list",
            batch(
                1,
                10,
                vec![entry("a", 5, 3, false), entry("b", 5, 3, false)],
            ),
        ),
        (
            "changes after 10",
            batch(1, 12, vec![removed("a"), removed("b")]),
        ),
        ("changes after 12", batch(2, 12, Vec::new())),
        (
            "list",
            batch(
                2,
                12,
                vec![entry("a", 5, 3, false), entry("b", 5, 3, false)],
            ),
        ),
        ("changes after 12", batch(2, 13, vec![removed("b")])),
    ];
    let gateway = play_slowly(Topic::Upstreams, scenes.clone(), Duration::from_secs(5)).await;
    assert_eq!(usable(&gateway), [""; 0]);
    let gateway = play_slowly(Topic::Upstreams, scenes, Duration::from_secs(15)).await;
    assert_eq!(usable(&gateway), ["a"]);
}

/// Follows a topic through the given answers, then lets time pass with feeds that tell nothing.
pub async fn play_slowly(topic: Topic, scenes: Vec<Scene>, time: Duration) -> Arc<Gateway> {
    struct Quiet(Scripted);

    #[async_trait]
    impl Registry for Quiet {
        async fn list(&self, topic: Topic) -> Result<Batch, RegistryError> {
            self.0.list(topic).await
        }

        async fn changes(
            &self,
            topic: Topic,
            after: u64,
            wait: Duration,
        ) -> Result<Batch, RegistryError> {
            if self.0.0.lock().is_empty() {
                sleep(wait).await;
                return batch(2, after, Vec::new());
            }
            self.0.changes(topic, after, wait).await
        }
    }

    let gateway = gateway("vm-1", &Store::open(1));
    let registry = Arc::new(Quiet(Scripted(Mutex::new(scenes.into()))));
    tokio::spawn(follow(Arc::clone(&gateway), registry, topic));
    for _ in 0..time.as_millis() / 100 {
        sleep(Duration::from_millis(1)).await;
        advance(Duration::from_millis(99)).await;
    }
    gateway
}

/// An upstream that the copy lacks is used for the grace period, and for good if it writes again.
#[tokio::test(start_paused = true)]
async fn follow_keeps_upstream_missing_from_copy() {
    let scenes = vec![
        (
            "list",
            batch(
                1,
                10,
                vec![entry("a", 5, 1, false), entry("b", 5, 1, false)],
            ),
        ),
        ("changes after 10", batch(2, 8, Vec::new())),
        ("list", batch(2, 8, Vec::new())),
        (
            "changes after 8",
            batch(2, 9, vec![entry("b", 5, 1, false)]),
        ),
    ];
    let gateway = play(Topic::Upstreams, scenes).await;
    assert_eq!(usable(&gateway), ["a", "b"]);
    advance(Duration::from_secs(3)).await;
    assert_eq!(usable(&gateway), ["b"]);
}

/// A configuration that was in force stays so when the copy lacks it, or has an older one.
#[tokio::test(start_paused = true)]
async fn follow_keeps_newer_configuration() {
    let configuration = |version| Entry::Manifest(Box::new(manifest(version, Vec::new(), &[])));
    for copied in [vec![configuration(3)], Vec::new()] {
        let scenes = vec![
            ("list", batch(1, 10, vec![configuration(4)])),
            ("changes after 10", batch(2, 11, Vec::new())),
            ("list", batch(2, 11, copied)),
        ];
        let gateway = play(Topic::Configuration, scenes).await;
        let catalog = gateway.catalog().expect("a configuration");
        assert_eq!(catalog.manifest().version, 4);
    }
}

/// Answers wait for the router's link for a time, after the store has waited for changes.
struct Delayed(Duration);

#[async_trait]
impl Registry for Delayed {
    async fn list(&self, _topic: Topic) -> Result<Batch, RegistryError> {
        sleep(self.0).await;
        batch(1, 10, Vec::new())
    }

    async fn changes(
        &self,
        _topic: Topic,
        after: u64,
        wait: Duration,
    ) -> Result<Batch, RegistryError> {
        sleep(wait + self.0).await;
        batch(1, after, Vec::new())
    }
}

/// A router whose full link delays the store's answers by a second keeps its list of upstreams younger than
/// the three seconds that it may be old; with two seconds it can't. Guards against refusals by routers that
/// could know which upstreams leave.
#[tokio::test(start_paused = true)]
async fn full_link_is_no_isolation_while_answers_come() {
    for (delay, isolated) in [(1000, false), (2000, true)] {
        let mut settings = settings_text("vm-1");
        settings["link_mbps"] = 10.into();
        settings["drain_ms"] = 3000.into();
        let gateway = gateway_with(&settings, &Store::open(1));
        let fill = || {
            gateway.link.count_read(125_000);
            gateway.link.sample(Duration::from_millis(100));
        };
        (0..20).for_each(|_| fill());
        let registry = Arc::new(Delayed(Duration::from_millis(delay)));
        let feed = follow(Arc::clone(&gateway), registry, Topic::Upstreams);
        let feed = tokio::spawn(feed);
        sleep(Duration::from_secs(5)).await;
        let mut seen = false;
        for _ in 0..200 {
            sleep(Duration::from_millis(100)).await;
            fill();
            seen |= gateway.is_isolated();
        }
        assert_eq!(seen, isolated, "{delay} ms");
        feed.abort();
    }
}
