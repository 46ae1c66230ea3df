//! Stand-ins for the services around the routers: the platform, model engines and plain services.
//!
//! Each one serves the protocol of the real service on a loopback address. The platform, the engine
//! and the service accept injected faults under `/control`. The crate holds test fixtures and
//! examples and is not part of the product.

pub mod caller;
pub mod early;
pub mod engine;
pub mod platform;
pub mod server;
pub mod service;
