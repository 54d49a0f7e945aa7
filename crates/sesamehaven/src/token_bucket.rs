//! A token bucket that several processes drain.
//!
//! Load pattern: one organisation sends many times its usual load while endpoints are nearly full. A limit
//! on a sliding window lets it take several seconds of its rate at once, at the expense of the others. See
//! [`docs/FRONT.md`](../../../docs/FRONT.md#limits-that-processes-share).

use crate::tier::Tier;
use crate::unit::{Instant, Millis};

/// The share of the burst that a tier leaves for each more urgent one that is in use.
const TIER_RESERVE_SHARE: f64 = 0.2;
/// The largest share of the burst that a tier leaves for more urgent ones.
const MAX_RESERVE_SHARE: f64 = 0.6;
/// How long a tier counts as in use after its last request.
const TIER_IN_USE: Millis = Millis(2_000);

/// A sustained rate and the amount that may be consumed at once beyond it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BurstLimit {
    /// The rate per second.
    pub rate_per_s: f64,
    /// The amount that may be consumed at once.
    pub burst: f64,
}

/// What was consumed of a [`BurstLimit`] and has not been made up for by the rate.
///
/// It begins full, since what was consumed before a start is bounded elsewhere.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TokenBucket {
    limit: BurstLimit,
    consumed: f64,
    updated_at: Instant,
    /// When this process last had a request of each tier.
    requested_at: [Option<Instant>; Tier::COUNT],
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn new(limit: BurstLimit, now: Instant) -> Self {
        TokenBucket {
            limit,
            consumed: 0.0,
            updated_at: now,
            requested_at: [None; Tier::COUNT],
        }
    }

    /// Changes the limit and keeps what was consumed.
    pub(crate) fn set_limit(&mut self, limit: BurstLimit) {
        self.limit = limit;
    }

    /// Records what this process or another one consumed, or returned if the amount is negative.
    ///
    /// `share` is the share of the limit that falls to the connected processes.
    pub(crate) fn add(&mut self, amount: f64, share: f64, now: Instant) {
        self.consumed = (self.consumed_at(share, now) + amount).max(0.0);
        self.updated_at = now;
    }

    /// Returns how long to wait until an amount is available to a request of a tier.
    ///
    /// An amount above the whole burst is available when the bucket is full.
    pub(crate) fn wait_for(&mut self, tier: Tier, amount: f64, share: f64, now: Instant) -> Millis {
        let consumed = self.consumed_at(share, now);
        let burst = self.limit.burst * share * (1.0 - self.reserve_share(tier, now));
        self.requested_at[tier.index()] = Some(now);
        let excess = (consumed + amount - burst).min(consumed);
        let rate = self.limit.rate_per_s * share;
        match excess > 0.0 {
            true => Millis((excess / rate.max(f64::MIN_POSITIVE) * 1_000.0).ceil() as u64),
            false => Millis(0),
        }
    }

    /// Returns the share of the burst that a tier leaves for more urgent ones.
    fn reserve_share(&self, tier: Tier, now: Instant) -> f64 {
        let above = self.requested_at[..tier.index()].iter().flatten();
        let in_use = above.filter(|at| now.since(**at) <= TIER_IN_USE).count();
        (in_use as f64 * TIER_RESERVE_SHARE).min(MAX_RESERVE_SHARE)
    }

    fn consumed_at(&self, share: f64, now: Instant) -> f64 {
        let elapsed_s = now.since(self.updated_at).0 as f64 / 1_000.0;
        (self.consumed - self.limit.rate_per_s * share * elapsed_s).max(0.0)
    }
}
