//! An upstream that answers before it has read a request's body, and then ends its connection in a given way.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// Size of the receive buffer: well below an upload, and more than a segment of loopback (64 KB).
const RECEIVE_BUFFER_BYTES: usize = 256 << 10;

/// Size of a read.
const BUFFER_BYTES: usize = 4096;

/// Maximum number of reads of a part of a body; a client that writes as fast as they are would else complete it.
const MAX_PARTS: usize = 20;

/// Time between the end of an upstream's side and what it does next.
const PAUSE: Duration = Duration::from_millis(100);

/// How an upstream ends a connection whose request it has not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Resets it after some time, in which it reads nothing.
    Reset(Duration),
    /// Resets it while it reads the body.
    ResetReading,
    /// Ends its side in an orderly way and resets the connection at once.
    EndAndReset,
    /// Ends its side, and resets the connection once the client has seen that.
    EndThenReset,
    /// Reads what has arrived and closes the socket, so that the kernel answers the rest by a reset.
    Close,
    /// Ends its side, then reads the whole body and closes.
    Orderly,
}

impl End {
    /// The ends after which the connection breaks while the body is being written.
    pub const BROKEN: [Self; 7] = [
        Self::Reset(Duration::ZERO),
        Self::Reset(Duration::from_millis(2)),
        Self::Reset(Duration::from_millis(50)),
        Self::ResetReading,
        Self::EndAndReset,
        Self::EndThenReset,
        Self::Close,
    ];

    async fn apply(self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut buffer = vec![0; BUFFER_BYTES];
        match self {
            Self::Reset(time) => sleep(time).await,
            Self::ResetReading => {
                for _ in 0..MAX_PARTS {
                    stream.read_exact(&mut buffer).await?;
                }
            }
            Self::EndAndReset => stream.shutdown().await?,
            Self::EndThenReset => {
                stream.shutdown().await?;
                sleep(PAUSE).await;
            }
            Self::Close => {
                let mut parts = 0..MAX_PARTS;
                while parts.next().is_some() && stream.try_read(&mut buffer).is_ok() {}
                return Ok(());
            }
            Self::Orderly => {
                stream.shutdown().await?;
                sleep(PAUSE).await;
                while stream.read(&mut buffer).await? > 0 {}
                return Ok(());
            }
        }
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))
    }
}

/// What an upstream does for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Reads the body, sends the text and keeps the connection.
    Whole(String),
    /// Sends the text, reads the body later and keeps the connection.
    Early(String),
    /// Sends the text before it reads the body, and ends the connection.
    Broken(String, End),
}

/// A running upstream, which stops accepting connections when dropped.
pub struct EarlyUpstream {
    /// Address on which it listens.
    pub address: SocketAddr,
    listener: AbortHandle,
}

impl Drop for EarlyUpstream {
    fn drop(&mut self) {
        self.listener.abort();
    }
}

impl EarlyUpstream {
    /// Starts an upstream on a free loopback port. `reply` decides by the head of a request.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn spawn<F>(reply: F) -> std::io::Result<Self>
    where
        F: Fn(&str) -> Reply + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        // Connections inherit it.
        SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        let address = listener.local_addr()?;
        let reply = Arc::new(reply);
        let listener = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let reply = Arc::clone(&reply);
                // Ends with an error when the client closes the connection first.
                tokio::spawn(async move { serve(stream, &*reply).await });
            }
        });
        Ok(Self {
            address,
            listener: listener.abort_handle(),
        })
    }
}

async fn serve(
    mut stream: TcpStream,
    reply: &(dyn Fn(&str) -> Reply + Send + Sync),
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    loop {
        let head = read_head(&mut stream).await?;
        match reply(&head) {
            Reply::Whole(text) => {
                read_body(&mut stream, &head).await?;
                stream.write_all(text.as_bytes()).await?;
            }
            Reply::Early(text) => {
                stream.write_all(text.as_bytes()).await?;
                sleep(PAUSE).await;
                read_body(&mut stream, &head).await?;
            }
            Reply::Broken(text, end) => {
                stream.write_all(text.as_bytes()).await?;
                return end.apply(stream).await;
            }
        }
    }
}

async fn read_head(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8_lossy(&head).to_ascii_lowercase())
}

async fn read_body(stream: &mut TcpStream, head: &str) -> std::io::Result<()> {
    let length = head.lines().find_map(|line| {
        let (name, length) = line.split_once(':')?;
        (name == "content-length").then(|| length.trim().parse().ok())?
    });
    let mut left: usize = length.unwrap_or_default();
    let mut buffer = vec![0; BUFFER_BYTES];
    while left > 0 {
        let part = left.min(buffer.len());
        left -= stream.read_exact(&mut buffer[..part]).await?;
    }
    Ok(())
}
