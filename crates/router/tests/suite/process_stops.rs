//! Planned stops, frozen processes and concurrent changes by operators, through router processes.

use std::time::Duration;

use fescue_core::rules::{Delta, RuleSet};
use fescue_standin::platform::Faults;
use fescue_store::accounts::Accounts;
use fescue_store::config::{ChangeOutcome, Config};
use rustix::process::Signal;

use crate::site::{QUICK, SLOW, Site, bounded, chat, eventually, expected_text, purchase};

/// The exit code of a router whose allowances were closed.
const CLOSED_EXIT_CODE: i32 = 3;

#[tokio::test]
async fn planned_stop_cuts_no_stream() {
    let mut site = Site::start(&["dakar-1", "dakar-2"], 2, SLOW).await;
    let open = site.open_streams(0, 100, 50).await;
    site.routers[0].signal(Signal::TERM);
    tokio::time::sleep(Duration::from_millis(100)).await;
    site.routers[0].signal(Signal::TERM);
    for (n, stream) in open.into_iter().enumerate() {
        let answer = stream
            .await
            .expect("the caller's task completes")
            .expect("an answer");
        assert_eq!(answer.text(), expected_text(&format!("lot {n}"), 50));
        assert!(answer.is_complete());
    }
    let status = site.routers[0].wait().await;
    let log = site.routers[0].log_tail(20);
    assert!(status.success(), "{status}: {log}");
    assert_eq!(
        site.bills().await.len(),
        100,
        "all bills are stored at the exit"
    );
    let rows = Accounts::open(site.memory.clone()).allowances().await;
    let rows = rows.expect("the store is up");
    assert_eq!(rows.len(), 1, "the stopped router's row is folded");
}

/// Guards against SIGHUP ending the process at once, also during a stop: it cut all requests and left their
/// tokens to the peers.
#[tokio::test]
async fn hangup_cuts_no_stream() {
    let mut site = Site::start(&["dakar-1", "dakar-2"], 2, SLOW).await;
    let open = site.open_streams(0, 20, 50).await;
    site.routers[0].signal(Signal::HUP);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let during = site.ask(0, &purchase("during")).await;
    assert_eq!((during.status, during.outcome.as_str()), (200, "ran"));
    for signal in [Signal::TERM, Signal::HUP, Signal::INT, Signal::HUP] {
        site.routers[0].signal(signal);
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    for (n, stream) in open.into_iter().enumerate() {
        let answer = stream.await.expect("a caller").expect("an answer");
        assert!(answer.is_complete(), "{n}: {answer:?}");
    }
    let status = site.routers[0].wait().await;
    let log = site.routers[0].log_tail(20);
    assert!(status.success(), "{status}: {log}");
    assert_eq!(site.bills().await.len(), 21, "all bills are stored");
    let rows = Accounts::open(site.memory.clone()).allowances().await;
    let rows = rows.expect("the store is up");
    assert_eq!(rows.len(), 1, "the stopped router's row is folded");
}

#[tokio::test]
async fn rolling_replacement_refuses_nothing() {
    let mut site = Site::start(&["dakar-1", "dakar-1", "dakar-2"], 2, QUICK).await;
    for turn in 0..3 {
        let (staying, going) = ((turn + 1) % 3, turn);
        let before = site.ask(going, &chat(&format!("a-{turn}"), "a", 5)).await;
        assert!(before.is_complete());
        site.routers[going].signal(Signal::TERM);
        assert!(site.routers[going].wait().await.success());
        let during = site.ask(staying, &chat(&format!("b-{turn}"), "b", 5)).await;
        assert!(during.is_complete());
        site.start_router("dakar-1").await;
        let fresh = site.routers.pop().expect("it was started");
        site.routers[going] = fresh;
    }
    assert_eq!(site.wait_for_bills(6).await.len(), 6);
}

#[tokio::test]
async fn frozen_router_is_closed_and_exits_once_resumed() {
    let mut site = Site::start(&["dakar-1", "dakar-1"], 1, QUICK).await;
    site.ask(0, &chat("r-1", "a", 5)).await;
    site.routers[0].signal(Signal::STOP);
    eventually("the peer closes its allowances", || async {
        !site.routers[1].logged("allowances closed").is_empty()
    })
    .await;
    let during = site.ask(1, &chat("r-2", "b", 5)).await;
    assert!(during.is_complete());
    site.routers[0].signal(Signal::CONT);
    let status = site.routers[0].wait().await;
    assert_eq!(status.code(), Some(CLOSED_EXIT_CODE));
    let bills = site.wait_for_bills(2).await;
    assert_eq!(bills.len(), 2);
}

#[tokio::test]
async fn router_without_rules_is_not_ready() {
    let mut site = Site::start(&["dakar-1"], 1, QUICK).await;
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    site.memory.set_faults(outage);
    site.routers[0].signal(Signal::KILL);
    let _ended = site.routers[0].wait().await;
    let dir = std::env::temp_dir().join(format!("fescue-alone-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the directory is created");
    let nowhere = "127.0.0.1:9".parse().expect("an address");
    let alone = crate::site::Process::spawn(&dir, "alone", "dakar-1", nowhere).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let ready = fescue_standin::caller::Request::get("/readyz");
    let answer = bounded("/readyz", site.caller.send(alone.operators, &ready)).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 503);
    let call = purchase("buy-1");
    let refused = bounded("buy-1", site.caller.send(alone.callers, &call)).await;
    let refused = refused.expect("an answer");
    assert_eq!(
        (refused.code().as_str(), refused.outcome.as_str()),
        ("not_ready", "not_run")
    );
    drop(alone);
    std::fs::remove_dir_all(&dir).expect("the directory is removed");
}

#[tokio::test]
async fn rules_race_has_one_winner_and_never_reverts() {
    let site = Site::start(&["dakar-1", "dakar-2"], 1, QUICK).await;
    let config = Config::open(site.memory.clone(), site.memory.clone());
    let (base, old) = config.load().await.expect("the store is up");
    let change = |weight: u32| {
        let text = site
            .rules()
            .replace("priorities=", &format!("weight={weight} priorities="));
        let new = RuleSet::parse("rules", &text).expect("the rules parse");
        Delta::between(&old, &new)
    };
    site.memory.set_faults(Faults {
        lose_next: 1,
        ..Faults::default()
    });
    let id = |name: &str| name.parse().expect("a valid change id");
    let first = config.apply(&id("one"), base, "Awa", &change(2)).await;
    assert_eq!(
        first,
        Ok(ChangeOutcome::Version(base + 1)),
        "the lost answer is found"
    );
    let second = config.apply(&id("two"), base, "Moussa", &change(3)).await;
    match second.expect("the store is up") {
        ChangeOutcome::Conflict(changes) => assert_eq!(changes[0].author, "Awa"),
        other => panic!("the second change must lose: {other:?}"),
    }
    for index in 0..2 {
        eventually("the rules are in force", || async {
            site.status(index).await["rules"].as_u64() == Some(base + 1)
        })
        .await;
    }
    let again = config.apply(&id("one"), base, "Awa", &change(2)).await;
    assert_eq!(
        again,
        Ok(ChangeOutcome::Version(base + 1)),
        "repeating the change has no effect"
    );
}
