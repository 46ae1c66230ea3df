//! Detection of requests that crash the upstreams that run them.
//!
//! A request is identified by a fingerprint of its content, because callers repeat it under new ids.
//! An upstream may crash with several requests open, of which most are harmless. Therefore a request
//! is a suspect after one crash, and quarantined after two, unless it completed in between. See [docs/design/service.md](../../../docs/design/service.md).

use std::time::Duration;

use indexmap::IndexMap;

/// The number of crashes after which a request is quarantined.
pub const QUARANTINE_AFTER: u32 = 2;

/// The time for which a crash counts against a request.
const RETENTION: Duration = Duration::from_secs(3600);

/// The largest number of fingerprints that are kept.
const MAX_RECORDS: usize = 4096;

/// The status of a request with regard to crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// No crash counts against the request.
    Clear,
    /// The request was running during one crash; it may run again only in isolation.
    Suspect,
    /// The request was running during two crashes; it isn't run again.
    Quarantined,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    crashes: u32,
    at: Duration,
}

/// The requests known to one router to have been running during crashes.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: IndexMap<u64, Record>,
}

impl Suspects {
    /// Returns the status of the request with a fingerprint.
    pub fn standing(&self, fingerprint: u64, now: Duration) -> Standing {
        let record = self.records.get(&fingerprint);
        let fresh = record.filter(|r| now.saturating_sub(r.at) < RETENTION);
        match fresh.map_or(0, |r| r.crashes) {
            0 => Standing::Clear,
            crashes if crashes < QUARANTINE_AFTER => Standing::Suspect,
            _ => Standing::Quarantined,
        }
    }

    /// Records that an upstream crashed while it ran this request; returns the crashes so far.
    pub fn record_crash(&mut self, fingerprint: u64, now: Duration) -> u32 {
        let crashes = self.records.get(&fingerprint).map_or(0, |r| r.crashes) + 1;
        self.set(fingerprint, crashes, now);
        crashes
    }

    /// Takes over a peer's number of crashes if it is higher.
    pub fn merge(&mut self, fingerprint: u64, crashes: u32, now: Duration) {
        let known = self.records.get(&fingerprint).map_or(0, |r| r.crashes);
        if crashes > known {
            self.set(fingerprint, crashes, now);
        }
    }

    /// Records that a request completed, which clears it if it is only a suspect.
    pub fn clear(&mut self, fingerprint: u64) {
        let suspect = |r: &Record| r.crashes < QUARANTINE_AFTER;
        if self.records.get(&fingerprint).is_some_and(suspect) {
            self.records.shift_remove(&fingerprint);
        }
    }

    /// Iterates over the fingerprints and their numbers of crashes, to be sent to peers.
    pub fn iter(&self) -> impl Iterator<Item = (u64, u32)> {
        self.records.iter().map(|(print, r)| (*print, r.crashes))
    }

    fn set(&mut self, fingerprint: u64, crashes: u32, at: Duration) {
        self.records.insert(fingerprint, Record { crashes, at });
        if self.records.len() > MAX_RECORDS {
            self.records.shift_remove_index(0);
        }
    }
}
