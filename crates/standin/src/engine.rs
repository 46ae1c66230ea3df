//! A model engine's stand-in: batching, a prefix cache, priorities, resume, cancel and faults.

mod batch;
mod routes;
mod stream;

pub use batch::{Engine, EngineFaults, Load, Profile};
pub use routes::router;
pub use stream::completion_token;
