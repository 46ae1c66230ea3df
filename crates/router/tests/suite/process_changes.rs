//! A series of changes of the rules beside load, on connections that callers keep.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use fescue_core::hash::key_digest;
use fescue_standin::caller::{Caller, Response};
use fescue_standin::engine::Profile;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinHandle;

use crate::site::{KEY, QUICK, Site, chat, expected_text, purchase};

/// The callers, each with a connection of its own.
const CALLERS: usize = 24;

/// The longest time until an answer, below the target in [`take_engines_away`].
const LONGEST_ANSWER: Duration = Duration::from_secs(5);

/// The changes of the rules, of which every fifth is followed at once by others.
const CHANGES: usize = 60;

const TOKENS: u64 = 40;

/// Engines on which all requests together have to wait.
const BUSY: Profile = Profile {
    slots: 4,
    token_us: 2500,
    ..QUICK
};

/// What a caller got for one request.
struct Record {
    id: String,
    took: Duration,
    answer: Response,
}

/// Returns rules that differ in what they name and where.
fn draw(site: &Site, rng: &mut StdRng) -> String {
    let key = if rng.random_bool(0.9) { KEY } else { "other" };
    let mut text = format!(
        "team yard key={} priorities=standard,urgent # asked by Awa\n\
         budget yard/main # asked by Awa\n",
        key_digest(key)
    );
    if rng.random_bool(0.8) {
        let target = [200, 1000, 3000][rng.random_range(0..3)];
        text += &format!("priority standard share=30 target={target}ms # asked by Awa\n");
    }
    let registry = site.registry.1.address;
    let serving = |name: &str, at: std::net::SocketAddr, what: &str| {
        format!(
            "upstream {name} at={at} data-centre=dakar-1 {what} slots=4 fencing=ignores \
             orders=unchecked # asked by Awa\n"
        )
    };
    if rng.random_bool(0.8) {
        let timeout = [300, 2000][rng.random_range(0..2)];
        text += &format!(
            "service purchases price=20 repeat=never timeout={timeout}ms # asked by Awa\n"
        );
        if rng.random_bool(0.9) {
            text += &serving("registry", registry, "services=purchases");
        }
    }
    // The same names stand for other engines from one change to the next.
    let turn = rng.random_range(0..site.engines.len());
    for index in 0..site.engines.len() {
        let (_, server) = &site.engines[(index + turn) % site.engines.len()];
        if rng.random_bool(0.6) {
            text += &serving(&format!("engine-{index}"), server.address, "models=price");
        }
    }
    text
}

/// Removes all engines for longer than an answer may take, while requests wait for them.
async fn take_engines_away(site: &Site) {
    let text = site.rules().replace("slots=128", "slots=2");
    site.apply_rules("busy", &text).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let lines = text.lines().filter(|l| !l.contains("upstream engine-"));
    let without: String = lines.map(|line| format!("{line}\n")).collect();
    site.apply_rules("without-engines", &without).await;
    tokio::time::sleep(LONGEST_ANSWER + Duration::from_secs(1)).await;
}

/// Sends chat completions and purchases in turn until `ended`.
fn spawn_caller(
    site: &Arc<Site>,
    number: usize,
    ended: &Arc<AtomicBool>,
) -> JoinHandle<Vec<Record>> {
    let (site, ended, caller) = (Arc::clone(site), Arc::clone(ended), Caller::open());
    tokio::spawn(async move {
        let mut records = Vec::new();
        while !ended.load(Ordering::Acquire) {
            let id = format!("c-{number}-{}", records.len());
            let ask = match records.len() % 4 {
                3 => purchase(&id),
                _ => chat(&id, &format!("lot {id}"), TOKENS),
            };
            let start = Instant::now();
            let router = &site.routers[0];
            let answer = caller.send(router.callers, &ask);
            let answer = router.report().answer(&id, answer).await;
            let answer = answer.unwrap_or_else(|error| panic!("{id}: no answer: {error}"));
            let took = start.elapsed();
            let refused = answer.status != 200;
            records.push(Record { id, took, answer });
            if refused {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        records
    })
}

/// Returns what is wrong with an answer.
fn fault(record: &Record, runs: &BTreeMap<String, u64>) -> Option<&'static str> {
    let (id, answer) = (&record.id, &record.answer);
    let runs = runs.get(id).copied().unwrap_or_default();
    let stream = answer.body.starts_with("data:");
    let whole =
        answer.is_complete() && answer.text() == expected_text(&format!("lot {id}"), TOKENS);
    match (answer.status, answer.outcome.as_str()) {
        _ if record.took > LONGEST_ANSWER => Some("late"),
        _ if runs > 1 => Some("run twice"),
        (200, "ran") if stream && !whole => Some("incomplete"),
        (200, "ran") => None,
        (200.., "not_run") if runs > 0 => Some("run, and refused as not run"),
        (400.., "not_run" | "unknown") => None,
        _ => Some("neither an answer nor a refusal"),
    }
}

/// Guards against requests that wait without a bound, or get an untrue refusal, because a change of the rules
/// took away or replaced what they wait for or run on.
#[tokio::test(flavor = "multi_thread")]
async fn changes_in_series_leave_no_request_unanswered() {
    let seed = std::env::var("FESCUE_SEED")
        .ok()
        .and_then(|s| s.parse().ok());
    let mut rng = StdRng::seed_from_u64(seed.unwrap_or(1));
    let site = Arc::new(Site::start(&["dakar-1"], 3, BUSY).await);
    let ended = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| spawn_caller(&site, number, &ended))
        .collect();
    for number in 0..CHANGES {
        if number == CHANGES / 2 {
            take_engines_away(&site).await;
        }
        let text = draw(&site, &mut rng);
        site.apply_rules(&format!("change-{number}"), &text).await;
        if number % 5 != 0 {
            tokio::time::sleep(Duration::from_millis(rng.random_range(20..250))).await;
        }
    }
    let last = site.apply_rules("last", &site.rules()).await;
    site.wait_for_version(last).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    ended.store(true, Ordering::Release);
    let mut records = Vec::new();
    for caller in callers {
        records.extend(caller.await.expect("the caller's requests are answered"));
    }
    let runs = site.registry.0.run_counts();
    let faults: Vec<_> = records
        .iter()
        .filter_map(|r| {
            Some((
                &r.id,
                fault(r, &runs)?,
                r.took,
                r.answer.status,
                &r.answer.body,
            ))
        })
        .collect();
    assert!(faults.is_empty(), "seed {seed:?}: {faults:#?}");
    let served = records.iter().filter(|r| r.answer.status == 200);
    let served: Vec<_> = served.map(|r| &r.id).collect();
    assert!(served.len() > CALLERS && served.len() < records.len());
    let bills = site.wait_for_bills(served.len()).await;
    assert!(served.iter().all(|id| bills.contains_key(*id)), "{bills:?}");
}
