//! Told stories of routers that die, freeze or are cut off for good, and of the money they held.

use fescue_policy::account::AccountError;
use fescue_store::TableError;

use crate::fleet::{Fleet, budget};

/// A router dies after the last byte and before its flush: the peers' copies bill the request.
#[tokio::test(start_paused = true)]
async fn killed_before_flush_is_billed_from_copies() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-2"]).await;
    fleet.top_up("first", 1000).await.expect("the store is up");
    let held = fleet.node(0).reserve(100).await.expect("it is covered");
    fleet.node(0).finish(held, "r-1", 60).await;
    fleet.kill(0);
    assert!(fleet.bills().await.is_empty(), "nothing was stored");
    fleet.heal().await;
    fleet.check().await;
    assert_eq!(fleet.bills().await.get("r-1"), Some(&60));
}

/// A router dies mid-stream and the caller sends the request again, twice at the same time.
#[tokio::test(start_paused = true)]
async fn retried_on_two_routers_is_billed_once() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-2"]).await;
    fleet.top_up("first", 1000).await.expect("the store is up");
    let _cut_off = fleet.node(0).reserve(100).await.expect("it is covered");
    fleet.kill(0);
    let second = fleet.node(1).reserve(100).await.expect("it is covered");
    let third = fleet.node(2).reserve(100).await.expect("it is covered");
    fleet.node(1).finish(second, "r-1", 80).await;
    fleet.node(2).finish(third, "r-1", 90).await;
    fleet.heal().await;
    fleet.check().await;
    let bills = fleet.bills().await;
    assert!(
        bills.len() == 1 && [80, 90].contains(&bills["r-1"]),
        "{bills:?}"
    );
}

/// A dead router's tokens that no witness noted go back without anybody's word.
#[tokio::test(start_paused = true)]
async fn killed_returns_what_was_not_noted() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-1", "dakar-1"]).await;
    fleet
        .top_up("first", 1_000_000)
        .await
        .expect("the store is up");
    let held = fleet.node(0).reserve(30_000).await.expect("it is covered");
    fleet.node(0).finish(held, "r-1", 30_000).await;
    for _ in 0..3 {
        fleet.pass(1).await;
        fleet.node(0).rounds.run_round().await;
    }
    let unspent = fleet.node(0).unspent();
    fleet.kill(0);
    fleet.heal().await;
    fleet.check().await;
    let row = fleet.accounts().budget(&budget()).await;
    let row = row.expect("the store is up").expect("the budget");
    let with_routers: u64 = (1..4).map(|index| fleet.node(index).unspent()).sum();
    let held_back = row.credited.get() - row.free.get() - 30_000 - with_routers;
    assert!(held_back < unspent, "all {unspent} stay held back");
    assert_eq!(fleet.bills().await.get("r-1"), Some(&30_000));
}

/// A router is frozen past its closing and woken: it spends nothing that went back.
#[tokio::test(start_paused = true)]
async fn frozen_and_closed_spends_nothing_that_went_back() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-1", "dakar-1"]).await;
    fleet.top_up("first", 2000).await.expect("the store is up");
    let running = fleet.node(0).reserve(100).await.expect("it is covered");
    fleet.freeze(0);
    fleet.wait_for_closing().await;
    fleet.check().await;
    fleet.thaw(0);
    // Without the table it can only learn of the closing from its witnesses.
    fleet.faults.cut_store(0);
    // The send after the wake was paid for by a noted block, so it is held back, not given out.
    fleet.node(0).finish(running, "r-1", 100).await;
    let mut more = 0;
    while let Ok(reservation) = fleet.node(0).reserve(50).await {
        more += 1;
        fleet
            .node(0)
            .finish(reservation, &format!("woken-{more}"), 50)
            .await;
        fleet.check().await;
    }
    fleet.heal().await;
    fleet.check().await;
    assert_eq!(fleet.bills().await.get("r-1"), Some(&100));
}

/// A data centre goes with a router and one keeper in it; the keeper elsewhere bills.
#[tokio::test(start_paused = true)]
async fn data_centre_lost_is_billed_from_the_other() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-2", "dakar-2"]).await;
    fleet.top_up("first", 1000).await.expect("the store is up");
    let held = fleet.node(0).reserve(100).await.expect("it is covered");
    fleet.node(0).finish(held, "r-1", 70).await;
    fleet.kill(0);
    fleet.kill(1);
    fleet.heal().await;
    fleet.check().await;
    assert_eq!(fleet.bills().await.get("r-1"), Some(&70));
}

/// Held tokens are released only when every router has said that it holds none of them.
#[tokio::test(start_paused = true)]
async fn release_waits_for_acknowledgements() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-2", "dakar-2"]).await;
    fleet.top_up("first", 1000).await.expect("the store is up");
    let owner = fleet.node(0).board.me.incarnation;
    let warm = fleet.node(0).reserve(600).await.expect("it is covered");
    fleet.node(0).finish(warm, "warm", 100).await;
    // The second router takes some of the first one's tokens and has not used them yet.
    let taken = fleet.node(1).reserve(700).await.expect("a peer hands over");
    fleet.kill(0);
    fleet.wait_for_closing().await;
    // The third router holds none of them and acknowledges.
    fleet.pass(2).await;
    fleet.work().await;
    let id = budget();
    let early = fleet.accounts().release(owner, &id).await;
    let waits = TableError::Refused(AccountError::Unacknowledged("vm-1".parse().expect("a vm")));
    assert_eq!(early, Err(waits), "the second router may still bill");
    fleet.node(1).finish(taken, "r-1", 700).await;
    fleet.heal().await;
    let released = fleet.accounts().release(owner, &id).await;
    released.expect("all have acknowledged");
    fleet.check().await;
    assert_eq!(fleet.bills().await.get("r-1"), Some(&700));
}

/// A witness is away while its router spends without it, and is named again: until it has all
/// totals, its word gives nothing back.
#[tokio::test(start_paused = true)]
async fn witness_named_again_proves_nothing_yet() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-2", "dakar-2"]).await;
    fleet.top_up("first", 5000).await.expect("the store is up");
    let first = fleet.node(0).reserve(10).await.expect("it is covered");
    fleet.faults.cut(0, 1);
    fleet.pass(6).await;
    let alone = fleet
        .node(0)
        .reserve(2000)
        .await
        .expect("no witness is named now");
    fleet.faults.clear();
    fleet.pass(2).await;
    fleet.node(0).rounds.run_round().await;
    fleet.freeze(0);
    fleet.wait_for_closing().await;
    fleet.check().await;
    fleet.thaw(0);
    fleet.node(0).finish(first, "r-1", 10).await;
    fleet.node(0).finish(alone, "r-2", 2000).await;
    fleet.heal().await;
    fleet.check().await;
    assert_eq!(fleet.bills().await.len(), 2);
}

/// A router is closed while a request runs, wakes, and gives back what is left: what the closing
/// gave back is not given back again, so the request can still be paid.
#[tokio::test(start_paused = true)]
async fn woken_router_gives_nothing_back_twice() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-2"]).await;
    fleet
        .top_up("first", 100_000)
        .await
        .expect("the store is up");
    let warm = fleet.node(0).reserve(3000).await.expect("it is covered");
    fleet.node(0).finish(warm, "warm", 3000).await;
    fleet.node(0).rounds.run_round().await;
    let running = fleet.node(0).reserve(700).await.expect("it is covered");
    fleet.freeze(0);
    fleet.wait_for_closing().await;
    fleet.thaw(0);
    fleet.pass(30).await;
    fleet.node(0).rounds.run_round().await;
    fleet.node(0).rounds.run_round().await;
    fleet.check().await;
    fleet.node(0).finish(running, "r-1", 700).await;
    fleet.heal().await;
    fleet.check().await;
    assert_eq!(fleet.bills().await.get("r-1"), Some(&700));
}

/// A draw's answer is lost and the router is closed before it learns of it: the closing gave these
/// tokens back, so they are not given back again once the draw is found.
#[tokio::test(start_paused = true)]
async fn draw_found_after_closing_is_written_off() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-2"]).await;
    fleet
        .top_up("first", 50_000)
        .await
        .expect("the store is up");
    let running = fleet.node(0).reserve(300).await.expect("it is covered");
    fleet.delay_store_writes(8);
    let _late = fleet.node(0).reserve(4000).await;
    fleet.freeze(0);
    assert!(
        fleet.memory.apply_delayed_writes() > 0,
        "the draw takes effect unseen"
    );
    fleet.delay_store_writes(0);
    fleet.wait_for_closing().await;
    fleet.thaw(0);
    fleet.pass(30).await;
    fleet.node(0).rounds.run_round().await;
    fleet.node(0).rounds.run_round().await;
    fleet.check().await;
    fleet.node(0).finish(running, "r-1", 300).await;
    fleet.heal().await;
    fleet.check().await;
    assert_eq!(fleet.bills().await.get("r-1"), Some(&300));
}

/// A router's only witness dies: another is named at once, and nothing is refused meanwhile.
#[tokio::test(start_paused = true)]
async fn dead_witness_is_replaced_without_a_refusal() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-1"]).await;
    fleet
        .top_up("first", 100_000)
        .await
        .expect("the store is up");
    fleet.kill(1);
    fleet.restart(1, "dakar-1").await;
    let warm = fleet.node(0).reserve(100).await.expect("it is covered");
    fleet.node(0).finish(warm, "warm", 100).await;
    // Both others are gone, and heartbeats haven't told yet.
    fleet.kill(1);
    fleet.kill(2);
    for number in 0..5 {
        let held = fleet.node(0).reserve(5000).await.expect("it is covered");
        fleet
            .node(0)
            .finish(held, &format!("r-{number}"), 5000)
            .await;
    }
    fleet.heal().await;
    fleet.check().await;
    assert_eq!(fleet.bills().await.values().sum::<u64>(), 25_100);
}
