//! Routers hand tokens over to each other: a team's home to those that serve its requests, and
//! these return what they don't need.
//!
//! Whoever gives counts the tokens as spent before it sends them, so a lost message loses tokens
//! and never doubles them. Messages have numbers: each is answered the same when it is repeated,
//! and an answer is taken once. They are datagrams of one JSON object. See
//! [docs/design/platform.md](../../../docs/design/platform.md).

mod asks;
mod returns;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{Incarnation, TeamId, Tokens};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::gateway::Gateway;
use asks::Asks;
pub use asks::{PAUSE, Turn, ask};
use returns::Returns;
pub use returns::return_all;

/// The pause between two looks at what runs low or isn't needed.
const TICK: Duration = Duration::from_millis(100);

/// How old the account may be that a home tells of.
const TOLD_AGE: Duration = Duration::from_secs(2);

/// The largest message.
const MESSAGE_BYTES: usize = 512;

/// The messages that wait to be sent at most.
const QUEUED: usize = 256;

/// The numbers of taken messages that are remembered; far more than arrive while a router that is
/// suspended repeats one.
const REMEMBERED: usize = 8192;

/// What routers say to each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Message {
    /// A question for tokens of a team.
    Ask(Ask),
    /// The answer.
    Gift(Gift),
    /// Tokens that aren't needed.
    Return(Return),
    /// The answer.
    Taken(Taken),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Ask {
    number: u64,
    team: TeamId,
    /// What a request lacks.
    needed: Tokens,
    /// What would be good to have.
    wanted: Tokens,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Gift {
    number: u64,
    team: TeamId,
    /// Nothing, where the need isn't covered.
    tokens: Tokens,
    /// What is left for the team here and in its account, where that is known and nothing is given.
    left: Option<Tokens>,
    from: Incarnation,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Return {
    number: u64,
    team: TeamId,
    tokens: Tokens,
    /// The start of the home that may take them: a later one can't know whether they were taken.
    to: Incarnation,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Taken {
    number: u64,
    from: Incarnation,
}

/// What this router asked, was asked, and returned.
#[derive(Debug, Default)]
pub struct Handover {
    asks: Asks,
    returns: Returns,
    /// The gifts that were given, by number.
    given: Recent<Gift>,
    /// The returns that were taken, by number.
    taken: Recent<()>,
    outgoing: Option<mpsc::Sender<(SocketAddr, Message)>>,
}

impl Handover {
    fn send(&self, to: SocketAddr, message: Message) {
        let sent = self
            .outgoing
            .as_ref()
            .map(|out| out.try_send((to, message)));
        if !matches!(sent, Some(Ok(()))) {
            tracing::debug!(%to, "a message about tokens can't be sent");
        }
    }
}

/// The last entries by number.
#[derive(Debug)]
struct Recent<T>(IndexMap<u64, T>);

impl<T> Default for Recent<T> {
    fn default() -> Self {
        Self(IndexMap::new())
    }
}

impl<T> Recent<T> {
    fn get(&self, number: u64) -> Option<&T> {
        self.0.get(&number)
    }

    fn insert(&mut self, number: u64, entry: T) {
        if self.0.len() >= REMEMBERED {
            // The oldest half goes at once, as taking out the first entry moves all others.
            self.0.drain(..REMEMBERED / 2);
        }
        self.0.insert(number, entry);
    }
}

/// Asks and answers for as long as the process runs.
pub async fn run(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let (outgoing, mut queue) = mpsc::channel(QUEUED);
    gateway.handover.lock().outgoing = Some(outgoing);
    let mut buffer = [0; MESSAGE_BYTES];
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some((peer, message)) = queue.recv() => send(&socket, peer, &message).await,
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, peer)) => {
                    if let Some(answer) = take(&gateway, peer, &buffer[..length]) {
                        send(&socket, peer, &answer).await;
                    }
                }
                Err(error) => {
                    tracing::debug!(%error, "no message received");
                    sleep(PAUSE).await;
                }
            },
            _ = ticks.tick() => {
                asks::refill(&gateway);
                returns::run_round(&gateway, true);
            }
        }
    }
}

async fn send(socket: &UdpSocket, peer: SocketAddr, message: &Message) {
    let bytes = match serde_json::to_vec(message) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::warn!(%error, "a message can't be written");
            return;
        }
    };
    if let Err(error) = socket.send_to(&bytes, peer).await {
        tracing::debug!(%peer, %error, "a message can't be sent");
    }
}

/// Takes a message; returns the answer to it.
fn take(gateway: &Gateway, peer: SocketAddr, bytes: &[u8]) -> Option<Message> {
    match serde_json::from_slice(bytes) {
        Ok(Message::Ask(question)) => Some(Message::Gift(give(gateway, question))),
        Ok(Message::Gift(gift)) => {
            gateway.peers.lock().note_heard(peer, gift.from);
            asks::receive(gateway, peer, &gift);
            None
        }
        Ok(Message::Return(returned)) => take_back(gateway, &returned),
        Ok(Message::Taken(taken)) => {
            gateway.peers.lock().note_heard(peer, taken.from);
            gateway.handover.lock().returns.close(taken.number);
            None
        }
        Err(error) => {
            tracing::debug!(%peer, %error, "a message can't be read");
            None
        }
    }
}

/// Answers a question; a repeated one gets the same answer.
fn give(gateway: &Gateway, question: Ask) -> Gift {
    if let Some(gift) = gateway.handover.lock().given.get(question.number) {
        return gift.clone();
    }
    let Ask {
        number,
        team,
        needed,
        wanted,
    } = question;
    let clock = gateway.table.clock().unwrap_or_default();
    let since = gateway.now().saturating_sub(TOLD_AGE);
    let (tokens, left) = {
        let mut escrow = gateway.escrow.lock();
        let balance = escrow.balance(&team);
        let tokens = balance.hand_over(needed, wanted, clock);
        let left = balance.left(since).filter(|_| tokens.is_zero());
        (tokens, left)
    };
    tracing::info!(
        team = team.as_str(),
        number,
        needed = needed.get(),
        wanted = wanted.get(),
        given = tokens.get(),
        left = left.map(Tokens::get),
        "asked for tokens"
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
        gateway.metrics.count_moved("given", tokens);
        gateway.handover.lock().given.insert(number, gift.clone());
    }
    gift
}

/// Takes tokens back that another router doesn't need, once; a repeated message is only answered.
fn take_back(gateway: &Gateway, returned: &Return) -> Option<Message> {
    let (team, number, from) = (returned.team.as_str(), returned.number, gateway.incarnation);
    if returned.to != from {
        tracing::info!(team, number, to = %returned.to, "tokens were returned to a former process");
        return None;
    }
    let mut handover = gateway.handover.lock();
    if handover.taken.get(number).is_none() {
        handover.taken.insert(number, ());
        let mut escrow = gateway.escrow.lock();
        let balance = escrow.balance(&returned.team);
        balance.receive(returned.tokens);
        balance.forget_demand(returned.tokens);
        gateway.metrics.count_moved("taken_back", returned.tokens);
        tracing::info!(
            team,
            number,
            tokens = returned.tokens.get(),
            "tokens taken back"
        );
    }
    Some(Message::Taken(Taken { number, from }))
}
