//! The waiting requests of one priority, fair between teams.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use fescue_core::{TeamId, Tokens};
use indexmap::IndexMap;

use super::{Ticket, Waiting};

/// How many parts of a token service is counted in, so that weights divide it finely.
const PARTS: u64 = 1 << 10;

/// How many requests are served between two looks for teams that can be forgotten.
const FORGET_EVERY: u64 = 1024;

/// One team's waiting requests and what it was served, in parts of a token for its weight.
#[derive(Clone, Debug, Default)]
struct Lane {
    waiting: VecDeque<Waiting>,
    served: u64,
}

/// The requests of one priority.
#[derive(Clone, Debug, Default)]
pub(super) struct Class {
    lanes: IndexMap<TeamId, Lane>,
    /// The teams with requests waiting, the least served first.
    busy: BTreeSet<(u64, TeamId)>,
    /// The service of the team that was last served; a team that comes back starts here.
    floor: u64,
    len: usize,
    pops: u64,
    /// The requests by their deadlines.
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
            lane.served = lane.served.max(self.floor);
            self.busy.insert((lane.served, team));
        }
        lane.waiting.push_back(waiting);
    }

    /// Takes the oldest request of the team that was served least for its weight.
    pub(super) fn pop(&mut self) -> Option<Waiting> {
        let (served, team) = self.busy.pop_first()?;
        let lane = self.lanes.get_mut(&team)?;
        let waiting = lane.waiting.pop_front()?;
        self.floor = served;
        let cost = waiting.cost.get().saturating_mul(PARTS);
        let cost = cost / u64::from(waiting.weight.get());
        lane.served = served.saturating_add(cost);
        if !lane.waiting.is_empty() {
            self.busy.insert((lane.served, team));
        }
        self.settle(&waiting);
        self.forget();
        Some(waiting)
    }

    /// Returns the cost of the request that comes next.
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
        self.settle(&waiting);
        Some(waiting)
    }

    pub(super) fn expire(&mut self, now: Duration) -> Vec<Waiting> {
        let mut late = Vec::new();
        while let Some((deadline, ticket, team)) = self.deadlines.first() {
            if *deadline > now {
                break;
            }
            let (ticket, team) = (*ticket, team.clone());
            match self.remove(&team, ticket) {
                Some(waiting) => late.push(waiting),
                None => drop(self.deadlines.pop_first()),
            }
        }
        late
    }

    /// Returns how many requests come before a new one of a team.
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

    /// Notes that a request is out.
    fn settle(&mut self, waiting: &Waiting) {
        let deadline = (waiting.deadline, waiting.ticket, waiting.team.clone());
        self.deadlines.remove(&deadline);
        self.len -= 1;
    }

    /// Forgets the teams with nothing waiting that were not served beyond the floor.
    fn forget(&mut self) {
        self.pops += 1;
        if self.pops.is_multiple_of(FORGET_EVERY) {
            let floor = self.floor;
            self.lanes
                .retain(|_, lane| !lane.waiting.is_empty() || lane.served > floor);
        }
    }
}
