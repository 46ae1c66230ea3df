//! The queues, one for each model and plain service.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::rules::{RuleSet, Setting, Upstream};
use fescue_core::{
    DataCentreId, ModelId, Priority, Refusal, RequestId, ServiceId, TeamId, Tokens, UpstreamId,
    Weight,
};
use fescue_policy::queue::Ticket;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::oneshot;

use super::Permit;
use super::lane::{Lane, View};
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

pub(super) type Sender = oneshot::Sender<Result<Permit, Refusal>>;

/// A request that waits.
pub(super) struct Entry {
    pub(super) job: Job,
    pub(super) sender: Sender,
    pub(super) since: Duration,
}

/// A granted request.
pub(super) struct Grant {
    pub(super) upstream: Arc<Upstream>,
    pub(super) sender: Sender,
}

/// All queues of a router.
pub struct Pools {
    lanes: IndexMap<Pool, Lane>,
    book: Arc<RuleSet>,
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
    /// Takes over the rules in force, which `upstreams` has taken over before.
    pub fn take_rules(&mut self, book: &Arc<RuleSet>, upstreams: &Upstreams) {
        self.book = Arc::clone(book);
        for (pool, lane) in &mut self.lanes {
            lane.take_rules(book, pool, upstreams);
        }
    }

    /// Adds a request to its queue.
    pub(super) fn push(
        &mut self,
        pool: &Pool,
        ticket: Ticket,
        entry: Entry,
        upstreams: &Upstreams,
    ) -> Result<(), Refusal> {
        let patience = self.patience(&entry.job);
        if !self.lanes.contains_key(pool) {
            let lane = Lane::open(&self.book, pool, upstreams);
            self.lanes.insert(pool.clone(), lane);
        }
        self.lanes[pool].push(pool, ticket, entry, patience, upstreams)
    }

    /// Takes out a request whose caller went.
    pub(super) fn leave(&mut self, pool: &Pool, team: &TeamId, ticket: Ticket) {
        if let Some(lane) = self.lanes.get_mut(pool) {
            lane.leave(team, ticket);
        }
    }

    /// Refuses the requests whose time is over.
    pub(super) fn expire(&mut self, now: Duration, refusal: impl Fn() -> Refusal) {
        for lane in self.lanes.values_mut() {
            for entry in lane.expire(now) {
                let _gone = entry.sender.send(Err(refusal()));
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
        let mut view = View {
            upstreams,
            near,
            now,
            ceiling: self.book.setting(Setting::BulkCeiling),
            dice: &mut self.dice,
        };
        let mut grants = Vec::new();
        for (pool, lane) in &mut self.lanes {
            while let Some(grant) = lane.next(pool, &mut view) {
                grants.push(grant);
            }
        }
        grants
    }

    /// Returns how many requests wait in each queue.
    pub fn waiting(&self) -> Vec<(String, usize)> {
        let lanes = self.lanes.iter();
        lanes
            .map(|(pool, lane)| (pool.to_string(), lane.waiting()))
            .collect()
    }

    fn patience(&self, job: &Job) -> Duration {
        let rule = self.book.priorities.get(&job.priority);
        let target = rule.map_or(DEFAULT_TARGET, |rule| rule.target);
        let percent = self.book.setting(Setting::QueueWait) as u32;
        let patience = target * percent / 100;
        job.patience.map_or(patience, |most| patience.min(most))
    }
}
