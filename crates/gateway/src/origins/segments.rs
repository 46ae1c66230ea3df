//! The origins of streams that a large fleet's recorders write to the store.
//!
//! A router that writes its own row rewrites all its open streams, at an interval that grows with the fleet,
//! and what began since the last write is unknown once all routers are killed. Therefore each stream is also
//! told to one of [`RECORDERS`] routers, which writes what it has been told of several times a second, each
//! stream once, in a row of its own for each write: a segment.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use fescue_store::table::{Put, TableError, Transaction};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use super::lookup::RECORDERS;
use super::rows::{MAX_ROW_STREAMS, PREFIX, StreamRow, WRITE_BACKOFF, WRITE_DELAY};
use super::{MAX_LIFETIME, Origin, StreamKey};
use crate::gateway::Gateway;

/// The limit on the writes of all recorders together: a quarter of what a part of the store takes. More would
/// leave more segments to be read by a process that starts.
const MAX_WRITES_PER_SECOND: u64 = 50;

/// The least interval between two writes of one recorder.
const WRITE_INTERVAL: Duration = Duration::from_millis(1000 * RECORDERS / MAX_WRITES_PER_SECOND);

/// The longest time between two rounds, in which expired segments are deleted.
const MAX_ROUND_INTERVAL: Duration = Duration::from_secs(2);

/// The largest number of streams that wait to be written.
const MAX_WAITING: usize = 2 * MAX_ROW_STREAMS;

/// The largest number of segments that one transaction deletes.
const MAX_DELETED: usize = 50;

/// Streams that other routers told of and that are not written yet, with the end of their lifetimes.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: Mutex<VecDeque<(StreamKey, Origin, Instant)>>,
    added: Notify,
}

impl Queue {
    /// Adds a stream. The oldest one is dropped if too many wait; the router that relays it writes it later.
    pub fn push(&self, key: StreamKey, origin: Origin, lifetime: Duration) {
        let until = Instant::now() + lifetime.min(MAX_LIFETIME);
        let mut waiting = self.waiting.lock();
        if waiting.len() >= MAX_WAITING {
            waiting.pop_front();
        }
        waiting.push_back((key, origin, until));
        self.added.notify_one();
    }

    /// Returns the streams that the next segment holds, with the time that is left of each lifetime.
    fn first(&self) -> Vec<(StreamKey, Origin, Duration)> {
        let (now, waiting) = (Instant::now(), self.waiting.lock());
        let streams = waiting.iter().take(MAX_ROW_STREAMS);
        let left = |until: &Instant| until.saturating_duration_since(now);
        let streams = streams.map(|(key, origin, until)| (*key, origin.clone(), left(until)));
        streams.collect()
    }

    /// Removes streams that were written. Others may have been dropped or added meanwhile, also of the same
    /// key with another origin.
    fn remove(&self, written: &[(StreamKey, Origin, Duration)]) {
        let written: HashMap<_, _> = written
            .iter()
            .map(|(key, origin, _)| (*key, origin))
            .collect();
        let mut waiting = self.waiting.lock();
        waiting.retain(|(key, origin, _)| written.get(key) != Some(&origin));
    }
}

/// The segments of this process that may still be in the store.
#[derive(Default)]
struct Recorder {
    /// Number of segments written, or tried to.
    count: u64,
    /// The keys of those that aren't deleted, with the end of their lifetimes.
    segments: Vec<(String, Instant)>,
}

/// Writes what other routers tell, for as long as the process runs.
pub(super) async fn run(gateway: Arc<Gateway>) {
    let mut recorder = Recorder::default();
    loop {
        let _added = timeout(MAX_ROUND_INTERVAL, gateway.origins.told.added.notified()).await;
        sleep(WRITE_DELAY).await;
        let interval = match recorder.round(&gateway).await {
            Ok(()) => WRITE_INTERVAL,
            Err(error) => {
                tracing::info!(%error, "origins of other routers' streams not written; retrying");
                gateway.origins.told.added.notify_one();
                WRITE_BACKOFF
            }
        };
        sleep(interval.saturating_sub(WRITE_DELAY)).await;
    }
}

impl Recorder {
    /// Writes a segment of what waits, and deletes expired ones.
    async fn round(&mut self, gateway: &Gateway) -> Result<(), TableError> {
        let streams = gateway.origins.told.first();
        let expired = self.expired();
        if streams.is_empty() && expired.is_empty() {
            return Ok(());
        }
        let mut transaction = Transaction::default();
        transaction.delete.extend(expired.iter().cloned());
        if !streams.is_empty() {
            let clock = gateway.table.clock().unwrap_or_default();
            let row = StreamRow::new(clock, &streams);
            let put = Put::encode(self.next_key(gateway, &streams), &row);
            transaction.put.push(put);
        }
        let written = gateway.table.transact(&transaction).await;
        gateway.metrics.count_store("segments", written.is_ok());
        written?;
        self.segments.retain(|(key, _)| !expired.contains(key));
        gateway.origins.told.remove(&streams);
        Ok(())
    }

    /// Returns the keys of some segments whose streams have all expired.
    fn expired(&self) -> HashSet<String> {
        let now = Instant::now();
        let expired = self.segments.iter().filter(|(_, until)| *until < now);
        let keys = expired.take(MAX_DELETED).map(|(key, _)| key.clone());
        keys.collect()
    }

    /// Returns the key of a new segment. Each try gets its own: one whose answer was lost may be written
    /// after the next.
    fn next_key(&mut self, gateway: &Gateway, streams: &[(StreamKey, Origin, Duration)]) -> String {
        let (vm, process) = (&gateway.settings.vm, gateway.incarnation);
        let key = format!("{PREFIX}{vm}-{process}-{}", self.count);
        let left = streams.iter().map(|(_, _, left)| *left).max();
        let until = Instant::now() + left.unwrap_or_default();
        self.segments.push((key.clone(), until));
        self.count += 1;
        key
    }
}
