//! Weighted fair queueing between the teams of one priority.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use fescue_core::{TeamId, Tokens};
use indexmap::IndexMap;

use super::{Ticket, Waiting};

/// The number of units per token in which service is counted, so that division by weights is precise.
const UNITS_PER_TOKEN: u64 = 1 << 10;

/// The number of served requests between two removals of idle teams.
const PRUNE_INTERVAL: u64 = 1024;

/// One team's waiting requests and the service it received, in token units divided by its weight.
#[derive(Clone, Debug, Default)]
struct Lane {
    waiting: VecDeque<Waiting>,
    served: u64,
}

/// The waiting requests of one priority.
#[derive(Clone, Debug, Default)]
pub(super) struct Class {
    lanes: IndexMap<TeamId, Lane>,
    /// The teams with waiting requests, the least served first.
    busy: BTreeSet<(u64, TeamId)>,
    /// The service, before its last request, of the team served last. A team that becomes busy again
    /// starts at no less than this, so that it gains nothing from having been idle.
    virtual_time: u64,
    len: usize,
    pops: u64,
    /// The waiting requests by deadline.
    deadlines: BTreeSet<(Duration, Ticket, TeamId)>,
}

impl Class {
    pub(super) fn push(&mut self, waiting: Waiting) {
        let team = waiting.team.clone();
        let deadline = (waiting.deadline, waiting.ticket, team.clone());
        self.deadlines.insert(deadline);
        self.len += 1;
        if !self.lanes.contains_key(&team) {
            self.lanes.insert(team.clone(), Lane::default());
        }
        let lane = &mut self.lanes[&team];
        if lane.waiting.is_empty() {
            lane.served = lane.served.max(self.virtual_time);
            self.busy.insert((lane.served, team));
        }
        lane.waiting.push_back(waiting);
    }

    /// Removes the oldest request of the team that was served least relative to its weight.
    pub(super) fn pop(&mut self) -> Option<Waiting> {
        let (served, team) = self.busy.pop_first()?;
        let lane = self.lanes.get_mut(&team)?;
        let waiting = lane.waiting.pop_front()?;
        self.virtual_time = served;
        let cost = waiting.cost.get().saturating_mul(UNITS_PER_TOKEN);
        let cost = cost / u64::from(waiting.weight.get());
        lane.served = served.saturating_add(cost);
        if !lane.waiting.is_empty() {
            self.busy.insert((lane.served, team));
        }
        self.unregister(&waiting);
        self.prune();
        Some(waiting)
    }

    /// Returns the cost of the next request.
    pub(super) fn next_cost(&self) -> Option<Tokens> {
        let (_, team) = self.busy.first()?;
        let waiting = &self.lanes.get(team)?.waiting;
        waiting.front().map(|waiting| waiting.cost)
    }

    pub(super) fn remove(&mut self, team: &TeamId, ticket: Ticket) -> Option<Waiting> {
        let lane = self.lanes.get_mut(team)?;
        let at = lane.waiting.iter().position(|w| w.ticket == ticket)?;
        let waiting = lane.waiting.remove(at)?;
        if lane.waiting.is_empty() {
            self.busy.remove(&(lane.served, team.clone()));
        }
        self.unregister(&waiting);
        Some(waiting)
    }

    pub(super) fn expire(&mut self, now: Duration) -> Vec<Waiting> {
        let mut expired = Vec::new();
        while let Some((deadline, ticket, team)) = self.deadlines.first() {
            if *deadline > now {
                break;
            }
            let (ticket, team) = (*ticket, team.clone());
            match self.remove(&team, ticket) {
                Some(waiting) => expired.push(waiting),
                None => drop(self.deadlines.pop_first()),
            }
        }
        expired
    }

    /// Sets the deadlines of the waiting requests for which `deadline` returns one.
    pub(super) fn set_deadlines(&mut self, deadline: impl Fn(Ticket) -> Option<Duration>) {
        self.deadlines.clear();
        for (team, lane) in &mut self.lanes {
            for waiting in &mut lane.waiting {
                waiting.deadline = deadline(waiting.ticket).unwrap_or(waiting.deadline);
                let key = (waiting.deadline, waiting.ticket, team.clone());
                self.deadlines.insert(key);
            }
        }
    }

    /// Returns an estimate of the number of requests served before a new one of a team.
    pub(super) fn ahead(&self, team: &TeamId) -> usize {
        let own = self.lanes.get(team).map_or(0, |lane| lane.waiting.len());
        if own == 0 {
            return self.busy.len();
        }
        let turns = self
            .lanes
            .values()
            .map(|lane| lane.waiting.len().min(own + 1));
        turns.sum::<usize>().saturating_sub(1)
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Updates the deadlines and the length for a request that was removed from its lane.
    fn unregister(&mut self, waiting: &Waiting) {
        let deadline = (waiting.deadline, waiting.ticket, waiting.team.clone());
        self.deadlines.remove(&deadline);
        self.len -= 1;
    }

    /// Removes, at intervals, the teams without waiting requests whose service isn't ahead of the
    /// virtual time.
    fn prune(&mut self) {
        self.pops += 1;
        if self.pops.is_multiple_of(PRUNE_INTERVAL) {
            let virtual_time = self.virtual_time;
            self.lanes
                .retain(|_, lane| !lane.waiting.is_empty() || lane.served > virtual_time);
        }
    }
}
