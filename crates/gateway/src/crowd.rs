//! Decides by the use of processor and link what this router takes; measures the processor.

use std::time::Duration;

use fescue_core::{TeamId, hash};
use fescue_policy::crowding::{Arrival, Crowding, Neighbours, Usage};
use parking_lot::Mutex;
use tokio::runtime::{Handle, RuntimeMetrics};
use tokio::time::Instant;

/// The load of a router, as its log lines show it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// The average use of the resource that is nearer to its end.
    pub busy: f64,
    /// The average part of the time for which the processor was in use.
    pub processor: f64,
    /// The average part of the link's capacity that was used.
    pub link: f64,
    /// The limit on admitted requests per second; `None` while all are admitted.
    pub limit: Option<f64>,
    /// Whether the balancer should send no new connections.
    pub withdrawn: bool,
}

impl Load {
    /// Returns the use of the resource that is nearer to its end, in percent.
    pub fn busy_percent(&self) -> u64 {
        percent(self.busy)
    }

    /// Returns the use of the processor, in percent.
    pub fn processor_percent(&self) -> u64 {
        percent(self.processor)
    }

    /// Returns the use of the link, in percent.
    pub fn link_percent(&self) -> u64 {
        percent(self.link)
    }

    /// Returns the limit in tenths of a request per second.
    pub fn limit_rate(&self) -> Option<f64> {
        self.limit.map(|limit| (limit * 10.0).round() / 10.0)
    }
}

impl From<&Crowding> for Load {
    fn from(state: &Crowding) -> Self {
        let Usage {
            processor, link, ..
        } = state.usage();
        Self {
            busy: state.busy(),
            processor,
            link,
            limit: state.limit(),
            withdrawn: state.is_withdrawn(),
        }
    }
}

fn percent(part: f64) -> u64 {
    (part * 100.0).round() as u64
}

/// A request that is not admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Crowded {
    /// The time after which another router may get it.
    pub retry_after: Duration,
    /// The load that was the reason.
    pub load: Load,
}

/// The use of processor and link by this router, and what follows from it.
#[derive(Debug, Default)]
pub struct Crowd {
    state: Mutex<Crowding>,
}

impl Crowd {
    /// Decides whether a request is served.
    ///
    /// # Errors
    ///
    /// What its caller is told if it isn't, and why.
    pub fn admit(&self, team: Option<&TeamId>, rank: u8) -> Result<(), Crowded> {
        let team = team.map_or(0, |team| hash::digest64(team.as_str().as_bytes()));
        let mut state = self.state.lock();
        state
            .admit(Arrival { team, rank })
            .map_err(|refused| Crowded {
                retry_after: refused.retry_after,
                load: Load::from(&*state),
            })
    }

    /// Returns the average use of the resource that is nearer to its end.
    pub fn busy(&self) -> f64 {
        self.state.lock().busy()
    }

    /// Returns the load, and the average numbers of requests per second that arrive and that are admitted.
    pub fn load(&self) -> (Load, (f64, f64)) {
        let state = self.state.lock();
        (Load::from(&*state), state.rates())
    }

    /// Returns whether the balancer should send no new connections.
    pub fn is_withdrawn(&self) -> bool {
        self.state.lock().is_withdrawn()
    }

    /// Returns the time after which a request that is refused at a full link may come again.
    pub fn spread_retry(&self) -> Duration {
        self.state.lock().spread_retry()
    }

    /// Returns whether a caller whose request is refused would reach this router again if it connected
    /// anew.
    pub fn awaits_removal(&self) -> bool {
        self.state.lock().awaits_removal()
    }

    /// Takes over that the previous process on this VM wasn't ready for its load.
    pub fn resume(&self) {
        self.state.lock().resume();
        tracing::info!("not ready yet, as the previous process was crowded");
    }

    /// Takes over what was used since the last call.
    pub fn observe(&self, usage: Usage, elapsed: Duration, neighbours: Neighbours) {
        let mut state = self.state.lock();
        let limited = state.limit().is_some();
        let changed = state.observe(usage, elapsed, neighbours);
        let (busy, limit) = (state.busy(), state.limit());
        drop(state);
        let Usage {
            processor, link, ..
        } = usage;
        if let Some(withdrawn) = changed {
            let Neighbours {
                routers,
                withdrawn: others,
                ..
            } = neighbours;
            tracing::info!(
                withdrawn,
                busy,
                processor,
                link,
                others,
                routers,
                "readiness changed by the use of processor and link"
            );
        }
        if limited != limit.is_some() {
            tracing::info!(
                busy,
                processor,
                link,
                limit,
                "limit on admitted requests begins or ends"
            );
        }
    }
}

/// Measures the time for which the process's tasks run.
pub struct Meter {
    runtime: RuntimeMetrics,
    busy: Duration,
    at: Instant,
    elapsed: Duration,
}

impl Meter {
    /// Creates a meter of the current runtime, which has one thread for tasks.
    pub fn open() -> Self {
        let runtime = Handle::current().metrics();
        Self {
            busy: runtime.worker_total_busy_duration(0),
            runtime,
            at: Instant::now(),
            elapsed: Duration::ZERO,
        }
    }

    /// Returns the part of the time since the last call for which the processor was in use.
    pub fn sample(&mut self) -> f64 {
        let busy = self.runtime.worker_total_busy_duration(0);
        self.elapsed = self.at.elapsed();
        let used = busy.saturating_sub(self.busy);
        (self.busy, self.at) = (busy, Instant::now());
        used.as_secs_f64() / self.elapsed.as_secs_f64().max(f64::EPSILON)
    }

    /// Returns the time between the last two calls of [`Self::sample`].
    pub fn elapsed(&self) -> Duration {
        self.elapsed
    }
}
