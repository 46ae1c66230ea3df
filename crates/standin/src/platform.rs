//! Stand-in for the platform: table service, object store and VM list in memory, with faults.

mod memory;
mod routes;

pub use memory::{Faults, InMemory, Usage};
pub use routes::router;
