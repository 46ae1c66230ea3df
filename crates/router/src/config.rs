//! The configuration controller: applies new versions of the rules from the table or a peer.

use std::sync::Arc;

use fescue_core::Incarnation;
use fescue_peer::Heartbeat;
use fescue_store::config::{Change, Config};

use crate::blackboard::{ApplyOutcome, Board};
use crate::dispatch;

/// The configuration controller, which keeps the rules in force up to date.
pub struct Controller {
    board: Arc<Board>,
    config: Config,
}

impl Controller {
    /// Creates the controller of a router without rules.
    pub fn new(board: Arc<Board>, config: Config) -> Self {
        Self { board, config }
    }

    /// Polls for new rules at the configured interval.
    pub async fn run(&self) {
        loop {
            self.run_round().await;
            tokio::time::sleep(self.board.settings.intervals.rules).await;
        }
    }

    /// Polls for new rules once: the table, or if it is unavailable a peer with a newer version.
    pub async fn run_round(&self) {
        if !self.poll_table().await {
            self.poll_peer().await;
        }
    }

    async fn poll_table(&self) -> bool {
        let known = self.board.rules.lock().version();
        let era = self.config.era();
        let version = match self.config.version().await {
            Ok(version) => version,
            Err(error) => {
                tracing::debug!(%error, "reading the version of the rules failed; asking a peer");
                return false;
            }
        };
        if version < known {
            let lost = self.board.rules.lock().since(version);
            if let Err(error) = self.config.repeat(&lost).await {
                tracing::warn!(%error, version, known, "writing lost rules again failed; retrying in the next round");
                return true;
            }
        }
        if let Some(era) = era.filter(|_| era == self.config.era()) {
            self.board.mark_rules_checked(era);
        }
        if version <= known {
            return true;
        }
        // Until all routers have settled, the table may have an older version than one of them.
        if !self.board.is_settled(self.config.era()) {
            return false;
        }
        match self.config.changes_since(known).await {
            Ok(changes) => {
                apply_all(&self.board, changes, "table");
                true
            }
            Err(error) => {
                tracing::warn!(%error, "reading changes of the rules failed; asking a peer");
                false
            }
        }
    }

    async fn poll_peer(&self) {
        let known = self.board.rules.lock().version();
        let ahead = {
            let rules = self.board.rules.lock();
            let newest = rules.newest_peer();
            newest.filter(|(_, version)| *version > known)
        };
        let Some((peer, _)) = ahead else { return };
        let Some(link) = self.board.members.lock().link(peer) else {
            return;
        };
        let Ok(encoded) = link.rule_changes(known).await else {
            return;
        };
        let changes = encoded
            .iter()
            .filter_map(|c| serde_json::from_slice(c).ok());
        apply_all(&self.board, changes.collect(), "peer");
    }
}

/// Records the version of the rules that a peer reports.
pub fn record_version(board: &Board, heartbeat: &Heartbeat) {
    let peer: Incarnation = heartbeat.incarnation;
    board.rules.lock().record_peer(peer, heartbeat.rules);
}

fn apply_all(board: &Board, changes: Vec<Change>, source: &str) {
    for change in changes {
        let (version, author) = (change.version, change.author.clone());
        let outcome = board.rules.lock().apply(change);
        match outcome {
            ApplyOutcome::InForce => tracing::info!(version, author, source, "rules in force"),
            ApplyOutcome::Old => {}
            ApplyOutcome::Gap => return,
            ApplyOutcome::Invalid(report) => {
                tracing::error!(version, %report, "applying a stored change of the rules failed; keeping the previous version");
                return;
            }
        }
    }
    dispatch::apply_rules(board, &board.book());
}
