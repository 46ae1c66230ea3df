//! Connections to upstreams and to the store.

mod guard;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use fescue_store::head;
use fescue_store::transport::Transport;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use guard::{Guarded, HeadLimit};

/// Time that sent data may stay unacknowledged before the connection is closed; slightly shorter
/// than the shortest interruption after which a VM counts as in contact again.
const USER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Idle time before the first keepalive probe and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 3;

/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum number of interim responses before a response.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Maximum number of bytes read until a response head is complete: interim responses, the head, and
/// the part of the body that arrives with it.
const MAX_BYTES_BEFORE_BODY: usize = 4 * MAX_HEAD_BYTES;

/// Sets `TCP_NODELAY`, keepalive and the user timeout, so that a dead connection is detected.
///
/// # Errors
///
/// Fails if the socket rejects an option.
pub fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// The cause for which a request got no response on a link.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// No process listens on the upstream's address.
    #[error("connection refused by {0}")]
    Refused(SocketAddr),
    /// No byte of the request was sent, so it can be retried safely.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection failed after part of the request may have been sent.
    #[error("the connection broke: {0}")]
    Broke(String),
}

/// An HTTP/1.1 client connection that carries one request at a time.
#[derive(Debug)]
pub struct Link {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    head_limit: HeadLimit,
    idle_since: Instant,
    idle_limit: Option<Duration>,
    /// The number of requests that were sent.
    requests: u64,
}

impl Link {
    /// Opens a connection within a time limit.
    ///
    /// # Errors
    ///
    /// [`LinkError::Refused`] or [`LinkError::NotSent`] if the connection is not established within
    /// `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, LinkError> {
        let connected = timeout(limit, connect(address)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                return Err(LinkError::Refused(address));
            }
            Ok(Err(error)) => return Err(LinkError::NotSent(format!("{address}: {error}"))),
            Err(_) => return Err(LinkError::NotSent(format!("{address}: connect timed out"))),
        };
        let head_limit = HeadLimit::open();
        let builder = &mut http1::Builder::new();
        let builder = builder.max_buf_size(MAX_HEAD_BYTES);
        let stream = Guarded::open(stream, head_limit.clone());
        let (sender, driver) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| LinkError::NotSent(format!("{address}: {error}")))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = driver.await {
                tracing::debug!(%address, %error, "connection ended with an error");
            }
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            head_limit,
            idle_since: Instant::now(),
            idle_limit: None,
            requests: 0,
        })
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// [`LinkError::NotSent`] only if no byte of the request was sent, otherwise
    /// [`LinkError::Broke`].
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, LinkError> {
        if let Err(error) = self.sender.ready().await {
            return Err(LinkError::NotSent(error.to_string()));
        }
        self.requests += 1;
        self.head_limit.set(MAX_BYTES_BEFORE_BODY);
        let (limit, interim) = (self.head_limit.clone(), AtomicUsize::new(0));
        hyper::ext::on_informational(&mut request, move |_| {
            if interim.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_RESPONSES {
                limit.set(0);
            }
        });
        let response = self.sender.try_send_request(request).await;
        self.head_limit.clear();
        let response = response.map_err(|mut error| {
            let unsent = error.take_message().is_some();
            let error = error.into_error().to_string();
            if unsent {
                LinkError::NotSent(error)
            } else {
                LinkError::Broke(error)
            }
        })?;
        if head::is_single(&response) {
            return Ok(response);
        }
        let error = "the response head contains the start of another one";
        Err(LinkError::Broke(error.to_owned()))
    }

    /// Waits up to `limit` until the connection can carry another request; returns false if it
    /// cannot.
    pub async fn wait_ready(&mut self, limit: Duration) -> bool {
        let ready = timeout(limit, self.sender.ready()).await;
        self.idle_since = Instant::now();
        matches!(ready, Ok(Ok(())))
    }

    /// Returns whether the connection has carried a request before the current one. An answer to an
    /// earlier request can then arrive where that to the current one is due.
    pub fn is_reused(&self) -> bool {
        self.requests > 1
    }

    /// Sets the time for which the server keeps an idle connection open.
    pub fn set_idle_limit(&mut self, limit: Duration) {
        self.idle_limit = Some(limit);
    }

    /// Returns whether the server has closed the connection, or it broke.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns whether the connection is open and was idle for less than `longest` and the server's
    /// own limit.
    pub fn is_usable(&self, longest: Duration) -> bool {
        let limit = self.idle_limit.map_or(longest, |limit| limit.min(longest));
        self.sender.is_ready() && self.idle_since.elapsed() < limit
    }
}

impl Drop for Link {
    /// Closes the connection at once, so that the server cancels a request in progress.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<Transport> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    let stream = socket.connect(address).await?;
    set_socket_options(&stream)?;
    Ok(Transport::new(stream))
}
