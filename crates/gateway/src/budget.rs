//! The prepaid tokens of all teams, as far as this router may spend them.
//!
//! [`fescue_policy::escrow`] describes how total spending is kept within the prepaid amount. A team's home
//! draws tokens from the store (`draw`), and hands them over to the routers that ask it (`home`); the
//! others ask (`asks`) and return what they don't need (`returns`). [`settlement`] is for a store that
//! comes back from an older copy. While the store is away, witnesses let licenses be used for longer
//! (`extension`), and what lost routers hold is taken back (`reclaim`). This part knows nothing of requests
//! beyond what they need: it is connected to other routers by [`Post`], and to the store by [`Table`]. See
//! [docs/design/platform.md](../../../docs/design/platform.md) and
//! [docs/design/control.md](../../../docs/design/control.md).
//!
//! # Lock order
//!
//! `state` before `peers`, and these before all others; none is held across an `await`, nor while a
//! [`Reservation`] is dropped.

mod asks;
mod draw;
mod effects;
mod extension;
mod home;
mod message;
mod outage;
mod plan;
mod reclaim;
mod reservation;
mod returns;
pub(crate) mod rows;
pub mod settlement;
mod timer;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use fescue_core::{Incarnation, TeamId, Tokens, VmId};
use fescue_policy::escrow::questions::Questions;
use fescue_policy::escrow::waiting::{Need, Waiting};
use fescue_policy::escrow::{AccountSnapshot, Demand, Escrow, Reserved};
use fescue_store::table::Table;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{Instant, timeout_at};

use crate::metrics::Metrics;
use crate::peers::Peers;
use asks::{OpenAsks, TeamAsks};
pub use draw::{Controller, Goal, run};
use effects::{Effects, Place, Waiter};
use extension::Witnessing;
pub use extension::run as run_extension;
use home::DedupCache;
pub use message::{Ask, Extend, Extended, Fence, Fenced, Gift, Held, Message, Return};
use reclaim::Reclaim;
pub use reclaim::run as run_reclaim;
pub use reservation::Reservation;
use returns::Returns;
pub use returns::{Holdings, SHUTDOWN_TIMEOUT};
use settlement::Settlement;
pub use timer::run as run_timer;

/// The connection to the other routers. Messages may be lost, repeated or late.
pub trait Post: Send + Sync {
    /// Sends a message, without waiting for anything.
    fn send(&self, to: SocketAddr, message: Message);

    /// Asks routers for a sign of life, which [`Peers::mark_responsive`] records.
    fn probe(&self, routers: &[SocketAddr]);

    /// Acknowledges a [`Return`] by its number.
    fn acknowledge(&self, to: SocketAddr, number: u64);
}

/// Which tokens are handed over to another router.
#[derive(Clone, Copy, Debug)]
pub enum Transfer {
    /// Those that other routers handed over and that aren't needed; all of these unless set.
    Surplus(bool),
    /// All that can be reserved.
    All,
    /// The answer to a question.
    Answer {
        /// What is needed at least.
        needed: Tokens,
        /// What is preferred.
        wanted: Tokens,
    },
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The team that pays.
    pub team: &'a TeamId,
    /// The tokens that it may consume at most.
    pub tokens: Tokens,
    /// Its rank; zero is the most urgent.
    pub rank: u8,
    /// When it should be answered.
    pub target: Instant,
    /// When it is no longer of use.
    pub deadline: Instant,
}

/// Why a request gets no tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// The team has only this much left.
    Exhausted(Tokens),
    /// They couldn't be had in time.
    Pending(Pending),
}

/// What is known of tokens that couldn't be had in time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pending {
    /// Whether the store doesn't answer the router that draws the tokens.
    pub store_down: bool,
    /// Whether a lost router holds the tokens, from which they can be taken back.
    pub reclaim: bool,
    /// The time until they can be had; `None` if it is not known.
    pub wait: Option<Duration>,
    /// The router that was asked last; `None` if this one draws for itself.
    pub asked: Option<SocketAddr>,
    /// What it answered; `None` if nothing.
    pub answer: Option<&'static str>,
}

/// The longest time for which a request waits for tokens, unless it is known when they come.
const MAX_WAIT: Duration = Duration::from_millis(900);

/// The longest time for which a request waits for tokens that are known to come.
const MAX_KNOWN_WAIT: Duration = Duration::from_millis(2500);

/// The part of its remaining time for which a request waits for tokens that are known to come.
const KNOWN_WAIT_PART: u32 = 4;

/// Number of failed rounds in a row from which on the store counts as down.
const MIN_FAILURES: u32 = 2;

/// Time after which a round of the controller counts as failed for those that can ask another router. Less
/// than half of what a request waits, so that another one can still draw.
const SLOW_ROUND: Duration = Duration::from_millis(400);

/// What is known of one team here.
#[derive(Default)]
struct Team {
    /// Requests that wait for tokens.
    waiting: Waiting<Waiter>,
    /// Whether they wait for a draw of this router, rather than for another one.
    drawing: bool,
    asks: TeamAsks,
    /// Questions of other routers that this one will answer.
    questions: Questions<SocketAddr>,
}

#[derive(Default)]
struct State {
    escrow: Escrow,
    prepaid: IndexMap<TeamId, Tokens>,
    teams: HashMap<TeamId, Team>,
    open_asks: OpenAsks,
    returns: Returns,
    /// Answers sent, by number of the question.
    given: DedupCache<Gift>,
    /// Returns accepted, by number.
    accepted: DedupCache<()>,
    /// Number of rounds of the controller that have failed in a row.
    failures: u32,
    /// When the current round of the controller began.
    round_begun: Option<Instant>,
    /// Whether the routers whose questions are kept know that this one can't draw.
    cut_off_told: bool,
}

impl State {
    /// Returns whether the store doesn't answer this router. A single call may fail by chance.
    fn is_store_down(&self) -> bool {
        self.failures >= MIN_FAILURES
    }

    /// Returns whether another router had better draw now. A wrong guess costs a message, so that one call
    /// which fails or takes long is enough.
    fn is_cut_off(&self) -> bool {
        let slow = |begun: Instant| begun.elapsed() >= SLOW_ROUND;
        self.failures > 0 || self.round_begun.is_some_and(slow)
    }

    /// Takes over what waits for a team into its balance.
    fn update_demand(&mut self, team: &TeamId) {
        let Some(known) = self.teams.get(team) else {
            return;
        };
        let total = known.waiting.total();
        let (waiting, asking) = match known.drawing {
            true => (total, Tokens::ZERO),
            false => (Tokens::ZERO, total),
        };
        let (questions, smallest) = known.questions.demand().unzip();
        self.escrow.balance(team).set_demand(Demand {
            waiting,
            asking,
            questions: questions.unwrap_or_default(),
            smallest,
        });
    }
}

/// The tokens of all teams at one router.
pub struct Budget {
    vm: VmId,
    incarnation: Incarnation,
    table: Arc<dyn Table>,
    peers: Arc<Mutex<Peers>>,
    post: Arc<dyn Post>,
    metrics: Arc<Metrics>,
    /// How far the rows of licenses are settled after a return of the store.
    settlement: Settlement,
    /// What this process keeps for the licenses of others.
    witnessing: Witnessing,
    /// What lost routers hold.
    reclaim: Reclaim,
    state: Mutex<State>,
    /// Wakes the controller.
    wake: Notify,
    /// Wakes the timer.
    active: Notify,
    /// The number of successful rounds of the controller.
    rounds: watch::Sender<u64>,
    start: Instant,
    me: Weak<Self>,
}

impl Budget {
    /// Creates the part for one process; [`run`], [`run_timer`], [`run_extension`], [`run_reclaim`] and
    /// [`settlement::run`] must run as well.
    pub fn open(
        (vm, incarnation): (VmId, Incarnation),
        table: Arc<dyn Table>,
        peers: Arc<Mutex<Peers>>,
        post: Arc<dyn Post>,
        metrics: Arc<Metrics>,
    ) -> Arc<Self> {
        Arc::new_cyclic(|me| Self {
            vm,
            incarnation,
            table,
            peers,
            post,
            metrics,
            settlement: Settlement::default(),
            witnessing: Witnessing::default(),
            reclaim: Reclaim::default(),
            state: Mutex::default(),
            wake: Notify::new(),
            active: Notify::new(),
            rounds: watch::Sender::new(0),
            start: Instant::now(),
            me: me.clone(),
        })
    }

    /// Sets what each team has prepaid.
    pub fn set_prepaid(&self, prepaid: IndexMap<TeamId, Tokens>) {
        self.state.lock().prepaid = prepaid;
        self.wake.notify_one();
    }

    /// Returns the number of successful rounds of the controller; a change can be awaited.
    pub fn rounds(&self) -> watch::Receiver<u64> {
        self.rounds.subscribe()
    }

    /// Wakes the controller, so that it starts a round early.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Returns the time since the start, which the policies use as their clock.
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns a lower bound of the store's clock; zero before its first answer.
    fn clock(&self) -> Duration {
        self.table.clock().unwrap_or_default()
    }

    fn since_start(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.start)
    }

    /// Reserves the most tokens that a request may consume, and waits for them if this router holds too few.
    ///
    /// # Errors
    ///
    /// Why there are none, as soon as that is known.
    pub async fn reserve(&self, request: &Request<'_>) -> Result<Reservation, Shortage> {
        let (ticket, receiver) = match self.enter(request) {
            Ok(reservation) => return Ok(reservation),
            Err(waiting) => waiting,
        };
        let _place = Place {
            budget: self,
            team: request.team,
            ticket,
        };
        match timeout_at(request.deadline, receiver).await {
            Ok(Ok(outcome)) => outcome,
            // The queue is not dropped before its budget, so this is the time-out.
            Ok(Err(_)) | Err(_) => Err(Shortage::Pending(Pending::default())),
        }
    }

    /// Reserves tokens, or adds the request to the queue of its team.
    fn enter(
        &self,
        request: &Request<'_>,
    ) -> Result<
        Reservation,
        (
            fescue_policy::escrow::waiting::Ticket,
            oneshot::Receiver<Result<Reservation, Shortage>>,
        ),
    > {
        let Request { team, tokens, .. } = *request;
        let clock = self.clock();
        let mut effects = Effects::default();
        let (sender, receiver) = oneshot::channel();
        let ticket = {
            let mut state = self.state.lock();
            let balance = state.escrow.balance(team);
            balance.record_demand(tokens);
            let first = state.teams.get(team).is_none_or(|t| t.waiting.is_empty());
            if first && state.escrow.balance(team).reserve(tokens, clock) == Reserved::Done {
                return Ok(self.hold(team, tokens));
            }
            let end = request.deadline.min(Instant::now() + MAX_WAIT);
            let need = Need {
                tokens,
                rank: request.rank,
                target: self.since_start(request.target),
                end: self.since_start(end),
            };
            let known = state.teams.entry(team.clone()).or_default();
            let ticket = known
                .waiting
                .push(need, Waiter::new(sender, request.deadline));
            self.serve(&mut state, team, &mut effects);
            ticket
        };
        self.apply(effects);
        Err((ticket, receiver))
    }

    /// Takes ownership of tokens that a balance has reserved.
    fn hold(&self, team: &TeamId, tokens: Tokens) -> Reservation {
        Reservation {
            budget: self.me.clone(),
            team: team.clone(),
            reserved: tokens,
            consumed: Tokens::ZERO,
        }
    }

    /// Reserves tokens if this router holds them; tells what is missing otherwise.
    pub fn try_reserve(&self, team: &TeamId, tokens: Tokens) -> Result<Reservation, Reserved> {
        let clock = self.clock();
        let reserved = self
            .state
            .lock()
            .escrow
            .balance(team)
            .reserve(tokens, clock);
        match reserved {
            Reserved::Done => Ok(self.hold(team, tokens)),
            missing => Err(missing),
        }
    }

    /// Returns the tokens of a team that can be reserved now.
    pub fn available(&self, team: &TeamId) -> Tokens {
        let clock = self.clock();
        self.state.lock().escrow.balance(team).available(clock)
    }

    /// Returns the tokens of a team that are held here and neither spent nor reserved, although the license
    /// may not allow them yet.
    pub fn unused(&self, team: &TeamId) -> Tokens {
        self.state.lock().escrow.balance(team).unused()
    }

    /// Gives what is there to those that wait for it, and asks for what is missing.
    fn serve(&self, state: &mut State, team: &TeamId, effects: &mut Effects) {
        self.serve_waiting(state, team, effects);
        self.serve_questions(state, team, effects);
        self.ask(state, team, effects);
        state.update_demand(team);
    }

    fn serve_waiting(&self, state: &mut State, team: &TeamId, effects: &mut Effects) {
        let (now, clock) = (self.now(), self.clock());
        let State { escrow, teams, .. } = state;
        let Some(known) = teams.get_mut(team) else {
            return;
        };
        while let Some(need) = known.waiting.first(now).copied() {
            if escrow.balance(team).reserve(need.tokens, clock) != Reserved::Done {
                return;
            }
            if let Some(waiter) = known.waiting.pop(now) {
                effects.answer(waiter, Ok(self.hold(team, need.tokens)));
            }
        }
    }

    /// Handles a message of another router.
    pub fn receive(&self, peer: SocketAddr, message: Message) {
        match message {
            Message::Ask(ask) => self.receive_ask(peer, ask),
            Message::Held(held) => self.receive_held(peer, held),
            Message::Gift(gift) => self.receive_gift(peer, gift),
            Message::Return(returned) => self.receive_return(peer, returned),
            Message::Row(copy) => self.receive_row(peer, *copy),
            Message::Extend(extend) => self.receive_extend(peer, &extend),
            Message::Extended(extended) => self.receive_extended(&extended),
            Message::Fence(fence) => self.receive_fence(peer, &fence),
            Message::Fenced(fenced) => self.reclaim.receive(&fenced),
        }
    }

    /// Records that another router has taken a return.
    pub fn close_return(&self, number: u64) {
        self.state.lock().returns.close(number);
    }

    /// Updates the average rates of spending for the time that has elapsed.
    pub fn observe_spending(&self, elapsed: Duration) {
        let mut state = self.state.lock();
        for (_, balance) in state.escrow.iter_mut() {
            balance.observe(elapsed);
        }
    }

    /// Sets what is known of an account, for tests of one router without a store.
    pub fn set_account(&self, team: &TeamId, snapshot: AccountSnapshot) {
        self.state
            .lock()
            .escrow
            .balance(team)
            .set_snapshot(snapshot);
    }

    /// Takes tokens out, as they are handed over to another router.
    pub fn take(&self, team: &TeamId, transfer: Transfer) -> Tokens {
        let clock = self.clock();
        let mut state = self.state.lock();
        let balance = state.escrow.balance(team);
        match transfer {
            Transfer::Surplus(keep) => balance.take_surplus(keep, clock),
            Transfer::All => balance.take_available(clock),
            Transfer::Answer { needed, wanted } => balance.hand_over(needed, wanted, clock),
        }
    }

    /// Adds tokens as another router would hand them over.
    pub fn add(&self, team: &TeamId, tokens: Tokens) {
        let mut effects = Effects::default();
        {
            let mut state = self.state.lock();
            state.escrow.balance(team).receive(tokens);
            self.serve(&mut state, team, &mut effects);
        }
        self.apply(effects);
    }

    fn apply(&self, effects: Effects) {
        effects.apply(self);
    }
}
