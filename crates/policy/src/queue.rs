//! The queue that orders waiting requests for upstream capacity.
//!
//! Between priorities, the most urgent goes first, unless another one with waiting requests has
//! fallen behind its guaranteed share. Within a priority, the team that was served the fewest tokens
//! relative to its weight goes first. See [docs/design/service.md](../../../docs/design/service.md).

mod class;

use std::time::Duration;

use fescue_core::{Priority, TeamId, Tokens, Weight};

use class::Class;

/// The id of a waiting request, assigned by the caller of [`Queue::push`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A request that waits for capacity.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The id of the request, unique within the queue.
    pub ticket: Ticket,
    /// The priority whose share the request is served from.
    pub priority: Priority,
    /// The team that sent the request.
    pub team: TeamId,
    /// The team's weight among the teams of the priority.
    pub weight: Weight,
    /// The upper bound of the request's cost.
    pub cost: Tokens,
    /// The time after which the latency target can't be met, since an arbitrary fixed start.
    pub deadline: Duration,
}

/// The guaranteed shares of contended capacity in percent, by [`Priority::index`].
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

/// The upper bound of a priority's credit in tokens, so that a priority can't occupy the pool for long.
const MAX_CREDIT: f64 = 4096.0;

/// The upper bound of a priority's debt in tokens. It is small, so that a priority that had the pool to
/// itself gets its share soon after requests of others arrive.
const MAX_DEBT: f64 = 512.0;

impl Queue {
    /// Creates an empty queue.
    pub fn open(shares: Shares) -> Self {
        Self {
            shares,
            ..Self::default()
        }
    }

    /// Changes the guaranteed shares; accumulated credits stay.
    pub fn set_shares(&mut self, shares: Shares) {
        self.shares = shares;
    }

    /// Adds a request behind those of the same team and priority.
    pub fn push(&mut self, waiting: Waiting) {
        let index = waiting.priority.index();
        self.classes[index].push(waiting);
    }

    /// Removes and returns the next request among the priorities for which `allowed` returns true.
    pub fn pop(&mut self, allowed: impl Fn(Priority) -> bool) -> Option<Waiting> {
        let ready = |p: &Priority| !self.classes[p.index()].is_empty() && allowed(*p);
        let ready: Vec<_> = Priority::ALL.into_iter().filter(ready).collect();
        let priority = self.most_owed(&ready).or(ready.first().copied())?;
        let waiting = self.classes[priority.index()].pop()?;
        self.charge(priority, waiting.cost);
        Some(waiting)
    }

    /// Removes a request whose caller has disconnected or whose deadline has passed.
    pub fn remove(&mut self, team: &TeamId, ticket: Ticket) -> Option<Waiting> {
        let mut classes = self.classes.iter_mut();
        classes.find_map(|class| class.remove(team, ticket))
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<Waiting> {
        let classes = self.classes.iter_mut();
        classes.flat_map(|class| class.expire(now)).collect()
    }

    /// Sets the deadlines of the waiting requests for which `deadline` returns one; their order stays.
    pub fn set_deadlines(&mut self, deadline: impl Fn(Ticket) -> Option<Duration>) {
        for class in &mut self.classes {
            class.set_deadlines(&deadline);
        }
    }

    /// Returns an estimate of the number of requests served before a new one of a team.
    ///
    /// Since teams of the same priority take turns, it counts at most as many requests of each other
    /// team as the team would have waiting itself, so that the backlog of a large team doesn't count
    /// against a small one.
    pub fn ahead(&self, priority: Priority, team: &TeamId) -> usize {
        let more_urgent = &self.classes[..priority.index()];
        let before: usize = more_urgent.iter().map(Class::len).sum();
        before + self.classes[priority.index()].ahead(team)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.classes.iter().map(Class::len).sum()
    }

    /// Returns whether no requests are waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of waiting requests of one priority.
    pub fn waiting(&self, priority: Priority) -> usize {
        self.classes[priority.index()].len()
    }

    /// Returns the priority with the most credit among those whose credit covers their next request.
    fn most_owed(&self, ready: &[Priority]) -> Option<Priority> {
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

    /// Updates the credits for a served request: every priority with waiting requests earns its share
    /// of the cost, and the served priority pays the cost.
    ///
    /// Service beyond a priority's share reduces its credit, so a priority that gets more than its share
    /// never goes before a more urgent one.
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
            self.credit[index] = credit.clamp(-MAX_DEBT, MAX_CREDIT);
        }
    }
}
