//! What else was in the prompts of requests that were open when upstreams crashed.
//!
//! A crash counts against every part of the prompts that were open, also against those that sound requests hold. Which
//! part is to blame is narrowed down from the contexts: each crash is explained by one of the parts that were open at
//! that upstream and that no answer has cleared since.

use fescue_core::{hash, record};
use indexmap::{IndexMap, IndexSet};

use super::Attempt;

/// The largest number of parts and of crashes that a context holds. A request is quarantined after fewer crashes.
const MAX_PARTS: usize = 8;
const MAX_CRASHES: usize = 4;

/// Identifies one crash of one upstream, at all routers that had requests open there.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct CrashId(u32);

impl CrashId {
    /// Returns the id of the crash of an upstream, which `process` identifies.
    pub fn new(process: &str) -> Self {
        let [first, second, third, fourth, ..] = hash::digest64(process.as_bytes()).to_le_bytes();
        Self(u32::from_le_bytes([first, second, third, fourth]))
    }
}

impl CrashId {
    /// Returns the number that the peer protocol carries.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl From<u32> for CrashId {
    fn from(number: u32) -> Self {
        Self(number)
    }
}

record! {
    /// The crashes at which a request was open, and the parts of its prompt.
    #[derive(Default)]
    pub struct Context {
        /// The crashes.
        pub crashes: Vec<CrashId>,
        /// The parts, each with the generation of evidence that the latest of these crashes adds to it.
        pub parts: Vec<(u64, u32)>,
    }
}

impl Context {
    /// Creates the context of an attempt that was open at a crash. Of many parts it keeps those with most evidence.
    pub(super) fn open(attempt: &Attempt, crash: CrashId) -> Self {
        let parts = attempt.parts.iter();
        let mut parts: Vec<_> = parts
            .map(|(part, known)| (*part, known.saturating_add(1)))
            .collect();
        parts.sort_unstable_by_key(|(part, generation)| (std::cmp::Reverse(*generation), *part));
        parts.truncate(MAX_PARTS);
        parts.sort_unstable();
        Self {
            crashes: vec![crash],
            parts,
        }
    }

    /// Adds what another context of the same request holds.
    pub(super) fn merge(&self, other: &Self) -> Self {
        let crashes = self.crashes.iter().chain(&other.crashes);
        let crashes: IndexSet<_> = crashes.copied().collect();
        let mut crashes: Vec<_> = crashes.into_iter().collect();
        crashes.sort_unstable();
        crashes.truncate(MAX_CRASHES);
        let mut parts: IndexMap<u64, u32> = IndexMap::new();
        for (part, generation) in self.parts.iter().chain(&other.parts) {
            let known = parts.entry(*part).or_default();
            *known = (*known).max(*generation);
        }
        let mut parts: Vec<_> = parts.into_iter().collect();
        parts.sort_unstable();
        parts.truncate(MAX_PARTS);
        Self { crashes, parts }
    }
}

/// Whether a request is to blame for the crashes that count against a part of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Blame {
    /// Another part than those that it holds may explain all of them.
    None,
    /// It holds all parts that can explain each of them, and each may be explained by another one as well.
    Possible,
    /// One of them can only be explained by parts that it holds, or nothing is known of them.
    Certain,
}

/// Returns whether a request that holds `held` is to blame for the crashes that count against `part`. `refuted` returns the
/// latest generation of evidence against a part that an answer has refuted.
pub(super) fn blame<'a>(
    part: u64,
    held: &[u64],
    contexts: impl Iterator<Item = &'a Context>,
    refuted: impl Fn(u64) -> u32,
) -> Blame {
    // The parts that were open at each crash, and whether the crash counts against the part.
    let mut crashes: IndexMap<CrashId, (IndexSet<u64>, bool)> = IndexMap::new();
    for context in contexts {
        let parts = context.parts.iter();
        let suspected = parts.filter(|(part, generation)| *generation > refuted(*part));
        let open: Vec<_> = suspected.map(|(part, _)| *part).collect();
        for crash in &context.crashes {
            let (all, counts) = crashes.entry(*crash).or_default();
            all.extend(&open);
            *counts |= open.contains(&part);
        }
    }
    let counted = crashes.into_values().filter(|(_, counts)| *counts);
    let mut counted = counted.map(|(open, _)| open).peekable();
    let is_held = |open: &IndexSet<u64>| open.iter().all(|part| held.contains(part));
    let mut certain = counted.peek().is_none();
    let common = counted.inspect(|open| certain |= is_held(open));
    // The parts that were open at all of these crashes.
    let common = common.reduce(|common, open| common.intersection(&open).copied().collect());
    match common {
        _ if certain => Blame::Certain,
        Some(common) if !is_held(&common) => Blame::None,
        _ => Blame::Possible,
    }
}
