//! The states and transitions of the lifecycle.

use statig::prelude::*;

use super::{Event, Phase};

/// The state machine behind [`super::Lifecycle`].
#[derive(Debug, Default)]
pub struct Machine {
    phase: Phase,
}

impl Machine {
    /// Returns the phase of the current state.
    pub fn phase(&self) -> Phase {
        self.phase
    }
}

#[state_machine(initial = "State::starting()")]
impl Machine {
    #[state(entry_action = "enter_starting")]
    fn starting(event: &Event) -> Outcome<State> {
        match event {
            Event::Prepared => Transition(State::ready()),
            Event::Stop => Transition(State::draining()),
            Event::Emptied => Handled,
        }
    }

    #[state(entry_action = "enter_ready")]
    fn ready(event: &Event) -> Outcome<State> {
        match event {
            Event::Stop => Transition(State::draining()),
            Event::Prepared | Event::Emptied => Handled,
        }
    }

    #[state(entry_action = "enter_draining")]
    fn draining(event: &Event) -> Outcome<State> {
        match event {
            Event::Emptied => Transition(State::stopped()),
            // A second signal does not interrupt requests either.
            Event::Prepared | Event::Stop => Handled,
        }
    }

    #[state(entry_action = "enter_stopped")]
    fn stopped(event: &Event) -> Outcome<State> {
        let _ended = event;
        Handled
    }

    #[action]
    fn enter_starting(&mut self) {
        self.phase = Phase::Starting;
    }

    #[action]
    fn enter_ready(&mut self) {
        self.phase = Phase::Ready;
    }

    #[action]
    fn enter_draining(&mut self) {
        self.phase = Phase::Draining;
    }

    #[action]
    fn enter_stopped(&mut self) {
        self.phase = Phase::Stopped;
    }
}
