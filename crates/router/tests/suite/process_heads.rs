//! Answers that end inside their head or just after it, and heads that a second one follows, through router
//! processes.

use std::ops::Range;
use std::time::Duration;

use fescue_core::VmId;
use fescue_site::kept::{KeptUpstream, Step};
use fescue_site::scripted::RequestHead;
use fescue_standin::caller::Request;
use fescue_store::http::Client;
use fescue_store::{Table, TableError, Transaction};
use futures_util::future::join_all;
use serde_json::json;

use crate::gateway_heads::{End, cuts, starts};
use crate::process_floods::{LOAD, rules_with};
use crate::site::{KEY, QUICK, Site, chat, purchase};

/// Returns the header that proves that an answer belongs to its request.
fn own(head: &RequestHead) -> String {
    format!("x-request-id: {}\r\n", head.id)
}

/// Returns the whole answer to a request.
fn whole(head: &RequestHead) -> String {
    let event = json!({"choices": [{"index": 0, "delta": {"content": "a"}}]});
    let usage = json!({"choices": [], "usage": {"prompt_tokens": 3, "completion_tokens": 1}});
    let body = match &head.line {
        line if line.contains("/v1/load") => LOAD.to_owned(),
        line if line.contains("chat") => {
            format!("data: {event}\n\ndata: {usage}\n\ndata: [DONE]\n\n")
        }
        _ => "{\"recorded\":true}".to_owned(),
    };
    let (own, length) = (own(head), body.len());
    format!("HTTP/1.1 200 OK\r\n{own}content-length: {length}\r\n\r\n{body}")
}

/// Returns answers of which each begins with a part of another head: a refusal, a success before a failure,
/// and one whose length is lost with it.
fn spliced(head: &RequestHead) -> Vec<String> {
    let (own, whole) = (own(head), whole(head));
    let failure = format!("HTTP/1.1 500 Failure\r\n{own}content-length: 2\r\n\r\nno");
    let short = whole.replace("content-length: ", "content-length: 9");
    let refused = starts("503", "").map(|start| start + &whole);
    let served = starts("200", &own).map(|start| start + &failure);
    let short = starts("200", &own).map(|start| start + &short);
    [refused, served, short].concat()
}

/// Returns the number of the answer that a request's id names; `None` if its answer is sound.
fn case(head: &RequestHead) -> Option<usize> {
    head.id
        .strip_prefix("cut-")?
        .split('-')
        .next()?
        .parse()
        .ok()
}

fn collected(id: &str) -> Request {
    let body = Request::chat(KEY, "price", "lot", 5).body;
    let body = body.replace("\"stream\":true", "\"stream\":false");
    Request::post("/v1/chat/completions", KEY, &body).with_id(id)
}

/// Sends requests of each kind to an upstream that gives the answers with the numbers `cuts`.
async fn play<F>(name: &str, cuts: Range<usize>, answer: F)
where
    F: Fn(&RequestHead, usize) -> Vec<Step> + Send + Sync + 'static,
{
    let site = Site::start(&["dakar-1"], 1, QUICK).await;
    let upstream = KeptUpstream::spawn(move |heads| {
        let head = &heads[heads.len() - 1];
        match case(head) {
            Some(cut) => answer(head, cut),
            None => vec![Step::Send(whole(head))],
        }
    });
    let upstream = upstream.await.expect("an upstream");
    let text = rules_with(&site, upstream.address).replace("timeout=2s", "timeout=1s");
    let version = site.apply_rules(name, &text).await;
    site.wait_for_version(version).await;
    let mut faults = Vec::new();
    for cut in cuts {
        for (kind, sound) in [("stream", 0), ("whole", 1), ("call", 2)] {
            let make = |id: &str| match sound {
                0 => chat(id, &format!("lot {id}"), 5),
                1 => collected(id),
                _ => purchase(id),
            };
            let before = site.ask(0, &make(&format!("sound-{cut}-{kind}"))).await;
            assert_eq!(before.status, 200, "{before:?}");
            let id = format!("cut-{cut}-{kind}");
            // A connection that breaks off is as good as an answer that says that it is incomplete.
            let seen = site.spawn_ask(0, &make(&id)).await.expect("a caller");
            let received = upstream.received();
            let runs = received.iter().filter(|request| request.head.id == id);
            let runs = runs.count();
            let false_promise = seen.as_ref().is_some_and(|seen| seen.outcome == "not_run");
            let complete = seen
                .as_ref()
                .is_some_and(|seen| seen.status == 200 && (kind != "stream" || seen.is_complete()));
            if runs == 0 || (kind == "call" && runs > 1) || false_promise || complete {
                faults.push(format!("{id}: {seen:?} after {runs} runs"));
            }
        }
    }
    assert!(faults.is_empty(), "{name}: {faults:#?}");
}

async fn play_cuts(end: End) {
    let count = cuts("x-own: a\r\n", "").len();
    let name = format!("heads-{end:?}").to_lowercase();
    play(&name, 0..count, move |head, cut| {
        let body = match head.line.contains("chat") {
            true => "data: {\"choices\":[]}\n\n",
            false => "{\"recorded\"",
        };
        end.steps(cuts(&own(head), body).swap_remove(cut))
    })
    .await;
}

/// Guards against a success that looks complete, and a call that may not be repeated and runs twice or is
/// refused as not run, where an answer ends inside its head.
#[tokio::test(flavor = "multi_thread")]
async fn answer_closed_in_its_head_is_incomplete() {
    play_cuts(End::Close).await;
}

/// The same where the connection is reset.
#[tokio::test(flavor = "multi_thread")]
async fn answer_reset_in_its_head_is_incomplete() {
    play_cuts(End::Reset).await;
}

/// Guards against a head that mixes two, since the upstream stopped inside the first: a call that may not be
/// repeated and runs twice or is refused as not run, and a success where the upstream failed or whose end is
/// missing.
#[tokio::test(flavor = "multi_thread")]
async fn answer_with_a_head_inside_another_is_not_believed() {
    let part = starts("", "").len();
    let parts = ["refused", "served", "short"].into_iter().enumerate();
    join_all(parts.map(|(index, name)| {
        let cuts = index * part..(index + 1) * part;
        play(name, cuts, |head, cut| {
            let text = spliced(head).swap_remove(cut);
            vec![Step::Send(text), Step::Close]
        })
    }))
    .await;
}

/// Guards against a transaction that counts as not applied though the store may have applied it: its answer
/// ended inside its head, or followed the start of another one.
#[tokio::test]
async fn store_answer_with_a_head_inside_another_is_lost() {
    let whole = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntrue";
    let spliced = starts("503", "").map(|start| start + whole);
    let cut = (0..whole.len() - 1).map(|end| whole[..end].to_owned());
    let vm: VmId = "vm-0".parse().expect("a name");
    for answer in spliced.into_iter().chain(cut) {
        let text = answer.clone();
        let store = KeptUpstream::spawn(move |_| vec![Step::Send(text.clone()), Step::Close]);
        let store = store.await.expect("a store");
        let client = Client::open(store.address, Duration::from_secs(2), &vm);
        let answered = client.transact(&Transaction::default()).await;
        let lost = matches!(answered, Err(TableError::Lost(_)));
        assert!(lost, "{answer:?}: {answered:?}");
    }
}
