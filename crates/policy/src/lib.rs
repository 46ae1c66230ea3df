//! The decision logic of fescuedrift, as pure functions and data structures.
//!
//! Nothing here does I/O or reads a clock: time, randomness and the rows read from the table are
//! arguments, so that tests and benchmarks run the same code as the router.
//!
//! Token accounting is in [`account`] (rows in the table), [`ledger`] (tokens held by one router),
//! [`witness`] (allocations recorded by peers), [`journal`] (exchanges that a restored table may have lost)
//! and [`bills`] (deduplication). Request handling is in
//! [`queue`], [`limit`], [`placement`], [`retry`] and [`quarantine`]. The gateway uses [`escrow`] and
//! [`homes`] for token accounting, and [`affinity`], [`scheduling`], [`rate_limit`], [`warmup`], [`lifetime`],
//! [`window`] and [`link`] for request handling.

pub mod account;
pub mod affinity;
pub mod bills;
pub mod claims;
pub mod crowding;
pub mod escrow;
pub mod homes;
pub mod journal;
pub mod ledger;
pub mod lifetime;
pub mod limit;
pub mod link;
pub mod placement;
pub mod quarantine;
pub mod queue;
pub mod rate_limit;
pub mod rendezvous;
pub mod retry;
pub mod scheduling;
pub mod sizing;
pub mod stream_times;
pub mod warmup;
pub mod window;
pub mod witness;
