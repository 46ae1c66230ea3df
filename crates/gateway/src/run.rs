//! Runs one gateway process from start to shutdown.

use std::sync::Arc;
use std::time::Duration;

use fescue_store::table::Table;
use miette::{IntoDiagnostic, WrapErr};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use crate::adapter::{HeaderCodec, Registry, Topic};
use crate::budget::Holdings;
use crate::gateway::Gateway;
use crate::lifecycle::Event;
use crate::logs::Logs;
use crate::reload::Reload;
use crate::settings::Settings;
use crate::{
    budget, cold, datagrams, feeds, fleet, ingress, origins, probe, startup, usage, versions,
};

/// The interfaces to a platform, provided by its adapter.
pub struct Platform {
    /// Source of the configuration and the upstreams.
    pub registry: Arc<dyn Registry>,
    /// Storage for budgets and fleet rows.
    pub table: Arc<dyn Table>,
    /// Translation of request and response heads between callers and upstreams.
    pub codec: Box<dyn HeaderCodec>,
}

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Interval of the checks whether the balancer sends no more requests.
const REMOVAL_INTERVAL: Duration = Duration::from_millis(50);

/// Time without a new connection after which a stopping process may end early.
const QUIET_PERIOD: Duration = Duration::from_millis(800);

/// Part of the grace period reserved for exiting: open requests are ended this long before its end.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Time limit for the last responses to be written before the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval of the checks whether they are written.
const FLUSH_INTERVAL: Duration = Duration::from_millis(5);

/// Time limit for returning unspent tokens to the store at shutdown.
const RETURN_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs a gateway until SIGTERM or SIGINT, then shuts it down within the grace period.
///
/// # Errors
///
/// Fails if an address cannot be bound or a signal handler cannot be installed.
pub async fn run(
    settings: Settings,
    reload: Reload,
    platform: Platform,
    logs: Logs,
) -> miette::Result<()> {
    let logs = Arc::new(logs);
    let listen = settings.listen.clone();
    let callers = bind(listen.callers)?;
    let ready = bind(listen.ready)?;
    let metrics = bind(listen.metrics)?;
    let peers = UdpSocket::bind(listen.peers).await.into_diagnostic();
    let context = || format!("cannot bind {}", listen.peers);
    let peers = Arc::new(peers.wrap_err_with(context)?);
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let Platform {
        registry,
        table,
        codec,
    } = platform;
    let gateway = Gateway::open(settings, codec, Arc::clone(&table));
    gateway.peers.lock().mark_incomplete();
    tracing::info!(
        vm = gateway.settings.vm.as_str(),
        data_centre = gateway.settings.data_centre.as_str(),
        incarnation = %gateway.incarnation,
        callers = %listen.callers,
        "started"
    );
    let (drain, draining) = watch::channel(false);
    for topic in [Topic::Configuration, Topic::Upstreams] {
        tokio::spawn(feeds::follow(
            Arc::clone(&gateway),
            Arc::clone(&registry),
            topic,
        ));
    }
    let (goal, goals) = watch::channel(budget::Goal::Serve);
    let tokens = Arc::clone(&gateway.budget);
    let mut draws = tokio::spawn(budget::run(Arc::clone(&tokens), goals.clone()));
    tokio::spawn(budget::run_timer(Arc::clone(&tokens)));
    tokio::spawn(budget::run_extension(Arc::clone(&tokens)));
    tokio::spawn(budget::run_reclaim(Arc::clone(&tokens)));
    tokio::spawn(budget::settlement::run(tokens));
    tokio::spawn(startup::await_prepared(Arc::clone(&gateway)));
    tokio::spawn(datagrams::run(Arc::clone(&gateway), peers));
    tokio::spawn(usage::run(Arc::clone(&gateway)));
    tokio::spawn(fleet::run(Arc::clone(&gateway), Arc::clone(&table)));
    tokio::spawn(origins::run(Arc::clone(&gateway)));
    tokio::spawn(origins::run_intents(Arc::clone(&gateway)));
    tokio::spawn(cold::run(Arc::clone(&gateway)));
    tokio::spawn(versions::run(Arc::clone(&gateway)));
    tokio::spawn(probe::serve_ready(Arc::clone(&gateway), ready));
    tokio::spawn(probe::serve_metrics(Arc::clone(&gateway), logs, metrics));
    tokio::spawn(ingress::run(Arc::clone(&gateway), callers, draining));
    tokio::spawn(reload.run(Arc::clone(&gateway)));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let exit = Instant::now() + gateway.tuning().grace.saturating_sub(EXIT_MARGIN / 4);
    stop(&gateway, &drain).await;
    // Requests that still arrive are refused: the process exits before they could end.
    gateway.drain.close();
    let tokens = &gateway.budget;
    gateway.courier.announce_exit();
    let soon = Instant::now() + budget::SHUTDOWN_TIMEOUT;
    tokens.pass_on(Holdings::Received, soon).await;
    let end = (exit - budget::SHUTDOWN_TIMEOUT).min(Instant::now() + RETURN_TIMEOUT);
    let open = *gateway.running.borrow();
    goal.send_replace(budget::Goal::Stop);
    tokens.wake();
    let given = timeout_at(end, &mut draws).await.is_ok();
    if !given {
        draws.abort();
        tracing::warn!("tokens not returned to the store; passing them on to other routers");
        // Nobody else can give them back: all the time left is used if it must be.
        tokens.pass_on(Holdings::Allowed, exit).await;
    }
    let idle = timeout_at(exit, wait_until_idle(&gateway)).await.is_ok();
    if open > 0 {
        return_rest(&gateway, goals, exit).await;
    }
    let flushed = wait_until_flushed(&gateway, exit.min(Instant::now() + FLUSH_TIMEOUT)).await;
    tracing::info!(given, open, idle, flushed, "stopped");
    Ok(())
}

/// Returns what the requests still held that were open when the tokens were returned.
async fn return_rest(gateway: &Arc<Gateway>, goals: watch::Receiver<budget::Goal>, exit: Instant) {
    let tokens = &gateway.budget;
    tokens.wake();
    let rest = async {
        tokio::join!(
            tokens.pass_on(Holdings::Received, exit),
            budget::run(Arc::clone(tokens), goals),
        )
    };
    if timeout_at(exit, rest).await.is_err() {
        tracing::warn!("tokens of the last requests not returned in time; they count as spent");
    }
}

fn bind(address: std::net::SocketAddr) -> miette::Result<TcpListener> {
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    let context = || format!("cannot listen on {address}");
    listen().into_diagnostic().wrap_err_with(context)
}

/// Drains open requests within the grace period, less the time reserved for returning tokens.
async fn stop(gateway: &Gateway, drain: &watch::Sender<bool>) {
    let grace = gateway.tuning().grace;
    let end = Instant::now() + grace.saturating_sub(EXIT_MARGIN + RETURN_TIMEOUT);
    let abort = Instant::now() + grace.saturating_sub(EXIT_MARGIN);
    gateway.drain.start(grace, end, abort);
    gateway.handle(Event::Stop);
    gateway.drain.wait_for_removal(REMOVAL_INTERVAL).await;
    drain.send_replace(true);
    let emptied = timeout_at(end, wait_until_drained(gateway)).await.is_ok();
    let open = *gateway.running.borrow();
    tracing::info!(emptied, open, "draining ended");
    gateway.handle(Event::Emptied);
}

/// Waits until the connections of callers are closed, which means that their last responses are
/// written; returns whether this happened by `limit`.
async fn wait_until_flushed(gateway: &Gateway, limit: Instant) -> bool {
    while gateway.connections() > 0 {
        if Instant::now() >= limit {
            return false;
        }
        sleep(FLUSH_INTERVAL).await;
    }
    true
}

/// Waits until no request is open.
async fn wait_until_idle(gateway: &Gateway) {
    let mut running = gateway.running.subscribe();
    // Cannot fail, since the sender lives as long as the gateway. The returned guard locks the value and
    // is dropped at once: a request that ends on this thread would deadlock on it.
    drop(running.wait_for(|running| *running == 0).await);
}

/// Waits until no request is open and no new connections arrive. While a balancer has not had enough
/// failed checks, the next connection may come at any time.
async fn wait_until_drained(gateway: &Gateway) {
    loop {
        wait_until_idle(gateway).await;
        let quiet = gateway.last_connection() + QUIET_PERIOD;
        if Instant::now() >= quiet && gateway.drain.is_removed() != Some(false) {
            return;
        }
        sleep(QUIET_PERIOD / 4).await;
    }
}
