//! What operators see of an upstream.

use fescue_core::{DataCentreId, SoftwareVersion, UpstreamId, record};

record! {
    /// The state of one upstream in the operators' API.
    pub struct Snapshot {
        /// The upstream's name in the rules.
        pub name: UpstreamId,
        /// The data centre that the upstream is in.
        pub data_centre: DataCentreId,
        /// The number of this router's requests that are running there.
        pub own: u32,
        /// The estimated number of requests of all routers there.
        pub estimate: u32,
        /// The number of concurrent requests that the limit allows now.
        pub slots: u32,
        /// Whether it gets no new work because it is shutting down.
        pub leaving: bool,
        /// Whether it gets no new work because it is down or its circuit breaker is open.
        pub tripped: bool,
        /// The software version that it named last.
        pub software_version: Option<SoftwareVersion>,
    }
}
