//! How much an endpoint suits a request, compared with the others of its pool.
//!
//! Load pattern: engines read prompts one after the other, so a short request behind a long prompt is
//! late however many slots are free. See [`docs/FRONT.md`](../../../docs/FRONT.md#placing).

use crate::digest::{mix_bits, to_unit_interval};
use crate::pool_endpoint::{Demand, PoolEndpoint};
use crate::unit::Instant;

/// The weight of the expected time until a prompt is read, behind those that are ahead of it, as a
/// multiple of the objective, in units of a full endpoint's load.
const PREFILL_WEIGHT: f64 = 9.0;
/// The bonus of the endpoint that recently ran the session, in units of a full endpoint's load.
const SESSION_BONUS: f64 = 1.2;
/// The bonus of an endpoint in the same data centre, in units of a full endpoint's load.
const NEAR_BONUS: f64 = 0.6;
/// The number of other processes from which on the process's own preference order weighs as much as a
/// full endpoint's load; among fewer, it weighs as much less.
///
/// With different preferences, processes that see the same counts are less likely to choose the same
/// endpoints. Among few processes, a strong preference only makes prompts wait behind each other.
const FULL_PREFERENCE_OTHERS: f64 = 8.0;
/// The weight of the random tie-breaker, in units of a full endpoint's load.
const TIE_BREAK_WEIGHT: f64 = 0.05;

/// A process's own order of the endpoints.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Preference {
    /// What determines the order.
    pub(crate) seed: u64,
    /// The weight of the order, in units of a full endpoint's load.
    pub(crate) weight: f64,
    /// Whether what is known of the other processes is recent enough to choose by.
    pub(crate) has_timely_counts: bool,
}

impl Preference {
    /// Returns an order with full weight.
    pub(crate) fn new(seed: u64) -> Self {
        Preference {
            seed,
            weight: 1.0,
            has_timely_counts: true,
        }
    }

    /// Updates the number of other processes, and whether their counts are recent enough to choose by.
    pub(crate) fn set_others(&mut self, others: usize, has_timely_counts: bool) {
        self.has_timely_counts = has_timely_counts || others == 0;
        self.weight = match self.has_timely_counts {
            true => (others as f64 / FULL_PREFERENCE_OTHERS).min(1.0),
            false => 1.0,
        };
    }

    fn of(self, endpoint: &PoolEndpoint) -> f64 {
        to_unit_interval(mix_bits(endpoint.hash ^ self.seed)) * self.weight
    }
}

impl Default for Preference {
    fn default() -> Self {
        Preference::new(0)
    }
}

/// Returns the score of an endpoint for a request; lower is better.
///
/// `last` is the endpoint that recently ran the session.
pub(crate) fn score(
    endpoint: &PoolEndpoint,
    demand: &Demand,
    last: Option<u64>,
    preference: Preference,
    now: Instant,
) -> f64 {
    let load = f64::from(endpoint.load(now) + 1) / f64::from(endpoint.listed.slots.max(1));
    let until_read_ms = (endpoint.prefill_ms() + demand.prefill_ms) * endpoint.first_event_factor;
    let prefill = match preference.has_timely_counts {
        true => PREFILL_WEIGHT * until_read_ms / demand.objective.0.max(1) as f64,
        false => 0.0,
    };
    let ran_session = last == Some(endpoint.hash);
    let session_bonus = if ran_session { SESSION_BONUS } else { 0.0 };
    let near_bonus = if endpoint.listed.is_near {
        NEAR_BONUS
    } else {
        0.0
    };
    let preference = preference.of(endpoint);
    let tie = to_unit_interval(mix_bits(endpoint.hash ^ demand.tie_breaker)) * TIE_BREAK_WEIGHT;
    load * endpoint.time_factor + prefill - session_bonus - near_bonus + preference + tie
}
