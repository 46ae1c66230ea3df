//! Ids, quantities, rules, settings and outcomes shared by all crates of fescuedrift.
//!
//! Nothing in this crate does I/O or reads a clock, so the policy code, the router, the
//! operators' command and the stand-ins for upstreams can all use its types.
//!
//! ```
//! use fescue_core::{rules::RuleSet, Tokens};
//!
//! let report = RuleSet::parse("demo", "team yard key=00 weight=1 # asked by Awa").unwrap_err();
//! assert!(report.to_string().contains("rules"));
//! assert_eq!("12".parse::<Tokens>().unwrap(), Tokens::new(12));
//! ```

mod macros;

pub mod hash;
pub mod id;
pub mod outcome;
pub mod quantity;
pub mod report;
pub mod rules;
pub mod settings;

pub use id::{
    BudgetId, ChangeId, DataCentreId, Era, Incarnation, ModelId, RequestId, ServiceId,
    SoftwareVersion, TeamId, UpstreamId, VmId,
};
pub use outcome::{Execution, Refusal};
pub use quantity::{Priority, Tokens, Weight};
