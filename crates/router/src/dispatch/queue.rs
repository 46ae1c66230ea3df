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
use super::isolated::Isolated;
use super::pools::{Entry, Grant, Job, Pool, max_wait};
use crate::upstream::{State, Upstreams};

/// The `Retry-After` of a request whose pool has lost all upstreams; the next reports may bring one back.
const LOST_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The time after which a continuation returns to an upstream where the answer broke off, although another
/// of its software version may open later.
const RETURN_DELAY: Duration = Duration::from_secs(1);

/// The queue of one pool, with the upstreams that requests in it can be assigned to.
pub(super) struct PoolQueue {
    queue: Queue,
    /// The requests in `queue`.
    entries: HashMap<Ticket, Entry>,
    isolated: Isolated,
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
            isolated: Isolated::default(),
            continuations: Continuations::default(),
            rules: Vec::new(),
            indices: Vec::new(),
            ring: Ring::default(),
        };
        queue.apply_rules(book, pool, upstreams);
        queue
    }

    /// Applies the rules in force: the upstreams, the shares, and the deadlines of what waits.
    pub(super) fn apply_rules(&mut self, book: &RuleSet, pool: &Pool, upstreams: &Upstreams) {
        let known = serving(book, pool);
        let known = known.filter_map(|u| Some((u, upstreams.index_of(&u.name)?)));
        let known: Vec<_> = known.collect();
        self.rules = known.iter().map(|(u, _)| Arc::new((*u).clone())).collect();
        self.indices = known.iter().map(|(_, index)| *index).collect();
        let members = self.indices.iter().filter_map(|index| upstreams.at(*index));
        self.ring = Ring::open(members.map(State::ring_id));
        self.queue.set_shares(shares(book));
        self.set_deadlines(book);
    }

    fn set_deadlines(&mut self, book: &RuleSet) {
        let mut changed = false;
        for entry in self
            .entries
            .values_mut()
            .chain(self.isolated.iter_mut())
            .chain(self.continuations.iter_mut())
        {
            let deadline = entry.queued_at + max_wait(book, &entry.job);
            changed |= deadline != entry.deadline;
            entry.deadline = deadline;
        }
        if changed {
            let entries = &self.entries;
            self.queue
                .set_deadlines(|ticket| Some(entries.get(&ticket)?.deadline));
        }
    }

    /// Returns the refusal of all requests for the pool if nothing can serve them.
    fn unservable(&self, pool: &Pool, upstreams: &Upstreams, now: Duration) -> Option<Refusal> {
        if self.rules.is_empty() {
            let message = format!("no upstream serves {pool}");
            return Some(Refusal::not_run(Reason::NotFound, message));
        }
        let mut states = self.indices.iter().filter_map(|i| upstreams.at(*i));
        states.all(|state| state.is_lost(now)).then(|| {
            let message = format!("all upstreams of {pool} are down or leaving");
            Refusal::not_run(Reason::NoUpstream, message).with_retry_after(LOST_RETRY_AFTER)
        })
    }

    /// Removes and returns all requests if nothing can serve them, with their refusal.
    pub(super) fn take_unservable(
        &mut self,
        pool: &Pool,
        upstreams: &Upstreams,
        now: Duration,
    ) -> Option<(Vec<Entry>, Refusal)> {
        if self.len() == 0 {
            return None;
        }
        let refusal = self.unservable(pool, upstreams, now)?;
        Some((self.expire(Duration::MAX), refusal))
    }

    /// Adds a request, or refuses it if nothing can serve it or its deadline is expected to pass.
    pub(super) fn push(
        &mut self,
        pool: &Pool,
        ticket: Ticket,
        entry: Entry,
        upstreams: &Upstreams,
    ) -> Result<(), Refusal> {
        if let Some(refusal) = self.unservable(pool, upstreams, entry.queued_at) {
            return Err(refusal);
        }
        let job = &entry.job;
        if job.version.is_some() {
            if !self.has_prospect(job, upstreams, entry.queued_at) {
                return Err(version_gone());
            }
            self.continuations.push(ticket, entry);
            return Ok(());
        }
        let isolated = job.isolate.is_some();
        let ahead = match isolated {
            true => self.isolated.len(),
            false => self.queue.ahead(job.priority, &job.team),
        };
        if ahead > 0 {
            let rate = upstreams.service_rate(&self.indices);
            let wait = retry::expected_wait(ahead, rate);
            if wait > entry.deadline.saturating_sub(entry.queued_at) {
                let message = format!("{ahead} requests wait before this one");
                let refusal = Refusal::not_run(Reason::Overload, message);
                return Err(refusal.with_retry_after(retry::retry_after(wait)));
            }
        }
        if isolated {
            self.isolated.push(ticket, entry);
            return Ok(());
        }
        self.queue.push(Waiting {
            ticket,
            priority: job.priority,
            team: job.team.clone(),
            weight: job.weight,
            cost: job.cost,
            deadline: entry.deadline,
        });
        self.entries.insert(ticket, entry);
        Ok(())
    }

    /// Removes a request that is no longer awaited.
    pub(super) fn remove(&mut self, team: &TeamId, ticket: Ticket) {
        self.queue.remove(team, ticket);
        self.entries.remove(&ticket);
        self.isolated.remove(ticket);
        self.continuations.remove(ticket);
    }

    /// Removes and returns the requests whose deadline has passed.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<Entry> {
        let late = self.queue.expire(now);
        let late = late.iter().map(|waiting| waiting.ticket);
        let late = late.filter_map(|ticket| self.entries.remove(&ticket));
        let isolated = self.isolated.take_all(|entry| entry.deadline <= now);
        late.chain(isolated)
            .chain(self.continuations.expire(now))
            .collect()
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
        self.queue.len() + self.isolated.len() + self.continuations.len()
    }

    /// Returns whether the queue is empty and no upstream serves the pool.
    pub(super) fn is_unused(&self) -> bool {
        self.len() == 0 && self.rules.is_empty()
    }

    /// Assigns the next request to an upstream, if one is open to it.
    pub(super) fn grant_next(
        &mut self,
        pool: &Pool,
        context: &mut GrantContext<'_>,
    ) -> Option<Grant> {
        if self.len() == 0 || !self.has_capacity(context, None) {
            return None;
        }
        let next = self.next_continuation(context);
        let next = next.or_else(|| self.next_isolated(context));
        let (entry, choice) = next.or_else(|| self.next_queued(context))?;
        let index = self.indices[choice.best.index];
        let upstream = context.upstreams.at(index)?.handle();
        context
            .upstreams
            .record_start(&upstream, entry.job.prefix, context.now);
        self.log(pool, &entry, &choice, context.now);
        let sender = entry.sender;
        Some(Grant { upstream, sender })
    }

    /// Removes the first continuation for which an upstream of its software version is open.
    fn next_continuation(&mut self, context: &mut GrantContext<'_>) -> Option<(Entry, Choice)> {
        for ticket in self.continuations.tickets() {
            let entry = self.continuations.get(ticket)?;
            let is_bulk = entry.job.priority == Priority::Bulk;
            if is_bulk && !self.has_capacity(context, Some(context.bulk_ceiling)) {
                continue;
            }
            let choice = match entry.job.isolate {
                Some(_) => self.isolated(&entry.job, context),
                None => self.choose(entry, context),
            };
            if let Some(choice) = choice {
                return Some((self.continuations.remove(ticket)?, choice));
            }
        }
        None
    }

    /// Removes the first isolated request whose upstream is open.
    fn next_isolated(&mut self, context: &GrantContext<'_>) -> Option<(Entry, Choice)> {
        let mut isolated = std::mem::take(&mut self.isolated);
        let next = isolated.take(|entry| self.isolated(&entry.job, context));
        self.isolated = isolated;
        next
    }

    /// Removes the next request of the fair queue. Unlike an isolated one, it can go to any open upstream.
    fn next_queued(&mut self, context: &mut GrantContext<'_>) -> Option<(Entry, Choice)> {
        let only_bulk = self.queue.len() == self.queue.waiting(Priority::Bulk);
        let bulk_allowed = !only_bulk || self.has_capacity(context, Some(context.bulk_ceiling));
        let waiting = self.queue.pop(|p| p != Priority::Bulk || bulk_allowed)?;
        let entry = self.entries.remove(&waiting.ticket)?;
        let choice = self.choose(&entry, context)?;
        Some((entry, choice))
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
        let choice = placement::choose(context.rng, job.prefix, &self.ring, &candidates);
        if choice.is_some() || !candidates.skip_failed || !may_return {
            return choice;
        }
        candidates.skip_failed = false;
        placement::choose(context.rng, job.prefix, &self.ring, &candidates)
    }

    /// Returns the upstream that all routers send requests with the job's fingerprint to, if it is open: the
    /// first by hash of those that are up, after those where an attempt at the job failed are left out. For
    /// continuations, it is one for each software version.
    fn isolated(&self, job: &Job, context: &GrantContext<'_>) -> Option<Choice> {
        let fingerprint = job.isolate?;
        let state = |index: usize| {
            let state = context.upstreams.at(self.indices[index]);
            let version = job.version.as_ref();
            let suits = |s: &&State| s.is_up() && (version.is_none() || s.version() == version);
            state.filter(suits)
        };
        let score = |index: &usize| {
            let member = state(*index).map(State::ring_id).unwrap_or_default();
            hash::score(fingerprint, member)
        };
        let up = || (0..self.indices.len()).filter(|index| state(*index).is_some());
        let untried = |index: &usize| !job.failed.contains(&self.rules[*index].name);
        let first = up().filter(untried).max_by_key(score);
        let index = first.or_else(|| up().max_by_key(score))?;
        let state = state(index)?;
        let bulk = job.priority == Priority::Bulk;
        if !state.is_open(context.now) || (bulk && !state.is_open_to_bulk(context.bulk_ceiling)) {
            return None;
        }
        let candidate = state.candidate(context.local, job.prefix, job.prompt, context.now);
        let cost = candidate.cost();
        Some(Choice {
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
