//! Which upstream gets a request.
//!
//! A few candidates are compared by expected wait, prefill left after the cached prefix, and the
//! trip: the owners of the prompt's prefix by rendezvous hashing, so that equal prefixes meet, and
//! two at random, so that no owner is overrun.

use std::time::Duration;

use fescue_core::hash;
use rand::Rng;

/// An upstream that could take a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// A number that names it on every router, such as a hash of its name.
    pub member: u64,
    /// How long a request would wait there.
    pub wait: Duration,
    /// The prefill that is left there, after what it has cached of the prompt.
    pub prefill: Duration,
    /// How long the way there takes.
    pub trip: Duration,
    /// How many requests it has for each of its slots.
    pub load: f64,
    /// Whether its limit and its health allow one more.
    pub open: bool,
}

impl Candidate {
    /// Returns the expected time to the first token.
    pub fn cost(&self) -> Duration {
        self.wait + self.prefill + self.trip
    }
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// It is an owner of the prompt's prefix.
    Prefix,
    /// It was the better of two.
    Load,
    /// No other was open.
    Only,
}

impl Why {
    /// Returns the word used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Prefix => "prefix",
            Self::Load => "load",
            Self::Only => "only",
        }
    }
}

/// The upstream that was chosen, by its place among the candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The chosen one.
    pub index: usize,
    /// Why.
    pub why: Why,
    /// The next best that was compared.
    pub next: Option<usize>,
}

/// How many owners of a prefix are compared.
const OWNERS: usize = 2;

/// How many others are compared.
const RANDOM: usize = 2;

/// An owner with this many times the mean load is passed over.
const LOAD_BOUND: f64 = 1.25;

/// Chooses among `candidates` for a prompt whose prefix hashes to `prefix`.
///
/// Returns `None` when none is open.
pub fn choose(rng: &mut impl Rng, prefix: u64, candidates: &[Candidate]) -> Option<Choice> {
    let mut open = 0_usize;
    let mut load = 0.0;
    let mut owners: [Option<(u64, usize)>; OWNERS] = [None; OWNERS];
    for (index, candidate) in candidates.iter().enumerate().filter(|(_, c)| c.open) {
        open += 1;
        load += candidate.load;
        let score = hash::score(prefix, candidate.member);
        insert(&mut owners, (score, index));
    }
    if open == 0 {
        return None;
    }
    let bound = (load / open as f64).max(0.5) * LOAD_BOUND;
    let fits = |index: &usize| candidates[*index].load <= bound;
    let owners = owners.iter().flatten().map(|(_, index)| *index);
    let mut compared: Vec<_> = owners.filter(fits).map(|i| (i, Why::Prefix)).collect();
    for _ in 0..RANDOM {
        let index = pick_open(rng, candidates, open);
        if !compared.iter().any(|(other, _)| *other == index) {
            compared.push((index, Why::Load));
        }
    }
    compared.sort_by_key(|(index, _)| candidates[*index].cost());
    let (index, why) = compared[0];
    let why = if open == 1 { Why::Only } else { why };
    let next = compared.get(1).map(|(index, _)| *index);
    Some(Choice { index, why, next })
}

fn insert(owners: &mut [Option<(u64, usize)>; OWNERS], new: (u64, usize)) {
    let mut new = Some(new);
    for owner in owners {
        if *owner < new {
            std::mem::swap(owner, &mut new);
        }
    }
}

fn pick_open(rng: &mut impl Rng, candidates: &[Candidate], open: usize) -> usize {
    let skip = rng.random_range(0..open);
    let open = candidates.iter().enumerate().filter(|(_, c)| c.open);
    let picked = open.map(|(index, _)| index).nth(skip);
    picked.unwrap_or(0)
}
