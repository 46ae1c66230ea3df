//! One data centre with its balancer, its callers, and a processor for each router.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::time::Duration;

use fescue_core::hash;
use fescue_policy::crowding::{Arrival, Crowding, Usage};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::neighbours::{Told, count_withdrawn, neighbours};

/// One step of the simulation.
const STEP: f64 = 0.01;

/// Steps between two observations of a router.
const OBSERVE_STEPS: u32 = 10;

/// Steps after which a router knows which others have withdrawn.
const KNOWN_AFTER_STEPS: usize = 100;

/// Processor time of a request at its arrival, while it is served, and if it is refused, in seconds of a
/// small router's share.
const ARRIVAL_COST: f64 = 0.003;
const SERVICE_COST: f64 = 0.005;
const REFUSAL_COST: f64 = 0.0012;

/// Time over which a request is served.
const SERVICE_TIME: f64 = 1.0;

/// The delay of a router's processor from which on its answers are late.
const LATE_AFTER: f64 = 0.4;

/// The part of a caller's requests that use an open connection, if one is idle.
const KEPT: f64 = 0.8;

/// A caller with requests at a rate, during some seconds.
#[derive(Clone, Copy)]
pub struct Caller {
    pub team: u64,
    pub rate: f64,
    pub span: (f64, f64),
    pub rank: Option<u8>,
}

impl Caller {
    pub fn steady(team: u64, rate: f64) -> Self {
        Self {
            team,
            rate,
            span: (0.0, f64::INFINITY),
            rank: None,
        }
    }
}

/// A router and what the balancer knows of it.
struct Router {
    /// Its processor's speed, of that of a small one.
    speed: f64,
    policy: Option<Crowding>,
    /// Work that waits, in seconds.
    backlog: f64,
    /// Work that requests being served will still bring, by step.
    coming: VecDeque<f64>,
    used: f64,
    failed_checks: u32,
    in_rotation: bool,
    served: f64,
    offered: f64,
    changes: u32,
}

#[derive(Clone, Copy)]
struct Request {
    caller: usize,
    rank: u8,
    tries: u32,
}

/// What became of the requests from some second on.
#[derive(Clone, Debug, Default)]
pub struct Report {
    offered: HashMap<u64, f64>,
    in_time: HashMap<u64, f64>,
    ranks: [(f64, f64); 3],
    /// How often the router that did so most often withdrew or came back.
    pub changes: u32,
    /// The number of routers that have withdrawn in the end.
    pub withdrawn: usize,
    /// The largest number of routers that the balancer had taken out of rotation at the same time.
    pub removed: usize,
    /// The second from which on nine tenths of all requests are served in time.
    pub calm_from: f64,
    /// The part that the busiest tenth of routers serves of what it is offered, and that of the median one.
    busiest: f64,
    median: f64,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rank = |index: usize| self.ranks[index].1 / self.ranks[index].0;
        write!(
            f,
            "in time {:.2}, of the large team {:.2}, by rank {:.2} {:.2} {:.2}; calm from {} s; {} changes of \
             a router, {} withdrawn in the end, {} removed at most; the busiest tenth serves {:.2}, the median router {:.2}",
            self.total(),
            self.share(1),
            rank(0),
            rank(1),
            rank(2),
            self.calm_from,
            self.changes,
            self.withdrawn,
            self.removed,
            self.busiest,
            self.median
        )
    }
}

impl Report {
    pub fn share(&self, team: u64) -> f64 {
        let in_time = self.in_time.get(&team).copied().unwrap_or_default();
        in_time / self.offered.get(&team).copied().unwrap_or(1.0)
    }

    pub fn total(&self) -> f64 {
        self.in_time.values().sum::<f64>() / self.offered.values().sum::<f64>()
    }
}

pub struct DataCentre {
    routers: Vec<Router>,
    callers: Vec<Caller>,
    /// The idle connections of each caller, by router.
    idle: Vec<Vec<usize>>,
    /// Which routers had withdrawn in the last second, and their use, by step.
    history: VecDeque<Vec<Told>>,
    rng: StdRng,
}

impl DataCentre {
    pub fn open(speeds: &[f64], callers: Vec<Caller>, policy: bool) -> Self {
        let router = |speed: &f64| Router {
            speed: *speed,
            policy: policy.then(Crowding::default),
            backlog: 0.0,
            coming: VecDeque::new(),
            used: 0.0,
            failed_checks: 0,
            in_rotation: true,
            served: 0.0,
            offered: 0.0,
            changes: 0,
        };
        Self {
            routers: speeds.iter().map(router).collect(),
            idle: vec![Vec::new(); callers.len()],
            callers,
            history: VecDeque::new(),
            rng: StdRng::seed_from_u64(7),
        }
    }

    /// Returns the router to which the balancer sends a caller's new connection.
    fn balance(&self, caller: usize) -> usize {
        let half = self.routers.len().div_ceil(2);
        let all = self
            .routers
            .iter()
            .filter(|router| router.in_rotation)
            .count()
            < half;
        let usable =
            (0..self.routers.len()).filter(|index| all || self.routers[*index].in_rotation);
        let best = usable.max_by_key(|index| hash::score(caller as u64, *index as u64));
        best.expect("a data centre has routers")
    }

    /// Runs the load for some seconds; counts requests that begin after `from`.
    pub fn run(&mut self, seconds: f64, from: f64) -> Report {
        let mut report = Report::default();
        let mut again: VecDeque<(f64, Request)> = VecDeque::new();
        let mut windows: Vec<(f64, f64)> = Vec::new();
        let steps = (seconds / STEP) as u32;
        for step in 0..steps {
            let now = f64::from(step) * STEP;
            let mut arrivals: Vec<Request> = Vec::new();
            for (index, caller) in self.callers.iter().enumerate() {
                let active = (caller.span.0..caller.span.1).contains(&now);
                let mean = if active { caller.rate * STEP } else { 0.0 };
                let count = mean.floor() + f64::from(u8::from(self.rng.random_bool(mean.fract())));
                for _ in 0..count as u32 {
                    let rank = caller.rank.unwrap_or_else(|| self.rng.random_range(0..3));
                    arrivals.push(Request {
                        caller: index,
                        rank,
                        tries: 0,
                    });
                }
            }
            while again.front().is_some_and(|(at, _)| *at <= now) {
                arrivals.extend(again.pop_front().map(|(_, request)| request));
            }
            for request in arrivals {
                let team = self.callers[request.caller].team;
                let counts = now >= from;
                if counts && request.tries == 0 {
                    *report.offered.entry(team).or_default() += 1.0;
                    report.ranks[usize::from(request.rank)].0 += 1.0;
                    windows.resize(now as usize + 1, (0.0, 0.0));
                    windows[now as usize].0 += 1.0;
                }
                match self.offer(request, counts) {
                    Ok(true) if counts => {
                        *report.in_time.entry(team).or_default() += 1.0;
                        report.ranks[usize::from(request.rank)].1 += 1.0;
                        windows.resize(now as usize + 1, (0.0, 0.0));
                        windows[now as usize].1 += 1.0;
                    }
                    Err(wait) if request.tries == 0 => {
                        let at = now + wait;
                        let place = again.partition_point(|(other, _)| *other <= at);
                        again.insert(
                            place,
                            (
                                at,
                                Request {
                                    tries: 1,
                                    ..request
                                },
                            ),
                        );
                    }
                    Ok(_) | Err(_) => {}
                }
            }
            self.work(step, &mut report);
        }
        report.calm_from = from;
        for (second, (offered, in_time)) in windows.iter().enumerate() {
            if *in_time < 0.9 * offered {
                report.calm_from = second as f64 + 1.0;
            }
        }
        let mut shares: Vec<_> = self.routers.iter().filter(|r| r.offered > 0.0).collect();
        shares.sort_by(|a, b| b.offered.total_cmp(&a.offered));
        let part = |routers: &[&Router]| {
            let served: f64 = routers.iter().map(|router| router.served).sum();
            served / routers.iter().map(|router| router.offered).sum::<f64>()
        };
        report.busiest = part(&shares[..shares.len().div_ceil(10)]);
        report.median = part(&shares[shares.len() / 2..=shares.len() / 2]);
        report
    }

    /// Sends a request to a router. Returns whether it is served in time, or the time after which it comes
    /// again.
    fn offer(&mut self, request: Request, counts: bool) -> Result<bool, f64> {
        let kept = self.idle[request.caller].len();
        let reuse = request.tries == 0 && kept > 0 && self.rng.random_bool(KEPT);
        let index = match reuse {
            true => {
                let place = self.rng.random_range(0..kept);
                self.idle[request.caller].swap_remove(place)
            }
            false => self.balance(request.caller),
        };
        let team = self.callers[request.caller].team;
        let router = &mut self.routers[index];
        router.offered += f64::from(u8::from(counts));
        let arrival = Arrival {
            team,
            rank: request.rank,
        };
        if let Some(Err(refused)) = router.policy.as_mut().map(|policy| policy.admit(arrival)) {
            router.backlog += REFUSAL_COST / router.speed;
            if !refused.reconnect {
                self.idle[request.caller].push(index);
            }
            return Err(refused.retry_after.as_secs_f64());
        }
        router.backlog += ARRIVAL_COST / router.speed;
        let steps = (SERVICE_TIME / STEP) as usize;
        router.coming.resize(router.coming.len().max(steps), 0.0);
        for step in 0..steps {
            router.coming[step] += SERVICE_COST / router.speed / steps as f64;
        }
        let in_time = router.backlog < LATE_AFTER;
        router.served += f64::from(u8::from(counts && in_time));
        self.idle[request.caller].push(index);
        Ok(in_time)
    }

    /// Lets each router work for one step, and the balancer check them each second.
    fn work(&mut self, step: u32, report: &mut Report) {
        let is_withdrawn = |router: &Router| {
            let policy = router.policy.as_ref();
            policy.is_some_and(Crowding::is_withdrawn)
        };
        let use_of = |router: &Router| router.policy.as_ref().map_or(0.0, Crowding::busy);
        let now = self
            .routers
            .iter()
            .map(|router| (is_withdrawn(router), use_of(router)));
        let now: Vec<_> = now.collect();
        report.withdrawn = count_withdrawn(&now);
        self.history.push_back(now);
        if self.history.len() > KNOWN_AFTER_STEPS {
            self.history.pop_front();
        }
        let known = &self.history[0];
        let removed = self.routers.iter().filter(|router| !router.in_rotation);
        report.removed = report.removed.max(removed.count());
        for (index, router) in self.routers.iter_mut().enumerate() {
            router.backlog += router.coming.pop_front().unwrap_or_default();
            let done = router.backlog.min(STEP);
            router.backlog -= done;
            router.used += done;
            if step.is_multiple_of(OBSERVE_STEPS) {
                let elapsed = STEP * f64::from(OBSERVE_STEPS);
                let busy = std::mem::take(&mut router.used) / elapsed;
                if let Some(policy) = &mut router.policy {
                    let elapsed = Duration::from_secs_f64(elapsed);
                    let usage = Usage {
                        processor: busy,
                        link: 0.0,
                        requests: 0.0,
                    };
                    let changed = policy.observe(usage, elapsed, neighbours(known, index));
                    router.changes += u32::from(changed.is_some());
                    report.changes = report.changes.max(router.changes);
                }
            }
            if step % 100 == 50 {
                let failed = is_withdrawn(router);
                router.failed_checks = if failed { router.failed_checks + 1 } else { 0 };
                router.in_rotation = router.failed_checks < 2;
            }
        }
    }
}
