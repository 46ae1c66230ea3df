//! What follows from a change of the state, to be done once its lock is released.
//!
//! Dropping a [`Reservation`] locks the state, and so does whoever gets an answer.

use std::net::SocketAddr;

use fescue_core::TeamId;
use fescue_policy::escrow::waiting::Ticket;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::message::Message;
use super::{Budget, Reservation, Shortage};

/// A request that waits for tokens.
#[derive(Debug)]
pub(super) struct Waiter {
    sender: oneshot::Sender<Result<Reservation, Shortage>>,
    /// When the request is no longer of use.
    pub deadline: Instant,
}

impl Waiter {
    pub fn new(sender: oneshot::Sender<Result<Reservation, Shortage>>, deadline: Instant) -> Self {
        Self { sender, deadline }
    }
}

/// What follows from a change.
#[derive(Default)]
pub(super) struct Effects {
    answers: Vec<(Waiter, Result<Reservation, Shortage>)>,
    messages: Vec<(SocketAddr, Message)>,
    probes: Vec<SocketAddr>,
    /// Whether the controller has to draw.
    draw: bool,
    /// Whether the timer has to run.
    time: bool,
}

impl Effects {
    /// Answers a waiting request.
    pub fn answer(&mut self, waiter: Waiter, outcome: Result<Reservation, Shortage>) {
        self.answers.push((waiter, outcome));
    }

    /// Sends a message to another router.
    pub fn send(&mut self, to: SocketAddr, message: Message) {
        self.messages.push((to, message));
    }

    /// Asks routers for a sign of life.
    pub fn probe(&mut self, routers: &[SocketAddr]) {
        self.probes.extend(routers);
    }

    /// Wakes the controller.
    pub fn draw(&mut self) {
        self.draw = true;
    }

    /// Wakes the timer.
    pub fn time(&mut self) {
        self.time = true;
    }

    /// Doesn't wake the timer: it is running.
    pub fn within_timer(&mut self) {
        self.time = false;
    }

    pub fn apply(self, budget: &Budget) {
        for (to, message) in self.messages {
            budget.post.send(to, message);
        }
        if !self.probes.is_empty() {
            budget.post.probe(&self.probes);
        }
        if self.draw {
            budget.wake.notify_one();
        }
        if self.time {
            budget.active.notify_one();
        }
        for (waiter, outcome) in self.answers {
            // A request that has ended doesn't receive it; its reservation is dropped here.
            let _ended = waiter.sender.send(outcome);
        }
    }
}

/// The place of a request in the queue of its team, given up when dropped.
pub(super) struct Place<'a> {
    pub budget: &'a Budget,
    pub team: &'a TeamId,
    pub ticket: Ticket,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut effects = Effects::default();
        let left = {
            let mut state = self.budget.state.lock();
            let known = state.teams.get_mut(self.team);
            let left = known.and_then(|known| known.waiting.remove(self.ticket));
            if left.is_some() {
                // The next one may need less.
                self.budget.serve(&mut state, self.team, &mut effects);
            }
            left
        };
        drop(left);
        self.budget.apply(effects);
    }
}
