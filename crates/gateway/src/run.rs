//! One gateway process from its start to its end.

use std::sync::Arc;
use std::time::Duration;

use fescue_store::table::Table;
use miette::{IntoDiagnostic, WrapErr};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use crate::border::{Dialect, Registry, Topic};
use crate::gateway::Gateway;
use crate::lifecycle::{Event, Phase};
use crate::logs::Logs;
use crate::settings::Settings;
use crate::{budget, feeds, fleet, handover, ingress, probe};

/// What an adapter brings.
pub struct Platform {
    /// What the platform publishes.
    pub registry: Arc<dyn Registry>,
    /// Where the project's own rows are.
    pub table: Arc<dyn Table>,
    /// How callers and upstreams write heads.
    pub dialect: Box<dyn Dialect>,
}

/// The connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// For how long a stopping process takes requests as before: the balancer asks once a second and
/// turns away after two misses.
const TURN_AWAY: Duration = Duration::from_millis(3200);

/// How long before the end of the grace period the last requests are given up.
const LAST_MOMENT: Duration = Duration::from_millis(300);

/// How long giving back unspent tokens may take at the end.
const GIVE_BACK: Duration = Duration::from_millis(600);

/// Runs a gateway until it is told to stop.
///
/// # Errors
///
/// When an address can't be bound or a signal can't be waited for.
pub async fn run(settings: Settings, platform: Platform, logs: Logs) -> miette::Result<()> {
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
    let mut hangup = signal(SignalKind::hangup()).into_diagnostic()?;
    let Platform {
        registry,
        table,
        dialect,
    } = platform;
    let gateway = Gateway::open(settings, dialect, Arc::clone(&table));
    tracing::info!(
        vm = gateway.settings.vm.as_str(),
        data_centre = gateway.settings.data_centre.as_str(),
        incarnation = %gateway.incarnation,
        callers = %listen.callers,
        "started"
    );
    let (drain, draining) = watch::channel(false);
    for topic in [Topic::Configuration, Topic::Upstreams] {
        tokio::spawn(feeds::follow(Arc::clone(&gateway), Arc::clone(&registry), topic));
    }
    tokio::spawn(budget::run(Arc::clone(&gateway), Arc::clone(&table)));
    tokio::spawn(handover::run(Arc::clone(&gateway), peers));
    tokio::spawn(fleet::run(Arc::clone(&gateway), Arc::clone(&table)));
    tokio::spawn(probe::serve_ready(Arc::clone(&gateway), ready));
    tokio::spawn(probe::serve_metrics(Arc::clone(&gateway), logs, metrics));
    tokio::spawn(ingress::run(Arc::clone(&gateway), callers, draining));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => tracing::info!("told to reload; settings are read at the start"),
        }
    }
    stop(&gateway, &*table, &drain).await;
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

/// Ends what is open within the grace period, then gives back unspent tokens.
async fn stop(gateway: &Arc<Gateway>, table: &dyn Table, drain: &watch::Sender<bool>) {
    let end = Instant::now() + gateway.settings.grace.saturating_sub(LAST_MOMENT);
    gateway.handle(Event::Stop);
    sleep(TURN_AWAY.min(gateway.settings.grace / 2)).await;
    drain.send_replace(true);
    let mut running = gateway.running.subscribe();
    let emptied = running.wait_for(|running| *running == 0);
    let emptied = timeout_at(end - GIVE_BACK, emptied).await.is_ok();
    let open = *gateway.running.borrow();
    let given = timeout_at(end, budget::round(gateway, table, budget::Goal::Stop)).await;
    tracing::info!(emptied, open, given = given.unwrap_or(false), "stopping");
    let emptied = async {
        let mut running = gateway.running.subscribe();
        // The sender lives as long as the gateway.
        let _ended = running.wait_for(|running| *running == 0).await;
    };
    let _late = timeout_at(end, emptied).await;
    gateway.handle(Event::Emptied);
    debug_assert_eq!(gateway.phase(), Phase::Stopped);
}
