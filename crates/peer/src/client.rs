//! Asks a peer over the network.

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
use crate::{BillCopies, Heartbeat, PeerError, PeerService, TokenRequest, convert, wire};

/// How long a connection may take to stand.
const CONNECT: Duration = Duration::from_millis(500);

/// How long a peer may take to answer.
const ANSWER: Duration = Duration::from_millis(1000);

/// A connection to one peer, made when it is first needed and again after it broke.
pub struct Client {
    channel: Channel,
    token: MetadataValue<Ascii>,
}

impl Client {
    /// Opens a client of the peer at `address`, which is shown `token`.
    ///
    /// # Errors
    ///
    /// When the token can't be sent.
    pub fn open(address: SocketAddr, token: &str) -> Result<Self, PeerError> {
        let bad = |e: &dyn std::fmt::Display| PeerError::Unreachable(e.to_string());
        let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(|e| bad(&e))?;
        let endpoint = endpoint.connect_timeout(CONNECT).timeout(ANSWER);
        let channel = endpoint.connect_lazy();
        let token = format!("Bearer {token}").parse();
        let token = token.map_err(|_| bad(&"the peers' token isn't plain text"))?;
        Ok(Self { channel, token })
    }

    fn peer(&self) -> PeerClient<Channel> {
        PeerClient::new(self.channel.clone())
    }

    fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        let token = self.token.clone();
        request.metadata_mut().insert("authorization", token);
        request
    }
}

fn failed(status: Status) -> PeerError {
    let message = status.message().to_owned();
    match status.code() {
        Code::Unavailable | Code::Unauthenticated => PeerError::Unreachable(message),
        Code::InvalidArgument => PeerError::Malformed(message),
        _ => PeerError::Lost(message),
    }
}

#[async_trait]
impl PeerService for Client {
    async fn heartbeat(&self, greeting: Heartbeat) -> Result<Heartbeat, PeerError> {
        let request = self.request(greeting.into());
        let reply = self.peer().beat(request).await.map_err(failed)?;
        reply.into_inner().try_into()
    }

    async fn take_tokens(&self, take: TokenRequest) -> Result<Parts, PeerError> {
        let request = self.request(take.into());
        let reply = self.peer().take(request).await.map_err(failed)?;
        Ok(convert::parts_in(&reply.into_inner().parts))
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
            totals: convert::notes_out(&notes),
            whole,
            epoch,
        };
        let request = self.request(request);
        let reply = self.peer().note(request).await.map_err(failed)?;
        Ok(convert::noted_in(reply.into_inner().noted()))
    }

    async fn refuse(
        &self,
        owner: Incarnation,
        epoch: u64,
    ) -> Result<(Incarnation, Report), PeerError> {
        let owner = owner.get();
        let request = self.request(wire::RefuseRequest { owner, epoch });
        let reply = self.peer().refuse(request).await.map_err(failed)?;
        let reply = reply.into_inner();
        let report = Report {
            seeded: reply.seeded,
            notes: convert::notes_in(&reply.totals)?,
        };
        Ok((Incarnation::new(reply.incarnation), report))
    }

    async fn keep_copies(&self, owner: Incarnation, copies: BillCopies) -> Result<(), PeerError> {
        let request = self.request(convert::copies_out(owner, &copies));
        let reply = self.peer().keep(request).await;
        reply.map(drop).map_err(failed)
    }

    async fn rule_changes(&self, after: u64) -> Result<Vec<Vec<u8>>, PeerError> {
        let request = self.request(wire::ChangesRequest { after });
        let reply = self.peer().changes(request).await.map_err(failed)?;
        Ok(reply.into_inner().changes)
    }
}
