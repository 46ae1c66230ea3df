//! Limits shared by routers that can't ask each other, circuits, retries.

use std::time::Duration;

use fescue_policy::limit::{Breaker, Limit, Occupancy};
use fescue_policy::retry::{Failure, RetryBudget, may_retry};

#[test]
fn part_is_always_allowed_and_idle_slots_too() {
    let limit = Limit::open(16, 4);
    let full = Occupancy {
        reported: 16,
        ..Occupancy::default()
    };
    assert!(limit.allows(3, &full), "its own part stays");
    assert!(!limit.allows(4, &full));
    let idle = Occupancy {
        reported: 4,
        sent: 6,
        ended: 0,
    };
    assert!(limit.allows(10, &idle), "ten of sixteen are taken");
    let sent = Occupancy { sent: 12, ..idle };
    assert!(
        !limit.allows(16, &sent),
        "what was sent since the report counts"
    );
}

#[test]
fn routers_with_old_reports_overshoot_by_little() {
    // Eight routers see the same report of an idle engine and can't see each other for five seconds.
    let limit = Limit::open(64, 8);
    let mut occupancy = Occupancy::default();
    let mut own = 0;
    while limit.allows(own, &occupancy) && own < 64 {
        own += 1;
        occupancy.sent += 1;
    }
    assert_eq!(own, 64, "one router alone may use all that is idle");
    let full = Occupancy {
        reported: 64,
        ..Occupancy::default()
    };
    assert!(
        !limit.allows(8, &full),
        "at the next report each is back to its part"
    );
}

#[test]
fn troubled_upstream_gets_less_and_recovers() {
    let mut limit = Limit::open(100, 1);
    for _ in 0..20 {
        limit.record(false);
    }
    assert!(limit.slots() <= 10 && limit.slots() >= 1);
    for _ in 0..100 {
        limit.record(true);
    }
    assert_eq!(limit.slots(), 100);
}

#[test]
fn circuit_opens_and_one_request_probes() {
    let mut breaker = Breaker::default();
    let second = Duration::from_secs;
    for _ in 0..3 {
        breaker.record(second(1), false);
    }
    assert!(!breaker.allows(second(2)));
    assert!(breaker.allows(second(4)));
    breaker.start();
    assert!(!breaker.allows(second(4)), "only one may try");
    breaker.record(second(5), true);
    assert!(breaker.allows(second(5)));
}

#[test]
fn retries_run_out() {
    let mut budget = RetryBudget::default();
    let spent = (0..100).filter(|_| budget.spend()).count();
    assert_eq!(spent, 10);
    (0..9).for_each(|_| budget.earn());
    assert!(!budget.spend());
    (0..2).for_each(|_| budget.earn());
    assert!(budget.spend());
}

#[test]
fn call_that_may_not_repeat_is_only_retried_on_proof() {
    use Failure::{Broke, Declined, MidAnswer, NotSent, TimedOut};
    for failure in [NotSent, Declined, Broke, MidAnswer, TimedOut] {
        let again = may_retry(failure, false, true);
        assert_eq!(again, failure.proves_not_run(), "{failure:?}");
    }
}
