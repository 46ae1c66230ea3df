//! Assignment of fleet-wide tasks, such as closing the allowances of a dead router, to one router.
//!
//! Every router computes the owner of a task by rendezvous hashing over the peers that it sees. Two
//! routers that see different peers may both run a task, so every task must be safe to run twice.

use fescue_core::{Incarnation, hash};

/// Returns whether `me` owns the task `key` among the routers `alive`, which needn't include `me`.
pub fn is_owner(key: u64, me: Incarnation, alive: &[Incarnation]) -> bool {
    let mine = hash::score(key, me.get());
    alive
        .iter()
        .all(|other| hash::score(key, other.get()) <= mine)
}

/// Sorts members by their rank for a key, the owner first.
pub fn sort_by_rank(key: u64, members: &mut [Incarnation]) {
    members.sort_by_key(|member| std::cmp::Reverse(hash::score(key, member.get())));
}
