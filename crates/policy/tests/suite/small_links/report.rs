//! What became of the requests of a run.

use std::fmt;

/// Number of callers with few requests.
pub const SMALL_CALLERS: usize = 60;

/// The place of the large caller.
pub const LARGE: usize = 0;

/// What became of the requests of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The requests of each caller, and those that were answered.
    pub offered: Vec<f64>,
    pub answered: Vec<f64>,
    /// What the requests were worth, and what was earned.
    pub owed: Vec<f64>,
    pub earned: Vec<f64>,
    /// The largest number of routers that the balancer had removed at the same time.
    pub removed: usize,
}

impl Report {
    pub fn open() -> Self {
        let none = vec![0.0; SMALL_CALLERS + 1];
        Self {
            offered: none.clone(),
            answered: none.clone(),
            owed: none.clone(),
            earned: none,
            removed: 0,
        }
    }

    /// Returns the part of a caller's requests that were answered before it gave up.
    pub fn served(&self, caller: usize) -> f64 {
        self.answered[caller] / self.offered[caller]
    }

    /// Returns the same of all small callers.
    pub fn others(&self) -> f64 {
        let others = LARGE + 1..;
        self.answered[others.clone()].iter().sum::<f64>() / self.offered[others].iter().sum::<f64>()
    }

    /// Returns the part of what is owed to all callers that they got; late answers are worth less.
    pub fn credit(&self) -> f64 {
        self.earned.iter().sum::<f64>() / self.owed.iter().sum::<f64>()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (large, others) = (self.served(LARGE), self.others());
        write!(
            f,
            "{large:.2} of the large caller's requests served, {others:.2} of the others'; {:.2} of all credit, {:.2} \
             of the large caller's; {} removed at most",
            self.credit(),
            self.earned[LARGE] / self.owed[LARGE],
            self.removed
        )
    }
}
