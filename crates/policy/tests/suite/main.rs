//! Checks and figures of the pure decisions.

mod limits;
mod load;
mod placement;
mod quarantine;
mod queue;
mod witness;
