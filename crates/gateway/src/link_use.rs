//! Measures how much of its VM's link this router uses.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fescue_policy::share::LinkShare;
use parking_lot::Mutex;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::gateway::Gateway;

/// The time between two measurements.
const SAMPLE: Duration = Duration::from_millis(100);

/// The bytes that a read or a write costs besides its own: the headers of its packet and of the
/// packet that acknowledges it.
const PACKET_BYTES: u64 = 120;

/// Bytes a second in a megabit a second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// This router's use of its link.
#[derive(Debug)]
pub struct LinkUsage {
    bytes: AtomicU64,
    share: Mutex<LinkShare>,
}

impl LinkUsage {
    /// Opens the use of a link of some megabits a second.
    pub fn open(link_mbps: f64) -> Self {
        let share = LinkShare::open(link_mbps * BYTES_PER_MEGABIT);
        Self {
            bytes: AtomicU64::new(0),
            share: Mutex::new(share),
        }
    }

    /// Takes over a changed link.
    pub fn resize(&self, link_mbps: f64) {
        self.share.lock().resize(link_mbps * BYTES_PER_MEGABIT);
    }

    /// Counts a read or a write of bytes that came from or went to a caller; they pass the link once
    /// more, to or from an upstream.
    pub fn count(&self, bytes: usize) {
        self.bytes
            .fetch_add(bytes as u64 + PACKET_BYTES, Ordering::Relaxed);
    }

    /// Returns whether the router asks for no new connections.
    pub fn is_busy(&self) -> bool {
        self.share.lock().is_busy()
    }

    /// Returns whether the link is nearly full.
    pub fn is_full(&self) -> bool {
        self.share.lock().is_full()
    }

    /// Returns whether a caller should connect anew after its answer.
    pub fn should_shed(&self) -> bool {
        self.share.lock().sheds(rand::random())
    }

    /// Takes over what was counted since the last sample; returns the part of the link in use.
    fn sample(&self, elapsed: Duration) -> f64 {
        let bytes = self.bytes.swap(0, Ordering::Relaxed);
        let mut share = self.share.lock();
        if let Some(busy) = share.observe(bytes, elapsed) {
            tracing::info!(busy, part = share.part(), "use of the link changed");
        }
        share.part()
    }
}

/// Measures for as long as the process runs.
pub async fn run(gateway: Arc<Gateway>) {
    let mut samples = interval(SAMPLE);
    samples.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = Instant::now();
    loop {
        samples.tick().await;
        let part = gateway.link.sample(last.elapsed());
        gateway.metrics.link_percent.set((part * 100.0) as i64);
        last = Instant::now();
    }
}
