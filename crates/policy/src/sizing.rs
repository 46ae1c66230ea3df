//! How much to draw, and when to give back.
//!
//! The policies that were weighed and their figures are in
//! [docs/design/budgets.md](../../../docs/design/budgets.md).

use std::time::Duration;

use fescue_core::Tokens;

/// The time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(10);

/// How long a budget must see no request before its tokens go back.
pub const IDLE_AFTER: Duration = Duration::from_secs(20);

/// How much further ahead a router draws while the store looks unwell.
const UNWELL_FACTOR: f64 = 4.0;

/// The part of its target below which a router draws ahead again.
const REFILL_BELOW: f64 = 0.5;

/// A draw ahead of need that isn't worth a write. What is left then stays in the table for whoever
/// needs it first.
const LEAST_AHEAD: Tokens = Tokens::new(256);

/// A moving average of the tokens asked for a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    rate: f64,
    recent: Tokens,
    since: Duration,
    last: Duration,
}

impl Demand {
    /// Counts a request at `now`, a time since any fixed start.
    pub fn add(&mut self, now: Duration, tokens: Tokens) {
        self.advance(now);
        self.recent = self.recent.saturating_add(tokens);
        self.last = now;
    }

    /// Returns tokens a second as of `now`.
    pub fn rate(&mut self, now: Duration) -> f64 {
        self.advance(now);
        let partial = self.recent.get() as f64 / DEMAND_WINDOW.as_secs_f64();
        self.rate.max(partial)
    }

    /// Returns whether no request came for [`IDLE_AFTER`].
    pub fn is_idle(&self, now: Duration) -> bool {
        now.saturating_sub(self.last) >= IDLE_AFTER
    }

    fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.since);
        if passed < DEMAND_WINDOW {
            return;
        }
        let fresh = self.recent.get() as f64 / passed.as_secs_f64();
        let keep = (-passed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp();
        self.rate = self.rate * keep + fresh * (1.0 - keep);
        self.recent = Tokens::ZERO;
        self.since = now;
    }
}

/// What a draw is decided from.
#[derive(Clone, Copy, Debug)]
pub struct DrawInputs {
    /// Tokens asked for a second at this router.
    pub rate: f64,
    /// What the router holds unspent.
    pub unspent: Tokens,
    /// What waiting requests need beyond that.
    pub needed: Tokens,
    /// What the budget's row had free when it was last read.
    pub free: Tokens,
    /// How many routers draw on the table.
    pub routers: u32,
    /// Whether the store has been slow or failing of late.
    pub degraded: bool,
}

/// How allowances are sized.
pub trait Policy: Send + Sync {
    /// Returns how much to draw now; nothing when the router holds enough.
    fn draw(&self, inputs: &DrawInputs) -> Tokens;

    /// Returns how much of the unspent tokens a busy router should keep.
    fn keep(&self, inputs: &DrawInputs) -> Tokens;
}

/// Draws a horizon of demand, bounded by a share of what is left of the budget.
#[derive(Clone, Copy, Debug)]
pub struct Horizon {
    /// How far ahead an ample budget is drawn.
    pub ahead: Duration,
    /// The most that one draw takes of what is free, from 0 to 1.
    pub share: f64,
}

impl Horizon {
    fn target(&self, inputs: &DrawInputs) -> Tokens {
        let factor = if inputs.degraded { UNWELL_FACTOR } else { 1.0 };
        let ahead = inputs.rate * self.ahead.as_secs_f64() * factor;
        Tokens::new(ahead as u64)
    }

    fn bound(&self, inputs: &DrawInputs) -> Tokens {
        let fair = self.share.min(1.0 / f64::from(inputs.routers.max(1)));
        inputs.free.scale(fair)
    }
}

impl Policy for Horizon {
    fn draw(&self, inputs: &DrawInputs) -> Tokens {
        // A router holds no more than its part of a scarce budget, however far it looks ahead.
        let target = self.target(inputs).min(self.bound(inputs));
        let ahead = target.saturating_sub(inputs.unspent);
        let enough = inputs.unspent >= target.scale(REFILL_BELOW);
        if inputs.needed.is_zero() && (enough || ahead < LEAST_AHEAD) {
            return Tokens::ZERO;
        }
        inputs.needed.max(ahead)
    }

    fn keep(&self, inputs: &DrawInputs) -> Tokens {
        self.target(inputs).scale(2.0)
    }
}

/// Draws the same number of tokens each time; weighed against [`Horizon`].
#[derive(Clone, Copy, Debug)]
pub struct Fixed {
    /// What one draw takes.
    pub block: Tokens,
}

impl Policy for Fixed {
    fn draw(&self, inputs: &DrawInputs) -> Tokens {
        if inputs.needed.is_zero() && inputs.unspent >= self.block.scale(0.5) {
            return Tokens::ZERO;
        }
        inputs.needed.max(self.block)
    }

    fn keep(&self, _outlook: &DrawInputs) -> Tokens {
        self.block.scale(2.0)
    }
}
