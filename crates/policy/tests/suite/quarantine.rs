//! Requests that bring upstreams down, and those that were only there.

use std::time::Duration;

use fescue_policy::quarantine::{Standing, Suspects};

const NOW: Duration = Duration::from_secs(100);

#[test]
fn two_crashes_make_a_request_guilty() {
    let mut suspects = Suspects::default();
    assert_eq!(suspects.standing(1, NOW), Standing::Clear);
    suspects.record_crash(1, NOW);
    assert_eq!(suspects.standing(1, NOW), Standing::Suspect);
    suspects.record_crash(1, NOW);
    assert_eq!(suspects.standing(1, NOW), Standing::Quarantined);
    suspects.clear(1);
    assert_eq!(
        suspects.standing(1, NOW),
        Standing::Quarantined,
        "a good end comes too late"
    );
}

#[test]
fn good_end_clears_a_suspect() {
    let mut suspects = Suspects::default();
    suspects.record_crash(1, NOW);
    suspects.clear(1);
    suspects.record_crash(1, NOW);
    assert_eq!(suspects.standing(1, NOW), Standing::Suspect);
}

#[test]
fn peers_word_counts_where_it_is_more() {
    let mut suspects = Suspects::default();
    suspects.merge(1, 2, NOW);
    suspects.merge(1, 1, NOW);
    assert_eq!(suspects.standing(1, NOW), Standing::Quarantined);
    let hours = NOW + Duration::from_secs(7200);
    assert_eq!(
        suspects.standing(1, hours),
        Standing::Clear,
        "it is forgotten"
    );
}
