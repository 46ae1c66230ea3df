//! Request ids seen lately, with their bodies' fingerprints.

use fescue_core::{RequestId, TeamId};
use indexmap::IndexMap;

/// The most ids that are remembered; the oldest goes first.
const MOST: usize = 16_384;

/// Request ids seen lately on this router.
#[derive(Debug, Default)]
pub struct Recent {
    bodies: IndexMap<(TeamId, RequestId), u64>,
}

impl Recent {
    /// Notes a request; returns the fingerprint that its id had before, if it differs.
    pub fn record(&mut self, team: &TeamId, request: &RequestId, body: u64) -> Option<u64> {
        let key = (team.clone(), request.clone());
        if let Some(known) = self.bodies.get(&key) {
            return (*known != body).then_some(*known);
        }
        if self.bodies.len() >= MOST {
            self.bodies.shift_remove_index(0);
        }
        self.bodies.insert(key, body);
        None
    }
}
