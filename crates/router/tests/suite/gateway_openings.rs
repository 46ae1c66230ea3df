//! Streams that begin with something that is no event: an error's text, bytes, a comment, or half an event.

use std::time::Duration;

use fescue_site::caller::{Kind, Outcome, send};
use fescue_site::kept::{KeptUpstream, Step};
use fescue_site::resuming::{Ending, Stream};
use fescue_site::scripted::RequestHead;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::gateway_resumes::{STREAM, events, head, scripted};
use super::gateway_site::Site;

/// The number of events of a whole stream.
const EVENTS: u64 = 6;

/// The number of events that callers have before a stream is resumed.
const BEGUN: u64 = 2;

/// What answers begin with, by name.
const OPENINGS: [(&str, &[u8]); 10] = [
    ("text", b"Internal error: the step failed\n\n"),
    ("crlf", b"Internal error:\r\nthe step failed\r\n\r\n"),
    ("bytes", b"\xff\xfe\x00error\n\n"),
    ("badline", b"id: 9\ndata: \xff\xfe\n\n"),
    ("idline", b"id: 9\n\n"),
    ("idtext", b"id: 9\nInternal error: the step failed\n\n"),
    ("noid", b"id:\ndata: error\n\n"),
    ("half", b"id: 1\nda"),
    ("comment", b": the step goes on\n\n"),
    ("empty", b"\n\n"),
];

/// How answers go on after their opening: the connection breaks, the answer is complete, or its events follow.
const ENDINGS: [&str; 3] = ["breaks", "ends", "events"];

/// Returns an opening by its name, or by the seed of a random one.
fn opening(name: &str) -> Vec<u8> {
    let listed = OPENINGS.iter().find(|(known, _)| *known == name);
    match listed {
        Some((_, bytes)) => bytes.to_vec(),
        None => random_opening(name.parse().expect("a name or a seed")),
    }
}

/// Returns random parts of events and texts, none of them a whole event, and a blank line.
fn random_opening(seed: u64) -> Vec<u8> {
    const PARTS: [&[u8]; 10] = [
        b"id: 9",
        b"id: 1",
        b"id:",
        b": note",
        b"event: error",
        b"failed",
        b"\xff\xfe",
        b"\n",
        b"\r\n",
        b"\n\n",
    ];
    let mut random = SmallRng::seed_from_u64(seed);
    let mut bytes = b"error".to_vec();
    for _ in 0..random.random_range(1..12) {
        bytes.extend_from_slice(PARTS[random.random_range(0..PARTS.len())]);
    }
    [bytes, b"\n\n".to_vec()].concat()
}

/// Returns whether callers skip an opening, so that it may be a part of a sound answer.
fn is_skipped(opening: &str) -> bool {
    matches!(opening, "comment" | "empty")
}

/// Returns the steps of a whole answer with the events from `first` on, after `opening`.
fn whole(request: &RequestHead, first: u64, opening: &[u8]) -> Vec<Step> {
    let rest = events(request, first..=EVENTS);
    let length = opening.len() + rest.len();
    let fields = format!("{STREAM}content-length: {length}\r\n");
    let head = head(request, "200 OK", &fields);
    vec![
        Step::Send(head),
        Step::SendBytes(opening.to_vec()),
        Step::Send(rest),
    ]
}

/// Returns the steps of an answer that begins with an opening, both named by the request's id.
fn spoilt(request: &RequestHead, first: u64) -> Vec<Step> {
    let mut fields = request.id.split('.').skip(1);
    let (name, ending) = (fields.next(), fields.next().unwrap_or_default());
    let opening = name.map(opening).unwrap_or_default();
    let length = match ending {
        ending if ending.starts_with("events") => return whole(request, first, &opening),
        ending if ending.starts_with("ends") => opening.len(),
        _ => 1_000,
    };
    let fields = format!("{STREAM}content-length: {length}\r\n");
    let head = head(request, "200 OK", &fields);
    vec![
        Step::Send(head),
        Step::SendBytes(opening.to_vec()),
        Step::Wait(Duration::from_millis(50)),
        Step::Close,
    ]
}

/// Returns the steps of the answers to a request. The first field of its id says which stream it is.
fn script(request: &RequestHead, count: u32) -> Vec<Step> {
    let resumed = request.id.contains("-t");
    let begin = || {
        let fields = format!("{STREAM}content-length: 1000\r\n");
        let begun = events(request, 1..=BEGUN);
        vec![Step::Send(head(request, "200 OK", &fields) + &begun)]
    };
    let pause = Step::Wait(Duration::from_millis(50));
    match (request.id.split('.').next(), count) {
        (Some("new"), 1) => spoilt(request, 1),
        (Some("new"), _) => whole(request, 1, b""),
        (Some("within"), 1) => [begin(), vec![pause, Step::Close]].concat(),
        (Some("within"), 2) => spoilt(request, BEGUN + 1),
        (Some("taken"), _) if !resumed => begin(),
        (Some("taken"), 1) => spoilt(request, BEGUN + 1),
        _ => whole(request, BEGUN + 1, b""),
    }
}

async fn open(name: &str) -> (Site, Vec<KeptUpstream>) {
    scripted(&format!("openings-{name}"), 4, script).await
}

/// Returns all pairs of an opening and an ending, with the id of a request of a stream.
fn cases(stream: &str) -> Vec<(&'static str, &'static str, String)> {
    let ids = OPENINGS.iter().flat_map(|(opening, _)| {
        ENDINGS.map(|ending| (*opening, ending, format!("{stream}.{opening}.{ending}")))
    });
    ids.collect()
}

/// Returns whether a caller got the opening and all events of one answer.
fn is_with_opening(seen: &Outcome, id: &str, opening: &str) -> bool {
    let opening = String::from_utf8_lossy(&self::opening(opening)).into_owned();
    let request = RequestHead {
        line: String::new(),
        id: id.to_owned(),
    };
    let text = opening + &events(&request, 1..=EVENTS);
    matches!(seen, Outcome::Wrong(got) if *got == format!("{id} got {text:?}"))
}

/// Guards against an error's text that is joined with another upstream's stream to one complete answer, and
/// against a new stream that is cut or refused although another upstream has it whole.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_serves_one_whole_stream_whatever_another_began_with() {
    let (site, _upstreams) = open("new").await;
    let gateway = site.ready("vm-1").await;
    let mut faults = Vec::new();
    for (opening, ending, id) in cases("new") {
        let seen = send(gateway.ports.callers, &site.ask(Kind::Chat, &id)).await;
        let sound = match is_skipped(opening) && ending == "events" {
            true => is_with_opening(&seen, &id, opening),
            false => matches!(seen, Outcome::Served { .. }),
        };
        if !sound {
            faults.push(format!("{id}: {seen:?}"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against an error's text that passes for a success where the stream can't be resumed.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_refuses_an_unrepeatable_stream_that_begins_with_no_event() {
    let (site, upstreams) = open("draft").await;
    let gateway = site.ready("vm-1").await;
    let mut faults = Vec::new();
    for (opening, ending, id) in cases("new") {
        let seen = send(gateway.ports.callers, &site.ask(Kind::Draft, &id)).await;
        let sound = match is_skipped(opening) && ending == "events" {
            true => is_with_opening(&seen, &id, opening),
            false => matches!(&seen, Outcome::Refused { status, .. } if status.as_u16() == 502),
        };
        let received = upstreams.iter().flat_map(KeptUpstream::received);
        let sends = received.filter(|got| got.head.id == id).count();
        if !sound || sends != 1 {
            faults.push(format!("{id}, sent {sends} times: {seen:?}"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against an error's text in the middle of a stream that goes on at another upstream within its answer.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_resumes_a_stream_whatever_another_answer_begins_with() {
    let mut faults = Vec::new();
    // The retries of a service are limited, so each site gets some of the cases only.
    for (part, cases) in cases("within").chunks(15).enumerate() {
        let (site, _upstreams) = open(&format!("within-{part}")).await;
        let gateway = site.ready("vm-1").await;
        for (opening, ending, id) in cases {
            let seen = send(gateway.ports.callers, &site.ask(Kind::Chat, id)).await;
            let sound = match is_skipped(opening) && *ending == "events" {
                // A comment between two events is no part of the text.
                true => matches!(&seen, Outcome::Wrong(text) if text.contains("id: 6")),
                false => matches!(seen, Outcome::Served { .. }),
            };
            if !sound {
                faults.push(format!("{id}: {seen:?}"));
            }
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against any other bytes that are forwarded before an answer breaks off.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_serves_one_whole_stream_after_any_bytes() {
    let (site, _upstreams) = open("random").await;
    let gateway = site.ready("vm-1").await;
    for seed in 0..50 {
        let id = format!("new.{seed}.{}", ENDINGS[seed % ENDINGS.len()]);
        let seen = send(gateway.ports.callers, &site.ask(Kind::Chat, &id)).await;
        let opening = opening(&seed.to_string());
        let opening = String::from_utf8_lossy(&opening);
        assert!(
            matches!(seen, Outcome::Served { .. }),
            "{id}, {opening:?}: {seen:?}"
        );
    }
}

/// Guards against an error's text in the middle of a stream that its caller takes up, and against a stream
/// that ends there.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_takes_a_stream_up_whatever_another_answer_begins_with() {
    let (site, _upstreams) = open("taken").await;
    let gateway = site.ready("vm-1").await;
    let mut faults = Vec::new();
    for (opening, ending, id) in cases("taken") {
        let skipped = is_skipped(opening);
        let mut stream = Stream::new(site.ask(Kind::Chat, &id));
        let begun = stream.attempt(gateway.ports.callers, BEGUN).await;
        assert_eq!(begun, Ending::Left, "{id}");
        let ended = stream.attempt(gateway.ports.callers, u64::MAX).await;
        let whole = ended == Ending::Complete && stream.is_complete();
        // An answer without an event is whole where the caller has all of them, which the router can't know.
        let sound = match ending {
            "ends" | "events" if skipped => ended == Ending::Complete,
            _ => whole && stream.faults().is_empty(),
        };
        if !sound {
            faults.push(format!("{id}: {ended:?}, {:?}", stream.faults()));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against a sound stream that is cut since its comments count as events, and against comments without end.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_forwards_comments_between_events() {
    let (site, _upstreams) = scripted("openings-notes", 4, |request, _| {
        let notes = ": note\n\n".repeat(match request.id.ends_with("endless") {
            true => 64 << 10,
            false => 20,
        });
        let (first, rest) = (events(request, 1..=3), events(request, 4..=EVENTS));
        let answer = head(request, "200 OK", STREAM) + &first + &notes + &rest;
        vec![Step::Send(answer), Step::Close]
    })
    .await;
    let gateway = site.ready("vm-1").await;
    let seen = send(gateway.ports.callers, &site.ask(Kind::Draft, "some")).await;
    let whole = |text: &String| text.contains("id: 6") && text.matches(": note").count() == 20;
    assert!(
        matches!(&seen, Outcome::Wrong(text) if whole(text)),
        "{seen:?}"
    );
    let seen = send(gateway.ports.callers, &site.ask(Kind::Draft, "endless")).await;
    assert!(matches!(seen, Outcome::Broken(_)), "{seen:?}");
}
