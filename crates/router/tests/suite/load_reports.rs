//! Load reports of upstreams, which decide whether they are up and whether a request crashed them.

use fescue_router::upstream::Client;
use fescue_site::kept::{KeptUpstream, Step};

use crate::process_floods::LOAD;

/// Guards against an upstream that counts as down, and a request that counts as the cause, because the
/// upstream closes kept connections, as servers may at any moment.
#[tokio::test(flavor = "multi_thread")]
async fn closed_kept_connection_is_no_missed_report() {
    let report = || {
        let length = LOAD.len();
        format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{LOAD}")
    };
    let upstream = KeptUpstream::spawn(move |heads| match heads.len() {
        1 => vec![Step::Send(report())],
        _ => vec![Step::Close],
    });
    let upstream = upstream.await.expect("an upstream");
    let client = Client::open();
    for number in 0..6 {
        let report = client.get(upstream.address, "/v1/load").await;
        assert_eq!(report.as_deref(), Some(LOAD.as_bytes()), "{number}");
    }
}
