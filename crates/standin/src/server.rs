//! HTTP server that runs a stand-in in a background task.

use std::net::SocketAddr;

use axum::Router;
use axum::serve::ListenerExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// A running server; dropping it aborts its task.
#[derive(Debug)]
pub struct Server {
    /// The bound address, with the port that the system chose if port 0 was asked for.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds `address` and serves `router` on it in a background task.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if the address cannot be bound.
    pub async fn spawn(address: SocketAddr, router: Router) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let listener = listener.tap_io(|stream| {
            let _set = stream.set_nodelay(true);
        });
        let task = tokio::spawn(async move {
            if let Err(error) = axum::serve(listener, router).await {
                eprintln!("server on {address} stopped: {error}");
            }
        });
        Ok(Self { address, task })
    }

    /// Waits until the server task ends, which it does only on an error.
    pub async fn wait(mut self) {
        let _ended = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}
