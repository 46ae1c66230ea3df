//! Answers that end inside their head or just after it, and heads that a second one follows.

use std::time::Duration;

use fescue_site::caller::{Kind, Outcome, RequestSpec, send};
use fescue_site::engine;
use fescue_site::kept::{KeptUpstream, Step};
use fescue_site::manifest::{ENGINES, LEDGER, upstream_entry};
use fescue_site::process::Gateway;
use fescue_site::scripted::RequestHead;
use futures_util::future::join_all;
use tokio::time::sleep;

use super::gateway_site::{Site, status};

/// How an upstream ends its connection after a part of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Close,
    Reset,
    /// It neither sends anything more nor closes.
    Silence,
}

impl End {
    pub fn steps(self, part: String) -> Vec<Step> {
        let end = match self {
            Self::Close => Step::Close,
            Self::Reset => Step::Reset,
            Self::Silence => Step::Wait(Duration::from_secs(5)),
        };
        vec![Step::Send(part), end]
    }
}

/// Interim responses that precede an answer.
pub const INTERIM: &str =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";

/// Places at which an answer ends, given as its text so far. `own` are the headers that prove that it
/// belongs to its request, each with its line end.
pub fn cuts(own: &str, event: &str) -> Vec<String> {
    let head = format!("HTTP/1.1 200 OK\r\n{own}");
    let length = event.len() + 10;
    let in_head = [
        "content-len",
        "content-length:",
        "content-length: 1",
        "content-length: 12\r\n",
        "content-length: 12\r\n\r",
        "transfer-encoding: chu",
        "transfer-encoding: chunked",
        "transfer-encoding: chunked\r\n",
        "x-note: a\r\n",
        "x-note: a\r\n\r",
    ];
    let after_head = [
        format!("content-length: {length}\r\n\r\n"),
        format!("content-length: {length}\r\n\r\n{event}"),
        "transfer-encoding: chunked\r\n\r\n".to_owned(),
        format!("transfer-encoding: chunked\r\n\r\n{length:x}\r\n{event}"),
        format!(
            "transfer-encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n",
            event.len()
        ),
    ];
    let starts = ["", "HT", "HTTP/1.1 2", "HTTP/1.1 200", "HTTP/1.1 200 OK\r"];
    let names = [&head[..18], &head[..head.len() - 4]];
    let starts = starts.iter().chain(&names).map(|&part| part.to_owned());
    let in_head = in_head.iter().map(|part| format!("{head}{part}"));
    let after_head = after_head.iter().map(|part| format!("{head}{part}"));
    let plain: Vec<_> = starts.chain(in_head).chain(after_head).collect();
    let interim = plain.iter().map(|part| format!("{INTERIM}{part}"));
    let interim: Vec<_> = interim.step_by(3).collect();
    [plain, interim].concat()
}

fn own(head: &RequestHead) -> String {
    let id = &head.id;
    format!("x-fescuedrift-response-signature: s.{id}\r\nx-fescuedrift-attempt-id: {id}\r\n")
}

fn is_stream(head: &RequestHead) -> bool {
    head.line.contains("/chat/") || head.line.contains("/draft/")
}

/// Returns the whole answer to a request.
fn whole(head: &RequestHead) -> String {
    let body: String = match is_stream(head) {
        true => (1..=6).map(|n| engine::event(&head.id, n)).collect(),
        false => format!("done {}", head.id),
    };
    let (own, length) = (own(head), body.len());
    format!("HTTP/1.1 200 OK\r\n{own}content-length: {length}\r\n\r\n{body}")
}

/// Returns the part of an answer that is sent before the cut with a number.
fn part(head: &RequestHead, cut: usize) -> String {
    let event = match is_stream(head) {
        true => engine::event(&head.id, 1),
        false => format!("done {}", head.id),
    };
    cuts(&own(head), &event).swap_remove(cut)
}

/// Starts a site without upstreams.
async fn open(name: &str) -> (Site, Gateway) {
    let site = Site::open(name, 10_000_000).await;
    let gateway = site.ready("vm-1").await;
    for upstream in site.engines.iter().chain(&site.ledgers) {
        site.store.store.remove("servers", &upstream.id);
    }
    (site, gateway)
}

/// Makes an upstream, named after a number, the only one of both services.
async fn replace(site: &Site, upstream: &KeptUpstream, number: usize) {
    let before = number.wrapping_sub(1);
    for service in [ENGINES, LEDGER] {
        let servers = &site.store.store;
        servers.remove("servers", &format!("{service}-{before}"));
        let entry = upstream_entry(service, upstream.address, 64, false);
        servers.put("servers", &format!("{service}-{number}"), &entry);
    }
    sleep(Duration::from_millis(150)).await;
}

/// Returns whether the router logged a failed attempt at a request, or does so soon.
async fn is_logged(gateway: &Gateway, id: &str) -> bool {
    for _ in 0..40 {
        let lines = gateway.log_lines("request", id);
        let mut messages = lines.iter().filter_map(|line| line["message"].as_str());
        if messages.any(|text| text.ends_with("failed") || text.starts_with("can't read")) {
            return true;
        }
        sleep(Duration::from_millis(25)).await;
    }
    false
}

/// Returns what a caller was told that is false, or what the router's log lacks.
async fn check(
    gateway: &Gateway,
    ask: &RequestSpec,
    seen: &Outcome,
    runs: usize,
) -> Option<String> {
    let once = matches!(ask.kind, Kind::Draft | Kind::Record);
    let promised = matches!(status(seen), Some(503 | 429 | 421 | 408));
    let complete = matches!(seen, Outcome::Served { .. } | Outcome::Wrong(_));
    let logged = is_logged(gateway, &ask.id).await;
    let right = runs > 0 && runs <= if once { 1 } else { 2 } && !complete && !promised && logged;
    (!right).then(|| format!("{}: {seen:?} after {runs} runs, logged: {logged}", ask.id))
}

/// Plays all cuts with one end, on the first requests of connections or on later ones.
async fn play(end: End, later: bool) {
    let count = cuts("x-own: a\r\n", "").len();
    let answer = move |head: &RequestHead, cut| end.steps(part(head, cut));
    let name = format!("heads-{end:?}-{later}");
    play_all(&name, count, later, answer).await;
}

/// Sends requests of each kind to upstreams of which each gives another of `count` answers.
async fn play_all<F>(name: &str, count: usize, later: bool, answer: F)
where
    F: Fn(&RequestHead, usize) -> Vec<Step> + Copy + Send + Sync + 'static,
{
    let (site, gateway) = open(name).await;
    let (mut faults, mut kept) = (Vec::new(), 0);
    for cut in 0..count {
        let upstream = KeptUpstream::spawn(move |heads| match heads {
            [.., last] if last.id.ends_with("-0") => vec![Step::Send(whole(last))],
            [.., last] => answer(last, cut),
            [] => Vec::new(),
        });
        let upstream = upstream.await.expect("an upstream");
        replace(&site, &upstream, cut).await;
        let send = |round: usize| {
            let gateway = &gateway;
            let asks = Kind::ALL.map(|kind| {
                let mut ask = site.ask(kind, &format!("{kind:?}-{cut}-{round}"));
                ask.deadline = Duration::from_millis(500);
                ask.part = format!("{cut:x}{round}");
                ask
            });
            asks.map(|ask| async move { (send(gateway.ports.callers, &ask).await, ask) })
        };
        if later {
            for (seen, ask) in join_all(send(0)).await {
                assert!(
                    matches!(seen, Outcome::Served { .. }),
                    "{}: {seen:?}",
                    ask.id
                );
            }
        }
        for (seen, ask) in join_all(send(1)).await {
            let received = upstream.received();
            let received = received.iter().filter(|request| request.head.id == ask.id);
            kept += received
                .clone()
                .filter(|request| request.number > 1)
                .count();
            faults.extend(check(&gateway, &ask, &seen, received.count()).await);
        }
    }
    assert!(
        !later || kept >= count,
        "{kept} requests on kept connections"
    );
    assert!(faults.is_empty(), "{name}: {faults:#?}");
}

/// Guards against a success that looks complete, a call that may not be repeated and runs twice or is
/// refused as not run, and an attempt that isn't logged, where an answer ends inside its head.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_serves_no_answer_that_is_closed_in_its_head() {
    tokio::join!(play(End::Close, false), play(End::Close, true));
}

/// The same where the connection is reset.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_serves_no_answer_that_is_reset_in_its_head() {
    tokio::join!(play(End::Reset, false), play(End::Reset, true));
}

/// The same where the upstream falls silent.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_serves_no_answer_that_stops_in_its_head() {
    tokio::join!(play(End::Silence, false), play(End::Silence, true));
}

/// Places inside a head with a status and headers after which another head can follow so that both are
/// well formed as one.
pub fn starts(status: &str, fields: &str) -> [String; 5] {
    let line = format!("HTTP/1.1 {status}");
    [
        format!("{line} "),
        format!("{line} Sta"),
        format!("{line} Status\r\n{fields}x-note:"),
        format!("{line} Status\r\n{fields}x-note: a"),
        format!("{line} Status\r\n{fields}transfer-encoding: chu"),
    ]
}

/// Returns answers of which each begins with a part of another head.
fn spliced(head: &RequestHead) -> Vec<String> {
    let (own, whole) = (own(head), whole(head));
    let failure = format!("HTTP/1.1 500 Failure\r\n{own}content-length: 2\r\n\r\nno");
    // The length is lost with the first head, and the body ends before it.
    let short = whole.replace("content-length: ", "content-length: 9");
    let refused = starts("503", "x-fescuedrift-not-executed: 1\r\n");
    let refused = refused.map(|start| start + &whole);
    let served = starts("200", &own).map(|start| start + &failure);
    let cut = starts("200", &own).map(|start| start + &short);
    [refused, served, cut].concat()
}

/// Guards against a head that mixes two, since the upstream stopped inside the first: a call that may not be
/// repeated and runs twice or is refused as not run, a success where the upstream failed, and a body that
/// looks complete without its end.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_believes_no_head_inside_another() {
    let count = starts("", "").len() * 3;
    let answer = |head: &RequestHead, cut| {
        let text = spliced(head).swap_remove(cut);
        vec![Step::Send(text), Step::Close]
    };
    tokio::join!(
        play_all("spliced", count, false, answer),
        play_all("spliced-later", count, true, answer),
    );
}

/// Guards against giving up a request that may be repeated because one upstream stopped inside its answer's
/// head: it goes on at another one.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_repeats_elsewhere_what_stopped_in_a_head() {
    let (site, gateway) = open("heads-elsewhere").await;
    let sound = KeptUpstream::spawn(|heads| vec![Step::Send(whole(&heads[heads.len() - 1]))]);
    let sound = sound.await.expect("an upstream");
    for service in [ENGINES, LEDGER] {
        let entry = upstream_entry(service, sound.address, 64, false);
        let name = format!("{service}-sound");
        site.store.store.put("servers", &name, &entry);
    }
    let (count, mut broken) = (cuts("x-own: a\r\n", "").len(), 0);
    for (number, cut) in (0..count).step_by(3).enumerate() {
        let upstream = KeptUpstream::spawn(move |heads| {
            let head = &heads[heads.len() - 1];
            // No whole event arrives: a stream that has begun goes on only where its events do.
            End::Close.steps(cuts(&own(head), "id: 1\nda").swap_remove(cut))
        });
        let upstream = upstream.await.expect("an upstream");
        replace(&site, &upstream, number).await;
        for (round, kind) in [Kind::Chat, Kind::Read].repeat(3).into_iter().enumerate() {
            let mut ask = site.ask(kind, &format!("{kind:?}-{cut}-{round}"));
            ask.part = format!("{cut:x}{round}");
            let seen = send(gateway.ports.callers, &ask).await;
            assert!(
                matches!(seen, Outcome::Served { .. }),
                "{}: {seen:?}",
                ask.id
            );
        }
        broken += upstream.received().len();
    }
    assert!(broken >= count / 3, "{broken} answers were cut");
}
