//! What peers note of a router's spending, so that its unspent tokens can go back when it is gone.
//!
//! A router may spend a block only after a majority of its witnesses noted it. Whoever closes
//! its allowances has a majority refuse it from then on and report what they noted. Two majorities
//! share a witness, so no block that was spendable is missed, with no clock in the argument. The
//! proof is in [docs/design/budgets.md](../../../docs/design/budgets.md).

use std::collections::HashMap;

use fescue_core::{BudgetId, Incarnation, Tokens, record};
use indexmap::IndexMap;

use crate::ledger::Parts;

/// The most witnesses that a router names.
pub const WITNESSES: usize = 3;

/// Returns how many of `witnesses` must agree; any two such sets share one.
pub const fn majority(witnesses: usize) -> usize {
    witnesses / 2 + 1
}

/// Returns how many witnesses to name where `near` peers stand in the router's own data centre.
///
/// They are peers of the own data centre, so that a router goes on while its data centre is cut
/// off. Two would be worse than one, since both would have to answer.
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
    /// All that a router had noted, as totals that only grow.
    #[derive(Default)]
    pub struct Notes {
        totals: IndexMap<BudgetId, IndexMap<Incarnation, Tokens>>,
    }
}

impl Notes {
    /// Adds a block.
    pub fn add(&mut self, budget: &BudgetId, parts: &Parts) {
        let totals = self.totals.entry(budget.clone()).or_default();
        for part in parts.iter() {
            let total = totals.entry(part.origin).or_default();
            *total = total.saturating_add(part.amount);
        }
    }

    /// Returns the total noted of one origin's line.
    pub fn get(&self, budget: &BudgetId, origin: Incarnation) -> Tokens {
        let totals = self.totals.get(budget);
        let total = totals.and_then(|totals| totals.get(&origin));
        total.copied().unwrap_or_default()
    }

    /// Sets one total, as a message brought it; a lower one than before is late and ignored.
    pub fn raise(&mut self, budget: &BudgetId, origin: Incarnation, total: Tokens) {
        let totals = self.totals.entry(budget.clone()).or_default();
        let known = totals.entry(origin).or_default();
        *known = (*known).max(total);
    }

    /// Takes the higher of each total.
    pub fn merge(&mut self, other: &Self) {
        for (budget, origin, total) in other.iter() {
            self.raise(budget, origin, total);
        }
    }

    /// Returns each total.
    pub fn iter(&self) -> impl Iterator<Item = (&BudgetId, Incarnation, Tokens)> {
        let rows = self.totals.iter();
        rows.flat_map(|(budget, totals)| totals.iter().map(move |(o, t)| (budget, *o, *t)))
    }
}

/// What a witness answers to a note.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Noted {
    /// It holds the note and counts towards the majority.
    Yes,
    /// It lacks the totals of earlier blocks and must be sent all of them first.
    Unseeded,
    /// The router's allowances were closed.
    Refused,
}

/// What a witness reports to whoever closes allowances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Whether it holds all totals; if not, its word proves nothing.
    pub seeded: bool,
    /// What it noted.
    pub notes: Notes,
}

/// One router's notes at a witness.
#[derive(Clone, Debug, Default)]
struct Entry {
    /// Which naming of witnesses the notes are of.
    epoch: u64,
    seeded: bool,
    refused: bool,
    notes: Notes,
}

/// The notes that a router keeps for others, in memory.
#[derive(Clone, Debug, Default)]
pub struct NoteStore {
    entries: HashMap<Incarnation, Entry>,
}

impl NoteStore {
    /// Notes totals of `owner`; `whole` says that they are all of its totals.
    ///
    /// A witness that is named anew may have missed what was spent in between, so what it noted
    /// under an earlier `epoch` counts for nothing until it has all totals again.
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

    /// Refuses `owner` from now on and reports what was noted under `epoch`.
    pub fn refuse(&mut self, owner: Incarnation, epoch: u64) -> Report {
        let entry = self.entries.entry(owner).or_default();
        entry.refused = true;
        Report {
            seeded: entry.seeded && entry.epoch == epoch,
            notes: entry.notes.clone(),
        }
    }

    /// Returns how many routers it keeps notes for.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether it keeps none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Forgets a router whose row is gone from the table.
    pub fn forget(&mut self, owner: Incarnation) {
        self.entries.remove(&owner);
    }
}

/// Merges the reports of a closing; `None` when too few of the `named` witnesses prove anything.
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
