//! Assembles one router from its components, runs it and stops it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescue_core::Incarnation;
use fescue_core::settings::Settings;
use fescue_peer::server::Server;
use fescue_store::accounts::Accounts;
use fescue_store::billing::Billing;
use fescue_store::claims::Claims;
use fescue_store::config::Config;
use fescue_store::{ObjectStore, Table, VmList, http::Client};
use miette::{IntoDiagnostic, WrapErr};
use parking_lot::Mutex;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinSet;
use tokio::time::timeout_at;

use crate::admin::{self, Admin};
use crate::allowance::{Allowance, Clearing, Replenisher};
use crate::archive::Archiver;
use crate::billing::Biller;
use crate::blackboard::Board;
use crate::closing::Closer;
use crate::config::Controller;
use crate::copies::CopySender;
use crate::front::{self, Front};
use crate::grace::Grace;
use crate::lifecycle::{Event, Phase};
use crate::link::PeerService;
use crate::membership::Membership;
use crate::secrets::Secrets;
use crate::serve::{Limits, Listener};
use crate::upstream::LoadPoller;
use crate::{dispatch, drain, upstream};

/// The interval at which a starting router checks whether it is ready.
const READY_CHECK: Duration = Duration::from_millis(20);

/// The number of connections that operators may have open at once.
const OPERATOR_CONNECTIONS: usize = 64;

/// The reason why a router stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// It received SIGTERM or SIGINT, or its owner stopped it.
    Stopped,
    /// Its peers closed its allowances, so that it must not serve any longer.
    Closed,
}

/// A running router.
pub struct Router {
    /// The state that the router's components share.
    pub board: Arc<Board>,
    callers: Listener,
    operators: Listener,
    peers: Server,
    tasks: JoinSet<()>,
    replenisher: ReplenisherTask,
    biller: Biller,
    accounts: Accounts,
    membership_wake: Arc<Notify>,
}

/// The task that runs the replenisher, and returns it when the task is stopped.
struct ReplenisherTask {
    stop: oneshot::Sender<()>,
    task: tokio::task::JoinHandle<Replenisher>,
}

impl Router {
    /// Binds the addresses in the settings and starts all controllers.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound.
    pub async fn spawn(settings: Settings, secrets: Secrets) -> miette::Result<Self> {
        let platform = &settings.platform;
        let client = Client::open(platform.address, platform.timeout, &settings.vm);
        let client = Arc::new(client);
        let table: Arc<dyn Table> = client.clone();
        let list: Arc<dyn VmList> = client.clone();
        let objects: Arc<dyn ObjectStore> = client;
        let board = Board::new(settings, Incarnation::new(rand::random()));
        let accounts = Accounts::open(Arc::clone(&table));
        let billing = Arc::new(Billing::open(Arc::clone(&table), Arc::clone(&objects)));
        let config = Config::open(Arc::clone(&table), objects);
        let clearing = Clearing::new(Arc::clone(&board), accounts.clone());
        let claims = Claims::open(Arc::clone(&table));
        let replenisher = Replenisher::new(Arc::clone(&board), accounts.clone(), clearing.clone())
            .with_claims(claims.clone());
        let allowance = Allowance::new(Arc::clone(&board), replenisher.subscribe());
        let copy_sender = CopySender::new(Arc::clone(&board));
        let biller = Biller::new(
            Arc::clone(&board),
            Arc::clone(&billing),
            copy_sender.clone(),
        );
        let membership = Membership::new(Arc::clone(&board), list, secrets.peer.clone());
        let upstreams = upstream::Client::open();
        let front = Arc::new(Front {
            board: Arc::clone(&board),
            allowance,
            biller: biller.clone(),
            claims,
            client: upstreams.clone(),
            retries: Mutex::default(),
            membership_wake: Arc::clone(&membership.urgent),
        });
        let admin = Arc::new(Admin {
            board: Arc::clone(&board),
            accounts: accounts.clone(),
            billing: Arc::clone(&billing),
            config: config.clone(),
            token: secrets.operator.clone(),
        });
        let listen = board.settings.listen.clone();
        let limits = &board.settings.limits;
        let caller_limits = Limits {
            connections: usize::try_from(limits.connections).unwrap_or(usize::MAX),
            headers: limits.receive_timeout,
        };
        let operator_limits = Limits {
            connections: OPERATOR_CONNECTIONS,
            headers: limits.receive_timeout,
        };
        let callers = Listener::bind(listen.callers, caller_limits, front::router(front));
        let callers = callers.await.into_diagnostic();
        let callers = callers.wrap_err_with(|| format!("callers: {}", listen.callers))?;
        let operators = Listener::bind(listen.operators, operator_limits, admin::router(admin));
        let operators = operators.await.into_diagnostic();
        let operators = operators.wrap_err_with(|| format!("operators: {}", listen.operators))?;
        let peer_service = Arc::new(PeerService::new(Arc::clone(&board), clearing));
        let peers = Server::bind(listen.peers, secrets.peer.expose(), peer_service);
        let peers = peers.await.into_diagnostic();
        let peers = peers.wrap_err_with(|| format!("peers: {}", listen.peers))?;
        let mut router = Self {
            membership_wake: Arc::clone(&membership.urgent),
            replenisher: ReplenisherTask::spawn(replenisher),
            tasks: JoinSet::new(),
            board,
            callers,
            operators,
            peers,
            biller,
            accounts,
        };
        tracing::info!(
            callers = %router.callers.address,
            peers = %router.peers.address,
            operators = %router.operators.address,
            incarnation = %router.board.me.incarnation,
            "listening"
        );
        router.start(config, upstreams, copy_sender, membership, billing);
        Ok(router)
    }

    fn start(
        &mut self,
        config: Config,
        upstreams: upstream::Client,
        copy_sender: CopySender,
        mut membership: Membership,
        billing: Arc<Billing>,
    ) {
        let board = &self.board;
        let load = LoadPoller::open(Arc::clone(board), upstreams);
        let config = Controller::new(Arc::clone(board), config);
        let archiver = Archiver::new(Arc::clone(board), Arc::clone(&billing));
        let mut closer = Closer::new(Arc::clone(board), self.accounts.clone(), billing);
        let biller = self.biller.clone();
        self.tasks.spawn(async move { archiver.run().await });
        self.tasks.spawn(dispatch::run(Arc::clone(board)));
        self.tasks.spawn(async move { load.run().await });
        self.tasks.spawn(async move { config.run().await });
        self.tasks.spawn(async move { copy_sender.run().await });
        self.tasks.spawn(async move { membership.run().await });
        self.tasks.spawn(async move { closer.run().await });
        self.tasks.spawn(async move { biller.run().await });
        self.tasks.spawn(prepare(Arc::clone(board)));
        self.tasks.spawn(log_hangups());
    }

    /// Runs until a signal arrives or the peers close the allowances, then stops gracefully.
    pub async fn run_until_stopped(self) -> StopReason {
        self.wait_for_stop().await;
        self.stop().await
    }

    async fn wait_for_stop(&self) {
        let mut phase = self.board.phase.subscribe();
        let draining = phase.wait_for(|phase| *phase == Phase::Draining);
        let terminated = wait_for(SignalKind::terminate());
        let interrupted = wait_for(SignalKind::interrupt());
        tokio::select! {
            _ = draining => {}
            () = terminated => {}
            () = interrupted => {}
        }
    }

    /// Stops gracefully within the grace period: reports not ready, accepts no new connection, waits
    /// for running requests, then returns the tokens it holds.
    pub async fn stop(mut self) -> StopReason {
        self.board.handle(Event::Stop);
        // Peers need time to choose other witnesses and holders of copies before this router is gone.
        self.membership_wake.notify_one();
        let Grace {
            listen_end,
            bills_end,
            exit,
            ..
        } = self.board.grace();
        tokio::time::sleep_until(listen_end).await;
        if timeout_at(bills_end, self.callers.stop()).await.is_err() {
            tracing::warn!(
                "connections of callers still open at the end of the grace period; closing them"
            );
        }
        drain::wait_for_requests(&self.board, bills_end).await;
        match timeout_at(exit, self.replenisher.end()).await {
            Ok(mut replenisher) => {
                let shutdown = drain::Shutdown {
                    board: &self.board,
                    biller: &self.biller,
                    replenisher: &mut replenisher,
                    accounts: &self.accounts,
                };
                let _left = shutdown.settle(exit).await;
            }
            Err(_) => tracing::error!(
                "the allowance round did not end in time; leaving bills and tokens to peers"
            ),
        }
        self.board.handle(Event::Emptied);
        self.tasks.shutdown().await;
        self.peers.stop();
        if timeout_at(exit, self.operators.stop()).await.is_err() {
            tracing::warn!("connections of operators still open at the exit; closing them");
        }
        match self.board.evicted.load(Ordering::Acquire) {
            true => StopReason::Closed,
            false => StopReason::Stopped,
        }
    }
}

impl ReplenisherTask {
    fn spawn(mut replenisher: Replenisher) -> Self {
        let (stop, mut stopped) = oneshot::channel();
        let task = tokio::spawn(async move {
            replenisher.run_until(&mut stopped).await;
            replenisher
        });
        Self { stop, task }
    }

    /// Stops the task at the end of its current round and returns the replenisher.
    async fn end(self) -> Replenisher {
        drop(self.stop);
        match self.task.await {
            Ok(replenisher) => replenisher,
            Err(error) => std::panic::resume_unwind(error.into_panic()),
        }
    }
}

async fn wait_for(kind: SignalKind) {
    match signal(kind) {
        Ok(mut signals) => drop(signals.recv().await),
        Err(error) => {
            tracing::error!(%error, "can't listen for a signal; it will not stop the router");
            std::future::pending().await
        }
    }
}

/// Keeps SIGHUP from ending the process, which is what it does without a handler. A router reads its
/// settings only once, so there is nothing to reload.
async fn log_hangups() {
    loop {
        wait_for(SignalKind::hangup()).await;
        tracing::info!("SIGHUP ignored: the settings are read only at the start");
    }
}

/// Makes the router ready once it has rules, and either a fencing number or a live peer.
async fn prepare(board: Arc<Board>) {
    loop {
        let has_rules = board.rules.lock().version() > 0;
        let has_peer = board.members.lock().alive().next().is_some();
        if has_rules && (board.fence() != 0 || has_peer) {
            board.handle(Event::Prepared);
            return;
        }
        tokio::time::sleep(READY_CHECK).await;
    }
}
