//! What routers tell each other through the store: that they live, and which requests crashed
//! upstreams.
//!
//! One scan serves both. At 650 routers a scan is two pages; see
//! [docs/design/platform.md](../../../docs/design/platform.md).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{Incarnation, record};
use fescue_store::table::{Put, Row, Table, TableError, Transaction, scan_all};
use tokio::time::{Instant, sleep};

use crate::gateway::Gateway;
use crate::peers::Peer;

/// Where the rows are.
const PREFIX: &str = "fleet/";

/// Where the routers' rows are.
const ROUTERS: &str = "fleet/router-";

/// Where the suspects' rows are.
const SUSPECTS: &str = "fleet/suspect-";

/// The time between two scans.
const SCAN: Duration = Duration::from_secs(2);

/// How many scans there are for each of a router's own writes.
const SCANS_PER_BEAT: u32 = 3;

/// After how many scans without a change a router counts as gone.
const SILENT_SCANS: u32 = 9;

/// After how many scans a new router knows the others: those that started with it had time to
/// write their rows.
const SETTLED_SCANS: u32 = 2;

/// The suspects that are written at once.
const MOST_SUSPECTS: usize = 50;

record! {
    /// A live router.
    struct Beat {
        incarnation: Incarnation,
        count: u64,
        /// Where it hears other routers.
        address: SocketAddr,
    }

    /// A request that crashed upstreams.
    struct Crashes {
        crashes: u32,
    }
}

/// Runs the controller for as long as the process runs.
pub async fn run(gateway: Arc<Gateway>, table: Arc<dyn Table>) {
    let mut fleet = Fleet::default();
    let mut scans = 0_u32;
    loop {
        let started = Instant::now();
        let done = fleet.round(&gateway, &*table, scans).await;
        gateway.metrics.count_store("fleet", done.is_ok());
        if let Err(error) = done {
            tracing::info!(%error, "the fleet's rows can't be read or written");
        }
        scans = scans.wrapping_add(1);
        sleep(SCAN.saturating_sub(started.elapsed())).await;
    }
}

#[derive(Default)]
struct Fleet {
    /// The version of each router's row and the scans since it changed.
    seen: HashMap<String, (u64, u32)>,
    beats: u64,
    /// Whether a former process of this VM had a row.
    returned: bool,
    scans: u32,
}

impl Fleet {
    async fn round(
        &mut self,
        gateway: &Gateway,
        table: &dyn Table,
        scans: u32,
    ) -> Result<(), TableError> {
        let accused = {
            let mut accused = gateway.new_suspects.lock();
            let count = accused.len().min(MOST_SUSPECTS);
            accused.drain(..count).collect::<Vec<_>>()
        };
        if scans == 0 {
            // A router that was here before finds the others' rows and its own former one.
            let rows = scan_all(table, PREFIX).await?;
            let own = format!("{ROUTERS}{}", gateway.settings.vm);
            self.returned = rows.iter().any(|row| row.key == own);
        }
        if scans.is_multiple_of(SCANS_PER_BEAT) || !accused.is_empty() {
            let written = self.write(gateway, table, &accused).await;
            if written.is_err() {
                gateway.new_suspects.lock().extend(accused);
            }
            written?;
        }
        let rows = scan_all(table, PREFIX).await?;
        self.learn(gateway, &rows);
        Ok(())
    }

    /// Writes this router's row and what it knows of new suspects.
    async fn write(
        &mut self,
        gateway: &Gateway,
        table: &dyn Table,
        accused: &[u64],
    ) -> Result<(), TableError> {
        self.beats += 1;
        let beat = Beat {
            incarnation: gateway.incarnation,
            count: self.beats,
            address: gateway.settings.listen.peers,
        };
        let mut transaction = Transaction::default();
        let key = format!("{ROUTERS}{}", gateway.settings.vm);
        transaction.put.push(Put::encode(key, &beat));
        let known: HashMap<u64, u32> = gateway.suspects.lock().iter().collect();
        for fingerprint in accused {
            let crashes = known.get(fingerprint).copied().unwrap_or(1);
            let key = format!("{SUSPECTS}{fingerprint:016x}");
            transaction.put.push(Put::encode(key, &Crashes { crashes }));
        }
        table.transact(&transaction).await.map(|_| ())
    }

    fn learn(&mut self, gateway: &Gateway, rows: &[Row]) {
        let now = gateway.now();
        let mut peers = Vec::new();
        for row in rows {
            if let Some(name) = row.key.strip_prefix(ROUTERS) {
                let seen = self.seen.entry(name.to_owned()).or_insert((0, 0));
                *seen = match seen.0 == row.version {
                    true => (row.version, seen.1 + 1),
                    false => (row.version, 0),
                };
                let live = seen.1 < SILENT_SCANS && name != gateway.settings.vm.as_str();
                match row.decode::<Beat>() {
                    Ok(Some(beat)) if live => {
                        peers.push(Peer::new(name, beat.address, beat.incarnation));
                    }
                    Ok(_) => {}
                    Err(error) => tracing::warn!(%error, "a router's row can't be read"),
                }
            }
            if let Some(name) = row.key.strip_prefix(SUSPECTS)
                && let Ok(fingerprint) = u64::from_str_radix(name, 16)
            {
                match row.decode::<Crashes>() {
                    Ok(Some(Crashes { crashes })) => {
                        gateway.suspects.lock().learn(fingerprint, crashes, now);
                    }
                    Ok(None) => {}
                    Err(error) => tracing::warn!(%error, "a suspect's row can't be read"),
                }
            }
        }
        self.scans += 1;
        let settled = self.returned || self.scans >= SETTLED_SCANS;
        gateway.peers.lock().set(peers, settled);
        let live = self
            .seen
            .values()
            .filter(|seen| seen.1 < SILENT_SCANS)
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
