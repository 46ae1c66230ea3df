//! Returns surplus tokens to the homes of their teams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use fescue_core::{Incarnation, TeamId};
use tokio::time::{Instant, sleep};

use super::{Message, RETRY_INTERVAL, Return};
use crate::gateway::Gateway;
use crate::peers::Home;

/// Interval after which an unacknowledged return is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Number of times a return is sent before its tokens count as lost.
const MAX_SENDS: u32 = 8;

/// Maximum number of unacknowledged returns.
const MAX_OPEN: usize = 256;

/// Time a stopping process waits for its returns to be acknowledged.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(250);

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
    pub(super) fn close(&mut self, number: u64) {
        self.open.remove(&number);
    }
}

/// Returns surplus tokens and repeats unacknowledged returns; without `keep`, all available tokens
/// that were handed over count as surplus.
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

/// Moves a team's surplus from the local balance to a return that is to be sent.
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
    gateway.metrics.count_transfer("returned", tokens);
    let number = rand::random();
    let message = Return {
        number,
        team,
        tokens,
        to,
    };
    let open = OpenReturn {
        home,
        message,
        sent: Instant::now(),
        sends: 0,
    };
    gateway.handover.lock().returns.open.insert(number, open);
}

/// Returns the home of a team and its incarnation; `None` if this router is the home, the
/// incarnation is unknown or too many returns are open.
fn home(gateway: &Gateway, team: &TeamId) -> Option<(SocketAddr, Incarnation)> {
    if gateway.handover.lock().returns.open.len() >= MAX_OPEN {
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
        if open.sends > 0 && open.sent.elapsed() < RESEND_INTERVAL {
            return true;
        }
        let given_up = open.sends >= MAX_SENDS;
        if given_up {
            let Return { number, tokens, .. } = open.message;
            let team = open.message.team.as_str();
            gateway.metrics.count_transfer("lost", tokens);
            let (tokens, home) = (tokens.get(), open.home);
            tracing::warn!(team, number, tokens, %home, "return unacknowledged; tokens lost");
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

/// Returns all unreserved tokens that other routers handed over, at a planned shutdown.
pub async fn return_all(gateway: &Gateway) {
    run_round(gateway, false);
    let end = Instant::now() + SHUTDOWN_TIMEOUT;
    while Instant::now() < end && !gateway.handover.lock().returns.open.is_empty() {
        sleep(RETRY_INTERVAL / 4).await;
    }
}
