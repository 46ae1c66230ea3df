//! The settings of one gateway process, a JSON file of the project's own layout.
//!
//! The fields are described in
//! [docs/operators/gateway.md](../../../docs/operators/gateway.md).

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use fescue_core::report::{Fault, Report};
use fescue_core::{DataCentreId, VmId};
use fescue_policy::window::Budget;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSecondsWithFrac, serde_as};

/// What one gateway process needs to know at its start.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM it runs on.
    pub vm: VmId,
    /// The data centre of that VM.
    pub data_centre: DataCentreId,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform's store is.
    pub store: SocketAddr,
    /// How long a stopping process may take before it is killed.
    #[serde(rename = "grace_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub grace: Duration,
    /// How long an upstream that is not listed may still be used after the store's return.
    #[serde(rename = "relist_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub relist: Duration,
    /// What the VM's link carries each way, in megabits a second.
    pub link_mbps: f64,
    /// What the fleet may retry.
    pub retries: Retries,
    /// The level of logs, as `tracing` filters are written.
    pub log: String,
}

/// The settings that may change while the process runs.
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

/// The addresses of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer, which asks whether the gateway is ready.
    pub ready: SocketAddr,
    /// For other routers, by datagrams.
    pub peers: SocketAddr,
    /// For operators: metrics as text.
    pub metrics: SocketAddr,
}

/// What the fleet may retry within a window, for each service.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// The window.
    #[serde(rename = "window_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub window: Duration,
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond that, for all routers together.
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
    /// Parses the text of the file `name`.
    ///
    /// # Errors
    ///
    /// The first fault, with its line and column.
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

    /// Returns what may change while the process runs.
    pub fn tuning(&self) -> Tuning {
        Tuning {
            grace: self.grace,
            relist: self.relist,
            link_mbps: self.link_mbps,
            retries: self.retries,
        }
    }

    /// Names the fields that differ and take effect at the next start only.
    pub fn needs_restart(&self, other: &Self) -> Vec<&'static str> {
        let fields = [
            ("vm", self.vm != other.vm),
            ("data_centre", self.data_centre != other.data_centre),
            ("listen", self.listen != other.listen),
            ("store", self.store != other.store),
            ("log", self.log != other.log),
        ];
        let differ = fields.into_iter().filter(|(_, differs)| *differs);
        differ.map(|(name, _)| name).collect()
    }

    /// Refuses what no gateway can run with.
    fn check(self) -> Result<Self, serde_json::Error> {
        let Self {
            link_mbps, retries, ..
        } = &self;
        let fault = |message: String| Err(serde::de::Error::custom(message));
        if *link_mbps <= 0.0 {
            return fault(format!("link_mbps: {link_mbps} is not above zero"));
        }
        if retries.ratio < 0.0 || retries.extra < 0.0 {
            return fault("retries: ratio and extra must not be below zero".to_owned());
        }
        Ok(self)
    }

    /// Reads and parses a file.
    ///
    /// # Errors
    ///
    /// When the file can't be read, or the first fault in it.
    pub fn open(path: &Path) -> miette::Result<Self> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| miette::miette!("{name} can't be read: {error}"))?;
        Self::parse(&name, &text).map_err(|report| miette::Report::new(*report))
    }
}
