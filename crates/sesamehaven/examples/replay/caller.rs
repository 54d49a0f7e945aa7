//! The requests of callers, with lengths as they are on busy days.

use smallvec::SmallVec;
use smol_str::SmolStr;

use rand::Rng;

use sesamehaven::Tier;
use sesamehaven::backlog::Rank;
use sesamehaven::dispatcher::Work;
use sesamehaven::unit::{Instant, Millis};

use crate::engine::TOKENS_PER_EVENT;
use crate::scene::{KINDS, Trouble};
use crate::world::{Due, RETRIES, World};

/// How much prompts differ in length, as the deviation of the logarithm.
const PROMPT_SPREAD: f64 = 0.9;
/// The same of answers: most are short, and a few hold most of the events.
const ANSWER_SPREAD: f64 = 1.55;
/// The same of what callers expect of their answers, against what comes.
const HINT_SPREAD: f64 = 0.5;
/// The longest prompts and answers, against the mean.
const LENGTH_MAX: f64 = 10.0;
/// The weight of a token of an answer in the size of a request, against one of the prompt.
const ANSWER_WEIGHT: u64 = 10;
/// The lengths that are drawn to find from which size on a request is among the largest tenth.
const SIZES_DRAWN: usize = 2_000;
/// The time that a request is expected to be prepared for, in milliseconds.
const EXPECTED_START_MS: f64 = 83.0;
/// The time that tokens of prompt and answer are expected to take, in milliseconds.
const EXPECTED_MS: (f64, f64) = (0.0142, 6.5);

/// A request, from its first sending to its end.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) kind: usize,
    pub(crate) prompt: u64,
    pub(crate) is_large: bool,
    pub(crate) leaves_early: bool,
    pub(crate) first_sent: u64,
    pub(crate) sent: u64,
    pub(crate) first_event: Option<u64>,
    pub(crate) is_late: bool,
    pub(crate) tier: u8,
    pub(crate) session: u64,
    /// The events of the answer, and how many the caller expects.
    pub(crate) output: u64,
    pub(crate) hint: u64,
    pub(crate) front: usize,
    pub(crate) until: u64,
    pub(crate) retries: u32,
    pub(crate) engine: Option<usize>,
    pub(crate) tried: SmallVec<[SmolStr; 2]>,
    pub(crate) runs: u32,
    pub(crate) made: u64,
    pub(crate) last_event: u64,
}

impl World {
    pub(crate) fn send(&mut self, kind: usize, is_hot: bool, front: usize) {
        let id = self.count;
        self.count += 1;
        let cfg = KINDS[kind];
        let (prompt, output) = self.lengths(kind);
        let size = prompt + output * TOKENS_PER_EVENT * ANSWER_WEIGHT;
        let hint = output as f64 * self.log_normal(HINT_SPREAD);
        let tiers = self.scene.tiers;
        let mut req = Request {
            kind,
            tier: if is_hot {
                0
            } else {
                tiers[self.rng.random_range(0..tiers.len())]
            },
            prompt,
            is_large: size > self.large_from[kind],
            output,
            hint: (hint as u64).max(1),
            session: id as u64 + 1,
            front: 0,
            first_sent: self.now,
            sent: self.now,
            until: self.now + cfg.patience_ms,
            retries: RETRIES.1,
            engine: None,
            tried: SmallVec::new(),
            runs: 0,
            made: 0,
            first_event: None,
            last_event: 0,
            is_late: false,
            leaves_early: false,
        };
        let (mut is_shared, mut leaves_after) = (0.0, None);
        for trouble in self
            .scene
            .phases
            .iter()
            .filter(|p| (p.from_ms..p.to_ms).contains(&self.now))
        {
            match trouble.trouble {
                Trouble::HotSession { share } => is_shared = share,
                Trouble::Impatient => req.retries = RETRIES.0,
                Trouble::GiveUp { share, after_ms } if self.rng.random_bool(share) => {
                    leaves_after = Some(after_ms);
                }
                Trouble::LongPrompts { share, x } if self.rng.random_bool(share) => {
                    req.prompt *= x;
                }
                _ => {}
            }
        }
        if kind == 0 && self.rng.random_bool(is_shared) {
            req.session = 0;
        }
        if let Some(after) = leaves_after {
            (req.until, req.leaves_early) = (self.now + after, true);
        }
        self.due.insert((req.until, id), Due::Leave);
        self.tally.sent(&req);
        self.requests.insert(id, req);
        self.reach_front(id, front);
    }

    /// Draws the tokens of a prompt and the events of its answer.
    fn lengths(&mut self, kind: usize) -> (u64, u64) {
        let cfg = KINDS[kind];
        let prompt = cfg.prompt as f64 * self.length(PROMPT_SPREAD);
        let output = cfg.events as f64 * self.length(ANSWER_SPREAD);
        ((prompt as u64).max(2), (output as u64).max(1))
    }

    /// Finds from which size on a request of a kind is among the largest tenth.
    pub(crate) fn find_large(&mut self, kind: usize) -> u64 {
        let size = |(prompt, output)| prompt + output * TOKENS_PER_EVENT * ANSWER_WEIGHT;
        let mut sizes: Vec<u64> = (0..SIZES_DRAWN).map(|_| size(self.lengths(kind))).collect();
        sizes.sort_unstable();
        sizes[SIZES_DRAWN * 9 / 10]
    }

    fn log_normal(&mut self, spread: f64) -> f64 {
        // The sum of twelve even draws is close to normal.
        let sum: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum();
        ((sum - 6.0) * spread).exp()
    }

    /// Draws a length, as a part of the mean.
    fn length(&mut self, spread: f64) -> f64 {
        let median = (-spread * spread / 2.0).exp();
        (self.log_normal(spread) * median).min(LENGTH_MAX)
    }
}

pub(crate) fn work(req: &Request) -> Work {
    let kind = &KINDS[req.kind];
    let tier = |rank| Tier::new(rank).unwrap_or(Tier::MOST_URGENT);
    let tokens = (req.prompt as f64, (req.hint * TOKENS_PER_EVENT) as f64);
    Work {
        class: kind.name.into(),
        rank: Rank {
            tier: tier(req.tier),
            route: tier(kind.rank),
        },
        arrived: Instant(req.sent),
        first_sent: Instant(req.first_sent),
        objective: Millis(kind.objective_ms),
        deadline: Instant(req.until),
        slot_ms: EXPECTED_START_MS + tokens.0 * EXPECTED_MS.0 + tokens.1 * EXPECTED_MS.1,
        session: Some(req.session),
        tried: req.tried.clone(),
    }
}
