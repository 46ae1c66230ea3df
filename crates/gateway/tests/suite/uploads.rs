//! Answers that arrive while the request is still being written, and answers without a valid status, over
//! loopback sockets.

use std::time::Duration;

use bytes::Bytes;
use fescue_gateway::link::{Link, LinkError};
use fescue_standin::early::{EarlyUpstream, End, Reply};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::timeout;

/// Size of an upload, which exceeds what the buffers of both sockets hold.
const UPLOAD_BYTES: usize = 16 << 20;

/// Time limit for anything that must happen; a failure is reported by then.
const LIMIT: Duration = Duration::from_secs(20);

/// How often each case is played, since the order of the kernel's reports varies.
const ROUNDS: usize = 20;

const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// The part of an answer that is sent before its connection ends.
const PART: &str = "id: 1\ndata: a\n\n";

fn request(path: &str, bytes: usize) -> Request<Full<Bytes>> {
    let request = Request::post(path).header("host", "upstream");
    let request = request.body(Full::new(Bytes::from(vec![b'a'; bytes])));
    request.expect("a request")
}

async fn read(response: Response<Incoming>) -> Result<Bytes, hyper::Error> {
    Ok(response.into_body().collect().await?.to_bytes())
}

/// Starts an upstream that gives `reply` to uploads and a whole answer to other requests.
async fn start(reply: Reply) -> EarlyUpstream {
    let upstream = EarlyUpstream::spawn(move |head| match head.contains(" /upload ") {
        true => reply.clone(),
        false => Reply::Whole(WHOLE.to_owned()),
    });
    upstream.await.expect("an upstream")
}

async fn open(upstream: &EarlyUpstream, kept: bool) -> Link {
    let link = Link::open(upstream.address, LIMIT).await;
    let mut link = link.expect("a connection");
    if kept {
        let response = link.send(request("/", 0)).await.expect("an answer");
        assert_eq!(read(response).await.expect("a body"), "ok");
        assert!(link.wait_ready(LIMIT).await, "the connection is kept");
    }
    link
}

/// Uploads to an upstream; returns the body if the answer passes as complete.
async fn exchange(kept: bool, reply: Reply) -> Option<Bytes> {
    let upstream = start(reply.clone()).await;
    let mut link = open(&upstream, kept).await;
    match timeout(LIMIT, link.send(request("/upload", UPLOAD_BYTES))).await {
        Ok(Ok(response)) => timeout(LIMIT, read(response)).await.expect("an end").ok(),
        Ok(Err(LinkError::Broke(_))) => None,
        other => panic!("{kept} {reply:?}: {other:?}"),
    }
}

/// Guards against a part of an answer that passes as complete: the answer has no length, and its connection
/// broke off while the upload was being written.
#[tokio::test(flavor = "multi_thread")]
async fn upload_answer_that_breaks_off_is_incomplete() {
    let part = format!("HTTP/1.1 200 OK\r\n\r\n{PART}");
    let mut complete = Vec::new();
    for end in End::BROKEN {
        for kept in [false, true] {
            let mut count = 0;
            for _ in 0..ROUNDS {
                let body = exchange(kept, Reply::Broken(part.clone(), end)).await;
                count += usize::from(body.is_some());
            }
            if count > 0 {
                complete.push(format!("{end:?}, kept {kept}: {count}"));
            }
        }
    }
    assert!(complete.is_empty(), "complete of {ROUNDS}: {complete:#?}");
}

/// Guards against refusing the answer of an upstream that ends its side before it reads the upload.
#[tokio::test(flavor = "multi_thread")]
async fn upload_answer_that_ends_in_order_is_complete() {
    let part = format!("HTTP/1.1 200 OK\r\n\r\n{PART}");
    for kept in [false, true] {
        let body = exchange(kept, Reply::Broken(part.clone(), End::Orderly)).await;
        assert_eq!(body.as_deref(), Some(PART.as_bytes()), "kept: {kept}");
    }
}

/// Guards against giving up a connection whose upstream answers first and reads the upload later.
#[tokio::test(flavor = "multi_thread")]
async fn upload_answered_early_keeps_the_connection() {
    let upstream = start(Reply::Early(WHOLE.to_owned())).await;
    let mut link = open(&upstream, false).await;
    for _ in 0..3 {
        let response = link.send(request("/upload", UPLOAD_BYTES)).await;
        let body = read(response.expect("an answer")).await;
        assert_eq!(body.expect("a body"), "ok");
        assert!(link.wait_ready(LIMIT).await, "the connection is kept");
    }
}

/// Guards against an answer without a valid status that passes as an answer.
#[tokio::test(flavor = "multi_thread")]
async fn status_out_of_range_is_no_answer() {
    for status in [
        "000", "000 OK", "001 OK", "099", "1000 OK", "20 OK", "-20 OK",
    ] {
        let text = format!("HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\nok");
        let unframed = format!("HTTP/1.1 {status}\r\n\r\nok");
        let replies = [
            Reply::Whole(text.clone()),
            Reply::Whole(unframed.clone()),
            Reply::Broken(unframed, End::Orderly),
        ];
        for (reply, kept) in replies
            .into_iter()
            .flat_map(|r| [(r.clone(), false), (r, true)])
        {
            let upstream = start(reply).await;
            let mut link = open(&upstream, kept).await;
            let answer = timeout(LIMIT, link.send(request("/upload", 10))).await;
            let answer = answer.expect("a result");
            let broke = matches!(answer, Err(LinkError::Broke(_)));
            assert!(broke, "{status}, kept {kept}: {answer:?}");
        }
    }
}
