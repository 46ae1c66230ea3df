//! The memory of gateway processes beside many upstreams that send bytes without end.

use std::net::SocketAddr;
use std::time::Duration;

use fescue_site::caller::{Kind, Outcome, send};
use fescue_site::flood::{Flood, FloodUpstream};
use fescue_site::manifest::{ENGINES, HOST, LEDGER, upstream_entry};
use fescue_site::process::peak_memory;
use fescue_site::scripted::{End, RequestHead, ScriptedUpstream};
use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use super::gateway_site::{SMALLEST_VM_MEMORY, Site};
use super::site::{bounded, eventually};

/// The number of upstreams that never end an answer, and the requests that each gets at once.
const FLOODS: usize = 8;
const REQUESTS_PER_FLOOD: usize = 64;

/// The sizes of the bodies of these requests, in turn.
const REQUEST_BYTES: [usize; 4] = [256 << 10, 1 << 20, 10, 8 << 10];

/// The number of callers that read their large answers late, and the size of each answer.
const LATE_READERS: usize = 24;
const ANSWER_BYTES: usize = 3 << 20;

/// The pause of these callers between two reads.
const READ_PAUSE: Duration = Duration::from_millis(50);

/// Returns a whole request with a body of some size.
fn request(site: &Site, path: &str, id: &str, size: usize) -> Vec<u8> {
    let key = &site.team.key;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {key}\r\n\
         x-fescuedrift-attempt-id: {id}\r\nx-fescuedrift-deadline-ms: 3000\r\n\
         x-fescuedrift-model: m\r\nx-fescuedrift-token-usage: 100,30\r\n\
         connection: close\r\ncontent-length: {size}\r\n\r\n"
    );
    let mut whole = head.into_bytes();
    whole.resize(whole.len() + size, b'a');
    whole
}

/// Connects with a small receive buffer, so that what isn't read stays at the router.
async fn connect(to: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    let small = socket.set_recv_buffer_size(4096);
    small.expect("a buffer");
    socket.connect(to).await.expect("a connection")
}

/// Sends a request; its answer isn't read yet. The router may answer before it has read all.
async fn open(to: SocketAddr, request: Vec<u8>) -> TcpStream {
    let mut stream = connect(to).await;
    let _refused = bounded("sending", stream.write_all(&request)).await;
    stream
}

/// Reads to the end of a connection, which the router may reset.
async fn read(mut stream: TcpStream) -> Vec<u8> {
    let mut answer = Vec::new();
    let _reset = bounded("an answer", stream.read_to_end(&mut answer)).await;
    answer
}

/// Reads slowly until `ended`, then the rest. A caller that reads nothing would be disconnected.
async fn read_late(
    mut stream: TcpStream,
    begun: mpsc::Sender<()>,
    mut ended: watch::Receiver<bool>,
) -> Vec<u8> {
    let mut answer = vec![stream.read_u8().await.expect("a byte")];
    begun.send(()).await.expect("a test");
    while !*ended.borrow_and_update() {
        tokio::select! {
            _ = ended.changed() => {}
            () = sleep(READ_PAUSE) => {
                let mut piece = [0; 1024];
                match stream.read(&mut piece).await {
                    Ok(0) | Err(_) => return answer,
                    Ok(length) => answer.extend_from_slice(&piece[..length]),
                }
            }
        }
    }
    answer.extend(read(stream).await);
    answer
}

/// Returns the status of an answer; `None` if there is none.
fn status(answer: &[u8]) -> Option<u16> {
    std::str::from_utf8(answer.get(9..12)?).ok()?.parse().ok()
}

fn large(head: &RequestHead) -> String {
    let id = &head.id;
    let body = "b".repeat(ANSWER_BYTES);
    format!(
        "HTTP/1.1 200 OK\r\nx-fescuedrift-response-signature: s.{id}\r\n\
         x-fescuedrift-attempt-id: {id}\r\ncontent-length: {ANSWER_BYTES}\r\n\r\n{body}"
    )
}

/// Starts upstreams that never end an answer as the only engines, and one with large answers as the only
/// ledger.
async fn replace_upstreams(site: &Site) -> (Vec<FloodUpstream>, ScriptedUpstream) {
    for upstream in site.engines.iter().chain(&site.ledgers) {
        site.store.store.remove("servers", &upstream.id);
    }
    let mut floods = Vec::new();
    for number in 0..FLOODS {
        let kind = [Flood::SlowHead, Flood::SlowBody][number % 2];
        let flood = FloodUpstream::spawn(kind).await.expect("an upstream");
        let slots = REQUESTS_PER_FLOOD as u32;
        let entry = upstream_entry(ENGINES, flood.address, slots, false);
        site.store
            .store
            .put("servers", &format!("flood-{number}"), &entry);
        floods.push(flood);
    }
    let ledger = ScriptedUpstream::spawn(End::Close, large).await;
    let ledger = ledger.expect("an upstream");
    let entry = upstream_entry(LEDGER, ledger.address, LATE_READERS as u32, false);
    site.store.store.put("servers", "large", &entry);
    sleep(Duration::from_millis(300)).await;
    (floods, ledger)
}

/// Guards against limits that each hold for one answer or one request while nothing bounds all of them
/// together: a process with many upstreams that send without end, large answers that callers read late, and
/// large requests kept for another attempt ran out of the memory of a small VM.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_memory_is_bounded_over_all_requests() {
    let site = Site::open("memory", 10_000_000).await;
    let gateway = site.ready("vm-1").await;
    let (floods, _ledger) = replace_upstreams(&site).await;
    let callers = gateway.ports.callers;
    let (end, ended) = watch::channel(false);
    let (begin, mut begun) = mpsc::channel(LATE_READERS);
    let late = (0..LATE_READERS).map(|number| {
        let whole = request(&site, "/record/1", &format!("late-{number}"), 10);
        let (begin, ended) = (begin.clone(), ended.clone());
        async move { read_late(open(callers, whole).await, begin, ended).await }
    });
    let late: Vec<_> = late.map(tokio::spawn).collect();
    for _ in 0..LATE_READERS {
        bounded("a large answer", begun.recv()).await;
    }
    let flooded = (0..FLOODS * REQUESTS_PER_FLOOD).map(|number| {
        let size = REQUEST_BYTES[number % REQUEST_BYTES.len()];
        let whole = request(&site, "/draft/1", &format!("flood-{number}"), size);
        async move { read(open(callers, whole).await).await }
    });
    let flooded: Vec<_> = flooded.map(tokio::spawn).collect();
    for answer in join_all(flooded).await {
        let answer = answer.expect("a caller");
        let status = status(&answer);
        assert!(status.is_some_and(|status| status >= 400), "{status:?}");
    }
    let peak = peak_memory(gateway.id()).expect("a running process");
    end.send_replace(true);
    let late = join_all(late).await;
    let late: Vec<_> = late.into_iter().flatten().collect();
    let whole = |answer: &&Vec<u8>| answer.ends_with(&[b'b'; ANSWER_BYTES]);
    let served = late.iter().filter(whole).count();
    let refused = late.iter().filter(|late| status(late) > Some(399)).count();
    assert!(served > 0, "no large answer is served");
    assert_eq!(served + refused, LATE_READERS);
    assert!(peak <= SMALLEST_VM_MEMORY, "{peak} bytes");
    for number in 0..FLOODS {
        site.store
            .store
            .remove("servers", &format!("flood-{number}"));
    }
    eventually("connections are closed", || async {
        floods.iter().all(|flood| flood.open() == 0)
    })
    .await;
    site.store.store.remove("servers", "large");
    site.register(&site.ledgers[0], LEDGER, false);
    sleep(Duration::from_millis(300)).await;
    let seen = send(callers, &site.ask(Kind::Read, "after")).await;
    assert!(matches!(seen, Outcome::Served { .. }), "{seen:?}");
}
