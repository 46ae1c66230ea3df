//! Integration tests of the gateway, one file per feature. Only `handover` and `unsent` open sockets, on
//! Integration tests of the gateway, one file per feature. Only `handover` and `uploads` open sockets, on
//! loopback.

mod budget;
mod catalog;
mod cold;
mod crowd;
mod cut_off;
mod drain;
mod draining;
mod evacuations;
mod facts;
mod feeds;
mod handover;
mod large_fleet;
mod logs;
mod lost_vms;
mod mesh;
mod metrics;
mod odd_rows;
mod one_version;
mod origins;
mod regions;
mod reload;
mod schedulers;
mod settlement;
mod site;
mod sse;
mod startup;
mod time_limits;
mod unsent;
mod uploads;
mod upstreams;
