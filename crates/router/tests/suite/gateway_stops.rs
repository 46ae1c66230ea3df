//! Planned stops of gateway processes.

use std::time::Duration;

use fescue_site::caller::{Caller, Kind, Outcome, RequestSpec, send};
use fescue_site::engine::Faults;
use fescue_site::manifest::HOST;
use fescue_site::process::Gateway;
use fescue_site::store;
use http::StatusCode;
use rustix::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::gateway_site::{EXIT_TIMEOUT, Site, status};
use super::site::bounded;

/// A planned stop cuts no stream, and a second signal changes nothing.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_ends_open_streams_at_a_stop() {
    let site = Site::open("stop", 1_000_000).await;
    let gateway = site.ready("vm-1").await;
    let mut ask = site.ask(Kind::Draft, "long");
    ask.events = 200;
    let callers = gateway.ports.callers;
    let open = tokio::spawn(async move { send(callers, &ask).await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    gateway.signal(Signal::TERM);
    tokio::time::sleep(Duration::from_millis(100)).await;
    gateway.signal(Signal::TERM);
    assert_eq!(
        gateway.readiness().await,
        Some(StatusCode::SERVICE_UNAVAILABLE)
    );
    let during = send(callers, &site.ask(Kind::Record, "during")).await;
    assert!(matches!(during, Outcome::Served { .. }), "{during:?}");
    let seen = open.await.expect("a caller");
    assert!(matches!(seen, Outcome::Served { .. }), "{seen:?}");
    let status = gateway.await_exit(EXIT_TIMEOUT).await;
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

/// Guards against a deadlock that seed 2 of the soak test found: while callers kept connecting, a
/// stopping process waited for a lock that it held itself, and never exited.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_stops_while_callers_keep_coming() {
    let site = Site::open("coming", 1_000_000).await;
    let gateway = site.ready("vm-1").await;
    let callers = gateway.ports.callers;
    let team = site.team.clone();
    let load = tokio::spawn(async move {
        for number in 0..2_000 {
            let ask = RequestSpec::new(Kind::Record, &team, &format!("n-{number}"));
            // The answers given while the process stops aren't part of this test.
            let _seen = send(callers, &ask).await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    gateway.signal(Signal::TERM);
    let status = gateway.await_exit(EXIT_TIMEOUT).await;
    load.abort();
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

/// Sums the field `tokens` of the log lines with a message.
fn logged_tokens(gateway: &Gateway, message: &str) -> u64 {
    let lines = gateway.log_lines("message", message);
    lines
        .iter()
        .filter_map(|line| line["tokens"].as_u64())
        .sum()
}

/// Returns the tokens of the team that a router has been granted and that are neither spent nor reserved, by
/// its row in the store.
fn held_tokens(site: &Site, vm: &str) -> u64 {
    let row = site.store.store.get("holders", vm).unwrap_or_default();
    let license = &row["licenses"]["yard"];
    let field = |name: &str| license[name].as_u64().unwrap_or_default();
    field("granted") - field("used").min(field("granted"))
}

/// Guards against refusals for budget after planned stops without a store: the home of a team stops,
/// can't return what it holds, and the tokens are lost unless another router takes them.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_stop_without_a_store_passes_tokens_on() {
    let site = Site::open("pass-on", 200_000).await;
    let gateways = [site.ready("vm-1").await, site.ready("vm-2").await];
    // The home holds half of what is left, the backup a tenth.
    let mut home = None;
    for index in 0..400 {
        let ask = site.ask(Kind::Draft, &format!("p-{index}"));
        let _seen = send(gateways[index % 2].ports.callers, &ask).await;
        let held = ["vm-1", "vm-2"].map(|vm| held_tokens(&site, vm));
        home = held.iter().position(|held| *held >= 50_000);
        if home.is_some() && index >= 20 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let home = home.expect("one of two routers draws for both");
    let (home, other) = (&gateways[home], &gateways[1 - home]);
    site.store.store.set_faults(store::Faults {
        busy: true,
        ..store::Faults::default()
    });
    // The license allows more with time.
    tokio::time::sleep(Duration::from_secs(3)).await;
    home.signal(Signal::TERM);
    let status = home.await_exit(EXIT_TIMEOUT).await;
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    let passed = logged_tokens(home, "passing tokens on to another router");
    assert!(passed >= 1_300, "{passed} tokens were passed on");
    let accepted = other
        .metric("tokens_moved_total{event=\"taken_back\"}")
        .await;
    assert_eq!(Some(passed), accepted);
    let mut served = 0;
    for index in 0..8 {
        let ask = site.ask(Kind::Draft, &format!("after-{index}"));
        let seen = send(other.ports.callers, &ask).await;
        served += u64::from(matches!(seen, Outcome::Served { .. }));
    }
    assert_eq!(served, 8, "the other router serves without the store");
}

/// Guards against requests that are lost at a planned stop without a store: while the process still tried
/// to return its tokens after draining, it took requests that it could not finish before it exited.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_takes_no_request_after_draining() {
    let site = Site::open("late", 1_000_000).await;
    let gateway = site.ready("vm-1").await;
    // The license of the team keeps the process trying.
    let seen = send(gateway.ports.callers, &site.ask(Kind::Draft, "early")).await;
    assert!(matches!(seen, Outcome::Served { .. }), "{seen:?}");
    site.store.store.set_faults(store::Faults {
        busy: true,
        ..store::Faults::default()
    });
    for ledger in &site.ledgers {
        ledger.set_faults(Faults {
            silent: true,
            ..Faults::default()
        });
    }
    gateway.signal(Signal::TERM);
    while gateway.log_lines("message", "draining ended").is_empty() {
        assert_eq!(gateway.exit_status(), None, "draining ends before the exit");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let seen = send(gateway.ports.callers, &site.ask(Kind::Record, "late")).await;
    assert_eq!(status(&seen), Some(503), "{seen:?}");
    let exit = gateway.await_exit(EXIT_TIMEOUT).await;
    assert!(exit.is_some_and(|exit| exit.success()), "{exit:?}");
}

/// A time after the signal at which open connections are still kept, and more than 4 s are left.
const LATE: Duration = Duration::from_millis(2800);

/// Returns a stream that takes about 5.3 s, longer than a process has left that was told to stop 2.8 s ago.
fn long_stream(site: &Site, kind: Kind, id: &str) -> RequestSpec {
    let mut ask = site.ask(kind, id);
    ask.events = 660;
    ask.deadline = Duration::from_secs(10);
    ask
}

/// Stops a gateway that has served long streams, and sends one more over an open connection when the
/// process can no longer finish it; returns what the caller got, and the ends of the earlier streams.
async fn send_late(name: &str, kind: Kind, signal: Signal) -> (Outcome, Vec<Outcome>) {
    let site = Site::open(name, 10_000_000).await;
    let gateway = site.ready("vm-1").await;
    let callers = gateway.ports.callers;
    let mut kept = Caller::default();
    let open = kept.send(callers, &site.ask(kind, "open")).await;
    assert!(matches!(open, Outcome::Served { .. }), "{open:?}");
    let earlier = (0..4).map(|number| {
        let ask = long_stream(&site, kind, &format!("earlier-{number}"));
        tokio::spawn(async move { send(callers, &ask).await })
    });
    let earlier: Vec<_> = earlier.collect();
    let mut ends = Vec::new();
    for stream in earlier {
        ends.push(stream.await.expect("a caller"));
    }
    // The process doesn't exit before this stream has ended.
    let ask = long_stream(&site, kind, "open-at-the-signal");
    let running = tokio::spawn(async move { send(callers, &ask).await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    gateway.signal(signal);
    tokio::time::sleep(LATE).await;
    let late = kept.send(callers, &long_stream(&site, kind, "late")).await;
    ends.push(running.await.expect("a caller"));
    let status = gateway.await_exit(EXIT_TIMEOUT).await;
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    (late, ends)
}

/// Guards against streams that a stopping process takes although it exits before they end, and then cuts.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_stop_takes_no_stream_it_must_cut() {
    for (kind, signal) in [(Kind::Draft, Signal::TERM), (Kind::Chat, Signal::INT)] {
        let (late, earlier) = send_late("late-stream", kind, signal).await;
        let whole = |seen: &Outcome| matches!(seen, Outcome::Served { .. });
        assert!(earlier.iter().all(whole), "{earlier:?}");
        assert!(
            whole(&late) || status(&late) == Some(503),
            "{kind:?}: {late:?}"
        );
    }
}

/// Guards against requests that were accepted before a stop and end without an answer when the process
/// exits: one waits for a silent upstream, one for the rest of its own body.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_stop_answers_what_it_cannot_finish() {
    let site = Site::open("unfinished", 1_000_000).await;
    let gateway = site.ready("vm-1").await;
    let callers = gateway.ports.callers;
    for engine in &site.engines {
        engine.set_faults(Faults {
            silent: true,
            ..Faults::default()
        });
    }
    let waiting = long_stream(&site, Kind::Draft, "waiting");
    // The stream's deadline of 10 s lies beyond the exit, 8 s after the signal.
    let waiting = tokio::spawn(async move { send(callers, &waiting).await });
    let mut partial = TcpStream::connect(callers).await.expect("connects");
    let key = &site.team.key;
    let head = format!(
        "POST /draft/1 HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {key}\r\n\
         x-fescuedrift-attempt-id: partial\r\nx-fescuedrift-deadline-ms: 20000\r\n\
         content-length: 10\r\n\r\nhalf"
    );
    partial.write_all(head.as_bytes()).await.expect("sends");
    tokio::time::sleep(Duration::from_millis(300)).await;
    gateway.signal(Signal::TERM);
    let mut answer = Vec::new();
    let read = bounded("partial", partial.read_to_end(&mut answer)).await;
    let answer = String::from_utf8_lossy(&answer);
    assert!(
        answer.starts_with("HTTP/1.1 503") && answer.contains("not_run"),
        "{read:?} {answer:?}"
    );
    let seen = waiting.await.expect("a caller");
    assert_eq!(status(&seen), Some(504), "{seen:?}");
    assert_eq!(site.runs("partial"), 0);
    let exit = gateway.await_exit(EXIT_TIMEOUT).await;
    assert!(exit.is_some_and(|exit| exit.success()), "{exit:?}");
}

/// Guards against streams whose tokens are lost with a planned stop: the process returned its tokens while
/// a stream still held its reservation, and the rest of that reservation went nowhere.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_stop_returns_the_tokens_of_cut_streams() {
    let site = Site::open("cut-tokens", 1_000_000).await;
    let gateway = site.ready("vm-1").await;
    let callers = gateway.ports.callers;
    let mut ask = long_stream(&site, Kind::Draft, "endless");
    ask.events = 1_200;
    ask.deadline = Duration::from_secs(12);
    let stream = tokio::spawn(async move { send(callers, &ask).await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    gateway.signal(Signal::TERM);
    let exit = gateway.await_exit(EXIT_TIMEOUT).await;
    assert!(exit.is_some_and(|exit| exit.success()), "{exit:?}");
    let _cut = stream.await.expect("a caller");
    let cut = gateway.log_lines("reason", "stream_cut");
    assert_eq!(cut.len(), 1, "the stream is cut, and logged");
    let spent = cut[0]["tokens"].as_u64();
    let account = site.store.store.get("budgets", "yard").expect("a row");
    assert_eq!(account["granted"].as_u64(), spent, "{account}");
}
