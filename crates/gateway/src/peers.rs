//! The other live routers, and which of them keep a team's tokens.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use fescue_core::{Incarnation, TeamId, VmId, hash};
use fescue_policy::homes::{self, Role};
use tokio::time::Instant;

/// For how long a router that didn't answer isn't asked.
const SILENCE: Duration = Duration::from_secs(1);

/// Another live router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    member: u64,
    /// Where it hears other routers.
    pub address: SocketAddr,
    /// Its present start.
    pub incarnation: Incarnation,
}

impl Peer {
    /// Describes the router of a VM.
    pub fn new(vm: &str, address: SocketAddr, incarnation: Incarnation) -> Self {
        Self {
            member: hash::digest64(vm.as_bytes()),
            address,
            incarnation,
        }
    }
}

/// Where a team's tokens are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Home {
    /// At this router.
    Own,
    /// At another one.
    Peer(SocketAddr),
}

/// The live routers as this one knows them.
#[derive(Debug)]
pub struct Peers {
    own: u64,
    list: Vec<Peer>,
    settled: bool,
    silent: HashMap<SocketAddr, Instant>,
}

impl Peers {
    /// Opens the list of a router that is alone.
    pub fn open(vm: &VmId) -> Self {
        Self {
            own: hash::digest64(vm.as_str().as_bytes()),
            list: Vec::new(),
            settled: true,
            silent: HashMap::new(),
        }
    }

    /// Notes that the others aren't known yet, so that this router takes itself for no home.
    pub fn unsettle(&mut self) {
        self.settled = false;
    }

    /// Takes over the live routers; `settled` where all can be expected to be among them.
    pub fn set(&mut self, list: Vec<Peer>, settled: bool) {
        self.list = list;
        self.settled |= settled;
        let listed = |address: &SocketAddr| self.list.iter().any(|peer| peer.address == *address);
        self.silent.retain(|address, _| listed(address));
    }

    /// Returns the present start of the router at an address.
    pub fn incarnation(&self, address: SocketAddr) -> Option<Incarnation> {
        let peer = self.list.iter().find(|peer| peer.address == address);
        peer.map(|peer| peer.incarnation)
    }

    /// Notes that a router answered.
    pub fn note_heard(&mut self, address: SocketAddr, incarnation: Incarnation) {
        self.silent.remove(&address);
        let peer = self.list.iter_mut().find(|peer| peer.address == address);
        if let Some(peer) = peer {
            peer.incarnation = incarnation;
        }
    }

    /// Notes that a router didn't answer.
    pub fn note_silent(&mut self, address: SocketAddr) {
        self.silent.insert(address, Instant::now() + SILENCE);
    }

    /// Returns what this router is for a team.
    pub fn role(&self, team: &TeamId) -> Role {
        if !self.settled {
            return Role::Other;
        }
        let ranked = self.rank(team);
        let own = ranked.iter().position(|home| *home == Home::Own);
        own.map_or(Role::Other, Role::of_rank)
    }

    /// Returns the routers to ask for a team's tokens in turn, less those that didn't answer.
    pub fn homes(&self, team: &TeamId) -> Vec<Home> {
        let now = Instant::now();
        let answers = |home: &Home| match home {
            Home::Own => true,
            Home::Peer(address) => self.silent.get(address).is_none_or(|until| *until <= now),
        };
        self.rank(team).into_iter().filter(answers).collect()
    }

    fn rank(&self, team: &TeamId) -> Vec<Home> {
        let key = hash::digest64(team.as_str().as_bytes());
        let mut members: Vec<_> = self.list.iter().map(|peer| peer.member).collect();
        members.push(self.own);
        let home = |place: usize| match self.list.get(place) {
            Some(peer) => Home::Peer(peer.address),
            None => Home::Own,
        };
        homes::rank(key, &members).into_iter().map(home).collect()
    }
}
