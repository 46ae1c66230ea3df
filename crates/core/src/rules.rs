//! The rules that operators write: one line a rule, each with a comment naming who asked.
//!
//! A [`Book`] is a whole set of rules in force. It is parsed from a text, checked as a whole, and
//! changed by a [`Delta`], which carries only the lines that differ, since a fleet has tens of
//! thousands of budgets. The grammar is in [docs/operators/rules.md](../../../docs/operators/rules.md).

mod check;
mod delta;
mod fields;
mod line;

pub use delta::Delta;
pub use line::{Budget, Key, Line, PriorityRule, Rule, Service, Setting, Team, Upstream};

use std::collections::HashMap;

use indexmap::IndexMap;

use crate::id::{BudgetId, ModelId, ServiceId, TeamId, UpstreamId};
use crate::quantity::Priority;
use crate::report::{Fault, Report};

/// All rules of one fleet, by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Book {
    /// The lines as written, by what they are about.
    pub lines: IndexMap<Key, Line>,
    /// The teams.
    pub teams: IndexMap<TeamId, Team>,
    /// The budgets.
    pub budgets: IndexMap<BudgetId, Budget>,
    /// The priorities.
    pub priorities: IndexMap<Priority, PriorityRule>,
    /// The upstreams.
    pub upstreams: IndexMap<UpstreamId, Upstream>,
    /// The plain services.
    pub services: IndexMap<ServiceId, Service>,
    /// The fleet's settings, by which deployments differ.
    pub settings: IndexMap<Setting, u64>,
    teams_by_key: HashMap<String, TeamId>,
}

impl Book {
    /// Parses and checks a whole text; `name` is its file, for messages.
    ///
    /// # Errors
    ///
    /// All faults of the text at once, each with its line and column.
    pub fn parse(name: &str, text: &str) -> Result<Self, Box<Report>> {
        let mut lines = IndexMap::new();
        let mut faults = Vec::new();
        let mut places = HashMap::new();
        let mut start = 0;
        for raw in text.split_inclusive('\n') {
            match Line::parse(raw.trim_end_matches(['\n', '\r'])) {
                Ok(None) => {}
                Ok(Some(line)) => {
                    let key = line.rule.key();
                    let twice = places.insert(key.clone(), start).is_some();
                    if twice {
                        faults.push(Fault::new(
                            start,
                            raw.trim_end().len(),
                            format!("{key} has a line already"),
                        ));
                    }
                    lines.insert(key, line);
                }
                Err(fault) => faults.push(fault.shift(start)),
            }
            start += raw.len();
        }
        let book = Self::from_lines(lines);
        for (key, message) in check::faults(&book) {
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
    pub fn with(&self, delta: &Delta) -> Result<Self, Box<Report>> {
        let mut lines = self.lines.clone();
        for key in &delta.removed {
            lines.shift_remove(key);
        }
        let text = delta.lines.join("\n");
        let mut faults = Vec::new();
        for raw in &delta.lines {
            match Line::parse(raw) {
                Ok(Some(line)) => {
                    lines.insert(line.rule.key(), line);
                }
                Ok(None) => {}
                Err(fault) => faults.push(fault),
            }
        }
        let book = Self::from_lines(lines);
        let whole = check::faults(&book).into_iter();
        faults.extend(whole.map(|(_, message)| Fault::new(0, 0, message)));
        book.unless("change", &text, faults)
    }

    /// Finds the team whose key hashes to `digest`, in lower-case hex.
    pub fn team_by_key(&self, digest: &str) -> Option<&Team> {
        self.teams.get(self.teams_by_key.get(digest)?)
    }

    /// Returns the value of a setting, or its default.
    pub fn setting(&self, setting: Setting) -> u64 {
        let set = self.settings.get(&setting).copied();
        set.unwrap_or(setting.default_value())
    }

    /// Returns the upstreams that serve a model, in the order of the rules.
    pub fn serving<'a>(&'a self, model: &'a ModelId) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams
            .values()
            .filter(move |u| u.models.contains(model))
    }

    /// Returns the upstreams of a plain service, in the order of the rules.
    pub fn providing<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Upstream> {
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

    fn from_lines(lines: IndexMap<Key, Line>) -> Self {
        let mut book = Self::default();
        for line in lines.values() {
            book.add(&line.rule);
        }
        book.lines = lines;
        book
    }

    fn add(&mut self, rule: &Rule) {
        match rule.clone() {
            Rule::Team(team) => {
                self.teams_by_key
                    .insert(team.key.clone(), team.name.clone());
                self.teams.insert(team.name.clone(), team);
            }
            Rule::Budget(budget) => {
                self.budgets.insert(budget.name.clone(), budget);
            }
            Rule::Priority(rule) => {
                self.priorities.insert(rule.name, rule);
            }
            Rule::Upstream(upstream) => {
                self.upstreams.insert(upstream.name.clone(), upstream);
            }
            Rule::Service(service) => {
                self.services.insert(service.name.clone(), service);
            }
            Rule::Setting(setting, value) => {
                self.settings.insert(setting, value);
            }
        }
    }
}
