//! Decisions of fescuedrift as pure code.
//!
//! Nothing here does I/O or reads a clock: time, randomness and what was read from the table come
//! in as arguments, so that tests and benches drive the very code that the router runs.
//!
//! The money side is [`account`] (rows in the table), [`ledger`] (what one router holds),
//! [`witness`] (what peers noted) and [`bills`] (each request once). The service side is
//! [`queue`], [`limit`], [`placement`], [`retry`] and [`quarantine`]. For the gateway, [`escrow`] and
//! [`homes`] are the money side, [`affinity`], [`window`] and [`link`] the service side.

pub mod account;
pub mod affinity;
pub mod bills;
pub mod escrow;
pub mod homes;
pub mod ledger;
pub mod limit;
pub mod link;
pub mod placement;
pub mod quarantine;
pub mod queue;
pub mod rendezvous;
pub mod retry;
pub mod sizing;
pub mod window;
pub mod witness;
