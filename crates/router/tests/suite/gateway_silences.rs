//! Upstreams that fall silent for a while and then go on, and answers that no other upstream can replace.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use fescue_site::caller::{Kind, Outcome, send};
use fescue_site::engine;
use fescue_site::kept::{KeptUpstream, Step};
use fescue_site::manifest::{ENGINES, LEDGER, manifest, upstream_entry};
use fescue_site::process::Gateway;
use fescue_site::scripted::RequestHead;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::gateway_site::{Site, status};

/// Longer than the time after which the gateway looks for another upstream, and well before the caller's
/// deadline.
const CALL_SILENCE: Duration = Duration::from_millis(500);
const STREAM_SILENCE: Duration = Duration::from_millis(1800);

/// The timeout for changed settings to take effect.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the head of an answer, with what follows the status line.
pub fn head(request: &RequestHead, status: &str, fields: &str) -> String {
    let id = &request.id;
    format!(
        "HTTP/1.1 {status}\r\nx-fescuedrift-response-signature: s.{id}\r\n\
         x-fescuedrift-attempt-id: {id}\r\n{fields}\r\n"
    )
}

/// Returns the complete answer to a plain request.
pub fn answer(request: &RequestHead, status: &str) -> String {
    let body = format!("done {}", request.id);
    let fields = format!("content-length: {}\r\n", body.len());
    head(request, status, &fields) + &body
}

/// Returns the head of a stream and its first two events.
pub fn begin(request: &RequestHead) -> String {
    let fields = "content-type: text/event-stream\r\nconnection: close\r\n";
    head(request, "200 OK", fields) + &events(request, 1..=2)
}

/// Returns the head of a stream that goes on after its second event, and the events up to its end.
fn resumed(request: &RequestHead) -> String {
    let fields = "content-type: text/event-stream\r\nconnection: close\r\n";
    head(request, "200 OK", fields) + &events(request, 3..=6)
}

pub fn events(request: &RequestHead, numbers: std::ops::RangeInclusive<u64>) -> String {
    let events = numbers.map(|number| engine::event(&request.id, number));
    events.collect()
}

/// Replaces the upstreams of a service by others, which follow the script.
pub async fn replace<F>(site: &Site, service: &str, count: usize, script: F) -> Vec<KeptUpstream>
where
    F: Fn(&RequestHead) -> Vec<Step> + Clone + Send + Sync + 'static,
{
    for known in site.engines.iter().chain(&site.ledgers) {
        site.store.store.remove("servers", &known.id);
    }
    let mut upstreams = Vec::new();
    for index in 0..count {
        let script = script.clone();
        let upstream = KeptUpstream::spawn(move |heads| script(&heads[heads.len() - 1])).await;
        let upstream = upstream.expect("an upstream");
        let entry = upstream_entry(service, upstream.address, 8, false);
        let name = format!("s-{index}");
        site.store.store.put("servers", &name, &entry);
        upstreams.push(upstream);
    }
    upstreams
}

/// Changes the settings file, sends SIGHUP and waits until the settings are read.
pub async fn reload(site: &Site, vm: &str, gateway: &Gateway, change: impl Fn(&mut Value)) {
    let path = site.folder.join(format!("{vm}.json"));
    let text = std::fs::read_to_string(&path).expect("settings");
    let mut settings = serde_json::from_str(&text).expect("valid settings");
    change(&mut settings);
    let before = gateway.log_lines("message", "settings read").len();
    std::fs::write(&path, settings.to_string()).expect("a written file");
    gateway.signal(Signal::HUP);
    let until = Instant::now() + RELOAD_TIMEOUT;
    while gateway.log_lines("message", "settings read").len() == before {
        assert!(Instant::now() < until, "the settings were not read");
        sleep(Duration::from_millis(10)).await;
    }
}

fn set_retries(extra: f64) -> impl Fn(&mut Value) {
    move |settings| settings["retries"] = json!({ "window_s": 10, "ratio": 0, "extra": extra })
}

fn silent_call(request: &RequestHead) -> Vec<Step> {
    vec![
        Step::Wait(CALL_SILENCE),
        Step::Send(answer(request, "200 OK")),
    ]
}

/// Guards against a call that fails because its sound upstream is silent for a while, and no other one is
/// left or the retry budget is used up.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_waits_for_a_silent_call_that_none_can_take_over() {
    let mut faults = Vec::new();
    for (name, count, extra) in [("call-alone", 1, 56.0), ("call-budget", 2, 0.0)] {
        let site = Site::open(name, 1_000_000).await;
        let upstreams = replace(&site, LEDGER, count, silent_call).await;
        let gateway = site.ready("vm-1").await;
        reload(&site, "vm-1", &gateway, set_retries(extra)).await;
        let seen = send(gateway.ports.callers, &site.ask(Kind::Read, name)).await;
        let sent: usize = upstreams.iter().map(|one| one.received().len()).sum();
        if !matches!(seen, Outcome::Served { .. }) || sent != 1 {
            faults.push(format!("{name} ({sent} sent): {seen:?}"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against a stream that is refused because its upstream is silent before the first event, where
/// it was the last attempt or no other one is possible.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_waits_for_a_silent_start_that_none_can_take_over() {
    let mut faults = Vec::new();
    let cases = [
        ("start-alone", 1, 56.0, 2),
        ("start-budget", 2, 0.0, 2),
        ("start-attempts", 2, 56.0, 1),
        ("start-last", 3, 56.0, 2),
    ];
    for (name, count, extra, attempts) in cases {
        let site = Site::open(name, 1_000_000).await;
        let mut wire = manifest(2, std::slice::from_ref(&site.team));
        wire["routes"][0]["max_attempts"] = json!(attempts);
        site.store.store.put("op", "config", &wire);
        let _upstreams = replace(&site, ENGINES, count, |request| {
            vec![
                Step::Wait(STREAM_SILENCE),
                Step::Send(begin(request) + &events(request, 3..=6)),
                Step::Close,
            ]
        })
        .await;
        let gateway = site.ready("vm-1").await;
        reload(&site, "vm-1", &gateway, set_retries(extra)).await;
        let seen = send(gateway.ports.callers, &site.ask(Kind::Chat, name)).await;
        if !matches!(seen, Outcome::Served { .. }) {
            faults.push(format!("{name}: {seen:?}"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against a stream that is broken off because its upstream is silent between two events, where no
/// other one can go on with it.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_waits_for_a_silent_stream_that_none_can_take_over() {
    let mut faults = Vec::new();
    for (name, count, extra) in [("stream-alone", 1, 56.0), ("stream-budget", 2, 0.0)] {
        let site = Site::open(name, 1_000_000).await;
        let _upstreams = replace(&site, ENGINES, count, |request| {
            vec![
                Step::Send(begin(request)),
                Step::Wait(STREAM_SILENCE),
                Step::Send(events(request, 3..=6)),
                Step::Close,
            ]
        })
        .await;
        let gateway = site.ready("vm-1").await;
        reload(&site, "vm-1", &gateway, set_retries(extra)).await;
        let seen = send(gateway.ports.callers, &site.ask(Kind::Chat, name)).await;
        if !matches!(seen, Outcome::Served { .. }) {
            faults.push(format!("{name}: {seen:?}"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against a request that waits for an upstream that has fallen silent for good, though another one
/// can take it over.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_moves_from_an_upstream_that_stays_silent() {
    let mut faults = Vec::new();
    let services = [(Kind::Read, LEDGER), (Kind::Chat, ENGINES)];
    for (name, (kind, service)) in ["move-call", "move-stream"].into_iter().zip(services) {
        let site = Site::open(name, 1_000_000).await;
        let count = Arc::new(AtomicUsize::new(0));
        let _upstreams = replace(&site, service, 2, move |request| {
            let first = count.fetch_add(1, Ordering::Relaxed) == 0;
            match (kind.is_streaming(), first) {
                (false, true) => vec![Step::Wait(Duration::from_secs(60))],
                (false, false) => vec![Step::Send(answer(request, "200 OK"))],
                (true, true) => vec![
                    Step::Send(begin(request)),
                    Step::Wait(Duration::from_secs(60)),
                ],
                (true, false) => vec![Step::Send(resumed(request)), Step::Close],
            }
        })
        .await;
        let gateway = site.ready("vm-1").await;
        let seen = send(gateway.ports.callers, &site.ask(kind, name)).await;
        if !matches!(seen, Outcome::Served { .. }) {
            faults.push(format!("{name}: {seen:?}"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
/// Guards against an upstream's error that its caller doesn't get, or only at the deadline, because the
/// gateway waits for another upstream where there is none.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_passes_an_error_on_that_none_can_replace() {
    let mut faults = Vec::new();
    for (name, count, extra) in [("error-alone", 1, 56.0), ("error-budget", 2, 0.0)] {
        let site = Site::open(name, 1_000_000).await;
        let _upstreams = replace(&site, LEDGER, count, |request| {
            vec![Step::Send(answer(request, "500 Failure"))]
        })
        .await;
        let gateway = site.ready("vm-1").await;
        reload(&site, "vm-1", &gateway, set_retries(extra)).await;
        let seen = send(gateway.ports.callers, &site.ask(Kind::Read, name)).await;
        if status(&seen) != Some(500) {
            faults.push(format!("{name}: {seen:?}"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against an attempt after an upstream's error that takes two retries out of the budget, so that
/// it isn't made with only one left.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_replaces_an_error_with_the_last_retry() {
    let site = Site::open("error-last", 1_000_000).await;
    let failures = Arc::new(AtomicUsize::new(0));
    let _upstreams = replace(&site, LEDGER, 2, move |request| {
        let number = failures.fetch_add(1, Ordering::Relaxed);
        let status = ["500 Failure", "200 OK"][number.min(1)];
        vec![Step::Send(answer(request, status))]
    })
    .await;
    let gateway = site.ready("vm-1").await;
    // A router alone uses four fifths of the budget.
    reload(&site, "vm-1", &gateway, set_retries(1.25)).await;
    let seen = send(gateway.ports.callers, &site.ask(Kind::Read, "e-1")).await;
    assert!(matches!(seen, Outcome::Served { .. }), "{seen:?}");
}
