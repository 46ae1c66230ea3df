//! Invalid input: each case has its status and error code, and is reported as not run.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use fescue_standin::caller::Request;
use serde_json::json;

use fescue_standin::engine::Profile;

use crate::site::{KEY, QUICK, Site, chat};

fn body(change: impl FnOnce(&mut serde_json::Value)) -> Request {
    let message = json!({"role": "user", "content": "a fair price"});
    let mut body = json!({"model": "price", "max_tokens": 5, "messages": [message]});
    change(&mut body);
    Request::post("/v1/chat/completions", KEY, &body.to_string())
}

#[tokio::test]
async fn bad_input_is_refused_as_not_run() {
    let site = Site::start(&["dakar-1"], 1, QUICK).await;
    let cases = [
        (
            "no JSON",
            Request::post("/v1/chat/completions", KEY, "{"),
            400,
            "bad_request",
        ),
        (
            "a list",
            Request::post("/v1/chat/completions", KEY, "[]"),
            400,
            "bad_request",
        ),
        (
            "no model",
            body(|b| b["model"] = json!(null)),
            400,
            "bad_request",
        ),
        (
            "unknown model",
            body(|b| b["model"] = json!("nonesuch")),
            404,
            "not_found",
        ),
        (
            "negative",
            body(|b| b["max_tokens"] = json!(-1)),
            400,
            "bad_request",
        ),
        (
            "zero",
            body(|b| b["max_tokens"] = json!(0)),
            400,
            "bad_request",
        ),
        (
            "huge",
            body(|b| b["max_tokens"] = json!(u64::MAX)),
            400,
            "bad_request",
        ),
        (
            "fraction",
            body(|b| b["max_tokens"] = json!(1.5)),
            400,
            "bad_request",
        ),
        (
            "no messages",
            body(|b| b["messages"] = json!([])),
            400,
            "bad_request",
        ),
        (
            "no content",
            body(|b| b["messages"] = json!([{}])),
            400,
            "bad_request",
        ),
        (
            "stream",
            body(|b| b["stream"] = json!("yes")),
            400,
            "bad_request",
        ),
        (
            "wrong key",
            Request {
                key: Some("other".into()),
                ..body(|_| ())
            },
            401,
            "bad_key",
        ),
        (
            "no key",
            Request {
                key: None,
                ..body(|_| ())
            },
            401,
            "bad_key",
        ),
        (
            "priority",
            body(|_| ()).with_priority("soon"),
            400,
            "bad_request",
        ),
        (
            "forbidden",
            body(|_| ()).with_priority("bulk"),
            403,
            "forbidden",
        ),
        ("bad id", body(|_| ()).with_id("a b"), 400, "bad_request"),
        (
            "too large",
            body(|b| b["messages"][0]["content"] = json!("x".repeat(70_000))),
            413,
            "too_large",
        ),
        (
            "unknown service",
            Request::post("/services/nonesuch/x", KEY, "{}"),
            404,
            "not_found",
        ),
        (
            "unknown path",
            Request::post("/v2/other", KEY, "{}"),
            404,
            "not_found",
        ),
    ];
    for (name, ask, status, code) in cases {
        let answer = site.ask(0, &ask).await;
        let found = (answer.status, answer.code(), answer.outcome.clone());
        let expected = (status, code.to_owned(), "not_run".to_owned());
        assert_eq!(found, expected, "{name}: {}", answer.body);
    }
    assert_eq!(site.engines[0].0.load().started, 0, "nothing ran");
    let answer = site.ask(0, &body(|_| ())).await;
    assert_eq!(
        answer.status, 200,
        "a good request is served: {}",
        answer.body
    );
}

#[tokio::test]
async fn reused_id_with_another_prompt_is_refused() {
    let site = Site::start(&["dakar-1"], 1, QUICK).await;
    site.ask(0, &chat("r-1", "a fair price", 5)).await;
    let other = site.ask(0, &chat("r-1", "another", 5)).await;
    let found = (other.status, other.code(), other.outcome);
    assert_eq!(
        found,
        (409, "request_id_reused".to_owned(), "not_run".to_owned())
    );
    assert_eq!(site.wait_for_bills(1).await.len(), 1);
}

#[tokio::test]
async fn empty_budget_is_refused_as_not_run() {
    let site = Site::start(&["dakar-1"], 1, QUICK).await;
    let rules = format!("{}budget yard/empty # asked by Awa\n", site.rules());
    let version = site.apply_rules("empty", &rules).await;
    site.wait_for_version(version).await;
    let answer = site.ask(0, &chat("r-1", "a", 5).with_budget("empty")).await;
    let found = (answer.status, answer.code(), answer.outcome);
    assert_eq!(
        found,
        (402, "budget_exhausted".to_owned(), "not_run".to_owned())
    );
    let unknown = site
        .ask(0, &chat("r-2", "a", 5).with_budget("nonesuch"))
        .await;
    assert_eq!((unknown.status, unknown.outcome.as_str()), (404, "not_run"));
    assert_eq!(site.engines[0].0.load().started, 0);
}

#[tokio::test]
async fn overload_is_refused_early_as_not_run() {
    let narrow = Profile {
        slots: 1,
        token_us: 20_000,
        ..QUICK
    };
    let site = Site::start(&["dakar-1"], 1, narrow).await;
    let rules = site.rules().replace("slots=128", "slots=1");
    let rules = rules.replace(
        "standard share=30 target=20s",
        "standard share=30 target=300ms",
    );
    let version = site.apply_rules("narrow", &rules).await;
    site.wait_for_version(version).await;
    let asked: Vec<_> = (0..12)
        .map(|n| site.spawn_ask(0, &chat(&format!("r-{n}"), "a", 20)))
        .collect();
    let (mut served, mut refused) = (0, 0);
    for answer in asked {
        let answer = answer
            .await
            .expect("the caller's task completes")
            .expect("an answer");
        match answer.status {
            200 => served += 1,
            status => {
                let found = (status, answer.code(), answer.outcome);
                assert_eq!(found, (429, "overload".to_owned(), "not_run".to_owned()));
                refused += 1;
            }
        }
    }
    assert!(
        served >= 1 && refused >= 1,
        "{served} served, {refused} refused"
    );
    assert_eq!(
        site.engines[0].0.load().started,
        served,
        "refused requests never ran"
    );
}

/// Sends raw bytes and returns what is received until the connection closes or 5 s pass without
/// data.
fn raw(site: &Site, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(site.routers[0].callers).expect("a connection");
    let timeout = Some(Duration::from_secs(5));
    stream.set_read_timeout(timeout).expect("a socket option");
    stream.write_all(bytes).expect("the bytes are sent");
    let mut answer = Vec::new();
    let _end = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_caller_is_refused() {
    let site = Site::start(&["dakar-1"], 1, QUICK).await;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 100\r\nconnection: close\r\n\r\n{{"
    );
    let answer = raw(&site, head.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("\"not_run\""), "{answer}");
    let never = raw(
        &site,
        b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-slow: ",
    );
    assert!(never.is_empty(), "the connection is closed: {never}");
}

#[tokio::test(flavor = "multi_thread")]
async fn smuggled_request_is_not_served() {
    let site = Site::start(&["dakar-1"], 1, QUICK).await;
    let inner = format!(
        "POST /services/purchases/register HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 2\r\n\r\n{{}}"
    );
    let outer = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n0\r\n\r\n{inner}",
        5 + inner.len()
    );
    let answer = raw(&site, outer.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(
        site.registry.0.run_counts().is_empty(),
        "the inner request never ran"
    );
}

#[tokio::test]
async fn wrong_settings_are_reported_whole() {
    let text = r#"{"vm": 1, "lisen": {}, "limits": {"body_bytes": 0}}"#;
    let report = fescue_core::settings::Settings::parse("router.json", text);
    let message = report.expect_err("the settings are invalid").to_string();
    for part in [
        "vm: expected",
        "lisen",
        "data_centre is missing",
        "body_bytes: expected",
    ] {
        assert!(message.contains(part), "{message}");
    }
}
