//! What one router holds of one team's tokens, and what it plans to hold next.

use std::time::Duration;

use fescue_core::Tokens;

use super::{Account, AccountSnapshot, License, Reserved, rate_delay, renewal_interval};
use crate::homes::Role;

/// For how long a grant should last at the present rate of spending, so that an outage of the
/// store is survived; the longest that the deployments know is 9 s.
const HORIZON: Duration = Duration::from_secs(11);

/// A router draws again once less than this part of its target is left.
const LOW_WATER: f64 = 0.8;

/// A router gives back what it holds beyond this many times its target.
const HIGH_WATER: f64 = 1.6;

/// The part of what nobody holds that a home holds beyond the need of the fleet. The rest can be
/// drawn by other routers while the home is gone.
const HOME_PART: f64 = 0.5;

/// The part of what nobody holds that a backup holds while the account is ample.
const BACKUP_PART: f64 = 0.1;

/// For how long a router asks the home for tokens at once, at its own rate of spending.
const ASKED: Duration = Duration::from_millis(300);

/// A router asks for more once what it was handed lasts for less than this.
const REFILL: Duration = Duration::from_millis(150);

/// A router returns what it was handed and doesn't need for this long.
const KEPT: Duration = Duration::from_millis(600);

/// A home hands over no more than what was needed once it holds less than this many times what a
/// router would like to have.
const AMPLE: f64 = 4.0;

/// Below this part of the prepaid tokens left, grants last for a shorter time, so that no router
/// holds for later what another could spend now.
const SCARCE: f64 = 0.15;

/// The part of the horizon that is kept when nothing is left.
const LEAST_HORIZON: f64 = 0.2;

/// For how long a license's amount lasts at the present rate, beyond the time until its renewal.
const HEADROOM: Duration = Duration::from_millis(250);

/// How much faster than at the present rate a license lets a router spend once its rate counts.
const LICENSED_RATE: f64 = 1.6;

/// The time in which all that is held can be spent once the rate counts.
const RELEASE: Duration = Duration::from_secs(30);

/// How fast the known rate follows a higher one, a second.
const RISE: f64 = 1.2;

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
    /// What other routers asked for and didn't get since the last plan.
    unmet: Unmet,
    /// What was asked for since the last look, less what was not consumed.
    recent: Tokens,
    /// Tokens a second.
    rate: f64,
    known: Option<AccountSnapshot>,
}

/// What other routers asked for in vain.
#[derive(Clone, Copy, Debug, Default)]
struct Unmet {
    total: Tokens,
    least: Tokens,
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

    /// Hands tokens over to another router that needs some and would like more; returns how many,
    /// which is none where the need isn't covered.
    ///
    /// They count as spent here, so that the other router may spend them without a license.
    pub fn hand_over(&mut self, needed: Tokens, wanted: Tokens, clock: Duration) -> Tokens {
        let available = self.available(clock);
        if available < needed {
            let least = match self.unmet.total.is_zero() {
                true => needed,
                false => self.unmet.least.min(needed),
            };
            let total = self.unmet.total.saturating_add(needed);
            self.unmet = Unmet { total, least };
            return Tokens::ZERO;
        }
        let ample = available >= wanted.scale(AMPLE);
        let given = if ample { wanted.max(needed) } else { needed };
        self.spent = self.spent.saturating_add(given);
        self.recent = self.recent.saturating_add(given);
        given
    }

    /// Takes tokens that another router handed over or returned.
    pub fn receive(&mut self, tokens: Tokens) {
        self.received = self.received.saturating_add(tokens);
    }

    /// Takes back out of the rate what was returned: it was asked for and not spent.
    pub fn reduce_demand(&mut self, tokens: Tokens) {
        self.recent = self.recent.saturating_sub(tokens);
    }

    /// Returns what to ask the home for: what a request of `tokens` lacks, and what would be good
    /// to have.
    pub fn wanted(&self, tokens: Tokens, clock: Duration) -> (Tokens, Tokens) {
        let available = self.available(clock);
        let needed = tokens.saturating_sub(available);
        let waiting = self.waiting.saturating_sub(available);
        let soon = self.at_rate(ASKED);
        (needed, needed.max(waiting).max(soon))
    }

    /// Returns whether what this router holds won't last until a home has answered.
    pub fn is_low(&self, clock: Duration) -> bool {
        let refill = self.at_rate(REFILL);
        !refill.is_zero() && self.available(clock) < refill
    }

    /// Takes out what was handed over and isn't needed, to be returned to the home; all of it where
    /// nothing is to be kept.
    ///
    /// It counts as spent here, so that it can't be spent twice when the home's answer is lost.
    pub fn take_surplus(&mut self, keep: bool, clock: Duration) -> Tokens {
        let (most, kept) = match keep {
            true => (self.at_rate(KEPT), self.at_rate(ASKED)),
            false => (Tokens::ZERO, Tokens::ZERO),
        };
        let handed = self.handed();
        let available = self.available(clock);
        if available <= most || !self.waiting.is_zero() {
            return Tokens::ZERO;
        }
        let surplus = available.saturating_sub(kept).min(handed);
        self.spent = self.spent.saturating_add(surplus);
        surplus
    }

    fn at_rate(&self, time: Duration) -> Tokens {
        Tokens::new((self.rate * time.as_secs_f64()) as u64)
    }

    /// Returns what this router and the account have left for others, where the account was read
    /// at `since` or later.
    pub fn remaining(&self, since: Duration) -> Option<Tokens> {
        let known = self.known.filter(|known| known.at >= since)?;
        Some(known.remaining().saturating_add(self.unused()))
    }

    /// Returns what was last read of the account.
    pub fn snapshot(&self) -> Option<AccountSnapshot> {
        self.known
    }

    /// Counts what a request asks for, once, whether it gets it or not.
    pub fn record_demand(&mut self, tokens: Tokens) {
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
            Some(known) if known.remaining() < missing => Reserved::Exhausted,
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

    /// Returns what this router should hold unused.
    fn target(&self, left: Tokens, prepaid: Tokens, role: Role) -> Tokens {
        let scarce = prepaid.scale(SCARCE);
        let part = left.get() as f64 / scarce.get().max(1) as f64;
        let held = match role {
            Role::Home => {
                let need = self.rate * HORIZON.as_secs_f64() * part.clamp(LEAST_HORIZON, 1.0);
                need + left.get() as f64 * HOME_PART
            }
            Role::Backup if part > 1.0 => left.get() as f64 * BACKUP_PART,
            Role::Backup | Role::Other => 0.0,
        };
        Tokens::new(held as u64)
    }

    /// Returns what must be held now, for requests that wait and for routers that asked; nothing
    /// where the account doesn't cover the smallest need.
    fn pressing(&self, left: Tokens) -> Tokens {
        let unmet = self.unmet.total;
        if !unmet.is_zero() && self.unused().saturating_add(left) < self.unmet.least {
            return self.waiting;
        }
        self.waiting.saturating_add(unmet)
    }

    /// Forgets what routers asked for in vain; they ask again.
    pub fn clear_unmet(&mut self) {
        self.unmet = Unmet::default();
    }

    /// Returns whether this router neither holds anything nor needs anything of the store.
    pub fn is_idle(&self, role: Role) -> bool {
        let needless = self.waiting.is_zero() && self.unmet.total.is_zero();
        let nothing = self.licensed().is_zero() && self.pending.is_empty();
        role == Role::Other && needless && nothing
    }

    /// Returns what this router's own license grants and is neither spent nor reserved.
    fn licensed(&self) -> Tokens {
        self.unused().saturating_sub(self.handed())
    }

    /// Returns whether there is something that was handed over and not consumed yet.
    pub fn has_received(&self) -> bool {
        !self.handed().is_zero()
    }

    /// Returns what was handed over and not consumed yet.
    fn handed(&self) -> Tokens {
        self.received.saturating_sub(self.consumed())
    }

    /// Returns the license that this router wants next, given its account.
    ///
    /// The account's `granted` may grow by no more than what is left.
    pub fn plan(&self, account: &Account, prepaid: Tokens, role: Role, writers: usize) -> License {
        let unused = self.unused();
        let used = self.used();
        let left = prepaid.saturating_sub(account.granted);
        let pressing = self.pressing(left);
        let missing = pressing.saturating_sub(unused);
        let target = self.target(left, prepaid, role).max(pressing);
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
        let granted = used.saturating_add(holds.saturating_sub(self.handed()));
        let lasting = HEADROOM + renewal_interval(writers);
        let headroom = self.at_rate(lasting).max(pressing).min(holds);
        // What is held can be spent in an outage, also by a team that is idle now.
        let steady = holds.scale(1.0 / RELEASE.as_secs_f64());
        let rate = Tokens::new((self.rate * LICENSED_RATE) as u64).max(steady);
        let missed = rate_delay(writers).saturating_sub(lasting);
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
        let tight = clock < self.since || self.licensed().is_zero();
        self.pending.is_empty() && tight && self.current.granted == plan.granted && enough
    }

    /// Returns how urgently the planned license must replace the present one: above one while
    /// requests wait, otherwise the part of the planned holding that is missing.
    pub fn urgency(&self, plan: &License) -> f64 {
        if !self.waiting.is_zero() || !self.unmet.total.is_zero() {
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
    pub fn set_snapshot(&mut self, known: AccountSnapshot) {
        self.known = Some(known);
    }
}
