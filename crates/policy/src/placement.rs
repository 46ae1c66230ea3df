//! Selection of the upstream for a request.
//!
//! A few candidates are compared by expected wait, prefill time after the cached prefix, and network
//! latency: the owners of the prompt's prefix on a [`Ring`], so that requests with equal prefixes
//! share a cache, and four at random, so that no owner is overloaded. Since only these are evaluated,
//! the cost of a decision hardly grows with the number of upstreams. See
//! [docs/design/service.md](../../../docs/design/service.md).

mod ring;

pub use ring::Ring;

use std::time::Duration;

use rand::Rng;

/// The state of an upstream that may be selected for a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The expected wait for a slot.
    pub wait: Duration,
    /// The expected prefill time of the part of the prompt that the upstream hasn't cached.
    pub prefill: Duration,
    /// The network latency from this router.
    pub latency: Duration,
    /// The number of requests per slot.
    pub load: f64,
    /// Whether the upstream's limit and health allow another request.
    pub open: bool,
}

impl Candidate {
    /// A candidate that accepts no requests.
    pub const CLOSED: Self = Self {
        wait: Duration::ZERO,
        prefill: Duration::ZERO,
        latency: Duration::ZERO,
        load: 0.0,
        open: false,
    };

    /// Returns the expected time to the first token.
    pub fn cost(&self) -> Duration {
        self.wait + self.prefill + self.latency
    }
}

/// The upstreams that may be selected for a request, evaluated on demand.
pub trait Candidates {
    /// Returns the number of upstreams, open or not.
    fn len(&self) -> usize;

    /// Evaluates the upstream at an index below [`Self::len`].
    fn candidate(&self, index: usize) -> Candidate;

    /// Returns whether there are no upstreams.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The reason for which an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The upstream owns the prompt's prefix.
    Prefix,
    /// The upstream is the cheapest of those drawn at random.
    Load,
    /// None of those compared was open, and the upstream is the first open one found by a scan.
    Only,
}

impl Reason {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Prefix => "prefix",
            Self::Load => "load",
            Self::Only => "only",
        }
    }
}

/// An upstream with its expected cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scored {
    /// The index among the candidates.
    pub index: usize,
    /// The expected time to the first token.
    pub cost: Duration,
}

/// The upstream that was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The upstream to use.
    pub best: Scored,
    /// The reason for the choice.
    pub reason: Reason,
    /// The second best upstream; `None` if no other was compared.
    pub next: Option<Scored>,
}

/// The number of owners of the prefix that are compared.
const OWNERS: usize = 3;

/// The number of upstreams drawn at random that are compared.
const RANDOM: usize = 4;

/// The largest number of upstreams evaluated per upstream to compare, if some are closed.
const PROBES: usize = 4;

/// The multiple of the mean load of those drawn at random above which an owner is skipped.
const LOAD_BOUND: f64 = 1.15;

/// The lower bound of that mean, so that equal prefixes stay together while the upstreams are idle.
const IDLE_LOAD: f64 = 0.5;

struct Compared {
    scored: Scored,
    reason: Reason,
    load: f64,
}

/// Chooses an upstream for a prompt whose prefix hashes to `prefix`; returns `None` if none is open.
pub fn choose(
    rng: &mut impl Rng,
    prefix: u64,
    ring: &Ring,
    candidates: &impl Candidates,
) -> Option<Choice> {
    let mut compared: Vec<Compared> = Vec::with_capacity(OWNERS + RANDOM);
    if candidates.is_empty() {
        return None;
    }
    for _ in 0..RANDOM * PROBES {
        let index = rng.random_range(0..candidates.len());
        compare(candidates, index, Reason::Load, &mut compared);
        if compared.len() == RANDOM {
            break;
        }
    }
    let loads: f64 = compared.iter().map(|c| c.load).sum();
    let mean = loads / compared.len().max(1) as f64;
    let bound = mean.max(IDLE_LOAD) * LOAD_BOUND;
    let drawn = compared.len();
    for index in ring.owners(prefix).take(OWNERS * PROBES) {
        compare(candidates, index, Reason::Prefix, &mut compared);
        if compared
            .last()
            .is_some_and(|c| c.reason == Reason::Prefix && c.load > bound)
        {
            compared.pop();
        }
        if compared.len() == drawn + OWNERS {
            break;
        }
    }
    if compared.is_empty() {
        return scan(rng, candidates);
    }
    compared.sort_by_key(|c| (c.scored.cost, c.reason == Reason::Load));
    Some(Choice {
        best: compared[0].scored,
        reason: compared[0].reason,
        next: compared.get(1).map(|c| c.scored),
    })
}

/// Adds an upstream to those compared if it is open and not among them.
fn compare(
    candidates: &impl Candidates,
    index: usize,
    reason: Reason,
    compared: &mut Vec<Compared>,
) {
    if let Some(known) = compared.iter_mut().find(|c| c.scored.index == index) {
        // An owner that was also drawn at random counts as an owner.
        known.reason = reason;
        return;
    }
    let candidate = candidates.candidate(index);
    if !candidate.open {
        return;
    }
    let cost = candidate.cost();
    compared.push(Compared {
        scored: Scored { index, cost },
        reason,
        load: candidate.load,
    });
}

/// Evaluates all upstreams, starting at a random one, and returns the first open one.
fn scan(rng: &mut impl Rng, candidates: &impl Candidates) -> Option<Choice> {
    let start = rng.random_range(0..candidates.len());
    let mut order = (start..candidates.len()).chain(0..start);
    let index = order.find(|index| candidates.candidate(*index).open)?;
    let cost = candidates.candidate(index).cost();
    Some(Choice {
        best: Scored { index, cost },
        reason: Reason::Only,
        next: None,
    })
}
