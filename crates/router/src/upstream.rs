//! The upstreams as this router sees them, and calls to them.

mod call;
mod frames;
mod load;
mod state;

pub use call::{Call, Caller, Reply, collect};
pub use frames::Frames;
pub use load::LoadWatch;
pub use state::{Snapshot, State, Upstreams};
