//! What is remembered of upstreams that are no longer listed.
//!
//! When the store comes back from an older copy, it may list upstreams that have left since. See
//! [docs/design/restored-store.md](../../../../docs/design/restored-store.md).

use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::UpstreamId;
use indexmap::IndexMap;
use tokio::time::Instant;

use super::Facts;
use crate::model::Upstream;

/// Time for which the last entry of an upstream that left is remembered; longer than the age of a copy
/// that a store comes back from.
const RETENTION: Duration = Duration::from_secs(120);

/// Maximum number of upstreams that are remembered.
const MAX_DEPARTED: usize = 4096;

/// Time after which an upstream that left is used again if it stays listed. The platform removes the
/// entry of one that is silent well before.
const HOLD_TIME: Duration = Duration::from_secs(10);

/// The upstreams that have left, and those of them that a copy lists.
#[derive(Debug, Default)]
pub(super) struct Departed {
    /// The last entry of each, and when it left; the latest is the last.
    entries: IndexMap<UpstreamId, (Upstream, Instant)>,
    /// What these said in their answers.
    facts: IndexMap<UpstreamId, Arc<Facts>>,
    /// The entries from a copy, and when they may be used.
    held: IndexMap<UpstreamId, (Upstream, Instant)>,
}

impl Departed {
    /// Records that an upstream is no longer listed.
    pub fn insert(&mut self, entry: Upstream, facts: Arc<Facts>) {
        let now = Instant::now();
        let expired = |(_, at): &(Upstream, Instant)| now - *at >= RETENTION;
        while let Some((_, oldest)) = self.entries.first()
            && (expired(oldest) || self.entries.len() >= MAX_DEPARTED)
        {
            let oldest = self.entries.shift_remove_index(0);
            oldest.and_then(|(id, _)| self.facts.swap_remove(&id));
        }
        self.facts.insert(entry.id.clone(), facts);
        self.entries.shift_remove(&entry.id);
        self.entries.insert(entry.id.clone(), (entry, now));
    }

    /// Iterates over the last entries of the upstreams that left.
    pub fn entries(&self) -> impl Iterator<Item = &Upstream> {
        self.entries.values().map(|(entry, _)| entry)
    }

    /// Returns what an upstream that left said in its answers, if the entry is one of the same process.
    pub fn facts(&self, entry: &Upstream) -> Option<Arc<Facts>> {
        let (known, _) = self.entries.get(&entry.id)?;
        let facts = self.facts.get(&entry.id)?;
        known.is_same_process(entry).then(|| Arc::clone(facts))
    }

    /// Forgets an upstream that is listed again.
    pub fn forget(&mut self, id: &UpstreamId) {
        self.entries.shift_remove(id);
        self.facts.swap_remove(id);
        self.held.shift_remove(id);
    }

    /// Holds back an entry from a copy if it tells nothing new of an upstream that left; returns
    /// whether it does so.
    pub fn hold_back(&mut self, entry: &Upstream) -> bool {
        let Some((known, _)) = self.entries.get(&entry.id) else {
            return false;
        };
        if entry.compare_age(known) == Some(Ordering::Greater) {
            return false;
        }
        let usable = Instant::now() + HOLD_TIME;
        let held = self.held.entry(entry.id.clone());
        held.or_insert_with(|| (entry.clone(), usable));
        true
    }

    /// Drops an entry that was held back.
    pub fn drop_held(&mut self, id: &UpstreamId) {
        self.held.shift_remove(id);
    }

    /// Drops the entries held back that a later list lacks.
    pub fn retain_held(&mut self, listed: &[UpstreamId]) {
        self.held.retain(|id, _| listed.contains(id));
    }

    /// Takes the entries that have stayed listed.
    pub fn take_usable(&mut self) -> Vec<Upstream> {
        let now = Instant::now();
        let usable = self.held.extract_if(.., |_, (_, usable)| *usable <= now);
        usable.map(|(_, (entry, _))| entry).collect()
    }
}
