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
    received: AtomicU64,
    sent: AtomicU64,
    share: Mutex<LinkMonitor>,
}

impl LinkUsage {
    /// Creates a meter for a link of `link_mbps` megabits per second each way.
    pub fn open(link_mbps: f64) -> Self {
        let share = LinkMonitor::open(link_mbps * BYTES_PER_MEGABIT);
        Self {
            bytes: AtomicU64::new(0),
            received: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            share: Mutex::new(share),
        }
    }

    /// Changes the capacity of the link, in megabits per second each way.
    pub fn resize(&self, link_mbps: f64) {
        self.share.lock().resize(link_mbps * BYTES_PER_MEGABIT);
    }

    /// Counts a read from a caller.
    pub fn count_read(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
        self.count(bytes);
    }

    /// Counts a write to a caller.
    pub fn count_write(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
        self.count(bytes);
    }

    /// Returns the bytes received from callers and sent to them since the last call, without packet headers.
    pub fn take_bytes(&self) -> (u64, u64) {
        let take = |count: &AtomicU64| count.swap(0, Ordering::Relaxed);
        (take(&self.received), take(&self.sent))
    }

    /// Counts bytes from or to a caller; they cross the link again to or from an upstream.
    fn count(&self, bytes: usize) {
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
