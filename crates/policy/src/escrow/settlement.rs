//! What the rows of VMs mean after the store has come back from an older copy.
//!
//! The copy holds licenses that were replaced since, so a row's license no longer bounds what its process
//! has spent. Three sources can tell, best first: the process itself, the routers that it told of its
//! licenses, and the row with an allowance for what may have been drawn since. See
//! [docs/design/restored-store.md](../../../docs/design/restored-store.md).

use std::time::Duration;

use fescue_core::{Era, Incarnation, TeamId, Tokens, VmId, record};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{Holder, License};

/// How long before the newest row a row must have been written for its process to count as dead at the
/// time of the copy: a live process renews its licenses far more often.
const DEAD_AFTER: Duration = Duration::from_secs(10);

record! {
    /// What one VM has been charged for one team.
    pub struct Charge {
        /// The team.
        #[serde(rename = "t")]
        pub team: TeamId,
        /// The license of the VM's process.
        #[serde(rename = "l")]
        pub license: License,
        /// The tokens charged to earlier processes of the VM.
        #[serde(rename = "c")]
        pub closed: Tokens,
    }
}

/// What a router tells others of its row each time it has written it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCopy {
    /// The VM that the row belongs to.
    pub vm: VmId,
    /// The era in which the row was written.
    pub era: Era,
    /// The version of the row in that era.
    pub version: u64,
    /// The process that wrote it.
    pub incarnation: Incarnation,
    /// See [`Holder::since`].
    #[serde(rename = "since_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub since: Duration,
    /// The number of teams that the row charges.
    pub teams: usize,
    /// Some of these teams.
    pub charges: Vec<Charge>,
}

/// A row as its process has reported it.
#[derive(Clone, Debug)]
struct ReportedRow {
    written: (Era, u64),
    incarnation: Incarnation,
    since: Duration,
    teams: usize,
    charges: IndexMap<TeamId, Charge>,
}

/// What one VM's process has reported of its row.
#[derive(Clone, Debug, Default)]
struct Reports {
    latest: Option<ReportedRow>,
    /// A later row, of which parts are missing.
    partial: Option<ReportedRow>,
}

/// What this router knows of the rows of other VMs.
#[derive(Clone, Debug, Default)]
pub struct RowCopies(IndexMap<VmId, Reports>);

impl RowCopies {
    /// Takes over a part of what another router told of its row. A row counts once all its parts are
    /// there.
    pub fn receive(&mut self, copy: RowCopy) {
        let written = (copy.era, copy.version);
        let reports = self.0.entry(copy.vm).or_default();
        let known = [&reports.latest, &reports.partial];
        if known
            .iter()
            .any(|row| row.as_ref().is_some_and(|row| row.written > written))
            || reports
                .latest
                .as_ref()
                .is_some_and(|row| row.written == written)
        {
            return;
        }
        let current = reports.partial.take().filter(|row| row.written == written);
        let mut row = current.unwrap_or_else(|| ReportedRow {
            written,
            incarnation: copy.incarnation,
            since: copy.since,
            teams: copy.teams,
            charges: IndexMap::new(),
        });
        let charges = copy.charges.into_iter();
        row.charges
            .extend(charges.map(|charge| (charge.team.clone(), charge)));
        match row.charges.len() >= row.teams {
            true => reports.latest = Some(row),
            false => reports.partial = Some(row),
        }
    }

    /// Iterates over the VMs whose rows grant tokens that their processes can't spend without a renewal, at
    /// rates that apply from before `limit` on, with the era and version of each row.
    pub fn stale(&self, limit: Duration) -> impl Iterator<Item = (&VmId, (Era, u64))> {
        let latest = self.0.iter().filter_map(|(vm, reports)| {
            let latest = reports.latest.as_ref()?;
            Some((vm, latest))
        });
        let stale = latest.filter(move |(_, row)| {
            let mut charges = row.charges.values();
            let held = charges.any(|charge| !charge.license.deferred().is_zero());
            held && row.since < limit
        });
        stale.map(|(vm, row)| (vm, row.written))
    }

    /// Returns the VMs of which something is known.
    pub fn vms(&self) -> impl Iterator<Item = &VmId> {
        self.0.keys()
    }

    /// Returns what a VM's row must hold by what is known here; `None` if the row, as it was read in
    /// `era` with a version, can't be improved.
    pub fn settle(&self, vm: &VmId, row: Option<(&Holder, u64)>, era: Era) -> Option<Holder> {
        let reported = self.0.get(vm)?.latest.as_ref()?;
        if reported.written.0 >= era {
            return None;
        }
        if let Some((row, version)) = row {
            let improved = match row.era() == era {
                // Without a source, its own process has settled the row.
                true => row.copied.is_some_and(|copied| copied < reported.written),
                false => row.source(version) <= reported.written,
            };
            if !improved {
                return None;
            }
        }
        let license = |charge: &Charge| (charge.team.clone(), charge.license);
        let closed = |charge: &Charge| (charge.team.clone(), charge.closed);
        Some(Holder {
            since: reported.since,
            licenses: reported.charges.values().map(license).collect(),
            closed: reported.charges.values().map(closed).collect(),
            era: Some(era),
            copied: Some(reported.written),
            ..Holder::open(reported.incarnation)
        })
    }
}

impl Holder {
    /// Creates the row of a process without licenses.
    pub fn open(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            since: Duration::ZERO,
            licenses: IndexMap::new(),
            witnesses: Vec::new(),
            closed: IndexMap::new(),
            era: None,
            copied: None,
        }
    }

    /// Returns the era in which the row was settled.
    pub fn era(&self) -> Era {
        self.era.unwrap_or(Era::FIRST)
    }

    /// Returns whether tokens of any team can't be spent before the rates apply.
    pub fn has_deferred(&self) -> bool {
        let mut licenses = self.licenses.values();
        licenses.any(|license| !license.deferred().is_zero())
    }

    /// Returns the license of a team, which is empty if the row names none.
    pub fn license(&self, team: &TeamId) -> License {
        self.licenses.get(team).copied().unwrap_or_default()
    }

    /// Returns which written row this one holds, as it was read with a version.
    fn source(&self, version: u64) -> (Era, u64) {
        self.copied.unwrap_or((self.era(), version))
    }

    /// Returns the tokens of a team that count against its account because of this VM.
    pub fn total(&self, team: &TeamId) -> Tokens {
        let closed = self.closed.get(team).copied().unwrap_or_default();
        closed.saturating_add(self.license(team).granted)
    }

    /// Returns the teams that the row names.
    pub fn teams(&self) -> impl Iterator<Item = &TeamId> {
        let closed = self.closed.keys();
        let rest = closed.filter(|team| !self.licenses.contains_key(*team));
        self.licenses.keys().chain(rest)
    }

    /// Returns the row with all licenses charged in full, since nobody can tell what its process has
    /// spent, and besides what it may have drawn since the copy was made. `newest` is the latest time
    /// from which the rates of any row apply, which tells when the copy was made. Whoever knows more can
    /// still correct the row.
    pub fn close_unknown(&self, version: u64, era: Era, clock: Duration, newest: Duration) -> Self {
        let mut settled = Self {
            era: Some(era),
            copied: Some(self.source(version)),
            ..self.clone()
        };
        let alive = self.since + DEAD_AFTER >= newest;
        let elapsed = clock.saturating_sub(self.since) + DEAD_AFTER;
        for (team, license) in std::mem::take(&mut settled.licenses) {
            let drawn = match alive {
                true => license.rate.scale(elapsed.as_secs_f64()),
                false => Tokens::ZERO,
            };
            let charged = license.granted.saturating_add(drawn);
            let closed = settled.closed.entry(team).or_default();
            *closed = closed.saturating_add(charged);
        }
        settled
    }
}
