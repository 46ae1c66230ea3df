//! A part of prompts that crashes engines as they begin to write a plain answer on it.

use std::sync::Arc;
use std::time::Duration;

use fescue_gateway::link::Link;
use fescue_site::manifest::{ENGINES, HOST, upstream_entry};
use http::Request;
use http_body_util::{BodyExt, Full};
use parking_lot::Mutex;
use review_standin_2::engine::{Crash, DEADLY, Engine, Log};
use review_standin_2::{Record, Site, Verdict, run_case, trouble};
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// `contact_threshold_ms` of the sheet.
const CONTACT: Duration = Duration::from_secs(3);

async fn ask(address: std::net::SocketAddr, key: &str, id: &str, part: &str) -> String {
    let request = Request::builder()
        .method("POST")
        .uri("/ask/1")
        .header("host", HOST)
        .header("authorization", format!("Bearer {key}"))
        .header("x-fescuedrift-attempt-id", id)
        .header("x-fescuedrift-deadline-ms", "4000")
        .header("x-fescuedrift-model", "m")
        .header("x-fescuedrift-token-usage", "103,400")
        .header(
            "x-fescuedrift-prompt-prefix",
            format!("c0ffee:1,{part}:100,{id}:2"),
        )
        .body(Full::new(bytes::Bytes::from(format!("body of {id}"))))
        .expect("a request");
    let answer = async {
        let mut link = Link::open(address, Duration::from_secs(1))
            .await
            .map_err(|e| e.to_string())?;
        let response = link.send(request).await.map_err(|e| e.to_string())?;
        let status = response.status().as_u16();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|e| e.to_string())?;
        let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        Ok::<_, String>(format!("{status} {text}"))
    };
    match timeout(Duration::from_secs(5), answer).await {
        Ok(Ok(seen)) => seen,
        Ok(Err(error)) => format!("broken: {error}"),
        Err(_) => "no answer".to_owned(),
    }
}

async fn case(record: Record) -> std::io::Result<Verdict> {
    let site = Site::open(50_000_000).await?;
    let mut config = fescue_site::manifest::manifest(1, std::slice::from_ref(&site.team));
    config["routes"].as_array_mut().expect("routes").push(json!({
        "name": "ask", "host": HOST, "prefix": "/ask/", "kind": "idempotent", "timeout_ms": 4000,
        "target_latency_ms": 500, "priority": 0, "service": ENGINES, "max_attempts": 2,
        "anonymous_access": false, "session_affinity": true,
    }));
    config["version"] = json!(2);
    site.store.store.put("op", "config", &config);
    let log: Arc<Mutex<Log>> = Arc::default();
    let crash = if trouble() {
        Crash::AfterFirstBytes
    } else {
        Crash::Never
    };
    for index in 0..4 {
        let engine = Engine::spawn(&format!("e-{index}"), crash, &log, &record).await?;
        let entry = upstream_entry(ENGINES, engine.address, 16, false);
        site.register(&engine.id, &entry);
    }
    let gateways = [site.ready("vm-1").await?, site.ready("vm-2").await?];
    sleep(Duration::from_secs(5)).await;
    let start = Instant::now();
    for number in 0..100_u32 {
        sleep_until(start + Duration::from_millis(300) * number).await;
        let (kind, part) = match number % 3 {
            0 => ("deadly", DEADLY),
            _ => ("sound", "aa"),
        };
        let id = format!("{kind}-{number}");
        let address = gateways[(number % 2) as usize].ports.callers;
        let (record, key) = (record.clone(), site.team.key.clone());
        tokio::spawn(async move {
            let seen = ask(address, &key, &id, part).await;
            record.line(format!("{id}: {seen}"));
        });
    }
    sleep(Duration::from_secs(5)).await;
    let log = log.lock();
    let late = log.crashes.get(4).map_or(0, |fifth| {
        let late = |arrival: &&review_standin_2::engine::Arrival| {
            arrival.deadly && arrival.at > *fifth + CONTACT
        };
        log.arrivals.iter().filter(late).count()
    });
    record.line(format!(
        "{} crashes; {late} requests with the part reached engines later than {CONTACT:?} after the fifth; at most 3 may",
        log.crashes.len()
    ));
    Ok(if late > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn main() {
    run_case(case);
}
