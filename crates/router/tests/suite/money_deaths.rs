//! Token accounting when a router is killed, frozen or cut off for good while it holds tokens.

use fescue_policy::account::AccountError;
use fescue_store::TableError;

use crate::fleet::{Fleet, budget};

/// A router is killed after the last byte of an answer and before it flushes the bill: the request
/// is billed from the peers' copies.
#[tokio::test(start_paused = true)]
async fn killed_before_flush_is_billed_from_copies() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-2"]).await;
    fleet.top_up("first", 1000).await.expect("the store is up");
    let held = fleet
        .node(0)
        .reserve(100)
        .await
        .expect("the budget covers the request");
    fleet.node(0).finish(held, "r-1", 60).await;
    fleet.kill(0);
    assert!(fleet.bills().await.is_empty(), "nothing was stored");
    fleet.heal().await;
    fleet.check_tokens().await;
    assert_eq!(fleet.bills().await.get("r-1"), Some(&60));
}

/// A router is killed during a stream, and the caller repeats the request on two routers at once:
/// it is billed once.
#[tokio::test(start_paused = true)]
async fn retried_on_two_routers_is_billed_once() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-2"]).await;
    fleet.top_up("first", 1000).await.expect("the store is up");
    let _cut_off = fleet
        .node(0)
        .reserve(100)
        .await
        .expect("the budget covers the request");
    fleet.kill(0);
    let second = fleet
        .node(1)
        .reserve(100)
        .await
        .expect("the budget covers the request");
    let third = fleet
        .node(2)
        .reserve(100)
        .await
        .expect("the budget covers the request");
    fleet.node(1).finish(second, "r-1", 80).await;
    fleet.node(2).finish(third, "r-1", 90).await;
    fleet.heal().await;
    fleet.check_tokens().await;
    let bills = fleet.bills().await;
    assert!(
        bills.len() == 1 && [80, 90].contains(&bills["r-1"]),
        "{bills:?}"
    );
}

/// Tokens of a killed router that no witness has recorded as spendable return to the budget without
/// an operator's action.
#[tokio::test(start_paused = true)]
async fn killed_returns_what_was_not_noted() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-1", "dakar-1"]).await;
    fleet
        .top_up("first", 1_000_000)
        .await
        .expect("the store is up");
    let held = fleet
        .node(0)
        .reserve(30_000)
        .await
        .expect("the budget covers the request");
    fleet.node(0).finish(held, "r-1", 30_000).await;
    for _ in 0..3 {
        fleet.advance_clock(1).await;
        fleet.node(0).replenisher.run_round().await;
    }
    let unspent = fleet.node(0).unspent();
    fleet.kill(0);
    fleet.heal().await;
    fleet.check_tokens().await;
    let row = fleet.accounts().budget(&budget()).await;
    let row = row.expect("the store is up").expect("the budget");
    let with_routers: u64 = (1..4).map(|index| fleet.node(index).unspent()).sum();
    let held_back = row.credited.get() - row.free.get() - 30_000 - with_routers;
    assert!(
        held_back < unspent,
        "all {unspent} unspent tokens are still held back"
    );
    assert_eq!(fleet.bills().await.get("r-1"), Some(&30_000));
}

/// A router that is frozen until its allowances are closed spends no refunded tokens once it
/// resumes.
#[tokio::test(start_paused = true)]
async fn frozen_and_closed_spends_nothing_that_went_back() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-1", "dakar-1"]).await;
    fleet.top_up("first", 2000).await.expect("the store is up");
    let running = fleet
        .node(0)
        .reserve(100)
        .await
        .expect("the budget covers the request");
    fleet.freeze(0);
    fleet.wait_for_closing().await;
    fleet.check_tokens().await;
    fleet.thaw(0);
    // Without the table the router learns of the closing only from its witnesses.
    fleet.faults.cut_store(0);
    // The running request was paid from a recorded block, whose tokens are held back and not
    // refunded.
    fleet.node(0).finish(running, "r-1", 100).await;
    let mut more = 0;
    while let Ok(reservation) = fleet.node(0).reserve(50).await {
        more += 1;
        fleet
            .node(0)
            .finish(reservation, &format!("woken-{more}"), 50)
            .await;
        fleet.check_tokens().await;
    }
    fleet.heal().await;
    fleet.check_tokens().await;
    assert_eq!(fleet.bills().await.get("r-1"), Some(&100));
}

/// A data centre fails with a router and a peer that holds its copies: the peer in the other data
/// centre submits the bill.
#[tokio::test(start_paused = true)]
async fn data_centre_lost_is_billed_from_the_other() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-2", "dakar-2"]).await;
    fleet.top_up("first", 1000).await.expect("the store is up");
    let held = fleet
        .node(0)
        .reserve(100)
        .await
        .expect("the budget covers the request");
    fleet.node(0).finish(held, "r-1", 70).await;
    fleet.kill(0);
    fleet.kill(1);
    fleet.heal().await;
    fleet.check_tokens().await;
    assert_eq!(fleet.bills().await.get("r-1"), Some(&70));
}

/// Held tokens are released only once every router has acknowledged that it holds none of them.
#[tokio::test(start_paused = true)]
async fn release_waits_for_acknowledgements() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-2", "dakar-2"]).await;
    fleet.top_up("first", 1000).await.expect("the store is up");
    let owner = fleet.node(0).board.me.incarnation;
    let warm = fleet
        .node(0)
        .reserve(600)
        .await
        .expect("the budget covers the request");
    fleet.node(0).finish(warm, "warm", 100).await;
    // The second router receives tokens of the first one and hasn't billed them yet.
    let taken = fleet
        .node(1)
        .reserve(700)
        .await
        .expect("a peer transfers tokens");
    fleet.kill(0);
    fleet.wait_for_closing().await;
    // The third router holds none of them and acknowledges.
    fleet.advance_clock(2).await;
    fleet.run_rounds().await;
    let id = budget();
    let early = fleet.accounts().release(owner, &id).await;
    let waits = TableError::Refused(AccountError::Unacknowledged("vm-1".parse().expect("a vm")));
    assert_eq!(early, Err(waits), "the second router may still bill");
    fleet.node(1).finish(taken, "r-1", 700).await;
    fleet.heal().await;
    let released = fleet.accounts().release(owner, &id).await;
    released.expect("all have acknowledged");
    fleet.check_tokens().await;
    assert_eq!(fleet.bills().await.get("r-1"), Some(&700));
}

/// A witness is unreachable while its router spends without it, and is then named again: until it
/// has received all totals, its report refunds nothing.
#[tokio::test(start_paused = true)]
async fn witness_named_again_proves_nothing_yet() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-2", "dakar-2"]).await;
    fleet.top_up("first", 5000).await.expect("the store is up");
    let first = fleet
        .node(0)
        .reserve(10)
        .await
        .expect("the budget covers the request");
    fleet.faults.cut(0, 1);
    fleet.advance_clock(6).await;
    let alone = fleet
        .node(0)
        .reserve(2000)
        .await
        .expect("no witness is named now");
    fleet.faults.clear();
    fleet.advance_clock(2).await;
    fleet.node(0).replenisher.run_round().await;
    fleet.freeze(0);
    fleet.wait_for_closing().await;
    fleet.check_tokens().await;
    fleet.thaw(0);
    fleet.node(0).finish(first, "r-1", 10).await;
    fleet.node(0).finish(alone, "r-2", 2000).await;
    fleet.heal().await;
    fleet.check_tokens().await;
    assert_eq!(fleet.bills().await.len(), 2);
}

/// A frozen router's allowances are closed while a request runs, and the router then returns its
/// free tokens: those that the closing refunded aren't returned again, so the request can still be
/// billed.
#[tokio::test(start_paused = true)]
async fn resumed_router_returns_no_refunded_tokens() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-2"]).await;
    fleet
        .top_up("first", 100_000)
        .await
        .expect("the store is up");
    let warm = fleet
        .node(0)
        .reserve(3000)
        .await
        .expect("the budget covers the request");
    fleet.node(0).finish(warm, "warm", 3000).await;
    fleet.node(0).replenisher.run_round().await;
    let running = fleet
        .node(0)
        .reserve(700)
        .await
        .expect("the budget covers the request");
    fleet.freeze(0);
    fleet.wait_for_closing().await;
    fleet.thaw(0);
    fleet.advance_clock(30).await;
    fleet.node(0).replenisher.run_round().await;
    fleet.node(0).replenisher.run_round().await;
    fleet.check_tokens().await;
    fleet.node(0).finish(running, "r-1", 700).await;
    fleet.heal().await;
    fleet.check_tokens().await;
    assert_eq!(fleet.bills().await.get("r-1"), Some(&700));
}

/// The answer to a draw is lost, and the router's allowances are closed before it finds the draw:
/// the closing refunded these tokens, so the router writes them off instead of returning them
/// again.
#[tokio::test(start_paused = true)]
async fn draw_found_after_closing_is_written_off() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-2"]).await;
    fleet
        .top_up("first", 50_000)
        .await
        .expect("the store is up");
    let running = fleet
        .node(0)
        .reserve(300)
        .await
        .expect("the budget covers the request");
    fleet.delay_store_writes(8);
    let _late = fleet.node(0).reserve(4000).await;
    fleet.freeze(0);
    assert!(
        fleet.memory.apply_delayed_writes() > 0,
        "the draw takes effect without an answer"
    );
    fleet.delay_store_writes(0);
    fleet.wait_for_closing().await;
    fleet.thaw(0);
    fleet.advance_clock(30).await;
    fleet.node(0).replenisher.run_round().await;
    fleet.node(0).replenisher.run_round().await;
    fleet.check_tokens().await;
    fleet.node(0).finish(running, "r-1", 300).await;
    fleet.heal().await;
    fleet.check_tokens().await;
    assert_eq!(fleet.bills().await.get("r-1"), Some(&300));
}

/// A router's witnesses are killed: the router names others or continues without, and refuses no
/// request before the missing heartbeats are noticed.
#[tokio::test(start_paused = true)]
async fn dead_witness_is_replaced_without_a_refusal() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-1"]).await;
    fleet
        .top_up("first", 100_000)
        .await
        .expect("the store is up");
    fleet.kill(1);
    fleet.restart(1, "dakar-1").await;
    let warm = fleet
        .node(0)
        .reserve(100)
        .await
        .expect("the budget covers the request");
    fleet.node(0).finish(warm, "warm", 100).await;
    // Both peers are killed, and the missing heartbeats haven't been noticed yet.
    fleet.kill(1);
    fleet.kill(2);
    for number in 0..5 {
        let held = fleet
            .node(0)
            .reserve(5000)
            .await
            .expect("the budget covers the request");
        fleet
            .node(0)
            .finish(held, &format!("r-{number}"), 5000)
            .await;
    }
    fleet.heal().await;
    fleet.check_tokens().await;
    assert_eq!(fleet.bills().await.values().sum::<u64>(), 25_100);
}
