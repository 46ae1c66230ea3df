//! Requests tokens from the homes of teams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use fescue_core::{TeamId, Tokens};
use fescue_policy::escrow::waiting::Need;
use tokio::time::Instant;

use super::effects::Effects;
use super::message::{Ask, Gift, Message};
use super::outage::{Expected, Source};
use super::{Budget, Pending, Shortage, State};
use crate::peers::Home;

/// Time to wait for an answer before a question is sent again; longer than the longest round trip within
/// a region.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Number of times a question is sent before the home counts as unresponsive.
const MAX_SENDS: u32 = 3;

/// Time after which a question that a home keeps is sent again: its answer may have been lost.
const HELD_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which a home that had too few tokens is skipped while others may have some.
const DENIAL_TTL: Duration = Duration::from_millis(150);

/// Time within which an answer is accepted; a later one is dropped and its tokens are lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of open questions above which expired ones are evicted.
const MAX_OPEN: usize = 1024;

/// The greatest age of an account's last known state by which a request is refused as exhausted.
const MAX_ACCOUNT_AGE: Duration = Duration::from_secs(1);

/// Send times of the questions whose answers are accepted, by number.
#[derive(Debug, Default)]
pub(super) struct OpenAsks(HashMap<u64, Instant>);

impl OpenAsks {
    fn record(&mut self, number: u64) {
        if self.0.len() >= MAX_OPEN {
            self.0.retain(|_, at| at.elapsed() < ANSWER_TIMEOUT);
        }
        self.0.entry(number).or_insert_with(Instant::now);
    }

    /// Removes a question; returns whether its answer is accepted.
    fn close(&mut self, number: u64) -> bool {
        let asked = self.0.remove(&number);
        asked.is_some_and(|at| at.elapsed() < ANSWER_TIMEOUT)
    }
}

/// The questions for one team's tokens.
#[derive(Debug, Default)]
pub(super) struct TeamAsks {
    current: Option<Question>,
    denials: Vec<Denial>,
    /// What the last router that was asked has answered.
    pub(super) last: Option<(SocketAddr, Option<&'static str>)>,
    /// Tokens that are expected without a draw.
    pub(super) expected: Option<Expected>,
}

#[derive(Clone, Copy, Debug)]
struct Question {
    number: u64,
    home: SocketAddr,
    sent: Instant,
    sends: u32,
    /// Whether the home keeps it.
    held: bool,
    /// When the request that it is for should be answered, since the start.
    target: Duration,
}

/// What a question is for.
#[derive(Clone, Copy, Debug)]
struct Lack {
    needed: Tokens,
    wanted: Tokens,
    rank: u8,
    target: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Denial {
    home: SocketAddr,
    at: Instant,
    left: Option<Tokens>,
}

/// The next step in asking for a team's tokens.
enum Step {
    /// Send the question, possibly again.
    Send(Question),
    /// Wait for an answer or for the retry interval.
    Wait,
    /// No home has enough; together they have this many tokens.
    GiveUp(Tokens),
    /// The home did not answer.
    Unresponsive(SocketAddr),
}

impl TeamAsks {
    /// Returns whether a question is open.
    pub fn is_open(&self) -> bool {
        self.current.is_some()
    }

    fn denial(&self, home: SocketAddr) -> Option<&Denial> {
        let mut denials = self.denials.iter();
        denials.find(|denial| denial.home == home && denial.at.elapsed() < DENIAL_TTL)
    }

    /// Chooses the next step, given the responsive homes.
    fn step(&mut self, homes: &[SocketAddr], lack: &Lack, now: Duration) -> Step {
        let Some(question) = self.current else {
            return self.choose(homes, lack);
        };
        // A request that can still be in time goes before the late one that a home knows of.
        let overtaken = question.target < now && lack.target >= now;
        let interval = match question.held && !overtaken {
            true => HELD_RETRY_INTERVAL,
            false => RETRY_INTERVAL,
        };
        if question.sent.elapsed() < interval {
            return Step::Wait;
        }
        if !homes.contains(&question.home) {
            self.current = None;
            return self.choose(homes, lack);
        }
        if question.sends >= MAX_SENDS {
            self.current = None;
            return Step::Unresponsive(question.home);
        }
        Step::Send(Question {
            sent: Instant::now(),
            sends: question.sends + 1,
            held: false,
            target: lack.target,
            ..question
        })
    }

    /// Records that a home keeps a question; returns false if it is not the current one.
    pub(super) fn hold(&mut self, peer: SocketAddr, number: u64) -> bool {
        let current = self.current.as_mut();
        let Some(question) = current.filter(|current| current.number == number) else {
            return false;
        };
        question.held = true;
        question.sent = Instant::now();
        question.sends = 1;
        self.last = Some((peer, Some("held")));
        true
    }

    /// Gives up the question to a router if one before it may have tokens; returns whether it did. Its answer
    /// is still accepted.
    pub(super) fn pass_over(&mut self, peer: SocketAddr, homes: &[Home]) -> bool {
        let before = homes.iter().take_while(|home| **home != Home::Peer(peer));
        let mut before = before.enumerate();
        let better = before.any(|(place, home)| match home {
            Home::Own => place == 0,
            Home::Peer(address) => self.denial(*address).is_none(),
        });
        if better {
            self.current = None;
        }
        better
    }

    /// Takes the question to a router that can't draw and holds `left` for answered, if another router has said
    /// how little it and the account have left: together they tell whether the team is out of tokens. Returns
    /// whether it does.
    pub(super) fn deny(&mut self, peer: SocketAddr, left: Option<Tokens>) -> bool {
        let mut denials = self.denials.iter();
        let known = denials.any(|denial| {
            denial.home != peer && denial.left.is_some() && denial.at.elapsed() < DENIAL_TTL
        });
        if left.is_none() || !known {
            return false;
        }
        self.current = None;
        self.denials.retain(|denial| denial.home != peer);
        self.denials.push(Denial {
            home: peer,
            at: Instant::now(),
            left,
        });
        true
    }

    /// Chooses the home to ask among the responsive ones.
    fn choose(&self, homes: &[SocketAddr], lack: &Lack) -> Step {
        let fresh = homes.iter().find(|home| self.denial(**home).is_none());
        if let Some(home) = fresh {
            return Step::Send(Question::open(*home, lack.target));
        }
        let denials: Vec<_> = homes.iter().filter_map(|home| self.denial(*home)).collect();
        let Some(first) = denials.first() else {
            return Step::Wait;
        };
        let all = denials.iter().filter_map(|denial| denial.left);
        let all = all.fold(Tokens::ZERO, Tokens::saturating_add);
        match first.left {
            Some(_) if all < lack.needed => Step::GiveUp(all),
            _ if first.at.elapsed() >= RETRY_INTERVAL => {
                Step::Send(Question::open(first.home, lack.target))
            }
            _ => Step::Wait,
        }
    }
}

impl Question {
    fn open(home: SocketAddr, target: Duration) -> Self {
        Self {
            number: rand::random(),
            home,
            sent: Instant::now(),
            sends: 1,
            held: false,
            target,
        }
    }
}

impl Budget {
    /// Takes the next steps in asking for what the waiting requests of a team lack.
    pub(super) fn ask(&self, state: &mut State, team: &TeamId, effects: &mut Effects) {
        loop {
            let (now, clock) = (self.now(), self.clock());
            let Some(known) = state.teams.get_mut(team) else {
                return;
            };
            let Some(need) = known.waiting.first(now).copied() else {
                return;
            };
            let homes = self.choose_homes(state, team, need, effects);
            if state.teams.get(team).is_some_and(|known| known.drawing) {
                effects.draw();
                return self.refuse_drawing(state, team, need, effects);
            }
            let balance = state.escrow.balance(team);
            let (needed, wanted) = balance.wanted(need.tokens, clock);
            let lack = Lack {
                needed,
                wanted,
                rank: need.rank,
                target: need.target,
            };
            let own = homes.contains(&Home::Own);
            let Some(left) = self.advance(state, team, lack, homes, effects) else {
                return;
            };
            let balance = state.escrow.balance(team);
            // What a candidate holds can't be drawn by others, and its license allows it in time.
            let held = if own {
                balance.may_hold()
            } else {
                balance.available(clock)
            };
            let reach = held.saturating_add(left);
            if self.await_reclaim(state, team, need, reach, effects)
                || !refuse(state, team, reach, left, effects)
            {
                return;
            }
        }
    }

    /// Returns the routers to ask, and records whether this one draws.
    fn choose_homes(
        &self,
        state: &mut State,
        team: &TeamId,
        need: Need,
        effects: &mut Effects,
    ) -> Vec<Home> {
        // Another router may be the home by now.
        effects.time();
        let homes = self.peers.lock().homes(team, state.is_cut_off());
        let drawing = homes.first().is_none_or(|home| *home == Home::Own);
        if let Some(known) = state.teams.get_mut(team) {
            known.drawing = drawing;
        }
        state.update_demand(team);
        if !drawing && state.is_store_down() && homes.contains(&Home::Own) {
            // This router would draw, and its license may allow the tokens before another one answers.
            let wait = self.expected_wait(state, team, need.tokens);
            let expected = Expected::open(wait, Source::License);
            self.extend_waiting(state, team, expected);
        }
        homes
    }

    /// Asks for tokens for the near future, if what a router holds may run out before a home answers.
    pub(super) fn refill(&self, state: &mut State, effects: &mut Effects) {
        let (clock, cut_off) = (self.clock(), state.is_cut_off());
        let low = state.escrow.iter_mut().filter(|(_, b)| b.is_low(clock));
        let low: Vec<_> = low
            .map(|(team, balance)| (team.clone(), balance.wanted(Tokens::ZERO, clock).1))
            .collect();
        for (team, wanted) in low {
            let homes = self.peers.lock().homes(&team, cut_off);
            if homes.first().is_some_and(|home| *home != Home::Own) {
                state.teams.entry(team.clone()).or_default();
                let lack = Lack {
                    needed: Tokens::new(1),
                    wanted,
                    rank: 0,
                    target: self.now(),
                };
                let _left = self.advance(state, &team, lack, homes, effects);
            }
        }
    }

    /// Sends a question if one is due. Returns what the homes have left if that is less than is needed.
    fn advance(
        &self,
        state: &mut State,
        team: &TeamId,
        lack: Lack,
        homes: Vec<Home>,
        effects: &mut Effects,
    ) -> Option<Tokens> {
        let peers = homes.into_iter().filter_map(|home| match home {
            Home::Peer(address) => Some(address),
            Home::Own => None,
        });
        let mut peers: Vec<_> = peers.collect();
        loop {
            let known = state.teams.get_mut(team)?;
            match known.asks.step(&peers, &lack, self.now()) {
                Step::Wait => return None,
                Step::GiveUp(left) => return Some(left),
                Step::Unresponsive(home) => {
                    tracing::info!(team = team.as_str(), %home, "no answer to a question for tokens; router skipped");
                    self.peers.lock().mark_unresponsive(home);
                    peers.retain(|other| *other != home);
                    if peers.is_empty() {
                        // The next step finds that this router draws for itself.
                        effects.time();
                        return None;
                    }
                }
                Step::Send(question) => {
                    known.asks.current = Some(question);
                    known.asks.last = Some((question.home, None));
                    state.open_asks.record(question.number);
                    let left = lack.target.saturating_sub(self.now());
                    let ask = Ask {
                        number: question.number,
                        team: team.clone(),
                        needed: lack.needed,
                        wanted: lack.wanted,
                        rank: lack.rank,
                        target_ms: left.as_millis() as u64,
                    };
                    self.metrics.count_token_message("asked");
                    effects.send(question.home, Message::Ask(ask));
                    effects.time();
                    return None;
                }
            }
        }
    }

    /// Refuses what a draw of this router can't cover, or not in time.
    fn refuse_drawing(&self, state: &mut State, team: &TeamId, first: Need, effects: &mut Effects) {
        let balance = state.escrow.balance(team);
        if let Some(account) = balance.snapshot() {
            let fresh = self.now().saturating_sub(account.at) < MAX_ACCOUNT_AGE;
            let left = account.remaining();
            let reach = balance.may_hold().saturating_add(left);
            if fresh
                && reach < first.tokens
                && !self.await_reclaim(state, team, first, reach, effects)
            {
                refuse(state, team, reach, left, effects);
            }
        }
        if state.is_store_down() {
            let wait = self.expected_wait(state, team, first.tokens);
            let expected = Expected::open(wait, Source::License);
            self.expect(state, team, expected, Pending::default(), effects);
        }
    }

    /// Lets a team's requests wait for tokens that may be taken back from lost routers, if what can be had
    /// without these doesn't cover the first of them. Returns whether that is so.
    fn await_reclaim(
        &self,
        state: &mut State,
        team: &TeamId,
        first: Need,
        reach: Tokens,
        effects: &mut Effects,
    ) -> bool {
        let missing = first.tokens.saturating_sub(reach);
        let wait = self.reclaim_time(team, missing);
        if missing.is_zero() || wait.is_none() {
            return false;
        }
        let expected = Expected::open(wait, Source::LostRouter);
        self.expect(state, team, expected, Pending::default(), effects);
        true
    }

    /// Accepts an answer, at most once for each question.
    pub(super) fn receive_gift(&self, peer: SocketAddr, gift: Gift) {
        self.peers.lock().mark_responsive(peer, gift.from);
        let (team, number) = (gift.team, gift.number);
        let mut effects = Effects::default();
        {
            let mut state = self.state.lock();
            if !state.open_asks.close(number) {
                let tokens = gift.tokens.get();
                self.metrics.count_transfer("lost", gift.tokens);
                tracing::info!(
                    team = team.as_str(),
                    number,
                    tokens,
                    "answer arrived late or twice; its tokens are dropped"
                );
                return;
            }
            let nothing = gift.tokens.is_zero();
            let known = state.teams.entry(team.clone()).or_default();
            let current = known.asks.current;
            if current.is_some_and(|current| current.number == number) {
                known.asks.current = None;
            }
            let denials = &mut known.asks.denials;
            denials.retain(|denial| nothing && denial.home != peer);
            if nothing {
                denials.push(Denial {
                    home: peer,
                    at: Instant::now(),
                    left: gift.left,
                });
                let answer = gift.left.map_or("nothing", |_| "too little left");
                known.asks.last = Some((peer, Some(answer)));
            } else {
                known.asks.last = Some((peer, Some("tokens")));
                known.asks.expected = None;
                state.escrow.balance(&team).receive(gift.tokens);
                self.metrics.count_transfer("received", gift.tokens);
            }
            self.serve(&mut state, &team, &mut effects);
        }
        self.apply(effects);
    }
}

/// Refuses the waiting requests that need more than can be had, `left` of it at other routers or in the
/// account. Returns whether there are any.
fn refuse(
    state: &mut State,
    team: &TeamId,
    reach: Tokens,
    left: Tokens,
    effects: &mut Effects,
) -> bool {
    let Some(known) = state.teams.get_mut(team) else {
        return false;
    };
    let refused = known.waiting.extract(|need, _| need.tokens > reach);
    let any = !refused.is_empty();
    for waiter in refused {
        effects.answer(waiter, Err(Shortage::Exhausted(left)));
    }
    any
}
