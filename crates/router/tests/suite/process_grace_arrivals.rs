//! Requests that arrive at any time of a stop's grace period, through router processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fescue_standin::caller::{Caller, Request, Response};
use fescue_standin::platform::Faults;
use fescue_standin::service::ServiceFaults;
use rustix::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::process_grace::{start_observed, wait_for_exit};
use crate::site::{KEY, Site, chat, purchase};

/// The interval at which requests are sent.
const SEND_INTERVAL: Duration = Duration::from_millis(100);

/// The number of rounds; they last until just before the process must be gone.
const ROUNDS: u32 = 35;

/// The number of callers whose connections are open at the signal.
const KEPT: usize = 24;

/// The end of a request: the answer, or whether the connection was closed before or after it was sent.
#[derive(Debug)]
enum End {
    Answered(u16, String),
    /// No connection was established.
    Refused,
    /// The connection ended without an answer.
    Closed,
}

/// Sends a call whose body arrives in two parts, over a new connection.
async fn send_slowly(to: SocketAddr, request: Request) -> End {
    let Ok(mut stream) = TcpStream::connect(to).await else {
        return End::Refused;
    };
    let id = request.id.as_deref().unwrap_or_default();
    let (path, length) = (&request.path, request.body.len());
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {KEY}\r\n\
         idempotency-key: {id}\r\ncontent-length: {length}\r\n\r\n"
    );
    let (first, rest) = request.body.split_at(length / 2);
    let sent = stream.write_all((head + first).as_bytes()).await;
    tokio::time::sleep(Duration::from_millis(60)).await;
    let whole = sent.is_ok() && stream.write_all(rest.as_bytes()).await.is_ok();
    let mut answer = Vec::new();
    let _end = stream.read_to_end(&mut answer).await;
    let text = String::from_utf8_lossy(&answer).to_lowercase();
    let status = text.get(9..12).and_then(|code| code.parse().ok());
    let outcome = text
        .lines()
        .find_map(|line| line.strip_prefix("x-fescue-outcome: "));
    match (status, outcome) {
        (Some(status), Some(outcome)) => End::Answered(status, outcome.to_owned()),
        _ if whole => End::Closed,
        _ => End::Refused,
    }
}

async fn send(caller: &Caller, to: SocketAddr, request: &Request) -> End {
    match caller.send(to, request).await {
        Ok(Response {
            status,
            outcome,
            body,
        }) => {
            let complete = status != 200 || !body.contains("data: ") || body.contains("[DONE]");
            let outcome = if complete { outcome } else { "cut".to_owned() };
            End::Answered(status, outcome)
        }
        Err(error) if format!("{error:?}").contains("Connect") => End::Refused,
        Err(_) => End::Closed,
    }
}

/// A request that was sent after the signal.
struct Sent {
    id: String,
    at: Duration,
    end: End,
}

/// Returns what is wrong with the end of a request.
async fn fault(site: &Site, sent: &Sent, away: bool) -> Option<String> {
    let runs = site.registry.0.run_counts().get(&sent.id).copied();
    let ran = runs.is_some() || site.bills().await.contains_key(&sent.id);
    let right = match &sent.end {
        End::Answered(200, outcome) => outcome == "ran",
        End::Answered(503 | 429, outcome) if outcome == "not_run" => !ran,
        // A claim whose answer is lost may have been made.
        End::Answered(_, outcome) => away && outcome == "unknown" && !ran,
        End::Refused | End::Closed => !ran,
    };
    let Sent { id, at, end } = sent;
    let right = right && runs.unwrap_or(0) <= 1;
    (!right).then(|| format!("{id} at {at:?}: {end:?} after {runs:?} runs"))
}

/// Sends requests of each kind from the signal until the process has exited, with more signals meanwhile.
async fn play(signal: Signal, away: bool) {
    let mut site = start_observed(2).await;
    let to = site.routers[0].callers;
    let mut kept = Vec::new();
    for number in 0..KEPT {
        let caller = Caller::open();
        let end = send(&caller, to, &chat(&format!("open-{number}"), "lot", 2)).await;
        assert!(matches!(end, End::Answered(200, _)), "{end:?}");
        kept.push(caller);
    }
    site.registry.0.set_faults(ServiceFaults {
        delay_ms: 700,
        lose_answers: false,
    });
    // The process doesn't exit early: this stream lasts longer than the grace period.
    let long = site.spawn_ask(0, &chat("long", "long", 2000));
    tokio::time::sleep(Duration::from_millis(200)).await;
    if away {
        site.memory.set_faults(Faults {
            cut: vec!["vm-0".to_owned()],
            ..site.memory.faults()
        });
    }
    site.routers[0].signal(signal);
    let signalled = Instant::now();
    let mut open = Vec::new();
    for round in 0..ROUNDS {
        if round % 6 == 3 {
            let more = [Signal::TERM, Signal::HUP, Signal::INT];
            site.routers[0].signal(more[round as usize / 6 % 3]);
        }
        let (stream, call) = (format!("s-{round}"), format!("p-{round}"));
        let mut sends = vec![
            (stream.clone(), chat(&stream, &stream, 5), Caller::open()),
            (call.clone(), purchase(&call), Caller::open()),
        ];
        for (kind, number) in [("ks", 0), ("kp", 1)] {
            let id = format!("{kind}-{round}");
            let request = if number == 0 {
                chat(&id, &id, 5)
            } else {
                purchase(&id)
            };
            sends.extend(kept.pop().map(|caller| (id, request, caller)));
        }
        for (id, request, caller) in sends {
            open.push(tokio::spawn(async move {
                let at = signalled.elapsed();
                let end = send(&caller, to, &request).await;
                Sent { id, at, end }
            }));
        }
        let id = format!("slow-{round}");
        open.push(tokio::spawn(async move {
            let at = signalled.elapsed();
            let end = send_slowly(to, purchase(&id)).await;
            Sent { id, at, end }
        }));
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    wait_for_exit(&mut site, signalled).await;
    let _ended = long.await.expect("a caller");
    let site = Arc::new(site);
    let (mut faults, mut counts) = (Vec::new(), [0; 3]);
    for request in open {
        let sent = request.await.expect("a caller");
        match &sent.end {
            End::Answered(200, _) => counts[0] += 1,
            End::Answered(..) => counts[1] += 1,
            End::Refused | End::Closed => counts[2] += 1,
        }
        faults.extend(fault(&site, &sent, away).await);
    }
    let [served, refused, _unread] = counts;
    assert!(faults.is_empty(), "{counts:?}: {faults:#?}");
    assert!((served > 0 || away) && refused > 0, "{counts:?}");
}

/// Guards against requests that come late in the grace period and are passed on, though they may last until
/// its end or longer, or that were read and get no answer.
#[tokio::test(flavor = "multi_thread")]
async fn arrivals_in_the_grace_period_end_whole_or_are_refused() {
    play(Signal::TERM, false).await;
}

/// The same while the table is away.
#[tokio::test(flavor = "multi_thread")]
async fn arrivals_in_the_grace_period_without_table_end_whole_or_are_refused() {
    play(Signal::INT, true).await;
}
