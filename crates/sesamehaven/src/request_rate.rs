//! Rates of requests, and the allowance of one process at such a rate.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::unit::{Instant, Millis};

/// The highest rate; a higher one is no limit in practice.
const MAX_PER_1000_S: u64 = 1_000_000_000;
/// The span of a rate whose requests may be sent at once.
const BURST: Millis = Millis(250);

const REMEDY: &str = "write a decimal number of requests per second, zero or more, such as `4.5`";

/// A rate in requests per second, to a thousandth.
///
/// # Example
///
/// ```
/// use sesamehaven::request_rate::RequestRate;
///
/// let rate: RequestRate = "4.1".parse()?;
/// assert_eq!(rate.per_second(), 4.1);
/// assert_eq!(rate.to_string(), "4.1");
/// # Ok::<(), sesamehaven::Error>(())
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct RequestRate {
    per_1000_s: u64,
}

impl RequestRate {
    /// Creates a rate from a number of requests in a thousand seconds.
    pub const fn per_1000_s(requests: u64) -> Self {
        RequestRate {
            per_1000_s: requests,
        }
    }

    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.per_1000_s as f64 / 1_000.0
    }

    /// Returns a part of the rate, in per cent.
    pub fn percent(self, percent: u64) -> Self {
        RequestRate {
            per_1000_s: self.per_1000_s * percent / 100,
        }
    }

    /// Divides the rate evenly among a number of processes.
    pub fn divided_by(self, processes: usize) -> Self {
        RequestRate {
            per_1000_s: self.per_1000_s / processes.max(1) as u64,
        }
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.per_second(), f)
    }
}

impl FromStr for RequestRate {
    type Err = Error;

    /// Parses a decimal number of requests per second.
    ///
    /// # Errors
    ///
    /// Fails if it is no number or negative.
    fn from_str(s: &str) -> Result<Self> {
        let rate: f64 = s
            .trim()
            .parse()
            .map_err(|_| Error::malformed("request rate", s, REMEDY))?;
        if !rate.is_finite() || rate < 0.0 {
            return Err(Error::out_of_range("request rate", s, REMEDY));
        }
        let per_1000_s = (rate * 1_000.0).round() as u64;
        Ok(RequestRate {
            per_1000_s: per_1000_s.min(MAX_PER_1000_S),
        })
    }
}

/// The requests that one process may send at a rate.
///
/// It begins empty, since a rate is named while requests are on their way, and holds at most one
/// request or what [`BURST`] allows, so that processes that were idle do not send together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    rate: RequestRate,
    available: f64,
    updated_at: Instant,
}

impl Allowance {
    /// Creates an empty allowance.
    ///
    /// `delay`, between zero and one request, differs among processes, so that those that begin together
    /// do not send together.
    pub fn new(rate: RequestRate, delay: f64, now: Instant) -> Self {
        Allowance {
            rate,
            available: -delay,
            updated_at: now,
        }
    }

    /// Returns the rate.
    pub fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Changes the rate and keeps what has accrued, unless the rate is zero: the part of this process has
    /// gone to another one then.
    pub fn set_rate(&mut self, rate: RequestRate, now: Instant) {
        if rate == self.rate {
            return;
        }
        self.available = self.available_at(now);
        if rate == RequestRate::default() {
            self.available = self.available.min(0.0);
        }
        (self.updated_at, self.rate) = (now, rate);
    }

    /// Returns when the `n`th request from now may be sent, or [`None`] if never.
    pub fn opens_at(&self, n: usize, now: Instant) -> Option<Instant> {
        let missing = n as f64 - self.available_at(now);
        if missing <= 0.0 {
            return Some(now);
        }
        let rate = self.rate.per_second();
        (rate > 0.0).then(|| now.after(Millis((missing / rate * 1_000.0).ceil() as u64)))
    }

    /// Returns whether a request may be sent now.
    pub fn is_open(&self, now: Instant) -> bool {
        self.opens_at(1, now) == Some(now)
    }

    /// Takes one request from the allowance.
    pub fn consume(&mut self, now: Instant) {
        self.available = self.available_at(now) - 1.0;
        self.updated_at = now;
    }

    /// Returns a request to the allowance that was not sent.
    pub fn refund(&mut self) {
        self.available += 1.0;
    }

    fn available_at(&self, now: Instant) -> f64 {
        let rate = self.rate.per_second();
        let max = (rate * BURST.0 as f64 / 1_000.0).max(1.0);
        let accrued = rate * now.since(self.updated_at).0 as f64 / 1_000.0;
        (self.available + accrued).min(max)
    }
}
