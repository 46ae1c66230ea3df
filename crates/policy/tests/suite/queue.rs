//! What floods do to each priority and team, against stated targets and baselines.

use std::time::Duration;

use fescue_core::Priority::{Bulk, Standard, Urgent};
use fescue_core::{Priority, TeamId, Tokens, Weight};
use fescue_policy::queue::{Queue, Shares, Ticket, Waiting};
use proptest::prelude::*;

use crate::load::{Fate, Fifo, Order, PREFILL, Source, Strict, first_token, ours, play, served};

/// The slots of the pool: twenty engines of eight.
const SLOTS: usize = 160;

/// Requests a second that fill the pool: a request takes 560 ms on average.
const CAPACITY: f64 = 285.0;

const SECONDS: f64 = 120.0;

/// Where a flood begins and ends.
const FLOOD: (f64, f64) = (20.0, 100.0);

fn normal() -> Vec<Source> {
    vec![
        Source::steady("yard", Urgent, CAPACITY * 0.2),
        Source::steady("desk", Standard, CAPACITY * 0.3),
        Source::steady("night", Bulk, CAPACITY * 0.1),
    ]
}

fn in_flood(fate: &Fate) -> bool {
    let arrived = fate.arrived.as_secs_f64();
    (FLOOD.0 + 5.0..FLOOD.1).contains(&arrived)
}

fn urgent(fate: &Fate) -> bool {
    fate.priority == Urgent && in_flood(fate)
}

fn rate(fates: &[Fate], pick: impl Fn(&Fate) -> bool) -> f64 {
    let picked: Vec<_> = fates.iter().filter(|f| pick(f)).collect();
    let served = picked.iter().filter(|f| f.started.is_some()).count();
    served as f64 / picked.len() as f64
}

#[test]
fn bulk_flood_leaves_urgent_its_target() {
    let mut flooded = normal();
    flooded.push(Source::during("flood", Bulk, CAPACITY * 5.0, FLOOD));
    let calm = first_token(&play(&mut ours(), SLOTS, &normal(), SECONDS), 0.95, urgent);
    let fates = play(&mut ours(), SLOTS, &flooded, SECONDS);
    let through = first_token(&fates, 0.95, urgent);
    let fifo = play(&mut Fifo::default(), SLOTS, &flooded, SECONDS);
    let fifo = first_token(&fifo, 0.95, urgent);
    println!("urgent first token p95: calm {calm:?}, flood {through:?}, FIFO {fifo:?}");
    assert!(through <= calm.mul_f64(1.25), "{through:?} of {calm:?}");
    assert!(rate(&fates, urgent) >= 0.999);
    assert!(fifo > calm.mul_f64(1.25), "the baseline should lose");
}

/// Returns the part of capacity that a priority got while the flood lasted.
fn part(fates: &[Fate], priority: Priority) -> f64 {
    let started = |fate: &Fate| {
        let started = fate.started.unwrap_or_default().as_secs_f64();
        (FLOOD.0 + 5.0..FLOOD.1).contains(&started)
    };
    let all = served(fates, started);
    let own = served(fates, |fate| started(fate) && fate.priority == priority);
    own as f64 / all as f64
}

#[test]
fn urgent_flood_leaves_the_others_their_shares() {
    let sources = vec![
        Source::steady("desk", Standard, CAPACITY * 0.5),
        Source::steady("night", Bulk, CAPACITY * 0.5),
        Source::during("flood", Urgent, CAPACITY * 5.0, FLOOD),
    ];
    let fates = play(&mut ours(), SLOTS, &sources, SECONDS);
    let (standard, bulk) = (part(&fates, Standard), part(&fates, Bulk));
    let strict = play(&mut Strict::default(), SLOTS, &sources, SECONDS);
    let starved = part(&strict, Bulk);
    println!(
        "through an urgent flood: standard {standard:.3}, bulk {bulk:.3}, strict {starved:.3}"
    );
    assert!(standard >= 0.9 * 0.3, "{standard}");
    assert!(bulk >= 0.9 * 0.1, "{bulk}");
    assert!(starved < 0.9 * 0.1, "the baseline should lose");
}

/// Jain's index of what teams were served of their demand-capped fair shares.
fn jain(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|s| s * s).sum();
    sum * sum / (shares.len() as f64 * squares)
}

/// One team asks twenty times what nine others do; returns the index and the refusal rates.
fn large_beside_small(order: &mut impl Order) -> (f64, f64, f64) {
    let small = CAPACITY * 0.06;
    let mut sources = vec![Source::steady("large", Standard, small * 20.0)];
    let names: Vec<_> = (0..9).map(|n| format!("small-{n}")).collect();
    sources.extend(names.iter().map(|n| Source::steady(n, Standard, small)));
    let fates = play(order, SLOTS, &sources, SECONDS);
    let of = |team: &TeamId| {
        let team = team.clone();
        move |fate: &Fate| fate.team == team && in_flood(fate)
    };
    let total = served(&fates, in_flood) as f64;
    let demand = |source: &Source| {
        let asked = fates.iter().filter(|f| of(&source.team)(f));
        asked.map(|fate| fate.tokens).sum::<u64>() as f64
    };
    // The small teams ask for less than a tenth each, so the large team's fair share is the rest.
    let smalls: f64 = sources[1..].iter().map(demand).sum();
    let fair = |index: usize| match index {
        0 => total - smalls,
        _ => demand(&sources[index]),
    };
    let got = |index: usize| served(&fates, of(&sources[index].team)) as f64 / fair(index);
    let shares: Vec<_> = (0..sources.len()).map(got).collect();
    let refused = |team: &TeamId| 1.0 - rate(&fates, of(team));
    (
        jain(&shares),
        refused(&sources[1].team),
        refused(&sources[0].team),
    )
}

#[test]
fn small_teams_fare_as_well_as_a_large_one() {
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
fn overload_costs_no_goodput() {
    for factor in [1.0, 2.0, 5.0, 10.0] {
        let sources = vec![Source::steady("desk", Standard, CAPACITY * factor)];
        let fates = play(&mut ours(), SLOTS, &sources, SECONDS);
        let in_time = |fate: &Fate| in_flood(fate);
        let tokens = served(&fates, in_time) as f64;
        let span = FLOOD.1 - FLOOD.0 - 5.0;
        // A slot spends the prefill and ten milliseconds a token; the mean request has 49.5.
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
        team: format!("team-{team}").parse().expect("a team"),
        weight: Weight::ONE,
        cost: Tokens::new(cost),
        deadline: Duration::from_secs(ticket % 50),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Whatever happens, each request comes out once: granted, removed or expired.
    #[test]
    fn queue_gives_each_request_out_once(steps in prop::collection::vec((0..5_u8, 0..3_usize, 0..6_usize, 1..500_u64), 1..300)) {
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
                _ => {
                    let team = format!("team-{team}").parse().expect("a team");
                    if let Some(out) = queue.remove(&team, Ticket(cost % 40)) {
                        prop_assert!(inside.remove(&out.ticket.0));
                    }
                }
            }
            prop_assert_eq!(queue.len(), inside.len());
        }
    }
}
