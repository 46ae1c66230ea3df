//! The platform's stand-in: table service, object store and VM list, with faults.

mod memory;
mod routes;

pub use memory::{Faults, InMemory, Usage};
pub use routes::router;
