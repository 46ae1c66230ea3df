//! The store comes back from a copy some seconds old, while the processes of all machines are killed and started
//! again. The tenant must not get more than its prepaid tokens.
//!
//! `ONLY=return` and `ONLY=kill` leave out the other half of the disruption.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fescue_site::caller::{Caller, Kind, Outcome, RequestSpec};
use fescue_site::engine::Upstream;
use fescue_site::manifest::{ENGINES, EVENT_TOKENS, Team, manifest};
use fescue_site::store::Faults;
use review_standin::{BROKEN, Fleet, HELD, NOT_RUN, Record, run_case, trouble};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

const BEFORE: u64 = 20_000;
const PREPAID: u64 = 90_000;
const INPUT: u64 = 100;
const EVENTS: u64 = 6;
const MACHINES: usize = 3;
/// The tenant's requests a second. It begins to send after the copy.
const RATE: f64 = 120.0;
const SENDS_FOR: Duration = Duration::from_secs(6);
const AWAY: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Tally {
    sent: AtomicU64,
    served: AtomicU64,
    exhausted: AtomicU64,
    refused: AtomicU64,
    broken: AtomicU64,
    /// Input of requests with a successful answer, and events that arrived.
    tokens: AtomicU64,
}

#[tokio::main]
async fn main() {
    run_case(|record| async move { run(&record).await }).await;
}

async fn run(record: &Record) -> std::io::Result<i32> {
    let only = std::env::var("ONLY").unwrap_or_default();
    let (returns, kills) = (trouble() && only != "kill", trouble() && only != "return");
    let fleet = Fleet::open(record, MACHINES).await?;
    let team = Team::new("coop", PREPAID);
    let requests = Arc::default();
    fleet
        .store
        .store
        .put("op", "config", &manifest(1, &[Team::new("coop", BEFORE)]));
    let mut engines = Vec::new();
    for number in 1..=4 {
        let engine = Upstream::spawn(&format!("i-{number}"), &requests).await?;
        fleet.register(ENGINES, &engine.id, engine.address, 32);
        engines.push(engine);
    }
    fleet.start_all().await?;
    sleep(Duration::from_secs(8)).await;
    let tally = Arc::new(Tally::default());
    let copy = fleet.store.store.copy();
    let copied = Instant::now();
    record.say(&format!(
        "a copy of the store is made; {} tokens used",
        get(&tally.tokens)
    ));
    sleep(Duration::from_millis(300)).await;
    fleet
        .store
        .store
        .put("op", "config", &manifest(2, std::slice::from_ref(&team)));
    record.say(&format!(
        "the tenant's prepaid tokens rise from {BEFORE} to {PREPAID}"
    ));
    sleep(Duration::from_millis(300)).await;
    play(&fleet, &tally, &team, RATE, SENDS_FOR).await;
    record.say(&format!(
        "{} tokens used, {} answered 402",
        get(&tally.tokens),
        get(&tally.exhausted)
    ));
    if returns {
        fleet.store.store.set_faults(Faults {
            busy: true,
            ..Faults::default()
        });
        record.say("the store is away");
    }
    if kills {
        (0..MACHINES).for_each(|index| fleet.kill(index));
        record.say("the processes of all machines are killed");
    }
    sleep(AWAY).await;
    if returns {
        let undone = fleet.store.store.restore(copy);
        fleet.store.store.rewrite(undone);
        fleet.store.store.set_faults(Faults::default());
        record.say(&format!(
            "the store is back from a copy {:.1} s old",
            copied.elapsed().as_secs_f64()
        ));
    }
    if kills {
        for index in 0..MACHINES {
            fleet.start(index)?;
        }
        fleet.await_ready(MACHINES, Duration::from_secs(20)).await?;
        record.say("all machines are ready again");
    }
    play(&fleet, &tally, &team, RATE, Duration::from_secs(15)).await;
    let used = get(&tally.tokens);
    record.say(&format!(
        "{} sent, {} served, {} answered 402, {} refused, {} broken; the tenant got {used} tokens of {PREPAID} prepaid",
        get(&tally.sent), get(&tally.served), get(&tally.exhausted), get(&tally.refused), get(&tally.broken),
    ));
    if get(&tally.served) < 100 {
        return Ok(NOT_RUN);
    }
    Ok(if used > PREPAID { BROKEN } else { HELD })
}

fn get(count: &AtomicU64) -> u64 {
    count.load(Ordering::Relaxed)
}

/// Sends requests at a rate for some time, and waits for their ends.
async fn play(fleet: &Arc<Fleet>, tally: &Arc<Tally>, team: &Team, rate: f64, length: Duration) {
    let (start, mut open) = (Instant::now(), Vec::<JoinHandle<()>>::new());
    for number in 0_u32.. {
        let at = Duration::from_secs_f64(f64::from(number) / rate);
        if at >= length {
            break;
        }
        sleep_until(start + at).await;
        let (fleet, tally, team) = (Arc::clone(fleet), Arc::clone(tally), team.clone());
        open.push(tokio::spawn(
            async move { request(&fleet, &tally, &team).await },
        ));
    }
    for task in open {
        let _ended = task.await;
    }
}

async fn request(fleet: &Fleet, tally: &Tally, team: &Team) {
    let number = tally.sent.fetch_add(1, Ordering::Relaxed);
    let rotation = fleet.rotation();
    let node = &fleet.nodes[rotation[rand::random_range(0..rotation.len())]];
    let mut spec = RequestSpec::new(Kind::Chat, team, &format!("r{number}"));
    (spec.input, spec.events) = (INPUT, EVENTS);
    let mut caller = Caller::default();
    let outcome = caller.send(node.ports.callers, &spec).await;
    tally
        .tokens
        .fetch_add(caller.take_delivered(), Ordering::Relaxed);
    let count = match &outcome {
        Outcome::Served { .. } => &tally.served,
        Outcome::Refused { status, .. } if status.as_u16() == 402 => &tally.exhausted,
        Outcome::Refused { .. } => &tally.refused,
        Outcome::Broken(_) | Outcome::Wrong(_) => &tally.broken,
    };
    count.fetch_add(1, Ordering::Relaxed);
    let used = get(&tally.tokens);
    let most = INPUT + EVENTS * EVENT_TOKENS;
    fleet.record.line(&format!(
        "{} by {}: {outcome:?}; it takes {most}, {used} used in all",
        spec.id, node.name
    ));
}
