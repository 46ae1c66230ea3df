//! Candidates that are late with the tokens that they were asked for.
//!
//! Another one is then asked as well, and the answer of the late one is still accepted.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

/// Time after which a question without any answer goes to the next candidate as well: four round trips within a
/// region, and about what a VM with 0.09 of a core may stall.
pub(super) const ANSWER_PATIENCE: Duration = Duration::from_millis(80);

/// Time without any answer after which a candidate counts as unresponsive; more than such a VM may stall.
const SILENCE: Duration = Duration::from_millis(120);

/// The same for a question that a candidate keeps. A draw takes up to 130 ms, and longer if many routers write: with
/// 150 ms a fleet of 295 sent a third more questions, and refused 110 of 5,347 requests.
pub(super) const HELD_PATIENCE: Duration = Duration::from_millis(300);

/// Time for which a late candidate is asked after those that aren't; it is the same for unresponsive ones.
pub(super) const LATE_TTL: Duration = Duration::from_secs(1);

/// Time after which a request is refused if all candidates keep its question and are late.
pub(super) const FAIR_WAIT: Duration = Duration::from_millis(400);

/// The late candidates of one team, in the order in which they became late.
#[derive(Debug, Default)]
pub(super) struct LateHomes(Vec<Late>);

#[derive(Clone, Copy, Debug)]
struct Late {
    home: SocketAddr,
    number: u64,
    /// When it was asked.
    asked: Instant,
    /// Since when it is late.
    since: Instant,
    /// Whether it has said that it keeps the question.
    held: bool,
}

impl LateHomes {
    /// Records that a candidate is late with a question, which it may have said that it keeps.
    pub fn push(&mut self, home: SocketAddr, number: u64, asked: Instant, held: bool) {
        self.remove(home);
        self.0.push(Late {
            home,
            number,
            asked,
            since: Instant::now(),
            held,
        });
    }

    /// Removes a candidate that has answered.
    pub fn remove(&mut self, home: SocketAddr) {
        self.0.retain(|late| late.home != home);
    }

    /// Records that a candidate keeps a question.
    pub fn hold(&mut self, number: u64) {
        let mut late = self.0.iter_mut();
        if let Some(late) = late.find(|late| late.number == number) {
            late.held = true;
        }
    }

    /// Removes and returns a candidate that hasn't answered at all for too long.
    pub fn take_silent(&mut self) -> Option<SocketAddr> {
        let silent = |late: &Late| !late.held && late.asked.elapsed() >= SILENCE;
        let place = self.0.iter().position(silent)?;
        Some(self.0.remove(place).home)
    }

    /// Returns whether a candidate is late.
    pub fn contains(&self, home: SocketAddr) -> bool {
        self.valid().any(|late| late.home == home)
    }

    /// Returns whether an answer of any kind is still missing.
    pub fn awaits_answer(&self) -> bool {
        self.valid().any(|late| !late.held)
    }

    /// Returns the candidate among `homes` that has been late for longest.
    pub fn first(&self, homes: &[SocketAddr]) -> Option<SocketAddr> {
        let mut listed = self.valid().filter(|late| homes.contains(&late.home));
        listed.next().map(|late| late.home)
    }

    fn valid(&self) -> impl Iterator<Item = &Late> {
        let valid = self.0.iter();
        valid.filter(|late| late.since.elapsed() < LATE_TTL)
    }
}
