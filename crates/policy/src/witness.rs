//! Records that peers keep of a router's spending, so that its unspent tokens can be refunded after
//! it dies.
//!
//! A router may spend a block of tokens only after a majority of its witnesses has recorded it. To
//! close its allowances, a peer has a majority of the witnesses refuse further blocks and report what
//! they recorded. Any two majorities share a witness, so the reports cover every block that was
//! spendable; the argument doesn't depend on clocks. The proof is in [docs/design/budgets.md](../../../docs/design/budgets.md).

use std::collections::HashMap;

use fescue_core::{BudgetId, Incarnation, Tokens, record};
use indexmap::IndexMap;

use crate::ledger::Parts;

/// The largest number of witnesses that a router names.
pub const WITNESSES: usize = 3;

/// Returns how many of `witnesses` form a majority; any two majorities share a witness.
pub const fn majority(witnesses: usize) -> usize {
    witnesses / 2 + 1
}

/// Returns how many witnesses to name when the router's own data centre has `near` peers.
///
/// Witnesses are in the router's own data centre, so that it can continue while the data centre is
/// cut off. Two witnesses would be worse than one, since both would have to answer.
pub const fn target_count(near: usize) -> usize {
    if near >= WITNESSES {
        WITNESSES
    } else if near > 0 {
        1
    } else {
        0
    }
}

record! {
    /// The totals of the blocks that a router had recorded, by budget and origin. Totals only grow.
    #[derive(Default)]
    pub struct Notes {
        totals: IndexMap<BudgetId, IndexMap<Incarnation, Tokens>>,
    }
}

impl Notes {
    /// Adds a block to the totals.
    pub fn add(&mut self, budget: &BudgetId, parts: &Parts) {
        let totals = self.totals.entry(budget.clone()).or_default();
        for part in parts.iter() {
            let total = totals.entry(part.origin).or_default();
            *total = total.saturating_add(part.amount);
        }
    }

    /// Returns the total recorded for one origin's line.
    pub fn get(&self, budget: &BudgetId, origin: Incarnation) -> Tokens {
        let totals = self.totals.get(budget);
        let total = totals.and_then(|totals| totals.get(&origin));
        total.copied().unwrap_or_default()
    }

    /// Raises one total to the value in a message; a lower value is from a late message and ignored.
    pub fn raise(&mut self, budget: &BudgetId, origin: Incarnation, total: Tokens) {
        let totals = self.totals.entry(budget.clone()).or_default();
        let known = totals.entry(origin).or_default();
        *known = (*known).max(total);
    }

    /// Raises each total to that of `other`, if that is higher.
    pub fn merge(&mut self, other: &Self) {
        for (budget, origin, total) in other.iter() {
            self.raise(budget, origin, total);
        }
    }

    /// Returns the totals recorded for one origin's lines, by budget.
    pub fn totals_of(&self, origin: Incarnation) -> IndexMap<BudgetId, Tokens> {
        let own = self.iter().filter(|(_, other, _)| *other == origin);
        own.map(|(budget, _, total)| (budget.clone(), total))
            .collect()
    }

    /// Iterates over the totals by budget and origin.
    pub fn iter(&self) -> impl Iterator<Item = (&BudgetId, Incarnation, Tokens)> {
        let rows = self.totals.iter();
        rows.flat_map(|(budget, totals)| totals.iter().map(move |(o, t)| (budget, *o, *t)))
    }
}

/// A witness's answer to a request to record totals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Noted {
    /// The totals are recorded; the witness counts towards the majority.
    Yes,
    /// The witness lacks the totals of earlier blocks and must be sent all of them first.
    Unseeded,
    /// The router's allowances were closed; it may not spend the block.
    Refused,
}

/// A witness's report to the peer that closes a router's allowances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Whether the witness holds all totals; if not, the report proves nothing.
    pub seeded: bool,
    /// The totals that the witness recorded.
    pub notes: Notes,
}

/// The record of one router at a witness.
#[derive(Clone, Debug, Default)]
struct Entry {
    /// The epoch of the witness list that the notes belong to.
    epoch: u64,
    seeded: bool,
    refused: bool,
    notes: Notes,
}

/// The notes that a router keeps for its peers, in memory only.
#[derive(Clone, Debug, Default)]
pub struct NoteStore {
    entries: HashMap<Incarnation, Entry>,
}

impl NoteStore {
    /// Records totals of `owner`; `whole` states that they include all of its totals.
    ///
    /// A witness that is named again may have missed blocks spent in between, so notes of an earlier
    /// `epoch` prove nothing until the witness has received all totals again.
    pub fn note(&mut self, owner: Incarnation, epoch: u64, notes: &Notes, whole: bool) -> Noted {
        let entry = self.entries.entry(owner).or_default();
        if entry.refused {
            return Noted::Refused;
        }
        if epoch < entry.epoch {
            return Noted::Unseeded;
        }
        if epoch > entry.epoch {
            entry.epoch = epoch;
            entry.seeded = false;
        }
        if !whole && !entry.seeded {
            return Noted::Unseeded;
        }
        entry.seeded = true;
        entry.notes.merge(notes);
        Noted::Yes
    }

    /// Refuses further notes of `owner` and reports those recorded under `epoch`.
    pub fn refuse(&mut self, owner: Incarnation, epoch: u64) -> Report {
        let entry = self.entries.entry(owner).or_default();
        entry.refused = true;
        Report {
            seeded: entry.seeded && entry.epoch == epoch,
            notes: entry.notes.clone(),
        }
    }

    /// Returns the number of routers that have a record, including refused ones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no router has a record.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes the record of a router whose row has been deleted from the table.
    pub fn forget(&mut self, owner: Incarnation) {
        self.entries.remove(&owner);
    }
}

/// Merges the reports of a closing; returns `None` if fewer than a majority of the `named` witnesses
/// sent a report that proves anything.
pub fn merge_reports(named: usize, reports: &[Report]) -> Option<Notes> {
    let seeded: Vec<_> = reports.iter().filter(|report| report.seeded).collect();
    if named == 0 || seeded.len() < majority(named) {
        return None;
    }
    let mut notes = Notes::default();
    for report in seeded {
        notes.merge(&report.notes);
    }
    Some(notes)
}
