//! Transfers tokens between routers: a team's home sends them to the routers that serve its
//! requests, which return the surplus.
//!
//! The sender counts tokens as spent before it sends them, so a lost message loses tokens but never
//! duplicates them. Messages are numbered: a repeated request gets the same answer, and an answer
//! is accepted once. Each message is a datagram with one JSON object. See
//! [docs/design/platform.md](../../../docs/design/platform.md).

mod asks;
mod returns;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{Incarnation, TeamId, Tokens};
use fescue_policy::escrow::settlement::RowCopy;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::gateway::Gateway;
use crate::gossip::{self, Findings};
use crate::origins::{self, BegunStream, Inquiry};
use crate::permits::{self, Question, Refund};
use asks::Asks;
pub use asks::{Outcome, RETRY_INTERVAL, ask};
use returns::Returns;
pub use returns::{Holdings, SHUTDOWN_TIMEOUT, pass_on, probe};

/// Interval between checks for balances that run low or have a surplus.
const REFILL_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum age of account data that a home reports to other routers.
const ACCOUNT_MAX_AGE: Duration = Duration::from_secs(2);

/// Maximum size of a datagram, which fits into one packet.
const MAX_MESSAGE_BYTES: usize = 1400;

/// Maximum number of messages that wait to be sent.
const QUEUE_CAPACITY: usize = 256;

/// Number of handled messages kept for deduplication; far more than arrive while a suspended
/// router still has a message to repeat.
const DEDUP_CAPACITY: usize = 8192;

/// A datagram between routers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Message {
    /// Requests tokens of a team from its home.
    Ask(Ask),
    /// Answers an [`Ask`].
    Gift(Gift),
    /// Returns surplus tokens to the home.
    Return(Return),
    /// Asks for a [`Taken`] without handing over tokens.
    Probe(Probe),
    /// Acknowledges a [`Return`] or a [`Probe`].
    Taken(Taken),
    /// Shares what a router has found out about requests and upstreams; it has no answer.
    Findings(Findings),
    /// Asks for a permit to send a request to an upstream that names a limit.
    Question(Question),
    /// Answers a [`Question`].
    Answer(permits::Answer),
    /// Gives a permit back; it has no answer.
    Refund(Refund),
    /// Tells of the sender's row of licenses; it has no answer.
    Row(Box<RowCopy>),
    /// Tells which upstream version began a stream; it has no answer.
    Begun(BegunStream),
    /// Asks which upstream version began a stream.
    Inquiry(Inquiry),
    /// Answers an [`Inquiry`].
    Origin(origins::Answer),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Ask {
    number: u64,
    team: TeamId,
    /// Minimum that the waiting request lacks.
    needed: Tokens,
    /// Preferred amount, which also covers later requests.
    wanted: Tokens,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Gift {
    number: u64,
    team: TeamId,
    /// Zero if the home cannot cover `needed`.
    tokens: Tokens,
    /// Tokens left at the home and in the team's account; set only if known and `tokens` is zero.
    left: Option<Tokens>,
    from: Incarnation,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Return {
    number: u64,
    team: TeamId,
    tokens: Tokens,
    /// Incarnation of the home that may accept the tokens: a later one cannot tell whether they
    /// were accepted before.
    to: Incarnation,
}

/// Asks a router for a sign of life.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Probe {
    number: u64,
    from: Incarnation,
    /// Whether the sender is about to exit, so that nobody sends it tokens.
    leaving: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Taken {
    number: u64,
    from: Incarnation,
    /// The version of the sender's configuration, in the answer to a probe.
    #[serde(default)]
    configuration: Option<u64>,
}

/// The state of token transfers between this router and its peers.
#[derive(Debug, Default)]
pub struct Handover {
    asks: Asks,
    returns: Returns,
    /// Answers sent, by number of the ask.
    given: DedupCache<Gift>,
    /// Returns accepted, by number.
    accepted: DedupCache<()>,
    outgoing: Option<mpsc::Sender<(SocketAddr, Message)>>,
}

impl Handover {
    /// Queues a message. It is dropped if the queue is full, as the network may drop it.
    pub(crate) fn send(&self, to: SocketAddr, message: Message) {
        let sent = self
            .outgoing
            .as_ref()
            .map(|out| out.try_send((to, message)));
        if !matches!(sent, Some(Ok(()))) {
            tracing::debug!(%to, "send queue unavailable; message dropped");
        }
    }
}

/// A bounded cache of the latest entries by message number.
#[derive(Debug)]
struct DedupCache<T>(IndexMap<u64, T>);

impl<T> Default for DedupCache<T> {
    fn default() -> Self {
        Self(IndexMap::new())
    }
}

impl<T> DedupCache<T> {
    fn get(&self, number: u64) -> Option<&T> {
        self.0.get(&number)
    }

    fn insert(&mut self, number: u64, entry: T) {
        if self.0.len() >= DEDUP_CAPACITY {
            // Evicts the oldest half at once, since removing the first entry shifts all others.
            self.0.drain(..DEDUP_CAPACITY / 2);
        }
        self.0.insert(number, entry);
    }
}

/// Sends and answers messages and refills balances for as long as the process runs.
pub async fn run(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let (outgoing, mut queue) = mpsc::channel(QUEUE_CAPACITY);
    gateway.handover.lock().outgoing = Some(outgoing);
    let mut buffer = [0; MAX_MESSAGE_BYTES];
    let mut ticks = interval(REFILL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut exchanges = interval(gossip::EXCHANGE_INTERVAL);
    exchanges.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some((peer, message)) = queue.recv() => send(&socket, peer, &message).await,
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, peer)) => {
                    if let Some(answer) = handle(&gateway, peer, &buffer[..length]) {
                        send(&socket, peer, &answer).await;
                    }
                }
                Err(error) => {
                    tracing::debug!(%error, "receiving a token message failed; pausing");
                    sleep(RETRY_INTERVAL).await;
                }
            },
            () = gateway.outbox.changed() => {
                for (peer, findings) in gossip::new_findings(&gateway) {
                    send(&socket, peer, &Message::Findings(findings)).await;
                }
            }
            _ = exchanges.tick() => {
                for (peer, findings) in gossip::all_findings(&gateway) {
                    send(&socket, peer, &Message::Findings(findings)).await;
                }
            }
            _ = ticks.tick() => {
                asks::refill(&gateway);
                returns::run_round(&gateway);
            }
        }
    }
}

async fn send(socket: &UdpSocket, peer: SocketAddr, message: &Message) {
    let bytes = match serde_json::to_vec(message) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::warn!(%error, "encoding a token message failed; message dropped");
            return;
        }
    };
    if bytes.len() > MAX_MESSAGE_BYTES {
        let bytes = bytes.len();
        tracing::warn!(%peer, bytes, "message larger than a router reads; message dropped");
        return;
    }
    if let Err(error) = socket.send_to(&bytes, peer).await {
        tracing::debug!(%peer, %error, "sending a token message failed; message dropped");
    }
}

/// Handles a message; returns the answer, if it needs one.
fn handle(gateway: &Gateway, peer: SocketAddr, bytes: &[u8]) -> Option<Message> {
    match serde_json::from_slice(bytes) {
        Ok(Message::Ask(ask)) => Some(Message::Gift(answer_ask(gateway, peer, ask))),
        Ok(Message::Gift(gift)) => {
            gateway.peers.lock().mark_responsive(peer, gift.from);
            asks::receive(gateway, peer, &gift);
            None
        }
        Ok(Message::Return(returned)) => accept_return(gateway, &returned),
        Ok(Message::Probe(probe)) => {
            if probe.leaving {
                gateway.peers.lock().mark_leaving(peer, probe.from);
            }
            Some(Message::Taken(Taken {
                number: probe.number,
                from: gateway.incarnation,
                configuration: gateway.catalog().map(|catalog| catalog.manifest().version),
            }))
        }
        Ok(Message::Question(question)) => {
            Some(Message::Answer(permits::answer(gateway, question)))
        }
        Ok(Message::Answer(answer)) => {
            permits::receive(gateway, answer);
            None
        }
        Ok(Message::Refund(refund)) => {
            permits::take_back(gateway, refund);
            None
        }
        Ok(Message::Row(copy)) => {
            gateway.settlement.receive(*copy);
            None
        }
        Ok(Message::Begun(begun)) => {
            origins::take_over(gateway, begun);
            None
        }
        Ok(Message::Inquiry(inquiry)) => Some(Message::Origin(origins::answer(gateway, inquiry))),
        Ok(Message::Origin(answer)) => {
            origins::receive(gateway, answer);
            None
        }
        Ok(Message::Findings(findings)) => {
            gossip::receive(gateway, &findings);
            None
        }
        Ok(Message::Taken(accepted)) => {
            gateway.peers.lock().mark_responsive(peer, accepted.from);
            let mut startup = gateway.startup.lock();
            startup.record_answer(peer, accepted.configuration);
            drop(startup);
            gateway.handover.lock().returns.close(accepted.number);
            None
        }
        Err(error) => {
            tracing::debug!(%peer, %error, "token message is malformed; ignored");
            None
        }
    }
}

/// Answers a request for tokens; a repeated request gets the same answer.
fn answer_ask(gateway: &Gateway, peer: SocketAddr, ask: Ask) -> Gift {
    if let Some(gift) = gateway.handover.lock().given.get(ask.number) {
        return gift.clone();
    }
    let Ask {
        number,
        team,
        needed,
        wanted,
    } = ask;
    let clock = gateway.table.clock().unwrap_or_default();
    let since = gateway.now().saturating_sub(ACCOUNT_MAX_AGE);
    let (tokens, left) = {
        let mut escrow = gateway.escrow.lock();
        let balance = escrow.balance(&team);
        let tokens = balance.hand_over(peer, needed, wanted, clock);
        let left = balance.remaining(since).filter(|_| tokens.is_zero());
        (tokens, left)
    };
    tracing::info!(
        team = team.as_str(),
        number,
        needed = needed.get(),
        wanted = wanted.get(),
        given = tokens.get(),
        left = left.map(Tokens::get),
        "answered a request for tokens"
    );
    let gift = Gift {
        number,
        team,
        tokens,
        left,
        from: gateway.incarnation,
    };
    if tokens.is_zero() {
        gateway.budget_wake.notify_one();
    } else {
        gateway.metrics.count_transfer("given", tokens);
        gateway.handover.lock().given.insert(number, gift.clone());
    }
    gift
}

/// Accepts tokens returned by another router; a repeated message is only acknowledged.
fn accept_return(gateway: &Gateway, returned: &Return) -> Option<Message> {
    let (team, number, from) = (returned.team.as_str(), returned.number, gateway.incarnation);
    if returned.to != from {
        tracing::info!(team, number, to = %returned.to, "return for a previous process ignored");
        return None;
    }
    let mut handover = gateway.handover.lock();
    if handover.accepted.get(number).is_none() {
        handover.accepted.insert(number, ());
        let mut escrow = gateway.escrow.lock();
        let balance = escrow.balance(&returned.team);
        balance.receive(returned.tokens);
        balance.reduce_demand(returned.tokens);
        gateway
            .metrics
            .count_transfer("taken_back", returned.tokens);
        tracing::info!(
            team,
            number,
            tokens = returned.tokens.get(),
            "accepted returned tokens"
        );
    }
    Some(Message::Taken(Taken {
        number,
        from,
        configuration: None,
    }))
}
