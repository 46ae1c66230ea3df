//! Which upstream gets a request.
//!
//! A few candidates are compared by expected wait, prefill left after the cached prefix, and the
//! trip: the owners of the prompt's prefix on a [`Ring`], so that equal prefixes meet, and four at
//! random, so that no owner is overrun. Only those few are looked at, so that the cost of a decision
//! hardly grows with the number of upstreams. See
//! [docs/design/service.md](../../../docs/design/service.md).

mod ring;

pub use ring::Ring;

use std::time::Duration;

use rand::Rng;

/// An upstream that could take a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// How long a request would wait there.
    pub wait: Duration,
    /// The prefill that is left there, after what it has cached of the prompt.
    pub prefill: Duration,
    /// How long the way there takes.
    pub latency: Duration,
    /// How many requests it has for each of its slots.
    pub load: f64,
    /// Whether its limit and its health allow one more.
    pub open: bool,
}

impl Candidate {
    /// A candidate that takes nothing.
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

/// The upstreams that could take a request, looked at one by one.
pub trait Candidates {
    /// Returns how many there are.
    fn len(&self) -> usize;

    /// Weighs one.
    fn candidate(&self, index: usize) -> Candidate;

    /// Returns whether there are none.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Reason an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is an owner of the prompt's prefix.
    Prefix,
    /// It was the better of those drawn at random.
    Load,
    /// It was the only one found open.
    Only,
}

impl Reason {
    /// Returns the word used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Prefix => "prefix",
            Self::Load => "load",
            Self::Only => "only",
        }
    }
}

/// One of the upstreams that were compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scored {
    /// Its place in the field.
    pub index: usize,
    /// The expected time to the first token there.
    pub cost: Duration,
}

/// The upstream that was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The chosen one.
    pub best: Scored,
    /// Reason.
    pub reason: Reason,
    /// The next best that was compared.
    pub next: Option<Scored>,
}

/// How many owners of a prefix are compared.
const OWNERS: usize = 3;

/// How many others are compared.
const RANDOM: usize = 4;

/// How many upstreams are looked at for each that is compared, when some are closed.
const PROBES: usize = 4;

/// An owner with this many times the load of those drawn at random is passed over.
const LOAD_BOUND: f64 = 1.15;

/// A load that is never too high for an owner, so that an idle field keeps its prefixes together.
const IDLE_LOAD: f64 = 0.5;

struct Compared {
    place: Scored,
    reason: Reason,
    load: f64,
}

/// Chooses an upstream of `field` for a prompt whose prefix hashes to `prefix`.
///
/// Returns `None` when none is open.
pub fn choose(
    rng: &mut impl Rng,
    prefix: u64,
    ring: &Ring,
    field: &impl Candidates,
) -> Option<Choice> {
    let mut compared: Vec<Compared> = Vec::with_capacity(OWNERS + RANDOM);
    if field.is_empty() {
        return None;
    }
    for _ in 0..RANDOM * PROBES {
        let index = rng.random_range(0..field.len());
        look(field, index, Reason::Load, &mut compared);
        if compared.len() == RANDOM {
            break;
        }
    }
    let loads: f64 = compared.iter().map(|c| c.load).sum();
    let mean = loads / compared.len().max(1) as f64;
    let bound = mean.max(IDLE_LOAD) * LOAD_BOUND;
    let drawn = compared.len();
    for index in ring.owners(prefix).take(OWNERS * PROBES) {
        look(field, index, Reason::Prefix, &mut compared);
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
        return scan(rng, field);
    }
    compared.sort_by_key(|c| (c.place.cost, c.reason == Reason::Load));
    Some(Choice {
        best: compared[0].place,
        reason: compared[0].reason,
        next: compared.get(1).map(|c| c.place),
    })
}

/// Adds an upstream to those compared, if it is open and new.
fn look(field: &impl Candidates, index: usize, reason: Reason, compared: &mut Vec<Compared>) {
    if let Some(known) = compared.iter_mut().find(|c| c.place.index == index) {
        // One that was drawn at random and is an owner too counts as an owner.
        known.reason = reason;
        return;
    }
    let candidate = field.candidate(index);
    if !candidate.open {
        return;
    }
    let cost = candidate.cost();
    compared.push(Compared {
        place: Scored { index, cost },
        reason,
        load: candidate.load,
    });
}

/// Looks at all upstreams from a random one on and takes the first that is open.
fn scan(rng: &mut impl Rng, field: &impl Candidates) -> Option<Choice> {
    let start = rng.random_range(0..field.len());
    let mut order = (start..field.len()).chain(0..start);
    let index = order.find(|index| field.candidate(*index).open)?;
    let cost = field.candidate(index).cost();
    Some(Choice {
        best: Scored { index, cost },
        reason: Reason::Only,
        next: None,
    })
}
