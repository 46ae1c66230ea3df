//! The rounds of the allowance controller.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescue_core::{BudgetId, Incarnation, Tokens};
use fescue_policy::account::AccountError;
use fescue_policy::ledger::Parts;
use fescue_policy::sizing::{DrawInputs, Policy};
use fescue_store::TableError;
use fescue_store::accounts::{Accounts, Exchange};
use indexmap::IndexMap;
use tokio::sync::{oneshot, watch};

use super::clearing::Clearing;
use super::plan;
use super::transfer::Transfers;
use crate::blackboard::{Board, Need, Verdict};

/// How many seconds of demand one block covers.
const BLOCK_SECONDS: f64 = 5.0;

/// The smallest block, in tokens.
const LEAST_BLOCK: Tokens = Tokens::new(1024);

/// How many rounds without a failure make the store well again.
const WELL_AFTER: u32 = 20;

/// What the table said in a round.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Store {
    Answered,
    Silent,
}

/// The allowance controller.
pub struct Replenisher {
    board: Arc<Board>,
    accounts: Accounts,
    clearing: Clearing,
    policy: Option<Arc<dyn Policy>>,
    transfers: Transfers,
    /// An exchange that may have taken effect; it is asked again before any other.
    pending: Option<Exchange>,
    /// What the last exchange drew less than waiting requests needed.
    short: HashMap<BudgetId, Tokens>,
    known: plan::Known,
    exchanges: u64,
    unwell: u32,
    /// Set once the row is known to be closed and what went back then is written off.
    knows_closed: bool,
    done: watch::Sender<u64>,
}

impl Replenisher {
    /// Opens the controller of a router that holds nothing yet.
    pub fn new(board: Arc<Board>, accounts: Accounts, clearing: Clearing) -> Self {
        Self {
            board,
            accounts,
            clearing,
            policy: None,
            transfers: Transfers::default(),
            pending: None,
            short: HashMap::new(),
            known: plan::Known::default(),
            exchanges: 0,
            unwell: 0,
            knows_closed: false,
            done: watch::Sender::new(0),
        }
    }

    /// Has allowances sized by `policy` instead of the rules in force.
    pub fn with_policy(mut self, policy: Arc<dyn Policy>) -> Self {
        self.policy = Some(policy);
        self
    }

    fn policy(&self) -> Arc<dyn Policy> {
        let by_rules = || Arc::new(plan::policy(&self.board));
        self.policy.clone().unwrap_or_else(|| by_rules())
    }

    /// Returns where the numbers of finished rounds can be followed.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.done.subscribe()
    }

    /// Holds a round whenever there is a need, and at the pace of the settings, until `stopped`.
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

    /// Holds one round.
    pub async fn run_round(&mut self) {
        let (round, waiting) = self.board.needs.lock().begin_round();
        self.register().await;
        self.clearing.review().await;
        let store = self.exchange().await;
        let short = match store {
            Store::Answered => std::mem::take(&mut self.short),
            Store::Silent => self.lacking(&waiting),
        };
        let wanting = self.wanting();
        self.serve(&wanting, &short, round, store).await;
        self.done.send_replace(round);
    }

    /// Gives everything unspent back to the table; returns whether nothing is left to give.
    pub async fn return_all(&mut self) -> bool {
        if self.board.fence() == 0 {
            return self.board.ledger.lock().holdings().next().is_none();
        }
        if self.resolve().await == Store::Silent {
            return false;
        }
        let mut ask = Exchange::default();
        {
            let mut ledger = self.board.ledger.lock();
            let budgets: Vec<_> = ledger.holdings().map(|(id, _)| id.clone()).collect();
            for budget in budgets {
                let all = plan::unspent(&ledger, &budget);
                let parts = ledger.withdraw(&budget, all);
                if !parts.is_empty() {
                    ask.returns.insert(budget, parts);
                }
            }
        }
        if ask.is_empty() {
            return true;
        }
        ask.number = self.exchanges + 1;
        self.ask(ask).await == Store::Answered
    }

    /// Takes over a closing and finds a lost exchange, before anything new is asked.
    async fn resolve(&mut self) -> Store {
        if !self.accept_closing().await {
            return Store::Silent;
        }
        match self.pending.take() {
            Some(ask) => self.ask(ask).await,
            None => Store::Answered,
        }
    }

    /// Takes over how peers closed this router's row; returns whether its tokens may be given back.
    async fn accept_closing(&mut self) -> bool {
        if !self.board.ousted.load(Ordering::Acquire) || self.knows_closed {
            return true;
        }
        // What an earlier exchange drew is part of what the closing gave back, so it is found first.
        if let Some(ask) = self.pending.take() {
            self.ask(ask).await;
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

    /// Opens this incarnation's row, once.
    async fn register(&mut self) {
        if self.board.fence() != 0 {
            return;
        }
        let me = &self.board.me;
        let registered = self
            .accounts
            .register(me.incarnation, &me.vm, &me.data_centre);
        match registered.await {
            Ok(fence) => {
                self.board.fence.store(fence, Ordering::Release);
                tracing::info!(incarnation = %me.incarnation, fence, "registered");
            }
            Err(error) => self.count_failure(&error),
        }
    }

    /// Asks the table what the last round left open, or else what is planned now.
    async fn exchange(&mut self) -> Store {
        if self.board.fence() == 0 || self.resolve().await == Store::Silent {
            return Store::Silent;
        }
        self.known.unwell = self.unwell > 0;
        let policy = self.policy();
        let number = self.exchanges + 1;
        let ask = plan::exchange(&self.board, policy.as_ref(), &self.known, number);
        if ask.is_empty() {
            return Store::Answered;
        }
        self.ask(ask).await
    }

    /// Asks the table for one exchange and keeps it for later if its answer is lost.
    async fn ask(&mut self, mut ask: Exchange) -> Store {
        ask.knows_closed = self.knows_closed;
        self.exchanges = ask.number;
        let me = self.board.me.incarnation;
        let policy = self.policy();
        match self.accounts.exchange(me, &ask, policy.as_ref()).await {
            Ok(exchanged) => {
                self.unwell = self.unwell.saturating_sub(1);
                for (budget, amount) in &exchanged.drawn {
                    self.credit(budget, me, *amount);
                }
                self.short = shortfalls(&ask, &exchanged.drawn);
                self.known.free.extend(exchanged.free);
                Store::Answered
            }
            Err(TableError::Refused(AccountError::Closed(_))) => {
                self.board.oust();
                self.undo(ask);
                Store::Silent
            }
            Err(error @ TableError::Lost(_)) => {
                self.count_failure(&error);
                self.pending = Some(ask);
                Store::Silent
            }
            Err(error) => {
                self.count_failure(&error);
                self.undo(ask);
                Store::Silent
            }
        }
    }

    fn credit(&self, budget: &BudgetId, origin: Incarnation, amount: Tokens) {
        if amount.is_zero() {
            return;
        }
        let parts = Parts::single(origin, amount);
        self.board.ledger.lock().credit(budget, &parts);
        tracing::info!(%budget, tokens = %amount, "tokens drawn");
    }

    /// Takes back what an exchange that did not take effect wanted to give.
    fn undo(&self, ask: Exchange) {
        let mut ledger = self.board.ledger.lock();
        for (budget, parts) in &ask.returns {
            ledger.credit(budget, parts);
        }
    }

    /// Notes a failure of the table; only the first of a row of them is logged.
    fn count_failure(&mut self, error: &TableError) {
        if self.unwell == 0 {
            tracing::warn!(%error, "the table gave no answer");
        }
        self.unwell = WELL_AFTER;
        self.board.metrics.store_failures.inc();
    }

    /// Returns the budgets that need tokens cleared.
    fn wanting(&self) -> Vec<BudgetId> {
        let now = self.board.now();
        let mut needs = self.board.needs.lock();
        let ledger = self.board.ledger.lock();
        let mut wanting = Vec::new();
        for (budget, need) in needs.iter_mut() {
            let purse = ledger.holding(budget);
            let cleared = purse.map_or(Tokens::ZERO, |purse| purse.cleared());
            let low =
                cleared < ahead(need, now) && purse.is_some_and(|purse| !purse.free().is_zero());
            if low || need.waiting() > cleared {
                wanting.push(budget.clone());
            }
        }
        wanting
    }

    /// Returns what waiting requests lack while the table can't be asked.
    fn lacking(&self, waiting: &HashMap<BudgetId, Tokens>) -> HashMap<BudgetId, Tokens> {
        let ledger = self.board.ledger.lock();
        let lacks = |(budget, waiting): (&BudgetId, &Tokens)| {
            let unspent = plan::unspent(&ledger, budget);
            (budget.clone(), waiting.saturating_sub(unspent))
        };
        waiting.iter().map(lacks).collect()
    }

    /// Serves needs from peers and witnesses, and notes what was found for each.
    ///
    /// `short` is what the table lacked for requests that waited when it was asked. What others
    /// spent meanwhile doesn't count: a later round asks for that.
    async fn serve(
        &mut self,
        budgets: &[BudgetId],
        short: &HashMap<BudgetId, Tokens>,
        round: u64,
        store: Store,
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
            let verdict = match store {
                Store::Answered if lacking.contains(budget) => Verdict::Empty,
                Store::Silent if lacking.contains(budget) => Verdict::Unreachable,
                _ if !noted && self.is_stuck(budget) => Verdict::Unwitnessed,
                _ => continue,
            };
            self.board.needs.lock().conclude(budget, round, verdict);
        }
    }

    /// Returns how much of a budget to have noted: what waits, or some seconds of demand.
    fn block(&self, budget: &BudgetId) -> Tokens {
        let mut needs = self.board.needs.lock();
        let need = needs.need(budget);
        let ahead = ahead(need, self.board.now());
        need.waiting().max(ahead).max(LEAST_BLOCK)
    }

    /// Returns whether enough is held, but too little of it is noted.
    fn is_stuck(&self, budget: &BudgetId) -> bool {
        let waiting = self.board.needs.lock().need(budget).waiting();
        let ledger = self.board.ledger.lock();
        let purse = ledger.holding(budget);
        purse.is_some_and(|purse| purse.cleared() < waiting && !purse.free().is_zero())
    }
}

/// Returns the demand that one block covers.
fn ahead(need: &mut Need, now: Duration) -> Tokens {
    Tokens::new((need.demand.rate(now) * BLOCK_SECONDS) as u64)
}

/// Returns what an exchange drew less than waiting requests needed.
fn shortfalls(ask: &Exchange, drawn: &IndexMap<BudgetId, Tokens>) -> HashMap<BudgetId, Tokens> {
    let short = |(budget, outlook): (&BudgetId, &DrawInputs)| {
        let got = drawn.get(budget).copied().unwrap_or_default();
        (budget.clone(), outlook.needed.saturating_sub(got))
    };
    ask.draws.iter().map(short).collect()
}
