//! Placement that needs no agreement between routers.
//!
//! Requests that share a prompt prefix go to the upstream that rendezvous hashing names, which is
//! the same at every router, unless it has clearly more work than the others (consistent hashing
//! with bounded loads); then to the next in that order. Requests without a prefix go to the
//! least loaded, the own data centre first.

use fescue_core::hash;

/// An upstream that may take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// A number that every router has for it.
    pub member: u64,
    /// Its load: work there, for its capacity.
    pub load: f64,
    /// Whether it is in the router's data centre.
    pub near: bool,
}

/// An upstream within this many times the mean load still gets its prefixes.
const LOAD_BOUND: f64 = 2.0;

/// A load that is never too high for an upstream to get its prefixes.
const IDLE_LOAD: f64 = 0.25;

/// How much more load a near upstream may have than a far one.
const NEAR_BONUS: f64 = 0.15;

/// Chooses among upstreams; returns the place of the choice.
pub fn choose(options: &[Candidate], prefix: Option<u64>, tie: u64) -> Option<usize> {
    match prefix {
        Some(prefix) => by_prefix(options, prefix),
        None => by_load(options, tie),
    }
}

fn by_prefix(options: &[Candidate], prefix: u64) -> Option<usize> {
    let total: f64 = options.iter().map(|option| option.load).sum();
    let mean = total / options.len().max(1) as f64;
    let bound = (mean * LOAD_BOUND).max(IDLE_LOAD);
    let score = |index: &usize| hash::score(prefix, options[*index].member);
    let fits = |index: &usize| options[*index].load <= bound;
    (0..options.len()).filter(fits).max_by_key(score)
}

fn by_load(options: &[Candidate], tie: u64) -> Option<usize> {
    let cost = |option: &Candidate| option.load - if option.near { NEAR_BONUS } else { 0.0 };
    let order = |a: &usize, b: &usize| {
        let (a, b) = (&options[*a], &options[*b]);
        let ties = || hash::score(tie, a.member).cmp(&hash::score(tie, b.member));
        cost(a).total_cmp(&cost(b)).then_with(ties)
    };
    (0..options.len()).min_by(order)
}
