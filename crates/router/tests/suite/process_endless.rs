//! Upstreams of the own pipeline that send slowly and without end, or go on after the end of an answer.

use fescue_site::flood::{Flood, FloodUpstream};
use futures_util::future::join_all;
use rustix::process::Signal;
use serde_json::json;

use crate::process_floods::{LOAD, rules_with};
use crate::site::{QUICK, SLOW, Site, chat, eventually, purchase};

/// The number of requests beside each other.
const REQUESTS: usize = 8;

/// The most that an upstream may get rid of on a connection that isn't read any more: a few reads of up to
/// 64 KB, and 4 MB in the buffers of its sockets.
const MAX_SURPLUS_BYTES: usize = (256 << 10) + (4 << 20);

/// Makes an upstream that never ends what it sends the only one.
async fn flood(site: &Site, flood: Flood) -> FloodUpstream {
    let upstream = FloodUpstream::spawn_except(flood, "/v1/load", LOAD).await;
    let upstream = upstream.expect("an upstream");
    let rules = rules_with(site, upstream.address);
    let version = site.apply_rules(&format!("{flood:?}"), &rules).await;
    site.wait_for_version(version).await;
    upstream
}

async fn wait_until_closed(upstream: &FloodUpstream) {
    eventually("connections are closed", || async { upstream.open() == 0 }).await;
}

/// Guards against a call that waits for the end of an answer that has none beyond its time-out, or is told
/// that it didn't run.
#[tokio::test(flavor = "multi_thread")]
async fn call_that_an_upstream_never_ends_is_unknown() {
    let site = Site::start(&["dakar-1"], 1, QUICK).await;
    for kind in [Flood::SlowHead, Flood::SlowBody] {
        let upstream = flood(&site, kind).await;
        let asks =
            (0..REQUESTS).map(|number| site.spawn_ask(0, &purchase(&format!("{kind:?}-{number}"))));
        for answer in join_all(asks).await {
            let answer = answer.expect("a caller").expect("an answer");
            assert_eq!(answer.status, 504, "{kind:?}: {}", answer.body);
            assert_eq!(answer.outcome, "unknown", "{kind:?}: {}", answer.body);
        }
        wait_until_closed(&upstream).await;
    }
}

/// Guards against bytes after the end of an answer that are read without end, kept, or taken for the answer to
/// the next request.
#[tokio::test(flavor = "multi_thread")]
async fn connection_with_bytes_after_an_answer_is_left() {
    let site = Site::start(&["dakar-1"], 1, QUICK).await;
    let upstream = flood(&site, Flood::Surplus).await;
    for number in 0..2 * REQUESTS {
        let id = format!("surplus-{number}");
        let answer = site.ask(0, &purchase(&id)).await;
        assert_eq!((answer.status, answer.body), (200, format!("done {id}")));
    }
    wait_until_closed(&upstream).await;
    let written = upstream.written();
    assert!(
        written <= 2 * REQUESTS * MAX_SURPLUS_BYTES,
        "{written} bytes"
    );
}

/// Guards against a stop that waits for a head or a body without end: the process outlasts its grace period and
/// is killed, with the answers that could still have ended.
#[tokio::test(flavor = "multi_thread")]
async fn stop_ends_answers_without_end() {
    let changes = json!({"pace": {"grace_ms": 4000, "linger_ms": 500}});
    let mut site = Site::start_with(&["dakar-1"], 1, SLOW, changes).await;
    let sound = site.spawn_ask(0, &chat("sound", "long", 100));
    eventually("the stream is open", || async {
        site.engines[0].0.load().started == 1
    })
    .await;
    let upstream = flood(&site, Flood::SlowHead).await;
    let asks = (0..REQUESTS).map(|number| {
        let (id, prompt) = (format!("endless-{number}"), format!("lot {number}"));
        site.spawn_ask(0, &chat(&id, &prompt, 5))
    });
    let asks: Vec<_> = asks.collect();
    eventually("requests are at the upstream", || async {
        upstream.open() >= REQUESTS
    })
    .await;
    site.routers[0].signal(Signal::TERM);
    let sound = sound.await.expect("a caller").expect("an answer");
    assert!(sound.is_complete(), "{sound:?}");
    for answer in join_all(asks).await {
        let answer = answer.expect("a caller").expect("an answer");
        assert!(answer.status >= 500, "{answer:?}");
        assert_ne!(answer.outcome, "not_run", "{answer:?}");
    }
    // The wait is far shorter than the time-out of the requests.
    let status = site.routers[0].wait().await;
    assert!(status.success(), "{status}");
}
