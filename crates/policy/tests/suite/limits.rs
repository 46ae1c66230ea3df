//! Tests for limits without coordination, circuit breakers and retries.

use std::time::Duration;

use fescue_policy::limit::{Breaker, Limit, Occupancy};
use fescue_policy::retry::{Failure, RetryBudget, may_retry};

#[test]
fn allows_own_share_and_idle_slots() {
    let limit = Limit::open(16, 4);
    let full = Occupancy {
        reported: 16,
        ..Occupancy::default()
    };
    assert!(
        limit.allows(3, &full),
        "a router's own share is always allowed"
    );
    assert!(!limit.allows(4, &full));
    let idle = Occupancy {
        reported: 4,
        sent: 6,
        ended: 0,
    };
    assert!(limit.allows(10, &idle), "ten of sixteen slots are in use");
    let sent = Occupancy { sent: 12, ..idle };
    assert!(
        !limit.allows(16, &sent),
        "requests sent since the report count"
    );
}

#[test]
fn allows_only_own_share_once_reported_full() {
    // Eight routers have the same report of an idle upstream, and see each other's requests only in
    // the next report, five seconds later.
    let limit = Limit::open(64, 8);
    let mut occupancy = Occupancy::default();
    let mut own = 0;
    while limit.allows(own, &occupancy) && own < 64 {
        own += 1;
        occupancy.sent += 1;
    }
    assert_eq!(own, 64, "one router alone may use all idle slots");
    let full = Occupancy {
        reported: 64,
        ..Occupancy::default()
    };
    assert!(
        !limit.allows(8, &full),
        "after the next report each router is limited to its share"
    );
}

#[test]
fn record_failures_lower_the_limit_and_answers_restore_it() {
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
fn breaker_opens_and_allows_one_probe() {
    let mut breaker = Breaker::default();
    let second = Duration::from_secs;
    for _ in 0..3 {
        breaker.record(second(1), false);
    }
    assert!(!breaker.allows(second(2)));
    assert!(breaker.allows(second(4)));
    breaker.start();
    assert!(!breaker.allows(second(4)), "only one probe is allowed");
    breaker.record(second(5), true);
    assert!(breaker.allows(second(5)));
}

#[test]
fn spend_fails_once_the_budget_is_used_up() {
    let mut budget = RetryBudget::default();
    let spent = (0..100).filter(|_| budget.spend()).count();
    assert_eq!(spent, 10);
    (0..9).for_each(|_| budget.earn());
    assert!(!budget.spend());
    (0..2).for_each(|_| budget.earn());
    assert!(budget.spend());
}

#[test]
fn may_retry_without_repeat_only_if_proved_not_run() {
    use Failure::{Broke, Declined, MidAnswer, NotSent, TimedOut};
    for failure in [NotSent, Declined, Broke, MidAnswer, TimedOut] {
        let again = may_retry(failure, false, true);
        assert_eq!(again, failure.proves_not_run(), "{failure:?}");
    }
}
