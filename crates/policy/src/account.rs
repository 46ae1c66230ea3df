//! The rows that hold budgets in the table service, and the changes that they allow.
//!
//! A budget's row holds the tokens that no router has drawn. Each router incarnation owns one row,
//! with a line for each budget that it draws on. Every change below preserves, for each budget,
//!
//! ```text
//! credited = free + settled + Σ lines (drawn − returned)
//! ```
//!
//! and `billed ≤ drawn − returned` on each line, so that spending can't exceed what was
//! credited. The reasons are in [docs/design/budgets.md](../../../docs/design/budgets.md).

use fescue_core::quantity::MAX_BUDGET;
use fescue_core::{BudgetId, ChangeId, DataCentreId, Era, Incarnation, Tokens, VmId, record};
use indexmap::IndexMap;

/// The error for a change that a row doesn't allow; the row is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AccountError {
    /// A top-up of zero tokens.
    #[error("a top-up needs at least one token")]
    ZeroAmount,
    /// A top-up that would take the budget above [`MAX_BUDGET`].
    #[error("the budget would exceed {MAX_BUDGET} tokens")]
    OverMaximum,
    /// The row of this incarnation is closed: it accepts only bills and returns.
    #[error("the allowances of {0} are closed")]
    Closed(Incarnation),
    /// A bill or return of more tokens than are outstanding on the line.
    #[error("the line has {left} tokens left, not {asked}")]
    Insufficient {
        /// The tokens outstanding on the line.
        left: Tokens,
        /// The tokens to be billed or returned.
        asked: Tokens,
    },
    /// The router on this VM hasn't confirmed that it holds no tokens of the closed row.
    #[error("{0} hasn't acknowledged the closing")]
    Unacknowledged(VmId),
    /// The row of this VM must be closed first.
    #[error("the allowances of {0} are still open")]
    Open(VmId),
}

record! {
    /// The row of one budget.
    #[derive(Default)]
    pub struct BudgetRow {
        /// The sum of all top-ups.
        pub credited: Tokens,
        /// The tokens that no router has drawn.
        pub free: Tokens,
        /// The tokens billed on lines that have been folded into this row.
        pub settled: Tokens,
    }

    /// A top-up, stored under its change id so that it is applied once.
    pub struct TopUpRow {
        /// The budget that was credited.
        pub budget: BudgetId,
        /// The tokens credited.
        pub amount: Tokens,
        /// The operator who requested it.
        pub author: String,
    }

    /// The totals of one incarnation for one budget.
    #[derive(Default)]
    pub struct Line {
        /// All tokens that it drew.
        pub drawn: Tokens,
        /// All tokens that it returned unspent.
        pub returned: Tokens,
        /// All tokens that bills have charged.
        pub billed: Tokens,
    }

    /// The last exchange with the table, stored so that a lost answer can be read again.
    #[derive(Default)]
    pub struct ExchangeRecord {
        /// The sequence number of the exchange within this incarnation.
        pub number: u64,
        /// The tokens that the exchange drew, by budget.
        pub drawn: IndexMap<BudgetId, Tokens>,
    }

    /// All allowances of one incarnation.
    pub struct AllowanceRow {
        /// The VM that the incarnation runs on.
        pub vm: VmId,
        /// The data centre of the VM.
        pub data_centre: DataCentreId,
        /// Set once the incarnation is considered dead; it can't draw any more.
        pub closed: Option<Closing>,
        /// The peers that record its blocks, see [`crate::witness`].
        pub witnesses: Vec<Incarnation>,
        /// The number of times that witnesses were named.
        pub epoch: u64,
        /// The last exchange of the incarnation.
        pub exchange: ExchangeRecord,
        /// The totals by budget.
        pub lines: IndexMap<BudgetId, Line>,
        /// The closed incarnations of whose tokens it holds none and will accept none.
        pub acknowledged: Vec<Incarnation>,
        /// The era of the table in which the owner last compared the row with what it remembers; it
        /// draws nothing in another one.
        #[serde(default)]
        pub settled: Option<Era>,
    }

    /// How the allowances of an incarnation were closed.
    pub struct Closing {
        /// The change that closed them.
        pub by: ChangeId,
        /// The totals that the witnesses had recorded; `None` if too few of them answered.
        pub noted: Option<crate::witness::Notes>,
    }
}

impl BudgetRow {
    /// Credits a top-up.
    ///
    /// # Errors
    ///
    /// Returns an error if `amount` is zero or takes the budget above [`MAX_BUDGET`].
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

    /// Moves up to `want` free tokens to a line; returns how many.
    pub fn draw(&mut self, line: &mut Line, want: Tokens) -> Tokens {
        let amount = want.min(self.free);
        self.free = self.free.saturating_sub(amount);
        line.drawn = line.drawn.saturating_add(amount);
        amount
    }

    /// Moves unspent tokens from a line back to the budget.
    ///
    /// # Errors
    ///
    /// Returns an error if fewer tokens are outstanding on the line.
    pub fn take_back(&mut self, line: &mut Line, amount: Tokens) -> Result<(), AccountError> {
        line.check(amount)?;
        line.returned = line.returned.saturating_add(amount);
        self.free = self.free.saturating_add(amount);
        Ok(())
    }

    /// Moves tokens of a return that the table lost back to the budget.
    ///
    /// If the line has fewer outstanding, the table lost their draw as well, and both cancel out.
    pub fn take_back_again(&mut self, line: &mut Line, amount: Tokens) {
        let known = amount.min(line.outstanding());
        line.drawn = line.drawn.saturating_add(amount.saturating_sub(known));
        line.returned = line.returned.saturating_add(amount);
        self.free = self.free.saturating_add(known);
    }

    /// Adds the billed total of a line with nothing outstanding to `settled`, so that the line can be
    /// deleted; returns false if tokens are outstanding.
    pub fn fold(&mut self, line: &Line) -> bool {
        let done = line.outstanding().is_zero();
        if done {
            self.settled = self.settled.saturating_add(line.billed);
        }
        done
    }
}

impl Line {
    /// Returns the tokens that were drawn and neither returned nor billed.
    pub fn outstanding(&self) -> Tokens {
        let kept = self.drawn.saturating_sub(self.returned);
        kept.saturating_sub(self.billed)
    }

    /// Charges a bill to the line.
    ///
    /// # Errors
    ///
    /// Returns an error if fewer tokens are outstanding on the line.
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
    /// Creates the row of a new incarnation, without lines and witnesses.
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
            settled: None,
        }
    }

    /// Returns the line of a budget, inserting an empty one if there is none.
    pub fn line(&mut self, budget: &BudgetId) -> &mut Line {
        self.lines.entry(budget.clone()).or_default()
    }

    /// Returns the tokens outstanding on all lines.
    pub fn outstanding(&self) -> Tokens {
        self.lines.values().map(Line::outstanding).sum()
    }

    /// Draws on several budgets at once, as exchange `number`; returns the tokens drawn from each.
    ///
    /// An exchange that has already taken effect is not applied again; its stored result is returned.
    ///
    /// # Errors
    ///
    /// Returns an error if the row is closed and `wants` isn't empty.
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

    /// Draws what the lines lack to the totals drawn; returns by how much the free tokens fell short.
    pub fn redraw(
        &mut self,
        totals: &IndexMap<BudgetId, Tokens>,
        budgets: &mut IndexMap<BudgetId, BudgetRow>,
    ) -> IndexMap<BudgetId, Tokens> {
        let mut short = IndexMap::new();
        for (id, total) in totals {
            let lost = total.saturating_sub(self.lines.get(id).map_or(Tokens::ZERO, |l| l.drawn));
            let budget = budgets.get_mut(id).filter(|_| !lost.is_zero());
            let drawn = budget.map_or(Tokens::ZERO, |budget| budget.draw(self.line(id), lost));
            if drawn < lost {
                short.insert(id.clone(), lost.saturating_sub(drawn));
            }
        }
        short
    }

    /// Returns whether exchange `number` has taken effect.
    pub fn has_exchanged(&self, number: u64) -> bool {
        self.exchange.number >= number
    }

    /// Closes the row and refunds the tokens that the witnesses' reports prove unspent; returns the
    /// refunds by budget.
    ///
    /// Closing a closed row changes nothing. Without proof from the witnesses nothing is refunded.
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

    /// Refunds all tokens that a closed row holds of one budget; returns how many.
    ///
    /// An operator must have confirmed that no process of that incarnation can still be running.
    ///
    /// # Errors
    ///
    /// Returns an error if the row is open, or if an open row of `others` hasn't acknowledged that it
    /// holds none of the tokens.
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
        let unacknowledged =
            |row: &&AllowanceRow| row.closed.is_none() && !row.acknowledged.contains(&owner);
        if let Some(row) = others.iter().find(unacknowledged) {
            return Err(AccountError::Unacknowledged(row.vm.clone()));
        }
        let line = self.line(id);
        let amount = line.outstanding();
        budget.take_back(line, amount)?;
        Ok(amount)
    }

    /// Folds the lines of a closed row that have nothing outstanding into their budgets; returns
    /// whether no lines are left.
    pub fn fold(&mut self, budgets: &mut IndexMap<BudgetId, BudgetRow>) -> bool {
        self.lines.retain(|id, line| {
            let budget = budgets.get_mut(id);
            !budget.is_some_and(|budget| budget.fold(line))
        });
        self.lines.is_empty()
    }
}
