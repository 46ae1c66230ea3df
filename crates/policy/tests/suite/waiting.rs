//! Tests of the order in which requests that wait for tokens get them.

use std::time::Duration;

use fescue_core::Tokens;
use fescue_policy::escrow::waiting::{Need, Waiting};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn need(tokens: u64, rank: u8, target: u64) -> Need {
    Need {
        tokens: Tokens::new(tokens),
        rank,
        target: millis(target),
        end: millis(target + 900),
    }
}

fn order(waiting: &mut Waiting<&'static str>, now: u64) -> Vec<&'static str> {
    std::iter::from_fn(|| waiting.pop(millis(now))).collect()
}

#[test]
fn pop_urgent_first_then_by_arrival() {
    let mut waiting = Waiting::default();
    waiting.push(need(1, 2, 500), "bulk");
    waiting.push(need(1, 0, 500), "urgent");
    waiting.push(need(1, 2, 400), "bulk, later");
    waiting.push(need(1, 0, 400), "urgent, later");
    let expected = ["urgent", "urgent, later", "bulk", "bulk, later"];
    assert_eq!(order(&mut waiting, 100), expected);
}

/// The store is away for two seconds, and requests pile up. Once tokens flow again at the usual rate, those
/// that are late already must not make all later ones late.
#[test]
fn pop_after_an_outage_serves_first_who_can_still_be_in_time() {
    let mut waiting = Waiting::default();
    for _ in 0..3 {
        waiting.push(need(1, 0, 500), "late");
    }
    waiting.push(need(1, 1, 2300), "in time");
    waiting.push(need(1, 0, 2400), "in time, urgent");
    let expected = ["in time, urgent", "in time", "late", "late", "late"];
    assert_eq!(order(&mut waiting, 2000), expected);
}

/// A steady flow of requests that each could be late by the time of their turn: none waits for ever, since
/// those that are late still go by arrival.
#[test]
fn pop_late_ones_by_urgency_and_arrival() {
    let mut waiting = Waiting::default();
    waiting.push(need(1, 1, 100), "first");
    waiting.push(need(1, 1, 90), "second");
    waiting.push(need(1, 0, 80), "urgent");
    assert_eq!(order(&mut waiting, 1000), ["urgent", "first", "second"]);
}

#[test]
fn total_follows_what_waits() {
    let mut waiting = Waiting::default();
    let first = waiting.push(need(10, 0, 100), "first");
    waiting.push(need(20, 0, 500), "second");
    waiting.push(need(40, 1, 500), "third");
    assert_eq!(waiting.total(), Tokens::new(70));
    // Its place has changed since it was pushed.
    assert_eq!(
        waiting.first(millis(200)).map(|need| need.tokens),
        Some(Tokens::new(20))
    );
    assert_eq!(waiting.remove(first), Some("first"));
    assert_eq!(waiting.remove(first), None);
    assert_eq!(waiting.extract(|need, _| need.tokens.get() > 30), ["third"]);
    assert_eq!(waiting.total(), Tokens::new(20));
    assert_eq!(waiting.len(), 1);
}
