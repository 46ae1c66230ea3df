//! Upstreams that say in their answers that they are leaving, while the list still names them as available.

use std::time::Duration;

use fescue_site::caller::{Kind, Outcome, send};
use fescue_site::engine::{Faults, Upstream};
use fescue_site::manifest::{ENGINES, LEDGER, upstream_entry};
use fescue_site::process::Gateway;
use fescue_site::store;
use serde_json::json;
use tokio::time::{Instant, sleep};

use super::gateway_site::Site;

/// Time after which an upstream that said it is leaving may get no request.
const LEAVING_TIME: Duration = Duration::from_secs(1);

/// Time for a change in the store to reach the routers.
const PROPAGATION: Duration = Duration::from_millis(300);

const LEAVING: Faults = Faults {
    lose_percent: 0,
    cut_percent: 0,
    decline_percent: 0,
    silence_percent: 0,
    silent: false,
    deadly_part: false,
    limit_milli: None,
    leaving: true,
    pause: None,
};

/// Returns the upstreams of the service that requests of a kind go to, and its name.
fn upstreams(site: &Site, kind: Kind) -> (&[Upstream], &'static str) {
    match kind.is_streaming() {
        true => (&site.engines, ENGINES),
        false => (&site.ledgers, LEDGER),
    }
}

/// Lists upstreams as processes that started at a time.
fn register_born(site: &Site, upstreams: &[Upstream], service: &str, born: u64) {
    for upstream in upstreams {
        let mut entry = upstream_entry(service, upstream.address, 8, false);
        entry["born"] = json!(born);
        site.store.store.put("servers", &upstream.id, &entry);
    }
}

/// Returns how many requests reached an upstream since some time.
fn arrived(site: &Site, upstream: &str, since: Instant) -> usize {
    let record = site.record.lock();
    let arrivals = record.arrivals.get(upstream).into_iter().flatten();
    arrivals.filter(|at| **at >= since).count()
}

/// Sends requests of a kind for some time, one after another; returns the outcomes.
async fn load(
    site: &Site,
    gateway: &Gateway,
    kind: Kind,
    name: &str,
    count: usize,
) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for number in 0..count {
        let mut ask = site.ask(kind, &format!("{name}-{number}"));
        // The tokens that the router holds must last while the store is silent.
        (ask.input, ask.events) = (1, 2);
        outcomes.push(send(gateway.ports.callers, &ask).await);
        sleep(Duration::from_millis(10)).await;
    }
    outcomes
}

fn served(outcomes: &[Outcome]) -> usize {
    let served = |seen: &&Outcome| matches!(seen, Outcome::Served { .. });
    outcomes.iter().filter(served).count()
}

/// Checks that an upstream whose answers say that it is leaving gets no more requests while the store is
/// silent, that the other serves them all, and that a restart of it under its name is used again.
async fn check(name: &str, kind: Kind, faults: Faults) {
    let site = Site::open(name, 10_000_000).await;
    let (upstreams, service) = upstreams(&site, kind);
    register_born(&site, upstreams, service, 1);
    let gateway = site.ready("vm-1").await;
    let since = Instant::now();
    load(&site, &gateway, kind, "before", 20).await;
    // Streams with the same prompt go to the same upstream.
    let used = upstreams
        .iter()
        .find(|upstream| arrived(&site, &upstream.id, since) > 0);
    let used = used.expect("one serves");
    let id = &used.id;
    site.store.store.set_faults(store::Faults {
        silent: true,
        ..store::Faults::default()
    });
    // The license of the team allows more with time.
    sleep(Duration::from_secs(3)).await;
    used.set_faults(faults);
    let since = Instant::now();
    let first = load(&site, &gateway, kind, "first", 30).await;
    assert_eq!(served(&first), first.len(), "{first:?}");
    assert!(
        arrived(&site, id, since) > 0,
        "{id} says that it is leaving"
    );
    sleep(LEAVING_TIME).await;
    let since = Instant::now();
    let later = load(&site, &gateway, kind, "later", 40).await;
    assert_eq!(arrived(&site, id, since), 0, "{id} gets no request");
    assert_eq!(served(&later), later.len(), "{later:?}");
    site.store.store.set_faults(store::Faults::default());
    used.set_faults(Faults::default());
    sleep(Duration::from_secs(2)).await;
    let listed = load(&site, &gateway, kind, "listed", 20).await;
    assert_eq!(served(&listed), listed.len(), "{listed:?}");
    assert_eq!(arrived(&site, id, since), 0, "{id} is listed as before");
    register_born(&site, std::slice::from_ref(used), service, 2);
    sleep(PROPAGATION).await;
    let restarted = load(&site, &gateway, kind, "restarted", 40).await;
    assert_eq!(served(&restarted), restarted.len(), "{restarted:?}");
    assert!(arrived(&site, id, since) > 0, "{id} has restarted");
}

/// Guards against requests to an upstream that said in whole answers that it is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_leaves_an_upstream_that_says_so_in_whole_answers() {
    check("leaving-plain", Kind::Record, LEAVING).await;
}

/// Guards against requests to an upstream that said so in the heads of streams.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_leaves_an_upstream_that_says_so_in_streams() {
    check("leaving-stream", Kind::Chat, LEAVING).await;
}

/// Guards against requests to an upstream that said so as it rejected one.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_leaves_an_upstream_that_says_so_in_refusals() {
    let leaving = Faults {
        decline_percent: 100,
        ..LEAVING
    };
    check("leaving-refused", Kind::Draft, leaving).await;
}

/// Guards against an older copy of the store that brings an upstream back which said that it is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_leaves_an_upstream_that_a_copy_lists_again() {
    let site = Site::open("leaving-copy", 10_000_000).await;
    register_born(&site, &site.ledgers, LEDGER, 1);
    let gateway = site.ready("vm-1").await;
    let copy = site.store.store.copy();
    site.ledgers[0].set_faults(LEAVING);
    load(&site, &gateway, Kind::Record, "first", 30).await;
    site.store.store.remove("servers", &site.ledgers[0].id);
    sleep(PROPAGATION).await;
    site.store.store.restore(copy);
    let since = Instant::now();
    // An entry that is held back is used after ten seconds.
    while since.elapsed() < Duration::from_secs(12) {
        let seen = load(&site, &gateway, Kind::Record, "later", 10).await;
        assert_eq!(served(&seen), seen.len(), "{seen:?}");
        sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(arrived(&site, &site.ledgers[0].id, since), 0);
}
