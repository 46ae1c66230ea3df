//! Until when a license may be used, as kept by witnesses.
//!
//! A license that isn't renewed allows its initial amount. Its rate applies only until an end that the holder
//! moves ahead while the store is away, by confirmations of its witnesses: other routers, which the holder names in
//! its row. The more of them confirm, the later the end may be ([`longest_term`]). A router that takes back what a lost
//! holder can't spend any more first has the witnesses refuse further confirmations, and learns from them how far
//! the end may have moved. Those that don't answer may have confirmed any time, but few can't confirm a long one: so
//! something comes back with any number of answers but none. No step depends
//! on when the holder was last seen, so a holder that was frozen or cut off and goes on later spends only what
//! it was charged. See [docs/design/lost-vms.md](../../../../docs/design/lost-vms.md).

use std::time::Duration;

use fescue_core::{Incarnation, record};
use indexmap::IndexMap;

/// Returns the number of witnesses without which a license can still be taken back.
const fn spare(witnesses: usize) -> usize {
    witnesses / 3
}

/// The longest terms that all but one of the witnesses can confirm, all but two, and so on; the last one holds for
/// fewer as well.
const INCOMPLETE_TERMS: [Duration; 4] = [
    Duration::from_secs(30),
    Duration::from_secs(15),
    Duration::from_secs(8),
    Duration::from_secs(4),
];

/// Returns the longest time for which some of the witnesses can let the rate apply; [`Duration::MAX`] if there is no
/// limit.
pub fn longest_term(confirmations: usize, witnesses: usize) -> Duration {
    if confirmations < confirmations_needed(witnesses) {
        return Duration::ZERO;
    }
    match witnesses.saturating_sub(confirmations) {
        0 => Duration::MAX,
        missing => INCOMPLETE_TERMS[missing.min(INCOMPLETE_TERMS.len()) - 1],
    }
}

/// Returns the end of a term that begins at `since`, from the latest ends that each of some `witnesses` confirmed.
fn confirmed_end(since: Duration, witnesses: usize, mut ends: Vec<Duration>) -> Duration {
    ends.sort_unstable_by(|a, b| b.cmp(a));
    let reached = ends.into_iter().enumerate().map(|(place, end)| {
        let longest = longest_term(place + 1, witnesses);
        end.min(since.saturating_add(longest))
    });
    reached.max().unwrap_or_default().max(since)
}

/// Returns the latest end that a holder can ever reach, from the latest ends that those witnesses confirmed which
/// now refuse; [`Duration::MAX`] if there is none.
pub fn latest_end(
    since: Duration,
    witnesses: usize,
    refused: impl IntoIterator<Item = Duration>,
) -> Duration {
    let mut ends: Vec<_> = refused.into_iter().take(witnesses).collect();
    ends.resize(witnesses, Duration::MAX);
    confirmed_end(since, witnesses, ends)
}

/// Returns the least number of witnesses that must confirm an end.
pub const fn confirmations_needed(witnesses: usize) -> usize {
    spare(witnesses) + 1
}

/// Returns the number of witnesses that must refuse so that the others can't confirm anything.
pub const fn refusals_needed(witnesses: usize) -> usize {
    witnesses - spare(witnesses)
}

record! {
    /// A process that keeps until when a holder's license may be used.
    #[derive(Copy, Hash)]
    pub struct Witness {
        /// The hash of its VM's name.
        #[serde(rename = "v")]
        pub vm: u64,
        /// The process. Its successor on the VM knows nothing of what it has confirmed.
        #[serde(rename = "i")]
        pub incarnation: Incarnation,
    }
}

/// The time in which a license's rate applies, on the store's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Term {
    /// From when on it applies.
    pub since: Duration,
    /// Until when it applies. What the license allows by then can be spent later, too.
    pub end: Duration,
}

impl Term {
    /// Creates the term of a license without witnesses, which nobody takes back.
    pub const fn unbounded(since: Duration) -> Self {
        Self {
            since,
            end: Duration::MAX,
        }
    }

    /// Returns for how long the rate has applied at the time `clock`.
    pub fn elapsed(&self, clock: Duration) -> Duration {
        clock.min(self.end).saturating_sub(self.since)
    }
}

/// The licenses of one row that may be in force, as their holder knows them.
#[derive(Clone, Debug, Default)]
pub struct Generations(Vec<Generation>);

/// The licenses that were requested with one write of a row.
#[derive(Clone, Debug)]
pub struct Generation {
    /// From when on the rates apply; it identifies the generation, as it rises with each write.
    pub since: Duration,
    /// The witnesses that the row names.
    pub witnesses: Vec<Witness>,
    /// Until when each witness lets the licenses be used.
    confirmed: IndexMap<Incarnation, Duration>,
}

impl Generation {
    fn term(&self) -> Term {
        if self.witnesses.is_empty() {
            return Term::unbounded(self.since);
        }
        let ends = self.confirmed.values().copied().collect();
        Term {
            since: self.since,
            end: confirmed_end(self.since, self.witnesses.len(), ends),
        }
    }
}

impl Generations {
    /// Records a generation before it is written.
    pub fn open(&mut self, since: Duration, witnesses: Vec<Witness>) {
        self.0.push(Generation {
            since,
            witnesses,
            confirmed: IndexMap::new(),
        });
    }

    /// Returns the term of the licenses whose rates apply from `since` on. Of unknown ones only the initial
    /// amounts may be used.
    pub fn term(&self, since: Duration) -> Term {
        let known = self.0.iter().find(|known| known.since == since);
        known.map_or(Term { since, end: since }, Generation::term)
    }

    /// Drops the generations that are no longer in force.
    pub fn retain(&mut self, in_force: impl Fn(Duration) -> bool) {
        self.0.retain(|known| in_force(known.since));
    }

    /// Records that a witness lets the licenses of a generation be used until `until`. Returns their term if
    /// its end has moved.
    pub fn confirm(
        &mut self,
        since: Duration,
        witness: Incarnation,
        until: Duration,
    ) -> Option<Term> {
        let known = self.0.iter_mut().find(|known| known.since == since)?;
        let mut named = known.witnesses.iter();
        if !named.any(|named| named.incarnation == witness) {
            return None;
        }
        let before = known.term();
        let end = known.confirmed.entry(witness).or_default();
        *end = until.max(*end);
        Some(known.term()).filter(|term| *term != before)
    }

    /// Iterates over the generations that have witnesses.
    pub fn iter(&self) -> impl Iterator<Item = &Generation> {
        self.0.iter().filter(|known| !known.witnesses.is_empty())
    }
}

/// The number of holders of which a witness keeps records. The oldest make room.
const MAX_RECORDS: usize = 4096;

/// What a witness keeps of one holder.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    /// The latest end that was confirmed.
    until: Duration,
    /// The generation up to which nothing more is confirmed.
    refused: Option<Duration>,
}

/// What one process keeps as a witness of others.
#[derive(Clone, Debug, Default)]
pub struct Records {
    holders: IndexMap<Incarnation, Record>,
    /// What holds for all holders whose records made room.
    dropped: Record,
}

impl Records {
    /// Lets a holder use the licenses of a generation until `until`; returns whether that is confirmed.
    pub fn confirm(&mut self, holder: Incarnation, since: Duration, until: Duration) -> bool {
        let record = self.record(holder);
        if record.refused >= Some(since) {
            return false;
        }
        record.until = record.until.max(until);
        true
    }

    /// Refuses all that a holder asks for its licenses up to a generation from now on; returns the latest
    /// end that was confirmed.
    pub fn refuse(&mut self, holder: Incarnation, since: Duration) -> Duration {
        let record = self.record(holder);
        record.refused = record.refused.max(Some(since));
        record.until
    }

    fn record(&mut self, holder: Incarnation) -> &mut Record {
        if !self.holders.contains_key(&holder) {
            if self.holders.len() >= MAX_RECORDS {
                for (_, old) in self.holders.drain(..MAX_RECORDS / 2) {
                    self.dropped.until = self.dropped.until.max(old.until);
                    self.dropped.refused = self.dropped.refused.max(old.refused);
                }
            }
            self.holders.insert(holder, self.dropped);
        }
        &mut self.holders[&holder]
    }
}
