//! Requests tokens from the homes of teams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use fescue_core::{TeamId, Tokens};
use tokio::time::Instant;

use super::{Ask, Gift, Message};
use crate::gateway::Gateway;
use crate::peers::Home;

/// Interval between requests for one team and before a request is repeated; longer than the
/// longest round trip within a region.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Number of times a request is sent before the home counts as unresponsive.
const MAX_SENDS: u32 = 3;

/// Time for which a home that had too few tokens is skipped while others may have some.
const DENIAL_TTL: Duration = Duration::from_millis(150);

/// Time within which an answer is accepted; a later one is dropped and its tokens are lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of open requests above which expired ones are evicted.
const MAX_OPEN: usize = 1024;

/// The outcome of asking for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No other router can be asked; this one draws from the store.
    Local,
    /// A request is pending; its answer can be awaited.
    Pending,
    /// The homes report that the team has only this much left.
    Exhausted(Tokens),
}

/// The requests for tokens that this router has sent.
#[derive(Debug, Default)]
pub(super) struct Asks {
    /// Send times of the requests whose answers are accepted, by number.
    open: HashMap<u64, Instant>,
    teams: HashMap<TeamId, TeamAsks>,
}

impl Asks {
    fn record_open(&mut self, number: u64) {
        if self.open.len() >= MAX_OPEN {
            self.open.retain(|_, at| at.elapsed() < ANSWER_TIMEOUT);
        }
        self.open.entry(number).or_insert_with(Instant::now);
    }
}

/// The requests for one team's tokens.
#[derive(Debug, Default)]
struct TeamAsks {
    current: Option<Request>,
    denials: Vec<Denial>,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    number: u64,
    home: SocketAddr,
    sent: Instant,
    sends: u32,
}

#[derive(Clone, Copy, Debug)]
struct Denial {
    home: SocketAddr,
    at: Instant,
    left: Option<Tokens>,
}

/// The next step in asking for a team's tokens.
enum Step {
    /// Send the request, possibly again.
    Send(Request),
    /// Wait for an answer or for the retry interval.
    Wait,
    /// No home has enough; together they have this many tokens.
    GiveUp(Tokens),
    /// The home did not answer.
    Unresponsive(SocketAddr),
}

impl TeamAsks {
    fn denial(&self, home: SocketAddr) -> Option<&Denial> {
        let mut denials = self.denials.iter();
        denials.find(|denial| denial.home == home && denial.at.elapsed() < DENIAL_TTL)
    }

    /// Chooses the next step, given the responsive homes.
    fn step(&mut self, homes: &[SocketAddr], needed: Tokens) -> Step {
        let Some(request) = self.current else {
            return self.choose(homes, needed);
        };
        if request.sent.elapsed() < RETRY_INTERVAL {
            return Step::Wait;
        }
        if request.sends >= MAX_SENDS || !homes.contains(&request.home) {
            self.current = None;
            return Step::Unresponsive(request.home);
        }
        Step::Send(Request {
            sent: Instant::now(),
            sends: request.sends + 1,
            ..request
        })
    }

    /// Chooses the home to ask among the responsive ones.
    fn choose(&self, homes: &[SocketAddr], needed: Tokens) -> Step {
        let fresh = homes.iter().find(|home| self.denial(**home).is_none());
        if let Some(home) = fresh {
            return Step::Send(Request::open(*home));
        }
        let denials: Vec<_> = homes.iter().filter_map(|home| self.denial(*home)).collect();
        let Some(first) = denials.first() else {
            return Step::Wait;
        };
        let all = denials.iter().filter_map(|denial| denial.left);
        let all = all.fold(Tokens::ZERO, Tokens::saturating_add);
        match first.left {
            Some(_) if all < needed => Step::GiveUp(all),
            _ if first.at.elapsed() >= RETRY_INTERVAL => Step::Send(Request::open(first.home)),
            _ => Step::Wait,
        }
    }
}

impl Request {
    fn open(home: SocketAddr) -> Self {
        Self {
            number: rand::random(),
            home,
            sent: Instant::now(),
            sends: 1,
        }
    }
}

/// Requests what is missing to reserve `tokens` for a team.
pub fn ask(gateway: &Gateway, team: &TeamId, tokens: Tokens) -> Outcome {
    let clock = gateway.table.clock().unwrap_or_default();
    let (needed, wanted) = gateway.escrow.lock().balance(team).wanted(tokens, clock);
    advance(gateway, team, needed, wanted)
}

/// Requests tokens for the teams whose local balance runs low.
pub(super) fn refill(gateway: &Gateway) {
    let clock = gateway.table.clock().unwrap_or_default();
    let low: Vec<_> = {
        let mut escrow = gateway.escrow.lock();
        let low = escrow.iter_mut().filter(|(_, b)| b.is_low(clock));
        low.map(|(team, balance)| (team.clone(), balance.wanted(Tokens::ZERO, clock).1))
            .collect()
    };
    for (team, wanted) in low {
        let _outcome = advance(gateway, &team, Tokens::new(1), wanted);
    }
}

/// Takes the next steps in asking for a team's tokens.
fn advance(gateway: &Gateway, team: &TeamId, needed: Tokens, wanted: Tokens) -> Outcome {
    let mut homes = gateway.peers.lock().homes(team);
    let mut handover = gateway.handover.lock();
    loop {
        if homes.first().is_none_or(|home| *home == Home::Own) {
            return Outcome::Local;
        }
        let peers = homes.iter().filter_map(|home| match home {
            Home::Peer(address) => Some(*address),
            Home::Own => None,
        });
        let peers: Vec<_> = peers.collect();
        let asked = handover.asks.teams.entry(team.clone()).or_default();
        match asked.step(&peers, needed) {
            Step::Wait => return Outcome::Pending,
            Step::GiveUp(left) => return Outcome::Exhausted(left),
            Step::Unresponsive(home) => {
                gateway.peers.lock().mark_unresponsive(home);
                homes.retain(|other| *other != Home::Peer(home));
            }
            Step::Send(request) => {
                asked.current = Some(request);
                handover.asks.record_open(request.number);
                let ask = Ask {
                    number: request.number,
                    team: team.clone(),
                    needed,
                    wanted,
                };
                handover.send(request.home, Message::Ask(ask));
                return Outcome::Pending;
            }
        }
    }
}

/// Accepts an answer, at most once for each request.
pub(super) fn receive(gateway: &Gateway, peer: SocketAddr, gift: &Gift) {
    let mut handover = gateway.handover.lock();
    let (team, number) = (gift.team.as_str(), gift.number);
    let asked = handover.asks.open.remove(&number);
    if asked.is_none_or(|at| at.elapsed() >= ANSWER_TIMEOUT) {
        let tokens = gift.tokens.get();
        gateway.metrics.count_transfer("lost", gift.tokens);
        tracing::info!(
            team,
            number,
            tokens,
            "answer arrived late or twice; its tokens are dropped"
        );
        return;
    }
    let nothing = gift.tokens.is_zero();
    if let Some(asked) = handover.asks.teams.get_mut(&gift.team) {
        if asked
            .current
            .is_some_and(|current| current.number == number)
        {
            asked.current = None;
        }
        asked
            .denials
            .retain(|denial| nothing && denial.home != peer);
        if nothing {
            asked.denials.push(Denial {
                home: peer,
                at: Instant::now(),
                left: gift.left,
            });
        }
    }
    drop(handover);
    if !nothing {
        let mut escrow = gateway.escrow.lock();
        escrow.balance(&gift.team).receive(gift.tokens);
        drop(escrow);
        gateway.metrics.count_transfer("received", gift.tokens);
        tracing::info!(
            team,
            number,
            tokens = gift.tokens.get(),
            "received tokens from a home"
        );
    }
    gateway.peer_replies.send_modify(|gifts| *gifts += 1);
}
