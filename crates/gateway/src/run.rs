//! One gateway process from its start to its end.

use std::sync::Arc;
use std::time::Duration;

use fescue_store::table::Table;
use miette::{IntoDiagnostic, WrapErr};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use crate::adapter::{HeaderCodec, Registry, Topic};
use crate::gateway::Gateway;
use crate::lifecycle::Event;
use crate::logs::Logs;
use crate::reload::Reload;
use crate::settings::Settings;
use crate::{budget, feeds, fleet, handover, ingress, link_use, probe};

/// What an adapter brings.
pub struct Platform {
    /// What the platform publishes.
    pub registry: Arc<dyn Registry>,
    /// Where the project's own rows are.
    pub table: Arc<dyn Table>,
    /// How callers and upstreams write heads.
    pub dialect: Box<dyn HeaderCodec>,
}

/// The connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// For how long a stopping process takes requests as before: the balancer asks once a second and
/// turns away after two misses.
const TURN_AWAY: Duration = Duration::from_millis(3200);

/// For how long no caller must have connected before a stopping process ends early.
const TURNED_AWAY: Duration = Duration::from_millis(800);

/// How long before the end of the grace period the last requests are given up.
const LAST_MOMENT: Duration = Duration::from_millis(300);

/// How long giving back unspent tokens may take at the end.
const GIVE_BACK: Duration = Duration::from_millis(600);

/// Runs a gateway until it is told to stop.
///
/// # Errors
///
/// When an address can't be bound or a signal can't be waited for.
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
    let context = || format!("{} can't be bound", listen.peers);
    let peers = Arc::new(peers.wrap_err_with(context)?);
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let Platform {
        registry,
        table,
        dialect,
    } = platform;
    let gateway = Gateway::open(settings, dialect, Arc::clone(&table));
    gateway.peers.lock().unsettle();
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
    let budget = tokio::spawn(budget::run(Arc::clone(&gateway), goals));
    tokio::spawn(handover::run(Arc::clone(&gateway), peers));
    tokio::spawn(link_use::run(Arc::clone(&gateway)));
    tokio::spawn(fleet::run(Arc::clone(&gateway), Arc::clone(&table)));
    tokio::spawn(probe::serve_ready(Arc::clone(&gateway), ready));
    tokio::spawn(probe::serve_metrics(Arc::clone(&gateway), logs, metrics));
    tokio::spawn(ingress::run(Arc::clone(&gateway), callers, draining));
    tokio::spawn(reload.run(Arc::clone(&gateway)));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(&gateway, &drain).await;
    handover::return_all(&gateway).await;
    let end = Instant::now() + GIVE_BACK;
    goal.send_replace(budget::Goal::Stop);
    gateway.budget_wake.notify_one();
    let given = timeout_at(end, budget).await.is_ok();
    tracing::info!(given, "stopped");
    Ok(())
}

fn bind(address: std::net::SocketAddr) -> miette::Result<TcpListener> {
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    let context = || format!("{address} can't be listened on");
    listen().into_diagnostic().wrap_err_with(context)
}

/// Ends what is open within the grace period, less the time that giving back takes.
async fn stop(gateway: &Gateway, drain: &watch::Sender<bool>) {
    let grace = gateway.tuning().grace;
    let end = Instant::now() + grace.saturating_sub(LAST_MOMENT + GIVE_BACK);
    gateway.set_end(end);
    gateway.handle(Event::Stop);
    sleep(TURN_AWAY.min(grace / 2)).await;
    drain.send_replace(true);
    let emptied = timeout_at(end, empty(gateway)).await.is_ok();
    let open = *gateway.running.borrow();
    tracing::info!(emptied, open, "requests have ended");
    gateway.handle(Event::Emptied);
}

/// Waits until no request is open and callers no longer connect.
async fn empty(gateway: &Gateway) {
    let mut running = gateway.running.subscribe();
    loop {
        // The sender lives as long as the gateway. What is returned locks the value, so it is
        // dropped at once: the end of a request would wait for it on this very thread.
        drop(running.wait_for(|running| *running == 0).await);
        let quiet = gateway.last_connection() + TURNED_AWAY;
        if Instant::now() >= quiet {
            return;
        }
        sleep(TURNED_AWAY / 4).await;
    }
}
