//! Requests that bring down the upstreams that run them.
//!
//! A request is known by a fingerprint of its content, since its sender repeats it under new ids.
//! An upstream that dies with several requests open blames each of them only a little: a request is
//! a suspect once it was running at a crash, and guilty once it ran at two crashes, unless it also
//! ended well somewhere. See [docs/design/service.md](../../../docs/design/service.md).

use std::time::Duration;

use indexmap::IndexMap;

/// How many crashes make a request guilty.
pub const QUARANTINE_AFTER: u32 = 2;

/// How long a suspicion lasts.
const REMEMBERED: Duration = Duration::from_secs(3600);

/// The most fingerprints that are remembered.
const MOST: usize = 4096;

/// What is thought of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is held against it.
    Clear,
    /// It ran at one crash; it may run again, alone.
    Suspect,
    /// It ran at two crashes; it isn't run again.
    Quarantined,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    crashes: u32,
    at: Duration,
}

/// The suspects that one router knows of.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: IndexMap<u64, Record>,
}

impl Suspects {
    /// Returns what is thought of a fingerprint.
    pub fn standing(&self, fingerprint: u64, now: Duration) -> Standing {
        let record = self.records.get(&fingerprint);
        let fresh = record.filter(|r| now.saturating_sub(r.at) < REMEMBERED);
        match fresh.map_or(0, |r| r.crashes) {
            0 => Standing::Clear,
            crashes if crashes < QUARANTINE_AFTER => Standing::Suspect,
            _ => Standing::Quarantined,
        }
    }

    /// Notes that an upstream crashed with this request open; returns its crashes so far.
    pub fn record_crash(&mut self, fingerprint: u64, now: Duration) -> u32 {
        let crashes = self.records.get(&fingerprint).map_or(0, |r| r.crashes) + 1;
        self.set(fingerprint, crashes, now);
        crashes
    }

    /// Takes over what a peer knows, where it is more.
    pub fn merge(&mut self, fingerprint: u64, crashes: u32, now: Duration) {
        let known = self.records.get(&fingerprint).map_or(0, |r| r.crashes);
        if crashes > known {
            self.set(fingerprint, crashes, now);
        }
    }

    /// Notes that a request ended well, which clears it while it is only a suspect.
    pub fn clear(&mut self, fingerprint: u64) {
        let suspect = |r: &Record| r.crashes < QUARANTINE_AFTER;
        if self.records.get(&fingerprint).is_some_and(suspect) {
            self.records.shift_remove(&fingerprint);
        }
    }

    /// Returns the fingerprints and their crashes, for peers.
    pub fn iter(&self) -> impl Iterator<Item = (u64, u32)> {
        self.records.iter().map(|(print, r)| (*print, r.crashes))
    }

    fn set(&mut self, fingerprint: u64, crashes: u32, at: Duration) {
        self.records.insert(fingerprint, Record { crashes, at });
        if self.records.len() > MOST {
            self.records.shift_remove_index(0);
        }
    }
}
