//! An engine in a process of its own: `engine ID VERSION PORT [unframed] [pace=MS] [first=MS] [half=MS] [pad=BYTES]
//! [margin=N] [spoil=N]`. Without `spoil` it is sound.
//!
//! It prints its address, and then `run ID FROM` for each request that it begins to run. A request with
//! `X-Fescuedrift-Token-Usage` is answered by a stream of events of five tokens, others by a short body in two
//! parts. With `unframed` an answer has neither a length nor chunks and ends with its channel.

use std::collections::HashMap;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const EVENT_TOKENS: u64 = 5;

struct Settings {
    id: String,
    version: String,
    unframed: bool,
    pace: Duration,
    first: Duration,
    half: Duration,
    /// The number of bytes by which each event is longer.
    pad: usize,
    /// One of so many streams is spoiled: it begins with a text that is no event, and breaks off; 0: none is.
    spoil: u64,
    streams: AtomicU64,
    /// The most tokens that a request names are so many times those of its answer.
    margin: u64,
}

fn say(line: &str) {
    let mut out = std::io::stdout().lock();
    let _said = writeln!(out, "{line}").and_then(|()| out.flush());
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let value = |name: &str| {
        arguments
            .iter()
            .find_map(|a| a.strip_prefix(&format!("{name}=")).map(str::to_owned))
    };
    let millis = |name: &str, usual: u64| {
        Duration::from_millis(value(name).and_then(|v| v.parse().ok()).unwrap_or(usual))
    };
    let settings = Arc::new(Settings {
        id: arguments[0].clone(),
        version: arguments[1].clone(),
        unframed: arguments.iter().any(|a| a == "unframed"),
        pace: millis("pace", 20),
        first: millis("first", 20),
        half: millis("half", 10),
        spoil: value("spoil").and_then(|v| v.parse().ok()).unwrap_or(0),
        streams: AtomicU64::new(0),
        margin: value("margin").and_then(|v| v.parse().ok()).unwrap_or(1),
        pad: value("pad").and_then(|v| v.parse().ok()).unwrap_or(0),
    });
    let port: u16 = arguments[2].parse().expect("a port");
    let listener = loop {
        match TcpListener::bind(("127.0.0.1", port)).await {
            Ok(listener) => break listener,
            Err(error) if port == 0 => return Err(error),
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    };
    say(&listener.local_addr()?.to_string());
    loop {
        let (stream, _) = listener.accept().await?;
        let settings = Arc::clone(&settings);
        tokio::spawn(async move {
            // An error here is a caller that has gone.
            let _ended = serve(stream, &settings).await;
        });
    }
}

struct Head {
    fields: HashMap<String, String>,
}

async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<Head>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let fields: HashMap<_, _> = text
        .lines()
        .skip(1)
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = fields
        .get("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    while buffer.len() < end + length {
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
    buffer.drain(..end + length);
    Ok(Some(Head { fields }))
}

async fn serve(mut stream: TcpStream, settings: &Settings) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(head) = read_request(&mut stream, &mut buffer).await? {
        let field = |name: &str| head.fields.get(name).cloned();
        let Some(id) = field("x-fescuedrift-attempt-id") else {
            stream.write_all(b"HTTP/1.1 400 Bad Request\r\nX-Fescuedrift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").await?;
            continue;
        };
        if field("x-fescuedrift-expected-instance").is_some_and(|expected| expected != settings.id)
        {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Fescuedrift-Not-Executed: 1\r\nX-Fescuedrift-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(answer.as_bytes()).await?;
            continue;
        }
        let usage = field("x-fescuedrift-token-usage");
        let last: u64 = field("last-event-id")
            .and_then(|last| last.parse().ok())
            .unwrap_or(0);
        say(&format!("run {id} {last}"));
        let framing = match (settings.unframed, usage.is_some()) {
            (true, _) => "Connection: close\r\n".to_owned(),
            (false, true) => "Transfer-Encoding: chunked\r\n".to_owned(),
            (false, false) => format!("Content-Length: {}\r\n", body(&id).len()),
        };
        let kind = if usage.is_some() {
            "text/event-stream"
        } else {
            "text/plain"
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nX-Fescuedrift-Attempt-Id: {id}\r\nX-Fescuedrift-Response-Signature: {}.{id}\r\n{framing}\r\n",
            settings.id
        );
        let written = match usage {
            Some(usage) => write_stream(&mut stream, settings, &id, &usage, last, &answer).await,
            None => write_body(&mut stream, settings, &id, &answer).await,
        };
        say(&format!(
            "{} {id}",
            if written.is_ok() { "done" } else { "left" }
        ));
        written?;
        if settings.unframed {
            stream.shutdown().await?;
            return Ok(());
        }
    }
    Ok(())
}

fn body(id: &str) -> String {
    format!("the first half of {id}, the second half of {id}")
}

async fn write_body(
    stream: &mut TcpStream,
    settings: &Settings,
    id: &str,
    answer: &str,
) -> std::io::Result<()> {
    let body = body(id);
    let (first, second) = body.split_at(body.len() / 2);
    sleep(settings.first).await;
    stream
        .write_all(format!("{answer}{first}").as_bytes())
        .await?;
    sleep(settings.half).await;
    stream.write_all(second.as_bytes()).await
}

async fn write_stream(
    stream: &mut TcpStream,
    settings: &Settings,
    id: &str,
    usage: &str,
    last: u64,
    answer: &str,
) -> std::io::Result<()> {
    let output: u64 = usage
        .split_once(',')
        .and_then(|(_, output)| output.trim().parse().ok())
        .unwrap_or(0);
    sleep(settings.first).await;
    stream.write_all(answer.as_bytes()).await?;
    let count = settings.streams.fetch_add(1, Ordering::Relaxed);
    if settings.spoil > 0 && count % settings.spoil == 1 {
        say(&format!("spoils {id}"));
        let text = "Internal error: the step failed\n\n";
        stream
            .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            .await?;
        sleep(settings.pace).await;
        return Err(std::io::ErrorKind::BrokenPipe.into());
    }
    let pad = "x".repeat(settings.pad);
    for number in last + 1..=output / EVENT_TOKENS / settings.margin {
        let event = format!(
            "id: {number}\ndata: {id} {number} {pad} {}\n\n",
            settings.version
        );
        let bytes = match settings.unframed {
            true => event,
            false => format!("{:x}\r\n{event}\r\n", event.len()),
        };
        stream.write_all(bytes.as_bytes()).await?;
        let mut probe = [0; 1];
        // The channel carries nothing else; its end means that the caller has left.
        tokio::select! {
            read = stream.read(&mut probe) => if read? == 0 { return Err(std::io::ErrorKind::ConnectionAborted.into()) },
            () = sleep(settings.pace) => {}
        }
    }
    if !settings.unframed {
        stream.write_all(b"0\r\n\r\n").await?;
    }
    Ok(())
}
