//! The tokens that a stream consumes of its reservation.

use fescue_core::Tokens;

use crate::budget::Reservation;
use crate::job::Job;

/// Counts the tokens that a request consumes.
pub struct Usage {
    pub reservation: Option<Reservation>,
    pub counted: bool,
}

impl Usage {
    /// Counts the prompt once, however many upstreams read it. It is counted when the head of the
    /// first successful response arrives: a request without one costs its team nothing.
    pub fn count_input(&mut self, job: &Job) {
        if let Some(reservation) = self.reservation.as_mut().filter(|_| !self.counted) {
            reservation.consume(job.call.input);
            self.counted = true;
        }
    }

    pub fn consumed(&self) -> Tokens {
        let reservation = self.reservation.as_ref();
        reservation.map_or(Tokens::ZERO, Reservation::consumed)
    }

    /// Returns whether the request may still get an event: an upstream must not send more than the
    /// output that the request asked for, which is all that is reserved for it.
    pub fn covers_event(&self, job: &Job) -> bool {
        self.reservation.is_none() || event_tokens(job) == 0 || self.consumed() < job.call.bound()
    }

    pub fn count_event(&mut self, job: &Job) {
        let tokens = event_tokens(job);
        if let Some(reservation) = &mut self.reservation {
            reservation.consume(Tokens::new(tokens));
        }
        job.gateway.metrics.tokens.inc_by(tokens);
    }
}

/// Returns the number of tokens in one event.
pub fn event_tokens(job: &Job) -> u64 {
    let engine = job.service.engine.as_ref();
    engine.map_or(0, |engine| engine.event_tokens)
}
