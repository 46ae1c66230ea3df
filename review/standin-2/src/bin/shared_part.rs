//! A part of prompts that crashes engines, and sound requests that share another part with it.

use std::sync::Arc;
use std::time::Duration;

use fescue_site::caller::{Kind, Outcome, RequestSpec, send};
use fescue_site::manifest::{ENGINES, upstream_entry};
use parking_lot::Mutex;
use review_standin_2::engine::{Crash, DEADLY, Engine, Log};
use review_standin_2::{Record, Site, Verdict, describe, run_case, trouble};
use tokio::time::{Instant, sleep, sleep_until};

/// `contact_threshold_ms` of the sheet.
const CONTACT: Duration = Duration::from_secs(3);

/// The time between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(500);

/// When the first requests with the deadly part come, and when the sound ones end.
const TROUBLE_AT: Duration = Duration::from_secs(15);
const LENGTH: Duration = Duration::from_secs(45);

#[derive(Default)]
struct Sound {
    /// When each was sent and whether it began at its first attempt.
    sent: Vec<(Instant, bool)>,
}

async fn case(record: Record) -> std::io::Result<Verdict> {
    let site = Site::open(50_000_000).await?;
    let log: Arc<Mutex<Log>> = Arc::default();
    let crash = if trouble() {
        Crash::BeforeAnswer
    } else {
        Crash::Never
    };
    for index in 0..9 {
        let engine = Engine::spawn(&format!("e-{index}"), crash, &log, &record).await?;
        let entry = upstream_entry(ENGINES, engine.address, 16, false);
        site.register(&engine.id, &entry);
    }
    let mut gateways = Vec::new();
    for index in 0..4 {
        gateways.push(site.ready(&format!("vm-{index}")).await?);
    }
    sleep(Duration::from_secs(5)).await;
    let start = Instant::now();
    let mut plan = Vec::new();
    for number in 0.. {
        let at = SOUND_INTERVAL * number;
        if at >= LENGTH {
            break;
        }
        plan.push((at, false));
    }
    // One caller's requests come close together; later ones come once a second.
    plan.extend([100, 200, 300].map(|ms| (TROUBLE_AT + Duration::from_millis(ms), true)));
    plan.extend((1..29).map(|second| {
        (
            TROUBLE_AT + Duration::from_millis(1000 * second + 250),
            true,
        )
    }));
    plan.sort();
    let sound: Arc<Mutex<Sound>> = Arc::default();
    for (number, (at, deadly)) in plan.into_iter().enumerate() {
        sleep_until(start + at).await;
        let id = format!("{}-{number}", if deadly { "deadly" } else { "sound" });
        let mut ask = RequestSpec::new(Kind::Draft, &site.team, &id);
        // The prompt holds: a part of all requests, the one of this caller, and in some the deadly one.
        ask.part = if deadly {
            format!("aa:50,{DEADLY}")
        } else {
            "aa".to_owned()
        };
        let address = gateways[number % gateways.len()].ports.callers;
        let (record, sound) = (record.clone(), Arc::clone(&sound));
        tokio::spawn(async move {
            let sent = Instant::now();
            let seen = send(address, &ask).await;
            record.line(format!("{id}: {}", describe(&seen)));
            if !deadly {
                let began = matches!(seen, Outcome::Served { .. });
                sound.lock().sent.push((sent, began));
            }
        });
    }
    sleep(Duration::from_secs(7)).await;
    let crashes = log.lock().crashes.clone();
    let judged = match crashes.get(4).or(crashes.last()) {
        Some(last) => *last + CONTACT * 2,
        None => start + TROUBLE_AT + CONTACT * 2,
    };
    let sound = sound.lock();
    let share = |in_time: &dyn Fn(Instant) -> bool| {
        let counted: Vec<_> = sound.sent.iter().filter(|(at, _)| in_time(*at)).collect();
        let began = counted.iter().filter(|(_, began)| *began).count();
        (began, counted.len())
    };
    let before = share(&|at| at < start + TROUBLE_AT);
    let after = share(&|at| at >= judged);
    record.line(format!("{} crashes", crashes.len()));
    record.line(format!(
        "sound requests that began at their first attempt: {} of {} before, {} of {} after",
        before.0, before.1, after.0, after.1
    ));
    if before.1 < 20 || after.1 < 20 {
        return Ok(Verdict::NotRun);
    }
    let (before, after) = (
        before.0 as f64 / before.1 as f64,
        after.0 as f64 / after.1 as f64,
    );
    Ok(if after < before / 2.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn main() {
    run_case(case);
}
