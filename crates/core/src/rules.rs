//! Rules that operators write, one per line, each with a comment that names who asked for it.
//!
//! A [`RuleSet`] holds all rules of a fleet. It is parsed from a text and checked as a whole. A
//! [`Delta`] changes it and carries only the lines that differ, since a fleet has tens of thousands
//! of budgets. The grammar is described in
//! [docs/operators/rules.md](../../../docs/operators/rules.md).

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

/// All rules of one fleet, indexed by kind.
///
/// A changed set shares its unchanged parts with the set that it was made from, since a fleet has
/// tens of thousands of budgets and thousands of changes a day.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleSet {
    /// The lines as written, by the subject of their rule.
    pub lines: OrdMap<Key, Arc<Line>>,
    /// The teams by name.
    pub teams: Arc<IndexMap<TeamId, Team>>,
    /// The budgets that teams may spend from.
    pub budgets: OrdSet<BudgetId>,
    /// The shares and targets of the priorities that have a rule.
    pub priorities: IndexMap<Priority, PriorityRule>,
    /// The upstreams by name.
    pub upstreams: Arc<IndexMap<UpstreamId, Upstream>>,
    /// The plain services by name.
    pub services: Arc<IndexMap<ServiceId, Service>>,
    /// The values of the fleet-wide settings that a rule sets; the others have their defaults.
    pub settings: IndexMap<Setting, u64>,
    teams_by_digest: Arc<HashMap<String, TeamId>>,
}

impl RuleSet {
    /// Parses and checks the text of a rules file; `name` is the file's name in error messages.
    ///
    /// # Errors
    ///
    /// Fails if a line can't be parsed, or if rules contradict each other or refer to absent ones.
    /// The report lists all faults with their lines and columns.
    pub fn parse(name: &str, text: &str) -> Result<Self, Box<Report>> {
        let mut rules = Self::default();
        let mut faults = Vec::new();
        let mut offsets = HashMap::new();
        let mut start = 0;
        for raw in text.split_inclusive('\n') {
            match Line::parse(raw.trim_end_matches(['\n', '\r'])) {
                Ok(None) => {}
                Ok(Some(line)) => {
                    let key = line.rule.key();
                    if offsets.insert(key.clone(), start).is_some() {
                        let message = format!("{key} has a line already");
                        faults.push(Fault::new(start, raw.trim_end().len(), message));
                    }
                    rules.insert(key, line);
                }
                Err(fault) => faults.push(fault.shift(start)),
            }
            start += raw.len();
        }
        for (key, message) in check::all(&rules) {
            let offset = offsets.get(&key).copied().unwrap_or(0);
            faults.push(Fault::new(offset, key.kind().len(), message));
        }
        rules.or_report(name, text, faults)
    }

    /// Returns the set with a change applied.
    ///
    /// # Errors
    ///
    /// Fails if the changed set would have faults. The change is rejected as a whole, and the report
    /// lists the faults.
    pub fn with_delta(&self, delta: &Delta) -> Result<Self, Box<Report>> {
        let mut rules = self.clone();
        for key in &delta.removed {
            rules.remove(key);
        }
        let text = delta.lines.join("\n");
        let mut faults = Vec::new();
        let mut changed = Vec::new();
        for raw in &delta.lines {
            match Line::parse(raw) {
                Ok(Some(line)) => {
                    let key = line.rule.key();
                    changed.push(key.clone());
                    rules.insert(key, line);
                }
                Ok(None) => {}
                Err(fault) => faults.push(fault),
            }
        }
        let found = if delta.removed.is_empty() {
            check::changed(&rules, &changed)
        } else {
            // Any other rule may refer to a removed one, so all rules are checked.
            check::all(&rules)
        };
        let found = found.into_iter();
        faults.extend(found.map(|(key, message)| Fault::new(0, 0, format!("{key}: {message}"))));
        rules.or_report("change", &text, faults)
    }

    /// Returns the team whose key has the SHA-256 digest `digest`, in lower-case hex.
    pub fn team_by_digest(&self, digest: &str) -> Option<&Team> {
        self.teams.get(self.teams_by_digest.get(digest)?)
    }

    /// Returns the value of a setting, or its default if no rule sets it.
    pub fn setting(&self, setting: Setting) -> u64 {
        let set = self.settings.get(&setting).copied();
        set.unwrap_or(setting.default_value())
    }

    /// Returns the upstreams that serve a model, in the order in which they were added.
    pub fn upstreams_for_model<'a>(
        &'a self,
        model: &'a ModelId,
    ) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams
            .values()
            .filter(move |u| u.models.contains(model))
    }

    /// Returns the upstreams that provide a plain service, in the order in which they were added.
    pub fn upstreams_for_service<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams
            .values()
            .filter(move |u| u.services.contains(service))
    }

    /// Formats the rules as a text that parses to an equal set.
    pub fn to_text(&self) -> String {
        let lines = self.lines.values().map(|line| format!("{}\n", line.text));
        lines.collect()
    }

    /// Returns the set itself if there are no faults, or else a report on `text`.
    fn or_report(self, name: &str, text: &str, faults: Vec<Fault>) -> Result<Self, Box<Report>> {
        if faults.is_empty() {
            return Ok(self);
        }
        Err(Report::new(name, "rules", text, faults))
    }

    fn insert(&mut self, key: Key, line: Line) {
        match line.rule.clone() {
            Rule::Team(team) => {
                self.remove_digest(&team.name);
                let by_digest = Arc::make_mut(&mut self.teams_by_digest);
                by_digest.insert(team.key_digest.clone(), team.name.clone());
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
                self.remove_digest(&team.name);
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

    /// Removes the digest of a team's key, so that the old key is rejected once the rule is changed.
    fn remove_digest(&mut self, name: &TeamId) {
        let Some(team) = self.teams.get(name) else {
            return;
        };
        let by_digest = Arc::make_mut(&mut self.teams_by_digest);
        // If another team was given the same key, which is reported as a fault, the digest is its.
        if by_digest.get(&team.key_digest) == Some(name) {
            by_digest.remove(&team.key_digest);
        }
    }
}
