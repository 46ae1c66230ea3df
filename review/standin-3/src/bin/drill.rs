//! The store comes back from an older copy while all machines lose power; a tenant then spends what is left.
//!
//! Exit code: 1 if the tenant got more than its `prepaid_tokens`, 0 if not, 2 if the case couldn't run.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use fescue_site::manifest::{ENGINES, LEDGER, Team, manifest};
use fescue_site::store::Faults;
use review_standin_3::{
    Ask, Engine, Machine, Record, Runs, calm, folder, open_store, run_case, send, start_machines,
    text,
};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

const PREPAID: u64 = 60_000;
const INPUT: u64 = 1_000;
const EVENTS: u64 = 6;

#[tokio::main]
async fn main() -> ExitCode {
    run_case(|record| async move {
        Ok(match run(&record).await? {
            tokens if tokens <= PREPAID => None,
            tokens => Some(format!(
                "the tenant got {tokens} of {PREPAID} prepaid tokens"
            )),
        })
    })
    .await
}

/// Sends requests of the tenant, one each `pace`, for `time`; returns the tokens that it got.
async fn spend(
    machines: &[Machine],
    team: &Team,
    name: &str,
    pace: Duration,
    time: Duration,
    record: &Record,
) -> u64 {
    let (begun, mut number, mut open) = (Instant::now(), 0, JoinSet::new());
    while begun.elapsed() < time {
        let to = machines[number % machines.len()].ports.callers;
        let ask = Ask::stream(
            "/chat/1",
            &team.key,
            &format!("{name}-{number}"),
            INPUT,
            EVENTS,
        );
        let record = record.clone();
        open.spawn(async move {
            let got = send(to, &ask).await;
            let tokens = got.tokens(&ask);
            record.note(&format!(
                "{}: status {}, {tokens} tokens {}",
                ask.id, got.status, got.error
            ));
            tokens
        });
        number += 1;
        sleep(pace).await;
    }
    let mut all = 0;
    while let Some(tokens) = open.join_next().await {
        all += tokens.unwrap_or(0);
    }
    record.note(&format!("{name}: {all} tokens"));
    all
}

async fn run(record: &Record) -> Result<u64, String> {
    let dir = folder("drill")?;
    let team = Team::new("yard", PREPAID);
    let store = open_store(&manifest(1, std::slice::from_ref(&team)))
        .await
        .map_err(text)?;
    let runs: Runs = Arc::default();
    let mut engines = Vec::new();
    for (name, service) in [
        ("model-1", ENGINES),
        ("model-2", ENGINES),
        ("desk-1", LEDGER),
    ] {
        let engine = Engine::spawn(name, "v1", 0, &["pace=10"], &runs, record).map_err(text)?;
        store.store.put(
            "servers",
            name,
            &engine.entry(service, "zone-a", 16, 1_700_000_000_000, 1),
        );
        engines.push(engine);
    }
    let machines = start_machines(&dir, store.address, 3).await?;
    let copy = store.store.copy();
    record.note("the copy is made");
    let mut all = spend(
        &machines,
        &team,
        "before",
        Duration::from_millis(62),
        Duration::from_millis(3600),
        record,
    )
    .await;
    if !calm() {
        store.store.set_faults(Faults {
            silent: true,
            ..Faults::default()
        });
        for machine in &machines {
            machine.power_off();
        }
        record.note("the store is away, and all machines lose power");
        sleep(Duration::from_secs(1)).await;
        let undone = store.store.restore(copy);
        store.store.set_faults(Faults::default());
        record.note("the store is back from the copy");
        for machine in &machines {
            machine.start().map_err(text)?;
        }
        sleep(Duration::from_millis(300)).await;
        store.store.rewrite(undone);
        record.note("the machines start, the operator and the engines have written again");
        for machine in &machines {
            if !machine.await_ready(Duration::from_secs(30)).await {
                return Err(format!("{} isn't ready again", machine.name));
            }
        }
    }
    all += spend(
        &machines,
        &team,
        "after",
        Duration::from_millis(250),
        Duration::from_secs(20),
        record,
    )
    .await;
    drop((machines, engines));
    let _removed = std::fs::remove_dir_all(&dir);
    record.note(&format!("the tenant got {all} of {PREPAID} prepaid tokens"));
    Ok(all)
}
