//! Streams that upstreams break in the middle of an event.

use super::{Fleet, MAX_ATTEMPTS, MIN_STREAMS, assert_none_joined};

/// The number of streams at a time, and of such batches.
const BATCH: usize = 40;
const BATCHES: usize = 5;

/// Guards against streams that go on at any upstream of their service after a break, within one response or
/// when the caller resumes them.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_joins_no_versions_when_streams_break() {
    let mut fleet = Fleet::with_two_versions("breaks", 2).await;
    fleet.set_cuts(25);
    let mut streams = Vec::new();
    for batch in 0..BATCHES {
        let started = (0..BATCH).map(|_| fleet.stream(super::EVENTS));
        let started = started.collect();
        let routers = [batch % 2, (batch + 1) % 2];
        streams.extend(fleet.resume(started, &routers, MAX_ATTEMPTS).await);
    }
    let cuts = fleet.site.record.lock().cuts.clone();
    let is_cut = |id: &String| cuts.contains_key(id);
    let cut = streams.iter().filter(|stream| {
        let mut attempts = stream.attempts.iter();
        attempts.any(|attempt| is_cut(&attempt.id))
    });
    let cut: Vec<_> = cut.collect();
    let whole = cut.iter().filter(|stream| stream.is_complete()).count();
    println!("{whole} of {} cut streams are complete", cut.len());
    assert_none_joined(&streams);
    assert!(cut.len() >= MIN_STREAMS, "only {} cut streams", cut.len());
    assert!(whole * 10 >= cut.len() * 9, "{whole} of {}", cut.len());
}

/// Guards against a stream that goes on at another version, or waits, when its upstream breaks it and no other
/// one has its version.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_breaks_a_stream_off_without_its_version() {
    let engines = [("o-0", "v1"), ("n-0", "v2"), ("m-0", "v3")];
    let mut fleet = Fleet::open("alone", 1, &engines).await;
    fleet.set_cuts(100);
    let streams: Vec<_> = (0..BATCH).map(|_| fleet.stream(super::EVENTS)).collect();
    let streams = fleet.resume(streams, &[0], 1).await;
    assert_none_joined(&streams);
    for stream in &streams {
        let first = &stream.attempts[0];
        // The upstream breaks the stream off after half of its events, about 0.25 s.
        assert!(first.length.as_millis() < 1_500, "{first:?}");
        assert_eq!(first.events, super::EVENTS / 2, "{first:?}");
    }
}
