//! Permits of requests that are not sent go back to the router that granted them.

use std::net::SocketAddr;

use fescue_core::UpstreamId;
use fescue_policy::rate_limit::RequestRate;
use fescue_policy::warmup::PERMIT_TTL;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::MAX_ANSWERS;
use crate::datagrams::Datagram;
use crate::gateway::Gateway;
use crate::upstreams::Server;

/// Gives back a permit whose request the upstream did not get.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Refund {
    upstream: UpstreamId,
    started: Option<u64>,
    /// The number of the question that the permit answered, so that a repeated refund counts once; earlier builds
    /// name none.
    #[serde(default)]
    number: Option<u64>,
}

/// A permit for one request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    pub(super) granter: Granter,
    /// The rate that the upstream tolerates, if it is cold.
    pub(super) cold: Option<RequestRate>,
    /// When it was asked for.
    pub(super) asked: Instant,
}

impl Permit {
    /// Returns whether the upstream was cold.
    pub fn is_cold(&self) -> bool {
        self.cold.is_some()
    }

    /// Returns whether the permit is too old for a request to a cold upstream.
    pub fn is_overdue(&self) -> bool {
        self.is_cold() && self.asked.elapsed() >= PERMIT_TTL
    }
}

/// Who granted a permit.
#[derive(Clone, Copy, Debug)]
pub(super) enum Granter {
    /// This router, as the home.
    Own,
    /// Another router, with the number of the question.
    Peer(SocketAddr, u64),
    /// This router, from its share.
    Share,
}

/// Gives back the permit of a request that the upstream did not get.
pub fn put_back(gateway: &Gateway, server: &Server, permit: Permit) {
    let (upstream, started) = (server.entry.id.clone(), server.entry.started_at);
    match permit.granter {
        Granter::Peer(peer, number) => {
            let refund = Refund {
                upstream,
                started,
                number: Some(number),
            };
            gateway.courier.send(peer, Datagram::Refund(refund));
        }
        Granter::Own => {
            let permits = &gateway.permits;
            if let Some(rate) = permit.cold {
                permits.with_cold(&upstream, gateway.now(), |grants| grants.put_back(rate));
            }
            permits.put_back(&(upstream, started));
        }
        Granter::Share => gateway.permits.put_back(&(upstream, started)),
    }
}

/// Takes back a permit that another router gives back; a repeated refund counts once.
pub fn take_back(gateway: &Gateway, refund: Refund) {
    let permits = &gateway.permits;
    let Refund {
        upstream,
        started,
        number,
    } = refund;
    if let Some(number) = number {
        let given = permits.answers.lock().get(&number).copied();
        let granted = given.filter(|given| given.answer.granted);
        let mut refunded = permits.refunded.lock();
        if refunded.len() >= MAX_ANSWERS {
            refunded.drain(..MAX_ANSWERS / 2);
        }
        if granted.is_none() || !refunded.insert(number) {
            return;
        }
        drop(refunded);
        if let Some(rate) = granted.and_then(|given| given.cold) {
            permits.with_cold(&upstream, gateway.now(), |grants| grants.put_back(rate));
        }
    }
    permits.put_back(&(upstream, started));
}
