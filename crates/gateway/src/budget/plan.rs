//! The licenses that a round plans, and the balances before and after it is written.

use fescue_core::{TeamId, Tokens};
use fescue_policy::escrow::{Account, AccountSnapshot, Holder, License};
use indexmap::IndexMap;

use super::Budget;
use super::draw::{Goal, Snapshot, writers};
use super::rows::{granted, update_account};

/// Updates the local balances from the rows that were read.
pub fn reconcile(budget: &Budget, snapshot: &Snapshot, prepaid: &IndexMap<TeamId, Tokens>) {
    let at = budget.now();
    let mut state = budget.state.lock();
    let escrow = &mut state.escrow;
    let term = escrow.generations.term(snapshot.holder.since);
    for (team, prepaid) in prepaid {
        let balance = escrow.balance(team);
        let license = snapshot.holder.license(team);
        balance.reconcile(snapshot.row.version, license, term);
        if let Some(accounts) = &snapshot.accounts {
            let Some(granted) = granted(accounts, team) else {
                continue;
            };
            balance.set_snapshot(AccountSnapshot {
                granted,
                prepaid: *prepaid,
                at,
            });
        }
    }
}

/// Plans the licenses. Returns all of them if any has to change, since they share one row and one
/// start time, and none otherwise.
pub fn plan(
    budget: &Budget,
    snapshot: &Snapshot,
    prepaid: &IndexMap<TeamId, Tokens>,
    goal: Goal,
    limit: usize,
) -> IndexMap<TeamId, License> {
    let writers = writers(budget);
    let clock = budget.table.clock().unwrap_or_default();
    let mut planned = IndexMap::new();
    let may_draw = budget.settlement.may_draw(snapshot.row.era);
    let mut settled = snapshot.restored.is_none();
    let mut changes = Vec::new();
    let mut state = budget.state.lock();
    let escrow = &mut state.escrow;
    let mut peers = budget.peers.lock();
    for (team, prepaid) in prepaid {
        let balance = escrow.balance(team);
        let held = snapshot.holder.license(team);
        let granted = match snapshot.accounts.as_ref() {
            Some(accounts) => granted(accounts, team),
            None => Some(
                balance
                    .snapshot()
                    .map_or(Tokens::ZERO, |known| known.granted),
            ),
        };
        let account = Account {
            // Nothing can be drawn from an account that can't be read.
            granted: granted.unwrap_or(*prepaid),
        };
        let prepaid = match goal {
            Goal::Serve => *prepaid,
            Goal::Stop => Tokens::ZERO,
        };
        let mut license = balance.plan(&account, prepaid, peers.role(team), writers);
        // Nothing is drawn or returned until all rows are settled.
        if granted.is_none() || (goal == Goal::Serve && !may_draw) {
            license.granted = held.granted;
        }
        if license.granted != held.granted {
            changes.push((balance.urgency(&license), team.clone(), held.granted));
        }
        settled &= balance.is_settled(&license, clock);
        planned.insert(team.clone(), license);
    }
    changes.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (_, team, granted) in changes.into_iter().skip(limit) {
        planned[&team].granted = granted;
    }
    if settled { IndexMap::new() } else { planned }
}

/// Applies planned licenses to the snapshot and their differences to the accounts.
pub fn apply(
    snapshot: &mut Snapshot,
    licenses: &IndexMap<TeamId, License>,
    changed: &mut IndexMap<TeamId, ()>,
) {
    for (team, license) in licenses {
        let held = snapshot.holder.license(team);
        let mut license = *license;
        if license.granted != held.granted {
            match &mut snapshot.accounts {
                Some(accounts) => {
                    update_account(accounts, team, held, license);
                    changed.insert(team.clone(), ());
                }
                // An account that was not read cannot change; the next round reads it.
                None => license.granted = held.granted,
            }
        }
        snapshot.holder.licenses.insert(team.clone(), license);
    }
}

/// Records the licenses of a row in the local balances before it is written.
pub fn propose(budget: &Budget, snapshot: &Snapshot) {
    let Holder {
        since, witnesses, ..
    } = &snapshot.holder;
    let mut state = budget.state.lock();
    let escrow = &mut state.escrow;
    escrow.generations.open(*since, witnesses.clone());
    let term = escrow.generations.term(*since);
    for (team, license) in &snapshot.holder.licenses {
        let balance = escrow.balance(team);
        balance.propose(snapshot.row.version, *license, term);
    }
}

/// Updates the local balances after a successful write.
pub fn accept(budget: &Budget, snapshot: &Snapshot, prepaid: &IndexMap<TeamId, Tokens>) {
    let at = budget.now();
    let mut state = budget.state.lock();
    let escrow = &mut state.escrow;
    let term = escrow.generations.term(snapshot.holder.since);
    for (team, license) in &snapshot.holder.licenses {
        let balance = escrow.balance(team);
        balance.accept(*license, term);
        let read = snapshot
            .accounts
            .as_ref()
            .and_then(|accounts| accounts.get(team));
        if let (Some((_, Some(account))), Some(prepaid)) = (read, prepaid.get(team)) {
            balance.set_snapshot(AccountSnapshot {
                granted: account.granted,
                prepaid: *prepaid,
                at,
            });
        }
    }
    escrow.drop_unused_generations();
}
