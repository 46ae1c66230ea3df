//! Upstreams that are cold: they started a short time ago and crash at their usual rate of requests.
//!
//! The bound is the platform's: in any one-second window a cold upstream receives at most
//! `OVERRUN` x its rate + `TOLERANCE` requests from all routers together. The upstream's home grants each
//! request. Two routers may each be the first home by their own lists, so each of them grants less than half of the
//! bound. Other routers grant single requests while no first home answers. See
//! [docs/design/cold-upstreams.md](../../../docs/design/cold-upstreams.md).

use std::time::Duration;

use crate::rate_limit::{Bucket, Claim, Denial, RequestRate};

/// The part of its rate that a cold upstream may receive in one second.
const OVERRUN: f64 = 1.5;

/// The number of requests that it may receive in one second beyond that.
const TOLERANCE: f64 = 5.0;

/// The number of routers that may each be the first home by their own lists at the same time.
const FIRST_HOMES: f64 = 2.0;

/// The number of other routers that may grant single requests at the same time: the second homes and the third
/// routers by two lists that differ in one router are three.
const SINGLES: f64 = 3.0;

/// The place in the ranking of homes up to which a router grants single requests. A router's equal share of the rate
/// is below one request in most fleets and can't be divided further, so only these have one.
pub const LAST_RANK: usize = 2;

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

impl Report {
    /// Returns whether the report can be told from others of its upstream. The number of an entry rises only from
    /// one start to the next, so it needs a start time.
    pub fn is_numbered(&self) -> bool {
        self.started.is_some() && self.sequence.is_some()
    }
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
            (new, known) if new == known && report.is_numbered() => {
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

/// Returns the largest number of requests that a first home grants in [`WINDOW`].
fn allowance(rate: RequestRate) -> f64 {
    (rate.per_second() * OVERRUN + TOLERANCE - SINGLES) / FIRST_HOMES
}

fn burst(rate: RequestRate) -> f64 {
    (allowance(rate) / 4.0).clamp(1.0, MAX_BURST)
}

/// Returns the requests per second that a first home grants for a cold upstream with a rate.
pub fn grant_rate(rate: RequestRate) -> f64 {
    let most = (allowance(rate) - burst(rate)) / WINDOW.as_secs_f64();
    most.min(rate.per_second())
}

/// The grants of requests to one cold upstream by one router.
#[derive(Clone, Debug)]
pub struct Grants {
    bucket: Bucket,
    /// When the router last granted a single request, or could have.
    single: Duration,
}

impl Grants {
    /// Creates grants that allow nothing at once: this router may have granted requests before a restart, and
    /// another one before a change of homes.
    pub fn open(now: Duration) -> Self {
        Self {
            bucket: Bucket::empty(now),
            single: now,
        }
    }

    /// Grants a claim. `rank` is the place of this router in its own ranking of the upstream's homes, the first one
    /// being 0; `None` if it is far behind.
    ///
    /// # Errors
    ///
    /// [`Denial`] if the upstream can take no more or the claim has to yield.
    pub fn grant(
        &mut self,
        claim: Claim,
        rate: RequestRate,
        rank: Option<usize>,
        now: Duration,
    ) -> Result<(), Denial> {
        if rank == Some(0) {
            let (per_second, most) = (grant_rate(rate), burst(rate));
            return self.bucket.grant_within(claim, per_second, most, now);
        }
        let share = Duration::from_secs_f64(SINGLES / rate.per_second());
        let wait = (self.single + share.max(WINDOW)).saturating_sub(now);
        if !wait.is_zero() || rank.is_none_or(|rank| rank > LAST_RANK) {
            let wait = wait.max(WINDOW / 2);
            return Err(Denial { wait, empty: true });
        }
        self.single = now;
        Ok(())
    }

    /// Takes back a grant whose request was not sent. A single one is not granted again before its time.
    pub fn put_back(&mut self, rate: RequestRate) {
        self.bucket.put_back_within(burst(rate));
    }

    /// Returns when the grants were last used.
    pub fn last_use(&self) -> Duration {
        self.bucket.last_use().max(self.single)
    }
}
