//! Callers that don't read for some seconds while a stream comes to them through a small window.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_site::kept::{KeptUpstream, Step};
use fescue_site::manifest::{ENGINES, HOST, LEDGER, manifest, upstream_entry};
use parking_lot::Mutex;
use review_standin_2::{Record, Site, Verdict, run_case, trouble};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

const CALLERS: usize = 6;
/// The largest `campaign-review` of the sheet: 140 events of 420 bytes.
const EVENTS: usize = 140;
const EVENT_BYTES: usize = 420;
const EVENT_INTERVAL: Duration = Duration::from_millis(4);
/// For how long a caller doesn't read: less than the four seconds after which callers of this kind leave.
const PAUSE: Duration = Duration::from_millis(3500);

fn event(number: usize) -> String {
    let head = format!("id: {number}\ndata: ");
    let fill = "x".repeat(EVENT_BYTES - head.len() - 2);
    format!("{head}{fill}\n\n")
}

/// Opens a connection with a small window.
fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(4 * 1024)?;
    socket.connect(&address.into())?;
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}

fn request(path: &str, key: &str, id: &str, more: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {key}\r\n\
         x-fescuedrift-attempt-id: {id}\r\nx-fescuedrift-deadline-ms: 15000\r\n{more}content-length: 4\r\n\r\nbody"
    )
}

/// Reads until `end` stands in what was read, or the channel ends; returns how it ended.
async fn read_until(stream: &mut TcpStream, seen: &mut Vec<u8>, end: &[u8]) -> Result<(), String> {
    while !seen.windows(end.len()).any(|text| text == end) {
        match stream.read_buf(seen).await {
            Ok(0) => return Err("the channel was closed".to_owned()),
            Ok(_) => {}
            Err(error) => return Err(format!("the channel broke: {error}")),
        }
    }
    Ok(())
}

/// Sends a plain request, and over the same channel a stream; returns whether the stream was cut.
async fn ask(
    record: Record,
    address: SocketAddr,
    key: String,
    number: usize,
) -> std::io::Result<bool> {
    let mut stream = connect(address)?;
    let id = format!("plain-{number}");
    stream
        .write_all(request("/read/1", &key, &id, "").as_bytes())
        .await?;
    let mut seen = Vec::new();
    let plain = read_until(&mut stream, &mut seen, format!("done {id}").as_bytes()).await;
    record.line(format!("{id}: {plain:?}"));
    let id = format!("review-{number}");
    let more = "x-fescuedrift-model: m\r\nx-fescuedrift-token-usage: 1000,900\r\n\
                x-fescuedrift-prompt-prefix: c0ffee:900,d0d0:100\r\n";
    let start = Instant::now();
    stream
        .write_all(request("/draft/1", &key, &id, more).as_bytes())
        .await?;
    let mut seen = Vec::new();
    let first = read_until(&mut stream, &mut seen, b"id: 1\n").await;
    record.line(format!(
        "{id}: first event {first:?} after {:.2} s",
        start.elapsed().as_secs_f64()
    ));
    if trouble() {
        record.line(format!("{id}: its caller doesn't read for {PAUSE:?}"));
        sleep(PAUSE).await;
    }
    let rest = read_until(&mut stream, &mut seen, b"\r\n0\r\n\r\n").await;
    let text = String::from_utf8_lossy(&seen).into_owned();
    let events = text.lines().filter(|line| line.starts_with("id: ")).count();
    let whole = rest.is_ok() && events == EVENTS;
    record.line(format!(
        "{id}: {events} of {EVENTS} events, {rest:?}, {:.2} s after it was sent",
        start.elapsed().as_secs_f64()
    ));
    Ok(!whole)
}

async fn case(record: Record) -> std::io::Result<Verdict> {
    let site = Site::open(1_000_000).await?;
    let mut config = manifest(2, std::slice::from_ref(&site.team));
    for route in config["routes"].as_array_mut().expect("routes") {
        if route["kind"] == "streaming" {
            route["timeout_ms"] = json!(15_000);
            route["target_latency_ms"] = json!(1_000);
        }
    }
    site.store.store.put("op", "config", &config);
    let ended: Arc<Mutex<usize>> = Arc::default();
    let engine = {
        let record = record.clone();
        KeptUpstream::spawn(move |heads| {
            let id = &heads.last().expect("a request").id;
            record.line(format!("the engine runs {id}"));
            let mut steps = vec![Step::Send(format!(
                "HTTP/1.1 200 OK\r\nx-fescuedrift-attempt-id: {id}\r\n\
                 x-fescuedrift-response-signature: e-0.{id}\r\ncontent-type: text/event-stream\r\n\
                 transfer-encoding: chunked\r\n\r\n"
            ))];
            for number in 1..=EVENTS {
                let event = event(number);
                steps.push(Step::Send(format!("{:x}\r\n{event}\r\n", event.len())));
                steps.push(Step::Wait(EVENT_INTERVAL));
            }
            steps.push(Step::Send("0\r\n\r\n".to_owned()));
            steps
        })
        .await?
    };
    site.register("e-0", &upstream_entry(ENGINES, engine.address, 16, false));
    let _ledger = site.upstream(LEDGER, "l-0").await?;
    let gateway = site.ready("vm-1").await?;
    sleep(Duration::from_secs(4)).await;
    let mut open = JoinSet::new();
    for number in 0..CALLERS {
        let key = site.team.key.clone();
        open.spawn(ask(record.clone(), gateway.ports.callers, key, number));
    }
    for cut in open.join_all().await {
        *ended.lock() += usize::from(cut?);
    }
    let cut = *ended.lock();
    record.line(format!(
        "{cut} of {CALLERS} answers were cut; at most 3 may be"
    ));
    Ok(if cut > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn main() {
    run_case(case);
}
