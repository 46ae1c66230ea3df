//! Serves a stand-in on a loopback address.

use std::net::SocketAddr;

use axum::Router;
use axum::serve::ListenerExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// A stand-in that runs until it is dropped.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds an address and serves `router` there.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn spawn(address: SocketAddr, router: Router) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let listener = listener.tap_io(|stream| {
            let _set = stream.set_nodelay(true);
        });
        let task = tokio::spawn(async move {
            if let Err(error) = axum::serve(listener, router).await {
                eprintln!("a stand-in stopped: {error}");
            }
        });
        Ok(Self { address, task })
    }

    /// Waits until the stand-in stops by itself.
    pub async fn wait(mut self) {
        let _ended = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}
