//! Entries of upstreams that name no version that can be read.

use fescue_site::resuming::{Ending, Stream};
use serde_json::{Value, json};

use super::{
    EVENTS, Fleet, MAX_ATTEMPTS, PROPAGATION, assert_continued, assert_none_joined, assert_refused,
};

/// The number of streams for each kind of entry.
const STREAMS: usize = 8;

/// Values of the version that name none; an entry whose version is an object names no upstream to use.
fn unreadable() -> [Value; 4] {
    [Value::Null, json!(""), json!("x".repeat(5_000)), json!(7)]
}

/// Guards against streams that go on between upstreams that name no version, as if they had the same one, and
/// against upstreams that get no requests for that reason.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_resumes_nothing_without_a_version() {
    let engines = [("a-0", "one"), ("b-0", "two"), ("c-0", "three")];
    let mut fleet = Fleet::open("no-version", 1, &engines).await;
    for version in unreadable() {
        fleet.set_cuts(0);
        for engine in &fleet.engines {
            fleet.register(engine, &json!({ "version": version }));
        }
        tokio::time::sleep(PROPAGATION).await;
        let served: Vec<_> = (0..STREAMS).map(|_| fleet.stream(EVENTS)).collect();
        let served = fleet.resume(served, &[0], MAX_ATTEMPTS).await;
        assert_none_joined(&served);
        let whole = |stream: &Stream| stream.attempts[0].ending == Ending::Complete;
        assert!(served.iter().all(whole), "{version}: {served:#?}");
        let left = fleet.begin(0, STREAMS).await;
        let left = fleet.resume(left, &[0], 1).await;
        assert_none_joined(&left);
        left.iter().for_each(assert_refused);
        fleet.set_cuts(100);
        let cut: Vec<_> = (0..STREAMS).map(|_| fleet.stream(EVENTS)).collect();
        let cut = fleet.resume(cut, &[0], 1).await;
        assert_none_joined(&cut);
        let broken = |stream: &Stream| stream.events() == EVENTS / 2;
        assert!(cut.iter().all(broken), "{version}: {cut:#?}");
    }
}

/// Guards against a missing or unreadable version that counts as one: a stream that began at a readable one goes on at
/// an upstream without, or the other way round.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_resumes_nothing_where_the_version_is_unreadable() {
    let mut fleet = Fleet::open("half", 1, &[("a-0", "v1"), ("b-0", "two")]).await;
    for version in unreadable() {
        fleet.register(&fleet.engines[1], &json!({ "version": version }));
        tokio::time::sleep(PROPAGATION).await;
        let streams = fleet.begin(0, 3 * STREAMS).await;
        fleet.set_cuts(0);
        let (mut named, unnamed): (Vec<_>, Vec<_>) = streams
            .into_iter()
            .partition(|stream| stream.version() == Some("v1"));
        assert!(!named.is_empty() && !unnamed.is_empty(), "{version}");
        let unnamed = fleet.resume(unnamed, &[0], 1).await;
        assert_none_joined(&unnamed);
        unnamed.iter().for_each(assert_refused);
        named = fleet.resume(named, &[0], MAX_ATTEMPTS).await;
        assert_none_joined(&named);
        assert!(
            named.iter().all(Stream::is_complete),
            "{version}: {named:#?}"
        );
    }
}

/// Guards against versions that are texts but count as unreadable, so that no stream of theirs goes on.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_resumes_streams_of_any_text_version() {
    let mut fleet = Fleet::open("texts", 1, &[("a-0", "one"), ("b-0", "one")]).await;
    for version in ["2.1 (build 7)", "v1-\u{fc}", "1.0+git.abc/def"] {
        for engine in &fleet.engines {
            fleet.register(engine, &json!({ "version": version }));
        }
        tokio::time::sleep(PROPAGATION).await;
        let streams = fleet.begin(0, 2 * STREAMS).await;
        let streams = fleet.resume(streams, &[0], MAX_ATTEMPTS).await;
        println!("version {version}");
        assert_continued(&streams);
    }
}
