//! A store that comes back from a copy some seconds old, at the moment at which all routers are killed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_site::caller::{Caller, Kind, RequestSpec};
use fescue_site::manifest::Team;
use fescue_site::process::Ports;
use parking_lot::Mutex;
use review_standin_2::{Record, Site, Verdict, describe, kill, run_case, trouble};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

const ROUTERS: usize = 4;
const PREPAID: u64 = 66_000;
/// The tokens of a request: its prompt, and 20 events of five tokens.
const INPUT: u64 = 1_000;
const EVENTS: u64 = 20;

/// The tokens that callers got.
type Tally = Arc<Mutex<u64>>;

/// Sends a request over a new connection and counts the tokens that its caller gets.
async fn ask(record: &Record, team: &Team, tally: &Tally, address: SocketAddr, id: &str) {
    let mut ask = RequestSpec::new(Kind::Draft, team, id);
    (ask.input, ask.events) = (INPUT, EVENTS);
    let mut caller = Caller::default();
    let seen = caller.send(address, &ask).await;
    let delivered = {
        let mut tally = tally.lock();
        *tally += caller.take_delivered();
        *tally
    };
    record.line(format!(
        "{id}: {}; {delivered} tokens delivered so far",
        describe(&seen)
    ));
}

async fn case(record: Record) -> std::io::Result<Verdict> {
    let site = Site::open(PREPAID).await?;
    let _upstreams = site.upstreams().await?;
    let mut ports = Vec::new();
    let mut gateways = Vec::new();
    for index in 0..ROUTERS {
        ports.push(Ports::allocate()?);
        gateways.push(site.spawn(&format!("vm-{index}"), ports[index])?);
    }
    for gateway in &gateways {
        if !gateway.await_ready(Duration::from_secs(20)).await {
            return Ok(Verdict::NotRun);
        }
    }
    sleep(Duration::from_secs(8)).await;
    let copy = site.store.store.copy();
    record.line("the store's contents are copied");
    let start = Instant::now();
    let tally = Tally::default();
    let mut open = JoinSet::new();
    for (worker, ports) in ports.iter().enumerate() {
        let (record, team, tally) = (record.clone(), site.team.clone(), tally.clone());
        let address = ports.callers;
        open.spawn(async move {
            for number in 0..13 {
                let id = format!("first-{worker}-{number}");
                ask(&record, &team, &tally, address, &id).await;
            }
        });
    }
    open.join_all().await;
    let age = start.elapsed();
    record.line(format!("the copy is {age:?} old"));
    if trouble() {
        kill(gateways.drain(..)).await;
        record.line("all routers killed");
        let undone = site.store.store.restore(copy);
        record.line("the store is back from the copy");
        sleep(Duration::from_millis(500)).await;
        site.store.store.rewrite(undone);
        for (index, ports) in ports.iter().enumerate() {
            gateways.push(site.spawn(&format!("vm-{index}"), *ports)?);
        }
        for gateway in &gateways {
            if !gateway.await_ready(Duration::from_secs(20)).await {
                return Ok(Verdict::NotRun);
            }
        }
        record.line("all routers are ready again");
    }
    let again = Instant::now();
    for tick in 0..100_u32 {
        sleep_until(again + Duration::from_millis(250) * tick).await;
        let address = ports[tick as usize % ROUTERS].callers;
        ask(
            &record,
            &site.team,
            &tally,
            address,
            &format!("then-{tick}"),
        )
        .await;
    }
    let delivered = *tally.lock();
    record.line(format!("{delivered} tokens delivered of {PREPAID} prepaid"));
    Ok(if delivered > PREPAID {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn main() {
    run_case(case);
}
