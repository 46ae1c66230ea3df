//! What one router may spend of each team's prepaid tokens.
//!
//! The store holds an account a team, with the tokens granted to all routers together, and a row a
//! VM, with what is granted to its process. A router spends only what its row grants, so the sum
//! stays within what was prepaid with no clock and no message between routers. A team's home, see
//! [`crate::homes`], draws for the fleet; the other routers spend what it hands over to them.
//!
//! What a process held when it died would be lost, as nobody knows what it had spent. So its row
//! also bounds its spending over time: by the store's clock, a [`License`] allows an amount at once
//! and a rate from then on. The next process of the same VM knows that the one before it is dead,
//! and gives back what the license can't have allowed until then. The bound holds even when the
//! dead process was cut off from the store. See
//! [docs/design/platform.md](../../../docs/design/platform.md).

mod balance;

use std::time::Duration;

use fescue_core::{Incarnation, TeamId, Tokens, record};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

pub use balance::Balance;

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

/// After how long without a renewal a license's rate begins to count. A process that is killed
/// with all others is started again within this time, so most of what it held comes back.
const RATE_DELAY: Duration = Duration::from_millis(1300);

/// The transactions that all routers together write a second at most, a third of what one part
/// of the store takes.
const WRITES: f64 = 60.0;

/// The shortest time between two renewals.
const SHORTEST_PACE: Duration = Duration::from_millis(300);

/// Returns the time between two renewals of one router's licenses, where `writers` routers hold
/// some: as many as there are homes.
pub fn renewal_interval(writers: usize) -> Duration {
    Duration::from_secs_f64(writers as f64 / WRITES).max(SHORTEST_PACE)
}

/// Returns after how long without a renewal a license's rate begins to count.
pub fn rate_delay(writers: usize) -> Duration {
    RATE_DELAY + renewal_interval(writers)
}

/// What was last read of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountSnapshot {
    /// What was granted to all routers.
    pub granted: Tokens,
    /// What was prepaid.
    pub prepaid: Tokens,
    /// When, as a time since any fixed start.
    pub at: Duration,
}

impl AccountSnapshot {
    /// Returns what nobody holds.
    pub fn remaining(&self) -> Tokens {
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
