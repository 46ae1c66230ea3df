//! One router of the fleet.
//!
//! A request passes through these modules in turn: [`front`] parses it, [`allowance`] reserves its
//! tokens, [`dispatch`] queues it and assigns it to an upstream, [`upstream`] makes the call,
//! [`billing`] bills it, and [`copies`] replicates the bill to peers before the caller gets the end
//! of the answer. The controllers, among them
//! [`membership`], [`config`] and [`closing`], read and write the [`blackboard`] and never call
//! each other.

pub mod admin;
pub mod allowance;
pub mod archive;
pub mod billing;
pub mod blackboard;
pub mod closing;
pub mod config;
pub mod copies;
pub mod dispatch;
pub mod drain;
pub mod front;
pub mod grace;
pub use fescue_gateway::lifecycle;
pub mod link;
pub mod lock;
pub mod membership;
pub mod metrics;
pub mod router;
pub mod secrets;
pub mod serve;
pub mod upstream;
