//! Detection of requests, and of parts of prompts, that crash the upstreams that run them.
//!
//! A request is identified by a hash of its content, because callers repeat it under new ids. The parts
//! of its prompt that other requests may share are identified by hashes of their own: one of them may
//! crash upstreams in whatever request it comes.
//!
//! An upstream may crash with several requests open, of which most are harmless, and for reasons of its
//! own. Evidence therefore counts in generations: a crash adds one only to what was known when
//! the request was sent, so upstreams that crash at the same time count once, and an answer refutes
//! all that was known when its request was sent. Both numbers only grow, so routers exchange them in
//! any order.
//!
//! The parts that sound requests share with those that crash upstreams have the same evidence against them. A request
//! is refused only if it holds everything that can explain the crashes ([`context`]), so sound ones are run, and
//! their answers clear what they hold. If all requests that could clear a part are refused, one of them is run as a
//! probe now and then, unless some crash can only be explained by what it holds. See
//! [docs/design/service.md](../../../docs/design/service.md).

pub mod context;
mod progress;

use std::time::Duration;

use fescue_core::record;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use context::Blame;
pub use context::{Context, CrashId};
pub use progress::{Progress, SETTLE_TIME};

/// The generations of crashes after which a request is quarantined.
pub const REQUEST_CRASHES: u32 = 2;

/// The generations of crashes after which a part of a prompt is quarantined. It is higher than
/// [`REQUEST_CRASHES`], since a wrong decision would affect many requests.
pub const PART_CRASHES: u32 = 3;

/// The time for which a crash counts against a request, and evidence is kept.
pub const RETENTION: Duration = Duration::from_secs(3600);

/// The time for which a crash counts against a part. One more crash quarantines the part again.
const PART_RETENTION: Duration = Duration::from_secs(600);

/// The largest number of hashes that are kept.
const MAX_RECORDS: usize = 4096;

/// The time after the latest crash against a part after which one request that is refused for it is run as a probe.
/// Each crash beyond [`PART_CRASHES`] multiplies it.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
const PROBE_FACTOR: u32 = 4;

/// The delay of a probe at each router after those before it in the order that the part selects, and the number of
/// routers that are told apart.
const PROBE_TURN: Duration = Duration::from_secs(2);
const PROBE_TURNS: usize = 5;

/// The status of a request with regard to crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// No crash counts against the request.
    Clear,
    /// The request was running during one crash; it may run again only in isolation.
    Suspect,
    /// The request with this hash, or a part with this hash, is not run again.
    Quarantined(u64),
}

/// The hashes that identify a request to the quarantine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prints {
    /// The hash of the whole request.
    pub request: u64,
    /// The hashes of the parts of its prompt that other requests may share.
    pub parts: Vec<u64>,
}

record! {
    /// What is known about one hash.
    #[derive(Copy, Default)]
    pub struct Evidence {
        /// The generation of the latest crash.
        pub crashes: u32,
        /// The latest generation that an answer has refuted.
        #[serde(default)]
        pub refuted: u32,
    }
}

impl Evidence {
    /// Returns the number of generations that no answer has refuted.
    pub fn strength(self) -> u32 {
        self.crashes.saturating_sub(self.refuted)
    }

    fn merge(self, other: Self) -> Self {
        Self {
            crashes: self.crashes.max(other.crashes),
            refuted: self.refuted.max(other.refuted),
        }
    }
}

/// One attempt to run a request, with the generations known when it was sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Attempt {
    request: (u64, u32),
    parts: Vec<(u64, u32)>,
}

impl Attempt {
    /// Returns whether the prompt has parts that other requests may share.
    pub fn has_parts(&self) -> bool {
        !self.parts.is_empty()
    }
}

/// What one router tells another about one hash.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The hash of the request or part.
    pub print: u64,
    /// The evidence.
    #[serde(flatten)]
    pub evidence: Evidence,
    /// How long ago the evidence last changed.
    #[serde(rename = "age_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// What was open at the crashes of a request that counted against the parts of its prompt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub context: Option<Context>,
}

#[derive(Clone, Debug)]
struct Record {
    evidence: Evidence,
    context: Option<Context>,
    /// The end of [`RETENTION`]. The start may lie before the start of the clock.
    expires: Duration,
}

impl Record {
    /// Returns the time since the evidence last changed.
    fn age(&self, now: Duration) -> Duration {
        (now + RETENTION).saturating_sub(self.expires)
    }
}

/// The evidence known to one router.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: IndexMap<u64, Record>,
    /// When this router last ran a probe for a part.
    probes: IndexMap<u64, Duration>,
}

impl Suspects {
    /// Returns the status of a request.
    pub fn standing(&self, prints: &Prints, now: Duration) -> Standing {
        let request = self.strength(prints.request, RETENTION, now);
        if request >= REQUEST_CRASHES {
            return Standing::Quarantined(prints.request);
        }
        let mut parts = prints.parts.iter();
        let deadly = parts.find(|part| {
            self.strength(**part, PART_RETENTION, now) >= PART_CRASHES
                && self.blame(**part, &prints.parts) > Blame::None
        });
        match deadly {
            Some(part) => Standing::Quarantined(*part),
            None if request > 0 => Standing::Suspect,
            None => Standing::Clear,
        }
    }

    fn blame(&self, part: u64, held: &[u64]) -> Blame {
        let records = self.records.values();
        let contexts = records.filter_map(|record| record.context.as_ref());
        let refuted = |part| self.evidence(part).refuted;
        context::blame(part, held, contexts, refuted)
    }

    /// Returns whether a request that is refused for a `part` of its prompt, but may not be to blame, may be run as a
    /// probe, which is recorded. `turn` is the place of this router in the order that the part selects; `None` if it is
    /// not known.
    pub fn start_probe(
        &mut self,
        prints: &Prints,
        part: u64,
        turn: Option<usize>,
        now: Duration,
    ) -> bool {
        let Some(record) = self.records.get(&part) else {
            return false;
        };
        let excess = record.evidence.strength().saturating_sub(PART_CRASHES);
        let interval = PROBE_INTERVAL.saturating_mul(PROBE_FACTOR.saturating_pow(excess));
        let turn = turn.unwrap_or(PROBE_TURNS).min(PROBE_TURNS) as u32;
        let due = interval.saturating_add(PROBE_TURN * turn);
        let last = self.probes.get(&part);
        let waiting = last.is_some_and(|last| now.saturating_sub(*last) < interval);
        let early = waiting || record.age(now) < due;
        if early || self.blame(part, &prints.parts) != Blame::Possible {
            return false;
        }
        self.probes.insert(part, now);
        if self.probes.len() > MAX_RECORDS {
            self.probes.shift_remove_index(0);
        }
        true
    }

    /// Starts an attempt to run a request.
    pub fn start(&self, prints: &Prints) -> Attempt {
        let known = |print: &u64| {
            let evidence = self.evidence(*print);
            (*print, evidence.crashes.max(evidence.refuted))
        };
        Attempt {
            request: known(&prints.request),
            parts: prints.parts.iter().map(known).collect(),
        }
    }

    /// Records that the upstream of an attempt crashed; returns the hashes whose evidence has changed.
    ///
    /// Parts count only if the answer had not `settled`: a part that crashes upstreams does so when they
    /// begin to answer.
    pub fn record_crash(
        &mut self,
        attempt: &Attempt,
        crash: CrashId,
        settled: bool,
        now: Duration,
    ) -> Vec<u64> {
        let blames = !settled && attempt.has_parts();
        let context = blames.then(|| Context::open(attempt, crash));
        let parts = attempt.parts.iter().filter(|_| blames);
        let parts = parts.map(|part| (part, None));
        let implicated = std::iter::once((&attempt.request, context)).chain(parts);
        let changed = implicated.filter(|((print, known), context)| {
            let crash = Evidence {
                crashes: known.saturating_add(1),
                refuted: 0,
            };
            self.merge(*print, crash, context.as_ref(), now + RETENTION)
        });
        changed.map(|((print, _), _)| *print).collect()
    }

    /// Records that the answer of an attempt has settled, which refutes what was known against the
    /// parts; returns the hashes whose evidence has changed.
    pub fn record_begun(&mut self, attempt: &Attempt, now: Duration) -> Vec<u64> {
        let refuted = attempt.parts.iter().filter(|(print, known)| {
            let refuted = Evidence {
                crashes: 0,
                refuted: *known,
            };
            *known > 0 && self.merge(*print, refuted, None, now + RETENTION)
        });
        refuted.map(|(print, _)| *print).collect()
    }

    /// Records that the answer of an attempt is complete, which also clears the request if it is only
    /// a suspect; returns the hashes whose evidence has changed.
    pub fn record_complete(&mut self, attempt: &Attempt, now: Duration) -> Vec<u64> {
        let mut changed = self.record_begun(attempt, now);
        let (request, known) = attempt.request;
        let refuted = Evidence {
            crashes: 0,
            refuted: known,
        };
        let suspect = self.evidence(request).strength() < REQUEST_CRASHES;
        if known > 0 && suspect && self.merge(request, refuted, None, now + RETENTION) {
            changed.push(request);
        }
        changed
    }

    /// Takes over another router's report unless it is older than an hour; returns whether it is new.
    pub fn receive(&mut self, report: &Report, now: Duration) -> bool {
        let expires = (now + RETENTION).saturating_sub(report.age);
        let context = report.context.as_ref();
        expires > now && self.merge(report.print, report.evidence, context, expires)
    }

    fn merge(
        &mut self,
        print: u64,
        evidence: Evidence,
        context: Option<&Context>,
        expires: Duration,
    ) -> bool {
        let known = self.evidence(print);
        let before = self.records.get(&print);
        let before = before.and_then(|record| record.context.as_ref());
        let context_after = match (before, context) {
            (Some(before), Some(context)) => Some(before.merge(context)),
            (before, context) => before.or(context).cloned(),
        };
        let merged = known.merge(evidence);
        if merged == known && context_after.as_ref() == before {
            return false;
        }
        let record = Record {
            evidence: merged,
            context: context_after,
            expires,
        };
        self.records.insert(print, record);
        if self.records.len() > MAX_RECORDS {
            let weak = |record: &Record| record.evidence.strength() < REQUEST_CRASHES;
            let oldest = self.records.values().position(weak);
            self.records.shift_remove_index(oldest.unwrap_or(0));
        }
        true
    }

    /// Removes evidence that is older than an hour.
    pub fn expire(&mut self, now: Duration) {
        self.records.retain(|_, record| record.expires > now);
        let records = &self.records;
        self.probes.retain(|part, _| records.contains_key(part));
    }

    /// Returns the evidence about a hash.
    pub fn evidence(&self, print: u64) -> Evidence {
        let record = self.records.get(&print);
        record.map_or(Evidence::default(), |record| record.evidence)
    }

    /// Returns the number of hashes with evidence.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the report about a hash; `None` if nothing is known.
    pub fn report(&self, print: u64, now: Duration) -> Option<Report> {
        let record = self.records.get(&print)?;
        Some(Report {
            print,
            evidence: record.evidence,
            age: record.age(now),
            context: self.needed_context(record).cloned(),
        })
    }

    /// Returns the context of a request that may be needed soon: most crashes have a cause of their own, and the
    /// evidence against what was open at them is refuted.
    fn needed_context<'a>(&self, record: &'a Record) -> Option<&'a Context> {
        let context = record.context.as_ref()?;
        let mut parts = context.parts.iter();
        let needed = parts.any(|(part, _)| self.evidence(*part).strength() + 1 >= PART_CRASHES);
        needed.then_some(context)
    }

    /// Returns up to `most` reports, those that changed last first.
    pub fn latest(&self, most: usize, now: Duration) -> Vec<Report> {
        let prints = self.records.keys();
        let mut reports: Vec<_> = prints
            .filter_map(|print| self.report(*print, now))
            .collect();
        reports.sort_by_key(|report| report.age);
        reports.truncate(most);
        reports
    }

    fn strength(&self, print: u64, retention: Duration, now: Duration) -> u32 {
        let record = self.records.get(&print);
        let fresh = record.filter(|record| record.age(now) < retention);
        fresh.map_or(0, |record| record.evidence.strength())
    }
}
