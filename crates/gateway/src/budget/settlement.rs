//! Settles the rows of licenses after the store has come back from an older copy.
//!
//! The copy has forgotten licenses that are in force. Each process writes its own row again, with the
//! difference between what it holds and what the copy says (see `budget::draw`). This task does the
//! same for the VMs whose processes can't, from what they told this router of their rows, and closes what
//! nobody knows. Until all rows are settled, no tokens are drawn. See
//! [docs/design/restored-store.md](../../../docs/design/restored-store.md).

use std::sync::Arc;
use std::time::Duration;

use fescue_core::{Era, Incarnation, TeamId, VmId, hash};
use fescue_policy::escrow::settlement::{Charge, RowCopies, RowCopy};
use fescue_policy::escrow::{Holder, renewal_interval};
use fescue_store::table::{Commit, Row, Table, TableError, Transaction, scan_all};
use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::Rng;
use rand::seq::SliceRandom;
use tokio::time::{Instant, sleep};

use super::Budget;
use super::draw::writers;
use super::message::Message;
use super::rows::{HOLDER_PREFIX, charge_difference, read_accounts, write_accounts};
use crate::malformed::MalformedRows;

/// Interval of the checks whether the era has changed, and between two rounds after a change.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which the processes may settle their own rows before others do it, beyond two renewals.
const OWNER_TIME: Duration = Duration::from_millis(400);

/// Time for which no tokens are drawn at least, so that routers can restore rows that the copy lacks,
/// beyond two renewals.
const MIN_SETTLE_TIME: Duration = Duration::from_millis(900);

/// Time after which rows that nobody can settle are closed, beyond two renewals.
const CLOSE_AFTER: Duration = Duration::from_millis(2700);

/// The number of routers up to which each checks at [`ROUND_INTERVAL`]; more check less often.
const ROUTERS_AT_INTERVAL: f64 = 100.0;

/// Maximum number of rows that one round settles.
const MAX_ROWS: usize = 16;

/// Maximum number of routers that are told of a written row.
const MAX_RECEIVERS: usize = 7;

/// Maximum number of teams in one datagram.
const MAX_CHARGES: usize = 8;

/// How far the rows of the current era are settled, and what is known of other VMs' rows.
#[derive(Debug, Default)]
pub struct Settlement {
    state: Mutex<State>,
    copies: Mutex<RowCopies>,
}

#[derive(Debug, Default)]
struct State {
    /// The era whose rows are all settled.
    settled: Option<Era>,
    /// The era that is being settled, and when it was noticed.
    current: Option<(Era, Instant)>,
}

impl Settlement {
    /// Returns whether tokens may be drawn from accounts that were read in an era.
    pub fn may_draw(&self, era: Option<Era>) -> bool {
        era.is_none_or(|era| era <= Era::FIRST || self.state.lock().settled >= Some(era))
    }

    /// Returns the VMs whose rows should have been renewed by what is known of them, with the version of
    /// each; see [`RowCopies::stale`].
    pub fn stale_rows(&self, limit: Duration) -> Vec<(VmId, (Era, u64))> {
        let copies = self.copies.lock();
        let stale = copies.stale(limit);
        stale.map(|(vm, written)| (vm.clone(), written)).collect()
    }

    /// Takes over what another router told of its row.
    pub fn receive(&self, copy: RowCopy) {
        self.copies.lock().receive(copy);
    }

    /// Returns when the era was noticed; `None` if nothing has to be settled in it.
    fn enter(&self, era: Era) -> Option<Instant> {
        let mut state = self.state.lock();
        if era <= Era::FIRST || state.settled >= Some(era) {
            return None;
        }
        match state.current {
            Some((current, since)) if current == era => Some(since),
            _ => {
                tracing::warn!(%era, "the store came back from an older copy; no tokens are drawn until all rows are settled");
                let now = Instant::now();
                state.current = Some((era, now));
                Some(now)
            }
        }
    }

    fn finish(&self, era: Era) {
        self.state.lock().settled = Some(era);
    }
}

/// Returns the messages that tell of a row, as it was written, the routers that can settle it later.
pub fn copies_of(vm: &VmId, holder: &Holder, written: (Era, u64)) -> Vec<RowCopy> {
    let charged = holder.teams().filter(|team| !holder.total(team).is_zero());
    let charge = |team: &TeamId| Charge {
        team: team.clone(),
        license: holder.license(team),
        closed: holder.closed.get(team).copied().unwrap_or_default(),
    };
    let charges: Vec<_> = charged.map(charge).collect();
    let copy = |part: &[Charge]| RowCopy {
        vm: vm.clone(),
        era: written.0,
        version: written.1,
        incarnation: holder.incarnation,
        since: holder.since,
        teams: charges.len(),
        charges: part.to_vec(),
    };
    if charges.is_empty() {
        return vec![copy(&[])];
    }
    charges.chunks(MAX_CHARGES).map(copy).collect()
}

/// Tells other routers of a row that this one has written.
pub fn publish(budget: &Budget, copies: &[RowCopy]) {
    let mut receivers = budget.peers.lock().addresses();
    if receivers.len() > MAX_RECEIVERS {
        // The same routers are told each time, so that one of them knows all teams.
        receivers.sort_unstable();
        let first = hash::digest64(budget.vm.as_str().as_bytes());
        let first = usize::try_from(first % receivers.len() as u64).unwrap_or_default();
        receivers.rotate_left(first);
        receivers.truncate(MAX_RECEIVERS);
    }
    for receiver in receivers {
        for copy in copies {
            let copy = Message::Row(Box::new(copy.clone()));
            budget.post.send(receiver, copy);
        }
    }
}

/// Settles rows after each return of the store, for as long as the process runs.
pub async fn run(budget: Arc<Budget>) {
    loop {
        if let Err(error) = round(&budget).await {
            tracing::info!(%error, "rows not settled; retrying");
        }
        let jitter = rand::rng().random_range(0.75..1.25);
        let scale = (budget.peers.lock().routers() as f64 / ROUTERS_AT_INTERVAL).max(1.0);
        sleep(ROUND_INTERVAL.mul_f64(jitter * scale)).await;
    }
}

/// Settles what can be settled now.
///
/// # Errors
///
/// Fails if rows can't be read or written.
pub async fn round(budget: &Budget) -> Result<(), TableError> {
    let (settlement, table) = (&budget.settlement, &*budget.table);
    let Some(since) = table.era().and_then(|era| settlement.enter(era)) else {
        return Ok(());
    };
    let rows = scan_all(table, HOLDER_PREFIX).await?;
    let Some(era) = rows.first().map_or(table.era(), |row| row.era) else {
        return Ok(());
    };
    if Some(era) != settlement.state.lock().current.map(|(era, _)| era) {
        return Ok(());
    }
    let rows = decode_holders(rows);
    // Processes write their rows at their renewals, which are rarer in a large fleet.
    let renewals = renewal_interval(writers(budget)) * 2;
    let elapsed = since.elapsed().saturating_sub(renewals);
    let due = due_rows(budget, table, &rows, era, elapsed);
    let unsettled = due.len() + open_rows(budget, &rows, era);
    if unsettled == 0 && elapsed >= MIN_SETTLE_TIME {
        tracing::info!(%era, elapsed_ms = since.elapsed().as_millis() as u64, "all rows are settled");
        settlement.finish(era);
        budget.wake.notify_one();
        return Ok(());
    }
    for (vm, row, holder) in due.into_iter().take(MAX_ROWS) {
        let before = rows.get(&vm).map(|(_, before)| before.clone());
        let before = before.unwrap_or_else(|| Holder::open(holder.incarnation));
        if let Err(error) = settle(table, &vm, &row, &before, &holder).await {
            tracing::info!(%vm, %error, "row not settled; retrying in the next round");
        }
    }
    Ok(())
}

/// The rows of licenses by VM.
pub type Holders = IndexMap<VmId, (Row, Holder)>;

/// Decodes the rows. One that can't be decoded counts as empty: its charges stay in the accounts, and it is
/// replaced.
pub fn decode_holders(rows: Vec<Row>) -> Holders {
    let mut holders = IndexMap::new();
    for row in rows {
        let name = row.key.strip_prefix(HOLDER_PREFIX).unwrap_or_default();
        let vm = match name.parse::<VmId>() {
            Ok(vm) => vm,
            Err(error) => {
                tracing::warn!(key = row.key, %error, "row of licenses names no VM; ignored");
                continue;
            }
        };
        let holder = row.decode::<Holder>().unwrap_or_else(|error| {
            tracing::warn!(%error, "row of licenses is malformed; replaced");
            None
        });
        let holder = holder.unwrap_or_else(|| Holder::open(Incarnation::new(0)));
        holders.insert(vm, (row, holder));
    }
    holders
}

/// Returns the number of rows that are not settled.
fn open_rows(budget: &Budget, rows: &Holders, era: Era) -> usize {
    let copies = budget.settlement.copies.lock();
    let missing = copies.vms().filter(|vm| !rows.contains_key(*vm));
    let missing = missing.filter(|vm| copies.settle(vm, None, era).is_some());
    let open = rows.values().filter(|(_, holder)| holder.era() != era);
    missing.count() + open.count()
}

/// Returns the rows that this router settles now, with what they must hold, in random order.
fn due_rows(
    budget: &Budget,
    table: &dyn Table,
    rows: &Holders,
    era: Era,
    elapsed: Duration,
) -> Vec<(VmId, Row, Holder)> {
    if elapsed < OWNER_TIME {
        return Vec::new();
    }
    let mut due = Vec::new();
    let copies = budget.settlement.copies.lock();
    let missing = copies.vms().filter(|vm| !rows.contains_key(*vm));
    for vm in rows.keys().chain(missing) {
        let known = rows.get(vm);
        let read = known.map(|(row, holder)| (holder, row.version));
        if let Some(holder) = copies.settle(vm, read, era) {
            let absent = || Row {
                era: Some(era),
                ..Row::absent(format!("{HOLDER_PREFIX}{vm}"))
            };
            let row = known.map_or_else(absent, |(row, _)| row.clone());
            due.push((vm.clone(), row, holder));
        }
    }
    drop(copies);
    if elapsed >= CLOSE_AFTER {
        let newest = rows.values().map(|(_, holder)| holder.since).max();
        let clock = table.clock().unwrap_or_default();
        for (vm, (row, holder)) in rows {
            if holder.era() != era && due.iter().all(|(known, ..)| known != vm) {
                let closed =
                    holder.close_unknown(row.version, era, clock, newest.unwrap_or_default());
                due.push((vm.clone(), row.clone(), closed));
            }
        }
    }
    due.shuffle(&mut rand::rng());
    due
}

/// Writes what a VM's row must hold, and the difference to the accounts.
async fn settle(
    table: &dyn Table,
    vm: &VmId,
    row: &Row,
    before: &Holder,
    holder: &Holder,
) -> Result<(), TableError> {
    let mut malformed = MalformedRows::default();
    let mut accounts = read_accounts(table, &mut malformed).await?;
    let changed = charge_difference(&mut accounts, before, holder);
    let mut transaction = Transaction::default();
    transaction.replace(row, holder);
    write_accounts(&mut transaction, &accounts, &changed);
    let commit = table.transact(&transaction).await?;
    if let Commit::Done(_) = commit {
        tracing::warn!(
            %vm,
            incarnation = %holder.incarnation,
            source = ?holder.copied,
            teams = changed.len(),
            "settled the row of another VM"
        );
    }
    Ok(())
}
