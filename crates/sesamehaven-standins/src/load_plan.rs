//! The load plan: the request mix of the load tool, read from a YAML file.

use std::fs;
use std::path::Path;

use serde::Deserialize;
use smol_str::SmolStr;

use sesamehaven::unit::Millis;

use crate::error::{Error, Result};

/// A request mix.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The concurrent streams of similar requests.
    pub streams: Vec<StreamPlan>,
}

/// Requests of one kind from one organisation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamPlan {
    /// The name in the report.
    pub name: SmolStr,
    /// The tier that the configuration assigns to the class; used in the report and the log only.
    pub tier: u8,
    /// The API key of the organisation.
    pub api_key: SmolStr,
    /// The work class; if absent, the first class of the contract.
    #[serde(default)]
    pub class: Option<SmolStr>,
    /// The pool.
    pub pool: SmolStr,
    /// The API that is called.
    #[serde(default)]
    pub call: Call,
    /// The mean rate in requests per second; arrivals form a Poisson process.
    pub rate: f64,
    /// Periods with a different rate.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// The length of prompts, excluding the shared prefix.
    #[serde(default = "default_prompt")]
    pub prompt_tokens: LengthDistribution,
    /// The prefixes shared by prompts.
    #[serde(default)]
    pub prefix: Option<SharedPrefix>,
    /// The length of answers.
    #[serde(default = "default_output")]
    pub output_tokens: LengthDistribution,
    /// Whether answers are streamed.
    #[serde(default = "default_streamed")]
    pub streamed: bool,
    /// The time within which an answer is useful, sent as `Request-Timeout`.
    pub deadline: Millis,
    /// The form of idempotency keys.
    #[serde(default)]
    pub key: KeyForm,
    /// Whether a request may run more than once; evaluated by the checker.
    #[serde(default)]
    pub repeatable: bool,
    /// The percentage of requests that are sent a second time, with the same key.
    #[serde(default)]
    pub resend_percent: f64,
    /// The delay between the first and the second send.
    #[serde(default = "default_resend_after")]
    pub resend_after: Millis,
    /// Text prepended to each prompt, such as a mark that crashes an engine.
    #[serde(default)]
    pub mark: SmolStr,
}

/// The API that a stream calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// `POST /v1/chat/completions`.
    #[default]
    Chat,
    /// `POST /v1/completions`.
    Text,
    /// `POST /services/{pool}/…`.
    Service,
}

/// The form of idempotency keys.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyForm {
    /// No key is sent.
    #[default]
    None,
    /// A UUIDv7, which contains its creation time.
    Uuid7,
    /// An opaque text.
    Text,
}

/// A period with a different rate.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// The start, relative to the start of the run.
    pub at: Millis,
    /// The duration.
    pub length: Millis,
    /// The factor applied to the stream's rate; zero pauses the stream.
    pub factor: f64,
}

/// A log-normal distribution of lengths with a small share of much longer ones.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LengthDistribution {
    /// The median, in tokens.
    pub median: u64,
    /// The standard deviation of the logarithm; zero gives a constant length.
    #[serde(default)]
    pub spread: f64,
    /// The percentage of lengths that are multiplied by `long_factor`.
    #[serde(default)]
    pub long_percent: f64,
    /// The factor of the longer lengths.
    #[serde(default = "default_long_factor")]
    pub long_factor: f64,
}

impl LengthDistribution {
    /// Builds a distribution that yields a constant length.
    pub const fn fixed(median: u64) -> Self {
        LengthDistribution {
            median,
            spread: 0.0,
            long_percent: 0.0,
            long_factor: LONG_FACTOR,
        }
    }
}

/// Prefixes shared by prompts, drawn uniformly.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedPrefix {
    /// The number of prefixes.
    pub count: u64,
    /// The length of each prefix.
    pub tokens: u64,
}

const LONG_FACTOR: f64 = 100.0;

fn default_long_factor() -> f64 {
    LONG_FACTOR
}

fn default_prompt() -> LengthDistribution {
    LengthDistribution::fixed(100)
}

fn default_output() -> LengthDistribution {
    LengthDistribution::fixed(32)
}

fn default_streamed() -> bool {
    true
}

fn default_resend_after() -> Millis {
    Millis(50)
}

impl Plan {
    /// Reads a plan from a YAML file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, or a field is unknown or malformed.
    pub fn read(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path).map_err(|source| Error::File {
            path: path.into(),
            source,
        })?;
        Plan::parse(&text).map_err(|reason| Error::Malformed {
            path: path.into(),
            reason,
        })
    }

    /// Parses a plan.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a plan, with a message that names the line and the
    /// field, and when a rate is invalid, with one that names the stream and the field.
    pub fn parse(text: &str) -> std::result::Result<Self, String> {
        let plan: Plan = serde_saphyr::from_str(text).map_err(|e| e.to_string())?;
        match plan
            .streams
            .iter()
            .find(|s| !s.rate.is_finite() || s.rate < 0.0)
        {
            Some(stream) => Err(format!(
                "streams: `{}`: rate: use a number of requests a second, zero or more",
                stream.name
            )),
            None => Ok(plan),
        }
    }
}
