//! Measures this router's utilization of its VM's network link.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fescue_policy::link::LinkMonitor;
use parking_lot::Mutex;

/// Bytes added to each read or write for the headers of its packet and of the acknowledgement.
const PACKET_OVERHEAD_BYTES: u64 = 120;

/// Bytes per second in one megabit per second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// The utilization of a VM's network link by this router.
#[derive(Debug)]
pub struct LinkUsage {
    bytes: AtomicU64,
    share: Mutex<LinkMonitor>,
}

impl LinkUsage {
    /// Creates a meter for a link of `link_mbps` megabits per second each way.
    pub fn open(link_mbps: f64) -> Self {
        let share = LinkMonitor::open(link_mbps * BYTES_PER_MEGABIT);
        Self {
            bytes: AtomicU64::new(0),
            share: Mutex::new(share),
        }
    }

    /// Changes the capacity of the link, in megabits per second each way.
    pub fn resize(&self, link_mbps: f64) {
        self.share.lock().resize(link_mbps * BYTES_PER_MEGABIT);
    }

    /// Counts a read from or a write to a caller; the same bytes cross the link again to or from an
    /// upstream.
    pub fn count(&self, bytes: usize) {
        self.bytes
            .fetch_add(bytes as u64 + PACKET_OVERHEAD_BYTES, Ordering::Relaxed);
    }

    /// Returns whether the link is so busy that the balancer should send no new connections.
    pub fn is_busy(&self) -> bool {
        self.share.lock().is_busy()
    }

    /// Returns whether the link is close to saturation.
    pub fn is_full(&self) -> bool {
        self.share.lock().is_full()
    }

    /// Returns whether a caller should reconnect after its response, chosen at random to shed load.
    pub fn should_shed(&self) -> bool {
        self.share.lock().should_shed(rand::random())
    }

    /// Updates the utilization from the bytes counted since the last sample; returns the average, and that
    /// since the last sample, as fractions of the capacity.
    pub fn sample(&self, elapsed: Duration) -> (f64, f64) {
        let bytes = self.bytes.swap(0, Ordering::Relaxed);
        let mut share = self.share.lock();
        if let Some(busy) = share.observe(bytes, elapsed) {
            tracing::info!(
                busy,
                part = share.utilization(),
                "link utilization changed between busy and not busy"
            );
        }
        (share.utilization(), share.current())
    }
}
