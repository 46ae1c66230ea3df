//! When a router sends callers elsewhere, as its VM's link is nearly full.

use std::time::Duration;

use fescue_policy::link::LinkMonitor;

/// A link of 10 Mbit/s.
const SMALL: f64 = 1_250_000.0;

#[test]
fn observe_busy_until_the_link_was_calm_for_long() {
    let mut share = LinkMonitor::open(SMALL);
    let second = Duration::from_secs(1);
    assert_eq!(share.observe(800_000, second), None);
    assert_eq!(share.observe(1_100_000, second), Some(true));
    assert!(share.is_busy());
    for _ in 0..29 {
        assert_eq!(share.observe(200_000, second), None);
    }
    assert_eq!(share.observe(700_000, second), None);
    for _ in 0..29 {
        assert_eq!(share.observe(200_000, second), None);
    }
    assert_eq!(share.observe(200_000, second), Some(false));
}

/// Load: callers offer half more than a link carries. Enough of them are shed for the rest to fit,
/// and those that stay keep the router from being given the others back.
#[test]
fn sheds_what_the_link_cannot_carry_and_no_more() {
    let mut share = LinkMonitor::open(SMALL);
    let mut callers = 60_u32;
    for step in 0..200_u32 {
        let offered = f64::from(callers) * SMALL / 40.0;
        let bytes = offered.min(SMALL) / 10.0;
        share.observe(bytes as u64, Duration::from_millis(100));
        // One of the callers gets an answer.
        let random = f64::from(step * 37 % 100) / 100.0;
        callers -= u32::from(share.should_shed(random));
    }
    assert!((18..=32).contains(&callers), "{callers} callers stay");
    assert!(share.is_busy());
}
