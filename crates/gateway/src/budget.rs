//! Draws the teams' tokens from the store, gives them back, and renews this router's licenses.
//!
//! See [`fescue_policy::escrow`] for what keeps the sum within what was prepaid.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::{TeamId, Tokens};
use fescue_policy::escrow::{Account, Holder, Known, License};
use fescue_store::table::{Commit, Row, Table, TableError, Transaction, scan_all};
use indexmap::IndexMap;
use tokio::time::{Instant, sleep, timeout};

use crate::gateway::Gateway;
use crate::lifecycle::{Event, Phase};

/// Where the accounts are.
const ACCOUNTS: &str = "budgets/";

/// Where the VMs' rows are.
const HOLDERS: &str = "holders/";

/// The time between two rounds when nothing waits.
const ROUND: Duration = Duration::from_secs(1);

/// The shortest time between two rounds, so that short requests can't flood the store.
const SPACING: Duration = Duration::from_millis(120);

/// How often a round is tried again at once after another router was first.
const CONFLICTS: u32 = 4;

/// The most accounts that one transaction changes: the store takes 100 entries, an account stands
/// twice in a transaction, and so does the VM's row.
const MOST_ACCOUNTS: usize = 48;

/// Runs the controller for as long as the process runs.
pub async fn run(gateway: Arc<Gateway>, table: Arc<dyn Table>) {
    let mut last = Instant::now();
    loop {
        // A need wakes the controller early; otherwise the round comes anyway.
        let _woken = timeout(ROUND, gateway.need.notified()).await;
        gateway.observe_spending(last.elapsed());
        last = Instant::now();
        let good = round(&gateway, &*table, Goal::Serve).await;
        if good && gateway.phase() == Phase::Starting && is_prepared(&gateway) {
            gateway.handle(Event::Prepared);
        }
        sleep(SPACING).await;
    }
}

/// Returns whether the process knows enough to serve.
fn is_prepared(gateway: &Gateway) -> bool {
    gateway.catalog().is_some() && !gateway.servers.lock().is_empty()
}

/// What a round is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Goal {
    /// To hold what the requests need.
    Serve,
    /// To hold nothing but what is spent, at a planned stop.
    Stop,
}

/// Brings the licenses to what is needed; returns whether the store answered.
pub async fn round(gateway: &Gateway, table: &dyn Table, goal: Goal) -> bool {
    for _ in 0..CONFLICTS {
        match attempt(gateway, table, goal).await {
            Ok(Commit::Done) => {
                gateway.metrics.count_store("draw", true);
                gateway.round.send_modify(|round| *round += 1);
                return true;
            }
            Ok(Commit::Conflict) => gateway.metrics.count_store("draw_conflict", true),
            Err(error) => {
                gateway.metrics.count_store("draw", false);
                tracing::warn!(%error, "tokens can't be drawn");
                return false;
            }
        }
    }
    false
}

/// What the store says before a round.
struct View {
    /// This VM's row.
    row: Row,
    holder: Holder,
    accounts: IndexMap<TeamId, (Row, Account)>,
    /// The store's time, no later than it is.
    clock: Duration,
    /// Whether the row is of the process before this one.
    closing: bool,
}

/// Reads the rows, and writes what changes in one transaction.
async fn attempt(
    gateway: &Gateway,
    table: &dyn Table,
    goal: Goal,
) -> Result<Commit, TableError> {
    let prepaid = prepaid(gateway);
    if prepaid.is_empty() {
        return Ok(Commit::Done);
    }
    let mut view = read(gateway, table).await?;
    let mut changed = IndexMap::new();
    if view.closing {
        changed = close_former(&mut view);
        view.holder.incarnation = gateway.incarnation;
    }
    reconcile(gateway, &view, &prepaid);
    let licenses = plan(gateway, &mut view, &prepaid, goal, &mut changed);
    if licenses.is_empty() && !view.closing {
        return Ok(Commit::Done);
    }
    view.holder.since = view.clock;
    let mut transaction = Transaction::default();
    transaction.replace(&view.row, &view.holder);
    for team in changed.keys() {
        let (row, account) = &view.accounts[team];
        transaction.replace(row, account);
    }
    propose(gateway, &view);
    let commit = table.transact(&transaction).await?;
    if commit == Commit::Done {
        accept(gateway, &view, &prepaid);
    }
    Ok(commit)
}

/// Returns what each team prepaid.
fn prepaid(gateway: &Gateway) -> IndexMap<TeamId, Tokens> {
    let Some(catalog) = gateway.catalog() else {
        return IndexMap::new();
    };
    let teams = catalog.manifest().teams.iter().flatten();
    let teams = teams.filter_map(|team| Some((team.name.clone(), team.prepaid?)));
    teams.collect()
}

async fn read(gateway: &Gateway, table: &dyn Table) -> Result<View, TableError> {
    let key = format!("{HOLDERS}{}", gateway.settings.vm);
    let rows = table.read(std::slice::from_ref(&key)).await?;
    let row = rows.into_iter().next().unwrap_or_else(|| Row::absent(key));
    let mut accounts = IndexMap::new();
    for row in scan_all(table, ACCOUNTS).await? {
        let name = row.key.strip_prefix(ACCOUNTS).unwrap_or_default();
        match name.parse::<TeamId>() {
            Ok(team) => {
                let account = row.decode()?.unwrap_or_default();
                accounts.insert(team, (row, account));
            }
            Err(error) => tracing::warn!(%error, key = row.key, "an account's key can't be read"),
        }
    }
    let clock = table.clock().unwrap_or_default();
    let holder: Option<Holder> = row.decode()?;
    let closing = holder
        .as_ref()
        .is_some_and(|holder| holder.incarnation != gateway.incarnation);
    let holder = holder.unwrap_or_else(|| Holder {
        incarnation: gateway.incarnation,
        since: clock,
        licenses: IndexMap::new(),
    });
    Ok(View {
        row,
        holder,
        accounts,
        clock,
        closing,
    })
}

/// Gives back what the process before this one can't have spent; returns the changed accounts.
///
/// A VM runs one process of the role at a time, so the former one is dead.
fn close_former(view: &mut View) -> IndexMap<TeamId, ()> {
    let elapsed = view.clock.saturating_sub(view.holder.since);
    let mut changed = IndexMap::new();
    for (team, license) in std::mem::take(&mut view.holder.licenses) {
        let unspent = license.granted.saturating_sub(license.bound(elapsed));
        let Some((_, account)) = view.accounts.get_mut(&team) else {
            continue;
        };
        if !unspent.is_zero() {
            account.granted = account.granted.saturating_sub(unspent);
            changed.insert(team.clone(), ());
        }
        tracing::info!(
            team = team.as_str(),
            held = license.granted.get(),
            given_back = unspent.get(),
            former = %view.holder.incarnation,
            elapsed_ms = elapsed.as_millis() as u64,
            "closed the former process's license"
        );
    }
    changed
}

/// Takes over what the store says.
fn reconcile(gateway: &Gateway, view: &View, prepaid: &IndexMap<TeamId, Tokens>) {
    let at = gateway.now();
    let mut escrow = gateway.escrow.lock();
    for (team, prepaid) in prepaid {
        let balance = escrow.balance(team);
        let license = view.holder.licenses.get(team).copied().unwrap_or_default();
        balance.reconcile(view.row.version, license, view.holder.since);
        let granted = view.accounts.get(team).map(|(_, account)| account.granted);
        balance.learn(Known {
            granted: granted.unwrap_or_default(),
            prepaid: *prepaid,
            at,
        });
    }
}

/// Plans the licenses; returns those that change, with all accounts that change added.
fn plan(
    gateway: &Gateway,
    view: &mut View,
    prepaid: &IndexMap<TeamId, Tokens>,
    goal: Goal,
    changed: &mut IndexMap<TeamId, ()>,
) -> IndexMap<TeamId, License> {
    let routers = gateway.routers();
    let mut planned = IndexMap::new();
    let mut escrow = gateway.escrow.lock();
    for (team, prepaid) in prepaid {
        let balance = escrow.balance(team);
        let held = view.holder.licenses.get(team).copied().unwrap_or_default();
        let entry = view.accounts.entry(team.clone()).or_insert_with(|| {
            let row = Row::absent(format!("{ACCOUNTS}{team}"));
            (row, Account::default())
        });
        let account = &mut entry.1;
        let mut license = match goal {
            Goal::Serve => balance.plan(account, *prepaid, routers),
            Goal::Stop => balance.plan(account, Tokens::ZERO, routers),
        };
        if changed.len() >= MOST_ACCOUNTS && license.granted != held.granted {
            license.granted = held.granted;
        }
        // All licenses stand in one row with one start, so each is renewed when one is.
        let settled = balance.is_settled(&license, view.clock);
        view.holder.licenses.insert(team.clone(), license);
        if settled && goal == Goal::Serve {
            continue;
        }
        planned.insert(team.clone(), license);
        if license.granted == held.granted {
            continue;
        }
        account.granted = account
            .granted
            .saturating_add(license.granted)
            .saturating_sub(held.granted);
        changed.insert(team.clone(), ());
        tracing::info!(
            team = team.as_str(),
            held = held.granted.get(),
            granted = license.granted.get(),
            unused = balance.unused().get(),
            left = prepaid.saturating_sub(account.granted).get(),
            "license changes"
        );
    }
    planned
}

fn propose(gateway: &Gateway, view: &View) {
    let mut escrow = gateway.escrow.lock();
    for (team, license) in &view.holder.licenses {
        let balance = escrow.balance(team);
        balance.propose(view.row.version, *license, view.holder.since);
    }
}

/// Takes over what was just written.
fn accept(gateway: &Gateway, view: &View, prepaid: &IndexMap<TeamId, Tokens>) {
    let at = gateway.now();
    let mut escrow = gateway.escrow.lock();
    for (team, license) in &view.holder.licenses {
        let balance = escrow.balance(team);
        balance.accept(*license, view.holder.since);
        let account = view.accounts.get(team).map(|(_, account)| account.granted);
        if let (Some(granted), Some(prepaid)) = (account, prepaid.get(team)) {
            let (granted, prepaid) = (granted, *prepaid);
            balance.learn(Known {
                granted,
                prepaid,
                at,
            });
        }
    }
}
