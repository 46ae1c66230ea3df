//! Streams that begin while the store is away, at engines of two software versions; then all machines are killed.
//!
//! With TROUBLE=0 the store stays, no machine is killed, and the requesters leave their streams by themselves at the same time.
//!
//! Exit code: 1 if of 12 or more streams that are taken up again at machines in touch the share that goes on is under half
//! of the share of new streams that begin, 0 if not, 2 if the case couldn't run.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use fescue_site::manifest::{ENGINES, LEDGER, Team, manifest};
use fescue_site::store::Faults;
use review_standin_3::{
    Ask, Engine, Machine, Record, Runs, calm, folder, open_store, run_case, send, send_for,
    start_machines, text,
};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

const EVENTS: u64 = 900;

/// `contact_threshold_ms` of the sheet, and a margin for the start of the processes.
const TOUCH: Duration = Duration::from_millis(3_300);

/// How long the store is away, and when the machines are killed meanwhile.
const AWAY: Duration = Duration::from_millis(4_500);
const LEAVE: Duration = Duration::from_millis(4_200);

#[tokio::main]
async fn main() -> ExitCode {
    run_case(|record| async move { run(&record).await }).await
}

fn ask(team: &Team, id: &str) -> Ask {
    let mut ask = Ask::stream("/chat/1", &team.key, id, 100, EVENTS);
    ask.deadline = Duration::from_secs(14);
    ask
}

async fn run(record: &Record) -> Result<Option<String>, String> {
    let dir = folder("away")?;
    let team = Team::new("yard", 100_000_000);
    let mut config = manifest(1, std::slice::from_ref(&team));
    config["routes"][0]["timeout_ms"] = 15_000.into();
    let store = open_store(&config).await.map_err(text)?;
    let runs: Runs = Arc::default();
    let quiet = Record::open(&dir.join("engines.txt")).map_err(text)?;
    let mut engines = Vec::new();
    let kinds = [
        ("model-1", "v1", ENGINES),
        ("model-2", "v1", ENGINES),
        ("model-3", "v2", ENGINES),
        ("model-4", "v2", ENGINES),
        ("desk-1", "v1", LEDGER),
    ];
    for (name, version, service) in kinds {
        let engine = Engine::spawn(name, version, 0, &["pace=15"], &runs, &quiet).map_err(text)?;
        let entry = engine.entry(service, "zone-a", 32, 1_700_000_000_000, 1);
        store.store.put("servers", name, &entry);
        engines.push(engine);
    }
    let machines = start_machines(&dir, store.address, 3).await?;
    // Usual traffic, also before the disruption.
    let usual = tokio::spawn(usual(
        machines.iter().map(|m| m.ports.callers).collect(),
        team.clone(),
    ));
    sleep(Duration::from_secs(4)).await;
    if !calm() {
        store.store.set_faults(Faults {
            silent: true,
            ..Faults::default()
        });
        record.note("the store is away");
    }
    let away = Instant::now();
    sleep_until(away + Duration::from_millis(2_700)).await;
    let mut open = JoinSet::new();
    for number in 0..36 {
        let to = machines[number % 3].ports.callers;
        let ask = ask(&team, &format!("chat-{number}"));
        let left = (away + LEAVE).saturating_duration_since(Instant::now());
        let limit = if calm() { left } else { ask.deadline };
        open.spawn(async move { (send_for(to, &ask, limit).await, ask) });
        sleep(Duration::from_millis(20)).await;
    }
    sleep_until(away + LEAVE).await;
    usual.abort();
    if !calm() {
        for machine in &machines {
            machine.power_off();
        }
        record.note("all machines are killed");
    }
    let mut broken = Vec::new();
    while let Some(ended) = open.join_next().await {
        let (got, ask) = ended.map_err(|error| error.to_string())?;
        let events = got.events().len() as u64;
        if got.status == 200 && events > 0 {
            broken.push((ask.id.clone(), events));
        }
        record.note(&format!(
            "{}: status {}, {events} events before the kill",
            ask.id, got.status
        ));
    }
    if !calm() {
        for machine in &machines {
            machine.start().map_err(text)?;
        }
    }
    sleep_until(away + AWAY).await;
    if !calm() {
        store.store.set_faults(Faults::default());
        record.note("the machines have started, and the store answers");
    }
    for machine in &machines {
        if !machine.await_ready(Duration::from_secs(10)).await {
            return Err(format!("{} isn't ready again", machine.name));
        }
    }
    sleep_until(away + AWAY + TOUCH).await;
    let (taken, fresh) = tokio::join!(
        take_up(&machines, &team, &broken, record),
        begin(&machines, &team, record)
    );
    record.note(&format!(
        "{} of {} streams that were taken up go on; {} of {} new ones begin",
        taken.0, taken.1, fresh.0, fresh.1
    ));
    drop((machines, engines));
    let _removed = std::fs::remove_dir_all(&dir);
    if taken.1 < 12 || fresh.1 < 12 {
        return Err("too few streams".to_owned());
    }
    let share = |(some, all): (usize, usize)| some as f64 / all as f64;
    let lost = share(taken) < share(fresh) / 2.0;
    Ok(lost.then(|| {
        format!(
            "{} of {} streams that were taken up go on, {} of {} new ones begin",
            taken.0, taken.1, fresh.0, fresh.1
        )
    }))
}

/// Sends short streams, ten a second.
async fn usual(to: Vec<std::net::SocketAddr>, team: Team) {
    let mut number = 0;
    loop {
        let ask = Ask::stream("/chat/1", &team.key, &format!("usual-{number}"), 100, 30);
        let to = to[number % to.len()];
        tokio::spawn(async move { send(to, &ask).await });
        number += 1;
        sleep(Duration::from_millis(100)).await;
    }
}

/// Takes the streams up again, each at another machine than before; returns how many go on, of how many.
async fn take_up(
    machines: &[Machine],
    team: &Team,
    broken: &[(String, u64)],
    record: &Record,
) -> (usize, usize) {
    let mut open = JoinSet::new();
    for (place, (id, events)) in broken.iter().enumerate() {
        let to = machines[(place + 1) % machines.len()].ports.callers;
        let mut ask = ask(team, &format!("{id}-again"));
        ask.deadline = Duration::from_secs(5);
        ask.resumes = Some((*events, id.clone()));
        let (record, last) = (record.clone(), *events);
        open.spawn(async move {
            let got = send(to, &ask).await;
            let on = got.status == 200
                && got
                    .events()
                    .first()
                    .is_some_and(|(first, _)| *first == last + 1);
            record.note(&format!(
                "{}: status {}, {} events after {last}, goes on {on}",
                ask.id,
                got.status,
                got.events().len()
            ));
            on
        });
        sleep(Duration::from_millis(20)).await;
    }
    let mut on = 0;
    while let Some(goes_on) = open.join_next().await {
        on += usize::from(goes_on.unwrap_or(false));
    }
    (on, broken.len())
}

/// Begins new streams meanwhile; returns how many begin, of how many.
async fn begin(machines: &[Machine], team: &Team, record: &Record) -> (usize, usize) {
    let mut open = JoinSet::new();
    for number in 0..24 {
        let to = machines[number % machines.len()].ports.callers;
        let ask = Ask::stream("/chat/1", &team.key, &format!("new-{number}"), 100, 30);
        let record = record.clone();
        open.spawn(async move {
            let got = send(to, &ask).await;
            record.note(&format!(
                "{}: status {}, {} events",
                ask.id,
                got.status,
                got.events().len()
            ));
            got.status == 200
        });
        sleep(Duration::from_millis(30)).await;
    }
    let mut begun = 0;
    while let Some(begins) = open.join_next().await {
        begun += usize::from(begins.unwrap_or(false));
    }
    (begun, 24)
}
