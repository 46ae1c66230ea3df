//! Lets licenses be used for longer while the store is away, and confirms the same to other routers.
//!
//! See [`fescue_policy::escrow::term`] for why a part of the witnesses is enough.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescue_policy::escrow::renewal_interval;
use fescue_policy::escrow::term::Records;
use parking_lot::Mutex;
use tokio::time::sleep;

use super::draw::writers;
use super::message::{Extend, Extended, Fence, Fenced, Message};
use super::{Budget, State};

/// Interval of the checks whether licenses need a later end.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of the questions to the witnesses while they do.
const ASK_INTERVAL: Duration = Duration::from_millis(300);

/// How far ahead of the present an end is confirmed: the time for which a router that nobody answers goes on.
pub(super) const MAX_EXTENSION: Duration = Duration::from_secs(1);

/// Time before the rate applies from which on the witnesses are asked if the store doesn't answer.
const LEAD: Duration = Duration::from_millis(200);

/// Time after that, beyond a renewal, in which a renewal still makes the question needless.
const RENEWAL_MARGIN: Duration = Duration::from_millis(150);

/// Allowance for the difference between the clocks of a process and of its predecessor on the VM.
const SUCCESSOR_MARGIN: Duration = Duration::from_millis(500);

/// What a process keeps for the licenses of others.
#[derive(Debug, Default)]
pub(super) struct Witnessing(Mutex<Records>);

/// Asks the witnesses of this router's licenses whenever these need a later end, for as long as the process
/// runs.
pub async fn run(budget: Arc<Budget>) {
    loop {
        let pause = match budget.extend_licenses() {
            true => ASK_INTERVAL,
            false => CHECK_INTERVAL,
        };
        sleep(pause).await;
    }
}

impl Budget {
    /// Asks the witnesses of the licenses that need a later end; returns whether there are any.
    fn extend_licenses(&self) -> bool {
        let clock = self.clock();
        let renewal = renewal_interval(writers(self));
        let due = {
            let mut state = self.state.lock();
            let margin = renewal + RENEWAL_MARGIN;
            state.needs_extension(clock, margin)
        };
        if due {
            self.ask_witnesses();
        }
        due
    }

    /// Asks the witnesses of all licenses that may be in force.
    pub(super) fn ask_witnesses(&self) {
        let until = self.clock() + MAX_EXTENSION;
        let asked: Vec<_> = {
            let state = self.state.lock();
            let peers = self.peers.lock();
            let generations = state.escrow.generations.iter();
            let asked = generations.flat_map(|generation| {
                generation.witnesses.iter().filter_map(|witness| {
                    let address = peers.address_of(witness.incarnation)?;
                    let extend = Extend {
                        holder: self.incarnation,
                        witness: witness.incarnation,
                        since: generation.since,
                        until,
                    };
                    Some((address, extend))
                })
            });
            asked.collect()
        };
        for (address, extend) in asked {
            self.metrics.count_token_message("extend");
            self.post.send(address, Message::Extend(extend));
        }
    }

    /// Confirms, as a witness, that a holder's licenses may be used for longer.
    pub(super) fn receive_extend(&self, peer: SocketAddr, extend: &Extend) {
        if extend.witness != self.incarnation {
            return;
        }
        let until = extend.until.min(self.clock() + MAX_EXTENSION);
        let mut records = self.witnessing.0.lock();
        if !records.confirm(extend.holder, extend.since, until) {
            tracing::info!(holder = %extend.holder, %peer, "the licenses of a router are being taken back; not extended");
            return;
        }
        drop(records);
        let extended = Extended {
            from: self.incarnation,
            since: extend.since,
            until,
        };
        self.post.send(peer, Message::Extended(extended));
    }

    /// Takes over that a witness lets this router's licenses be used for longer.
    pub(super) fn receive_extended(&self, extended: &Extended) {
        let Extended { from, since, until } = *extended;
        let moved = self.state.lock().escrow.confirm(since, from, until);
        if moved {
            self.serve_all();
        }
    }

    /// Refuses, as a witness, to let a holder's licenses be used any longer.
    pub(super) fn receive_fence(&self, peer: SocketAddr, fence: &Fence) {
        if let Some(fenced) = self.fence(fence) {
            self.post.send(peer, Message::Fenced(fenced));
        }
    }

    /// Refuses to confirm anything for a holder's licenses up to a generation. `None` if this VM isn't the
    /// witness's, or if it isn't known yet when the witness ended.
    pub(super) fn fence(&self, fence: &Fence) -> Option<Fenced> {
        let Fence {
            holder,
            witness,
            since,
        } = *fence;
        let until = if witness.incarnation == self.incarnation {
            self.witnessing.0.lock().refuse(holder, since)
        } else if witness.vm == self.peers.lock().own_member() {
            // The witness had ended when this process started.
            let started = self.table.clock()?.saturating_sub(self.now());
            started + MAX_EXTENSION + SUCCESSOR_MARGIN
        } else {
            return None;
        };
        Some(Fenced {
            holder,
            witness: witness.incarnation,
            since,
            until,
        })
    }
}

impl State {
    /// Returns whether unused tokens depend on licenses whose rate applies soon if the store doesn't answer,
    /// or that should have been renewed a `margin` ago.
    fn needs_extension(&mut self, clock: Duration, margin: Duration) -> bool {
        let cut_off = self.is_cut_off();
        let mut due = self.escrow.iter_mut().filter_map(|(_, b)| b.renewal_due());
        due.any(|since| match cut_off {
            true => clock + LEAD >= since,
            false => clock >= since + margin,
        })
    }
}
