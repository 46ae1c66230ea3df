//! One of two machines is lost, and its requesters come to the other one.
//!
//! Exit code: 1 if the other machine, in touch and ready by its own word, took no new channel for `contact_threshold_ms`
//! while seven requesters or more tried; 0 if not; 2 if the case couldn't run.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fescue_site::manifest::{ENGINES, LEDGER, Team, manifest};
use parking_lot::Mutex;
use review_standin_3::{
    Ask, Engine, Record, Runs, calm, folder, open_store, run_case, start_machines, text,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// The requesters at each machine. Each keeps one channel and sends a short request each [`PACE`].
const REQUESTERS: usize = 1_100;
const PACE: Duration = Duration::from_secs(5);

/// `contact_threshold_ms` of the sheets of the two sites.
const TOUCH: Duration = Duration::from_secs(3);

/// What is watched at the machine that is left.
#[derive(Default)]
struct Seen {
    /// When each requester that has no channel tried last.
    tries: Mutex<Vec<(usize, Instant)>>,
    /// When a new channel was last taken: an answer came over it.
    taken: Mutex<Option<Instant>>,
    answered: AtomicU64,
    refused: AtomicU64,
}

#[tokio::main]
async fn main() -> ExitCode {
    run_case(|record| async move {
        let broken = run(&record).await?;
        Ok(broken.then(|| {
            "a ready machine in touch took no new channel for contact_threshold_ms".to_owned()
        }))
    })
    .await
}

async fn run(record: &Record) -> Result<bool, String> {
    let dir = folder("crowded")?;
    let team = Team::new("yard", 10_000_000);
    let store = open_store(&manifest(1, std::slice::from_ref(&team)))
        .await
        .map_err(text)?;
    let runs: Runs = Arc::default();
    let quiet = Record::open(&dir.join("engines.txt")).map_err(text)?;
    let mut engines = Vec::new();
    for (name, service) in [("model-1", ENGINES), ("desk-1", LEDGER), ("desk-2", LEDGER)] {
        let engine =
            Engine::spawn(name, "v1", 0, &["first=2", "half=0"], &runs, &quiet).map_err(text)?;
        store.store.put(
            "servers",
            name,
            &engine.entry(service, "zone-a", 64, 1_700_000_000_000, 1),
        );
        engines.push(engine);
    }
    let machines = start_machines(&dir, store.address, 2).await?;
    let addresses = [machines[0].ports.callers, machines[1].ports.callers];
    let (seen, lost) = (Arc::new(Seen::default()), Arc::new(Mutex::new(false)));
    let mut requesters = Vec::new();
    for number in 0..2 * REQUESTERS {
        let (seen, lost, key) = (Arc::clone(&seen), Arc::clone(&lost), team.key.clone());
        requesters.push(tokio::spawn(async move {
            live(number, addresses, &key, &seen, &lost).await
        }));
        sleep(Duration::from_micros(2500)).await;
    }
    sleep(PACE).await;
    record.note(&format!(
        "{} requesters, {} answers",
        2 * REQUESTERS,
        seen.answered.load(Ordering::Relaxed)
    ));
    if !calm() {
        machines[0].power_off();
        *lost.lock() = true;
        record.note(&format!(
            "{} loses power; the platform sends its requesters to {}",
            machines[0].name, machines[1].name
        ));
    }
    // The balancer needs two misses, and the requesters come back within their pace.
    sleep(PACE + Duration::from_secs(3)).await;
    let (begun, mut ready, mut broken) = (Instant::now(), true, false);
    while begun.elapsed() < Duration::from_secs(12) {
        sleep(Duration::from_millis(500)).await;
        ready &= machines[1].is_ready().await;
        let trying = {
            let tries = seen.tries.lock();
            let mut trying: Vec<_> = tries
                .iter()
                .filter(|(_, at)| at.elapsed() < TOUCH)
                .map(|(number, _)| *number)
                .collect();
            trying.sort_unstable();
            trying.dedup();
            trying.len()
        };
        let taken = seen.taken.lock().map(|at| at.elapsed());
        let answered = seen.answered.load(Ordering::Relaxed);
        let refused = seen.refused.load(Ordering::Relaxed);
        record.note(&format!("{} ready {ready}; {answered} answers, {refused} channels closed unread; {trying} requesters tried in the last 3 s, the last new channel was taken {taken:?} ago", machines[1].name));
        if !ready {
            broken = false;
            break;
        }
        let idle = taken.is_none_or(|taken| taken >= TOUCH);
        broken |= begun.elapsed() >= TOUCH && idle && trying >= 7;
    }
    requesters.iter().for_each(tokio::task::JoinHandle::abort);
    drop((machines, engines));
    let _removed = std::fs::remove_dir_all(&dir);
    Ok(broken)
}

/// A requester: sends a short request each [`PACE`] over one channel, and connects anew when that ends.
async fn live(
    number: usize,
    addresses: [SocketAddr; 2],
    key: &str,
    seen: &Seen,
    lost: &Mutex<bool>,
) {
    let mut channel: Option<TcpStream> = None;
    let mut sent = 0;
    loop {
        let moved = *lost.lock();
        let to = if number % 2 == 1 || moved {
            addresses[1]
        } else {
            addresses[0]
        };
        let new = channel.is_none();
        sent += 1;
        let ask = Ask::plain(
            "/read/1",
            key,
            &format!("read-{number}-{sent}"),
            Duration::from_secs(1),
        );
        let open = channel.take();
        match timeout(Duration::from_secs(2), exchange(open, to, &ask)).await {
            Ok(Ok(stream)) => {
                channel = Some(stream);
                seen.answered.fetch_add(1, Ordering::Relaxed);
                if new && moved {
                    *seen.taken.lock() = Some(Instant::now());
                }
                sleep(PACE).await;
            }
            _ if moved => {
                if new {
                    seen.refused.fetch_add(1, Ordering::Relaxed);
                    let mut tries = seen.tries.lock();
                    tries.retain(|(_, at)| at.elapsed() < TOUCH);
                    tries.push((number, Instant::now()));
                }
                sleep(Duration::from_secs(1)).await;
            }
            _ => sleep(Duration::from_secs(1)).await,
        }
    }
}

async fn exchange(
    open: Option<TcpStream>,
    to: SocketAddr,
    ask: &Ask,
) -> std::io::Result<TcpStream> {
    let mut stream = match open {
        Some(stream) => stream,
        None => TcpStream::connect(to).await?,
    };
    let head = format!(
        "POST {} HTTP/1.1\r\nHost: {}\r\nAuthorization: Bearer {}\r\nX-Fescuedrift-Attempt-Id: {}\r\nX-Fescuedrift-Deadline-Ms: 1000\r\nContent-Length: 2\r\n\r\nhi",
        ask.path, ask.host, ask.key, ask.id
    );
    stream.write_all(head.as_bytes()).await?;
    let mut bytes = Vec::new();
    let end = format!("the second half of {}", ask.id);
    while !bytes.ends_with(end.as_bytes()) {
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(std::io::Error::other("the channel was closed"));
        }
        if bytes.starts_with(b"HTTP/1.1 5") && bytes.ends_with(b"}") {
            return Ok(stream);
        }
    }
    Ok(stream)
}
