//! The rows of accounts and licenses, and the changes that keep them consistent: an account's `granted` is
//! the sum of what all VMs' rows are charged.

use std::time::Duration;

use fescue_core::{TeamId, Tokens};
use fescue_policy::escrow::{Account, Holder, License};
use fescue_store::table::{Row, Table, TableError, Transaction, scan_all};
use indexmap::IndexMap;

use crate::malformed::MalformedRows;

/// Key prefix of the team account rows.
const ACCOUNT_PREFIX: &str = "budgets/";

/// Key prefix of the rows that hold each VM's licenses.
pub const HOLDER_PREFIX: &str = "holders/";

/// Time for which a process may have spent at its rate beyond the license that another router restored.
const UNREPORTED_TIME: Duration = Duration::from_secs(1);

/// The accounts by team, with their rows. An account is `None` if its row can't be read: how much of the
/// prepaid tokens is granted is then unknown, so nothing can be drawn or returned.
pub type Accounts = IndexMap<TeamId, (Row, Option<Account>)>;

/// Reads all accounts.
///
/// # Errors
///
/// Fails if the rows can't be read.
pub async fn read_accounts(
    table: &dyn Table,
    malformed: &mut MalformedRows,
) -> Result<Accounts, TableError> {
    let mut accounts = IndexMap::new();
    for row in scan_all(table, ACCOUNT_PREFIX).await? {
        let name = row.key.strip_prefix(ACCOUNT_PREFIX).unwrap_or_default();
        match name.parse::<TeamId>() {
            Ok(team) => {
                let account = row.decode().map(Option::unwrap_or_default);
                let account = account.map_err(|error| malformed.report(&row, &error));
                accounts.insert(team, (row, account.ok()));
            }
            Err(error) => {
                tracing::warn!(%error, key = row.key, "account key names no team; row ignored")
            }
        }
    }
    Ok(accounts)
}

/// Returns a team's account, which is a new one if there is none; `None` if its row can't be read.
fn account<'a>(accounts: &'a mut Accounts, team: &TeamId) -> Option<&'a mut Account> {
    let entry = accounts.entry(team.clone()).or_insert_with(|| {
        let row = Row::absent(format!("{ACCOUNT_PREFIX}{team}"));
        (row, Some(Account::default()))
    });
    entry.1.as_mut()
}

/// Returns the tokens that are granted of a team's account; `None` if its row can't be read.
pub fn granted(accounts: &Accounts, team: &TeamId) -> Option<Tokens> {
    match accounts.get(team) {
        None => Some(Tokens::ZERO),
        Some((_, account)) => account.as_ref().map(|account| account.granted),
    }
}

/// Changes the accounts by what a VM's row is charged `after` a change and was charged `before`; lists the
/// changed accounts.
pub fn change_accounts(
    accounts: &mut Accounts,
    before: &Holder,
    after: &Holder,
) -> IndexMap<TeamId, ()> {
    let mut changed = IndexMap::new();
    let gone = before.teams().filter(|team| after.total(team).is_zero());
    for team in after.teams().chain(gone) {
        let (old, new) = (before.total(team), after.total(team));
        if old == new || changed.contains_key(team) {
            continue;
        }
        let Some(account) = account(accounts, team) else {
            continue;
        };
        account.granted = account.granted.saturating_add(new).saturating_sub(old);
        changed.insert(team.clone(), ());
    }
    changed
}

/// As [`change_accounts`], for a row that is restored after a return of the store.
pub fn charge_difference(
    accounts: &mut Accounts,
    before: &Holder,
    after: &Holder,
) -> IndexMap<TeamId, ()> {
    let changed = change_accounts(accounts, before, after);
    for team in changed.keys() {
        tracing::info!(
            team = team.as_str(),
            before = before.total(team).get(),
            after = after.total(team).get(),
            all = granted(accounts, team).map(Tokens::get),
            "restoring the charge of a VM after a return of the store"
        );
    }
    changed
}

/// Adds writes of changed accounts to a transaction.
pub fn write_accounts(
    transaction: &mut Transaction,
    accounts: &Accounts,
    changed: &IndexMap<TeamId, ()>,
) {
    for team in changed.keys() {
        if let Some((row, Some(account))) = accounts.get(team) {
            transaction.replace(row, account);
        }
    }
}

/// Changes an account by the difference between two licenses.
pub fn update_account(accounts: &mut Accounts, team: &TeamId, held: License, license: License) {
    let Some(account) = account(accounts, team) else {
        return;
    };
    account.granted = account
        .granted
        .saturating_add(license.granted)
        .saturating_sub(held.granted);
    tracing::info!(
        team = team.as_str(),
        held = held.granted.get(),
        granted = license.granted.get(),
        all = account.granted.get(),
        "changing the license of a team"
    );
}

/// Returns to the accounts what the previous process cannot have spent; lists the changed
/// accounts.
///
/// A VM runs one gateway process at a time, so the previous one had ended by `started`, the start
/// of this process on the store's clock.
pub fn close_predecessor(
    holder: &mut Holder,
    mut accounts: Option<&mut Accounts>,
    started: Duration,
) -> IndexMap<TeamId, ()> {
    let mut elapsed = started.saturating_sub(holder.since);
    if holder.copied.is_some() {
        // The process may have renewed its licenses after it told others of this one.
        elapsed += UNREPORTED_TIME;
    }
    let mut changed = IndexMap::new();
    for (team, license) in std::mem::take(&mut holder.licenses) {
        let closing = license.close(elapsed);
        let closed = holder.closed.entry(team.clone()).or_default();
        let account = accounts.as_mut().and_then(|a| a.get_mut(&team));
        let Some((_, Some(account))) = account else {
            *closed = closed.saturating_add(license.granted);
            continue;
        };
        let charged = license.granted.saturating_sub(closing.unspent);
        *closed = closed.saturating_add(charged);
        if !closing.unspent.is_zero() {
            account.granted = account.granted.saturating_sub(closing.unspent);
            changed.insert(team.clone(), ());
        }
        tracing::info!(
            team = team.as_str(),
            held = license.granted.get(),
            used = closing.used.get(),
            initial = closing.initial.get(),
            accrued = closing.accrued.get(),
            given_back = closing.unspent.get(),
            former = %holder.incarnation,
            elapsed_ms = elapsed.as_millis() as u64,
            "closing the license of the previous process"
        );
    }
    changed
}
