//! What a router does whose processor or link is nearly used up.
//!
//! The load balancer sends each caller's new connections to one router, whatever that can carry. A crowded
//! router therefore
//!
//! - withdraws: it reports that it isn't ready, so that the callers go to other routers;
//! - refuses at once what its processor can't serve, rather than serving everybody late. The limit follows
//!   the use. Teams that take a small part of its requests come first, then the more urgent requests;
//! - serves what its link brings: a request whose body has arrived has used the link, and refused it comes
//!   back, here or at the next router, and uses it again. Only if the link stays full, as the balancer
//!   can't send the callers elsewhere, the answers are limited to what the bodies leave;
//! - lets callers connect anew with their refusals, once the balancer knows that it has withdrawn.
//!
//! Only a part of the routers of a data centre withdraw, and none if most are crowded: there is nowhere to
//! go. If that part is nearly reached, calm routers return early, so that a caller that is too large for any
//! of them goes round. See [docs/design/load.md](../../../docs/design/load.md).

use std::collections::HashMap;
use std::time::Duration;

/// The part of the link's capacity that counts as a fully used link: with more, answers are late and
/// connections can't be opened.
const FULL_LINK_PART: f64 = 0.9;

/// The use above which the router withdraws.
const WITHDRAW_ABOVE: f64 = 0.6;

/// The use below which the router is calm.
const CALM_BELOW: f64 = 0.35;

/// The time for which a withdrawn router must be calm before it takes new connections again: the balancer
/// sends it the same callers as before.
const CALM_TIME: Duration = Duration::from_secs(20);

/// The same, while nearly as many routers have withdrawn as may: what waits for the link is gone by then.
const SHORT_CALM_TIME: Duration = Duration::from_secs(3);

/// The number of withdrawals up to [`MAX_LINK_PART`] that are kept for routers that will need one.
const SPARE_WITHDRAWALS: usize = 1;

/// The part of a data centre's routers that may withdraw for their processors at the same time.
const MAX_WITHDRAWN_PART: f64 = 0.25;

/// The part that may stay withdrawn after a restart, together with the others.
const MAX_RESUMED_PART: f64 = 0.4;

/// The part that may withdraw for their links, together with the others: the balancer uses all routers if fewer
/// than half are ready.
const MAX_LINK_PART: f64 = 0.45;

/// The part that the balancer lets be away.
const HALF: f64 = 0.5;

/// The average use of a data centre's routers above which none withdraws: the others couldn't take its
/// callers.
const NEIGHBOURS_FULL_ABOVE: f64 = 0.6;

/// The time after a withdrawal within which the balancer learns of it: two checks a second apart.
const REMOVAL_TIME: Duration = Duration::from_millis(2200);

/// The shortest time after which a refused request may come again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The time after which it may come again if the balancer will send it to this router.
const RETRY_AFTER_HERE: Duration = Duration::from_secs(1);

/// The time over which requests that are refused at a full link come again: all at once, they would fill the
/// link of the next router.
const RETRY_SPREAD: Duration = Duration::from_secs(3);

/// The step by which successive refusals are spread, as a part of [`RETRY_SPREAD`]: the golden section leaves
/// the largest gaps between them.
const SPREAD_STEP: f64 = 0.618_034;

/// The time for which the link must be full before answers are limited: by then the balancer has removed the
/// router, and what waited for the link has crossed it.
const FULL_LINK_TIME: Duration = Duration::from_secs(5);

/// The time for which the link must be full before what is known of the other routers, which comes through it,
/// may be out of date.
const STALE_NEIGHBOURS_TIME: Duration = Duration::from_secs(1);

/// The part of the link that is left to answers at least.
const MIN_ANSWER_PART: f64 = 0.15;

/// The use above which fewer requests are admitted.
const ADMIT_LESS_ABOVE: f64 = 0.9;

/// The use below which more requests are admitted.
const ADMIT_MORE_BELOW: f64 = 0.8;

/// The factors per second by which the limit on admitted requests falls and rises.
const FALL: f64 = 0.45;
const RISE: f64 = 1.6;

/// The use that is counted at most: a link may be offered a multiple of what it carries.
const MAX_USE: f64 = 1.5;

/// The lowest limit, in requests per second.
const MIN_LIMIT: f64 = 5.0;

/// The time for which unused admissions are kept.
const BURST: Duration = Duration::from_millis(300);

/// The time between two observations above which the process has stood still, as its VM does for a while:
/// that tells nothing of what its requests use.
const STANDSTILL: Duration = Duration::from_secs(1);

/// The gain per second with which averages follow what is measured.
const GAIN: f64 = 3.0;

/// The gain per second of the averages that tell what a request costs.
const COST_GAIN: f64 = 0.25;

/// The part of the requests that would use everything up, by their cost, to which the limit falls at most:
/// after a sudden load the use stays high until the work that waits is done, however little is admitted.
const FALL_TO_PART: f64 = 0.6;

/// The part of a router's requests up to which a team's are all admitted before other teams'.
const SMALL_TEAM_PART: f64 = 0.25;

/// The part of the unused admissions that are kept from requests of each further rank.
const RESERVED_PART: f64 = 0.3;

/// The largest part that is kept from any request.
const MAX_RESERVED_PART: f64 = 0.8;

/// Number of teams whose part of the requests is known.
const MAX_TEAMS: usize = 256;

/// Returns whether a router of that average use is calm.
pub fn is_calm(busy: f64) -> bool {
    busy < CALM_BELOW
}

/// Why a router withdraws, which decides how many may do so.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Cause {
    #[default]
    Processor,
    Link,
    /// The link is full, and what is known of the others may be out of date.
    FullLink,
    /// The previous process had withdrawn.
    Restart,
}

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// A hash of its team; zero for requests without one.
    pub team: u64,
    /// Its rank; zero is the most urgent.
    pub rank: u8,
}

/// A request that is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The time after which another router may get it.
    pub retry_after: Duration,
    /// Whether its caller should connect anew.
    pub reconnect: bool,
}

/// What a router used of its VM since the last observation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// The part of the time for which the processor was in use.
    pub processor: f64,
    /// The part of the link's capacity that was used; above 1 if the link is overloaded.
    pub link: f64,
    /// The part that requests from callers used.
    pub requests: f64,
}

impl Usage {
    /// Returns the use of the resource that is nearer to its end.
    fn most(self) -> f64 {
        let most = self.processor.max(self.link / FULL_LINK_PART);
        most.clamp(0.0, MAX_USE)
    }

    /// Moves these averages towards what was measured.
    fn follow(&mut self, measured: Self, gain: f64) {
        self.processor += (measured.processor - self.processor) * gain;
        self.link += (measured.link - self.link) * gain;
        self.requests += (measured.requests - self.requests) * gain;
    }
}

/// The routers of the data centre, as far as this one knows.
#[derive(Clone, Copy, Debug)]
pub struct Neighbours {
    /// Number of routers, this one included.
    pub routers: usize,
    /// Number of routers that were there a short time ago: the balancer still counts them.
    pub missing: usize,
    /// Number of other routers that have withdrawn.
    pub withdrawn: usize,
    /// Number of those that precede this one in an order that all routers share.
    pub before: usize,
    /// Number of the preceding ones that are calm.
    pub calm_before: usize,
    /// The average use of the routers that haven't withdrawn.
    pub busy: f64,
}

impl Neighbours {
    /// Returns how many routers may have withdrawn at the same time.
    fn most(self, cause: Cause) -> usize {
        let part = match cause {
            Cause::Processor => MAX_WITHDRAWN_PART,
            Cause::Link => MAX_LINK_PART,
            Cause::Restart => MAX_RESUMED_PART,
            Cause::FullLink => HALF,
        };
        match self.busy < NEIGHBOURS_FULL_ABOVE {
            true => {
                let all = self.routers + self.missing;
                ((all as f64 * part) as usize).saturating_sub(self.missing)
            }
            false => 0,
        }
    }
}

/// The use of one router's processor and link, and what follows from it.
#[derive(Clone, Debug, Default)]
pub struct Crowding {
    /// The average use of the resource that is nearer to its end.
    busy: f64,
    /// The average use of each resource.
    usage: Usage,
    /// Slower averages of the processor's use and of the admitted requests per second.
    cost_use: f64,
    cost_rate: f64,
    /// The same of the part of the link that answers use.
    cost_answers: f64,
    /// The time since the withdrawal; `None` while new connections are taken.
    withdrawn: Option<Duration>,
    calm: Duration,
    /// The time for which the link has been full.
    full: Duration,
    /// Why the router has withdrawn.
    cause: Cause,
    /// The limit on admitted requests per second; `None` while all are admitted.
    limit: Option<f64>,
    /// The unused admissions.
    unused: f64,
    /// The place of the latest refusal within the time over which refusals are spread.
    spread: f64,
    /// Requests admitted since the last observation.
    admitted: u32,
    /// Requests that arrived since the last observation.
    arrived: u32,
    /// The averages of both per second.
    admitted_rate: f64,
    arrival_rate: f64,
    /// The requests of each team, weighted by their age.
    teams: HashMap<u64, f64>,
}

impl Crowding {
    /// Takes over what was used in the time `elapsed` since the last call. Returns whether this router has
    /// withdrawn, if that has changed.
    pub fn observe(
        &mut self,
        usage: Usage,
        elapsed: Duration,
        neighbours: Neighbours,
    ) -> Option<bool> {
        let seconds = elapsed.as_secs_f64();
        if seconds <= 0.0 {
            return None;
        }
        if elapsed > STANDSTILL {
            (self.admitted, self.arrived) = (0, 0);
            return None;
        }
        let gain = (GAIN * seconds).min(1.0);
        self.busy += (usage.most() - self.busy) * gain;
        self.usage.follow(usage, gain);
        self.full = match self.link_use() > ADMIT_LESS_ABOVE {
            true => self.full.saturating_add(elapsed),
            false => Duration::ZERO,
        };
        let rate = |count: &mut u32| f64::from(std::mem::take(count)) / seconds;
        let admitted = rate(&mut self.admitted);
        self.admitted_rate += (admitted - self.admitted_rate) * gain;
        let slow = (COST_GAIN * seconds).min(1.0);
        self.cost_use += (usage.processor - self.cost_use) * slow;
        self.cost_rate += (admitted - self.cost_rate) * slow;
        let answers = (usage.link - usage.requests).max(0.0);
        self.cost_answers += (answers - self.cost_answers) * slow;
        self.arrival_rate += (rate(&mut self.arrived) - self.arrival_rate) * gain;
        self.teams
            .values_mut()
            .for_each(|count| *count *= 1.0 - gain);
        self.teams.retain(|_, count| *count > 0.01);
        self.adapt(seconds);
        self.withdraw(elapsed, neighbours)
    }

    /// Adapts the limit to the use.
    fn adapt(&mut self, seconds: f64) {
        let processor = self.usage.processor.min(MAX_USE);
        if self.full > FULL_LINK_TIME {
            let limit = self.answerable();
            self.limit = Some(match processor > ADMIT_LESS_ABOVE {
                true => limit.min(FALL_TO_PART * self.affordable()).max(MIN_LIMIT),
                false => limit,
            });
        } else if processor > ADMIT_LESS_ABOVE {
            let known = self.limit.unwrap_or(self.admitted_rate);
            // A limit that isn't reached has no effect.
            let limit = known.min(self.admitted_rate.max(MIN_LIMIT));
            let least = limit.min(FALL_TO_PART * self.affordable()).max(MIN_LIMIT);
            self.limit = Some((limit * FALL.powf(seconds)).max(least));
        } else if processor < ADMIT_MORE_BELOW
            && let Some(limit) = self.limit
        {
            let limit = limit * RISE.powf(seconds);
            let needed = limit < 2.0 * self.arrival_rate;
            self.limit = needed.then_some(limit);
        }
        if let Some(limit) = self.limit {
            self.unused = (self.unused + limit * seconds).min(self.capacity());
        }
    }

    /// Returns the use of the link, nine tenths of which count as all of it.
    fn link_use(&self) -> f64 {
        self.usage.link / FULL_LINK_PART
    }

    /// Returns the number of requests per second whose answers fit into what requests leave of the link.
    fn answerable(&self) -> f64 {
        let left = (FULL_LINK_PART - self.usage.requests).max(MIN_ANSWER_PART);
        let answers = self.cost_answers.max(f64::EPSILON);
        (self.cost_rate * left / answers).max(MIN_LIMIT)
    }

    /// Returns the number of requests per second that would use everything up, by what requests have cost.
    fn affordable(&self) -> f64 {
        match self.cost_use > 0.0 {
            true => self.cost_rate / self.cost_use,
            false => 0.0,
        }
    }

    fn capacity(&self) -> f64 {
        let limit = self.limit.unwrap_or_default();
        (limit * BURST.as_secs_f64()).max(1.0)
    }

    fn withdraw(&mut self, elapsed: Duration, neighbours: Neighbours) -> Option<bool> {
        self.calm = match is_calm(self.busy) {
            true => self.calm.saturating_add(elapsed),
            false => Duration::ZERO,
        };
        let Some(since) = self.withdrawn else {
            let cause = self.cause();
            if self.busy > WITHDRAW_ABOVE && neighbours.withdrawn < neighbours.most(cause) {
                (self.withdrawn, self.cause) = (Some(Duration::ZERO), cause);
                return Some(true);
            }
            return None;
        };
        self.withdrawn = Some(since.saturating_add(elapsed));
        let most = neighbours.most(self.cause);
        // Routers that withdraw at the same time don't know of each other yet.
        let too_many = neighbours.withdrawn + 1 > most && neighbours.before >= most;
        if too_many || self.calm >= self.calm_time(neighbours) {
            self.withdrawn = None;
            return Some(false);
        }
        None
    }

    /// Returns why this router would withdraw now.
    fn cause(&self) -> Cause {
        if self.full > STALE_NEIGHBOURS_TIME {
            Cause::FullLink
        } else if self.link_use() > WITHDRAW_ABOVE {
            Cause::Link
        } else {
            Cause::Processor
        }
    }

    /// Returns the time for which a withdrawn router must be calm before it returns.
    fn calm_time(&self, neighbours: Neighbours) -> Duration {
        let most = neighbours.most(Cause::Link);
        let wanted = (neighbours.withdrawn + 1 + SPARE_WITHDRAWALS).saturating_sub(most);
        match neighbours.calm_before < wanted {
            true => SHORT_CALM_TIME,
            false => CALM_TIME,
        }
    }

    /// Returns whether the balancer should send no new connections.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn.is_some()
    }

    /// Returns whether the balancer may not know yet that this router has withdrawn.
    pub fn awaits_removal(&self) -> bool {
        self.withdrawn.is_none_or(|since| since < REMOVAL_TIME)
    }

    /// Takes over that the previous process on this VM wasn't ready for its load: the balancer would send
    /// the same callers as before.
    pub fn resume(&mut self) {
        if self.withdrawn.is_none() {
            (self.withdrawn, self.cause) = (Some(Duration::ZERO), Cause::Restart);
        }
    }

    /// Returns the average use of the resource that is nearer to its end.
    pub fn busy(&self) -> f64 {
        self.busy
    }

    /// Returns the average use of each resource, over the same time as [`Self::busy`].
    pub fn usage(&self) -> Usage {
        self.usage
    }

    /// Returns the average numbers of requests per second that arrive and that are admitted.
    pub fn rates(&self) -> (f64, f64) {
        (self.arrival_rate, self.admitted_rate)
    }

    /// Returns the limit on admitted requests per second; `None` while all are admitted.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Decides whether a request is served.
    ///
    /// # Errors
    ///
    /// What its caller is told if it isn't.
    pub fn admit(&mut self, arrival: Arrival) -> Result<(), Refused> {
        self.arrived += 1;
        if self.teams.len() < MAX_TEAMS || self.teams.contains_key(&arrival.team) {
            *self.teams.entry(arrival.team).or_default() += 1.0;
        }
        if self.limit.is_some() {
            let most = self.capacity();
            if self.unused < 1.0 || self.unused < most * self.reserved(arrival) {
                return Err(self.refusal());
            }
            self.unused -= 1.0;
        }
        self.admitted += 1;
        Ok(())
    }

    /// Returns the part of the unused admissions that are kept from a request.
    fn reserved(&self, arrival: Arrival) -> f64 {
        let all: f64 = self.teams.values().sum();
        let own = self.teams.get(&arrival.team).copied().unwrap_or_default();
        match own <= all * SMALL_TEAM_PART {
            true => 0.0,
            false => (f64::from(arrival.rank) * RESERVED_PART).min(MAX_RESERVED_PART),
        }
    }

    /// Returns the time until a refused request reaches another router: once the balancer knows that this one
    /// has withdrawn.
    fn removal_in(&self) -> Duration {
        let left = self
            .withdrawn
            .map(|since| REMOVAL_TIME.saturating_sub(since));
        left.unwrap_or(RETRY_AFTER_HERE).max(MIN_RETRY_AFTER)
    }

    /// Returns the time after which a request that is refused at a full link may come again.
    pub fn spread_retry(&mut self) -> Duration {
        self.spread = (self.spread + SPREAD_STEP).fract();
        self.removal_in() + RETRY_SPREAD.mul_f64(self.spread)
    }

    /// Returns what the caller of a refused request is told.
    fn refusal(&mut self) -> Refused {
        let retry_after = match self.full > FULL_LINK_TIME {
            true => self.spread_retry(),
            false => self.removal_in(),
        };
        Refused {
            retry_after,
            reconnect: !self.awaits_removal(),
        }
    }
}
