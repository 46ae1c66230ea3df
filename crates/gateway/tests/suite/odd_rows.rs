//! Rows of the routers' own tables that another writer has replaced with something unreadable.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::{TeamId, Tokens};
use fescue_gateway::budget::{Budget, Controller, Goal, Shortage};
use fescue_gateway::fleet;
use fescue_store::table::{Put, Table, Transaction};
use serde_json::{Value, json};
use tokio::time::{advance, sleep};

use super::site::{Store, ask, budget, gateway, outcome};

const PREPAID: u64 = 1000;

fn odd_values() -> Vec<Value> {
    vec![
        Value::Null,
        json!("text"),
        json!([]),
        json!({}),
        json!({ "granted": -1 }),
        json!({ "granted": 1.5 }),
        json!({ "granted": "7" }),
    ]
}

async fn put(store: &Store, key: &str, value: &Value) {
    let transaction = Transaction {
        put: vec![Put::encode(key, value)],
        ..Transaction::default()
    };
    store.transact(&transaction).await.expect("a commit");
}

async fn stored(store: &Store, key: &str) -> Value {
    let rows = store.read(&[key.to_owned()]).await.expect("rows");
    rows[0].value.clone()
}

fn router(store: &Arc<Store>) -> (Arc<Budget>, Controller) {
    let budget = budget("vm-1", store);
    let prepaid =
        ["yard", "mill"].map(|name| (name.parse().expect("a team"), Tokens::new(PREPAID)));
    budget.set_prepaid(prepaid.into_iter().collect());
    (Arc::clone(&budget), Controller::open(budget))
}

/// What a request got in a round of the controller; it still waits if nothing is known.
#[derive(Debug, PartialEq, Eq)]
enum Drawn {
    Done,
    Waits,
    Refused(Shortage),
}

/// Lets a request ask for tokens and runs a round of the controller.
async fn draw(budget: &Arc<Budget>, controller: &mut Controller, team: &str) -> Drawn {
    let team: TeamId = team.parse().expect("a team");
    let mut waiting = ask(budget, &team, 300).await;
    advance(Duration::from_millis(300)).await;
    assert!(controller.round(Goal::Serve).await, "the round succeeds");
    match outcome(&mut waiting).await {
        Some(Ok(mut reservation)) => {
            reservation.consume(Tokens::new(300));
            Drawn::Done
        }
        Some(Err(shortage)) => Drawn::Refused(shortage),
        None => {
            waiting.abort();
            Drawn::Waits
        }
    }
}

/// Guards against one malformed row of an account that stops drawing for all teams, and against a team
/// that gets tokens although nobody can tell how many are granted already.
#[tokio::test(start_paused = true)]
async fn round_with_malformed_account() {
    for odd in odd_values() {
        let store = Store::open(1);
        let (budget, mut controller) = router(&store);
        put(&store, "budgets/yard", &odd).await;
        put(&store, "budgets/no such team!", &odd).await;
        assert_eq!(draw(&budget, &mut controller, "mill").await, Drawn::Done);
        assert_eq!(draw(&budget, &mut controller, "yard").await, Drawn::Waits);
        assert_eq!(stored(&store, "budgets/yard").await, odd);
        assert!(
            controller.round(Goal::Stop).await,
            "the stop returns what it can"
        );
        put(&store, "budgets/yard", &json!({ "granted": 100 })).await;
        advance(Duration::from_secs(2)).await;
        assert_eq!(draw(&budget, &mut controller, "yard").await, Drawn::Done);
    }
}

/// Guards against tokens that are given back to an account which becomes malformed while some of it is
/// granted, and against a license that is lost then.
#[tokio::test(start_paused = true)]
async fn round_with_account_that_becomes_malformed() {
    let store = Store::open(1);
    let (budget, mut controller) = router(&store);
    assert_eq!(draw(&budget, &mut controller, "yard").await, Drawn::Done);
    put(&store, "budgets/yard", &json!("text")).await;
    advance(Duration::from_secs(2)).await;
    assert!(controller.round(Goal::Serve).await);
    let granted = |row: &Value| row["licenses"]["yard"]["granted"].as_u64();
    let held = granted(&stored(&store, "holders/vm-1").await).expect("a license");
    assert!(held >= 300, "{held}");
    assert!(controller.round(Goal::Stop).await);
    assert_eq!(granted(&stored(&store, "holders/vm-1").await), Some(held));
    assert_eq!(stored(&store, "budgets/yard").await, json!("text"));
}

/// Guards against a router that can't draw at all since its own row is malformed, from its start or
/// later, and against tokens that are granted twice because of it.
#[tokio::test(start_paused = true)]
async fn round_with_malformed_holder() {
    for odd in odd_values() {
        let store = Store::open(1);
        put(&store, "holders/vm-1", &odd).await;
        let (budget, mut controller) = router(&store);
        assert_eq!(draw(&budget, &mut controller, "yard").await, Drawn::Done);
        let before = stored(&store, "budgets/yard").await["granted"].as_u64();
        put(&store, "holders/vm-1", &odd).await;
        // What was granted before stays granted, so a smaller part is left to be drawn.
        assert_eq!(draw(&budget, &mut controller, "yard").await, Drawn::Done);
        let after = stored(&store, "budgets/yard").await["granted"].as_u64();
        assert!(after > before, "{after:?} after {before:?}");
    }
}

/// Guards against malformed rows of other routers and of crashes, which stop the scan, count as routers,
/// or end the task.
#[tokio::test(start_paused = true)]
async fn scan_with_malformed_fleet_rows() {
    let store = Store::open(1);
    let heartbeat = json!({"incarnation": "0000000000000007", "count": 1, "address": "10.1.2.3:9"});
    for (index, odd) in odd_values().iter().enumerate() {
        put(&store, &format!("fleet/router-odd-{index}"), odd).await;
        put(&store, &format!("fleet/suspect-{index:016x}"), odd).await;
    }
    for (index, address) in ["0.0.0.0:0", "nowhere", "10.1.2.3:70000", ""]
        .iter()
        .enumerate()
    {
        let mut odd = heartbeat.clone();
        odd["address"] = json!(address);
        put(&store, &format!("fleet/router-address-{index}"), &odd).await;
    }
    put(&store, "fleet/router-", &json!("text")).await;
    put(&store, "fleet/suspect-none", &json!("text")).await;
    put(&store, "fleet/router-vm-9", &heartbeat).await;
    let far = json!({"crashes": u32::MAX, "refuted": 0, "at_ms": u64::MAX});
    put(&store, "fleet/suspect-00000000000000ff", &far).await;
    let gateway = gateway("vm-1", &store);
    let table: Arc<dyn Table> = store.clone();
    let scans = tokio::spawn(fleet::run(Arc::clone(&gateway), table));
    sleep(Duration::from_secs(7)).await;
    assert!(!scans.is_finished());
    // This router and vm-9.
    assert_eq!(gateway.routers(), 2);
    let peers = gateway.peers.lock().addresses();
    assert_eq!(peers, ["10.1.2.3:9".parse().expect("an address")]);
    put(&store, "fleet/router-odd-1", &heartbeat).await;
    sleep(Duration::from_secs(3)).await;
    assert_eq!(gateway.routers(), 3);
    put(&store, "fleet/router-vm-9", &json!("text")).await;
    sleep(Duration::from_secs(3)).await;
    assert_eq!(gateway.routers(), 2);
    scans.abort();
}
