//! Chat completions that had begun and broke off, while the next engine answers with an error.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fescue_site::kept::{KeptUpstream, Step};
use fescue_site::scripted::RequestHead;
use fescue_standin::caller::Response;
use parking_lot::Mutex;
use serde_json::json;

use crate::site::{QUICK, Site, chat};

/// The text that each error holds.
const ERROR: &str = "ERROR-TEXT";

/// A load report of an idle engine that names the version in its answers.
const REPORT: &str =
    r#"{"incarnation":1,"running":0,"waiting":0,"leaving":false,"software_version":"1"}"#;

const STREAM: &str = "content-type: text/event-stream\r\nconnection: close\r\n";

fn head(request: &RequestHead, status: &str, fields: &str) -> String {
    let id = &request.id;
    format!("HTTP/1.1 {status}\r\nx-request-id: {id}\r\nx-software-version: 1\r\n{fields}\r\n")
}

fn events(numbers: std::ops::RangeInclusive<u32>) -> String {
    let event = |number| {
        let event = json!({"choices": [{"index": 0, "delta": {"content": format!("<{number}>")}}]});
        format!("data: {event}\n\n")
    };
    numbers.map(event).collect()
}

/// Returns the whole answer to a request.
type Script = fn(&RequestHead) -> String;

/// Answers of the engine at which a stream should go on, by name.
fn errors() -> Vec<(&'static str, Script)> {
    const LENGTH: &str = "connection: close\r\ncontent-length: 12\r\n";
    const CLOSE: &str = "content-type: text/plain\r\nconnection: close\r\n";
    const JSON: &str = "content-type: application/json\r\nconnection: close\r\n";
    const GZIP: &str =
        "content-type: text/event-stream\r\ncontent-encoding: gzip\r\nconnection: close\r\n";
    const EMPTY: &str = "connection: close\r\ncontent-length: 0\r\n";
    vec![
        ("500", |r| head(r, "500 Failure", LENGTH) + ERROR + "\n\n"),
        ("500-close", |r| {
            head(r, "500 Failure", CLOSE) + ERROR + "\n\n"
        }),
        ("404", |r| head(r, "404 None", LENGTH) + ERROR + "\n\n"),
        ("503", |r| head(r, "503 Full", LENGTH) + ERROR + "\n\n"),
        ("plain", |r| head(r, "200 OK", LENGTH) + ERROR + "\n\n"),
        ("json", |r| {
            head(r, "200 OK", JSON) + "{\"detail\":\"" + ERROR + "\"}\n\n"
        }),
        ("bare", |r| {
            head(r, "200 OK", STREAM) + "{\"detail\":\"" + ERROR + "\"}\n\n"
        }),
        ("encoded", |r| {
            head(r, "200 OK", GZIP) + "data: {\"choices\":\"" + ERROR + "\"}\n\n"
        }),
        ("event", |r| {
            head(r, "200 OK", STREAM) + "data: {\"error\":{\"message\":\"" + ERROR + "\"}}\n\n"
        }),
        ("done", |r| {
            let event = format!("data: {{\"error\":\"{ERROR}\"}}\n\ndata: [DONE]\n\n");
            head(r, "200 OK", STREAM) + &event
        }),
        ("head", |r| {
            head(r, "200 OK", STREAM) + "HTTP/1.1 500 " + ERROR + "\r\n\r\n"
        }),
        // One block, whose first line is an event.
        ("lines", |r| {
            head(r, "200 OK", STREAM) + "data: {\"choices\":[]}\n" + ERROR + "\n\n"
        }),
        ("empty", |r| head(r, "200 OK", EMPTY)),
    ]
}

/// Starts three engines, which answer attempt N at each request with `answer` of N.
async fn engines(
    answer: impl Fn(&RequestHead, u32) -> String + Clone + Send + Sync + 'static,
) -> Vec<KeptUpstream> {
    let counts: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let mut engines = Vec::new();
    for _ in 0..3 {
        let (counts, answer) = (Arc::clone(&counts), answer.clone());
        let engine = KeptUpstream::spawn(move |heads| {
            let request = &heads[heads.len() - 1];
            if request.line.contains("/v1/load") {
                return vec![
                    Step::Send(head(request, "200 OK", STREAM) + REPORT),
                    Step::Close,
                ];
            }
            let count = {
                let mut counts = counts.lock();
                let count = counts.entry(request.id.clone()).or_default();
                *count += 1;
                *count
            };
            vec![
                Step::Send(answer(request, count)),
                Step::Wait(Duration::from_millis(20)),
                Step::Close,
            ]
        });
        engines.push(engine.await.expect("an engine"));
    }
    engines
}

/// Returns the event that ends an answer, with the engine's usage.
fn last_event(reason: &str) -> String {
    let usage = json!({"prompt_tokens": 1, "completion_tokens": 5});
    let choice = json!({"index": 0, "delta": {}, "finish_reason": reason});
    let last = json!({"choices": [choice], "usage": usage});
    format!("data: {last}\n\n")
}

/// Returns an answer that begins or goes on with the events of these numbers.
fn stream(request: &RequestHead, numbers: std::ops::RangeInclusive<u32>) -> String {
    head(request, "200 OK", STREAM) + &events(numbers)
}

/// Starts engines of which the first attempt breaks off after two events, the second gets an error, and the
/// third goes on, or gets the error again.
async fn failing_engines(error: Script, goes_on: bool) -> Vec<KeptUpstream> {
    engines(move |request, count| match count {
        1 => stream(request, 1..=2) + "data: {\"cho",
        3 if goes_on => stream(request, 3..=5) + &last_event("stop") + "data: [DONE]\n\n",
        _ => error(request),
    })
    .await
}

/// Puts rules in force in which these engines serve the model.
async fn apply(site: &Site, id: &str, engines: &[KeptUpstream]) {
    let rules = site.rules();
    let lines = rules.lines().filter(|line| !line.starts_with("upstream "));
    let mut text: String = lines.map(|line| format!("{line}\n")).collect();
    for engine in engines {
        let (at, port) = (engine.address, engine.address.port());
        text.push_str(&format!(
            "upstream kept-{port} at={at} data-centre=dakar-1 models=price slots=8 \
             fencing=ignores orders=unchecked # asked by Awa\n"
        ));
    }
    let version = site.apply_rules(id, &text).await;
    site.wait_for_version(version).await;
}

/// The number of requests for which a router may make two more attempts each at once.
const REQUESTS_PER_SITE: usize = 4;

/// Plays one request for each error; returns the name of the error and the answer.
async fn play(goes_on: bool) -> Vec<(&'static str, Response)> {
    play_at(async |error| failing_engines(error, goes_on).await).await
}

/// Plays one request for each error at the engines that `open` starts.
async fn play_at(open: impl AsyncFn(Script) -> Vec<KeptUpstream>) -> Vec<(&'static str, Response)> {
    let mut answers = Vec::new();
    for errors in errors().chunks(REQUESTS_PER_SITE) {
        let site = Site::start(&["dakar-1"], 1, QUICK).await;
        for (name, error) in errors {
            let engines = open(*error).await;
            apply(&site, name, &engines).await;
            let answer = site.ask(0, &chat(name, &format!("lot {name}"), 5)).await;
            answers.push((*name, answer));
        }
    }
    answers
}

/// Guards against an error's text in the middle of a stream, and against a stream that doesn't go on at
/// another engine.
#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_past_an_error() {
    let mut faults = Vec::new();
    for (name, answer) in play(true).await {
        let whole = answer.is_complete() && answer.text() == "<1><2><3><4><5>";
        if !whole || answer.body.contains(ERROR) {
            faults.push(format!("{name}: {}", answer.body));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against the text of an error at the begin of an answer, which another engine has whole.
#[tokio::test(flavor = "multi_thread")]
async fn stream_begins_past_an_error() {
    let open = async |error: Script| {
        engines(move |request, count| match count {
            1 => error(request),
            _ => stream(request, 1..=5) + &last_event("stop") + "data: [DONE]\n\n",
        })
        .await
    };
    let mut faults = Vec::new();
    for (name, answer) in play_at(open).await {
        let whole = answer.is_complete() && answer.text() == "<1><2><3><4><5>";
        if !whole || answer.body.contains(ERROR) {
            faults.push(format!("{name}: {}", answer.body));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against a stream that seems complete, or holds an error's text, where no engine can go on.
#[tokio::test(flavor = "multi_thread")]
async fn stream_breaks_off_visibly_after_errors() {
    let mut faults = Vec::new();
    for (name, answer) in play(false).await {
        let off = !answer.is_complete() && answer.text() == "<1><2>";
        if !off || answer.body.contains(ERROR) {
            faults.push(format!("{name}: {}", answer.body));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against an answer that ends twice: with the last event of an attempt that broke off after it, and
/// with that of the attempt that went on.
#[tokio::test(flavor = "multi_thread")]
async fn answer_has_the_last_event_of_one_attempt() {
    let site = Site::start(&["dakar-1"], 1, QUICK).await;
    for (name, begun, bills) in [("begun", true, 1), ("not-begun", false, 2)] {
        let engines = engines(move |request, count| {
            let whole = events(1..=5);
            let (first, rest) = match begun {
                true => (whole, String::new()),
                false => (String::new(), whole),
            };
            let begin = head(request, "200 OK", STREAM);
            match count {
                1 => begin + &first + &last_event("first"),
                _ => begin + &rest + &last_event("second") + "data: [DONE]\n\n",
            }
        });
        let engines = engines.await;
        apply(&site, name, &engines).await;
        let answer = site.ask(0, &chat(name, &format!("lot {name}"), 5)).await;
        assert!(answer.is_complete(), "{}", answer.body);
        assert_eq!(answer.text(), "<1><2><3><4><5>");
        let ends = ["first", "second"].map(|reason| answer.body.matches(reason).count());
        assert_eq!(ends, [0, 1], "{name}: {}", answer.body);
        let bills = site.wait_for_bills(bills).await;
        assert_eq!(bills[name], 6, "{name}");
    }
}
