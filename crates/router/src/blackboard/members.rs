//! The other routers, with the state that each last reported.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{DataCentreId, Incarnation, VmId};
use fescue_peer::PeerApi;
use indexmap::IndexMap;

/// Another router of the fleet.
#[derive(Clone)]
pub struct Member {
    /// The VM that it runs on.
    pub vm: VmId,
    /// The address on which it listens for peers.
    pub address: SocketAddr,
    /// The data centre of the VM.
    pub data_centre: DataCentreId,
    /// The connection for calls to it.
    pub link: Arc<dyn PeerApi>,
    /// The incarnation that last sent a heartbeat; `None` before the first.
    pub incarnation: Option<Incarnation>,
    /// When its last heartbeat arrived, since the start of this router.
    pub heard: Option<Duration>,
    /// Whether it is draining or the platform lists its VM as leaving.
    pub leaving: bool,
}

/// The other routers, by VM.
#[derive(Default)]
pub struct Members {
    members: IndexMap<VmId, Member>,
    now: Duration,
    silence: Duration,
}

impl Members {
    /// Sets the current time and the silence after which a member no longer counts as alive.
    pub fn set_time(&mut self, now: Duration, silence: Duration) {
        self.now = now;
        self.silence = silence;
    }

    /// Returns the member on a VM, for updates.
    pub fn get_mut(&mut self, vm: &VmId) -> Option<&mut Member> {
        self.members.get_mut(vm)
    }

    /// Adds a member, or replaces the one on the same VM.
    pub fn insert(&mut self, member: Member) {
        self.members.insert(member.vm.clone(), member);
    }

    /// Removes the members for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&VmId) -> bool) {
        self.members.retain(|vm, _| keep(vm));
    }

    /// Returns all members, alive or not.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the members that are alive: those whose last heartbeat is recent enough.
    pub fn alive(&self) -> impl Iterator<Item = (Incarnation, &Member)> {
        let is_alive = |m: &&Member| {
            let heard = m.heard.map(|heard| self.now.saturating_sub(heard));
            heard.is_some_and(|silent| silent < self.silence)
        };
        let is_alive = self.members.values().filter(is_alive);
        is_alive.filter_map(|m| m.incarnation.map(|incarnation| (incarnation, m)))
    }

    /// Returns the incarnations of the members that are alive.
    pub fn incarnations(&self) -> Vec<Incarnation> {
        self.alive().map(|(incarnation, _)| incarnation).collect()
    }

    /// Returns the connection to an incarnation if it is alive.
    pub fn link(&self, incarnation: Incarnation) -> Option<Arc<dyn PeerApi>> {
        let mut alive = self.alive();
        let found = alive.find(|(other, _)| *other == incarnation);
        found.map(|(_, member)| Arc::clone(&member.link))
    }
}
