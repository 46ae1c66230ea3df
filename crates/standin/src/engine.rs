//! Stand-in for a model engine.
//!
//! It models batching, a prefix cache, priorities, resumption, cancellation and injected faults.

mod batch;
mod routes;
mod stream;

pub use batch::{Engine, EngineFaults, Load, Profile};
pub use routes::router;
pub use stream::completion_token;
