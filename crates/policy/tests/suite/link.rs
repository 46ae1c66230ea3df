//! Tests for load shedding by a router whose link is nearly full.

use std::time::Duration;

use fescue_policy::link::LinkMonitor;

/// The capacity in bytes per second of a 10 Mbit/s link.
const SMALL: f64 = 1_250_000.0;

#[test]
fn observe_stays_busy_until_calm_for_thirty_seconds() {
    let mut monitor = LinkMonitor::open(SMALL);
    let second = Duration::from_secs(1);
    assert_eq!(monitor.observe(800_000, second), None);
    assert_eq!(monitor.observe(1_100_000, second), Some(true));
    assert!(monitor.is_busy());
    for _ in 0..29 {
        assert_eq!(monitor.observe(200_000, second), None);
    }
    assert_eq!(monitor.observe(700_000, second), None);
    for _ in 0..29 {
        assert_eq!(monitor.observe(200_000, second), None);
    }
    assert_eq!(monitor.observe(200_000, second), Some(false));
}

/// Callers offer 1.5 times what the link carries. Enough of them must be shed for the rest to fit, and
/// the rest must keep the router busy, or the load balancer would send the others back.
#[test]
fn should_shed_only_the_excess() {
    let mut monitor = LinkMonitor::open(SMALL);
    let mut callers = 60_u32;
    for step in 0..200_u32 {
        let offered = f64::from(callers) * SMALL / 40.0;
        let bytes = offered.min(SMALL) / 10.0;
        monitor.observe(bytes as u64, Duration::from_millis(100));
        // One of the callers gets an answer.
        let random = f64::from(step * 37 % 100) / 100.0;
        callers -= u32::from(monitor.should_shed(random));
    }
    assert!((18..=32).contains(&callers), "{callers} callers stay");
    assert!(monitor.is_busy());
}
