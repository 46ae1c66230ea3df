//! Draws the teams' tokens from the store, gives them back, and renews this router's licenses.
//!
//! See [`fescue_policy::escrow`] for what keeps the sum within what was prepaid.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::{TeamId, Tokens};
use fescue_policy::escrow::{self, Account, Holder, Known, License};
use fescue_store::table::{Commit, Row, Table, TableError, Transaction, scan_all};
use indexmap::IndexMap;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::gateway::Gateway;
use crate::lifecycle::{Event, Phase};

/// Where the accounts are.
const ACCOUNTS: &str = "budgets/";

/// Where the VMs' rows are.
const HOLDERS: &str = "holders/";

/// The shortest time between two rounds, so that short requests can't flood the store.
const SPACING: Duration = Duration::from_millis(100);

/// The pause after a round that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(300);

/// How old what is known of the accounts may be.
const ACCOUNTS_AGE: Duration = Duration::from_secs(1);

/// How often a round is tried again at once after another router was first.
const CONFLICTS: u32 = 4;

/// The most accounts that one transaction changes. Each is a chance that another router was first,
/// which fails the whole transaction.
const MOST_ACCOUNTS: usize = 12;

/// The most accounts that are changed when another router was first.
const CONTENDED_ACCOUNTS: usize = 2;

/// The longest pause before another try after another router was first.
const CONFLICT_PAUSE: Duration = Duration::from_millis(20);

/// Runs the controller until the process stops and all unspent tokens are given back.
pub async fn run(gateway: Arc<Gateway>, mut goal: watch::Receiver<Goal>) {
    let mut controller = Controller::open(Arc::clone(&gateway));
    let mut last = Instant::now();
    loop {
        let pace = escrow::pace(writers(&gateway));
        // A need wakes the controller early; otherwise the round comes anyway.
        let _woken = timeout(pace, gateway.budget_wake.notified()).await;
        gateway.observe_spending(last.elapsed());
        last = Instant::now();
        let goal = *goal.borrow_and_update();
        let good = controller.round(goal).await;
        if good && goal == Goal::Stop {
            return;
        }
        if good && gateway.phase() == Phase::Starting && is_prepared(&gateway) {
            gateway.handle(Event::Prepared);
        }
        sleep(if good { SPACING } else { FAILED_PAUSE }).await;
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

/// What the store says before a round.
#[derive(Clone, Debug)]
struct View {
    /// This VM's row.
    row: Row,
    holder: Holder,
    /// The accounts, where they were read for this round.
    accounts: Option<Accounts>,
    /// Whether the row is of the process before this one.
    closing: bool,
}

type Accounts = IndexMap<TeamId, (Row, Account)>;

/// Draws and renews for one process.
pub struct Controller {
    gateway: Arc<Gateway>,
    /// This VM's row as it was last written or read.
    own: Option<(Row, Holder)>,
    accounts_read: Option<Instant>,
}

impl Controller {
    /// Opens a controller that knows nothing yet.
    pub fn open(gateway: Arc<Gateway>) -> Self {
        Self {
            gateway,
            own: None,
            accounts_read: None,
        }
    }

    /// Brings the licenses to what is needed; returns whether the store answered.
    pub async fn round(&mut self, goal: Goal) -> bool {
        for tries in 0..CONFLICTS {
            let most = match (tries, goal) {
                (0, _) | (_, Goal::Stop) => MOST_ACCOUNTS,
                _ => CONTENDED_ACCOUNTS,
            };
            let attempt = self.attempt(goal, most).await;
            let metrics = &self.gateway.metrics;
            match attempt {
                Ok(Commit::Done(_)) => {
                    metrics.count_store("draw", true);
                    self.gateway.budget_rounds.send_modify(|round| *round += 1);
                    return true;
                }
                Ok(Commit::Conflict) => metrics.count_store("draw_conflict", true),
                Err(error) => {
                    metrics.count_store("draw", false);
                    tracing::warn!(%error, "tokens can't be drawn");
                    self.own = None;
                    return false;
                }
            }
            self.own = None;
            self.accounts_read = None;
            sleep(CONFLICT_PAUSE.mul_f64(rand::random())).await;
        }
        false
    }

    /// Reads what isn't known, and writes what changes in one transaction.
    async fn attempt(&mut self, goal: Goal, most: usize) -> Result<Commit, TableError> {
        let gateway = Arc::clone(&self.gateway);
        let prepaid = prepaid(&gateway);
        if prepaid.is_empty() {
            return Ok(Commit::Done(None));
        }
        if goal == Goal::Serve && self.own.is_some() && is_idle(&gateway, &prepaid) {
            return Ok(Commit::Done(None));
        }
        let mut view = self.read_own().await?;
        let stale = self
            .accounts_read
            .is_none_or(|read| read.elapsed() >= ACCOUNTS_AGE);
        let draws = |view: &View| {
            let held = &view.holder.licenses;
            plan(&gateway, view, &prepaid, goal, most)
                .iter()
                .any(|(team, license)| held.get(team).map(|l| l.granted) != Some(license.granted))
        };
        if view.closing || stale || draws(&view) {
            view.accounts = Some(read_accounts(&*gateway.table).await?);
            self.accounts_read = Some(Instant::now());
        }
        let mut changed = IndexMap::new();
        if view.closing {
            // The former process was dead when this one started, however late the store is read.
            let clock = gateway.table.clock().unwrap_or_default();
            let started = clock.saturating_sub(gateway.now());
            changed = close_former(&mut view, started);
            view.holder.incarnation = gateway.incarnation;
        }
        reconcile(&gateway, &view, &prepaid);
        let licenses = plan(&gateway, &view, &prepaid, goal, most);
        if licenses.is_empty() && !view.closing {
            clear_unmet(&gateway);
            self.own = Some((view.row, view.holder));
            return Ok(Commit::Done(None));
        }
        apply(&mut view, &licenses, &mut changed);
        self.write(view, &changed, &prepaid).await
    }

    async fn read_own(&self) -> Result<View, TableError> {
        let (gateway, accounts) = (&self.gateway, None);
        if let Some((row, holder)) = self.own.clone() {
            return Ok(View {
                row,
                holder,
                accounts,
                closing: false,
            });
        }
        let key = format!("{HOLDERS}{}", gateway.settings.vm);
        let rows = gateway.table.read(std::slice::from_ref(&key)).await?;
        let row = rows.into_iter().next().unwrap_or_else(|| Row::absent(key));
        let holder: Option<Holder> = row.decode()?;
        let closing = holder
            .as_ref()
            .is_some_and(|holder| holder.incarnation != gateway.incarnation);
        let holder = holder.unwrap_or_else(|| Holder {
            incarnation: gateway.incarnation,
            since: Duration::ZERO,
            licenses: IndexMap::new(),
        });
        Ok(View {
            row,
            holder,
            accounts,
            closing,
        })
    }

    async fn write(
        &mut self,
        mut view: View,
        changed: &IndexMap<TeamId, ()>,
        prepaid: &IndexMap<TeamId, Tokens>,
    ) -> Result<Commit, TableError> {
        let gateway = &self.gateway;
        // Accrual starts late, and is counted from a time no later than the store's own.
        let clock = gateway.table.clock().unwrap_or_default();
        view.holder.since = clock + escrow::rate_delay(writers(gateway));
        let mut transaction = Transaction::default();
        transaction.replace(&view.row, &view.holder);
        for team in changed.keys() {
            if let Some((row, account)) = view.accounts.as_ref().and_then(|a| a.get(team)) {
                transaction.replace(row, account);
            }
        }
        propose(gateway, &view);
        let commit = gateway.table.transact(&transaction).await?;
        if let Commit::Done(version) = commit {
            accept(gateway, &view, prepaid);
            clear_unmet(gateway);
            self.own = version.map(|version| {
                (
                    Row {
                        version,
                        ..view.row
                    },
                    view.holder,
                )
            });
        }
        Ok(commit)
    }
}

/// Returns how many routers hold licenses, about: as many as there are homes.
fn writers(gateway: &Gateway) -> usize {
    let catalog = gateway.catalog();
    let teams = catalog.and_then(|catalog| catalog.manifest().teams.as_ref().map(Vec::len));
    gateway.routers().min(teams.unwrap_or(usize::MAX)).max(1)
}

/// Returns whether this router needs nothing of the store and has nothing to give back.
fn is_idle(gateway: &Gateway, prepaid: &IndexMap<TeamId, Tokens>) -> bool {
    let peers = gateway.peers.lock();
    let mut escrow = gateway.escrow.lock();
    let mut teams = prepaid.keys();
    teams.all(|team| escrow.balance(team).is_idle(peers.role(team)))
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

async fn read_accounts(table: &dyn Table) -> Result<Accounts, TableError> {
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
    Ok(accounts)
}

/// Gives back what the process before this one can't have spent; returns the changed accounts.
///
/// A VM runs one process of the role at a time, so the former one was dead when this one `started`,
/// by the store's clock.
fn close_former(view: &mut View, started: Duration) -> IndexMap<TeamId, ()> {
    let elapsed = started.saturating_sub(view.holder.since);
    let mut changed = IndexMap::new();
    for (team, license) in std::mem::take(&mut view.holder.licenses) {
        let unspent = license.granted.saturating_sub(license.bound(elapsed));
        let account = view.accounts.as_mut().and_then(|a| a.get_mut(&team));
        let Some((_, account)) = account else {
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
        if let Some(accounts) = &view.accounts {
            let granted = accounts.get(team).map(|(_, account)| account.granted);
            balance.learn(Known {
                granted: granted.unwrap_or_default(),
                prepaid: *prepaid,
                at,
            });
        }
    }
}

/// Plans the licenses; returns all of them where one has to change, since they stand in one row
/// with one start, and none where all can stay.
fn plan(
    gateway: &Gateway,
    view: &View,
    prepaid: &IndexMap<TeamId, Tokens>,
    goal: Goal,
    most: usize,
) -> IndexMap<TeamId, License> {
    let writers = writers(gateway);
    let clock = gateway.table.clock().unwrap_or_default();
    let mut planned = IndexMap::new();
    let mut settled = true;
    let mut moves = Vec::new();
    let peers = gateway.peers.lock();
    let mut escrow = gateway.escrow.lock();
    for (team, prepaid) in prepaid {
        let balance = escrow.balance(team);
        let held = view.holder.licenses.get(team).copied().unwrap_or_default();
        let read = view.accounts.as_ref();
        let granted = match read {
            Some(accounts) => accounts.get(team).map(|(_, account)| account.granted),
            None => balance.known().map(|known| known.granted),
        };
        let account = Account {
            granted: granted.unwrap_or_default(),
        };
        let prepaid = match goal {
            Goal::Serve => *prepaid,
            Goal::Stop => Tokens::ZERO,
        };
        let license = balance.plan(&account, prepaid, peers.role(team), writers);
        if license.granted != held.granted {
            moves.push((balance.urgency(&license), team.clone(), held.granted));
        }
        settled &= balance.is_settled(&license, clock);
        planned.insert(team.clone(), license);
    }
    moves.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (_, team, granted) in moves.into_iter().skip(most) {
        planned[&team].granted = granted;
    }
    if settled { IndexMap::new() } else { planned }
}

/// Writes licenses into the view, and what they change into the accounts.
fn apply(
    view: &mut View,
    licenses: &IndexMap<TeamId, License>,
    changed: &mut IndexMap<TeamId, ()>,
) {
    for (team, license) in licenses {
        let held = view.holder.licenses.get(team).copied().unwrap_or_default();
        let mut license = *license;
        if license.granted != held.granted {
            match &mut view.accounts {
                Some(accounts) => {
                    move_tokens(accounts, team, held, license);
                    changed.insert(team.clone(), ());
                }
                // An account that wasn't read can't change; the next round reads it.
                None => license.granted = held.granted,
            }
        }
        view.holder.licenses.insert(team.clone(), license);
    }
}

fn move_tokens(accounts: &mut Accounts, team: &TeamId, held: License, license: License) {
    let entry = accounts.entry(team.clone()).or_insert_with(|| {
        let row = Row::absent(format!("{ACCOUNTS}{team}"));
        (row, Account::default())
    });
    let account = &mut entry.1;
    account.granted = account
        .granted
        .saturating_add(license.granted)
        .saturating_sub(held.granted);
    tracing::info!(
        team = team.as_str(),
        held = held.granted.get(),
        granted = license.granted.get(),
        all = account.granted.get(),
        "license changes"
    );
}

fn propose(gateway: &Gateway, view: &View) {
    let mut escrow = gateway.escrow.lock();
    for (team, license) in &view.holder.licenses {
        let balance = escrow.balance(team);
        balance.propose(view.row.version, *license, view.holder.since);
    }
}

/// Forgets what other routers asked for in vain before the round; they ask again.
fn clear_unmet(gateway: &Gateway) {
    let mut escrow = gateway.escrow.lock();
    escrow
        .iter_mut()
        .for_each(|(_, balance)| balance.clear_unmet());
}

/// Takes over what was just written.
fn accept(gateway: &Gateway, view: &View, prepaid: &IndexMap<TeamId, Tokens>) {
    let at = gateway.now();
    let mut escrow = gateway.escrow.lock();
    for (team, license) in &view.holder.licenses {
        let balance = escrow.balance(team);
        balance.accept(*license, view.holder.since);
        let read = view
            .accounts
            .as_ref()
            .and_then(|accounts| accounts.get(team));
        if let (Some((_, account)), Some(prepaid)) = (read, prepaid.get(team)) {
            balance.learn(Known {
                granted: account.granted,
                prepaid: *prepaid,
                at,
            });
        }
    }
}
