//! A tenant sends model requests whose answers are whole bodies, not streams, at its usual rate and at 7.5 times
//! that. It must not get more than its prepaid tokens.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use review_standin::{BROKEN, Fleet, HELD, NOT_RUN, Record, run_case, trouble};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until, timeout};

const PREPAID: u64 = 20_000;
const INPUT: u64 = 500;
const OUTPUT: u64 = 100;
/// The usual pause between two requests.
const USUAL: Duration = Duration::from_millis(1000);
const TIMES: f64 = 7.5;
const LENGTH: Duration = Duration::from_secs(18);
/// When the tenant begins to send more, and for how long it does.
const HOT_AT: Duration = Duration::from_secs(4);
const HOT_FOR: Duration = Duration::from_millis(6500);
const HOST: &str = "site.example";

#[derive(Default)]
struct Tally {
    sent: AtomicU64,
    served: AtomicU64,
    exhausted: AtomicU64,
    other: AtomicU64,
    input: AtomicU64,
    output: AtomicU64,
}

#[tokio::main]
async fn main() {
    run_case(|record| async move { run(&record).await }).await;
}

fn manifest() -> serde_json::Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "summaries", "host": HOST, "prefix": "/summaries/", "kind": "non_idempotent", "timeout_ms": 5000,
            "target_latency_ms": 500, "priority": 0, "service": "engines", "max_attempts": 1,
            "anonymous_access": false, "session_affinity": true,
        }],
        "services": [{
            "name": "engines", "health_check_path": "/health", "connection_limit": 200,
            "engine_type": { "slots": 16, "kv_capacity_tokens": 200_000, "step_size": 5 },
        }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 1_048_576, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{ "name": "coop", "api_keys": ["key-of-coop"], "priority": 0, "prepaid_tokens": PREPAID }],
    })
}

async fn run(record: &Record) -> std::io::Result<i32> {
    let fleet = Fleet::open(record, 2).await?;
    fleet.store.store.put("op", "config", &manifest());
    for number in 1..=2 {
        let id = format!("i-{number}");
        let address = engine(id.clone(), record.clone()).await?;
        fleet.register("engines", &id, address, 16);
    }
    fleet.start_all().await?;
    sleep(Duration::from_secs(3)).await;
    let tally = Arc::new(Tally::default());
    record.say(&format!(
        "the tenant sends a request each {USUAL:?}, of {INPUT} + {OUTPUT} tokens at most"
    ));
    if trouble() {
        record.say(&format!(
            "from {HOT_AT:?} on it sends {TIMES} times as many, for {HOT_FOR:?}"
        ));
    }
    let (start, mut open, mut number) = (Instant::now(), Vec::new(), 0);
    let mut at = Duration::ZERO;
    while at < LENGTH {
        sleep_until(start + at).await;
        number += 1;
        let hot = trouble() && at >= HOT_AT && at < HOT_AT + HOT_FOR;
        at += if hot { USUAL.div_f64(TIMES) } else { USUAL };
        let (fleet, tally) = (Arc::clone(&fleet), Arc::clone(&tally));
        open.push(tokio::spawn(async move {
            request(&fleet, &tally, number).await
        }));
    }
    for task in open {
        let _ended = task.await;
    }
    let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let (input, output) = (get(&tally.input), get(&tally.output));
    record.say(&format!(
        "{} sent, {} served, {} answered 402, {} ended otherwise; the tenant got {input} tokens in and {output} tokens \
         out, {} of {PREPAID} prepaid",
        get(&tally.sent), get(&tally.served), get(&tally.exhausted), get(&tally.other), input + output,
    ));
    if get(&tally.served) < 10 {
        return Ok(NOT_RUN);
    }
    Ok(if input + output > PREPAID {
        BROKEN
    } else {
        HELD
    })
}

/// Sends a request over a new channel, and counts what the tenant gets.
async fn request(fleet: &Fleet, tally: &Tally, number: u32) {
    let rotation = fleet.rotation();
    let node = &fleet.nodes[rotation[rand::random_range(0..rotation.len())]];
    tally.sent.fetch_add(1, Ordering::Relaxed);
    let id = format!("r{number}");
    let answer = timeout(Duration::from_secs(6), exchange(node.ports.callers, &id)).await;
    let text = match answer {
        Ok(Some((StatusCode::OK, true, output))) => {
            tally.served.fetch_add(1, Ordering::Relaxed);
            tally.input.fetch_add(INPUT, Ordering::Relaxed);
            tally.output.fetch_add(output, Ordering::Relaxed);
            format!("200, signed, {INPUT} tokens in, {output} tokens out")
        }
        Ok(Some((StatusCode::PAYMENT_REQUIRED, ..))) => {
            tally.exhausted.fetch_add(1, Ordering::Relaxed);
            "402".to_owned()
        }
        other => {
            tally.other.fetch_add(1, Ordering::Relaxed);
            format!("{other:?}")
        }
    };
    fleet.record.line(&format!("{id} by {}: {text}", node.name));
}

async fn exchange(address: SocketAddr, id: &str) -> Option<(StatusCode, bool, u64)> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, driver) = client::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(driver);
    let request = Request::builder()
        .method("POST")
        .uri("/summaries/1")
        .header("host", HOST)
        .header("authorization", "Bearer key-of-coop")
        .header("x-fescuedrift-attempt-id", id)
        .header("x-fescuedrift-deadline-ms", "5000")
        .header("x-fescuedrift-model", "m")
        .header("x-fescuedrift-token-usage", format!("{INPUT},{OUTPUT}"))
        .header(
            "x-fescuedrift-prompt-prefix",
            format!("aa:{},{id}:10", INPUT - 10),
        )
        .body(Full::new(Bytes::from(format!("body of {id}"))))
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let (status, signed) = (
        response.status(),
        response
            .headers()
            .contains_key("x-fescuedrift-response-signature"),
    );
    let body = response.into_body().collect().await.ok()?.to_bytes();
    driver.abort();
    // The answer holds one word for each token.
    let output = body
        .split(|byte| *byte == b' ')
        .filter(|word| !word.is_empty())
        .count() as u64;
    Some((status, signed, output))
}

/// Starts a model engine that answers with one word for each token.
async fn engine(id: String, record: Record) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (id, record) = (id.clone(), record.clone());
            let service =
                service_fn(move |request| run_request(id.clone(), record.clone(), request));
            tokio::spawn(async move {
                let served = server::Builder::new().serve_connection(TokioIo::new(stream), service);
                let _ended = served.await;
            });
        }
    });
    Ok(address)
}

async fn run_request(
    id: String,
    record: Record,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let field = |name: &str| {
        let value = request.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let attempt = field("x-fescuedrift-attempt-id").unwrap_or_default();
    let usage = field("x-fescuedrift-token-usage").unwrap_or_default();
    let (tenant, expected) = (
        field("x-fescuedrift-tenant"),
        field("x-fescuedrift-expected-instance"),
    );
    let answer = Response::builder().header("x-fescuedrift-attempt-id", &attempt);
    if expected.is_some_and(|expected| expected != id) {
        let answer = answer.status(421).header("x-fescuedrift-not-executed", "1");
        return Ok(answer.body(Full::default()).expect("a valid answer"));
    }
    let _body = request.into_body().collect().await;
    record.line(&format!(
        "{attempt} runs at {id}, tenant {tenant:?}, {usage} tokens at most"
    ));
    sleep(Duration::from_millis(40)).await;
    let output: usize = usage
        .split_once(',')
        .and_then(|(_, output)| output.parse().ok())
        .unwrap_or(0);
    let answer = answer.header(
        "x-fescuedrift-response-signature",
        format!("{id}.{attempt}"),
    );
    let body = Bytes::from("word ".repeat(output));
    Ok(answer.body(Full::new(body)).expect("a valid answer"))
}
