//! Upstream selection that needs no coordination between routers.
//!
//! Requests that share a prompt prefix go to the upstream selected by rendezvous hashing, which is
//! the same at every router. If its load is well above the mean, they go to the next upstream by hash
//! score (consistent hashing with bounded loads). Requests without a prefix go to the least loaded
//! upstream, with a preference for the router's own data centre.

use fescue_core::hash;

/// An upstream that may be selected for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// An id of the upstream that is the same at every router.
    pub member: u64,
    /// The work at the upstream divided by its capacity.
    pub load: f64,
    /// Whether the upstream is in the router's own data centre.
    pub near: bool,
}

/// The multiple of the mean load above which an upstream is skipped for its prefixes.
const LOAD_BOUND: f64 = 2.0;

/// The load up to which an upstream is never skipped, whatever the mean is.
const IDLE_LOAD: f64 = 0.25;

/// The extra load at which an upstream in the own data centre is still preferred to a remote one.
const NEAR_BONUS: f64 = 0.15;

/// Selects an upstream and returns its index; `None` if there is none.
///
/// `prefix` is the hash of the prompt's prefix; `tie` breaks ties between equally loaded upstreams
/// when there is no prefix.
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
