//! The queue of one pool and the upstreams that serve it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::outcome::Reason;
use fescue_core::rules::{RuleSet, Upstream};
use fescue_core::{DataCentreId, Priority, Refusal, TeamId, hash};
use fescue_policy::placement::{self, Candidate, Candidates, Choice, Ring};
use fescue_policy::queue::{Queue, Shares, Ticket, Waiting};
use fescue_policy::retry;
use rand::rngs::SmallRng;

use super::continuations::Continuations;
use super::pools::{Entry, Grant, Job, Pool};
use crate::upstream::{State, Upstreams};

/// The time after which a continuation returns to an upstream where the answer broke off, although another
/// of its software version may open later.
const RETURN_DELAY: Duration = Duration::from_secs(1);

/// The queue of one pool, with the upstreams that requests in it can be assigned to.
pub(super) struct PoolQueue {
    queue: Queue,
    entries: HashMap<Ticket, Entry>,
    continuations: Continuations,
    rules: Vec<Arc<Upstream>>,
    /// The indices of the upstreams in [`Upstreams`], parallel to `rules`.
    indices: Vec<usize>,
    ring: Ring,
}

/// The state outside of the queue that a grant depends on.
pub(super) struct GrantContext<'a> {
    pub(super) upstreams: &'a mut Upstreams,
    pub(super) local: &'a DataCentreId,
    pub(super) now: Duration,
    /// The share of an upstream's slots that bulk work may use, in percent.
    pub(super) bulk_ceiling: u64,
    pub(super) rng: &'a mut SmallRng,
}

/// The upstreams of a queue as placement candidates for one job.
struct QueueCandidates<'a> {
    queue: &'a PoolQueue,
    upstreams: &'a Upstreams,
    local: &'a DataCentreId,
    now: Duration,
    job: &'a Job,
    /// Whether upstreams where an attempt at the job failed are left out.
    skip_failed: bool,
}

impl Candidates for QueueCandidates<'_> {
    fn len(&self) -> usize {
        self.queue.indices.len()
    }

    fn candidate(&self, index: usize) -> Candidate {
        let Some(state) = self.upstreams.at(self.queue.indices[index]) else {
            return Candidate::CLOSED;
        };
        let job = self.job;
        if self.skip_failed && job.failed.contains(&self.queue.rules[index].name) {
            return Candidate::CLOSED;
        }
        if job.version.is_some() && state.version() != job.version.as_ref() {
            return Candidate::CLOSED;
        }
        state.candidate(self.local, job.prefix, job.prompt, self.now)
    }
}

impl PoolQueue {
    pub(super) fn open(book: &RuleSet, pool: &Pool, upstreams: &Upstreams) -> Self {
        let mut queue = Self {
            queue: Queue::default(),
            entries: HashMap::new(),
            continuations: Continuations::default(),
            rules: Vec::new(),
            indices: Vec::new(),
            ring: Ring::default(),
        };
        queue.apply_rules(book, pool, upstreams);
        queue
    }

    /// Applies the rules in force.
    pub(super) fn apply_rules(&mut self, book: &RuleSet, pool: &Pool, upstreams: &Upstreams) {
        let known = serving(book, pool);
        let known = known.filter_map(|u| Some((u, upstreams.index_of(&u.name)?)));
        let known: Vec<_> = known.collect();
        self.rules = known.iter().map(|(u, _)| Arc::new((*u).clone())).collect();
        self.indices = known.iter().map(|(_, index)| *index).collect();
        let members = self.indices.iter().filter_map(|index| upstreams.at(*index));
        self.ring = Ring::open(members.map(State::ring_id));
        self.queue.set_shares(shares(book));
    }

    /// Adds a request, or refuses it if no upstream serves the pool or the expected wait is over
    /// `max_wait`.
    pub(super) fn push(
        &mut self,
        pool: &Pool,
        ticket: Ticket,
        entry: Entry,
        max_wait: Duration,
        upstreams: &Upstreams,
    ) -> Result<(), Refusal> {
        if self.rules.is_empty() {
            let message = format!("no upstream serves {pool}");
            return Err(Refusal::not_run(Reason::NotFound, message));
        }
        let job = &entry.job;
        if job.version.is_some() {
            if !self.has_prospect(job, upstreams, entry.queued_at) {
                return Err(version_gone());
            }
            let deadline = entry.queued_at + max_wait;
            self.continuations.push(ticket, entry, deadline);
            return Ok(());
        }
        let ahead = self.queue.ahead(job.priority, &job.team);
        if ahead > 0 {
            let rate = upstreams.service_rate(&self.indices);
            let wait = retry::expected_wait(ahead, rate);
            if wait > max_wait {
                let message = format!("{ahead} requests wait before this one");
                let refusal = Refusal::not_run(Reason::Overload, message);
                return Err(refusal.with_retry_after(retry::retry_after(wait)));
            }
        }
        self.queue.push(Waiting {
            ticket,
            priority: job.priority,
            team: job.team.clone(),
            weight: job.weight,
            cost: job.cost,
            deadline: entry.queued_at + max_wait,
        });
        self.entries.insert(ticket, entry);
        Ok(())
    }

    /// Removes a request that is no longer awaited.
    pub(super) fn remove(&mut self, team: &TeamId, ticket: Ticket) {
        self.queue.remove(team, ticket);
        self.entries.remove(&ticket);
        self.continuations.remove(ticket);
    }

    /// Removes and returns the requests whose deadline has passed.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<Entry> {
        let late = self.queue.expire(now);
        let late = late.iter().map(|waiting| waiting.ticket);
        let late = late.filter_map(|ticket| self.entries.remove(&ticket));
        late.chain(self.continuations.expire(now)).collect()
    }

    /// Refuses the continuations that no upstream of their software version can serve soon.
    pub(super) fn refuse_hopeless(&mut self, context: &GrantContext<'_>) {
        if self.continuations.is_empty() {
            return;
        }
        let mut continuations = std::mem::take(&mut self.continuations);
        let has_prospect = |job: &Job| self.has_prospect(job, context.upstreams, context.now);
        for entry in continuations.extract_hopeless(has_prospect) {
            let _dropped = entry.sender.send(Err(version_gone()));
        }
        self.continuations = continuations;
    }

    /// Returns whether an upstream may soon be open to a continuation.
    fn has_prospect(&self, job: &Job, upstreams: &Upstreams, now: Duration) -> bool {
        let version = job.version.as_ref();
        let suits = |state: &State| version.is_some_and(|version| state.may_go_on(version, now));
        let mut states = self.indices.iter().filter_map(|index| upstreams.at(*index));
        states.any(suits)
    }

    /// Returns whether a continuation may return to an upstream where the answer broke off: no other has its
    /// software version, or none was open in time.
    fn may_return(&self, entry: &Entry, context: &GrantContext<'_>) -> bool {
        let Some(version) = &entry.job.version else {
            return true;
        };
        let is_other = |state: &State| !entry.job.failed.contains(&state.rule().name);
        let mut states = self.indices.iter().filter_map(|i| context.upstreams.at(*i));
        let other = states.any(|state| is_other(state) && state.may_go_on(version, context.now));
        !other || context.now.saturating_sub(entry.queued_at) >= RETURN_DELAY
    }

    pub(super) fn len(&self) -> usize {
        self.queue.len() + self.continuations.len()
    }

    /// Assigns the next request to an upstream, if one is open to it.
    pub(super) fn grant_next(
        &mut self,
        pool: &Pool,
        context: &mut GrantContext<'_>,
    ) -> Option<Grant> {
        let resumed = self.grant_continuation(pool, context);
        if resumed.is_some() {
            return resumed;
        }
        if self.queue.is_empty() || !self.has_capacity(context, None) {
            return None;
        }
        let only_bulk = self.queue.len() == self.queue.waiting(Priority::Bulk);
        let bulk_allowed = !only_bulk || self.has_capacity(context, Some(context.bulk_ceiling));
        let waiting = self.queue.pop(|p| p != Priority::Bulk || bulk_allowed)?;
        let entry = self.entries.remove(&waiting.ticket)?;
        let Some(choice) = self.choose(&entry, context) else {
            // An isolated request can only go to its one upstream, which is not open now.
            self.entries.insert(waiting.ticket, entry);
            self.queue.push(waiting);
            return None;
        };
        Some(self.assign(pool, entry, &choice, context))
    }

    /// Assigns the first continuation for which an upstream of its software version is open.
    fn grant_continuation(&mut self, pool: &Pool, context: &mut GrantContext<'_>) -> Option<Grant> {
        for ticket in self.continuations.tickets() {
            let entry = self.continuations.get(ticket)?;
            let is_bulk = entry.job.priority == Priority::Bulk;
            if is_bulk && !self.has_capacity(context, Some(context.bulk_ceiling)) {
                continue;
            }
            if let Some(choice) = self.choose(entry, context) {
                let entry = self.continuations.remove(ticket)?;
                return Some(self.assign(pool, entry, &choice, context));
            }
        }
        None
    }

    fn assign(
        &self,
        pool: &Pool,
        entry: Entry,
        choice: &Choice,
        context: &mut GrantContext<'_>,
    ) -> Grant {
        let upstream = Arc::clone(&self.rules[choice.best.index]);
        context
            .upstreams
            .record_start(&upstream.name, entry.job.prefix, context.now);
        self.log(pool, &entry, choice, context.now);
        let sender = entry.sender;
        Grant { upstream, sender }
    }

    /// Returns whether any upstream is open, and below `bulk_ceiling` percent if that is given.
    fn has_capacity(&self, context: &GrantContext<'_>, bulk_ceiling: Option<u64>) -> bool {
        let mut states = self.indices.iter().filter_map(|i| context.upstreams.at(*i));
        states.any(|state| {
            let below = bulk_ceiling.is_none_or(|ceiling| state.is_open_to_bulk(ceiling));
            below && state.is_open(context.now)
        })
    }

    fn choose(&self, entry: &Entry, context: &mut GrantContext<'_>) -> Option<Choice> {
        let job = &entry.job;
        let may_return = self.may_return(entry, context);
        let mut candidates = QueueCandidates {
            queue: self,
            upstreams: context.upstreams,
            local: context.local,
            now: context.now,
            job,
            skip_failed: !job.failed.is_empty(),
        };
        if let Some(fingerprint) = job.isolate {
            return self.isolated(fingerprint, &candidates);
        }
        let choice = placement::choose(context.rng, job.prefix, &self.ring, &candidates);
        if choice.is_some() || !candidates.skip_failed || !may_return {
            return choice;
        }
        candidates.skip_failed = false;
        placement::choose(context.rng, job.prefix, &self.ring, &candidates)
    }

    /// Returns the one upstream that all routers send requests with this fingerprint to; for continuations,
    /// it is one for each software version.
    fn isolated(&self, fingerprint: u64, candidates: &QueueCandidates<'_>) -> Option<Choice> {
        let state = |index: usize| candidates.upstreams.at(self.indices[index]);
        let version = candidates.job.version.as_ref();
        let suits = |s: &State| s.is_up() && (version.is_none() || s.version() == version);
        let up = (0..self.indices.len()).filter(|i| state(*i).is_some_and(suits));
        let member = |index: &usize| state(*index).map(State::ring_id).unwrap_or_default();
        let index = up.max_by_key(|index| hash::score(fingerprint, member(index)))?;
        let candidate = candidates.candidate(index);
        let cost = candidate.cost();
        candidate.open.then_some(Choice {
            best: placement::Scored { index, cost },
            reason: placement::Reason::Only,
            next: None,
        })
    }

    fn log(&self, pool: &Pool, entry: &Entry, choice: &Choice, now: Duration) {
        let name = |index: usize| self.rules[index].name.as_str();
        let micros = |cost: Duration| cost.as_micros() as u64;
        let job = &entry.job;
        tracing::info!(
            target: "decision",
            request = %job.request,
            team = %job.team,
            priority = %job.priority,
            pool = %pool,
            upstream = name(choice.best.index),
            why = choice.reason.as_str(),
            cost_us = micros(choice.best.cost),
            next = choice.next.map(|next| name(next.index)),
            next_cost_us = choice.next.map(|next| micros(next.cost)),
            waited_ms = now.saturating_sub(entry.queued_at).as_millis() as u64,
            "placed"
        );
    }
}

/// Returns the refusal of a continuation whose software version no upstream serves any more.
fn version_gone() -> Refusal {
    let message = "no upstream of the software version that began the answer is left";
    Refusal::not_run(Reason::NoUpstream, message)
}

fn shares(book: &RuleSet) -> Shares {
    let mut shares = Shares::default();
    for (priority, rule) in &book.priorities {
        shares.0[priority.index()] = rule.share;
    }
    shares
}

fn serving<'a>(book: &'a RuleSet, pool: &'a Pool) -> Box<dyn Iterator<Item = &'a Upstream> + 'a> {
    match pool {
        Pool::Model(model) => Box::new(book.upstreams_for_model(model)),
        Pool::Service(service) => Box::new(book.upstreams_for_service(service)),
    }
}
