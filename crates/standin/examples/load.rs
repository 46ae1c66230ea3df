//! Open-loop load generator: sends requests at a fixed mean rate and reports their outcomes.

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

/// Sends chat completions to routers at a fixed mean rate, independent of the responses.
#[derive(FromArgs)]
struct Args {
    /// addresses of the routers, separated by commas
    #[argh(option)]
    to: String,
    /// bearer keys of the teams, separated by commas; append `=SHARE` for a share other than 1
    #[argh(option)]
    key: String,
    /// priorities, separated by commas; append `=SHARE` for a share other than 1
    #[argh(option, default = "String::from(\"standard\")")]
    priority: String,
    /// model to request
    #[argh(option, default = "String::from(\"price\")")]
    model: String,
    /// mean number of requests per second
    #[argh(option)]
    rate: f64,
    /// duration of the run, in seconds
    #[argh(option)]
    seconds: f64,
    /// length of each prompt, in bytes
    #[argh(option, default = "64")]
    prompt_bytes: usize,
    /// maximum number of tokens of each completion
    #[argh(option, long = "most", default = "16")]
    max_tokens: u64,
    /// seed of the arrival times and the choice of team, priority, prompt and router
    #[argh(option, default = "1")]
    seed: u64,
}

/// Upper bound of the latency histograms; longer times are recorded as this value.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Outcome counts and latencies of one team and priority.
struct Outcomes {
    sent: u64,
    served: u64,
    /// Refusals by error code.
    refused: BTreeMap<String, u64>,
    /// Requests that failed or whose stream ended early.
    broken: u64,
    /// Time to the end of the stream, in microseconds.
    total: Histogram<u64>,
    /// Time to the first frame of the body, in microseconds.
    first: Histogram<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid histogram bounds")
}

impl Default for Outcomes {
    fn default() -> Self {
        Self {
            sent: 0,
            served: 0,
            refused: BTreeMap::new(),
            broken: 0,
            total: histogram(),
            first: histogram(),
        }
    }
}

/// Outcomes by team key and priority.
type Rows = Arc<Mutex<BTreeMap<(String, String), Outcomes>>>;

fn parse_shares(text: &str) -> Vec<(String, f64)> {
    let share = |part: &str| match part.rsplit_once('=') {
        Some((name, share)) => (name.to_owned(), share.parse().unwrap_or(1.0)),
        None => (part.to_owned(), 1.0),
    };
    text.split(',').map(share).collect()
}

fn pick<'a>(rng: &mut StdRng, shares: &'a [(String, f64)]) -> &'a str {
    let total: f64 = shares.iter().map(|(_, share)| share).sum();
    let mut point = rng.random_range(0.0..total);
    for (name, share) in shares {
        if point < *share {
            return name;
        }
        point -= share;
    }
    &shares[0].0
}

async fn send(caller: Caller, to: SocketAddr, request: Request, rows: Rows, key: (String, String)) {
    let start = Instant::now();
    let response = caller.send_timed(to, &request).await;
    let elapsed = start.elapsed().as_micros() as u64;
    let mut rows = rows.lock();
    let row = rows.entry(key).or_default();
    match response {
        Ok((response, first)) if response.status == 200 && response.is_complete() => {
            row.served += 1;
            row.total.saturating_record(elapsed);
            row.first.saturating_record(first.as_micros() as u64);
        }
        Ok((response, _)) if response.status != 200 => {
            *row.refused.entry(response.code()).or_default() += 1;
        }
        Ok(_) | Err(_) => row.broken += 1,
    }
}

#[tokio::main]
async fn main() {
    let args: Args = argh::from_env();
    let routers: Vec<SocketAddr> = args.to.split(',').filter_map(|a| a.parse().ok()).collect();
    let (teams, priorities) = (parse_shares(&args.key), parse_shares(&args.priority));
    let rows: Rows = Arc::default();
    let caller = Caller::open();
    let mut rng = StdRng::seed_from_u64(args.seed);
    let start = Instant::now();
    let mut next_send = 0.0;
    let mut tasks = tokio::task::JoinSet::new();
    while next_send < args.seconds {
        tokio::time::sleep_until((start + Duration::from_secs_f64(next_send)).into()).await;
        // Poisson arrivals: the gaps between independent arrivals are exponentially distributed.
        next_send += -(1.0 - rng.random::<f64>()).ln() / args.rate;
        let team = pick(&mut rng, &teams).to_owned();
        let priority = pick(&mut rng, &priorities).to_owned();
        let prompt = format!("{:0width$}", rng.random::<u32>(), width = args.prompt_bytes);
        let request =
            Request::chat(&team, &args.model, &prompt, args.max_tokens).with_priority(&priority);
        let router = routers[rng.random_range(0..routers.len())];
        let key = (team, priority);
        rows.lock().entry(key.clone()).or_default().sent += 1;
        tasks.spawn(send(caller.clone(), router, request, rows.clone(), key));
    }
    while tasks.join_next().await.is_some() {}
    print_report(&rows.lock());
}

fn print_report(rows: &BTreeMap<(String, String), Outcomes>) {
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
            ms(&row.total, 0.95),
        ];
        let cells = cells.map(|cell| format!("{cell:>10}")).join("");
        println!("{cells}  {:?}", row.refused);
    }
}
