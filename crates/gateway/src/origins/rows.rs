//! The rows that hold the origins of streams that still run, one for each router process.
//!
//! A row says what was true when it was written, and stays true: a stream has one origin. So a row of a
//! process that has ended, or one from an older copy of the store, can be believed until it expires.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{Era, ServiceId, SoftwareVersion, record};
use fescue_store::table::{Commit, Put, Row, TableError, Transaction, scan_all};
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::{OpenStream, Origin, StreamKey};
use crate::gateway::Gateway;
use crate::malformed::MalformedRows;

/// Key prefix of the rows.
const PREFIX: &str = "streams/";

/// Delay of a write, in which further streams may begin that it then covers. What began later when all
/// routers are killed can't be resumed.
const WRITE_DELAY: Duration = Duration::from_millis(10);

/// The least interval between two writes for each router of the fleet, which bounds the writes of all
/// routers together to 83 a second: a part of the store takes 200, and budgets are in the same one.
const INTERVAL_PER_ROUTER: Duration = Duration::from_millis(12);

/// The least interval between two writes of a router that knows no others yet.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(60);

/// Delay of the next write after one that failed.
const WRITE_BACKOFF: Duration = Duration::from_millis(300);

/// The longest time between two rounds, in which what has expired is dropped.
const MAX_ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two reads of all rows.
const MIN_SCAN_INTERVAL: Duration = Duration::from_millis(100);

/// Delay before the rows are read again after a failure.
const FAILURE_BACKOFF: Duration = Duration::from_millis(300);

/// The largest number of streams in one row, well within its size limit.
const MAX_ROW_STREAMS: usize = 1500;

/// Time after its expiry at which a row is deleted.
pub(super) const DELETE_AFTER: Duration = Duration::from_secs(10);

/// The largest number of rows that one transaction deletes.
pub(super) const MAX_DELETED: usize = 50;

record! {
    /// The streams of one process, grouped by origin.
    struct StreamRow {
        /// When the last of them expires, on the store's clock.
        until_ms: u64,
        groups: Vec<Group>,
    }

    struct Group {
        service: ServiceId,
        version: SoftwareVersion,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        weights: Option<u64>,
        streams: Vec<StreamKey>,
    }
}

/// When the latest reads began.
#[derive(Debug, Default)]
struct Latest {
    tried: Option<Instant>,
    good: Option<Instant>,
}

/// The reads of the rows.
#[derive(Debug, Default)]
pub(super) struct Scans {
    /// Held while a read is under way.
    latest: tokio::sync::Mutex<Latest>,
    malformed: Mutex<MalformedRows>,
}

/// Reads the rows of former processes, then writes this one's for as long as the process runs.
pub async fn run(gateway: Arc<Gateway>) {
    while let Err(error) = scan_since(&gateway, Instant::now()).await {
        tracing::info!(%error, "origins of streams not read; retrying");
        sleep(FAILURE_BACKOFF).await;
    }
    let mut writer = Writer::default();
    loop {
        let _begun = timeout(MAX_ROUND_INTERVAL, gateway.origins.begun.notified()).await;
        sleep(WRITE_DELAY).await;
        gateway.origins.drop_expired();
        match writer.round(&gateway).await {
            Round::Idle => {}
            Round::Written => {
                let interval = INTERVAL_PER_ROUTER * gateway.routers() as u32;
                sleep(interval.max(MIN_WRITE_INTERVAL).saturating_sub(WRITE_DELAY)).await;
            }
            Round::Failed => sleep(WRITE_BACKOFF).await,
        }
    }
}

/// The outcome of a round of the writer.
enum Round {
    Idle,
    Written,
    Failed,
}

/// What this process has written.
#[derive(Default)]
struct Writer {
    written: HashSet<StreamKey>,
    era: Option<Era>,
}

impl Writer {
    /// Writes the row if it lacks a stream, or if the store may have lost it.
    async fn round(&mut self, gateway: &Gateway) -> Round {
        let mut open = gateway.origins.open();
        let surplus = open.len().saturating_sub(MAX_ROW_STREAMS);
        if surplus > 0 {
            tracing::warn!(
                surplus,
                "too many open streams for one row; leaving out the oldest"
            );
            open.drain(..surplus);
        }
        let era = gateway.table.era();
        let lost = Era::differ(self.era, era);
        if open.is_empty() || !lost && open.iter().all(|stream| self.written.contains(&stream.key))
        {
            return Round::Idle;
        }
        let written = write(gateway, &open).await;
        gateway.metrics.count_store("streams", written.is_ok());
        match written {
            Ok(_) => {
                self.observe(gateway, &open);
                self.written = open.iter().map(|stream| stream.key).collect();
                self.era = era;
                Round::Written
            }
            Err(error) => {
                tracing::info!(%error, streams = open.len(), "origins of streams not written; retrying");
                gateway.origins.begun.notify_one();
                Round::Failed
            }
        }
    }

    /// Records how long the streams that a write covers first were known to this router only.
    fn observe(&self, gateway: &Gateway, open: &[OpenStream]) {
        let new = open
            .iter()
            .filter(|stream| !self.written.contains(&stream.key));
        let waited: Vec<_> = new.map(|stream| stream.recorded.elapsed()).collect();
        for waited in &waited {
            let seconds = waited.as_secs_f64();
            gateway.metrics.origin_seconds.observe(seconds);
        }
        if let Some(longest) = waited.iter().max() {
            tracing::debug!(
                streams = open.len(),
                new = waited.len(),
                longest_ms = longest.as_millis() as u64,
                "wrote the origins of streams"
            );
        }
    }
}

fn own_key(gateway: &Gateway) -> String {
    let (vm, process) = (&gateway.settings.vm, gateway.incarnation);
    format!("{PREFIX}{vm}-{process}")
}

async fn write(gateway: &Gateway, open: &[OpenStream]) -> Result<Commit, TableError> {
    let left = open.iter().map(|stream| stream.left).max();
    let clock = gateway.table.clock().unwrap_or_default();
    let until = clock + left.unwrap_or_default();
    let mut row = StreamRow {
        until_ms: until.as_millis() as u64,
        groups: Vec::new(),
    };
    for OpenStream { key, origin, .. } in open {
        let same = |group: &&mut Group| {
            group.service == origin.service
                && group.version == origin.version
                && group.weights == origin.weights
        };
        match row.groups.iter_mut().find(same) {
            Some(group) => group.streams.push(*key),
            None => row.groups.push(Group {
                service: origin.service.clone(),
                version: origin.version.clone(),
                weights: origin.weights,
                streams: vec![*key],
            }),
        }
    }
    let mut transaction = Transaction::default();
    transaction.put.push(Put::encode(own_key(gateway), &row));
    gateway.table.transact(&transaction).await
}

/// Reads all rows, unless a read that began at `since` or later has succeeded. The read goes on when its
/// caller gives up, and serves the next ones.
///
/// # Errors
///
/// Fails if the rows can't be read.
pub(super) async fn scan_since(gateway: &Arc<Gateway>, since: Instant) -> Result<(), TableError> {
    let scan = tokio::spawn(scan(Arc::clone(gateway), since));
    let scanned = scan.await;
    scanned.unwrap_or_else(|error| Err(TableError::Unavailable(error.to_string())))
}

async fn scan(gateway: Arc<Gateway>, since: Instant) -> Result<(), TableError> {
    let mut latest = gateway.origins.scans.latest.lock().await;
    if latest.good.is_some_and(|begun| begun >= since) {
        return Ok(());
    }
    if let Some(begun) = latest.tried {
        sleep_until(begun + MIN_SCAN_INTERVAL).await;
    }
    let begun = Instant::now();
    latest.tried = Some(begun);
    let rows = scan_all(&*gateway.table, PREFIX).await;
    gateway.metrics.count_store("streams_scan", rows.is_ok());
    let expired = take_rows(&gateway, &rows?);
    latest.good = Some(begun);
    drop(latest);
    delete(&gateway, expired).await;
    Ok(())
}

/// A row of streams that has not expired.
pub(super) struct LiveRow<'a, T> {
    pub row: &'a Row,
    pub decoded: T,
    /// The time until it expires.
    pub left: Duration,
}

/// Decodes rows that hold streams `until_ms`, on the store's clock. Returns those that have not expired, and a
/// transaction that deletes those that have long done so.
pub(super) fn live_rows<'a, T: DeserializeOwned>(
    rows: impl Iterator<Item = &'a Row>,
    clock: Duration,
    malformed: &Mutex<MalformedRows>,
    until_ms: impl Fn(&T) -> u64,
) -> (Vec<LiveRow<'a, T>>, Transaction) {
    let mut live = Vec::new();
    let mut expired = Transaction::default();
    for row in rows {
        let decoded = match row.decode::<T>() {
            Ok(Some(decoded)) => decoded,
            Ok(None) => continue,
            Err(error) => {
                malformed.lock().report(row, &error);
                continue;
            }
        };
        let until = Duration::from_millis(until_ms(&decoded));
        if until + DELETE_AFTER < clock && expired.delete.len() < MAX_DELETED {
            expired.remove(row);
        }
        let left = until.saturating_sub(clock);
        if !left.is_zero() {
            live.push(LiveRow { row, decoded, left });
        }
    }
    (live, expired)
}

/// Takes over what the rows say; returns a transaction that deletes those that have long expired.
fn take_rows(gateway: &Gateway, rows: &[Row]) -> Transaction {
    let clock = gateway.table.clock().unwrap_or_default();
    let others = rows.iter().filter(|row| row.key != own_key(gateway));
    let malformed = &gateway.origins.scans.malformed;
    let (live, expired) = live_rows(others, clock, malformed, |row: &StreamRow| row.until_ms);
    let mut streams = 0;
    for LiveRow { decoded, left, .. } in live {
        for group in &decoded.groups {
            let origin = Origin {
                service: group.service.clone(),
                version: group.version.clone(),
                weights: group.weights,
            };
            for key in &group.streams {
                streams += 1;
                gateway.origins.record(*key, origin.clone(), left, false);
            }
        }
    }
    tracing::info!(rows = rows.len(), streams, "read the origins of streams");
    expired
}

/// Deletes rows that have expired. All routers find the same ones when they start together, so each leaves
/// them to the others mostly.
pub(super) async fn delete(gateway: &Gateway, expired: Transaction) {
    if expired.delete.is_empty() || rand::random_range(0..gateway.routers()) > 0 {
        return;
    }
    let rows = expired.delete.len();
    match gateway.table.transact(&expired).await {
        Ok(deleted) => tracing::info!(rows, ?deleted, "deleted expired origins of streams"),
        Err(error) => tracing::info!(rows, %error, "expired origins of streams not deleted"),
    }
}
