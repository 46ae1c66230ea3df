//! Streams that begin all the time, and whose callers take them up again after a kill of all routers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_site::caller::{Kind, RequestSpec};
use fescue_site::engine::Upstream;
use fescue_site::manifest::{ENGINES, manifest, upstream_entry};
use fescue_site::process::Ports;
use fescue_site::resuming::{Ending, Stream};
use parking_lot::Mutex;
use review_standin_2::{Record, Site, Verdict, kill, run_case, trouble};
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

const ROUTERS: usize = 48;
/// 115 streams a second begin, as `buyer-reply` of the sheet.
const INTERVAL: Duration = Duration::from_micros(8_700);
const STREAMS: usize = 200;
/// Events of a stream, about 3 s of them.
const EVENTS: u64 = 360;
const DEADLINE: Duration = Duration::from_secs(10);
/// `contact_threshold_ms` of the sheet.
const CONTACT: Duration = Duration::from_secs(4);
/// The new streams that are begun when all routers are in touch again.
const NEW_STREAMS: usize = 24;
/// When a caller leaves a router, without the kill.
const LEAVE_AFTER: u64 = 60;
/// A caller tries three times more, with this pause before each.
const TRIES: usize = 4;
const PAUSE: Duration = Duration::from_millis(1700);

#[derive(Clone, Copy)]
struct Tried {
    at: Instant,
    stream: usize,
    again: bool,
    went_on: bool,
}

/// Sends a stream's tries until it is complete or its deadline has passed.
async fn play(
    record: Record,
    ports: Vec<SocketAddr>,
    spec: RequestSpec,
    number: usize,
    log: Arc<Mutex<Vec<Tried>>>,
) {
    let id = spec.id.clone();
    let mut stream = Stream::new(spec);
    let start = Instant::now();
    for attempt in 0..TRIES {
        let most = if attempt == 0 && !trouble() {
            LEAVE_AFTER
        } else {
            u64::MAX
        };
        let (at, before) = (Instant::now(), stream.events());
        let ending = stream
            .attempt(ports[(number + attempt) % ports.len()], most)
            .await;
        let events = stream.events() - before;
        record.line(format!(
            "{id} try {attempt}: {before} events before, {events} new: {ending:?}"
        ));
        log.lock().push(Tried {
            at,
            stream: number,
            again: before > 0,
            went_on: events > 0,
        });
        if ending == Ending::Complete || start.elapsed() + PAUSE >= DEADLINE {
            break;
        }
        sleep(PAUSE).await;
    }
    for fault in stream.faults() {
        record.line(format!("{id}: {fault}"));
    }
}

async fn case(record: Record) -> std::io::Result<Verdict> {
    let site = Site::open(500_000_000).await?;
    let mut config = manifest(2, std::slice::from_ref(&site.team));
    for route in config["routes"].as_array_mut().expect("routes") {
        if route["kind"] == "streaming" {
            route["timeout_ms"] = json!(10_000);
        }
    }
    site.store.store.put("op", "config", &config);
    let mut engines = Vec::new();
    for version in ["v1", "v2"] {
        for index in 0..3 {
            let id = format!("{version}-{index}");
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let engine = Upstream::bind(any, &id, version, &site.requests).await?;
            let mut entry = upstream_entry(ENGINES, engine.address, 32, false);
            entry["version"] = json!(version);
            entry["born"] = json!(1_700_000_000_000_u64);
            site.register(&id, &entry);
            engines.push(engine);
        }
    }
    let mut ports = Vec::new();
    let mut gateways = Vec::new();
    for index in 0..ROUTERS {
        ports.push(Ports::allocate()?);
        gateways.push(site.spawn(&format!("vm-{index}"), ports[index])?);
    }
    for gateway in &gateways {
        if !gateway.await_ready(Duration::from_secs(20)).await {
            return Ok(Verdict::NotRun);
        }
    }
    sleep(Duration::from_secs(8)).await;
    let callers: Vec<_> = ports.iter().map(|ports| ports.callers).collect();
    let log: Arc<Mutex<Vec<Tried>>> = Arc::default();
    let mut open = JoinSet::new();
    let begin = |open: &mut JoinSet<()>, name: &str, number: usize, events: u64| {
        let mut spec = RequestSpec::new(Kind::Chat, &site.team, &format!("{name}-{number}"));
        (spec.events, spec.deadline) = (events, DEADLINE);
        open.spawn(play(
            record.clone(),
            callers.clone(),
            spec,
            number,
            Arc::clone(&log),
        ));
    };
    let start = Instant::now();
    for number in 0..STREAMS {
        sleep_until(start + INTERVAL * number as u32).await;
        begin(&mut open, "stream", number, EVENTS);
    }
    if trouble() {
        record.line("all routers are killed");
        kill(gateways.drain(..)).await;
        sleep(Duration::from_millis(300)).await;
        for (index, ports) in ports.iter().enumerate() {
            gateways.push(site.spawn(&format!("vm-{index}"), *ports)?);
        }
        record.line("all routers started again");
        for gateway in &gateways {
            if !gateway.await_ready(Duration::from_secs(20)).await {
                return Ok(Verdict::NotRun);
            }
        }
        record.line("all routers are ready");
    }
    // From here on all routers are in touch: their start is long enough ago.
    let judged = Instant::now() + CONTACT;
    sleep_until(judged).await;
    for number in 0..NEW_STREAMS {
        begin(&mut open, "new", STREAMS + number, 20);
    }
    open.join_all().await;
    let log = log.lock();
    // Of each stream, whether a try went on; without the kill, callers take their streams up at any time.
    let share = |again: bool| {
        let mut streams: HashMap<usize, bool> = HashMap::new();
        for tried in log.iter().filter(|tried| tried.again == again) {
            if tried.at >= judged || !trouble() {
                *streams.entry(tried.stream).or_default() |= tried.went_on;
            }
        }
        (
            streams.values().filter(|went_on| **went_on).count(),
            streams.len(),
        )
    };
    let (again, new) = (share(true), share(false));
    record.line(format!(
        "at routers in touch: {} of {} streams that were taken up again went on, {} of {} new ones began",
        again.0, again.1, new.0, new.1
    ));
    if again.1 < 12 || new.1 == 0 {
        return Ok(Verdict::NotRun);
    }
    let (again, new) = (again.0 as f64 / again.1 as f64, new.0 as f64 / new.1 as f64);
    Ok(if again < new / 2.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn main() {
    run_case(case);
}
