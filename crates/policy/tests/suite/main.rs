//! Tests and simulations of the decision logic.

mod affinity;
mod crowding;
mod escrow;
mod homes;
mod lifetime;
mod limits;
mod link;
mod load;
mod neighbours;
mod placement;
mod quarantine;
mod queue;
mod rate_limit;
mod scheduling;
mod settlement;
mod small_links;
mod stream_times;
mod term;
mod waiting;
mod warmup;
mod window;
mod witness;
