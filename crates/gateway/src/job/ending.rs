//! How an admitted request ended that an upstream answered.

use fescue_core::{TeamId, UpstreamId};
use http::StatusCode;

use super::Job;
use crate::metrics::Outcome;

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer was passed on at once.
    Answered,
    /// The stream was relayed to its end.
    Streamed,
    /// The stream broke off and could not go on.
    Cut,
    /// The caller disconnected during the stream.
    Left,
}

impl Ending {
    /// Returns the identifier that logs and metrics show.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Streamed => "streamed",
            Self::Cut => "stream_cut",
            Self::Left => "caller_left",
        }
    }

    fn outcome(self, status: StatusCode) -> Outcome {
        match self {
            Self::Answered | Self::Streamed if status.is_server_error() => Outcome::Upstream,
            Self::Answered | Self::Streamed => Outcome::Served,
            Self::Cut => Outcome::Cut,
            Self::Left => Outcome::Left,
        }
    }
}

impl Job {
    /// Counts and logs the end of the request.
    pub fn finish(&self, status: StatusCode, upstream: &UpstreamId, ending: Ending) {
        let (metrics, reason) = (&self.gateway.metrics, ending.as_str());
        metrics.count_request(status.as_u16(), reason);
        metrics
            .teams
            .count(self.team.as_ref(), ending.outcome(status));
        tracing::info!(
            request = self.call.id,
            team = self.team.as_ref().map(TeamId::as_str),
            route = self.route.name,
            service = self.service.name.as_str(),
            upstream = upstream.as_str(),
            status = status.as_u16(),
            reason,
            sends = self.sends,
            tokens = self.usage.consumed().get(),
            ms = self.arrival.elapsed().as_millis() as u64,
            "finished"
        );
    }
}
