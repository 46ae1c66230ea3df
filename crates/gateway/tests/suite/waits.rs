//! How long requests wait for tokens that other routers are late with, or don't have.

use std::time::Duration;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;

use super::cut_off::{Site, Tally, prepaid, team};
use super::mesh::{Fleet, Reach};

const ROUTERS: usize = 40;

const PREPAID: u64 = 10_000_000;

const SECOND: Duration = Duration::from_secs(1);

/// The target of the requests.
const TARGET: Duration = Duration::from_millis(500);

/// The longest wait that may end in a refusal: what a request waits, and two intervals of the timer.
const LONGEST: Duration = Duration::from_millis(640);

/// Asserts that all requests got their tokens by their target.
fn assert_in_time(name: &str, tally: &Tally) {
    println!("{name}: {tally:?}");
    assert_eq!(tally.served, tally.requests, "{name}: {tally:?}");
    assert!(tally.longest < TARGET, "{name}: {tally:?}");
}

/// Starts a fleet in which the first candidates don't know of the team: they keep questions and can't draw.
async fn start_holding(places: usize) -> Site {
    let fleet = Fleet::start(ROUTERS, &prepaid(PREPAID));
    let candidates = fleet.candidates(&team());
    for place in &candidates[..places] {
        fleet.routers[*place].budget.set_prepaid(IndexMap::new());
    }
    sleep(5 * SECOND).await;
    Site {
        askers: candidates[8..].to_vec(),
        fleet,
        candidates,
        rng: StdRng::seed_from_u64(3),
        consumed: 0,
    }
}

/// Guards against requests that wait for an overloaded home, one that stalls or one that is frozen for a time,
/// while the next in line could answer.
#[tokio::test(start_paused = true)]
async fn home_that_is_late_is_passed_over() {
    for (lag, places) in [(90, 3), (150, 3), (300, 2), (600, 2), (1_500, 1)] {
        let mut site = Site::start(1, ROUTERS, PREPAID).await;
        for place in 0..places {
            let lag = Duration::from_millis(lag);
            site.fleet.set_lag(site.candidates[place], lag);
        }
        let tally = site.run(4 * SECOND).await;
        assert_in_time(&format!("{lag} ms late at {places}"), &tally);
    }
}

/// Guards against requests that are refused after a loss of all three candidates: each asker then drew for itself,
/// and the many writes to one account were in conflict.
#[tokio::test(start_paused = true)]
async fn homes_that_are_lost_are_passed_over() {
    for (killed, places) in [(true, 1), (true, 3), (false, 2), (false, 3)] {
        let mut site = Site::start(1, ROUTERS, PREPAID).await;
        for place in &site.candidates[..places] {
            match killed {
                true => site.fleet.kill(*place),
                false => site.fleet.set_cut(*place, true),
            }
        }
        let tally = site.run(4 * SECOND).await;
        assert_in_time(&format!("{places} lost, killed: {killed}"), &tally);
    }
}

/// Guards against a home that keeps all questions although it can't draw, and refuses a whole team that way.
#[tokio::test(start_paused = true)]
async fn home_that_only_holds_questions_is_passed_over() {
    for places in 1..=3 {
        let tally = start_holding(places).await.run(4 * SECOND).await;
        assert_in_time(&format!("{places} hold questions"), &tally);
    }
}

/// Guards against long waits that end in a refusal if no candidate can draw, and against a refusal as exhausted
/// while nobody knows the account.
#[tokio::test(start_paused = true)]
async fn candidates_that_all_hold_questions_refuse_early() {
    let tally = start_holding(5).await.run(4 * SECOND).await;
    println!("all hold questions: {tally:?}");
    assert!(tally.longest_refused <= LONGEST, "{tally:?}");
    assert_eq!(tally.exhausted, 0, "{tally:?}");
}

/// Guards against requests that are told to wait for what the home's license will allow, together with many others
/// that get it first: they were refused after up to three seconds. The license is for an idle team.
#[tokio::test(start_paused = true)]
async fn outage_refuses_early_what_the_license_will_not_cover() {
    for reach in [Reach::Refused, Reach::Silent] {
        let mut site = Site::open(7, ROUTERS, PREPAID / 4).await;
        site.cut(0..ROUTERS, reach);
        sleep(SECOND).await;
        let tally = site.run(5 * SECOND).await;
        println!("outage, {reach:?}: {tally:?}");
        assert!(tally.longest_refused <= LONGEST, "{tally:?}");
    }
}

/// Guards against a backup that refuses its own callers as exhausted, because the account is empty, while the home that
/// has no path to the store holds the rest of the team's tokens.
#[tokio::test(start_paused = true)]
async fn backup_asks_a_home_that_cannot_draw_before_it_refuses() {
    let tokens = 1_500_000;
    let mut site = Site::start(6, ROUTERS, tokens).await;
    site.askers = vec![site.candidates[1]];
    site.cut([0], Reach::Refused);
    sleep(3 * SECOND).await;
    let tally = site.run(8 * SECOND).await;
    println!("backup: {tally:?}, {} consumed", site.consumed);
    assert!(tally.exhausted > 0, "{tally:?}");
    assert!(site.consumed <= tokens, "{} consumed", site.consumed);
    assert!(
        site.consumed >= tokens / 100 * 95,
        "{} consumed",
        site.consumed
    );
}
