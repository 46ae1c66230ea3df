//! Told stories of money, one for each failure that the brief names.

use fescue_core::Execution;
use fescue_core::outcome::Reason;

use fescue_policy::bills::DEDUP_WINDOW;
use fescue_store::Table;
use fescue_store::billing::unix_time;

use crate::fleet::Fleet;

/// A router is cut off the table for long while its team is topped up on the other side.
#[tokio::test(start_paused = true)]
async fn cut_from_store_spends_what_it_holds_and_takes_from_peers() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1", "dakar-2"]).await;
    fleet.top_up("first", 1000).await.expect("the store is up");
    let held = fleet.node(0).reserve(400).await.expect("it is covered");
    fleet.node(0).finish(held, "r-1", 300).await;
    let other = fleet.node(1).reserve(300).await.expect("it is covered");
    fleet.node(1).finish(other, "r-2", 50).await;
    fleet.faults.cut_store(0);
    fleet.top_up("second", 5000).await.expect("the store is up");
    // It holds 100 of its own; the rest comes from the peer.
    let more = fleet.node(0).reserve(300).await.expect("a peer hands over");
    fleet.node(0).finish(more, "r-3", 300).await;
    fleet.check().await;
    fleet.heal().await;
    let late = fleet
        .node(0)
        .reserve(4000)
        .await
        .expect("the top-up is seen");
    fleet.node(0).finish(late, "r-4", 4000).await;
    fleet.heal().await;
    fleet.check().await;
    assert_eq!(
        fleet.bills().await.values().sum::<u64>(),
        300 + 50 + 300 + 4000
    );
}

/// The store is down for all: work goes on from allowances, and no bill is lost.
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
            .expect("it is covered");
        fleet
            .node(index)
            .finish(warm, &format!("warm-{index}"), 2000)
            .await;
        fleet.node(index).rounds.run_round().await;
    }
    fleet.set_outage(true);
    let mut served = 0;
    for index in 0..9 {
        let node = fleet.node(index % 3);
        let reservation = node.reserve(200).await.expect("it holds enough");
        node.finish(reservation, &format!("r-{index}"), 200).await;
        served += 200;
        fleet.pass(1).await;
    }
    fleet.set_outage(false);
    fleet.heal().await;
    fleet.check().await;
    assert_eq!(fleet.bills().await.values().sum::<u64>(), 6000 + served);
}

/// Without the store and without anything held, a refusal says that it is the store.
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

/// An empty budget is refused as such, and a top-up ends that at once.
#[tokio::test(start_paused = true)]
async fn empty_budget_refuses_until_topped_up() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-2"]).await;
    fleet.top_up("first", 100).await.expect("the store is up");
    let refusal = fleet
        .node(0)
        .reserve(101)
        .await
        .expect_err("it isn't covered");
    assert_eq!(refusal.reason, Reason::Budget);
    fleet.top_up("second", 1).await.expect("the store is up");
    let covered = fleet.node(1).reserve(101).await;
    let covered = covered.expect("what the refused request drew comes over");
    assert_eq!(covered.bound().get(), 101);
}

/// Every write loses its answer; nothing is drawn, billed, credited or closed twice.
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
    fleet.check().await;
    fleet.node(0).finish(held, "r-1", 100).await;
    fleet.lose_store_answers(3);
    assert!(
        fleet.node(0).biller.flush().await,
        "the bills are found stored"
    );
    fleet.check().await;
    fleet.kill(0);
    fleet.pass(1).await;
    fleet.lose_store_answers(1);
    fleet.heal().await;
    fleet.check().await;
    assert_eq!(fleet.bills().await.len(), 1);
}

/// Writes that were given up arrive later; those that were repeated meanwhile change nothing.
#[tokio::test(start_paused = true)]
async fn late_writes_change_nothing() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-1"]).await;
    fleet.top_up("first", 1000).await.expect("the store is up");
    fleet.delay_store_writes(1);
    let held = fleet.node(0).reserve(100).await.expect("it is repeated");
    assert_eq!(fleet.memory.let_late_in(), 0, "the first try is too late");
    fleet.node(0).finish(held, "r-1", 100).await;
    fleet.delay_store_writes(1);
    fleet.node(0).biller.flush().await;
    assert_eq!(fleet.memory.let_late_in(), 0, "the first try is too late");
    fleet.heal().await;
    fleet.check().await;
}

/// Ten routers drain one team's last tokens: nothing is overspent, and hardly anything strands.
#[tokio::test(start_paused = true)]
async fn last_tokens_are_spent_by_ten_routers() {
    let places = ["dakar-1", "dakar-2", "dakar-3"];
    let places: Vec<_> = places.iter().cycle().take(10).copied().collect();
    let mut fleet = Fleet::start(&places).await;
    let total = 20_000;
    fleet.top_up("first", total).await.expect("the store is up");
    let (mut spent, mut falsely, mut request) = (0, 0, 0);
    let mut refused_in_a_row = 0;
    while refused_in_a_row < 10 {
        request += 1;
        let node = fleet.node(request % 10);
        match node.reserve(100).await {
            Ok(reservation) => {
                node.finish(reservation, &format!("r-{request}"), 60).await;
                spent += 60;
                refused_in_a_row = 0;
            }
            Err(_) => {
                falsely += u64::from(total - spent >= 100);
                refused_in_a_row += 1;
            }
        }
        if request % 20 == 0 {
            fleet.pass(1).await;
        }
    }
    println!("requests {request}, spent {spent} of {total}, falsely refused {falsely}");
    fleet.heal().await;
    fleet.check().await;
    assert_eq!(fleet.bills().await.values().sum::<u64>(), spent);
    let stated = request as u64 / 1000;
    assert!(
        falsely <= stated,
        "{falsely} of {request} were falsely refused"
    );
}

/// Requests that come while a round is under way: none is refused for what that round didn't ask.
#[tokio::test(start_paused = true)]
async fn crowd_on_an_ample_budget_is_never_refused() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-2"]).await;
    fleet
        .top_up("first", 1_000_000)
        .await
        .expect("the store is up");
    fleet.set_store_delay(5);
    let reserved = fleet.node(0).reserve_crowd(40, 66).await;
    let refused: Vec<_> = reserved.iter().filter_map(|r| r.as_ref().err()).collect();
    assert!(refused.is_empty(), "{refused:?}");
}

/// A peer's answer is lost after it handed tokens over: asking again finds the same tokens.
#[tokio::test(start_paused = true)]
async fn lost_hand_over_is_found_again() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-2"]).await;
    fleet.top_up("first", 1000).await.expect("the store is up");
    let other = fleet.node(1).reserve(1000).await.expect("it is covered");
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
    fleet.check().await;
    assert_eq!(fleet.bills().await.values().sum::<u64>(), 1000);
}

/// A request runs twice: the second bill's tokens can be spent again, to the last one.
#[tokio::test(start_paused = true)]
async fn duplicate_bill_gives_its_tokens_back() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-2"]).await;
    fleet.top_up("first", 200).await.expect("the store is up");
    for index in 0..2 {
        let held = fleet.node(index).reserve(100).await.expect("it is covered");
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
    fleet.check().await;
    assert_eq!(fleet.bills().await.values().sum::<u64>(), 200);
}

/// Old bills go to the archive: they are still listed, and the chain goes on after them.
#[tokio::test(start_paused = true)]
async fn old_bills_are_archived_and_the_chain_goes_on() {
    let mut fleet = Fleet::start(&["dakar-1", "dakar-2"]).await;
    fleet
        .top_up("first", 1_000_000)
        .await
        .expect("the store is up");
    for number in 0..400 {
        let held = fleet.node(0).reserve(10).await.expect("it is covered");
        fleet.node(0).finish(held, &format!("r-{number}"), 10).await;
        fleet.node(0).biller.flush().await;
    }
    let later = unix_time() + DEDUP_WINDOW.as_secs() + 60;
    fleet.lose_store_answers(1);
    for _ in 0..3 {
        for index in 0..2 {
            fleet.node(index).archivist.run_round(later).await;
        }
    }
    let left = fleet
        .memory
        .scan("bills/", "", 1000)
        .await
        .expect("the store is up");
    assert!(left.len() < 100, "{} pages are left", left.len());
    assert_eq!(fleet.bills().await.len(), 400);
    // A router that starts now goes on from the last page of each chain.
    fleet.kill(1);
    fleet.restart(1, "dakar-2").await;
    for number in 400..440 {
        let index = number % 2;
        let held = fleet.node(index).reserve(10).await.expect("it is covered");
        fleet
            .node(index)
            .finish(held, &format!("r-{}", number / 2 * 2), 10)
            .await;
        fleet.node(index).biller.flush().await;
    }
    fleet.heal().await;
    fleet.check().await;
    assert_eq!(fleet.bills().await.len(), 420);
}

/// The store is slow, then comes and goes: requests wait a little, and nothing is lost or refused.
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
        // From the fortieth second on the store is away every other five seconds.
        fleet.set_outage(second >= 40 && second / 5 % 2 == 1);
        let node = fleet.node(second as usize % 3);
        let reservation = node.reserve(300).await.expect("it is covered");
        node.finish(reservation, &format!("r-{second}"), 250).await;
        served += 250;
        fleet.pass(1).await;
        fleet.work().await;
    }
    fleet.set_store_delay(0);
    fleet.heal().await;
    fleet.check().await;
    assert_eq!(fleet.bills().await.values().sum::<u64>(), served);
}

/// A clock that jumped back archives nothing, and one that jumped ahead only what is in the table.
#[tokio::test(start_paused = true)]
async fn clock_jumps_lose_no_bill() {
    let mut fleet = Fleet::start(&["dakar-1"]).await;
    fleet
        .top_up("first", 1_000_000)
        .await
        .expect("the store is up");
    for number in 0..200 {
        let held = fleet.node(0).reserve(10).await.expect("it is covered");
        fleet.node(0).finish(held, &format!("r-{number}"), 10).await;
        fleet.node(0).biller.flush().await;
    }
    for now in [0, u64::MAX, unix_time()] {
        fleet.node(0).archivist.run_round(now).await;
        assert_eq!(fleet.bills().await.len(), 200);
    }
    fleet.check().await;
}
