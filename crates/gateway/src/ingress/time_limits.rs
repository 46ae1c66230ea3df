//! The time limits of a caller's connection.

use std::time::Duration;

use crate::gateway::Gateway;

/// The time limits while no configuration has been loaded.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// How much longer than configured an idle connection is kept, so that a caller that reuses it at
/// the last moment still finds it open.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// The time that a request head may take, and the time for which a connection may be idle.
///
/// They follow the configuration while the connection is open. Between two requests the longest ones
/// apply that were in force since the first of them, as the caller may go by any of these.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimeLimits {
    pub(super) head: Duration,
    pub(super) idle: Duration,
}

impl TimeLimits {
    /// Returns the limits of the configuration in force.
    pub(super) fn current(gateway: &Gateway) -> Self {
        let limits = gateway.catalog().map(|catalog| catalog.manifest().limits);
        let head = limits.map_or(DEFAULT_TIMEOUT, |limits| limits.header_time);
        let idle = limits.map_or(DEFAULT_TIMEOUT, |limits| limits.idle_time);
        Self {
            head,
            idle: idle + IDLE_MARGIN,
        }
    }

    /// Returns the longer of each two limits.
    pub(super) fn max(self, other: Self) -> Self {
        Self {
            head: self.head.max(other.head),
            idle: self.idle.max(other.idle),
        }
    }
}
