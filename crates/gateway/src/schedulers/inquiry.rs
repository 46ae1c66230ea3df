//! A router's questions to the homes of shards, and its reports of what became of the requests.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::UpstreamId;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use super::{Place, Progress, Step, Verdict, schedule, shard_key, work_id};
use crate::datagrams::Datagram;
use crate::gateway::Gateway;
use crate::peers::Home;

/// The longest wait for an answer.
const MAX_WAIT: Duration = Duration::from_millis(60);

/// The part of its target for which a request waits for an answer.
const WAIT_PART: u32 = 8;

/// Time after which a question is sent again, which exceeds the longest round trip within a region.
const RESEND_AFTER: Duration = Duration::from_millis(20);

/// What a home answered.
#[derive(Debug)]
pub enum Outcome {
    /// It placed the request.
    Granted(Grant),
    /// Its engines are saturated; the time after which the request may come again.
    Refused(Duration),
    /// No home schedules the request.
    Unavailable,
}

/// The upstream that a home chose for a request.
#[derive(Debug)]
pub struct Grant {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The expected time to the first event.
    pub expected: Duration,
    /// The guard that reports the progress of the request to the home.
    pub ticket: Ticket,
}

impl Grant {
    /// Returns what the log shows of the home.
    pub fn scheduler(&self) -> String {
        let home = self.ticket.home();
        home.map_or_else(|| "own".to_owned(), |home| home.to_string())
    }
}

/// A request at the home that placed it, or that was asked to. Dropping it reports the end of the request.
pub struct Ticket {
    gateway: Arc<Gateway>,
    home: Home,
    number: u32,
    begun: bool,
    /// Whether the home holds nothing for the request.
    void: bool,
}

impl Ticket {
    fn open(gateway: &Arc<Gateway>, home: Home, number: u32) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            home,
            number,
            begun: false,
            void: false,
        }
    }

    /// Returns the address of the home; `None` if it is this router.
    pub fn home(&self) -> Option<SocketAddr> {
        match self.home {
            Home::Own => None,
            Home::Peer(peer) => Some(peer),
        }
    }

    /// Reports that the first event has arrived.
    pub fn record_begun(&mut self) {
        if !std::mem::replace(&mut self.begun, true) {
            self.report(Step::Begun);
        }
    }

    /// Ends the ticket of a request that the home did not place.
    fn discard(mut self) {
        self.void = true;
    }

    fn report(&self, step: Step) {
        let (gateway, number) = (&self.gateway, self.number);
        match self.home {
            Home::Own => {
                let id = work_id(None, number);
                gateway.schedulers.record(id, step, gateway.now());
            }
            Home::Peer(peer) => {
                let progress = Progress { number, step };
                gateway.courier.send(peer, Datagram::Progress(progress));
            }
        }
    }
}

impl fmt::Debug for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut ticket = f.debug_struct("Ticket");
        ticket.field("home", &self.home);
        ticket.field("number", &self.number);
        ticket.finish_non_exhaustive()
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.gateway.schedulers.open.lock().remove(&self.number);
        if !self.void {
            self.report(Step::Ended);
        }
    }
}

/// Asks the home of a shard for an engine. `target` is the target of the request's route.
pub async fn ask(gateway: &Arc<Gateway>, place: Place, target: Duration) -> Outcome {
    let key = shard_key(&place.service, place.shard);
    let Some(home) = choose_home(gateway, key) else {
        return Outcome::Unavailable;
    };
    let ticket = Ticket::open(gateway, home, place.number);
    let verdict = match home {
        Home::Own => Some(schedule(gateway, work_id(None, place.number), &place)),
        Home::Peer(peer) => ask_peer(gateway, peer, place, target).await,
    };
    match verdict {
        Some(Verdict::At(upstream, expected)) => Outcome::Granted(Grant {
            upstream,
            expected,
            ticket,
        }),
        Some(Verdict::Refused(wait)) => {
            ticket.discard();
            Outcome::Refused(wait)
        }
        Some(Verdict::Unavailable) => {
            if let Some(peer) = ticket.home() {
                gateway.schedulers.skip(peer, Some(key));
            }
            ticket.discard();
            Outcome::Unavailable
        }
        None => Outcome::Unavailable,
    }
}

/// Returns the home to ask: the first one that answers and isn't crowded, or else the first one that answers. A
/// crowded router would hold up the prompts of all others.
fn choose_home(gateway: &Gateway, key: u64) -> Option<Home> {
    let mut peers = gateway.peers.lock();
    let homes = peers.homes_of(key).unwrap_or_default();
    let answers = |home: &Home| match home {
        Home::Own => true,
        Home::Peer(peer) => !gateway.schedulers.is_skipped(*peer, key),
    };
    let crowded = |home: &Home| match home {
        Home::Own => gateway.crowd.is_withdrawn(),
        Home::Peer(peer) => peers.is_withdrawn(*peer),
    };
    let homes: Vec<_> = homes.into_iter().filter(answers).collect();
    let calm = homes.iter().find(|home| !crowded(home));
    calm.or(homes.first()).copied()
}

/// Sends a question to another router, twice if need be, and waits for the answer.
async fn ask_peer(
    gateway: &Gateway,
    peer: SocketAddr,
    place: Place,
    target: Duration,
) -> Option<Verdict> {
    let (sender, mut answer) = oneshot::channel();
    gateway.schedulers.await_answer(place.number, sender);
    let asked = Instant::now();
    let wait = MAX_WAIT.min(target / WAIT_PART);
    let shard = place.shard;
    let repeated = Datagram::Place(place.clone());
    gateway.courier.send(peer, Datagram::Place(place));
    for until in [RESEND_AFTER.min(wait), wait] {
        if let Ok(answer) = timeout_at(asked + until, &mut answer).await {
            let seconds = asked.elapsed().as_secs_f64();
            gateway.metrics.schedule_seconds.observe(seconds);
            return answer.ok();
        }
        if until < wait {
            gateway.courier.send(peer, repeated.clone());
        }
    }
    if wait >= RESEND_AFTER {
        tracing::info!(%peer, shard, "no answer to a question for an engine; router skipped");
        gateway.schedulers.skip(peer, None);
    }
    None
}
