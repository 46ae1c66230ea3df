//! Has peers keep copies of bills until they are stored.
//!
//! Bills that end within a few milliseconds go to a peer in one message.

use std::sync::Arc;
use std::time::Duration;

use fescue_core::Incarnation;
use fescue_peer::{BillCopies, PeerService};
use fescue_policy::bills::Bill;
use fescue_policy::rendezvous;
use futures_util::future::join_all;
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use crate::blackboard::Board;

/// How many peers keep a copy.
const COPIES: usize = 2;

/// How long bills are gathered before they are sent.
const GATHER: Duration = Duration::from_millis(3);

/// How long a peer may take to keep copies.
const KEEP: Duration = Duration::from_millis(300);

/// What waits to be sent.
#[derive(Default)]
struct Waiting {
    copies: BillCopies,
    done: Vec<oneshot::Sender<usize>>,
}

/// Sends copies of bills to peers.
#[derive(Clone)]
pub struct CopySender {
    board: Arc<Board>,
    waiting: Arc<Mutex<Waiting>>,
    wake: Arc<Notify>,
}

impl CopySender {
    /// Opens the sender; [`CopySender::run`] does the sending.
    pub fn new(board: Arc<Board>) -> Self {
        let waiting = Arc::default();
        let wake = Arc::default();
        Self {
            board,
            waiting,
            wake,
        }
    }

    /// Has peers keep a bill and returns how many do.
    pub async fn replicate(&self, bill: Bill) -> usize {
        let (sender, receiver) = oneshot::channel();
        {
            let mut waiting = self.waiting.lock();
            waiting.copies.bills.push(bill);
            waiting.done.push(sender);
        }
        self.wake.notify_one();
        receiver.await.unwrap_or(0)
    }

    /// Notes that bills are stored, so that their copies go with the next message.
    pub fn mark_stored(&self, numbers: impl Iterator<Item = u64>) {
        self.waiting.lock().copies.stored.extend(numbers);
        self.wake.notify_one();
    }

    /// Sends what waits, as long as the router runs.
    pub async fn run(&self) {
        loop {
            self.wake.notified().await;
            tokio::time::sleep(GATHER).await;
            let Waiting { copies, done } = std::mem::take(&mut *self.waiting.lock());
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
            let kept = tokio::time::timeout(KEEP, link.keep_copies(me, copies.clone()));
            matches!(kept.await, Ok(Ok(())))
        });
        let kept = join_all(sent).await;
        kept.into_iter().filter(|kept| *kept).count()
    }

    /// Returns the peers that keep copies: one of another data centre first.
    fn keepers(&self) -> Vec<(Incarnation, Arc<dyn PeerService>)> {
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
        order.truncate(COPIES);
        let links = order
            .into_iter()
            .filter_map(|i| Some((i, members.link(i)?)));
        links.collect()
    }
}
