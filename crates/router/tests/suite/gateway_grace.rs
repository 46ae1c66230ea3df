//! Requests that arrive at any time of a gateway's grace period, over open and new connections.

use std::sync::Arc;
use std::time::Duration;

use fescue_site::caller::{Caller, Kind, Outcome, RequestSpec, send};
use fescue_site::engine::Faults;
use fescue_site::kept::Step;
use fescue_site::manifest::{ENGINES, HOST};
use fescue_site::process::Gateway;
use fescue_site::scripted::RequestHead;
use fescue_site::store;
use http::StatusCode;
use rustix::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use super::gateway_silences::{begin, events, replace};
use super::gateway_site::{EXIT_TIMEOUT, Site, status};

/// The interval at which requests are sent.
const SEND_INTERVAL: Duration = Duration::from_millis(200);

/// When requests that have no answer are ended, since the signal.
const REQUESTS_END: Duration = Duration::from_millis(7600);

/// A request that was sent after the signal.
#[derive(Debug)]
struct Sent {
    id: String,
    kind: Kind,
    /// The time since the signal.
    at: Duration,
    seen: Outcome,
}

/// The number of requests of each kind that precede the signal, so that the process knows their lengths.
const EARLIER: usize = 40;

/// The number of callers of each kind whose connections are open at the signal.
const KEPT: usize = 8;

/// Returns a request that its caller gives two seconds at most.
fn ask(site: &Site, kind: Kind, id: &str) -> RequestSpec {
    let mut ask = site.ask(kind, id);
    ask.deadline = Duration::from_secs(2);
    ask
}

/// Serves short requests of each kind until the process has known them for longer than their deadline, and
/// opens connections.
async fn prepare(site: &Site, gateway: &Gateway) -> Vec<(Kind, Caller)> {
    let callers = gateway.ports.callers;
    let mut kept = Vec::new();
    for kind in Kind::ALL {
        for number in 0..EARLIER {
            let spec = ask(site, kind, &format!("earlier-{kind:?}-{number}"));
            let seen = send(callers, &spec).await;
            assert!(matches!(seen, Outcome::Served { .. }), "{kind:?}: {seen:?}");
        }
    }
    sleep(Duration::from_secs(2)).await;
    for kind in Kind::ALL {
        for number in 0..KEPT {
            let mut caller = Caller::default();
            let spec = ask(site, kind, &format!("open-{kind:?}-{number}"));
            let seen = caller.send(callers, &spec).await;
            assert!(matches!(seen, Outcome::Served { .. }), "{kind:?}: {seen:?}");
            kept.push((kind, caller));
        }
    }
    kept
}

/// Sends a request whose body arrives in two parts; returns the status, if there is an answer.
async fn send_slowly(gateway: &Gateway, site: &Site, id: &str) -> Option<String> {
    let mut stream = TcpStream::connect(gateway.ports.callers).await.ok()?;
    let key = &site.team.key;
    let head = format!(
        "POST /record/1 HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {key}\r\n\
         x-fescuedrift-attempt-id: {id}\r\nx-fescuedrift-deadline-ms: 2000\r\n\
         content-length: 8\r\n\r\nhalf"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    sleep(Duration::from_millis(150)).await;
    stream.write_all(b"more").await.ok()?;
    let mut answer = Vec::new();
    let read = timeout(Duration::from_secs(4), stream.read_to_end(&mut answer)).await;
    read.ok()?.ok()?;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    answer.get(9..12).map(str::to_owned)
}

/// Returns what is wrong with the end of a request that was sent `at` some time after the signal: it was
/// passed on although it could run past the end and isn't a call that may be repeated, it has no answer
/// although it was read, or it was refused as not run although it had.
fn fault(site: &Site, gateway: &Gateway, sent: &Sent) -> Option<String> {
    let runs = site.runs(&sent.id);
    let bound = if sent.kind.is_streaming() { 2 } else { 1 };
    let ends = sent.at + Duration::from_secs(bound) <= REQUESTS_END;
    let right = match &sent.seen {
        Outcome::Refused { status, .. } if *status == StatusCode::SERVICE_UNAVAILABLE => runs == 0,
        Outcome::Refused { status, .. } if *status == StatusCode::GATEWAY_TIMEOUT => {
            ends || sent.kind == Kind::Read
        }
        // The process ended, or closed the connection, before it had read the request.
        Outcome::Broken(_) => gateway.log_lines("request", &sent.id).is_empty(),
        _ => false,
    };
    (!right).then(|| format!("{sent:?} after {runs} runs"))
}

/// Sends requests of each kind until the process has exited, with more signals meanwhile.
async fn play(name: &str, signal: Signal, away: bool) {
    let site = Arc::new(Site::open(name, 10_000_000).await);
    let gateway = Arc::new(site.ready("vm-1").await);
    let mut kept = prepare(&site, &gateway).await;
    let callers = gateway.ports.callers;
    let mut long = site.ask(Kind::Chat, "long");
    (long.events, long.deadline) = (1_200, Duration::from_secs(12));
    // The process doesn't exit early: this stream lasts longer than the grace period.
    let long = tokio::spawn(async move { send(callers, &long).await });
    sleep(Duration::from_millis(200)).await;
    site.store.store.set_faults(store::Faults {
        busy: away,
        ..store::Faults::default()
    });
    for upstream in site.engines.iter().chain(&site.ledgers) {
        upstream.set_faults(Faults {
            silent: true,
            ..Faults::default()
        });
    }
    gateway.signal(signal);
    let signalled = Instant::now();
    let (mut open, mut number) = (Vec::new(), 0);
    while gateway.exit_status().is_none() && signalled.elapsed() < EXIT_TIMEOUT {
        number += 1;
        if number % 4 == 0 {
            gateway.signal([Signal::TERM, Signal::HUP, Signal::INT][number / 4 % 3]);
        }
        let spawn = |kind, mut caller: Caller, label: &str| {
            let spec = ask(&site, kind, &format!("{label}-{kind:?}-{number}"));
            tokio::spawn(async move {
                let at = signalled.elapsed();
                let (id, seen) = (spec.id.clone(), caller.send(callers, &spec).await);
                Sent { id, kind, at, seen }
            })
        };
        for kind in Kind::ALL {
            open.push(spawn(kind, Caller::default(), "new"));
        }
        if let Some((kind, caller)) = kept.pop() {
            open.push(spawn(kind, caller, "kept"));
        }
        let (gateway, site) = (Arc::clone(&gateway), Arc::clone(&site));
        let id = format!("slow-{number}");
        open.push(tokio::spawn(async move {
            let at = signalled.elapsed();
            let code = send_slowly(&gateway, &site, &id).await;
            let code = code.and_then(|code| code.parse::<StatusCode>().ok());
            let refused = code.map(|status| Outcome::Refused {
                status,
                retry_after: None,
            });
            let seen = refused.unwrap_or_else(|| Outcome::Broken("no answer".to_owned()));
            let kind = Kind::Record;
            Sent { id, kind, at, seen }
        }));
        sleep(SEND_INTERVAL).await;
    }
    let exit = gateway.exit_status();
    assert!(exit.is_some_and(|exit| exit.success()), "{exit:?}");
    let _cut = long.await.expect("a caller");
    let (mut faults, mut refused) = (Vec::new(), 0);
    for request in open {
        let sent = request.await.expect("a caller");
        refused += usize::from(status(&sent.seen) == Some(503));
        faults.extend(fault(&site, &gateway, &sent));
    }
    assert!(refused > 0, "some come too late in {number} rounds");
    assert!(faults.is_empty(), "{name}: {faults:#?}");
}

/// Guards against calls and streams that may not be repeated and are passed on although their deadline lies
/// after the exit: the process trusted that they would be as short as the ones before, and ended them with no
/// answer when their upstream had become slow.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_grace_passes_on_nothing_that_may_outlast_it() {
    play("grace", Signal::TERM, false).await;
}

/// The same while the store is away, after SIGINT.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_grace_without_a_store() {
    play("grace-away", Signal::INT, true).await;
}

/// How long after the signal streams are sent whose deadline lies after the end of the grace period.
const LATE: Duration = Duration::from_millis(5700);

/// The time after which a gateway knows the upstreams of the store.
const LISTED: Duration = Duration::from_secs(1);

/// The time for which an upstream pauses in the middle of a stream.
const PAUSE: Duration = Duration::from_millis(1500);

/// Returns a stream whose upstream pauses after the second event.
fn paused(request: &RequestHead) -> Vec<Step> {
    let rest = events(request, 3..=6);
    vec![
        Step::Send(begin(request)),
        Step::Wait(PAUSE),
        Step::Send(rest),
        Step::Close,
    ]
}

/// Returns whether a gateway cut a stream.
fn is_cut(gateway: &Gateway, id: &str) -> bool {
    let lines = gateway.log_lines("request", id);
    lines.iter().any(|line| line["message"] == "cut")
}

/// Guards against streams that are taken late in the grace period because the ones before were short, and are
/// cut at the exit because their sound upstream paused for a second or two.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_grace_cuts_no_stream_whose_upstream_pauses() {
    let site = Arc::new(Site::open("grace-pause", 10_000_000).await);
    let gateway = Arc::new(site.ready("vm-1").await);
    drop(prepare(&site, &gateway).await);
    let callers = gateway.ports.callers;
    let mut long = site.ask(Kind::Chat, "long");
    (long.events, long.deadline) = (1_200, Duration::from_secs(12));
    let long = tokio::spawn(async move { send(callers, &long).await });
    sleep(Duration::from_millis(200)).await;
    let _pausing = replace(&site, ENGINES, 1, paused).await;
    sleep(LISTED).await;
    gateway.signal(Signal::TERM);
    let signalled = Instant::now();
    sleep(LATE).await;
    let mut open = Vec::new();
    while gateway.exit_status().is_none() && signalled.elapsed() < EXIT_TIMEOUT {
        let spec = ask(&site, Kind::Chat, &format!("pause-{}", open.len()));
        let (id, at) = (spec.id.clone(), signalled.elapsed());
        let seen = tokio::spawn(async move { send(callers, &spec).await });
        open.push((id, at, seen));
        sleep(SEND_INTERVAL).await;
    }
    let _cut = long.await.expect("a caller");
    let (mut cut, mut refused) = (Vec::new(), 0);
    for (id, at, seen) in open {
        let seen = seen.await.expect("a caller");
        refused += usize::from(status(&seen) == Some(503));
        if is_cut(&gateway, &id) {
            cut.push((id, at, seen));
        }
    }
    assert!(refused > 0, "some come too late");
    assert!(cut.is_empty(), "{cut:#?}");
}
