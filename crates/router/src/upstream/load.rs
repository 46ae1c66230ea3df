//! Polls model engines for their load.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::SoftwareVersion;
use futures_util::future::join_all;
use serde::Deserialize;
use serde_json::Value;

use super::{Client, Handle, State};
use crate::blackboard::Board;

/// The pause between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The fields of an engine's load report that this router uses.
#[derive(Debug, Deserialize)]
struct Report {
    incarnation: u64,
    running: u32,
    waiting: u32,
    leaving: bool,
    #[serde(default)]
    software_version: Value,
}

impl Report {
    /// Returns the software version that the engine names, unless it can't be read.
    fn version(&self) -> Option<SoftwareVersion> {
        self.software_version.as_str()?.parse().ok()
    }
}

/// The controller that polls engines for their load and stores it on the board.
pub struct LoadPoller {
    board: Arc<Board>,
    client: Client,
}

impl LoadPoller {
    /// Creates a controller that stores what it learns on `board`.
    pub fn open(board: Arc<Board>, client: Client) -> Self {
        Self { board, client }
    }

    /// Polls all engines periodically, for as long as the router runs.
    pub async fn run(&self) {
        loop {
            self.poll().await;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Polls all engines once, then updates this router's part of their slots.
    pub async fn poll(&self) {
        let engines: Vec<_> = {
            let upstreams = self.board.upstreams.lock();
            let engines = upstreams.iter().filter(|s| !s.rule().models.is_empty());
            engines.map(State::handle).collect()
        };
        let polls = engines.iter().map(|engine| self.poll_engine(engine));
        join_all(polls).await;
        let routers = self.board.members.lock().alive().count() as u32 + 1;
        self.board.upstreams.lock().resize(routers);
        self.board.capacity.notify_one();
    }

    async fn poll_engine(&self, engine: &Handle) {
        let answer = self.client.get(engine.rule.address, "/v1/load").await;
        let report = answer.and_then(|body| serde_json::from_slice::<Report>(&body).ok());
        let mut upstreams = self.board.upstreams.lock();
        match report {
            Some(report) => {
                let requests = report.running.saturating_add(report.waiting);
                upstreams.record_report(engine, report.incarnation, requests, report.leaving);
                upstreams.record_version(engine, report.version());
            }
            None => drop(upstreams.record_missed_report(engine, self.board.now())),
        }
    }
}
