//! The request pipeline of fescuedrift on a platform.
//!
//! A gateway accepts any request whose host and path match a route, and forwards it to an upstream
//! of the route's service. [`pipeline`] processes requests; [`feeds`], [`budget`], [`cold`], [`evacuations`],
//! [`fleet`], [`gossip`], [`origins`], [`permits`], [`reload`], [`schedulers`] and [`usage`] are the controllers;
//! [`gateway`] holds the state that
//! they share, and [`adapter`] the traits that connect a platform. The design is in
//! [docs/design/platform.md](../../../docs/design/platform.md).

pub mod adapter;
pub mod budget;
pub mod buffers;
pub mod catalog;
pub mod cold;
pub mod crash_check;
pub mod crowd;
pub mod datagrams;
pub mod drain;
pub mod evacuations;
pub mod feeds;
pub mod fleet;
pub mod gateway;
pub mod gossip;
pub mod ingress;
pub mod job;
pub mod lifecycle;
pub mod link;
pub mod link_use;
pub mod logs;
pub mod malformed;
pub mod metrics;
pub mod model;
pub mod origins;
pub mod peers;
pub mod permits;
pub mod pipeline;
pub mod plain;
pub mod probe;
pub mod regions;
pub mod reload;
pub mod reply;
pub mod run;
pub mod schedulers;
pub mod settings;
pub mod sse;
pub mod startup;
pub mod stream;
pub mod time_limits;
pub mod upstreams;
pub mod usage;
pub mod versions;
