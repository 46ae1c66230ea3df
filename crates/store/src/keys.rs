//! The keys of the rows that fescuedrift stores in the table.
//!
//! All data of one writer is packed into one row, since the store may count each row as a write.

use fescue_core::{BudgetId, ChangeId, Era, Incarnation, RequestId, ServiceId, TeamId, VmId};
use fescue_policy::bills::Bucket;

/// The key prefix of all budget rows.
pub const BUDGETS: &str = "budget/";

/// The key prefix of all allowance rows.
pub const ALLOWANCES: &str = "allowance/";

/// The key prefix of all changes of the rules, in the order of their versions.
pub const CHANGES: &str = "rules/change/";

/// The key of the row with the version of the rules in force.
pub const RULES_HEAD: &str = "rules/head";

/// The key of the row that names the newest snapshot of the rules.
pub const RULES_SNAPSHOT: &str = "rules/snapshot";

/// Returns the key of a budget.
pub fn budget(id: &BudgetId) -> String {
    format!("{BUDGETS}{id}")
}

/// Returns the key of a top-up.
pub fn top_up(id: &ChangeId) -> String {
    format!("topup/{id}")
}

/// Returns the key of the row with all allowances of an incarnation.
pub fn allowance(owner: Incarnation) -> String {
    format!("{ALLOWANCES}{owner}")
}

/// Returns the key prefix of a bucket's pages.
pub fn bucket(bucket: Bucket) -> String {
    format!("bills/{bucket}/")
}

/// Returns the key of a bucket's page; numbers are padded so that keys sort in their order.
pub fn page(bucket: Bucket, number: u64) -> String {
    format!("bills/{bucket}/{number:012}")
}

/// The key prefix of all rows that refer to archived pages.
pub const ARCHIVES: &str = "archive/";

/// Returns the key of the row that refers to a range of archived pages, by the number of the first.
pub fn archive(bucket: Bucket, first: u64) -> String {
    format!("{ARCHIVES}{bucket}/{first:012}")
}

/// Returns the key of the claim on a call that may not be repeated.
pub fn claim(service: &ServiceId, team: &TeamId, request: &RequestId) -> String {
    format!("claim/{service}/{team}/{request}")
}

/// Returns the key of the change that makes a version of the rules.
pub fn change(version: u64) -> String {
    format!("{CHANGES}{version:012}")
}

/// Returns the key of the row that maps the id of a change to its version.
pub fn change_id(id: &ChangeId) -> String {
    format!("rules/id/{id}")
}

/// Returns the key of the row with the last fencing number of a VM.
pub fn fence(vm: &VmId) -> String {
    format!("fence/{vm}")
}

/// Returns the key of the row that states that all routers have settled in an era.
pub fn settled(era: Era) -> String {
    format!("settled/{era}")
}
