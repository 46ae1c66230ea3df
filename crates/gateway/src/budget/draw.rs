//! Draws teams' tokens from the store, returns unspent ones and renews this router's licenses.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::{Era, TeamId, Tokens};
use fescue_policy::escrow::settlement::RowCopy;
use fescue_policy::escrow::{self, Holder};
use fescue_store::table::{Commit, Row, TableError, Transaction};
use indexmap::IndexMap;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use super::extension::MAX_EXTENSION;
use super::plan::{accept, apply, plan, propose, reconcile};
use super::rows::{
    Accounts, HOLDER_PREFIX, charge_difference, close_predecessor, read_accounts, write_accounts,
};
use super::settlement::{self, copies_of};
use super::{Budget, State};
use crate::malformed::MalformedRows;

/// Minimum interval between rounds, so that short requests cannot overload the store.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after a failed round.
const FAILURE_BACKOFF: Duration = Duration::from_millis(300);

/// Age after which the accounts are read again.
const ACCOUNTS_MAX_AGE: Duration = Duration::from_secs(1);

/// Attempts per round when transactions conflict with those of other routers.
const MAX_ATTEMPTS: u32 = 4;

/// Maximum number of accounts changed by one transaction. Each account can conflict with another
/// router's write, and one conflict fails the whole transaction.
pub(super) const MAX_ACCOUNTS: usize = 12;

/// Maximum number of accounts changed by a retry after a conflict.
pub(super) const MAX_ACCOUNTS_AFTER_CONFLICT: usize = 2;

/// Upper bound of the random delay before a retry after a conflict.
pub(super) const MAX_CONFLICT_BACKOFF: Duration = Duration::from_millis(20);

/// Time for which a process waits for its witnesses after a return of the store.
const CONFIRMATION_TIME: Duration = Duration::from_millis(400);

/// Interval between rounds of a router that holds no licenses.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the controller until the goal is [`Goal::Stop`] and all unspent tokens are returned.
pub async fn run(budget: Arc<Budget>, mut goal: watch::Receiver<Goal>) {
    let mut controller = Controller::open(Arc::clone(&budget));
    loop {
        let pace = match budget.is_idle() {
            true => IDLE_INTERVAL,
            false => escrow::renewal_interval(writers(&budget)),
        };
        // A request that lacks tokens starts the round early.
        let _woken = timeout(pace, budget.wake.notified()).await;
        let begun = Instant::now();
        let goal = *goal.borrow_and_update();
        let succeeded = controller.round(goal).await;
        if succeeded && goal == Goal::Stop {
            return;
        }
        let pause = match succeeded {
            true => MIN_ROUND_INTERVAL.saturating_sub(begun.elapsed()),
            false => FAILURE_BACKOFF,
        };
        sleep(pause).await;
    }
}

/// The target state of the licenses after a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Goal {
    /// Hold the tokens that requests need.
    Serve,
    /// Hold only the tokens already spent, for a planned shutdown.
    Stop,
}

/// The store rows that a round starts from.
#[derive(Clone, Debug)]
pub(super) struct Snapshot {
    pub row: Row,
    pub holder: Holder,
    /// `None` if the accounts were not read for this round.
    pub accounts: Option<Accounts>,
    /// Whether the row was written by the previous process on this VM.
    from_predecessor: bool,
    /// What the row holds since the store came back from an older copy, if this process knows better.
    pub restored: Option<Holder>,
    /// Whether the store came back from an older copy and this process can't tell what the row should
    /// hold.
    unsettled: bool,
}

/// Draws tokens and renews licenses for one process.
pub struct Controller {
    budget: Arc<Budget>,
    /// This VM's row as last read or written; `None` if it has to be read again.
    own: Option<(Row, Holder)>,
    /// What this VM's row held when it was last read or written, and the era of that. It outlasts errors.
    known: Option<(Option<Era>, Holder)>,
    /// What other routers were told of the row when it was last written.
    copies: Vec<RowCopy>,
    /// The era that the row hasn't been written in yet, and the store's time when that was noticed.
    restoring: Option<(Option<Era>, Duration)>,
    accounts_read: Option<Instant>,
    malformed: MalformedRows,
}

impl Controller {
    /// Creates a controller that reads all rows in its first round.
    pub fn open(budget: Arc<Budget>) -> Self {
        Self {
            budget,
            own: None,
            known: None,
            copies: Vec::new(),
            restoring: None,
            accounts_read: None,
            malformed: MalformedRows::default(),
        }
    }

    /// Returns what other routers were told of this VM's row when it was last written.
    pub fn copies(&self) -> &[RowCopy] {
        &self.copies
    }

    /// Returns whether the store has come back from an older copy since the row was last read or written.
    fn is_outdated(&self) -> bool {
        let known = self.known.as_ref();
        known.is_some_and(|(era, _)| Era::differ(*era, self.budget.table.era()))
    }

    /// Adjusts the licenses to `goal`; returns false if the store failed or every attempt
    /// conflicted.
    pub async fn round(&mut self, goal: Goal) -> bool {
        self.budget.state.lock().round_begun = Some(Instant::now());
        let done = self.try_round(goal).await;
        self.budget.state.lock().round_begun = None;
        done
    }

    async fn try_round(&mut self, goal: Goal) -> bool {
        for tries in 0..MAX_ATTEMPTS {
            let limit = match (tries, goal) {
                (0, _) | (_, Goal::Stop) => MAX_ACCOUNTS,
                _ => MAX_ACCOUNTS_AFTER_CONFLICT,
            };
            let attempt = self.attempt(goal, limit).await;
            let metrics = &self.budget.metrics;
            match attempt {
                Ok(Commit::Done(_)) => {
                    metrics.count_store("draw", true);
                    self.budget.state.lock().failures = 0;
                    self.budget.serve_all();
                    self.budget.rounds.send_modify(|round| *round += 1);
                    return true;
                }
                Ok(Commit::Conflict) => metrics.count_store("draw_conflict", true),
                Err(error) => {
                    metrics.count_store("draw", false);
                    tracing::warn!(%error, "drawing tokens failed; will read the row again");
                    self.budget.state.lock().failures += 1;
                    self.budget.serve_all();
                    self.own = None;
                    return false;
                }
            }
            self.own = None;
            self.accounts_read = None;
            sleep(MAX_CONFLICT_BACKOFF.mul_f64(rand::random())).await;
        }
        false
    }

    /// Reads the missing rows and writes the changes of up to `limit` accounts in one transaction.
    async fn attempt(&mut self, goal: Goal, limit: usize) -> Result<Commit, TableError> {
        let budget = Arc::clone(&self.budget);
        let prepaid = budget.state.lock().prepaid.clone();
        if prepaid.is_empty() {
            return Ok(Commit::Done(None));
        }
        let idle = self.own.is_some() && budget.is_idle();
        if goal == Goal::Serve && idle && !self.is_outdated() {
            return Ok(Commit::Done(None));
        }
        let mut snapshot = self.read_own().await?;
        if snapshot.unsettled {
            tracing::debug!("rows are not settled yet; waiting");
            return Ok(Commit::Done(None));
        }
        if snapshot.restored.is_some() && !self.may_restore(&mut snapshot) {
            tracing::debug!(
                "the witnesses are asked whether the licenses were taken back; waiting"
            );
            return Ok(Commit::Done(None));
        }
        if !snapshot.from_predecessor && snapshot.restored.is_none() {
            self.known = Some((snapshot.row.era, snapshot.holder.clone()));
        }
        let stale = self
            .accounts_read
            .is_none_or(|read| read.elapsed() >= ACCOUNTS_MAX_AGE);
        let draws = |snapshot: &Snapshot| {
            let held = &snapshot.holder.licenses;
            plan(&budget, snapshot, &prepaid, goal, limit)
                .iter()
                .any(|(team, license)| held.get(team).map(|l| l.granted) != Some(license.granted))
        };
        let repair = snapshot.from_predecessor || snapshot.restored.is_some();
        if repair || stale || draws(&snapshot) {
            snapshot.accounts = Some(read_accounts(&*budget.table, &mut self.malformed).await?);
            self.accounts_read = Some(Instant::now());
        }
        let mut changed = IndexMap::new();
        if snapshot.from_predecessor {
            // The previous process had ended when this one started, however late the store is read.
            let clock = budget.table.clock().unwrap_or_default();
            let started = clock.saturating_sub(budget.now());
            changed = close_predecessor(&mut snapshot.holder, snapshot.accounts.as_mut(), started);
            snapshot.holder.incarnation = budget.incarnation;
        }
        if let (Some(copy), Some(accounts)) = (&snapshot.restored, &mut snapshot.accounts) {
            changed = charge_difference(accounts, copy, &snapshot.holder);
        }
        reconcile(&budget, &snapshot, &prepaid);
        let licenses = plan(&budget, &snapshot, &prepaid, goal, limit);
        if licenses.is_empty() && !repair {
            self.own = Some((snapshot.row, snapshot.holder));
            return Ok(Commit::Done(None));
        }
        apply(&mut snapshot, &licenses, &mut changed);
        self.write(snapshot, &changed, &prepaid).await
    }

    /// Prepares the row that this process knows for being written in a new era; returns whether it can be.
    ///
    /// Licenses that weren't renewed in time may have been taken back, and the store has forgotten that. They
    /// were not if the witnesses still confirm them. Otherwise nothing is kept but what could be spent.
    fn may_restore(&mut self, snapshot: &mut Snapshot) -> bool {
        let budget = &self.budget;
        let clock = budget.table.clock().unwrap_or_default();
        let (era, holder) = (snapshot.row.era, &mut snapshot.holder);
        if clock < holder.since {
            return true;
        }
        let noticed = match self.restoring {
            Some((restoring, noticed)) if restoring == era => noticed,
            _ => {
                self.restoring = Some((era, clock));
                clock
            }
        };
        let term = budget.state.lock().escrow.generations.term(holder.since);
        if term.end > noticed + MAX_EXTENSION {
            return true;
        }
        if clock < noticed + CONFIRMATION_TIME {
            budget.ask_witnesses();
            return false;
        }
        tracing::warn!(
            "the witnesses don't confirm the licenses after a return of the store; unspent tokens are given back"
        );
        for license in holder.licenses.values_mut() {
            *license = license.truncate(term.elapsed(clock));
        }
        true
    }

    async fn read_own(&mut self) -> Result<Snapshot, TableError> {
        let budget = &self.budget;
        let snapshot = |row, holder| Snapshot {
            row,
            holder,
            accounts: None,
            from_predecessor: false,
            restored: None,
            unsettled: false,
        };
        if let Some((row, holder)) = self.own.clone() {
            return Ok(snapshot(row, holder));
        }
        let key = format!("{HOLDER_PREFIX}{}", budget.vm);
        let rows = budget.table.read(std::slice::from_ref(&key)).await?;
        let row = rows.into_iter().next().unwrap_or_else(|| Row::absent(key));
        // A malformed row is replaced. The licenses that it held stay granted in the accounts.
        let (decoded, era) = (row.decode::<Holder>(), row.era);
        if let Err(error) = &decoded {
            self.malformed.report(&row, error);
        }
        if let Some((before, known)) = &self.known {
            if Era::differ(*before, era) {
                let copy = decoded.ok().flatten();
                let copy = copy.unwrap_or_else(|| Holder::open(budget.incarnation));
                // A row that never was needs no repair.
                let needed = row.exists() || known.teams().any(|team| !known.total(team).is_zero());
                return Ok(Snapshot {
                    restored: Some(copy).filter(|_| needed),
                    ..snapshot(row, known.clone())
                });
            }
            if decoded.is_err() {
                return Ok(snapshot(row, known.clone()));
            }
        }
        let holder = decoded.ok().flatten();
        // A process that has not seen its row since the return can't tell whether others still restore it.
        let unsettled = self.known.is_none() && !budget.settlement.may_draw(era);
        let holder = holder.unwrap_or_else(|| Holder::open(budget.incarnation));
        let from_predecessor = holder.incarnation != budget.incarnation;
        Ok(Snapshot {
            from_predecessor,
            unsettled,
            ..snapshot(row, holder)
        })
    }

    async fn write(
        &mut self,
        mut snapshot: Snapshot,
        changed: &IndexMap<TeamId, ()>,
        prepaid: &IndexMap<TeamId, Tokens>,
    ) -> Result<Commit, TableError> {
        let budget = &self.budget;
        // Accrual starts after a delay and is counted from a lower bound of the store's clock.
        let clock = budget.table.clock().unwrap_or_default();
        let holder = &mut snapshot.holder;
        let since = clock + escrow::rate_delay(writers(budget));
        // It identifies the generation of the licenses, so it rises with each write.
        holder.since = whole_millis(since).max(holder.since + Duration::from_millis(1));
        holder.witnesses = budget.peers.lock().witnesses();
        holder.era = snapshot.row.era;
        holder.copied = None;
        let mut transaction = Transaction::default();
        transaction.replace(&snapshot.row, &snapshot.holder);
        if let Some(accounts) = &snapshot.accounts {
            write_accounts(&mut transaction, accounts, changed);
        }
        propose(budget, &snapshot);
        let commit = budget.table.transact(&transaction).await?;
        if let Commit::Done(version) = commit {
            accept(budget, &snapshot, prepaid);
            self.known = Some((snapshot.row.era, snapshot.holder.clone()));
            if let (Some(era), Some(version)) = (snapshot.row.era, version) {
                let written = (era, version);
                self.copies = copies_of(&budget.vm, &snapshot.holder, written);
                settlement::publish(budget, &self.copies);
            }
            self.own = version.map(|version| {
                (
                    Row {
                        version,
                        ..snapshot.row
                    },
                    snapshot.holder,
                )
            });
        }
        Ok(commit)
    }
}

/// Rounds a time down to what a row holds of it.
fn whole_millis(time: Duration) -> Duration {
    Duration::from_millis(time.as_millis() as u64)
}

/// Estimates the number of routers that hold licenses, which is the number of homes.
pub(super) fn writers(budget: &Budget) -> usize {
    let teams = budget.state.lock().prepaid.len();
    budget.peers.lock().routers().min(teams).max(1)
}

impl Budget {
    /// Returns whether this router has no tokens to draw from the store or return to it.
    fn is_idle(&self) -> bool {
        let mut state = self.state.lock();
        let mut peers = self.peers.lock();
        let State {
            escrow, prepaid, ..
        } = &mut *state;
        let mut teams = prepaid.keys();
        teams.all(|team| escrow.balance(team).is_idle(peers.role(team)))
    }
}
