//! Streams whose routers are stopped or replaced on purpose.

use std::time::Duration;

use rustix::process::Signal;

use super::super::gateway_site::{EXIT_TIMEOUT, READY_TIMEOUT};
use super::{Fleet, MAX_ATTEMPTS, assert_continued};

/// The number of streams of a test.
const STREAMS: usize = 24;

/// The number of events of a stream that lasts longer than a router has to stop, about 12 s.
const LONG: u64 = 1400;

async fn stop(fleet: &Fleet, router: usize) {
    let gateway = &fleet.gateways[router];
    gateway.signal(Signal::TERM);
    let exit = gateway.await_exit(EXIT_TIMEOUT).await;
    assert!(exit.is_some_and(|exit| exit.success()), "{exit:?}");
}

/// Guards against versions that are lost with a planned stop: the streams outlast the router's grace period and
/// go on elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_resumes_streams_cut_by_a_stop() {
    let mut fleet = Fleet::with_two_versions("stop-cut", 3).await;
    let teams = [fleet.site.team.clone()];
    fleet.publish(&teams, |wire| {
        wire["routes"][0]["timeout_ms"] = 60_000.into()
    });
    tokio::time::sleep(super::PROPAGATION).await;
    let mut running = fleet.start(&[0], STREAMS, LONG);
    tokio::time::sleep(Duration::from_secs(1)).await;
    stop(&fleet, 0).await;
    let mut streams = Vec::new();
    while let Some(stream) = running.join_next().await {
        streams.push(stream.expect("a caller"));
    }
    fleet.retire_half().await;
    let streams = fleet.resume(streams, &[1, 2], MAX_ATTEMPTS).await;
    assert_continued(&streams);
}

/// Guards against versions that are lost when all routers are replaced one after the other, so that no process
/// is left that saw the streams begin.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_resumes_streams_after_a_rolling_replacement() {
    let mut fleet = Fleet::with_two_versions("rolling", 3).await;
    let mut streams = Vec::new();
    for router in 0..3 {
        streams.extend(fleet.begin(router, STREAMS / 3).await);
    }
    for router in 0..3 {
        stop(&fleet, router).await;
        fleet.restart(router);
        let gateway = &fleet.gateways[router];
        assert!(gateway.await_ready(READY_TIMEOUT).await);
    }
    fleet.retire_half().await;
    let streams = fleet.resume(streams, &[0, 1, 2], MAX_ATTEMPTS).await;
    assert_continued(&streams);
}
