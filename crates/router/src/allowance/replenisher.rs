//! The controller that keeps the allowances of this router at the size their demand needs.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescue_core::{BudgetId, Era, Incarnation, Tokens};
use fescue_policy::account::AccountError;
use fescue_policy::journal::Journal;
use fescue_policy::ledger::Parts;
use fescue_policy::sizing::{DrawInputs, Policy};
use fescue_store::TableError;
use fescue_store::accounts::{Accounts, Exchange};
use fescue_store::claims::Claims;
use indexmap::IndexMap;
use tokio::sync::{oneshot, watch};

use super::clearing::Clearing;
use super::plan;
use super::transfer::Transfers;
use crate::blackboard::{Board, Need, Verdict};

/// The demand that one block covers, in seconds.
const BLOCK_SECONDS: f64 = 5.0;

/// The minimum size of a block, in tokens.
const MIN_BLOCK: Tokens = Tokens::new(1024);

/// The number of successful exchanges after which the table no longer counts as degraded.
const RECOVERY_EXCHANGES: u32 = 20;

/// Whether the table answered in a round.
#[derive(Clone, Copy, PartialEq, Eq)]
enum TableStatus {
    Answered,
    Unavailable,
}

/// The allowance controller, which draws, transfers, clears and returns tokens in rounds.
pub struct Replenisher {
    pub(super) board: Arc<Board>,
    pub(super) accounts: Accounts,
    pub(super) clearing: Clearing,
    policy: Option<Arc<dyn Policy>>,
    pub(super) claims: Option<Claims>,
    transfers: Transfers,
    /// An exchange whose answer was lost; it is retried before any other.
    pub(super) pending: Option<Exchange>,
    /// The exchanges that took effect, for a table that comes back without them.
    pub(super) journal: Journal,
    /// The last era of the table in which the row was compared with the journal.
    pub(super) settled: Option<Era>,
    /// Whether tokens were spent whose lost draw isn't replaced yet.
    pub(super) owes: bool,
    /// By how much the last exchange fell short of the needs of waiting requests.
    shortfalls: HashMap<BudgetId, Tokens>,
    table: plan::TableState,
    exchanges: u64,
    /// The successful exchanges still needed until the table no longer counts as degraded.
    recovery: u32,
    /// Whether the row is known to be closed and the tokens refunded with it are written off.
    knows_closed: bool,
    done: watch::Sender<u64>,
}

impl Replenisher {
    /// Creates the controller of a router that holds no tokens.
    pub fn new(board: Arc<Board>, accounts: Accounts, clearing: Clearing) -> Self {
        Self {
            board,
            accounts,
            clearing,
            policy: None,
            claims: None,
            transfers: Transfers::default(),
            pending: None,
            journal: Journal::default(),
            settled: None,
            owes: false,
            shortfalls: HashMap::new(),
            table: plan::TableState::default(),
            exchanges: 0,
            recovery: 0,
            knows_closed: false,
            done: watch::Sender::new(0),
        }
    }

    /// Writes `claims` again whenever the table has lost them.
    pub fn with_claims(mut self, claims: Claims) -> Self {
        self.claims = Some(claims);
        self
    }

    /// Sizes allowances by `policy` instead of the rules in force.
    pub fn with_policy(mut self, policy: Arc<dyn Policy>) -> Self {
        self.policy = Some(policy);
        self
    }

    fn policy(&self) -> Arc<dyn Policy> {
        let by_rules = || Arc::new(plan::policy(&self.board));
        self.policy.clone().unwrap_or_else(|| by_rules())
    }

    /// Returns a receiver of the number of the last finished round.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.done.subscribe()
    }

    /// Runs a round at each need and at the configured interval, until `stopped` resolves.
    pub async fn run_until(&mut self, stopped: &mut oneshot::Receiver<()>) {
        loop {
            let pause = tokio::time::sleep(self.board.settings.intervals.allowance);
            tokio::select! {
                () = self.board.need.notified() => {}
                () = pause => {}
                _ = &mut *stopped => return,
            }
            self.run_round().await;
        }
    }

    /// Runs one round: registration, witnesses, table, peers, clearing.
    pub async fn run_round(&mut self) {
        let (round, waiting) = self.board.needs.lock().begin_round();
        self.register().await;
        self.clearing.review().await;
        let status = self.exchange().await;
        let short = match status {
            TableStatus::Answered => std::mem::take(&mut self.shortfalls),
            TableStatus::Unavailable => self.unmet_needs(&waiting),
        };
        let budgets = self.uncleared_budgets();
        self.serve(&budgets, &short, round, status).await;
        self.done.send_replace(round);
    }

    /// Returns all unspent tokens to the table; the result is whether none are left to return.
    pub async fn return_all(&mut self) -> bool {
        if self.board.fence() == 0 {
            return self.board.ledger.lock().holdings().next().is_none();
        }
        if !self.recover().await || self.resolve().await == TableStatus::Unavailable {
            return false;
        }
        let mut request = Exchange::default();
        {
            let mut ledger = self.board.ledger.lock();
            let budgets: Vec<_> = ledger.holdings().map(|(id, _)| id.clone()).collect();
            for budget in budgets {
                let all = plan::unspent(&ledger, &budget);
                let parts = ledger.withdraw(&budget, all);
                if !parts.is_empty() {
                    request.returns.insert(budget, parts);
                }
            }
        }
        if request.is_empty() {
            return true;
        }
        request.number = self.exchanges + 1;
        self.execute(request).await == TableStatus::Answered
    }

    /// Applies a closing and settles a pending exchange before any new one.
    async fn resolve(&mut self) -> TableStatus {
        if !self.accept_closing().await {
            return TableStatus::Unavailable;
        }
        match self.pending.take() {
            Some(request) => self.execute(request).await,
            None => TableStatus::Answered,
        }
    }

    /// Applies the closing of this router's row by peers; returns whether tokens may be returned.
    async fn accept_closing(&mut self) -> bool {
        if !self.board.evicted.load(Ordering::Acquire) || self.knows_closed {
            return true;
        }
        // The closing also refunded what a pending exchange drew, so that exchange is settled first.
        if let Some(request) = self.pending.take() {
            self.execute(request).await;
        }
        if self.pending.is_some() {
            return false;
        }
        let me = self.board.me.incarnation;
        let Ok(row) = self.accounts.allowance(me).await else {
            return false;
        };
        let Some(closing) = row.and_then(|row| row.closed) else {
            return false;
        };
        if closing.noted.is_some() {
            self.board.ledger.lock().write_off_unnoted();
        }
        self.knows_closed = true;
        true
    }

    /// Registers this incarnation in the table unless it is registered already.
    async fn register(&mut self) {
        if self.board.fence() != 0 {
            return;
        }
        // A registered row states that the claims are settled as well.
        if let Err(error) = self.repeat_claims().await {
            self.count_failure(&error);
            return;
        }
        let me = &self.board.me;
        let registered = self
            .accounts
            .register(me.incarnation, &me.vm, &me.data_centre);
        match registered.await {
            Ok(fence) => {
                self.board.fence.store(fence, Ordering::Release);
                tracing::info!(incarnation = %me.incarnation, fence, "incarnation registered in the table");
            }
            Err(error) => self.count_failure(&error),
        }
    }

    /// Settles the pending exchange, then executes the one planned for this round.
    async fn exchange(&mut self) -> TableStatus {
        if self.board.fence() == 0 || !self.recover().await {
            return TableStatus::Unavailable;
        }
        // Until all routers have settled, free tokens may be those of a lost draw.
        if !self.board.is_settled(self.accounts.table().era()) {
            return TableStatus::Unavailable;
        }
        if self.resolve().await == TableStatus::Unavailable {
            return TableStatus::Unavailable;
        }
        self.table.degraded = self.recovery > 0;
        let policy = self.policy();
        let number = self.exchanges + 1;
        let request = plan::exchange(&self.board, policy.as_ref(), &self.table, number);
        if request.is_empty() {
            return TableStatus::Answered;
        }
        self.execute(request).await
    }

    /// Executes an exchange with the table and keeps it for a retry if its answer is lost.
    async fn execute(&mut self, mut request: Exchange) -> TableStatus {
        request.knows_closed = self.knows_closed;
        self.exchanges = request.number;
        let me = self.board.me.incarnation;
        let policy = self.policy();
        match self.accounts.exchange(me, &request, policy.as_ref()).await {
            Ok(exchanged) => {
                self.recovery = self.recovery.saturating_sub(1);
                self.conclude(&request, &exchanged.drawn);
                self.shortfalls = shortfalls(&request, &exchanged.drawn);
                self.table.free.extend(exchanged.free);
                TableStatus::Answered
            }
            Err(TableError::Refused(AccountError::Closed(_))) => {
                self.board.evict();
                self.restore_returns(request);
                TableStatus::Unavailable
            }
            Err(error @ TableError::Lost(_)) => {
                self.count_failure(&error);
                self.pending = Some(request);
                TableStatus::Unavailable
            }
            Err(error) => {
                self.count_failure(&error);
                self.restore_returns(request);
                TableStatus::Unavailable
            }
        }
    }

    pub(super) fn credit(&self, budget: &BudgetId, origin: Incarnation, amount: Tokens) {
        if amount.is_zero() {
            return;
        }
        let parts = Parts::single(origin, amount);
        self.board.ledger.lock().credit(budget, &parts);
        tracing::info!(%budget, tokens = %amount, "tokens drawn");
    }

    /// Credits the returns of an exchange that did not take effect back to the ledger.
    pub(super) fn restore_returns(&self, request: Exchange) {
        let mut ledger = self.board.ledger.lock();
        for (budget, parts) in &request.returns {
            ledger.credit(budget, parts);
        }
    }

    /// Counts a failure of the table; only the first of a series is logged.
    pub(super) fn count_failure(&mut self, error: &TableError) {
        if self.recovery == 0 {
            tracing::warn!(%error, "table did not answer; treating it as degraded");
        }
        self.recovery = RECOVERY_EXCHANGES;
        self.board.metrics.store_failures.inc();
    }

    /// Returns the budgets whose cleared tokens do not cover demand or waiting requests.
    fn uncleared_budgets(&self) -> Vec<BudgetId> {
        let now = self.board.now();
        let mut needs = self.board.needs.lock();
        let ledger = self.board.ledger.lock();
        let mut budgets = Vec::new();
        for (budget, need) in needs.iter_mut() {
            let holding = ledger.holding(budget);
            let cleared = holding.map_or(Tokens::ZERO, |holding| holding.cleared());
            let low = cleared < block_demand(need, now)
                && holding.is_some_and(|holding| !holding.free().is_zero());
            if low || need.waiting() > cleared {
                budgets.push(budget.clone());
            }
        }
        budgets
    }

    /// Returns the tokens that waiting requests lack when the table did not answer.
    fn unmet_needs(&self, waiting: &HashMap<BudgetId, Tokens>) -> HashMap<BudgetId, Tokens> {
        let ledger = self.board.ledger.lock();
        let lacks = |(budget, waiting): (&BudgetId, &Tokens)| {
            let unspent = plan::unspent(&ledger, budget);
            (budget.clone(), waiting.saturating_sub(unspent))
        };
        waiting.iter().map(lacks).collect()
    }

    /// Covers needs from peers, clears tokens, and records a verdict for each unmet need.
    ///
    /// `short` is the shortfall of the table for requests that waited when the round began. Tokens
    /// spent by other requests since then are left to a later round.
    async fn serve(
        &mut self,
        budgets: &[BudgetId],
        short: &HashMap<BudgetId, Tokens>,
        round: u64,
        status: TableStatus,
    ) {
        let mut lacking = HashSet::new();
        for budget in budgets {
            let short = short.get(budget).copied().unwrap_or_default();
            if !short.is_zero() && self.transfers.take(&self.board, budget, short).await < short {
                lacking.insert(budget.clone());
            }
        }
        let wants: Vec<_> = budgets.iter().map(|b| (b.clone(), self.block(b))).collect();
        let noted = self.clearing.clear(&wants).await;
        for budget in budgets {
            let verdict = match status {
                TableStatus::Answered if lacking.contains(budget) => Verdict::Exhausted,
                TableStatus::Unavailable if lacking.contains(budget) => Verdict::Unreachable,
                _ if !noted && self.lacks_clearing(budget) => Verdict::Unwitnessed,
                _ => continue,
            };
            self.board
                .needs
                .lock()
                .record_verdict(budget, round, verdict);
        }
    }

    /// Returns how many tokens of a budget to clear: the need of waiting requests or the demand
    /// that a block covers, whichever is larger.
    fn block(&self, budget: &BudgetId) -> Tokens {
        let mut needs = self.board.needs.lock();
        let need = needs.need(budget);
        let ahead = block_demand(need, self.board.now());
        need.waiting().max(ahead).max(MIN_BLOCK)
    }

    /// Returns whether waiting requests lack cleared tokens while uncleared ones are held.
    fn lacks_clearing(&self, budget: &BudgetId) -> bool {
        let waiting = self.board.needs.lock().need(budget).waiting();
        let ledger = self.board.ledger.lock();
        let holding = ledger.holding(budget);
        holding.is_some_and(|holding| holding.cleared() < waiting && !holding.free().is_zero())
    }
}

/// Returns the demand that one block covers.
fn block_demand(need: &mut Need, now: Duration) -> Tokens {
    Tokens::new((need.demand.rate(now) * BLOCK_SECONDS) as u64)
}

/// Returns by how much an exchange fell short of the needs of waiting requests.
fn shortfalls(request: &Exchange, drawn: &IndexMap<BudgetId, Tokens>) -> HashMap<BudgetId, Tokens> {
    let short = |(budget, inputs): (&BudgetId, &DrawInputs)| {
        let got = drawn.get(budget).copied().unwrap_or_default();
        (budget.clone(), inputs.needed.saturating_sub(got))
    };
    request.draws.iter().map(short).collect()
}
