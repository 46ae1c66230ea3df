//! Tests of the peer protocol.

mod generated;
