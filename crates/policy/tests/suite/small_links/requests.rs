//! The requests of the callers.

/// A kind of request.
pub struct Kind {
    /// Its part of all requests.
    pub part: f64,
    pub rank: u8,
    /// Bytes from the caller, and from the upstream.
    pub request: f64,
    pub answer: f64,
    /// Milliseconds for which the upstream works, after which an answer is late, and after which the caller
    /// gives up.
    pub work_ms: u64,
    pub target_ms: u64,
    pub deadline_ms: u64,
    /// What an answer is worth in time, and late.
    pub worth: (f64, f64),
}

/// Long and short streams, classifications, and calls of a plain service.
pub const KINDS: [Kind; 4] = [
    Kind {
        part: 0.18,
        rank: 2,
        request: 12_600.0,
        answer: 5000.0,
        work_ms: 1000,
        target_ms: 1200,
        deadline_ms: 12_000,
        worth: (1.8, 0.8),
    },
    Kind {
        part: 0.15,
        rank: 0,
        request: 1400.0,
        answer: 4500.0,
        work_ms: 800,
        target_ms: 400,
        deadline_ms: 10_000,
        worth: (5.1, 0.62),
    },
    Kind {
        part: 0.41,
        rank: 1,
        request: 3000.0,
        answer: 600.0,
        work_ms: 150,
        target_ms: 400,
        deadline_ms: 2500,
        worth: (0.27, 0.08),
    },
    Kind {
        part: 0.26,
        rank: 2,
        request: 1000.0,
        answer: 1200.0,
        work_ms: 20,
        target_ms: 120,
        deadline_ms: 600,
        worth: (1.0, 0.3),
    },
];

/// A request of a caller; it is sent twice at most.
#[derive(Clone, Copy)]
pub struct Request {
    pub caller: usize,
    /// Its place in [`KINDS`].
    pub kind: usize,
    pub retried: bool,
    pub since_ms: u64,
    /// Whether its first event came in time.
    pub in_time: bool,
}

impl Request {
    pub fn kind(&self) -> &'static Kind {
        &KINDS[self.kind]
    }

    pub fn deadline_ms(&self) -> u64 {
        self.since_ms + self.kind().deadline_ms
    }
}
