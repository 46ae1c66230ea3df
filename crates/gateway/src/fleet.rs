//! Shares router heartbeats and evidence against requests that crashed upstreams through the store.
//!
//! One scan reads both. At 650 routers a scan is two pages; see
//! [docs/design/platform.md](../../../docs/design/platform.md).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{Incarnation, record};
use fescue_policy::quarantine::{Evidence, RETENTION};
use fescue_store::table::{Put, Row, Table, TableError, Transaction, scan_all};
use tokio::time::{Instant, sleep};

use crate::gateway::Gateway;
use crate::peers::Peer;

/// Key prefix of all rows of this module.
const FLEET_PREFIX: &str = "fleet/";

/// Key prefix of the heartbeat rows.
const ROUTER_PREFIX: &str = "fleet/router-";

/// Key prefix of the rows of requests and parts of prompts that crashed upstreams.
const SUSPECT_PREFIX: &str = "fleet/suspect-";

/// Interval between scans.
const SCAN_INTERVAL: Duration = Duration::from_secs(2);

/// Number of scans for each heartbeat that this router writes.
const SCANS_PER_HEARTBEAT: u32 = 3;

/// Number of scans without a new heartbeat after which a router counts as dead.
const EXPIRY_SCANS: u32 = 9;

/// Number of scans after which a new router knows all others: routers that started at the same
/// time have written their rows by then.
const DISCOVERY_SCANS: u32 = 2;

/// Maximum number of suspect rows in one transaction.
const MAX_SUSPECTS: usize = 50;

record! {
    /// The heartbeat of a live router.
    struct Heartbeat {
        incarnation: Incarnation,
        count: u64,
        /// Address on which it receives datagrams from other routers.
        address: SocketAddr,
    }

    /// The evidence against a request or a part of a prompt.
    struct Crashes {
        #[serde(flatten)]
        evidence: Evidence,
        /// When the evidence last changed, by the store's clock; absent in rows of older routers.
        #[serde(default)]
        at_ms: Option<u64>,
    }
}

/// Writes heartbeats and scans the rows for as long as the process runs.
pub async fn run(gateway: Arc<Gateway>, table: Arc<dyn Table>) {
    let mut fleet = Fleet::default();
    let mut scans = 0_u32;
    loop {
        let started = Instant::now();
        let done = fleet.round(&gateway, &*table, scans).await;
        gateway.metrics.count_store("fleet", done.is_ok());
        if let Err(error) = done {
            tracing::info!(%error, "fleet rows not read or written; retrying at the next scan");
        }
        scans = scans.wrapping_add(1);
        sleep(SCAN_INTERVAL.saturating_sub(started.elapsed())).await;
    }
}

#[derive(Default)]
struct Fleet {
    /// For each router, the version of its row and the number of scans since it changed.
    seen: HashMap<String, (u64, u32)>,
    heartbeats: u64,
    /// Whether a previous process on this VM had written a row.
    restarted: bool,
    scans: u32,
}

impl Fleet {
    async fn round(
        &mut self,
        gateway: &Gateway,
        table: &dyn Table,
        scans: u32,
    ) -> Result<(), TableError> {
        let suspects = gateway.outbox.take_for_store(MAX_SUSPECTS);
        if scans == 0 {
            // After a restart, the rows of the others and the old row of this router are present.
            let rows = scan_all(table, FLEET_PREFIX).await?;
            let own = format!("{ROUTER_PREFIX}{}", gateway.settings.vm);
            self.restarted = rows.iter().any(|row| row.key == own);
        }
        if scans.is_multiple_of(SCANS_PER_HEARTBEAT) || !suspects.is_empty() {
            let written = self.write(gateway, table, &suspects).await;
            if written.is_err() {
                gateway.outbox.return_to_store(suspects);
            }
            written?;
        }
        let rows = scan_all(table, FLEET_PREFIX).await?;
        self.update(gateway, &rows);
        self.delete_expired(table, gateway, &rows).await
    }

    /// Writes this router's heartbeat and the evidence against new suspects. The row of a suspect that
    /// was cleared is deleted.
    async fn write(
        &mut self,
        gateway: &Gateway,
        table: &dyn Table,
        suspects: &[u64],
    ) -> Result<(), TableError> {
        self.heartbeats += 1;
        let heartbeat = Heartbeat {
            incarnation: gateway.incarnation,
            count: self.heartbeats,
            address: gateway.settings.listen.peers,
        };
        let mut transaction = Transaction::default();
        let key = format!("{ROUTER_PREFIX}{}", gateway.settings.vm);
        transaction.put.push(Put::encode(key, &heartbeat));
        let at_ms = table.clock().map(|clock| clock.as_millis() as u64);
        for print in suspects {
            let evidence = gateway.suspects.lock().evidence(*print);
            let key = format!("{SUSPECT_PREFIX}{print:016x}");
            if evidence.strength() == 0 {
                transaction.delete.push(key);
            } else {
                transaction
                    .put
                    .push(Put::encode(key, &Crashes { evidence, at_ms }));
            }
        }
        table.transact(&transaction).await.map(|_| ())
    }

    /// Deletes the rows of evidence that is too old to count.
    async fn delete_expired(
        &self,
        table: &dyn Table,
        gateway: &Gateway,
        rows: &[Row],
    ) -> Result<(), TableError> {
        gateway.suspects.lock().expire(gateway.evidence_clock());
        let mut transaction = Transaction::default();
        let expired = rows.iter().filter(|row| {
            row.key.starts_with(SUSPECT_PREFIX)
                && suspect_age(row, table).is_some_and(|age| age >= RETENTION)
        });
        for row in expired.take(MAX_SUSPECTS) {
            transaction.remove(row);
        }
        if transaction.delete.is_empty() {
            return Ok(());
        }
        let deleted = table.transact(&transaction).await?;
        let rows = transaction.delete.len();
        tracing::info!(rows, ?deleted, "deleted old evidence of crashes");
        Ok(())
    }

    fn update(&mut self, gateway: &Gateway, rows: &[Row]) {
        let now = gateway.evidence_clock();
        let mut peers = Vec::new();
        for row in rows {
            if let Some(name) = row.key.strip_prefix(ROUTER_PREFIX) {
                let seen = self.seen.entry(name.to_owned()).or_insert((0, 0));
                *seen = match seen.0 == row.version {
                    true => (row.version, seen.1 + 1),
                    false => (row.version, 0),
                };
                let live = seen.1 < EXPIRY_SCANS && name != gateway.settings.vm.as_str();
                match row.decode::<Heartbeat>() {
                    Ok(Some(heartbeat)) if live => {
                        peers.push(Peer::new(name, heartbeat.address, heartbeat.incarnation));
                    }
                    Ok(_) => {}
                    Err(error) => {
                        tracing::warn!(%error, "heartbeat row is malformed; ignored")
                    }
                }
            }
            if let Some(name) = row.key.strip_prefix(SUSPECT_PREFIX)
                && let Ok(print) = u64::from_str_radix(name, 16)
            {
                match row.decode::<Crashes>() {
                    Ok(Some(Crashes { evidence, .. })) => {
                        let age = suspect_age(row, &*gateway.table).unwrap_or_default();
                        if age < RETENTION {
                            gateway
                                .suspects
                                .lock()
                                .merge(print, evidence, now.saturating_sub(age));
                        }
                    }
                    Ok(None) => {}
                    Err(error) => tracing::warn!(%error, "suspect row is malformed; ignored"),
                }
            }
        }
        self.scans += 1;
        let complete = self.restarted || self.scans >= DISCOVERY_SCANS;
        gateway.peers.lock().set(peers, complete);
        let live = self
            .seen
            .values()
            .filter(|seen| seen.1 < EXPIRY_SCANS)
            .count();
        if live != gateway.routers() {
            tracing::info!(
                live,
                before = gateway.routers(),
                "number of live routers changed"
            );
            gateway.set_routers(live);
        }
    }
}

/// Returns the age of the evidence in a row; `None` if the row or the store doesn't tell.
fn suspect_age(row: &Row, table: &dyn Table) -> Option<Duration> {
    let at = row.decode::<Crashes>().ok()??.at_ms?;
    let age = table.clock()?.saturating_sub(Duration::from_millis(at));
    Some(age)
}
