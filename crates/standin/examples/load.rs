//! Sends requests at a steady rate, whatever comes back, and prints what became of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use argh::FromArgs;
use fescue_standin::caller::{Caller, Request};
use hdrhistogram::Histogram;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Sends chat completions to routers, open loop and seeded.
#[derive(FromArgs)]
struct Args {
    /// the routers, separated by commas
    #[argh(option)]
    to: String,
    /// the teams' keys, separated by commas, each with `=SHARE` where it isn't 1
    #[argh(option)]
    key: String,
    /// the priorities, separated by commas, each with `=SHARE` where it isn't 1
    #[argh(option, default = "String::from(\"standard\")")]
    priority: String,
    /// the model
    #[argh(option, default = "String::from(\"price\")")]
    model: String,
    /// requests a second
    #[argh(option)]
    rate: f64,
    /// how long to send
    #[argh(option)]
    seconds: f64,
    /// bytes of each prompt
    #[argh(option, default = "64")]
    prompt_bytes: usize,
    /// tokens of each answer
    #[argh(option, default = "16")]
    most: u64,
    /// the seed of the arrivals
    #[argh(option, default = "1")]
    seed: u64,
}

/// The longest time that is told apart, in microseconds.
const MOST_MICROS: u64 = 3_600_000_000;

/// What became of the requests of one team and priority.
struct Row {
    sent: u64,
    served: u64,
    refused: BTreeMap<String, u64>,
    broken: u64,
    whole: Histogram<u64>,
    first: Histogram<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MOST_MICROS, 3).expect("the bounds are allowed")
}

impl Default for Row {
    fn default() -> Self {
        Self {
            sent: 0,
            served: 0,
            refused: BTreeMap::new(),
            broken: 0,
            whole: histogram(),
            first: histogram(),
        }
    }
}

type Rows = Arc<Mutex<BTreeMap<(String, String), Row>>>;

fn shares(text: &str) -> Vec<(String, f64)> {
    let share = |part: &str| match part.rsplit_once('=') {
        Some((name, share)) => (name.to_owned(), share.parse().unwrap_or(1.0)),
        None => (part.to_owned(), 1.0),
    };
    text.split(',').map(share).collect()
}

fn pick<'a>(dice: &mut StdRng, shares: &'a [(String, f64)]) -> &'a str {
    let total: f64 = shares.iter().map(|(_, share)| share).sum();
    let mut at = dice.random_range(0.0..total);
    for (name, share) in shares {
        if at < *share {
            return name;
        }
        at -= share;
    }
    &shares[0].0
}

async fn send(caller: Caller, to: SocketAddr, ask: Request, rows: Rows, key: (String, String)) {
    let start = Instant::now();
    let answer = caller.send_timed(to, &ask).await;
    let took = start.elapsed().as_micros() as u64;
    let mut rows = rows.lock();
    let row = rows.entry(key).or_default();
    match answer {
        Ok((answer, first)) if answer.status == 200 && answer.is_complete() => {
            row.served += 1;
            row.whole.saturating_record(took);
            row.first.saturating_record(first.as_micros() as u64);
        }
        Ok((answer, _)) if answer.status != 200 => {
            *row.refused.entry(answer.code()).or_default() += 1;
        }
        Ok(_) | Err(_) => row.broken += 1,
    }
}

#[tokio::main]
async fn main() {
    let args: Args = argh::from_env();
    let to: Vec<SocketAddr> = args.to.split(',').filter_map(|a| a.parse().ok()).collect();
    let (teams, priorities) = (shares(&args.key), shares(&args.priority));
    let rows: Rows = Arc::default();
    let caller = Caller::open();
    let mut dice = StdRng::seed_from_u64(args.seed);
    let start = Instant::now();
    let mut due = 0.0;
    let mut tasks = tokio::task::JoinSet::new();
    while due < args.seconds {
        tokio::time::sleep_until((start + Duration::from_secs_f64(due)).into()).await;
        // Arrivals are independent of each other, so the gaps follow an exponential law.
        due += -(1.0 - dice.random::<f64>()).ln() / args.rate;
        let team = pick(&mut dice, &teams).to_owned();
        let priority = pick(&mut dice, &priorities).to_owned();
        let prompt = format!(
            "{:0width$}",
            dice.random::<u32>(),
            width = args.prompt_bytes
        );
        let ask = Request::chat(&team, &args.model, &prompt, args.most).with_priority(&priority);
        let router = to[dice.random_range(0..to.len())];
        let key = (team, priority);
        rows.lock().entry(key.clone()).or_default().sent += 1;
        tasks.spawn(send(caller.clone(), router, ask, rows.clone(), key));
    }
    while tasks.join_next().await.is_some() {}
    report(&rows.lock());
}

fn report(rows: &BTreeMap<(String, String), Row>) {
    let header = [
        "team",
        "priority",
        "sent",
        "served",
        "broken",
        "first p50",
        "p95",
        "p99",
        "whole p95",
    ];
    println!("{}  refused", header.map(|h| format!("{h:>10}")).join(""));
    for ((team, priority), row) in rows {
        let ms = |histogram: &Histogram<u64>, q: f64| {
            format!("{:.1}ms", histogram.value_at_quantile(q) as f64 / 1000.0)
        };
        let cells = [
            team.chars().take(9).collect(),
            priority.clone(),
            row.sent.to_string(),
            row.served.to_string(),
            row.broken.to_string(),
            ms(&row.first, 0.5),
            ms(&row.first, 0.95),
            ms(&row.first, 0.99),
            ms(&row.whole, 0.95),
        ];
        let cells = cells.map(|cell| format!("{cell:>10}")).join("");
        println!("{cells}  {:?}", row.refused);
    }
}
