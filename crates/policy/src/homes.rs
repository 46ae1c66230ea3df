//! Which routers keep a team's tokens for all the others.
//!
//! Tokens that are spread over many routers come in pieces too small for a request. So one router,
//! the team's home, draws for the whole fleet, and the others ask it. Rendezvous hashing over the
//! live routers names the home without messages; routers that differ about who is alive for a
//! while name different homes, which costs a detour and never a token. See
//! [docs/design/platform.md](../../../docs/design/platform.md).

use fescue_core::hash;

/// How many routers are asked in turn for a team's tokens: the home, its backup, and one more.
pub const MAX_CANDIDATES: usize = 3;

/// What a router is for a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It draws for the whole fleet.
    Home,
    /// It holds a small part, for while the home is gone.
    Backup,
    /// It asks the home, and draws for itself only where nobody answers.
    Other,
}

impl Role {
    /// Returns the role of the router that stands at a place of the ranking.
    pub const fn of_rank(rank: usize) -> Self {
        match rank {
            0 => Self::Home,
            1 => Self::Backup,
            _ => Self::Other,
        }
    }
}

/// Returns the places of the members that are asked for a key, the home first.
pub fn rank(key: u64, members: &[u64]) -> Vec<usize> {
    let mut scored: Vec<_> = members
        .iter()
        .enumerate()
        .map(|(place, member)| (hash::score(key, *member), place))
        .collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.truncate(MAX_CANDIDATES);
    scored.into_iter().map(|(_, place)| place).collect()
}
