//! The software version that an upstream named last, which decides what answers may go on there.

use std::time::Duration;

use fescue_core::SoftwareVersion;

use super::{State, UNKNOWN_INCARNATION, Upstreams};
use crate::upstream::Handle;

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
        (same || pending) && !self.is_lost(now)
    }
}

impl Upstreams {
    /// Records the software version that an upstream named last; `None` if that can't be read.
    pub fn record_version(&mut self, handle: &Handle, version: Option<SoftwareVersion>) {
        if let Some(state) = self.current(handle) {
            state.version = version;
        }
    }
}
