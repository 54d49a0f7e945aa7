//! Why requests are refused, and when their callers are told to come back.

use crate::backlog::Ticket;
use crate::unit::Millis;

/// The shortest retry delay of a refused caller.
const RETRY_AFTER_MIN: Millis = Millis(150);
/// The longest retry delay of a refused caller.
pub(crate) const RETRY_AFTER_MAX: Millis = Millis(2_000);

/// Why a request was refused; a refused request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The queue is too long for the request to be served in time.
    Overload,
    /// The request has exceeded its maximum waiting time.
    Overdue,
    /// No endpoint accepts requests.
    NoEndpoint,
    /// No endpoint of the software version that began the stream accepts requests.
    NoVersion,
    /// All endpoints asked for a pause, or are at the limits that they named, for longer than the
    /// request can wait.
    Paused,
}

impl Refusal {
    /// Returns the name of the reason in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::Overload => "overload",
            Refusal::Overdue => "overdue",
            Refusal::NoEndpoint => "no_endpoint",
            Refusal::NoVersion => "no_version",
            Refusal::Paused => "paused",
        }
    }
}

/// Returns the retry delay of a refused caller that could be served after `wait`.
///
/// Jitter prevents callers that were refused together from returning together.
pub(crate) fn retry_after(wait: Millis, ticket: Ticket) -> Millis {
    let wait = wait.0.clamp(RETRY_AFTER_MIN.0, RETRY_AFTER_MAX.0);
    let jitter = wait / 2 * (ticket.0.wrapping_mul(0x9e37_79b9) >> 8 & 0xff) / 0xff;
    Millis((wait + jitter).min(RETRY_AFTER_MAX.0))
}
