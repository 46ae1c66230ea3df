//! One machine of three is lost for good while a tenant's tokens last. The others must serve the tenant as
//! long as its prepaid tokens cover its requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use fescue_site::caller::{Kind, Outcome, RequestSpec, send};
use fescue_site::engine::Upstream;
use fescue_site::manifest::{ENGINES, EVENT_TOKENS, Team, manifest};
use review_standin::{BROKEN, Fleet, HELD, NOT_RUN, Record, run_case, trouble};
use tokio::time::{Instant, sleep, sleep_until};

const PREPAID: u64 = 60_000;
const INPUT: u64 = 100;
const EVENTS: u64 = 6;
const INTERVAL: Duration = Duration::from_millis(50);
/// Tokens that are used before the machine is lost.
const USED_BEFORE: u64 = PREPAID / 4;
const LENGTH: Duration = Duration::from_secs(40);

#[derive(Default)]
struct Tally {
    /// At most consumed by requests that were not refused as not run, at their most.
    taken: AtomicU64,
    sent: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    broken: AtomicU64,
    exhausted: AtomicU64,
    /// Answered 402 though it fits into 97 in 100 of the prepaid tokens.
    denied: AtomicU64,
}

#[tokio::main]
async fn main() {
    run_case(|record| async move { run(&record).await }).await;
}

async fn run(record: &Record) -> std::io::Result<i32> {
    let fleet = Fleet::open(record, 3).await?;
    let team = Team::new("coop", PREPAID);
    let requests = Arc::default();
    fleet
        .store
        .store
        .put("op", "config", &manifest(1, std::slice::from_ref(&team)));
    let mut engines = Vec::new();
    for number in 1..=3 {
        let engine = Upstream::spawn(&format!("i-{number}"), &requests).await?;
        fleet.register(ENGINES, &engine.id, engine.address, 16);
        engines.push(engine);
    }
    fleet.start_all().await?;
    // Traffic begins some seconds after the machines.
    sleep(Duration::from_secs(8)).await;
    let tally = Arc::new(Tally::default());
    let lost = Arc::new(AtomicBool::new(!trouble()));
    let (start, mut open) = (Instant::now(), Vec::new());
    let mut number = 0;
    let mut dead = None;
    while start.elapsed() < LENGTH {
        sleep_until(start + INTERVAL * number).await;
        number += 1;
        if !lost.load(Ordering::Relaxed) && tally.taken.load(Ordering::Relaxed) >= USED_BEFORE {
            lost.store(true, Ordering::Relaxed);
            let index = (0..3)
                .max_by_key(|index| fleet.granted(*index, "coop"))
                .unwrap_or(0);
            for index in 0..3 {
                record.say(&format!(
                    "{} is granted {}",
                    fleet.nodes[index].name,
                    fleet.granted(index, "coop")
                ));
            }
            record.say(&format!("{} is lost for good", fleet.nodes[index].name));
            fleet.kill(index);
            dead = Some(index);
        }
        let (fleet, tally, team) = (Arc::clone(&fleet), Arc::clone(&tally), team.clone());
        open.push(tokio::spawn(async move {
            request(&fleet, &tally, &team, number).await
        }));
    }
    for task in open {
        let _ended = task.await;
    }
    for index in (0..3).filter(|index| Some(*index) != dead) {
        for line in fleet.log_lines(index, "402", 1) {
            record.line(&line);
        }
    }
    let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let (sent, denied) = (get(&tally.sent), get(&tally.denied));
    let bound = 5 + sent / 500;
    record.say(&format!(
        "{sent} sent, {} served, {} refused with 429 or 503, {} broken, {} answered 402; tokens taken at most \
         {} of {PREPAID}; {denied} answered 402 although they fit, {bound} allowed",
        get(&tally.served), get(&tally.refused), get(&tally.broken), get(&tally.exhausted), get(&tally.taken),
    ));
    if get(&tally.served) < 50 {
        return Ok(NOT_RUN);
    }
    Ok(if denied > bound { BROKEN } else { HELD })
}

async fn request(fleet: &Fleet, tally: &Tally, team: &Team, number: u32) {
    let most = INPUT + EVENTS * EVENT_TOKENS;
    let rotation = fleet.rotation();
    let node = rotation[rand::random_range(0..rotation.len())];
    let mut spec = RequestSpec::new(Kind::Chat, team, &format!("r{number}"));
    (spec.input, spec.events) = (INPUT, EVENTS);
    tally.sent.fetch_add(1, Ordering::Relaxed);
    // All requests sent before, open or ended, count at their most.
    let before = tally.taken.fetch_add(most, Ordering::Relaxed);
    let fits = before + most <= PREPAID * 97 / 100;
    let outcome = send(fleet.nodes[node].ports.callers, &spec).await;
    let name = &fleet.nodes[node].name;
    match &outcome {
        Outcome::Served { .. } => drop(tally.served.fetch_add(1, Ordering::Relaxed)),
        Outcome::Refused { status, .. } => {
            tally.taken.fetch_sub(most, Ordering::Relaxed);
            match status.as_u16() {
                402 => {
                    tally.exhausted.fetch_add(1, Ordering::Relaxed);
                    if fits {
                        tally.denied.fetch_add(1, Ordering::Relaxed);
                    }
                }
                _ => drop(tally.refused.fetch_add(1, Ordering::Relaxed)),
            }
        }
        Outcome::Broken(_) | Outcome::Wrong(_) => {
            drop(tally.broken.fetch_add(1, Ordering::Relaxed))
        }
    }
    fleet.record.line(&format!(
        "{} by {name}: {outcome:?}; {before} tokens taken at most before, it takes {most}{}",
        spec.id,
        if fits { ", it fits" } else { "" },
    ));
}
