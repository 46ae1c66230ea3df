//! What the scheduler knows of one engine.

use std::time::Duration;

use indexmap::IndexMap;

use super::Work;

/// The rate of reading of an engine of which nothing is known, in tokens per second.
pub(super) const DEFAULT_RATE: f64 = 50_000.0;

/// The time from the end of reading to the first event of an engine of which nothing is known.
pub(super) const DEFAULT_LATENCY: Duration = Duration::from_millis(40);

/// The largest such time that is learned.
const MAX_LATENCY: Duration = Duration::from_millis(300);

/// The number of tokens from which on a prompt tells the rate of reading.
const MIN_SAMPLE_TOKENS: u64 = 1000;

/// The number of tokens up to which a prompt tells the time from the end of reading to the first event.
const MAX_LATENCY_TOKENS: u64 = 500;

/// The part by which averages follow a sample.
const GAIN: f64 = 0.3;

/// The factor by which a sample may differ from what is known: what the engine had cached is only estimated.
const MAX_CHANGE: f64 = 4.0;

/// The time after which a sample is taken though the engine still reads.
const MAX_PERIOD: Duration = Duration::from_millis(700);

/// The part of an engine's memory whose prefixes count as cached.
const CACHED_PART: u64 = 2;

/// The time beyond what was expected after which a prompt counts as overdue.
const OVERDUE: Duration = Duration::from_millis(150);

/// The time beyond what was expected after which a prompt that was never reported counts as read.
const LOST: Duration = Duration::from_secs(2);

/// A request that has not ended.
#[derive(Clone, Copy, Debug)]
struct Held {
    /// The tokens still to be read; zero once the first event has arrived.
    unread: u64,
    /// The memory that it takes at most, in tokens.
    bound: u64,
    at: Duration,
    /// When its first event is expected.
    due: Duration,
    /// When its caller gives up.
    end: Duration,
}

/// A prefix that the engine has read.
#[derive(Clone, Copy, Debug)]
struct Cached {
    tokens: u64,
    used: Duration,
}

/// One engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    /// The requests that have not ended, in the order of their placement.
    held: IndexMap<u64, Held>,
    prefixes: IndexMap<u64, Cached>,
    /// The rate of reading, in tokens per second; `None` before the first sample.
    rate: Option<f64>,
    /// The time from the end of reading to the first event.
    latency: Duration,
    /// The average time for which a request is held.
    duration: Duration,
    /// The tokens that were read since the start of the current period.
    read_tokens: u64,
    /// When the engine last began to read after it had nothing to read, or the last sample was taken.
    period: Duration,
    /// When the engine last told that a prompt was read.
    progress: Duration,
    used: Duration,
    /// The tokens of the prefixes that count as cached.
    cache_tokens: u64,
    /// Their largest number.
    cache_limit: u64,
}

/// Returns the time to read tokens at a rate in tokens per second.
pub(super) fn read_time(tokens: u64, rate: f64) -> Duration {
    Duration::from_secs_f64(tokens as f64 / rate.max(1.0))
}

impl Engine {
    pub(super) fn open(memory: u64, now: Duration) -> Self {
        Self {
            held: IndexMap::new(),
            prefixes: IndexMap::new(),
            rate: None,
            latency: DEFAULT_LATENCY,
            duration: Duration::from_secs(1),
            read_tokens: 0,
            period: now,
            progress: now,
            used: now,
            cache_tokens: 0,
            cache_limit: memory / CACHED_PART,
        }
    }

    pub(super) fn rate(&self) -> Option<f64> {
        self.rate
    }

    pub(super) fn latency(&self) -> Duration {
        self.latency
    }

    pub(super) fn running(&self) -> usize {
        self.held.len()
    }

    /// Returns the memory that its requests take at most, in tokens.
    pub(super) fn held(&self) -> u64 {
        self.held.values().map(|held| held.bound).sum()
    }

    /// Returns the tokens of the prompts whose first event has not arrived.
    pub(super) fn reading(&self) -> u64 {
        self.held.values().map(|held| held.unread).sum()
    }

    pub(super) fn idle_time(&self, now: Duration) -> Duration {
        now.saturating_sub(self.used)
    }

    /// Returns the time to read a prompt, less the prefix if the engine has it.
    pub(super) fn read_time(&self, work: &Work, typical: f64) -> Duration {
        read_time(self.uncached(work), self.rate.unwrap_or(typical))
    }

    /// Returns the time until a further prompt is read.
    pub(super) fn wait(&self, slots: u32, typical: f64, now: Duration) -> Duration {
        let rate = self.rate.unwrap_or(typical);
        let reading = self.reading();
        let mut wait = read_time(reading, rate);
        let unread = self.held.values().find(|held| held.unread > 0);
        if let Some(first) = unread {
            let since = now.saturating_sub(first.at.max(self.progress));
            // Time counts as progress until the prompts are overdue: then the engine is slower than known.
            if since < wait * 2 + OVERDUE {
                wait = wait.saturating_sub(since);
            }
        }
        let excess = (self.held.len() + 1).saturating_sub(slots.max(1) as usize);
        wait + self
            .duration
            .mul_f64(excess as f64 / f64::from(slots.max(1)))
    }

    /// Returns the number of answers that have begun and go on.
    pub(super) fn streams(&self) -> usize {
        self.held.values().filter(|held| held.unread == 0).count()
    }

    /// Returns whether the engine has read the prefix of a prompt.
    pub(super) fn has_prefix(&self, work: &Work) -> bool {
        work.prefix
            .is_some_and(|prefix| self.prefixes.contains_key(&prefix))
    }

    pub(super) fn add(&mut self, work: &Work, expected: Duration, now: Duration) {
        if self.reading() == 0 {
            (self.period, self.read_tokens) = (now, 0);
        }
        let held = Held {
            unread: self.uncached(work).max(1),
            bound: work.bound(),
            at: now,
            due: now + expected,
            end: now + work.deadline,
        };
        self.held.insert(work.id, held);
        self.used = now;
        if let Some(prefix) = work.prefix {
            self.cache(prefix, work.shared, now);
        }
    }

    /// Takes a first event over, from which the rate of reading follows.
    pub(super) fn record_begun(&mut self, id: u64, typical: f64, now: Duration) {
        let Some(held) = self.held.get_mut(&id).filter(|held| held.unread > 0) else {
            return;
        };
        let read = *held;
        held.unread = 0;
        self.progress = now;
        self.read_tokens += read.unread;
        // Engines read about in the order of arrival. The events of these were lost, or their callers left.
        for other in self.held.values_mut() {
            if other.at < read.at && now > other.due + LOST / 2 {
                other.unread = 0;
            }
        }
        self.learn(read, typical, now);
    }

    /// Learns from the time that all prompts of a period took together. A single one tells little: its first event
    /// may hold several tokens, between which the engine reads the prompts after it.
    fn learn(&mut self, read: Held, typical: f64, now: Duration) {
        let rate = self.rate.unwrap_or(typical);
        let time = now.saturating_sub(self.period);
        let idle = self.reading() == 0;
        if self.read_tokens <= MAX_LATENCY_TOKENS {
            if idle && read.at <= self.period {
                let sample = time.saturating_sub(read_time(read.unread, rate));
                let sample = sample.min(MAX_LATENCY);
                self.latency = self.latency.mul_f64(1.0 - GAIN) + sample.mul_f64(GAIN);
            }
        } else if self.read_tokens >= MIN_SAMPLE_TOKENS && (idle || time > MAX_PERIOD) {
            let time = time.saturating_sub(self.latency).as_secs_f64();
            let sample = self.read_tokens as f64 / time.max(f64::EPSILON);
            let change = (sample / rate).clamp(1.0 / MAX_CHANGE, MAX_CHANGE);
            self.rate = Some(rate * change.powf(GAIN));
            (self.period, self.read_tokens) = (now, 0);
        }
    }

    pub(super) fn record_ended(&mut self, id: u64, now: Duration) {
        if let Some(held) = self.held.shift_remove(&id) {
            let sample = now.saturating_sub(held.at);
            self.duration = self.duration.mul_f64(1.0 - GAIN) + sample.mul_f64(GAIN);
        }
    }

    /// Drops the requests that have certainly ended and returns their ids; prompts that are long overdue count as
    /// read.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<u64> {
        for held in self.held.values_mut() {
            if now > held.due + LOST {
                held.unread = 0;
            }
        }
        let ended = self.held.iter().filter(|(_, held)| now > held.end);
        let ended: Vec<_> = ended.map(|(id, _)| *id).collect();
        for id in &ended {
            self.held.shift_remove(id);
        }
        ended
    }

    fn uncached(&self, work: &Work) -> u64 {
        match self.has_prefix(work) {
            true => work.input.saturating_sub(work.shared),
            false => work.input,
        }
    }

    fn cache(&mut self, prefix: u64, tokens: u64, now: Duration) {
        let before = self.prefixes.insert(prefix, Cached { tokens, used: now });
        self.cache_tokens += tokens;
        self.cache_tokens -= before.map_or(0, |cached| cached.tokens);
        while self.cache_tokens > self.cache_limit && self.prefixes.len() > 1 {
            let oldest = self.prefixes.iter().min_by_key(|(_, cached)| cached.used);
            let Some((oldest, tokens)) = oldest.map(|(key, cached)| (*key, cached.tokens)) else {
                return;
            };
            self.prefixes.swap_remove(&oldest);
            self.cache_tokens -= tokens;
        }
    }
}
