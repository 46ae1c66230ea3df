//! One of two machines has no path to the store while engines start again in turn under their identifiers, with a
//! newer software version. No stream may hold events of two versions.
//!
//! `ONLY=cut` and `ONLY=release` leave out the other half of the disruption.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fescue_site::caller::{Kind, RequestSpec};
use fescue_site::engine::{RequestLog, Upstream};
use fescue_site::manifest::{ENGINES, Team, manifest, upstream_entry};
use fescue_site::resuming::Stream;
use parking_lot::Mutex;
use review_standin::{BROKEN, Fleet, HELD, NOT_RUN, Record, run_case, trouble};
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

const EVENTS: u64 = 400;
const INTERVAL: Duration = Duration::from_millis(12);
/// The time for which an engine is down when it starts again.
const DOWN: Duration = Duration::from_millis(500);
const CUT: Duration = Duration::from_millis(5500);
/// The streams of two versions that the rule allows.
const ALLOWED: usize = 2;

#[tokio::main]
async fn main() {
    run_case(|record| async move { run(&record).await }).await;
}

fn register(fleet: &Fleet, engine: &Upstream) {
    let mut entry = upstream_entry(ENGINES, engine.address, 32, false);
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    entry["version"] = json!(engine.version);
    entry["born"] = json!(born.as_millis() as u64);
    fleet.store.store.put("servers", &engine.id, &entry);
    fleet
        .record
        .say(&format!("{} {} is registered", engine.id, engine.version));
}

async fn restart(
    fleet: &Fleet,
    engine: &mut Upstream,
    requests: &Arc<Mutex<RequestLog>>,
) -> std::io::Result<()> {
    engine.kill();
    fleet
        .record
        .say(&format!("{} {} ends", engine.id, engine.version));
    sleep(DOWN).await;
    *engine = Upstream::bind(engine.address, &engine.id.clone(), "v2", requests).await?;
    register(fleet, engine);
    Ok(())
}

async fn run(record: &Record) -> std::io::Result<i32> {
    let only = std::env::var("ONLY").unwrap_or_default();
    let (cuts, releases) = (trouble() && only != "release", trouble() && only != "cut");
    let fleet = Fleet::open(record, 2).await?;
    let team = Team::new("coop", 50_000_000);
    let requests: Arc<Mutex<RequestLog>> = Arc::default();
    fleet
        .store
        .store
        .put("op", "config", &manifest(1, std::slice::from_ref(&team)));
    let mut engines = Vec::new();
    for number in 1..=5 {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let engine = Upstream::bind(any, &format!("i-{number}"), "v1", &requests).await?;
        register(&fleet, &engine);
        engines.push(engine);
    }
    fleet.start_all().await?;
    sleep(Duration::from_secs(8)).await;
    if cuts {
        fleet.cut_from_store(0, true);
    }
    let cut = Instant::now();
    sleep(Duration::from_millis(300)).await;
    if releases {
        restart(&fleet, &mut engines[0], &requests).await?;
    }
    let streams = Arc::new(Mutex::new(Vec::new()));
    let traffic = {
        let (fleet, streams, team) = (Arc::clone(&fleet), Arc::clone(&streams), team.clone());
        tokio::spawn(async move { play(&fleet, &streams, &team, Duration::from_secs(8)).await })
    };
    sleep(Duration::from_millis(2500)).await;
    if releases {
        restart(&fleet, &mut engines[1], &requests).await?;
    }
    sleep_until(cut + CUT).await;
    if cuts {
        fleet.cut_from_store(0, false);
    }
    let _ended = traffic.await;
    let streams = streams.lock();
    let joined: Vec<_> = streams
        .iter()
        .filter(|stream: &&Stream| stream.is_joined())
        .collect();
    let complete = streams.iter().filter(|stream| stream.is_complete()).count();
    record.say(&format!(
        "{} streams, {complete} complete, {} hold events of two versions, {ALLOWED} allowed",
        streams.len(),
        joined.len(),
    ));
    if complete < 50 {
        return Ok(NOT_RUN);
    }
    Ok(if joined.len() > ALLOWED { BROKEN } else { HELD })
}

/// Sends streams to both machines in turn, each once.
async fn play(
    fleet: &Arc<Fleet>,
    streams: &Arc<Mutex<Vec<Stream>>>,
    team: &Team,
    length: Duration,
) {
    let (start, mut open) = (Instant::now(), Vec::new());
    for number in 0_u32.. {
        let at = INTERVAL * number;
        if at >= length {
            break;
        }
        sleep_until(start + at).await;
        let (fleet, streams) = (Arc::clone(fleet), Arc::clone(streams));
        let mut spec = RequestSpec::new(Kind::Chat, team, &format!("r{number}"));
        spec.events = EVENTS;
        spec.part = format!("{number:x}");
        spec.deadline = Duration::from_secs(8);
        open.push(tokio::spawn(async move {
            let node = &fleet.nodes[number as usize % 2];
            let mut stream = Stream::new(spec);
            let ending = stream.attempt(node.ports.callers, u64::MAX).await;
            fleet.record.line(&format!(
                "r{number} by {}: {ending:?} after {} events{}",
                node.name,
                stream.events(),
                if stream.is_joined() {
                    ", of two versions"
                } else {
                    ""
                },
            ));
            streams.lock().push(stream);
        }));
    }
    for task in open {
        let _ended = task.await;
    }
}
