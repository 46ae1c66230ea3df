//! A consistent-hash ring that maps prompt prefixes to the upstreams that own them.

use fescue_core::hash;

/// The number of points of each upstream on the ring.
const POINTS: u64 = 64;

/// The upstreams of one pool, by hashes of their ids.
///
/// If an upstream is removed, only the prefixes that it owned move to others.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    points: Vec<(u64, usize)>,
}

impl Ring {
    /// Creates a ring of members; a member is an id of an upstream that is the same at every router.
    pub fn open(members: impl Iterator<Item = u64>) -> Self {
        let points = members.enumerate();
        let points = points.flat_map(|(index, member)| {
            (0..POINTS).map(move |point| (hash::score(point, member), index))
        });
        let mut points: Vec<_> = points.collect();
        points.sort_unstable();
        Self { points }
    }

    /// Iterates over the indices of the members that own a key, the first owner first.
    ///
    /// A member may come up again, but not twice in succession.
    pub fn owners(&self, key: u64) -> impl Iterator<Item = usize> {
        let start = self.points.partition_point(|(point, _)| *point < key);
        let order = self.points[start..].iter().chain(&self.points[..start]);
        let mut last = None;
        order.filter_map(move |(_, index)| {
            let new = last != Some(*index);
            last = Some(*index);
            new.then_some(*index)
        })
    }
}
