//! A router that stands still while upstreams of a new version join, and at which streams are then taken up
//! that began there through another router.

use std::time::Duration;

use rustix::process::Signal;

use super::{Fleet, MAX_ATTEMPTS, PROPAGATION, assert_continued, assert_none_joined};

/// The number of streams that are taken up at a time.
const STREAMS: usize = 24;

/// The time for which the router stands still, longer than heartbeats are apart.
const STANDSTILL: Duration = Duration::from_secs(4);

/// The time after which a router that stood still knows what the store says.
const CAUGHT_UP: Duration = Duration::from_secs(3);

/// Guards against versions that the router knows from before it stood still: what it is asked first is
/// answered from them.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_joins_nothing_after_standing_still_at_a_release() {
    let old = ["o-0", "o-1", "o-2", "o-3"].map(|id| (id, "v1"));
    let mut fleet = Fleet::open("out-of-step", 2, &old).await;
    fleet.gateways[1].signal(Signal::STOP);
    for id in ["n-0", "n-1", "n-2", "n-3"] {
        fleet.add(id, "v2").await;
    }
    tokio::time::sleep(PROPAGATION).await;
    let first = fleet.begin(0, STREAMS).await;
    let later = fleet.begin(0, STREAMS).await;
    // Half of each version is gone when the streams are taken up.
    fleet.retire_half().await;
    tokio::time::sleep(STANDSTILL).await;
    fleet.gateways[1].signal(Signal::CONT);
    let first = fleet.resume(first, &[1], MAX_ATTEMPTS).await;
    assert_none_joined(&first);
    tokio::time::sleep(CAUGHT_UP).await;
    let later = fleet.resume(later, &[1], MAX_ATTEMPTS).await;
    assert_continued(&later);
    let began_at = |version: &str| later.iter().any(|stream| stream.version() == Some(version));
    assert!(began_at("v1") && began_at("v2"), "{later:?}");
}
