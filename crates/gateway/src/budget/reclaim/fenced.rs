//! Whether witnesses can end the use of a row, and what it still allows once some of its witnesses refuse further use.

use std::time::Duration;

use fescue_policy::escrow::{Holder, License};
use fescue_store::table::Row;

/// What the witnesses of a row that refuse further use leave its holder.
pub(super) struct FencedRow {
    /// The longest time for which its rates can apply.
    pub term: Duration,
    /// Whether no other witness can let it spend more, so that nothing is left to be known.
    pub exact: bool,
}

impl FencedRow {
    /// Returns the row without what can't be spent of up to `limit` licenses, those with most first; `None` if nothing
    /// can be taken back.
    pub fn reduce(&self, holder: &Holder, limit: usize) -> Option<Holder> {
        let reduce = |license: &License| match self.exact {
            true => license.truncate(self.term),
            false => license.cap(self.term),
        };
        let reduced = holder.licenses.iter().map(|(team, license)| {
            let (before, after) = (license.granted, reduce(license));
            (before.saturating_sub(after.granted), team, after)
        });
        // A license that keeps all tokens is left as it is, unless nothing more will be known of it.
        let mut reduced: Vec<_> = reduced
            .filter(|(tokens, team, after)| {
                !tokens.is_zero() || self.exact && holder.license(team) != *after
            })
            .collect();
        if reduced.is_empty() {
            return None;
        }
        reduced.sort_by_key(|(tokens, ..)| std::cmp::Reverse(*tokens));
        let mut after = holder.clone();
        let reduced = reduced.into_iter().take(limit);
        let licenses = reduced.map(|(_, team, license)| (team.clone(), license));
        after.licenses.extend(licenses);
        Some(after)
    }
}

/// Returns whether the row's witnesses know how much of its licenses can have been spent. After a return of
/// the store that holds only once the process itself has written the row.
pub(super) fn is_reclaimable(row: &Row, holder: &Holder) -> bool {
    let settled = row.era.is_none_or(|era| holder.era() == era);
    settled && holder.copied.is_none() && !holder.witnesses.is_empty()
}
