//! Answers that break off while the request's body is being written, and answers without a valid status.

use std::time::Duration;

use fescue_site::caller::{Kind, Outcome, send};
use fescue_site::engine;
use fescue_site::manifest::{ENGINES, LEDGER, manifest, upstream_entry};
use fescue_site::scripted::RequestHead;
use fescue_standin::early::{EarlyUpstream, End, Reply};
use serde_json::json;

use super::gateway_site::Site;

/// Size of an upload, which exceeds what the buffers of both sockets hold.
pub const UPLOAD_BYTES: usize = 5 << 20;

/// How often each case is played, since the order of the kernel's reports varies.
pub const ROUNDS: usize = 2;

/// Returns a whole answer with the given status line and fields that frame it.
fn whole(head: &RequestHead, status: &str, framed: bool) -> String {
    let stream = head.line.contains("/chat/") || head.line.contains("/draft/");
    let body: String = match stream {
        true => (1..=6).map(|n| engine::event(&head.id, n)).collect(),
        false => format!("done {}", head.id),
    };
    let length = match framed {
        true => format!("content-length: {}\r\n", body.len()),
        false => String::new(),
    };
    let id = &head.id;
    format!(
        "HTTP/1.1 {status}\r\nx-fescuedrift-response-signature: s.{id}\r\n\
         x-fescuedrift-attempt-id: {id}\r\n{length}\r\n{body}"
    )
}

/// Sends uploads of each kind to an upstream that gives them the `reply`, on new and on kept connections;
/// returns what their callers saw.
async fn outcomes<F>(name: &str, rounds: usize, reply: F) -> Vec<(String, Outcome)>
where
    F: Fn(&RequestHead) -> Reply + Send + Sync + 'static,
{
    let site = Site::open(name, 10_000_000).await;
    for upstream in site.engines.iter().chain(&site.ledgers) {
        site.store.store.remove("servers", &upstream.id);
    }
    let upstream = EarlyUpstream::spawn(move |head| {
        let head = RequestHead::parse(head);
        match head.id.contains("sound") {
            true => Reply::Whole(whole(&head, "200 OK", true)),
            false => reply(&head),
        }
    });
    let upstream = upstream.await.expect("an upstream");
    for service in [ENGINES, LEDGER] {
        let entry = upstream_entry(service, upstream.address, 64, false);
        site.store.store.put("servers", service, &entry);
    }
    let mut manifest = manifest(2, std::slice::from_ref(&site.team));
    manifest["limits"]["max_body_bytes"] = json!(2 * UPLOAD_BYTES);
    site.store.store.put("op", "config", &manifest);
    let gateway = site.ready("vm-1").await;
    let mut seen = Vec::new();
    for round in 0..rounds {
        for kind in Kind::ALL {
            for kept in [false, true] {
                if kept {
                    let sound = site.ask(kind, &format!("sound-{kind:?}-{round}").to_lowercase());
                    let sound = send(gateway.ports.callers, &sound).await;
                    assert!(matches!(sound, Outcome::Served { .. }), "{sound:?}");
                }
                let id = format!("{kind:?}-{kept}-{round}").to_lowercase();
                let mut ask = site.ask(kind, &id);
                ask.part = format!("{round:x}{}", u8::from(kept));
                ask.padding = UPLOAD_BYTES;
                ask.deadline = Duration::from_secs(3);
                seen.push((id, send(gateway.ports.callers, &ask).await));
            }
        }
    }
    seen
}

/// Guards against a part of an answer that passes as complete: the answer has no length, and its connection
/// broke off while the upload was being written.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_serves_no_answer_that_breaks_off_in_an_upload() {
    for (number, end) in End::BROKEN.into_iter().enumerate() {
        let name = format!("uploads-{number}");
        let reply = move |head: &RequestHead| Reply::Broken(whole(head, "200 OK", false), end);
        let mut seen = outcomes(&name, ROUNDS, reply).await;
        seen.retain(|(_, seen)| matches!(seen, Outcome::Served { .. } | Outcome::Wrong(_)));
        assert!(seen.is_empty(), "{end:?}: {seen:#?}");
    }
}

/// Guards against refusing the answer of an upstream that ends its side before it reads the upload, or that
/// answers first and reads the upload later.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_serves_an_upload_that_is_answered_early() {
    let ended = |head: &RequestHead| Reply::Broken(whole(head, "200 OK", false), End::Orderly);
    let kept = |head: &RequestHead| Reply::Early(whole(head, "200 OK", true));
    let ended = outcomes("uploads-ended", 1, ended).await;
    let kept = outcomes("uploads-kept", 2, kept).await;
    for (id, seen) in ended.into_iter().chain(kept) {
        assert!(matches!(seen, Outcome::Served { .. }), "{id}: {seen:?}");
    }
}

/// Guards against an answer without a valid status that is passed on.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_passes_on_no_invalid_status() {
    for (number, status) in ["000", "000 OK", "099 OK", "1000 OK"]
        .into_iter()
        .enumerate()
    {
        for framed in [true, false] {
            let reply = move |head: &RequestHead| match framed {
                true => Reply::Whole(whole(head, status, true)),
                false => Reply::Broken(whole(head, status, false), End::Orderly),
            };
            let name = format!("uploads-status-{number}-{framed}");
            for (id, seen) in outcomes(&name, 1, reply).await {
                let failed =
                    matches!(&seen, Outcome::Refused { status, .. } if status.as_u16() == 502);
                assert!(failed, "{status:?}, framed {framed}, {id}: {seen:?}");
            }
        }
    }
}
