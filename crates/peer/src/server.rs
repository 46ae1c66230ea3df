//! The gRPC server for peers.

use std::net::SocketAddr;
use std::sync::Arc;

use fescue_core::Incarnation;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

use crate::wire::peer_server::{Peer, PeerServer};
use crate::{PeerApi, PeerError, convert, wire};

/// A running server; it is aborted when dropped.
#[derive(Debug)]
pub struct Server {
    /// The address at which the server listens, with the actual port if port 0 was requested.
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds an address and serves `service` there to peers that authenticate with `token`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        token: &str,
        service: Arc<dyn PeerApi>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let expected = format!("Bearer {token}");
        let check = move |request: Request<()>| {
            let received = request.metadata().get("authorization");
            match received.is_some_and(|token| token.as_bytes() == expected.as_bytes()) {
                true => Ok(request),
                false => Err(Status::unauthenticated("the peers' token is wrong")),
            }
        };
        let service = PeerServer::with_interceptor(Handler { service }, check);
        let (stop, stopped) = oneshot::channel::<()>();
        let task = tokio::spawn(async move {
            let incoming = TcpListenerStream::new(listener);
            let server = tonic::transport::Server::builder().add_service(service);
            let stopped = async { drop(stopped.await) };
            let _ended = server.serve_with_incoming_shutdown(incoming, stopped).await;
        });
        let stop = Some(stop);
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Stops accepting connections; requests in progress are still answered.
    pub fn stop(&mut self) {
        drop(self.stop.take());
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Handler {
    service: Arc<dyn PeerApi>,
}

fn error_status(error: PeerError) -> Status {
    match error {
        PeerError::Malformed(message) => Status::invalid_argument(message),
        PeerError::Unreachable(message) => Status::unavailable(message),
        PeerError::Lost(message) => Status::unknown(message),
    }
}

#[tonic::async_trait]
impl Peer for Handler {
    async fn beat(
        &self,
        request: Request<wire::Greeting>,
    ) -> Result<Response<wire::Greeting>, Status> {
        let heartbeat = request.into_inner().try_into().map_err(error_status)?;
        let reply = self
            .service
            .heartbeat(heartbeat)
            .await
            .map_err(error_status)?;
        Ok(Response::new(reply.into()))
    }

    async fn take(
        &self,
        request: Request<wire::TakeRequest>,
    ) -> Result<Response<wire::TakeReply>, Status> {
        let request = request.into_inner().try_into().map_err(error_status)?;
        let parts = self
            .service
            .take_tokens(request)
            .await
            .map_err(error_status)?;
        let parts = convert::encode_parts(&parts);
        Ok(Response::new(wire::TakeReply { parts }))
    }

    async fn note(
        &self,
        request: Request<wire::NoteRequest>,
    ) -> Result<Response<wire::NoteReply>, Status> {
        let request = request.into_inner();
        let from = Incarnation::new(request.from);
        let notes = convert::parse_notes(&request.totals).map_err(error_status)?;
        let noted = self
            .service
            .note(from, request.epoch, notes, request.whole)
            .await;
        let noted = convert::encode_noted(noted.map_err(error_status)?);
        let noted = noted.into();
        Ok(Response::new(wire::NoteReply { noted }))
    }

    async fn refuse(
        &self,
        request: Request<wire::RefuseRequest>,
    ) -> Result<Response<wire::RefuseReply>, Status> {
        let request = request.into_inner();
        let owner = Incarnation::new(request.owner);
        let refused = self.service.refuse(owner, request.epoch).await;
        let (witness, report) = refused.map_err(error_status)?;
        Ok(Response::new(wire::RefuseReply {
            incarnation: witness.get(),
            seeded: report.seeded,
            totals: convert::encode_notes(&report.notes),
        }))
    }

    async fn keep(
        &self,
        request: Request<wire::KeepRequest>,
    ) -> Result<Response<wire::KeepReply>, Status> {
        let request = request.into_inner();
        let copies = convert::parse_copies(&request).map_err(error_status)?;
        let owner = Incarnation::new(request.owner);
        self.service
            .keep_copies(owner, copies)
            .await
            .map_err(error_status)?;
        Ok(Response::new(wire::KeepReply {}))
    }

    async fn changes(
        &self,
        request: Request<wire::ChangesRequest>,
    ) -> Result<Response<wire::ChangesReply>, Status> {
        let after = request.into_inner().after;
        let changes = self
            .service
            .rule_changes(after)
            .await
            .map_err(error_status)?;
        Ok(Response::new(wire::ChangesReply { changes }))
    }
}
