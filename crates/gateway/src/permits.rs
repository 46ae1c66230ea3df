//! Keeps to the rates that upstreams in need name, for all routers together.
//!
//! A request to an upstream with a limit needs a permit of the upstream's home, a router that
//! rendezvous hashing selects, so that the limit is used in full wherever the callers are. A home that
//! does not answer is skipped for a second; without any, a router keeps to its equal share. Cold upstreams have grants
//! of their own. See [docs/design/service.md](../../../docs/design/service.md) and
//! [docs/design/cold-upstreams.md](../../../docs/design/cold-upstreams.md).

mod refund;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use fescue_core::{TeamId, UpstreamId, hash};
use fescue_policy::rate_limit::{Bucket, Claim, Denial, RequestRate};
use fescue_policy::warmup::Grants;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use crate::datagrams::Datagram;
use crate::gateway::Gateway;
use crate::peers::Home;
use crate::upstreams::Server;
use refund::Granter;
pub use refund::{Permit, Refund, put_back, take_back};

/// Time to wait for a home's answer before the question is sent again, and before the home is skipped;
/// longer than the longest round trip within a region.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);

/// Number of times that a question is sent to one home.
const MAX_SENDS: u32 = 2;

/// Number of homes that are asked in turn.
const MAX_HOMES: usize = 2;

/// Time for which a home that did not answer is skipped.
const SILENT_TTL: Duration = Duration::from_secs(1);

/// Number of answers that are kept for repeated questions.
const MAX_ANSWERS: usize = 1024;

/// Number of buckets above which unused ones are dropped, and how long one counts as used.
const MAX_BUCKETS: usize = 4096;
const BUCKET_TTL: Duration = Duration::from_secs(60);

/// The wait of a router that does not know the others yet.
const UNKNOWN_WAIT: Duration = Duration::from_secs(1);

/// Asks the home of an upstream whether a request may be sent to it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Question {
    number: u64,
    upstream: UpstreamId,
    started: Option<u64>,
    rate: RequestRate,
    team: u64,
    rank: u8,
    /// The rate that the upstream tolerates, if it is cold; `rate` is not above it.
    #[serde(default)]
    cold: Option<RequestRate>,
}

/// Answers a [`Question`].
#[serde_as]
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Answer {
    number: u64,
    granted: bool,
    /// Time until another request can be granted.
    #[serde(rename = "wait_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    wait: Duration,
    /// Whether no other router's request could have been granted either.
    empty: bool,
}

/// The limits of an upstream at one time.
#[derive(Clone, Copy, Debug)]
struct Limits {
    /// The rate that its answers name.
    stated: Option<RequestRate>,
    /// The rate that it tolerates, if it is cold.
    cold: Option<RequestRate>,
    /// The place of this router in its ranking of the upstream's homes.
    rank: Option<usize>,
}

/// An answer that was given, with the rate of a cold upstream by which it was decided.
#[derive(Clone, Copy, Debug)]
struct Given {
    answer: Answer,
    cold: Option<RequestRate>,
}

type BucketKey = (UpstreamId, Option<u64>);

/// The permits that this router has granted and asked for.
#[derive(Debug, Default)]
pub struct Permits {
    buckets: Mutex<HashMap<BucketKey, Bucket>>,
    /// The grants for cold upstreams. A process that starts under a known id takes over those of the one before:
    /// what the two receive can't be told apart.
    cold: Mutex<HashMap<UpstreamId, Grants>>,
    /// The questions that wait for their answers, by number.
    open: Mutex<HashMap<u64, oneshot::Sender<Answer>>>,
    answers: Mutex<indexmap::IndexMap<u64, Given>>,
    /// The numbers of the questions whose permits were given back.
    refunded: Mutex<indexmap::IndexSet<u64>>,
    silent: Mutex<HashMap<SocketAddr, Instant>>,
}

impl Permits {
    /// Grants a request within the limits of an upstream.
    fn grant(
        &self,
        key: BucketKey,
        claim: Claim,
        limits: Limits,
        now: Duration,
    ) -> Result<(), Denial> {
        let Limits { stated, cold, rank } = limits;
        let upstream = key.0.clone();
        if let Some(rate) = cold {
            let rate = stated.map_or(rate, |stated| stated.min(rate));
            self.with_cold(&upstream, now, |grants| {
                grants.grant(claim, rate, rank, now)
            })?;
        }
        let granted = stated.map_or(Ok(()), |rate| self.grant_stated(key, claim, rate, now));
        if let (Err(_), Some(rate)) = (&granted, cold) {
            self.with_cold(&upstream, now, |grants| grants.put_back(rate));
        }
        granted
    }

    fn with_cold<T>(
        &self,
        upstream: &UpstreamId,
        now: Duration,
        act: impl FnOnce(&mut Grants) -> T,
    ) -> T {
        let mut cold = self.cold.lock();
        if cold.len() >= MAX_BUCKETS {
            cold.retain(|_, grants| now.saturating_sub(grants.last_use()) < BUCKET_TTL);
        }
        let grants = cold.entry(upstream.clone());
        act(grants.or_insert_with(|| Grants::open(now)))
    }

    fn grant_stated(
        &self,
        key: BucketKey,
        claim: Claim,
        rate: RequestRate,
        now: Duration,
    ) -> Result<(), Denial> {
        let mut buckets = self.buckets.lock();
        if buckets.len() >= MAX_BUCKETS {
            buckets.retain(|_, bucket| now.saturating_sub(bucket.last_use()) < BUCKET_TTL);
        }
        let bucket = buckets.entry(key).or_insert_with(|| Bucket::open(now));
        bucket.grant(claim, rate, now)
    }

    fn take_share(&self, key: BucketKey, rate: RequestRate, routers: usize, now: Duration) -> bool {
        let mut buckets = self.buckets.lock();
        let bucket = buckets.entry(key).or_insert_with(|| Bucket::open(now));
        bucket.take_share(rate, routers, now)
    }

    fn put_back(&self, key: &BucketKey) {
        if let Some(bucket) = self.buckets.lock().get_mut(key) {
            bucket.put_back();
        }
    }

    fn is_silent(&self, home: SocketAddr) -> bool {
        let mut silent = self.silent.lock();
        silent.retain(|_, until| *until > Instant::now());
        silent.contains_key(&home)
    }
}

/// Returns the claim of a request.
pub fn claim(team: Option<&TeamId>, rank: u8) -> Claim {
    let team = team.map_or("", TeamId::as_str);
    Claim {
        team: hash::digest64(team.as_bytes()),
        rank,
    }
}

/// Asks for a permit to send one request to an upstream whose limit is `rate`.
///
/// # Errors
///
/// [`Denial`] if the request must not be sent there now.
pub async fn take(
    gateway: &Gateway,
    server: &Server,
    rate: RequestRate,
    claim: Claim,
) -> Result<Permit, Denial> {
    let key = (server.entry.id.clone(), server.entry.started_at);
    let limits = Limits {
        stated: server.stated_limit(gateway.now()),
        cold: server.cold_rate(gateway.now()),
        rank: gateway.peers.lock().own_rank(place(&key.0)),
    };
    let permit = |granter| Permit {
        granter,
        cold: limits.cold,
        asked: Instant::now(),
    };
    let Some(homes) = gateway.peers.lock().homes_of(place(&key.0)) else {
        return Err(Denial {
            wait: UNKNOWN_WAIT,
            empty: true,
        });
    };
    for home in homes.into_iter().take(MAX_HOMES) {
        match home {
            Home::Own => {
                let granted = gateway.permits.grant(key, claim, limits, gateway.now());
                return granted.map(|()| permit(Granter::Own));
            }
            Home::Peer(peer) if gateway.permits.is_silent(peer) => {}
            Home::Peer(peer) => {
                let question = Question {
                    number: rand::random(),
                    upstream: key.0.clone(),
                    started: key.1,
                    rate,
                    team: claim.team,
                    rank: claim.rank,
                    cold: limits.cold,
                };
                let granter = Granter::Peer(peer, question.number);
                let granted = permit(granter);
                match ask(gateway, peer, question).await {
                    Some(answer) if answer.granted => return Ok(granted),
                    Some(answer) => {
                        return Err(Denial {
                            wait: answer.wait,
                            empty: answer.empty,
                        });
                    }
                    None => {
                        tracing::info!(upstream = %key.0, %peer, "no answer to a question for a permit; router skipped");
                        let until = Instant::now() + SILENT_TTL;
                        gateway.permits.silent.lock().insert(peer, until);
                    }
                }
            }
        }
    }
    take_share(gateway, key, rate, (limits, claim))?;
    Ok(permit(Granter::Share))
}

/// Takes a request from this router's share, which it may send while no home answers.
fn take_share(
    gateway: &Gateway,
    key: BucketKey,
    rate: RequestRate,
    (limits, claim): (Limits, Claim),
) -> Result<(), Denial> {
    let (routers, now) = (gateway.routers(), gateway.now());
    if limits.cold.is_some() {
        return gateway.permits.grant(key, claim, limits, now);
    }
    if gateway.permits.take_share(key, rate, routers, now) {
        return Ok(());
    }
    let share = rate.per_second() / routers as f64;
    Err(Denial {
        wait: Duration::from_secs_f64(1.0 / share).min(SILENT_TTL),
        empty: true,
    })
}

async fn ask(gateway: &Gateway, peer: SocketAddr, question: Question) -> Option<Answer> {
    let number = question.number;
    let (sender, mut receiver) = oneshot::channel();
    gateway.permits.open.lock().insert(number, sender);
    let _open = OpenQuestion {
        permits: &gateway.permits,
        number,
    };
    for _ in 0..MAX_SENDS {
        let question = Datagram::Question(question.clone());
        gateway.courier.send(peer, question);
        if let Ok(received) = timeout(ANSWER_TIMEOUT, &mut receiver).await {
            return received.ok();
        }
    }
    None
}

/// A guard that ends the wait for an answer when it is dropped, also by a caller that disconnects.
struct OpenQuestion<'a> {
    permits: &'a Permits,
    number: u64,
}

impl Drop for OpenQuestion<'_> {
    fn drop(&mut self) {
        self.permits.open.lock().remove(&self.number);
    }
}

/// Answers another router's question; a repeated one gets the same answer.
pub fn answer(gateway: &Gateway, question: Question) -> Answer {
    let number = question.number;
    if let Some(given) = gateway.permits.answers.lock().get(&number) {
        return given.answer;
    }
    let claim = Claim {
        team: question.team,
        rank: question.rank,
    };
    // This router may have heard the upstream later than the one that asks.
    let limits = known_limits(gateway, &question);
    let cold = limits.cold;
    let key = (question.upstream, question.started);
    let granted = gateway.permits.grant(key, claim, limits, gateway.now());
    let denial = granted.err();
    let answer = Answer {
        number,
        granted: denial.is_none(),
        wait: denial.map_or(Duration::ZERO, |denial| denial.wait),
        empty: denial.is_some_and(|denial| denial.empty),
    };
    let mut answers = gateway.permits.answers.lock();
    if answers.len() >= MAX_ANSWERS {
        answers.drain(..MAX_ANSWERS / 2);
    }
    answers.insert(number, Given { answer, cold });
    answer
}

/// Returns the limits by which this router answers a question.
fn known_limits(gateway: &Gateway, question: &Question) -> Limits {
    let now = gateway.now();
    let rank = gateway.peers.lock().own_rank(place(&question.upstream));
    let servers = gateway.servers.lock();
    let server = servers.get(&question.upstream);
    let stated = server.and_then(|server| server.stated_limit(now));
    let cold = server.and_then(|server| server.cold_rate(now));
    let asked = question.cold.map(|cold| cold.min(question.rate));
    let cold = match (cold, asked) {
        (Some(known), Some(asked)) => Some(known.min(asked)),
        (known, asked) => known.or(asked),
    };
    // Without a cold rate, the question's rate is the one that the upstream named.
    let named = question.cold.is_none().then_some(question.rate);
    Limits {
        stated: stated.or(named),
        cold,
        rank,
    }
}

/// Passes an answer on to the request that waits for it. An answer that comes too late is dropped.
pub fn receive(gateway: &Gateway, answer: Answer) {
    if let Some(waiting) = gateway.permits.open.lock().remove(&answer.number) {
        // The request may have ended.
        let _ended = waiting.send(answer);
    }
}

/// Returns the hash that selects the homes of an upstream.
pub fn place(upstream: &UpstreamId) -> u64 {
    hash::digest64(upstream.as_str().as_bytes())
}
