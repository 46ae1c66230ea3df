//! Archives old bills: moves them from the table to the object store.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::hash;
use fescue_policy::bills::Bucket;
use fescue_policy::rendezvous;
use fescue_store::billing::{Billing, unix_time};

use crate::blackboard::Board;

/// The interval between two rounds.
const INTERVAL: Duration = Duration::from_secs(60);

/// The controller that archives the bills of the buckets assigned to this router.
pub struct Archiver {
    board: Arc<Board>,
    billing: Arc<Billing>,
}

impl Archiver {
    /// Creates the controller; [`Archiver::run`] starts it.
    pub fn new(board: Arc<Board>, billing: Arc<Billing>) -> Self {
        Self { board, billing }
    }

    /// Runs rounds until the task is dropped.
    pub async fn run(&self) {
        loop {
            tokio::time::sleep(INTERVAL).await;
            self.run_round(unix_time()).await;
        }
    }

    /// Archives the buckets assigned to this router, as of `now` in Unix seconds.
    pub async fn run_round(&self, now: u64) {
        let alive = self.board.members.lock().incarnations();
        let me = self.board.me.incarnation;
        let key = |bucket: &Bucket| hash::short(format!("archive {bucket}").as_bytes());
        let mine = Bucket::all().filter(|bucket| rendezvous::is_owner(key(bucket), me, &alive));
        for bucket in mine {
            match self.billing.archive(bucket, now).await {
                Ok(0) => {}
                Ok(pages) => tracing::info!(%bucket, pages, "bills archived"),
                Err(error) => {
                    tracing::debug!(%bucket, %error, "archiving bills failed; retrying in the next round")
                }
            }
        }
    }
}
