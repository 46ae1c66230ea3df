//! Prompts on engines that several gateways share.

use std::collections::HashSet;
use std::time::Duration;

use fescue_site::caller::{Kind, Outcome, send};
use fescue_site::engine::Faults;
use fescue_site::manifest::manifest;
use fescue_site::process::Gateway;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::gateway_site::Site;
use super::site::eventually;

/// Time for the routers to list each other, which takes two scans.
const DISCOVERY: Duration = Duration::from_secs(5);

/// The tokens of a long prompt, which an engine of unknown rate reads in 30 s. That is longer than the test
/// takes on a busy machine.
const LONG: u64 = 1_500_000;

/// The number of short prompts, each of which has its own prefix.
const SHORTS: usize = 16;

/// Starts two gateways whose routes and engines allow long prompts.
async fn start(name: &str, scheduling: bool) -> (Site, [Gateway; 2]) {
    let mut site = Site::open(name, 100_000_000).await;
    site.scheduling = scheduling;
    let mut wire = manifest(2, std::slice::from_ref(&site.team));
    wire["services"][0]["engine_type"]["kv_capacity_tokens"] = json!(4_000_000);
    // Route 1 is that of [`Kind::Draft`], whose requests run once.
    wire["routes"][1]["timeout_ms"] = json!(120_000);
    wire["routes"][1]["target_latency_ms"] = json!(100_000);
    site.store.store.put("op", "config", &wire);
    let gateways = [site.ready("vm-1").await, site.ready("vm-2").await];
    tokio::time::sleep(DISCOVERY).await;
    (site, gateways)
}

/// Sends a long prompt that its engine does not answer; returns the caller and the engine's id.
async fn send_long(site: &Site, gateway: &Gateway, id: &str) -> (JoinHandle<Outcome>, String) {
    let mut ask = site.ask(Kind::Draft, id);
    ask.part = format!("long-{id}");
    ask.input = LONG;
    ask.deadline = Duration::from_secs(100);
    let (to, since) = (gateway.ports.callers, Instant::now());
    let caller = tokio::spawn(async move { send(to, &ask).await });
    eventually("the long prompt is sent", async || {
        !arrivals(site, since).is_empty()
    })
    .await;
    let engine = arrivals(site, since).into_iter().next();
    (caller, engine.expect("an engine"))
}

/// Returns the ids of the upstreams that got requests since some time.
fn arrivals(site: &Site, since: Instant) -> HashSet<String> {
    let record = site.record.lock();
    let arrivals = record.arrivals.iter();
    let recent = arrivals.filter(|(_, times)| times.iter().any(|at| *at >= since));
    recent.map(|(id, _)| id.clone()).collect()
}

/// Sends short prompts through a gateway; returns the ids of the engines that got them.
async fn send_shorts(site: &Site, gateway: &Gateway, name: &str) -> HashSet<String> {
    let since = Instant::now();
    for number in 0..SHORTS {
        let id = format!("{name}-{number}");
        let mut ask = site.ask(Kind::Chat, &id);
        ask.part = format!("{number:x}");
        let seen = send(gateway.ports.callers, &ask).await;
        assert!(matches!(seen, Outcome::Served { .. }), "{id}: {seen:?}");
    }
    arrivals(site, since)
}

fn set_silent(site: &Site, id: &str, silent: bool) {
    let engine = site.engines.iter().find(|engine| engine.id == id);
    engine.expect("an engine").set_faults(Faults {
        silent,
        ..Faults::default()
    });
}

/// Guards against short prompts that wait behind a long one of another router, and against prompts that wait at
/// engines for longer than their callers do.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_avoids_engines_that_read_for_other_routers() {
    let (site, [first, second]) = start("schedulers", true).await;
    assert_eq!(send_shorts(&site, &second, "before").await.len(), 2);
    site.engines
        .iter()
        .for_each(|engine| set_silent(&site, &engine.id, true));
    let (caller, reading) = send_long(&site, &first, "l1").await;
    let other = site.engines.iter().find(|engine| engine.id != reading);
    let other = other.expect("two engines").id.clone();
    set_silent(&site, &other, false);
    let used = send_shorts(&site, &second, "beside").await;
    assert_eq!(used, HashSet::from([other.clone()]));
    set_silent(&site, &other, true);
    let (rest, last) = send_long(&site, &first, "l2").await;
    assert_eq!(last, other);
    let seen = send(second.ports.callers, &site.ask(Kind::Chat, "refused")).await;
    match &seen {
        Outcome::Refused {
            status,
            retry_after: Some(wait),
        } => {
            assert_eq!(status.as_u16(), 429);
            assert!(wait.parse().is_ok_and(|wait: f64| wait > 0.0), "{wait}");
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(site.runs("refused"), 0);
    caller.abort();
    rest.abort();
    for id in [&reading, &other] {
        set_silent(&site, id, false);
    }
    let mut number = 0;
    eventually("prompts are served once the callers have left", || {
        number += 1;
        let ask = site.ask(Kind::Chat, &format!("after-{number}"));
        let to = second.ports.callers;
        async move { matches!(send(to, &ask).await, Outcome::Served { .. }) }
    })
    .await;
}

/// Guards against homes that place prompts although the setting is off.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_places_by_itself_with_scheduling_off() {
    let (site, [first, second]) = start("unscheduled", false).await;
    for (gateway, name) in [(&first, "first"), (&second, "second")] {
        send_shorts(&site, gateway, name).await;
        let placed = || gateway.log_lines("message", "placed");
        eventually("the log is read", async || placed().len() >= SHORTS).await;
        let placed = placed();
        let scheduled = placed.iter().filter(|line| line["scheduler"].is_string());
        assert_eq!(scheduled.count(), 0);
        assert_eq!(gateway.metric("schedule_seconds_count").await, Some(0));
    }
}
