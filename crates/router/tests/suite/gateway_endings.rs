//! Answers whose end is the end of their connection, and streams that end inside an event.

use fescue_site::caller::{Kind, Outcome, send};
use fescue_site::engine;
use fescue_site::manifest::{ENGINES, LEDGER, upstream_entry};
use fescue_site::scripted::{End, RequestHead, ScriptedUpstream};

use super::gateway_site::Site;

/// Returns a response head without a length.
fn head(request: &RequestHead) -> String {
    let id = &request.id;
    format!(
        "HTTP/1.1 200 OK\r\nx-fescuedrift-response-signature: s.{id}\r\n\
         x-fescuedrift-attempt-id: {id}\r\n\r\n"
    )
}

/// Returns the first events of a stream.
fn events(request: &RequestHead, count: u64) -> String {
    (1..=count)
        .map(|number| engine::event(&request.id, number))
        .collect()
}

/// Sends one request of each kind; all upstreams answer with `answer` and end their connections.
async fn outcomes<F>(name: &str, end: End, answer: F) -> Vec<(Kind, Outcome)>
where
    F: Fn(&RequestHead) -> String + Send + Sync + 'static,
{
    let site = Site::open(name, 1_000_000).await;
    for upstream in site.engines.iter().chain(&site.ledgers) {
        site.store.store.remove("servers", &upstream.id);
    }
    let upstream = ScriptedUpstream::spawn(end, answer)
        .await
        .expect("an upstream");
    for service in [ENGINES, LEDGER] {
        let entry = upstream_entry(service, upstream.address, 64, false);
        site.store.store.put("servers", service, &entry);
    }
    let gateway = site.ready("vm-1").await;
    let mut seen = Vec::new();
    for kind in Kind::ALL {
        let ask = site.ask(kind, &format!("{name}-{kind:?}"));
        seen.push((kind, send(gateway.ports.callers, &ask).await));
    }
    seen
}

/// Returns the whole answer to a request, without a length.
fn whole(request: &RequestHead) -> String {
    let stream = request.line.contains("/chat/") || request.line.contains("/draft/");
    let body = match stream {
        true => events(request, 6),
        false => format!("done {}", request.id),
    };
    head(request) + &body
}

/// Guards against refusing an answer that has neither a length nor chunks.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_serves_an_answer_that_ends_with_its_connection() {
    for (kind, seen) in outcomes("unframed", End::Close, whole).await {
        assert!(matches!(seen, Outcome::Served { .. }), "{kind:?}: {seen:?}");
    }
}

/// Guards against a stream that looks complete although its connection ended inside an event.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_cuts_a_stream_that_ends_inside_an_event() {
    let answer = |request: &RequestHead| head(request) + &events(request, 2) + "id: 3\nda";
    let streams = outcomes("torn", End::Close, answer).await;
    for (kind, seen) in streams.into_iter().filter(|(kind, _)| kind.is_streaming()) {
        assert!(matches!(seen, Outcome::Broken(_)), "{kind:?}: {seen:?}");
    }
}

/// The same where the connection ends inside the first event, before anything was sent to the caller.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_refuses_a_stream_that_ends_inside_its_first_event() {
    let answer = |request: &RequestHead| head(request) + "id: 1\nda";
    let streams = outcomes("first", End::Close, answer).await;
    for (kind, seen) in streams.into_iter().filter(|(kind, _)| kind.is_streaming()) {
        let failed = matches!(&seen, Outcome::Refused { status, .. } if status.as_u16() == 502);
        assert!(failed, "{kind:?}: {seen:?}");
    }
}

/// Guards against an answer without a length that looks complete although its connection was reset.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_serves_no_answer_whose_connection_is_reset() {
    for (kind, seen) in outcomes("reset", End::Reset, whole).await {
        let served = matches!(seen, Outcome::Served { .. });
        assert!(!served, "{kind:?}: {seen:?}");
    }
}

/// A failure without a length is passed on as the upstream gave it, also by routes for streams.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_passes_on_a_failure_that_ends_with_its_connection() {
    let answer = |request: &RequestHead| head(request).replace("200 OK", "418 Failure") + "no";
    for (kind, seen) in outcomes("failure", End::Close, answer).await {
        let passed = matches!(&seen, Outcome::Refused { status, .. } if status.as_u16() == 418);
        assert!(passed, "{kind:?}: {seen:?}");
    }
}

/// Guards against a success with an empty body, framed as whole, where the upstream closed its connection
/// between its head and the body, and had not said that it would close.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_refuses_an_answer_that_ends_with_its_head() {
    for (kind, seen) in outcomes("headless", End::Close, head).await {
        let failed = matches!(&seen, Outcome::Refused { status, .. } if status.as_u16() == 502);
        assert!(failed, "{kind:?}: {seen:?}");
    }
}

/// Guards against refusing an empty answer of an upstream that says that it closes the connection. A stream
/// without an event is refused nevertheless.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_passes_on_an_empty_answer_of_a_closing_upstream() {
    let closing = |request: &RequestHead| {
        let head = head(request);
        head.replace("200 OK\r\n", "200 OK\r\nconnection: close\r\n")
    };
    for (kind, seen) in outcomes("closing", End::Close, closing).await {
        let passed = matches!(&seen, Outcome::Wrong(text) if text.ends_with("got \"\""));
        assert_eq!(passed, !kind.is_streaming(), "{kind:?}: {seen:?}");
    }
}
