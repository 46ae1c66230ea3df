//! Recent request ids with the fingerprints of their fingerprints.

use fescue_core::{RequestId, TeamId};
use indexmap::IndexMap;

/// The maximum number of ids kept; the oldest is evicted first.
const CAPACITY: usize = 16_384;

/// A bounded map of recent request ids on this router, used to detect reused ids.
#[derive(Debug, Default)]
pub struct Recent {
    fingerprints: IndexMap<(TeamId, RequestId), u64>,
}

impl Recent {
    /// Records a request; returns the fingerprint already recorded for its id if it differs.
    pub fn record(&mut self, team: &TeamId, request: &RequestId, body: u64) -> Option<u64> {
        let key = (team.clone(), request.clone());
        if let Some(known) = self.fingerprints.get(&key) {
            return (*known != body).then_some(*known);
        }
        if self.fingerprints.len() >= CAPACITY {
            self.fingerprints.shift_remove_index(0);
        }
        self.fingerprints.insert(key, body);
        None
    }
}
