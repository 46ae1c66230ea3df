//! Queues requests and assigns them to upstreams.
//!
//! Each model and each plain service has a queue of its own. A single task grants capacity, so that
//! requests are dispatched in the order that [`fescue_policy::queue`] decides. An answer that broke off
//! goes on before them, at an upstream of the software version that began it.

mod continuations;
mod isolated;
mod pools;
mod queue;

pub use pools::{Job, Pool, Pools};

use std::sync::Arc;
use std::time::Duration;

use fescue_core::outcome::Reason;
use fescue_core::rules::{RuleSet, Upstream};
use fescue_core::{Refusal, TeamId};
use fescue_policy::queue::Ticket;
use tokio::sync::oneshot;

use crate::blackboard::Board;
use crate::upstream::Handle;

/// The longest interval between two checks of the deadlines in the queues.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The `Retry-After` of a request that was refused because its target can't be met.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The right to run one request on an upstream, released on drop.
pub struct Permit {
    board: Arc<Board>,
    /// The upstream that the request was assigned to.
    pub upstream: Arc<Upstream>,
    handle: Handle,
    started: Duration,
    success: Option<bool>,
}

impl Permit {
    pub(crate) fn open(board: Arc<Board>, handle: Handle) -> Self {
        let started = board.now();
        Self {
            board,
            upstream: Arc::clone(&handle.rule),
            handle,
            started,
            success: None,
        }
    }

    /// Returns the handle by which the upstream's answers are recorded.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Returns when the request was assigned, on the board's clock.
    pub fn started(&self) -> Duration {
        self.started
    }

    /// Records whether the request succeeded, for the upstream's limit and circuit breaker.
    ///
    /// Without a call, the request counts neither for nor against the upstream.
    pub fn record_outcome(&mut self, success: bool) {
        self.success = Some(success);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.board.now();
        let took = now.saturating_sub(self.started);
        let mut upstreams = self.board.upstreams.lock();
        upstreams.record_end(&self.handle, now, took, self.success);
        drop(upstreams);
        self.board.capacity.notify_one();
    }
}

/// A request's entry in a queue, removed on drop if it is still there.
struct QueueGuard {
    board: Arc<Board>,
    pool: Pool,
    team: TeamId,
    ticket: Ticket,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        let mut pools = self.board.pools.lock();
        pools.remove(&self.pool, &self.team, self.ticket);
    }
}

/// Waits in the queue of `pool` and returns a permit for an upstream.
///
/// # Errors
///
/// Returns a refusal when the priority's target can't be met or no upstream serves the pool. The
/// request was not sent in either case.
pub async fn acquire(board: &Arc<Board>, pool: &Pool, job: Job) -> Result<Permit, Refusal> {
    let now = board.now();
    let ticket = Ticket(board.next_number());
    let team = job.team.clone();
    let (sender, granted) = oneshot::channel();
    {
        let mut pools = board.pools.lock();
        let upstreams = board.upstreams.lock();
        pools.push(pool, ticket, (job, sender), now, &upstreams)?;
    }
    let guard = QueueGuard {
        board: Arc::clone(board),
        pool: pool.clone(),
        team,
        ticket,
    };
    board.capacity.notify_one();
    let answer = granted.await;
    drop(guard);
    match answer {
        Ok(Ok(permit)) => Ok(permit),
        Ok(Err(refusal)) => Err(refusal),
        Err(_) => Err(target_missed()),
    }
}

fn target_missed() -> Refusal {
    let message = "the priority's target can't be met now";
    Refusal::not_run(Reason::Overload, message).with_retry_after(RETRY_AFTER)
}

/// Applies the rules in force to the upstreams and the queues.
pub fn apply_rules(board: &Board, book: &Arc<RuleSet>) {
    let mut pools = board.pools.lock();
    let mut upstreams = board.upstreams.lock();
    upstreams.apply_rules(book);
    pools.apply_rules(book, &upstreams);
    drop(upstreams);
    drop(pools);
    board.capacity.notify_one();
}

/// Grants capacity whenever some becomes free, for as long as the router runs.
pub async fn run(board: Arc<Board>) {
    loop {
        let timer = tokio::time::sleep(CHECK_INTERVAL);
        tokio::select! {
            () = board.capacity.notified() => {}
            () = timer => {}
        }
        grant_free(&board);
    }
}

/// Refuses the requests that can't be served and grants the capacity that is free now.
pub fn grant_free(board: &Arc<Board>) {
    let now = board.now();
    let mut pools = board.pools.lock();
    let mut upstreams = board.upstreams.lock();
    pools.refuse(&upstreams, now, &target_missed());
    let grants = pools.grant(&mut upstreams, &board.me.data_centre, now);
    drop(upstreams);
    drop(pools);
    for grant in grants {
        let permit = Permit::open(Arc::clone(board), grant.upstream);
        // If the receiver is gone, the permit is returned and dropped here, which releases the slot.
        let _dropped = grant.sender.send(Ok(permit));
    }
}
