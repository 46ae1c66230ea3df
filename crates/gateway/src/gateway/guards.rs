//! Guards that release what a request holds of the gateway's state when it ends.

use std::sync::Arc;

use super::Gateway;

/// A guard that counts a request as open until it is dropped.
pub struct RequestGuard(pub(super) Arc<Gateway>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.running.send_modify(|running| *running -= 1);
        self.0.metrics.running.dec();
    }
}
