//! Measures the memory and operation times of a router's tables, for docs/CAPACITY.md.
//!
//! `footprint KIND SIZE` prints the memory that SIZE entries take and the time of one operation.

use std::time::Instant;

use fescue_core::rules::{Delta, RuleSet};
use fescue_core::{BudgetId, Incarnation, TeamId, Tokens};
use fescue_gateway::metrics::{Metrics, Outcome};
use fescue_policy::bills::{Bill, BillId, Index};
use fescue_policy::ledger::{Ledger, Parts};
use fescue_policy::witness::{NoteStore, Notes};

/// The size of a memory page, the unit of `/proc/self/statm`.
const PAGE_BYTES: u64 = 4096;

/// The number of rule changes over which the time of one is averaged.
const CHANGES: u64 = 1000;

/// The number of budgets of each team at the size that the design targets.
const BUDGETS_PER_TEAM: u64 = 70;

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn budget(number: u64) -> BudgetId {
    let team = number / BUDGETS_PER_TEAM;
    let text = format!("team-{team}/budget-{number}");
    text.parse().expect("a budget's name")
}

fn rules_text(budgets: u64) -> String {
    let mut text = String::new();
    for team in 0..=budgets / BUDGETS_PER_TEAM {
        text.push_str(&format!(
            "team team-{team} key={team:064x} # asked by Awa\n"
        ));
    }
    for number in 0..budgets {
        text.push_str(&format!("budget {} # asked by Awa\n", budget(number)));
    }
    text
}

/// Prints a row: kind, size, bytes per entry and microseconds per operation.
fn report(kind: &str, size: u64, before: u64, operation: &str, micros: f64) {
    let bytes = resident_bytes().saturating_sub(before) / size.max(1);
    println!("{kind:<10} {size:>8}  {bytes:>6} B each  {operation} {micros:.1} us");
}

fn micros(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1e6
}

fn rules(size: u64) {
    let text = rules_text(size);
    let before = resident_bytes();
    let start = Instant::now();
    let book = RuleSet::parse("rules", &text).expect("the rules parse");
    let parsed = micros(start);
    report("rules", size, before, "parse all", parsed);
    let mut book = book;
    let start = Instant::now();
    for change in 0..CHANGES {
        let delta = Delta {
            lines: vec![format!(
                "budget {} # asked by Moussa, {change}",
                budget(change)
            )],
            removed: Vec::new(),
        };
        book = book.with_delta(&delta).expect("the change fits");
    }
    let each = micros(start) / CHANGES as f64;
    println!("{:<10} {size:>8}  one change {each:.1} us", "rules");
}

fn ledger(size: u64) {
    let ids: Vec<_> = (0..size).map(budget).collect();
    let before = resident_bytes();
    let origin = Incarnation::new(1);
    let mut ledger = Ledger::open(origin);
    for id in &ids {
        ledger.credit(id, &Parts::single(origin, Tokens::new(1000)));
        let parts = ledger.start_clearing(id, Tokens::new(500));
        ledger.end_clearing(id, &parts, true);
    }
    let start = Instant::now();
    for id in &ids {
        let reservation = ledger.reserve(id, Tokens::new(100));
        let reservation = reservation.expect("it is covered");
        let charged = ledger.settle(reservation, Tokens::new(50));
        ledger.end_billing(id, &charged, true);
    }
    let each = micros(start) / size as f64;
    report("ledger", size, before, "reserve, settle, bill", each);
}

fn notebook(size: u64) {
    let ids: Vec<_> = (0..size).map(budget).collect();
    let before = resident_bytes();
    let mut notebook = NoteStore::default();
    let owner = Incarnation::new(1);
    let start = Instant::now();
    for id in &ids {
        let mut notes = Notes::default();
        notes.raise(id, owner, Tokens::new(1000));
        notebook.note(owner, 1, &notes, true);
    }
    let each = micros(start) / size as f64;
    report("notebook", size, before, "note a block", each);
}

fn bills(size: u64) {
    let id = budget(7);
    let before = resident_bytes();
    let mut index = Index::default();
    let start = Instant::now();
    for number in 0..size {
        let by = Incarnation::new(1);
        index.insert(&Bill {
            id: BillId { by, number },
            request: format!("request-{number:016x}").parse().expect("an id"),
            budget: id.clone(),
            charges: Parts::single(by, Tokens::new(100)),
            body: number,
        });
    }
    let each = micros(start) / size as f64;
    report("bills", size, before, "index a bill", each);
}

fn teams(size: u64) {
    let name = |number| format!("team-{number}").parse().expect("a team");
    let teams: Vec<TeamId> = (0..size).map(name).collect();
    let metrics = Metrics::default();
    let before = resident_bytes();
    metrics.teams.set_teams(teams.iter());
    let start = Instant::now();
    for team in &teams {
        for outcome in [Outcome::Served, Outcome::Budget, Outcome::Load] {
            metrics.teams.count(Some(team), outcome);
        }
    }
    let each = micros(start) / (3 * size) as f64;
    report("teams", size, before, "count a request", each);
    let start = Instant::now();
    let text = metrics.to_text();
    let took = micros(start);
    println!(
        "{:<10} {size:>8}  {} B of text in {took:.0} us",
        "teams",
        text.len()
    );
}

fn main() {
    let mut args = std::env::args().skip(1);
    let kind = args.next().unwrap_or_default();
    let size = args.next().and_then(|n| n.parse().ok()).unwrap_or(10_000);
    match kind.as_str() {
        "rules" => rules(size),
        "ledger" => ledger(size),
        "notebook" => notebook(size),
        "bills" => bills(size),
        "teams" => teams(size),
        _ => eprintln!("expected rules, ledger, notebook, bills or teams, and a size"),
    }
}
