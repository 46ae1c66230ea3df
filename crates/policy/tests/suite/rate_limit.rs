//! Tests for the rates of requests that upstreams name.

use std::time::Duration;

use fescue_policy::rate_limit::{Bucket, Claim, RequestRate, STATEMENT_TTL, Statement};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const NOW: Duration = Duration::from_secs(100);

fn rate(text: &str) -> RequestRate {
    text.parse().expect("a rate")
}

fn claim(team: u64, rank: u8) -> Claim {
    Claim { team, rank }
}

#[test]
fn parse_accepts_decimal_numbers_only() {
    assert_eq!(rate("2.7").to_string(), "2.7");
    assert_eq!(rate(" 40 ").per_second(), 40.0);
    assert!(
        rate("0").per_second() > 0.0,
        "a limit of 0 still needs probes"
    );
    for text in ["", "-1", "nan", "inf", "2,7", "3/s"] {
        assert!(text.parse::<RequestRate>().is_err(), "{text:?}");
    }
}

#[test]
fn statement_expires() {
    let statement = Statement {
        rate: Some(rate("2")),
        at: NOW,
    };
    assert_eq!(statement.limit(NOW), Some(rate("2")));
    assert_eq!(statement.limit(NOW + STATEMENT_TTL), None);
}

/// The target: in any four seconds at most one and a half times the limit, and five requests.
fn assert_within_limit(times: &[Duration], rate: RequestRate) {
    let window = Duration::from_secs(4);
    for (index, start) in times.iter().enumerate() {
        let in_window = times[index..].iter().filter(|at| **at < *start + window);
        let most = 1.5 * 4.0 * rate.per_second() + 5.0;
        let count = in_window.count();
        assert!(count as f64 <= most, "{count} requests from {start:?}");
    }
}

/// Load of more claims than the limit, over seeds and limits: the limit is kept in any window, and used.
#[test]
fn grant_keeps_to_the_rate_and_uses_it() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let limit = rate(&format!("{:.1}", rng.random_range(0.5..30.0)));
        let mut bucket = Bucket::open(NOW);
        let (mut at, mut granted) = (NOW, Vec::new());
        while at < NOW + Duration::from_secs(40) {
            at += Duration::from_millis(rng.random_range(1..40));
            let claim = claim(rng.random_range(0..5), rng.random_range(0..3));
            if bucket.grant(claim, limit, at).is_ok() {
                granted.push(at);
            }
        }
        assert_within_limit(&granted, limit);
        let used = granted.len() as f64 / (40.0 * limit.per_second());
        assert!(
            used > 0.9,
            "seed {seed}, limit {limit}: {used} of it was used"
        );
    }
}

/// A denied claim that waits for the time that it was told is granted.
#[test]
fn grant_after_the_wait_succeeds() {
    let limit = rate("2");
    let mut bucket = Bucket::open(NOW);
    assert_eq!(bucket.grant(claim(1, 0), limit, NOW), Ok(()));
    let denial = bucket.grant(claim(1, 0), limit, NOW).expect_err("a denial");
    assert!(denial.empty);
    let then = NOW + denial.wait + Duration::from_millis(1);
    assert_eq!(bucket.grant(claim(1, 0), limit, then), Ok(()));
}

/// A flood of one team must not take the whole limit from the others.
#[test]
fn grant_divides_a_limit_between_teams() {
    let limit = rate("10");
    let mut bucket = Bucket::open(NOW);
    let mut granted = [0_u32; 3];
    for step in 0..4000_u32 {
        let at = NOW + Duration::from_millis(u64::from(step) * 10);
        // The first team asks in each step, the others two and three times a second.
        let mut teams = vec![0];
        if step % 50 == 0 {
            teams.push(1);
        }
        if step % 33 == 0 {
            teams.push(2);
        }
        for team in teams {
            if bucket.grant(claim(team, 1), limit, at).is_ok() {
                granted[team as usize] += 1;
            }
        }
    }
    let [flood, second, third] = granted;
    assert!(
        second >= 68 && third >= 102,
        "85 in 100 of 80 and 121: {granted:?}"
    );
    assert!(flood >= 150, "what is left goes to the first: {granted:?}");
}

/// Urgent requests go before others when the limit is short.
#[test]
fn grant_serves_urgent_claims_first() {
    let limit = rate("5");
    let mut bucket = Bucket::open(NOW);
    let (mut urgent, mut bulk) = (0, 0);
    for step in 0..2000_u64 {
        let at = NOW + Duration::from_millis(step * 20);
        bulk += u32::from(bucket.grant(claim(step % 4, 2), limit, at).is_ok());
        if step % 20 == 0 {
            urgent += u32::from(bucket.grant(claim(step % 4, 0), limit, at).is_ok());
        }
    }
    assert!(urgent >= 80, "{urgent} of 100 urgent requests");
    assert!(bulk >= 80, "{bulk} of the others");
}

/// A home that takes over from another must not add a burst that breaks the limit.
#[test]
fn grant_by_a_successor_keeps_to_the_rate() {
    let limit = rate("3");
    let mut granted = Vec::new();
    for home in 0..10_u64 {
        let mut bucket = Bucket::open(NOW + Duration::from_secs(home * 2));
        for step in 0..200 {
            let at = NOW + Duration::from_secs(home * 2) + Duration::from_millis(step * 10);
            if bucket.grant(claim(1, 0), limit, at).is_ok() {
                granted.push(at);
            }
        }
    }
    assert_within_limit(&granted, limit);
}

#[test]
fn put_back_allows_another_request() {
    let limit = rate("1");
    let mut bucket = Bucket::open(NOW);
    assert!(bucket.grant(claim(1, 0), limit, NOW).is_ok());
    bucket.put_back();
    assert!(bucket.grant(claim(1, 0), limit, NOW).is_ok());
    assert!(bucket.grant(claim(1, 0), limit, NOW).is_err());
}
