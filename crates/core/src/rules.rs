//! The rules that operators write: one line a rule, each with a comment naming who asked.
//!
//! A [`RuleSet`] is a whole set of rules in force. It is parsed from a text, checked as a whole, and
//! changed by a [`Delta`], which carries only the lines that differ, since a fleet has tens of
//! thousands of budgets. The grammar is in [docs/operators/rules.md](../../../docs/operators/rules.md).

mod check;
mod delta;
mod fields;
mod line;

pub use delta::Delta;
pub use line::{Budget, Key, Line, PriorityRule, Rule, Service, Setting, Team, Upstream};

use std::collections::HashMap;
use std::sync::Arc;

use imbl::{OrdMap, OrdSet};
use indexmap::IndexMap;

use crate::id::{BudgetId, ModelId, ServiceId, TeamId, UpstreamId};
use crate::quantity::Priority;
use crate::report::{Fault, Report};

/// All rules of one fleet, by kind.
///
/// A changed book shares what didn't change with the one that it was made from, since a fleet has
/// tens of thousands of budgets and thousands of changes a day.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleSet {
    /// The lines as written, by what they are about.
    pub lines: OrdMap<Key, Arc<Line>>,
    /// The teams.
    pub teams: Arc<IndexMap<TeamId, Team>>,
    /// The budgets.
    pub budgets: OrdSet<BudgetId>,
    /// The priorities.
    pub priorities: IndexMap<Priority, PriorityRule>,
    /// The upstreams.
    pub upstreams: Arc<IndexMap<UpstreamId, Upstream>>,
    /// The plain services.
    pub services: Arc<IndexMap<ServiceId, Service>>,
    /// The fleet's settings, by which deployments differ.
    pub settings: IndexMap<Setting, u64>,
    teams_by_digest: Arc<HashMap<String, TeamId>>,
}

impl RuleSet {
    /// Parses and checks a whole text; `name` is its file, for messages.
    ///
    /// # Errors
    ///
    /// All faults of the text at once, each with its line and column.
    pub fn parse(name: &str, text: &str) -> Result<Self, Box<Report>> {
        let mut book = Self::default();
        let mut faults = Vec::new();
        let mut places = HashMap::new();
        let mut start = 0;
        for raw in text.split_inclusive('\n') {
            match Line::parse(raw.trim_end_matches(['\n', '\r'])) {
                Ok(None) => {}
                Ok(Some(line)) => {
                    let key = line.rule.key();
                    if places.insert(key.clone(), start).is_some() {
                        let message = format!("{key} has a line already");
                        faults.push(Fault::new(start, raw.trim_end().len(), message));
                    }
                    book.insert(key, line);
                }
                Err(fault) => faults.push(fault.shift(start)),
            }
            start += raw.len();
        }
        for (key, message) in check::all(&book) {
            let at = places.get(&key).copied().unwrap_or(0);
            faults.push(Fault::new(at, key.kind().len(), message));
        }
        book.unless(name, text, faults)
    }

    /// Returns the book with a change applied.
    ///
    /// # Errors
    ///
    /// The faults that the changed book would have; it is refused as a whole.
    pub fn with_delta(&self, delta: &Delta) -> Result<Self, Box<Report>> {
        let mut book = self.clone();
        for key in &delta.removed {
            book.remove(key);
        }
        let text = delta.lines.join("\n");
        let mut faults = Vec::new();
        let mut changed = Vec::new();
        for raw in &delta.lines {
            match Line::parse(raw) {
                Ok(Some(line)) => {
                    let key = line.rule.key();
                    changed.push(key.clone());
                    book.insert(key, line);
                }
                Ok(None) => {}
                Err(fault) => faults.push(fault),
            }
        }
        let found = if delta.removed.is_empty() {
            check::some(&book, &changed)
        } else {
            // What goes may be named by any other rule.
            check::all(&book)
        };
        let found = found.into_iter();
        faults.extend(found.map(|(key, message)| Fault::new(0, 0, format!("{key}: {message}"))));
        book.unless("change", &text, faults)
    }

    /// Finds the team whose key hashes to `digest`, in lower-case hex.
    pub fn team_by_digest(&self, digest: &str) -> Option<&Team> {
        self.teams.get(self.teams_by_digest.get(digest)?)
    }

    /// Returns the value of a setting, or its default.
    pub fn setting(&self, setting: Setting) -> u64 {
        let set = self.settings.get(&setting).copied();
        set.unwrap_or(setting.default_value())
    }

    /// Returns the upstreams that serve a model, in the order of the rules.
    pub fn upstreams_for_model<'a>(
        &'a self,
        model: &'a ModelId,
    ) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams
            .values()
            .filter(move |u| u.models.contains(model))
    }

    /// Returns the upstreams of a plain service, in the order of the rules.
    pub fn upstreams_for_service<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams
            .values()
            .filter(move |u| u.services.contains(service))
    }

    /// Writes the book as a text that parses to the same book.
    pub fn to_text(&self) -> String {
        let lines = self.lines.values().map(|line| format!("{}\n", line.text));
        lines.collect()
    }

    fn unless(self, name: &str, text: &str, faults: Vec<Fault>) -> Result<Self, Box<Report>> {
        if faults.is_empty() {
            return Ok(self);
        }
        Err(Report::new(name, "rules", text, faults))
    }

    fn insert(&mut self, key: Key, line: Line) {
        match line.rule.clone() {
            Rule::Team(team) => {
                self.forget_key(&team.name);
                let by_key = Arc::make_mut(&mut self.teams_by_digest);
                by_key.insert(team.key_digest.clone(), team.name.clone());
                Arc::make_mut(&mut self.teams).insert(team.name.clone(), *team);
            }
            Rule::Budget(budget) => {
                self.budgets.insert(budget.name);
            }
            Rule::Priority(rule) => {
                self.priorities.insert(rule.name, rule);
            }
            Rule::Upstream(upstream) => {
                Arc::make_mut(&mut self.upstreams).insert(upstream.name.clone(), *upstream);
            }
            Rule::Service(service) => {
                Arc::make_mut(&mut self.services).insert(service.name.clone(), service);
            }
            Rule::Setting(setting, value) => {
                self.settings.insert(setting, value);
            }
        }
        self.lines.insert(key, Arc::new(line));
    }

    fn remove(&mut self, key: &Key) {
        let Some(line) = self.lines.remove(key) else {
            return;
        };
        match &line.rule {
            Rule::Team(team) => {
                self.forget_key(&team.name);
                Arc::make_mut(&mut self.teams).shift_remove(&team.name);
            }
            Rule::Budget(budget) => {
                self.budgets.remove(&budget.name);
            }
            Rule::Priority(rule) => {
                self.priorities.shift_remove(&rule.name);
            }
            Rule::Upstream(upstream) => {
                Arc::make_mut(&mut self.upstreams).shift_remove(&upstream.name);
            }
            Rule::Service(service) => {
                Arc::make_mut(&mut self.services).shift_remove(&service.name);
            }
            Rule::Setting(setting, _) => {
                self.settings.shift_remove(setting);
            }
        }
    }

    /// Forgets a team's key, which no longer opens anything once the rule is changed.
    fn forget_key(&mut self, name: &TeamId) {
        let Some(team) = self.teams.get(name) else {
            return;
        };
        let by_key = Arc::make_mut(&mut self.teams_by_digest);
        // Another team may have been given the same key, which is a fault of its own.
        if by_key.get(&team.key_digest) == Some(name) {
            by_key.remove(&team.key_digest);
        }
    }
}
