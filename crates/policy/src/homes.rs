//! Selection of the router that draws a team's tokens for the fleet.
//!
//! Tokens spread over many routers would be in amounts too small for a request. Therefore one router,
//! the team's home, draws for the whole fleet, and the others ask it. Rendezvous hashing over the
//! live routers selects the home without messages. Routers that temporarily disagree on which peers
//! are alive select different homes; this costs an extra hop but never loses a token. See
//! [docs/design/platform.md](../../../docs/design/platform.md).

use fescue_core::hash;

/// The largest number of routers asked in turn for a team's tokens: the home, the backup, one more.
pub const MAX_CANDIDATES: usize = 3;

/// The largest number of routers of which some draw a team's tokens while those before them can't. All others
/// never draw for want of a path, so that the writes to the store don't grow with the fleet.
pub const MAX_DRAWERS: usize = 5;

/// The role of a router for a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Draws tokens for the whole fleet.
    Home,
    /// Holds a small amount, for use while the home is down.
    Backup,
    /// Asks the home, and draws for itself only if no candidate answers.
    Other,
}

impl Role {
    /// Returns the role of the router at a position of the ranking, 0 being the home.
    pub const fn of_rank(rank: usize) -> Self {
        match rank {
            0 => Self::Home,
            1 => Self::Backup,
            _ => Self::Other,
        }
    }
}

/// Returns the indices of up to [`MAX_CANDIDATES`] members to ask for a key, the home first.
pub fn rank(key: u64, members: &[u64]) -> Vec<usize> {
    order(key, members, MAX_CANDIDATES)
}

/// Returns the indices of up to `most` members that a key selects, the first one first.
pub fn order(key: u64, members: &[u64], most: usize) -> Vec<usize> {
    let mut scored: Vec<_> = members
        .iter()
        .enumerate()
        .map(|(index, member)| (hash::score(key, *member), index))
        .collect();
    let descending = |a: &(u64, usize), b: &(u64, usize)| b.cmp(a);
    if most < scored.len() {
        scored.select_nth_unstable_by(most, descending);
        scored.truncate(most);
    }
    scored.sort_unstable_by(descending);
    scored.into_iter().map(|(_, index)| index).collect()
}
