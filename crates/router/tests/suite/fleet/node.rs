//! One router of the fleet: its real controllers, stepped by hand.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fescue_core::settings::Settings;
use fescue_core::{Incarnation, Refusal, Tokens};
use fescue_peer::PeerApi;
use fescue_policy::ledger::Reservation;
use fescue_policy::sizing::Policy;
use fescue_router::allowance::{Allowance, Clearing, Replenisher};
use fescue_router::archive::Archiver;
use fescue_router::billing::{Biller, RequestDetails};
use fescue_router::blackboard::{Board, Member};
use fescue_router::closing::Closer;
use fescue_router::config::Controller;
use fescue_router::copies::CopySender;
use fescue_router::link::PeerService;
use fescue_store::accounts::Accounts;
use fescue_store::billing::Billing;
use fescue_store::config::Config;
use fescue_store::{ObjectStore, Table};
use tokio::task::AbortHandle;

use super::budget;

/// One router.
pub struct Node {
    pub board: Arc<Board>,
    pub rounds: Replenisher,
    pub biller: Biller,
    pub closer: Closer,
    pub archivist: Archiver,
    pub config: Controller,
    pub answers: Arc<dyn PeerApi>,
    /// Cleared when the router is killed, so that its links answer no more.
    pub alive: Arc<AtomicBool>,
    allowance: Allowance,
    copying: AbortHandle,
    table: Arc<dyn Table>,
}

fn settings(index: usize, data_centre: &str) -> Settings {
    let text = format!(
        r#"{{
            "vm": "vm-{index}",
            "data_centre": "{data_centre}",
            "listen": {{"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "operators": "127.0.0.1:3"}},
            "platform": {{"address": "127.0.0.1:4"}},
            "operator_token_file": "none",
            "peer_token_file": "none"
        }}"#
    );
    Settings::parse("settings", &text).expect("the settings parse")
}

impl Node {
    pub fn open(
        index: usize,
        data_centre: &str,
        incarnation: Incarnation,
        table: Arc<dyn Table>,
        objects: Arc<dyn ObjectStore>,
    ) -> Self {
        let board = Board::new(settings(index, data_centre), incarnation);
        let accounts = Accounts::open(Arc::clone(&table));
        let billing = Arc::new(Billing::open(Arc::clone(&table), Arc::clone(&objects)));
        let clearing = Clearing::new(Arc::clone(&board), accounts.clone());
        let rounds = Replenisher::new(Arc::clone(&board), accounts.clone(), clearing.clone());
        let copying = CopySender::new(Arc::clone(&board));
        let biller = Biller::new(Arc::clone(&board), Arc::clone(&billing), copying.clone());
        let task = tokio::spawn(async move { copying.run().await });
        Self {
            allowance: Allowance::new(Arc::clone(&board), rounds.subscribe()),
            archivist: Archiver::new(Arc::clone(&board), Arc::clone(&billing)),
            closer: Closer::new(Arc::clone(&board), accounts, billing),
            config: Controller::new(
                Arc::clone(&board),
                Config::open(Arc::clone(&table), objects),
            ),
            alive: Arc::new(AtomicBool::new(true)),
            answers: Arc::new(PeerService::new(Arc::clone(&board), clearing)),
            copying: task.abort_handle(),
            rounds,
            table,
            biller,
            board,
        }
    }

    /// Has allowances sized by another policy, for comparison.
    pub fn size_by(&mut self, policy: Arc<dyn Policy>) {
        let accounts = Accounts::open(Arc::clone(&self.table));
        let clearing = Clearing::new(Arc::clone(&self.board), accounts.clone());
        let rounds = Replenisher::new(Arc::clone(&self.board), accounts, clearing);
        self.rounds = rounds.with_policy(policy);
        self.allowance = Allowance::new(Arc::clone(&self.board), self.rounds.subscribe());
    }

    /// Ends what runs of it, as a kill does.
    pub fn die(&self) {
        self.alive.store(false, Ordering::Release);
        self.copying.abort();
    }

    /// Takes another router among those it knows of.
    pub fn know(&self, other: &Self, link: Arc<dyn PeerApi>) {
        let mut members = self.board.members.lock();
        let me = &other.board.me;
        let known = members.get_mut(&me.vm);
        let known = known.and_then(|m| Some((m.incarnation?, m.heard)));
        let same = known.filter(|(incarnation, _)| *incarnation == me.incarnation);
        members.insert(Member {
            vm: me.vm.clone(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 2)),
            data_centre: me.data_centre.clone(),
            link,
            incarnation: Some(me.incarnation),
            heard: same.and_then(|(_, heard)| heard),
            leaving: false,
        });
    }

    pub fn advance(&self) {
        let silence = self.board.settings.intervals.peer_timeout;
        self.board
            .members
            .lock()
            .set_time(self.board.now(), silence);
    }

    /// Sets the bound of a request aside, while the controller holds its rounds.
    pub async fn reserve(&mut self, bound: u64) -> Result<Reservation, Refusal> {
        self.reserve_crowd(1, bound).await.remove(0)
    }

    /// Sets the bounds of many requests aside that come a millisecond after each other.
    pub async fn reserve_crowd(
        &mut self,
        count: u64,
        bound: u64,
    ) -> Vec<Result<Reservation, Refusal>> {
        let allowance = &self.allowance;
        let asked = (0..count).map(|number| async move {
            tokio::time::sleep(Duration::from_millis(number)).await;
            allowance.reserve(&budget(), Tokens::new(bound)).await
        });
        let asked = futures_util::future::join_all(asked);
        let (_keep, mut never) = tokio::sync::oneshot::channel();
        tokio::select! {
            reserved = asked => reserved,
            () = self.rounds.run_until(&mut never) => unreachable!("it is never stopped"),
        }
    }

    /// Ends a request: its bill is made and kept before this returns.
    pub async fn finish(&self, reservation: Reservation, request: &str, used: u64) {
        let item = RequestDetails {
            budget: budget(),
            request: request.parse().expect("a request id"),
            body: 7,
        };
        self.biller.bill(reservation, item, Tokens::new(used)).await;
    }

    /// Returns what the table may have charged to a line for bills of this router whose storing
    /// it doesn't know of yet.
    pub fn stored_but_unconfirmed(&self, origin: Incarnation) -> Tokens {
        let outbox = self.board.outbox.lock();
        let parts = outbox.values().flat_map(|bill| bill.charges.iter());
        let charged = parts.filter(|part| part.origin == origin);
        charged.map(|part| part.amount).sum()
    }

    pub fn unspent(&self) -> u64 {
        let ledger = self.board.ledger.lock();
        let purse = ledger.holding(&budget());
        purse.map_or(0, |purse| purse.unspent().get())
    }
}
