//! The order in which waiting requests get upstream capacity.
//!
//! Between priorities: the most urgent first, but a priority that has fallen behind its guaranteed
//! share while it had work goes before it. Inside a priority: the team that was served least for
//! its weight, in tokens. See [docs/design/service.md](../../../docs/design/service.md).

mod class;

use std::time::Duration;

use fescue_core::{Priority, TeamId, Tokens, Weight};

use class::Class;

/// Names one waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Its name.
    pub ticket: Ticket,
    /// Its priority.
    pub priority: Priority,
    /// Its team.
    pub team: TeamId,
    /// The team's weight.
    pub weight: Weight,
    /// Its upper bound in tokens.
    pub cost: Tokens,
    /// When its target can't be met any more, as a time since any fixed start.
    pub deadline: Duration,
}

/// How contended capacity is shared between priorities, in percent, by [`Priority::index`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares(pub [u32; 3]);

impl Default for Shares {
    fn default() -> Self {
        Self([60, 30, 10])
    }
}

/// The requests that wait for one pool of upstreams.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    shares: Shares,
    classes: [Class; 3],
    credit: [f64; 3],
}

/// The most that a priority may be owed, in tokens, so that it can't hold the pool for long.
const MOST_OWED: f64 = 4096.0;

/// The most that a priority may have had too much, in tokens. It is small, so that one which had the
/// pool to itself gets its share soon after others come.
const MOST_AHEAD: f64 = 512.0;

impl Queue {
    /// Opens an empty queue.
    pub fn open(shares: Shares) -> Self {
        Self {
            shares,
            ..Self::default()
        }
    }

    /// Changes the guaranteed shares.
    pub fn set_shares(&mut self, shares: Shares) {
        self.shares = shares;
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        let index = waiting.priority.index();
        self.classes[index].push(waiting);
    }

    /// Takes out the request that comes next, of the priorities that `allowed` names.
    pub fn pop(&mut self, allowed: impl Fn(Priority) -> bool) -> Option<Waiting> {
        let ready = |p: &Priority| !self.classes[p.index()].is_empty() && allowed(*p);
        let ready: Vec<_> = Priority::ALL.into_iter().filter(ready).collect();
        let priority = self.behind(&ready).or(ready.first().copied())?;
        let waiting = self.classes[priority.index()].pop()?;
        self.charge(priority, waiting.cost);
        Some(waiting)
    }

    /// Takes out a request whose caller went or whose deadline passed.
    pub fn remove(&mut self, team: &TeamId, ticket: Ticket) -> Option<Waiting> {
        let mut classes = self.classes.iter_mut();
        classes.find_map(|class| class.remove(team, ticket))
    }

    /// Takes out the requests whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<Waiting> {
        let classes = self.classes.iter_mut();
        classes.flat_map(|class| class.expire(now)).collect()
    }

    /// Returns how many requests come before a new one of a team, as far as is known now.
    ///
    /// Of its own priority these are no more of each other team than it has waiting itself, since
    /// the teams take turns: a large team's backlog doesn't count against a small team.
    pub fn ahead(&self, priority: Priority, team: &TeamId) -> usize {
        let more_urgent = &self.classes[..priority.index()];
        let before: usize = more_urgent.iter().map(Class::len).sum();
        before + self.classes[priority.index()].ahead(team)
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.classes.iter().map(Class::len).sum()
    }

    /// Returns whether none wait.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many wait at one priority.
    pub fn waiting(&self, priority: Priority) -> usize {
        self.classes[priority.index()].len()
    }

    /// Returns the priority that is furthest behind its share and owed its next request.
    fn behind(&self, ready: &[Priority]) -> Option<Priority> {
        let owed = |p: &&Priority| {
            let next = self.classes[p.index()].next_cost();
            next.is_some_and(|cost| self.credit[p.index()] >= cost.get() as f64)
        };
        let ready = ready.iter().filter(owed);
        let most = ready.max_by(|a, b| {
            let (a, b) = (self.credit[a.index()], self.credit[b.index()]);
            a.total_cmp(&b)
        });
        most.copied()
    }

    /// Counts a served request: those that wait earn their share of it, the served one pays.
    ///
    /// What a priority gets beyond its share pays off what it is owed, so one that has plenty never
    /// goes before a more urgent one.
    fn charge(&mut self, served: Priority, cost: Tokens) {
        let cost = cost.get() as f64;
        for priority in Priority::ALL {
            let index = priority.index();
            let waits = !self.classes[index].is_empty() || priority == served;
            if !waits {
                self.credit[index] = 0.0;
                continue;
            }
            let earned = cost * f64::from(self.shares.0[index]) / 100.0;
            let paid = if priority == served { cost } else { 0.0 };
            let credit = self.credit[index] + earned - paid;
            self.credit[index] = credit.clamp(-MOST_AHEAD, MOST_OWED);
        }
    }
}
