//! Checks and figures of the pure decisions.

mod affinity;
mod escrow;
mod homes;
mod limits;
mod link;
mod load;
mod placement;
mod quarantine;
mod queue;
mod window;
mod witness;
