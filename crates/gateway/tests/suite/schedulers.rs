//! Prompts on engines that several routers share: the questions to the homes of shards, over a network that
//! loses, repeats and cuts.

mod fleet;
mod requests;

use std::time::Duration;

use tokio::time::{Instant, sleep};

use fescue_gateway::schedulers::Outcome;
use fleet::{Fleet, LONG, SHORT, TARGET, TRIP, grant};

/// Time in which all datagrams under way arrive and are answered.
const SETTLE: Duration = Duration::from_millis(50);

/// Guards against short prompts that wait behind a long one which another router sent.
#[tokio::test(start_paused = true)]
async fn routers_avoid_an_engine_that_reads_for_another() {
    let fleet = Fleet::start(4).await;
    let (_, others) = fleet.roles().await;
    let owner = grant(fleet.ask(others[0], SHORT).await).upstream;
    let long = grant(fleet.ask(others[0], LONG).await);
    assert_eq!(long.upstream, owner, "the owner of the prefix");
    let short = grant(fleet.ask(others[1], SHORT).await);
    assert_ne!(short.upstream, owner);
    assert!(short.expected < TARGET / 2, "{:?}", short.expected);
    drop((long, short));
    sleep(SETTLE).await;
    let short = grant(fleet.ask(others[1], SHORT).await);
    assert_eq!(short.upstream, owner, "once the long prompt has ended");
}

/// Guards against an engine that counts as reading although the first event has arrived.
#[tokio::test(start_paused = true)]
async fn begun_answer_frees_its_engine() {
    let fleet = Fleet::start(4).await;
    let (_, others) = fleet.roles().await;
    let mut long = grant(fleet.ask(others[0], LONG).await);
    sleep(Duration::from_secs(1)).await;
    long.ticket.record_begun();
    sleep(SETTLE).await;
    let short = grant(fleet.ask(others[1], SHORT).await);
    assert_eq!(short.upstream, long.upstream);
}

/// Guards against requests that each wait for a home that is silent, and against a home that is skipped for ever.
#[tokio::test(start_paused = true)]
async fn silent_home_is_skipped_for_a_second() {
    let fleet = Fleet::start(4).await;
    let (home, others) = fleet.roles().await;
    fleet.network.set_cut(fleet.address(home), true);
    let asked = Instant::now();
    let first = fleet.ask(others[0], SHORT).await;
    assert!(matches!(first, Outcome::Unavailable), "{first:?}");
    // An eighth of the target.
    assert_eq!(asked.elapsed(), TARGET / 8);
    let second = grant(fleet.ask(others[0], SHORT).await);
    assert_ne!(second.ticket.home(), Some(fleet.address(home)));
    fleet.network.set_cut(fleet.address(home), false);
    sleep(Duration::from_millis(1100)).await;
    let third = grant(fleet.ask(others[0], SHORT).await);
    assert_eq!(third.ticket.home(), Some(fleet.address(home)));
}

/// Guards against questions to a router that is no longer listed.
#[tokio::test(start_paused = true)]
async fn next_home_places_when_the_first_is_gone() {
    let fleet = Fleet::start(4).await;
    let (home, others) = fleet.roles().await;
    fleet.unlist(home);
    let asked = Instant::now();
    let granted = grant(fleet.ask(others[0], SHORT).await);
    assert_ne!(granted.ticket.home(), Some(fleet.address(home)));
    assert!(asked.elapsed() <= 2 * TRIP + Duration::from_millis(2));
}

/// Guards against one lost answer that sends the request to the engine that the router's own view selects.
#[tokio::test(start_paused = true)]
async fn lost_answer_comes_again() {
    let fleet = Fleet::start(4).await;
    let (home, others) = fleet.roles().await;
    fleet.network.lose("placed", 1);
    let granted = grant(fleet.ask(others[0], LONG).await);
    assert_eq!(granted.ticket.home(), Some(fleet.address(home)));
    assert_eq!(fleet.reading(home), LONG.input, "placed once");
}

/// Guards against a repeated question that is placed a second time, which nobody would end.
#[tokio::test(start_paused = true)]
async fn repeated_datagrams_place_once() {
    let fleet = Fleet::start(4).await;
    let (home, others) = fleet.roles().await;
    fleet.network.set_repeat(true);
    let granted = grant(fleet.ask(others[0], LONG).await);
    sleep(SETTLE).await;
    assert_eq!(fleet.reading(home), LONG.input);
    drop(granted);
    sleep(SETTLE).await;
    assert_eq!(fleet.reading(home), 0);
}

/// Guards against engines that stay occupied because the report of an end was lost.
#[tokio::test(start_paused = true)]
async fn placement_expires_when_its_end_is_lost() {
    let fleet = Fleet::start(4).await;
    let (home, others) = fleet.roles().await;
    fleet.network.lose("progress", 1);
    drop(grant(fleet.ask(others[0], LONG).await));
    sleep(SETTLE).await;
    assert_eq!(fleet.reading(home), LONG.input);
    sleep(LONG.deadline).await;
    let _short = grant(fleet.ask(others[0], SHORT).await);
    assert!(fleet.reading(home) <= SHORT.input);
}

/// Guards against a report that goes to the present home instead of the one that placed the request.
#[tokio::test(start_paused = true)]
async fn end_is_reported_to_the_home_that_placed() {
    let fleet = Fleet::start(4).await;
    let (home, others) = fleet.roles().await;
    let long = grant(fleet.ask(others[0], LONG).await);
    fleet.unlist(home);
    let short = grant(fleet.ask(others[0], SHORT).await);
    // The new home starts without what the former one knew.
    assert_ne!(short.ticket.home(), long.ticket.home());
    assert_eq!(short.upstream, long.upstream);
    drop(long);
    sleep(SETTLE).await;
    assert_eq!(fleet.reading(home), 0);
}

/// Guards against a placement that stays at the home because the caller left before the answer arrived, also
/// if the first report of its end is lost.
#[tokio::test(start_paused = true)]
async fn caller_that_leaves_frees_the_engine() {
    for lost in [0, 1] {
        let fleet = Fleet::start(4).await;
        let (home, others) = fleet.roles().await;
        fleet.network.lose("progress", lost);
        let asking = tokio::time::timeout(TRIP + TRIP / 2, fleet.ask(others[0], LONG));
        assert!(asking.await.is_err(), "the answer has not arrived");
        assert_eq!(fleet.reading(home), LONG.input, "it was placed");
        sleep(SETTLE).await;
        assert_eq!(fleet.reading(home), 0, "{lost} reports lost");
    }
}

/// Guards against a home with the setting off that holds up routers with it on, as during a rollout.
#[tokio::test(start_paused = true)]
async fn home_with_setting_off_is_skipped() {
    let fleet = Fleet::start(4).await;
    let (home, others) = fleet.roles().await;
    let off = Fleet::start_with(4, &[home]).await;
    let asked = Instant::now();
    let first = off.ask(others[0], SHORT).await;
    assert!(matches!(first, Outcome::Unavailable), "{first:?}");
    assert!(asked.elapsed() <= 2 * TRIP + Duration::from_millis(2));
    let second = grant(off.ask(others[0], SHORT).await);
    assert_ne!(second.ticket.home(), Some(off.address(home)));
}
