//! Arrival times and contents of requests, determined by the plan, the options of
//! the run and the seed; UUIDv7 keys also contain the start time.

use std::f64::consts::TAU;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};
use uuid::Builder;

use crate::completion::ECHO_MARK;
use crate::load_plan::{Burst, KeyForm, LengthDistribution, Plan, StreamPlan};
use crate::request_record::Prefix;

const NANOS_PER_SECOND: f64 = 1e9;

/// A scheduled request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The scheduled time, relative to the start of the run.
    pub at: Duration,
    /// The index of its stream in the plan.
    pub stream: usize,
    /// The seed of its content, which a resend shares with the first send.
    pub seed: u64,
    /// The scheduled time of the first send.
    pub first_at: Duration,
}

impl Arrival {
    /// Returns whether this is the second send of the request.
    ///
    /// It is recognized by its later time, so a resend without delay counts as a
    /// first send.
    pub fn is_resend(&self) -> bool {
        self.at != self.first_at
    }
}

/// Lists all requests of a run in order of their scheduled time.
///
/// Each stream draws from its own generator, so that a change to one stream
/// does not affect the others.
pub fn arrivals(plan: &Plan, seed: u64, rate_factor: f64, duration: Duration) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (index, stream) in plan.streams.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(index as u64 + 1);
        let mut at_s = 0.0;
        while let Some(next_s) = next_arrival_s(stream, rate_factor, at_s, duration, &mut rng) {
            at_s = next_s;
            push_sends(&mut all, stream, index, at_s, &mut rng);
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// Draws the next arrival of an inhomogeneous Poisson process by thinning:
/// candidates are drawn at the maximum rate and accepted with a probability of
/// the current rate divided by the maximum.
fn next_arrival_s(
    stream: &StreamPlan,
    rate_factor: f64,
    mut at_s: f64,
    duration: Duration,
    rng: &mut ChaCha8Rng,
) -> Option<f64> {
    let factors = stream.bursts.iter().map(|burst| burst.factor);
    let max_factor = factors.fold(1.0, f64::max);
    let rate = stream.rate * rate_factor * max_factor;
    if rate <= 0.0 {
        return None;
    }
    loop {
        let uniform: f64 = rng.random();
        at_s -= (1.0 - uniform).ln() / rate;
        if at_s >= duration.as_secs_f64() {
            return None;
        }
        if rng.random::<f64>() * max_factor < factor_at(&stream.bursts, at_s) {
            return Some(at_s);
        }
    }
}

/// Returns the rate factor at a time: that of the first burst that covers it, or 1.
fn factor_at(bursts: &[Burst], at_s: f64) -> f64 {
    let covers = |burst: &&Burst| {
        let from_s = burst.at.duration().as_secs_f64();
        at_s >= from_s && at_s < from_s + burst.length.duration().as_secs_f64()
    };
    bursts.iter().find(covers).map_or(1.0, |burst| burst.factor)
}

/// Adds the first send of a request and, by chance, its resend.
fn push_sends(
    all: &mut Vec<Arrival>,
    stream: &StreamPlan,
    index: usize,
    at_s: f64,
    rng: &mut ChaCha8Rng,
) {
    let first_at = Duration::from_nanos((at_s * NANOS_PER_SECOND) as u64);
    let seed = rng.random();
    let resent = rng.random::<f64>() * 100.0 < stream.resend_percent;
    let times = [first_at, first_at + stream.resend_after.duration()];
    let sends = if resent { 2 } else { 1 };
    all.extend(times.into_iter().take(sends).map(|at| Arrival {
        at,
        stream: index,
        seed,
        first_at,
    }));
}

/// The content of a request.
#[derive(Debug, Clone)]
pub struct Content {
    /// The word that identifies this request and is repeated in its answer.
    pub echo: SmolStr,
    /// The idempotency key.
    pub key: Option<SmolStr>,
    /// The shared prefix.
    pub prefix: Option<Prefix>,
    /// The prompt, without the stream's mark.
    pub prompt: String,
    /// The requested length of the answer.
    pub output_tokens: u64,
}

impl Content {
    /// Draws the content of an arrival; `start_ms` is the start of the run in
    /// milliseconds since 1970, for UUIDv7 keys.
    pub fn new(stream: &StreamPlan, arrival: &Arrival, start_ms: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(arrival.seed);
        let echo = format_smolstr!("{ECHO_MARK}{:016x}", arrival.seed);
        let prefix = prefix(stream, &mut rng);
        let output_tokens = draw_tokens(&stream.output_tokens, &mut rng);
        let own_tokens = draw_tokens(&stream.prompt_tokens, &mut rng);
        let mut prompt = String::new();
        if let Some(Prefix { name, tokens }) = &prefix {
            (0..*tokens).for_each(|word| prompt.push_str(&format!("{name}.{word} ")));
        }
        for _ in 1..own_tokens {
            prompt.push_str(&format!("w{:x} ", rng.random::<u16>()));
        }
        prompt.push_str(&echo);
        let key = key(stream.key, arrival, start_ms, &mut rng);
        Content {
            echo,
            key,
            prefix,
            prompt,
            output_tokens,
        }
    }
}

/// Draws one of the prefixes shared by the prompts of the organisation.
fn prefix(stream: &StreamPlan, rng: &mut ChaCha8Rng) -> Option<Prefix> {
    let shared = stream.prefix?;
    let number = rng.random_range(0..shared.count.max(1));
    let owner = blake3::hash(stream.api_key.as_bytes()).to_hex();
    Some(Prefix {
        name: format_smolstr!("p{}.{number}", &owner[..4]),
        tokens: shared.tokens,
    })
}

fn key(form: KeyForm, arrival: &Arrival, start_ms: u64, rng: &mut ChaCha8Rng) -> Option<SmolStr> {
    match form {
        KeyForm::None => None,
        KeyForm::Text => Some(format_smolstr!("key-{:016x}", arrival.seed)),
        KeyForm::Uuid7 => {
            let at_ms = start_ms + arrival.first_at.as_millis() as u64;
            let random: [u8; 10] = rng.random();
            let uuid = Builder::from_unix_timestamp_millis(at_ms, &random).into_uuid();
            Some(format_smolstr!("{uuid}"))
        }
    }
}

/// Draws a length of at least one token; the log-normal part uses the
/// Box-Muller transform.
fn draw_tokens(length: &LengthDistribution, rng: &mut ChaCha8Rng) -> u64 {
    let (radius, angle): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * (1.0 - radius).ln()).sqrt() * (TAU * angle).cos();
    let long = rng.random::<f64>() * 100.0 < length.long_percent;
    let factor = if long { length.long_factor } else { 1.0 };
    let tokens = length.median as f64 * (normal * length.spread).exp() * factor;
    (tokens.round() as u64).max(1)
}
