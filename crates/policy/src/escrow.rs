//! What one router may spend of each team's prepaid tokens.
//!
//! The store holds an account a team, with the tokens granted to all routers together, and a row a
//! VM, with what is granted to its process. A router spends only what its row grants, so the sum
//! stays within what was prepaid with no clock and no message between routers.
//!
//! What a process held when it died would be lost, as nobody knows what it had spent. So its row
//! also bounds its spending over time: by the store's clock, a [`License`] allows an amount at once
//! and a rate from then on. The next process of the same VM knows that the one before it is dead,
//! and gives back what the license can't have allowed until then. The bound holds even when the
//! dead process was cut off from the store. See
//! [docs/design/platform.md](../../../docs/design/platform.md).

use std::time::Duration;

use fescue_core::{Incarnation, TeamId, Tokens, record};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

record! {
    /// A team's account in the store.
    #[derive(Default)]
    pub struct Account {
        /// What was granted to all routers, less what was given back.
        pub granted: Tokens,
    }

    /// What a process may have spent of one team's tokens at any time.
    #[derive(Copy, Default)]
    pub struct License {
        /// What was granted, less what was given back.
        pub granted: Tokens,
        /// What it may have spent at once.
        pub base: Tokens,
        /// What it may spend beyond that once the rate counts.
        pub jump: Tokens,
        /// What it may spend beyond that, a second.
        pub rate: Tokens,
    }
}

/// A VM's row in the store.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The process that holds the licenses.
    pub incarnation: Incarnation,
    /// The store's time from which the rates count.
    #[serde(rename = "since_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub since: Duration,
    /// The licenses.
    pub licenses: IndexMap<TeamId, License>,
}

/// By how much a router's clock may run faster than the store's, as a factor of the rate.
const DRIFT: f64 = 1.05;

impl License {
    /// Returns what may be spent some time after its rate began to count.
    pub fn allows(&self, elapsed: Duration) -> Tokens {
        if elapsed.is_zero() {
            return self.granted.min(self.base);
        }
        let earned = self.rate.scale(elapsed.as_secs_f64());
        let base = self.base.saturating_add(self.jump);
        self.granted.min(base.saturating_add(earned))
    }

    /// Returns the most that a dead process can have spent, some time after its rate began to count.
    pub fn bound(&self, elapsed: Duration) -> Tokens {
        self.allows(elapsed.mul_f64(DRIFT))
    }
}

/// For how long a grant should last at the present rate of spending, so that an outage of the
/// store is survived; the longest that the deployments know is 9 s.
const HORIZON: Duration = Duration::from_secs(11);

/// A router draws again once less than this part of its target is left.
const LOW_WATER: f64 = 0.8;

/// A router gives back what it holds beyond this many times its target.
const HIGH_WATER: f64 = 1.6;

/// The part of what nobody holds that all routers together hold beyond their need.
const SPREAD: f64 = 0.5;

/// For how long a router keeps tokens for its own requests when others ask for some.
const KEPT: Duration = Duration::from_secs(1);

/// For how long a router asks others for tokens at once.
const ASKED: Duration = Duration::from_millis(700);

/// Below this part of the prepaid tokens left, grants last for a shorter time, so that no router
/// holds for later what another could spend now.
const SCARCE: f64 = 0.15;

/// The part of the horizon that is kept when nothing is left.
const LEAST_HORIZON: f64 = 0.2;

/// For how long a license's amount lasts at the present rate, beyond the time until its renewal.
const HEADROOM: Duration = Duration::from_millis(250);

/// After how long without a renewal a license's rate begins to count. A process that is killed
/// with all others is started again within this time, so most of what it held comes back.
const RATE_DELAY: Duration = Duration::from_millis(1300);

/// How much faster than at the present rate a license lets a router spend once its rate counts.
const LICENSED_RATE: f64 = 1.3;

/// The time in which all that is held can be spent once the rate counts.
const RELEASE: Duration = Duration::from_secs(9);

/// The transactions that all routers together write a second at most, a third of what one part
/// of the store takes.
const WRITES: f64 = 60.0;

/// The shortest time between two renewals.
const SHORTEST_PACE: Duration = Duration::from_millis(300);

/// Returns the time between two renewals of one router's licenses, with `routers` live ones.
pub fn pace(routers: usize) -> Duration {
    Duration::from_secs_f64(routers as f64 / WRITES).max(SHORTEST_PACE)
}

/// Returns after how long without a renewal a license's rate begins to count.
pub fn rate_delay(routers: usize) -> Duration {
    RATE_DELAY + pace(routers)
}

/// How fast the known rate follows a higher one, a second.
const RISE: f64 = 0.4;

/// How fast the known rate follows a lower one, a second.
const FALL: f64 = 0.4;

/// What one router holds of one team's tokens.
#[derive(Clone, Debug, Default)]
pub struct Balance {
    current: License,
    since: Duration,
    /// Licenses that were written without an answer, with the version of the row on which they
    /// depend and their start. Until that version has gone, each of them may come into force.
    pending: Vec<(u64, License, Duration)>,
    spent: Tokens,
    reserved: Tokens,
    /// What other routers handed over; it counts as spent in their licenses.
    received: Tokens,
    /// What the requests need that wait for tokens.
    waiting: Tokens,
    /// What was asked for since the last look, less what was not consumed.
    recent: Tokens,
    /// Tokens a second.
    rate: f64,
    known: Option<Known>,
}

/// What was last read of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    /// What was granted to all routers.
    pub granted: Tokens,
    /// What was prepaid.
    pub prepaid: Tokens,
    /// When, as a time since any fixed start.
    pub at: Duration,
}

impl Known {
    /// Returns what nobody holds.
    pub fn left(&self) -> Tokens {
        self.prepaid.saturating_sub(self.granted)
    }
}

/// How a reservation went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reserved {
    /// The tokens are set aside.
    Done,
    /// This router holds too little; the account may have more.
    Short,
    /// The account, as last read, doesn't cover the request.
    Exhausted,
}

impl Balance {
    /// Returns what can be reserved at the store's time `clock`.
    pub fn available(&self, clock: Duration) -> Tokens {
        let allowed =
            |license: &License, since: Duration| license.allows(clock.saturating_sub(since));
        let pending = self.pending.iter();
        let pending = pending.map(|(_, license, since)| allowed(license, *since));
        let least = pending.fold(allowed(&self.current, self.since), Tokens::min);
        least
            .saturating_add(self.received)
            .saturating_sub(self.consumed())
    }

    /// Returns what is granted and neither spent nor reserved.
    pub fn unused(&self) -> Tokens {
        let pending = self.pending.iter().map(|(_, license, _)| license.granted);
        let granted = pending.fold(self.current.granted, Tokens::min);
        granted
            .saturating_add(self.received)
            .saturating_sub(self.consumed())
    }

    fn consumed(&self) -> Tokens {
        self.spent.saturating_add(self.reserved)
    }

    /// Returns what counts against this router's own license.
    fn used(&self) -> Tokens {
        self.consumed().saturating_sub(self.received)
    }

    /// Hands tokens over to another router, as far as this one can spare them; returns how many.
    ///
    /// They count as spent here, so that the other router may spend them without a license.
    pub fn hand_over(&mut self, wanted: Tokens, clock: Duration) -> Tokens {
        let kept = Tokens::new((self.rate * KEPT.as_secs_f64()) as u64);
        let spare = self.available(clock).saturating_sub(kept);
        let given = wanted.min(spare);
        self.spent = self.spent.saturating_add(given);
        given
    }

    /// Takes tokens that another router handed over.
    pub fn receive(&mut self, tokens: Tokens) {
        self.received = self.received.saturating_add(tokens);
    }

    /// Returns what to ask other routers for when `tokens` can't be reserved.
    pub fn wanted(&self, tokens: Tokens, clock: Duration) -> Tokens {
        let missing = tokens.saturating_sub(self.available(clock));
        missing.max(Tokens::new((self.rate * ASKED.as_secs_f64()) as u64))
    }

    /// Returns what was last read of the account.
    pub fn known(&self) -> Option<Known> {
        self.known
    }

    /// Counts what a request asks for, once, whether it gets it or not.
    pub fn ask(&mut self, tokens: Tokens) {
        self.recent = self.recent.saturating_add(tokens);
    }

    /// Counts a request as waiting for tokens.
    pub fn start_waiting(&mut self, tokens: Tokens) {
        self.waiting = self.waiting.saturating_add(tokens);
    }

    /// Counts a request as no longer waiting.
    pub fn end_waiting(&mut self, tokens: Tokens) {
        self.waiting = self.waiting.saturating_sub(tokens);
    }

    /// Sets tokens aside for a request.
    pub fn reserve(&mut self, tokens: Tokens, clock: Duration) -> Reserved {
        if self.available(clock) >= tokens {
            self.reserved = self.reserved.saturating_add(tokens);
            return Reserved::Done;
        }
        let missing = tokens.saturating_sub(self.unused());
        match self.known {
            Some(known) if known.left() < missing => Reserved::Exhausted,
            _ => Reserved::Short,
        }
    }

    /// Ends a reservation: what was consumed is spent, the rest can be reserved again.
    pub fn settle(&mut self, reserved: Tokens, consumed: Tokens) {
        let consumed = consumed.min(reserved);
        self.reserved = self.reserved.saturating_sub(reserved);
        self.spent = self.spent.saturating_add(consumed);
        let unused = reserved.saturating_sub(consumed);
        self.recent = self.recent.saturating_sub(unused);
    }

    /// Follows the rate of spending.
    pub fn observe(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        let rate = self.recent.get() as f64 / seconds;
        let gain = if rate > self.rate { RISE } else { FALL };
        self.rate += (rate - self.rate) * (gain * seconds).min(1.0);
        self.recent = Tokens::ZERO;
    }

    /// Returns what this router should hold unused, with `routers` live ones.
    fn target(&self, left: Tokens, prepaid: Tokens, routers: usize) -> Tokens {
        let scarce = prepaid.get() as f64 * SCARCE;
        let part = (left.get() as f64 / scarce.max(1.0)).clamp(LEAST_HORIZON, 1.0);
        let need = self.rate * HORIZON.as_secs_f64() * part;
        let spread = left.get() as f64 * SPREAD / routers.max(1) as f64;
        Tokens::new((need + spread) as u64)
    }

    /// Returns the license that this router wants next, given its account.
    ///
    /// The account's `granted` may grow by no more than what is left.
    pub fn plan(&self, account: &Account, prepaid: Tokens, routers: usize) -> License {
        let unused = self.unused();
        let used = self.used();
        let left = prepaid.saturating_sub(account.granted);
        let missing = self.waiting.saturating_sub(unused);
        let target = self.target(left, prepaid, routers).max(self.waiting);
        let holds = if account.granted > prepaid {
            Tokens::ZERO
        } else if unused < target.scale(LOW_WATER) {
            let fair = Tokens::new(left.get() / 2);
            let draw = target.saturating_sub(unused).min(fair).max(missing);
            unused.saturating_add(draw.min(left))
        } else if unused > target.scale(HIGH_WATER) {
            target
        } else {
            unused
        };
        // What was received and not spent yet is no part of this router's own license.
        let spare = self.received.saturating_sub(self.consumed());
        let granted = used.saturating_add(holds.saturating_sub(spare));
        let lasting = HEADROOM + pace(routers);
        let headroom = Tokens::new((self.rate * lasting.as_secs_f64()) as u64);
        let headroom = headroom.max(self.waiting).min(holds);
        // What is held can be spent in an outage, also by a team that is idle now.
        let steady = holds.scale(1.0 / RELEASE.as_secs_f64());
        let rate = Tokens::new((self.rate * LICENSED_RATE) as u64).max(steady);
        let missed = rate_delay(routers).saturating_sub(lasting);
        License {
            granted,
            base: used.saturating_add(headroom),
            jump: rate.scale(missed.as_secs_f64()),
            rate,
        }
    }

    /// Returns whether the present license can stay as it is beside the planned one.
    pub fn is_settled(&self, plan: &License, clock: Duration) -> bool {
        let headroom = plan.base.saturating_sub(self.used());
        let enough = self.available(clock) >= headroom.scale(LOW_WATER);
        // Once its rate counts, a license allows more than a dead process should keep.
        let tight = clock < self.since || self.unused().is_zero();
        self.pending.is_empty() && tight && self.current.granted == plan.granted && enough
    }

    /// Returns how urgently the planned license must replace the present one: above one while
    /// requests wait, otherwise the part of the planned holding that is missing.
    pub fn urgency(&self, plan: &License) -> f64 {
        if !self.waiting.is_zero() {
            return 2.0;
        }
        let planned = plan.granted.saturating_sub(self.used()).get() as f64;
        let unused = self.unused().get() as f64;
        ((planned - unused) / planned.max(1.0)).clamp(0.0, 1.0)
    }

    /// Notes a license that is about to be written on a version of the VM's row.
    pub fn propose(&mut self, version: u64, license: License, since: Duration) {
        self.pending.push((version, license, since));
    }

    /// Takes over the license that was written.
    pub fn accept(&mut self, license: License, since: Duration) {
        self.current = license;
        self.since = since;
        self.pending.clear();
    }

    /// Takes over the license that stands in the VM's row of a version; what was proposed on other
    /// versions can no longer come into force.
    pub fn reconcile(&mut self, version: u64, license: License, since: Duration) {
        self.current = license;
        self.since = since;
        self.pending.retain(|(on, _, _)| *on == version);
    }

    /// Takes over what was read of the account.
    pub fn learn(&mut self, known: Known) {
        self.known = Some(known);
    }
}

/// What one router holds of all teams' tokens.
#[derive(Clone, Debug, Default)]
pub struct Escrow {
    balances: IndexMap<TeamId, Balance>,
}

impl Escrow {
    /// Returns a team's balance.
    pub fn balance(&mut self, team: &TeamId) -> &mut Balance {
        if !self.balances.contains_key(team) {
            self.balances.insert(team.clone(), Balance::default());
        }
        &mut self.balances[team]
    }

    /// Returns the teams' balances.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&TeamId, &mut Balance)> {
        self.balances.iter_mut()
    }
}
