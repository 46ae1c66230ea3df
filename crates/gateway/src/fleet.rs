//! Shares router heartbeats and evidence against requests that crashed upstreams through the store.
//!
//! One scan reads both. At 650 routers a scan is two pages; see
//! [docs/design/platform.md](../../../docs/design/platform.md).

mod evidence;
mod heartbeats;

use std::sync::Arc;
use std::time::Duration;

use fescue_core::Era;
use fescue_store::table::{Commit, Put, Row, Table, TableError, Transaction, scan_all};
use tokio::time::{Instant, sleep};

use crate::gateway::Gateway;
use crate::malformed::MalformedRows;
use crate::peers::Peer;
use evidence::EvidenceRows;
use heartbeats::{Heartbeat, Heartbeats};

/// Key prefix of all rows of this module.
const FLEET_PREFIX: &str = "fleet/";

/// Key prefix of the heartbeat rows.
const ROUTER_PREFIX: &str = "fleet/router-";

/// Interval between scans.
const SCAN_INTERVAL: Duration = Duration::from_secs(2);

/// Number of scans for each heartbeat that this router writes.
const SCANS_PER_HEARTBEAT: u32 = 3;

/// Number of scans after which a new router knows all others: routers that started at the same
/// time have written their rows by then.
const DISCOVERY_SCANS: u32 = 2;

/// Maximum number of suspect rows in one transaction.
const MAX_SUSPECTS: usize = 50;

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

/// What one router knows of the others' rows.
#[derive(Default)]
pub struct Fleet {
    others: Heartbeats,
    evidence: EvidenceRows,
    /// The era of the last scan.
    era: Option<Era>,
    heartbeats: u64,
    /// What the latest heartbeat said of this router.
    withdrawn: bool,
    /// Whether a previous process on this VM had written a row.
    restarted: bool,
    scans: u32,
    malformed: MalformedRows,
}

impl Fleet {
    /// Writes what has to be written, and takes over what the rows say.
    ///
    /// # Errors
    ///
    /// Fails if the rows can't be read or written.
    pub async fn round(
        &mut self,
        gateway: &Gateway,
        table: &dyn Table,
        scans: u32,
    ) -> Result<(), TableError> {
        let suspects = gateway.outbox.take_for_store(MAX_SUSPECTS);
        let mut crowded = false;
        if scans == 0 {
            // After a restart, the rows of the others and the old row of this router are present.
            let rows = scan_all(table, FLEET_PREFIX).await?;
            let own = format!("{ROUTER_PREFIX}{}", gateway.settings.vm);
            let own = rows.iter().find(|row| row.key == own);
            self.restarted = own.is_some();
            crowded = gateway.settings.crowding && own.is_some_and(was_crowded);
        }
        let news = !suspects.is_empty() || self.withdrawn != gateway.crowd.is_withdrawn();
        if scans.is_multiple_of(SCANS_PER_HEARTBEAT) || news {
            let written = self.write(gateway, table, &suspects).await;
            if written.is_err() {
                gateway.outbox.push_to_store(suspects);
            }
            written?;
        }
        let rows = scan_all(table, FLEET_PREFIX).await?;
        gateway.suspects.lock().expire(gateway.now());
        let era = rows.first().map_or(table.era(), |row| row.era);
        if Era::differ(self.era, era) {
            // The copy may lack this router's rows.
            self.evidence.plan_repair();
            self.write(gateway, table, &[]).await?;
        }
        self.era = era.or(self.era);
        let expired = self.update(gateway, &rows);
        if crowded {
            // Only now it is known how many others aren't ready.
            gateway.crowd.resume();
        }
        delete_expired(table, &expired).await
    }

    /// Writes this router's heartbeat and the evidence against new suspects.
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
            data_centre: Some(gateway.settings.data_centre.clone()),
            withdrawn: gateway.crowd.is_withdrawn(),
            busy_percent: (gateway.crowd.busy() * 100.0) as u8,
        };
        self.withdrawn = heartbeat.withdrawn;
        let mut transaction = Transaction::default();
        let key = format!("{ROUTER_PREFIX}{}", gateway.settings.vm);
        transaction.put.push(Put::encode(key, &heartbeat));
        evidence::write(gateway, table, suspects, &mut transaction);
        match table.transact(&transaction).await? {
            Commit::Done(_) => Ok(()),
            Commit::Conflict => {
                let error = "heartbeat not written, as the store came back from a copy again";
                Err(TableError::Unavailable(error.to_owned()))
            }
        }
    }

    /// Takes over what the rows say; returns those whose evidence is too old to count.
    fn update<'a>(&mut self, gateway: &Gateway, rows: &'a [Row]) -> Vec<&'a Row> {
        let mut expired = Vec::new();
        self.others.start_scan();
        self.evidence.start_scan();
        for row in rows {
            match row.key.strip_prefix(ROUTER_PREFIX) {
                Some(vm) if vm == gateway.settings.vm.as_str() => {}
                Some(vm) => match decode_heartbeat(row) {
                    Ok(Some(heartbeat)) => self.others.receive(vm, heartbeat),
                    Ok(None) => {}
                    Err(error) => {
                        self.others.remove(vm);
                        self.malformed.report(row, &error);
                    }
                },
                None => match self.evidence.receive(gateway, row) {
                    Ok(true) => expired.push(row),
                    Ok(false) => {}
                    Err(error) => self.malformed.report(row, &error),
                },
            }
        }
        let due = self.evidence.end_scan(gateway);
        gateway.outbox.push_to_store(due);
        self.scans += 1;
        let complete = self.restarted || self.scans >= DISCOVERY_SCANS;
        let live = self.others.live();
        let here = Some(&gateway.settings.data_centre);
        let peers = live.map(|(vm, beat)| {
            let near = beat.data_centre.as_ref() == here;
            Peer::new(vm, beat.address, beat.incarnation)
                .placed(near)
                .using(beat.busy_percent, beat.withdrawn)
        });
        let peers: Vec<_> = peers.collect();
        let data_centres = self
            .others
            .live()
            .filter_map(|(_, beat)| beat.data_centre.clone());
        gateway.evacuations.set_routers(data_centres.collect());
        let live = peers.len() + 1;
        gateway.peers.lock().set(peers, complete);
        if live != gateway.routers() {
            let before = gateway.routers();
            tracing::info!(live, before, "number of live routers changed");
            gateway.set_routers(live);
        }
        expired
    }
}

/// Returns whether the previous process on this VM took no new connections because it was crowded.
fn was_crowded(row: &Row) -> bool {
    let heartbeat = decode_heartbeat(row).ok().flatten();
    heartbeat.is_some_and(|heartbeat| heartbeat.withdrawn)
}

/// Decodes a heartbeat, whose address must be one that datagrams can be sent to.
fn decode_heartbeat(row: &Row) -> Result<Option<Heartbeat>, TableError> {
    let heartbeat: Option<Heartbeat> = row.decode()?;
    let address = heartbeat.as_ref().map(|heartbeat| heartbeat.address);
    if address.is_some_and(|address| address.port() == 0 || address.ip().is_unspecified()) {
        let reason = "its address is not that of a router".to_owned();
        return Err(TableError::Corrupt(row.key.clone(), reason));
    }
    Ok(heartbeat)
}

/// Deletes rows, as many as fit into a transaction.
async fn delete_expired(table: &dyn Table, expired: &[&Row]) -> Result<(), TableError> {
    if expired.is_empty() {
        return Ok(());
    }
    let mut transaction = Transaction::default();
    for row in expired.iter().take(MAX_SUSPECTS) {
        transaction.remove(row);
    }
    let deleted = table.transact(&transaction).await?;
    let rows = transaction.delete.len();
    tracing::info!(rows, ?deleted, "deleted old evidence of crashes");
    Ok(())
}
