//! What this router knows of each upstream.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::rules::{RuleSet, Upstream};
use fescue_core::{DataCentreId, UpstreamId, hash, record};
use fescue_policy::limit::{Breaker, Limit, Occupancy};
use fescue_policy::placement::Candidate;
use indexmap::{IndexMap, IndexSet};

/// The incarnation of an upstream that has given no report.
const UNKNOWN: u64 = 0;

/// How many prompt prefixes are believed cached at one upstream.
const PREFIXES: usize = 1024;

/// The expected time of a request at an upstream that has answered none yet.
const FIRST_GUESS: Duration = Duration::from_millis(200);

/// The shortest mean time that is reckoned with, in seconds.
const LEAST_MEAN: f64 = 0.001;

/// The weight of the newest request in the mean time of an upstream.
const NEWEST: f64 = 0.1;

/// The time to prefill one token that is not cached.
const PREFILL_TOKEN: Duration = Duration::from_micros(50);

/// The way to an upstream in another data centre and back.
const TRIP: Duration = Duration::from_millis(3);

/// What is known of one upstream.
#[derive(Debug)]
pub struct State {
    rule: Arc<Upstream>,
    member: u64,
    incarnation: u64,
    own: u32,
    limit: Limit,
    breaker: Breaker,
    occupancy: Occupancy,
    mean: Duration,
    prefixes: IndexSet<u64>,
    leaving: bool,
    /// Since when it answers nothing, until its next report.
    down: Option<Duration>,
}

record! {
    /// One upstream as operators see it.
    pub struct Snapshot {
        /// Its name.
        pub name: UpstreamId,
        /// Its data centre.
        pub data_centre: DataCentreId,
        /// This router's requests there.
        pub own: u32,
        /// All requests there, as estimated.
        pub estimate: u32,
        /// The slots that count now.
        pub slots: u32,
        /// Whether it gets no new work because it leaves.
        pub leaving: bool,
        /// Whether it gets no new work because it is down or failed.
        pub tripped: bool,
    }
}

impl State {
    fn open(rule: Arc<Upstream>) -> Self {
        Self {
            member: hash::digest64(rule.name.as_str().as_bytes()),
            incarnation: UNKNOWN,
            own: 0,
            limit: Limit::open(rule.slots, 1),
            breaker: Breaker::default(),
            occupancy: Occupancy::default(),
            mean: FIRST_GUESS,
            prefixes: IndexSet::new(),
            leaving: false,
            down: None,
            rule,
        }
    }

    /// Returns the number that every router has for the upstream.
    pub fn member(&self) -> u64 {
        self.member
    }

    /// Returns the upstream's rule.
    pub fn rule(&self) -> &Arc<Upstream> {
        &self.rule
    }

    /// Weighs the upstream for a request of `tokens` prompt tokens whose prefix hashes to `prefix`.
    pub fn candidate(
        &self,
        near: &DataCentreId,
        prefix: u64,
        tokens: u64,
        now: Duration,
    ) -> Candidate {
        let slots = self.limit.slots();
        let there = self.occupancy.estimate().max(self.own);
        let ahead = (there + 1).saturating_sub(slots);
        let wait = self.mean.mul_f64(f64::from(ahead) / f64::from(slots));
        let cached = self.prefixes.contains(&prefix);
        let left = if cached {
            0
        } else {
            tokens.min(u64::from(u32::MAX))
        };
        let trip = if &self.rule.data_centre == near {
            Duration::ZERO
        } else {
            TRIP
        };
        Candidate {
            wait,
            prefill: PREFILL_TOKEN * left as u32,
            latency: trip,
            load: f64::from(there) / f64::from(slots),
            open: self.is_open(now),
        }
    }

    /// Returns whether it may get one more request now.
    pub fn is_open(&self, now: Duration) -> bool {
        let allowed = self.limit.allows(self.own, &self.occupancy);
        allowed && self.is_up() && self.breaker.allows(now)
    }

    /// Returns whether it may get new work once it has room.
    pub fn is_up(&self) -> bool {
        !self.leaving && self.down.is_none()
    }

    /// Returns whether it would still be open to bulk work, which may use `ceiling` percent.
    pub fn is_open_to_bulk(&self, ceiling: u64) -> bool {
        let slots = u64::from(self.limit.slots());
        let there = self.occupancy.estimate().max(self.own);
        u64::from(there) < (slots * ceiling).div_ceil(100)
    }

    /// Notes that a request goes there.
    fn start(&mut self, prefix: u64) {
        self.own += 1;
        self.occupancy.sent += 1;
        self.breaker.start();
        self.prefixes.shift_remove(&prefix);
        self.prefixes.insert(prefix);
        if self.prefixes.len() > PREFIXES {
            self.prefixes.shift_remove_index(0);
        }
    }

    /// Notes that a request ended: well, badly, or without saying anything of the upstream.
    fn end(&mut self, now: Duration, took: Duration, good: Option<bool>) {
        self.own = self.own.saturating_sub(1);
        self.occupancy.ended += 1;
        match good {
            Some(good) => {
                self.breaker.record(now, good);
                self.limit.record(good);
            }
            None => self.breaker.abandon(),
        }
        if good == Some(true) {
            self.mean = self.mean.mul_f64(1.0 - NEWEST) + took.mul_f64(NEWEST);
        }
    }
}

/// All upstreams of the rules in force.
#[derive(Debug, Default)]
pub struct Upstreams {
    states: IndexMap<UpstreamId, State>,
    /// Upstreams that are known to leave, each with its incarnation; a lagging report of another
    /// source doesn't bring them back.
    leaving: IndexSet<(UpstreamId, u64)>,
    routers: u32,
}

impl Upstreams {
    /// Takes over the rules in force; what is known of upstreams that stay is kept.
    pub fn take_rules(&mut self, book: &RuleSet) {
        self.states
            .retain(|name, _| book.upstreams.contains_key(name));
        for (name, rule) in book.upstreams.iter() {
            let known = self.states.get_mut(name);
            let moved = known
                .as_ref()
                .is_none_or(|s| s.rule.address != rule.address);
            let rule = Arc::new(rule.clone());
            if moved {
                self.states.insert(name.clone(), State::open(rule));
            } else if let Some(state) = known {
                state.rule = rule;
            }
        }
        self.resize(self.routers);
    }

    /// Takes over how many routers share the upstreams.
    pub fn resize(&mut self, routers: u32) {
        self.routers = routers.max(1);
        for state in self.states.values_mut() {
            state.limit.resize(state.rule.slots, self.routers);
        }
    }

    /// Returns an upstream.
    pub fn get(&self, name: &UpstreamId) -> Option<&State> {
        self.states.get(name)
    }

    /// Returns where an upstream is kept, until the rules change.
    pub fn index_of(&self, name: &UpstreamId) -> Option<usize> {
        self.states.get_index_of(name)
    }

    /// Returns the upstream that is kept at a place.
    pub fn at(&self, index: usize) -> Option<&State> {
        self.states.get_index(index).map(|(_, state)| state)
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &State> {
        self.states.values()
    }

    /// Returns how many requests a second this router's part of some upstreams can serve.
    pub fn service_rate(&self, places: &[usize]) -> f64 {
        let up = places.iter().filter_map(|index| self.at(*index));
        let rate = |s: &State| f64::from(s.limit.share()) / s.mean.as_secs_f64().max(LEAST_MEAN);
        up.filter(|state| state.is_up()).map(rate).sum()
    }

    /// Notes that a request goes to an upstream.
    pub fn start(&mut self, name: &UpstreamId, prefix: u64) {
        if let Some(state) = self.states.get_mut(name) {
            state.start(prefix);
        }
    }

    /// Notes that a request ended there.
    pub fn end(&mut self, name: &UpstreamId, now: Duration, took: Duration, good: Option<bool>) {
        if let Some(state) = self.states.get_mut(name) {
            state.end(now, took, good);
        }
    }

    /// Takes in an upstream's own report.
    pub fn report(&mut self, name: &UpstreamId, incarnation: u64, requests: u32, leaving: bool) {
        if leaving {
            self.leave(name, incarnation);
        }
        let gone = self.leaving.contains(&(name.clone(), incarnation));
        let Some(state) = self.states.get_mut(name) else {
            return;
        };
        if state.incarnation != incarnation {
            state.prefixes.clear();
        }
        state.incarnation = incarnation;
        state.leaving = gone;
        state.down = None;
        state.occupancy = Occupancy {
            reported: requests,
            ..Occupancy::default()
        };
    }

    /// Notes that an upstream gives no report, and returns since when.
    pub fn miss_report(&mut self, name: &UpstreamId, now: Duration) -> Option<Duration> {
        let state = self.states.get_mut(name)?;
        let since = *state.down.get_or_insert(now);
        Some(since)
    }

    /// Notes that one incarnation of an upstream leaves; it gets no new work from now on.
    pub fn leave(&mut self, name: &UpstreamId, incarnation: u64) {
        let new = self.leaving.insert((name.clone(), incarnation));
        if new {
            tracing::info!(upstream = %name, incarnation, "the upstream is leaving");
        }
        if let Some(state) = self.states.get_mut(name) {
            // Before its first report here, a peer's word is all that is known of it.
            let unknown = state.incarnation == UNKNOWN;
            state.leaving |= unknown || state.incarnation == incarnation;
        }
    }

    /// Notes that an upstream leaves as it is now, on an operator's word.
    pub fn drain(&mut self, name: &UpstreamId) -> bool {
        let Some(incarnation) = self.states.get(name).map(|s| s.incarnation) else {
            return false;
        };
        self.leave(name, incarnation);
        true
    }

    /// Returns the upstreams that leave.
    pub fn leaving(&self) -> Vec<(UpstreamId, u64)> {
        self.leaving.iter().cloned().collect()
    }

    /// Returns all upstreams as operators see them.
    pub fn snapshots(&self, now: Duration) -> Vec<Snapshot> {
        let snapshot = |state: &State| Snapshot {
            name: state.rule.name.clone(),
            data_centre: state.rule.data_centre.clone(),
            own: state.own,
            estimate: state.occupancy.estimate(),
            slots: state.limit.slots(),
            leaving: state.leaving,
            tripped: state.down.is_some() || !state.breaker.allows(now),
        };
        self.states.values().map(snapshot).collect()
    }
}
