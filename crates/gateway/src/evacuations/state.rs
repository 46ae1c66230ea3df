//! The order of what the store and other routers tell of evacuations.

use std::time::Duration;

use fescue_core::{DataCentreId, Era};
use indexmap::{IndexMap, IndexSet};
use tokio::time::Instant;

use super::EvacuationFinding;

/// Time for which an evacuation that a copy of the store lacks stays in force: the operator rewrites it by
/// then.
const HOLD_TIME: Duration = Duration::from_secs(10);

/// Maximum number of data centres that are remembered, several times that of the largest fleet. Evacuations
/// in force are never forgotten.
const MAX_RECORDS: usize = 64;

/// A version of the store. The versions of different eras can't be compared, so the era comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Stamp {
    pub era: Option<Era>,
    pub version: u64,
}

/// The latest known change of an evacuation.
#[derive(Debug)]
struct Record {
    stamp: Stamp,
    active: bool,
    /// When the evacuation ends unless it is listed again; `None` if the store has it.
    held_until: Option<Instant>,
}

/// What is known of the evacuations of all data centres.
#[derive(Debug, Default)]
pub(super) struct State {
    records: IndexMap<DataCentreId, Record>,
    /// The version up to which the feed has told all changes; `None` before the first list.
    pub read: Option<Stamp>,
    /// The data centres whose changes other routers have not been told.
    pub changed: IndexSet<DataCentreId>,
    /// The data centres that have other routers.
    pub routers: IndexSet<DataCentreId>,
    /// The evacuations whose beginning was logged.
    pub begun: IndexSet<DataCentreId>,
    /// The evacuations of unknown data centres, which were logged.
    pub warned: IndexSet<DataCentreId>,
}

impl State {
    /// Returns whether a data centre is evacuated.
    pub fn is_active(&self, data_centre: &DataCentreId) -> bool {
        let record = self.records.get(data_centre);
        record.is_some_and(|record| record.active)
    }

    /// Returns the data centres that are evacuated.
    pub fn active(&self) -> IndexSet<DataCentreId> {
        let active = self.records.iter().filter(|(_, record)| record.active);
        active.map(|(data_centre, _)| data_centre.clone()).collect()
    }

    /// Returns whether the latest change of a data centre is newer than a version of the store.
    pub fn is_newer(&self, data_centre: &DataCentreId, stamp: Stamp) -> bool {
        let record = self.records.get(data_centre);
        record.is_some_and(|record| record.stamp > stamp)
    }

    /// Records a change.
    pub fn set(&mut self, data_centre: &DataCentreId, stamp: Stamp, active: bool) {
        self.insert(data_centre, stamp, active, None);
    }

    fn insert(
        &mut self,
        data_centre: &DataCentreId,
        stamp: Stamp,
        active: bool,
        held_until: Option<Instant>,
    ) {
        if !self.records.contains_key(data_centre) && self.records.len() >= MAX_RECORDS {
            let ended = self.records.values().position(|record| !record.active);
            ended.and_then(|index| self.records.shift_remove_index(index));
        }
        let record = Record {
            stamp,
            active,
            held_until,
        };
        self.records.insert(data_centre.clone(), record);
    }

    /// Ends the evacuations that a list lacks. Those that were known before the store came back from a copy
    /// are held instead.
    pub fn end_unlisted(&mut self, listed: &IndexSet<&DataCentreId>, read: Stamp, copied: bool) {
        let until = Instant::now() + HOLD_TIME;
        let unlisted = |data_centre: &DataCentreId| !listed.contains(data_centre);
        for (data_centre, record) in &mut self.records {
            if !record.active || !unlisted(data_centre) {
                continue;
            }
            let lost = match read.era {
                Some(_) => record.stamp.era < read.era,
                None => copied,
            };
            if lost {
                record.held_until.get_or_insert(until);
            } else if record.stamp <= read {
                (record.stamp, record.active) = (read, false);
            }
        }
    }

    /// Ends the evacuations whose time is over.
    pub fn expire(&mut self, now: Instant) {
        let Some(read) = self.read else { return };
        for record in self.records.values_mut() {
            if record.held_until.is_some_and(|until| until <= now) {
                *record = Record {
                    stamp: read,
                    active: false,
                    held_until: None,
                };
            }
        }
    }

    /// Takes over what another router knows, unless this one knows better.
    pub fn receive(&mut self, finding: &EvacuationFinding) {
        let EvacuationFinding {
            data_centre,
            active,
            ..
        } = finding;
        let stamp = Stamp {
            era: finding.era,
            version: finding.version,
        };
        let known = self.records.get(data_centre);
        if known.is_some_and(|known| known.stamp >= stamp) {
            return;
        }
        let held = known.is_some_and(|known| known.held_until.is_some());
        match self.read {
            // What the feed has told is later. The sender learns it from the record.
            Some(read) if stamp.era == read.era && stamp <= read => {
                if held && !active || *active && !self.is_active(data_centre) {
                    self.set(data_centre, read, false);
                }
            }
            // The store came back from a copy, which lacks this evacuation.
            Some(read) if stamp.era < read.era && *active => {
                let until = Instant::now() + HOLD_TIME;
                let until = known.and_then(|known| known.held_until).unwrap_or(until);
                self.insert(data_centre, stamp, true, Some(until));
            }
            _ => self.set(data_centre, stamp, *active),
        }
    }

    /// Returns the latest changes of the selected data centres.
    pub fn findings(&self, selected: impl Fn(&DataCentreId) -> bool) -> Vec<EvacuationFinding> {
        let records = self.records.iter();
        let records = records.filter(|(data_centre, _)| selected(data_centre));
        let finding = |(data_centre, record): (&DataCentreId, &Record)| EvacuationFinding {
            data_centre: data_centre.clone(),
            era: record.stamp.era,
            version: record.stamp.version,
            active: record.active,
        };
        records.map(finding).collect()
    }
}
