//! The waiting requests of one priority, fair between teams.

use std::collections::VecDeque;
use std::time::Duration;

use fescue_core::{TeamId, Tokens};
use indexmap::IndexMap;

use super::{Ticket, Waiting};

/// One team's waiting requests and what it was served.
#[derive(Clone, Debug, Default)]
struct Lane {
    waiting: VecDeque<Waiting>,
    served: f64,
}

/// The requests of one priority.
#[derive(Clone, Debug, Default)]
pub(super) struct Class {
    lanes: IndexMap<TeamId, Lane>,
    /// The least service of any team when one was last served; a team that comes back starts here.
    floor: f64,
    len: usize,
}

impl Class {
    pub(super) fn push(&mut self, waiting: Waiting) {
        self.len += 1;
        if !self.lanes.contains_key(&waiting.team) {
            self.lanes.insert(waiting.team.clone(), Lane::default());
        }
        let lane = &mut self.lanes[&waiting.team];
        if lane.waiting.is_empty() {
            lane.served = lane.served.max(self.floor);
        }
        lane.waiting.push_back(waiting);
    }

    /// Takes the oldest request of the team that was served least for its weight.
    pub(super) fn pop(&mut self) -> Option<Waiting> {
        let index = self.least()?;
        let lane = &mut self.lanes[index];
        let waiting = lane.waiting.pop_front()?;
        self.floor = lane.served;
        lane.served += waiting.cost.get() as f64 / f64::from(waiting.weight.get());
        self.forget_one();
        Some(waiting)
    }

    /// Returns the cost of the request that comes next.
    pub(super) fn next_cost(&self) -> Option<Tokens> {
        let lane = &self.lanes[self.least()?];
        lane.waiting.front().map(|waiting| waiting.cost)
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.lanes.values_mut().find_map(|lane| {
            let at = lane.waiting.iter().position(|w| w.ticket == ticket)?;
            lane.waiting.remove(at)
        })?;
        self.forget_one();
        Some(waiting)
    }

    pub(super) fn expire(&mut self, now: Duration) -> Vec<Waiting> {
        let late = |w: &&Waiting| w.deadline <= now;
        let lanes = self.lanes.values();
        let tickets = lanes.flat_map(|lane| lane.waiting.iter().filter(late));
        let tickets: Vec<_> = tickets.map(|waiting| waiting.ticket).collect();
        tickets.into_iter().filter_map(|t| self.remove(t)).collect()
    }

    /// Returns how many requests come before a new one of a team.
    pub(super) fn ahead(&self, team: &TeamId) -> usize {
        let own = self.lanes.get(team).map_or(0, |lane| lane.waiting.len());
        let turns = self
            .lanes
            .values()
            .map(|lane| lane.waiting.len().min(own + 1));
        turns.sum::<usize>().saturating_sub(usize::from(own > 0))
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn least(&self) -> Option<usize> {
        let lanes = self.lanes.values().enumerate();
        let busy = lanes.filter(|(_, lane)| !lane.waiting.is_empty());
        let least = busy.min_by(|(_, a), (_, b)| a.served.total_cmp(&b.served));
        least.map(|(index, _)| index)
    }

    fn forget_one(&mut self) {
        self.len -= 1;
        let floor = self.floor;
        // A team with nothing waiting that was not served beyond the floor needs no memory.
        self.lanes
            .retain(|_, lane| !lane.waiting.is_empty() || lane.served > floor);
    }
}
