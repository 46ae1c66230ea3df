//! What becomes of requests and questions whose tokens can't be drawn now.
//!
//! While the store doesn't answer the router that draws, or a lost router holds the tokens, requests wait for
//! what is expected, or are told when to come back.
//!
//! A router that the store doesn't answer says so, and those that ask it go to the next in line. If none can draw, the store is away:
//! then the requests wait for what the home's license allows. See
//! [docs/design/control.md](../../../docs/design/control.md).

use std::net::SocketAddr;
use std::time::Duration;

use fescue_core::TeamId;
use tokio::time::Instant;

use super::effects::{Effects, Waiter};
use super::message::Held;
use super::{Budget, KNOWN_WAIT_PART, MAX_KNOWN_WAIT, MAX_WAIT, Pending, Shortage, State};

/// The margin for which a request waits beyond the time at which tokens are expected.
const WAIT_MARGIN: Duration = Duration::from_millis(200);

/// Where expected tokens come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// The license of a router that the store doesn't answer.
    License,
    /// A lost router, from which they are taken back.
    LostRouter,
}

/// Tokens that are expected without a draw.
#[derive(Clone, Copy, Debug)]
pub(super) struct Expected {
    /// When that was last known.
    at: Instant,
    /// The time from then on until they come; `None` if they don't.
    wait: Option<Duration>,
    source: Source,
}

impl Expected {
    pub fn open(wait: Option<Duration>, source: Source) -> Self {
        Self {
            at: Instant::now(),
            wait,
            source,
        }
    }
}

/// Returns a test of whether tokens that come after `wait` are in time for a request.
fn in_time(wait: Option<Duration>) -> impl Fn(&Waiter) -> bool {
    let at = Instant::now();
    move |waiter| {
        let left = waiter.deadline.saturating_duration_since(at);
        let patience = MAX_KNOWN_WAIT.min(left / KNOWN_WAIT_PART);
        wait.is_some_and(|wait| wait <= patience)
    }
}

impl Budget {
    /// Tells the routers whose questions are kept, once, that this one can't draw.
    pub(super) fn tell_cut_off(&self, state: &mut State, effects: &mut Effects) {
        let cut_off = state.is_cut_off();
        if cut_off && !state.cut_off_told {
            for team in state.open_teams() {
                let known = state.teams.get(&team);
                let kept = known.into_iter().flat_map(|known| known.questions.iter());
                for question in kept.collect::<Vec<_>>() {
                    self.tell_held(state, &team, question, effects);
                }
            }
        }
        state.cut_off_told = cut_off;
    }

    /// Handles that a home keeps a question.
    pub(super) fn receive_held(&self, peer: SocketAddr, held: Held) {
        self.peers.lock().mark_responsive(peer, held.from);
        let mut effects = Effects::default();
        {
            let mut state = self.state.lock();
            let own_cut_off = state.is_cut_off();
            let Some(known) = state.teams.get_mut(&held.team) else {
                return;
            };
            if !known.asks.hold(peer, held.number) {
                return;
            }
            let homes = {
                let mut peers = self.peers.lock();
                if peers.mark_cut_off(peer, held.cut_off) {
                    tracing::info!(team = held.team.as_str(), home = %peer, "router has no path to the store; others are asked first");
                }
                peers.homes(&held.team, own_cut_off)
            };
            let passed_over = held.cut_off && known.asks.pass_over(peer, &homes);
            let never = held.cut_off && held.wait_ms.is_none();
            let denied = never && !passed_over && known.asks.deny(peer, held.left);
            let wait = held.wait_ms.map(Duration::from_millis);
            if denied {
                // The next step finds whether the team has too little left in all.
            } else if held.store_down && passed_over {
                let expected = Expected::open(wait, Source::License);
                self.extend_waiting(&mut state, &held.team, expected);
            } else if held.store_down || held.reclaim_ms.is_some() {
                let reclaim = held.reclaim_ms.map(Duration::from_millis);
                let expected = match reclaim {
                    Some(wait) => Expected::open(Some(wait), Source::LostRouter),
                    None => Expected::open(wait, Source::License),
                };
                let pending = Pending {
                    asked: Some(peer),
                    answer: Some("held"),
                    ..Pending::default()
                };
                self.expect(&mut state, &held.team, expected, pending, &mut effects);
            }
            if passed_over || denied {
                self.ask(&mut state, &held.team, &mut effects);
            }
            state.update_demand(&held.team);
        }
        self.apply(effects);
    }

    /// Lets requests wait for tokens that are expected, and refuses those for which they come too late.
    pub(super) fn expect(
        &self,
        state: &mut State,
        team: &TeamId,
        expected: Expected,
        pending: Pending,
        effects: &mut Effects,
    ) {
        let Some(known) = state.teams.get_mut(team) else {
            return;
        };
        let in_time = in_time(expected.wait);
        let refused = known.waiting.extract(|_, waiter| !in_time(waiter));
        for waiter in refused {
            let pending = Pending {
                store_down: expected.source == Source::License,
                reclaim: expected.source == Source::LostRouter,
                wait: expected.wait,
                ..pending.clone()
            };
            effects.answer(waiter, Err(Shortage::Pending(pending)));
        }
        self.extend_waiting(state, team, expected);
    }

    /// Lets the requests for which that is in time wait for tokens that are expected.
    pub(super) fn extend_waiting(&self, state: &mut State, team: &TeamId, expected: Expected) {
        let now = self.now();
        let Some(known) = state.teams.get_mut(team) else {
            return;
        };
        known.asks.expected = Some(expected);
        if let Some(wait) = expected.wait {
            let in_time = in_time(Some(wait));
            known.waiting.extend(now + wait + WAIT_MARGIN, in_time);
        }
    }

    /// Refuses the requests that have waited for too long.
    pub(super) fn expire_waiting(&self, state: &mut State, team: &TeamId, effects: &mut Effects) {
        let now = self.now();
        let failing = state.is_store_down();
        let Some(known) = state.teams.get_mut(team) else {
            return;
        };
        let (asked, answer) = match (known.drawing, known.asks.last) {
            (false, Some((home, answer))) => (Some(home), answer),
            _ => (None, None),
        };
        let expected = known.asks.expected;
        let expected = expected.filter(|expected| expected.at.elapsed() < MAX_WAIT);
        let wait = expected.and_then(|known| known.wait?.checked_sub(known.at.elapsed()));
        let source = expected.map(|expected| expected.source);
        let reclaim = source == Some(Source::LostRouter);
        let pending = Pending {
            store_down: source == Some(Source::License) || (known.drawing && failing && !reclaim),
            reclaim,
            wait,
            asked,
            answer,
        };
        for waiter in known.waiting.extract(|need, _| need.end <= now) {
            effects.answer(waiter, Err(Shortage::Pending(pending.clone())));
        }
    }
}
