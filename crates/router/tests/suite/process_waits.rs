//! The bounds on how long a request may wait, and what changes of the rules do to requests on their way.

use std::time::{Duration, Instant};

use fescue_site::kept::{KeptUpstream, Step};
use serde_json::json;

use crate::process_floods::LOAD;
use crate::site::{QUICK, Site, chat};

/// Reports its load, and takes requests without answering them.
fn silent(head: &str) -> Vec<Step> {
    let length = LOAD.len();
    match head.contains("/v1/load") {
        true => vec![Step::Send(format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{LOAD}"
        ))],
        false => vec![Step::Wait(Duration::from_secs(60))],
    }
}

/// Returns the rule of an engine.
fn engine(upstream: &KeptUpstream) -> String {
    let (at, port) = (upstream.address, upstream.address.port());
    format!(
        "upstream kept-{port} at={at} data-centre=dakar-1 models=price slots=8 \
         fencing=ignores orders=unchecked # asked by Awa\n"
    )
}

/// Guards against a request that gets the whole time-out again with each attempt.
#[tokio::test(flavor = "multi_thread")]
async fn silent_upstreams_share_one_timeout() {
    let timeout = json!({"limits": {"request_ms": 1500}});
    let site = Site::start_with(&["dakar-1"], 0, QUICK, timeout).await;
    let mut text = site.rules();
    let mut upstreams = Vec::new();
    for _ in 0..3 {
        let upstream = KeptUpstream::spawn(|heads| silent(&heads[heads.len() - 1].line)).await;
        upstreams.push(upstream.expect("an upstream"));
    }
    text.extend(upstreams.iter().map(engine));
    let version = site.apply_rules("silent", &text).await;
    site.wait_for_version(version).await;
    let start = Instant::now();
    let seen = site.ask(0, &chat("r-1", "lot 1", 5)).await;
    let waited = start.elapsed();
    assert_eq!((seen.status, seen.outcome.as_str()), (504, "unknown"));
    assert!(waited < Duration::from_millis(2500), "{waited:?}");
}
