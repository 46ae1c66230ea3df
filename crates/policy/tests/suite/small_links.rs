//! A caller that is larger than the link of a small router, in a data centre with few large links.

mod data_centre;
mod report;
mod requests;

use data_centre::DataCentre;
use report::LARGE;

/// 25 routers with 10 Mbit/s and two with 200, in megabits per second.
fn links(large: [usize; 2]) -> Vec<f64> {
    let mut links = vec![10.0; 27];
    large.into_iter().for_each(|index| links[index] = 200.0);
    links
}

/// A day is too bad to count if more than six tenths of the requests are refused or fail.
const MIN_SERVED: f64 = 0.4;

/// The balancer uses all routers if fewer than half of 27 are ready.
const MAX_REMOVED: usize = 13;

/// A team is starved if it is served less than a quarter as often as all.
const MIN_PART: f64 = 0.25;

/// The first thirteen routers that the balancer offers to a caller of 300 requests a second have links of
/// 10 Mbit/s. Guards against refused requests whose bodies fill the link, and that come back to the next
/// router all at once.
#[test]
fn large_caller_is_served_while_it_searches() {
    for seed in 0..4 {
        let mut centre = DataCentre::open(&links([13, 20]), 300.0, seed);
        let report = centre.run(25.0);
        assert!(report.served(LARGE) >= MIN_SERVED, "seed {seed}: {report}");
        assert!(report.others() >= 0.9, "seed {seed}: {report}");
        assert!(report.removed <= MAX_REMOVED, "seed {seed}: {report}");
    }
}

/// No router with a large link is left, as when both have failed: small ones share the caller.
#[test]
fn large_caller_is_shared_by_small_links() {
    for seed in 0..4 {
        let mut centre = DataCentre::open(&[10.0; 27], 300.0, seed);
        let report = centre.run(60.0);
        assert!(report.served(LARGE) >= MIN_SERVED, "seed {seed}: {report}");
        let part = report.served(LARGE) / report.others();
        assert!(part >= MIN_PART, "seed {seed}: {report}");
        assert!(report.others() >= 0.9, "seed {seed}: {report}");
        assert!(report.removed <= MAX_REMOVED, "seed {seed}: {report}");
    }
}

/// After a loss of all routers those that were crowded stay away, and the caller reaches others. Guards
/// against more than half of a data centre away at the same time, when the balancer uses all.
#[test]
fn large_caller_is_served_after_a_loss_of_all() {
    for seed in 0..4 {
        let mut centre = DataCentre::open(&links([12, 13]), 300.0, seed);
        centre.run(34.0);
        centre.restart_all();
        let report = centre.run(20.0);
        assert!(report.served(LARGE) >= MIN_SERVED, "seed {seed}: {report}");
        assert!(report.removed <= MAX_REMOVED, "seed {seed}: {report}");
    }
}
