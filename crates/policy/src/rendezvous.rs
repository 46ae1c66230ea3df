//! Who does a shared duty, such as closing the allowances of a router that is gone.
//!
//! Every router works it out from the peers that it sees. Two that see different peers may both
//! do a duty, so each duty is safe to do twice.

use fescue_core::{Incarnation, hash};

/// Returns whether `me` has the duty `key` among the routers `alive`, which needn't name `me`.
pub fn is_owner(key: u64, me: Incarnation, alive: &[Incarnation]) -> bool {
    let mine = hash::score(key, me.get());
    alive
        .iter()
        .all(|other| hash::score(key, other.get()) <= mine)
}

/// Orders members for a key, the owner first.
pub fn sort_by_rank(key: u64, members: &mut [Incarnation]) {
    members.sort_by_key(|member| std::cmp::Reverse(hash::score(key, member.get())));
}
