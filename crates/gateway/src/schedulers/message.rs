//! The datagrams between a router and the home of a shard.
//!
//! Every request to an engine costs a few of them, so they are encoded as arrays without field names.

use std::time::Duration;

use fescue_core::{ServiceId, UpstreamId};
use serde::{Deserialize, Serialize};

/// Asks the home of a shard for an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PlaceFields", into = "PlaceFields")]
pub struct Place {
    /// A random number that identifies the question and the placement.
    pub number: u32,
    /// The service.
    pub service: ServiceId,
    /// The shard of the service's engines.
    pub shard: u32,
    /// The hash of the prompt's shared prefix; `None` if it has no part that others share.
    pub prefix: Option<u64>,
    /// The number of tokens of the shared parts.
    pub shared: u64,
    /// The number of tokens of the prompt.
    pub input: u64,
    /// The largest number of tokens of the response.
    pub output: u64,
    /// The rank; zero is the most urgent.
    pub rank: u8,
    /// A hash of the team's name.
    pub team: u32,
    /// The time left until the target.
    pub target: Duration,
    /// The time left until the deadline.
    pub deadline: Duration,
    /// The upstreams that must not be chosen, by [`short_hash`].
    pub excluded: Vec<u32>,
}

type PlaceFields = (
    u32,
    ServiceId,
    u32,
    Option<u64>,
    u64,
    u64,
    u64,
    u8,
    u32,
    u64,
    u64,
    Vec<u32>,
);

impl From<PlaceFields> for Place {
    fn from(fields: PlaceFields) -> Self {
        let (number, service, shard, prefix, shared, input, output, rank, team, ..) = fields;
        let (.., target_ms, deadline_ms, excluded) = fields;
        Self {
            number,
            service,
            shard,
            prefix,
            shared,
            input,
            output,
            rank,
            team,
            target: Duration::from_millis(target_ms),
            deadline: Duration::from_millis(deadline_ms),
            excluded,
        }
    }
}

impl From<Place> for PlaceFields {
    fn from(place: Place) -> Self {
        (
            place.number,
            place.service,
            place.shard,
            place.prefix,
            place.shared,
            place.input,
            place.output,
            place.rank,
            place.team,
            milliseconds(place.target),
            milliseconds(place.deadline),
            place.excluded,
        )
    }
}

/// The answer of a home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream, and the expected time to the first event.
    At(UpstreamId, Duration),
    /// The engines are saturated; the time after which the request may come again.
    Refused(Duration),
    /// The router does not schedule, or knows no engine of the shard.
    Unavailable,
}

/// Answers a [`Place`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PlacedFields", into = "PlacedFields")]
pub struct Placed {
    /// The number of the question.
    pub number: u32,
    /// The answer.
    pub verdict: Verdict,
}

/// The number, the upstream, and the expected or the remaining time in milliseconds.
type PlacedFields = (u32, Option<UpstreamId>, Option<u64>);

impl From<PlacedFields> for Placed {
    fn from((number, upstream, ms): PlacedFields) -> Self {
        let verdict = match (upstream, ms.map(Duration::from_millis)) {
            (Some(upstream), time) => Verdict::At(upstream, time.unwrap_or_default()),
            (None, Some(time)) => Verdict::Refused(time),
            (None, None) => Verdict::Unavailable,
        };
        Self { number, verdict }
    }
}

impl From<Placed> for PlacedFields {
    fn from(Placed { number, verdict }: Placed) -> Self {
        match verdict {
            Verdict::At(upstream, time) => (number, Some(upstream), Some(milliseconds(time))),
            Verdict::Refused(time) => (number, None, Some(milliseconds(time))),
            Verdict::Unavailable => (number, None, None),
        }
    }
}

/// A step of a request that a home placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The first event has arrived.
    Begun,
    /// The request has ended, or was not sent to the upstream.
    Ended,
}

/// Reports the progress of a request to the home that placed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, Step)", into = "(u32, Step)")]
pub struct Progress {
    /// The number of the question.
    pub number: u32,
    /// The step.
    pub step: Step,
}

impl From<(u32, Step)> for Progress {
    fn from((number, step): (u32, Step)) -> Self {
        Self { number, step }
    }
}

impl From<Progress> for (u32, Step) {
    fn from(progress: Progress) -> Self {
        (progress.number, progress.step)
    }
}

/// Shortens a hash to save bytes. Two members with the same one are taken for each other.
pub fn short_hash(hash: u64) -> u32 {
    (hash >> 32) as u32
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
