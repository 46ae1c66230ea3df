//! The state of the upstreams as this router sees it, and the HTTP client for calls to them.

mod call;
mod connector;
mod events;
mod handle;
mod load;
mod snapshot;
mod state;

pub use call::{Call, Client, Reply, is_declined, named_limit, software_version};
pub use events::Events;
pub use handle::Handle;
pub use load::LoadPoller;
pub use snapshot::Snapshot;
pub use state::{State, Upstreams};
