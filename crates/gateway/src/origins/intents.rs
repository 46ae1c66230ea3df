//! Stores the upstream version that a stream is going to begin at, before its first event arrives.
//!
//! While a service has several versions, the version of a stream can't be inferred ([`crate::versions`]), and
//! the row of its router ([`super::rows`]) is written less often the more routers there are. So each router announces
//! an *intent* when it sends a request: to two collectors, a few routers that store the intents of all. No event
//! waits for that. Only when a stream begins at another version than an earlier attempt of its request was
//! sent to, that is stored before the first event is forwarded: the latest intent in the store is never
//! wrong. Rows are divided into buckets by stream, so that a lookup reads few of them. See [docs/design/versions.md](../../../../docs/design/versions.md#intents).

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{Era, ServiceId, SoftwareVersion, record};
use fescue_store::table::{Put, Row, TableError, Transaction, scan_all};
use indexmap::{IndexMap, IndexSet};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::rows::{DELETE_AFTER, LiveRow, MAX_DELETED, delete, live_rows};
use super::{Origin, StreamKey};
use crate::datagrams::Datagram;
use crate::gateway::Gateway;
use crate::malformed::MalformedRows;
use crate::peers::Home;

/// Key prefix of the rows.
const PREFIX: &str = "intents/";

/// The number of buckets. A collector writes all that have news with one call.
const BUCKETS: u64 = 32;

/// Selects the collectors.
const COLLECTORS_KEY: u64 = 0x696e_7465_6e74_7321;

/// The number of routers for each collector, and the limits on the number of collectors.
const ROUTERS_PER_COLLECTOR: usize = 32;
const MIN_COLLECTORS: usize = 2;
const MAX_COLLECTORS: usize = 16;

/// The number of collectors that are told of one stream.
const TOLD_COLLECTORS: usize = 2;

/// The least interval between two writes for each collector: all of them together write 83 rows a second at most,
/// of the 200 that a part of the store takes.
const INTERVAL_PER_COLLECTOR: Duration = Duration::from_millis(12);

/// Delay of the next write after one that failed.
const WRITE_BACKOFF: Duration = Duration::from_millis(100);

/// The longest time between two rounds, in which rows that have expired are deleted.
const MAX_ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// The number of intents and the time after which a collector begins another row of a bucket. Each write repeats the
/// row that is being filled.
const ROW_INTENTS: usize = 64;
const ROW_TIME: Duration = Duration::from_secs(4);

/// The least interval between two reads of buckets.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(20);

/// The largest number of intents that wait for a write.
const MAX_WAITING: usize = 1024;

/// The number of expired rows of its own from which on a collector deletes them without writing others.
const MIN_DELETED: usize = 16;

/// The longest time that a stream waits for an intent that must be stored before its first event.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// Tells a collector at which version a stream is going to begin.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Intent {
    /// The stream.
    pub key: StreamKey,
    /// The service that the request is sent to.
    pub service: ServiceId,
    /// The version of the upstream; `None` if it isn't known, so that the stream can't be resumed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SoftwareVersion>,
    /// Counts the versions that the request was sent to, from one on. The highest count holds.
    pub turn: u32,
    /// How long the caller may resume the stream.
    #[serde(rename = "left_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lifetime: Duration,
}

record! {
    /// Some intents, grouped by what they say.
    struct IntentRow {
        /// When the last of them expires, on the store's clock.
        until_ms: u64,
        /// The era in which the row was written. A copy of an earlier one may lack later intents.
        era: Option<Era>,
        groups: Vec<Group>,
    }

    struct Group {
        service: ServiceId,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        version: Option<SoftwareVersion>,
        turn: u32,
        streams: Vec<StreamKey>,
    }
}

/// What the rows of a bucket tell of a stream.
#[derive(Clone, Debug)]
struct Stored {
    origin: Option<Origin>,
    turn: u32,
}

/// The intents that this router collects.
#[derive(Debug, Default)]
pub(super) struct Intents {
    waiting: Mutex<Vec<(Intent, Instant)>>,
    /// Notified when an intent arrives.
    arrived: Notify,
    /// When the latest read of a bucket began.
    read: tokio::sync::Mutex<Option<Instant>>,
    malformed: Mutex<MalformedRows>,
}

impl Intents {
    /// Takes over an intent that is to be stored.
    fn collect(&self, intent: Intent) {
        let mut waiting = self.waiting.lock();
        if waiting.len() < MAX_WAITING {
            waiting.push((intent, Instant::now()));
        }
        drop(waiting);
        self.arrived.notify_one();
    }

    /// Returns what rows tell of a stream, and a transaction that deletes those that have long expired.
    fn read_rows(
        &self,
        clock: Duration,
        rows: &[Row],
        key: StreamKey,
    ) -> (Option<Stored>, Transaction) {
        let until = |row: &IntentRow| row.until_ms;
        let (live, expired) = live_rows(rows.iter(), clock, &self.malformed, until);
        let mut found = None;
        for LiveRow { row, decoded, .. } in live {
            if decoded.era != row.era {
                continue;
            }
            let groups = decoded.groups.into_iter();
            for group in groups.filter(|group| group.streams.contains(&key)) {
                let service = group.service;
                let stored = Stored {
                    origin: group.version.map(|version| Origin {
                        service,
                        version,
                        weights: None,
                    }),
                    turn: group.turn,
                };
                found = Some(choose(found, stored));
            }
        }
        (found, expired)
    }
}

/// Returns which of two intents of a stream holds: that of the later turn. Two versions in one turn are those of two
/// requests, and neither holds.
fn choose(known: Option<Stored>, other: Stored) -> Stored {
    match known {
        None => other,
        Some(known) if known.turn != other.turn => match known.turn > other.turn {
            true => known,
            false => other,
        },
        Some(known) => Stored {
            origin: known
                .origin
                .filter(|origin| other.origin.as_ref() == Some(origin)),
            ..other
        },
    }
}

/// Reads from the store at which version a stream was going to begin; `Some(None)` if it can't be told, `None` if there
/// is no intent.
///
/// # Errors
///
/// Fails if the rows can't be read.
pub(super) async fn read(
    gateway: &Gateway,
    key: StreamKey,
) -> Result<Option<Option<Origin>>, TableError> {
    let intents = &gateway.origins.intents;
    {
        let mut latest = intents.read.lock().await;
        if let Some(latest) = *latest {
            sleep_until(latest + MIN_READ_INTERVAL).await;
        }
        *latest = Some(Instant::now());
    }
    let rows = scan_all(&*gateway.table, &bucket_prefix(bucket(key))).await;
    gateway.metrics.count_store("intents_scan", rows.is_ok());
    let rows = rows?;
    let clock = gateway.table.clock().unwrap_or_default();
    let (found, expired) = intents.read_rows(clock, &rows, key);
    tracing::debug!(
        stream = key.0,
        rows = rows.len(),
        ?found,
        "read the intents of streams"
    );
    delete(gateway, expired).await;
    Ok(found.map(|stored| stored.origin))
}

fn bucket(key: StreamKey) -> u64 {
    key.0 % BUCKETS
}

fn bucket_prefix(bucket: u64) -> String {
    format!("{PREFIX}{bucket:02x}-")
}

/// Returns the routers that store the intents of all.
fn collectors(gateway: &Gateway) -> Vec<Home> {
    let count = gateway.routers() / ROUTERS_PER_COLLECTOR;
    let count = count.clamp(MIN_COLLECTORS, MAX_COLLECTORS);
    gateway.peers.lock().elect(COLLECTORS_KEY, count)
}

/// Has two collectors store at which version a stream is going to begin.
pub fn announce(gateway: &Gateway, intent: &Intent) {
    let collectors = collectors(gateway);
    let first = (intent.key.0 / BUCKETS) as usize;
    for place in 0..TOLD_COLLECTORS.min(collectors.len()) {
        match collectors[first.wrapping_add(place) % collectors.len()] {
            Home::Own => gateway.origins.intents.collect(intent.clone()),
            Home::Peer(peer) => gateway.courier.send(peer, Datagram::Intent(intent.clone())),
        }
    }
}

/// Takes over an intent that another router announces.
pub fn receive(gateway: &Gateway, intent: Intent) {
    gateway.origins.intents.collect(intent);
}

/// Stores at which version a stream has begun; returns whether that is done.
pub async fn store(gateway: &Gateway, intent: &Intent) -> bool {
    let key = own_key(gateway, bucket(intent.key), intent.key.0);
    let row = encode(gateway, [intent]);
    let mut transaction = Transaction::default();
    transaction.put.push(Put::encode(key, &row));
    let stored = timeout(STORE_TIMEOUT, gateway.table.transact(&transaction)).await;
    let stored = stored.unwrap_or_else(|_| Err(TableError::Lost("no answer in time".to_owned())));
    gateway.metrics.count_store("intents", stored.is_ok());
    if let Err(error) = &stored {
        tracing::info!(%error, stream = intent.key.0, turn = intent.turn, "origin of a stream not stored");
    }
    stored.is_ok()
}

fn own_key(gateway: &Gateway, bucket: u64, name: u64) -> String {
    let (vm, process) = (&gateway.settings.vm, gateway.incarnation);
    format!("{}{vm}-{process}-{name:016x}", bucket_prefix(bucket))
}

fn encode<'a>(gateway: &Gateway, intents: impl IntoIterator<Item = &'a Intent>) -> IntentRow {
    let clock = gateway.table.clock().unwrap_or_default();
    let mut longest = Duration::ZERO;
    let mut groups: Vec<Group> = Vec::new();
    for intent in intents {
        longest = longest.max(intent.lifetime);
        let same = |group: &&mut Group| {
            group.service == intent.service
                && group.version == intent.version
                && group.turn == intent.turn
        };
        match groups.iter_mut().find(same) {
            Some(group) => group.streams.push(intent.key),
            None => groups.push(Group {
                service: intent.service.clone(),
                version: intent.version.clone(),
                turn: intent.turn,
                streams: vec![intent.key],
            }),
        }
    }
    IntentRow {
        until_ms: (clock + longest).as_millis() as u64,
        era: gateway.table.era(),
        groups,
    }
}

/// Stores the intents that arrive, for as long as the process runs.
pub async fn run(gateway: Arc<Gateway>) {
    let mut writer = Writer::default();
    loop {
        let _woken = timeout(
            MAX_ROUND_INTERVAL,
            gateway.origins.intents.arrived.notified(),
        )
        .await;
        let begun = Instant::now();
        match writer.round(&gateway).await {
            Ok(false) => {}
            Ok(true) => {
                let collectors = collectors(&gateway).len() as u32;
                let interval = INTERVAL_PER_COLLECTOR * collectors;
                sleep(interval.saturating_sub(begun.elapsed())).await;
            }
            Err(error) => {
                tracing::info!(%error, "intents of streams not written; retrying");
                sleep(WRITE_BACKOFF).await;
                gateway.origins.intents.arrived.notify_one();
            }
        }
    }
}

/// The row of one bucket that is being filled.
struct Filling {
    number: u64,
    intents: Vec<Intent>,
    opened: Instant,
}

/// The rows of this collector.
#[derive(Default)]
struct Writer {
    /// The number of rows that were begun.
    rows: u64,
    filling: IndexMap<u64, Filling>,
    /// The other rows, with the store's time at which they can be deleted.
    full: VecDeque<(String, Duration)>,
}

impl Writer {
    /// Writes what has arrived and deletes what has expired; returns whether it has made a call.
    async fn round(&mut self, gateway: &Gateway) -> Result<bool, TableError> {
        let mut arrived = std::mem::take(&mut *gateway.origins.intents.waiting.lock());
        arrived.retain(|(intent, arrival)| arrival.elapsed() < intent.lifetime);
        let clock = gateway.table.clock().unwrap_or_default();
        self.close_rows(gateway, clock);
        let due = |(_, until): &&(String, Duration)| *until < clock;
        let due = self.full.iter().take_while(due).count().min(MAX_DELETED);
        if arrived.is_empty() && due < MIN_DELETED {
            return Ok(false);
        }
        let mut transaction = Transaction::default();
        let changed = self.add(&arrived);
        for bucket in changed {
            let row = &self.filling[&bucket];
            let key = own_key(gateway, bucket, row.number);
            let put = Put::encode(key, &encode(gateway, &row.intents));
            transaction.put.push(put);
        }
        let deleted = self.full.iter().take(due);
        transaction
            .delete
            .extend(deleted.map(|(key, _)| key.clone()));
        let written = gateway.table.transact(&transaction).await;
        gateway.metrics.count_store("intents", written.is_ok());
        if let Err(error) = written {
            // They are written again with the next round.
            gateway.origins.intents.waiting.lock().splice(0..0, arrived);
            return Err(error);
        }
        self.full.drain(..due);
        if let Some(longest) = arrived.iter().map(|(_, arrival)| arrival.elapsed()).max() {
            let longest_ms = longest.as_millis() as u64;
            tracing::debug!(
                new = arrived.len(),
                longest_ms,
                "wrote the intents of streams"
            );
        }
        Ok(true)
    }

    /// Adds intents to the rows of their buckets, but for those that are there already; returns the buckets.
    fn add(&mut self, arrived: &[(Intent, Instant)]) -> IndexSet<u64> {
        let mut changed = IndexSet::new();
        for (intent, _) in arrived {
            let bucket = bucket(intent.key);
            let rows = &mut self.rows;
            let row = self.filling.entry(bucket).or_insert_with(|| {
                *rows += 1;
                Filling {
                    number: *rows,
                    intents: Vec::new(),
                    opened: Instant::now(),
                }
            });
            let same = |known: &Intent| known.key == intent.key && known.turn == intent.turn;
            if !row.intents.iter().any(same) {
                row.intents.push(intent.clone());
            }
            changed.insert(bucket);
        }
        changed
    }

    /// Leaves rows as they are that hold enough, and begins others when there are more intents.
    fn close_rows(&mut self, gateway: &Gateway, clock: Duration) {
        let complete = |_: &u64, row: &mut Filling| {
            row.intents.len() >= ROW_INTENTS || row.opened.elapsed() >= ROW_TIME
        };
        let closed: Vec<_> = self.filling.extract_if(.., complete).collect();
        for (bucket, row) in closed {
            let longest = row.intents.iter().map(|intent| intent.lifetime).max();
            let until = clock + longest.unwrap_or_default() + DELETE_AFTER;
            let key = own_key(gateway, bucket, row.number);
            self.full.push_back((key, until));
        }
    }
}
