//! Streams that had begun and broke off, while the next upstream answers with an error.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_site::engine;
use fescue_site::kept::{KeptUpstream, Step};
use fescue_site::manifest::{ENGINES, HOST, manifest, upstream_entry};
use fescue_site::scripted::RequestHead;
use parking_lot::Mutex;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::gateway_site::Site;
use super::site::bounded;

/// The text that each error holds.
const ERROR: &str = "ERROR-TEXT";

/// The head of an answer, with what follows the status line.
pub fn head(request: &RequestHead, status: &str, fields: &str) -> String {
    let id = &request.id;
    format!(
        "HTTP/1.1 {status}\r\nx-fescuedrift-response-signature: s.{id}\r\n\
         x-fescuedrift-attempt-id: {id}\r\n{fields}\r\n"
    )
}

/// The fields of an answer that is a stream and ends with its connection.
pub const STREAM: &str = "content-type: text/event-stream\r\nconnection: close\r\n";

pub fn events(request: &RequestHead, numbers: std::ops::RangeInclusive<u64>) -> String {
    numbers
        .map(|number| engine::event(&request.id, number))
        .collect()
}

/// Returns the whole answer to a request.
type Script = fn(&RequestHead) -> String;

/// Answers of the upstream at which a stream should go on, by name.
fn errors() -> Vec<(&'static str, Script)> {
    const LENGTH: &str = "content-type: text/plain\r\ncontent-length: 12\r\n";
    const CLOSE: &str = "content-type: text/plain\r\nconnection: close\r\n";
    const GZIP: &str =
        "content-type: text/event-stream\r\ncontent-encoding: gzip\r\nconnection: close\r\n";
    const REFUSED: &str = "x-fescuedrift-not-executed: 1\r\ncontent-length: 12\r\n";
    const EMPTY: &str = "content-type: text/event-stream\r\ncontent-length: 0\r\n";
    vec![
        ("500", |r| head(r, "500 Failure", LENGTH) + ERROR + "\n\n"),
        ("500-close", |r| {
            head(r, "500 Failure", CLOSE) + ERROR + "\n\n"
        }),
        ("404", |r| head(r, "404 None", LENGTH) + ERROR + "\n\n"),
        ("502-events", |r| {
            head(r, "502 Failure", STREAM) + "id: 3\ndata: " + ERROR + "\n\n"
        }),
        ("503", |r| head(r, "503 Full", REFUSED) + ERROR + "\n\n"),
        ("plain", |r| head(r, "200 OK", LENGTH) + ERROR + "\n\n"),
        ("plain-event", |r| {
            head(r, "200 OK", CLOSE) + "id: 3\ndata: " + ERROR + "\n\n"
        }),
        ("encoded", |r| {
            head(r, "200 OK", GZIP) + "id: 3\ndata: " + ERROR + "\n\n"
        }),
        ("text", |r| head(r, "200 OK", STREAM) + ERROR + "\n\n"),
        ("data", |r| {
            head(r, "200 OK", STREAM) + "data: " + ERROR + "\n\n"
        }),
        ("head", |r| {
            head(r, "200 OK", STREAM) + "HTTP/1.1 500 " + ERROR + "\r\n\r\n"
        }),
        ("again", |r| {
            head(r, "200 OK", STREAM) + "id: 1\ndata: " + ERROR + "\n\n"
        }),
        ("empty", |r| head(r, "200 OK", EMPTY)),
    ]
}

/// The end of the first answer, after two events.
const BREAKS: [(&str, &str); 3] = [
    ("event", "id: 3\nda"),
    (
        "head",
        "HTTP/1.1 500 ERROR-TEXT\r\ncontent-length: 12\r\n\r\nERROR-TEXT\n\n",
    ),
    ("error", "data: ERROR-TEXT\n\n"),
];

/// Starts a gateway's site with three upstreams. `script` returns what to do for a request, by how many of them
/// have received it.
pub async fn scripted<F>(name: &str, attempts: u32, script: F) -> (Site, Vec<KeptUpstream>)
where
    F: Fn(&RequestHead, u32) -> Vec<Step> + Clone + Send + Sync + 'static,
{
    let site = Site::open(name, 1_000_000).await;
    for engine in &site.engines {
        site.store.store.remove("servers", &engine.id);
    }
    let mut wire = manifest(2, std::slice::from_ref(&site.team));
    wire["routes"][0]["max_attempts"] = json!(attempts);
    site.store.store.put("op", "config", &wire);
    let counts: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let mut upstreams = Vec::new();
    for index in 0..3 {
        let (counts, script) = (Arc::clone(&counts), script.clone());
        let upstream = KeptUpstream::spawn(move |heads| {
            let request = &heads[heads.len() - 1];
            let count = {
                let mut counts = counts.lock();
                let count = counts.entry(request.id.clone()).or_default();
                *count += 1;
                *count
            };
            script(request, count)
        });
        let upstream = upstream.await.expect("an upstream");
        let entry = upstream_entry(ENGINES, upstream.address, 8, false);
        site.store
            .store
            .put("servers", &format!("k-{index}"), &entry);
        upstreams.push(upstream);
    }
    (site, upstreams)
}

/// Starts a gateway's site as [`scripted`] does. Of each request, the first attempt breaks off, the second
/// gets an error, and the next ones go on.
async fn site(
    name: &str,
    attempts: u32,
    broken: &'static str,
    error: Script,
) -> (Site, Vec<KeptUpstream>) {
    let script = move |request: &RequestHead, count: u32| {
        let begin = |numbers| head(request, "200 OK", STREAM) + &events(request, numbers);
        match count {
            // The events reach the caller before the stream breaks off.
            1 => vec![
                Step::Send(begin(1..=2)),
                Step::Wait(Duration::from_millis(50)),
                Step::Send(broken.to_owned()),
                Step::Close,
            ],
            2 => vec![Step::Send(error(request)), Step::Close],
            _ => vec![Step::Send(begin(3..=6)), Step::Close],
        }
    };
    scripted(name, attempts, script).await
}

/// Sends a request and returns all bytes until the end of its connection.
async fn raw(site: &Site, address: SocketAddr, path: &str, id: &str) -> String {
    raw_with(
        site,
        address,
        path,
        id,
        "x-fescuedrift-deadline-ms: 3000\r\n",
    )
    .await
}

/// Sends a request as [`raw`] does, with some fields of its head.
async fn raw_with(site: &Site, address: SocketAddr, path: &str, id: &str, fields: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {}\r\n\
         x-fescuedrift-attempt-id: {id}\r\n{fields}\
         x-fescuedrift-model: m\r\nx-fescuedrift-token-usage: 10,30\r\n\
         x-fescuedrift-prompt-prefix: aa:9,{id}:1\r\nconnection: close\r\n\
         content-length: 0\r\n\r\n",
        site.team.key
    );
    stream.write_all(request.as_bytes()).await.expect("a write");
    let mut bytes = Vec::new();
    // The gateway may reset the connection of a stream that it breaks off.
    let _ended = bounded(id, stream.read_to_end(&mut bytes)).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns whether the chunked body is complete.
fn is_complete(response: &str) -> bool {
    response.ends_with("0\r\n\r\n")
}

/// Returns the numbers of the events in a response.
fn numbers(response: &str) -> Vec<u64> {
    let ids = response
        .lines()
        .filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

/// Guards against an error's text in the middle of a stream, and against a stream that ends although
/// another upstream can go on with it.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_resumes_a_stream_past_an_error() {
    let mut faults = Vec::new();
    for (name, error) in errors() {
        let (site, _upstreams) = site(&format!("past-{name}"), 4, BREAKS[0].1, error).await;
        let gateway = site.ready("vm-1").await;
        let response = raw(&site, gateway.ports.callers, "/chat/1", "abc1").await;
        let whole = numbers(&response) == [1, 2, 3, 4, 5, 6] && is_complete(&response);
        if !whole || response.contains(ERROR) {
            faults.push(format!("{name}: {response}"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against a stream that seems complete, or holds an error's text, where no other attempt is
/// allowed.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_breaks_a_stream_off_visibly() {
    let mut faults = Vec::new();
    for (name, error) in errors() {
        let (site, upstreams) = site(&format!("off-{name}"), 2, BREAKS[0].1, error).await;
        let gateway = site.ready("vm-1").await;
        let response = raw(&site, gateway.ports.callers, "/chat/1", "abc2").await;
        let resumed = name == "503" && numbers(&response) == [1, 2, 3, 4, 5, 6];
        let off = numbers(&response) == [1, 2] && !is_complete(&response);
        let sent: usize = upstreams
            .iter()
            .map(|upstream| upstream.received().len())
            .sum();
        if !(off || resumed) || response.contains(ERROR) || sent > 3 {
            faults.push(format!("{name} ({sent} sent): {response}"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against an error that an upstream writes into its own stream, head and all.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_forwards_no_error_within_a_stream() {
    let mut faults = Vec::new();
    for (name, broken) in BREAKS {
        let (site, _upstreams) = site(&format!("own-{name}"), 4, broken, errors()[0].1).await;
        let gateway = site.ready("vm-1").await;
        for (path, id, whole) in [("/chat/1", "abc3", true), ("/draft/1", "abc4", false)] {
            let response = raw(&site, gateway.ports.callers, path, id).await;
            let sound = match whole {
                true => numbers(&response) == [1, 2, 3, 4, 5, 6] && is_complete(&response),
                false => numbers(&response) == [1, 2] && !is_complete(&response),
            };
            if !sound || response.contains(ERROR) {
                faults.push(format!("{name} {path}: {response}"));
            }
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against a connection that is closed in place of an answer, since the caller's deadline is longer than
/// a clock can count.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_serves_a_stream_with_an_endless_deadline() {
    let site = Site::open("endless", 1_000_000).await;
    let gateway = site.ready("vm-1").await;
    for (number, deadline) in ["1e22", "18446744073709551615", "3000"].iter().enumerate() {
        let id = format!("abc5{number}");
        let fields = format!("x-fescuedrift-deadline-ms: {deadline}\r\n");
        let response = raw_with(&site, gateway.ports.callers, "/chat/1", &id, &fields).await;
        let whole = numbers(&response) == [1, 2, 3, 4, 5, 6] && is_complete(&response);
        assert!(whole, "{deadline}: {response}");
    }
}

/// Guards against a stream that begins anew at a caller that has some of it: nothing can follow an id that is no number.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_refuses_to_resume_after_an_id_that_is_no_number() {
    let site = Site::open("unnumbered", 1_000_000).await;
    let gateway = site.ready("vm-1").await;
    for last in ["three", "-3", "3.5"] {
        let fields = format!("last-event-id: {last}\r\nresumes: abc6\r\n");
        let response = raw_with(&site, gateway.ports.callers, "/chat/1", "abc7", &fields).await;
        assert!(response.starts_with("HTTP/1.1 400 "), "{last}: {response}");
    }
    assert_eq!(site.runs("abc7"), 0);
}
