//! Asks model engines for their load.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::UpstreamId;
use futures_util::future::join_all;
use serde::Deserialize;

use super::Caller;
use crate::blackboard::Board;

/// How often an engine is asked.
const PACE: Duration = Duration::from_millis(500);

/// What an engine reports, as far as it concerns us.
#[derive(Debug, Deserialize)]
struct Report {
    incarnation: u64,
    running: u32,
    waiting: u32,
    leaving: bool,
}

/// The controller that asks engines for their load.
pub struct LoadWatch {
    board: Arc<Board>,
    caller: Caller,
}

impl LoadWatch {
    /// Opens the controller.
    pub fn open(board: Arc<Board>, caller: Caller) -> Self {
        Self { board, caller }
    }

    /// Asks all engines, as long as the router runs.
    pub async fn run(&self) {
        loop {
            self.round().await;
            tokio::time::sleep(PACE).await;
        }
    }

    /// Asks all engines once.
    pub async fn round(&self) {
        let engines: Vec<_> = {
            let upstreams = self.board.upstreams.lock();
            let engines = upstreams.iter().filter(|s| !s.rule().models.is_empty());
            engines.map(|s| Arc::clone(s.rule())).collect()
        };
        let asked = engines
            .iter()
            .map(|rule| self.ask(&rule.name, rule.address));
        join_all(asked).await;
        let routers = self.board.members.lock().alive().count() as u32 + 1;
        self.board.upstreams.lock().resize(routers);
        self.board.capacity.notify_one();
    }

    async fn ask(&self, name: &UpstreamId, address: std::net::SocketAddr) {
        let answer = self.caller.get(address, "/v1/load").await;
        let report = answer.and_then(|body| serde_json::from_slice::<Report>(&body).ok());
        let mut upstreams = self.board.upstreams.lock();
        match report {
            Some(report) => {
                let requests = report.running + report.waiting;
                upstreams.report(name, report.incarnation, requests, report.leaving);
            }
            None => drop(upstreams.miss_report(name, self.board.now())),
        }
    }
}
