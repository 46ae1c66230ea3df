//! Runs one kind of decision many times, to count its instructions.
//!
//! `scripts/instructions` runs this under callgrind and compares the count with the stated bound.

use std::hint::black_box;
use std::time::Duration;

use fescue_core::{Priority, Tokens, Weight, hash};
use fescue_policy::placement::{Candidate, Candidates, Ring, choose};
use fescue_policy::queue::{Queue, Shares, Ticket, Waiting};
use rand::SeedableRng;
use rand::rngs::SmallRng;

struct Engines(u64);

impl Candidates for Engines {
    fn len(&self) -> usize {
        self.0 as usize
    }

    fn candidate(&self, index: usize) -> Candidate {
        let n = index as u64;
        Candidate {
            wait: Duration::from_millis(n % 7),
            prefill: Duration::from_millis(n % 5),
            latency: Duration::ZERO,
            load: (n % 10) as f64 / 10.0,
            open: !n.is_multiple_of(9),
        }
    }
}

fn place(engines: u64, times: u64) {
    let ring = Ring::open(0..engines);
    let mut rng = SmallRng::seed_from_u64(1);
    for key in 0..times {
        let prefix = hash::digest64(&key.to_le_bytes());
        black_box(choose(
            &mut rng,
            prefix,
            &ring,
            black_box(&Engines(engines)),
        ));
    }
}

fn admit(teams: u64, times: u64) {
    let mut queue = Queue::open(Shares::default());
    let names: Vec<_> = (0..teams).map(|n| format!("team-{n}")).collect();
    let names: Vec<fescue_core::TeamId> = names.iter().flat_map(|n| n.parse()).collect();
    for number in 0..times + teams {
        queue.push(Waiting {
            ticket: Ticket(number),
            priority: Priority::ALL[(number % 3) as usize],
            team: names[(number % teams) as usize].clone(),
            weight: Weight::ONE,
            cost: Tokens::new(100 + number % 50),
            deadline: Duration::from_secs(10),
        });
        if number >= teams {
            black_box(queue.pop(|_| true));
        }
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let kind = args.next().unwrap_or_default();
    let mut number = || args.next().and_then(|n| n.parse().ok()).unwrap_or(0);
    let (size, times) = (number(), number());
    match kind.as_str() {
        "place" => place(size, times),
        "admit" => admit(size, times),
        _ => eprintln!("expected place ENGINES TIMES or admit TEAMS TIMES"),
    }
}
