//! Small stand-ins of what surrounds the routers: the platform, model engines, plain services.
//!
//! Each serves its published protocol on a loopback address and takes faults at `/control`. They
//! are examples and test fixtures, not part of the product.

pub mod caller;
pub mod engine;
pub mod platform;
pub mod server;
pub mod service;
