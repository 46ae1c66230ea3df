//! Tests for the detection of requests that crash upstreams.

use std::time::Duration;

use fescue_policy::quarantine::{Standing, Suspects};

const NOW: Duration = Duration::from_secs(100);

#[test]
fn record_crash_twice_quarantines() {
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
        "a completion doesn't lift a quarantine"
    );
}

#[test]
fn clear_removes_a_suspect() {
    let mut suspects = Suspects::default();
    suspects.record_crash(1, NOW);
    suspects.clear(1);
    suspects.record_crash(1, NOW);
    assert_eq!(suspects.standing(1, NOW), Standing::Suspect);
}

#[test]
fn merge_keeps_the_higher_count_until_it_expires() {
    let mut suspects = Suspects::default();
    suspects.merge(1, 2, NOW);
    suspects.merge(1, 1, NOW);
    assert_eq!(suspects.standing(1, NOW), Standing::Quarantined);
    let hours = NOW + Duration::from_secs(7200);
    assert_eq!(
        suspects.standing(1, hours),
        Standing::Clear,
        "crashes expire"
    );
}
