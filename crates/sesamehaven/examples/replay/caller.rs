//! The simulated requests of callers, with the lengths observed on busy days.

use smallvec::SmallVec;
use smol_str::SmolStr;

use rand::Rng;

use sesamehaven::Tier;
use sesamehaven::backlog::Rank;
use sesamehaven::dispatcher::Work;
use sesamehaven::limit_use::LimitUse;
use sesamehaven::unit::{Instant, Millis};

use crate::engine::TOKENS_PER_EVENT;
use crate::scenario::{CLASSES, Disturbance};
use crate::simulation::{Due, RETRIES, Simulation};

/// The standard deviation of the logarithm of prompt lengths.
const PROMPT_SPREAD: f64 = 0.9;
/// The same for responses: most are short, and a few hold most of the events.
const RESPONSE_SPREAD: f64 = 1.55;
/// The same for the caller's hint of the response length, relative to the actual one.
const HINT_SPREAD: f64 = 0.5;
/// The maximum length of prompts and responses, relative to the mean.
const MAX_LENGTH: f64 = 10.0;
/// The weight of a response token in the size of a request, relative to a prompt token.
const RESPONSE_WEIGHT: u64 = 10;
/// The sample size for the threshold of the largest tenth of requests.
const SIZE_SAMPLES: usize = 2_000;
/// The expected preparation time of a request, in milliseconds.
const EXPECTED_PREPARE_MS: f64 = 83.0;
/// The expected time per prompt token and per response token, in milliseconds.
const EXPECTED_TOKEN_MS: (f64, f64) = (0.0142, 6.5);

/// A request, from its first send to its end.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) prompt: u64,
    pub(crate) is_large: bool,
    pub(crate) disconnects_early: bool,
    pub(crate) first_sent: u64,
    pub(crate) sent: u64,
    pub(crate) first_event: Option<u64>,
    pub(crate) is_late: bool,
    pub(crate) tier: u8,
    pub(crate) session: u64,
    /// The number of response events.
    pub(crate) output: u64,
    /// The number of response events that the caller expects.
    pub(crate) hint: u64,
    pub(crate) front: usize,
    pub(crate) deadline: u64,
    pub(crate) retries: u32,
    pub(crate) engine: Option<usize>,
    pub(crate) tried: SmallVec<[SmolStr; 2]>,
    pub(crate) runs: u32,
    pub(crate) events_received: u64,
    pub(crate) last_event: u64,
}

impl Simulation {
    pub(crate) fn send(&mut self, class: usize, is_hot: bool, front: usize) {
        let id = self.next_id;
        self.next_id += 1;
        let cfg = CLASSES[class];
        let (prompt, output) = self.lengths(class);
        let size = prompt + output * TOKENS_PER_EVENT * RESPONSE_WEIGHT;
        let hint = output as f64 * self.log_normal(HINT_SPREAD);
        let tiers = self.scenario.tiers;
        let mut req = Request {
            class,
            tier: if is_hot {
                0
            } else {
                tiers[self.rng.random_range(0..tiers.len())]
            },
            prompt,
            is_large: size > self.large_threshold[class],
            output,
            hint: (hint as u64).max(1),
            session: id as u64 + 1,
            front: 0,
            first_sent: self.now,
            sent: self.now,
            deadline: self.now + cfg.timeout_ms,
            retries: RETRIES.1,
            engine: None,
            tried: SmallVec::new(),
            runs: 0,
            events_received: 0,
            first_event: None,
            last_event: 0,
            is_late: false,
            disconnects_early: false,
        };
        let (mut hot_session_share, mut disconnects_after) = (0.0, None);
        for phase in self
            .scenario
            .phases
            .iter()
            .filter(|p| (p.from_ms..p.to_ms).contains(&self.now))
        {
            match phase.disturbance {
                Disturbance::HotSession { share } => hot_session_share = share,
                Disturbance::Impatient => req.retries = RETRIES.0,
                Disturbance::GiveUp { share, after_ms } if self.rng.random_bool(share) => {
                    disconnects_after = Some(after_ms);
                }
                Disturbance::LongPrompts { share, factor } if self.rng.random_bool(share) => {
                    req.prompt *= factor;
                }
                _ => {}
            }
        }
        if class == 0 && self.rng.random_bool(hot_session_share) {
            req.session = 0;
        }
        if let Some(after) = disconnects_after {
            (req.deadline, req.disconnects_early) = (self.now + after, true);
        }
        self.due.insert((req.deadline, id), Due::Disconnect);
        self.tally.sent(&req);
        self.requests.insert(id, req);
        self.arrive_at_front(id, front);
    }

    /// Draws the number of prompt tokens and of response events.
    fn lengths(&mut self, class: usize) -> (u64, u64) {
        let cfg = CLASSES[class];
        let prompt = cfg.prompt as f64 * self.length(PROMPT_SPREAD);
        let output = cfg.events as f64 * self.length(RESPONSE_SPREAD);
        ((prompt as u64).max(2), (output as u64).max(1))
    }

    /// Returns the size above which a request is among the largest tenth of its class.
    pub(crate) fn sample_large_threshold(&mut self, class: usize) -> u64 {
        let size = |(prompt, output)| prompt + output * TOKENS_PER_EVENT * RESPONSE_WEIGHT;
        let mut sizes: Vec<u64> = (0..SIZE_SAMPLES)
            .map(|_| size(self.lengths(class)))
            .collect();
        sizes.sort_unstable();
        sizes[SIZE_SAMPLES * 9 / 10]
    }

    fn log_normal(&mut self, spread: f64) -> f64 {
        // The sum of twelve uniform samples is approximately normal.
        let sum: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum();
        ((sum - 6.0) * spread).exp()
    }

    /// Draws a length, relative to the mean.
    fn length(&mut self, spread: f64) -> f64 {
        let median = (-spread * spread / 2.0).exp();
        (self.log_normal(spread) * median).min(MAX_LENGTH)
    }
}

pub(crate) fn work(req: &Request) -> Work {
    let class = &CLASSES[req.class];
    let tier = |rank| Tier::new(rank).unwrap_or(Tier::MOST_URGENT);
    let tokens = (req.prompt as f64, (req.hint * TOKENS_PER_EVENT) as f64);
    Work {
        class: class.name.into(),
        rank: Rank {
            tier: tier(req.tier),
            route: tier(class.rank),
        },
        arrived: Instant(req.sent),
        first_sent: Instant(req.first_sent),
        objective: Millis(class.objective_ms),
        gap_objective: Some(Millis(class.max_gap_ms)),
        deadline: Instant(req.deadline),
        slot_ms: EXPECTED_PREPARE_MS
            + tokens.0 * EXPECTED_TOKEN_MS.0
            + tokens.1 * EXPECTED_TOKEN_MS.1,
        first_event_ms: EXPECTED_PREPARE_MS + tokens.0 * EXPECTED_TOKEN_MS.0,
        prefill_ms: tokens.0 * EXPECTED_TOKEN_MS.0,
        session: Some(req.session),
        tried: req.tried.clone(),
        version: None,
        limit_use: LimitUse::default(),
    }
}
