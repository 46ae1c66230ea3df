//! The keys of the rows that fescuedrift keeps.
//!
//! What one writer owns is packed in one row, since the store may count each row as a write.

use fescue_core::{BudgetId, ChangeId, Incarnation, RequestId, ServiceId, TeamId, VmId};
use fescue_policy::bills::Bucket;

/// The prefix of all budgets.
pub const BUDGETS: &str = "budget/";

/// The prefix of all allowances.
pub const ALLOWANCES: &str = "allowance/";

/// The prefix of all changes of the rules.
pub const CHANGES: &str = "rules/change/";

/// The row with the version of the rules in force.
pub const RULES_HEAD: &str = "rules/head";

/// The row that names the newest snapshot of the rules.
pub const RULES_SNAPSHOT: &str = "rules/snapshot";

/// Names the row of a budget.
pub fn budget(id: &BudgetId) -> String {
    format!("{BUDGETS}{id}")
}

/// Names the row of a top-up.
pub fn top_up(id: &ChangeId) -> String {
    format!("topup/{id}")
}

/// Names the row of an incarnation's allowances.
pub fn allowance(owner: Incarnation) -> String {
    format!("{ALLOWANCES}{owner}")
}

/// Names the prefix of a bucket's pages.
pub fn bucket(bucket: Bucket) -> String {
    format!("bills/{bucket}/")
}

/// Names the row of a bucket's page.
pub fn page(bucket: Bucket, number: u64) -> String {
    format!("bills/{bucket}/{number:012}")
}

/// The prefix of all archived pages.
pub const ARCHIVES: &str = "archive/";

/// Names the row of some archived pages, by the first of them.
pub fn archive(bucket: Bucket, first: u64) -> String {
    format!("{ARCHIVES}{bucket}/{first:012}")
}

/// Names the row of a call that may not be repeated.
pub fn claim(service: &ServiceId, team: &TeamId, request: &RequestId) -> String {
    format!("claim/{service}/{team}/{request}")
}

/// Names the row of a change of the rules.
pub fn change(version: u64) -> String {
    format!("{CHANGES}{version:012}")
}

/// Names the row that finds a change of the rules by its id.
pub fn change_id(id: &ChangeId) -> String {
    format!("rules/id/{id}")
}

/// Names the row with the last fencing number of a VM.
pub fn fence(vm: &VmId) -> String {
    format!("fence/{vm}")
}
