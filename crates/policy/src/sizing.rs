//! Policies for how many tokens a router draws, and when it returns them.
//!
//! The policies that were compared and their results are in
//! [docs/design/budgets.md](../../../docs/design/budgets.md).

use std::time::Duration;

use fescue_core::Tokens;

/// The time constant of the moving average of demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(10);

/// The time without requests on a budget after which its tokens are returned.
pub const IDLE_AFTER: Duration = Duration::from_secs(20);

/// The factor by which the horizon is extended while the store is degraded.
const DEGRADED_FACTOR: f64 = 4.0;

/// The fraction of its target below which a router draws ahead of demand again.
const REFILL_BELOW: f64 = 0.5;

/// The smallest draw ahead of demand that is worth a write. Smaller remainders stay in the table for
/// the router that needs them first.
const MIN_DRAW_AHEAD: Tokens = Tokens::new(256);

/// A moving average of the tokens requested per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    rate: f64,
    recent: Tokens,
    since: Duration,
    last: Duration,
}

impl Demand {
    /// Adds a request at `now`, a time since an arbitrary fixed start.
    pub fn add(&mut self, now: Duration, tokens: Tokens) {
        self.advance(now);
        self.recent = self.recent.saturating_add(tokens);
        self.last = now;
    }

    /// Returns the tokens requested per second as of `now`.
    pub fn rate(&mut self, now: Duration) -> f64 {
        self.advance(now);
        let partial = self.recent.get() as f64 / DEMAND_WINDOW.as_secs_f64();
        self.rate.max(partial)
    }

    /// Returns whether there has been no request for [`IDLE_AFTER`].
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

/// The inputs of a decision on how many tokens to draw of one budget.
#[derive(Clone, Copy, Debug)]
pub struct DrawInputs {
    /// The tokens requested per second at this router.
    pub rate: f64,
    /// The unspent tokens that the router holds.
    pub unspent: Tokens,
    /// The tokens that waiting requests need beyond those.
    pub needed: Tokens,
    /// The free tokens of the budget's row when it was last read.
    pub free: Tokens,
    /// The number of routers that draw on the table.
    pub routers: u32,
    /// Whether the store has recently been slow or failing.
    pub degraded: bool,
}

/// A policy for sizing allowances.
pub trait Policy: Send + Sync {
    /// Returns the number of tokens to draw now; zero if the router holds enough.
    fn draw(&self, inputs: &DrawInputs) -> Tokens;

    /// Returns the number of unspent tokens that a busy router should keep.
    fn keep(&self, inputs: &DrawInputs) -> Tokens;
}

/// A policy that draws the expected demand of a time span, up to a share of the budget's free tokens.
#[derive(Clone, Copy, Debug)]
pub struct Horizon {
    /// The time span for which tokens of an ample budget are drawn.
    pub ahead: Duration,
    /// The largest fraction of the free tokens that one draw takes, from 0 to 1.
    pub share: f64,
}

impl Horizon {
    fn target(&self, inputs: &DrawInputs) -> Tokens {
        let factor = if inputs.degraded {
            DEGRADED_FACTOR
        } else {
            1.0
        };
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
        // A router holds no more than its share of a scarce budget, however long the horizon is.
        let target = self.target(inputs).min(self.bound(inputs));
        let ahead = target.saturating_sub(inputs.unspent);
        let enough = inputs.unspent >= target.scale(REFILL_BELOW);
        if inputs.needed.is_zero() && (enough || ahead < MIN_DRAW_AHEAD) {
            return Tokens::ZERO;
        }
        inputs.needed.max(ahead)
    }

    fn keep(&self, inputs: &DrawInputs) -> Tokens {
        self.target(inputs).scale(2.0)
    }
}

/// A policy that draws the same number of tokens each time, as a baseline for [`Horizon`].
#[derive(Clone, Copy, Debug)]
pub struct Fixed {
    /// The number of tokens of one draw.
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
