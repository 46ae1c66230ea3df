//! Returning tokens that aren't needed to the homes of their teams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use fescue_core::{Incarnation, TeamId};
use tokio::time::{Instant, sleep};

use super::{Message, PAUSE, Return};
use crate::gateway::Gateway;
use crate::peers::Home;

/// The pause before a return is sent again.
const REPEAT: Duration = Duration::from_millis(100);

/// How often a return is sent before its tokens are given up.
const SENDS: u32 = 8;

/// The returns that are open at most.
const MOST_OPEN: usize = 256;

/// How long a stopping process waits for its returns to be taken.
const LAST_RETURNS: Duration = Duration::from_millis(250);

/// What this router returned and has no answer for.
#[derive(Debug, Default)]
pub(super) struct Returns {
    open: HashMap<u64, Open>,
}

#[derive(Clone, Debug)]
struct Open {
    home: SocketAddr,
    message: Return,
    sent: Instant,
    sends: u32,
}

impl Returns {
    /// Notes that a return was taken.
    pub(super) fn close(&mut self, number: u64) {
        self.open.remove(&number);
    }
}

/// Returns what isn't needed, and repeats what has no answer; all goes where nothing is to be kept.
pub(super) fn run_round(gateway: &Gateway, keep: bool) {
    let teams: Vec<TeamId> = {
        let mut escrow = gateway.escrow.lock();
        let handed = escrow.iter_mut().filter(|(_, b)| b.has_received());
        handed.map(|(team, _)| team.clone()).collect()
    };
    for team in teams {
        return_surplus(gateway, team, keep);
    }
    send_open(gateway);
}

/// Takes out what a team doesn't need here, to be sent to its home.
fn return_surplus(gateway: &Gateway, team: TeamId, keep: bool) {
    let Some((home, to)) = home(gateway, &team) else {
        return;
    };
    let clock = gateway.table.clock().unwrap_or_default();
    let tokens = {
        let mut escrow = gateway.escrow.lock();
        escrow.balance(&team).take_surplus(keep, clock)
    };
    if tokens.is_zero() {
        return;
    }
    gateway.metrics.count_moved("returned", tokens);
    let number = rand::random();
    let message = Return {
        number,
        team,
        tokens,
        to,
    };
    let open = Open {
        home,
        message,
        sent: Instant::now(),
        sends: 0,
    };
    gateway.handover.lock().returns.open.insert(number, open);
}

/// Returns where a team's tokens can be returned to now.
fn home(gateway: &Gateway, team: &TeamId) -> Option<(SocketAddr, Incarnation)> {
    if gateway.handover.lock().returns.open.len() >= MOST_OPEN {
        return None;
    }
    let peers = gateway.peers.lock();
    match peers.homes(team).first()? {
        Home::Own => None,
        Home::Peer(address) => Some((*address, peers.incarnation(*address)?)),
    }
}

fn send_open(gateway: &Gateway) {
    let mut handover = gateway.handover.lock();
    let mut due = Vec::new();
    handover.returns.open.retain(|_, open| {
        if open.sends > 0 && open.sent.elapsed() < REPEAT {
            return true;
        }
        let given_up = open.sends >= SENDS;
        if given_up {
            let Return { number, tokens, .. } = open.message;
            let team = open.message.team.as_str();
            gateway.metrics.count_moved("lost", tokens);
            let (tokens, home) = (tokens.get(), open.home);
            tracing::warn!(team, number, tokens, %home, "returned tokens are lost: no answer");
        } else {
            open.sends += 1;
            open.sent = Instant::now();
            due.push((open.home, open.message.clone()));
        }
        !given_up
    });
    for (home, message) in due {
        handover.send(home, Message::Return(message));
    }
}

/// Returns all that was handed over, at a planned stop.
pub async fn return_all(gateway: &Gateway) {
    run_round(gateway, false);
    let end = Instant::now() + LAST_RETURNS;
    while Instant::now() < end && !gateway.handover.lock().returns.open.is_empty() {
        sleep(PAUSE / 4).await;
    }
}
