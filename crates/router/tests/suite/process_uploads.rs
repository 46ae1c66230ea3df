//! Answers that break off while the request's body is being written, and answers without a valid status, through
//! router processes and at the client of the platform.

use std::ops::Range;
use std::time::Duration;

use fescue_core::VmId;
use fescue_standin::caller::Request;
use fescue_standin::early::{EarlyUpstream, End, Reply};
use fescue_store::http::Client;
use fescue_store::{Table, TableError, Transaction};
use serde_json::json;

use crate::gateway_uploads::{ROUNDS, UPLOAD_BYTES};
use crate::process_floods::{LOAD, rules_with};
use crate::site::{KEY, QUICK, Site, chat, purchase};

/// Statuses that aren't valid.
const STATUSES: [&str; 4] = ["000", "000 OK", "099 OK", "1000 OK"];

/// Returns the answer to a request, with the given status line.
fn answer(head: &str, status: &str, framed: bool) -> String {
    let event = json!({"choices": [{"index": 0, "delta": {"content": "a"}}]});
    let usage = json!({"choices": [], "usage": {"prompt_tokens": 3, "completion_tokens": 1}});
    let body = match head {
        head if head.contains("/v1/load") => LOAD.to_owned(),
        head if head.contains("chat") => {
            format!("data: {event}\n\ndata: {usage}\n\ndata: [DONE]\n\n")
        }
        _ => "{\"recorded\":true}".to_owned(),
    };
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("x-request-id: "));
    let id = id.unwrap_or_default();
    let length = match framed {
        true => format!("content-length: {}\r\n", body.len()),
        false => String::new(),
    };
    format!("HTTP/1.1 {status}\r\nx-request-id: {id}\r\n{length}\r\n{body}")
}

/// Returns requests of each kind: a call, an answer that is collected, and a stream.
fn asks(name: &str, padding: usize) -> [Request; 3] {
    let padding = " ".repeat(padding);
    let pad = |mut request: Request| {
        request.body.push_str(&padding);
        request
    };
    let body = Request::chat(KEY, "price", "lot", 5).body;
    let body = body.replace("\"stream\":true", "\"stream\":false");
    let collected = Request::post("/v1/chat/completions", KEY, &body);
    [
        pad(purchase(&format!("{name}-call"))),
        pad(collected.with_id(&format!("{name}-whole"))),
        pad(chat(&format!("{name}-stream"), "lot", 5)),
    ]
}

/// Sends a request, again if its connection was closed after the answer before; returns whether it is served.
async fn is_served(site: &Site, ask: &Request) -> bool {
    for _ in 0..3 {
        let seen = site.spawn_ask(0, ask).await.expect("a caller");
        if seen.is_some_and(|seen| seen.status == 200) {
            return true;
        }
    }
    false
}

/// Sends uploads of each kind to an upstream that gives them the `reply`, on new and on kept connections;
/// returns the status of each complete answer.
async fn complete<F>(name: &str, kinds: Range<usize>, rounds: usize, reply: F) -> Vec<(String, u16)>
where
    F: Fn(&str) -> Reply + Send + Sync + 'static,
{
    let limits = json!({"limits": {"body_bytes": 2 * UPLOAD_BYTES, "receive_ms": 5000}});
    let site = Site::start_with(&["dakar-1"], 1, QUICK, limits).await;
    let upstream = EarlyUpstream::spawn(move |head| match head.contains("upload-") {
        true => reply(head),
        false => Reply::Whole(answer(head, "200 OK", true)),
    });
    let upstream = upstream.await.expect("an upstream");
    let text = rules_with(&site, upstream.address).replace("timeout=2s", "timeout=1s");
    let version = site.apply_rules(name, &text).await;
    site.wait_for_version(version).await;
    let mut complete = Vec::new();
    for round in 0..rounds {
        let uploads = asks(&format!("upload-{round}"), UPLOAD_BYTES);
        for kind in kinds.clone() {
            let ask = &uploads[kind];
            let sound = &asks(&format!("sound-{round}"), 0)[kind];
            assert!(is_served(&site, sound).await, "{:?}", sound.id);
            let seen = site.spawn_ask(0, ask).await.expect("a caller");
            let id = ask.id.clone().unwrap_or_default();
            complete.extend(seen.map(|seen| {
                let cut = id.ends_with("stream") && seen.status == 200 && !seen.is_complete();
                (id, if cut { 0 } else { seen.status })
            }));
        }
    }
    complete
}

/// Plays all ends that break an upload with requests of some kinds.
async fn play_ends(name: &str, kinds: Range<usize>) {
    for (number, end) in End::BROKEN.into_iter().enumerate() {
        let reply = move |head: &str| {
            let text = answer(head, "200 OK", false);
            // A stream that has sent its last event is complete.
            Reply::Broken(text.replace("data: [DONE]\n\n", ""), end)
        };
        let mut seen = complete(&format!("{name}-{number}"), kinds.clone(), ROUNDS, reply).await;
        seen.retain(|(_, status)| *status == 200);
        assert!(seen.is_empty(), "{end:?}: {seen:?}");
    }
}

/// Guards against a part of a call's answer that passes as complete: the answer has no length, and its connection
/// broke off while the upload was being written.
#[tokio::test(flavor = "multi_thread")]
async fn call_that_breaks_off_in_an_upload_is_incomplete() {
    play_ends("uploads-call", 0..1).await;
}

/// The same for chat completions, which are collected or streamed.
#[tokio::test(flavor = "multi_thread")]
async fn completion_that_breaks_off_in_an_upload_is_incomplete() {
    play_ends("uploads-completion", 1..3).await;
}

/// Guards against refusing the answer of an upstream that ends its side before it reads the upload, or that
/// answers first and reads the upload later.
#[tokio::test(flavor = "multi_thread")]
async fn upload_that_is_answered_early_is_complete() {
    let ended = |head: &str| Reply::Broken(answer(head, "200 OK", false), End::Orderly);
    let kept = |head: &str| Reply::Early(answer(head, "200 OK", true));
    let ended = complete("uploads-ended", 0..3, 1, ended).await;
    let kept = complete("uploads-kept", 0..3, 2, kept).await;
    assert_eq!((ended.len(), kept.len()), (3, 6));
    for (id, status) in ended.into_iter().chain(kept) {
        assert_eq!(status, 200, "{id}");
    }
}

/// Guards against an answer without a valid status that is passed on.
#[tokio::test(flavor = "multi_thread")]
async fn answer_without_a_valid_status_is_none() {
    for (number, status) in STATUSES.into_iter().enumerate() {
        for framed in [true, false] {
            let reply = move |head: &str| match framed {
                true => Reply::Whole(answer(head, status, true)),
                false => Reply::Broken(answer(head, status, false), End::Orderly),
            };
            let name = format!("uploads-status-{number}-{framed}");
            let mut seen = complete(&name, 0..3, 1, reply).await;
            seen.retain(|(_, status)| *status < 500);
            assert!(seen.is_empty(), "{status:?}: {seen:?}");
        }
    }
}

/// Guards against a transaction that counts as applied though its answer broke off, or has no valid status.
#[tokio::test(flavor = "multi_thread")]
async fn store_answer_that_breaks_off_in_an_upload_is_lost() {
    let part = "HTTP/1.1 200 OK\r\n\r\ntrue".to_owned();
    let ends = End::BROKEN.map(|end| Reply::Broken(part.clone(), end));
    let statuses = STATUSES.map(|status| {
        Reply::Whole(format!(
            "HTTP/1.1 {status}\r\ncontent-length: 4\r\n\r\ntrue"
        ))
    });
    let vm: VmId = "vm-0".parse().expect("a name");
    let mut transaction = Transaction::default();
    let value = json!("a".repeat(UPLOAD_BYTES));
    transaction
        .put
        .push(fescue_store::table::Put::encode("things/a", &value));
    for reply in ends.into_iter().chain(statuses) {
        let text = reply.clone();
        let store = EarlyUpstream::spawn(move |_| text.clone());
        let store = store.await.expect("a store");
        for _ in 0..ROUNDS {
            let client = Client::open(store.address, Duration::from_secs(2), &vm);
            let answered = client.transact(&transaction).await;
            let lost = matches!(answered, Err(TableError::Lost(_)));
            assert!(lost, "{reply:?}: {answered:?}");
        }
    }
}
