//! Requesters that read slowly, at a machine that is stopped as planned.
//!
//! Exit code: 1 if a channel ended without a complete answer after its request was passed on to an engine, 0 if none did,
//! 2 if the case couldn't run.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use fescue_site::manifest::{ENGINES, LEDGER, Team, manifest};
use review_standin_3::{
    Ask, Engine, Got, Record, Runs, calm, folder, open_store, run_case, start_machines, text,
};
use rustix::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// The longest stream of the sheets: 187 events of 360 bytes.
const EVENTS: u64 = 187;
const PAD: &str = "pad=310";

/// How long a requester that reads slowly takes nothing from its channel.
const PAUSE: Duration = Duration::from_secs(4);

const REQUESTERS: usize = 12;

#[tokio::main]
async fn main() -> ExitCode {
    run_case(|record| async move {
        Ok(match run(&record).await? {
            0 => None,
            broken => Some(format!(
                "{broken} of {REQUESTERS} channels ended without a complete answer"
            )),
        })
    })
    .await
}

async fn run(record: &Record) -> Result<u64, String> {
    let dir = folder("slow")?;
    let team = Team::new("yard", 10_000_000);
    let store = open_store(&manifest(1, std::slice::from_ref(&team)))
        .await
        .map_err(text)?;
    let runs: Runs = Arc::default();
    let mut engines = Vec::new();
    for (name, service) in [
        ("model-1", ENGINES),
        ("model-2", ENGINES),
        ("desk-1", LEDGER),
        ("desk-2", LEDGER),
    ] {
        let engine = Engine::spawn(name, "v1", 0, &["pace=8", PAD], &runs, record).map_err(text)?;
        store.store.put(
            "servers",
            name,
            &engine.entry(service, "zone-a", 16, 1_700_000_000_000, 1),
        );
        engines.push(engine);
    }
    let machines = start_machines(&dir, store.address, 2).await?;
    let to = machines[0].ports.callers;
    let mut open = JoinSet::new();
    for number in 0..REQUESTERS {
        let first = Ask::plain(
            "/read/1",
            &team.key,
            &format!("read-{number}"),
            Duration::from_secs(1),
        );
        let ask = Ask::stream(
            "/draft/1",
            &team.key,
            &format!("draft-{number}"),
            100,
            EVENTS,
        );
        let record = record.clone();
        open.spawn(async move { (call(to, &first, &ask, &record).await, ask) });
    }
    sleep(Duration::from_millis(600)).await;
    machines[0].signal(Signal::TERM);
    record.note(&format!("{} gets SIGTERM", machines[0].name));
    let mut broken = 0;
    while let Some(ended) = open.join_next().await {
        let (got, ask) = ended.map_err(|error| error.to_string())?;
        let passed_on = runs.lock().iter().any(|(_, id, _)| *id == ask.id);
        let lost = passed_on && !got.complete;
        record.note(&format!(
            "{}: status {}, {} of {EVENTS} events, complete {}, passed on {passed_on}{}{}",
            ask.id,
            got.status,
            got.events().len(),
            got.complete,
            if got.error.is_empty() {
                String::new()
            } else {
                format!(", {}", got.error)
            },
            if lost { " <- lost" } else { "" },
        ));
        broken += u64::from(lost);
    }
    drop((machines, engines));
    let _removed = std::fs::remove_dir_all(&dir);
    Ok(broken)
}

fn head(ask: &Ask) -> String {
    let usage = ask.usage.map_or(String::new(), |(input, output)| {
        format!("X-Fescuedrift-Model: m\r\nX-Fescuedrift-Token-Usage: {input},{output}\r\nX-Fescuedrift-Prompt-Prefix: {}\r\n", ask.parts)
    });
    format!(
        "POST {} HTTP/1.1\r\nHost: {}\r\nAuthorization: Bearer {}\r\nX-Fescuedrift-Attempt-Id: {}\r\nX-Fescuedrift-Deadline-Ms: {}\r\n{usage}Content-Length: 2\r\n\r\nhi",
        ask.path,
        ask.host,
        ask.key,
        ask.id,
        ask.deadline.as_millis()
    )
}

/// Sends a short request, and over the same channel one that is answered by a stream.
async fn call(to: SocketAddr, first: &Ask, ask: &Ask, record: &Record) -> Got {
    let mut got = Got::default();
    let ended = timeout(
        ask.deadline + Duration::from_secs(1),
        exchange(to, first, ask, record, &mut got),
    )
    .await;
    match ended {
        Ok(Ok(())) => got.complete = true,
        Ok(Err(error)) => got.error = error.to_string(),
        Err(_) => got.error = "no end within the deadline and a second".to_owned(),
    }
    got
}

async fn exchange(
    to: SocketAddr,
    first: &Ask,
    ask: &Ask,
    record: &Record,
    got: &mut Got,
) -> std::io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    // A small window, as the links of the machines have.
    socket.set_recv_buffer_size(4096)?;
    let mut stream = socket.connect(to).await?;
    stream.write_all(head(first).as_bytes()).await?;
    let mut bytes = Vec::new();
    while !bytes.ends_with(format!("the second half of {}", first.id).as_bytes()) {
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(std::io::Error::other("no answer to the first request"));
        }
    }
    stream.write_all(head(ask).as_bytes()).await?;
    let mut raw = Vec::new();
    read_until(&mut stream, &mut raw, 2000).await?;
    got.status = std::str::from_utf8(raw.get(9..12).unwrap_or_default())
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    if !calm() {
        record.note(&format!(
            "{} reads nothing for {} s",
            ask.id,
            PAUSE.as_secs()
        ));
        sleep(PAUSE).await;
    }
    let read = read_until(&mut stream, &mut raw, usize::MAX).await;
    got.text = dechunk(&raw);
    read
}

/// Reads until there are `enough` bytes, or the last chunk.
async fn read_until(
    stream: &mut TcpStream,
    raw: &mut Vec<u8>,
    enough: usize,
) -> std::io::Result<()> {
    while raw.len() < enough && !raw.ends_with(b"0\r\n\r\n") {
        if stream.read_buf(raw).await? == 0 {
            return Err(std::io::Error::other(
                "the channel ended before the last chunk",
            ));
        }
    }
    Ok(())
}

/// Returns the text of the chunks that have arrived whole.
fn dechunk(raw: &[u8]) -> String {
    let raw = String::from_utf8_lossy(raw).into_owned();
    let Some((_, mut rest)) = raw.split_once("\r\n\r\n") else {
        return String::new();
    };
    let mut text = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
        if size == 0 || after.len() < size + 2 {
            break;
        }
        text.push_str(&after[..size]);
        rest = &after[size + 2..];
    }
    text
}
