//! The processes of all machines are killed and started again while the engines of a service are full. The service must
//! not get more repeats than the budget that all machines share.

use std::collections::HashSet;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use review_standin::{BROKEN, Fleet, HELD, NOT_RUN, Record, run_case, trouble};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until, timeout};

const HOST: &str = "site.example";
const MACHINES: usize = 3;
const ENGINES: u32 = 8;
/// An engine works on one request, and keeps one more waiting.
const PLACES: u32 = 2;
const WORK: Duration = Duration::from_millis(1200);
const INTERVAL: Duration = Duration::from_millis(50);
const LENGTH: Duration = Duration::from_secs(20);
/// When the processes are killed, after the start of traffic, and for how long they are down.
const KILL_AT: Duration = Duration::from_secs(4);
const DOWN: Duration = Duration::from_millis(600);
/// `budget_window_s`, `retry_budget_ratio` and `retry_budget_extra` of the deploy file's settings.
const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const EXTRA: f64 = 56.0;

#[derive(Default)]
struct Log {
    /// When requesters sent requests.
    sent: Vec<Instant>,
    /// Ids of the requests that reached an engine.
    seen: HashSet<String>,
    /// When requests reached an engine once more.
    repeats: Vec<Instant>,
    ran: u32,
    answers: Vec<Option<StatusCode>>,
}

#[tokio::main]
async fn main() {
    run_case(|record| async move { run(&record).await }).await;
}

fn manifest() -> serde_json::Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "lookups", "host": HOST, "prefix": "/lookups/", "kind": "idempotent", "timeout_ms": 4000,
            "target_latency_ms": 1000, "priority": 0, "service": "registry", "max_attempts": 2,
            "anonymous_access": false,
        }],
        "services": [{ "name": "registry", "health_check_path": "/health", "connection_limit": 110 }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 1_048_576, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{ "name": "coop", "api_keys": ["key-of-coop"], "priority": 0, "prepaid_tokens": 1000 }],
    })
}

async fn run(record: &Record) -> std::io::Result<i32> {
    let fleet = Fleet::open(record, MACHINES).await?;
    let log: Arc<Mutex<Log>> = Arc::default();
    fleet.store.store.put("op", "config", &manifest());
    for number in 1..=ENGINES {
        let id = format!("i-{number}");
        let address = engine(id.clone(), record.clone(), Arc::clone(&log)).await?;
        fleet.register("registry", &id, address, PLACES - 1);
    }
    fleet.start_all().await?;
    sleep(Duration::from_secs(8)).await;
    let start = Instant::now();
    let traffic = {
        let (fleet, log) = (Arc::clone(&fleet), Arc::clone(&log));
        tokio::spawn(async move { play(&fleet, &log, start).await })
    };
    if trouble() {
        sleep_until(start + KILL_AT).await;
        (0..MACHINES).for_each(|index| fleet.kill(index));
        record.say("the processes of all machines are killed");
        sleep(DOWN).await;
        for index in 0..MACHINES {
            fleet.start(index)?;
        }
    }
    let _ended = traffic.await;
    let log = log.lock();
    let worst = log.repeats.iter().map(|from| {
        let repeats = count(&log.repeats, *from);
        let before = [WINDOW, WINDOW / 2]
            .map(|ago| count(&log.sent, from.checked_sub(ago).unwrap_or(*from)));
        let requests = before.into_iter().fold(count(&log.sent, *from), usize::max);
        let allowed = RATIO * requests as f64 + EXTRA;
        (
            repeats as f64 - allowed,
            repeats,
            requests,
            allowed,
            from.duration_since(start),
        )
    });
    let Some((over, repeats, requests, allowed, from)) = worst.max_by(|a, b| a.0.total_cmp(&b.0))
    else {
        return Ok(NOT_RUN);
    };
    let answered = |status| {
        log.answers
            .iter()
            .filter(|answer| **answer == status)
            .count()
    };
    record.say(&format!(
        "{} requests, {} repeats, {} runs, {} answered 200, {} answered 503, {} without an answer; most in the 10 s \
         from {:.1} s on: {repeats} repeats beside {requests} requests, {allowed:.1} allowed",
        log.sent.len(),
        log.repeats.len(),
        log.ran,
        answered(Some(StatusCode::OK)),
        answered(Some(StatusCode::SERVICE_UNAVAILABLE)),
        answered(None),
        from.as_secs_f64(),
    ));
    let seconds = (0..LENGTH.as_secs() + 4).map(|second| {
        let from = start + Duration::from_secs(second);
        let inside = |at: &&Instant| **at >= from && **at < from + Duration::from_secs(1);
        log.repeats.iter().filter(inside).count().to_string()
    });
    record.line(&format!(
        "repeats in each second: {}",
        seconds.collect::<Vec<_>>().join(" ")
    ));
    if log.ran < 30 {
        return Ok(NOT_RUN);
    }
    Ok(if over > 0.0 { BROKEN } else { HELD })
}

/// Returns how many of the times lie in the window that begins at one.
fn count(times: &[Instant], from: Instant) -> usize {
    times
        .iter()
        .filter(|at| **at >= from && **at < from + WINDOW)
        .count()
}

async fn play(fleet: &Arc<Fleet>, log: &Arc<Mutex<Log>>, start: Instant) {
    let mut open = Vec::new();
    for number in 0_u32.. {
        let at = INTERVAL * number;
        if at >= LENGTH {
            break;
        }
        sleep_until(start + at).await;
        let (fleet, log) = (Arc::clone(fleet), Arc::clone(log));
        log.lock().sent.push(Instant::now());
        open.push(tokio::spawn(async move {
            let rotation = fleet.rotation();
            let node = &fleet.nodes[rotation[rand::random_range(0..rotation.len())]];
            let id = format!("r{number}");
            let answer = timeout(Duration::from_secs(5), exchange(node.ports.callers, &id)).await;
            let status = answer.ok().flatten();
            fleet
                .record
                .line(&format!("{id} by {}: {status:?}", node.name));
            log.lock().answers.push(status);
        }));
    }
    for task in open {
        let _ended = task.await;
    }
}

/// Sends a request over a new channel; returns the status of its answer.
async fn exchange(address: SocketAddr, id: &str) -> Option<StatusCode> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, driver) = client::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(driver);
    let request = Request::builder()
        .uri(format!("/lookups/{id}"))
        .header("host", HOST)
        .header("authorization", "Bearer key-of-coop")
        .header("x-fescuedrift-attempt-id", id)
        .header("x-fescuedrift-deadline-ms", "4000")
        .body(Full::new(Bytes::new()))
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status();
    response.into_body().collect().await.ok()?;
    driver.abort();
    Some(status)
}

/// Starts an engine with few places, which turns away what it has no place for.
async fn engine(id: String, record: Record, log: Arc<Mutex<Log>>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let taken = Arc::new(AtomicU32::new(0));
    let work = Arc::new(tokio::sync::Mutex::new(()));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (id, record, log) = (id.clone(), record.clone(), Arc::clone(&log));
            let (taken, work) = (Arc::clone(&taken), Arc::clone(&work));
            let service = service_fn(move |request| {
                let (taken, work) = (Arc::clone(&taken), Arc::clone(&work));
                answer(
                    id.clone(),
                    record.clone(),
                    Arc::clone(&log),
                    taken,
                    work,
                    request,
                )
            });
            tokio::spawn(async move {
                let served = server::Builder::new().serve_connection(TokioIo::new(stream), service);
                let _ended = served.await;
            });
        }
    });
    Ok(address)
}

/// A place at an engine, given up when dropped: also when the channel closes.
struct Place(Arc<AtomicU32>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn answer(
    id: String,
    record: Record,
    log: Arc<Mutex<Log>>,
    taken: Arc<AtomicU32>,
    work: Arc<tokio::sync::Mutex<()>>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let field = |name: &str| {
        let value = request.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let attempt = field("x-fescuedrift-attempt-id").unwrap_or_default();
    let expected = field("x-fescuedrift-expected-instance");
    let builder = Response::builder().header("x-fescuedrift-attempt-id", &attempt);
    if expected.is_some_and(|expected| expected != id) {
        let answer = builder
            .status(421)
            .header("x-fescuedrift-not-executed", "1");
        return Ok(answer.body(Full::default()).expect("a valid answer"));
    }
    {
        let mut log = log.lock();
        if !log.seen.insert(attempt.clone()) {
            log.repeats.push(Instant::now());
        }
    }
    if taken.fetch_add(1, Ordering::Relaxed) >= PLACES {
        taken.fetch_sub(1, Ordering::Relaxed);
        record.line(&format!("{attempt} reaches {id}, which is full"));
        let answer = builder
            .status(503)
            .header("x-fescuedrift-not-executed", "1");
        return Ok(answer.body(Full::default()).expect("a valid answer"));
    }
    let _place = Place(taken);
    let _working = work.lock().await;
    record.line(&format!("{attempt} runs at {id}"));
    log.lock().ran += 1;
    sleep(WORK).await;
    let answer = builder.header(
        "x-fescuedrift-response-signature",
        format!("{id}.{attempt}"),
    );
    Ok(answer
        .body(Full::new(Bytes::from_static(b"done")))
        .expect("a valid answer"))
}
