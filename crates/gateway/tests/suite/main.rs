//! The integration suite of the gateway, a file a feature. Nothing here needs a network.

mod budget;
mod catalog;
mod site;
mod sse;
mod upstreams;
