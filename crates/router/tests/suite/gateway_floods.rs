//! Upstreams that send bytes without end to gateway processes.

use std::time::{Duration, Instant};

use fescue_site::caller::{Kind, Outcome, send};
use fescue_site::flood::{Flood, FloodUpstream};
use fescue_site::manifest::{ENGINES, LEDGER, upstream_entry};
use fescue_site::process::peak_memory;
use tokio::task::JoinSet;

use super::gateway_site::{READY_TIMEOUT, SMALLEST_VM_MEMORY, Site};

/// Guards against upstreams that send bytes without end, in a head or in a body: callers get no complete
/// answer, connections are closed, and the process stays within the memory of a small VM.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_survives_answers_without_end() {
    let site = Site::open("flood", 10_000_000).await;
    let gateway = site.ready("vm-1").await;
    for upstream in site.engines.iter().chain(&site.ledgers) {
        site.store.store.remove("servers", &upstream.id);
    }
    for flood in Flood::ALL {
        let upstream = FloodUpstream::spawn(flood).await.expect("an upstream");
        for service in [ENGINES, LEDGER] {
            let entry = upstream_entry(service, upstream.address, 64, false);
            site.store
                .store
                .put("servers", &format!("{service}-{flood:?}"), &entry);
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        let mut open = JoinSet::new();
        for number in 0..48 {
            let kind = [Kind::Read, Kind::Draft, Kind::Chat][number % 3];
            let ask = site.ask(kind, &format!("{flood:?}-{number}"));
            let callers = gateway.ports.callers;
            open.spawn(async move { (send(callers, &ask).await, ask.id) });
        }
        while let Some(ended) = open.join_next().await {
            let (seen, id) = ended.expect("a caller");
            let served = matches!(seen, Outcome::Served { .. });
            // The caller gives up one second after its deadline.
            let unanswered = matches!(&seen, Outcome::Broken(why) if why.contains("deadline"));
            let log = || gateway.log_lines("request", &id);
            assert!(!served && !unanswered, "{id}: {seen:?}, {:#?}", log());
        }
        for service in [ENGINES, LEDGER] {
            let id = format!("{service}-{flood:?}");
            site.store.store.remove("servers", &id);
        }
        let until = Instant::now() + READY_TIMEOUT;
        while upstream.open() > 0 {
            assert!(
                Instant::now() < until,
                "{flood:?}: connections are still open"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let peak = peak_memory(gateway.id()).expect("a running process");
        assert!(peak <= SMALLEST_VM_MEMORY, "{flood:?}: {peak} bytes");
    }
    site.register(&site.ledgers[0], LEDGER, false);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let seen = send(gateway.ports.callers, &site.ask(Kind::Read, "after")).await;
    assert!(matches!(seen, Outcome::Served { .. }), "{seen:?}");
}
