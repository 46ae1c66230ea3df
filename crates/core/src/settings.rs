//! The settings of one router process, from a JSON file.
//!
//! The file is checked whole: every fault is reported at once, with line, column and what was
//! expected. The fields are described in
//! [docs/operators/settings.md](../../../docs/operators/settings.md).

mod reader;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use reader::Reader;

use crate::id::{DataCentreId, VmId};
use crate::report::{Fault, Report};

/// What one router process needs to know at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The VM it runs on.
    pub vm: VmId,
    /// The data centre of that VM.
    pub data_centre: DataCentreId,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform is.
    pub platform: Platform,
    /// The file with the operators' token.
    pub operator_token: PathBuf,
    /// The file with the token that routers show each other.
    pub peer_token: PathBuf,
    /// Limits on callers.
    pub limits: Limits,
    /// Intervals of the controllers.
    pub intervals: Intervals,
    /// The level and form of logs.
    pub log: Log,
}

/// The addresses of one router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For other routers.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// The platform's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// The table service, object store and VM list.
    pub address: SocketAddr,
    /// How long one call may take before its outcome counts as lost.
    pub timeout: Duration,
}

/// Limits on callers; beyond each, a request is refused with a clear status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections open at once.
    pub connections: u64,
    /// The largest body, in bytes.
    pub body_bytes: u64,
    /// The longest time for the headers and the body of a request to arrive.
    pub receive_timeout: Duration,
    /// The longest time for a whole request.
    pub request_timeout: Duration,
    /// The most tokens that one request may ask for.
    pub max_tokens: u64,
    /// The tokens granted where the caller names no limit.
    pub default_tokens: u64,
}

/// How often the controllers act.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Intervals {
    /// Between two rounds of the allowance controller.
    pub allowance: Duration,
    /// Between two flushes of bills.
    pub bills: Duration,
    /// Between two looks at the rules.
    pub rules: Duration,
    /// Between two heartbeats to a peer.
    pub heartbeat: Duration,
    /// Without a heartbeat for this long, a peer counts as gone.
    pub peer_timeout: Duration,
    /// How long a stopping router stays reachable, so that the balancer can turn away from it.
    pub shutdown_delay: Duration,
}

/// The level and form of logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// A filter such as `info` or `fescue_router=debug`.
    pub filter: String,
    /// Whether lines are JSON.
    pub json: bool,
}

impl Settings {
    /// Parses and checks a whole text; `name` is its file, for messages.
    ///
    /// # Errors
    ///
    /// All faults at once, each with its place and what was expected.
    pub fn parse(name: &str, text: &str) -> Result<Self, Box<Report>> {
        let mut reader = Reader::open(name, text)?;
        let settings = Self::read(&mut reader);
        reader.finish()?;
        settings.ok_or_else(|| {
            Report::new(
                name,
                "settings",
                text,
                vec![Fault::new(0, 0, "expected an object")],
            )
        })
    }

    fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let vm = reader.required("vm", "a vm's name");
        let data_centre = reader.required("data_centre", "a data centre's name");
        let listen = reader.section("listen", Listen::read);
        let platform = reader.section("platform", Platform::read);
        let operator_token = reader.required("operator_token_file", "a file's path");
        let peer_token = reader.required("peer_token_file", "a file's path");
        let limits = reader.section("limits", Limits::read);
        let intervals = reader.section("pace", Intervals::read);
        let log = reader.section("log", Log::read);
        Some(Self {
            vm: vm?,
            data_centre: data_centre?,
            listen: listen?,
            platform: platform?,
            operator_token: operator_token?,
            peer_token: peer_token?,
            limits: limits?,
            intervals: intervals?,
            log: log?,
        })
    }
}

impl Listen {
    fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let expected = "an IP number and port, like 127.0.0.1:8080";
        let callers = reader.required("callers", expected);
        let peers = reader.required("peers", expected);
        let operators = reader.required("operators", expected);
        Some(Self {
            callers: callers?,
            peers: peers?,
            operators: operators?,
        })
    }
}

impl Platform {
    fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let address = reader.required("address", "an IP number and port");
        let timeout = reader.millis("timeout_ms", 1000, 1..=60_000);
        Some(Self {
            address: address?,
            timeout,
        })
    }
}

impl Limits {
    fn read(reader: &mut Reader<'_>) -> Option<Self> {
        Some(Self {
            connections: reader.number("connections", 4096, 1..=1_000_000),
            body_bytes: reader.number("body_bytes", 1 << 20, 1..=1 << 30),
            receive_timeout: reader.millis("receive_ms", 10_000, 1..=3_600_000),
            request_timeout: reader.millis("request_ms", 120_000, 1..=86_400_000),
            max_tokens: reader.number("max_tokens", 32_768, 1..=1 << 24),
            default_tokens: reader.number("default_tokens", 256, 1..=1 << 24),
        })
    }
}

impl Intervals {
    fn read(reader: &mut Reader<'_>) -> Option<Self> {
        Some(Self {
            allowance: reader.millis("allowance_ms", 500, 10..=60_000),
            bills: reader.millis("bills_ms", 5000, 10..=60_000),
            rules: reader.millis("rules_ms", 1000, 10..=60_000),
            heartbeat: reader.millis("heartbeat_ms", 1000, 10..=60_000),
            peer_timeout: reader.millis("silence_ms", 5000, 100..=600_000),
            shutdown_delay: reader.millis("linger_ms", 1000, 0..=600_000),
        })
    }
}

impl Log {
    fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let filter = reader.optional("filter", "a log filter");
        let json = reader.flag("json", true);
        Some(Self {
            filter: filter.unwrap_or_else(|| "info".to_owned()),
            json,
        })
    }
}
