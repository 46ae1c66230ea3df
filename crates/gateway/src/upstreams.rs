//! The listed upstreams, their idle connections, and the load that this router puts on each.

mod departed;
mod draining;
mod facts;
mod rating;
mod server;
mod shards;
mod slot;
mod warmth;

use std::cmp::Ordering;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{DataCentreId, ServiceId, UpstreamId};
use fescue_policy::affinity::{self, Candidate};
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::model::Upstream;
use crate::origins::Origin;

use departed::Departed;
use draining::Draining;
pub use facts::{Facts, Hindrance, Withdrawal};
use rating::{Intake, Moment, Rating};
pub use server::{BrokenRequest, Server};
pub use slot::Slot;
pub use warmth::Warmth;
use warmth::Warmths;

/// Why no upstream of a service can be used now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Block {
    /// The time until one may get a request.
    pub wait: Duration,
    /// Whether it wants no request until then; otherwise its limit is used up.
    pub pausing: bool,
}

/// The criteria by which an upstream is chosen for a request.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The service that the upstream must belong to.
    pub service: &'a ServiceId,
    /// The hash of the prompt's shared prefix; `None` if it has no part that others share.
    pub prefix: Option<u64>,
    /// The number of tokens of the prompt.
    pub input: u64,
    /// What the upstream must be like to go on with a stream that has begun; `None` for a new request.
    pub origin: Option<&'a Origin>,
    /// The upstreams of earlier attempts, which are not chosen again.
    pub tried: &'a [UpstreamId],
    /// The upstreams whose limits allow this request none now.
    pub denied: &'a [UpstreamId],
    /// The data centres whose upstreams may be chosen; `None` if all.
    pub allowed: Option<&'a IndexSet<DataCentreId>>,
    /// Whether upstreams that name a limit may be chosen.
    pub limited: bool,
    /// A hash of the request, which decides between equal candidates.
    pub tie_breaker: u64,
}

impl Requirements<'_> {
    /// Returns whether an upstream that takes some requests takes this one.
    fn may_use(&self, intake: Intake) -> bool {
        match intake {
            Intake::All => true,
            Intake::Continuations => self.origin.is_some(),
            Intake::None => false,
        }
    }
}

/// All listed upstreams, and those in their grace period.
#[derive(Debug, Default)]
pub struct Servers {
    table: HashMap<UpstreamId, Arc<Server>>,
    departed: Departed,
    draining: Draining,
    /// The data centres whose upstreams get no requests.
    evacuated: IndexSet<DataCentreId>,
    warmths: Warmths,
}

impl Servers {
    /// Creates an empty list. Streams go on at upstreams that leave for `drain_time` after that was learnt.
    pub fn open(drain_time: Duration) -> Self {
        Self {
            draining: Draining::open(drain_time),
            ..Self::default()
        }
    }

    /// Records the earliest time at which the changes that follow can have been made; `None` if that isn't known.
    pub fn set_changed_since(&mut self, at: Option<Instant>) {
        self.draining.changed_since = at;
    }

    /// Inserts or updates an upstream. Its state is kept unless it restarted or its address changed, and
    /// what its answers said of it unless it restarted.
    pub fn put(&mut self, entry: Upstream) {
        let mut server = Server::open(entry);
        server.warmth = self.warmths.open(&server.entry);
        if let Some(facts) = self.departed.facts(&server.entry) {
            server.facts = facts;
        }
        if let Some(known) = self.table.get(&server.entry.id) {
            known.state.lock().grace_end = None;
            let (old, new) = (&known.entry, &server.entry);
            if old.address == new.address && old.started_at == new.started_at {
                server.state = Arc::clone(&known.state);
            }
            if old.is_same_process(new) {
                server.facts = Arc::clone(&known.facts);
            }
            if old != new && new.started_at.is_none() {
                server.facts.clear_ended();
            }
        }
        let known = self.table.get(&server.entry.id);
        let known = known.filter(|known| known.entry.is_same_process(&server.entry));
        match server.entry.draining {
            true => self
                .draining
                .record(&server, known.map(|known| &known.entry)),
            false => server.facts.clear_drain_end(),
        }
        let id = server.entry.id.clone();
        self.departed.forget(&id);
        self.draining.forget(&id);
        self.table.insert(id, Arc::new(server));
    }

    /// Inserts or updates an upstream from a list that may be older than what is known: the store came
    /// back from a copy. Returns whether the entry is taken.
    ///
    /// An older entry isn't, nor one that only a copy can tell: that an upstream which is draining or
    /// gone is available. One that is gone is taken if it stays listed.
    pub fn put_copied(&mut self, entry: Upstream) -> bool {
        if let Some(known) = self.table.get(&entry.id) {
            let age = entry.compare_age(&known.entry);
            let revives = known.entry.draining && !entry.draining;
            if age == Some(Ordering::Less) || revives && age != Some(Ordering::Greater) {
                return false;
            }
        } else if self.departed.hold_back(&entry) {
            return false;
        }
        self.put(entry);
        true
    }

    /// Removes an upstream at once; returns whether it was known.
    pub fn remove(&mut self, id: &UpstreamId) -> bool {
        self.departed.drop_held(id);
        let removed = self.table.remove(id);
        if let Some(server) = &removed {
            self.departed
                .insert(server.entry.clone(), Arc::clone(&server.facts));
        }
        removed.is_some()
    }

    /// Removes an upstream whose entry was removed: it may have left without saying so, and go on serving like one that
    /// drains. Returns whether it was known.
    pub fn withdraw(&mut self, id: &UpstreamId) -> bool {
        let known = self.table.get(id).cloned();
        let removed = self.remove(id);
        if let Some(server) = known {
            self.draining.insert(&server);
        }
        removed
    }

    /// Starts the grace period of all upstreams that are absent from a full list.
    pub fn mark_missing(&mut self, listed: &[UpstreamId], grace: Duration) {
        self.departed.retain_held(listed);
        for (id, server) in &self.table {
            if !listed.contains(id) {
                server.mark_missing(grace);
            }
        }
    }

    /// Starts the grace period of one upstream.
    pub fn mark_removed(&mut self, id: &UpstreamId, grace: Duration) {
        self.departed.drop_held(id);
        if let Some(server) = self.table.get(id) {
            server.mark_missing(grace);
        }
    }

    /// Removes the upstreams whose grace period has ended, and returns their ids.
    pub fn drop_missing(&mut self) -> Vec<UpstreamId> {
        self.draining.drop_ended();
        let expired = self.table.iter().filter(|(_, server)| !server.is_listed());
        let expired: Vec<_> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.remove(id);
        }
        expired
    }

    /// Takes the upstreams that had left and have stayed listed since the store came back from a copy;
    /// returns their ids.
    pub fn take_stayed(&mut self) -> Vec<UpstreamId> {
        let stayed = self.departed.take_usable();
        let ids = stayed.iter().map(|entry| entry.id.clone()).collect();
        stayed.into_iter().for_each(|entry| self.put(entry));
        ids
    }

    /// Returns an upstream by its id.
    pub fn get(&self, id: &UpstreamId) -> Option<&Arc<Server>> {
        self.table.get(id)
    }

    /// Returns the number of upstreams, including those in their grace period.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether there are no upstreams.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns how long no upstream that suits a request can be used because of limits or pauses; `None` if
    /// these are not the reason.
    pub fn blocked(&self, requirements: &Requirements<'_>, now: Duration) -> Option<Block> {
        let candidates = self.candidates(requirements);
        candidates.filter_map(|server| server.blocked(now)).min()
    }

    /// Returns how long all upstreams of a service are blocked; `None` if one of them isn't.
    pub fn all_blocked(&self, service: &ServiceId, now: Duration) -> Option<Block> {
        let blocks: Option<Vec<_>> = self
            .usable(service)
            .filter(|server| self.admits(server, None))
            .map(|server| server.blocked(now))
            .collect();
        blocks?.into_iter().min()
    }

    fn usable<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Arc<Server>> {
        let now = Instant::now();
        let usable = move |server: &&Arc<Server>| {
            server.entry.service == *service && server.is_usable_at(now)
        };
        self.table.values().filter(usable)
    }

    /// Sets the data centres whose upstreams get no requests.
    pub fn set_evacuated(&mut self, evacuated: IndexSet<DataCentreId>) {
        self.evacuated = evacuated;
    }

    /// Returns the number of this router's requests that are running in a data centre.
    pub fn running_in(&self, data_centre: &DataCentreId) -> u32 {
        let servers = self.table.values();
        let servers = servers.filter(|server| server.entry.data_centre == *data_centre);
        servers.map(|server| server.running()).sum()
    }

    /// Returns whether evacuations or the `allowed` data centres of a request leave no upstream of a service
    /// that is listed and not leaving. A service that has no upstreams for another reason is not excluded,
    /// unless only some data centres are allowed.
    pub fn is_excluded(
        &self,
        service: &ServiceId,
        allowed: Option<&IndexSet<DataCentreId>>,
    ) -> bool {
        if self.evacuated.is_empty() && allowed.is_none() {
            return false;
        }
        let mut usable = self.usable(service);
        if usable.any(|server| self.admits(server, allowed)) {
            return false;
        }
        let listed = self.table.values().map(|server| &server.entry);
        let mut known = listed.chain(self.departed.entries());
        let evacuated = |entry: &Upstream| {
            entry.service == *service && self.evacuated.contains(&entry.data_centre)
        };
        allowed.is_some() || known.any(evacuated)
    }

    /// Returns whether requests may be sent to the data centre of an upstream.
    fn admits(&self, server: &Server, allowed: Option<&IndexSet<DataCentreId>>) -> bool {
        let data_centre = &server.entry.data_centre;
        !self.evacuated.contains(data_centre)
            && allowed.is_none_or(|allowed| allowed.contains(data_centre))
    }

    /// Iterates over the upstreams that a request with these requirements can reach, now or when their limits or
    /// pauses allow. Only streams that have begun can reach those that leave.
    fn candidates<'a>(
        &'a self,
        requirements: &'a Requirements<'a>,
    ) -> impl Iterator<Item = &'a Arc<Server>> {
        let now = Instant::now();
        self.reachable(requirements).filter(move |server| {
            requirements.may_use(server.intake(now))
                && server.is_listed()
                && server.suits(requirements)
        })
    }

    /// Iterates over the listed upstreams, for streams that have begun also over those that have just left, without
    /// the data centres that a request must not be sent to.
    fn reachable<'a>(
        &'a self,
        requirements: &'a Requirements<'a>,
    ) -> impl Iterator<Item = &'a Arc<Server>> {
        let left = requirements.origin.map(|_| self.draining.left());
        let all = self.table.values().chain(left.into_iter().flatten());
        all.filter(|server| self.admits(server, requirements.allowed))
    }

    /// Returns whether a service has an upstream that is listed and not leaving.
    pub fn has_usable(&self, service: &ServiceId) -> bool {
        self.usable(service).next().is_some()
    }

    /// Returns whether an upstream may serve a request with these requirements, now or when its limit or
    /// pause allows.
    pub fn can_serve(&self, requirements: &Requirements<'_>) -> bool {
        self.candidates(requirements).next().is_some()
    }

    /// Returns whether an upstream of the version that began a stream is listed and not leaving, even if it
    /// can't be used now.
    pub fn lists_version(&self, origin: &Origin) -> bool {
        let version = Some(&origin.version);
        let mut usable = self.usable(&origin.service);
        usable.any(|server| server.entry.version.as_ref() == version)
    }

    /// Iterates over all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.table.values()
    }

    /// Chooses an upstream and acquires a slot there. Upstreams in the data centre `near` are
    /// marked as near in the choice; `None` if no upstream may be used.
    pub fn acquire(
        &self,
        now: Duration,
        requirements: &Requirements<'_>,
        near: &str,
    ) -> Option<Slot> {
        let at = Moment::new(now);
        let rated = self.reachable(requirements).filter_map(|server| {
            let rating = server.rate(requirements, at)?;
            Some((server, rating))
        });
        let mut rated: Vec<_> = rated.collect();
        if rated.iter().any(|(_, rating)| rating.accepts) {
            rated.retain(|(_, rating)| rating.accepts);
        }
        // Otherwise the circuit breaker of every remaining upstream is open; one of them may still serve.
        if rated.iter().any(|(_, rating)| !rating.leaving) {
            rated.retain(|(_, rating)| !rating.leaving);
        }
        let candidate = |(server, rating): &(&Arc<Server>, Rating)| Candidate {
            member: server.member,
            load: rating.load,
            near: server.entry.data_centre.as_str() == near,
        };
        let candidates: Vec<_> = rated.iter().map(candidate).collect();
        let chosen = affinity::choose(&candidates, requirements.prefix, requirements.tie_breaker)?;
        let server = Arc::clone(rated[chosen].0);
        Some(Slot::open(server, requirements.input))
    }
}
