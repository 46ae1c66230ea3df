//! The platform's table service, object store and VM list, and what fescuedrift keeps there.
//!
//! [`Table`], [`ObjectStore`] and [`VmList`] are the borders; [`http::Client`] reaches the real ones.
//! Above them, [`accounts`], [`billing`], [`claims`] and [`config`] make each change idempotent, so
//! that an answer which was lost after its write took effect is found again by repeating the call.

pub mod accounts;
pub mod billing;
pub mod claims;
pub mod config;
pub mod http;
pub mod keys;
pub mod table;
pub mod vms;

pub use table::{Commit, ObjectStore, Row, Table, TableError, Transaction};
pub use vms::{Vm, VmList, VmState};
