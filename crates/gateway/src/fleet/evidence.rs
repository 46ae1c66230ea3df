//! The rows of requests and parts of prompts that crashed upstreams.

use std::time::Duration;

use fescue_core::record;
use fescue_policy::quarantine::{Context, Evidence, RETENTION, Report};
use fescue_store::table::{Put, Row, Table, TableError, Transaction};
use indexmap::IndexMap;

use crate::gateway::Gateway;

/// Key prefix of the rows.
const SUSPECT_PREFIX: &str = "fleet/suspect-";

/// Number of scans after which a row is deleted whose evidence this router knows to be cleared; the
/// router that cleared it usually deletes the row before.
const STALE_SCANS: u32 = 3;

/// Number of scans over which the routers spread the repair of rows after a return from a copy.
const REPAIR_SCANS: u32 = 3;

record! {
    /// The evidence against a request or a part of a prompt.
    struct Crashes {
        #[serde(flatten)]
        evidence: Evidence,
        /// When the evidence last changed, by the store's clock; absent in rows of older routers.
        #[serde(default)]
        at_ms: Option<u64>,
        /// See [`Report::context`].
        #[serde(default, skip_serializing_if = "Option::is_none")]
        context: Option<Context>,
    }
}

impl Crashes {
    /// Returns the age of the evidence; `None` if the row or the store doesn't tell.
    fn age(&self, table: &dyn Table) -> Option<Duration> {
        let at = Duration::from_millis(self.at_ms?);
        Some(table.clock()?.saturating_sub(at))
    }
}

/// The rows as of the last scan, compared with what this router knows.
#[derive(Debug, Default)]
pub(super) struct EvidenceRows {
    /// The evidence in the rows.
    rows: IndexMap<u64, Evidence>,
    /// For how many scans rows have held evidence that is cleared.
    stale: IndexMap<u64, u32>,
    /// The scan, counted back, at which this router writes what a copy lacks.
    repair: Option<u32>,
}

impl EvidenceRows {
    /// Starts a scan of all rows.
    pub fn start_scan(&mut self) {
        self.rows.clear();
    }

    /// Plans to write what the store has lost, at a random one of the next scans, so that what others
    /// have written by then isn't written again.
    pub fn plan_repair(&mut self) {
        self.repair = Some(rand::random_range(0..REPAIR_SCANS));
    }

    /// Takes over what a row says; returns whether it holds evidence that is too old to count. Other
    /// rows are ignored.
    ///
    /// # Errors
    ///
    /// Fails if the row can't be decoded.
    pub fn receive(&mut self, gateway: &Gateway, row: &Row) -> Result<bool, TableError> {
        let name = row.key.strip_prefix(SUSPECT_PREFIX);
        let Some(print) = name.and_then(|name| u64::from_str_radix(name, 16).ok()) else {
            return Ok(false);
        };
        let Some(crashes) = row.decode::<Crashes>()? else {
            return Ok(false);
        };
        let age = crashes.age(&*gateway.table).unwrap_or_default();
        if age >= RETENTION {
            return Ok(true);
        }
        let evidence = crashes.evidence;
        let report = Report {
            print,
            evidence,
            age,
            context: crashes.context,
        };
        gateway.suspects.lock().receive(&report, gateway.now());
        self.rows.insert(print, evidence);
        Ok(false)
    }

    /// Ends a scan; returns the hashes whose rows are to be written or deleted.
    pub fn end_scan(&mut self, gateway: &Gateway) -> Vec<u64> {
        let repair = self.repair == Some(0);
        self.repair = self.repair.and_then(|scans| scans.checked_sub(1));
        let suspects = gateway.suspects.lock();
        let cleared = |print: u64, row: &Evidence| {
            row.strength() > 0 && suspects.evidence(print).strength() == 0
        };
        let stale = self
            .rows
            .iter()
            .filter(|(print, row)| cleared(**print, row));
        let stale = stale.map(|(print, _)| (*print, self.stale.get(print).map_or(1, |n| n + 1)));
        self.stale = stale.collect();
        let old = self
            .stale
            .iter()
            .filter(|(_, scans)| repair || **scans >= STALE_SCANS);
        let mut due: Vec<_> = old.map(|(print, _)| *print).collect();
        if repair {
            let known = suspects.latest(usize::MAX, gateway.now());
            let lost = known.iter().filter(|report| {
                let row = self.rows.get(&report.print).copied().unwrap_or_default();
                report.evidence.strength() > 0 && row != report.evidence
            });
            due.extend(lost.map(|report| report.print));
        }
        if !due.is_empty() {
            tracing::info!(
                rows = due.len(),
                repair,
                "writing evidence of crashes again"
            );
        }
        due
    }
}

/// Adds the evidence against suspects to a transaction. The row of a suspect that was cleared is
/// deleted.
pub(super) fn write(
    gateway: &Gateway,
    table: &dyn Table,
    suspects: &[u64],
    transaction: &mut Transaction,
) {
    let (clock, now) = (table.clock(), gateway.now());
    for print in suspects {
        let report = gateway.suspects.lock().report(*print, now);
        let key = format!("{SUSPECT_PREFIX}{print:016x}");
        match report.filter(|report| report.evidence.strength() > 0) {
            Some(Report {
                evidence,
                age,
                context,
                ..
            }) => {
                let at = clock.map(|clock| clock.saturating_sub(age));
                let at_ms = at.map(|at| at.as_millis() as u64);
                transaction.put.push(Put::encode(
                    key,
                    &Crashes {
                        evidence,
                        at_ms,
                        context,
                    },
                ));
            }
            None => transaction.delete.push(key),
        }
    }
}
