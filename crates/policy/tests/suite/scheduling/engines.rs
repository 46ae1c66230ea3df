//! A model of one shard: engines that read prompts in the order of arrival, and three kinds of requests.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use fescue_policy::scheduling::{Member, Scheduler, Work, owner};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const ENGINES: u64 = 15;

/// The speeds of the engines in turn, and what one of speed 1 reads, in tokens per millisecond.
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];
const TOKENS_PER_MS: f64 = 55.0;

/// The time from the end of reading to the first event, and for each token after it.
const FIRST_EVENT: Duration = Duration::from_millis(40);
const MS_PER_TOKEN: f64 = 4.0;

const LENGTH: Duration = Duration::from_secs(30);

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Long prompts with a long shared prefix.
    Review,
    /// Short prompts, the most urgent ones.
    Narration,
    /// Prompts of a middle length and short answers.
    Hint,
}

impl Kind {
    const ALL: [Self; 3] = [Self::Review, Self::Narration, Self::Hint];

    /// Returns the requests per second of the shard, a quarter of those of 60 engines.
    fn rate(self) -> f64 {
        match self {
            Self::Review => 21.5,
            Self::Narration => 20.5,
            Self::Hint => 27.8,
        }
    }

    fn target(self) -> Duration {
        Duration::from_millis(match self {
            Self::Review => 1000,
            Self::Narration => 400,
            Self::Hint => 500,
        })
    }

    fn deadline(self) -> Duration {
        Duration::from_secs(match self {
            Self::Review => 15,
            Self::Narration => 12,
            Self::Hint => 3,
        })
    }

    fn rank(self) -> u8 {
        match self {
            Self::Narration => 0,
            Self::Review => 1,
            Self::Hint => 2,
        }
    }

    /// Returns the mean and the largest number of tokens of a prompt without its prefix, and their spread.
    fn tokens(self) -> (f64, f64, f64) {
        match self {
            Self::Review => (6610.0, 54_600.0, 1.4),
            Self::Narration => (628.0, 3310.0, 1.0),
            Self::Hint => (1800.0, 6870.0, 1.3),
        }
    }

    /// Returns the tokens of the shared prefix and the number of different ones.
    fn prefix(self) -> (u64, u64) {
        match self {
            Self::Review => (5382, 369),
            Self::Narration => (198, 352),
            Self::Hint => (568, 1070),
        }
    }

    fn output(self) -> u64 {
        match self {
            Self::Review => 380,
            Self::Narration => 290,
            Self::Hint => 24,
        }
    }
}

/// What is asked for, and how the reports get through.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    factor: f64,
    scheduled: bool,
    lost: f64,
    delay: Duration,
    home: Duration,
}

impl Load {
    pub fn calm() -> Self {
        Self {
            factor: 1.0,
            scheduled: true,
            lost: 0.0,
            delay: Duration::ZERO,
            home: Duration::MAX,
        }
    }

    /// Chooses engines by the prefix alone, as routers do that don't ask a scheduler.
    pub fn by_prefix(self) -> Self {
        Self {
            scheduled: false,
            ..self
        }
    }

    pub fn times(self, factor: f64) -> Self {
        Self { factor, ..self }
    }

    pub fn with_lost_reports(self, lost: f64) -> Self {
        Self { lost, ..self }
    }

    pub fn with_delay(self, delay: Duration) -> Self {
        Self { delay, ..self }
    }

    pub fn with_new_home(self, home: Duration) -> Self {
        Self { home, ..self }
    }
}

/// What became of the requests.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    asked: HashMap<Kind, u32>,
    in_time: HashMap<Kind, u32>,
    pub refused: u32,
    /// The parts of the requests of small teams and of the large one that were not refused.
    pub served_small: f64,
    pub served_large: f64,
}

impl Seen {
    /// Returns the part of the requests of a kind whose first event came by the target.
    pub fn in_time(&self, kind: Kind) -> f64 {
        let count = |of: &HashMap<Kind, u32>| f64::from(of.get(&kind).copied().unwrap_or(0));
        count(&self.in_time) / count(&self.asked).max(1.0)
    }
}

struct ModelEngine {
    speed: f64,
    free: Duration,
    prefixes: HashMap<(Kind, u64), Duration>,
}

/// A shard and the scheduler that places its requests.
pub struct Shard {
    rng: StdRng,
    engines: Vec<ModelEngine>,
    scheduler: Scheduler,
    members: Vec<Member>,
}

/// The team that sends most requests, and the number of the others.
const LARGE_TEAM: u64 = 0;
const SMALL_TEAMS: u64 = 9;

impl Shard {
    pub fn open(seed: u64) -> Self {
        let engine = |index: usize| ModelEngine {
            speed: SPEEDS[index % SPEEDS.len()],
            free: Duration::ZERO,
            prefixes: HashMap::new(),
        };
        let member = |hash| Member {
            hash,
            slots: 64,
            memory: 520_724,
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            engines: (0..ENGINES as usize).map(engine).collect(),
            scheduler: Scheduler::default(),
            members: (0..ENGINES).map(member).collect(),
        }
    }

    /// Slows the first engines by a factor.
    pub fn slowed(mut self, count: usize, factor: f64) -> Self {
        for engine in &mut self.engines[..count] {
            engine.speed *= factor;
        }
        self
    }

    pub fn run(mut self, load: Load) -> Seen {
        let mut arrivals: Vec<_> = Kind::ALL
            .into_iter()
            .flat_map(|kind| self.arrivals(kind, load.factor))
            .collect();
        arrivals.sort_unstable_by_key(|(at, _)| *at);
        let mut reports = BinaryHeap::new();
        let (mut seen, mut teams) = (Seen::default(), [[0_u32; 2]; 2]);
        let mut home_until = load.home;
        for (id, (at, kind)) in (1..).zip(arrivals) {
            while let Some(Reverse((due, ended, id))) = reports.pop() {
                if due > at {
                    reports.push(Reverse((due, ended, id)));
                    break;
                }
                match ended {
                    false => self.scheduler.record_begun(id, due),
                    true => self.scheduler.record_ended(id, due),
                }
            }
            if at >= home_until {
                self.scheduler = Scheduler::default();
                home_until += load.home;
            }
            let work = self.work(id, kind);
            *seen.asked.entry(kind).or_default() += 1;
            let large = usize::from(work.team == LARGE_TEAM);
            teams[large][0] += 1;
            let Some(engine) = self.place(&work, load, at) else {
                seen.refused += 1;
                continue;
            };
            teams[large][1] += 1;
            let begun = self.read(engine, &work, kind, at);
            if begun - at <= kind.target() {
                *seen.in_time.entry(kind).or_default() += 1;
            }
            let ended = begun + Duration::from_secs_f64(work.output as f64 * MS_PER_TOKEN / 1000.0);
            for (due, end) in [(begun, false), (ended, true)] {
                if !self.rng.random_bool(load.lost) {
                    reports.push(Reverse((due + load.delay, end, id)));
                }
            }
        }
        let part = |[all, served]: [u32; 2]| f64::from(served) / f64::from(all.max(1));
        (seen.served_small, seen.served_large) = (part(teams[0]), part(teams[1]));
        seen
    }

    fn arrivals(&mut self, kind: Kind, factor: f64) -> Vec<(Duration, Kind)> {
        let mut at = Duration::ZERO;
        let mut arrivals = Vec::new();
        while at < LENGTH {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / (kind.rate() * factor);
            at += Duration::from_secs_f64(gap);
            arrivals.push((at, kind));
        }
        arrivals
    }

    fn work(&mut self, id: u64, kind: Kind) -> Work {
        let (mean, most, spread) = kind.tokens();
        let (shared, prefixes) = kind.prefix();
        // A log-normal distribution with this mean and ratio of standard deviation to mean.
        let variance = (1.0 + spread * spread).ln();
        let angle = std::f64::consts::TAU * self.rng.random::<f64>();
        let normal = (-2.0 * (1.0 - self.rng.random::<f64>()).ln()).sqrt() * angle.cos();
        let own = (mean.ln() - variance / 2.0 + variance.sqrt() * normal).exp();
        let small = 1 + self.rng.random_range(0..SMALL_TEAMS);
        let team = if self.rng.random_bool(0.6) {
            LARGE_TEAM
        } else {
            small
        };
        Work {
            id,
            prefix: Some(self.rng.random_range(0..prefixes) * 3 + u64::from(kind.rank())),
            shared,
            input: shared + own.min(most) as u64,
            output: kind.output(),
            rank: kind.rank(),
            team,
            target: kind.target(),
            deadline: kind.deadline(),
        }
    }

    fn place(&mut self, work: &Work, load: Load, at: Duration) -> Option<usize> {
        let member = if load.scheduled {
            self.scheduler.place(work, &self.members, at).ok()?.member
        } else {
            owner(work.prefix?, self.members.iter().map(|member| member.hash))?
        };
        usize::try_from(member).ok()
    }

    /// Returns when the first event of a request that is placed at `at` arrives.
    fn read(&mut self, engine: usize, work: &Work, kind: Kind, at: Duration) -> Duration {
        let engine = &mut self.engines[engine];
        let key = (kind, work.prefix.unwrap_or_default());
        let cached = engine.prefixes.insert(key, at).is_some();
        let tokens = work.input - if cached { work.shared } else { 0 };
        let time = tokens as f64 / (TOKENS_PER_MS * engine.speed) / 1000.0;
        engine.free = engine.free.max(at) + Duration::from_secs_f64(time);
        engine.free + FIRST_EVENT
    }
}
