//! Conversions between the crate's types and the generated messages.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use fescue_core::{Incarnation, Tokens, UpstreamId};
use fescue_policy::bills::{Bill, BillId};
use fescue_policy::ledger::Parts;
use fescue_policy::quarantine::{self, Context, CrashId, Evidence};
use fescue_policy::witness::{Noted, Notes};

use crate::{BillCopies, Heartbeat, LimitReport, PeerError, TokenRequest, wire};

/// Parses a textual id in a message.
///
/// # Errors
///
/// Returns [`PeerError::Malformed`] if the id isn't valid.
pub(crate) fn parse_id<T>(text: &str) -> Result<T, PeerError>
where
    T: FromStr,
    T::Err: Display,
{
    let parsed = text.parse();
    parsed.map_err(|e: T::Err| PeerError::Malformed(e.to_string()))
}

impl From<Heartbeat> for wire::Greeting {
    fn from(heartbeat: Heartbeat) -> Self {
        let suspects = heartbeat.suspects.into_iter();
        let suspect = |suspect: quarantine::Report| wire::Suspect {
            fingerprint: suspect.print,
            crashes: suspect.evidence.crashes,
            refuted: suspect.evidence.refuted,
            age_ms: wire_millis(suspect.age),
            crash_ids: suspect.context.iter().flat_map(crash_ids).collect(),
            parts: suspect.context.iter().flat_map(suspected_parts).collect(),
        };
        let upstreams = heartbeat.leaving_upstreams.iter();
        let leaving = |(upstream, incarnation): &(UpstreamId, u64)| wire::Leaving {
            upstream: upstream.to_string(),
            incarnation: *incarnation,
        };
        Self {
            incarnation: heartbeat.incarnation.get(),
            vm: heartbeat.vm.to_string(),
            data_centre: heartbeat.data_centre.to_string(),
            rules: heartbeat.rules,
            leaving: heartbeat.leaving,
            leaving_upstreams: upstreams.map(leaving).collect(),
            suspects: suspects.map(suspect).collect(),
            closed: heartbeat.closed.iter().map(|c| c.get()).collect(),
            upstream_limits: heartbeat.upstream_limits.iter().map(wire_limit).collect(),
        }
    }
}

fn wire_millis(age: Duration) -> u64 {
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

fn wire_limit(report: &LimitReport) -> wire::UpstreamLimit {
    wire::UpstreamLimit {
        upstream: report.upstream.to_string(),
        incarnation: report.incarnation,
        rate: report.rate.map_or(String::new(), |rate| rate.to_string()),
        age_ms: wire_millis(report.age),
    }
}

fn limit_report(limit: &wire::UpstreamLimit) -> Result<LimitReport, PeerError> {
    let rate = match limit.rate.as_str() {
        "" => None,
        text => Some(parse_id(text)?),
    };
    Ok(LimitReport {
        upstream: parse_id(&limit.upstream)?,
        incarnation: limit.incarnation,
        rate,
        age: Duration::from_millis(limit.age_ms),
    })
}

fn crash_ids(context: &Context) -> impl Iterator<Item = u32> {
    context.crashes.iter().map(|crash| crash.get())
}

fn suspected_parts(context: &Context) -> impl Iterator<Item = wire::SuspectedPart> {
    let parts = context.parts.iter();
    parts.map(|(fingerprint, generation)| wire::SuspectedPart {
        fingerprint: *fingerprint,
        generation: *generation,
    })
}

fn suspect_report(suspect: &wire::Suspect) -> quarantine::Report {
    quarantine::Report {
        print: suspect.fingerprint,
        evidence: Evidence {
            crashes: suspect.crashes,
            refuted: suspect.refuted,
        },
        age: Duration::from_millis(suspect.age_ms),
        context: (!suspect.crash_ids.is_empty()).then(|| Context {
            crashes: suspect
                .crash_ids
                .iter()
                .copied()
                .map(CrashId::from)
                .collect(),
            parts: suspect
                .parts
                .iter()
                .map(|part| (part.fingerprint, part.generation))
                .collect(),
        }),
    }
}

impl TryFrom<wire::Greeting> for Heartbeat {
    type Error = PeerError;

    fn try_from(message: wire::Greeting) -> Result<Self, PeerError> {
        let suspects = message.suspects.iter();
        let upstreams = message.leaving_upstreams.iter();
        let leaving = |l: &wire::Leaving| Ok((parse_id(&l.upstream)?, l.incarnation));
        Ok(Self {
            incarnation: Incarnation::new(message.incarnation),
            vm: parse_id(&message.vm)?,
            data_centre: parse_id(&message.data_centre)?,
            rules: message.rules,
            leaving: message.leaving,
            leaving_upstreams: upstreams.map(leaving).collect::<Result<_, _>>()?,
            suspects: suspects.map(suspect_report).collect(),
            closed: message.closed.into_iter().map(Incarnation::new).collect(),
            upstream_limits: message
                .upstream_limits
                .iter()
                .map(limit_report)
                .collect::<Result<_, _>>()?,
        })
    }
}

impl From<TokenRequest> for wire::TakeRequest {
    fn from(request: TokenRequest) -> Self {
        Self {
            from: request.from.get(),
            number: request.number,
            budget: request.budget.to_string(),
            want: request.want.get(),
        }
    }
}

impl TryFrom<wire::TakeRequest> for TokenRequest {
    type Error = PeerError;

    fn try_from(message: wire::TakeRequest) -> Result<Self, PeerError> {
        Ok(Self {
            from: Incarnation::new(message.from),
            number: message.number,
            budget: parse_id(&message.budget)?,
            want: Tokens::new(message.want),
        })
    }
}

pub(crate) fn encode_parts(parts: &Parts) -> Vec<wire::Part> {
    let part = |part: &fescue_policy::ledger::Part| wire::Part {
        origin: part.origin.get(),
        amount: part.amount.get(),
    };
    parts.iter().map(part).collect()
}

pub(crate) fn parse_parts(message: &[wire::Part]) -> Parts {
    let mut parts = Parts::default();
    for part in message {
        parts.push(Incarnation::new(part.origin), Tokens::new(part.amount));
    }
    parts
}

pub(crate) fn encode_notes(notes: &Notes) -> Vec<wire::Total> {
    let total =
        |(budget, origin, amount): (&fescue_core::BudgetId, Incarnation, Tokens)| wire::Total {
            budget: budget.to_string(),
            origin: origin.get(),
            amount: amount.get(),
        };
    notes.iter().map(total).collect()
}

pub(crate) fn parse_notes(message: &[wire::Total]) -> Result<Notes, PeerError> {
    let mut notes = Notes::default();
    for total in message {
        let origin = Incarnation::new(total.origin);
        notes.raise(&parse_id(&total.budget)?, origin, Tokens::new(total.amount));
    }
    Ok(notes)
}

pub(crate) fn encode_noted(noted: Noted) -> wire::Noted {
    match noted {
        Noted::Yes => wire::Noted::Yes,
        Noted::Unseeded => wire::Noted::Unseeded,
        Noted::Refused => wire::Noted::Refused,
    }
}

pub(crate) fn parse_noted(message: wire::Noted) -> Noted {
    match message {
        wire::Noted::Yes => Noted::Yes,
        wire::Noted::Unseeded => Noted::Unseeded,
        wire::Noted::Refused => Noted::Refused,
    }
}

pub(crate) fn encode_copies(owner: Incarnation, copies: &BillCopies) -> wire::KeepRequest {
    let bill = |bill: &Bill| wire::Bill {
        number: bill.id.number,
        request: bill.request.to_string(),
        budget: bill.budget.to_string(),
        body: bill.body,
        charges: encode_parts(&bill.charges),
    };
    wire::KeepRequest {
        owner: owner.get(),
        bills: copies.bills.iter().map(bill).collect(),
        stored: copies.stored.clone(),
    }
}

pub(crate) fn parse_copies(message: &wire::KeepRequest) -> Result<BillCopies, PeerError> {
    let by = Incarnation::new(message.owner);
    let bill = |bill: &wire::Bill| {
        let number = bill.number;
        Ok(Bill {
            id: BillId { by, number },
            request: parse_id(&bill.request)?,
            budget: parse_id(&bill.budget)?,
            charges: parse_parts(&bill.charges),
            body: bill.body,
        })
    };
    Ok(BillCopies {
        bills: message.bills.iter().map(bill).collect::<Result<_, _>>()?,
        stored: message.stored.clone(),
    })
}
