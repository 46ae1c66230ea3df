//! The configuration controller: rising versions of the rules, from the table or from a peer.

use std::sync::Arc;

use fescue_core::Incarnation;
use fescue_peer::Heartbeat;
use fescue_store::config::{Change, Config};

use crate::blackboard::{Board, Taken};

/// The configuration controller.
pub struct Controller {
    board: Arc<Board>,
    config: Config,
}

impl Controller {
    /// Opens the controller of a router that has no rules yet.
    pub fn open(board: Arc<Board>, config: Config) -> Self {
        Self { board, config }
    }

    /// Looks for new rules at the pace of the settings.
    pub async fn run(&self) {
        loop {
            self.round().await;
            tokio::time::sleep(self.board.settings.pace.rules).await;
        }
    }

    /// Looks for new rules once: at the table, or at a peer that has newer ones.
    pub async fn round(&self) {
        if !self.ask_table().await {
            self.ask_peer().await;
        }
    }

    async fn ask_table(&self) -> bool {
        let known = self.board.rules.lock().version();
        match self.config.version().await {
            Ok(version) if version <= known => return true,
            Ok(_) => {}
            Err(_) => return false,
        }
        match self.config.changes_since(known).await {
            Ok(changes) => {
                take_all(&self.board, changes, "table");
                true
            }
            Err(_) => false,
        }
    }

    async fn ask_peer(&self) {
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
        take_all(&self.board, changes.collect(), "peer");
    }
}

/// Notes which peer has which version.
pub fn hear(board: &Board, greeting: &Heartbeat) {
    let peer: Incarnation = greeting.incarnation;
    board.rules.lock().hear(peer, greeting.rules);
}

fn take_all(board: &Board, changes: Vec<Change>, source: &str) {
    for change in changes {
        let (version, author) = (change.version, change.author.clone());
        let taken = board.rules.lock().take(change);
        match taken {
            Taken::InForce => tracing::info!(version, author, source, "rules in force"),
            Taken::Old => {}
            Taken::Gap => return,
            Taken::Invalid(report) => {
                tracing::error!(version, %report, "a stored change can't be applied");
                return;
            }
        }
    }
    let book = board.book();
    {
        let mut pools = board.pools.lock();
        let mut upstreams = board.upstreams.lock();
        upstreams.take_rules(&book);
        pools.take_rules(&book, &upstreams);
    }
    board.capacity.notify_one();
}
