//! The software version that an upstream named last, which decides what answers may go on there.

use std::time::Duration;

use fescue_core::{SoftwareVersion, UpstreamId};

use super::{State, UNKNOWN_INCARNATION, Upstreams};

/// The time without reports after which a continuation doesn't wait for an upstream to come back.
const MAX_SILENCE: Duration = Duration::from_millis(1500);

impl State {
    /// Returns the software version that the upstream named last; `None` if it is unknown.
    pub fn version(&self) -> Option<&SoftwareVersion> {
        self.version.as_ref()
    }

    /// Returns whether an answer that `version` began may go on here, now or soon: the upstream named that
    /// version last, or has not reported yet, and isn't closed for long.
    pub fn may_go_on(&self, version: &SoftwareVersion, now: Duration) -> bool {
        let same = self.version() == Some(version);
        let pending = self.incarnation == UNKNOWN_INCARNATION;
        let silent = self.down_since.map(|since| now.saturating_sub(since));
        let down = silent.is_some_and(|silent| silent > MAX_SILENCE);
        (same || pending) && !self.leaving && !down
    }
}

impl Upstreams {
    /// Records the software version that an upstream named last; `None` if that can't be read.
    pub fn record_version(&mut self, name: &UpstreamId, version: Option<SoftwareVersion>) {
        if let Some(state) = self.states.get_mut(name) {
            state.version = version;
        }
    }
}
