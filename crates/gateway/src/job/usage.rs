//! The tokens that a request consumes of its reservation.
//!
//! All bytes that a caller gets of an upstream's answer are counted here: events as they are forwarded, whole
//! answers as they are passed on. See [docs/design/billing.md](../../../../docs/design/billing.md#at-the-gateway).

use fescue_core::Tokens;
use http::StatusCode;

use super::Job;
use crate::budget::Reservation;
use crate::model::{Call, Engine, Service};

/// Counts the tokens that a request consumes. Those that aren't consumed are free again when it is dropped.
#[derive(Debug, Default)]
pub struct Usage {
    reservation: Option<Reservation>,
    /// Whether the prompt has been counted.
    counted: bool,
}

impl Usage {
    /// Creates the usage of a request, which has no reservation if its tokens aren't limited.
    pub fn open(reservation: Option<Reservation>) -> Self {
        Self {
            reservation,
            counted: false,
        }
    }

    /// Returns the tokens consumed so far.
    pub fn consumed(&self) -> Tokens {
        let reservation = self.reservation.as_ref();
        reservation.map_or(Tokens::ZERO, Reservation::consumed)
    }

    /// Counts the prompt once, however many upstreams read it.
    fn count_input(&mut self, call: &Call) {
        if let Some(reservation) = self.reservation.as_mut().filter(|_| !self.counted) {
            reservation.consume(call.input);
            self.counted = true;
        }
    }

    /// Counts output, at most what was reserved for it.
    fn count_output(&mut self, call: &Call, tokens: u64) {
        let left = call.bound().saturating_sub(self.consumed());
        if let Some(reservation) = &mut self.reservation {
            reservation.consume(Tokens::new(tokens).min(left));
        }
    }
}

impl Job {
    /// Counts the prompt of a stream, when the head of the first successful response arrives: a request
    /// without one costs its team nothing.
    pub fn count_input(&mut self) {
        self.usage.count_input(&self.call);
    }

    /// Returns whether the request may still get an event: an upstream must not send more than the
    /// output that the request asked for, which is all that is reserved for it.
    pub fn covers_event(&self) -> bool {
        let unlimited = self.usage.reservation.is_none() || event_tokens(&self.service) == 0;
        unlimited || self.usage.consumed() < self.call.bound()
    }

    /// Counts the output of an event.
    pub fn count_event(&mut self, bytes: usize) {
        let tokens = match event_tokens(&self.service) {
            0 => most_tokens(bytes).min(self.call.output.get()),
            tokens => tokens,
        };
        self.usage.count_output(&self.call, tokens);
        self.gateway.metrics.tokens.inc_by(tokens);
    }

    /// Counts a whole answer that is passed on. One that isn't a success costs the team nothing.
    pub fn count_whole(&mut self, status: StatusCode, bytes: usize) {
        if !status.is_success() || self.call.bound().is_zero() {
            return;
        }
        let tokens = most_tokens(bytes).min(self.call.output.get());
        self.usage.count_input(&self.call);
        self.usage.count_output(&self.call, tokens);
        self.gateway.metrics.tokens.inc_by(tokens);
    }
}

/// Returns the number of tokens in one event of a service's streams; zero if it isn't known.
pub fn event_tokens(service: &Service) -> u64 {
    let engine = service.engine.as_ref();
    engine.map_or(0, |engine: &Engine| engine.event_tokens)
}

/// Returns the most tokens that text of some bytes can hold: each has one byte at least.
fn most_tokens(bytes: usize) -> u64 {
    bytes as u64
}
