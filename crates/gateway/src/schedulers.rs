//! Places prompts on engines that several routers share.
//!
//! The engines of a service are divided into shards, each with a router as its home that rendezvous
//! hashing selects. The home knows the requests that it placed on the shard's engines and chooses the
//! engine for the next one. A home that does not answer is skipped for a second; without any, a request is
//! placed by what its router knows. See [docs/design/scheduling.md](../../../docs/design/scheduling.md).

mod inquiry;
mod message;

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use fescue_core::{ServiceId, hash};
use fescue_policy::scheduling::{Scheduler, Work};
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::datagrams::Datagram;
use crate::gateway::Gateway;

pub use inquiry::{Grant, Outcome, Ticket, ask};
pub use message::{Place, Placed, Progress, Step, Verdict, short_hash};

/// Time for which a home that did not answer, or does not schedule, is skipped.
const SILENT_TTL: Duration = Duration::from_secs(1);

/// Time after which an unused scheduler is dropped.
const SCHEDULER_TTL: Duration = Duration::from_secs(60);

/// Number of answers that are kept for repeated questions.
const MAX_ANSWERS: usize = 1024;

/// The scheduler of a shard whose home this router is.
#[derive(Debug)]
struct Shard {
    scheduler: Scheduler,
    last_use: Instant,
}

/// The shards that this router schedules, and its questions to other homes.
#[derive(Debug, Default)]
pub struct Schedulers {
    shards: Mutex<HashMap<u64, Shard>>,
    answers: Mutex<IndexMap<u64, Placed>>,
    /// The numbers of this router's questions and placements, with the sender for an answer that is awaited.
    open: Mutex<HashMap<u32, Option<oneshot::Sender<Verdict>>>>,
    skipped: Mutex<HashMap<(SocketAddr, Option<u64>), Instant>>,
}

impl Schedulers {
    /// Returns whether a home is skipped for a shard.
    fn is_skipped(&self, home: SocketAddr, key: u64) -> bool {
        let mut skipped = self.skipped.lock();
        skipped.retain(|_, until| *until > Instant::now());
        [None, Some(key)]
            .into_iter()
            .any(|shard| skipped.contains_key(&(home, shard)))
    }

    /// Skips a home for some time: for all shards if it didn't answer, or for one that it doesn't schedule.
    fn skip(&self, home: SocketAddr, shard: Option<u64>) {
        let until = Instant::now() + SILENT_TTL;
        self.skipped.lock().insert((home, shard), until);
    }

    /// Passes the answer to a question on to `waiting` when it comes.
    fn await_answer(&self, number: u32, waiting: oneshot::Sender<Verdict>) {
        self.open.lock().insert(number, Some(waiting));
    }

    /// Records the progress of a request. Only the scheduler that placed it knows its id.
    fn record(&self, id: u64, step: Step, now: Duration) {
        for shard in self.shards.lock().values_mut() {
            match step {
                Step::Begun => shard.scheduler.record_begun(id, now),
                Step::Ended => shard.scheduler.record_ended(id, now),
            }
        }
    }

    /// Drops the schedulers that are no longer used; returns the tokens to be read in the other shards.
    fn sweep(&self) -> u64 {
        let mut shards = self.shards.lock();
        shards.retain(|_, shard| shard.last_use.elapsed() < SCHEDULER_TTL);
        let reading = shards.values().map(|shard| shard.scheduler.reading());
        reading.sum()
    }
}

/// Answers another router's question; a repeated one gets the same answer.
pub fn answer(gateway: &Gateway, peer: SocketAddr, place: &Place) -> Placed {
    let id = work_id(Some(peer), place.number);
    if let Some(known) = gateway.schedulers.answers.lock().get(&id) {
        return known.clone();
    }
    let verdict = match gateway.settings.scheduling {
        true => schedule(gateway, id, place),
        false => Verdict::Unavailable,
    };
    let number = place.number;
    let placed = Placed { number, verdict };
    let mut answers = gateway.schedulers.answers.lock();
    if answers.len() >= MAX_ANSWERS {
        answers.drain(..MAX_ANSWERS / 2);
    }
    answers.insert(id, placed.clone());
    placed
}

/// Chooses the engine for a request among those of a shard that this router may use itself.
fn schedule(gateway: &Gateway, id: u64, place: &Place) -> Verdict {
    let now = gateway.now();
    let Some(memory) = engine_memory(gateway, &place.service) else {
        return Verdict::Unavailable;
    };
    let members = {
        let servers = gateway.servers.lock();
        servers.members(&place.service, place.shard, &place.excluded, memory, now)
    };
    if members.is_empty() {
        return Verdict::Unavailable;
    }
    let (members, upstreams): (Vec<_>, Vec<_>) = members.into_iter().unzip();
    let work = Work {
        id,
        prefix: place.prefix,
        shared: place.shared,
        input: place.input,
        output: place.output,
        rank: place.rank,
        team: u64::from(place.team),
        target: place.target,
        deadline: place.deadline,
    };
    let placed = {
        let mut shards = gateway.schedulers.shards.lock();
        let key = shard_key(&place.service, place.shard);
        let shard = shards.entry(key).or_insert_with(|| Shard {
            scheduler: Scheduler::default(),
            last_use: Instant::now(),
        });
        shard.last_use = Instant::now();
        shard.scheduler.place(&work, &members, now)
    };
    match placed {
        Ok(placement) => {
            let chosen = members.iter().zip(upstreams);
            let mut chosen = chosen.filter(|(member, _)| member.hash == placement.member);
            match chosen.next() {
                Some((_, upstream)) => Verdict::At(upstream, placement.expected),
                None => Verdict::Unavailable,
            }
        }
        Err(saturated) => Verdict::Refused(saturated.wait),
    }
}

fn engine_memory(gateway: &Gateway, service: &ServiceId) -> Option<u64> {
    let catalog = gateway.catalog()?;
    let service = catalog.manifest().services.get(service)?;
    service.engine.as_ref().map(|engine| engine.memory.get())
}

/// Passes an answer on to the request that waits for it. If the request has gone, the home is told that it
/// has ended. A repeated answer to a request that is still running is ignored.
pub fn receive(gateway: &Gateway, peer: SocketAddr, placed: Placed) {
    let Placed { number, verdict } = placed;
    let mut open = gateway.schedulers.open.lock();
    match open.get_mut(&number) {
        Some(waiting) => {
            if let Some(waiting) = waiting.take() {
                // The request may be ending, which releases the placement.
                let _ending = waiting.send(verdict);
            }
        }
        None if matches!(verdict, Verdict::At(..)) => {
            let step = Step::Ended;
            let progress = Progress { number, step };
            gateway.courier.send(peer, Datagram::Progress(progress));
        }
        None => {}
    }
}

/// Records the progress that another router reports of a request placed here.
pub fn record_progress(gateway: &Gateway, peer: SocketAddr, progress: Progress) {
    let id = work_id(Some(peer), progress.number);
    let schedulers = &gateway.schedulers;
    schedulers.record(id, progress.step, gateway.now());
}

/// Drops unused schedulers and updates the metric of the tokens to be read.
pub fn sweep(gateway: &Gateway) {
    let reading = gateway.schedulers.sweep();
    let reading = i64::try_from(reading).unwrap_or(i64::MAX);
    gateway.metrics.reading_tokens.set(reading);
}

/// Returns the key that selects the homes of a shard.
fn shard_key(service: &ServiceId, shard: u32) -> u64 {
    let service = hash::digest64(service.as_str().as_bytes());
    hash::score(service, u64::from(shard))
}

/// Returns the id of a placement at its home: routers number their questions independently. `None` stands
/// for the home itself.
fn work_id(peer: Option<SocketAddr>, number: u32) -> u64 {
    let address = peer.map_or(0, |peer| {
        let ip = match peer.ip() {
            IpAddr::V4(ip) => u64::from(u32::from(ip)),
            IpAddr::V6(ip) => hash::digest64(&ip.octets()),
        };
        ip.rotate_left(16) ^ u64::from(peer.port())
    });
    hash::score(address, u64::from(number))
}
