//! Planned stops that must end within the platform's grace period, through router processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use fescue_site::scripted::{End, ScriptedUpstream};
use fescue_standin::caller::Request;
use fescue_standin::engine::EngineFaults;
use fescue_standin::platform::Faults;
use fescue_store::accounts::Accounts;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::process_floods::{LOAD, rules_with};
use crate::process_grace_ends::delivered;
use crate::site::{KEY, SLOW, Site, bounded, chat, eventually, expected_text, purchase};

/// The grace period of the routers; they end running requests a second before its end.
const GRACE: Duration = Duration::from_secs(4);

/// The time within which a request that is refused at once is answered, beside other tests.
pub const AT_ONCE: Duration = Duration::from_millis(700);

/// Settings with a long time in which a stopping router takes connections and keeps them.
pub fn settings() -> Value {
    json!({
        "limits": {"receive_ms": 10_000},
        "pace": {"grace_ms": GRACE.as_millis() as u64, "linger_ms": 2500},
    })
}

pub async fn start(engines: usize) -> Site {
    Site::start_with(&["dakar-1", "dakar-1"], engines, SLOW, settings()).await
}

/// Starts a site whose first router has observed the pace of a stream.
pub async fn start_observed(engines: usize) -> Site {
    let site = start(engines).await;
    let answer = site.ask(0, &chat("observed", "first", 30)).await;
    assert!(answer.is_complete(), "{answer:?}");
    site
}

/// A connection of a caller that stays open between requests.
struct Kept {
    stream: TcpStream,
}

impl Kept {
    async fn open(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).await.expect("a connection");
        Self { stream }
    }

    /// Sends the head of a request and the first `count` bytes of its body.
    async fn send_part(&mut self, request: &Request, count: usize) {
        let id = request.id.as_deref().unwrap_or_default();
        let (path, body) = (&request.path, &request.body);
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {KEY}\r\n\
             idempotency-key: {id}\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let part = [head.as_bytes(), &body.as_bytes()[..count]].concat();
        self.stream.write_all(&part).await.expect("it is sent");
    }

    async fn send(&mut self, request: &Request) {
        self.send_part(request, request.body.len()).await;
    }

    /// Reads until the router closes the connection, in lower case.
    async fn read_to_end(&mut self) -> String {
        let mut bytes = Vec::new();
        let read = self.stream.read_to_end(&mut bytes);
        let read = tokio::time::timeout(GRACE, read).await;
        read.expect("the connection is closed")
            .expect("an end without a reset");
        String::from_utf8_lossy(&bytes).to_lowercase()
    }

    /// Reads one answer with `[DONE]` and keeps the connection.
    async fn read_stream(&mut self) {
        let mut text = String::new();
        let mut buffer = [0; 4096];
        while !text.contains("[DONE]") {
            let read = bounded("the rest of a stream", self.stream.read(&mut buffer)).await;
            let count = read.expect("an answer");
            assert!(count > 0, "{text}");
            text.push_str(&String::from_utf8_lossy(&buffer[..count]));
        }
    }
}

fn assert_refused_and_closed(answer: &str) {
    let expected = [
        "http/1.1 503",
        "x-fescue-outcome: not_run",
        "retry-after: 1\r\n",
        "connection: close",
        "\"code\":\"not_ready\"",
    ];
    for part in expected {
        assert!(answer.contains(part), "{part} is missing in {answer}");
    }
}

pub fn started(site: &Site) -> u64 {
    let loads = site.engines.iter().map(|(engine, _)| engine.load().started);
    loads.sum()
}

/// Returns the time until the stopped router exits, which must be without an error.
pub async fn wait_for_exit(site: &mut Site, signalled: Instant) -> Duration {
    let status = site.routers[0].wait().await;
    let took = signalled.elapsed();
    let log = site.routers[0].log_tail(20);
    assert!(status.success(), "{status} after {took:?}: {log}");
    assert!(took < GRACE, "{took:?}: {log}");
    took
}

/// Checks that the stopped router holds no tokens and that all charges have a bill.
pub async fn check_tokens_are_back(site: &Site) {
    let accounts = Accounts::open(site.memory.clone());
    let rows = accounts.allowances().await.expect("the store is up");
    assert_eq!(rows.len(), 1, "the stopped router's row is folded");
    let budgets = accounts.budgets().await.expect("the store is up");
    let budget = budgets.values().next().expect("the budget");
    let left: u64 = rows.values().map(|row| row.outstanding().get()).sum();
    let billed: u64 = site.bills().await.values().sum();
    assert_eq!(budget.credited.get(), budget.free.get() + left + billed);
}

/// Guards against taking a stream late after SIGTERM, on a kept connection, that is then cut.
#[tokio::test(flavor = "multi_thread")]
async fn late_stream_on_kept_connection_is_refused_and_not_cut() {
    let mut site = start_observed(1).await;
    let mut long = Kept::open(site.routers[0].callers).await;
    long.send(&chat("kept-1", "a", 5)).await;
    long.read_stream().await;
    let mut short = Kept::open(site.routers[0].callers).await;
    short.send(&chat("kept-2", "a", 5)).await;
    short.read_stream().await;
    let before = started(&site);
    site.routers[0].signal(Signal::TERM);
    let signalled = Instant::now();
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let sent = Instant::now();
    long.send(&chat("late-long", "b", 300)).await;
    assert_refused_and_closed(&long.read_to_end().await);
    assert!(sent.elapsed() < AT_ONCE, "{:?}", sent.elapsed());
    assert_eq!(
        started(&site),
        before,
        "the refused request reached no engine"
    );
    short.send(&chat("late-short", "b", 5)).await;
    let answer = short.read_to_end().await;
    assert!(answer.contains("http/1.1 200"), "{answer}");
    assert!(answer.contains("[done]"), "{answer}");
    wait_for_exit(&mut site, signalled).await;
    assert!(!site.bills().await.contains_key("late-long"));
    assert!(site.bills().await.contains_key("late-short"));
    check_tokens_are_back(&site).await;
}

/// Guards against trusting in a short answer that nothing supports: the time-out counts.
#[tokio::test(flavor = "multi_thread")]
async fn late_stream_without_observations_counts_its_timeout() {
    let mut site = start(1).await;
    site.routers[0].signal(Signal::TERM);
    let signalled = Instant::now();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let refused = site.ask(0, &chat("late", "a", 5)).await;
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not_run"));
    assert_eq!(started(&site), 0);
    wait_for_exit(&mut site, signalled).await;
}

/// Guards against refusing a request whose time-out is over before the grace period.
#[tokio::test(flavor = "multi_thread")]
async fn late_stream_with_short_timeout_is_served() {
    let mut settings = settings();
    settings["limits"]["request_ms"] = json!(1000);
    let mut site = Site::start_with(&["dakar-1", "dakar-1"], 1, SLOW, settings).await;
    site.routers[0].signal(Signal::TERM);
    let signalled = Instant::now();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let answer = site.ask(0, &chat("late", "a", 5)).await;
    assert!(answer.is_complete(), "{answer:?}");
    wait_for_exit(&mut site, signalled).await;
    check_tokens_are_back(&site).await;
}

/// Guards against keeping a request in the queue until it can't end, or sending it then.
#[tokio::test(flavor = "multi_thread")]
async fn queued_stream_that_cannot_end_is_refused_at_once() {
    let site = start_observed(1).await;
    let text = site.rules().replace("slots=128", "slots=1");
    let version = site.apply_rules("one-slot", &text).await;
    site.wait_for_version(version).await;
    let mut site = site;
    let before = started(&site);
    let running = site.spawn_ask(0, &chat("running", "a", 150));
    eventually("the stream runs", || async { started(&site) > before }).await;
    let long = site.spawn_ask(0, &chat("long", "b", 2000));
    let short = site.spawn_ask(0, &chat("short", "c", 20));
    tokio::time::sleep(Duration::from_millis(200)).await;
    site.routers[0].signal(Signal::TERM);
    let signalled = Instant::now();
    let long = long.await.expect("a caller").expect("an answer");
    assert!(signalled.elapsed() < AT_ONCE, "{:?}", signalled.elapsed());
    assert_eq!((long.status, long.outcome.as_str()), (503, "not_run"));
    for stream in [running, short] {
        let answer = stream.await.expect("a caller").expect("an answer");
        assert!(answer.is_complete(), "{answer:?}");
    }
    wait_for_exit(&mut site, signalled).await;
    assert_eq!(started(&site), before + 2);
    check_tokens_are_back(&site).await;
}

/// Guards against waiting for a body whose request can't be served any more, and against a reset that
/// loses the answer to it.
#[tokio::test(flavor = "multi_thread")]
async fn arriving_body_that_cannot_be_served_is_refused_at_once() {
    let mut site = start(1).await;
    let mut kept = Kept::open(site.routers[0].callers).await;
    let request = chat("arriving", "a", 5);
    kept.send_part(&request, 20).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    site.routers[0].signal(Signal::TERM);
    let signalled = Instant::now();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let rest = &request.body.as_bytes()[20..30];
    kept.stream.write_all(rest).await.expect("it is sent");
    assert_refused_and_closed(&kept.read_to_end().await);
    wait_for_exit(&mut site, signalled).await;
    assert_eq!(started(&site), 0);
}

/// Guards against refusing a short request because its body was still arriving at the signal.
#[tokio::test(flavor = "multi_thread")]
async fn arriving_body_of_short_request_is_served() {
    let mut site = start_observed(1).await;
    let mut kept = Kept::open(site.routers[0].callers).await;
    let request = chat("arriving", "a", 5);
    kept.send_part(&request, 20).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    site.routers[0].signal(Signal::TERM);
    let signalled = Instant::now();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let rest = &request.body.as_bytes()[20..];
    kept.stream.write_all(rest).await.expect("it is sent");
    let answer = kept.read_to_end().await;
    assert!(answer.contains("[done]"), "{answer}");
    wait_for_exit(&mut site, signalled).await;
}

/// Guards against resuming a stream elsewhere that can't end there, and against telling its caller
/// that it didn't run.
#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_is_resumed_only_if_it_can_end() {
    let mut site = start_observed(2).await;
    let cut = EngineFaults {
        cut_after: 60,
        ..EngineFaults::default()
    };
    site.engines[0].0.set_faults(cut.clone());
    let before = started(&site);
    let ask = |n| chat(&format!("short-{n}"), &format!("lot {n}"), 80);
    let short: Vec<_> = (0..6).map(|n| site.spawn_ask(0, &ask(n))).collect();
    eventually("the streams run", || async { started(&site) >= before + 6 }).await;
    site.routers[0].signal(Signal::TERM);
    let signalled = Instant::now();
    for (n, stream) in short.into_iter().enumerate() {
        let answer = stream.await.expect("a caller").expect("an answer");
        assert!(answer.is_complete(), "{n}: {answer:?}");
        assert_eq!(answer.text(), expected_text(&format!("lot {n}"), 80));
    }
    wait_for_exit(&mut site, signalled).await;
    check_tokens_are_back(&site).await;
}

/// Guards against resuming a stream that can't end, which would be cut a second time.
#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_that_cannot_end_is_not_resumed() {
    let mut site = start_observed(2).await;
    for (engine, _) in &site.engines {
        engine.set_faults(EngineFaults {
            cut_after: 60,
            ..EngineFaults::default()
        });
    }
    let before = started(&site);
    let stream = site.spawn_ask(0, &chat("long", "a", 2000));
    eventually("the stream runs", || async { started(&site) > before }).await;
    site.routers[0].signal(Signal::TERM);
    let signalled = Instant::now();
    let answer = stream.await.expect("a caller").expect("an answer");
    assert_eq!(delivered(&answer), 60);
    assert_eq!(started(&site), before + 1, "it is sent to no other engine");
    wait_for_exit(&mut site, signalled).await;
    check_tokens_are_back(&site).await;
}

/// Guards against starting a call whose time-out ends after the grace period.
#[tokio::test(flavor = "multi_thread")]
async fn late_call_counts_its_timeout() {
    let mut site = start(1).await;
    site.routers[0].signal(Signal::TERM);
    let signalled = Instant::now();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let served = site.ask(0, &purchase("early")).await;
    assert_eq!((served.status, served.outcome.as_str()), (200, "ran"));
    tokio::time::sleep(Duration::from_millis(1300)).await;
    let refused = site.ask(0, &purchase("late")).await;
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not_run"));
    let again = site.ask(0, &purchase("early")).await;
    assert_eq!((again.status, again.outcome.as_str()), (200, "ran"));
    wait_for_exit(&mut site, signalled).await;
    let elsewhere = site.ask(1, &purchase("late")).await;
    assert_eq!((elsewhere.status, elsewhere.outcome.as_str()), (200, "ran"));
}

/// Guards against sending a request that waited for its tokens until it can't end any more.
#[tokio::test(flavor = "multi_thread")]
async fn stream_waiting_for_tokens_is_refused_at_once() {
    let mut site = start(1).await;
    let mut faults = site.memory.faults();
    faults.delay_ms = 350;
    site.memory.set_faults(faults);
    let waiting = site.spawn_ask(0, &chat("waiting", "a", 5));
    tokio::time::sleep(Duration::from_millis(150)).await;
    site.routers[0].signal(Signal::TERM);
    let signalled = Instant::now();
    let refused = waiting.await.expect("a caller").expect("an answer");
    assert_eq!(
        (refused.code().as_str(), refused.outcome.as_str()),
        ("not_ready", "not_run")
    );
    assert!(signalled.elapsed() < AT_ONCE, "{:?}", signalled.elapsed());
    site.memory.set_faults(Faults::default());
    wait_for_exit(&mut site, signalled).await;
    assert_eq!(started(&site), 0);
    check_tokens_are_back(&site).await;
}

/// Guards against saying that a request didn't run because its second attempt came too late, though
/// the first one may have run.
#[tokio::test(flavor = "multi_thread")]
async fn broken_request_that_is_not_sent_again_has_unknown_outcome() {
    let mut site = start(1).await;
    let calls = Arc::new(AtomicU64::new(0));
    let seen = Arc::clone(&calls);
    let upstream = ScriptedUpstream::spawn(End::Close, move |request| {
        if request.line.contains("/v1/load") {
            return format!("HTTP/1.1 200 OK\r\n\r\n{LOAD}");
        }
        seen.fetch_add(1, Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(800));
        String::new()
    });
    let upstream = upstream.await.expect("an upstream");
    let text = rules_with(&site, upstream.address);
    let version = site.apply_rules("scripted", &text).await;
    site.wait_for_version(version).await;
    let stream = site.spawn_ask(0, &chat("broken", "a", 5));
    eventually("the request is sent", || async {
        calls.load(Ordering::Relaxed) > 0
    })
    .await;
    site.routers[0].signal(Signal::TERM);
    let signalled = Instant::now();
    let answer = stream.await.expect("a caller").expect("an answer");
    assert_eq!(answer.outcome, "unknown", "{answer:?}");
    assert_eq!(calls.load(Ordering::Relaxed), 1, "it is not sent again");
    wait_for_exit(&mut site, signalled).await;
    check_tokens_are_back(&site).await;
}
