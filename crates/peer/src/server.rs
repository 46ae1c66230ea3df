//! Answers peers over the network.

use std::net::SocketAddr;
use std::sync::Arc;

use fescue_core::Incarnation;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

use crate::wire::peer_server::{Peer, PeerServer};
use crate::{PeerError, PeerService, convert, wire};

/// A running server of peers.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds an address and answers there for `link` to whoever shows `token`.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        token: &str,
        link: Arc<dyn PeerService>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let expected = format!("Bearer {token}");
        let check = move |request: Request<()>| {
            let shown = request.metadata().get("authorization");
            match shown.is_some_and(|token| token.as_bytes() == expected.as_bytes()) {
                true => Ok(request),
                false => Err(Status::unauthenticated("the peers' token is wrong")),
            }
        };
        let service = PeerServer::with_interceptor(Handler { link }, check);
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

    /// Takes no new connection; what was asked is still answered.
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
    link: Arc<dyn PeerService>,
}

fn refused(error: PeerError) -> Status {
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
        let greeting = request.into_inner().try_into().map_err(refused)?;
        let reply = self.link.heartbeat(greeting).await.map_err(refused)?;
        Ok(Response::new(reply.into()))
    }

    async fn take(
        &self,
        request: Request<wire::TakeRequest>,
    ) -> Result<Response<wire::TakeReply>, Status> {
        let take = request.into_inner().try_into().map_err(refused)?;
        let parts = self.link.take_tokens(take).await.map_err(refused)?;
        let parts = convert::parts_out(&parts);
        Ok(Response::new(wire::TakeReply { parts }))
    }

    async fn note(
        &self,
        request: Request<wire::NoteRequest>,
    ) -> Result<Response<wire::NoteReply>, Status> {
        let request = request.into_inner();
        let from = Incarnation::new(request.from);
        let notes = convert::notes_in(&request.totals).map_err(refused)?;
        let noted = self
            .link
            .note(from, request.epoch, notes, request.whole)
            .await;
        let noted = convert::noted_out(noted.map_err(refused)?);
        let noted = noted.into();
        Ok(Response::new(wire::NoteReply { noted }))
    }

    async fn refuse(
        &self,
        request: Request<wire::RefuseRequest>,
    ) -> Result<Response<wire::RefuseReply>, Status> {
        let request = request.into_inner();
        let owner = Incarnation::new(request.owner);
        let refused_now = self.link.refuse(owner, request.epoch).await;
        let (witness, report) = refused_now.map_err(refused)?;
        Ok(Response::new(wire::RefuseReply {
            incarnation: witness.get(),
            seeded: report.seeded,
            totals: convert::notes_out(&report.notes),
        }))
    }

    async fn keep(
        &self,
        request: Request<wire::KeepRequest>,
    ) -> Result<Response<wire::KeepReply>, Status> {
        let request = request.into_inner();
        let copies = convert::copies_in(&request).map_err(refused)?;
        let owner = Incarnation::new(request.owner);
        self.link
            .keep_copies(owner, copies)
            .await
            .map_err(refused)?;
        Ok(Response::new(wire::KeepReply {}))
    }

    async fn changes(
        &self,
        request: Request<wire::ChangesRequest>,
    ) -> Result<Response<wire::ChangesReply>, Status> {
        let after = request.into_inner().after;
        let changes = self.link.rule_changes(after).await.map_err(refused)?;
        Ok(Response::new(wire::ChangesReply { changes }))
    }
}
