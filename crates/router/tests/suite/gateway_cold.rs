//! Upstreams that are cold after a start and tolerate few requests from all routers together.

use std::time::Duration;

use fescue_site::caller::{Kind, Outcome, send};
use fescue_site::engine::Upstream;
use fescue_site::manifest::{ENGINES, manifest};
use fescue_site::process::Gateway;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep};

use super::gateway_site::Site;

/// The requests per second that a cold engine tolerates, and how many it may get in one second.
const WARMUP_PER_S: u32 = 4;
const MAX_IN_WINDOW: usize = 4 * 3 / 2 + 5;
const WINDOW: Duration = Duration::from_secs(1);

/// The time for which an entry says that the engine is cold.
const WARMUP: Duration = Duration::from_secs(7);

/// Time after which all routers must know of an entry.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Starts a site whose engines warm up.
async fn open(name: &str) -> Site {
    let site = Site::open(name, 10_000_000).await;
    let mut manifest = manifest(1, std::slice::from_ref(&site.team));
    manifest["services"][0]["warmup_s"] = json!(3.0);
    manifest["services"][0]["warmup_per_s"] = json!(WARMUP_PER_S);
    site.store.store.put("op", "config", &manifest);
    site
}

fn register(site: &Site, engine: &Upstream, born: u64, warmup: Duration) {
    let fields = json!({ "born": born, "warmup_remaining_ms": warmup.as_millis() as u64 });
    site.register_with(engine, ENGINES, &fields);
}

/// Sends requests to all gateways in turn, 60 a second, for some time; returns the outcomes.
async fn load(site: &Site, gateways: &[Gateway], name: &str, length: Duration) -> Vec<Outcome> {
    let mut ticks = interval(Duration::from_millis(16));
    let until = Instant::now() + length;
    let mut open = JoinSet::new();
    for number in 0.. {
        ticks.tick().await;
        if Instant::now() >= until {
            break;
        }
        let ask = site.ask(Kind::Draft, &format!("{name}-{number}"));
        let callers = gateways[number % gateways.len()].ports.callers;
        open.spawn(async move { send(callers, &ask).await });
    }
    open.join_all().await
}

/// Returns the largest number of requests that the first engine received in one window after `since`.
fn busiest_window(site: &Site, since: Instant) -> usize {
    let record = site.record.lock();
    let arrivals = record.arrivals.get(&site.engines[0].id);
    let arrivals = arrivals.into_iter().flatten();
    let arrivals: Vec<_> = arrivals.filter(|at| **at >= since).collect();
    let in_window = |index: usize| {
        let end = *arrivals[index] + WINDOW;
        arrivals[index..].iter().filter(|at| ***at < end).count()
    };
    (0..arrivals.len()).map(in_window).max().unwrap_or_default()
}

/// Guards against an engine that crashes since all routers send it what it gets when it is warm: while its entry says
/// that it is cold it gets few requests, and no request is refused while another engine is warm.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_spares_a_cold_engine() {
    let site = open("cold").await;
    register(&site, &site.engines[0], 1, Duration::ZERO);
    let gateways = [
        site.ready("vm-1").await,
        site.ready("vm-2").await,
        site.ready("vm-3").await,
    ];
    // All list each other after their second scan.
    sleep(Duration::from_secs(5)).await;
    let since = Instant::now();
    load(&site, &gateways, "a", Duration::from_secs(3)).await;
    let most = busiest_window(&site, since);
    assert!(most > MAX_IN_WINDOW, "{most} at a warm engine");
    register(&site, &site.engines[0], 1, WARMUP);
    let since = Instant::now() + CONTACT_TIME;
    let outcomes = load(&site, &gateways, "b", WARMUP - Duration::from_secs(1)).await;
    let served = |seen: &&Outcome| matches!(seen, Outcome::Served { .. });
    assert_eq!(outcomes.iter().filter(served).count(), outcomes.len());
    let most = busiest_window(&site, since);
    assert!((1..=MAX_IN_WINDOW).contains(&most), "{most} in {WINDOW:?}");
    sleep(Duration::from_secs(3)).await;
    let since = Instant::now();
    load(&site, &gateways, "c", Duration::from_secs(3)).await;
    let most = busiest_window(&site, since);
    assert!(most > MAX_IN_WINDOW, "{most} once it is warm again");
}

/// Guards against a storm of requests to an engine that has just started at the address of one that crashed: few are
/// sent before its entry is known, and from its first entry on.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_spares_an_engine_that_restarts() {
    let mut site = open("restarted").await;
    register(&site, &site.engines[0], 1, Duration::ZERO);
    let gateways = [site.ready("vm-1").await, site.ready("vm-2").await];
    sleep(Duration::from_secs(5)).await;
    load(&site, &gateways, "a", Duration::from_secs(1)).await;
    site.engines[0].kill();
    load(&site, &gateways, "b", Duration::from_secs(2)).await;
    let (address, id) = (site.engines[0].address, site.engines[0].id.clone());
    let next = Upstream::bind(address, &id, &site.engines[0].version, &site.record).await;
    site.engines[0] = next.expect("an engine");
    let since = Instant::now();
    load(&site, &gateways, "c", Duration::from_secs(2)).await;
    register(&site, &site.engines[0], 2, WARMUP);
    load(&site, &gateways, "d", WARMUP - Duration::from_secs(2)).await;
    let most = busiest_window(&site, since);
    assert!((1..=MAX_IN_WINDOW).contains(&most), "{most} in {WINDOW:?}");
}
