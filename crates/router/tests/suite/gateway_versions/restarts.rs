//! Upstreams that are replaced at their addresses, and a store that comes back from an older copy.

use std::time::Duration;

use fescue_site::resuming::Stream;
use serde_json::json;

use super::{
    Fleet, MAX_ATTEMPTS, PROPAGATION, assert_continued, assert_none_joined, assert_refused, each,
};

/// The number of streams of a test.
const STREAMS: usize = 16;

/// The number of events of a stream that runs while its upstream ends, about 1.3 s.
const LONG: u64 = 150;

/// The time for which nothing listens on the address of an upstream that starts anew.
const DOWN_TIME: Duration = Duration::from_secs(1);

/// The time after which an upstream that started anew under its id is listed again.
const LISTED_AFTER: Duration = Duration::from_millis(1500);

/// Replaces an engine at its address and lists the new one, under the same id or another one.
async fn release(fleet: &mut Fleet, index: usize, id: &str, version: &str) {
    let old = fleet.engines[index].id.clone();
    fleet.replace(index, id, version).await;
    if old != id {
        fleet.site.store.store.remove("servers", &old);
    }
    fleet.register(&fleet.engines[index], &json!({}));
    tokio::time::sleep(PROPAGATION).await;
}

/// Guards against a stream that goes on at an address, or an id, that now belongs to another version.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_resumes_nothing_at_another_version_of_an_address() {
    for (name, id) in [("same-id", "e-0"), ("new-id", "e-1")] {
        let mut fleet = Fleet::open(name, 2, &[("e-0", "v1")]).await;
        let streams = fleet.begin(0, STREAMS).await;
        release(&mut fleet, 0, id, "v2").await;
        let streams = fleet.resume(streams, &[0, 1], 1).await;
        assert_none_joined(&streams);
        streams.iter().for_each(assert_refused);
    }
}

/// Guards against streams that are given up although the next process at the address has their version.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_resumes_streams_at_a_restarted_upstream() {
    for (name, id) in [("same-again", "e-0"), ("new-again", "e-1")] {
        let mut fleet = Fleet::open(name, 2, &[("e-0", "v1")]).await;
        let streams = fleet.begin(0, STREAMS).await;
        release(&mut fleet, 0, id, "v1").await;
        let streams = fleet.resume(streams, &[0, 1], MAX_ATTEMPTS).await;
        assert_continued(&streams);
    }
}

/// Ends both engines with all their streams and starts the other version under their ids, which isn't listed.
async fn restart_all(fleet: &mut Fleet) {
    for engine in &fleet.engines {
        engine.kill();
    }
    tokio::time::sleep(DOWN_TIME).await;
    for (index, id) in [(0, "e-0"), (1, "e-1")] {
        fleet.replace(index, id, "v2").await;
    }
}

/// Guards against a version that is read from an entry whose process has ended: another version runs under the
/// same ids before it is listed.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_joins_nothing_before_a_restart_is_listed() {
    let mut fleet = Fleet::open("unlisted", 1, &[("e-0", "v1"), ("e-1", "v1")]).await;
    let running = fleet.start(&[0], 3 * STREAMS, LONG);
    tokio::time::sleep(Duration::from_millis(500)).await;
    restart_all(&mut fleet).await;
    let streams = running.join_all().await;
    let streams = fleet.resume(streams, &[0], 4).await;
    // These begin at the new processes, which the list still calls the old ones.
    let address = fleet.callers(0);
    let started: Vec<_> = (0..2 * STREAMS)
        .map(|_| fleet.stream(super::EVENTS))
        .collect();
    let started = each(started, async move |stream| {
        stream.attempt(address, super::LEAVE_AFTER).await;
    })
    .await;
    tokio::time::sleep(LISTED_AFTER).await;
    fleet.register(&fleet.engines[0], &json!({}));
    fleet.site.store.store.remove("servers", "e-1");
    fleet.add("e-3", "v1").await;
    tokio::time::sleep(PROPAGATION).await;
    let streams = streams.into_iter().chain(started).collect();
    let streams = fleet.resume(unfinished(streams), &[0], MAX_ATTEMPTS).await;
    assert_none_joined(&streams);
}

/// Guards against a restart that only the router knows whose streams it broke: they are resumed at another one,
/// which had nothing at the upstream, before the new process is listed.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_joins_nothing_after_a_restart_another_router_saw() {
    let mut fleet = Fleet::open("unseen", 2, &[("e-0", "v1"), ("e-1", "v1")]).await;
    let running = fleet.start(&[0], 2 * STREAMS, LONG);
    tokio::time::sleep(Duration::from_millis(500)).await;
    restart_all(&mut fleet).await;
    let streams = running.join_all().await;
    let streams = fleet.resume(streams, &[1], 4).await;
    assert_none_joined(&streams);
}

/// Checks the streams that are complete, and returns the others.
fn unfinished(streams: Vec<Stream>) -> Vec<Stream> {
    let (complete, others): (Vec<_>, Vec<_>) = streams.into_iter().partition(Stream::is_complete);
    assert_none_joined(&complete);
    others
}

/// Guards against what an older copy of the store says of versions: all routers start anew from one in which the
/// streams had not begun.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_joins_nothing_when_the_store_lost_the_beginnings() {
    let mut fleet = Fleet::with_two_versions("lost-rows", 2).await;
    let copy = fleet.site.store.store.copy();
    let streams = fleet.begin(0, 2 * STREAMS).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.kill(&[0, 1]).await;
    let undone = fleet.site.store.store.restore(copy);
    fleet.site.store.store.rewrite(undone);
    fleet.retire_half().await;
    fleet.restart(0);
    fleet.restart(1);
    fleet.await_ready().await;
    let streams = fleet.resume(streams, &[0, 1], MAX_ATTEMPTS).await;
    assert_none_joined(&streams);
}

/// Guards against an older copy of the store that lists an upstream's former version: streams of before and of
/// after its release are resumed while the copy stands and when it has been corrected.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_joins_nothing_while_the_store_lists_an_old_version() {
    let engines = [("e-0", "v1"), ("e-1", "v1"), ("e-2", "v2")];
    let mut fleet = Fleet::open("old-entry", 2, &engines).await;
    let copy = fleet.site.store.store.copy();
    let mut streams = fleet.begin(0, 2 * STREAMS).await;
    release(&mut fleet, 0, "e-0", "v2").await;
    streams.extend(fleet.begin(1, 2 * STREAMS).await);
    let undone = fleet.site.store.store.restore(copy);
    tokio::time::sleep(PROPAGATION).await;
    streams.extend(fleet.begin(0, 2 * STREAMS).await);
    let streams = fleet.resume(streams, &[0, 1], 1).await;
    fleet.site.store.store.rewrite(undone);
    tokio::time::sleep(PROPAGATION).await;
    let streams = unfinished(streams);
    let streams = fleet.resume(streams, &[0, 1], MAX_ATTEMPTS).await;
    assert_none_joined(&streams);
}
