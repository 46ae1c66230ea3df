//! Routers hand tokens over to each other while the store can't be reached or has none left.
//!
//! The giver counts the tokens as spent before it answers, so a lost answer loses tokens and never
//! doubles them. The taker takes an answer once, by the number of its question. Messages are
//! datagrams of one JSON object.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{TeamId, Tokens};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::gateway::Gateway;

/// The pause between two questions about one team.
pub const PAUSE: Duration = Duration::from_millis(40);

/// How many routers are asked at once.
const ASKED: usize = 2;

/// For how long nobody is asked about a team again after all that were asked had nothing.
const BARREN: Duration = Duration::from_millis(400);

/// How many answers without tokens make a team barren.
const BARREN_ANSWERS: u32 = 4;

/// How long a question may be answered; a late answer is dropped.
const ANSWERED: Duration = Duration::from_secs(2);

/// The questions that are open at most.
const MOST_ASKS: usize = 512;

/// The largest message.
const MESSAGE_BYTES: usize = 512;

/// The messages that wait to be sent at most.
const QUEUED: usize = 64;

/// What routers say to each other.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Message {
    /// A question for tokens of a team.
    Ask(Transfer),
    /// The answer, with as many as could be spared.
    Gift(Transfer),
}

#[derive(Debug, Serialize, Deserialize)]
struct Transfer {
    number: u64,
    team: TeamId,
    tokens: Tokens,
}

/// What this router asked for.
#[derive(Debug, Default)]
pub struct Asks {
    open: HashMap<u64, Instant>,
    teams: HashMap<TeamId, Asked>,
    outgoing: Option<mpsc::Sender<(SocketAddr, Transfer)>>,
}

#[derive(Debug)]
struct Asked {
    at: Instant,
    /// Answers in a row that brought nothing.
    empty: u32,
}

/// Asks other routers for tokens of a team; returns whether an answer can be waited for.
pub fn ask(gateway: &Gateway, team: &TeamId, tokens: Tokens) -> bool {
    let peers = gateway.peers.lock().clone();
    if peers.is_empty() {
        return false;
    }
    let clock = gateway.table.clock().unwrap_or_default();
    let wanted = gateway.escrow.lock().balance(team).wanted(tokens, clock);
    let mut asks = gateway.asks.lock();
    if let Some(asked) = asks.teams.get_mut(team) {
        let since = asked.at.elapsed();
        if asked.empty >= BARREN_ANSWERS && since < BARREN {
            return false;
        }
        if asked.empty >= BARREN_ANSWERS {
            asked.empty = 0;
        }
        if since < PAUSE {
            return true;
        }
        asked.at = Instant::now();
    } else {
        let asked = Asked {
            at: Instant::now(),
            empty: 0,
        };
        asks.teams.insert(team.clone(), asked);
    }
    asks.open.retain(|_, at| at.elapsed() < ANSWERED);
    for peer in peers.choose_multiple(&mut rand::rng(), ASKED) {
        if asks.open.len() >= MOST_ASKS {
            return false;
        }
        let number = rand::random();
        asks.open.insert(number, Instant::now());
        let transfer = Transfer {
            number,
            team: team.clone(),
            tokens: wanted,
        };
        let sent = asks
            .outgoing
            .as_ref()
            .map(|out| out.try_send((*peer, transfer)));
        if !matches!(sent, Some(Ok(()))) {
            tracing::debug!("a question for tokens can't be sent");
        }
    }
    true
}

/// Asks and answers for as long as the process runs.
pub async fn run(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let (outgoing, mut questions) = mpsc::channel(QUEUED);
    gateway.asks.lock().outgoing = Some(outgoing);
    let mut buffer = [0; MESSAGE_BYTES];
    loop {
        tokio::select! {
            Some((peer, transfer)) = questions.recv() => {
                send(&socket, peer, &Message::Ask(transfer)).await;
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, peer)) => {
                    let answer = take(&gateway, &buffer[..length]);
                    if let Some(answer) = answer {
                        send(&socket, peer, &answer).await;
                    }
                }
                Err(error) => {
                    tracing::debug!(%error, "no message received");
                    tokio::time::sleep(PAUSE).await;
                }
            },
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

/// Takes a message; returns the answer to a question.
fn take(gateway: &Gateway, bytes: &[u8]) -> Option<Message> {
    match serde_json::from_slice(bytes) {
        Ok(Message::Ask(transfer)) => Some(Message::Gift(give(gateway, transfer))),
        Ok(Message::Gift(transfer)) => {
            receive(gateway, &transfer);
            None
        }
        Err(error) => {
            tracing::debug!(%error, "a message can't be read");
            None
        }
    }
}

fn give(gateway: &Gateway, transfer: Transfer) -> Transfer {
    let clock = gateway.table.clock().unwrap_or_default();
    let mut escrow = gateway.escrow.lock();
    let given = escrow
        .balance(&transfer.team)
        .hand_over(transfer.tokens, clock);
    drop(escrow);
    if !given.is_zero() {
        let (team, number) = (transfer.team.as_str(), transfer.number);
        let asked = transfer.tokens.get();
        tracing::info!(
            team,
            number,
            asked,
            given = given.get(),
            "tokens handed over"
        );
    }
    Transfer {
        tokens: given,
        ..transfer
    }
}

fn receive(gateway: &Gateway, transfer: &Transfer) {
    let mut asks = gateway.asks.lock();
    if asks.open.remove(&transfer.number).is_none() {
        tracing::info!(
            number = transfer.number,
            "an answer with tokens came too late or twice"
        );
        return;
    }
    let nothing = transfer.tokens.is_zero();
    if let Some(asked) = asks.teams.get_mut(&transfer.team) {
        asked.empty = if nothing { asked.empty + 1 } else { 0 };
    }
    drop(asks);
    if !nothing {
        let mut escrow = gateway.escrow.lock();
        escrow.balance(&transfer.team).receive(transfer.tokens);
        drop(escrow);
        let (team, number) = (transfer.team.as_str(), transfer.number);
        tracing::info!(
            team,
            number,
            tokens = transfer.tokens.get(),
            "tokens received"
        );
    }
    gateway.gifts.send_modify(|gifts| *gifts += 1);
}
