//! What a request or a report is recorded for.

use std::sync::Arc;

use fescue_core::rules::Upstream;

/// An upstream as the rules named it at one time.
///
/// A change of the rules may put another upstream under the name. What is recorded for this one then doesn't
/// count for the other.
#[derive(Clone, Debug)]
pub struct Handle {
    /// The upstream's entry in the rules.
    pub rule: Arc<Upstream>,
    /// The number of the upstream's state, which a new one under the same name doesn't get.
    pub(super) generation: u64,
}
