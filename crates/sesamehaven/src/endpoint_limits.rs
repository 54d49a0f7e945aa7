//! The limits that endpoints name, in requests per second from all processes together.
//!
//! An endpoint in need names its limit in each response, for as long as it holds. All processes learn
//! of it, and a few of them divide it among themselves, chosen by a hash so that they agree without a
//! message. See [`docs/FRONT.md`](../../../docs/FRONT.md#limits-that-endpoints-name).

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::change_log::{ChangeCursor, ChangeLog};
use crate::digest::mix_bits;
use crate::request_rate::RequestRate;
use crate::unit::{Instant, Millis};

/// The rate that is used of a lower limit, so that its end is noticed.
const MIN_RATE: RequestRate = RequestRate::per_1000_s(100);
/// The part of a limit that is divided, in per cent; the rest is for requests that processes send before
/// they have heard of a change.
const USED_PERCENT: u64 = 90;
/// The maximum number of endpoints whose limits are known.
const MAX_ENDPOINTS: usize = 1_024;
/// How long a statement counts that nobody has repeated; longer than an endpoint may stay without requests.
const RETENTION: Millis = Millis(120_000);
/// How long the end of a limit is remembered, so that older statements do not bring it back.
const END_RETENTION: Millis = Millis(15_000);
/// How often a repeated statement is news to other processes.
const REPEAT_INTERVAL: Millis = Millis(30_000);

/// What an endpoint last said about its limit, as exchanged between processes.
///
/// The time is an age, since processes share no clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The hash of the endpoint's incarnation.
    pub endpoint: u64,
    /// The limit, or [`None`] if it has ended.
    pub limit: Option<RequestRate>,
    /// How long ago the endpoint said so, in milliseconds.
    pub heard_ago: u32,
}

#[derive(Debug, Clone, Copy)]
struct Statement {
    limit: Option<RequestRate>,
    heard_at: Instant,
    announced_at: Instant,
}

/// The limits of endpoints, as they last stated them.
///
/// # Example
///
/// ```
/// use sesamehaven::endpoint_limits::EndpointLimits;
/// use sesamehaven::request_rate::RequestRate;
/// use sesamehaven::unit::Instant;
///
/// let mut limits = EndpointLimits::default();
/// let limit = RequestRate::per_1000_s(2_000);
/// limits.on_response(7, Some(limit), Instant(0));
/// assert_eq!(limits.limit(7, Instant(1)), Some(limit));
/// limits.on_response(7, None, Instant(2));
/// assert_eq!(limits.limit(7, Instant(3)), None);
/// ```
#[derive(Debug, Default)]
pub struct EndpointLimits {
    statements: HashMap<u64, Statement>,
    changes: ChangeLog<u64>,
}

impl EndpointLimits {
    /// Records what a response of an endpoint said; returns whether its limit has changed.
    pub fn on_response(&mut self, endpoint: u64, limit: Option<RequestRate>, now: Instant) -> bool {
        match limit {
            None if !self.statements.contains_key(&endpoint) => false,
            limit => self.apply(endpoint, limit, now, now),
        }
    }

    /// Adds what other processes have heard; returns whether any limit has changed.
    pub fn merge(&mut self, notices: &[LimitNotice], now: Instant) -> bool {
        let mut has_changed = false;
        for notice in notices {
            let heard_at = Instant(now.0.saturating_sub(notice.heard_ago.into()));
            has_changed |= self.apply(notice.endpoint, notice.limit, heard_at, now);
        }
        has_changed
    }

    /// Returns the limit of an endpoint.
    pub fn limit(&self, endpoint: u64, now: Instant) -> Option<RequestRate> {
        let statement = self.statements.get(&endpoint)?;
        statement
            .limit
            .filter(|_| now.since(statement.heard_at) < RETENTION)
    }

    /// Returns whether nothing is known of any limit.
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// Returns the number of endpoints with a limit.
    pub fn limited(&self, now: Instant) -> usize {
        let statements = self.statements.keys();
        statements
            .filter(|e| self.limit(**e, now).is_some())
            .count()
    }

    /// Returns notices of up to `max` changes that the receivers of the cursor have not been sent.
    pub fn fresh(&self, cursor: &mut ChangeCursor, max: usize, now: Instant) -> Vec<LimitNotice> {
        self.notices(self.changes.fresh(cursor, max), now)
    }

    /// Returns notices of up to `max` endpoints in turn, for receivers that missed them.
    pub fn again(&self, cursor: &mut ChangeCursor, max: usize, now: Instant) -> Vec<LimitNotice> {
        self.notices(self.changes.again(cursor, max), now)
    }

    /// Returns notices of the latest `max` changes, for a process that has just started.
    pub fn summary(&self, max: usize, now: Instant) -> Vec<LimitNotice> {
        self.notices(self.changes.latest().take(max), now)
    }

    fn apply(
        &mut self,
        endpoint: u64,
        limit: Option<RequestRate>,
        heard_at: Instant,
        now: Instant,
    ) -> bool {
        let known = self.statements.get(&endpoint).copied();
        if known.is_some_and(|s| s.heard_at > heard_at) {
            return false;
        }
        if known.is_none() && limit.is_none() {
            return false;
        }
        if known.is_none() {
            self.expire(now);
        }
        let has_changed = known.is_none_or(|s| s.limit != limit);
        let is_due = known.is_none_or(|s| now.since(s.announced_at) >= REPEAT_INTERVAL);
        let mut announced_at = known.map_or(now, |s| s.announced_at);
        if has_changed || is_due {
            announced_at = now;
            self.changes.touch(endpoint);
        }
        let statement = Statement {
            limit,
            heard_at,
            announced_at,
        };
        self.statements.insert(endpoint, statement);
        self.evict_excess();
        has_changed
    }

    fn notices(&self, endpoints: impl IntoIterator<Item = u64>, now: Instant) -> Vec<LimitNotice> {
        let statements = endpoints
            .into_iter()
            .filter_map(|endpoint| Some((endpoint, self.statements.get(&endpoint)?)));
        statements
            .map(|(endpoint, statement)| LimitNotice {
                endpoint,
                limit: statement.limit,
                heard_ago: u32::try_from(now.since(statement.heard_at).0).unwrap_or(u32::MAX),
            })
            .collect()
    }

    fn expire(&mut self, now: Instant) {
        let expired = self.statements.iter().filter(|(_, s)| {
            let retention = if s.limit.is_some() {
                RETENTION
            } else {
                END_RETENTION
            };
            now.since(s.heard_at) >= retention
        });
        let expired: SmallVec<[u64; 8]> = expired.map(|(endpoint, _)| *endpoint).collect();
        expired
            .into_iter()
            .for_each(|endpoint| self.remove(endpoint));
    }

    fn evict_excess(&mut self) {
        if self.statements.len() <= MAX_ENDPOINTS {
            return;
        }
        let oldest = self.statements.iter().min_by_key(|(_, s)| s.heard_at);
        if let Some(endpoint) = oldest.map(|(endpoint, _)| *endpoint) {
            self.remove(endpoint);
        }
    }

    fn remove(&mut self, endpoint: u64) {
        self.statements.remove(&endpoint);
        self.changes.remove(endpoint);
    }
}

/// Returns the part of a limit that falls to this process, zero for most if there are many.
///
/// As many processes divide a limit as it allows requests a second, so that each of them may send
/// about one; with even parts, a hundred processes could save up a hundred requests for the same
/// moment. `others` are the identities of the other processes that are alive, which stay the same
/// across restarts; processes that see others thereby differ by few.
pub fn own_share(
    limit: RequestRate,
    endpoint: u64,
    own: u64,
    others: impl IntoIterator<Item = u64>,
) -> RequestRate {
    let limit = limit.max(MIN_RATE);
    let rank_of = |process: u64| mix_bits(mix_bits(endpoint) ^ process);
    let own_rank = rank_of(own);
    let (mut before, mut processes) = (0, 1);
    for other in others {
        processes += 1;
        before += usize::from(rank_of(other) < own_rank);
    }
    let holders = (limit.per_second() as usize).clamp(1, processes);
    match before < holders {
        true => limit.percent(USED_PERCENT).divided_by(holders),
        false => RequestRate::default(),
    }
}
