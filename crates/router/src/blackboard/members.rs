//! The other routers, as last heard of.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_core::{DataCentreId, Incarnation, VmId};
use fescue_peer::PeerService;
use indexmap::IndexMap;

/// Another router.
#[derive(Clone)]
pub struct Member {
    /// Its VM.
    pub vm: VmId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// How it is asked.
    pub link: Arc<dyn PeerService>,
    /// The incarnation that last answered.
    pub incarnation: Option<Incarnation>,
    /// When it last answered or asked.
    pub heard: Option<Duration>,
    /// Whether it is stopping.
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
    /// Sets the time against which silence is measured.
    pub fn advance(&mut self, now: Duration, silence: Duration) {
        self.now = now;
        self.silence = silence;
    }

    /// Returns a member.
    pub fn get_mut(&mut self, vm: &VmId) -> Option<&mut Member> {
        self.members.get_mut(vm)
    }

    /// Adds a member, or takes over its new address.
    pub fn insert(&mut self, member: Member) {
        self.members.insert(member.vm.clone(), member);
    }

    /// Drops the members that `keep` doesn't name.
    pub fn retain(&mut self, keep: impl Fn(&VmId) -> bool) {
        self.members.retain(|vm, _| keep(vm));
    }

    /// Returns all members, heard of or not.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the members that were heard of lately.
    pub fn alive(&self) -> impl Iterator<Item = (Incarnation, &Member)> {
        let fresh = |m: &&Member| {
            let heard = m.heard.map(|heard| self.now.saturating_sub(heard));
            heard.is_some_and(|silent| silent < self.silence)
        };
        let fresh = self.members.values().filter(fresh);
        fresh.filter_map(|m| m.incarnation.map(|incarnation| (incarnation, m)))
    }

    /// Returns the incarnations that were heard of lately.
    pub fn incarnations(&self) -> Vec<Incarnation> {
        self.alive().map(|(incarnation, _)| incarnation).collect()
    }

    /// Returns how to ask an incarnation that was heard of lately.
    pub fn link(&self, incarnation: Incarnation) -> Option<Arc<dyn PeerService>> {
        let mut alive = self.alive();
        let found = alive.find(|(other, _)| *other == incarnation);
        found.map(|(_, member)| Arc::clone(&member.link))
    }
}
