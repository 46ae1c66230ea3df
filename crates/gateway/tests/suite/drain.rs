//! What a stopping process assumes of the balancers that check it.

use std::net::IpAddr;
use std::time::Duration;

use fescue_gateway::drain::Drain;
use fescue_gateway::model::{Route, RouteKind};
use fescue_policy::lifetime::Removal;
use tokio::time::{Instant, advance};

use super::site::route;

const GRACE: Duration = Duration::from_secs(8);

/// When no more request is taken, after the start of a stop.
const END: Duration = Duration::from_millis(7100);

/// The time after the signal at which a busy process handles it.
const LATENESS: Duration = Duration::from_millis(150);

fn checker(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

/// Returns a process that the given balancers have checked each second, and that is told to stop now.
async fn stopping(checkers: u8) -> Drain {
    let drain = Drain::default();
    for _ in 0..5 {
        advance(Duration::from_secs(1)).await;
        (0..checkers).for_each(|number| drain.record_check(checker(number), false));
    }
    let now = Instant::now();
    drain.start(GRACE, now + Duration::from_secs(7), now + GRACE);
    drain
}

#[tokio::test(start_paused = true)]
async fn removal_after_three_failed_checks() {
    let drain = stopping(1).await;
    for _ in 0..2 {
        advance(Duration::from_millis(900)).await;
        drain.record_check(checker(0), true);
        assert_eq!(drain.removal(), Removal::Pending);
    }
    drain.record_check(checker(0), true);
    assert_eq!(drain.removal(), Removal::Assumed);
}

/// Guards against an exit before the balancers know: several checked once each, and no one of them had
/// seen more than one failure.
#[tokio::test(start_paused = true)]
async fn removal_counts_each_balancer_by_itself() {
    let drain = stopping(8).await;
    (0..8).for_each(|number| drain.record_check(checker(number), true));
    assert_eq!(drain.removal(), Removal::Pending);
    assert_eq!(drain.is_removed(), Some(false));
}

/// Guards against requests that are still taken lightly long after the signal because nobody checks often.
#[tokio::test(start_paused = true)]
async fn removal_is_assumed_after_a_part_of_the_grace_period() {
    let drain = stopping(0).await;
    assert_eq!(drain.is_removed(), None, "nobody checks");
    advance(GRACE.mul_f64(0.375)).await;
    assert_eq!(drain.removal(), Removal::Assumed);
}

/// A balancer that has stopped checking holds up no exit.
#[tokio::test(start_paused = true)]
async fn removal_expects_no_check_of_a_lost_balancer() {
    let drain = stopping(1).await;
    assert_eq!(drain.is_removed(), Some(false));
    advance(Duration::from_millis(3100)).await;
    assert_eq!(drain.is_removed(), None);
}

/// A router that is crowded fails checks before its stop. They count for nothing then: its callers keep
/// their connections, and must be told first.
#[tokio::test(start_paused = true)]
async fn removal_ignores_failed_checks_before_the_signal() {
    let drain = Drain::default();
    for _ in 0..5 {
        advance(Duration::from_secs(1)).await;
        drain.record_check(checker(0), true);
    }
    let now = Instant::now();
    drain.start(GRACE, now + END, now + GRACE);
    assert_eq!(drain.removal(), Removal::Pending);
    assert_eq!(drain.is_removed(), Some(false));
}

/// Guards against a process that handles its signal late and takes a stream that it must cut, at a time at
/// which nothing more should reach it.
#[tokio::test(start_paused = true)]
async fn removal_is_assumed_in_time_after_a_late_signal() {
    let drain = stopping(0).await;
    advance(GRACE.mul_f64(0.375) - LATENESS).await;
    assert_eq!(drain.removal(), Removal::Assumed);
}

/// Returns a stopping process that has long served short requests of a route, and that the balancer has left.
async fn experienced(route: &Route) -> Drain {
    let drain = Drain::default();
    for _ in 0..200 {
        advance(Duration::from_millis(200)).await;
        drain.record_length(route, Duration::from_millis(60), false);
    }
    let now = Instant::now();
    drain.start(GRACE, now + END, now + GRACE);
    advance(GRACE.mul_f64(0.375)).await;
    drain
}

/// Guards against streams that are cut at the exit because their upstream paused, or became slow, after the
/// signal: the ones before had been short.
#[tokio::test(start_paused = true)]
async fn may_start_after_removal_needs_the_deadline() {
    for (kind, resumable) in [
        (RouteKind::NonIdempotent, false),
        (RouteKind::Streaming, false),
        (RouteKind::Streaming, true),
    ] {
        let mut route = route("yard", "yard.example", "/", &[("plain", 1)]);
        (route.kind, route.resumable) = (kind, resumable);
        let drain = experienced(&route).await;
        let end = Instant::now() + drain.time_left().expect("a stop");
        assert!(drain.may_start(&route, end), "{kind:?} {resumable}");
        let late = end + Duration::from_millis(1);
        assert!(!drain.may_start(&route, late), "{kind:?} {resumable}");
    }
}

/// A call that may be repeated is answered at the exit, and its caller can send it again.
#[tokio::test(start_paused = true)]
async fn may_start_after_removal_trusts_the_lengths_of_repeatable_calls() {
    let route = route("yard", "yard.example", "/", &[("plain", 1)]);
    let drain = experienced(&route).await;
    let left = drain.time_left().expect("a stop");
    let deadline = Instant::now() + left + Duration::from_secs(1);
    assert!(drain.may_start(&route, deadline));
    advance(left - Duration::from_millis(119)).await;
    assert!(!drain.may_start(&route, deadline), "twice the longest");
}

/// Guards against streams of a route that the process has just begun to serve, or that another router began:
/// it knows no lengths of them.
#[tokio::test(start_paused = true)]
async fn may_start_without_lengths() {
    let mut route = route("yard", "yard.example", "/", &[("plain", 1)]);
    (route.kind, route.resumable) = (RouteKind::Streaming, true);
    let drain = stopping(1).await;
    let deadline = Instant::now() + Duration::from_secs(12);
    assert!(drain.may_start(&route, deadline), "the balancer may send");
    advance(GRACE.mul_f64(0.375)).await;
    assert!(!drain.may_start(&route, deadline));
}
