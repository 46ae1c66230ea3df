//! Tests of the limits on callers' connections while the configuration changes.

use std::time::Duration;

use fescue_gateway::time_limits::{History, TimeLimits};
use tokio::time::{Instant, advance};

fn limits(seconds: u64) -> TimeLimits {
    TimeLimits {
        head: Duration::from_secs(seconds),
        idle: Duration::from_secs(seconds),
    }
}

/// A caller may still go by limits that were in force when it got its last response, and by any that came
/// and went since.
#[tokio::test(start_paused = true)]
async fn longest_since_counts_limits_that_were_in_force_meanwhile() {
    let mut history = History::default();
    let mut times = Vec::new();
    for seconds in [10, 4, 30, 2] {
        advance(Duration::from_secs(1)).await;
        history.record(Instant::now(), limits(seconds));
        times.push(Instant::now());
    }
    let half = Duration::from_millis(500);
    assert_eq!(history.longest_since(times[3] + half), limits(2));
    assert_eq!(history.longest_since(times[3]), limits(2));
    assert_eq!(history.longest_since(times[2] + half), limits(30));
    assert_eq!(history.longest_since(times[0] + half), limits(30));
}

#[tokio::test(start_paused = true)]
async fn longest_since_before_the_first_configuration_counts_the_usual_limits() {
    let mut history = History::default();
    let before = Instant::now();
    advance(Duration::from_secs(1)).await;
    history.record(Instant::now(), limits(3));
    assert_eq!(history.longest_since(before), TimeLimits::default());
    assert_eq!(history.longest_since(Instant::now()), limits(3));
}

/// A storm of changes must neither fill the memory nor shorten a limit that a caller may go by.
#[tokio::test(start_paused = true)]
async fn record_many_changes_forgets_no_longer_limit() {
    let mut history = History::default();
    history.record(Instant::now(), limits(60));
    let first = Instant::now();
    for change in 0..1000 {
        advance(Duration::from_millis(10)).await;
        history.record(Instant::now(), limits(2 + change % 3));
    }
    assert_eq!(history.longest_since(first), limits(60));
}
