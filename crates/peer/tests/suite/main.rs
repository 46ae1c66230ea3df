//! Checks of the peer protocol.

mod generated;
