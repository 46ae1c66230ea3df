//! Plays arrivals against a pool of slots, event by event, on a clock of its own.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use fescue_core::{Priority, TeamId, Tokens, Weight};
use fescue_policy::queue::{Queue, Shares, Ticket, Waiting};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The time that a slot takes for one token.
const TOKEN: Duration = Duration::from_millis(10);

/// The time from a slot to the first token.
pub const PREFILL: Duration = Duration::from_millis(60);

/// How often deadlines are looked at, as in the router.
const TICK: Duration = Duration::from_millis(20);

/// How long a request of each priority may wait, by its index.
const PATIENCE: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(10),
    Duration::from_secs(30),
];

/// One source of requests.
#[derive(Clone, Debug)]
pub struct Source {
    pub team: TeamId,
    pub priority: Priority,
    /// Requests a second.
    pub rate: f64,
    /// When it begins and ends, in seconds.
    pub span: (f64, f64),
}

impl Source {
    pub fn steady(team: &str, priority: Priority, rate: f64) -> Self {
        Self::during(team, priority, rate, (0.0, f64::INFINITY))
    }

    pub fn during(team: &str, priority: Priority, rate: f64, span: (f64, f64)) -> Self {
        let team = team.parse().expect("a team");
        Self {
            team,
            priority,
            rate,
            span,
        }
    }
}

/// One request's fate.
#[derive(Clone, Debug)]
pub struct Fate {
    pub team: TeamId,
    pub priority: Priority,
    pub arrived: Duration,
    pub tokens: u64,
    /// When it got its slot; none where it was refused.
    pub started: Option<Duration>,
}

impl Fate {
    pub fn first_token(&self) -> Option<Duration> {
        Some(self.started? - self.arrived + PREFILL)
    }
}

/// The order in which waiting requests get slots.
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

/// The baseline: whoever came first.
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

/// The baseline: always the most urgent.
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

/// Plays sources against `slots` for some seconds; the same seed gives the same fates.
pub fn play(order: &mut impl Order, slots: usize, sources: &[Source], seconds: f64) -> Vec<Fate> {
    let mut fates = arrivals(sources, seconds);
    let mut ends: BinaryHeap<Reverse<Duration>> = BinaryHeap::new();
    let (mut next, mut look) = (0, Duration::ZERO);
    while next < fates.len() || !ends.is_empty() {
        let arrival = fates.get(next).map(|fate| fate.arrived);
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
            order.push(waiting(&fates[next], next));
            next += 1;
        }
        if now >= look {
            order.expire(now);
            look = now + TICK;
        }
        while ends.len() < slots {
            let Some(granted) = order.pop() else { break };
            let fate = &mut fates[granted.ticket.0 as usize];
            fate.started = Some(now);
            let runs = PREFILL + TOKEN * u32::try_from(fate.tokens).expect("a small count");
            ends.push(Reverse(now + runs));
        }
    }
    fates
}

fn waiting(fate: &Fate, number: usize) -> Waiting {
    Waiting {
        ticket: Ticket(number as u64),
        priority: fate.priority,
        team: fate.team.clone(),
        weight: Weight::ONE,
        cost: Tokens::new(fate.tokens),
        deadline: fate.arrived + PATIENCE[fate.priority.index()],
    }
}

fn arrivals(sources: &[Source], seconds: f64) -> Vec<Fate> {
    let mut fates = Vec::new();
    for (index, source) in sources.iter().enumerate() {
        let mut dice = StdRng::seed_from_u64(index as u64);
        let mut at = source.span.0;
        loop {
            at += -(1.0 - dice.random::<f64>()).ln() / source.rate;
            if at > seconds.min(source.span.1) {
                break;
            }
            fates.push(Fate {
                team: source.team.clone(),
                priority: source.priority,
                arrived: Duration::from_secs_f64(at),
                tokens: dice.random_range(10..90),
                started: None,
            });
        }
    }
    fates.sort_by_key(|fate| fate.arrived);
    fates
}

/// Returns a quantile of the first token's time, for the requests that a filter picks; one that was
/// never served counts as the longest.
pub fn first_token(fates: &[Fate], quantile: f64, pick: impl Fn(&Fate) -> bool) -> Duration {
    let picked = fates.iter().filter(|fate| pick(fate));
    let time = |fate: &Fate| fate.first_token().unwrap_or(Duration::MAX);
    let mut times: Vec<_> = picked.map(time).collect();
    times.sort_unstable();
    let index = (times.len() as f64 * quantile) as usize;
    times
        .get(index.min(times.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}

/// Returns the tokens that were served of those that a filter picks.
pub fn served(fates: &[Fate], pick: impl Fn(&Fate) -> bool) -> u64 {
    let picked = fates.iter().filter(|f| f.started.is_some() && pick(f));
    picked.map(|fate| fate.tokens).sum()
}
