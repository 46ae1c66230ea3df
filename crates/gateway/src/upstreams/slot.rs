//! The share that one request has of an upstream's load.

use std::sync::Arc;
use std::time::Duration;

use super::Server;
use crate::permits::Permit;
use crate::schedulers::Grant;

/// A request's share of an upstream's load, released when dropped.
#[derive(Debug)]
pub struct Slot {
    server: Arc<Server>,
    unread: u64,
    grant: Option<Grant>,
    permit: Option<Permit>,
}

impl Slot {
    /// Counts a request with `unread` prompt tokens as load of an upstream.
    pub(super) fn open(server: Arc<Server>, unread: u64) -> Self {
        {
            let mut state = server.state.lock();
            state.running += 1;
            state.unread += unread;
            state.breaker.start();
        }
        server.facts.count_placed();
        Self {
            server,
            unread,
            permit: None,
            grant: None,
        }
    }

    /// Adds the grant of the home that chose the upstream.
    pub fn attach(&mut self, grant: Grant) {
        self.grant = Some(grant);
    }

    /// Returns the grant of the home that chose the upstream; `None` if this router chose it.
    pub fn grant(&self) -> Option<&Grant> {
        self.grant.as_ref()
    }

    /// Returns the upstream that the slot belongs to.
    pub fn server(&self) -> &Arc<Server> {
        &self.server
    }

    /// Removes the prompt from the upstream's load, and tells the home that placed it. The first event shows
    /// that it has been read.
    pub fn mark_prompt_read(&mut self) {
        self.discount_prompt();
        if let Some(grant) = &mut self.grant {
            grant.ticket.record_begun();
        }
    }

    fn discount_prompt(&mut self) {
        let mut state = self.server.state.lock();
        state.unread = state.unread.saturating_sub(self.unread);
        self.unread = 0;
    }

    /// Records the permit of the request, which the upstream's limit allows.
    pub fn mark_permitted(&mut self, permit: Permit) {
        self.permit = Some(permit);
    }

    /// Returns the permit that was taken for the request.
    pub fn permit(&self) -> Option<Permit> {
        self.permit
    }

    /// Returns whether the request must not be sent since the upstream is cold: it was placed before that was known,
    /// or its permit is too old.
    pub fn lacks_permit(&self, now: Duration) -> bool {
        match self.permit.filter(Permit::is_cold) {
            Some(permit) => permit.is_overdue(),
            None => self.server.cold_rate(now).is_some(),
        }
    }

    /// Gives the slot up before the request was sent.
    pub fn cancel(self) {
        self.server.state.lock().breaker.abandon();
        self.server.facts.discount_placed();
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.discount_prompt();
        self.server.state.lock().running -= 1;
    }
}
