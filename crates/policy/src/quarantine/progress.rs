//! How far an answer has got.

use std::time::Duration;

/// The time for which the content of an answer must have been arriving before the prompt counts as harmless: an upstream
/// may crash just after it has begun to write.
pub const SETTLE_TIME: Duration = Duration::from_millis(100);

/// The progress of one attempt's answer. Only its content counts: an upstream sends the head, or an interim response,
/// before it works on the prompt. Times are since an arbitrary fixed start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    begun: Option<Duration>,
}

impl Progress {
    /// Records that a part of the content has arrived.
    pub fn record_content(&mut self, now: Duration) {
        self.begun.get_or_insert(now);
    }

    /// Returns whether the answer has gone on for long enough to clear the parts of its prompt.
    pub fn is_settled(&self, now: Duration) -> bool {
        self.settles_in(now) == Some(Duration::ZERO)
    }

    /// Returns the time after which the upstream has outlived the beginning of the answer; `None` if no content has
    /// arrived.
    pub fn settles_in(&self, now: Duration) -> Option<Duration> {
        let settled = self.begun? + SETTLE_TIME;
        Some(settled.saturating_sub(now))
    }
}
