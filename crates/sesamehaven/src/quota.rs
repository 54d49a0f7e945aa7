//! Limits of organisations, enforced approximately across all entries.
//!
//! See [`docs/POLICY.md`](../../../docs/POLICY.md#limits-of-organisations).

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::config::Limits;
use crate::fair::OrganisationDigest;
use crate::outcome::{Refusal, Refused};
use crate::unit::{Instant, Millis};

/// The allowance that an organisation may accumulate, as the time in which it accrues.
const BURST: Millis = Millis(1_000);
/// The maximum number of organisations with state.
const MAX_ACCOUNTS: usize = 8_192;
/// The half-life of measured demand.
const DEMAND_HALF_LIFE: Millis = Millis(2_000);
/// The maximum age of demand reported by another entry.
const DEMAND_EXPIRY: Millis = Millis(5_000);
/// The maximum number of organisations in a summary for other entries, and of those
/// examined for eviction.
const MAX_SUMMARY: usize = 64;
/// The maximum number of organisations with demand reported by other entries.
const MAX_OTHERS: usize = 4_096;
/// The fraction of an even share that an entry always keeps.
const MIN_SHARE: f64 = 0.25;
/// The retry delay when too many requests are in flight.
const BUSY_RETRY_AFTER: Millis = Millis(1_000);

/// The demand of an organisation at one entry.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The organisation.
    pub organisation: OrganisationDigest,
    /// Its requests per second, whether admitted or not.
    pub requests_per_second: f32,
}

#[derive(Debug, Default)]
struct Account {
    requests_paid_until: f64,
    tokens_paid_until: f64,
    in_flight: u32,
    demand: f64,
    demand_at: Instant,
}

impl Account {
    fn current_demand(&self, now: Instant) -> f64 {
        let age = now.since(self.demand_at).0 as f64;
        self.demand * 0.5_f64.powf(age / DEMAND_HALF_LIFE.0 as f64)
    }
}

#[derive(Debug, Default)]
struct OtherDemand {
    demand: HashMap<u64, (f64, Instant)>,
}

/// The limits of organisations, of which each entry enforces its share.
///
/// The share corresponds to the entry's part of the organisation's total demand.
/// Entries exchange the demand of the organisations with the most; without such
/// reports the share is even. State is kept for at most `MAX_ACCOUNTS` organisations;
/// the least recently seen ones are evicted first, preferably those without requests in
/// flight.
#[derive(Debug)]
pub struct Quota {
    entries: u32,
    accounts: HashMap<OrganisationDigest, Account>,
    order: BTreeSet<(Instant, OrganisationDigest)>,
    others: HashMap<OrganisationDigest, OtherDemand>,
    last_summary: HashMap<u64, Instant>,
}

impl Default for Quota {
    fn default() -> Self {
        Quota {
            entries: 1,
            accounts: HashMap::new(),
            order: BTreeSet::new(),
            others: HashMap::new(),
            last_summary: HashMap::new(),
        }
    }
}

impl Quota {
    /// Sets the number of live entries, this one included.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Admits a request of `tokens`, or returns when to retry.
    ///
    /// Each admitted request must be ended with [`Quota::on_end`].
    ///
    /// # Errors
    ///
    /// Returns a refusal if the organisation exceeds one of its limits.
    pub fn admit(
        &mut self,
        organisation: OrganisationDigest,
        limits: &Limits,
        tokens: f64,
        now: Instant,
    ) -> Result<(), Refused> {
        if is_unlimited(limits) {
            return Ok(());
        }
        let share = self.record_demand(organisation, now);
        let Some(account) = self.accounts.get_mut(&organisation) else {
            return Ok(());
        };
        let max_in_flight = limits.concurrency.map(|n| (f64::from(n) * share).ceil());
        if max_in_flight
            .is_some_and(|max_in_flight| f64::from(account.in_flight) >= max_in_flight.max(1.0))
        {
            return Err(limited(BUSY_RETRY_AFTER));
        }
        let rate = |limit: Option<f64>| limit.map(|r| (r * share).max(f64::MIN_POSITIVE));
        let requests = rate(limits.requests_per_second);
        let by_tokens = rate(limits.tokens_per_second);
        let wait = overdraft_ms(account.requests_paid_until, requests, now).max(overdraft_ms(
            account.tokens_paid_until,
            by_tokens,
            now,
        ));
        if wait > 0.0 {
            // The retry delay is at most two minutes.
            return Err(limited(Millis(wait.min(120_000.0).ceil() as u64)));
        }
        charge(&mut account.requests_paid_until, 1.0, requests, now);
        charge(&mut account.tokens_paid_until, tokens, by_tokens, now);
        account.in_flight += 1;
        Ok(())
    }

    /// Records that an admitted request has ended.
    pub fn on_end(&mut self, organisation: OrganisationDigest) {
        if let Some(account) = self.accounts.get_mut(&organisation) {
            account.in_flight = account.in_flight.saturating_sub(1);
        }
    }

    /// Returns the organisations with the highest demand, for the other entries.
    pub fn summary(&self, now: Instant) -> Vec<Demand> {
        let demand = |(organisation, account): (&OrganisationDigest, &Account)| Demand {
            organisation: *organisation,
            requests_per_second: account.current_demand(now) as f32,
        };
        let mut all: Vec<Demand> = self.accounts.iter().map(demand).collect();
        all.sort_by(|a, b| {
            let order = b.requests_per_second.total_cmp(&a.requests_per_second);
            order.then(a.organisation.cmp(&b.organisation))
        });
        all.truncate(MAX_SUMMARY);
        all
    }

    /// Applies the summary of another entry, identified by a digest of its name.
    ///
    /// The last reported demand of an organisation that it does not include counts until it
    /// expires.
    pub fn on_summary(&mut self, entry: u64, demands: &[Demand], now: Instant) {
        self.last_summary
            .retain(|_, at| now.since(*at) < DEMAND_EXPIRY);
        self.last_summary.insert(entry, now);
        for demand in demands {
            let known = self.others.contains_key(&demand.organisation);
            if !known && self.others.len() >= MAX_OTHERS {
                self.evict_expired(now);
            }
            if !known && self.others.len() >= MAX_OTHERS {
                continue;
            }
            let others = self.others.entry(demand.organisation).or_default();
            let rate = f64::from(demand.requests_per_second).max(0.0);
            others.demand.insert(entry, (rate, now));
        }
    }

    /// Returns the number of organisations with state.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether there is no state.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Records a request as demand and returns the share of this entry.
    fn record_demand(&mut self, organisation: OrganisationDigest, now: Instant) -> f64 {
        if !self.accounts.contains_key(&organisation) {
            self.make_room(now);
        }
        let account = self.accounts.entry(organisation).or_default();
        self.order.remove(&(account.demand_at, organisation));
        let gain = std::f64::consts::LN_2 * 1_000.0 / DEMAND_HALF_LIFE.0 as f64;
        account.demand = account.current_demand(now) + gain;
        account.demand_at = now;
        self.order.insert((now, organisation));
        let own = account.demand;
        self.share(organisation, own, now)
    }

    fn share(&self, organisation: OrganisationDigest, own: f64, now: Instant) -> f64 {
        let even = 1.0 / f64::from(self.entries);
        let is_fresh = |at: &Instant| now.since(*at) < DEMAND_EXPIRY;
        let reporting = self.last_summary.values().filter(|at| is_fresh(at)).count();
        let not_reporting = (f64::from(self.entries) - 1.0 - reporting as f64).max(0.0);
        let others = self.others.get(&organisation);
        let demand = others.into_iter().flat_map(|o| o.demand.values());
        let fresh = demand.filter(|(_, at)| is_fresh(at));
        let reported: f64 = fresh.map(|(rate, _)| rate).sum();
        let demand_share = own / (own + reported).max(f64::MIN_POSITIVE);
        let share = (1.0 - not_reporting * even) * demand_share;
        share.clamp(MIN_SHARE * even, 1.0)
    }

    /// Evicts the least recently seen organisation, preferably one without requests in flight.
    fn make_room(&mut self, now: Instant) {
        if self.accounts.len() < MAX_ACCOUNTS {
            return;
        }
        let idle = |o: &OrganisationDigest| self.accounts.get(o).is_none_or(|a| a.in_flight == 0);
        let oldest = self.order.iter().take(MAX_SUMMARY).find(|(_, o)| idle(o));
        let Some(oldest) = oldest.or(self.order.first()).copied() else {
            return;
        };
        self.order.remove(&oldest);
        self.accounts.remove(&oldest.1);
        self.evict_expired(now);
    }

    fn evict_expired(&mut self, now: Instant) {
        self.others.retain(|_, others| {
            let demand = &mut others.demand;
            demand.retain(|_, (_, at)| now.since(*at) < DEMAND_EXPIRY);
            !demand.is_empty()
        });
    }
}

fn is_unlimited(limits: &Limits) -> bool {
    limits.requests_per_second.is_none()
        && limits.tokens_per_second.is_none()
        && limits.concurrency.is_none()
}

fn limited(retry_after: Millis) -> Refused {
    Refused {
        reason: Refusal::Limited,
        retry_after,
        admits: None,
    }
}

/// Returns by how much the allowance is overdrawn beyond the burst, in milliseconds.
fn overdraft_ms(paid_until: f64, rate: Option<f64>, now: Instant) -> f64 {
    let Some(rate) = rate else {
        return 0.0;
    };
    let burst = (BURST.0 as f64 - 1_000.0 / rate).max(0.0);
    paid_until - burst - now.0 as f64
}

/// Charges `amount` by advancing the time until which the allowance is used up.
fn charge(paid_until: &mut f64, amount: f64, rate: Option<f64>, now: Instant) {
    if let Some(rate) = rate {
        *paid_until = paid_until.max(now.0 as f64) + amount * 1_000.0 / rate;
    }
}
