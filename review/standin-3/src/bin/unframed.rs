//! Engines whose answers end with their channels; a quarter of them is killed while they answer.
//!
//! Exit code: 1 if a caller got an answer that ended early and looked complete, 0 if not, 2 if the case couldn't run.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use fescue_site::manifest::{ENGINES, LEDGER, Team, manifest};
use review_standin_3::{
    Ask, Engine, Got, Record, Runs, calm, folder, open_store, run_case, send, start_machines, text,
};
use tokio::task::JoinSet;
use tokio::time::sleep;

const EVENTS: u64 = 60;

#[tokio::main]
async fn main() -> ExitCode {
    run_case(|record| async move {
        Ok(match run(&record).await? {
            0 => None,
            broken => Some(format!("{broken} answers ended early and looked complete")),
        })
    })
    .await
}

async fn run(record: &Record) -> Result<u64, String> {
    let dir = folder("unframed")?;
    let team = Team::new("yard", 10_000_000);
    let store = open_store(&manifest(1, std::slice::from_ref(&team)))
        .await
        .map_err(text)?;
    let runs: Runs = Arc::default();
    let mut engines = Vec::new();
    for (name, service) in [
        ("model-1", ENGINES),
        ("model-2", ENGINES),
        ("model-3", ENGINES),
        ("model-4", ENGINES),
        ("desk-1", LEDGER),
        ("desk-2", LEDGER),
        ("desk-3", LEDGER),
        ("desk-4", LEDGER),
    ] {
        let arguments = ["unframed", "pace=50", "half=400"];
        let engine = Engine::spawn(name, "v1", 0, &arguments, &runs, record).map_err(text)?;
        store.store.put(
            "servers",
            name,
            &engine.entry(service, "zone-a", 16, 1_700_000_000_000, 1),
        );
        engines.push(engine);
    }
    let machines = start_machines(&dir, store.address, 2).await?;
    record.note("streams begin");
    let mut open = JoinSet::new();
    for number in 0..32 {
        let to = machines[number % 2].ports.callers;
        let (path, name) = if number % 4 < 2 {
            ("/chat/1", "chat")
        } else {
            ("/draft/1", "draft")
        };
        let ask = Ask::stream(path, &team.key, &format!("{name}-{number}"), 100, EVENTS);
        open.spawn(async move { (send(to, &ask).await, ask) });
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_millis(700)).await;
    for number in 0..24 {
        let to = machines[number % 2].ports.callers;
        let path = if number % 4 < 2 {
            "/read/1"
        } else {
            "/record/1"
        };
        let ask = Ask::plain(
            path,
            &team.key,
            &format!("plain-{number}"),
            Duration::from_secs(1),
        );
        open.spawn(async move { (send(to, &ask).await, ask) });
    }
    sleep(Duration::from_millis(200)).await;
    if !calm() {
        // A quarter of the engines of each service.
        for victim in [0, 4] {
            engines[victim].process.kill();
            record.note(&format!("engine {} is killed", engines[victim].id));
        }
    }
    let mut broken = 0;
    while let Some(ended) = open.join_next().await {
        let (got, ask) = ended.map_err(|error| error.to_string())?;
        let short = is_short(&ask, &got);
        record.note(&format!(
            "{} {}: status {}, signed {}, complete {}, {}{}{}",
            ask.path,
            ask.id,
            got.status,
            got.signed,
            got.complete,
            match ask.usage {
                Some(_) => format!("{} of {EVENTS} events", got.events().len()),
                None => format!("{} bytes {:?}", got.text.len(), got.text),
            },
            if got.error.is_empty() {
                String::new()
            } else {
                format!(", {}", got.error)
            },
            if short {
                " <- ended early, looks complete"
            } else {
                ""
            },
        ));
        broken += u64::from(short);
    }
    drop((machines, engines));
    let _removed = std::fs::remove_dir_all(&dir);
    Ok(broken)
}

/// Returns whether a success looks complete and isn't the engine's whole answer.
fn is_short(ask: &Ask, got: &Got) -> bool {
    if got.status != 200 || !got.complete {
        return false;
    }
    match ask.usage {
        Some(_) => got.events().len() as u64 != EVENTS,
        None => {
            got.text
                != format!(
                    "the first half of {}, the second half of {}",
                    ask.id, ask.id
                )
        }
    }
}
