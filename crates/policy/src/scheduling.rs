//! Placement of prompts on the engines of one shard, by one scheduler for all routers.
//!
//! A long prompt delays every request that waits for the same engine. A router sees only what it sends itself,
//! so with many routers nobody knows which engine is reading. The home of a shard places the requests of all
//! routers to the shard's engines: it knows the tokens that each engine has still to read, learns how fast it
//! reads from the first events of the answers, and keeps prompts with equal prefixes together as long as that
//! costs no time. Everything here is soft state that a new home learns anew within about a second. See
//! [docs/design/scheduling.md](../../../docs/design/scheduling.md).

mod engine;

use std::cmp::Reverse;
use std::time::Duration;

use fescue_core::hash;
use indexmap::IndexMap;

use crate::claims::{Claim, Claims};
use engine::Engine;

/// A request that is to be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// A random number that identifies the placement.
    pub id: u64,
    /// The hash of the shared prefix of the prompt; `None` if it has no part that others share.
    pub prefix: Option<u64>,
    /// The number of tokens of the shared prefix.
    pub shared: u64,
    /// The number of tokens of the prompt, with the shared prefix.
    pub input: u64,
    /// The largest number of tokens of the answer.
    pub output: u64,
    /// The rank; zero is the most urgent.
    pub rank: u8,
    /// A hash of the team.
    pub team: u64,
    /// The time left until the first event should arrive.
    pub target: Duration,
    /// The time left until the caller gives up.
    pub deadline: Duration,
}

impl Work {
    /// Returns the memory that the request takes at an engine at most, in tokens.
    fn bound(&self) -> u64 {
        self.input.saturating_add(self.output)
    }

    fn claim(&self) -> Claim {
        Claim {
            team: self.team,
            rank: self.rank,
        }
    }
}

/// An engine that may get the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// An id of the engine that is the same at every router.
    pub hash: u64,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The number of tokens that fit into its memory.
    pub memory: u64,
}

impl Member {
    /// Returns the memory that requests may take, in tokens. An engine that runs out of it crashes.
    fn usable(&self) -> u64 {
        self.memory - self.memory / SPARE_PART
    }
}

/// Where a request is placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The engine, by [`Member::hash`].
    pub member: u64,
    /// The expected time until the first event.
    pub expected: Duration,
}

/// The shard can't serve the request in time, or has to leave its room to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Saturated {
    /// The time after which the request may be placed.
    pub wait: Duration,
}

/// The part of an engine's memory that is kept free, as a divisor.
const SPARE_PART: u64 = 20;

/// The average number of engines above which a service gets twice as many shards.
const MAX_SHARD_ENGINES: usize = 24;

/// The part of the target within which an engine is good enough, and the same for one that has the prefix.
const GOOD_PART: f64 = 0.5;
const GOOD_PART_CACHED: f64 = 0.7;

/// The part of its cost that counts where an engine has the prefix and none is good enough: a prefix that is read
/// again at another engine takes that engine's time from other prompts.
const CACHED_COST: f64 = 0.75;

/// The part of its reading time that a prompt costs each answer that goes on beside it: engines make tokens
/// between the parts of a prompt, so a long one widens the gaps between events.
const STREAM_WEIGHT: f64 = 0.15;

/// The shortest wait that counts as saturation, whatever is left of a request's target.
const MIN_SATURATION: Duration = Duration::from_millis(250);

/// The part of a more urgent request's target that others may fill while such requests are late.
const URGENT_PART: u32 = 2;

/// The time for which the target of a rank is remembered.
const TARGET_TTL: Duration = Duration::from_secs(2);

/// The shortest time after which a refused request may come again.
const MIN_RETRY: Duration = Duration::from_millis(50);

/// The time after which an engine that gets no requests is forgotten.
const ENGINE_TTL: Duration = Duration::from_secs(60);

/// Returns the number of shards of a service with this many engines.
///
/// It is a power of two, so that it stays the same while single engines come and go.
pub fn shards(engines: usize) -> u32 {
    let needed = engines.div_ceil(MAX_SHARD_ENGINES).max(1);
    u32::try_from(needed.next_power_of_two()).unwrap_or(u32::MAX)
}

/// Returns the shard of an engine, below `shards`.
pub fn shard_of(member: u64, shards: u32) -> u32 {
    let score = |shard: &u32| hash::score(u64::from(*shard), member);
    (0..shards.max(1)).max_by_key(score).unwrap_or(0)
}

/// Returns the engine among `members` that owns a prefix.
pub fn owner(prefix: u64, members: impl Iterator<Item = u64>) -> Option<u64> {
    members.max_by_key(|member| hash::score(prefix, *member))
}

/// The scheduler of one shard.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    engines: IndexMap<u64, Engine>,
    /// The engine of each request that has not ended.
    placed: IndexMap<u64, u64>,
    claims: Claims,
    /// The targets of the requests of each rank, and when they were last seen.
    targets: IndexMap<u8, (Duration, Duration)>,
}

/// How an engine suits a request.
struct Offer {
    member: u64,
    /// The time until the engine reads the prompt.
    wait: Duration,
    /// The time until the first event.
    expected: Duration,
    /// The expected time, and a part of what the prompt delays the answers that go on beside it.
    cost: Duration,
    /// Whether the engine has the prefix of the prompt.
    cached: bool,
    /// Whether the memory for it is free.
    fits: bool,
    /// Whether a slot and the memory for it are free.
    free: bool,
    /// The memory that is left, in tokens.
    room: u64,
}

impl Scheduler {
    /// Places a request on one of the engines `members`.
    ///
    /// # Errors
    ///
    /// [`Saturated`] if no engine can begin the answer before the deadline, if the request fits into none, or if
    /// all have more to read than the target allows and the request yields to others.
    pub fn place(
        &mut self,
        work: &Work,
        members: &[Member],
        now: Duration,
    ) -> Result<Placement, Saturated> {
        self.expire(now);
        let typical = self.typical_rate();
        let fitting = members
            .iter()
            .filter(|member| work.bound() <= member.usable());
        let options: Vec<_> = fitting
            .map(|member| self.evaluate(work, member, typical, now))
            .collect();
        let key = work.prefix.unwrap_or(work.id);
        let Some(best) = choose(&options, key, work.target) else {
            return Err(Saturated { wait: MIN_RETRY });
        };
        self.note_target(work, now);
        let limit = work.target.max(MIN_SATURATION);
        let late = best.wait > limit;
        let limit = limit.min(self.urgent_limit(work));
        let yields = best.wait > limit && self.claims.must_yield(work.claim());
        if late {
            // Also if it is placed: those that yield to it leave it what there is.
            self.claims.record_denial(work.claim(), now);
        }
        if yields || best.expected > work.deadline {
            let excess = best.expected.saturating_sub(work.deadline);
            let wait = best.wait.saturating_sub(limit).max(excess);
            return Err(Saturated {
                wait: wait.max(MIN_RETRY),
            });
        }
        self.claims.record_grant(work.claim(), now);
        let (member, expected) = (best.member, best.expected);
        let memory = members.iter().find(|known| known.hash == member);
        let memory = memory.map_or(0, |known| known.memory);
        let engine = self
            .engines
            .entry(member)
            .or_insert_with(|| Engine::open(memory, now));
        engine.add(work, expected, now);
        self.placed.insert(work.id, member);
        Ok(Placement { member, expected })
    }

    /// Records that the first event of an answer has arrived: the prompt has been read.
    pub fn record_begun(&mut self, id: u64, now: Duration) {
        let typical = self.typical_rate();
        if let Some(engine) = self.engine_of(id) {
            engine.record_begun(id, typical, now);
        }
    }

    /// Records that a request has ended, whether or not its answer had begun.
    pub fn record_ended(&mut self, id: u64, now: Duration) {
        if let Some(engine) = self.engine_of(id) {
            engine.record_ended(id, now);
        }
        self.placed.swap_remove(&id);
    }

    /// Returns the number of tokens that the engines have still to read.
    pub fn reading(&self) -> u64 {
        self.engines.values().map(Engine::reading).sum()
    }

    /// Returns the number of requests that have not ended.
    pub fn running(&self) -> usize {
        self.placed.len()
    }

    /// Remembers the target of the request's rank. What is left of it is less for one that was tried before.
    fn note_target(&mut self, work: &Work, now: Duration) {
        let known = self.targets.entry(work.rank).or_insert((work.target, now));
        if work.target >= known.0 || now.saturating_sub(known.1) > TARGET_TTL {
            *known = (work.target, now);
        }
    }

    /// Returns the wait up to which a request leaves more urgent ones time.
    fn urgent_limit(&self, work: &Work) -> Duration {
        let urgent = self.targets.iter().filter(|(rank, _)| **rank < work.rank);
        let targets = urgent.map(|(_, (target, _))| *target / URGENT_PART);
        targets.min().unwrap_or(Duration::MAX)
    }

    fn engine_of(&mut self, id: u64) -> Option<&mut Engine> {
        let member = self.placed.get(&id)?;
        self.engines.get_mut(member)
    }

    fn evaluate(&self, work: &Work, member: &Member, typical: f64, now: Duration) -> Offer {
        let Some(engine) = self.engines.get(&member.hash) else {
            let expected = engine::read_time(work.input, typical) + engine::DEFAULT_LATENCY;
            return Offer {
                member: member.hash,
                wait: Duration::ZERO,
                expected,
                cost: expected,
                cached: false,
                fits: true,
                free: true,
                room: member.usable(),
            };
        };
        let wait = engine.wait(member.slots, typical, now);
        let read = engine.read_time(work, typical);
        let expected = wait + read + engine.latency();
        let room = member.usable().saturating_sub(engine.held());
        let fits = room >= work.bound();
        Offer {
            member: member.hash,
            wait,
            expected,
            cost: expected + read.mul_f64(STREAM_WEIGHT * engine.streams() as f64),
            cached: engine.has_prefix(work),
            fits,
            free: fits && engine.running() < member.slots as usize,
            room,
        }
    }

    /// Returns the median rate of the engines that are known, in tokens per second.
    fn typical_rate(&self) -> f64 {
        let rates = self.engines.values().filter_map(Engine::rate);
        let mut rates: Vec<_> = rates.collect();
        rates.sort_unstable_by(f64::total_cmp);
        rates
            .get(rates.len() / 2)
            .copied()
            .unwrap_or(engine::DEFAULT_RATE)
    }

    /// Drops requests whose end was never reported, and engines that get no requests any more.
    fn expire(&mut self, now: Duration) {
        self.claims.forget(now);
        for engine in self.engines.values_mut() {
            for id in engine.expire(now) {
                self.placed.swap_remove(&id);
            }
        }
        self.engines
            .retain(|_, engine| engine.running() > 0 || engine.idle_time(now) < ENGINE_TTL);
    }
}

/// Chooses an engine: of those that are good enough, the cheapest one that has the prefix, or the first one in the
/// order of the prefix; or else the cheapest one. Engines without a free slot come after these, and if none has the
/// memory, the one with most room gets it.
fn choose(options: &[Offer], key: u64, target: Duration) -> Option<&Offer> {
    let part = |option: &Offer| match option.cached {
        true => GOOD_PART_CACHED,
        false => GOOD_PART,
    };
    let good = |option: &&Offer| option.free && option.cost <= target.mul_f64(part(option));
    let score = |option: &&Offer| hash::score(key, option.member);
    let counted = |option: &Offer| match option.cached {
        true => option.cost.mul_f64(CACHED_COST),
        false => option.cost,
    };
    let cheap = |option: &&Offer| (counted(option), Reverse(score(option)));
    let cached = options.iter().filter(good).filter(|option| option.cached);
    cached
        .min_by_key(cheap)
        .or_else(|| options.iter().filter(good).max_by_key(score))
        .or_else(|| {
            let free = options.iter().filter(|option| option.free);
            free.min_by_key(cheap)
        })
        .or_else(|| {
            let fitting = options.iter().filter(|option| option.fits);
            fitting.min_by_key(cheap)
        })
        .or_else(|| options.iter().max_by_key(|option| option.room))
}
