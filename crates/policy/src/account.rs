//! The rows in which the table service keeps budgets, and the changes that they allow.
//!
//! A budget's row holds what no router has drawn. Each router incarnation owns one row with a line
//! for each budget that it draws on. Every change below keeps, for each budget,
//!
//! ```text
//! credited = free + settled + Σ lines (drawn − returned)
//! ```
//!
//! and `billed ≤ drawn − returned` on each line, so that spend can't exceed what was credited.
//! The reasons are in [docs/design/budgets.md](../../../docs/design/budgets.md).

use fescue_core::quantity::MAX_BUDGET;
use fescue_core::{BudgetId, ChangeId, DataCentreId, Incarnation, Tokens, VmId, record};
use indexmap::IndexMap;

/// A change that a row doesn't allow; the row is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AccountError {
    /// A credit of nothing.
    #[error("a top-up needs at least one token")]
    ZeroAmount,
    /// A credit over the largest budget.
    #[error("the budget would exceed {MAX_BUDGET} tokens")]
    OverMaximum,
    /// A row is closed, and only bills and returns may reach it.
    #[error("the allowances of {0} are closed")]
    Closed(Incarnation),
    /// More is billed or returned than the line has left.
    #[error("the line has {left} tokens left, not {asked}")]
    Insufficient {
        /// What is left.
        left: Tokens,
        /// What was asked.
        asked: Tokens,
    },
    /// Not every router has said that it holds nothing of these allowances.
    #[error("{0} hasn't acknowledged the closing")]
    Unacknowledged(VmId),
    /// The row is still open.
    #[error("the allowances of {0} are still open")]
    Open(VmId),
}

record! {
    /// What the table knows of one budget.
    #[derive(Default)]
    pub struct BudgetRow {
        /// All that was ever credited.
        pub credited: Tokens,
        /// What no router has drawn.
        pub free: Tokens,
        /// What was billed on lines that are folded away.
        pub settled: Tokens,
    }

    /// One credit, stored under its change id so that it happens once.
    pub struct TopUpRow {
        /// The budget.
        pub budget: BudgetId,
        /// How much.
        pub amount: Tokens,
        /// Who asked for it.
        pub author: String,
    }

    /// What one incarnation has drawn from one budget.
    #[derive(Default)]
    pub struct Line {
        /// All that it drew.
        pub drawn: Tokens,
        /// All that it gave back unspent.
        pub returned: Tokens,
        /// All that bills have charged.
        pub billed: Tokens,
    }

    /// The last exchange with the table, kept so that its answer can be found after it was lost.
    #[derive(Default)]
    pub struct ExchangeRecord {
        /// Counts the exchanges of this incarnation.
        pub number: u64,
        /// What that exchange drew of each budget.
        pub drawn: IndexMap<BudgetId, Tokens>,
    }

    /// All allowances of one incarnation.
    pub struct AllowanceRow {
        /// The VM that the incarnation runs on.
        pub vm: VmId,
        /// Its data centre.
        pub data_centre: DataCentreId,
        /// Set once the incarnation counts as gone; it can draw no more.
        pub closed: Option<Closing>,
        /// The peers that note its blocks, see [`crate::witness`].
        pub witnesses: Vec<Incarnation>,
        /// Counts how often witnesses were named.
        pub epoch: u64,
        /// Its last exchange.
        pub exchange: ExchangeRecord,
        /// What it drew, by budget.
        pub lines: IndexMap<BudgetId, Line>,
        /// The closed incarnations of which it holds nothing and will take nothing.
        pub acknowledged: Vec<Incarnation>,
    }

    /// How the allowances of an incarnation were closed.
    pub struct Closing {
        /// Who closed them and why.
        pub by: ChangeId,
        /// What the witnesses had noted, where enough of them answered.
        pub noted: Option<crate::witness::Notes>,
    }
}

impl BudgetRow {
    /// Credits a top-up.
    ///
    /// # Errors
    ///
    /// For nothing, and for more than a budget may hold.
    pub fn top_up(&mut self, amount: Tokens) -> Result<(), AccountError> {
        if amount.is_zero() {
            return Err(AccountError::ZeroAmount);
        }
        let credited = self.credited.checked_add(amount);
        let credited = credited.filter(|sum| *sum <= MAX_BUDGET);
        self.credited = credited.ok_or(AccountError::OverMaximum)?;
        self.free = self.free.saturating_add(amount);
        Ok(())
    }

    /// Moves up to `want` tokens to a line and returns how many.
    pub fn draw(&mut self, line: &mut Line, want: Tokens) -> Tokens {
        let amount = want.min(self.free);
        self.free = self.free.saturating_sub(amount);
        line.drawn = line.drawn.saturating_add(amount);
        amount
    }

    /// Takes unspent tokens back from a line.
    ///
    /// # Errors
    ///
    /// When the line has less left than that.
    pub fn take_back(&mut self, line: &mut Line, amount: Tokens) -> Result<(), AccountError> {
        line.check(amount)?;
        line.returned = line.returned.saturating_add(amount);
        self.free = self.free.saturating_add(amount);
        Ok(())
    }

    /// Folds a line with nothing left into the row; returns whether it could.
    pub fn fold(&mut self, line: &Line) -> bool {
        let done = line.outstanding().is_zero();
        if done {
            self.settled = self.settled.saturating_add(line.billed);
        }
        done
    }
}

impl Line {
    /// Returns what was drawn and neither given back nor billed.
    pub fn outstanding(&self) -> Tokens {
        let kept = self.drawn.saturating_sub(self.returned);
        kept.saturating_sub(self.billed)
    }

    /// Charges a bill.
    ///
    /// # Errors
    ///
    /// When the line has less left than that.
    pub fn bill(&mut self, amount: Tokens) -> Result<(), AccountError> {
        self.check(amount)?;
        self.billed = self.billed.saturating_add(amount);
        Ok(())
    }

    fn check(&self, asked: Tokens) -> Result<(), AccountError> {
        let left = self.outstanding();
        if asked > left {
            return Err(AccountError::Insufficient { left, asked });
        }
        Ok(())
    }
}

impl AllowanceRow {
    /// Opens the row of a new incarnation.
    pub fn open(vm: VmId, data_centre: DataCentreId) -> Self {
        Self {
            vm,
            data_centre,
            closed: None,
            witnesses: Vec::new(),
            epoch: 0,
            exchange: ExchangeRecord::default(),
            lines: IndexMap::new(),
            acknowledged: Vec::new(),
        }
    }

    /// Returns the line of a budget, made empty where there is none.
    pub fn line(&mut self, budget: &BudgetId) -> &mut Line {
        self.lines.entry(budget.clone()).or_default()
    }

    /// Returns what is outstanding on all lines.
    pub fn outstanding(&self) -> Tokens {
        self.lines.values().map(Line::outstanding).sum()
    }

    /// Draws for several budgets at once, as exchange `number`.
    ///
    /// A number that the row already has is not drawn again: what it took then is returned.
    ///
    /// # Errors
    ///
    /// When the row is closed.
    pub fn draw(
        &mut self,
        owner: Incarnation,
        number: u64,
        wants: &IndexMap<BudgetId, Tokens>,
        budgets: &mut IndexMap<BudgetId, BudgetRow>,
    ) -> Result<IndexMap<BudgetId, Tokens>, AccountError> {
        if self.has_exchanged(number) {
            return Ok(self.exchange.drawn.clone());
        }
        if self.closed.is_some() && !wants.is_empty() {
            return Err(AccountError::Closed(owner));
        }
        let mut drawn = IndexMap::new();
        for (id, want) in wants {
            let Some(budget) = budgets.get_mut(id) else {
                continue;
            };
            let amount = budget.draw(self.line(id), *want);
            drawn.insert(id.clone(), amount);
        }
        self.exchange = ExchangeRecord { number, drawn };
        Ok(self.exchange.drawn.clone())
    }

    /// Returns whether exchange `number` took effect.
    pub fn has_exchanged(&self, number: u64) -> bool {
        self.exchange.number >= number
    }

    /// Closes the row, and gives back what the witnesses prove unspent.
    ///
    /// Closing twice changes nothing. Without the witnesses' word all of it stays held back.
    pub fn close(
        &mut self,
        owner: Incarnation,
        closing: Closing,
        budgets: &mut IndexMap<BudgetId, BudgetRow>,
    ) -> IndexMap<BudgetId, Tokens> {
        if self.closed.is_some() {
            return IndexMap::new();
        }
        let mut refunds = IndexMap::new();
        for (id, line) in &mut self.lines {
            let Some(notes) = &closing.noted else { break };
            let noted = notes.get(id, owner);
            let kept = line.drawn.saturating_sub(line.returned);
            let refund = kept.saturating_sub(noted).min(line.outstanding());
            let Some(budget) = budgets.get_mut(id) else {
                continue;
            };
            if !refund.is_zero() && budget.take_back(line, refund).is_ok() {
                refunds.insert(id.clone(), refund);
            }
        }
        self.closed = Some(closing);
        refunds
    }

    /// Gives back what a closed row holds of one budget, on an operator's word that no process
    /// of that incarnation can run any more.
    ///
    /// # Errors
    ///
    /// When the row is open, or an open row of `others` hasn't said that it holds none of it.
    pub fn release(
        &mut self,
        owner: Incarnation,
        id: &BudgetId,
        budget: &mut BudgetRow,
        others: &[AllowanceRow],
    ) -> Result<Tokens, AccountError> {
        if self.closed.is_none() {
            return Err(AccountError::Open(self.vm.clone()));
        }
        let waits =
            |row: &&AllowanceRow| row.closed.is_none() && !row.acknowledged.contains(&owner);
        if let Some(row) = others.iter().find(waits) {
            return Err(AccountError::Unacknowledged(row.vm.clone()));
        }
        let line = self.line(id);
        let amount = line.outstanding();
        budget.take_back(line, amount)?;
        Ok(amount)
    }

    /// Folds the lines of a closed row that have nothing left; returns whether the row is empty.
    pub fn fold(&mut self, budgets: &mut IndexMap<BudgetId, BudgetRow>) -> bool {
        self.lines.retain(|id, line| {
            let budget = budgets.get_mut(id);
            !budget.is_some_and(|budget| budget.fold(line))
        });
        self.lines.is_empty()
    }
}
