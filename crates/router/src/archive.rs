//! Moves old bills from the table to the object store.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::hash;
use fescue_policy::bills::Bucket;
use fescue_policy::rendezvous;
use fescue_store::billing::{Billing, unix_time};

use crate::blackboard::Board;

/// How often the duty is looked at.
const PACE: Duration = Duration::from_secs(60);

/// The controller that archives bills.
pub struct Archivist {
    board: Arc<Board>,
    billing: Arc<Billing>,
}

impl Archivist {
    /// Opens the controller.
    pub fn open(board: Arc<Board>, billing: Arc<Billing>) -> Self {
        Self { board, billing }
    }

    /// Archives as long as the router runs.
    pub async fn run(&self) {
        loop {
            tokio::time::sleep(PACE).await;
            self.round(unix_time()).await;
        }
    }

    /// Archives the buckets that are this router's duty, as of `now`.
    pub async fn round(&self, now: u64) {
        let alive = self.board.members.lock().incarnations();
        let me = self.board.me.incarnation;
        let key = |bucket: &Bucket| hash::digest64(format!("archive {bucket}").as_bytes());
        let mine = Bucket::all().filter(|bucket| rendezvous::is_owner(key(bucket), me, &alive));
        for bucket in mine {
            match self.billing.archive(bucket, now).await {
                Ok(0) => {}
                Ok(pages) => tracing::info!(%bucket, pages, "bills archived"),
                Err(error) => tracing::debug!(%bucket, %error, "bills can't be archived now"),
            }
        }
    }
}
