//! Connections to upstreams and to the store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

/// How long unacknowledged bytes may wait before a connection counts as broken; a little under
/// the shortest silence after which a VM counts as in contact again.
const SILENCE: Duration = Duration::from_millis(2500);

/// After how long without traffic a connection is probed, and the pause between probes.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// How many probes go unanswered before a connection counts as broken.
const KEEPALIVE_PROBES: u32 = 3;

/// The largest head of an answer, in bytes.
const HEAD_BYTES: usize = 64 * 1024;

/// Sets the options that have a silent connection noticed.
///
/// # Errors
///
/// When the socket refuses an option.
pub fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(SILENCE))
}

/// Why a request got no answer on a link.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// Nothing of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection broke after some of the request may have been sent.
    #[error("the connection broke: {0}")]
    Broke(String),
}

/// One connection, which carries one request at a time.
#[derive(Debug)]
pub struct Link {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    idle_since: Instant,
    idle_limit: Option<Duration>,
}

impl Link {
    /// Opens a connection within a time limit.
    ///
    /// # Errors
    ///
    /// When it isn't established in time.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, LinkError> {
        let connected = timeout(limit, connect(address)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(LinkError::NotSent(format!("{address}: {error}"))),
            Err(_) => return Err(LinkError::NotSent(format!("{address}: connect timed out"))),
        };
        let builder = &mut http1::Builder::new();
        let builder = builder.max_buf_size(HEAD_BYTES);
        let (sender, driver) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| LinkError::NotSent(format!("{address}: {error}")))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = driver.await {
                tracing::debug!(%address, %error, "a connection ended");
            }
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            idle_since: Instant::now(),
            idle_limit: None,
        })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`LinkError::NotSent`] only where no byte of it was sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, LinkError> {
        if let Err(error) = self.sender.ready().await {
            return Err(LinkError::NotSent(error.to_string()));
        }
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| {
                let unsent = error.take_message().is_some();
                let error = error.into_error().to_string();
                if unsent {
                    LinkError::NotSent(error)
                } else {
                    LinkError::Broke(error)
                }
            })
    }

    /// Waits until the connection can carry another request; false where it can't.
    pub async fn wait_ready(&mut self, limit: Duration) -> bool {
        let ready = timeout(limit, self.sender.ready()).await;
        self.idle_since = Instant::now();
        matches!(ready, Ok(Ok(())))
    }

    /// Notes for how long the other side keeps the connection open when idle.
    pub fn set_idle_limit(&mut self, limit: Duration) {
        self.idle_limit = Some(limit);
    }

    /// Returns whether the connection may be used after being idle.
    pub fn is_usable(&self, longest: Duration) -> bool {
        let limit = self.idle_limit.map_or(longest, |limit| limit.min(longest));
        self.sender.is_ready() && self.idle_since.elapsed() < limit
    }
}

impl Drop for Link {
    /// Closes the connection at once, so that the other side stops work on what is under way.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    let stream = socket.connect(address).await?;
    set_socket_options(&stream)?;
    Ok(stream)
}
