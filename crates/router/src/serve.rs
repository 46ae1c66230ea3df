//! Serves HTTP with limits on connections and on the time of headers, and stops gracefully.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, oneshot};
use tokio::task::JoinHandle;

/// How long to wait after a connection could not be taken, such as when files run out.
const BACK_OFF: Duration = Duration::from_millis(50);

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections open at once; more wait to be taken.
    pub connections: usize,
    /// The longest time for the headers of a request.
    pub headers: Duration,
}

/// A running listener.
#[derive(Debug)]
pub struct Listener {
    /// Where it listens.
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl Listener {
    /// Binds an address and serves `router` there.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        limits: Limits,
        router: Router,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(accept(listener, limits, router, stopped));
        let stop = Some(stop);
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Takes no new connection and waits until the open requests have ended.
    pub async fn stop(mut self) {
        drop(self.stop.take());
        let _ended = (&mut self.task).await;
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        // A listener that wasn't stopped ends with its owner.
        if self.stop.is_some() {
            self.task.abort();
        }
    }
}

async fn accept(
    listener: TcpListener,
    limits: Limits,
    router: Router,
    mut stopped: oneshot::Receiver<()>,
) {
    let graceful = GracefulShutdown::new();
    let places = Arc::new(Semaphore::new(limits.connections));
    loop {
        let taken = tokio::select! {
            taken = take(&listener, &places) => taken,
            _ = &mut stopped => break,
        };
        let Some((stream, place)) = taken else {
            continue;
        };
        let service = TowerToHyperService::new(router.clone());
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.headers)
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            let _ended = connection.await;
            drop(place);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn take(
    listener: &TcpListener,
    places: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let place = Arc::clone(places).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => {
            let _set = stream.set_nodelay(true);
            Some((stream, place))
        }
        Err(error) => {
            tracing::warn!(%error, "a connection can't be taken");
            tokio::time::sleep(BACK_OFF).await;
            None
        }
    }
}
