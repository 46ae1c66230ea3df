//! All engines of a service are replaced by engines of another software version, and one machine of three is killed while the
//! former ones drain.
//!
//! With TROUBLE=0 no engine is replaced and no machine killed; the requesters leave their streams by themselves at the same time.
//!
//! `ONLY=kill` and `ONLY=release` leave the other one out.
//!
//! Exit code: 1 if of 12 or more streams that are taken up again at machines in touch the share that goes on is under half
//! of the share of new streams that begin, 0 if not, 2 if the case couldn't run.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use fescue_site::manifest::{ENGINES, LEDGER, Team, manifest};
use review_standin_3::{
    Ask, Engine, Record, Runs, calm, folder, open_store, run_case, send, send_for, start_machines,
    text,
};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

const EVENTS: u64 = 600;

/// When the new engines are there, the former ones report that they drain, and the machine is killed; `drain_timeout_ms` is 2,000.
const NEW: Duration = Duration::from_millis(1_000);
const DRAIN: [Duration; 2] = [Duration::from_millis(1_400), Duration::from_millis(2_000)];
const KILL: Duration = Duration::from_millis(2_400);

#[tokio::main]
async fn main() -> ExitCode {
    run_case(|record| async move { run(&record).await }).await
}

async fn run(record: &Record) -> Result<Option<String>, String> {
    let only = std::env::var("ONLY").unwrap_or_default();
    let (replace, kill) = (!calm() && only != "kill", !calm() && only != "release");
    let dir = folder("release")?;
    let team = Team::new("yard", 100_000_000);
    let store = open_store(&manifest(1, std::slice::from_ref(&team)))
        .await
        .map_err(text)?;
    let runs: Runs = Arc::default();
    let quiet = Record::open(&dir.join("engines.txt")).map_err(text)?;
    let put = |engine: &Engine, state: &str, sequence: u64| {
        let mut entry = engine.entry(ENGINES, "zone-a", 64, 1_700_000_000_000, sequence);
        entry["state"] = state.into();
        store.store.put("servers", &engine.id, &entry);
    };
    let spawn = |name: &str, version: &str| {
        Engine::spawn(name, version, 0, &["pace=15"], &runs, &quiet).map_err(text)
    };
    let former = [spawn("model-1", "v1")?, spawn("model-2", "v1")?];
    former.iter().for_each(|engine| put(engine, "available", 1));
    let desk = spawn("desk-1", "v1")?;
    store.store.put(
        "servers",
        &desk.id,
        &desk.entry(LEDGER, "zone-a", 16, 1_700_000_000_000, 1),
    );
    let machines = start_machines(&dir, store.address, 3).await?;
    let begun = Instant::now();
    let mut open = JoinSet::new();
    for number in 0..54 {
        let to = machines[number % 3].ports.callers;
        let ask = Ask::stream("/chat/1", &team.key, &format!("chat-{number}"), 100, EVENTS);
        let lost = number % 3 == 0;
        let left = (begun + KILL).saturating_duration_since(Instant::now());
        let limit = if !kill && lost { left } else { ask.deadline };
        let task = async move { (send_for(to, &ask, limit).await, ask) };
        match lost {
            true => drop(open.spawn(task)),
            false => drop(tokio::spawn(task)),
        }
        sleep(Duration::from_millis(10)).await;
    }
    sleep_until(begun + NEW).await;
    let mut next = Vec::new();
    if replace {
        next = vec![spawn("model-3", "v2")?, spawn("model-4", "v2")?];
        next.iter().for_each(|engine| put(engine, "available", 1));
        record.note("two engines of v2 are available");
        for (engine, at) in former.iter().zip(DRAIN) {
            sleep_until(begun + at).await;
            put(engine, "draining", 2);
            record.note(&format!(
                "{} (v1) reports that it drains; it goes on serving",
                engine.id
            ));
        }
    }
    sleep_until(begun + KILL).await;
    if kill {
        machines[0].power_off();
        record.note(&format!("{} is killed", machines[0].name));
    }
    let mut again = JoinSet::new();
    let mut all = 0;
    while let Some(ended) = open.join_next().await {
        let (got, ask) = ended.map_err(|error| error.to_string())?;
        let Some((last, version)) = got.events().into_iter().last() else {
            continue;
        };
        let to = machines[1 + all % 2].ports.callers;
        all += 1;
        let mut next = Ask {
            id: format!("{}-again", ask.id),
            deadline: Duration::from_secs(5),
            ..ask.clone()
        };
        next.resumes = Some((last, ask.id));
        let record = record.clone();
        again.spawn(async move {
            record.note(&format!(
                "{} is sent, after {last} events of {version}",
                next.id
            ));
            let got = send(to, &next).await;
            let on = got.status == 200
                && got
                    .events()
                    .first()
                    .is_some_and(|(first, _)| *first == last + 1);
            record.note(&format!(
                "{}: status {}, {} events, goes on {on} {}",
                next.id,
                got.status,
                got.events().len(),
                if on { "" } else { &got.text }
            ));
            on
        });
    }
    let mut fresh = JoinSet::new();
    for number in 0..24 {
        let to = machines[1 + number % 2].ports.callers;
        let ask = Ask::stream("/chat/1", &team.key, &format!("new-{number}"), 100, 30);
        let record = record.clone();
        fresh.spawn(async move {
            let got = send(to, &ask).await;
            record.note(&format!(
                "{}: status {}, {} events",
                ask.id,
                got.status,
                got.events().len()
            ));
            got.status == 200
        });
        sleep(Duration::from_millis(10)).await;
    }
    let mut on = 0;
    while let Some(goes_on) = again.join_next().await {
        on += usize::from(goes_on.unwrap_or(false));
    }
    let mut begin = 0;
    while let Some(begins) = fresh.join_next().await {
        begin += usize::from(begins.unwrap_or(false));
    }
    let served = former.iter().all(|engine| !engine.process.has_ended());
    let note = format!(
        "{on} of {all} streams that were taken up go on, {begin} of 24 new ones begin; both engines of v1 served meanwhile: {served}"
    );
    record.note(&note);
    drop((machines, former, next, desk));
    let _removed = std::fs::remove_dir_all(&dir);
    if all < 12 || !served {
        return Err("too few streams, or an engine ended".to_owned());
    }
    let lost = on as f64 / (all as f64) < begin as f64 / 24.0 / 2.0;
    Ok(lost.then_some(note))
}
