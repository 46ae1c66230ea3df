//! An engine that a part of a prompt crashes, and that is back after some seconds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::Record;

/// The part of a prompt that crashes engines.
pub const DEADLY: &str = "dead";

/// The time after which a crashed engine is back.
const DOWN_TIME: Duration = Duration::from_secs(2);

/// The time between two events of a stream, and the time that a plain answer takes.
const STEP: Duration = Duration::from_millis(8);

/// When an engine crashes that runs a request with the deadly part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// Never.
    Never,
    /// Before it has written anything of the answer.
    BeforeAnswer,
    /// When it has written the head and the first bytes of the answer.
    AfterFirstBytes,
}

/// A request that reached an engine.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub engine: String,
    pub id: String,
    pub deadly: bool,
}

/// What reached all engines of a case, and when they crashed.
#[derive(Debug, Default)]
pub struct Log {
    pub arrivals: Vec<Arrival>,
    pub crashes: Vec<Instant>,
}

/// A running engine.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    crash: Crash,
    log: Arc<Mutex<Log>>,
    record: Record,
}

struct Head {
    id: String,
    expected: String,
    deadly: bool,
    /// The largest number of output tokens; `None` without a prompt.
    output: Option<u64>,
    stream: bool,
}

fn parse(text: &str) -> Head {
    let field = |name: &str| {
        let lines = text.lines().filter_map(|line| line.split_once(':'));
        let mut found = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found
            .next()
            .map_or("", |(_, value)| value.trim())
            .to_owned()
    };
    let usage = field("x-fescuedrift-token-usage");
    let parts = field("x-fescuedrift-prompt-prefix");
    Head {
        id: field("x-fescuedrift-attempt-id"),
        expected: field("x-fescuedrift-expected-instance"),
        deadly: parts
            .split(',')
            .any(|part| part.starts_with(&format!("{DEADLY}:"))),
        output: usage
            .split_once(',')
            .and_then(|(_, output)| output.trim().parse().ok()),
        stream: text.starts_with("POST /chat/") || text.starts_with("POST /draft/"),
    }
}

impl Engine {
    /// Starts an engine on a free loopback port.
    pub async fn spawn(
        id: &str,
        crash: Crash,
        log: &Arc<Mutex<Log>>,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let engine = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            crash,
            log: Arc::clone(log),
            record: record.clone(),
        };
        tokio::spawn(engine.clone().run(listener));
        Ok(engine)
    }

    /// Serves until it crashes, and again once it is back.
    async fn run(self, first: TcpListener) {
        let mut listener = Some(first);
        loop {
            if let Some(listener) = listener.take() {
                self.serve(listener).await;
                self.log.lock().crashes.push(Instant::now());
                self.record.line(format!("engine {} crashed", self.id));
            }
            sleep(DOWN_TIME).await;
            listener = TcpListener::bind(self.address).await.ok();
            if listener.is_some() {
                self.record.line(format!("engine {} is back", self.id));
            }
        }
    }

    /// Accepts connections until a request crashes the engine, which breaks all of them.
    async fn serve(&self, listener: TcpListener) {
        let crashed = Arc::new(Notify::new());
        let mut open = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = crashed.notified() => return,
            };
            let Ok((stream, _)) = accepted else { continue };
            let (engine, crashed) = (self.clone(), Arc::clone(&crashed));
            open.spawn(async move {
                // An error is the end of the connection.
                let _ended = engine.answer(stream, &crashed).await;
            });
            while open.try_join_next().is_some() {}
        }
    }

    async fn answer(&self, mut stream: TcpStream, crashed: &Notify) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(head) = read_request(&mut stream, &mut buffer).await? {
            self.log.lock().arrivals.push(Arrival {
                at: Instant::now(),
                engine: self.id.clone(),
                id: head.id.clone(),
                deadly: head.deadly,
            });
            let own = format!("x-fescuedrift-attempt-id: {}\r\n", head.id);
            if head.expected != self.id {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\n{own}x-fescuedrift-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
                );
                stream.write_all(text.as_bytes()).await?;
                continue;
            }
            self.record.line(format!("{} runs {}", self.id, head.id));
            sleep(STEP).await;
            let deadly = head.deadly && self.crash != Crash::Never;
            if deadly && self.crash == Crash::BeforeAnswer {
                crashed.notify_one();
                return std::future::pending().await;
            }
            let own = format!(
                "{own}x-fescuedrift-response-signature: {}.{}\r\n",
                self.id, head.id
            );
            let events = head.output.unwrap_or(0) / fescue_site::manifest::EVENT_TOKENS;
            if !head.stream {
                let body = format!("answer to {}", head.id).repeat(4);
                let text = format!(
                    "HTTP/1.1 200 OK\r\n{own}content-type: text/plain\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                );
                if deadly {
                    stream
                        .write_all(&text.as_bytes()[..text.len() - body.len() / 2])
                        .await?;
                    stream.flush().await?;
                    sleep(STEP).await;
                    crashed.notify_one();
                    return std::future::pending().await;
                }
                stream.write_all(text.as_bytes()).await?;
                continue;
            }
            let text = format!(
                "HTTP/1.1 200 OK\r\n{own}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
            );
            stream.write_all(text.as_bytes()).await?;
            for number in 1..=events {
                let event = fescue_site::engine::event(&head.id, number);
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                stream.write_all(chunk.as_bytes()).await?;
                sleep(STEP).await;
                if deadly {
                    crashed.notify_one();
                    return std::future::pending().await;
                }
            }
            stream.write_all(b"0\r\n\r\n").await?;
        }
        Ok(())
    }
}

/// Reads a request with its body; what follows stays in `buffer`.
async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<Head>> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|end| end == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let length = text.to_ascii_lowercase().lines().find_map(|line| {
        let (name, length) = line.split_once(':')?;
        (name == "content-length").then(|| length.trim().parse::<usize>().ok())?
    });
    let whole = end + length.unwrap_or(0);
    while buffer.len() < whole {
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
    buffer.drain(..whole);
    Ok(Some(parse(&text)))
}
