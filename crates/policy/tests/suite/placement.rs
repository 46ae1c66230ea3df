//! Prefix hits and balance of placement, against stated targets and baselines.

use std::collections::VecDeque;
use std::time::Duration;

use fescue_policy::placement::{Candidate, Candidates, Ring, choose};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ENGINES: usize = 20;

/// The prefixes that one engine's cache holds.
const CACHE: usize = 40;

/// The prefixes in use, of which the first are asked for most.
const PREFIXES: u64 = 400;

const SLOTS: f64 = 8.0;

#[derive(Clone, Default)]
struct Engine {
    cached: VecDeque<u64>,
    running: VecDeque<u64>,
    served: u64,
}

struct Engines {
    engines: Vec<Engine>,
    prefix: u64,
}

impl Candidates for Engines {
    fn len(&self) -> usize {
        self.engines.len()
    }

    fn candidate(&self, index: usize) -> Candidate {
        let engine = &self.engines[index];
        let load = engine.running.len() as f64 / SLOTS;
        let cached = engine.cached.contains(&self.prefix);
        Candidate {
            wait: Duration::from_millis(if load >= 1.0 { 50 } else { 0 }),
            prefill: Duration::from_millis(if cached { 2 } else { 20 }),
            latency: Duration::ZERO,
            load,
            open: load < 2.0,
        }
    }
}

/// Places requests and returns the part of prefix hits and the largest load over the mean.
fn run(mut pick: impl FnMut(&mut SmallRng, &Engines) -> usize) -> (f64, f64) {
    let mut dice = SmallRng::seed_from_u64(9);
    let engines = vec![Engine::default(); ENGINES];
    let mut field = Engines { engines, prefix: 0 };
    let (mut hits, mut total) = (0, 0_u32);
    for number in 0..40_000_u64 {
        // Cubing favours the first prefixes.
        let skew = dice.random::<f64>().powi(3);
        field.prefix = (skew * PREFIXES as f64) as u64;
        let index = pick(&mut dice, &field);
        let engine = &mut field.engines[index];
        let known = engine.cached.iter().position(|p| *p == field.prefix);
        if number > 4000 {
            hits += u64::from(known.is_some());
            total += 1;
            engine.served += 1;
        }
        if let Some(at) = known {
            engine.cached.remove(at);
        }
        engine.cached.push_back(field.prefix);
        if engine.cached.len() > CACHE {
            engine.cached.pop_front();
        }
        engine.running.push_back(number + 90);
        for engine in &mut field.engines {
            engine.running.retain(|end| *end > number);
        }
    }
    let most = field.engines.iter().map(|e| e.served).max().unwrap_or(0);
    let mean = f64::from(total) / ENGINES as f64;
    (hits as f64 / f64::from(total), most as f64 / mean)
}

#[test]
fn placement_hits_prefixes_and_balances() {
    let ring = Ring::open((0..ENGINES as u64).map(|n| n * 7919));
    let (ours, balance) = run(|dice, field| {
        let prefix = fescue_core::hash::short(&field.prefix.to_le_bytes());
        choose(dice, prefix, &ring, field)
            .expect("one is open")
            .best
            .index
    });
    // Perfect knowledge: the cheapest of all, by what each engine really has cached and runs.
    let (perfect, _) = run(|_, field| {
        let cost = |index: &usize| {
            let candidate = field.candidate(*index);
            (candidate.cost(), (candidate.load * 1000.0) as u64)
        };
        (0..field.len())
            .min_by_key(cost)
            .expect("there are engines")
    });
    let (least, _) = run(|dice, field| {
        let start = dice.random_range(0..field.len());
        let load = |index: &usize| field.engines[*index].running.len();
        let order = (0..field.len()).map(|i| (i + start) % field.len());
        order.min_by_key(load).expect("there are engines")
    });
    println!(
        "prefix hits: ours {ours:.3}, perfect {perfect:.3}, least connections {least:.3}; max/mean {balance:.3}"
    );
    assert!(ours >= 0.9 * perfect, "{ours} of {perfect}");
    assert!(balance <= 1.25, "{balance}");
    assert!(least < ours, "the baseline should lose");
}

#[test]
fn placement_finds_the_only_open_one() {
    struct One(usize);
    impl Candidates for One {
        fn len(&self) -> usize {
            2000
        }
        fn candidate(&self, index: usize) -> Candidate {
            Candidate {
                open: index == self.0,
                ..Candidate::CLOSED
            }
        }
    }
    let ring = Ring::open(0..2000);
    let mut dice = SmallRng::seed_from_u64(1);
    let choice = choose(&mut dice, 5, &ring, &One(1234)).expect("one is open");
    assert_eq!(choice.best.index, 1234);
    assert!(choose(&mut dice, 5, &ring, &One(5000)).is_none());
}
