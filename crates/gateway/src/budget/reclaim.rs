//! Takes back the tokens of routers that are lost.
//!
//! A VM that doesn't come back leaves a row with licenses, and with them tokens that nobody can spend. Once the
//! row is no longer renewed and its process doesn't answer, any router may have the row's witnesses
//! refuse all further use ([`fescue_policy::escrow::term`]), and give the accounts what the process can't spend
//! any more. If witnesses are lost as well, that is less at first, and more once they are back. Until then such
//! tokens count as pending: a team that needs them isn't out of tokens. See
//! [docs/design/lost-vms.md](../../../../docs/design/lost-vms.md).

mod fenced;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{Era, Incarnation, TeamId, Tokens, VmId, hash};
use fescue_policy::escrow::settlement::RowCopy;
use fescue_policy::escrow::term::{Witness, latest_end, refusals_needed};
use fescue_policy::escrow::{Holder, renewal_interval};
use fescue_store::table::{Commit, Row, TableError, Transaction, scan_all};
use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::Rng;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use super::Budget;
use super::draw::{MAX_ACCOUNTS, MAX_ACCOUNTS_AFTER_CONFLICT, MAX_CONFLICT_BACKOFF, writers};
use super::message::{Fence, Fenced, Message};
use super::rows::{HOLDER_PREFIX, change_accounts, read_accounts, write_accounts};
use super::settlement::{copies_of, decode_holders, publish};
use crate::malformed::MalformedRows;
use crate::peers::Home;
use fenced::{FencedRow, is_reclaimable};

/// Interval of the rounds while a router is suspected to be lost.
const SUSPECT_INTERVAL: Duration = Duration::from_millis(300);

/// Interval of the checks whether a router may be lost.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which each router reads all rows without a reason, per router of the fleet.
const SCAN_INTERVAL_PER_ROUTER: Duration = Duration::from_secs(2);

/// Time after the start of the rates, beyond two renewals, from which on a row isn't expected to be renewed.
const STALE_AFTER: Duration = Duration::from_millis(300);

/// Time for which a process must not have answered before its licenses are taken back.
const SILENCE: Duration = Duration::from_secs(1);

/// The same if another process runs on its VM, which closes the row itself unless it can't.
const SILENCE_BEFORE_SUCCESSOR: Duration = Duration::from_secs(5);

/// Delay of a router after the one that takes the licenses back first, so that they don't conflict.
const TURN: Duration = Duration::from_millis(400);

/// Time for which witnesses are waited for in one round, and the interval of the checks.
const ANSWER_TIME: Duration = Duration::from_millis(100);
const ANSWER_INTERVAL: Duration = Duration::from_millis(10);

/// Time after which tokens that can't be taken back are no longer expected: by then a license of which no
/// witness is left may have been spent. Witnesses that come back later are asked less often.
const MAX_EXPECTATION: Duration = Duration::from_secs(60);

/// The time until tokens come back that is told if it isn't known, or if it has passed.
const UNKNOWN_TIME: Duration = Duration::from_secs(1);

/// Time after which every router knows what the accounts hold.
const ACCOUNT_MAX_AGE: Duration = Duration::from_secs(2);

/// Time that taking back takes, once a process counts as lost.
const RECLAIM_TIME: Duration = Duration::from_millis(500);

/// What is known of lost routers.
#[derive(Debug, Default)]
pub(super) struct Reclaim {
    state: Mutex<State>,
    /// Starts a round early.
    wake: Notify,
}

#[derive(Debug, Default)]
struct State {
    suspects: IndexMap<VmId, Suspect>,
    /// The tokens that may be taken back, by team, and when that is expected.
    pending: IndexMap<TeamId, Vec<(Tokens, Instant)>>,
    /// When the latest successful round began.
    checked: Option<Instant>,
    /// When tokens of a team were last taken back: what is known of its account may be older.
    reclaimed: IndexMap<TeamId, Instant>,
    /// Copies of rows that look stale and aren't, by the version that was written.
    examined: IndexMap<VmId, (Era, u64)>,
}

/// A process that may be lost.
#[derive(Clone, Debug)]
struct Suspect {
    incarnation: Incarnation,
    since: Duration,
    /// Since when it has given no sign of life.
    silent_from: Instant,
    /// The latest ends that witnesses can have confirmed.
    fenced: IndexMap<Incarnation, Duration>,
}

impl Reclaim {
    /// Takes over a witness's answer.
    pub fn receive(&self, fenced: &Fenced) {
        let mut state = self.state.lock();
        let suspect = state
            .suspects
            .values_mut()
            .find(|suspect| suspect.incarnation == fenced.holder && suspect.since == fenced.since);
        if let Some(suspect) = suspect {
            suspect.fenced.insert(fenced.witness, fenced.until);
        }
    }

    /// Records that another router has taken tokens of these teams back.
    pub fn record(&self, teams: impl Iterator<Item = TeamId>) {
        let now = Instant::now();
        let mut state = self.state.lock();
        state.reclaimed.extend(teams.map(|team| (team, now)));
    }
}

impl Budget {
    /// Takes over what a router told of its row, or of that of a lost one whose tokens it has taken back.
    pub(super) fn receive_row(&self, peer: SocketAddr, copy: RowCopy) {
        let own = {
            let peers = self.peers.lock();
            peers.incarnation(peer) == Some(copy.incarnation)
        };
        if !own {
            let teams = copy.charges.iter().map(|charge| charge.team.clone());
            self.reclaim.record(teams);
        }
        self.settlement.receive(copy);
    }

    /// Returns the time until a team may get `missing` tokens that lost routers hold; `None` if they hold less.
    pub(super) fn reclaim_time(&self, team: &TeamId, missing: Tokens) -> Option<Duration> {
        let missed = self.peers.lock().missed();
        let state = self.reclaim.state.lock();
        if missed > state.checked {
            // What the missed router holds isn't known yet.
            self.reclaim.wake.notify_one();
            return Some(UNKNOWN_TIME);
        }
        let reclaimed = state.reclaimed.get(team);
        if reclaimed.is_some_and(|at| at.elapsed() < ACCOUNT_MAX_AGE) {
            return Some(RECLAIM_TIME);
        }
        let pending = state.pending.get(team)?;
        let all = pending.iter().map(|(tokens, _)| *tokens);
        if all.fold(Tokens::ZERO, Tokens::saturating_add) < missing {
            return None;
        }
        let latest = pending.iter().map(|(_, at)| *at).max()?;
        let left = latest.saturating_duration_since(Instant::now());
        Some(if left.is_zero() { UNKNOWN_TIME } else { left })
    }

    /// Returns whether a round is due, `idle` after the latest one.
    fn reclaim_due(&self, idle: Duration) -> bool {
        let urgent = self.has_recent_suspects();
        let (missed, routers) = {
            let peers = self.peers.lock();
            (peers.missed(), peers.routers() as u32)
        };
        let limit = self.clock().saturating_sub(self.stale_time());
        let stale = self.settlement.stale_rows(limit);
        let state = self.reclaim.state.lock();
        let examined = |vm: &VmId, written: (Era, u64)| {
            let known = state.examined.get(vm);
            *vm == self.vm || known.is_some_and(|known| *known >= written)
        };
        stale
            .into_iter()
            .any(|(vm, written)| !examined(&vm, written))
            || missed > state.checked
            || urgent
            || idle >= SCAN_INTERVAL_PER_ROUTER * routers
    }

    /// Returns whether tokens of a lost router are expected to come back.
    fn has_recent_suspects(&self) -> bool {
        let clock = self.clock();
        let state = self.reclaim.state.lock();
        let mut suspects = state.suspects.values();
        suspects.any(|suspect| clock.saturating_sub(suspect.since) < MAX_EXPECTATION)
    }

    /// Returns the time after the start of its rates from which on a row isn't expected to be renewed.
    fn stale_time(&self) -> Duration {
        renewal_interval(writers(self)) * 2 + STALE_AFTER
    }
}

/// Takes back what lost routers hold, for as long as the process runs.
pub async fn run(budget: Arc<Budget>) {
    let mut last = Instant::now();
    loop {
        let pause = match budget.has_recent_suspects() {
            true => SUSPECT_INTERVAL,
            false => CHECK_INTERVAL,
        };
        let pause = pause.mul_f64(rand::rng().random_range(0.75..1.25));
        let woken = timeout(pause, budget.reclaim.wake.notified()).await.is_ok();
        if woken {
            sleep(SUSPECT_INTERVAL.saturating_sub(last.elapsed())).await;
        } else if !budget.reclaim_due(last.elapsed()) {
            continue;
        }
        last = Instant::now();
        if let Err(error) = round(&budget).await {
            tracing::info!(%error, "rows of lost routers not read or written; retrying");
        }
    }
}

/// A row of licenses as it was read.
struct Stored {
    row: Row,
    holder: Holder,
}

/// Looks for lost routers and takes back what can be taken back now.
async fn round(budget: &Budget) -> Result<(), TableError> {
    let begun = Instant::now();
    let rows = decode_holders(scan_all(&*budget.table, HOLDER_PREFIX).await?);
    let Some(clock) = budget.table.clock() else {
        return Ok(());
    };
    let rows: IndexMap<_, _> = rows
        .into_iter()
        .filter(|(vm, _)| *vm != budget.vm)
        .map(|(vm, (row, holder))| (vm, Stored { row, holder }))
        .collect();
    budget.update_suspects(&rows, clock, begun);
    for (vm, stored) in &rows {
        if budget.may_reclaim(vm, stored, clock) {
            budget.reclaim(vm, stored).await?;
        }
    }
    Ok(())
}

impl Budget {
    /// Takes over which processes give no sign of life, and asks them for one.
    fn update_suspects(&self, rows: &IndexMap<VmId, Stored>, clock: Duration, begun: Instant) {
        let stale_time = self.stale_time();
        let mut probes = Vec::new();
        let mut suspects = IndexMap::new();
        let mut examined = IndexMap::new();
        let now = Instant::now();
        {
            let peers = self.peers.lock();
            let mut state = self.reclaim.state.lock();
            for (vm, Stored { row, holder }) in rows {
                let held = holder.has_deferred();
                let stale = clock >= holder.since + stale_time;
                let unexpected = clock.saturating_sub(holder.since) >= MAX_EXPECTATION;
                if (!held || unexpected)
                    && let Some(era) = row.era
                {
                    examined.insert(vm.clone(), (era, row.version));
                }
                let member = hash::digest64(vm.as_str().as_bytes());
                let listed = peers.on_vm(member);
                let listed = listed.filter(|peer| peer.incarnation == holder.incarnation);
                let silent = listed.is_none_or(|peer| peers.is_unresponsive(peer.address));
                if !held || !(stale || silent) {
                    continue;
                }
                let known = state.suspects.swap_remove(vm).filter(|known| {
                    known.incarnation == holder.incarnation && known.since == holder.since
                });
                let mut suspect = known.unwrap_or_else(|| Suspect {
                    incarnation: holder.incarnation,
                    since: holder.since,
                    silent_from: now,
                    fenced: IndexMap::new(),
                });
                if let Some(peer) = listed {
                    let answered = now - suspect.silent_from;
                    if peers.has_answered_within(peer.address, answered) {
                        suspect.silent_from = now;
                    }
                    probes.push(peer.address);
                }
                suspects.insert(vm.clone(), suspect);
            }
            let pending = pending_tokens(&suspects, rows, clock, stale_time);
            let before = std::mem::replace(&mut state.pending, pending);
            let gone = before
                .into_keys()
                .filter(|team| !state.pending.contains_key(team));
            let gone: Vec<_> = gone.map(|team| (team, now)).collect();
            state
                .reclaimed
                .retain(|_, at| at.elapsed() < ACCOUNT_MAX_AGE);
            state.reclaimed.extend(gone);
            state.suspects = suspects;
            state.examined = examined;
            state.checked = Some(begun);
        }
        if !probes.is_empty() {
            self.post.probe(&probes);
        }
    }

    /// Returns whether a row's process counts as lost, and this router is the next to take its licenses back.
    fn may_reclaim(&self, vm: &VmId, stored: &Stored, clock: Duration) -> bool {
        let Stored { row, holder } = stored;
        let stale = clock >= holder.since + self.stale_time();
        if !stale || !is_reclaimable(row, holder) || !self.settlement.may_draw(row.era) {
            return false;
        }
        let member = hash::digest64(vm.as_str().as_bytes());
        let (succeeded, place) = {
            let mut peers = self.peers.lock();
            let homes = peers.homes_of(member).unwrap_or_default();
            let place = homes.iter().position(|home| *home == Home::Own);
            let listed = peers.on_vm(member);
            let succeeded = listed.is_some_and(|peer| peer.incarnation != holder.incarnation);
            (succeeded, place.unwrap_or(homes.len()) as u32)
        };
        let silence = match succeeded {
            true => SILENCE_BEFORE_SUCCESSOR,
            false => SILENCE,
        };
        let state = self.reclaim.state.lock();
        let suspect = state.suspects.get(vm);
        suspect.is_some_and(|suspect| suspect.silent_from.elapsed() >= silence + TURN * place)
    }

    /// Has the witnesses refuse all further use of a row's licenses, and gives the accounts what their holder
    /// can't spend any more.
    async fn reclaim(&self, vm: &VmId, stored: &Stored) -> Result<(), TableError> {
        let Some(fenced) = self.fence_holder(vm, &stored.holder).await else {
            return Ok(());
        };
        let mut current = Stored {
            row: stored.row.clone(),
            holder: stored.holder.clone(),
        };
        let mut limit = MAX_ACCOUNTS;
        while let Some(after) = fenced.reduce(&current.holder, limit) {
            let mut malformed = MalformedRows::default();
            let mut accounts = read_accounts(&*self.table, &mut malformed).await?;
            let changed = change_accounts(&mut accounts, &current.holder, &after);
            let mut transaction = Transaction::default();
            transaction.replace(&current.row, &after);
            write_accounts(&mut transaction, &accounts, &changed);
            match self.table.transact(&transaction).await? {
                Commit::Done(version) => {
                    self.log_reclaimed(vm, &current.holder, &after);
                    let (Some(version), Some(era)) = (version, current.row.era) else {
                        break;
                    };
                    let copies = copies_of(vm, &after, (era, version));
                    publish(self, &copies);
                    copies
                        .into_iter()
                        .for_each(|copy| self.settlement.receive(copy));
                    current.row.version = version;
                    current.holder = after;
                }
                Commit::Conflict => {
                    // The row or an account has changed; if it was the row, its holder is not lost.
                    sleep(MAX_CONFLICT_BACKOFF.mul_f64(rand::random())).await;
                    let row = self
                        .table
                        .read(std::slice::from_ref(&current.row.key))
                        .await?;
                    if row.first().map(|row| (row.version, row.era))
                        != Some((current.row.version, current.row.era))
                    {
                        break;
                    }
                    limit = MAX_ACCOUNTS_AFTER_CONFLICT;
                }
            }
        }
        self.reclaim.record(stored.holder.licenses.keys().cloned());
        self.wake.notify_one();
        Ok(())
    }

    /// Asks a row's witnesses to refuse further use; returns what those that answer leave its holder, or `None` if it is
    /// no longer suspected.
    async fn fence_holder(&self, vm: &VmId, holder: &Holder) -> Option<FencedRow> {
        let asked: Vec<_> = {
            let peers = self.peers.lock();
            let known = |witness: &Witness| {
                let address = peers.on_vm(witness.vm).map(|peer| peer.address);
                (*witness, address)
            };
            holder.witnesses.iter().map(known).collect()
        };
        for (witness, address) in asked {
            let fence = Fence {
                holder: holder.incarnation,
                witness,
                since: holder.since,
            };
            if let Some(fenced) = self.fence(&fence) {
                self.reclaim.receive(&fenced);
            } else if let Some(address) = address {
                self.post.send(address, Message::Fence(fence));
            }
        }
        let witnesses = holder.witnesses.len();
        let needed = refusals_needed(witnesses);
        let begun = Instant::now();
        loop {
            let fenced = {
                let state = self.reclaim.state.lock();
                let suspect = state.suspects.get(vm)?;
                suspect.fenced.clone()
            };
            let answers = fenced.len();
            let exact = answers >= needed;
            if exact || begun.elapsed() >= ANSWER_TIME {
                let end = latest_end(holder.since, witnesses, fenced.into_values());
                let term = end.saturating_sub(holder.since);
                if !exact {
                    tracing::info!(
                        %vm,
                        answers,
                        needed,
                        term_ms = u64::try_from(term.as_millis()).ok(),
                        "few witnesses of a lost router answer; what the others can still confirm isn't taken back"
                    );
                }
                return Some(FencedRow { term, exact });
            }
            sleep(ANSWER_INTERVAL).await;
        }
    }

    fn log_reclaimed(&self, vm: &VmId, before: &Holder, after: &Holder) {
        for (team, license) in &before.licenses {
            let kept = after.license(team);
            let tokens = license.granted.saturating_sub(kept.granted);
            if tokens.is_zero() {
                continue;
            }
            self.metrics.count_transfer("reclaimed", tokens);
            tracing::warn!(
                %vm,
                incarnation = %before.incarnation,
                team = team.as_str(),
                held = license.granted.get(),
                used = license.used.get(),
                charged = kept.granted.get(),
                given_back = tokens.get(),
                "took back the tokens of a lost router"
            );
        }
    }
}

/// Returns the tokens that may be taken back from silent processes, and when, by team.
fn pending_tokens(
    suspects: &IndexMap<VmId, Suspect>,
    rows: &IndexMap<VmId, Stored>,
    clock: Duration,
    stale_time: Duration,
) -> IndexMap<TeamId, Vec<(Tokens, Instant)>> {
    let mut pending: IndexMap<TeamId, Vec<_>> = IndexMap::new();
    for (vm, suspect) in suspects {
        let Some(Stored { row, holder }) = rows.get(vm) else {
            continue;
        };
        let passed = clock.saturating_sub(holder.since);
        if passed >= MAX_EXPECTATION {
            continue;
        }
        let stale_in = (holder.since + stale_time).saturating_sub(clock);
        let at = (Instant::now() + stale_in).max(suspect.silent_from + SILENCE) + RECLAIM_TIME;
        for (team, license) in &holder.licenses {
            let tokens = match is_reclaimable(row, holder) {
                true => license.deferred(),
                // Only the next process on the VM gives them back.
                false => license.granted.saturating_sub(license.bound(passed)),
            };
            if !tokens.is_zero() {
                pending.entry(team.clone()).or_default().push((tokens, at));
            }
        }
    }
    pending
}
