//! Measures this router's utilization of its VM's network link.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fescue_policy::link::LinkMonitor;
use parking_lot::Mutex;

/// Bytes added to each read or write for the headers of its packet and of the acknowledgement.
const PACKET_OVERHEAD_BYTES: u64 = 120;

/// Bytes per second in one megabit per second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// What passed the link since the last sample.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkSample {
    /// The average utilization, as a fraction of the capacity.
    pub average: f64,
    /// The utilization since the last sample.
    pub current: f64,
    /// The part of it that requests from callers took.
    pub requests: f64,
    /// Bytes received from callers, without packet headers.
    pub received: u64,
    /// Bytes sent to callers, without packet headers.
    pub sent: u64,
}

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

    /// Updates the utilization from the bytes counted since the last sample.
    pub fn sample(&self, elapsed: Duration) -> LinkSample {
        let take = |count: &AtomicU64| count.swap(0, Ordering::Relaxed);
        let (bytes, received) = (take(&self.bytes), take(&self.received));
        let mut share = self.share.lock();
        if let Some(busy) = share.observe(bytes, elapsed) {
            tracing::info!(
                busy,
                part = share.utilization(),
                "link utilization changed between busy and not busy"
            );
        }
        LinkSample {
            average: share.utilization(),
            current: share.current(),
            requests: share.current() * received as f64 / bytes.max(1) as f64,
            received,
            sent: take(&self.sent),
        }
    }
}
