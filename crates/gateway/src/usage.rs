//! Samples what this router uses of its VM.

use std::sync::Arc;
use std::time::Duration;

use fescue_policy::crowding::Usage;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::crowd::Meter;
use crate::gateway::Gateway;

/// Interval between measurements.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Samples the link and the processor for as long as the process runs, and exports their use.
pub async fn run(gateway: Arc<Gateway>) {
    let mut samples = interval(SAMPLE_INTERVAL);
    samples.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut last, mut meter) = (Instant::now(), Meter::open());
    loop {
        samples.tick().await;
        let (average, link) = gateway.link.sample(last.elapsed());
        last = Instant::now();
        gateway.metrics.link_percent.set((average * 100.0) as i64);
        let processor = meter.sample();
        let percent = (processor * 100.0) as i64;
        gateway.metrics.processor_percent.set(percent);
        if !gateway.settings.crowding {
            continue;
        }
        gateway.crowd.set_unready(gateway.link.is_busy());
        let neighbours = gateway.peers.lock().near();
        let usage = Usage { processor, link };
        gateway.crowd.observe(usage, meter.elapsed(), neighbours);
    }
}
