//! Puts one router together and runs it.

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

use crate::admin::{self, Admin};
use crate::allowance::{Allowance, Clearing, Replenisher};
use crate::archive::Archivist;
use crate::billing::Biller;
use crate::blackboard::Board;
use crate::closing::Closer;
use crate::config::Controller;
use crate::copies::CopySender;
use crate::front::{self, Front};
use crate::lifecycle::{Event, Phase};
use crate::link::Answers;
use crate::membership::Membership;
use crate::secrets::Secrets;
use crate::serve::{Limits, Listener};
use crate::upstream::{Caller, LoadWatch};
use crate::{dispatch, drain};

/// How often a starting router looks whether it can serve.
const PREPARE: Duration = Duration::from_millis(20);

/// The connections that operators may have open.
const OPERATORS: usize = 64;

/// Why a router ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It was told to stop.
    Stopped,
    /// Its peers closed its allowances.
    Closed,
}

/// A running router.
pub struct Router {
    /// Its shared tables.
    pub board: Arc<Board>,
    callers: Listener,
    operators: Listener,
    peers: Server,
    tasks: JoinSet<()>,
    rounds: RoundsTask,
    biller: Biller,
    accounts: Accounts,
    news: Arc<Notify>,
}

/// The allowance controller, which the stop takes over from its task.
struct RoundsTask {
    stop: oneshot::Sender<()>,
    task: tokio::task::JoinHandle<Replenisher>,
}

impl Router {
    /// Binds the addresses of the settings and starts all controllers.
    ///
    /// # Errors
    ///
    /// When an address can't be bound.
    pub async fn spawn(settings: Settings, secrets: Secrets) -> miette::Result<Self> {
        let platform = &settings.platform;
        let client = Client::open(platform.address, platform.timeout, &settings.vm);
        let client = Arc::new(client);
        let table: Arc<dyn Table> = client.clone();
        let list: Arc<dyn VmList> = client.clone();
        let objects: Arc<dyn ObjectStore> = client;
        let board = Board::open(settings, Incarnation::new(rand::random()));
        let accounts = Accounts::open(Arc::clone(&table));
        let billing = Arc::new(Billing::open(Arc::clone(&table), Arc::clone(&objects)));
        let config = Config::open(Arc::clone(&table), objects);
        let clearing = Clearing::new(Arc::clone(&board), accounts.clone());
        let rounds = Replenisher::new(Arc::clone(&board), accounts.clone(), clearing.clone());
        let allowance = Allowance::new(Arc::clone(&board), rounds.subscribe());
        let copying = CopySender::new(Arc::clone(&board));
        let biller = Biller::new(Arc::clone(&board), Arc::clone(&billing), copying.clone());
        let membership = Membership::open(Arc::clone(&board), list, secrets.peer.clone());
        let caller = Caller::open();
        let front = Arc::new(Front {
            board: Arc::clone(&board),
            allowance,
            biller: biller.clone(),
            claims: Claims::open(Arc::clone(&table)),
            caller: caller.clone(),
            retries: Mutex::default(),
            news: Arc::clone(&membership.news),
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
        let for_callers = Limits {
            connections: usize::try_from(limits.connections).unwrap_or(usize::MAX),
            headers: limits.receive,
        };
        let for_operators = Limits {
            connections: OPERATORS,
            headers: limits.receive,
        };
        let callers = Listener::bind(listen.callers, for_callers, front::router(front));
        let callers = callers.await.into_diagnostic();
        let callers = callers.wrap_err_with(|| format!("callers: {}", listen.callers))?;
        let operators = Listener::bind(listen.operators, for_operators, admin::router(admin));
        let operators = operators.await.into_diagnostic();
        let operators = operators.wrap_err_with(|| format!("operators: {}", listen.operators))?;
        let answers = Arc::new(Answers::open(Arc::clone(&board), clearing));
        let peers = Server::bind(listen.peers, secrets.peer.expose(), answers);
        let peers = peers.await.into_diagnostic();
        let peers = peers.wrap_err_with(|| format!("peers: {}", listen.peers))?;
        let mut router = Self {
            news: Arc::clone(&membership.news),
            rounds: RoundsTask::spawn(rounds),
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
        router.start(config, caller, copying, membership, billing);
        Ok(router)
    }

    fn start(
        &mut self,
        config: Config,
        caller: Caller,
        copying: CopySender,
        mut membership: Membership,
        billing: Arc<Billing>,
    ) {
        let board = &self.board;
        let load = LoadWatch::open(Arc::clone(board), caller);
        let config = Controller::open(Arc::clone(board), config);
        let archivist = Archivist::open(Arc::clone(board), Arc::clone(&billing));
        let mut closer = Closer::new(Arc::clone(board), self.accounts.clone(), billing);
        let biller = self.biller.clone();
        self.tasks.spawn(async move { archivist.run().await });
        self.tasks.spawn(dispatch::run(Arc::clone(board)));
        self.tasks.spawn(async move { load.run().await });
        self.tasks.spawn(async move { config.run().await });
        self.tasks.spawn(async move { copying.run().await });
        self.tasks.spawn(async move { membership.run().await });
        self.tasks.spawn(async move { closer.run().await });
        self.tasks.spawn(async move { biller.run().await });
        self.tasks.spawn(prepare(Arc::clone(board)));
    }

    /// Runs until a signal or the peers' closing, then stops without cutting a request.
    pub async fn run_until_stopped(self) -> Ended {
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

    /// Stops: not ready, then no new connection, then nothing running, then all given back.
    pub async fn stop(mut self) -> Ended {
        self.board.handle(Event::Stop);
        // Peers should turn to other witnesses and keepers before this router is gone.
        self.news.notify_one();
        tokio::time::sleep(self.board.settings.pace.linger).await;
        self.callers.stop().await;
        drain::wait_for_requests(&self.board).await;
        let mut rounds = self.rounds.end().await;
        drain::settle(&self.board, &self.biller, &mut rounds, &self.accounts).await;
        self.board.handle(Event::Emptied);
        self.tasks.shutdown().await;
        self.peers.stop();
        self.operators.stop().await;
        match self.board.ousted.load(Ordering::Acquire) {
            true => Ended::Closed,
            false => Ended::Stopped,
        }
    }
}

impl RoundsTask {
    fn spawn(mut rounds: Replenisher) -> Self {
        let (stop, mut stopped) = oneshot::channel();
        let task = tokio::spawn(async move {
            rounds.run_until(&mut stopped).await;
            rounds
        });
        Self { stop, task }
    }

    /// Ends the task after its round and returns the controller.
    async fn end(self) -> Replenisher {
        drop(self.stop);
        match self.task.await {
            Ok(rounds) => rounds,
            Err(error) => std::panic::resume_unwind(error.into_panic()),
        }
    }
}

async fn wait_for(kind: SignalKind) {
    match signal(kind) {
        Ok(mut signals) => drop(signals.recv().await),
        Err(error) => {
            tracing::error!(%error, "signals can't be waited for");
            std::future::pending().await
        }
    }
}

/// Makes the router ready once it has rules and either its row in the table or a peer.
async fn prepare(board: Arc<Board>) {
    loop {
        let has_rules = board.rules.lock().version() > 0;
        let has_peer = board.members.lock().alive().next().is_some();
        if has_rules && (board.fence() != 0 || has_peer) {
            board.handle(Event::Prepared);
            return;
        }
        tokio::time::sleep(PREPARE).await;
    }
}
