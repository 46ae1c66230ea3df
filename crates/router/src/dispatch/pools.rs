//! The set of queues: one for each model and each plain service.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::rules::{RuleSet, Setting};
use fescue_core::{
    DataCentreId, ModelId, Priority, Refusal, RequestId, ServiceId, SoftwareVersion, TeamId,
    Tokens, UpstreamId, Weight,
};
use fescue_policy::queue::Ticket;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::oneshot;

use super::Permit;
use super::queue::{GrantContext, PoolQueue};
use crate::upstream::{Handle, Upstreams};

/// The target waiting time of a priority that has no rule.
const DEFAULT_TARGET: Duration = Duration::from_secs(30);

/// The shortest limit on the time in the queue, enough for a check of the queue.
const MIN_WAIT: Duration = Duration::from_millis(50);

/// The upstreams that can serve a request: those of one model or one plain service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Pool {
    /// The engines that serve a model.
    Model(ModelId),
    /// The providers of a plain service.
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

/// The properties of a request that queueing and placement depend on.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request's id, for the decision log.
    pub request: RequestId,
    /// The team that the request is queued under.
    pub team: TeamId,
    /// The team's weight in fair queueing.
    pub weight: Weight,
    /// The priority, which sets the share of capacity and the target waiting time.
    pub priority: Priority,
    /// The upper bound of what the request uses, in tokens.
    pub cost: Tokens,
    /// The estimated length of the prompt, in tokens; 0 for a plain service.
    pub prompt: u64,
    /// The hash of the prompt's prefix, which selects upstreams that may have it cached.
    pub prefix: u64,
    /// Upstreams where an attempt failed; used again only if no other is open.
    pub failed: Vec<UpstreamId>,
    /// The fingerprint of a request that was running when an upstream crashed, otherwise `None`.
    ///
    /// All routers send requests with the same fingerprint to the same upstream, so that a request
    /// that causes crashes can't take down several.
    pub isolate: Option<u64>,
    /// A limit on the time in the queue, if it is shorter than the one of the priority.
    pub max_wait: Option<Duration>,
    /// The software version that began the answer, if it is to go on; only upstreams that last reported it
    /// are considered.
    pub version: Option<SoftwareVersion>,
    /// The time that earlier attempts at the request have waited, which counts against both limits.
    pub waited: Duration,
}

pub(super) type Sender = oneshot::Sender<Result<Permit, Refusal>>;

/// A queued request.
pub(super) struct Entry {
    pub(super) job: Job,
    pub(super) sender: Sender,
    pub(super) queued_at: Duration,
    /// When its target can't be met any more.
    pub(super) deadline: Duration,
}

/// An upstream assigned to a queued request, and the channel that reports it.
pub(super) struct Grant {
    pub(super) upstream: Handle,
    pub(super) sender: Sender,
}

/// All queues of this router, created at the first request for each pool.
pub struct Pools {
    queues: IndexMap<Pool, PoolQueue>,
    book: Arc<RuleSet>,
    rng: SmallRng,
}

impl Default for Pools {
    fn default() -> Self {
        Self {
            queues: IndexMap::new(),
            book: Arc::default(),
            rng: SmallRng::from_os_rng(),
        }
    }
}

impl Pools {
    /// Applies the rules in force; `upstreams` must have applied them before.
    pub fn apply_rules(&mut self, book: &Arc<RuleSet>, upstreams: &Upstreams) {
        self.book = Arc::clone(book);
        self.queues.retain(|_, queue| !queue.is_unused());
        for (pool, queue) in &mut self.queues {
            queue.apply_rules(book, pool, upstreams);
        }
    }

    /// Adds a request to its queue.
    pub(super) fn push(
        &mut self,
        pool: &Pool,
        ticket: Ticket,
        (job, sender): (Job, Sender),
        queued_at: Duration,
        upstreams: &Upstreams,
    ) -> Result<(), Refusal> {
        let entry = Entry {
            deadline: queued_at + max_wait(&self.book, &job),
            job,
            sender,
            queued_at,
        };
        if !self.queues.contains_key(pool) {
            let queue = PoolQueue::open(&self.book, pool, upstreams);
            self.queues.insert(pool.clone(), queue);
        }
        self.queues[pool].push(pool, ticket, entry, upstreams)
    }

    /// Removes a request that is no longer awaited.
    pub(super) fn remove(&mut self, pool: &Pool, team: &TeamId, ticket: Ticket) {
        if let Some(queue) = self.queues.get_mut(pool) {
            queue.remove(team, ticket);
        }
    }

    /// Refuses the requests whose deadline has passed and those that nothing can serve any more.
    pub(super) fn refuse(&mut self, upstreams: &Upstreams, now: Duration, late: &Refusal) {
        for (pool, queue) in &mut self.queues {
            refuse_all(queue.expire(now), late);
            if let Some((entries, refusal)) = queue.take_unservable(pool, upstreams, now) {
                refuse_all(entries, &refusal);
            }
        }
    }

    /// Assigns free capacity to queued requests.
    pub(super) fn grant(
        &mut self,
        upstreams: &mut Upstreams,
        local: &DataCentreId,
        now: Duration,
    ) -> Vec<Grant> {
        let mut context = GrantContext {
            upstreams,
            local,
            now,
            bulk_ceiling: self.book.setting(Setting::BulkCeiling),
            rng: &mut self.rng,
        };
        let mut grants = Vec::new();
        for (pool, queue) in &mut self.queues {
            queue.refuse_hopeless(&context);
            while let Some(grant) = queue.grant_next(pool, &mut context) {
                grants.push(grant);
            }
        }
        grants
    }

    /// Returns the length of each queue, by the pool's display name.
    pub fn waiting(&self) -> Vec<(String, usize)> {
        let queues = self.queues.iter();
        queues
            .map(|(pool, queue)| (pool.to_string(), queue.len()))
            .collect()
    }
}

fn refuse_all(entries: Vec<Entry>, refusal: &Refusal) {
    for entry in entries {
        // A receiver that is gone belongs to a caller that has disconnected.
        let _dropped = entry.sender.send(Err(refusal.clone()));
    }
}

/// Returns how long a request may wait under these rules.
pub(super) fn max_wait(book: &RuleSet, job: &Job) -> Duration {
    let rule = book.priorities.get(&job.priority);
    let target = rule.map_or(DEFAULT_TARGET, |rule| rule.target);
    let percent = book.setting(Setting::QueueWait) as u32;
    let max_wait = target * percent / 100;
    let max_wait = job.max_wait.map_or(max_wait, |limit| max_wait.min(limit));
    // A later attempt may have used the time up, and still goes to an upstream that is free.
    max_wait.saturating_sub(job.waited).max(MIN_WAIT)
}
