//! Chat completions through router processes: placement, resumption of streams, answers to the
//! wrong request, and callers that disconnect.

use std::time::Duration;

use fescue_standin::caller::Request;
use fescue_standin::engine::EngineFaults;
use rustix::process::Signal;
use serde_json::json;

use crate::site::{KEY, QUICK, SLOW, Site, chat, eventually, expected_text};

#[tokio::test]
async fn stream_is_whole_and_billed_once() {
    let site = Site::start(&["dakar-1", "dakar-2"], 2, QUICK).await;
    let answer = site.ask(0, &chat("r-1", "a fair price", 20)).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (200, "ran"));
    assert!(answer.is_complete());
    assert_eq!(answer.text(), expected_text("a fair price", 20));
    let again = site.ask(1, &chat("r-1", "a fair price", 20)).await;
    assert!(again.is_complete());
    let bills = site.wait_for_bills(1).await;
    assert_eq!(bills["r-1"], 3 + 20);
    let placed = site.routers[0].logged("placed");
    assert_eq!(placed.len(), 1, "one decision line per placement");
    assert_eq!(placed[0]["target"], "decision");
}

#[tokio::test]
async fn killed_router_leaves_the_other_serving() {
    let mut site = Site::start(&["dakar-1", "dakar-2"], 2, SLOW).await;
    let open = site.open_streams(0, 5, 60).await;
    site.routers[0].signal(Signal::KILL);
    for stream in open {
        let cut = stream.await.expect("the caller's task completes");
        assert!(cut.is_none_or(|answer| !answer.is_complete()));
    }
    // Each caller repeats its request on the other router; one sends it twice concurrently.
    let duplicate = site.spawn_ask(1, &chat("r-0", "lot 0", 60));
    for n in 0..5 {
        let prompt = format!("lot {n}");
        let answer = site.ask(1, &chat(&format!("r-{n}"), &prompt, 60)).await;
        assert_eq!(answer.text(), expected_text(&prompt, 60));
    }
    assert!(
        duplicate
            .await
            .expect("the caller's task completes")
            .is_some_and(|a| a.is_complete())
    );
    let _ended = site.routers[0].wait().await;
    let bills = site.wait_for_bills(5).await;
    assert_eq!(bills.len(), 5);
}

#[tokio::test]
async fn cut_engine_is_resumed_on_another() {
    let site = Site::start(&["dakar-1"], 2, QUICK).await;
    for (engine, _) in &site.engines[..1] {
        engine.set_faults(EngineFaults {
            cut_after: 7,
            ..EngineFaults::default()
        });
    }
    for n in 0..6 {
        let prompt = format!("lot {n}");
        let answer = site.ask(0, &chat(&format!("r-{n}"), &prompt, 30)).await;
        assert_eq!(
            answer.text(),
            expected_text(&prompt, 30),
            "no token is lost or repeated"
        );
    }
    let bills = site.wait_for_bills(6).await;
    assert!(bills.values().all(|tokens| *tokens == 2 + 30), "{bills:?}");
}

/// Guards against streams that break off, though engines could go on with them, since more were cut at
/// once than the retry budget allows.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_dead_engines_go_on_together() {
    let site = Site::start(&["dakar-1"], 4, SLOW).await;
    let open = site.open_streams(0, 80, 60).await;
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    for (engine, _) in &site.engines[..2] {
        engine.set_faults(EngineFaults {
            down: true,
            ..EngineFaults::default()
        });
    }
    let mut complete = 0;
    for (n, stream) in open.into_iter().enumerate() {
        let answer = stream.await.expect("the caller's task completes");
        let answer = answer.expect("an answer");
        let expected = expected_text(&format!("lot {n}"), 60);
        assert!(expected.starts_with(&answer.text()), "{}", answer.body);
        complete += usize::from(answer.is_complete());
    }
    assert!(complete >= 76, "{complete} of 80 streams are complete");
}

#[tokio::test]
async fn crossed_answer_is_never_passed_on() {
    let site = Site::start(&["dakar-1"], 2, QUICK).await;
    site.engines[0].0.set_faults(EngineFaults {
        crossed: true,
        ..EngineFaults::default()
    });
    for n in 0..6 {
        let prompt = format!("lot {n}");
        let answer = site.ask(0, &chat(&format!("r-{n}"), &prompt, 10)).await;
        assert_eq!(answer.text(), expected_text(&prompt, 10));
    }
}

#[tokio::test]
async fn leaving_caller_cancels_and_is_billed_for_what_ran() {
    let site = Site::start(&["dakar-1"], 1, SLOW).await;
    let open = site.spawn_ask(0, &chat("r-1", "a long report", 2000));
    let running = || site.engines[0].0.load().running;
    eventually("the stream is open", || async { running() == 1 }).await;
    tokio::time::sleep(std::time::Duration::from_millis(150)).await;
    open.abort();
    eventually("the engine receives the cancellation", || async {
        running() == 0
    })
    .await;
    assert_eq!(site.engines[0].0.load().cancelled, 1);
    let bills = site.wait_for_bills(1).await;
    assert!((1..2000).contains(&bills["r-1"]), "{bills:?}");
}

#[tokio::test]
async fn crashing_request_takes_at_most_two_engines() {
    let site = Site::start(&["dakar-1", "dakar-1", "dakar-2"], 5, QUICK).await;
    for n in 0..9 {
        let poison = chat(&format!("p-{n}"), "crash-the-engine now", 10);
        let answer = site.ask(n % 3, &poison).await;
        assert_ne!(answer.status, 200);
        if n > 3 {
            assert_eq!(
                (answer.code().as_str(), answer.outcome.as_str()),
                ("quarantined", "ran")
            );
        }
        tokio::time::sleep(std::time::Duration::from_millis(150)).await;
    }
    let crashed = site
        .engines
        .iter()
        .filter(|(engine, _)| engine.faults().down);
    assert_eq!(crashed.count(), 2);
    let answer = site.ask(0, &chat("r-1", "a fair price", 5)).await;
    assert!(answer.is_complete(), "the others still serve");
}

/// Guards against an engine that gets far more than the limit that it named: all routers keep to it together, no
/// request is refused while another engine is free, and the limit ends when answers name it no more.
#[tokio::test]
async fn limited_engine_gets_no_more_than_it_names() {
    let site = Site::start(&["dakar-1", "dakar-2"], 2, QUICK).await;
    let limit = |limit: &str| {
        site.engines[0].0.set_faults(EngineFaults {
            limit: limit.to_owned(),
            ..EngineFaults::default()
        });
    };
    limit("3");
    send_for(&site, "a", Duration::from_secs(3)).await;
    for window in 0..2 {
        let before = site.engines[0].0.load().started;
        send_for(&site, &format!("b-{window}"), Duration::from_secs(4)).await;
        let started = site.engines[0].0.load().started - before;
        assert!((1..=23).contains(&started), "{started} in 4 s");
    }
    limit("");
    send_for(&site, "c", Duration::from_secs(3)).await;
    let before = site.engines[0].0.load().started;
    send_for(&site, "d", Duration::from_secs(4)).await;
    let started = site.engines[0].0.load().started - before;
    assert!(started > 23, "the limit has ended: {started} in 4 s");
}

/// Sends requests to both routers in turn, 40 a second, and checks that all are answered.
async fn send_for(site: &Site, name: &str, length: Duration) {
    let mut open = Vec::new();
    for number in 0..length.as_millis() / 25 {
        let id = format!("{name}-{number}");
        let router = usize::from(number % 2 == 0);
        open.push(site.spawn_ask(router, &chat(&id, &format!("lot {id}"), 5)));
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    for ask in open {
        let answer = ask.await.expect("a caller").expect("an answer");
        assert!(answer.is_complete(), "{}", answer.body);
    }
}

/// Guards against messages that crash engines in whatever request they come: no two requests are alike, and
/// sound ones share their first message.
#[tokio::test]
async fn crashing_message_is_refused_in_every_request() {
    let site = Site::start(&["dakar-1", "dakar-1", "dakar-2"], 6, QUICK).await;
    let talk = |id: &str, second: &str| {
        let contents = ["you are a price desk", second, id];
        let messages = contents.map(|content| json!({"role": "user", "content": content}));
        let body = json!({"model": "price", "max_tokens": 5, "stream": true, "messages": messages});
        Request::post("/v1/chat/completions", KEY, &body.to_string()).with_id(id)
    };
    let mut codes = Vec::new();
    for n in 0..9 {
        let answer = site
            .ask(n % 3, &talk(&format!("p-{n}"), "crash-the-engine now"))
            .await;
        assert_ne!(answer.status, 200);
        codes.push(answer.code());
        tokio::time::sleep(std::time::Duration::from_millis(150)).await;
        let answer = site
            .ask(n % 3, &talk(&format!("s-{n}"), "a fair price"))
            .await;
        assert!(answer.is_complete(), "{n}: {}", answer.body);
    }
    let crashed = site
        .engines
        .iter()
        .filter(|(engine, _)| engine.faults().down);
    assert!((1..=5).contains(&crashed.count()), "{codes:?}");
    assert_eq!(codes[6..], ["quarantined"; 3], "{codes:?}");
}

#[tokio::test]
async fn engine_dying_by_itself_quarantines_nothing() {
    let site = Site::start(&["dakar-1"], 4, SLOW).await;
    let open = site.open_streams(0, 8, 60).await;
    site.engines[0].0.set_faults(EngineFaults {
        down: true,
        ..EngineFaults::default()
    });
    for (n, stream) in open.into_iter().enumerate() {
        let answer = stream
            .await
            .expect("the caller's task completes")
            .expect("an answer");
        assert_eq!(answer.text(), expected_text(&format!("lot {n}"), 60));
    }
    for n in 0..8 {
        let answer = site
            .ask(0, &chat(&format!("s-{n}"), &format!("lot {n}"), 5))
            .await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
}

#[tokio::test]
async fn leaving_engine_gets_no_new_work() {
    let site = Site::start(&["dakar-1", "dakar-2"], 2, QUICK).await;
    site.engines[0].0.set_faults(EngineFaults {
        leaving: true,
        ..EngineFaults::default()
    });
    for index in 0..2 {
        eventually("the router logs that the engine is leaving", || async {
            !site.routers[index]
                .logged("the upstream is leaving")
                .is_empty()
        })
        .await;
    }
    let before = site.engines[0].0.load().started;
    // The engine no longer reports that it is leaving; the routers don't revert the state they saw.
    site.engines[0].0.set_faults(EngineFaults::default());
    for n in 0..10 {
        let answer = site
            .ask(n % 2, &chat(&format!("r-{n}"), &format!("lot {n}"), 5))
            .await;
        assert!(answer.is_complete());
    }
    assert_eq!(site.engines[0].0.load().started, before);
}
