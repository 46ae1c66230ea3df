//! Bills that were stored lately, for a table that comes back from a copy without them.

use std::collections::VecDeque;
use std::time::Duration;

use fescue_policy::bills::{Bill, BillId};

/// How long a stored bill is kept, well above the age of any copy.
const RETENTION: Duration = Duration::from_secs(300);

/// Stored bills, the oldest first.
#[derive(Debug, Default)]
pub struct Retained {
    bills: VecDeque<(Duration, Bill)>,
}

impl Retained {
    /// Adds a bill that was stored at `now`, and removes those that are too old.
    pub fn push(&mut self, now: Duration, bill: Bill) {
        let is_old = |(at, _): &(Duration, Bill)| now.saturating_sub(*at) > RETENTION;
        while self.bills.front().is_some_and(is_old) {
            self.bills.pop_front();
        }
        self.bills.push_back((now, bill));
    }

    /// Removes a bill that the table doesn't have to hold.
    pub fn remove(&mut self, id: BillId) {
        self.bills.retain(|(_, bill)| bill.id != id);
    }

    /// Returns the bills that were stored lately.
    pub fn bills(&self) -> Vec<Bill> {
        self.bills.iter().map(|(_, bill)| bill.clone()).collect()
    }
}
