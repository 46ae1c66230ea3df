//! Returns surplus tokens to the homes of their teams, and passes on what a stopping process holds.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use fescue_core::{Incarnation, TeamId, Tokens};
use fescue_policy::escrow::Balance;
use tokio::time::{Instant, sleep};

use super::effects::Effects;
use super::message::{Message, Return};
use super::{Budget, State};
use crate::peers::Home;

/// Interval after which an unacknowledged return is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Number of times a return is sent before its tokens count as lost.
const MAX_SENDS: u32 = 8;

/// Maximum number of unacknowledged returns.
const MAX_OPEN: usize = 256;

/// Time within which a router must have answered to be sent tokens: those that reach a router which
/// has just died are lost.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(300);

/// Time a stopping process waits for its returns to be acknowledged.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval between two steps of a stopping process that passes tokens on.
const PASS_ON_INTERVAL: Duration = Duration::from_millis(10);

/// The returns that are not acknowledged yet, by number.
#[derive(Debug, Default)]
pub(super) struct Returns {
    open: HashMap<u64, OpenReturn>,
}

#[derive(Clone, Debug)]
struct OpenReturn {
    home: SocketAddr,
    message: Return,
    sent: Instant,
    sends: u32,
}

impl Returns {
    /// Removes a return that was acknowledged.
    pub fn close(&mut self, number: u64) {
        self.open.remove(&number);
    }

    /// Returns whether none is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

/// Which tokens a stopping process passes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holdings {
    /// Those that other routers handed over. The rest goes back to the store.
    Received,
    /// All that its licenses allow by now, if the store can't be written.
    Allowed,
}

impl Budget {
    /// Returns surplus tokens and repeats unacknowledged returns.
    pub(super) fn return_surplus(&self, state: &mut State, effects: &mut Effects) {
        let clock = self.clock();
        // Only a surplus is worth a probe of the home.
        for team in teams(state, |b| !b.surplus(true, clock).is_zero()) {
            let home = self.peers.lock().homes(&team, false).first().copied();
            if let Some(Home::Peer(home)) = home {
                self.send_to_first(state, &team, &[home], effects, |balance| {
                    balance.take_surplus(true, clock)
                });
            }
        }
        self.send_open(state, effects);
    }

    /// Passes the unreserved tokens of a process that is about to exit on to other routers; tries until
    /// `end`. They must know that it exits, or they return theirs to it.
    pub async fn pass_on(&self, holdings: Holdings, end: Instant) {
        let mut waiting = {
            let (clock, mut state) = (self.clock(), self.state.lock());
            teams(&mut state, |balance| match holdings {
                Holdings::Received => balance.has_received(),
                Holdings::Allowed => !balance.available(clock).is_zero(),
            })
        };
        loop {
            let (mut effects, clock) = (Effects::default(), self.clock());
            let open = {
                let mut state = self.state.lock();
                // Each team is passed on once: its license allows more with every moment.
                waiting.retain(|team| {
                    let routers = self.receivers(team);
                    !self.send_to_first(&mut state, team, &routers, &mut effects, |balance| {
                        let tokens = match holdings {
                            Holdings::Received => balance.take_surplus(false, clock),
                            Holdings::Allowed => balance.take_available(clock),
                        };
                        let (team, tokens) = (team.as_str(), tokens);
                        tracing::info!(
                            team,
                            tokens = tokens.get(),
                            ?holdings,
                            "passing tokens on to another router"
                        );
                        tokens
                    })
                });
                self.send_open(&mut state, &mut effects);
                !state.returns.is_empty()
            };
            self.apply(effects);
            let done = waiting.is_empty() && !open;
            if done || Instant::now() >= end {
                return;
            }
            sleep(PASS_ON_INTERVAL).await;
        }
    }

    /// Returns the routers that may take a stopping router's tokens of a team, best first.
    fn receivers(&self, team: &TeamId) -> Vec<SocketAddr> {
        let mut peers = self.peers.lock();
        let homes = peers.homes(team, false).into_iter();
        let mut routers: Vec<_> = homes
            .filter_map(|home| match home {
                Home::Peer(address) => Some(address),
                Home::Own => None,
            })
            .collect();
        routers.extend(peers.answered_within(MAX_ANSWER_AGE));
        routers
    }

    /// Sends tokens of a team to the first of the routers that answers, or, if none has done so of late,
    /// asks all of them for an answer. Returns whether the tokens could be sent.
    fn send_to_first(
        &self,
        state: &mut State,
        team: &TeamId,
        routers: &[SocketAddr],
        effects: &mut Effects,
        take: impl FnOnce(&mut Balance) -> Tokens,
    ) -> bool {
        if state.returns.open.len() >= MAX_OPEN {
            return false;
        }
        let Some((home, to)) = self.answering(routers) else {
            effects.probe(routers);
            return false;
        };
        let tokens = take(state.escrow.balance(team));
        if tokens.is_zero() {
            return true;
        }
        self.metrics.count_transfer("returned", tokens);
        let number = rand::random();
        let message = Return {
            number,
            team: team.clone(),
            tokens,
            to,
        };
        let open = OpenReturn {
            home,
            message,
            sent: Instant::now(),
            sends: 0,
        };
        state.returns.open.insert(number, open);
        true
    }

    /// Returns the first of the routers that has answered of late.
    fn answering(&self, routers: &[SocketAddr]) -> Option<(SocketAddr, Incarnation)> {
        let peers = self.peers.lock();
        let answers = |router: &&SocketAddr| peers.has_answered_within(**router, MAX_ANSWER_AGE);
        let router = routers.iter().find(answers)?;
        Some((*router, peers.incarnation(*router)?))
    }

    fn send_open(&self, state: &mut State, effects: &mut Effects) {
        state.returns.open.retain(|_, open| {
            if open.sends > 0 && open.sent.elapsed() < RESEND_INTERVAL {
                return true;
            }
            let given_up = open.sends >= MAX_SENDS;
            if given_up {
                let Return { number, tokens, .. } = open.message;
                let team = open.message.team.as_str();
                self.metrics.count_transfer("lost", tokens);
                let (tokens, home) = (tokens.get(), open.home);
                tracing::warn!(team, number, tokens, %home, "return unacknowledged; tokens lost");
            } else {
                open.sends += 1;
                open.sent = Instant::now();
                self.metrics.count_token_message("returned");
                effects.send(open.home, Message::Return(open.message.clone()));
            }
            !given_up
        });
    }
}

/// Returns the teams whose balance satisfies a condition.
fn teams(state: &mut State, held: impl Fn(&Balance) -> bool) -> Vec<TeamId> {
    let held = state.escrow.iter_mut().filter(|(_, balance)| held(balance));
    held.map(|(team, _)| team.clone()).collect()
}
