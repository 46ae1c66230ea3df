//! The settings of one gateway process, read from a JSON file.
//!
//! The fields are described in
//! [docs/operators/gateway.md](../../../docs/operators/gateway.md).

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use fescue_core::report::{Fault, Report};
use fescue_core::{DataCentreId, VmId};
use fescue_policy::window::Budget;
use indexmap::IndexMap;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSecondsWithFrac, serde_as};

use crate::model::Region;

/// The settings of one gateway process.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// VM that the process runs on.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Addresses that the process listens on.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time after which a stopping process is killed.
    #[serde(rename = "grace_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub grace: Duration,
    /// Time for which an unlisted upstream may still be used after an outage of the store.
    #[serde(rename = "relist_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub relist: Duration,
    /// Time after which an upstream whose leaving the store knows must get no requests.
    #[serde(rename = "drain_ms", default = "default_drain")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub drain: Duration,
    /// Capacity of the VM's network link each way, in megabits per second; above zero.
    pub link_mbps: f64,
    /// Whether the router withdraws and refuses requests when the processor or the link is nearly used up. To
    /// be turned off where other programs share the machine: what these use counts as used up.
    #[serde(default = "on")]
    pub crowding: bool,
    /// Whether prompts for model engines are placed by the routers that schedule these engines.
    #[serde(default)]
    pub scheduling: bool,
    /// Retry limits of the fleet.
    pub retries: Retries,
    /// Regions of data centres.
    #[serde(default)]
    pub regions: IndexMap<DataCentreId, Region>,
    /// Log filter in the syntax of `tracing`.
    pub log: String,
}

fn on() -> bool {
    true
}

/// The time by which the list of upstreams at a router whose link is full must be younger than
/// [`Settings::drain`].
const SYNC_MARGIN: Duration = Duration::from_millis(200);

/// The fraction of [`Settings::drain`] in which streams are sent to an upstream that leaves.
const CONTINUATION_FRACTION: f64 = 0.75;

fn default_drain() -> Duration {
    Duration::from_secs(2)
}

/// The settings that can change while the process runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// See [`Settings::grace`].
    pub grace: Duration,
    /// See [`Settings::relist`].
    pub relist: Duration,
    /// See [`Settings::link_mbps`].
    pub link_mbps: f64,
    /// See [`Settings::retries`].
    pub retries: Retries,
}

/// The addresses that a gateway listens on.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks of the balancer.
    pub ready: SocketAddr,
    /// Datagrams from other routers.
    pub peers: SocketAddr,
    /// Metrics in the Prometheus text format.
    pub metrics: SocketAddr,
}

/// The fleet's limit on retries for each service within a sliding window.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Length of the window.
    #[serde(rename = "window_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub window: Duration,
    /// Retries allowed per request; at least zero.
    pub ratio: f64,
    /// Further retries allowed in the window for all routers together; at least zero.
    pub extra: f64,
}

impl From<Retries> for Budget {
    fn from(retries: Retries) -> Self {
        let Retries {
            window,
            ratio,
            extra,
        } = retries;
        Self {
            window,
            ratio,
            extra,
        }
    }
}

impl Settings {
    /// Parses settings from the text of the file `name`.
    ///
    /// # Errors
    ///
    /// Reports the first fault with its line and column.
    pub fn parse(name: &str, text: &str) -> Result<Self, Box<Report>> {
        let parsed = serde_json::from_str(text).and_then(Self::check);
        parsed.map_err(|error| {
            let line = text.split('\n').take(error.line().saturating_sub(1));
            let before: usize = line.map(|line| line.len() + 1).sum();
            let at = before + error.column().saturating_sub(1);
            let fault = Fault::new(at.min(text.len()), 1, error.to_string());
            Report::new(name, "settings", text, vec![fault])
        })
    }

    /// Returns the greatest age of the list of upstreams at a router whose link is full.
    pub fn max_sync_age(&self) -> Duration {
        self.drain.saturating_sub(SYNC_MARGIN)
    }

    /// Returns the time for which streams that have begun are sent to an upstream that leaves. The rest of
    /// [`Self::drain`] is left for their way there.
    pub fn continuation_time(&self) -> Duration {
        self.drain.mul_f64(CONTINUATION_FRACTION)
    }

    /// Returns the settings that can change while the process runs.
    pub fn tuning(&self) -> Tuning {
        Tuning {
            grace: self.grace,
            relist: self.relist,
            link_mbps: self.link_mbps,
            retries: self.retries,
        }
    }

    /// Returns the names of the fields that differ and need a restart to take effect.
    pub fn needs_restart(&self, other: &Self) -> Vec<&'static str> {
        let fields = [
            ("vm", self.vm != other.vm),
            ("data_centre", self.data_centre != other.data_centre),
            ("listen", self.listen != other.listen),
            ("store", self.store != other.store),
            ("drain_ms", self.drain != other.drain),
            ("crowding", self.crowding != other.crowding),
            ("scheduling", self.scheduling != other.scheduling),
            ("regions", self.regions != other.regions),
            ("log", self.log != other.log),
        ];
        let differ = fields.into_iter().filter(|(_, differs)| *differs);
        differ.map(|(name, _)| name).collect()
    }

    /// Rejects values outside their valid range.
    fn check(self) -> Result<Self, serde_json::Error> {
        let Self {
            drain,
            link_mbps,
            retries,
            ..
        } = &self;
        let fault = |message: String| Err(serde::de::Error::custom(message));
        if *link_mbps <= 0.0 {
            return fault(format!("link_mbps: {link_mbps} is not above zero"));
        }
        if *drain <= SYNC_MARGIN {
            let least = SYNC_MARGIN.as_millis();
            return fault(format!("drain_ms: must be above {least}"));
        }
        if retries.ratio < 0.0 || retries.extra < 0.0 {
            return fault("retries: ratio and extra must not be below zero".to_owned());
        }
        Ok(self)
    }

    /// Reads and parses the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read; else reports the first fault in it.
    pub fn open(path: &Path) -> miette::Result<Self> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| miette::miette!("cannot read {name}: {error}"))?;
        Self::parse(&name, &text).map_err(|report| miette::Report::new(*report))
    }
}
