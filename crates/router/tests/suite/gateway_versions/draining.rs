//! Streams that go on at upstreams which drain: these still serve for some time, and may be all that is left of
//! their version.

use std::time::Duration;

use fescue_site::caller::{Outcome, send};
use fescue_site::engine::{Faults, Upstream};
use fescue_site::resuming::{Ending, Stream};
use serde_json::json;
use tokio::time::{Instant, sleep};

use super::{Fleet, LEAVE_AFTER, MIN_STREAMS, assert_none_joined, assert_refused, each};

/// The engines of the version that is replaced, and of the next one.
const ENGINES: [(&str, &str); 4] = [("o-0", "v1"), ("o-1", "v1"), ("n-0", "v2"), ("n-1", "v2")];

/// The number of streams that begin, about half of them at each version.
const STREAMS: usize = 48;

/// A time within which streams go on, and one after which nothing may reach the engines: the settings of the
/// routers say 2 s.
const EARLY: Duration = Duration::from_millis(700);
const LATE: Duration = Duration::from_millis(2600);

/// How engines leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leaving {
    /// Their entries say that they drain.
    Draining,
    /// Their entries are removed.
    Removed,
}

/// Starts two routers, and streams at the first one; returns those of the version that is replaced.
async fn begin(name: &str) -> (Fleet, Vec<Stream>) {
    let mut fleet = Fleet::open(name, 2, &ENGINES).await;
    let mut streams = fleet.begin(0, STREAMS).await;
    streams.retain(|stream| stream.version() == Some("v1"));
    assert!(streams.len() >= MIN_STREAMS, "{} streams", streams.len());
    (fleet, streams)
}

fn is_replaced(engine: &Upstream) -> bool {
    engine.version == "v1"
}

/// Lets the engines of a version leave, which go on serving.
fn leave(fleet: &Fleet, how: Leaving) {
    for engine in fleet.engines.iter().filter(|engine| is_replaced(engine)) {
        match how {
            Leaving::Draining => fleet.register(engine, &json!({ "state": "draining" })),
            Leaving::Removed => fleet.site.store.store.remove("servers", &engine.id),
        }
    }
}

/// Returns how many requests reached the engines that leave since some time.
fn arrived(fleet: &Fleet, since: Instant) -> usize {
    let engines = fleet.engines.iter().filter(|engine| is_replaced(engine));
    let record = fleet.site.record.lock();
    let arrivals = engines.filter_map(|engine| record.arrivals.get(&engine.id));
    arrivals.flatten().filter(|at| **at >= since).count()
}

/// Takes streams up at both routers, half of them at each, with one attempt.
async fn take_up(fleet: &Fleet, streams: Vec<Stream>) -> Vec<Stream> {
    let addresses = fleet.all_callers(&[0, 1]);
    let half = streams.len() / 2;
    let mut first = streams;
    let second = first.split_off(half);
    let at = async |streams, address| {
        each(streams, async move |stream| {
            stream.attempt(address, u64::MAX).await;
        })
        .await
    };
    let (mut first, second) = tokio::join!(at(first, addresses[0]), at(second, addresses[1]));
    first.extend(second);
    first
}

/// Checks that streams go on at the engines that leave while these serve, and that no new request gets there.
async fn check_early(name: &str, how: Leaving) {
    let (fleet, streams) = begin(name).await;
    leave(&fleet, how);
    sleep(EARLY).await;
    let since = Instant::now();
    let streams = take_up(&fleet, streams).await;
    let on = streams.iter().filter(|stream| stream.went_on()).count();
    assert_none_joined(&streams);
    assert_eq!(on, streams.len(), "{streams:#?}");
    assert_eq!(arrived(&fleet, since), streams.len(), "one attempt each");
    for number in 0..STREAMS {
        let ask = fleet.site.ask(super::Kind::Chat, &format!("new-{number}"));
        let seen = send(fleet.callers(number % 2), &ask).await;
        assert!(matches!(seen, Outcome::Served { .. }), "{seen:?}");
    }
    assert_eq!(
        arrived(&fleet, since),
        streams.len(),
        "new streams go elsewhere"
    );
}

/// Checks that nothing reaches the engines that leave after their time, although they serve, and that callers are
/// refused at once and not asked to come back.
async fn check_late(name: &str, how: Leaving) {
    let (fleet, streams) = begin(name).await;
    leave(&fleet, how);
    sleep(LATE).await;
    let since = Instant::now();
    let streams = take_up(&fleet, streams).await;
    assert_eq!(arrived(&fleet, since), 0);
    for stream in &streams {
        assert_refused(stream);
        let last = stream.attempts.last().map(|attempt| &attempt.ending);
        let final_answer =
            matches!(last, Some(Ending::Refused { retry_after, .. }) if retry_after.is_none());
        assert!(final_answer, "{last:?}");
    }
}

/// Guards against streams that are refused although the upstreams of their version drain and serve.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_takes_streams_up_at_draining_upstreams() {
    check_early("drain-early", Leaving::Draining).await;
}

/// The same for upstreams that never say that they drain.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_takes_streams_up_at_removed_upstreams() {
    check_early("removed-early", Leaving::Removed).await;
}

/// Guards against requests that reach a draining upstream after its time.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_takes_no_stream_up_after_the_drain_time() {
    check_late("drain-late", Leaving::Draining).await;
}

/// The same for upstreams that never say that they drain.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_takes_no_stream_up_after_a_removal() {
    check_late("removed-late", Leaving::Removed).await;
}

/// Guards against a drain time that begins anew where a router learns late that an upstream drains: it has started
/// since, or its feed of changes was interrupted.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_takes_no_stream_up_where_the_drain_time_is_unknown() {
    let (mut fleet, streams) = begin("drain-unknown").await;
    let faults = fescue_site::store::Faults {
        busy: true,
        ..fescue_site::store::Faults::default()
    };
    fleet.site.store.store.set_faults(faults);
    leave(&fleet, Leaving::Draining);
    fleet.kill(&[0]).await;
    sleep(LATE).await;
    fleet
        .site
        .store
        .store
        .set_faults(fescue_site::store::Faults::default());
    fleet.restart(0);
    fleet.await_ready().await;
    let since = Instant::now();
    let streams = take_up(&fleet, streams).await;
    assert_eq!(arrived(&fleet, since), 0);
    streams.iter().for_each(assert_refused);
}

/// Guards against a stream that is cut although another upstream of its version drains and serves.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_resumes_a_stream_at_a_draining_upstream() {
    let mut fleet = Fleet::open("drain-within", 2, &ENGINES).await;
    let mut running = fleet.start(&[0], STREAMS / 2, 200);
    sleep(Duration::from_millis(300)).await;
    fleet.register(&fleet.engines[1], &json!({ "state": "draining" }));
    sleep(Duration::from_millis(300)).await;
    fleet.engines[0].kill();
    let mut streams = Vec::new();
    while let Some(stream) = running.join_next().await {
        streams.push(stream.expect("a caller"));
    }
    assert_none_joined(&streams);
    let whole = |stream: &&Stream| stream.attempts[0].ending == Ending::Complete;
    let broken = streams.iter().filter(|stream| !whole(stream));
    let broken: Vec<_> = broken.collect();
    assert!(broken.is_empty(), "{broken:#?}");
    let cut = fleet.gateways[0].log_lines("message", "stream resumed");
    assert!(!cut.is_empty(), "no stream ran at the engine that ended");
}

/// Guards against a stream that is refused where an upstream says in its answers that it leaves, and against one that
/// reaches it after its time.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_takes_streams_up_at_upstreams_that_say_they_leave() {
    let (mut fleet, streams) = begin("leaving-early").await;
    for engine in fleet.engines.iter().filter(|engine| is_replaced(engine)) {
        engine.set_faults(Faults {
            leaving: true,
            ..Faults::default()
        });
    }
    // Each router hears it from both engines.
    for router in [0, 1] {
        fleet.begin(router, STREAMS / 2).await;
    }
    let told = Instant::now();
    let (late, early) = streams
        .into_iter()
        .enumerate()
        .partition::<Vec<_>, _>(|(n, _)| n % 2 == 0);
    let early: Vec<_> = early.into_iter().map(|(_, stream)| stream).collect();
    let late: Vec<_> = late.into_iter().map(|(_, stream)| stream).collect();
    let early = take_up(&fleet, early).await;
    let on = early.iter().filter(|stream| stream.went_on()).count();
    assert_none_joined(&early);
    assert_eq!(on, early.len(), "{early:#?}");
    tokio::time::sleep_until(told + LATE).await;
    let since = Instant::now();
    let late = take_up(&fleet, late).await;
    assert_eq!(arrived(&fleet, since), 0);
    late.iter().for_each(assert_refused);
    assert!(late.iter().all(|stream| stream.events() == LEAVE_AFTER));
}
