//! The queues, one for each model and plain service.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::outcome::Reason;
use fescue_core::rules::{Book, Setting, Upstream};
use fescue_core::{
    DataCentreId, ModelId, Priority, Refusal, RequestId, ServiceId, TeamId, Tokens, UpstreamId,
    Weight, hash,
};
use fescue_policy::placement::{self, Candidate, Choice};
use fescue_policy::queue::{Queue, Shares, Ticket, Waiting};
use fescue_policy::retry;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::oneshot;

use super::{Permit, names};
use crate::upstream::Upstreams;

/// The target of a priority that has no rule.
const DEFAULT_TARGET: Duration = Duration::from_secs(30);

/// What is waited for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Pool {
    /// An engine that serves a model.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
}

impl fmt::Display for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(model) => write!(f, "model {model}"),
            Self::Service(service) => write!(f, "service {service}"),
        }
    }
}

/// A request that wants an upstream.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its id.
    pub request: RequestId,
    /// Its team.
    pub team: TeamId,
    /// The team's weight.
    pub weight: Weight,
    /// Its priority.
    pub priority: Priority,
    /// Its upper bound in tokens.
    pub cost: Tokens,
    /// The tokens of its prompt.
    pub prompt: u64,
    /// The hash of its prompt's prefix.
    pub prefix: u64,
    /// Upstreams that failed it.
    pub avoid: Vec<UpstreamId>,
    /// Set for a request that was running at a crash: all routers send it to the same upstream.
    pub confine: Option<u64>,
    /// The longest it may wait, where that is less than its priority's patience.
    pub patience: Option<Duration>,
}

type Sender = oneshot::Sender<Result<Permit, Refusal>>;

struct Entry {
    job: Job,
    sender: Sender,
    since: Duration,
}

/// One queue.
struct Lane {
    queue: Queue,
    entries: HashMap<Ticket, Entry>,
    upstreams: Vec<Arc<Upstream>>,
}

/// A granted request.
pub(super) struct Grant {
    pub(super) upstream: Arc<Upstream>,
    pub(super) sender: Sender,
}

/// All queues of a router.
pub struct Pools {
    lanes: IndexMap<Pool, Lane>,
    book: Arc<Book>,
    dice: SmallRng,
}

impl Default for Pools {
    fn default() -> Self {
        Self {
            lanes: IndexMap::new(),
            book: Arc::default(),
            dice: SmallRng::from_os_rng(),
        }
    }
}

impl Pools {
    /// Takes over the rules in force.
    pub fn take_rules(&mut self, book: &Arc<Book>) {
        self.book = Arc::clone(book);
        let shares = shares(book);
        for (pool, lane) in &mut self.lanes {
            lane.queue.set_shares(shares);
            lane.upstreams = serving(book, pool);
        }
    }

    /// Adds a request to its queue.
    pub(super) fn push(
        &mut self,
        pool: &Pool,
        ticket: Ticket,
        job: Job,
        sender: Sender,
        upstreams: &Upstreams,
        now: Duration,
    ) -> Result<(), Refusal> {
        let patience = self.patience(&job);
        let lane = self.lane(pool);
        if lane.upstreams.is_empty() {
            let message = format!("no upstream serves {pool}");
            return Err(Refusal::not_run(Reason::NotFound, message));
        }
        let ahead = lane.queue.ahead(job.priority, &job.team);
        let rate = upstreams.service_rate(names(&lane.upstreams));
        let wait = retry::expected_wait(ahead, rate);
        if wait > patience {
            let message = format!("{ahead} requests wait before this one");
            let refusal = Refusal::not_run(Reason::Overload, message);
            return Err(refusal.after(retry::pause(wait)));
        }
        lane.queue.push(Waiting {
            ticket,
            priority: job.priority,
            team: job.team.clone(),
            weight: job.weight,
            cost: job.cost,
            deadline: now + patience,
        });
        let since = now;
        let entry = Entry { job, sender, since };
        lane.entries.insert(ticket, entry);
        Ok(())
    }

    /// Takes out a request whose caller went.
    pub(super) fn leave(&mut self, pool: &Pool, ticket: Ticket) {
        if let Some(lane) = self.lanes.get_mut(pool) {
            lane.queue.remove(ticket);
            lane.entries.remove(&ticket);
        }
    }

    /// Refuses the requests whose time is over.
    pub(super) fn expire(&mut self, now: Duration, refusal: impl Fn() -> Refusal) {
        for lane in self.lanes.values_mut() {
            for waiting in lane.queue.expire(now) {
                if let Some(entry) = lane.entries.remove(&waiting.ticket) {
                    let _gone = entry.sender.send(Err(refusal()));
                }
            }
        }
    }

    /// Gives out the capacity that there is.
    pub(super) fn grant(
        &mut self,
        upstreams: &mut Upstreams,
        near: &DataCentreId,
        now: Duration,
    ) -> Vec<Grant> {
        let ceiling = self.book.setting(Setting::BulkCeiling);
        let mut grants = Vec::new();
        for (pool, lane) in &mut self.lanes {
            while let Some(grant) = lane.next(pool, upstreams, near, now, ceiling, &mut self.dice) {
                grants.push(grant);
            }
        }
        grants
    }

    /// Returns how many requests wait in each queue.
    pub fn waiting(&self) -> Vec<(String, usize)> {
        let lanes = self.lanes.iter();
        lanes
            .map(|(pool, lane)| (pool.to_string(), lane.queue.len()))
            .collect()
    }

    fn patience(&self, job: &Job) -> Duration {
        let rule = self.book.priorities.get(&job.priority);
        let target = rule.map_or(DEFAULT_TARGET, |rule| rule.target);
        let percent = self.book.setting(Setting::QueuePatience) as u32;
        let patience = target * percent / 100;
        job.patience.map_or(patience, |most| patience.min(most))
    }

    fn lane(&mut self, pool: &Pool) -> &mut Lane {
        if !self.lanes.contains_key(pool) {
            let lane = Lane {
                queue: Queue::open(shares(&self.book)),
                entries: HashMap::new(),
                upstreams: serving(&self.book, pool),
            };
            self.lanes.insert(pool.clone(), lane);
        }
        &mut self.lanes[pool]
    }
}

impl Lane {
    /// Grants the next request, if an upstream is open.
    fn next(
        &mut self,
        pool: &Pool,
        upstreams: &mut Upstreams,
        near: &DataCentreId,
        now: Duration,
        ceiling: u64,
        dice: &mut SmallRng,
    ) -> Option<Grant> {
        if self.queue.is_empty() {
            return None;
        }
        let any = |c: &Candidate| c.open;
        if !self.candidates(upstreams, near, 0, 0, now).iter().any(any) {
            return None;
        }
        let bulk = upstreams.any_open_to_bulk(names(&self.upstreams), ceiling);
        let waiting = self.queue.pop(|p| p != Priority::Bulk || bulk)?;
        let entry = self.entries.remove(&waiting.ticket)?;
        let job = &entry.job;
        let mut candidates = self.candidates(upstreams, near, job.prefix, job.prompt, now);
        self.narrow(job, upstreams, &mut candidates);
        let Some(choice) = placement::choose(dice, job.prefix, &candidates) else {
            // Only the upstream that it is confined to would do, and that one is not open.
            self.entries.insert(waiting.ticket, entry);
            self.queue.push(waiting);
            return None;
        };
        let upstream = Arc::clone(&self.upstreams[choice.index]);
        upstreams.start(&upstream.name, job.prefix);
        self.log(pool, &entry, &choice, &candidates, now);
        let sender = entry.sender;
        Some(Grant { upstream, sender })
    }

    fn candidates(
        &self,
        upstreams: &Upstreams,
        near: &DataCentreId,
        prefix: u64,
        prompt: u64,
        now: Duration,
    ) -> Vec<Candidate> {
        let states = self.upstreams.iter().map(|rule| upstreams.get(&rule.name));
        let closed = Candidate {
            member: 0,
            wait: Duration::ZERO,
            prefill: Duration::ZERO,
            trip: Duration::ZERO,
            load: 0.0,
            open: false,
        };
        let weigh = |state: Option<&crate::upstream::State>| {
            state.map_or(closed, |state| state.candidate(near, prefix, prompt, now))
        };
        states.map(weigh).collect()
    }

    /// Closes the candidates that a request must not or should not go to.
    fn narrow(&self, job: &Job, upstreams: &Upstreams, candidates: &mut [Candidate]) {
        if let Some(fingerprint) = job.confine {
            let up = |index: usize| {
                let state = upstreams.get(&self.upstreams[index].name);
                state.is_some_and(|state| state.is_up())
            };
            let up = candidates.iter().enumerate().filter(|(i, _)| up(*i));
            let place = up.max_by_key(|(_, c)| hash::score(fingerprint, c.member));
            let place = place.map(|(index, _)| index);
            for (index, candidate) in candidates.iter_mut().enumerate() {
                candidate.open &= Some(index) == place;
            }
            return;
        }
        let avoided = |index: usize| job.avoid.contains(&self.upstreams[index].name);
        let mut open = candidates.iter().enumerate().filter(|(_, c)| c.open);
        if open.any(|(index, _)| !avoided(index)) {
            for (index, candidate) in candidates.iter_mut().enumerate() {
                candidate.open &= !avoided(index);
            }
        }
    }

    fn log(&self, pool: &Pool, entry: &Entry, choice: &Choice, costs: &[Candidate], now: Duration) {
        let name = |index: usize| self.upstreams[index].name.as_str();
        let job = &entry.job;
        tracing::info!(
            target: "decision",
            request = %job.request,
            team = %job.team,
            priority = %job.priority,
            pool = %pool,
            upstream = name(choice.index),
            why = choice.why.as_str(),
            cost_us = costs[choice.index].cost().as_micros() as u64,
            next = choice.next.map(name),
            next_cost_us = choice.next.map(|index| costs[index].cost().as_micros() as u64),
            open = costs.iter().filter(|c| c.open).count(),
            waited_ms = now.saturating_sub(entry.since).as_millis() as u64,
            "placed"
        );
    }
}

fn shares(book: &Book) -> Shares {
    let mut shares = Shares::default();
    for (priority, rule) in &book.priorities {
        shares.0[priority.index()] = rule.share;
    }
    shares
}

fn serving(book: &Book, pool: &Pool) -> Vec<Arc<Upstream>> {
    let arcs = |upstream: &Upstream| Arc::new(upstream.clone());
    match pool {
        Pool::Model(model) => book.serving(model).map(arcs).collect(),
        Pool::Service(service) => book.providing(service).map(arcs).collect(),
    }
}
