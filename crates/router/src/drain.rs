//! The planned stop: no request is cut, bills are stored, allowances go back.

use std::sync::Arc;
use std::time::Duration;

use fescue_policy::account::Closing;
use fescue_store::accounts::Accounts;

use crate::allowance::Replenisher;
use crate::billing::Biller;
use crate::blackboard::Board;

/// How long to wait before the table is tried again.
const AGAIN: Duration = Duration::from_millis(250);

/// How long a router with nothing running tries to store its bills and give its allowances back.
///
/// Peers keep copies of the bills and will close the allowances, so nothing is lost after that.
const PATIENCE: Duration = Duration::from_secs(20);

/// Waits until no request runs.
pub async fn wait_for_requests(board: &Board) {
    let mut running = board.running.subscribe();
    let _gone = running.wait_for(|running| *running == 0).await;
}

/// Stores all bills, gives all tokens back and closes this incarnation's row.
pub async fn settle(
    board: &Arc<Board>,
    biller: &Biller,
    rounds: &mut Replenisher,
    accounts: &Accounts,
) {
    let settled = tokio::time::timeout(PATIENCE, async {
        while !biller.flush().await {
            tokio::time::sleep(AGAIN).await;
        }
        while !rounds.return_all().await {
            tokio::time::sleep(AGAIN).await;
        }
        close(board, accounts).await;
    });
    if settled.await.is_err() {
        let bills = board.outbox.lock().len();
        tracing::error!(bills, "stopping with work that peers will finish");
    }
}

/// Closes and folds the row, so that no peer has to.
async fn close(board: &Board, accounts: &Accounts) {
    let me = board.me.incarnation;
    if board.fence() == 0 {
        return;
    }
    let Ok(Some(row)) = accounts.allowance(me).await else {
        return;
    };
    let by = format!("stopped-{me}");
    let Ok(by) = by.parse() else { return };
    let closing = Closing { by, noted: None };
    let closed = accounts.close(me, row.epoch, &closing).await;
    let folded = accounts.fold(me).await;
    tracing::info!(
        closed = closed.is_ok(),
        folded = folded.unwrap_or(false),
        "allowances given back"
    );
}
