//! A hash ring: which upstreams own a prompt's prefix.

use fescue_core::hash;

/// How many points each upstream has on the ring.
const POINTS: u64 = 64;

/// The upstreams of one field, by hashes of their names.
///
/// When one goes, only the prefixes that it owned move.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    points: Vec<(u64, usize)>,
}

impl Ring {
    /// Places members on the ring; a member is a number that every router has for an upstream.
    pub fn open(members: impl Iterator<Item = u64>) -> Self {
        let points = members.enumerate();
        let points = points.flat_map(|(index, member)| {
            (0..POINTS).map(move |point| (hash::score(point, member), index))
        });
        let mut points: Vec<_> = points.collect();
        points.sort_unstable();
        Self { points }
    }

    /// Returns the members that own a key, the first owner first, each once in a row.
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
