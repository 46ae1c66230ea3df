//! One data centre with its balancer, its callers, and a link of limited capacity before each router.
//!
//! Bodies from callers and answers from upstreams wait for the link in the order of their arrival. Callers use
//! an idle connection to the router that the balancer selects for them, and open a new one if none is idle, or
//! with a part of their requests. They send a refused request once more, after `Retry-After` or a third of the
//! time that they have left.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use fescue_core::hash;
use fescue_policy::crowding::{Arrival, Crowding, Usage};
use fescue_policy::link::LinkMonitor;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::neighbours::{Told, neighbours};

use super::report::{LARGE, Report, SMALL_CALLERS};
use super::requests::{KINDS, Request};

/// Milliseconds of one step, and steps between two observations of a router.
const STEP_MS: u64 = 10;
const OBSERVE_STEPS: u64 = 10;

/// Time after which routers know of each other, which the store's scans take, in milliseconds.
const KNOWN_AFTER_MS: u64 = 2000;

/// Bytes per second in one megabit per second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// The part of admitted requests for which a connection to an upstream is opened, and the milliseconds after
/// which that is given up.
const CONNECT_PART: f64 = 0.6;
const CONNECT_MS: u64 = 300;

/// Milliseconds until an upstream sends the first event, and the bytes of that event and of the acceptance of a
/// connection.
const FIRST_EVENT_MS: u64 = 40;
const FIRST_EVENT_BYTES: f64 = 300.0;
const HANDSHAKE_BYTES: f64 = 200.0;

/// The part of a caller's requests that open a connection although one is idle.
const NEW_PART: f64 = 0.2;

/// Between these seconds all callers send long streams at a multiple of their rate.
const BURST: (f64, f64) = (2.5, 9.0);
const BURST_FACTOR: f64 = 2.2;

/// What each caller with few requests sends in a second.
const SMALL_RATE: f64 = 2.0;

/// What waits for a link, or crosses it.
#[derive(Clone, Copy)]
enum Transfer {
    Handshake,
    Body(Request),
    /// The acceptance of a connection to an upstream that was asked for at some time.
    Connected(Request, u64),
    FirstEvent(Request),
    Answer(Request),
}

struct Router {
    /// Bytes that the link carries in one step.
    capacity: f64,
    policy: Crowding,
    monitor: LinkMonitor,
    queue: VecDeque<(f64, Transfer)>,
    /// Bytes that crossed the link since the last observation.
    crossed: f64,
    /// Those of requests.
    bodies: f64,
    failed_checks: u32,
}

impl Router {
    fn open(link_mbps: f64) -> Self {
        let capacity = link_mbps * BYTES_PER_MEGABIT;
        Self {
            capacity: capacity * STEP_MS as f64 / 1000.0,
            policy: Crowding::default(),
            monitor: LinkMonitor::open(capacity),
            queue: VecDeque::new(),
            crossed: 0.0,
            bodies: 0.0,
            failed_checks: 0,
        }
    }
}

/// What happens at a later step: a request is sent again, or something arrives before a router's link.
enum Event {
    Send(Request),
    Push(usize, Transfer),
}

pub struct DataCentre {
    routers: Vec<Router>,
    rates: Vec<f64>,
    /// The number of each caller's idle connections to each router.
    idle: Vec<Vec<u32>>,
    later: BTreeMap<u64, Vec<Event>>,
    /// Which routers had withdrawn, and their use, at each step of the last seconds.
    history: VecDeque<Vec<Told>>,
    order_seed: u64,
    step: u64,
    rng: StdRng,
}

impl DataCentre {
    /// Creates a data centre whose balancer prefers routers for the large caller in the order of `links`.
    pub fn open(links: &[f64], rate: f64, seed: u64) -> Self {
        let mut rates = vec![SMALL_RATE; SMALL_CALLERS + 1];
        rates[LARGE] = rate;
        Self {
            routers: links.iter().map(|link| Router::open(*link)).collect(),
            idle: vec![vec![0; links.len()]; rates.len()],
            rates,
            later: BTreeMap::new(),
            history: VecDeque::new(),
            order_seed: seed,
            step: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Restarts all routers at the same moment; those that had withdrawn know it from their rows.
    pub fn restart_all(&mut self) {
        for router in &mut self.routers {
            let withdrawn = router.policy.is_withdrawn();
            let link_mbps = router.capacity * 1000.0 / STEP_MS as f64 / BYTES_PER_MEGABIT;
            *router = Router::open(link_mbps);
            if withdrawn {
                router.policy.resume();
            }
        }
        self.idle.iter_mut().flatten().for_each(|idle| *idle = 0);
        self.later.clear();
    }

    /// Runs the load for some seconds.
    pub fn run(&mut self, seconds: f64) -> Report {
        let mut report = Report::open();
        let end = self.step + (seconds * 1000.0) as u64 / STEP_MS;
        while self.step < end {
            for event in self.later.remove(&self.step).unwrap_or_default() {
                match event {
                    Event::Send(request) => self.send(request),
                    Event::Push(router, transfer) => self.push(router, transfer),
                }
            }
            self.arrive(&mut report);
            for index in 0..self.routers.len() {
                self.transfer(index, &mut report);
            }
            self.observe(&mut report);
            self.step += 1;
        }
        report
    }

    fn now_ms(&self) -> u64 {
        self.step * STEP_MS
    }

    fn later(&mut self, after_ms: u64, event: Event) {
        let step = self.step + (after_ms / STEP_MS).max(1);
        self.later.entry(step).or_default().push(event);
    }

    /// Lets all callers send what they do in one step.
    fn arrive(&mut self, report: &mut Report) {
        for caller in 0..self.rates.len() {
            let mean = self.rates[caller] * STEP_MS as f64 / 1000.0;
            let burst = (BURST.0..BURST.1).contains(&(self.now_ms() as f64 / 1000.0));
            let kinds = KINDS.iter().enumerate().flat_map(|(index, kind)| {
                let factor = if burst && index == 0 {
                    BURST_FACTOR
                } else {
                    1.0
                };
                let mean = mean * kind.part * factor;
                let count = mean as usize + usize::from(self.rng.random_bool(mean.fract()));
                std::iter::repeat_n(index, count)
            });
            for kind in kinds.collect::<Vec<_>>() {
                report.offered[caller] += 1.0;
                report.owed[caller] += KINDS[kind].worth.0;
                self.send(Request {
                    caller,
                    kind,
                    retried: false,
                    since_ms: self.now_ms(),
                    in_time: false,
                });
            }
        }
    }

    /// Sends a request on an idle connection or a new one.
    fn send(&mut self, request: Request) {
        let router = self.balance(request.caller);
        let kept = !request.retried && !self.rng.random_bool(NEW_PART);
        let idle = &mut self.idle[request.caller][router];
        if kept && *idle > 0 {
            *idle -= 1;
        } else {
            self.push(router, Transfer::Handshake);
        }
        self.push(router, Transfer::Body(request));
    }

    fn push(&mut self, router: usize, transfer: Transfer) {
        let bytes = match transfer {
            Transfer::Body(request) => request.kind().request,
            Transfer::Handshake | Transfer::Connected(..) => HANDSHAKE_BYTES,
            Transfer::FirstEvent(_) => FIRST_EVENT_BYTES,
            Transfer::Answer(request) => request.kind().answer,
        };
        self.routers[router].queue.push_back((bytes, transfer));
    }

    /// Returns the router to which the balancer sends a caller's new connection.
    fn balance(&self, caller: usize) -> usize {
        let half = self.routers.len().div_ceil(2);
        let is_in = |index: &usize| self.routers[*index].failed_checks < 2;
        let all = (0..self.routers.len()).filter(is_in).count() < half;
        let usable = (0..self.routers.len()).filter(|index| all || is_in(index));
        let best = match caller {
            LARGE => usable.min(),
            _ => usable.max_by_key(|index| {
                hash::score(caller as u64 + self.order_seed * 1000, *index as u64)
            }),
        };
        best.expect("a data centre has routers")
    }

    /// Lets a router's link carry what it can in one step.
    fn transfer(&mut self, index: usize, report: &mut Report) {
        let mut left = self.routers[index].capacity;
        while left > 0.0 {
            let router = &mut self.routers[index];
            let Some((bytes, transfer)) = router.queue.front_mut() else {
                return;
            };
            let part = bytes.min(left);
            *bytes -= part;
            left -= part;
            router.crossed += part;
            if matches!(transfer, Transfer::Body(_)) {
                router.bodies += part;
            }
            if *bytes > 0.0 {
                return;
            }
            let transfer = *transfer;
            router.queue.pop_front();
            match transfer {
                Transfer::Handshake => {}
                Transfer::Body(request) => self.take(index, request),
                Transfer::Connected(request, asked_ms) => {
                    if self.now_ms() < asked_ms + CONNECT_MS {
                        self.place(index, request);
                    }
                }
                Transfer::FirstEvent(mut request) => {
                    let kind = request.kind();
                    request.in_time = self.now_ms() < request.since_ms + kind.target_ms;
                    let left_ms = kind.work_ms.saturating_sub(FIRST_EVENT_MS);
                    self.later(left_ms, Event::Push(index, Transfer::Answer(request)));
                }
                Transfer::Answer(request) => self.answer(index, request, report),
            }
        }
    }

    /// Lets a router decide on a request whose body has arrived.
    fn take(&mut self, index: usize, request: Request) {
        if request.deadline_ms() <= self.now_ms() {
            return;
        }
        let arrival = Arrival {
            team: request.caller as u64 + 1,
            rank: request.kind().rank,
        };
        match self.routers[index].policy.admit(arrival) {
            Ok(()) if self.rng.random_bool(CONNECT_PART) => {
                let connected = Transfer::Connected(request, self.now_ms());
                self.later(0, Event::Push(index, connected));
            }
            Ok(()) => self.place(index, request),
            Err(refused) => {
                self.idle[request.caller][index] += u32::from(!refused.reconnect);
                let left_ms = request.deadline_ms() - self.now_ms();
                let wait_ms = (refused.retry_after.as_millis() as u64).min(left_ms / 3);
                if !request.retried {
                    let request = Request {
                        retried: true,
                        ..request
                    };
                    self.later(wait_ms, Event::Send(request));
                }
            }
        }
    }

    /// Sends a request to an upstream.
    fn place(&mut self, index: usize, request: Request) {
        let event = Transfer::FirstEvent(request);
        self.later(FIRST_EVENT_MS, Event::Push(index, event));
    }

    /// Lets a caller receive an answer.
    fn answer(&mut self, index: usize, request: Request, report: &mut Report) {
        if self.now_ms() < request.deadline_ms() {
            let (in_time, late) = request.kind().worth;
            report.answered[request.caller] += 1.0;
            report.earned[request.caller] += if request.in_time { in_time } else { late };
        }
        let random = self.rng.random();
        let router = &self.routers[index];
        if router.policy.awaits_removal() || !router.monitor.should_shed(random) {
            self.idle[request.caller][index] += 1;
        }
    }

    /// Lets the routers look at their links, and the balancer check each of them once a second.
    fn observe(&mut self, report: &mut Report) {
        let now = self
            .routers
            .iter()
            .map(|router| (router.policy.is_withdrawn(), router.policy.busy()));
        self.history.push_back(now.collect());
        if self.history.len() as u64 > KNOWN_AFTER_MS / STEP_MS {
            self.history.pop_front();
        }
        let known = &self.history[0];
        for (index, router) in self.routers.iter_mut().enumerate() {
            if self.step.is_multiple_of(OBSERVE_STEPS) {
                let elapsed = Duration::from_millis(STEP_MS * OBSERVE_STEPS);
                let crossed = std::mem::take(&mut router.crossed);
                router.monitor.observe(crossed as u64, elapsed);
                let usage = Usage {
                    processor: 0.05,
                    link: router.monitor.current(),
                    requests: std::mem::take(&mut router.bodies)
                        / (router.capacity * OBSERVE_STEPS as f64),
                };
                let neighbours = neighbours(known, index);
                router.policy.observe(usage, elapsed, neighbours);
            }
            if self.step % 100 == index as u64 * 3 {
                let failed = router.policy.is_withdrawn();
                router.failed_checks = if failed { router.failed_checks + 1 } else { 0 };
            }
        }
        let removed = self
            .routers
            .iter()
            .filter(|router| router.failed_checks >= 2);
        report.removed = report.removed.max(removed.count());
    }
}
