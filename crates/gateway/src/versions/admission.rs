//! Holds entries of new versions back until the store says that their service has several.

use fescue_core::{ServiceId, SoftwareVersion, UpstreamId};
use indexmap::IndexSet;

use super::{Held, Versions, resumable_services};
use crate::cold;
use crate::gateway::Gateway;
use crate::model::Upstream;
use crate::upstreams::Servers;

/// The versions of a service's upstreams as they are known now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Listed {
    /// There is no upstream.
    None,
    /// All have this version.
    One(SoftwareVersion),
    /// There are several versions, or one that can't be read.
    Several,
}

impl Listed {
    fn add(self, version: Option<&SoftwareVersion>) -> Self {
        match (self, version) {
            (Self::None, Some(version)) => Self::One(version.clone()),
            (Self::One(known), Some(version)) if known == *version => Self::One(known),
            _ => Self::Several,
        }
    }
}

/// Takes an entry of the list over, or holds it until its service's row allows its use. An entry of a version
/// that is in use is taken at once, and so is one of a service that has no other upstream: requests don't wait
/// for the store.
pub fn put(gateway: &Gateway, entry: Upstream, copied: bool) -> bool {
    cold::receive_entry(gateway, &entry, copied);
    let mut servers = gateway.servers.lock();
    let other = |known: &Upstream| known.service == entry.service && known.version != entry.version;
    if servers.iter().any(|server| other(&server.entry)) {
        gateway.versions.note_mixed(&entry.service);
    }
    if !is_new_version(gateway, &servers, &entry) {
        gateway.versions.forget(&entry.id);
        return apply(&mut servers, entry, copied);
    }
    if let Some(known) = servers.get(&entry.id)
        && !known.entry.is_same_process(&entry)
    {
        // The former process has ended, and its version with it.
        servers.remove(&entry.id);
    }
    if !servers.has_usable(&entry.service) {
        gateway.versions.record_unverified(&entry);
        gateway.versions.forget(&entry.id);
        return apply(&mut servers, entry, copied);
    }
    tracing::info!(
        upstream = entry.id.as_str(),
        version = entry.version.as_ref().map(SoftwareVersion::as_str),
        "upstream of another version; not used until the store says so"
    );
    let held = Held { entry, copied };
    let id = held.entry.id.clone();
    gateway.versions.state.lock().held.insert(id, held);
    gateway.versions.wake.notify_one();
    true
}

/// Returns whether an entry brings a version that its service doesn't have here yet.
fn is_new_version(gateway: &Gateway, servers: &Servers, entry: &Upstream) -> bool {
    if entry.draining || !gateway.versions.state.lock().running {
        return false;
    }
    let catalog = gateway.catalog();
    let resumable = catalog
        .is_none_or(|catalog| resumable_services(catalog.manifest()).contains_key(&entry.service));
    let same = |known: &Upstream| known.service == entry.service && known.version == entry.version;
    resumable && !servers.iter().any(|server| same(&server.entry))
}

fn apply(servers: &mut Servers, entry: Upstream, copied: bool) -> bool {
    match copied {
        true => servers.put_copied(entry),
        false => {
            servers.put(entry);
            true
        }
    }
}

impl Versions {
    /// Drops an entry that is held: the upstream has left, or a later entry of it is known.
    pub fn forget(&self, id: &UpstreamId) {
        self.state.lock().held.shift_remove(id);
    }

    /// Records that an entry is used although its service's row may not allow that.
    fn record_unverified(&self, entry: &Upstream) {
        let mut state = self.state.lock();
        let used = state.unverified.entry(entry.service.clone());
        let used = used.or_insert(Listed::None);
        *used = std::mem::replace(used, Listed::None).add(entry.version.as_ref());
        self.wake.notify_one();
    }

    /// Returns whether a service uses versions that its row may not allow.
    pub(super) fn is_unverified(&self, service: &ServiceId) -> bool {
        self.state.lock().unverified.contains_key(service)
    }

    /// Returns the services whose rows have to be verified.
    pub(super) fn due(&self) -> Vec<ServiceId> {
        let state = self.state.lock();
        let held = state.held.values().map(|held| held.entry.service.clone());
        let due: IndexSet<_> = held.chain(state.unverified.keys().cloned()).collect();
        due.into_iter().collect()
    }

    /// Takes the entries of a service that are held over, as its row allows the versions that were `verified`.
    /// Does nothing if others have come meanwhile.
    pub(super) fn release(&self, gateway: &Gateway, service: &ServiceId, verified: &Listed) {
        let mut servers = gateway.servers.lock();
        if self.listed_among(&servers, service) != *verified {
            return;
        }
        self.state.lock().unverified.shift_remove(service);
        for held in self.take_held(service) {
            apply(&mut servers, held.entry, held.copied);
        }
        drop(servers);
        gateway.changed.notify_waiters();
    }

    /// Takes the entries of a service that are held over although its row may not allow that, if it has no
    /// other upstream.
    pub(super) fn release_unverified(&self, gateway: &Gateway, service: &ServiceId) {
        let mut servers = gateway.servers.lock();
        if servers.has_usable(service) {
            return;
        }
        for held in self.take_held(service) {
            self.record_unverified(&held.entry);
            apply(&mut servers, held.entry, held.copied);
        }
        drop(servers);
        gateway.changed.notify_waiters();
    }

    fn take_held(&self, service: &ServiceId) -> Vec<Held> {
        let of_service = |_: &UpstreamId, held: &mut Held| held.entry.service == *service;
        let mut state = self.state.lock();
        let taken = state.held.extract_if(.., of_service);
        taken.map(|(_, held)| held).collect()
    }

    /// Returns the versions of a service's upstreams, those that are held included.
    pub(super) fn listed(&self, gateway: &Gateway, service: &ServiceId) -> Listed {
        self.listed_among(&gateway.servers.lock(), service)
    }

    fn listed_among(&self, servers: &Servers, service: &ServiceId) -> Listed {
        let entries = servers.iter().map(|server| &server.entry);
        let entries = entries.filter(|entry| entry.service == *service);
        let listed = entries.fold(Listed::None, |listed, entry| {
            listed.add(entry.version.as_ref())
        });
        let state = self.state.lock();
        let held = state.held.values().map(|held| &held.entry);
        let held = held.filter(|entry| entry.service == *service);
        let listed = held.fold(listed, |listed, entry| listed.add(entry.version.as_ref()));
        match state.unverified.get(service) {
            None | Some(Listed::None) => listed,
            Some(Listed::One(used)) => listed.add(Some(used)),
            Some(Listed::Several) => Listed::Several,
        }
    }
}
