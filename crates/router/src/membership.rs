//! Membership of the fleet: the list of other routers, and heartbeats with a few at a time.

use std::sync::Arc;
use std::time::Duration;

use fescue_peer::{Heartbeat, LimitReport, PeerApi, client};
use fescue_policy::rate_limit::{STATEMENT_TTL, Statement};
use fescue_store::{Vm, VmList, VmState};
use futures_util::future::join_all;
use tokio::sync::Notify;

use crate::blackboard::{Board, Member};
use crate::secrets::Secret;

/// The number of peers that get a heartbeat in one round, independent of the size of the fleet.
const FAN_OUT: usize = 4;

/// The number of peers notified at once of urgent updates, such as a request that crashed an
/// upstream.
const URGENT_FAN_OUT: usize = 16;

/// The number of hashes whose evidence of crashes a heartbeat carries.
const MAX_SUSPECT_REPORTS: usize = 64;

/// The number of rounds from one read of the platform's list of VMs to the next.
const ROUNDS_PER_LISTING: u64 = 4;

/// The membership controller, which reads the list of VMs and sends heartbeats.
pub struct Membership {
    board: Arc<Board>,
    list: Arc<dyn VmList>,
    token: Secret,
    /// The index of the member at which the next round starts.
    cursor: usize,
    rounds: u64,
    /// Notified when an update must reach peers before the next heartbeat.
    pub urgent: Arc<Notify>,
}

impl Membership {
    /// Creates the controller of a router that knows no peers; `token` authenticates it to them.
    pub fn new(board: Arc<Board>, list: Arc<dyn VmList>, token: Secret) -> Self {
        Self {
            board,
            list,
            token,
            cursor: 0,
            rounds: 0,
            urgent: Arc::new(Notify::new()),
        }
    }

    /// Sends heartbeats at the configured interval, and at once when there is an urgent update.
    pub async fn run(&mut self) {
        let urgent = Arc::clone(&self.urgent);
        let mut fan_out = FAN_OUT;
        loop {
            self.run_round(fan_out).await;
            fan_out = FAN_OUT;
            let pause = tokio::time::sleep(self.board.settings.intervals.heartbeat);
            tokio::select! {
                () = pause => {}
                () = urgent.notified() => fan_out = URGENT_FAN_OUT,
            }
        }
    }

    /// Sends one round of heartbeats to `fan_out` peers.
    pub async fn run_round(&mut self, fan_out: usize) {
        if self.rounds.is_multiple_of(ROUNDS_PER_LISTING) {
            self.refresh_members().await;
        }
        self.rounds += 1;
        self.update_liveness();
        let peers = self.next_peers(fan_out);
        let beats = peers
            .iter()
            .map(|link| exchange_heartbeat(&self.board, link));
        join_all(beats).await;
        self.update_liveness();
    }

    /// Updates the members from the platform's list; if it is unavailable, they stay as they are.
    async fn refresh_members(&mut self) {
        let vms = match self.list.vms().await {
            Ok(vms) => vms,
            Err(error) => {
                tracing::debug!(%error, "reading the platform's list of VMs failed; keeping the current members");
                return;
            }
        };
        let own = self.board.me.vm.clone();
        let others: Vec<_> = vms.into_iter().filter(|vm| vm.vm != own).collect();
        let mut members = self.board.members.lock();
        members.retain(|vm| others.iter().any(|other| &other.vm == vm));
        for vm in others {
            let known = members.get_mut(&vm.vm);
            let stays = known.is_some_and(|member| {
                member.leaving |= vm.state == VmState::Leaving;
                member.address == vm.address
            });
            if stays {
                continue;
            }
            match client::Client::open(vm.address, self.token.expose()) {
                Ok(link) => members.insert(member(vm, Arc::new(link))),
                Err(error) => {
                    tracing::error!(%error, "creating a client for a listed VM failed; skipping it")
                }
            }
        }
    }

    fn update_liveness(&self) {
        let mut members = self.board.members.lock();
        let rounds = members.all().count().div_ceil(FAN_OUT).max(1) as u32;
        let silence = self.board.settings.intervals.peer_timeout;
        // With more peers than one round reaches, each of them is contacted less often.
        let reach = self.board.settings.intervals.heartbeat * rounds;
        members.set_time(self.board.now(), silence.max(reach * 3));
    }

    fn next_peers(&mut self, fan_out: usize) -> Vec<Arc<dyn PeerApi>> {
        let members = self.board.members.lock();
        let links: Vec<_> = members.all().map(|m| Arc::clone(&m.link)).collect();
        if links.len() <= fan_out {
            return links;
        }
        let start = self.cursor % links.len();
        self.cursor = (start + fan_out) % links.len();
        let chosen = links.iter().cycle().skip(start).take(fan_out);
        chosen.cloned().collect()
    }
}

fn member(vm: Vm, link: Arc<dyn PeerApi>) -> Member {
    Member {
        vm: vm.vm,
        address: vm.address,
        data_centre: vm.data_centre,
        link,
        incarnation: None,
        heard: None,
        leaving: vm.state == VmState::Leaving,
    }
}

async fn exchange_heartbeat(board: &Board, link: &Arc<dyn PeerApi>) {
    if let Ok(reply) = link.heartbeat(heartbeat(board)).await {
        apply_heartbeat(board, &reply);
    }
}

/// Returns the heartbeat message that this router sends to peers and answers theirs with.
pub fn heartbeat(board: &Board) -> Heartbeat {
    // Each lock is released before the next one is acquired.
    let leaving = board.phase() == crate::lifecycle::Phase::Draining;
    let rules = board.rules.lock().version();
    let suspects = board
        .suspects
        .lock()
        .latest(MAX_SUSPECT_REPORTS, board.now());
    let leaving_upstreams = board.leaving_upstreams();
    let upstream_limits = upstream_limits(board);
    let closed = board.closed.lock().iter().copied().collect();
    Heartbeat {
        incarnation: board.me.incarnation,
        vm: board.me.vm.clone(),
        data_centre: board.me.data_centre.clone(),
        rules,
        leaving,
        leaving_upstreams,
        suspects,
        closed,
        upstream_limits,
    }
}

/// Returns the limits that upstreams name.
fn upstream_limits(board: &Board) -> Vec<LimitReport> {
    let now = board.now();
    let statements = board.upstreams.lock().statements();
    let report = |(upstream, incarnation, statement): (_, _, Statement)| LimitReport {
        upstream,
        incarnation,
        rate: statement.rate,
        age: now.saturating_sub(statement.at),
    };
    let reports = statements.into_iter().map(report);
    reports
        .filter(|report| report.age < STATEMENT_TTL)
        .collect()
}

/// Applies the state that a peer reports of itself and of the fleet.
pub fn apply_heartbeat(board: &Board, heartbeat: &Heartbeat) {
    let now: Duration = board.now();
    {
        let mut members = board.members.lock();
        if let Some(member) = members.get_mut(&heartbeat.vm) {
            member.incarnation = Some(heartbeat.incarnation);
            member.heard = Some(now);
            member.leaving = heartbeat.leaving;
            member.data_centre = heartbeat.data_centre.clone();
        }
    }
    {
        let mut suspects = board.suspects.lock();
        suspects.expire(now);
        for report in &heartbeat.suspects {
            suspects.receive(report, now);
        }
    }
    {
        let mut upstreams = board.upstreams.lock();
        for (upstream, incarnation) in &heartbeat.leaving_upstreams {
            upstreams.mark_leaving(upstream, *incarnation);
        }
        for report in &heartbeat.upstream_limits {
            // A report from before the start of this router is left to its own answers.
            if let Some(at) = now.checked_sub(report.age) {
                let (name, incarnation) = (&report.upstream, Some(report.incarnation));
                let rate = report.rate;
                upstreams.record_statement(name, incarnation, Statement { rate, at });
            }
        }
    }
    let mut closed = board.closed.lock();
    closed.extend(&heartbeat.closed);
    let evicted = closed.contains(&board.me.incarnation);
    drop(closed);
    if evicted {
        board.evict();
    }
    crate::config::record_version(board, heartbeat);
}
