//! Who was granted a scarce resource lately, and who was denied it.
//!
//! A claim yields to more urgent ones that were denied, and that of a team that had more than its equal part
//! of the last grants yields to other teams' that are as urgent.

use std::collections::VecDeque;
use std::time::Duration;

/// Who asks for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// A hash of the team.
    pub team: u64,
    /// The rank of the request; zero is the most urgent.
    pub rank: u8,
}

/// The time for which grants and denials are remembered.
const MEMORY: Duration = Duration::from_secs(2);

/// The largest number of grants, and of denials, that are remembered.
const MAX_CLAIMS: usize = 256;

/// The latest grants and denials.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    grants: VecDeque<(Duration, Claim)>,
    denials: VecDeque<(Duration, Claim)>,
}

impl Claims {
    /// Records that a claim was granted.
    pub fn record_grant(&mut self, claim: Claim, now: Duration) {
        remember(&mut self.grants, now, claim);
    }

    /// Records that a claim was denied.
    pub fn record_denial(&mut self, claim: Claim, now: Duration) {
        remember(&mut self.denials, now, claim);
    }

    /// Drops what is too old to count.
    pub fn forget(&mut self, now: Duration) {
        for claims in [&mut self.grants, &mut self.denials] {
            while claims
                .front()
                .is_some_and(|(at, _)| now.saturating_sub(*at) > MEMORY)
            {
                claims.pop_front();
            }
        }
    }

    /// Returns whether a claim has to leave what there is to others.
    pub fn must_yield(&self, claim: Claim) -> bool {
        let mut denials = self.denials.iter();
        if denials.any(|(_, denied)| denied.rank < claim.rank) {
            return true;
        }
        let known = self.grants.iter().chain(&self.denials);
        let mut teams: Vec<_> = known.map(|(_, claim)| claim.team).collect();
        teams.push(claim.team);
        teams.sort_unstable();
        teams.dedup();
        let granted = self.grants.iter();
        let own = granted.filter(|(_, granted)| granted.team == claim.team);
        own.count() * teams.len() > self.grants.len()
            && self
                .denials
                .iter()
                .any(|(_, denied)| denied.team != claim.team && denied.rank <= claim.rank)
    }
}

fn remember(claims: &mut VecDeque<(Duration, Claim)>, now: Duration, claim: Claim) {
    if claims.len() >= MAX_CLAIMS {
        claims.pop_front();
    }
    claims.push_back((now, claim));
}
