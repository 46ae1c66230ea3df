//! Queues requests and places them on upstreams.
//!
//! There is one queue for each model and each plain service. A single task grants capacity, so
//! that the order is the one that [`fescue_policy::queue`] decides.

mod lane;
mod pools;

pub use pools::{Job, Pool, Pools};

use std::sync::Arc;
use std::time::Duration;

use fescue_core::outcome::Reason;
use fescue_core::rules::Upstream;
use fescue_core::{Refusal, TeamId};
use fescue_policy::queue::Ticket;
use tokio::sync::oneshot;

use crate::blackboard::Board;

/// How often deadlines in the queue are looked at.
const TICK: Duration = Duration::from_millis(20);

/// The longest pause that a refused caller is told to make.
const PAUSE: Duration = Duration::from_secs(1);

/// A request's place at an upstream, given up when it ends.
pub struct Permit {
    board: Arc<Board>,
    /// The upstream.
    pub upstream: Arc<Upstream>,
    started: Duration,
    good: Option<bool>,
}

impl Permit {
    pub(crate) fn open(board: Arc<Board>, upstream: Arc<Upstream>) -> Self {
        let started = board.now();
        Self {
            board,
            upstream,
            started,
            good: None,
        }
    }

    /// Returns when the request was placed.
    pub fn started(&self) -> Duration {
        self.started
    }

    /// Says how the request went, as far as that says something of the upstream.
    pub fn judge(&mut self, good: bool) {
        self.good = Some(good);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.board.now();
        let took = now.saturating_sub(self.started);
        let mut upstreams = self.board.upstreams.lock();
        upstreams.end(&self.upstream.name, now, took, self.good);
        drop(upstreams);
        self.board.capacity.notify_one();
    }
}

/// A place in a queue, given up when dropped.
struct Place {
    board: Arc<Board>,
    pool: Pool,
    team: TeamId,
    ticket: Ticket,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut pools = self.board.pools.lock();
        pools.leave(&self.pool, &self.team, self.ticket);
    }
}

/// Waits for capacity and returns a place at an upstream.
///
/// # Errors
///
/// A refusal when the target can't be met or no upstream serves the pool; nothing was sent.
pub async fn acquire(board: &Arc<Board>, pool: &Pool, job: Job) -> Result<Permit, Refusal> {
    let now = board.now();
    let ticket = Ticket(board.next_number());
    let team = job.team.clone();
    let (sender, granted) = oneshot::channel();
    {
        let mut pools = board.pools.lock();
        let upstreams = board.upstreams.lock();
        let since = now;
        let entry = pools::Entry { job, sender, since };
        pools.push(pool, ticket, entry, &upstreams)?;
    }
    let place = Place {
        board: Arc::clone(board),
        pool: pool.clone(),
        team,
        ticket,
    };
    board.capacity.notify_one();
    let answer = granted.await;
    drop(place);
    match answer {
        Ok(Ok(permit)) => Ok(permit),
        Ok(Err(refusal)) => Err(refusal),
        Err(_) => Err(late()),
    }
}

fn late() -> Refusal {
    let message = "the priority's target can't be met now";
    Refusal::not_run(Reason::Overload, message).with_retry_after(PAUSE)
}

/// Grants capacity as long as the router runs.
pub async fn run(board: Arc<Board>) {
    loop {
        let tick = tokio::time::sleep(TICK);
        tokio::select! {
            () = board.capacity.notified() => {}
            () = tick => {}
        }
        pump(&board);
    }
}

/// Grants what capacity there is now.
pub fn pump(board: &Arc<Board>) {
    let now = board.now();
    let mut pools = board.pools.lock();
    pools.expire(now, late);
    let mut upstreams = board.upstreams.lock();
    let grants = pools.grant(&mut upstreams, &board.me.data_centre, now);
    drop(upstreams);
    drop(pools);
    for grant in grants {
        let permit = Permit::open(Arc::clone(board), grant.upstream);
        // Where the request went meanwhile, the permit comes back and gives its place up.
        let _gone = grant.sender.send(Ok(permit));
    }
}
