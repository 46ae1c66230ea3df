//! Simulations of floods: their effect on priorities and teams against targets and baselines.

use std::time::Duration;

use fescue_core::Priority::{Bulk, Standard, Urgent};
use fescue_core::{Priority, TeamId, Tokens, Weight};
use fescue_policy::queue::{Queue, Shares, Ticket, Waiting};
use proptest::prelude::*;

use crate::load::{
    Arrival, Fifo, Order, PREFILL, Source, Strict, first_token, ours, served, simulate,
};

/// The slots of the pool: twenty engines with eight each.
const SLOTS: usize = 160;

/// The requests per second that saturate the pool, at 560 ms per request on average.
const CAPACITY: f64 = 285.0;

const SECONDS: f64 = 120.0;

/// The times in seconds at which a flood starts and ends.
const FLOOD: (f64, f64) = (20.0, 100.0);

fn normal() -> Vec<Source> {
    vec![
        Source::steady("yard", Urgent, CAPACITY * 0.2),
        Source::steady("desk", Standard, CAPACITY * 0.3),
        Source::steady("night", Bulk, CAPACITY * 0.1),
    ]
}

fn in_flood(request: &Arrival) -> bool {
    let arrived = request.arrived.as_secs_f64();
    (FLOOD.0 + 5.0..FLOOD.1).contains(&arrived)
}

fn urgent(request: &Arrival) -> bool {
    request.priority == Urgent && in_flood(request)
}

fn rate(requests: &[Arrival], pick: impl Fn(&Arrival) -> bool) -> f64 {
    let picked: Vec<_> = requests.iter().filter(|f| pick(f)).collect();
    let served = picked.iter().filter(|f| f.started.is_some()).count();
    served as f64 / picked.len() as f64
}

#[test]
fn queue_bulk_flood_keeps_urgent_latency() {
    let mut flooded = normal();
    flooded.push(Source::during("flood", Bulk, CAPACITY * 5.0, FLOOD));
    let calm = first_token(
        &simulate(&mut ours(), SLOTS, &normal(), SECONDS),
        0.95,
        urgent,
    );
    let requests = simulate(&mut ours(), SLOTS, &flooded, SECONDS);
    let through = first_token(&requests, 0.95, urgent);
    let fifo = simulate(&mut Fifo::default(), SLOTS, &flooded, SECONDS);
    let fifo = first_token(&fifo, 0.95, urgent);
    println!("urgent first token p95: calm {calm:?}, flood {through:?}, FIFO {fifo:?}");
    assert!(through <= calm.mul_f64(1.25), "{through:?} of {calm:?}");
    assert!(rate(&requests, urgent) >= 0.999);
    assert!(fifo > calm.mul_f64(1.25), "the baseline should lose");
}

/// Returns the fraction of the served tokens that a priority got during the flood.
fn share(requests: &[Arrival], priority: Priority) -> f64 {
    let started = |request: &Arrival| {
        let started = request.started.unwrap_or_default().as_secs_f64();
        (FLOOD.0 + 5.0..FLOOD.1).contains(&started)
    };
    let all = served(requests, started);
    let own = served(requests, |request| {
        started(request) && request.priority == priority
    });
    own as f64 / all as f64
}

#[test]
fn queue_urgent_flood_keeps_shares_of_others() {
    let sources = vec![
        Source::steady("desk", Standard, CAPACITY * 0.5),
        Source::steady("night", Bulk, CAPACITY * 0.5),
        Source::during("flood", Urgent, CAPACITY * 5.0, FLOOD),
    ];
    let requests = simulate(&mut ours(), SLOTS, &sources, SECONDS);
    let (standard, bulk) = (share(&requests, Standard), share(&requests, Bulk));
    let strict = simulate(&mut Strict::default(), SLOTS, &sources, SECONDS);
    let starved = share(&strict, Bulk);
    println!(
        "through an urgent flood: standard {standard:.3}, bulk {bulk:.3}, strict {starved:.3}"
    );
    assert!(standard >= 0.9 * 0.3, "{standard}");
    assert!(bulk >= 0.9 * 0.1, "{bulk}");
    assert!(starved < 0.9 * 0.1, "the baseline should lose");
}

/// Jain's fairness index of the ratios between served tokens and demand-capped fair shares.
fn jain(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|s| s * s).sum();
    sum * sum / (shares.len() as f64 * squares)
}

/// Simulates one team that sends twenty times as much as each of nine others; returns Jain's index and
/// the refusal rates of a small team and of the large one.
fn large_beside_small(order: &mut impl Order) -> (f64, f64, f64) {
    let small = CAPACITY * 0.06;
    let mut sources = vec![Source::steady("large", Standard, small * 20.0)];
    let names: Vec<_> = (0..9).map(|n| format!("small-{n}")).collect();
    sources.extend(names.iter().map(|n| Source::steady(n, Standard, small)));
    let requests = simulate(order, SLOTS, &sources, SECONDS);
    let of = |team: &TeamId| {
        let team = team.clone();
        move |request: &Arrival| request.team == team && in_flood(request)
    };
    let total = served(&requests, in_flood) as f64;
    let demand = |source: &Source| {
        let asked = requests.iter().filter(|f| of(&source.team)(f));
        asked.map(|request| request.tokens).sum::<u64>() as f64
    };
    // The small teams request less than a tenth each, so the large team's fair share is the rest.
    let smalls: f64 = sources[1..].iter().map(demand).sum();
    let fair = |index: usize| match index {
        0 => total - smalls,
        _ => demand(&sources[index]),
    };
    let got = |index: usize| served(&requests, of(&sources[index].team)) as f64 / fair(index);
    let shares: Vec<_> = (0..sources.len()).map(got).collect();
    let refused = |team: &TeamId| 1.0 - rate(&requests, of(team));
    (
        jain(&shares),
        refused(&sources[1].team),
        refused(&sources[0].team),
    )
}

#[test]
fn queue_is_fair_between_small_and_large_teams() {
    let (index, small, large) = large_beside_small(&mut ours());
    let (fifo, fifo_small, _) = large_beside_small(&mut Fifo::default());
    println!(
        "Jain {index:.4}, refused small {small:.4} large {large:.4}; FIFO {fifo:.4} {fifo_small:.4}"
    );
    assert!(index >= 0.98, "{index}");
    assert!(small <= large);
    assert!(fifo < index, "the baseline should lose");
}

#[test]
fn queue_overload_keeps_goodput() {
    for factor in [1.0, 2.0, 5.0, 10.0] {
        let sources = vec![Source::steady("desk", Standard, CAPACITY * factor)];
        let requests = simulate(&mut ours(), SLOTS, &sources, SECONDS);
        let in_time = |request: &Arrival| in_flood(request);
        let tokens = served(&requests, in_time) as f64;
        let span = FLOOD.1 - FLOOD.0 - 5.0;
        // A request takes the prefill time plus 10 ms per token, with 49.5 tokens on average.
        let busy = tokens / 49.5 * (PREFILL.as_secs_f64() + 0.495);
        let used = busy / (span * SLOTS as f64);
        println!("load x{factor}: {used:.3} of capacity");
        assert!(used >= 0.95 || factor <= 1.0, "{used} at x{factor}");
    }
}

fn waiting(ticket: u64, priority: Priority, team: usize, cost: u64) -> Waiting {
    Waiting {
        ticket: Ticket(ticket),
        priority,
        team: format!("team-{team}").parse().expect("valid team name"),
        weight: Weight::ONE,
        cost: Tokens::new(cost),
        deadline: Duration::from_secs(ticket % 50),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// For any sequence of operations, each request leaves the queue once: popped, removed or expired, the
    /// last also after its deadline was changed.
    #[test]
    fn queue_returns_each_request_once(steps in prop::collection::vec((0..6_u8, 0..3_usize, 0..6_usize, 1..500_u64), 1..300)) {
        let mut queue = Queue::open(Shares::default());
        let (mut inside, mut now) = (std::collections::BTreeSet::new(), 0);
        for (number, (action, priority, team, cost)) in steps.into_iter().enumerate() {
            let ticket = number as u64;
            match action {
                0 | 1 => {
                    queue.push(waiting(ticket, Priority::ALL[priority], team, cost));
                    inside.insert(ticket);
                }
                2 => {
                    if let Some(out) = queue.pop(|_| true) {
                        prop_assert!(inside.remove(&out.ticket.0));
                    } else {
                        prop_assert!(inside.is_empty());
                    }
                }
                3 => {
                    now += 1;
                    for late in queue.expire(Duration::from_secs(now)) {
                        prop_assert!(late.deadline <= Duration::from_secs(now));
                        prop_assert!(inside.remove(&late.ticket.0));
                    }
                }
                4 => {
                    let deadline = |ticket: Ticket| Duration::from_secs(now + ticket.0 % cost);
                    queue.set_deadlines(|ticket| Some(deadline(ticket)));
                }
                _ => {
                    let team = format!("team-{team}").parse().expect("valid team name");
                    if let Some(out) = queue.remove(&team, Ticket(cost % 40)) {
                        prop_assert!(inside.remove(&out.ticket.0));
                    }
                }
            }
            prop_assert_eq!(queue.len(), inside.len());
        }
    }
}
