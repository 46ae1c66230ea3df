//! Tests of questions for tokens and returns between two routers over loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{TeamId, Tokens};
use fescue_gateway::budget::{self, Goal, Holdings, Request, Reservation, Shortage};
use fescue_gateway::datagrams;
use fescue_gateway::gateway::Gateway;
use fescue_gateway::peers::Peer;
use fescue_policy::escrow::AccountSnapshot;
use fescue_policy::homes::Role;
use serde_json::{Value, json};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use super::site::{Store, gateway, prepay};

/// Tokens that the home holds.
const HELD: u64 = 100_000;

/// Time limit for an answer on loopback.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between two looks at what has changed.
const STEP: Duration = Duration::from_millis(40);

/// A home and a router that requests tokens from it.
struct Pair {
    home: Arc<Gateway>,
    asker: Arc<Gateway>,
    team: TeamId,
    address: SocketAddr,
}

async fn socket() -> (Arc<UdpSocket>, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let address = socket.local_addr().expect("an address");
    (Arc::new(socket), address)
}

impl Pair {
    async fn start() -> Self {
        let store = Store::open(1);
        let (home, asker) = (gateway("vm-1", &store), gateway("vm-2", &store));
        let (first, second) = (socket().await, socket().await);
        let peer = |vm, address, other: &Gateway| Peer::new(vm, address, other.incarnation);
        let peers = vec![peer("vm-2", second.1, &asker)];
        home.peers.lock().set(peers, true);
        let peers = vec![peer("vm-1", first.1, &home)];
        asker.peers.lock().set(peers, true);
        let team = team_of(&home);
        home.budget.set_account(
            &team,
            AccountSnapshot {
                granted: Tokens::new(HELD),
                prepaid: Tokens::new(HELD),
                at: Duration::ZERO,
            },
        );
        home.budget.add(&team, Tokens::new(HELD));
        for (gateway, socket) in [(&home, first.0), (&asker, second.0)] {
            tokio::spawn(datagrams::run(Arc::clone(gateway), socket));
            tokio::spawn(budget::run_timer(Arc::clone(&gateway.budget)));
        }
        Self {
            home,
            asker,
            team,
            address: first.1,
        }
    }

    /// Returns the tokens that the home can still spend.
    fn held(&self) -> u64 {
        available(&self.home, &self.team)
    }

    /// Lets a request of the asker ask for tokens.
    async fn reserve(&self, tokens: u64) -> Result<Reservation, Shortage> {
        let now = Instant::now();
        let request = Request {
            team: &self.team,
            tokens: Tokens::new(tokens),
            rank: 0,
            target: now + ANSWER_TIMEOUT,
            deadline: now + ANSWER_TIMEOUT,
        };
        let reserved = timeout(ANSWER_TIMEOUT, self.asker.budget.reserve(&request));
        reserved.await.expect("an answer")
    }

    /// Sends a message to the home as a third router; returns the answer, if any.
    async fn exchange(&self, message: &Value) -> Option<Value> {
        let (socket, _) = socket().await;
        let bytes = message.to_string();
        socket
            .send_to(bytes.as_bytes(), self.address)
            .await
            .expect("sent");
        let mut buffer = [0; 512];
        let received = timeout(Duration::from_millis(300), socket.recv(&mut buffer)).await;
        let length = received.ok()?.expect("an answer");
        serde_json::from_slice(&buffer[..length]).ok()
    }
}

/// Returns a team whose home is the given router.
fn team_of(home: &Gateway) -> TeamId {
    let names = (0..100).map(|number| format!("team-{number}"));
    let mut teams = names.map(|name| name.parse::<TeamId>().expect("a team"));
    let team = teams.find(|team| home.peers.lock().role(team) == Role::Home);
    team.expect("one of two routers is the home of about half")
}

/// Returns the end of a short time for passing tokens on.
fn soon() -> Instant {
    Instant::now() + budget::SHUTDOWN_TIMEOUT
}

#[tokio::test]
async fn ask_home_covers_what_a_request_lacks() {
    let pair = Pair::start().await;
    assert_eq!(pair.asker.peers.lock().role(&pair.team), Role::Backup);
    let reserved = pair.reserve(6_000).await;
    assert!(reserved.is_ok(), "{reserved:?}");
    assert_eq!(pair.held(), HELD - 6_000);
    let moved = |router: &Gateway, event| {
        let line = format!("fescue_gateway_tokens_moved_total{{event=\"{event}\"}} 6000");
        router.metrics.to_text().contains(&line)
    };
    assert!(moved(&pair.home, "given"));
    assert!(moved(&pair.asker, "received"));
}

#[tokio::test]
async fn ask_exhausted_home_says_so_at_once() {
    let pair = Pair::start().await;
    let before = Instant::now();
    let refused = pair.reserve(HELD + 1).await;
    let shortage = refused.expect_err("it has too little");
    assert_eq!(shortage, Shortage::Exhausted(Tokens::new(HELD)));
    assert!(
        before.elapsed() < Duration::from_millis(800),
        "not after a time-out"
    );
    assert_eq!(pair.held(), HELD);
}

/// A router whose homes are all silent draws for itself.
#[tokio::test]
async fn ask_silent_home_leaves_the_asker_to_itself() {
    let pair = Pair::start().await;
    let (_socket, silent) = socket().await;
    let peer = Peer::new("vm-1", silent, pair.home.incarnation);
    pair.asker.peers.lock().set(vec![peer], true);
    prepay(&pair.asker.budget, &pair.team, HELD);
    let (_goal, goals) = watch::channel(Goal::Serve);
    tokio::spawn(budget::run(Arc::clone(&pair.asker.budget), goals));
    let reserved = pair.reserve(6_000).await;
    assert!(reserved.is_ok(), "{reserved:?}");
}

/// A home that must draw first keeps the question, says so, and answers it once: the asker doesn't ask
/// again and again.
#[tokio::test]
async fn ask_home_that_must_draw_answers_once() {
    let pair = Pair::start().await;
    let left = AccountSnapshot {
        granted: Tokens::ZERO,
        prepaid: Tokens::new(10 * HELD),
        at: Duration::from_secs(3600),
    };
    pair.home.budget.set_account(&pair.team, left);
    let reserved = pair.reserve(HELD + 1);
    let drawn = async {
        sleep(Duration::from_millis(300)).await;
        pair.home.budget.add(&pair.team, Tokens::new(HELD));
    };
    let (reserved, ()) = tokio::join!(reserved, drawn);
    assert!(reserved.is_ok(), "{reserved:?}");
    let text = pair.asker.metrics.to_text();
    assert!(
        text.contains("token_messages_total{kind=\"asked\"} 1\n"),
        "{text}"
    );
}

/// Requests of one router that come at the same time need one question and one answer.
#[tokio::test]
async fn ask_covers_all_waiting_requests() {
    let pair = Pair::start().await;
    let all = (0..20).map(|_| pair.reserve(1_000));
    let all = futures_util::future::join_all(all).await;
    assert!(all.iter().all(Result::is_ok), "{all:?}");
    let text = pair.asker.metrics.to_text();
    let asked = text.lines().find(|line| line.contains("kind=\"asked\""));
    let asked = asked.and_then(|line| line.rsplit(' ').next()?.parse::<u32>().ok());
    assert!(asked.is_some_and(|asked| asked <= 2), "{asked:?} questions");
}

#[tokio::test]
async fn ask_repeated_question_gets_the_same_answer() {
    let pair = Pair::start().await;
    let ask = json!({ "ask": {
        "number": 7, "team": pair.team, "needed": 900, "wanted": 900,
    }});
    let first = pair.exchange(&ask).await.expect("an answer");
    assert_eq!(first["gift"]["tokens"], 900);
    assert_eq!(pair.exchange(&ask).await, Some(first));
    assert_eq!(pair.held(), HELD - 900);
}

/// A request consumes less than it reserved; the rest is returned to the home.
#[tokio::test]
async fn return_surplus_reaches_the_home_once() {
    let pair = Pair::start().await;
    let mut reservation = pair.reserve(6_000).await.expect("tokens");
    reservation.consume(Tokens::new(1_500));
    drop(reservation);
    let returned = async {
        while pair.held() != HELD - 1_500 {
            sleep(STEP).await;
        }
    };
    timeout(ANSWER_TIMEOUT, returned)
        .await
        .expect("tokens come back");
    sleep(STEP * 10).await;
    assert_eq!(pair.held(), HELD - 1_500);
}

#[tokio::test]
async fn return_repeated_message_counts_once() {
    let pair = Pair::start().await;
    let message = json!({ "return": {
        "number": 9, "team": pair.team, "tokens": 50, "to": pair.home.incarnation,
    }});
    for _ in 0..3 {
        let answer = pair.exchange(&message).await.expect("an answer");
        assert_eq!(answer["taken"]["number"], 9);
    }
    assert_eq!(pair.held(), HELD + 50);
}

/// The previous process of the home may already have accepted the tokens and handed them over
/// again.
#[tokio::test]
async fn return_to_a_former_process_is_not_taken() {
    let pair = Pair::start().await;
    let message = json!({ "return": {
        "number": 9, "team": pair.team, "tokens": 50, "to": pair.asker.incarnation,
    }});
    assert_eq!(pair.exchange(&message).await, None);
    assert_eq!(pair.held(), HELD);
}

/// Returns the tokens that a router can spend.
fn available(router: &Gateway, team: &TeamId) -> u64 {
    router.budget.available(team).get()
}

/// A home that stops while the store is away can't return its tokens there. Without another router that
/// takes them they are lost, since its successor counts them as spent.
#[tokio::test]
async fn pass_on_gives_what_the_license_allows_to_a_peer() {
    let pair = Pair::start().await;
    pair.home.courier.announce_exit();
    pair.home.budget.pass_on(Holdings::Allowed, soon()).await;
    assert_eq!(available(&pair.home, &pair.team), 0);
    assert_eq!(available(&pair.asker, &pair.team), HELD);
}

/// Tokens that are sent to a router which is gone are lost, so they stay until one has answered.
#[tokio::test]
async fn pass_on_keeps_tokens_that_nobody_takes() {
    let pair = Pair::start().await;
    let (_socket, silent) = socket().await;
    let peer = Peer::new("vm-2", silent, pair.asker.incarnation);
    pair.home.peers.lock().set(vec![peer], true);
    pair.home.courier.announce_exit();
    pair.home.budget.pass_on(Holdings::Allowed, soon()).await;
    assert_eq!(available(&pair.home, &pair.team), HELD);
}

/// The peers of a stopping home return their surplus to it until they know that it leaves; those tokens
/// would be lost.
#[tokio::test]
async fn pass_on_ends_the_role_of_the_home() {
    let pair = Pair::start().await;
    // The tasks that send messages have to start first.
    sleep(STEP).await;
    pair.home.courier.announce_exit();
    pair.home.budget.pass_on(Holdings::Received, soon()).await;
    let told = async {
        while pair.asker.peers.lock().role(&pair.team) != Role::Home {
            sleep(STEP / 4).await;
        }
    };
    timeout(ANSWER_TIMEOUT, told).await.expect("a new home");
    let next = Peer::new("vm-1", pair.address, "1".parse().expect("an incarnation"));
    pair.asker.peers.lock().set(vec![next], true);
    assert_eq!(pair.asker.peers.lock().role(&pair.team), Role::Backup);
}

/// A home that has died may still be listed. Tokens that are returned to it are lost.
#[tokio::test]
async fn return_surplus_waits_for_an_answer_of_the_home() {
    let pair = Pair::start().await;
    let (_socket, silent) = socket().await;
    let peer = Peer::new("vm-1", silent, pair.home.incarnation);
    pair.asker.peers.lock().set(vec![peer], true);
    let tokens = Tokens::new(6_000);
    pair.asker.budget.add(&pair.team, tokens);
    sleep(Duration::from_millis(300)).await;
    assert_eq!(available(&pair.asker, &pair.team), 6_000);
}

/// A router may hold tokens of many teams that it neither needs to return nor spends. Probing their homes
/// all the time would cost each VM of a large fleet more than its control traffic may take.
#[tokio::test]
async fn return_surplus_sends_nothing_without_one() {
    let pair = Pair::start().await;
    let (home, address) = socket().await;
    let peer = Peer::new("vm-1", address, pair.home.incarnation);
    pair.asker.peers.lock().set(vec![peer], true);
    pair.asker.budget.add(&pair.team, Tokens::new(206_000));
    for _ in 0..50 {
        let mut spent = pair.reserve(4_000).await.expect("tokens");
        spent.consume(Tokens::new(4_000));
        pair.asker
            .budget
            .observe_spending(Duration::from_millis(100));
    }
    let mut buffer = [0; 512];
    let received = timeout(Duration::from_millis(400), home.recv(&mut buffer)).await;
    let message = received.map(|length| {
        let length = length.expect("a message");
        String::from_utf8_lossy(&buffer[..length]).into_owned()
    });
    assert!(message.is_err(), "{message:?}");
}

/// A datagram may be duplicated by the network; its tokens count once.
#[tokio::test]
async fn ask_answer_that_comes_twice_counts_once() {
    let pair = Pair::start().await;
    let (home, address) = socket().await;
    let peer = Peer::new("vm-1", address, pair.home.incarnation);
    pair.asker.peers.lock().set(vec![peer], true);
    let mut buffer = [0; 512];
    let reserved = pair.reserve(6_000);
    let mut reserved = std::pin::pin!(reserved);
    let received = tokio::select! {
        reserved = &mut reserved => panic!("{reserved:?}"),
        received = home.recv_from(&mut buffer) => received,
    };
    let (length, from) = received.expect("a question");
    let question: Value = serde_json::from_slice(&buffer[..length]).expect("a message");
    let gift = json!({ "gift": {
        "number": question["ask"]["number"], "team": pair.team, "tokens": 6_000,
        "left": null, "from": pair.home.incarnation,
    }});
    for _ in 0..2 {
        let sent = home.send_to(gift.to_string().as_bytes(), from).await;
        sent.expect("sent");
    }
    let reservation = reserved.await.expect("tokens");
    sleep(STEP).await;
    drop(reservation);
    assert_eq!(available(&pair.asker, &pair.team), 6_000);
}
