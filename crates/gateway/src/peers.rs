//! The other live routers and their ranking as homes of teams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use fescue_core::{Incarnation, TeamId, VmId, hash};
use fescue_policy::crowding::{self, Neighbours};
use fescue_policy::escrow::term::Witness;
use fescue_policy::homes::{self, Role};
use tokio::time::Instant;

/// Time for which a router that did not answer is not asked again.
const UNRESPONSIVE_TTL: Duration = Duration::from_secs(1);

/// Time for which a router that said that it can't draw is asked after those that can. Each router finds out
/// anew after it, which costs one message there and back for each candidate of an outage.
const CUT_OFF_TTL: Duration = Duration::from_secs(2);

/// Time for which a router that is no longer listed counts as one that the balancer knows.
const MISSING_TTL: Duration = Duration::from_secs(60);

/// The number of witnesses of a router's licenses.
const MAX_WITNESSES: usize = 7;

/// The number of these that may be in the router's own data centre if others can be had: few enough that the
/// loss of the data centre leaves those that are needed.
const MAX_NEAR_WITNESSES: usize = 2;

/// Number of keys whose routers are remembered.
const MAX_RANKS: usize = 4096;

/// Another live router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The hash of its VM's name.
    member: u64,
    /// Address on which it receives datagrams from other routers.
    pub address: SocketAddr,
    /// Incarnation of its running process.
    pub incarnation: Incarnation,
    /// Whether it is in the data centre of this router.
    pub near: bool,
    /// Whether it takes no new connections because it is crowded.
    pub withdrawn: bool,
    /// Its use of processor and link, in percent.
    pub busy_percent: u8,
}

impl Peer {
    /// Creates the entry of the router on the VM named `vm`.
    pub fn new(vm: &str, address: SocketAddr, incarnation: Incarnation) -> Self {
        Self {
            member: hash::digest64(vm.as_bytes()),
            address,
            incarnation,
            near: false,
            withdrawn: false,
            busy_percent: 0,
        }
    }

    /// Sets whether it is in the data centre of this router.
    pub fn placed(self, near: bool) -> Self {
        Self { near, ..self }
    }

    /// Sets its use of processor and link, and whether it takes no new connections.
    pub fn using(self, busy_percent: u8, withdrawn: bool) -> Self {
        Self {
            busy_percent,
            withdrawn,
            ..self
        }
    }

    /// Returns whether it is calm, by what it said of its use.
    fn is_calm(&self) -> bool {
        crowding::is_calm(f64::from(self.busy_percent) / 100.0)
    }
}

/// A router that may be the home of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Home {
    /// This router.
    Own,
    /// Another router, by the address on which it receives datagrams.
    Peer(SocketAddr),
}

/// The live routers known to this one.
#[derive(Debug)]
pub struct Peers {
    own: u64,
    list: Vec<Peer>,
    complete: bool,
    unresponsive: HashMap<SocketAddr, Instant>,
    /// Until when each router counts as cut off from the store.
    cut_off: HashMap<SocketAddr, Instant>,
    /// The incarnations that have announced their exit.
    leaving: HashMap<SocketAddr, Incarnation>,
    /// When each router last answered.
    answers: HashMap<SocketAddr, Instant>,
    /// When each router was last asked for a sign of life.
    probes: HashMap<SocketAddr, Instant>,
    /// When each router of the data centre was last listed.
    seen: HashMap<u64, Instant>,
    /// When a router was last missed: it didn't answer, or is no longer listed.
    missed: Option<Instant>,
    /// The routers that keys select, as long as the others stay the same.
    ranks: HashMap<u64, Vec<Home>>,
}

impl Peers {
    /// Creates an empty list, which counts as complete.
    pub fn open(vm: &VmId) -> Self {
        Self {
            own: hash::digest64(vm.as_str().as_bytes()),
            list: Vec::new(),
            complete: true,
            unresponsive: HashMap::new(),
            cut_off: HashMap::new(),
            leaving: HashMap::new(),
            answers: HashMap::new(),
            probes: HashMap::new(),
            seen: HashMap::new(),
            missed: None,
            ranks: HashMap::new(),
        }
    }

    /// Returns what is known of the routers of the data centre.
    pub fn near(&self) -> Neighbours {
        let near = self.list.iter().filter(|peer| peer.near);
        let withdrawn = near.clone().filter(|peer| peer.withdrawn);
        let before = withdrawn.clone().filter(|peer| peer.member < self.own);
        let open = near.clone().filter(|peer| !peer.withdrawn);
        let percent: u32 = open.clone().map(|peer| u32::from(peer.busy_percent)).sum();
        Neighbours {
            routers: near.clone().count() + 1,
            missing: self.seen.len().saturating_sub(near.count()),
            withdrawn: withdrawn.count(),
            before: before.clone().count(),
            calm_before: before.filter(|peer| peer.is_calm()).count(),
            busy: f64::from(percent) / 100.0 / open.count().max(1) as f64,
        }
    }

    /// Returns the number of live routers, this one included.
    pub fn routers(&self) -> usize {
        self.list.len() + 1
    }

    /// Marks the list as incomplete, so that this router does not act as a home yet.
    pub fn mark_incomplete(&mut self) {
        self.complete = false;
    }

    /// Returns whether the list should hold all live routers.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Replaces the list; `complete` tells whether it should hold all live routers. Once complete,
    /// the list stays so.
    pub fn set(&mut self, list: Vec<Peer>, complete: bool) {
        let now = Instant::now();
        let before = std::mem::replace(&mut self.list, list);
        let gone = |peer: &Peer| self.list.iter().all(|other| other.member != peer.member);
        if before.iter().any(gone) {
            self.missed = Some(now);
        }
        self.ranks.clear();
        let near = self.list.iter().filter(|peer| peer.near);
        self.seen.extend(near.map(|peer| (peer.member, now)));
        self.seen.retain(|_, at| at.elapsed() < MISSING_TTL);
        self.complete |= complete;
        let listed = |address: &SocketAddr| self.list.iter().any(|peer| peer.address == *address);
        self.unresponsive.retain(|address, _| listed(address));
        self.cut_off.retain(|address, _| listed(address));
        self.leaving.retain(|address, _| listed(address));
        self.answers.retain(|address, _| listed(address));
        self.probes.retain(|address, _| listed(address));
    }

    /// Returns the incarnation of the router at an address; `None` if it is not listed.
    pub fn incarnation(&self, address: SocketAddr) -> Option<Incarnation> {
        let peer = self.list.iter().find(|peer| peer.address == address);
        peer.map(|peer| peer.incarnation)
    }

    /// Records an answer from a router and the incarnation in it.
    pub fn mark_responsive(&mut self, address: SocketAddr, incarnation: Incarnation) {
        self.unresponsive.remove(&address);
        let peer = self.list.iter_mut().find(|peer| peer.address == address);
        if let Some(peer) = peer {
            if peer.incarnation != incarnation {
                // A former process may have announced its exit.
                self.ranks.clear();
            }
            peer.incarnation = incarnation;
            self.answers.insert(address, Instant::now());
        }
    }

    /// Records that a router is about to exit, which ends its role as a home. Its successor on the same
    /// address has another incarnation.
    pub fn mark_leaving(&mut self, address: SocketAddr, incarnation: Incarnation) {
        self.leaving.insert(address, incarnation);
        self.ranks.clear();
    }

    /// Returns whether a router takes no new connections because it is crowded, by its latest heartbeat.
    pub fn is_withdrawn(&self, address: SocketAddr) -> bool {
        let mut listed = self.list.iter();
        listed.any(|peer| peer.address == address && peer.withdrawn)
    }

    /// Returns the addresses of all listed routers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.list.iter().map(|peer| peer.address).collect()
    }

    /// Returns whether a router has answered within the given time.
    pub fn has_answered_within(&self, address: SocketAddr, time: Duration) -> bool {
        let answered = self.answers.get(&address);
        answered.is_some_and(|at| at.elapsed() < time)
    }

    /// Returns the routers that have answered within the given time.
    pub fn answered_within(&self, time: Duration) -> Vec<SocketAddr> {
        let recent = self.answers.iter().filter(|(_, at)| at.elapsed() < time);
        recent.map(|(address, _)| *address).collect()
    }

    /// Returns whether a router may be asked for a sign of life, at most once in `interval`.
    pub fn start_probe(&mut self, address: SocketAddr, interval: Duration) -> bool {
        let last = self.probes.get(&address);
        let due = last.is_none_or(|at| at.elapsed() >= interval);
        if due {
            self.probes.insert(address, Instant::now());
        }
        due
    }

    /// Records that a router did not answer, which takes it off the homes to ask for one second.
    pub fn mark_unresponsive(&mut self, address: SocketAddr) {
        let now = Instant::now();
        self.unresponsive.insert(address, now + UNRESPONSIVE_TTL);
        self.missed = Some(now);
    }

    /// Returns when a router was last missed: it didn't answer, or is no longer listed.
    pub fn missed(&self) -> Option<Instant> {
        self.missed
    }

    /// Returns the hash of this router's VM.
    pub fn own_member(&self) -> u64 {
        self.own
    }

    /// Returns the entry of the router on a VM, by the hash of its name.
    pub fn on_vm(&self, member: u64) -> Option<&Peer> {
        self.list.iter().find(|peer| peer.member == member)
    }

    /// Returns the address of a process.
    pub fn address_of(&self, incarnation: Incarnation) -> Option<SocketAddr> {
        let peer = self
            .list
            .iter()
            .find(|peer| peer.incarnation == incarnation);
        peer.map(|peer| peer.address)
    }

    /// Returns whether a listed router has left a question without an answer and none has come since.
    pub fn is_unresponsive(&self, address: SocketAddr) -> bool {
        self.unresponsive.contains_key(&address)
    }

    /// Returns the witnesses of this router's licenses: the same ones as long as the list stays the same, and
    /// most of them in other data centres.
    pub fn witnesses(&self) -> Vec<Witness> {
        let mut staying = self.staying();
        staying.sort_unstable_by_key(|peer| peer.address);
        let places = staying.len();
        let first = self.own % places.max(1) as u64;
        staying.rotate_left(usize::try_from(first).unwrap_or_default());
        let (near, far): (Vec<_>, Vec<_>) = staying.into_iter().partition(|peer| peer.near);
        let few = near.len().min(MAX_NEAR_WITNESSES);
        let (first, rest) = near.split_at(few);
        let chosen = far
            .iter()
            .take(MAX_WITNESSES - few)
            .chain(first)
            .chain(rest);
        let chosen = chosen.take(MAX_WITNESSES).map(|peer: &&Peer| Witness {
            vm: peer.member,
            incarnation: peer.incarnation,
        });
        chosen.collect()
    }

    /// Records whether a router says that the store doesn't answer it. Returns whether it does so and wasn't
    /// known to.
    pub fn mark_cut_off(&mut self, address: SocketAddr, cut_off: bool) -> bool {
        let now = Instant::now();
        let until = match cut_off {
            true => self.cut_off.insert(address, now + CUT_OFF_TTL),
            false => self.cut_off.remove(&address),
        };
        cut_off && until.is_none_or(|until| until <= now)
    }

    /// Returns the role of this router for a team.
    pub fn role(&mut self, team: &TeamId) -> Role {
        if !self.complete {
            return Role::Other;
        }
        let ranked = self.rank(team);
        let own = ranked.iter().position(|home| *home == Home::Own);
        own.map_or(Role::Other, Role::of_rank)
    }

    /// Returns the routers to ask for a team's tokens, best first, without unresponsive ones. Those that can't
    /// draw come last; if no candidate can, further routers come first.
    pub fn homes(&mut self, team: &TeamId, own_cut_off: bool) -> Vec<Home> {
        let now = Instant::now();
        let mut homes = self.rank(team);
        let further = homes.split_off(homes.len().min(homes::MAX_CANDIDATES));
        let valid = |until: Option<&Instant>| until.is_some_and(|until| *until > now);
        let answers = |home: &Home| match home {
            Home::Own => true,
            Home::Peer(address) => !valid(self.unresponsive.get(address)),
        };
        let draws = |home: &Home| match home {
            Home::Own => !own_cut_off,
            Home::Peer(address) => !valid(self.cut_off.get(address)),
        };
        homes.retain(answers);
        if !homes.is_empty() && !homes.iter().any(draws) {
            homes.extend(further.into_iter().filter(|h| answers(h) && draws(h)));
        }
        homes.sort_by_key(|home| !draws(home));
        homes
    }

    /// Returns the routers that a key selects, best first; `None` while the list is incomplete.
    pub fn homes_of(&mut self, key: u64) -> Option<Vec<Home>> {
        let mut homes = self.complete.then(|| self.rank_key(key))?;
        homes.truncate(homes::MAX_CANDIDATES);
        Some(homes)
    }

    /// Returns this router's place among the routers that a key selects, the best one being 0; `None` if it is none of
    /// them or the list is incomplete.
    pub fn own_rank(&mut self, key: u64) -> Option<usize> {
        let homes = self.complete.then(|| self.rank_key(key))?;
        homes.iter().position(|home| *home == Home::Own)
    }

    /// Returns the addresses of up to `most` other routers that a key selects, best first. All routers that
    /// know the same peers select the same ones.
    pub fn select(&self, key: u64, most: usize) -> Vec<SocketAddr> {
        let staying = self.staying();
        let members: Vec<_> = staying.iter().map(|peer| peer.member).collect();
        let selected = homes::order(key, &members, most).into_iter();
        selected.map(|place| staying[place].address).collect()
    }

    /// Returns up to `most` routers that a key selects, best first, this one included. Those that don't answer make
    /// room for others, also while the list is incomplete.
    pub fn elect(&self, key: u64, most: usize) -> Vec<Home> {
        let answers = |peer: &&Peer| !self.is_unresponsive(peer.address);
        let staying = self.staying().into_iter().filter(answers);
        self.rank_among(key, &staying.collect::<Vec<_>>(), most)
    }

    /// Returns the routers that have not announced their exit.
    fn staying(&self) -> Vec<&Peer> {
        let stays = |peer: &&Peer| self.leaving.get(&peer.address) != Some(&peer.incarnation);
        self.list.iter().filter(stays).collect()
    }

    fn rank(&mut self, team: &TeamId) -> Vec<Home> {
        self.rank_key(hash::digest64(team.as_str().as_bytes()))
    }

    /// Returns up to `most` routers that a key selects among some others and this one, best first.
    fn rank_among(&self, key: u64, others: &[&Peer], most: usize) -> Vec<Home> {
        let mut members: Vec<_> = others.iter().map(|peer| peer.member).collect();
        members.push(self.own);
        let home = |place: usize| match others.get(place) {
            Some(peer) => Home::Peer(peer.address),
            None => Home::Own,
        };
        let ranked = homes::order(key, &members, most).into_iter();
        ranked.map(home).collect()
    }

    fn rank_key(&mut self, key: u64) -> Vec<Home> {
        if let Some(known) = self.ranks.get(&key) {
            return known.clone();
        }
        let ranked = self.rank_among(key, &self.staying(), homes::MAX_DRAWERS);
        if self.ranks.len() >= MAX_RANKS {
            self.ranks.clear();
        }
        self.ranks.insert(key, ranked.clone());
        ranked
    }
}
