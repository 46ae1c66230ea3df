//! Asking the homes of teams for tokens.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use fescue_core::{TeamId, Tokens};
use tokio::time::Instant;

use super::{Ask, Gift, Message};
use crate::gateway::Gateway;
use crate::peers::Home;

/// The pause between two questions about one team, and before a question is repeated; over the
/// longest way there and back within a region.
pub const PAUSE: Duration = Duration::from_millis(40);

/// How often a question is sent before its router counts as silent.
const SENDS: u32 = 3;

/// For how long a router that had too little isn't asked again while others may have some.
const DENIED: Duration = Duration::from_millis(150);

/// How long a question may be answered; a later answer is dropped, and its tokens are lost.
const ANSWERED: Duration = Duration::from_secs(10);

/// The questions that are open at most.
const MOST_OPEN: usize = 1024;

/// What asking led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// Nobody else is to be asked: this router draws for itself.
    Own,
    /// An answer can be waited for.
    Asked,
    /// The team has no more than this, by the word of its home.
    Exhausted(Tokens),
}

/// What this router asked.
#[derive(Debug, Default)]
pub(super) struct Asks {
    /// The questions that may be answered, by number.
    open: HashMap<u64, Instant>,
    teams: HashMap<TeamId, Asked>,
}

impl Asks {
    fn note_open(&mut self, number: u64) {
        if self.open.len() >= MOST_OPEN {
            self.open.retain(|_, at| at.elapsed() < ANSWERED);
        }
        self.open.entry(number).or_insert_with(Instant::now);
    }
}

/// What was asked about one team.
#[derive(Debug, Default)]
struct Asked {
    current: Option<Question>,
    denials: Vec<Denial>,
}

#[derive(Clone, Copy, Debug)]
struct Question {
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

/// What comes next for a team.
enum Step {
    /// A question is sent, or sent again.
    Send(Question),
    /// An answer, or time, is waited for.
    Wait,
    /// No home has enough; together they have this.
    GiveUp(Tokens),
    /// A home didn't answer.
    Silent(SocketAddr),
}

impl Asked {
    fn denial(&self, home: SocketAddr) -> Option<&Denial> {
        let mut denials = self.denials.iter();
        denials.find(|denial| denial.home == home && denial.at.elapsed() < DENIED)
    }

    /// Decides what comes next, given the homes that answer.
    fn step(&mut self, homes: &[SocketAddr], needed: Tokens) -> Step {
        let Some(question) = self.current else {
            return self.choose(homes, needed);
        };
        if question.sent.elapsed() < PAUSE {
            return Step::Wait;
        }
        if question.sends >= SENDS || !homes.contains(&question.home) {
            self.current = None;
            return Step::Silent(question.home);
        }
        Step::Send(Question {
            sent: Instant::now(),
            sends: question.sends + 1,
            ..question
        })
    }

    /// Chooses whom to ask among the homes that answer.
    fn choose(&self, homes: &[SocketAddr], needed: Tokens) -> Step {
        let fresh = homes.iter().find(|home| self.denial(**home).is_none());
        if let Some(home) = fresh {
            return Step::Send(Question::open(*home));
        }
        let denials: Vec<_> = homes.iter().filter_map(|home| self.denial(*home)).collect();
        let Some(first) = denials.first() else {
            return Step::Wait;
        };
        let all = denials.iter().filter_map(|denial| denial.left);
        let all = all.fold(Tokens::ZERO, Tokens::saturating_add);
        match first.left {
            Some(_) if all < needed => Step::GiveUp(all),
            _ if first.at.elapsed() >= PAUSE => Step::Send(Question::open(first.home)),
            _ => Step::Wait,
        }
    }
}

impl Question {
    fn open(home: SocketAddr) -> Self {
        Self {
            number: rand::random(),
            home,
            sent: Instant::now(),
            sends: 1,
        }
    }
}

/// Asks for what a request of `tokens` lacks.
pub fn ask(gateway: &Gateway, team: &TeamId, tokens: Tokens) -> Turn {
    let clock = gateway.table.clock().unwrap_or_default();
    let (needed, wanted) = gateway.escrow.lock().balance(team).wanted(tokens, clock);
    turn(gateway, team, needed, wanted)
}

/// Asks for tokens of the teams that soon have too few here.
pub(super) fn refill(gateway: &Gateway) {
    let clock = gateway.table.clock().unwrap_or_default();
    let low: Vec<_> = {
        let mut escrow = gateway.escrow.lock();
        let low = escrow.iter_mut().filter(|(_, b)| b.runs_low(clock));
        low.map(|(team, balance)| (team.clone(), balance.wanted(Tokens::ZERO, clock).1))
            .collect()
    };
    for (team, wanted) in low {
        let _turn = turn(gateway, &team, Tokens::new(1), wanted);
    }
}

/// Goes one step further in asking for a team's tokens.
fn turn(gateway: &Gateway, team: &TeamId, needed: Tokens, wanted: Tokens) -> Turn {
    let mut homes = gateway.peers.lock().homes(team);
    let mut handover = gateway.handover.lock();
    loop {
        if homes.first().is_none_or(|home| *home == Home::Own) {
            return Turn::Own;
        }
        let peers = homes.iter().filter_map(|home| match home {
            Home::Peer(address) => Some(*address),
            Home::Own => None,
        });
        let peers: Vec<_> = peers.collect();
        let asked = handover.asks.teams.entry(team.clone()).or_default();
        match asked.step(&peers, needed) {
            Step::Wait => return Turn::Asked,
            Step::GiveUp(left) => return Turn::Exhausted(left),
            Step::Silent(home) => {
                gateway.peers.lock().note_silent(home);
                homes.retain(|other| *other != Home::Peer(home));
            }
            Step::Send(question) => {
                asked.current = Some(question);
                handover.asks.note_open(question.number);
                let ask = Ask {
                    number: question.number,
                    team: team.clone(),
                    needed,
                    wanted,
                };
                handover.send(question.home, Message::Ask(ask));
                return Turn::Asked;
            }
        }
    }
}

/// Takes an answer, once.
pub(super) fn receive(gateway: &Gateway, peer: SocketAddr, gift: &Gift) {
    let mut handover = gateway.handover.lock();
    let (team, number) = (gift.team.as_str(), gift.number);
    let asked = handover.asks.open.remove(&number);
    if asked.is_none_or(|at| at.elapsed() >= ANSWERED) {
        let tokens = gift.tokens.get();
        gateway.metrics.count_moved("lost", gift.tokens);
        tracing::info!(team, number, tokens, "an answer came too late or twice");
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
        gateway.metrics.count_moved("received", gift.tokens);
        tracing::info!(team, number, tokens = gift.tokens.get(), "tokens received");
    }
    gateway.peer_replies.send_modify(|gifts| *gifts += 1);
}
