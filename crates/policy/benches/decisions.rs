//! Benchmarks of the decisions made for each request, at the current and at the target fleet size.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fescue_core::{BudgetId, Incarnation, Priority, TeamId, Tokens, Weight, hash};
use fescue_policy::ledger::{Ledger, Parts};
use fescue_policy::placement::{Candidate, Candidates, Ring, choose};
use fescue_policy::queue::{Queue, Shares, Ticket, Waiting};
use rand::SeedableRng;
use rand::rngs::SmallRng;

struct Engines(usize);

impl Candidates for Engines {
    fn len(&self) -> usize {
        self.0
    }

    fn candidate(&self, index: usize) -> Candidate {
        Candidate {
            wait: Duration::from_millis(index as u64 % 7),
            load: (index % 10) as f64 / 10.0,
            open: !index.is_multiple_of(9),
            ..Candidate::CLOSED
        }
    }
}

fn placement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement");
    for engines in [20, 2000] {
        let ring = Ring::open(0..engines as u64);
        let mut rng = SmallRng::seed_from_u64(1);
        let mut key = 0_u64;
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            bencher.iter(|| {
                key += 1;
                let prefix = hash::digest64(&key.to_le_bytes());
                choose(&mut rng, prefix, &ring, black_box(&Engines(engines)))
            });
        });
    }
    group.finish();
}

fn waiting(number: u64, team: &TeamId) -> Waiting {
    Waiting {
        ticket: Ticket(number),
        priority: Priority::ALL[(number % 3) as usize],
        team: team.clone(),
        weight: Weight::ONE,
        cost: Tokens::new(100 + number % 50),
        deadline: Duration::from_secs(10 + number),
    }
}

fn admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission");
    for teams in [10, 850] {
        let names = (0..teams).map(|n| format!("team-{n}").parse());
        let names: Vec<TeamId> = names.collect::<Result<_, _>>().expect("valid team names");
        let mut queue = Queue::open(Shares::default());
        for (number, name) in names.iter().enumerate() {
            queue.push(waiting(number as u64, name));
        }
        let mut number = teams as u64;
        group.bench_function(BenchmarkId::from_parameter(teams), |bencher| {
            bencher.iter(|| {
                number += 1;
                queue.push(waiting(number, &names[number as usize % names.len()]));
                queue.pop(|_| true)
            });
        });
    }
    group.finish();
}

fn ledger(criterion: &mut Criterion) {
    let origin = Incarnation::new(1);
    let budget: BudgetId = "yard/main".parse().expect("valid budget id");
    let mut ledger = Ledger::open(origin);
    let supply = Tokens::new(1 << 50);
    ledger.credit(&budget, &Parts::single(origin, supply));
    let block = ledger.start_clearing(&budget, supply);
    ledger.end_clearing(&budget, &block, true);
    criterion.bench_function("reserve, settle and bill", |bencher| {
        bencher.iter(|| {
            let reserved = ledger.reserve(&budget, Tokens::new(100));
            let reserved = reserved.expect("enough cleared tokens");
            let charged = ledger.settle(reserved, Tokens::new(60));
            ledger.end_billing(&budget, &charged, true);
        });
    });
}

criterion_group!(decisions, placement, admission, ledger);
criterion_main!(decisions);
