//! The memory of routers of the own pipeline beside many upstreams that send bytes without end.

use std::net::SocketAddr;

use fescue_core::hash::key_digest;
use fescue_site::flood::{Flood, FloodUpstream};
use fescue_site::process::peak_memory;
use fescue_site::scripted::{End, RequestHead, ScriptedUpstream};
use fescue_standin::caller::Request;
use futures_util::future::join_all;
use serde_json::json;

use crate::gateway_site::SMALLEST_VM_MEMORY;
use crate::process_floods::LOAD;
use crate::site::{KEY, QUICK, Site, chat, eventually};

/// The number of engines whose load reports never end, and of those whose answers don't.
const REPORT_FLOODS: usize = 64;
const ANSWER_FLOODS: usize = 4;

/// The number of calls with large answers beside each other, and the size of each answer.
const CALLS: usize = 96;
const ANSWER_BYTES: usize = 900_000;

/// The number of chats beside them.
const CHATS: usize = 200;

fn large(_: &RequestHead) -> String {
    let body = "b".repeat(ANSWER_BYTES);
    format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {ANSWER_BYTES}\r\n\r\n{body}")
}

/// Returns rules with these engines and one service with large answers.
fn rules(engines: &[FloodUpstream], registry: SocketAddr) -> String {
    let digest = key_digest(KEY);
    let mut text = format!(
        "priority standard share=100 target=1s # asked by Awa\n\
         team yard key={digest} priorities=standard # asked by Awa\n\
         budget yard/main # asked by Awa\n\
         service reads price=20 repeat=allowed timeout=30s # asked by Awa\n\
         upstream reads at={registry} data-centre=dakar-1 services=reads slots={CALLS} \
         fencing=ignores orders=unchecked # asked by Awa\n"
    );
    for (number, engine) in engines.iter().enumerate() {
        let at = engine.address;
        text.push_str(&format!(
            "upstream flood-{number} at={at} data-centre=dakar-1 models=price slots=64 \
             fencing=ignores orders=unchecked # asked by Awa\n"
        ));
    }
    text
}

/// Guards against limits that each hold for one answer while nothing bounds all of them together: load reports
/// and answers without end, and large sound answers, took more than the memory of a small VM, or sound answers failed for lack of room.
#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_over_all_answers() {
    let changes = json!({"limits": {"request_ms": 3000}, "platform": {"timeout_ms": 5000}});
    let site = Site::start_with(&["dakar-1"], 1, QUICK, changes).await;
    let mut engines = Vec::new();
    for number in 0..REPORT_FLOODS {
        let flood = [Flood::Body, Flood::Field][number % 2];
        engines.push(FloodUpstream::spawn(flood).await.expect("an engine"));
    }
    for number in 0..ANSWER_FLOODS {
        let flood = [Flood::SlowHead, Flood::SlowBody][number % 2];
        let engine = FloodUpstream::spawn_except(flood, "/v1/load", LOAD).await;
        engines.push(engine.expect("an engine"));
    }
    let registry = ScriptedUpstream::spawn(End::Close, large).await;
    let registry = registry.expect("an upstream");
    let version = site
        .apply_rules("memory", &rules(&engines, registry.address))
        .await;
    site.wait_for_version(version).await;
    let chats: Vec<_> = (0..CHATS)
        .map(|number| {
            let prompt = format!("lot {number}");
            site.spawn_ask(0, &chat(&format!("chat-{number}"), &prompt, 5))
        })
        .collect();
    let calls: Vec<_> = (0..CALLS)
        .map(|number| {
            let call = Request::post("/services/reads/all", KEY, "{}");
            site.spawn_ask(0, &call.with_id(&format!("call-{number}")))
        })
        .collect();
    for answer in join_all(calls).await {
        let answer = answer.expect("a caller").expect("an answer");
        let length = answer.body.len();
        assert_eq!((answer.status, length), (200, ANSWER_BYTES));
    }
    for answer in join_all(chats).await {
        let answer = answer.expect("a caller");
        assert!(answer.is_none_or(|answer| !answer.is_complete()));
    }
    let peak = peak_memory(site.routers[0].id()).expect("a running process");
    assert!(peak <= SMALLEST_VM_MEMORY, "{peak} bytes");
    let version = site.apply_rules("end", &site.rules()).await;
    site.wait_for_version(version).await;
    eventually("connections are closed", || async {
        engines.iter().all(|engine| engine.open() == 0)
    })
    .await;
    let answer = site.ask(0, &chat("after", "another lot", 5)).await;
    assert!(answer.is_complete(), "{answer:?}");
}
