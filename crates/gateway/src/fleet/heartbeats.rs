//! Tells live routers from dead ones by their heartbeats.
//!
//! Only a heartbeat that is new counts, not a row that has changed: when the store comes back from an
//! older copy, the rows of all routers change, and those of some are missing.

use std::net::SocketAddr;

use fescue_core::{DataCentreId, Incarnation, record};
use indexmap::IndexMap;

/// Number of scans without a new heartbeat after which a router counts as dead.
const EXPIRY_SCANS: u32 = 9;

/// Number of former processes of a VM that are remembered.
const MAX_FORMER: usize = 8;

record! {
    /// The heartbeat of a live router.
    pub(super) struct Heartbeat {
        pub incarnation: Incarnation,
        pub count: u64,
        /// Address on which it receives datagrams from other routers.
        pub address: SocketAddr,
        /// Data centre of its VM; absent in heartbeats of older routers.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub data_centre: Option<DataCentreId>,
        /// Whether it takes no new connections because it is crowded.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub withdrawn: bool,
        /// Its use of processor and link, in percent.
        #[serde(default)]
        pub busy_percent: u8,
    }
}

/// The latest heartbeat of a router.
#[derive(Debug)]
struct Seen {
    latest: Heartbeat,
    /// The former processes on the VM, whose rows a copy may hold.
    former: Vec<Incarnation>,
    /// Number of scans since the latest heartbeat was new.
    scans: u32,
}

/// The other routers, by the name of their VM.
#[derive(Debug, Default)]
pub(super) struct Heartbeats {
    seen: IndexMap<String, Seen>,
}

impl Heartbeats {
    /// Starts a scan of all rows.
    pub fn start_scan(&mut self) {
        for seen in self.seen.values_mut() {
            seen.scans = seen.scans.saturating_add(1);
        }
    }

    /// Takes a heartbeat over unless it is older than the latest one.
    pub fn receive(&mut self, vm: &str, heartbeat: Heartbeat) {
        let Some(seen) = self.seen.get_mut(vm) else {
            let seen = Seen {
                latest: heartbeat,
                former: Vec::new(),
                scans: 0,
            };
            self.seen.insert(vm.to_owned(), seen);
            return;
        };
        let restarted = heartbeat.incarnation != seen.latest.incarnation;
        let older = match restarted {
            true => seen.former.contains(&heartbeat.incarnation),
            false => heartbeat.count <= seen.latest.count,
        };
        if older {
            return;
        }
        if restarted {
            seen.former.push(seen.latest.incarnation);
            let surplus = seen.former.len().saturating_sub(MAX_FORMER);
            seen.former.drain(..surplus);
        }
        seen.latest = heartbeat;
        seen.scans = 0;
    }

    /// Removes a router whose row can't be read.
    pub fn remove(&mut self, vm: &str) {
        self.seen.shift_remove(vm);
    }

    /// Iterates over the live routers: the name of the VM and the latest heartbeat.
    pub fn live(&self) -> impl Iterator<Item = (&str, &Heartbeat)> {
        let live = self
            .seen
            .iter()
            .filter(|(_, seen)| seen.scans < EXPIRY_SCANS);
        live.map(|(vm, seen)| (vm.as_str(), &seen.latest))
    }
}
