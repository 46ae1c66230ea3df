//! Whether upstreams are cold, by id: a report may arrive before the entry of the process that it is about.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{ServiceId, UpstreamId};
use fescue_policy::warmup::{Cold, Report, Warmup};
use indexmap::IndexMap;
use parking_lot::Mutex;

use super::Servers;
use crate::model::{Service, Upstream};

/// The number of upstreams above which the warm ones that are not listed are forgotten.
const MAX_WARMTHS: usize = 4096;

/// How one upstream warms up.
#[derive(Debug, Default)]
pub struct Warmth(Mutex<Known>);

#[derive(Debug, Default)]
struct Known {
    cold: Cold,
    /// How the upstreams of its service warm up; `None` if they have no limit.
    warmup: Option<Warmup>,
}

impl Warmth {
    /// Returns how the upstream warms up and for how long it is still cold by its reports; `None` if its service
    /// has no limit for cold upstreams.
    pub(super) fn state(&self, now: Duration) -> Option<(Warmup, Option<Duration>)> {
        let known = self.0.lock();
        known
            .warmup
            .map(|warmup| (warmup, known.cold.remaining(now)))
    }

    /// Returns what is left of the latest report.
    pub fn report(&self, now: Duration) -> Option<Report> {
        self.0.lock().cold.report(now)
    }

    /// Takes a report over; returns whether it is news for other routers.
    pub fn record(&self, report: Report, now: Duration) -> bool {
        self.0.lock().cold.record(report, now)
    }

    fn mark_cold(&self, now: Duration) -> bool {
        let mut known = self.0.lock();
        let warmup = known.warmup;
        if let Some(warmup) = warmup {
            known.cold.mark(warmup.time, now);
        }
        warmup.is_some()
    }
}

/// What is known of all upstreams, and the warm-up of each service.
#[derive(Debug, Default)]
pub(super) struct Warmths {
    table: HashMap<UpstreamId, Arc<Warmth>>,
    warmups: HashMap<ServiceId, Warmup>,
}

impl Warmths {
    /// Returns what is known of the upstream with an entry.
    pub fn open(&mut self, entry: &Upstream) -> Arc<Warmth> {
        let warmth = self.table.entry(entry.id.clone()).or_default();
        warmth.0.lock().warmup = self.warmups.get(&entry.service).copied();
        Arc::clone(warmth)
    }
}

impl Servers {
    /// Takes over how the upstreams of each service warm up.
    pub fn set_warmups(&mut self, services: &IndexMap<ServiceId, Service>) {
        let warmups = services.iter();
        let warmups = warmups.filter_map(|(name, service)| Some((name.clone(), service.warmup?)));
        self.warmths.warmups = warmups.collect();
        for server in self.table.values() {
            self.warmths.open(&server.entry);
        }
    }

    /// Returns what is known of whether an upstream is cold, listed or not.
    pub fn warmth(&mut self, id: &UpstreamId, now: Duration) -> Arc<Warmth> {
        if self.warmths.table.len() >= MAX_WARMTHS {
            let listed = &self.table;
            self.warmths.table.retain(|id, warmth| {
                let cold = warmth.0.lock().cold.remaining(now);
                listed.contains_key(id) || cold.is_some()
            });
        }
        let warmth = self.warmths.table.entry(id.clone()).or_default();
        Arc::clone(warmth)
    }

    /// Takes over what an entry says of the upstream's warm-up; returns whether it is news for other routers. A
    /// `copied` entry may be older than what is known.
    pub fn record_warmup(&mut self, entry: &Upstream, copied: bool, now: Duration) -> bool {
        let warmth = self.warmth(&entry.id, now);
        let listed = self.table.get(&entry.id);
        let set_back = listed.is_some_and(|known| entry.started_at < known.entry.started_at);
        let report = Report {
            started: entry.started_at,
            sequence: entry.sequence,
            remaining: entry.warmup,
        };
        let mut known = warmth.0.lock();
        // The feed is in order, so an earlier start time is that of a clock which was set back.
        if !copied && set_back {
            known.cold.forget_process();
        }
        known.cold.record(report, now)
    }

    /// Makes all upstreams of a data centre cold for the warm-up time of their services; returns their number.
    pub fn mark_cold(&self, data_centre: &fescue_core::DataCentreId, now: Duration) -> usize {
        let servers = self.table.values();
        let there = servers.filter(|server| server.entry.data_centre == *data_centre);
        there.filter(|server| server.warmth.mark_cold(now)).count()
    }
}
