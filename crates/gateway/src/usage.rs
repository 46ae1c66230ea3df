//! Samples what this router uses of its VM.

use std::mem::take;
use std::sync::Arc;
use std::time::Duration;

use fescue_policy::crowding::Usage;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::crowd::Meter;
use crate::gateway::Gateway;
use crate::link_use::LinkSample;

/// Interval between measurements.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Number of measurements for each report of the load.
const SAMPLES_PER_REPORT: u32 = 10;

/// Use of the processor or link above which the load is logged.
const LOG_ABOVE: f64 = 0.6;

/// Samples the link and the processor for as long as the process runs, and exports their use.
pub async fn run(gateway: Arc<Gateway>) {
    let mut samples = interval(SAMPLE_INTERVAL);
    samples.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut last, mut meter) = (Instant::now(), Meter::open());
    let mut reports = Reports::default();
    loop {
        samples.tick().await;
        let link = gateway.link.sample(last.elapsed());
        last = Instant::now();
        let percent = (link.average * 100.0) as i64;
        gateway.metrics.link_percent.set(percent);
        gateway.metrics.count_bytes(link.received, link.sent);
        let processor = meter.sample();
        let percent = (processor * 100.0) as i64;
        gateway.metrics.processor_percent.set(percent);
        if gateway.settings.crowding {
            let neighbours = gateway.peers.lock().near();
            let usage = Usage {
                processor,
                link: link.current,
                requests: link.requests,
            };
            gateway.crowd.observe(usage, meter.elapsed(), neighbours);
        }
        reports.count(&gateway, link);
    }
}

/// What was reported last.
#[derive(Default)]
struct Reports {
    samples: u32,
    /// The connections that callers had opened.
    connections: u64,
    received: u64,
    sent: u64,
}

impl Reports {
    /// Counts a measurement, and reports the load if enough were made.
    fn count(&mut self, gateway: &Gateway, link: LinkSample) {
        self.received += link.received;
        self.sent += link.sent;
        self.samples += 1;
        if self.samples < SAMPLES_PER_REPORT {
            return;
        }
        self.samples = 0;
        let (received, sent) = (take(&mut self.received), take(&mut self.sent));
        let connections = gateway.metrics.connections.get();
        let opened = connections - self.connections;
        self.connections = connections;
        let (load, (arrivals, admitted)) = gateway.crowd.load();
        if load.busy < LOG_ABOVE && load.limit.is_none() && !load.withdrawn {
            return;
        }
        tracing::info!(
            processor_percent = load.processor_percent(),
            link_percent = load.link_percent(),
            limit = load.limit_rate(),
            withdrawn = load.withdrawn,
            arrivals = arrivals.round(),
            admitted = admitted.round(),
            opened,
            connections = gateway.connections(),
            received,
            sent,
            "load of a crowded router"
        );
    }
}
