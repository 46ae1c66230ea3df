//! The integration suite of the gateway, a file a feature. Only `handover` uses loopback.

mod budget;
mod catalog;
mod handover;
mod reload;
mod site;
mod sse;
mod upstreams;
