//! The rate of requests that an upstream takes from all routers together.
//!
//! An upstream in need names its limit in its answers. One router, the home of the upstream, grants each
//! request to it; see [docs/design/service.md](../../../docs/design/service.md).

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde_with::{DeserializeFromStr, SerializeDisplay};

pub use crate::claims::Claim;
use crate::claims::Claims;

/// A positive number of requests per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, SerializeDisplay, DeserializeFromStr)]
pub struct RequestRate(f64);

// A rate is never NaN.
impl Eq for RequestRate {}

/// The error of a text that is not a rate.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected requests per second, a decimal number that is not negative, found {0:?}")]
pub struct RateError(String);

impl RequestRate {
    /// The lowest rate that is kept to. Without any request, the end of a limit would never be known.
    const MIN_PER_SECOND: f64 = 0.2;

    /// Creates a rate; `None` unless it is a positive number.
    pub fn new(per_second: f64) -> Option<Self> {
        let positive = per_second.is_finite() && per_second > 0.0;
        positive.then(|| Self(per_second.max(Self::MIN_PER_SECOND)))
    }

    /// Returns the smaller one of two rates.
    pub fn min(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }

    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let rate = text.trim().parse().ok();
        let rate = rate.filter(|rate: &f64| rate.is_finite() && *rate >= 0.0);
        let rate = rate.ok_or_else(|| RateError(text.to_owned()))?;
        Ok(Self(rate.max(Self::MIN_PER_SECOND)))
    }
}

/// The time after which a limit that no answer has named again is dropped.
pub const STATEMENT_TTL: Duration = Duration::from_secs(60);

/// What an upstream's latest answer said of its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The limit; `None` if the answer named none.
    pub rate: Option<RequestRate>,
    /// When the answer arrived.
    pub at: Duration,
}

impl Statement {
    /// Returns whether this is later than what is known and not only the absence of a limit that was not
    /// known either.
    pub fn supersedes(&self, known: Option<Self>) -> bool {
        let limited = known.is_some_and(|known| known.rate.is_some());
        known.is_none_or(|known| known.at < self.at) && (limited || self.rate.is_some())
    }

    /// Returns the limit in force at `now`.
    pub fn limit(&self, now: Duration) -> Option<RequestRate> {
        self.rate
            .filter(|_| now.saturating_sub(self.at) < STATEMENT_TTL)
    }
}

/// The refusal of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denial {
    /// The time until another request can be granted.
    pub wait: Duration,
    /// Whether no claim at all could be granted; otherwise this one yields to others.
    pub empty: bool,
}

/// The requests that may be granted at once, beyond the time that their rate covers.
const BURST: f64 = 3.0;

/// The time whose requests may be granted at once, in addition to [`BURST`].
const BURST_TIME: f64 = 0.25;

/// The requests that a claim leaves to others if it has to yield.
const RESERVED: f64 = 2.0;

/// The grants of requests to one upstream.
///
/// Requests are granted at the upstream's rate. A request yields to more urgent ones that were denied, and
/// that of a team that had more than its share of the last grants yields to other teams' that are as
/// urgent: it is granted only while others could be granted as well.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// The number of requests that can be granted now.
    level: f64,
    at: Duration,
    claims: Claims,
}

impl Bucket {
    /// Creates a bucket that can grant one request.
    pub fn open(now: Duration) -> Self {
        Self {
            level: 1.0,
            at: now,
            claims: Claims::default(),
        }
    }

    /// Creates a bucket that can grant nothing yet.
    pub(crate) fn empty(now: Duration) -> Self {
        Self {
            level: 0.0,
            ..Self::open(now)
        }
    }

    /// Grants a claim.
    ///
    /// # Errors
    ///
    /// [`Denial`] if the limit is used up or the claim has to yield.
    pub fn grant(&mut self, claim: Claim, rate: RequestRate, now: Duration) -> Result<(), Denial> {
        let rate = rate.per_second();
        self.grant_within(claim, rate, BURST + rate * BURST_TIME, now)
    }

    /// Grants a claim at `rate` requests per second, with at most `most` requests at once.
    pub(crate) fn grant_within(
        &mut self,
        claim: Claim,
        rate: f64,
        most: f64,
        now: Duration,
    ) -> Result<(), Denial> {
        self.level = self.level_at(rate, most, now);
        self.at = now;
        self.claims.forget(now);
        let needed = if self.claims.must_yield(claim) {
            (1.0 + RESERVED).min(most)
        } else {
            1.0
        };
        if self.level >= needed {
            self.level -= 1.0;
            self.claims.record_grant(claim, now);
            return Ok(());
        }
        self.claims.record_denial(claim, now);
        Err(Denial {
            wait: Duration::from_secs_f64((needed - self.level) / rate),
            empty: self.level < 1.0,
        })
    }

    /// Returns whether a router that keeps to its equal share of the rate may send a request.
    pub fn share_allows(&self, rate: RequestRate, routers: usize, now: Duration) -> bool {
        self.share_level(rate, routers, now) >= 1.0
    }

    /// Takes a request from a router's equal share of the rate; returns whether it was allowed.
    pub fn take_share(&mut self, rate: RequestRate, routers: usize, now: Duration) -> bool {
        self.level = self.share_level(rate, routers, now);
        self.at = now;
        let allowed = self.level >= 1.0;
        if allowed {
            self.level -= 1.0;
        }
        allowed
    }

    fn share_level(&self, rate: RequestRate, routers: usize, now: Duration) -> f64 {
        let rate = rate.per_second();
        let parts = routers.max(1) as f64;
        let most = (BURST + rate * BURST_TIME) / parts;
        self.level_at(rate / parts, most.max(1.0), now)
    }

    fn level_at(&self, rate: f64, most: f64, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        (self.level + elapsed * rate).min(most)
    }

    /// Takes back a grant whose request the upstream did not get.
    pub fn put_back(&mut self) {
        self.level += 1.0;
    }

    /// Takes back a grant in a bucket that grants at most `most` requests at once.
    pub(crate) fn put_back_within(&mut self, most: f64) {
        self.level = (self.level + 1.0).min(most);
    }

    /// Returns when the bucket was last used.
    pub fn last_use(&self) -> Duration {
        self.at
    }
}
