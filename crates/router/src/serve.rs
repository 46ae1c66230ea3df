//! Serves HTTP with limits on connections and header read time, and with graceful shutdown.

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

/// The delay after a failed accept, such as when the process is out of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum number of open connections; further ones wait in the accept queue.
    pub connections: usize,
    /// The time limit for reading the headers of a request.
    pub headers: Duration,
}

/// A running HTTP listener, aborted on drop unless it was stopped.
#[derive(Debug)]
pub struct Listener {
    /// The bound address, with the actual port if the settings gave port 0.
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl Listener {
    /// Binds an address and serves `router` there.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
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

    /// Stops accepting connections and waits until the open requests have ended.
    pub async fn stop(mut self) {
        drop(self.stop.take());
        let _ended = (&mut self.task).await;
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        // Without a graceful stop, the accept loop would outlive its owner.
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
    let slots = Arc::new(Semaphore::new(limits.connections));
    loop {
        let accepted = tokio::select! {
            accepted = accept_one(&listener, &slots) => accepted,
            _ = &mut stopped => break,
        };
        let Some((stream, slot)) = accepted else {
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
            drop(slot);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn accept_one(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let slot = Arc::clone(slots).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => {
            let _set = stream.set_nodelay(true);
            Some((stream, slot))
        }
        Err(error) => {
            tracing::warn!(%error, "accepting a connection failed; retrying after a pause");
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            None
        }
    }
}
