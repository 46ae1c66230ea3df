//! Half of the machines are lost for good.

use std::sync::Arc;
use std::time::Duration;

use fescue_site::caller::{Kind, Outcome, RequestSpec, send};
use fescue_site::process::Ports;
use parking_lot::Mutex;
use review_standin_2::{Record, Site, Verdict, describe, kill, run_case, trouble};
use tokio::time::{Instant, sleep, sleep_until};

const ROUTERS: usize = 8;
const LOST: usize = 4;
const PREPAID: u64 = 60_000;
const INTERVAL: Duration = Duration::from_millis(330);
const LENGTH: Duration = Duration::from_secs(88);

async fn case(record: Record) -> std::io::Result<Verdict> {
    let site = Site::open(PREPAID).await?;
    let _upstreams = site.upstreams().await?;
    let mut callers = Vec::new();
    let mut gateways = Vec::new();
    for index in 0..ROUTERS {
        let ports = Ports::allocate()?;
        callers.push(ports.callers);
        gateways.push(Some(site.spawn(&format!("vm-{index}"), ports)?));
    }
    for gateway in gateways.iter().flatten() {
        if !gateway.await_ready(Duration::from_secs(20)).await {
            return Ok(Verdict::NotRun);
        }
    }
    sleep(Duration::from_secs(6)).await;
    // The machine that acts as the team's home holds most of its tokens.
    let held = |index: usize| {
        let row = site.store.store.get("holders", &format!("vm-{index}"));
        let granted = row.map(|row| row["licenses"]["yard"]["granted"].clone());
        granted.and_then(|granted| granted.as_u64()).unwrap_or(0)
    };
    let mut order: Vec<_> = (0..ROUTERS).collect();
    order.sort_by_key(|index| std::cmp::Reverse(held(*index)));
    for index in &order {
        record.line(format!("vm-{index} holds {} tokens", held(*index)));
    }
    let (lost, left) = order.split_at(LOST);
    let start = Instant::now();
    let counts: Arc<Mutex<[u64; 4]>> = Arc::default();
    let mut killed = false;
    for number in 0.. {
        let at = INTERVAL * number;
        if at >= LENGTH {
            break;
        }
        sleep_until(start + at).await;
        if trouble() && !killed && at >= Duration::from_secs(5) {
            killed = true;
            for index in lost {
                record.line(format!("vm-{index} is killed for good"));
            }
            kill(lost.iter().filter_map(|index| gateways[*index].take())).await;
        }
        let id = format!("r-{number}");
        let mut ask = RequestSpec::new(Kind::Draft, &site.team, &id);
        (ask.input, ask.events) = (100, 18);
        let address = callers[left[number as usize % left.len()]];
        let (record, counts) = (record.clone(), Arc::clone(&counts));
        tokio::spawn(async move {
            let seen = send(address, &ask).await;
            record.line(format!("{id}: {}", describe(&seen)));
            let mut counts = counts.lock();
            match seen {
                Outcome::Served { .. } => counts[0] += 1,
                Outcome::Refused { status, .. } if status.as_u16() == 402 => counts[1] += 1,
                Outcome::Refused { .. } => counts[2] += 1,
                _ => counts[3] += 1,
            }
        });
    }
    sleep(Duration::from_secs(3)).await;
    let [served, denied, refused, other] = *counts.lock();
    let all = served + denied + refused + other;
    record.line(format!("{all} requests of 190 tokens: {served} served, {denied} answered 402, {refused} refused otherwise, {other} others; prepaid {PREPAID}, delivered {}", served * 190));
    // All requests together fit into 97 in 100 of the prepaid tokens.
    if all * 190 > PREPAID * 97 / 100 {
        return Ok(Verdict::NotRun);
    }
    Ok(if denied > 5 + all / 500 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn main() {
    run_case(case);
}
