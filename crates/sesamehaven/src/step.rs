//! What the dispatcher tells its caller to do.

use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::backlog::Ticket;
use crate::refusal::Refusal;
use crate::unit::Millis;

/// An action for the caller of the dispatcher to execute.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Dispatch the request to the endpoint.
    Start {
        /// The request.
        ticket: Ticket,
        /// The incarnation of the endpoint.
        endpoint: SmolStr,
    },
    /// Refuse the request, which has not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The reason.
        reason: Refusal,
        /// The delay after which the caller should retry, when a slot is likely to be free.
        retry_after: Millis,
    },
}

/// The steps that follow from one event.
pub type Steps = SmallVec<[Step; 2]>;
