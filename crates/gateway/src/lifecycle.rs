//! The lifecycle of a gateway process: starting, ready, draining, stopped.

mod machine;

use statig::blocking::{IntoStateMachineExt, StateMachine};

use machine::Machine;

/// An input of the lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The configuration and at least one upstream are known.
    Prepared,
    /// A signal asks the process to stop.
    Stop,
    /// All requests have ended, or the time for them is over.
    Emptied,
}

/// A phase of the lifecycle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Not ready for requests yet.
    #[default]
    Starting,
    /// Serving requests.
    Ready,
    /// Finishing open requests before the process stops.
    Draining,
    /// Draining is over; the process may exit.
    Stopped,
}

/// The lifecycle of one gateway process.
pub struct Lifecycle {
    machine: StateMachine<Machine>,
}

impl Lifecycle {
    /// Creates a lifecycle in [`Phase::Starting`].
    pub fn open() -> Self {
        let machine = Machine::default().state_machine();
        Self { machine }
    }

    /// Handles an event; returns the new phase if it changed.
    pub fn handle(&mut self, event: Event) -> Option<Phase> {
        let before = self.phase();
        self.machine.handle(&event);
        let after = self.phase();
        if before == after {
            return None;
        }
        tracing::info!(?event, ?before, ?after, "lifecycle phase changed");
        Some(after)
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.machine.inner().phase()
    }
}
