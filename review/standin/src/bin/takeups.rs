//! The processes of all machines are killed and started again while the store is away. Streams that requesters take up
//! again later, at machines in touch, must go on.
//!
//! `ONLY=away` and `ONLY=kill` leave out the other half of the disruption.

use std::sync::Arc;
use std::time::Duration;

use fescue_site::caller::{Kind, RequestSpec};
use fescue_site::engine::Upstream;
use fescue_site::manifest::{ENGINES, Team, manifest};
use fescue_site::resuming::{Ending, Stream};
use fescue_site::store::Faults;
use parking_lot::Mutex;
use review_standin::{BROKEN, Fleet, HELD, NOT_RUN, Record, run_case, trouble};
use tokio::time::{Instant, sleep, sleep_until};

const MACHINES: usize = 3;
const EVENTS: u64 = 700;
const INTERVAL: Duration = Duration::from_millis(100);
const AWAY: Duration = Duration::from_millis(4500);
const DOWN: Duration = Duration::from_millis(600);
/// `contact_threshold_ms`: the time after the last disturbance from which on machines are in touch.
const CONTACT: Duration = Duration::from_secs(3);
/// The pauses of a requester between its attempts.
const PAUSES: [Duration; 4] = [
    Duration::from_millis(800),
    Duration::from_millis(1700),
    Duration::from_millis(2200),
    Duration::from_millis(1500),
];
/// The least number of streams that the rule judges.
const MIN_STREAMS: usize = 12;

/// What became of one stream.
struct Fate {
    /// Whether it was taken up at a machine in touch, and whether it went on there.
    taken_up: Option<bool>,
    /// Whether its first attempt was sent to a machine in touch, and brought an event.
    began: Option<bool>,
}

#[tokio::main]
async fn main() {
    run_case(|record| async move { run(&record).await }).await;
}

async fn run(record: &Record) -> std::io::Result<i32> {
    let only = std::env::var("ONLY").unwrap_or_default();
    let (away, kills) = (trouble() && only != "kill", trouble() && only != "away");
    let fleet = Fleet::open(record, MACHINES).await?;
    let team = Team::new("coop", 500_000_000);
    let requests = Arc::default();
    fleet
        .store
        .store
        .put("op", "config", &manifest(1, std::slice::from_ref(&team)));
    let mut engines = Vec::new();
    for number in 1..=4 {
        let engine = Upstream::spawn(&format!("i-{number}"), &requests).await?;
        fleet.register(ENGINES, &engine.id, engine.address, 64);
        engines.push(engine);
    }
    fleet.start_all().await?;
    sleep(Duration::from_secs(8)).await;
    let start = Instant::now();
    let calm: Arc<Mutex<Option<Instant>>> = Arc::new(Mutex::new(None));
    let fates: Arc<Mutex<Vec<Fate>>> = Arc::default();
    let traffic = {
        let (fleet, calm, fates) = (Arc::clone(&fleet), Arc::clone(&calm), Arc::clone(&fates));
        tokio::spawn(async move { play(&fleet, &team, &calm, &fates, start).await })
    };
    sleep_until(start + Duration::from_secs(4)).await;
    let begun = Instant::now();
    if away {
        fleet.store.store.set_faults(Faults {
            busy: true,
            ..Faults::default()
        });
        record.say("the store is away");
    }
    sleep_until(begun + AWAY - Duration::from_millis(100)).await;
    if kills {
        (0..MACHINES).for_each(|index| fleet.kill(index));
        record.say("the processes of all machines are killed");
    }
    sleep_until(begun + AWAY).await;
    if away {
        fleet.store.store.set_faults(Faults::default());
        record.say("the store is back");
    }
    sleep(DOWN).await;
    if kills {
        for index in 0..MACHINES {
            fleet.start(index)?;
        }
    }
    *calm.lock() = Some(Instant::now() + CONTACT);
    let _ended = traffic.await;
    let fates = fates.lock();
    let share = |fates: Vec<bool>| {
        let good = fates.iter().filter(|good| **good).count();
        (good, fates.len(), good as f64 / fates.len().max(1) as f64)
    };
    let (went_on, taken_up, share_on) =
        share(fates.iter().filter_map(|fate| fate.taken_up).collect());
    let (began, new, share_new) = share(fates.iter().filter_map(|fate| fate.began).collect());
    record.say(&format!(
        "{} streams; at machines in touch {went_on} of {taken_up} that were taken up went on, {began} of {new} new ones began",
        fates.len()
    ));
    if new < MIN_STREAMS {
        return Ok(NOT_RUN);
    }
    let broken = taken_up >= MIN_STREAMS && share_on < share_new / 2.0;
    Ok(if broken { BROKEN } else { HELD })
}

async fn play(
    fleet: &Arc<Fleet>,
    team: &Team,
    calm: &Arc<Mutex<Option<Instant>>>,
    fates: &Arc<Mutex<Vec<Fate>>>,
    start: Instant,
) {
    let mut open = Vec::new();
    for number in 0_u32.. {
        let at = INTERVAL * number;
        if at >= Duration::from_secs(20) {
            break;
        }
        sleep_until(start + at).await;
        let (fleet, calm, fates) = (Arc::clone(fleet), Arc::clone(calm), Arc::clone(fates));
        let mut spec = RequestSpec::new(Kind::Chat, team, &format!("r{number}"));
        (spec.events, spec.input, spec.part) = (EVENTS, 20, format!("{number:x}"));
        spec.deadline = Duration::from_secs(10);
        open.push(tokio::spawn(async move {
            let fate = request(&fleet, spec, &calm).await;
            fates.lock().push(fate);
        }));
    }
    for task in open {
        let _ended = task.await;
    }
}

/// Sends a stream, and takes it up again a few times after a broken channel or a refusal.
async fn request(fleet: &Fleet, spec: RequestSpec, calm: &Mutex<Option<Instant>>) -> Fate {
    let in_touch = || calm.lock().is_some_and(|calm| Instant::now() >= calm);
    let mut fate = Fate {
        taken_up: None,
        began: None,
    };
    let (id, mut stream, begun) = (spec.id.clone(), Stream::new(spec), Instant::now());
    let mut pauses = PAUSES.into_iter();
    loop {
        let (before, touched) = (stream.events(), in_touch());
        let rotation = fleet.rotation();
        let node = &fleet.nodes[rotation[rand::random_range(0..rotation.len())]];
        let ending = stream.attempt(node.ports.callers, u64::MAX).await;
        let events = stream.events() - before;
        fleet.record.line(&format!(
            "{id} by {}, after {before} events{}: {events} events, {ending:?}",
            node.name,
            if touched { ", in touch" } else { "" },
        ));
        if touched && before > 0 {
            fate.taken_up = Some(fate.taken_up.unwrap_or(false) || events > 0);
        }
        if touched && before == 0 && fate.began.is_none() {
            fate.began = Some(events > 0);
        }
        if matches!(ending, Ending::Complete | Ending::Left) {
            return fate;
        }
        let Some(pause) = pauses
            .next()
            .filter(|pause| begun.elapsed() + *pause < Duration::from_millis(9500))
        else {
            return fate;
        };
        sleep(pause).await;
    }
}
