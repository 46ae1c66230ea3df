//! The data centres that are evacuated: no request is sent to their upstreams.
//!
//! The feed of the configuration is the primary path. Routers that can't reach the store learn of changes from
//! the findings of other routers. See [docs/design/evacuations.md](../../../docs/design/evacuations.md).

mod state;

use std::time::Duration;

use fescue_core::outcome::Reason;
use fescue_core::{DataCentreId, Era, Refusal};
use indexmap::IndexSet;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;

use self::state::{Stamp, State};
use crate::adapter::{Batch, Entry};
use crate::cold;
use crate::gateway::Gateway;
use crate::upstreams::Servers;

/// `Retry-After` of a request for which evacuations or regions leave no upstream. When an evacuation ends is
/// not known in advance.
const RETRY_AFTER_EXCLUDED: Duration = Duration::from_secs(1);

/// A change of an evacuation, as routers tell it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationFinding {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The era in which the store gave the version; `None` if the store names none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub era: Option<Era>,
    /// The store's version of the change.
    pub version: u64,
    /// Whether the data centre is evacuated.
    pub active: bool,
}

/// What is known of the evacuations of all data centres.
#[derive(Debug, Default)]
pub struct Evacuations {
    state: Mutex<State>,
    /// Notified when an evacuation begins or ends.
    pub changed: Notify,
}

impl Evacuations {
    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &DataCentreId) -> bool {
        self.state.lock().is_active(data_centre)
    }

    /// Sets the data centres that have other routers.
    pub fn set_routers(&self, data_centres: IndexSet<DataCentreId>) {
        self.state.lock().routers = data_centres;
    }

    /// Takes the changes that other routers have not been told.
    pub fn take_changed(&self) -> Vec<EvacuationFinding> {
        let mut state = self.state.lock();
        let changed = std::mem::take(&mut state.changed);
        state.findings(|data_centre| changed.contains(data_centre))
    }

    /// Returns all that is known.
    pub fn findings(&self) -> Vec<EvacuationFinding> {
        self.state.lock().findings(|_| true)
    }
}

/// Takes over what a batch of the configuration's feed says. A `list` replaces the set; `copied` says that it
/// may be older than what is known.
pub fn receive_batch(gateway: &Gateway, batch: &Batch, list: bool, copied: bool) {
    let changes = batch.entries.iter().filter_map(|entry| match entry {
        Entry::Evacuated(data_centre, version) => Some((data_centre, *version, true)),
        Entry::EvacuationEnded(data_centre, version) => Some((data_centre, *version, false)),
        _ => None,
    });
    let changes: Vec<_> = changes.collect();
    let read = Stamp {
        era: batch.era,
        version: batch.version,
    };
    update(gateway, |state| {
        let forced = copied && batch.era.is_none();
        for (data_centre, version, active) in &changes {
            let stamp = Stamp {
                version: *version,
                ..read
            };
            if forced || !state.is_newer(data_centre, read) {
                state.set(data_centre, stamp, *active);
            }
        }
        if list {
            let listed: IndexSet<_> = changes
                .iter()
                .map(|(data_centre, ..)| *data_centre)
                .collect();
            state.end_unlisted(&listed, read, copied);
        }
        state.read = Some(read);
    });
}

/// Takes over what another router knows.
pub fn receive(gateway: &Gateway, findings: &[EvacuationFinding]) {
    if findings.is_empty() {
        return;
    }
    update(gateway, |state| {
        for finding in findings {
            state.receive(finding);
        }
    });
}

/// Ends the evacuations that a copy of the store lacks and that were not listed again in time.
pub fn expire(gateway: &Gateway) {
    update(gateway, |state| state.expire(Instant::now()));
}

/// Applies a change of the state to the placement of requests.
fn update(gateway: &Gateway, change: impl FnOnce(&mut State)) {
    {
        let mut state = gateway.evacuations.state.lock();
        let before = state.active();
        change(&mut state);
        let after = state.active();
        if before == after {
            return;
        }
        for data_centre in before.difference(&after) {
            state.warned.swap_remove(data_centre);
            if state.begun.swap_remove(data_centre) {
                end(gateway, data_centre);
            }
        }
        let changed: Vec<_> = before.symmetric_difference(&after).cloned().collect();
        state.changed.extend(changed);
        gateway.servers.lock().set_evacuated(after);
    }
    review(gateway);
    gateway.changed.notify_waiters();
    gateway.evacuations.changed.notify_waiters();
    gateway.outbox.wake();
}

/// Called once when the evacuation of a data centre ends, before requests are placed there again. The caller
/// has locked the evacuations; the upstreams may be locked here.
fn end(gateway: &Gateway, data_centre: &DataCentreId) {
    let requests = gateway.servers.lock().running_in(data_centre);
    tracing::info!(%data_centre, requests, "evacuation of a data centre ends");
    cold::mark_data_centre(gateway, data_centre);
}

/// Logs the evacuations that have begun since the last call, and those of data centres that nobody knows.
///
/// A starting router reads evacuations before upstreams and routers, so a data centre counts as unknown only
/// once these are known.
pub fn review(gateway: &Gateway) {
    let complete = gateway.peers.lock().is_complete();
    let mut state = gateway.evacuations.state.lock();
    let servers = gateway.servers.lock();
    let settled = complete && !servers.is_empty();
    for data_centre in state.active() {
        if state.begun.contains(&data_centre) {
            continue;
        }
        if is_known(gateway, &state, &servers, &data_centre) {
            let requests = servers.running_in(&data_centre);
            tracing::info!(%data_centre, requests, "evacuation of a data centre begins");
            state.begun.insert(data_centre);
        } else if settled && state.warned.insert(data_centre.clone()) {
            tracing::warn!(
                %data_centre,
                "evacuation of a data centre that has no upstream and no router"
            );
        }
    }
    let count = state.begun.len();
    gateway.metrics.evacuated_data_centres.set(count as i64);
}

/// Returns whether a data centre has an upstream or a router, or is in the settings.
fn is_known(
    gateway: &Gateway,
    state: &State,
    servers: &Servers,
    data_centre: &DataCentreId,
) -> bool {
    let settings = &gateway.settings;
    settings.data_centre == *data_centre
        || settings.regions.contains_key(data_centre)
        || state.routers.contains(data_centre)
        || servers
            .iter()
            .any(|server| server.entry.data_centre == *data_centre)
}

/// Builds the refusal of a request for which evacuations or regions leave no upstream.
pub fn refuse_excluded(gateway: &Gateway) -> Refusal {
    let message = "evacuations and allowed regions leave no upstream of the service";
    Refusal::not_run(Reason::NoUpstream, message)
        .with_retry_after(gateway.retry_after(RETRY_AFTER_EXCLUDED))
}
