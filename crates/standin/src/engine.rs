//! Stand-in for a model engine.
//!
//! It models batching, a prefix cache, priorities, resumption at its own software version, cancellation and injected faults.

mod batch;
mod routes;
mod stream;

pub use batch::{DEFAULT_VERSION, Engine, EngineFaults, Load, Profile};
pub use routes::router;
pub use stream::completion_token;
