//! Settings of one router process, read from a JSON file.
//!
//! The whole file is checked, and all faults are reported at once, each with its line and column
//! and what was expected. The keys of the file are described in
//! [docs/operators/settings.md](../../../docs/operators/settings.md).

mod reader;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use reader::Reader;

use crate::id::{DataCentreId, VmId};
use crate::report::{Fault, Report};

/// The settings that a router process reads at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The VM that the process runs on.
    pub vm: VmId,
    /// The data centre of that VM.
    pub data_centre: DataCentreId,
    /// The addresses that the process listens on.
    pub listen: Listen,
    /// The platform's address and time-out.
    pub platform: Platform,
    /// The path of the file with the token that operators present.
    pub operator_token: PathBuf,
    /// The path of the file with the token that routers present to each other.
    pub peer_token: PathBuf,
    /// Limits on connections and requests of callers.
    pub limits: Limits,
    /// Intervals of periodic work, the section `pace` of the file.
    pub intervals: Intervals,
    /// The filter and format of the log.
    pub log: Log,
}

/// The listening addresses of one router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// The address for requests of callers.
    pub callers: SocketAddr,
    /// The address for messages of other routers.
    pub peers: SocketAddr,
    /// The address for the admin API, used by operators.
    pub operators: SocketAddr,
}

/// Access to the platform's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// The address of the table service, the object store and the list of VMs.
    pub address: SocketAddr,
    /// The time after which the outcome of an unanswered call counts as lost.
    pub timeout: Duration,
}

/// Limits on connections and requests of callers.
///
/// A request that exceeds a limit is refused with an HTTP status of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of open connections.
    pub connections: u64,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// The time-out for receiving the headers and the body of a request (`receive_ms`).
    pub receive_timeout: Duration,
    /// The time-out for a whole request (`request_ms`).
    pub request_timeout: Duration,
    /// The maximum number of tokens that one request may ask for.
    pub max_tokens: u64,
    /// The number of tokens granted when the caller sets no limit.
    pub default_tokens: u64,
}

/// Intervals and time-outs of periodic work, the section `pace` of the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Intervals {
    /// The interval between rounds of the allowance controller.
    pub allowance: Duration,
    /// The interval between flushes of bills to the store.
    pub bills: Duration,
    /// The interval at which the router polls for changed rules.
    pub rules: Duration,
    /// The interval between heartbeats to a peer.
    pub heartbeat: Duration,
    /// The time without a heartbeat after which a peer counts as gone (`silence_ms`).
    pub peer_timeout: Duration,
    /// The time for which a stopping router stays reachable, so that the load balancer can stop
    /// sending to it (`linger_ms`).
    pub shutdown_delay: Duration,
    /// The time after which the platform kills a stopping router (`grace_ms`), longer than
    /// `shutdown_delay`.
    pub grace_period: Duration,
}

/// The filter and format of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// A `tracing` filter such as `info` or `fescue_router=debug`.
    pub filter: String,
    /// Whether log lines are JSON; otherwise they are plain text.
    pub json: bool,
}

impl Settings {
    /// Parses and checks the text of a settings file; `name` is the file's name in error messages.
    ///
    /// # Errors
    ///
    /// Fails if the text is not JSON, or if a key is missing, unknown or has an invalid value. The
    /// report lists all faults with their positions and what was expected.
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
        let shutdown_delay = reader.millis("linger_ms", 1000, 0..=600_000);
        let grace_period = reader.millis("grace_ms", 30_000, 1000..=86_400_000);
        if grace_period <= shutdown_delay {
            let (grace, delay) = (grace_period.as_millis(), shutdown_delay.as_millis());
            let message = format!("grace_ms: expected more than linger_ms, {delay}, not {grace}");
            reader.add_fault("grace_ms", message);
        }
        Some(Self {
            allowance: reader.millis("allowance_ms", 500, 10..=60_000),
            bills: reader.millis("bills_ms", 5000, 10..=60_000),
            rules: reader.millis("rules_ms", 1000, 10..=60_000),
            heartbeat: reader.millis("heartbeat_ms", 1000, 10..=60_000),
            peer_timeout: reader.millis("silence_ms", 5000, 100..=600_000),
            shutdown_delay,
            grace_period,
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
