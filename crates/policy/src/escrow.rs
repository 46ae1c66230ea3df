//! What one router may spend of each team's prepaid tokens.
//!
//! The store holds one account a team: the tokens granted to all routers together, and each VM's
//! part. A router spends only what its VM's part grants, so no clock and no peer is needed for the
//! sum to stay within what was prepaid. Whatever a router that died had not spent stays granted.
//! See [docs/design/platform.md](../../../docs/design/platform.md).

use std::time::Duration;

use fescue_core::{Incarnation, TeamId, Tokens, VmId, record};
use indexmap::IndexMap;

record! {
    /// One VM's part of an account.
    pub struct Part {
        /// The process that it was granted to.
        pub incarnation: Incarnation,
        /// What was granted to it, less what it gave back.
        pub granted: Tokens,
    }

    /// A team's account in the store.
    #[derive(Default)]
    pub struct Account {
        /// What was granted to all routers, dead ones included, less what was given back.
        pub granted: Tokens,
        /// The VMs' parts; a VM's new process replaces the part of the one before it.
        pub parts: IndexMap<VmId, Part>,
    }
}

impl Account {
    /// Returns what is granted to a process.
    pub fn part(&self, vm: &VmId, incarnation: Incarnation) -> Tokens {
        let part = self.parts.get(vm);
        let own = part.filter(|part| part.incarnation == incarnation);
        own.map_or(Tokens::ZERO, |part| part.granted)
    }

    /// Grants tokens to a process.
    pub fn grant(&mut self, vm: &VmId, incarnation: Incarnation, tokens: Tokens) {
        let granted = self.part(vm, incarnation).saturating_add(tokens);
        self.granted = self.granted.saturating_add(tokens);
        self.set(vm, incarnation, granted);
    }

    /// Takes back what a process holds beyond `kept`; returns how much that is.
    pub fn take_back(&mut self, vm: &VmId, incarnation: Incarnation, kept: Tokens) -> Tokens {
        let part = self.part(vm, incarnation);
        let tokens = part.saturating_sub(kept);
        self.granted = self.granted.saturating_sub(tokens);
        self.set(vm, incarnation, part.saturating_sub(tokens));
        tokens
    }

    fn set(&mut self, vm: &VmId, incarnation: Incarnation, granted: Tokens) {
        let part = Part {
            incarnation,
            granted,
        };
        self.parts.insert(vm.clone(), part);
    }
}

/// For how long a grant should last at the present rate of spending, so that an outage of the
/// store is survived; the longest that the deployments know is 9 s.
const HORIZON: Duration = Duration::from_secs(11);

/// A router draws again once less than this is left at the present rate.
const LOW_WATER: Duration = Duration::from_secs(9);

/// The part of a team's tokens that a router draws before it knows the team's rate.
const FIRST_PART: u64 = 100;

/// One router draws at most this part of what is left, so that the others find some too.
const LARGEST_PART: u64 = 6;

/// How fast the known rate follows the present one, a second.
const RATE_GAIN: f64 = 0.3;

/// What one router holds of one team's tokens.
#[derive(Clone, Debug, Default)]
pub struct Balance {
    granted: Tokens,
    spent: Tokens,
    reserved: Tokens,
    /// What requests that found too little need, the largest.
    short: Tokens,
    /// What was spent or reserved since the last look.
    recent: Tokens,
    /// Tokens a second.
    rate: f64,
    /// The account as it was last read.
    known: Option<Known>,
    /// The version of the account on which a return was tried whose outcome isn't known.
    unsettled: Option<u64>,
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

/// A change of an account that a router wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    /// More tokens: at least the first, where it can be had, and up to the second.
    Draw(Tokens, Tokens),
    /// To give back.
    Return(Tokens),
}

impl Balance {
    /// Returns what can be reserved.
    pub fn available(&self) -> Tokens {
        let used = self.spent.saturating_add(self.reserved);
        self.granted.saturating_sub(used)
    }

    /// Returns what was last read of the account.
    pub fn known(&self) -> Option<Known> {
        self.known
    }

    /// Sets tokens aside for a request.
    pub fn reserve(&mut self, tokens: Tokens) -> Reserved {
        if self.available() >= tokens {
            self.reserved = self.reserved.saturating_add(tokens);
            self.recent = self.recent.saturating_add(tokens);
            return Reserved::Done;
        }
        self.short = self.short.max(tokens);
        let missing = tokens.saturating_sub(self.available());
        match self.known {
            Some(known) if known.prepaid.saturating_sub(known.granted) < missing => {
                Reserved::Exhausted
            }
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
        let gain = (RATE_GAIN * seconds).min(1.0);
        self.rate += (rate - self.rate) * gain;
        self.recent = Tokens::ZERO;
    }

    /// Returns the change that the account needs, if any.
    pub fn wish(&self, prepaid: Tokens) -> Option<Wish> {
        let available = self.available();
        if self.unsettled.is_some() {
            return Some(Wish::Return(available));
        }
        let over = self.known.is_some_and(|known| known.granted > prepaid);
        if over {
            return (!available.is_zero()).then_some(Wish::Return(available));
        }
        let target = Tokens::new((self.rate * HORIZON.as_secs_f64()) as u64);
        let low = Tokens::new((self.rate * LOW_WATER.as_secs_f64()) as u64);
        let first = Tokens::new(prepaid.get() / FIRST_PART);
        let (target, low) = match self.known {
            None => (first, first),
            Some(_) => (target.max(first), low.max(Tokens::new(first.get() / 2))),
        };
        let needed = self.short.saturating_sub(available);
        if needed.is_zero() && available >= low {
            return None;
        }
        let most = target.saturating_sub(available).max(needed);
        (!most.is_zero()).then_some(Wish::Draw(needed, most))
    }

    /// Returns what is granted of a draw, by what the account has left.
    pub fn share(needed: Tokens, most: Tokens, left: Tokens) -> Tokens {
        let fair = Tokens::new(left.get() / LARGEST_PART);
        most.min(fair).max(needed).min(left)
    }

    /// Takes off all that is available, before the store is asked to take it back; returns what
    /// this router then still holds, spent or not.
    pub fn give_back(&mut self, version: u64) -> Tokens {
        let available = self.available();
        self.granted = self.granted.saturating_sub(available);
        self.unsettled = Some(version);
        self.granted
    }

    /// Takes over what the store says of the account.
    ///
    /// While the row still has the version on which a return was tried, the return may yet be
    /// applied, so what it gives back is not spendable again.
    pub fn reconcile(&mut self, part: Tokens, known: Known, version: u64) {
        self.known = Some(known);
        if self.unsettled == Some(version) {
            self.granted = self.granted.min(part);
            return;
        }
        self.unsettled = None;
        self.granted = part;
        if self.available() >= self.short {
            self.short = Tokens::ZERO;
        }
    }

    /// Forgets what waiting requests needed, once they have been answered.
    pub fn forget_short(&mut self) {
        self.short = Tokens::ZERO;
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
