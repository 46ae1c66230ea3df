//! A home's answers to the routers that ask it for tokens.

use std::net::SocketAddr;
use std::time::Duration;

use fescue_core::{TeamId, Tokens};
use fescue_policy::escrow::Balance;
use fescue_policy::escrow::questions::Question;
use fescue_policy::escrow::waiting::Need;
use indexmap::IndexMap;

use super::effects::Effects;
use super::message::{Ask, Gift, Held, Message, Return};
use super::{Budget, State};

/// Maximum age of account data that a home reports to other routers.
const ACCOUNT_MAX_AGE: Duration = Duration::from_secs(2);

/// The longest time for which a question is kept; about as long as an asker's requests wait.
const MAX_HOLD: Duration = Duration::from_millis(800);

/// The longest time to a target that is taken from another router.
const MAX_TARGET: Duration = Duration::from_secs(3600);

/// Number of handled messages kept for deduplication; far more than arrive while a suspended
/// router still has a message to repeat.
const DEDUP_CAPACITY: usize = 8192;

/// A bounded cache of the latest entries by message number.
#[derive(Debug)]
pub(super) struct DedupCache<T>(IndexMap<u64, T>);

impl<T> Default for DedupCache<T> {
    fn default() -> Self {
        Self(IndexMap::new())
    }
}

impl<T> DedupCache<T> {
    fn get(&self, number: u64) -> Option<&T> {
        self.0.get(&number)
    }

    fn insert(&mut self, number: u64, entry: T) {
        if self.0.len() >= DEDUP_CAPACITY {
            // Evicts the oldest half at once, since removing the first entry shifts all others.
            self.0.drain(..DEDUP_CAPACITY / 2);
        }
        self.0.insert(number, entry);
    }
}

impl Budget {
    /// Answers a question now or keeps it; a repeated one gets the same answer.
    pub(super) fn receive_ask(&self, peer: SocketAddr, ask: Ask) {
        let mut effects = Effects::default();
        {
            let mut state = self.state.lock();
            if let Some(gift) = state.given.get(ask.number) {
                effects.send(peer, Message::Gift(gift.clone()));
            } else {
                let now = self.now();
                let need = Need {
                    tokens: ask.needed,
                    rank: ask.rank,
                    target: now + Duration::from_millis(ask.target_ms).min(MAX_TARGET),
                    end: now + MAX_HOLD,
                };
                let question = Question {
                    number: ask.number,
                    need,
                    wanted: ask.wanted,
                };
                let team = ask.team;
                self.metrics.count_token_message("question");
                let known = state.teams.entry(team.clone()).or_default();
                known.questions.push(peer, question);
                self.serve_questions(&mut state, &team, &mut effects);
                self.tell_held(&mut state, &team, (peer, question), &mut effects);
                state.update_demand(&team);
            }
        }
        self.apply(effects);
    }

    /// Says that a question is kept, if it is.
    pub(super) fn tell_held(
        &self,
        state: &mut State,
        team: &TeamId,
        (peer, question): (SocketAddr, Question),
        effects: &mut Effects,
    ) {
        let kept = state
            .teams
            .get(team)
            .and_then(|known| known.questions.get(peer));
        if kept.is_none_or(|kept| kept.number != question.number) {
            return;
        }
        let wait = self.expected_wait(state, team, question.need.tokens);
        effects.draw();
        effects.time();
        let held = Held {
            number: question.number,
            team: team.clone(),
            from: self.incarnation,
            store_down: state.is_store_down(),
            cut_off: state.is_cut_off(),
            left: Some(state.escrow.balance(team).unused()),
            wait_ms: wait.map(|wait| wait.as_millis() as u64),
            reclaim_ms: self.awaits_reclaim(state, team, question.need.tokens),
        };
        effects.send(peer, Message::Held(held));
    }

    /// Returns the time, in milliseconds, until tokens may be taken back from lost routers without which a
    /// team has too few; `None` if it has enough, or is out of tokens.
    fn awaits_reclaim(&self, state: &mut State, team: &TeamId, needed: Tokens) -> Option<u64> {
        let since = self.now().saturating_sub(ACCOUNT_MAX_AGE);
        let left = missing(state.escrow.balance(team), needed, since)?;
        let wait = self.reclaim_time(team, needed.saturating_sub(left))?;
        Some(wait.as_millis() as u64)
    }

    /// Returns the time until the license allows tokens without a renewal; `None` if it never does.
    pub(super) fn expected_wait(
        &self,
        state: &mut State,
        team: &TeamId,
        tokens: Tokens,
    ) -> Option<Duration> {
        let clock = self.clock();
        state.escrow.balance(team).available_in(tokens, clock)
    }

    /// Answers the questions that can be answered by now, in their order.
    pub(super) fn serve_questions(&self, state: &mut State, team: &TeamId, effects: &mut Effects) {
        let (now, clock) = (self.now(), self.clock());
        let since = now.saturating_sub(ACCOUNT_MAX_AGE);
        let State {
            escrow,
            teams,
            given,
            ..
        } = state;
        let Some(known) = teams.get_mut(team) else {
            return;
        };
        let balance = escrow.balance(team);
        while let Some((peer, question)) = known.questions.first(now) {
            let needed = question.need.tokens;
            let tokens = balance.hand_over(needed, question.wanted, clock);
            // What lost routers hold may come back, and the question is kept until then.
            let left = missing(balance, needed, since).filter(|left| {
                self.reclaim_time(team, needed.saturating_sub(*left))
                    .is_none()
            });
            if tokens.is_zero() && left.is_none() {
                break;
            }
            known.questions.remove(peer);
            let gift = self.gift(team, &question, tokens, left);
            if !tokens.is_zero() {
                self.metrics.count_transfer("given", tokens);
                given.insert(question.number, gift.clone());
            }
            effects.send(peer, Message::Gift(gift));
        }
    }

    /// Answers the questions that were kept for too long with nothing.
    pub(super) fn expire_questions(&self, state: &mut State, team: &TeamId, effects: &mut Effects) {
        let now = self.now();
        let Some(known) = state.teams.get_mut(team) else {
            return;
        };
        for (peer, question) in known.questions.expire(now) {
            let gift = self.gift(team, &question, Tokens::ZERO, None);
            effects.send(peer, Message::Gift(gift));
        }
    }

    fn gift(
        &self,
        team: &TeamId,
        question: &Question,
        tokens: Tokens,
        left: Option<Tokens>,
    ) -> Gift {
        if tokens.is_zero() {
            tracing::info!(
                team = team.as_str(),
                number = question.number,
                needed = question.need.tokens.get(),
                left = left.map(Tokens::get),
                "question for tokens not covered"
            );
        }
        self.metrics.count_token_message("answer");
        Gift {
            number: question.number,
            team: team.clone(),
            tokens,
            left,
            from: self.incarnation,
        }
    }

    /// Accepts tokens returned by another router; a repeated message is only acknowledged, by the caller.
    pub(super) fn receive_return(&self, peer: SocketAddr, returned: Return) {
        let (number, from) = (returned.number, self.incarnation);
        if returned.to != from {
            tracing::info!(team = returned.team.as_str(), number, to = %returned.to, "return for a previous process ignored");
            return;
        }
        let mut effects = Effects::default();
        {
            let mut state = self.state.lock();
            if state.accepted.get(number).is_none() {
                state.accepted.insert(number, ());
                let balance = state.escrow.balance(&returned.team);
                balance.receive(returned.tokens);
                balance.reduce_demand(returned.tokens);
                let tokens = returned.tokens;
                self.metrics.count_transfer("taken_back", tokens);
                self.serve(&mut state, &returned.team, &mut effects);
            }
        }
        self.post.acknowledge(peer, number);
        self.apply(effects);
    }
}

/// Returns what the team has left in all if that is known, and less than is needed.
fn missing(balance: &Balance, needed: Tokens, since: Duration) -> Option<Tokens> {
    let left = balance.remaining(since)?;
    (left < needed).then_some(left)
}
