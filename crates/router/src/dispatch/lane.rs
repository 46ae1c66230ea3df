//! One queue and the upstreams that serve it.

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

use super::pools::{Entry, Grant, Job, Pool};
use crate::upstream::{State, Upstreams};

/// One queue.
pub(super) struct Lane {
    queue: Queue,
    entries: HashMap<Ticket, Entry>,
    rules: Vec<Arc<Upstream>>,
    /// Where the upstreams are kept, in the order of the rules.
    places: Vec<usize>,
    ring: Ring,
}

/// What a grant is decided from besides the lane.
pub(super) struct View<'a> {
    pub(super) upstreams: &'a mut Upstreams,
    pub(super) near: &'a DataCentreId,
    pub(super) now: Duration,
    /// How many percent of an upstream bulk work may use.
    pub(super) ceiling: u64,
    pub(super) dice: &'a mut SmallRng,
}

/// The upstreams of a lane, as a job sees them.
struct Open<'a> {
    lane: &'a Lane,
    upstreams: &'a Upstreams,
    near: &'a DataCentreId,
    now: Duration,
    job: &'a Job,
    /// Whether upstreams that failed the job are left out.
    avoid: bool,
}

impl Candidates for Open<'_> {
    fn len(&self) -> usize {
        self.lane.places.len()
    }

    fn candidate(&self, index: usize) -> Candidate {
        let Some(state) = self.upstreams.at(self.lane.places[index]) else {
            return Candidate::CLOSED;
        };
        let job = self.job;
        if self.avoid && job.avoid.contains(&self.lane.rules[index].name) {
            return Candidate::CLOSED;
        }
        state.candidate(self.near, job.prefix, job.prompt, self.now)
    }
}

impl Lane {
    pub(super) fn open(book: &RuleSet, pool: &Pool, upstreams: &Upstreams) -> Self {
        let mut lane = Self {
            queue: Queue::default(),
            entries: HashMap::new(),
            rules: Vec::new(),
            places: Vec::new(),
            ring: Ring::default(),
        };
        lane.take_rules(book, pool, upstreams);
        lane
    }

    /// Takes over the rules in force.
    pub(super) fn take_rules(&mut self, book: &RuleSet, pool: &Pool, upstreams: &Upstreams) {
        let known = serving(book, pool);
        let known = known.filter_map(|u| Some((u, upstreams.index_of(&u.name)?)));
        let known: Vec<_> = known.collect();
        self.rules = known.iter().map(|(u, _)| Arc::new((*u).clone())).collect();
        self.places = known.iter().map(|(_, index)| *index).collect();
        let members = self.places.iter().filter_map(|index| upstreams.at(*index));
        self.ring = Ring::open(members.map(State::member));
        self.queue.set_shares(shares(book));
    }

    /// Adds a request, unless it would wait longer than it may.
    pub(super) fn push(
        &mut self,
        pool: &Pool,
        ticket: Ticket,
        entry: Entry,
        patience: Duration,
        upstreams: &Upstreams,
    ) -> Result<(), Refusal> {
        if self.rules.is_empty() {
            let message = format!("no upstream serves {pool}");
            return Err(Refusal::not_run(Reason::NotFound, message));
        }
        let job = &entry.job;
        let ahead = self.queue.ahead(job.priority, &job.team);
        if ahead > 0 {
            let rate = upstreams.service_rate(&self.places);
            let wait = retry::expected_wait(ahead, rate);
            if wait > patience {
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
            deadline: entry.since + patience,
        });
        self.entries.insert(ticket, entry);
        Ok(())
    }

    /// Takes out a request whose caller went.
    pub(super) fn leave(&mut self, team: &TeamId, ticket: Ticket) {
        self.queue.remove(team, ticket);
        self.entries.remove(&ticket);
    }

    /// Takes out the requests whose time is over.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<Entry> {
        let late = self.queue.expire(now);
        let late = late.iter().map(|waiting| waiting.ticket);
        late.filter_map(|ticket| self.entries.remove(&ticket))
            .collect()
    }

    /// Returns how many requests wait.
    pub(super) fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Grants the next request, if an upstream is open.
    pub(super) fn next(&mut self, pool: &Pool, view: &mut View<'_>) -> Option<Grant> {
        if self.queue.is_empty() || !self.has_room(view, None) {
            return None;
        }
        let only_bulk = self.queue.len() == self.queue.waiting(Priority::Bulk);
        let bulk = !only_bulk || self.has_room(view, Some(view.ceiling));
        let waiting = self.queue.pop(|p| p != Priority::Bulk || bulk)?;
        let entry = self.entries.remove(&waiting.ticket)?;
        let Some(choice) = self.choose(&entry.job, view) else {
            // Only the upstream that it is confined to would do, and that one is not open.
            self.entries.insert(waiting.ticket, entry);
            self.queue.push(waiting);
            return None;
        };
        let upstream = Arc::clone(&self.rules[choice.best.index]);
        view.upstreams.start(&upstream.name, entry.job.prefix);
        self.log(pool, &entry, &choice, view.now);
        let sender = entry.sender;
        Some(Grant { upstream, sender })
    }

    /// Returns whether an upstream is open, to bulk work where a ceiling is given.
    fn has_room(&self, view: &View<'_>, ceiling: Option<u64>) -> bool {
        let mut states = self.places.iter().filter_map(|i| view.upstreams.at(*i));
        states.any(|state| {
            let bulk = ceiling.is_none_or(|ceiling| state.is_open_to_bulk(ceiling));
            bulk && state.is_open(view.now)
        })
    }

    fn choose(&self, job: &Job, view: &mut View<'_>) -> Option<Choice> {
        let mut field = Open {
            lane: self,
            upstreams: view.upstreams,
            near: view.near,
            now: view.now,
            job,
            avoid: !job.avoid.is_empty(),
        };
        if let Some(fingerprint) = job.confine {
            return self.confined(fingerprint, &field);
        }
        let choice = placement::choose(view.dice, job.prefix, &self.ring, &field);
        if choice.is_some() || !field.avoid {
            return choice;
        }
        field.avoid = false;
        placement::choose(view.dice, job.prefix, &self.ring, &field)
    }

    /// Returns the one upstream that all routers send a suspect to.
    fn confined(&self, fingerprint: u64, field: &Open<'_>) -> Option<Choice> {
        let state = |index: usize| field.upstreams.at(self.places[index]);
        let up = (0..self.places.len()).filter(|i| state(*i).is_some_and(State::is_up));
        let member = |index: &usize| state(*index).map(State::member).unwrap_or_default();
        let index = up.max_by_key(|index| hash::score(fingerprint, member(index)))?;
        let candidate = field.candidate(index);
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
            waited_ms = now.saturating_sub(entry.since).as_millis() as u64,
            "placed"
        );
    }
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
