//! Changes of the configuration and of the settings beside requests on connections that stay open.

use std::time::Duration;

use fescue_site::kept::Step;
use fescue_site::manifest::{ENGINES, HOST, manifest};
use fescue_site::process::Gateway;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use super::gateway_silences::{begin, events, replace};
use super::gateway_site::Site;

/// The timeout for a configuration to take effect, and for an answer.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Writes the next version of the configuration and waits until the gateway has it.
async fn publish(site: &Site, gateway: &Gateway, version: u64, change: impl Fn(&mut Value)) {
    let mut wire = manifest(version, std::slice::from_ref(&site.team));
    change(&mut wire);
    site.store.store.put("op", "config", &wire);
    let until = Instant::now() + WAIT_TIMEOUT;
    let received = |line: &Value| line["version"] == version;
    while !gateway
        .log_lines("message", "received configuration")
        .iter()
        .any(received)
    {
        assert!(Instant::now() < until, "the configuration was not read");
        sleep(Duration::from_millis(10)).await;
    }
}

fn set_limit(name: &'static str, ms: u64) -> impl Fn(&mut Value) {
    move |wire| wire["limits"][name] = ms.into()
}

/// Returns the head of a request without a body.
fn request(site: &Site, id: &str) -> String {
    format!(
        "POST /read/1 HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {}\r\n\
         x-fescuedrift-attempt-id: {id}\r\ncontent-length: 0\r\n\r\n",
        site.team.key
    )
}

/// Reads until the body of an answer is complete; returns what was read if the connection ends first.
async fn read_answer(stream: &mut TcpStream, id: &str) -> Result<(), String> {
    let mut bytes = Vec::new();
    let end = format!("done {id}");
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if text.ends_with(&end) {
            return Ok(());
        }
        match timeout(WAIT_TIMEOUT, stream.read_buf(&mut bytes)).await {
            Ok(Ok(1..)) => {}
            ended => return Err(format!("{id}: {ended:?} after {text:?}")),
        }
    }
}

/// Sends a request in parts with a pause before each part but the first.
async fn exchange(
    site: &Site,
    stream: &mut TcpStream,
    id: &str,
    pause: Duration,
) -> Result<(), String> {
    let request = request(site, id);
    let (first, rest) = request.split_at(request.len() / 2);
    for (part, wait) in [(first, Duration::ZERO), (rest, pause)] {
        sleep(wait).await;
        let written = stream.write_all(part.as_bytes()).await;
        written.map_err(|error| format!("{id}: {error}"))?;
    }
    read_answer(stream, id).await
}

/// Guards against a connection that is closed under its next request because the gateway keeps to the
/// limits that were in force when it was opened.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_keeps_connections_open_by_the_limits_in_force() {
    let site = Site::open("reload-idle", 1_000_000).await;
    let gateway = site.ready("vm-1").await;
    publish(&site, &gateway, 2, set_limit("idle_timeout_ms", 1000)).await;
    let stream = TcpStream::connect(gateway.ports.callers).await;
    let mut stream = stream.expect("a connection");
    let served = exchange(&site, &mut stream, "i-1", Duration::ZERO).await;
    assert_eq!(served, Ok(()));
    publish(&site, &gateway, 3, set_limit("idle_timeout_ms", 15_000)).await;
    sleep(Duration::from_millis(3500)).await;
    let served = exchange(&site, &mut stream, "i-2", Duration::ZERO).await;
    assert_eq!(served, Ok(()));
    // A caller that has been idle may still go by the longer limit.
    publish(&site, &gateway, 4, set_limit("idle_timeout_ms", 1000)).await;
    sleep(Duration::from_millis(3500)).await;
    let served = exchange(&site, &mut stream, "i-3", Duration::ZERO).await;
    assert_eq!(served, Ok(()));
    // The shorter limit holds from the request on.
    let mut rest = Vec::new();
    let closed = timeout(WAIT_TIMEOUT, stream.read_to_end(&mut rest)).await;
    assert!(matches!(closed, Ok(Ok(0))), "{closed:?} {rest:?}");
}

/// Guards against a request that is cut off in its head by a limit that is no longer in force.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_reads_heads_within_the_limits_in_force() {
    let site = Site::open("reload-head", 1_000_000).await;
    let gateway = site.ready("vm-1").await;
    publish(&site, &gateway, 2, set_limit("header_timeout_ms", 500)).await;
    let stream = TcpStream::connect(gateway.ports.callers).await;
    let mut stream = stream.expect("a connection");
    let served = exchange(&site, &mut stream, "h-1", Duration::ZERO).await;
    assert_eq!(served, Ok(()));
    publish(&site, &gateway, 3, set_limit("header_timeout_ms", 10_000)).await;
    let served = exchange(&site, &mut stream, "h-2", Duration::from_millis(2500)).await;
    assert_eq!(served, Ok(()));
}

/// Guards against a stream that is cut because its caller has begun to send the next request, whose head
/// can't be read before the stream ends.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_finishes_a_stream_before_the_next_head() {
    let site = Site::open("reload-next", 1_000_000).await;
    let _upstreams = replace(&site, ENGINES, 1, |request| {
        vec![
            Step::Send(begin(request)),
            Step::Wait(Duration::from_millis(2500)),
            Step::Send(events(request, 3..=6)),
            Step::Close,
        ]
    })
    .await;
    let gateway = site.ready("vm-1").await;
    publish(&site, &gateway, 2, set_limit("header_timeout_ms", 500)).await;
    let stream = TcpStream::connect(gateway.ports.callers).await;
    let mut stream = stream.expect("a connection");
    let first = request(&site, "n-1")
        .replace("/read/1", "/draft/1")
        .replace(
            "content-length",
            "x-fescuedrift-model: m\r\nx-fescuedrift-token-usage: 10,30\r\n\
         x-fescuedrift-prompt-prefix: aa:9,n1:1\r\ncontent-length",
        );
    stream.write_all(first.as_bytes()).await.expect("a write");
    sleep(Duration::from_millis(300)).await;
    let next = request(&site, "n-2");
    stream.write_all(next.as_bytes()).await.expect("a write");
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"0\r\n\r\n") {
        let read = timeout(WAIT_TIMEOUT, stream.read_buf(&mut bytes)).await;
        let text = String::from_utf8_lossy(&bytes);
        assert!(matches!(read, Ok(Ok(1..))), "{read:?} after {text}");
    }
}
