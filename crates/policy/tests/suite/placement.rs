//! Simulations of placement: prefix hits and load balance against targets and baselines.

use std::collections::VecDeque;
use std::time::Duration;

use fescue_policy::placement::{Candidate, Candidates, Ring, choose};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ENGINES: usize = 20;

/// The number of prefixes that one engine's cache holds.
const CACHE: usize = 40;

/// The number of prefixes in use; lower ones are requested more often.
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

/// Simulates 40,000 requests; returns the rate of prefix hits and the ratio of the highest to the mean
/// number of requests per engine.
fn simulate(mut pick: impl FnMut(&mut SmallRng, &Engines) -> usize) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(9);
    let engines = vec![Engine::default(); ENGINES];
    let mut candidates = Engines { engines, prefix: 0 };
    let (mut hits, mut total) = (0, 0_u32);
    for number in 0..40_000_u64 {
        // Cubing a uniform number makes low prefixes more frequent.
        let skew = rng.random::<f64>().powi(3);
        candidates.prefix = (skew * PREFIXES as f64) as u64;
        let index = pick(&mut rng, &candidates);
        let engine = &mut candidates.engines[index];
        let known = engine.cached.iter().position(|p| *p == candidates.prefix);
        if number > 4000 {
            hits += u64::from(known.is_some());
            total += 1;
            engine.served += 1;
        }
        if let Some(at) = known {
            engine.cached.remove(at);
        }
        engine.cached.push_back(candidates.prefix);
        if engine.cached.len() > CACHE {
            engine.cached.pop_front();
        }
        engine.running.push_back(number + 90);
        for engine in &mut candidates.engines {
            engine.running.retain(|end| *end > number);
        }
    }
    let most = candidates
        .engines
        .iter()
        .map(|e| e.served)
        .max()
        .unwrap_or(0);
    let mean = f64::from(total) / ENGINES as f64;
    (hits as f64 / f64::from(total), most as f64 / mean)
}

#[test]
fn choose_hits_prefixes_and_balances_load() {
    let ring = Ring::open((0..ENGINES as u64).map(|n| n * 7919));
    let (ours, balance) = simulate(|rng, candidates| {
        let prefix = fescue_core::hash::digest64(&candidates.prefix.to_le_bytes());
        choose(rng, prefix, &ring, candidates)
            .expect("an upstream is open")
            .best
            .index
    });
    // Baseline with perfect knowledge: the cheapest of all engines by their actual state.
    let (perfect, _) = simulate(|_, candidates| {
        let cost = |index: &usize| {
            let candidate = candidates.candidate(*index);
            (candidate.cost(), (candidate.load * 1000.0) as u64)
        };
        (0..candidates.len())
            .min_by_key(cost)
            .expect("there are engines")
    });
    let (least, _) = simulate(|rng, candidates| {
        let start = rng.random_range(0..candidates.len());
        let load = |index: &usize| candidates.engines[*index].running.len();
        let order = (0..candidates.len()).map(|i| (i + start) % candidates.len());
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
fn choose_finds_the_only_open_upstream() {
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
    let mut rng = SmallRng::seed_from_u64(1);
    let choice = choose(&mut rng, 5, &ring, &One(1234)).expect("an upstream is open");
    assert_eq!(choice.best.index, 1234);
    assert!(choose(&mut rng, 5, &ring, &One(5000)).is_none());
}
