//! Draws the teams' tokens from the store and gives them back.
//!
//! See [`fescue_policy::escrow`] for what keeps the sum within what was prepaid.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::{TeamId, Tokens, VmId};
use fescue_policy::escrow::{Account, Balance, Known, Wish};
use fescue_store::table::{Commit, Row, Table, TableError, Transaction, scan_all};
use indexmap::IndexMap;
use tokio::time::{Instant, sleep, timeout};

use crate::gateway::Gateway;
use crate::lifecycle::{Event, Phase};

/// Where the accounts are.
const PREFIX: &str = "budgets/";

/// The time between two rounds when nothing waits.
const ROUND: Duration = Duration::from_secs(1);

/// The shortest time between two rounds, so that short requests can't flood the store.
const SPACING: Duration = Duration::from_millis(150);

/// How often a round is tried again at once after another router was first.
const CONFLICTS: u32 = 4;

/// The most accounts that one transaction changes; the store takes 100 entries, and an account
/// stands twice in a transaction.
const MOST_ACCOUNTS: usize = 45;

/// Runs the controller for as long as the process runs.
pub async fn run(gateway: Arc<Gateway>, table: Arc<dyn Table>) {
    let mut last = Instant::now();
    loop {
        // A need wakes the controller early; otherwise the round comes anyway.
        let _woken = timeout(ROUND, gateway.need.notified()).await;
        observe(&gateway, last.elapsed());
        last = Instant::now();
        let good = round(&gateway, &*table).await;
        if good && gateway.phase() == Phase::Starting && ready(&gateway) {
            gateway.handle(Event::Prepared);
        }
        sleep(SPACING).await;
    }
}

/// Returns whether the process knows enough to serve.
fn ready(gateway: &Gateway) -> bool {
    gateway.catalog().is_some() && !gateway.servers.lock().is_empty()
}

fn observe(gateway: &Gateway, elapsed: Duration) {
    let mut escrow = gateway.escrow.lock();
    for (_, balance) in escrow.iter_mut() {
        balance.observe(elapsed);
    }
}

/// Brings the balances to what the requests need; returns whether the store answered.
pub async fn round(gateway: &Gateway, table: &dyn Table) -> bool {
    for _ in 0..CONFLICTS {
        let wishes = wishes(gateway);
        if wishes.is_empty() {
            return true;
        }
        match attempt(gateway, table, &wishes).await {
            Ok(Commit::Done) => {
                gateway.round.send_modify(|round| *round += 1);
                return true;
            }
            Ok(Commit::Conflict) => {
                gateway.metrics.count_store("draw_conflict", true);
            }
            Err(error) => {
                gateway.metrics.count_store("draw", false);
                tracing::warn!(%error, teams = wishes.len(), "tokens can't be drawn");
                return false;
            }
        }
    }
    gateway.round.send_modify(|round| *round += 1);
    true
}

/// Returns each team's wish, with what it prepaid.
fn wishes(gateway: &Gateway) -> IndexMap<TeamId, (Wish, Tokens)> {
    let Some(catalog) = gateway.catalog() else {
        return IndexMap::new();
    };
    let mut escrow = gateway.escrow.lock();
    let teams = catalog.manifest().teams.iter().flatten();
    let wish = |team: &crate::model::Team| {
        let prepaid = team.prepaid?;
        let wish = escrow.balance(&team.name).wish(prepaid)?;
        Some((team.name.clone(), (wish, prepaid)))
    };
    teams.filter_map(wish).take(MOST_ACCOUNTS).collect()
}

/// Reads the accounts and writes the changed ones in one transaction.
async fn attempt(
    gateway: &Gateway,
    table: &dyn Table,
    wishes: &IndexMap<TeamId, (Wish, Tokens)>,
) -> Result<Commit, TableError> {
    let rows = scan_all(table, PREFIX).await?;
    let rows: IndexMap<String, Row> = rows.into_iter().map(|row| (row.key.clone(), row)).collect();
    reconcile(gateway, &rows)?;
    let vm = &gateway.settings.vm;
    let mut transaction = Transaction::default();
    let mut after = Vec::new();
    for (team, (wish, prepaid)) in wishes {
        let key = format!("{PREFIX}{team}");
        let row = rows.get(&key).cloned().unwrap_or_else(|| Row::absent(key));
        let mut account: Account = row.decode()?.unwrap_or_default();
        if !change(gateway, team, *wish, *prepaid, &mut account, row.version) {
            continue;
        }
        transaction.replace(&row, &account);
        after.push((team, account, *prepaid));
    }
    if transaction.put.is_empty() {
        return Ok(Commit::Done);
    }
    let commit = table.transact(&transaction).await?;
    gateway.metrics.count_store("draw", true);
    if commit == Commit::Done {
        for (team, account, prepaid) in after {
            settle(gateway, vm, team, &account, prepaid);
        }
    }
    Ok(commit)
}

/// Takes over what the store says of all accounts.
fn reconcile(gateway: &Gateway, rows: &IndexMap<String, Row>) -> Result<(), TableError> {
    let Some(catalog) = gateway.catalog() else {
        return Ok(());
    };
    let now = gateway.now();
    let mut escrow = gateway.escrow.lock();
    for team in catalog.manifest().teams.iter().flatten() {
        let Some(prepaid) = team.prepaid else { continue };
        let key = format!("{PREFIX}{}", team.name);
        let row = rows.get(&key);
        let account: Account = match row {
            Some(row) => row.decode()?.unwrap_or_default(),
            None => Account::default(),
        };
        let part = account.part(&gateway.settings.vm, gateway.incarnation);
        let known = Known {
            granted: account.granted,
            prepaid,
            at: now,
        };
        let version = row.map_or(0, |row| row.version);
        escrow.balance(&team.name).reconcile(part, known, version);
    }
    Ok(())
}

/// Applies a wish to an account; returns whether it changed.
fn change(
    gateway: &Gateway,
    team: &TeamId,
    wish: Wish,
    prepaid: Tokens,
    account: &mut Account,
    version: u64,
) -> bool {
    let (vm, incarnation) = (&gateway.settings.vm, gateway.incarnation);
    match wish {
        Wish::Draw(needed, most) => {
            let left = prepaid.saturating_sub(account.granted);
            let granted = Balance::share(needed, most, left);
            if granted.is_zero() {
                return false;
            }
            account.grant(vm, incarnation, granted);
            let available = gateway.escrow.lock().balance(team).available();
            tracing::info!(
                team = team.as_str(),
                granted = granted.get(),
                available = available.get(),
                left = left.saturating_sub(granted).get(),
                "drawing tokens"
            );
        }
        Wish::Return(_) => {
            let kept = gateway.escrow.lock().balance(team).give_back(version);
            let tokens = account.take_back(vm, incarnation, kept);
            if tokens.is_zero() {
                return false;
            }
            tracing::info!(team = team.as_str(), tokens = tokens.get(), "giving tokens back");
        }
    }
    true
}

/// Takes over an account that was just written.
fn settle(gateway: &Gateway, vm: &VmId, team: &TeamId, account: &Account, prepaid: Tokens) {
    let known = Known {
        granted: account.granted,
        prepaid,
        at: gateway.now(),
    };
    let part = account.part(vm, gateway.incarnation);
    let mut escrow = gateway.escrow.lock();
    // The version isn't known, and no return is open on a row that was just written.
    escrow.balance(team).reconcile(part, known, u64::MAX);
}

/// Gives back all unspent tokens, at a planned stop.
pub async fn give_back(gateway: &Gateway, table: &dyn Table) -> bool {
    for _ in 0..CONFLICTS {
        let wishes = {
            let mut escrow = gateway.escrow.lock();
            let wish = |(team, balance): (&TeamId, &mut Balance)| {
                let unspent = balance.available();
                (!unspent.is_zero()).then(|| (team.clone(), (Wish::Return(unspent), Tokens::ZERO)))
            };
            let wishes = escrow.iter_mut().filter_map(wish);
            wishes.take(MOST_ACCOUNTS).collect::<IndexMap<_, _>>()
        };
        if wishes.is_empty() {
            return true;
        }
        match attempt(gateway, table, &wishes).await {
            Ok(Commit::Done) => return true,
            Ok(Commit::Conflict) => {}
            Err(error) => {
                tracing::warn!(%error, "unspent tokens can't be given back");
                return false;
            }
        }
    }
    false
}
