//! Upstreams of gateway processes that send slowly and without end, or go on after the end of an answer.

use std::time::Duration;

use fescue_site::caller::{Kind, Outcome, RequestSpec, send};
use fescue_site::flood::{Flood, FloodUpstream};
use fescue_site::manifest::{ENGINES, LEDGER, manifest, upstream_entry};
use fescue_site::process::Gateway;
use futures_util::future::join_all;
use http::StatusCode;
use rustix::process::Signal;
use serde_json::json;
use tokio::time::sleep;

use super::gateway_site::{EXIT_TIMEOUT, Site, status};
use super::site::eventually;

/// The number of requests beside each other.
const REQUESTS: usize = 8;

/// The most that an upstream may get rid of on a connection that isn't read any more: a few reads of up to
/// 64 KB, and 4 MB in the buffers of its sockets.
const MAX_SURPLUS_BYTES: usize = (256 << 10) + (4 << 20);

/// A deadline longer than the time limit on an exit.
const LONG: Duration = Duration::from_secs(60);

/// Removes the site's upstreams from the store.
fn clear(site: &Site) {
    for upstream in site.engines.iter().chain(&site.ledgers) {
        site.store.store.remove("servers", &upstream.id);
    }
}

/// Starts an upstream of a service that never ends what it sends.
async fn flood(site: &Site, service: &str, flood: Flood) -> FloodUpstream {
    let upstream = FloodUpstream::spawn(flood).await.expect("an upstream");
    let entry = upstream_entry(service, upstream.address, 64, false);
    site.store
        .store
        .put("servers", &format!("{service}-{flood:?}"), &entry);
    upstream
}

/// Sends requests beside each other; returns how each ended.
async fn send_all(gateway: &Gateway, specs: Vec<RequestSpec>) -> Vec<Outcome> {
    let callers = gateway.ports.callers;
    let sent = specs.into_iter().map(|spec| {
        let sent = async move { send(callers, &spec).await };
        tokio::spawn(sent)
    });
    let ended = join_all(sent.collect::<Vec<_>>()).await;
    ended
        .into_iter()
        .map(|end| end.expect("a caller"))
        .collect()
}

async fn wait_until_closed(upstreams: &[FloodUpstream]) {
    eventually("connections are closed", || async {
        upstreams.iter().all(|upstream| upstream.open() == 0)
    })
    .await;
}

/// Guards against a call that waits for the end of an answer that has none until its deadline, though another
/// upstream could run it.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_serves_elsewhere_what_an_upstream_never_ends() {
    let site = Site::open("endless", 1_000_000).await;
    let mut manifest = manifest(2, std::slice::from_ref(&site.team));
    // Long enough for a busy machine.
    manifest["routes"][3]["timeout_ms"] = json!(20_000);
    site.store.store.put("op", "config", &manifest);
    let gateway = site.ready("vm-1").await;
    clear(&site);
    let slow = [
        flood(&site, LEDGER, Flood::SlowHead).await,
        flood(&site, LEDGER, Flood::SlowBody).await,
    ];
    sleep(Duration::from_millis(300)).await;
    let once = |number| site.ask(Kind::Record, &format!("once-{number}"));
    for seen in send_all(&gateway, (0..REQUESTS).map(once).collect()).await {
        assert_eq!(status(&seen), Some(504), "{seen:?}");
    }
    site.register(&site.ledgers[0], LEDGER, false);
    sleep(Duration::from_millis(300)).await;
    let specs = (0..REQUESTS).map(|number| {
        let mut spec = site.ask(Kind::Read, &format!("again-{number}"));
        spec.deadline = Duration::from_secs(20);
        spec
    });
    for seen in send_all(&gateway, specs.collect()).await {
        assert!(matches!(seen, Outcome::Served { .. }), "{seen:?}");
    }
    wait_until_closed(&slow).await;
}

/// Guards against bytes after the end of an answer that are read without end, kept, or taken for the answer to
/// the next request.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_leaves_a_connection_with_bytes_after_an_answer() {
    let site = Site::open("surplus", 1_000_000).await;
    let gateway = site.ready("vm-1").await;
    clear(&site);
    let surplus = flood(&site, LEDGER, Flood::Surplus).await;
    sleep(Duration::from_millis(300)).await;
    for number in 0..REQUESTS {
        for kind in [Kind::Read, Kind::Record] {
            let spec = site.ask(kind, &format!("{kind:?}-{number}"));
            let seen = send(gateway.ports.callers, &spec).await;
            assert!(matches!(seen, Outcome::Served { .. }), "{seen:?}");
        }
    }
    wait_until_closed(std::slice::from_ref(&surplus)).await;
    let written = surplus.written();
    assert!(
        written <= 2 * REQUESTS * MAX_SURPLUS_BYTES,
        "{written} bytes"
    );
}

/// Guards against a stop that waits for a head or a body without end: the process outlasts its grace period and
/// is killed, with the answers that could still have ended.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_stop_ends_answers_without_end() {
    let site = Site::open("stop-flood", 10_000_000).await;
    let mut manifest = manifest(2, std::slice::from_ref(&site.team));
    for route in 0..2 {
        manifest["routes"][route]["timeout_ms"] = json!(LONG.as_millis() as u64);
    }
    site.store.store.put("op", "config", &manifest);
    let gateway = site.ready("vm-1").await;
    site.store.store.remove("servers", &site.ledgers[0].id);
    site.store.store.remove("servers", &site.ledgers[1].id);
    let mut sound = site.ask(Kind::Draft, "sound");
    sound.events = 200;
    let callers = gateway.ports.callers;
    let sound = tokio::spawn(async move { send(callers, &sound).await });
    sleep(Duration::from_millis(300)).await;
    for engine in &site.engines {
        site.register(engine, ENGINES, true);
    }
    let floods = [
        flood(&site, ENGINES, Flood::SlowHead).await,
        flood(&site, ENGINES, Flood::SlowBody).await,
    ];
    sleep(Duration::from_millis(300)).await;
    let specs = (0..REQUESTS).map(|number| {
        let kind = [Kind::Draft, Kind::Chat][number % 2];
        let mut spec = site.ask(kind, &format!("endless-{number}"));
        spec.deadline = LONG;
        spec
    });
    let stopped = async {
        eventually("requests are at the upstreams", || async {
            floods.iter().map(FloodUpstream::open).sum::<usize>() >= REQUESTS
        })
        .await;
        gateway.signal(Signal::TERM);
    };
    let (endless, ()) = tokio::join!(send_all(&gateway, specs.collect()), stopped);
    for seen in endless {
        let answered = status(&seen) == Some(StatusCode::GATEWAY_TIMEOUT.as_u16());
        assert!(answered, "{seen:?}");
    }
    let sound = sound.await.expect("a caller");
    assert!(matches!(sound, Outcome::Served { .. }), "{sound:?}");
    let status = gateway.await_exit(EXIT_TIMEOUT).await;
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}
