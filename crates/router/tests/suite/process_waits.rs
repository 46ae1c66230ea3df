//! The bounds on how long a request may wait, and what changes of the rules do to requests on their way.

use std::time::{Duration, Instant};

use fescue_site::kept::{KeptUpstream, Step};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::process_floods::LOAD;
use crate::site::{KEY, QUICK, Site, bounded, chat, purchase};

/// Reports its load, and takes requests without answering them.
fn silent(head: &str) -> Vec<Step> {
    let length = LOAD.len();
    match head.contains("/v1/load") {
        true => vec![Step::Send(format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{LOAD}"
        ))],
        false => vec![Step::Wait(Duration::from_secs(60))],
    }
}

/// Returns the rule of an engine.
fn engine(upstream: &KeptUpstream) -> String {
    let (at, port) = (upstream.address, upstream.address.port());
    format!(
        "upstream kept-{port} at={at} data-centre=dakar-1 models=price slots=8 \
         fencing=ignores orders=unchecked # asked by Awa\n"
    )
}

/// Guards against a request that gets the whole time-out again with each attempt.
#[tokio::test(flavor = "multi_thread")]
async fn silent_upstreams_share_one_timeout() {
    let timeout = json!({"limits": {"request_ms": 1500}});
    let site = Site::start_with(&["dakar-1"], 0, QUICK, timeout).await;
    let mut text = site.rules();
    let mut upstreams = Vec::new();
    for _ in 0..3 {
        let upstream = KeptUpstream::spawn(|heads| silent(&heads[heads.len() - 1].line)).await;
        upstreams.push(upstream.expect("an upstream"));
    }
    text.extend(upstreams.iter().map(engine));
    let version = site.apply_rules("silent", &text).await;
    site.wait_for_version(version).await;
    let start = Instant::now();
    let seen = site.ask(0, &chat("r-1", "lot 1", 5)).await;
    let waited = start.elapsed();
    assert_eq!((seen.status, seen.outcome.as_str()), (504, "unknown"));
    assert!(waited < Duration::from_millis(2500), "{waited:?}");
}

/// Refuses each request without running it; reports its load.
fn refusing(head: &str) -> Vec<Step> {
    match head.contains("/v1/load") {
        true => silent(head),
        false => {
            let refusal = "HTTP/1.1 503 Refused\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
            vec![Step::Send(refusal.to_owned()), Step::Close]
        }
    }
}

/// Guards against a refusal that doesn't tell its caller when to come back, after all upstreams have refused
/// the request.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_all_refuse_is_told_when_to_return() {
    let site = Site::start(&["dakar-1"], 0, QUICK).await;
    let spawn = || KeptUpstream::spawn(|heads| refusing(&heads[heads.len() - 1].line));
    let engine = self::engine(&spawn().await.expect("an upstream"));
    let registry = engine
        .replace("models=price", "services=purchases")
        .replace("upstream kept", "upstream registry");
    let rules = site.rules();
    let others = rules.lines().filter(|l| !l.contains("upstream registry"));
    let mut text: String = others.map(|line| format!("{line}\n")).collect();
    text.push_str(&(engine + &registry));
    let version = site.apply_rules("refusing", &text).await;
    site.wait_for_version(version).await;
    for ask in [chat("r-1", "lot 1", 5), purchase("r-2")] {
        let stream = TcpStream::connect(site.routers[0].callers).await;
        let mut stream = stream.expect("a connection");
        let request = format!(
            "POST {} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {KEY}\r\n\
             connection: close\r\ncontent-length: {}\r\n\r\n{}",
            ask.path,
            ask.body.len(),
            ask.body
        );
        stream.write_all(request.as_bytes()).await.expect("sent");
        let mut answer = String::new();
        let read = bounded(&ask.path, stream.read_to_string(&mut answer)).await;
        read.expect("an answer");
        for part in [
            "HTTP/1.1 503",
            "x-fescue-outcome: not_run",
            "retry-after: 1\r\n",
        ] {
            assert!(answer.contains(part), "{part} is missing in {answer}");
        }
    }
}
