//! A discrete-event simulation of requests that arrive at a pool of slots.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use fescue_core::{Priority, TeamId, Tokens, Weight};
use fescue_policy::queue::{Queue, Shares, Ticket, Waiting};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The time that a slot takes to generate one token.
const TIME_PER_TOKEN: Duration = Duration::from_millis(10);

/// The time from the assignment of a slot to the first token.
pub const PREFILL: Duration = Duration::from_millis(60);

/// The interval between checks of deadlines, as in the router.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// The longest wait of a request, by the index of its priority.
const MAX_WAIT: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(10),
    Duration::from_secs(30),
];

/// A Poisson source of requests.
#[derive(Clone, Debug)]
pub struct Source {
    pub team: TeamId,
    pub priority: Priority,
    /// The mean number of requests per second.
    pub rate: f64,
    /// The times in seconds at which the source starts and stops.
    pub span: (f64, f64),
}

impl Source {
    pub fn steady(team: &str, priority: Priority, rate: f64) -> Self {
        Self::during(team, priority, rate, (0.0, f64::INFINITY))
    }

    pub fn during(team: &str, priority: Priority, rate: f64, span: (f64, f64)) -> Self {
        let team = team.parse().expect("valid team name");
        Self {
            team,
            priority,
            rate,
            span,
        }
    }
}

/// One simulated request and its outcome.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub team: TeamId,
    pub priority: Priority,
    pub arrived: Duration,
    pub tokens: u64,
    /// The time at which the request got a slot; `None` if it expired.
    pub started: Option<Duration>,
}

impl Arrival {
    pub fn first_token(&self) -> Option<Duration> {
        Some(self.started? - self.arrived + PREFILL)
    }
}

/// A queueing discipline: the order in which waiting requests get slots.
pub trait Order {
    fn push(&mut self, waiting: Waiting);
    fn pop(&mut self) -> Option<Waiting>;
    fn expire(&mut self, now: Duration) -> Vec<Waiting>;
}

impl Order for Queue {
    fn push(&mut self, waiting: Waiting) {
        Queue::push(self, waiting);
    }

    fn pop(&mut self) -> Option<Waiting> {
        Queue::pop(self, |_| true)
    }

    fn expire(&mut self, now: Duration) -> Vec<Waiting> {
        Queue::expire(self, now)
    }
}

/// The baseline of first in, first out.
#[derive(Default)]
pub struct Fifo(VecDeque<Waiting>);

impl Order for Fifo {
    fn push(&mut self, waiting: Waiting) {
        self.0.push_back(waiting);
    }

    fn pop(&mut self) -> Option<Waiting> {
        self.0.pop_front()
    }

    fn expire(&mut self, now: Duration) -> Vec<Waiting> {
        let (late, rest) = self.0.drain(..).partition(|w| w.deadline <= now);
        self.0 = rest;
        late.into()
    }
}

/// The baseline of strict priorities.
#[derive(Default)]
pub struct Strict([Fifo; 3]);

impl Order for Strict {
    fn push(&mut self, waiting: Waiting) {
        self.0[waiting.priority.index()].push(waiting);
    }

    fn pop(&mut self) -> Option<Waiting> {
        self.0.iter_mut().find_map(Order::pop)
    }

    fn expire(&mut self, now: Duration) -> Vec<Waiting> {
        self.0.iter_mut().flat_map(|f| f.expire(now)).collect()
    }
}

pub fn ours() -> Queue {
    Queue::open(Shares([60, 30, 10]))
}

/// Simulates sources on a pool of `slots` for some seconds; equal inputs give equal results.
pub fn simulate(
    order: &mut impl Order,
    slots: usize,
    sources: &[Source],
    seconds: f64,
) -> Vec<Arrival> {
    let mut requests = arrivals(sources, seconds);
    let mut ends: BinaryHeap<Reverse<Duration>> = BinaryHeap::new();
    let (mut next, mut next_expiry) = (0, Duration::ZERO);
    while next < requests.len() || !ends.is_empty() {
        let arrival = requests.get(next).map(|request| request.arrived);
        let end = ends.peek().map(|Reverse(end)| *end);
        let now = match (arrival, end) {
            (Some(arrival), Some(end)) if end <= arrival => end,
            (Some(arrival), _) => arrival,
            (None, Some(end)) => end,
            (None, None) => break,
        };
        if end == Some(now) {
            ends.pop();
        } else {
            order.push(waiting(&requests[next], next));
            next += 1;
        }
        if now >= next_expiry {
            order.expire(now);
            next_expiry = now + EXPIRY_INTERVAL;
        }
        while ends.len() < slots {
            let Some(granted) = order.pop() else { break };
            let request = &mut requests[granted.ticket.0 as usize];
            request.started = Some(now);
            let runs =
                PREFILL + TIME_PER_TOKEN * u32::try_from(request.tokens).expect("a small count");
            ends.push(Reverse(now + runs));
        }
    }
    requests
}

fn waiting(request: &Arrival, number: usize) -> Waiting {
    Waiting {
        ticket: Ticket(number as u64),
        priority: request.priority,
        team: request.team.clone(),
        weight: Weight::ONE,
        cost: Tokens::new(request.tokens),
        deadline: request.arrived + MAX_WAIT[request.priority.index()],
    }
}

fn arrivals(sources: &[Source], seconds: f64) -> Vec<Arrival> {
    let mut requests = Vec::new();
    for (index, source) in sources.iter().enumerate() {
        let mut rng = StdRng::seed_from_u64(index as u64);
        let mut at = source.span.0;
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / source.rate;
            if at > seconds.min(source.span.1) {
                break;
            }
            requests.push(Arrival {
                team: source.team.clone(),
                priority: source.priority,
                arrived: Duration::from_secs_f64(at),
                tokens: rng.random_range(10..90),
                started: None,
            });
        }
    }
    requests.sort_by_key(|request| request.arrived);
    requests
}

/// Returns a quantile of the time to the first token over the requests that `pick` selects; requests
/// that were never served count as the longest.
pub fn first_token(
    requests: &[Arrival],
    quantile: f64,
    pick: impl Fn(&Arrival) -> bool,
) -> Duration {
    let picked = requests.iter().filter(|request| pick(request));
    let time = |request: &Arrival| request.first_token().unwrap_or(Duration::MAX);
    let mut times: Vec<_> = picked.map(time).collect();
    times.sort_unstable();
    let index = (times.len() as f64 * quantile) as usize;
    times
        .get(index.min(times.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}

/// Returns the tokens of the served requests that `pick` selects.
pub fn served(requests: &[Arrival], pick: impl Fn(&Arrival) -> bool) -> u64 {
    let picked = requests.iter().filter(|f| f.started.is_some() && pick(f));
    picked.map(|request| request.tokens).sum()
}
