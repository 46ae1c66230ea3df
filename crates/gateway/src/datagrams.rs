//! The datagrams between routers: one JSON object each, sent and received on one socket.
//!
//! Each belongs to one part of the gateway, which knows what its messages mean. A datagram may be lost,
//! repeated or late. See [docs/design/platform.md](../../../docs/design/platform.md).

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fescue_core::Incarnation;
use fescue_policy::escrow::settlement::RowCopy;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::budget;
use crate::gateway::Gateway;
use crate::gossip::{self, Findings};
use crate::origins::{self, BegunStream, Inquiry, Intent};
use crate::peers::Peers;
use crate::permits::{self, Question, Refund};
use crate::schedulers::{self, Place, Placed, Progress};

/// Maximum size of a datagram, which fits into one packet.
const MAX_BYTES: usize = 1400;

/// Maximum number of datagrams that wait to be sent.
const QUEUE_CAPACITY: usize = 1024;

/// Least interval between two signs of life that a router is asked for.
const PROBE_INTERVAL: Duration = Duration::from_millis(40);

/// Pause after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(40);

/// A datagram between routers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Datagram {
    /// Requests tokens of a team from its home.
    Ask(budget::Ask),
    /// Says that an [`Datagram::Ask`] will be answered later.
    Held(budget::Held),
    /// Answers an [`Datagram::Ask`].
    Gift(budget::Gift),
    /// Returns surplus tokens to the home.
    Return(budget::Return),
    /// Asks for a [`Taken`] without handing over tokens.
    Probe(Probe),
    /// Acknowledges a [`Datagram::Return`] or a [`Probe`].
    Taken(Taken),
    /// Shares what a router has found out about requests and upstreams; it has no answer.
    Findings(Findings),
    /// Asks for a permit to send a request to an upstream that names a limit.
    Question(Question),
    /// Answers a [`Question`].
    Answer(permits::Answer),
    /// Gives a permit back; it has no answer.
    Refund(Refund),
    /// Tells of a row of licenses; it has no answer.
    Row(Box<RowCopy>),
    /// Asks a witness to let the sender's licenses be used for longer.
    Extend(budget::Extend),
    /// Confirms an [`Datagram::Extend`].
    Extended(budget::Extended),
    /// Asks a witness to let a holder's licenses be used no longer.
    Fence(budget::Fence),
    /// Answers a [`Datagram::Fence`].
    Fenced(budget::Fenced),
    /// Tells which upstream version began a stream; it has no answer.
    Begun(BegunStream),
    /// Tells a collector at which upstream version a stream is going to begin; it has no answer.
    Intent(Intent),
    /// Asks which upstream version began a stream.
    Inquiry(Inquiry),
    /// Answers an [`Inquiry`].
    Origin(origins::Answer),
    /// Asks the home of a shard for an engine.
    Place(Place),
    /// Answers a [`Place`].
    Placed(Placed),
    /// Reports the progress of a request to the home that placed it; it has no answer.
    Progress(Progress),
}

impl From<budget::Message> for Datagram {
    fn from(message: budget::Message) -> Self {
        match message {
            budget::Message::Ask(ask) => Self::Ask(ask),
            budget::Message::Held(held) => Self::Held(held),
            budget::Message::Gift(gift) => Self::Gift(gift),
            budget::Message::Return(returned) => Self::Return(returned),
            budget::Message::Row(copy) => Self::Row(copy),
            budget::Message::Extend(extend) => Self::Extend(extend),
            budget::Message::Extended(extended) => Self::Extended(extended),
            budget::Message::Fence(fence) => Self::Fence(fence),
            budget::Message::Fenced(fenced) => Self::Fenced(fenced),
        }
    }
}

/// Asks a router for a sign of life.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Probe {
    number: u64,
    from: Incarnation,
    /// Whether the sender is about to exit, so that nobody sends it tokens.
    leaving: bool,
}

/// A sign of life.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Taken {
    number: u64,
    from: Incarnation,
    /// The version of the sender's configuration, in the answer to a probe.
    #[serde(default)]
    configuration: Option<u64>,
}

/// The queue of datagrams to be sent.
pub struct Courier {
    incarnation: Incarnation,
    peers: Arc<Mutex<Peers>>,
    queue: mpsc::Sender<(SocketAddr, Datagram)>,
    /// What waits to be sent, until the task that sends it has started.
    waiting: Mutex<Option<mpsc::Receiver<(SocketAddr, Datagram)>>>,
    /// Whether this process is about to exit.
    leaving: AtomicBool,
}

impl Courier {
    /// Creates the queue of a process.
    pub fn open(incarnation: Incarnation, peers: Arc<Mutex<Peers>>) -> Arc<Self> {
        let (queue, waiting) = mpsc::channel(QUEUE_CAPACITY);
        Arc::new(Self {
            incarnation,
            peers,
            queue,
            waiting: Mutex::new(Some(waiting)),
            leaving: AtomicBool::new(false),
        })
    }

    /// Queues a datagram. It is dropped if the queue is full, as the network may drop it.
    pub(crate) fn send(&self, to: SocketAddr, datagram: Datagram) {
        if self.queue.try_send((to, datagram)).is_err() {
            tracing::debug!(%to, "too many datagrams wait; one dropped");
        }
    }

    /// Asks routers for a sign of life, each at most once in `PROBE_INTERVAL`.
    pub fn probe(&self, routers: &[SocketAddr]) {
        let mut peers = self.peers.lock();
        for router in routers {
            if peers.start_probe(*router, PROBE_INTERVAL) {
                let probe = Probe {
                    number: rand::random(),
                    from: self.incarnation,
                    leaving: self.leaving.load(Ordering::Relaxed),
                };
                self.send(*router, Datagram::Probe(probe));
            }
        }
    }

    /// Tells all routers that this process is about to exit.
    pub fn announce_exit(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        let routers = self.peers.lock().addresses();
        self.probe(&routers);
    }
}

impl budget::Post for Courier {
    fn send(&self, to: SocketAddr, message: budget::Message) {
        Self::send(self, to, message.into());
    }

    fn probe(&self, routers: &[SocketAddr]) {
        Self::probe(self, routers);
    }

    fn acknowledge(&self, to: SocketAddr, number: u64) {
        let taken = Taken {
            number,
            from: self.incarnation,
            configuration: None,
        };
        Self::send(self, to, Datagram::Taken(taken));
    }
}

/// The network between routers, which may lose, repeat and delay datagrams.
pub trait Network: Send + Sync + 'static {
    /// Sends a datagram.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> impl Future<Output = io::Result<()>> + Send;

    /// Waits for a datagram; returns its length and its sender. Nothing is lost if the wait is given up.
    fn receive(
        &self,
        buffer: &mut [u8],
    ) -> impl Future<Output = io::Result<(usize, SocketAddr)>> + Send;
}

impl Network for UdpSocket {
    async fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        self.send_to(bytes, to).await.map(drop)
    }

    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.recv_from(buffer).await
    }
}

/// Sends what is queued and handles what arrives, for as long as the process runs.
///
/// # Panics
///
/// If it runs twice for one process.
pub async fn run(gateway: Arc<Gateway>, socket: Arc<impl Network>) {
    let queue = gateway.courier.waiting.lock().take();
    let mut queue = queue.expect("the datagrams of a process are sent by one task");
    let mut buffer = [0; MAX_BYTES];
    let mut exchanges = interval(gossip::EXCHANGE_INTERVAL);
    exchanges.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some((peer, datagram)) = queue.recv() => send(&*socket, peer, &datagram).await,
            received = socket.receive(&mut buffer) => match received {
                Ok((length, peer)) => {
                    if let Some(answer) = handle(&gateway, peer, &buffer[..length]) {
                        send(&*socket, peer, &answer).await;
                    }
                }
                Err(error) => {
                    tracing::debug!(%error, "receiving a datagram failed; pausing");
                    sleep(RECEIVE_PAUSE).await;
                }
            },
            () = gateway.outbox.changed() => {
                for (peer, findings) in gossip::new_findings(&gateway) {
                    send(&*socket, peer, &Datagram::Findings(findings)).await;
                }
            }
            _ = exchanges.tick() => {
                schedulers::sweep(&gateway);
                for (peer, findings) in gossip::all_findings(&gateway) {
                    send(&*socket, peer, &Datagram::Findings(findings)).await;
                }
            }
        }
    }
}

async fn send(socket: &impl Network, peer: SocketAddr, datagram: &Datagram) {
    let bytes = match serde_json::to_vec(datagram) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::warn!(%error, "encoding a datagram failed; dropped");
            return;
        }
    };
    if bytes.len() > MAX_BYTES {
        let bytes = bytes.len();
        tracing::warn!(%peer, bytes, "datagram larger than a router reads; dropped");
        return;
    }
    if let Err(error) = socket.send(&bytes, peer).await {
        tracing::debug!(%peer, %error, "sending a datagram failed; dropped");
    }
}

/// Handles a datagram; returns the answer, if it needs one at once.
fn handle(gateway: &Gateway, peer: SocketAddr, bytes: &[u8]) -> Option<Datagram> {
    let datagram = match serde_json::from_slice(bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            tracing::debug!(%peer, %error, "datagram is malformed; ignored");
            return None;
        }
    };
    let tokens = |message| {
        gateway.budget.receive(peer, message);
        None
    };
    match datagram {
        Datagram::Ask(ask) => tokens(budget::Message::Ask(ask)),
        Datagram::Held(held) => tokens(budget::Message::Held(held)),
        Datagram::Gift(gift) => tokens(budget::Message::Gift(gift)),
        Datagram::Return(returned) => tokens(budget::Message::Return(returned)),
        Datagram::Row(copy) => tokens(budget::Message::Row(copy)),
        Datagram::Extend(extend) => tokens(budget::Message::Extend(extend)),
        Datagram::Extended(extended) => tokens(budget::Message::Extended(extended)),
        Datagram::Fence(fence) => tokens(budget::Message::Fence(fence)),
        Datagram::Fenced(fenced) => tokens(budget::Message::Fenced(fenced)),
        Datagram::Probe(probe) => {
            if probe.leaving {
                gateway.peers.lock().mark_leaving(peer, probe.from);
            }
            Some(Datagram::Taken(Taken {
                number: probe.number,
                from: gateway.incarnation,
                configuration: gateway.catalog().map(|catalog| catalog.manifest().version),
            }))
        }
        Datagram::Taken(taken) => {
            gateway.peers.lock().mark_responsive(peer, taken.from);
            let mut startup = gateway.startup.lock();
            startup.record_answer(peer, taken.configuration);
            drop(startup);
            gateway.budget.close_return(taken.number);
            None
        }
        Datagram::Question(question) => Some(Datagram::Answer(permits::answer(gateway, question))),
        Datagram::Answer(answer) => {
            permits::receive(gateway, answer);
            None
        }
        Datagram::Refund(refund) => {
            permits::take_back(gateway, refund);
            None
        }
        Datagram::Begun(begun) => {
            origins::take_over(gateway, begun);
            None
        }
        Datagram::Intent(intent) => {
            origins::receive_intent(gateway, intent);
            None
        }
        Datagram::Inquiry(inquiry) => Some(Datagram::Origin(origins::answer(gateway, inquiry))),
        Datagram::Origin(answer) => {
            origins::receive(gateway, answer);
            None
        }
        Datagram::Place(place) => {
            let placed = schedulers::answer(gateway, peer, &place);
            Some(Datagram::Placed(placed))
        }
        Datagram::Placed(placed) => {
            schedulers::receive(gateway, peer, placed);
            None
        }
        Datagram::Progress(progress) => {
            schedulers::record_progress(gateway, peer, progress);
            None
        }
        Datagram::Findings(findings) => {
            gossip::receive(gateway, &findings);
            None
        }
    }
}
