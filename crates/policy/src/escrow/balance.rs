//! The tokens that one router holds of one team, and the license that it requests next.

use std::time::Duration;

use fescue_core::Tokens;

use super::term::Term;
use super::{Account, AccountSnapshot, License, Reserved, renewal_interval};
use crate::homes::Role;

/// The time for which a grant should last at the current rate of spending, so that it covers an
/// outage of the store; the longest outage seen in the deployments is 9 s.
const HORIZON: Duration = Duration::from_secs(11);

/// The fraction of its target below which a router draws again.
const LOW_WATER: f64 = 0.8;

/// The multiple of its target above which a router returns tokens.
const HIGH_WATER: f64 = 1.6;

/// The fraction of the ungranted tokens that a home holds beyond the fleet's demand. Other routers can
/// draw the rest while the home is down.
const HOME_FRACTION: f64 = 0.5;

/// The fraction of the ungranted tokens that a backup holds while the account isn't scarce.
const BACKUP_FRACTION: f64 = 0.1;

/// The time for which one request to the home should last, at the router's own rate of spending.
const REQUEST_HORIZON: Duration = Duration::from_millis(120);

/// A router requests more tokens once those it has last for less than this.
const REFILL_BELOW: Duration = Duration::from_millis(60);

/// A router returns tokens it received once those it has last for longer than this.
const RETURN_ABOVE: Duration = Duration::from_millis(400);

/// The time for which the tokens last that a router keeps when it returns others.
const RETURN_KEEP: Duration = Duration::from_millis(260);

/// The time without demand after which a router returns all tokens that it received. Their requests are too
/// rare for the rest to be of use soon.
const QUIET_TIME: Duration = Duration::from_millis(400);

/// The multiple of the wanted amount below which a home hands over only the needed amount.
const AMPLE_FACTOR: f64 = 4.0;

/// The fraction of the prepaid tokens below which the remaining ones are scarce. Grants then last for
/// a shorter time, so that no router keeps for later what another could spend now.
const SCARCE_BELOW: f64 = 0.15;

/// The fraction of the horizon that still applies when no tokens remain.
const MIN_HORIZON: f64 = 0.2;

/// The time for which a license's initial amount lasts at the current rate, beyond the renewal
/// interval.
const HEADROOM: Duration = Duration::from_millis(100);

/// The time for which a license's initial amount lasts at the current rate while the team has plenty of
/// tokens: it bridges a part of the time until the rate applies. A kill of all loses it, so that it is well
/// under a second.
const BRIDGE_TIME: Duration = Duration::from_millis(750);

/// The largest part of a team's remaining tokens that is held ready for that.
const MAX_BRIDGE_PART: f64 = 0.03;

/// The ratio of a license's rate to the current rate of spending.
const LICENSED_RATE_FACTOR: f64 = 1.2;

/// The time in which all held tokens can be spent once the license's rate applies.
const RELEASE_TIME: Duration = Duration::from_secs(60);

/// The time after its end from which on a license isn't expected to be extended any more.
const MAX_UNCONFIRMED_TIME: Duration = Duration::from_millis(1500);

/// The gain with which the average request follows the latest one.
const MEAN_GAIN: f64 = 0.1;

/// The gain per second with which the average rate follows a higher one.
const RISE_GAIN: f64 = 1.2;

/// The gain per second with which the average rate follows a lower one.
const FALL_GAIN: f64 = 0.4;

/// The tokens that one router holds of one team.
#[derive(Clone, Debug, Default)]
pub struct Balance {
    current: License,
    term: Term,
    /// Licenses whose write hasn't been answered, with the row version that the write depends on and
    /// their terms. While the row has that version, each may take effect.
    pending: Vec<(u64, License, Term)>,
    spent: Tokens,
    reserved: Tokens,
    /// Tokens that other routers handed over; they count as spent in the licenses of those routers.
    received: Tokens,
    demand: Demand,
    /// Demand since the last observation, less reserved tokens that were not consumed.
    recent: Tokens,
    /// The average rate of spending in tokens per second.
    rate: f64,
    /// The time without demand.
    quiet: Duration,
    /// The average tokens of a request.
    mean: f64,
    snapshot: Option<AccountSnapshot>,
}

/// The tokens that are needed now and aren't there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Those of requests which wait for a draw from the store.
    pub waiting: Tokens,
    /// Those of requests which wait for another router's answer.
    pub asking: Tokens,
    /// What other routers want whose questions wait for an answer of this one.
    pub questions: Tokens,
    /// The smallest amount that one of these routers needs; `None` if there is no question.
    pub smallest: Option<Tokens>,
}

impl Balance {
    /// Returns the tokens that can be reserved at the time `clock` of the store's clock.
    pub fn available(&self, clock: Duration) -> Tokens {
        let allowed = |license: &License, term: &Term| license.allows(term.elapsed(clock));
        let pending = self.pending.iter();
        let pending = pending.map(|(_, license, term)| allowed(license, term));
        let least = pending.fold(allowed(&self.current, &self.term), Tokens::min);
        least
            .saturating_add(self.received)
            .saturating_sub(self.consumed())
    }

    /// Returns the tokens that are granted or received and neither spent nor reserved.
    pub fn unused(&self) -> Tokens {
        let pending = self.pending.iter().map(|(_, license, _)| license.granted);
        let granted = pending.fold(self.current.granted, Tokens::min);
        granted
            .saturating_add(self.received)
            .saturating_sub(self.consumed())
    }

    /// Returns the tokens that may be unused here, also by a license whose write hasn't been answered: tokens on
    /// their way to the account or from it are nowhere else.
    pub fn may_hold(&self) -> Tokens {
        let pending = self.pending.iter().map(|(_, license, _)| license.granted);
        let granted = pending.fold(self.current.granted, Tokens::max);
        granted
            .saturating_add(self.received)
            .saturating_sub(self.consumed())
    }

    fn consumed(&self) -> Tokens {
        self.spent.saturating_add(self.reserved)
    }

    /// Returns the tokens that count against this router's own license.
    fn used(&self) -> Tokens {
        self.consumed().saturating_sub(self.received)
    }

    /// Hands tokens over to a router that needs `needed` and would like `wanted`; returns how many, which
    /// is zero if `needed` isn't covered.
    ///
    /// They count as spent here, so the other router may spend them without a license.
    pub fn hand_over(&mut self, needed: Tokens, wanted: Tokens, clock: Duration) -> Tokens {
        let available = self.available(clock);
        if available < needed {
            return Tokens::ZERO;
        }
        let ample = available >= wanted.scale(AMPLE_FACTOR);
        let given = if ample { wanted.max(needed) } else { needed };
        self.spent = self.spent.saturating_add(given);
        self.recent = self.recent.saturating_add(given);
        given
    }

    /// Adds tokens that another router handed over or returned.
    pub fn receive(&mut self, tokens: Tokens) {
        self.received = self.received.saturating_add(tokens);
    }

    /// Subtracts tokens that another router returned unspent from the recorded demand.
    pub fn reduce_demand(&mut self, tokens: Tokens) {
        self.recent = self.recent.saturating_sub(tokens);
    }

    /// Returns the needed and the wanted amount of a request to the home: what a request of `tokens`
    /// lacks here, and what also covers the waiting requests and the near future.
    pub fn wanted(&self, tokens: Tokens, clock: Duration) -> (Tokens, Tokens) {
        let available = self.available(clock);
        let needed = tokens.saturating_sub(available);
        let waiting = self.demand.waiting.max(self.demand.asking);
        let waiting = waiting.saturating_sub(available);
        (needed, needed.max(waiting).max(self.soon()))
    }

    /// Returns the tokens of the near future; none if less than a request is to be expected.
    fn soon(&self) -> Tokens {
        let soon = self.rate * REQUEST_HORIZON.as_secs_f64();
        match soon >= self.mean && self.quiet < REQUEST_HORIZON {
            true => Tokens::new(soon as u64),
            false => Tokens::ZERO,
        }
    }

    /// Returns whether the available tokens may run out before a home answers a request for more.
    pub fn is_low(&self, clock: Duration) -> bool {
        !self.soon().is_zero() && self.available(clock) < self.at_rate(REFILL_BELOW)
    }

    /// Returns the received tokens that aren't needed; all of them unless `keep` is set.
    pub fn surplus(&self, keep: bool, clock: Duration) -> Tokens {
        let (limit, kept) = match keep && self.quiet < QUIET_TIME {
            true => (self.at_rate(RETURN_ABOVE), self.at_rate(RETURN_KEEP)),
            false => (Tokens::ZERO, Tokens::ZERO),
        };
        let available = self.available(clock);
        if available <= limit || !self.demand.waiting.is_zero() {
            return Tokens::ZERO;
        }
        available.saturating_sub(kept).min(self.unspent_received())
    }

    /// Removes the surplus, to return it to the home.
    ///
    /// It counts as spent here, so that it can't be spent twice if the home's answer is lost.
    pub fn take_surplus(&mut self, keep: bool, clock: Duration) -> Tokens {
        let surplus = self.surplus(keep, clock);
        self.spent = self.spent.saturating_add(surplus);
        surplus
    }

    /// Removes all tokens that can be reserved, to pass them on to another router.
    ///
    /// They count as spent here, as with [`Self::hand_over`].
    pub fn take_available(&mut self, clock: Duration) -> Tokens {
        let available = self.available(clock);
        self.spent = self.spent.saturating_add(available);
        available
    }

    fn at_rate(&self, time: Duration) -> Tokens {
        Tokens::new((self.rate * time.as_secs_f64()) as u64)
    }

    /// Returns the tokens that remain here and in the account together; `None` if the account was last
    /// read before `since`.
    pub fn remaining(&self, since: Duration) -> Option<Tokens> {
        let snapshot = self.snapshot.filter(|snapshot| snapshot.at >= since)?;
        Some(snapshot.remaining().saturating_add(self.may_hold()))
    }

    /// Returns the account as last read; `None` before the first reading.
    pub fn snapshot(&self) -> Option<AccountSnapshot> {
        self.snapshot
    }

    /// Adds a request's tokens to the demand, once per request, whether or not it gets them.
    pub fn record_demand(&mut self, tokens: Tokens) {
        let latest = tokens.get() as f64;
        self.mean = match self.mean > 0.0 {
            true => self.mean + (latest - self.mean) * MEAN_GAIN,
            false => latest,
        };
        self.recent = self.recent.saturating_add(tokens);
    }

    /// Sets what is needed now.
    pub fn set_demand(&mut self, demand: Demand) {
        self.demand = demand;
    }

    /// Returns the time until `tokens` can be reserved if no license is renewed meanwhile; `None` if the
    /// licenses never allow them, or if their witnesses no longer let them be used.
    pub fn available_in(&self, tokens: Tokens, clock: Duration) -> Option<Duration> {
        let bound = self.consumed().saturating_add(tokens);
        let bound = bound.saturating_sub(self.received);
        let allowed_at = |license: &License, term: &Term| {
            let at = license.allowed_at(bound, term.since)?;
            let stalled = clock.saturating_sub(term.end) > MAX_UNCONFIRMED_TIME;
            (at <= term.end || !stalled).then_some(at)
        };
        let mut latest = allowed_at(&self.current, &self.term)?;
        for (_, license, term) in &self.pending {
            latest = latest.max(allowed_at(license, term)?);
        }
        Some(latest.saturating_sub(clock))
    }

    /// Reserves tokens for a request, at the time `clock` of the store's clock.
    pub fn reserve(&mut self, tokens: Tokens, clock: Duration) -> Reserved {
        if self.available(clock) >= tokens {
            self.reserved = self.reserved.saturating_add(tokens);
            return Reserved::Done;
        }
        let missing = tokens.saturating_sub(self.may_hold());
        match self.snapshot {
            Some(snapshot) if snapshot.remaining() < missing => Reserved::Exhausted,
            _ => Reserved::Short,
        }
    }

    /// Ends a reservation: consumed tokens become spent, the rest can be reserved again.
    pub fn settle(&mut self, reserved: Tokens, consumed: Tokens) {
        let consumed = consumed.min(reserved);
        self.reserved = self.reserved.saturating_sub(reserved);
        self.spent = self.spent.saturating_add(consumed);
        let unused = reserved.saturating_sub(consumed);
        self.recent = self.recent.saturating_sub(unused);
    }

    /// Updates the average rate with the demand since the last call, `elapsed` ago.
    pub fn observe(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        let rate = self.recent.get() as f64 / seconds;
        let gain = if rate > self.rate {
            RISE_GAIN
        } else {
            FALL_GAIN
        };
        self.rate += (rate - self.rate) * (gain * seconds).min(1.0);
        self.quiet = match self.recent.is_zero() {
            true => self.quiet.saturating_add(elapsed),
            false => Duration::ZERO,
        };
        self.recent = Tokens::ZERO;
    }

    /// Returns the unused tokens that this router should hold.
    fn target(&self, left: Tokens, prepaid: Tokens, role: Role) -> Tokens {
        let scarce = prepaid.scale(SCARCE_BELOW);
        let ratio = left.get() as f64 / scarce.get().max(1) as f64;
        let held = match role {
            Role::Home => {
                let need = self.rate * HORIZON.as_secs_f64() * ratio.clamp(MIN_HORIZON, 1.0);
                need + left.get() as f64 * HOME_FRACTION
            }
            Role::Backup if ratio > 1.0 => left.get() as f64 * BACKUP_FRACTION,
            Role::Backup | Role::Other => 0.0,
        };
        Tokens::new(held as u64)
    }

    /// Returns the tokens that must be held now, for waiting requests and for questions of other routers.
    /// The latter count only if the smallest of them can be answered.
    fn required(&self, left: Tokens) -> Tokens {
        let Demand {
            waiting,
            questions,
            smallest,
            ..
        } = self.demand;
        let reach = self.unused().saturating_add(left);
        match smallest {
            Some(smallest) if smallest <= reach => waiting.saturating_add(questions),
            _ => waiting,
        }
    }

    /// Returns whether tokens are spent here, or were handed over by other routers.
    pub fn is_used(&self) -> bool {
        let spends = self.rate > 0.0 && self.quiet < QUIET_TIME;
        spends || !self.recent.is_zero() || self.has_received()
    }

    /// Returns whether this router holds no license for the team and needs none.
    pub fn is_idle(&self, role: Role) -> bool {
        let unneeded = self.demand.waiting.is_zero() && self.demand.smallest.is_none();
        let unlicensed = self.licensed().is_zero() && self.pending.is_empty();
        role == Role::Other && unneeded && unlicensed
    }

    /// Returns the unused tokens that this router's own license grants.
    fn licensed(&self) -> Tokens {
        self.unused().saturating_sub(self.unspent_received())
    }

    /// Returns whether tokens that other routers handed over are still unspent.
    pub fn has_received(&self) -> bool {
        !self.unspent_received().is_zero()
    }

    /// Returns the tokens that other routers handed over and that aren't consumed yet.
    fn unspent_received(&self) -> Tokens {
        self.received.saturating_sub(self.consumed())
    }

    /// Returns the license that this router should request next.
    ///
    /// It adds no more to the account's `granted` than remains of the prepaid tokens.
    pub fn plan(&self, account: &Account, prepaid: Tokens, role: Role, writers: usize) -> License {
        let unused = self.unused();
        let used = self.used();
        let left = prepaid.saturating_sub(account.granted);
        let required = self.required(left);
        let missing = required.saturating_sub(unused);
        let target = self.target(left, prepaid, role).max(required);
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
        // Tokens received from other routers are not part of this router's own license.
        let granted = used.saturating_add(holds.saturating_sub(self.unspent_received()));
        let covered = HEADROOM + renewal_interval(writers);
        let reach = holds.saturating_add(left);
        let bridge = self.at_rate(BRIDGE_TIME);
        let bridge = bridge.min(reach.scale(MAX_BRIDGE_PART));
        let headroom = self.at_rate(covered).max(bridge).max(required).min(holds);
        // All held tokens can be spent during an outage, even if the team is idle now.
        let steady = holds.scale(1.0 / RELEASE_TIME.as_secs_f64());
        let rate = Tokens::new((self.rate * LICENSED_RATE_FACTOR) as u64).max(steady);
        License {
            granted,
            base: used.saturating_add(headroom),
            jump: Tokens::ZERO,
            rate,
            used,
        }
    }

    /// Returns whether the current license needn't be replaced by the planned one.
    pub fn is_settled(&self, plan: &License, clock: Duration) -> bool {
        let headroom = plan.base.saturating_sub(self.used());
        let enough = self.available(clock) >= headroom.scale(LOW_WATER);
        // Once its rate applies, a license allows more than should be lost with a dead process.
        let tight = clock < self.term.since || self.licensed().is_zero();
        self.pending.is_empty() && tight && self.current.granted == plan.granted && enough
    }

    /// Returns how urgently the planned license must replace the current one: 2 while requests wait,
    /// otherwise the missing fraction of the planned unused tokens, from 0 to 1.
    pub fn urgency(&self, plan: &License) -> f64 {
        if !self.demand.waiting.is_zero() || self.demand.smallest.is_some() {
            return 2.0;
        }
        let planned = plan.granted.saturating_sub(self.used()).get() as f64;
        let unused = self.unused().get() as f64;
        ((planned - unused) / planned.max(1.0)).clamp(0.0, 1.0)
    }

    /// Records a license before it is written on top of a version of the VM's row.
    pub fn propose(&mut self, version: u64, license: License, term: Term) {
        self.pending.push((version, license, term));
    }

    /// Sets the current license to one whose write succeeded.
    pub fn accept(&mut self, license: License, term: Term) {
        self.current = license;
        self.term = term;
        self.pending.clear();
    }

    /// Sets the current license to that of the VM's row at a version. Licenses proposed on other
    /// versions can no longer take effect.
    pub fn reconcile(&mut self, version: u64, license: License, term: Term) {
        self.current = license;
        self.term = term;
        self.pending.retain(|(on, _, _)| *on == version);
    }

    /// Takes over a term whose end has moved.
    pub fn extend(&mut self, term: Term) {
        let pending = self.pending.iter_mut().map(|(_, _, known)| known);
        for known in pending.chain([&mut self.term]) {
            if known.since == term.since {
                known.end = known.end.max(term.end);
            }
        }
    }

    /// Returns whether a license whose rate applies from `since` on may be in force.
    pub fn depends_on(&self, since: Duration) -> bool {
        let mut pending = self.pending.iter();
        self.term.since == since || pending.any(|(_, _, term)| term.since == since)
    }

    /// Returns the time from which on the current license's rate applies if unused tokens depend on it.
    pub fn renewal_due(&self) -> Option<Duration> {
        (!self.licensed().is_zero()).then_some(self.term.since)
    }

    /// Sets the account as it was read from the store.
    pub fn set_snapshot(&mut self, snapshot: AccountSnapshot) {
        self.snapshot = Some(snapshot);
    }
}
