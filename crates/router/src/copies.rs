//! Replicates bills to peers until they are stored.
//!
//! Bills created within a few milliseconds are sent to a peer in one message.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::Incarnation;
use fescue_peer::{BillCopies, PeerApi};
use fescue_policy::bills::Bill;
use fescue_policy::rendezvous;
use futures_util::future::join_all;
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use crate::blackboard::Board;

/// The number of peers that hold a copy of each bill.
const REPLICAS: usize = 2;

/// How long bills are collected into a batch before it is sent.
const BATCH_DELAY: Duration = Duration::from_millis(3);

/// The timeout for a peer to acknowledge copies.
const KEEP_TIMEOUT: Duration = Duration::from_millis(300);

/// The batch to be sent next, and the senders to notify of its result.
#[derive(Default)]
struct Batch {
    copies: BillCopies,
    done: Vec<oneshot::Sender<usize>>,
}

/// Sends copies of bills to peers.
#[derive(Clone)]
pub struct CopySender {
    board: Arc<Board>,
    batch: Arc<Mutex<Batch>>,
    wake: Arc<Notify>,
}

impl CopySender {
    /// Creates a handle; batches are sent by [`CopySender::run`].
    pub fn new(board: Arc<Board>) -> Self {
        let batch = Arc::default();
        let wake = Arc::default();
        Self { board, batch, wake }
    }

    /// Sends a copy of a bill to peers and returns how many hold it.
    pub async fn replicate(&self, bill: Bill) -> usize {
        let (sender, receiver) = oneshot::channel();
        {
            let mut batch = self.batch.lock();
            batch.copies.bills.push(bill);
            batch.done.push(sender);
        }
        self.wake.notify_one();
        receiver.await.unwrap_or(0)
    }

    /// Marks bills as stored; the next message tells peers to drop their copies.
    pub fn mark_stored(&self, numbers: impl Iterator<Item = u64>) {
        self.batch.lock().copies.stored.extend(numbers);
        self.wake.notify_one();
    }

    /// Sends batches until the task is dropped.
    pub async fn run(&self) {
        loop {
            self.wake.notified().await;
            tokio::time::sleep(BATCH_DELAY).await;
            let Batch { copies, done } = std::mem::take(&mut *self.batch.lock());
            let kept = self.send(&copies).await;
            for sender in done {
                let _gone = sender.send(kept);
            }
        }
    }

    async fn send(&self, copies: &BillCopies) -> usize {
        let me = self.board.me.incarnation;
        let keepers = self.keepers();
        let sent = keepers.iter().map(|(_, link)| async {
            let kept = tokio::time::timeout(KEEP_TIMEOUT, link.keep_copies(me, copies.clone()));
            matches!(kept.await, Ok(Ok(())))
        });
        let kept = join_all(sent).await;
        kept.into_iter().filter(|kept| *kept).count()
    }

    /// Returns the peers that hold copies, with one of another data centre first if there is any.
    fn keepers(&self) -> Vec<(Incarnation, Arc<dyn PeerApi>)> {
        let me = &self.board.me;
        let members = self.board.members.lock();
        let staying = members.alive().filter(|(_, member)| !member.leaving);
        let staying: Vec<_> = staying.collect();
        let mut order: Vec<_> = staying.iter().map(|(i, _)| *i).collect();
        rendezvous::sort_by_rank(me.incarnation.get(), &mut order);
        let far = |i: &Incarnation| {
            let mut found = staying.iter();
            found.any(|(other, m)| other == i && m.data_centre != me.data_centre)
        };
        if let Some(first_far) = order.iter().position(far) {
            let keeper = order.remove(first_far);
            order.insert(0, keeper);
        }
        order.truncate(REPLICAS);
        let links = order
            .into_iter()
            .filter_map(|i| Some((i, members.link(i)?)));
        links.collect()
    }
}
