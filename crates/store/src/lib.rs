//! Access to the platform's table service, object store and VM list, and the data stored there.
//!
//! [`Table`], [`ObjectStore`] and [`VmList`] are the interfaces; [`http::Client`] implements them
//! for the real services. On top of them, [`accounts`], [`billing`], [`claims`] and [`config`] make
//! each change idempotent: if the answer is lost after a write took effect, repeating the call
//! returns it.

pub mod accounts;
pub mod billing;
pub mod claims;
pub mod config;
pub mod head;
pub mod http;
pub mod keys;
pub mod table;
pub mod transport;
pub mod vms;

pub use table::{Commit, ObjectStore, Row, Table, TableError, Transaction};
pub use vms::{Vm, VmList, VmState};
