//! Gateway processes while data centres are evacuated, and with requests that are restricted to regions.
//!
//! The routers are in the data centre `here`, whose upstreams they prefer if nothing else decides.

use std::path::Path;
use std::time::Duration;

use fescue_site::caller::{Caller, Kind, Outcome, send};
use fescue_site::manifest::{ENGINES, LEDGER, manifest};
use fescue_site::process::{Gateway, GatewayOptions, Ports};
use fescue_site::proxy::{Faults, Proxy};
use serde_json::json;
use tokio::time::{Instant, sleep};

use super::gateway_site::{READY_TIMEOUT, Site, status};

/// The time for which an evacuation that a copy of the store lacks stays in force, with a margin.
const HOLD_TIME: Duration = Duration::from_secs(12);

/// Number of requests of one check.
const REQUESTS: usize = 30;

/// Opens a site with an engine and a ledger in each of the data centres `here` and `there`.
async fn open(name: &str) -> Site {
    let site = Site::open(name, 10_000_000).await;
    site.register_with(&site.engines[1], ENGINES, &json!({ "zone": "there" }));
    site.register_with(&site.ledgers[1], LEDGER, &json!({ "zone": "there" }));
    site
}

fn evacuate(site: &Site, data_centre: &str) {
    let key = format!("evacuate/{data_centre}");
    site.store.store.put("op", &key, &json!({}));
}

fn revoke(site: &Site, data_centre: &str) {
    let key = format!("evacuate/{data_centre}");
    site.store.store.remove("op", &key);
}

/// Waits until a number of evacuations is in force.
async fn await_count(gateway: &Gateway, count: u64) {
    let until = Instant::now() + READY_TIMEOUT;
    while gateway.metric("evacuated_data_centres").await != Some(count) {
        assert!(Instant::now() < until, "{count} evacuations");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Sends plain requests; returns their outcomes.
async fn load(site: &Site, gateway: &Gateway, name: &str) -> Vec<Outcome> {
    let mut caller = Caller::default();
    let mut outcomes = Vec::new();
    for number in 0..REQUESTS {
        let spec = site.ask(Kind::Record, &format!("{name}-{number}"));
        outcomes.push(caller.send(gateway.ports.callers, &spec).await);
    }
    outcomes
}

fn all_served(outcomes: &[Outcome]) -> bool {
    let served = |seen: &Outcome| matches!(seen, Outcome::Served { .. });
    outcomes.iter().all(served)
}

/// Returns how many requests reached an upstream since some time.
fn arrived(site: &Site, upstream: &str, since: Instant) -> usize {
    let record = site.record.lock();
    let arrivals = record.arrivals.get(upstream).into_iter().flatten();
    arrivals.filter(|at| **at >= since).count()
}

/// Guards against requests to an evacuated data centre, streams that its evacuation cuts, waits where no data
/// centre is left, and upstreams that stay unused after the end.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_evacuates_data_centres() {
    let site = open("evacuated").await;
    let gateway = site.ready("vm-1").await;
    let callers = gateway.ports.callers;
    let mut streams = Vec::new();
    for number in 0..12 {
        let mut spec = site.ask(Kind::Draft, &format!("open-{number}"));
        (spec.events, spec.part) = (100, format!("p{number}"));
        streams.push(tokio::spawn(async move { send(callers, &spec).await }));
    }
    let start = Instant::now();
    while arrived(&site, &site.engines[0].id, start - READY_TIMEOUT) == 0 {
        assert!(start.elapsed() < READY_TIMEOUT, "a stream runs here");
        sleep(Duration::from_millis(5)).await;
    }
    evacuate(&site, "here");
    await_count(&gateway, 1).await;
    let since = Instant::now();
    let seen = load(&site, &gateway, "one").await;
    assert!(all_served(&seen), "{seen:?}");
    assert_eq!(arrived(&site, &site.ledgers[0].id, since), 0);
    for stream in streams {
        let seen = stream.await.expect("a caller");
        assert!(matches!(seen, Outcome::Served { .. }), "{seen:?}");
    }
    evacuate(&site, "there");
    await_count(&gateway, 2).await;
    let since = Instant::now();
    for seen in load(&site, &gateway, "both").await {
        assert_eq!(status(&seen), Some(503), "{seen:?}");
        let named = |seen: &Outcome| matches!(seen, Outcome::Refused { retry_after, .. } if retry_after.is_some());
        assert!(named(&seen), "{seen:?}");
    }
    for ledger in &site.ledgers {
        assert_eq!(arrived(&site, &ledger.id, since), 0);
    }
    revoke(&site, "there");
    await_count(&gateway, 1).await;
    let seen = load(&site, &gateway, "back").await;
    assert!(all_served(&seen), "{seen:?}");
    revoke(&site, "here");
    await_count(&gateway, 0).await;
    let seen = load(&site, &gateway, "all").await;
    assert!(all_served(&seen), "{seen:?}");
    assert!(arrived(&site, &site.ledgers[0].id, since) > 0);
    for message in ["begins", "ends"] {
        let message = format!("evacuation of a data centre {message}");
        let lines = gateway.log_lines("message", &message);
        assert_eq!(lines.len(), 2, "{lines:?}");
        assert!(lines[0]["requests"].is_u64(), "{lines:?}");
    }
}

/// Guards against an unknown data centre that has an effect or isn't logged, once and by its name.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_warns_of_unknown_data_centre() {
    let site = open("unknown-zone").await;
    evacuate(&site, "nowhere");
    let gateway = site.ready("vm-1").await;
    let message = "evacuation of a data centre that has no upstream and no router";
    let until = Instant::now() + READY_TIMEOUT;
    while gateway.log_lines("message", message).is_empty() {
        assert!(Instant::now() < until, "a warning");
        sleep(Duration::from_millis(20)).await;
    }
    let seen = load(&site, &gateway, "unknown").await;
    assert!(all_served(&seen), "{seen:?}");
    await_count(&gateway, 0).await;
    let lines = gateway.log_lines("message", message);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!(lines[0]["data_centre"], "nowhere", "{lines:?}");
    assert_eq!(lines[0]["level"], "WARN", "{lines:?}");
}

/// Guards against a router without the store that other routers don't tell of an evacuation and its end, and
/// against one that starts during an evacuation and sends requests before it knows.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_learns_of_evacuations_without_the_store() {
    let site = open("told").await;
    let proxy = Proxy::spawn(site.store.address).await.expect("a proxy");
    let options = GatewayOptions {
        program: Path::new(env!("CARGO_BIN_EXE_fescuedrift")),
        wrapper: &[],
        dir: &site.folder,
        vm: "vm-2",
        store: proxy.address,
        ports: Ports::allocate().expect("ports"),
        crowding: false,
        scheduling: false,
    };
    let cut_off = Gateway::spawn(&options).expect("a gateway");
    let gateway = site.ready("vm-1").await;
    assert!(cut_off.await_ready(READY_TIMEOUT).await);
    // The routers list each other after two scans.
    sleep(Duration::from_secs(6)).await;
    proxy.set_faults(Faults {
        refuse: true,
        ..Faults::default()
    });
    proxy.reset();
    evacuate(&site, "here");
    await_count(&gateway, 1).await;
    await_count(&cut_off, 1).await;
    let since = Instant::now();
    let third = site.ready("vm-3").await;
    let seen = load(&site, &third, "third").await;
    assert!(all_served(&seen), "{seen:?}");
    load(&site, &cut_off, "cut-off").await;
    assert_eq!(arrived(&site, &site.ledgers[0].id, since), 0);
    revoke(&site, "here");
    await_count(&gateway, 0).await;
    await_count(&cut_off, 0).await;
}

/// Guards against requests to an evacuated data centre after the store came back from a copy without the
/// evacuation, until the operator has rewritten it and afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_keeps_evacuations_that_a_copy_lacks() {
    let site = open("evacuated-copy").await;
    let gateway = site.ready("vm-1").await;
    let copy = site.store.store.copy();
    evacuate(&site, "here");
    await_count(&gateway, 1).await;
    let since = Instant::now();
    let undone = site.store.store.restore(copy);
    let seen = load(&site, &gateway, "lost").await;
    assert!(all_served(&seen), "{seen:?}");
    site.store.store.rewrite(undone);
    while since.elapsed() < HOLD_TIME {
        let seen = load(&site, &gateway, "rewritten").await;
        assert!(all_served(&seen), "{seen:?}");
    }
    assert_eq!(arrived(&site, &site.ledgers[0].id, since), 0);
    await_count(&gateway, 1).await;
}

/// Guards against requests to upstreams outside the regions of their route and team, and against waits where
/// there is no candidate.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_keeps_requests_to_allowed_regions() {
    let site = open("regions").await;
    let mut config = manifest(1, std::slice::from_ref(&site.team));
    for route in config["routes"].as_array_mut().expect("routes") {
        route["allowed_regions"] = json!(["south", "west"]);
    }
    site.store.store.put("op", "config", &config);
    let gateway = site.ready("vm-1").await;
    let since = Instant::now();
    let seen = load(&site, &gateway, "one").await;
    assert!(all_served(&seen), "{seen:?}");
    assert_eq!(arrived(&site, &site.ledgers[0].id, since), 0);
    config["version"] = json!(2);
    config["tenants"][0]["allowed_regions"] = json!(["north"]);
    site.store.store.put("op", "config", &config);
    let until = Instant::now() + READY_TIMEOUT;
    while gateway.metric("manifest_version").await != Some(2) {
        assert!(Instant::now() < until, "the second configuration");
        sleep(Duration::from_millis(20)).await;
    }
    let since = Instant::now();
    for seen in load(&site, &gateway, "none").await {
        assert_eq!(status(&seen), Some(503), "{seen:?}");
    }
    for ledger in &site.ledgers {
        assert_eq!(arrived(&site, &ledger.id, since), 0);
    }
}
