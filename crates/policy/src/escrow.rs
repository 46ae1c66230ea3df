//! The part of each team's prepaid tokens that one router may spend.
//!
//! The store holds an account per team, with the tokens granted to all routers together, and a row
//! per VM, with the tokens granted to its process. A router spends only what its row grants, so the
//! total stays within the prepaid amount without clocks or messages between routers. A team's home
//! (see [`crate::homes`]) draws for the fleet; the other routers spend the tokens that it hands over.
//!
//! The grants of a process that dies would be lost, since nobody knows how much it had spent.
//! Therefore its row also bounds its spending over time: by the store's clock, a [`License`] allows
//! an initial amount, and a rate after a delay. The next process on the same VM knows that its
//! predecessor is dead, and returns the tokens that the license can't have allowed by then. The bound
//! also holds if the dead process was cut off from the store. If no process comes back on the VM, the other
//! routers take back what the license doesn't allow, see [`term`]. See also
//! [docs/design/platform.md](../../../docs/design/platform.md).

mod balance;
pub mod questions;
pub mod settlement;
pub mod term;
pub mod waiting;

use std::time::Duration;

use fescue_core::{Era, Incarnation, TeamId, Tokens, record};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

pub use balance::{Balance, Demand};
use term::{Generations, Witness};

record! {
    /// A team's account in the store.
    #[derive(Default)]
    pub struct Account {
        /// The tokens granted to all routers, less those returned.
        pub granted: Tokens,
    }

    /// A bound, as a function of time, on the tokens of one team that a process has spent.
    #[derive(Copy, Default)]
    pub struct License {
        /// The tokens granted to the process, less those returned.
        pub granted: Tokens,
        /// The tokens that may be spent before the rate applies.
        pub base: Tokens,
        /// The tokens that may be spent in addition as soon as the rate applies. Zero in new licenses.
        #[serde(default)]
        pub jump: Tokens,
        /// The further tokens per second once the rate applies.
        pub rate: Tokens,
        /// The tokens that were spent or reserved when the license was requested.
        #[serde(default)]
        pub used: Tokens,
    }

    /// The tokens of a dead process's license, divided by what is known of them.
    #[derive(Copy)]
    pub struct Closing {
        /// Spent or reserved when the license was requested.
        pub used: Tokens,
        /// Allowed at once, in addition; may have been spent.
        pub initial: Tokens,
        /// Allowed by the time that has passed, in addition; may have been spent.
        pub accrued: Tokens,
        /// Not allowed by the license, so certainly unspent.
        pub unspent: Tokens,
    }
}

/// A VM's row in the store.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The process that the licenses are granted to.
    pub incarnation: Incarnation,
    /// The time by the store's clock from which the rates apply.
    #[serde(rename = "since_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub since: Duration,
    /// The licenses by team.
    pub licenses: IndexMap<TeamId, License>,
    /// The processes that keep until when the licenses may be used; empty if nobody does.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub witnesses: Vec<Witness>,
    /// The tokens charged to earlier processes of this VM by team. With the licenses they add up to
    /// this VM's part of the account.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub closed: IndexMap<TeamId, Tokens>,
    /// The era in which the row was settled; absent in rows of older routers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub era: Option<Era>,
    /// The era and version of the row that another router has restored here; absent once the process
    /// itself has written it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub copied: Option<(Era, u64)>,
}

/// The largest ratio between the speeds of a router's clock and the store's clock.
const MAX_CLOCK_RATIO: f64 = 1.05;

impl License {
    /// Returns the tokens that may have been spent `elapsed` after the rate began to apply.
    pub fn allows(&self, elapsed: Duration) -> Tokens {
        if elapsed.is_zero() {
            return self.granted.min(self.base);
        }
        let earned = self.rate.scale(elapsed.as_secs_f64());
        let base = self.base.saturating_add(self.jump);
        self.granted.min(base.saturating_add(earned))
    }

    /// Returns when `tokens` may be spent if the rate applies from `since` on; zero if at once, `None` if
    /// never.
    pub fn allowed_at(&self, tokens: Tokens, since: Duration) -> Option<Duration> {
        if tokens > self.granted {
            return None;
        }
        let missing = tokens.saturating_sub(self.base);
        if missing.is_zero() {
            return Some(Duration::ZERO);
        }
        let earned = missing.saturating_sub(self.jump);
        let seconds = earned.get() as f64 / self.rate.get() as f64;
        let elapsed = Duration::try_from_secs_f64(seconds).ok()?;
        since.checked_add(elapsed)
    }

    /// Returns an upper bound on what a dead process spent until `elapsed` after the rate began to
    /// apply, for a process whose clock ran faster than the store's.
    pub fn bound(&self, elapsed: Duration) -> Tokens {
        self.allows(elapsed.mul_f64(MAX_CLOCK_RATIO))
    }

    /// Returns the tokens that can't be spent before the rate applies.
    pub fn deferred(&self) -> Tokens {
        self.granted.saturating_sub(self.allows(Duration::ZERO))
    }

    /// Returns the license without what a process can't spend any more whose rate no longer applies after
    /// `elapsed`. The process may spend the rest at any time.
    pub fn truncate(&self, elapsed: Duration) -> Self {
        let allowed = self.allows(elapsed);
        Self {
            granted: allowed,
            base: allowed,
            jump: Tokens::ZERO,
            rate: Tokens::ZERO,
            used: self.used.min(allowed),
        }
    }

    /// Returns the license without what a process can't spend whose rate applies for `elapsed` at most. How much of
    /// the rest it has spent may become known later.
    pub fn cap(&self, elapsed: Duration) -> Self {
        let granted = self.allows(elapsed);
        Self {
            granted,
            used: self.used.min(granted),
            ..*self
        }
    }

    /// Divides the tokens of a process that had died by `elapsed` after the rate began to apply.
    pub fn close(&self, elapsed: Duration) -> Closing {
        let (base, bound) = (self.allows(Duration::ZERO), self.bound(elapsed));
        let used = self.used.min(base);
        Closing {
            used,
            initial: base.saturating_sub(used),
            accrued: bound.saturating_sub(base),
            unspent: self.granted.saturating_sub(bound),
        }
    }
}

/// The time without a renewal after which a license's rate applies, beyond the renewal interval.
/// Processes that are killed together restart within this time, so that their successors count nothing
/// as spent for it.
const RATE_DELAY: Duration = Duration::from_millis(2200);

/// The limit on renewals per second by all routers together: three quarters of what one partition of the
/// store accepts. The rest is for draws.
const MAX_WRITES_PER_SECOND: f64 = 150.0;

/// The lower bound of the renewal interval of a router's licenses.
const MIN_RENEWAL_INTERVAL: Duration = Duration::from_millis(150);

/// Returns the time between two renewals of one router's licenses.
///
/// `writers` is the number of routers that hold licenses, which is the number of homes.
pub fn renewal_interval(writers: usize) -> Duration {
    Duration::from_secs_f64(writers as f64 / MAX_WRITES_PER_SECOND).max(MIN_RENEWAL_INTERVAL)
}

/// Returns the time without a renewal after which a license's rate applies.
pub fn rate_delay(writers: usize) -> Duration {
    RATE_DELAY + renewal_interval(writers)
}

/// A team's account as it was last read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountSnapshot {
    /// The tokens granted to all routers.
    pub granted: Tokens,
    /// The tokens that the team has prepaid.
    pub prepaid: Tokens,
    /// The time of reading, since an arbitrary fixed start.
    pub at: Duration,
}

impl AccountSnapshot {
    /// Returns the tokens that are granted to no router.
    pub fn remaining(&self) -> Tokens {
        self.prepaid.saturating_sub(self.granted)
    }
}

/// The outcome of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reserved {
    /// The tokens are reserved.
    Done,
    /// This router holds too few tokens; the account may have more.
    Short,
    /// Even with the rest of the account, as last read, the request isn't covered.
    Exhausted,
}

/// The balances of all teams at one router.
#[derive(Clone, Debug, Default)]
pub struct Escrow {
    balances: IndexMap<TeamId, Balance>,
    /// The licenses that may be in force.
    pub generations: Generations,
}

impl Escrow {
    /// Returns a team's balance, inserting an empty one if there is none.
    pub fn balance(&mut self, team: &TeamId) -> &mut Balance {
        if !self.balances.contains_key(team) {
            self.balances.insert(team.clone(), Balance::default());
        }
        &mut self.balances[team]
    }

    /// Records that a witness lets the licenses of a generation be used until `until`; returns whether more
    /// may be spent by it.
    pub fn confirm(&mut self, since: Duration, witness: Incarnation, until: Duration) -> bool {
        let Some(term) = self.generations.confirm(since, witness, until) else {
            return false;
        };
        self.balances
            .values_mut()
            .for_each(|balance| balance.extend(term));
        true
    }

    /// Drops the generations of licenses that no balance depends on.
    pub fn drop_unused_generations(&mut self) {
        let balances = &self.balances;
        let in_force = |since| balances.values().any(|balance| balance.depends_on(since));
        self.generations.retain(in_force);
    }

    /// Iterates over the balances of all teams.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&TeamId, &mut Balance)> {
        self.balances.iter_mut()
    }
}
