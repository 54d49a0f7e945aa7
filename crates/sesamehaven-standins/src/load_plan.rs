//! What the load tool sends, as written in a YAML file.

use std::fs;
use std::path::Path;

use serde::Deserialize;
use smol_str::SmolStr;

use sesamehaven::unit::Millis;

use crate::error::{Error, Result};

/// The mix of requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The streams of like requests that are sent side by side.
    pub streams: Vec<StreamPlan>,
}

/// Requests of one kind from one organisation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamPlan {
    /// The name in the report.
    pub name: SmolStr,
    /// The tier that the configuration gives the class, for the report alone.
    pub tier: u8,
    /// The API key of the organisation.
    pub api_key: SmolStr,
    /// The work class; absent, the first of the contract.
    #[serde(default)]
    pub class: Option<SmolStr>,
    /// The pool.
    pub pool: SmolStr,
    /// What is called.
    #[serde(default)]
    pub call: Call,
    /// The mean rate of requests a second; they come at random.
    pub rate: f64,
    /// Spans of time at which the rate differs.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// The length of prompts, without the shared prefix.
    #[serde(default = "default_prompt")]
    pub prompt_tokens: LengthDistribution,
    /// Prefixes that prompts share.
    #[serde(default)]
    pub prefix: Option<SharedPrefix>,
    /// The length of answers.
    #[serde(default = "default_output")]
    pub output_tokens: LengthDistribution,
    /// Whether answers are streamed.
    #[serde(default = "default_streamed")]
    pub streamed: bool,
    /// The time in which an answer is of use, sent as `Request-Timeout`.
    pub deadline: Millis,
    /// The form of idempotency keys.
    #[serde(default)]
    pub key: KeyForm,
    /// Whether a request may run more than once; the checker heeds it.
    #[serde(default)]
    pub repeatable: bool,
    /// The share of requests that are sent a second time, with the same key.
    #[serde(default)]
    pub resend_percent: f64,
    /// How long after the first time they are sent again.
    #[serde(default = "default_resend_after")]
    pub resend_after: Millis,
    /// Text that is put into each body, such as a mark that crashes an engine.
    #[serde(default)]
    pub mark: SmolStr,
}

/// What a stream calls.
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
    /// A UUIDv7, which carries its time.
    Uuid7,
    /// Any text.
    Text,
}

/// A span of time at which the rate differs.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When it begins.
    pub at: Millis,
    /// How long it lasts.
    pub length: Millis,
    /// How many times the usual rate it is; zero pauses the stream.
    pub factor: f64,
}

/// A random length, log-normal with a few that are much longer.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LengthDistribution {
    /// The median, in tokens.
    pub median: u64,
    /// The standard deviation of the logarithm; zero makes all alike.
    #[serde(default)]
    pub spread: f64,
    /// The share that is longer by the factor.
    #[serde(default)]
    pub long_percent: f64,
    /// How many times longer those are.
    #[serde(default = "default_long_factor")]
    pub long_factor: f64,
}

impl LengthDistribution {
    /// Builds a length that is always the same.
    pub const fn fixed(median: u64) -> Self {
        LengthDistribution {
            median,
            spread: 0.0,
            long_percent: 0.0,
            long_factor: LONG_FACTOR,
        }
    }
}

/// Prefixes that prompts share, each as likely as the others.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedPrefix {
    /// How many there are.
    pub count: u64,
    /// The length of each.
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
    /// Fails with a message that names the line and the field.
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
