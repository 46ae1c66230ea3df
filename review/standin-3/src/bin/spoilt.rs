//! Engines that spoil some of their answers: a stream begins with a text that is no event, and breaks off.
//!
//! Exit code: 1 if a caller got a success whose body is no whole answer of an engine, 0 if not, 2 if the case couldn't run.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use fescue_site::manifest::{ENGINES, LEDGER, Team, manifest};
use review_standin_3::{
    Ask, Engine, Got, Record, Runs, calm, folder, open_store, run_case, send, start_machines, text,
};
use tokio::task::JoinSet;
use tokio::time::sleep;

const EVENTS: u64 = 30;

#[tokio::main]
async fn main() -> ExitCode {
    run_case(|record| async move {
        Ok(match run(&record).await? {
            0 => None,
            broken => Some(format!(
                "{broken} successes hold a body that is no engine's whole answer"
            )),
        })
    })
    .await
}

async fn run(record: &Record) -> Result<u64, String> {
    let dir = folder("spoilt")?;
    let team = Team::new("yard", 10_000_000);
    let store = open_store(&manifest(1, std::slice::from_ref(&team)))
        .await
        .map_err(text)?;
    let runs: Runs = Arc::default();
    let mut engines = Vec::new();
    let spoil = if calm() { "spoil=0" } else { "spoil=50" };
    for (name, service) in [
        ("model-1", ENGINES),
        ("model-2", ENGINES),
        ("model-3", ENGINES),
        ("model-4", ENGINES),
        ("desk-1", LEDGER),
    ] {
        // One engine in four spoils one answer in fifty.
        let arguments = [
            "pace=10",
            "margin=7",
            if name == "model-1" { spoil } else { "spoil=0" },
        ];
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
    for number in 0..480 {
        let to = machines[number % 2].ports.callers;
        let ask = Ask::stream(
            "/chat/1",
            &team.key,
            &format!("chat-{number}"),
            100,
            EVENTS * 7,
        );
        open.spawn(async move { (send(to, &ask).await, ask) });
        sleep(Duration::from_millis(20)).await;
    }
    let mut broken = 0;
    while let Some(ended) = open.join_next().await {
        let (got, ask) = ended.map_err(|error| error.to_string())?;
        let short = is_wrong(&ask, &got);
        record.note(&format!(
            "{} {}: status {}, signed {}, complete {}, {} of {EVENTS} events, begins {:?}{}",
            ask.path,
            ask.id,
            got.status,
            got.signed,
            got.complete,
            got.events().len(),
            got.text.lines().next().unwrap_or_default(),
            if short { " <- wrong" } else { "" },
        ));
        broken += u64::from(short);
    }
    drop((machines, engines));
    let _removed = std::fs::remove_dir_all(&dir);
    Ok(broken)
}

/// Returns whether a success looks complete and isn't the whole answer of an engine.
fn is_wrong(ask: &Ask, got: &Got) -> bool {
    let event = |number| format!("id: {number}\ndata: {} {number}  v1\n\n", ask.id);
    let whole: String = (1..=EVENTS).map(event).collect();
    got.status == 200 && got.complete && got.text != whole
}
