//! The gRPC client of a peer.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use fescue_core::Incarnation;
use fescue_policy::ledger::Parts;
use fescue_policy::witness::{Noted, Notes, Report};
use tonic::metadata::{Ascii, MetadataValue};
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Request, Status};

use crate::wire::peer_client::PeerClient;
use crate::{BillCopies, Heartbeat, PeerApi, PeerError, TokenRequest, convert, wire};

/// The maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum time until a peer has answered a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// A client of one peer, which connects on first use and reconnects after a failure.
pub struct Client {
    channel: Channel,
    token: MetadataValue<Ascii>,
}

impl Client {
    /// Creates a client of the peer at `address` that authenticates with `token`.
    ///
    /// # Errors
    ///
    /// Returns an error if the token isn't a valid header value.
    pub fn open(address: SocketAddr, token: &str) -> Result<Self, PeerError> {
        let unreachable = |e: &dyn std::fmt::Display| PeerError::Unreachable(e.to_string());
        let endpoint =
            Endpoint::from_shared(format!("http://{address}")).map_err(|e| unreachable(&e))?;
        let endpoint = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(CALL_TIMEOUT);
        let channel = endpoint.connect_lazy();
        let token = format!("Bearer {token}").parse();
        let token = token.map_err(|_| unreachable(&"the peer token isn't a valid header value"))?;
        Ok(Self { channel, token })
    }

    fn stub(&self) -> PeerClient<Channel> {
        PeerClient::new(self.channel.clone())
    }

    /// Creates a request with the token in its metadata.
    fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        let token = self.token.clone();
        request.metadata_mut().insert("authorization", token);
        request
    }
}

fn status_error(status: Status) -> PeerError {
    let message = status.message().to_owned();
    match status.code() {
        Code::Unavailable | Code::Unauthenticated => PeerError::Unreachable(message),
        Code::InvalidArgument => PeerError::Malformed(message),
        _ => PeerError::Lost(message),
    }
}

#[async_trait]
impl PeerApi for Client {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> Result<Heartbeat, PeerError> {
        let request = self.request(heartbeat.into());
        let reply = self.stub().beat(request).await.map_err(status_error)?;
        reply.into_inner().try_into()
    }

    async fn take_tokens(&self, request: TokenRequest) -> Result<Parts, PeerError> {
        let request = self.request(request.into());
        let reply = self.stub().take(request).await.map_err(status_error)?;
        Ok(convert::parse_parts(&reply.into_inner().parts))
    }

    async fn note(
        &self,
        from: Incarnation,
        epoch: u64,
        notes: Notes,
        whole: bool,
    ) -> Result<Noted, PeerError> {
        let request = wire::NoteRequest {
            from: from.get(),
            totals: convert::encode_notes(&notes),
            whole,
            epoch,
        };
        let request = self.request(request);
        let reply = self.stub().note(request).await.map_err(status_error)?;
        Ok(convert::parse_noted(reply.into_inner().noted()))
    }

    async fn refuse(
        &self,
        owner: Incarnation,
        epoch: u64,
    ) -> Result<(Incarnation, Report), PeerError> {
        let owner = owner.get();
        let request = self.request(wire::RefuseRequest { owner, epoch });
        let reply = self.stub().refuse(request).await.map_err(status_error)?;
        let reply = reply.into_inner();
        let report = Report {
            seeded: reply.seeded,
            notes: convert::parse_notes(&reply.totals)?,
        };
        Ok((Incarnation::new(reply.incarnation), report))
    }

    async fn keep_copies(&self, owner: Incarnation, copies: BillCopies) -> Result<(), PeerError> {
        let request = self.request(convert::encode_copies(owner, &copies));
        let reply = self.stub().keep(request).await;
        reply.map(drop).map_err(status_error)
    }

    async fn rule_changes(&self, after: u64) -> Result<Vec<Vec<u8>>, PeerError> {
        let request = self.request(wire::ChangesRequest { after });
        let reply = self.stub().changes(request).await.map_err(status_error)?;
        Ok(reply.into_inner().changes)
    }
}
