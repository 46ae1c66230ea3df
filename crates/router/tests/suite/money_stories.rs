//! Token accounting under store and peer failures, with one scenario for each required failure.

use fescue_core::Execution;
use fescue_core::outcome::Reason;

use fescue_policy::bills::DEDUP_WINDOW;
use fescue_store::Table;
use fescue_store::billing::unix_time;

use crate::fleet::Fleet;

/// A router without a connection to the table spends its own tokens and then those of peers; it
/// sees a top-up made meanwhile once it is connected again.
#[tokio::test(start_paused = true)]
async fn cut_from_store_spends_what_it_holds_and_takes_from_peers() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-2"]).await;
    fleet.top_up("first", 1000).await.expect("the store is up");
    let held = fleet
        .node(0)
        .reserve(400)
        .await
        .expect("the budget covers the request");
    fleet.node(0).finish(held, "r-1", 300).await;
    let other = fleet
        .node(1)
        .reserve(300)
        .await
        .expect("the budget covers the request");
    fleet.node(1).finish(other, "r-2", 50).await;
    fleet.faults.cut_store(0);
    fleet.top_up("second", 5000).await.expect("the store is up");
    // The router holds 100 tokens itself; the other 200 come from the peer.
    let more = fleet
        .node(0)
        .reserve(300)
        .await
        .expect("a peer transfers tokens");
    fleet.node(0).finish(more, "r-3", 300).await;
    fleet.check_tokens().await;
    fleet.heal().await;
    let late = fleet
        .node(0)
        .reserve(4000)
        .await
        .expect("the top-up is seen");
    fleet.node(0).finish(late, "r-4", 4000).await;
    fleet.heal().await;
    fleet.check_tokens().await;
    assert_eq!(
        fleet.bills().await.values().sum::<u64>(),
        300 + 50 + 300 + 4000
    );
}

/// While the store is down, routers serve from their allowances; the bills are stored afterwards.
#[tokio::test(start_paused = true)]
async fn store_down_for_all_goes_on_and_bills_later() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-2"]).await;
    fleet
        .top_up("first", 100_000)
        .await
        .expect("the store is up");
    for index in 0..3 {
        let warm = fleet
            .node(index)
            .reserve(2000)
            .await
            .expect("the budget covers the request");
        fleet
            .node(index)
            .finish(warm, &format!("warm-{index}"), 2000)
            .await;
        fleet.node(index).replenisher.run_round().await;
    }
    fleet.set_outage(true);
    let mut served = 0;
    for index in 0..9 {
        let node = fleet.node(index % 3);
        let reservation = node.reserve(200).await.expect("it holds enough");
        node.finish(reservation, &format!("r-{index}"), 200).await;
        served += 200;
        fleet.advance_clock(1).await;
    }
    fleet.set_outage(false);
    fleet.heal().await;
    fleet.check_tokens().await;
    assert_eq!(fleet.bills().await.values().sum::<u64>(), 6000 + served);
}

/// A router that holds no tokens while the store is down gives the store as reason of a refusal.
#[tokio::test(start_paused = true)]
async fn store_down_with_nothing_held_refuses_truthfully() {
    let mut fleet = Fleet::start(&["dakar-1"]).await;
    fleet.top_up("first", 1000).await.expect("the store is up");
    fleet.set_outage(true);
    let refusal = fleet
        .node(0)
        .reserve(10)
        .await
        .expect_err("nothing is held");
    assert_eq!(refusal.reason, Reason::StoreDown);
    assert_eq!(refusal.execution, Execution::NotRun);
}

/// A request above the budget is refused for the budget, and served right after a top-up.
///
/// The tokens that the first router drew for the refused request are transferred to the second.
#[tokio::test(start_paused = true)]
async fn empty_budget_refuses_until_topped_up() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-2"]).await;
    fleet.top_up("first", 100).await.expect("the store is up");
    let refusal = fleet
        .node(0)
        .reserve(101)
        .await
        .expect_err("it isn't covered");
    assert_eq!(refusal.reason, Reason::BudgetExhausted);
    fleet.top_up("second", 1).await.expect("the store is up");
    let covered = fleet.node(1).reserve(101).await;
    let covered = covered.expect("the tokens drawn for the refused request are transferred");
    assert_eq!(covered.bound().get(), 101);
}

/// Writes whose answers are lost are found done; nothing is drawn, billed, credited or closed
/// twice.
#[tokio::test(start_paused = true)]
async fn lost_answers_change_nothing() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-2"]).await;
    fleet.lose_store_answers(1);
    fleet.top_up("first", 1000).await.expect("it is found done");
    fleet.lose_store_answers(1);
    let held = fleet
        .node(0)
        .reserve(100)
        .await
        .expect("the draw is found done");
    fleet.check_tokens().await;
    fleet.node(0).finish(held, "r-1", 100).await;
    fleet.lose_store_answers(3);
    assert!(
        fleet.node(0).biller.flush().await,
        "the bills are found stored"
    );
    fleet.check_tokens().await;
    fleet.kill(0);
    fleet.advance_clock(1).await;
    fleet.lose_store_answers(1);
    fleet.heal().await;
    fleet.check_tokens().await;
    assert_eq!(fleet.bills().await.len(), 1);
}

/// A delayed write that takes effect after its repetition changes nothing.
#[tokio::test(start_paused = true)]
async fn late_writes_change_nothing() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1"]).await;
    fleet.top_up("first", 1000).await.expect("the store is up");
    fleet.delay_store_writes(1);
    let held = fleet.node(0).reserve(100).await.expect("it is repeated");
    assert_eq!(
        fleet.memory.apply_delayed_writes(),
        0,
        "the first try is too late"
    );
    fleet.node(0).finish(held, "r-1", 100).await;
    fleet.delay_store_writes(1);
    fleet.node(0).biller.flush().await;
    assert_eq!(
        fleet.memory.apply_delayed_writes(),
        0,
        "the first try is too late"
    );
    fleet.heal().await;
    fleet.check_tokens().await;
}

/// Ten routers spend the last tokens of a budget: none is overspent, and at most one request in a
/// thousand is refused falsely.
#[tokio::test(start_paused = true)]
async fn last_tokens_are_spent_by_ten_routers() {
    let data_centres = ["dakar-1", "dakar-2", "dakar-3"];
    let data_centres: Vec<_> = data_centres.iter().cycle().take(10).copied().collect();
    let mut fleet = Fleet::start(&data_centres).await;
    let total = 20_000;
    fleet.top_up("first", total).await.expect("the store is up");
    let (mut spent, mut false_refusals, mut request) = (0, 0, 0);
    let mut consecutive_refusals = 0;
    while consecutive_refusals < 10 {
        request += 1;
        let node = fleet.node(request % 10);
        match node.reserve(100).await {
            Ok(reservation) => {
                node.finish(reservation, &format!("r-{request}"), 60).await;
                spent += 60;
                consecutive_refusals = 0;
            }
            Err(_) => {
                false_refusals += u64::from(total - spent >= 100);
                consecutive_refusals += 1;
            }
        }
        if request % 20 == 0 {
            fleet.advance_clock(1).await;
        }
    }
    println!("requests {request}, spent {spent} of {total}, falsely refused {false_refusals}");
    fleet.heal().await;
    fleet.check_tokens().await;
    assert_eq!(fleet.bills().await.values().sum::<u64>(), spent);
    let allowed = request as u64 / 1000;
    assert!(
        false_refusals <= allowed,
        "{false_refusals} of {request} were falsely refused"
    );
}

/// Requests that arrive during an allowance round, and that its draw doesn't include, wait for the
/// next round instead of being refused.
#[tokio::test(start_paused = true)]
async fn concurrent_requests_on_an_ample_budget_are_never_refused() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-2"]).await;
    fleet
        .top_up("first", 1_000_000)
        .await
        .expect("the store is up");
    fleet.set_store_delay(5);
    let reserved = fleet.node(0).reserve_many(40, 66).await;
    let refused: Vec<_> = reserved.iter().filter_map(|r| r.as_ref().err()).collect();
    assert!(refused.is_empty(), "{refused:?}");
}

/// The answer to a transfer is lost: the repeated request for it yields the same tokens.
#[tokio::test(start_paused = true)]
async fn lost_transfer_is_found_again() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-2"]).await;
    fleet.top_up("first", 1000).await.expect("the store is up");
    let other = fleet
        .node(1)
        .reserve(1000)
        .await
        .expect("the budget covers the request");
    fleet.node(1).finish(other, "r-1", 100).await;
    fleet.faults.lose_peer_answers(1);
    let refused = fleet.node(0).reserve(900).await;
    assert!(refused.is_err(), "the answer was lost");
    fleet.faults.clear();
    let found = fleet
        .node(0)
        .reserve(900)
        .await
        .expect("the tokens are found");
    fleet.node(0).finish(found, "r-2", 900).await;
    fleet.heal().await;
    fleet.check_tokens().await;
    assert_eq!(fleet.bills().await.values().sum::<u64>(), 1000);
}

/// A request runs on two routers: the tokens of the duplicate bill can all be spent again.
#[tokio::test(start_paused = true)]
async fn duplicate_bill_gives_its_tokens_back() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-2"]).await;
    fleet.top_up("first", 200).await.expect("the store is up");
    for index in 0..2 {
        let held = fleet
            .node(index)
            .reserve(100)
            .await
            .expect("the budget covers the request");
        fleet.node(index).finish(held, "r-1", 100).await;
        fleet.node(index).biller.flush().await;
    }
    let last = fleet
        .node(0)
        .reserve(100)
        .await
        .expect("100 were billed once");
    fleet.node(0).finish(last, "r-2", 100).await;
    fleet.heal().await;
    fleet.check_tokens().await;
    assert_eq!(fleet.bills().await.values().sum::<u64>(), 200);
}

/// Archived bills are still listed, and the chain of pages continues after them.
#[tokio::test(start_paused = true)]
async fn old_bills_are_archived_and_the_chain_goes_on() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-2"]).await;
    fleet
        .top_up("first", 1_000_000)
        .await
        .expect("the store is up");
    for number in 0..400 {
        let held = fleet
            .node(0)
            .reserve(10)
            .await
            .expect("the budget covers the request");
        fleet.node(0).finish(held, &format!("r-{number}"), 10).await;
        fleet.node(0).biller.flush().await;
    }
    let later = unix_time() + DEDUP_WINDOW.as_secs() + 60;
    fleet.lose_store_answers(1);
    for _ in 0..3 {
        for index in 0..2 {
            fleet.node(index).archiver.run_round(later).await;
        }
    }
    let left = fleet
        .memory
        .scan("bills/", "", 1000)
        .await
        .expect("the store is up");
    assert!(left.len() < 100, "{} pages are left", left.len());
    assert_eq!(fleet.bills().await.len(), 400);
    // A router that starts now continues from the last page of each chain.
    fleet.kill(1);
    fleet.restart(1, "dakar-2").await;
    for number in 400..440 {
        let index = number % 2;
        let held = fleet
            .node(index)
            .reserve(10)
            .await
            .expect("the budget covers the request");
        fleet
            .node(index)
            .finish(held, &format!("r-{}", number / 2 * 2), 10)
            .await;
        fleet.node(index).biller.flush().await;
    }
    fleet.heal().await;
    fleet.check_tokens().await;
    assert_eq!(fleet.bills().await.len(), 420);
}

/// The store is first slow and then down at intervals; requests wait, and none is lost or refused.
#[tokio::test(start_paused = true)]
async fn slow_and_flapping_store_refuses_nothing() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-2"]).await;
    fleet
        .top_up("first", 1_000_000)
        .await
        .expect("the store is up");
    let mut served = 0;
    for second in 0..120_u64 {
        fleet.set_store_delay(if second < 40 { 700 } else { 0 });
        // From second 40 on, the store alternates between 5 s up and 5 s down.
        fleet.set_outage(second >= 40 && second / 5 % 2 == 1);
        let node = fleet.node(second as usize % 3);
        let reservation = node
            .reserve(300)
            .await
            .expect("the budget covers the request");
        node.finish(reservation, &format!("r-{second}"), 250).await;
        served += 250;
        fleet.advance_clock(1).await;
        fleet.run_rounds().await;
    }
    fleet.set_store_delay(0);
    fleet.heal().await;
    fleet.check_tokens().await;
    assert_eq!(fleet.bills().await.values().sum::<u64>(), served);
}

/// Clock jumps lose no bill: after a jump back the archiver archives nothing, after a jump ahead
/// only bills that the table holds.
#[tokio::test(start_paused = true)]
async fn clock_jumps_lose_no_bill() {
    let mut fleet = Fleet::start(&["dakar-1"]).await;
    fleet
        .top_up("first", 1_000_000)
        .await
        .expect("the store is up");
    for number in 0..200 {
        let held = fleet
            .node(0)
            .reserve(10)
            .await
            .expect("the budget covers the request");
        fleet.node(0).finish(held, &format!("r-{number}"), 10).await;
        fleet.node(0).biller.flush().await;
    }
    for now in [0, u64::MAX, unix_time()] {
        fleet.node(0).archiver.run_round(now).await;
        assert_eq!(fleet.bills().await.len(), 200);
    }
    fleet.check_tokens().await;
}
