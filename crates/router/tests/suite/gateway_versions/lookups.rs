//! Streams that can't go on: their beginning is unknown, or no upstream of their version is left.

use fescue_site::caller::{Kind, RequestSpec};
use fescue_site::manifest::Team;
use fescue_site::resuming::{Ending, Stream};
use http::HeaderValue;

use super::{
    DEADLINE, EVENTS, Fleet, LEAVE_AFTER, PROPAGATION, assert_none_joined, assert_refused,
};

/// The number of streams of a test.
const STREAMS: usize = 24;

/// Splits streams into those that a version began and the others.
fn split(streams: Vec<Stream>, version: &str) -> (Vec<Stream>, Vec<Stream>) {
    let parts: (Vec<_>, Vec<_>) = streams
        .into_iter()
        .partition(|stream| stream.version() == Some(version));
    assert!(!parts.0.is_empty() && !parts.1.is_empty(), "both versions");
    parts
}

/// Resumes streams of two versions of which the first has no upstream left, at the router that began them and
/// at another one.
async fn resume_without(fleet: &Fleet, streams: Vec<Stream>, version: &str) {
    let (gone, left) = split(streams, version);
    let gone = fleet.resume(gone, &[0, 1], 1).await;
    let left = fleet.resume(left, &[1, 0], 1).await;
    assert_none_joined(&gone);
    assert_none_joined(&left);
    gone.iter().for_each(assert_refused);
    assert!(left.iter().all(Stream::is_complete), "{left:#?}");
}

/// Guards against streams that go on at another version, or wait for their deadline, when all upstreams of
/// their version have left.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_refuses_streams_whose_version_left() {
    let mut fleet = Fleet::with_two_versions("version-left", 2).await;
    let streams = fleet.begin(0, STREAMS).await;
    for engine in fleet.engines.iter().filter(|e| e.version == "v1") {
        fleet.site.store.store.remove("servers", &engine.id);
        engine.kill();
    }
    tokio::time::sleep(PROPAGATION).await;
    resume_without(&fleet, streams, "v1").await;
}

/// Guards against streams that go on at another version, or wait for their deadline, when all upstreams of
/// their version have crashed and are still listed.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_refuses_streams_whose_version_crashed() {
    let mut fleet = Fleet::with_two_versions("version-crashed", 2).await;
    let streams = fleet.begin(0, STREAMS).await;
    for engine in fleet.engines.iter().filter(|e| e.version == "v1") {
        engine.kill();
    }
    resume_without(&fleet, streams, "v1").await;
}

/// Begins a stream of another team and returns its id.
async fn begin_of_another_team(fleet: &mut Fleet) -> String {
    let team = Team::new("mill", 1_000_000);
    let teams = [fleet.site.team.clone(), team.clone()];
    fleet.publish(&teams, |_| {});
    tokio::time::sleep(PROPAGATION).await;
    let mut spec = RequestSpec::new(Kind::Chat, &team, "of-mill");
    (spec.events, spec.deadline) = (EVENTS, DEADLINE);
    let mut stream = Stream::new(spec);
    let ending = stream.attempt(fleet.callers(0), LEAVE_AFTER).await;
    assert_eq!(ending, Ending::Left, "{stream:?}");
    stream.id().to_owned()
}

/// Guards against a version that is guessed for a stream whose beginning is unknown, against teams that use what
/// is known of others' streams, and against ids of any length or content that stop the router.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_refuses_streams_of_unknown_beginning() {
    let mut fleet = Fleet::with_two_versions("unknown", 2).await;
    let other = begin_of_another_team(&mut fleet).await;
    let text = |text: &str| vec![HeaderValue::from_str(text).expect("a header value")];
    let names = [
        Vec::new(),
        text(""),
        text("nobody"),
        text(&other),
        text(&"x".repeat(6_000)),
        text("a/b c\"{}%00"),
        vec![HeaderValue::from_bytes(b"\xff\xfe\x80").expect("a header value")],
        vec![HeaderValue::from_static("a"), HeaderValue::from_static("b")],
    ];
    let streams = fleet.begin(0, 2 * names.len()).await;
    let mut refused = Vec::new();
    for (number, mut stream) in streams.into_iter().enumerate() {
        let name = names[number / 2].clone();
        stream
            .attempt_as(fleet.callers(number % 2), u64::MAX, name)
            .await;
        refused.push(stream);
    }
    assert_none_joined(&refused);
    refused.iter().for_each(assert_refused);
    // The same streams go on when they are named.
    let streams = fleet.resume(refused, &[0, 1], 2).await;
    assert_none_joined(&streams);
    assert!(streams.iter().all(Stream::is_complete), "{streams:#?}");
}
