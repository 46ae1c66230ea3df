//! Upstreams that are cold: they started a short time ago and crash at their usual rate of requests.
//!
//! The bound is the platform's: in any one-second window a cold upstream receives at most
//! [`OVERRUN`] x its rate + [`TOLERANCE`] requests from all routers together. The upstream's home grants each
//! request. Two routers may grant at the same time, when they disagree on the home or when the first home does not
//! answer some of the others, so each of them grants less than half of the bound. See
//! [docs/design/cold-upstreams.md](../../../docs/design/cold-upstreams.md).

use std::time::Duration;

use crate::rate_limit::{Bucket, Claim, Denial, RequestRate};

/// The part of its rate that a cold upstream may receive in one second.
const OVERRUN: f64 = 1.5;

/// The number of requests that it may receive in one second beyond that.
const TOLERANCE: f64 = 5.0;

/// The number of routers that may grant requests at the same time.
const HOMES: f64 = 2.0;

/// The number of routers that may send a share of requests while no home answers them. A share below one request
/// per second can't be divided further, so only the routers that are ranked next after the homes have one.
pub const SHARERS: usize = 3;

/// The time after which a permit for a cold upstream is no longer used.
pub const PERMIT_TTL: Duration = Duration::from_millis(200);

/// The time in which requests are granted that may arrive within one second: that second, [`PERMIT_TTL`] and 50 ms
/// for the difference in latency of two routers.
const WINDOW: Duration = Duration::from_millis(1250);

/// The largest number of requests that are granted at once.
const MAX_BURST: f64 = 2.0;

/// The least difference between two ends of a cold time that is worth a message to other routers.
const NEWS_MARGIN: Duration = Duration::from_millis(100);

/// How the upstreams of a service warm up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Warmup {
    /// The time for which an upstream is cold after it has started during traffic.
    pub time: Duration,
    /// The rate of requests that a cold upstream tolerates.
    pub rate: RequestRate,
}

/// What an upstream said of the rest of its warm-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The start time of the upstream by its own clock.
    pub started: Option<u64>,
    /// The number of the upstream's entry; `None` if the report is not from a numbered entry.
    pub sequence: Option<u64>,
    /// The time for which the upstream stays cold.
    pub remaining: Duration,
}

/// How long one upstream is cold, by all reports of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cold {
    started: Option<u64>,
    sequence: Option<u64>,
    /// What the latest report said, and when it arrived.
    latest: Option<(Duration, Duration)>,
    until: Duration,
}

impl Cold {
    /// Takes a report over that arrives now; returns whether it is news for other routers.
    ///
    /// The upstream is cold until the latest end that a report gives. The first arrival of an entry counts: the
    /// same entry, and an older one, may be read again at any later time.
    pub fn record(&mut self, report: Report, now: Duration) -> bool {
        if self.is_known(&report) {
            return false;
        }
        if report.started != self.started {
            self.sequence = None;
        }
        self.started = report.started;
        self.sequence = report.sequence.or(self.sequence);
        self.latest = Some((report.remaining, now));
        let end = now + report.remaining;
        let news = !report.remaining.is_zero() && end > self.until.max(now) + NEWS_MARGIN;
        self.until = self.until.max(end);
        news
    }

    fn is_known(&self, report: &Report) -> bool {
        match (report.started, self.started) {
            (Some(new), Some(known)) if new < known => true,
            (new, known) if new == known => {
                let sequences = report.sequence.zip(self.sequence);
                sequences.is_some_and(|(new, known)| new <= known)
            }
            _ => false,
        }
    }

    /// Forgets the process that is known. Its successor has an earlier start time, as after a step of its clock.
    pub fn forget_process(&mut self) {
        self.started = None;
        self.sequence = None;
    }

    /// Makes the upstream cold for some time whatever its reports say.
    pub fn mark(&mut self, time: Duration, now: Duration) {
        self.until = self.until.max(now + time);
    }

    /// Returns for how long the upstream is still cold; `None` if it is warm.
    pub fn remaining(&self, now: Duration) -> Option<Duration> {
        let left = self.until.saturating_sub(now);
        Some(left).filter(|left| !left.is_zero())
    }

    /// Returns what is left of the latest report, to be told to another router; `None` if nothing is.
    pub fn report(&self, now: Duration) -> Option<Report> {
        let (remaining, at) = self.latest?;
        let left = remaining.saturating_sub(now.saturating_sub(at));
        (!left.is_zero()).then_some(Report {
            started: self.started,
            sequence: self.sequence,
            remaining: left,
        })
    }
}

/// Returns the largest number of requests that one router grants in [`WINDOW`].
fn allowance(rate: RequestRate) -> f64 {
    (rate.per_second() * OVERRUN + TOLERANCE - SHARERS as f64) / HOMES
}

fn burst(rate: RequestRate) -> f64 {
    (allowance(rate) / 2.0).clamp(1.0, MAX_BURST)
}

/// Returns the requests per second that one router grants for a cold upstream with a rate.
pub fn grant_rate(rate: RequestRate) -> f64 {
    let most = (allowance(rate) - burst(rate)) / WINDOW.as_secs_f64();
    most.min(rate.per_second())
}

/// The grants of requests to one cold upstream by one router.
#[derive(Clone, Debug)]
pub struct Grants {
    bucket: Bucket,
    /// When the router last used its share.
    shared: Option<Duration>,
}

impl Grants {
    /// Creates grants that allow nothing at once: another router may have granted requests just before.
    pub fn open(now: Duration) -> Self {
        Self {
            bucket: Bucket::empty(now),
            shared: None,
        }
    }

    /// Grants a claim, as the upstream's home.
    ///
    /// # Errors
    ///
    /// [`Denial`] if the upstream can take no more or the claim has to yield.
    pub fn grant(&mut self, claim: Claim, rate: RequestRate, now: Duration) -> Result<(), Denial> {
        self.bucket
            .grant_within(claim, grant_rate(rate), burst(rate), now)
    }

    /// Takes one request from the share of a router that no home answers. `rank` is its place in the ranking of
    /// homes, the first home being 0; returns whether the request was allowed.
    pub fn take_share(&mut self, rate: RequestRate, rank: Option<usize>, now: Duration) -> bool {
        let share = Duration::from_secs_f64(SHARERS as f64 / rate.per_second());
        let interval = share.max(WINDOW);
        let first = HOMES as usize;
        let sharer = rank.is_some_and(|rank| (first..first + SHARERS).contains(&rank));
        let due = |at: Duration| now.saturating_sub(at) >= interval;
        let allowed = sharer && self.shared.is_none_or(due);
        if allowed {
            self.shared = Some(now);
        }
        allowed
    }

    /// Takes back a grant whose request was not sent.
    pub fn put_back(&mut self, rate: RequestRate) {
        self.bucket.put_back_within(burst(rate));
    }

    /// Returns when the grants were last used.
    pub fn last_use(&self) -> Duration {
        self.bucket.last_use().max(self.shared.unwrap_or_default())
    }
}
