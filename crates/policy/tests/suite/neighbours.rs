//! What the routers of a simulated data centre know of each other.

use fescue_policy::crowding::{self, Neighbours};

/// What a router tells the others: whether it has withdrawn, and its use.
pub type Told = (bool, f64);

/// Returns what the router at `index` knows, if all have told what is `known`.
pub fn neighbours(known: &[Told], index: usize) -> Neighbours {
    let before = &known[..index];
    let open = known.iter().filter(|(withdrawn, _)| !withdrawn);
    let calm = before
        .iter()
        .filter(|(withdrawn, busy)| *withdrawn && crowding::is_calm(*busy));
    Neighbours {
        routers: known.len(),
        missing: 0,
        withdrawn: count_withdrawn(known) - usize::from(known[index].0),
        before: count_withdrawn(before),
        calm_before: calm.count(),
        busy: open.clone().map(|(_, busy)| busy).sum::<f64>() / open.count().max(1) as f64,
    }
}

/// Returns how many routers have withdrawn.
pub fn count_withdrawn(routers: &[Told]) -> usize {
    routers.iter().filter(|(withdrawn, _)| *withdrawn).count()
}
