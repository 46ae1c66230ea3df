//! Upstreams that send bytes without end, in a head or in a body.

use fescue_site::flood::{Flood, FloodUpstream};
use fescue_site::process::peak_memory;
use fescue_standin::caller::Request;
use futures_util::future::join_all;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::gateway_site::SMALLEST_VM_MEMORY;
use crate::site::{KEY, QUICK, Site, bounded, chat, eventually, purchase};

/// Returns rules in which all models and services lead to one upstream.
pub fn rules_with(site: &Site, at: std::net::SocketAddr) -> String {
    let rules = site.rules();
    let lines = rules.lines().filter(|line| !line.starts_with("upstream "));
    let mut text: String = lines.map(|line| format!("{line}\n")).collect();

    for (name, serves) in [
        ("engine", "models=price"),
        ("registry", "services=purchases"),
    ] {
        text.push_str(&format!(
            "upstream {name} at={at} data-centre=dakar-1 {serves} slots=64 \
             fencing=ignores orders=unchecked # asked by Awa\n"
        ));
    }
    text
}

/// A load report of an idle engine.
pub const LOAD: &str = r#"{"incarnation":1,"running":0,"waiting":0,"leaving":false}"#;

/// Guards against upstreams that send bytes without end: no caller gets a complete answer, and the
/// process stays within the memory of a small VM.
#[tokio::test(flavor = "multi_thread")]
async fn answers_without_end_fail_within_bounded_memory() {
    join_all(Flood::ALL.map(serve_flood)).await;
}

/// Sends requests of each kind to a router whose only upstream sends bytes without end.
async fn serve_flood(flood: Flood) {
    let site = Site::start(&["dakar-1"], 1, QUICK).await;
    // One engine's load reports never end either.
    let path = if flood == Flood::Body { "" } else { "/v1/load" };
    let upstream = FloodUpstream::spawn_except(flood, path, LOAD).await;
    let upstream = upstream.expect("an upstream");
    let version = site
        .apply_rules("flood", &rules_with(&site, upstream.address))
        .await;
    site.wait_for_version(version).await;
    let collected = Request::chat(KEY, "price", "lot", 5);
    let body = collected
        .body
        .replace("\"stream\":true", "\"stream\":false");
    let mut open = Vec::new();
    for number in 0..12 {
        let id = format!("{flood:?}-{number}");
        let ask = match number % 3 {
            0 => chat(&id, "lot", 5),
            1 => purchase(&id),
            _ => Request::post("/v1/chat/completions", KEY, &body).with_id(&id),
        };
        open.push(site.spawn_ask(0, &ask));
    }
    for ask in open {
        let Some(answer) = ask.await.expect("a caller") else {
            // The answer broke off, as it must.
            continue;
        };
        let complete = answer.is_complete() || !answer.body.contains("data:");
        assert!(
            answer.status != 200 || !complete,
            "{flood:?}: {}",
            answer.body
        );
    }
    let version = site.apply_rules("end", &site.rules()).await;
    site.wait_for_version(version).await;
    eventually("connections are closed", || async { upstream.open() == 0 }).await;
    let peak = peak_memory(site.routers[0].id()).expect("a running process");
    assert!(peak <= SMALLEST_VM_MEMORY, "{flood:?}: {peak} bytes");
    let answer = site.ask(0, &purchase("after")).await;
    assert_eq!(answer.status, 200, "{flood:?}: {}", answer.body);
}

/// The most that an upstream may get rid of in interim responses without end, over all connections: for each, a
/// few reads of the HTTP client of up to 400 KB, and 1 MB in the buffers of its sockets.
const MAX_INTERIM_BYTES: usize = FLOODED * (5 * 400 * 1024 + (1 << 20));

/// The number of requests beside each other to an upstream with interim responses without end.
const FLOODED: usize = 12;

/// Guards against a connection that is read as long as it has bytes: the task that would end the request
/// couldn't run on that thread for half a minute.
#[tokio::test(flavor = "multi_thread")]
async fn interim_responses_without_end_are_left_after_a_few_reads() {
    let site = Site::start(&["dakar-1"], 1, QUICK).await;
    let upstream = FloodUpstream::spawn_except(Flood::Interim, "/v1/load", LOAD).await;
    let upstream = upstream.expect("an upstream");
    let rules = rules_with(&site, upstream.address);
    let version = site.apply_rules("interim", &rules).await;
    site.wait_for_version(version).await;
    // Calls that may not be repeated are sent once.
    let asks =
        (0..FLOODED).map(|number| site.spawn_ask(0, &purchase(&format!("flooded-{number}"))));
    for answer in join_all(asks).await {
        let answer = answer.expect("a caller");
        assert!(answer.is_none_or(|answer| answer.status != 200));
    }
    eventually("connections are closed", || async { upstream.open() == 0 }).await;
    let written = upstream.written();
    assert!(written <= MAX_INTERIM_BYTES, "{written} bytes");
}

/// Nothing is reserved for tokens beyond those that a request asked for, so an engine that sends more
/// must not have them delivered.
#[tokio::test(flavor = "multi_thread")]
async fn chat_delivers_no_more_than_was_asked_for() {
    let site = Site::start(&["dakar-1"], 1, QUICK).await;
    let upstream = FloodUpstream::spawn_except(Flood::Data, "/v1/load", LOAD).await;
    let upstream = upstream.expect("an upstream");
    let text = rules_with(&site, upstream.address);
    let version = site.apply_rules("events", &text).await;
    site.wait_for_version(version).await;
    let mut stream = TcpStream::connect(site.routers[0].callers)
        .await
        .expect("a connection");
    let body = r#"{"model":"price","max_tokens":5,"stream":true,"messages":[{"role":"user","content":"a"}]}"#;
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: site\r\nx-request-id: events\r\nauthorization: Bearer {KEY}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    // The router may reset the connection, since the answer is incomplete.
    let _read = bounded("events", stream.take(1 << 20).read_to_end(&mut answer)).await;
    let answer = String::from_utf8_lossy(&answer);
    let delivered = answer.matches("\"n\":").count();
    assert!(delivered <= 5, "{delivered} events");
    assert!(!answer.contains("[DONE]"), "{answer}");
}

/// Guards against events that are held back to the end of an answer that has none: a router kept all of those
/// that named a usage, without a limit.
#[tokio::test(flavor = "multi_thread")]
async fn usage_without_end_is_not_kept() {
    // Also a router that reads on until the time-out answers its callers in time.
    let changes = json!({"limits": {"request_ms": 20000}});
    let site = Site::start_with(&["dakar-1"], 1, QUICK, changes).await;
    let upstream = FloodUpstream::spawn_except(Flood::Usage, "/v1/load", LOAD).await;
    let upstream = upstream.expect("an upstream");
    // How long a request waits for an upstream that hasn't failed it.
    let rules = rules_with(&site, upstream.address).replace("target=20s", "target=1s");
    let version = site.apply_rules("usage", &rules).await;
    site.wait_for_version(version).await;
    let asks = (0..FLOODED).map(|number| {
        let id = format!("usage-{number}");
        site.spawn_ask(0, &chat(&id, "lot", 5))
    });
    for answer in join_all(asks).await {
        let answer = answer.expect("a caller");
        assert!(answer.is_none_or(|answer| !answer.is_complete()));
    }
    eventually("connections are closed", || async { upstream.open() == 0 }).await;
    let peak = peak_memory(site.routers[0].id()).expect("a running process");
    assert!(peak <= SMALLEST_VM_MEMORY, "{peak} bytes");
}
