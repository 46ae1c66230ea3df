//! The life of one router process: starting, ready, draining, stopped.

mod machine;

use statig::blocking::{IntoStateMachineExt, StateMachine};

use machine::Machine;

/// What happens to a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// It has rules and is registered or has peers.
    Prepared,
    /// It is told to stop, or its allowances were closed.
    Stop,
    /// Its last request has ended and all its bills are stored.
    Emptied,
}

/// What a router may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It takes no request yet.
    #[default]
    Starting,
    /// It serves.
    Ready,
    /// It ends what it has.
    Draining,
    /// It has nothing left.
    Stopped,
}

/// The life of a router.
pub struct Lifecycle {
    machine: StateMachine<Machine>,
}

impl Lifecycle {
    /// Opens the life of a router that starts.
    pub fn open() -> Self {
        let machine = Machine::default().state_machine();
        Self { machine }
    }

    /// Takes an event; returns the new phase where it changed.
    pub fn handle(&mut self, event: Event) -> Option<Phase> {
        let before = self.phase();
        self.machine.handle(&event);
        let after = self.phase();
        if before == after {
            return None;
        }
        tracing::info!(?event, ?before, ?after, "phase changed");
        Some(after)
    }

    /// Returns what the router may do.
    pub fn phase(&self) -> Phase {
        self.machine.inner().phase()
    }
}
