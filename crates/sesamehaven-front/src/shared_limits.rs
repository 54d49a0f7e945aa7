//! The limits that all fronts keep together, by organisation and by pool.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use sesamehaven::digest::hash_of;
use sesamehaven::shared_limit::{Allowance, Hearing, PeerId, RetryShare, SharedWindow};
use sesamehaven::unit::{Instant, Millis};

use crate::pools;
use crate::routing_table::{RateLimit, RoutingTable};
use crate::settings::Bounds;

/// What was drawn on limits that are nearly used up, as it outlives a restart of all fronts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSnapshot {
    /// What all fronts have drawn within the window, by organisation.
    pub sums: BTreeMap<SmolStr, u64>,
}

/// What one front has drawn on the limit of an organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The hash of the organisation's name.
    pub organisation: u32,
    /// The total that this front has drawn since it started.
    pub total: u64,
    /// What all fronts have drawn within the window, if this one knows.
    pub sum: Option<u64>,
}

/// What this front has drawn on each limit, and what it knows of the others.
#[derive(Debug, Default)]
pub struct SharedLimits {
    windows: HashMap<SmolStr, SharedWindow>,
    retry_budgets: HashMap<SmolStr, RetryShare>,
}

impl SharedLimits {
    /// Takes over the limits of a configuration, keeping what was drawn.
    pub fn set_table(&mut self, table: &RoutingTable, bounds: &Bounds, now: Instant) {
        let mut previous = std::mem::take(&mut self.windows);
        for organisation in table.organisations() {
            let Some(limit) = organisation.limit else {
                continue;
            };
            let allowance = allowance(&limit, bounds);
            let window = self.windows.entry(organisation.name.clone());
            let mut carried = || previous.remove(&organisation.name);
            window
                .or_insert_with(|| carried().unwrap_or_else(|| SharedWindow::new(allowance, now)))
                .set_allowance(allowance);
        }
    }

    /// Draws on the limit of an organisation.
    ///
    /// # Errors
    ///
    /// Returns when there will be enough.
    pub fn charge(
        &mut self,
        organisation: &str,
        amount: u64,
        liveness: &Hearing,
        now: Instant,
    ) -> Result<(), Millis> {
        match self.windows.get_mut(organisation) {
            Some(window) => window.draw(amount, liveness.share(now), now),
            None => Ok(()),
        }
    }

    /// Gives back what was drawn for a request that has not run.
    pub fn refund(&mut self, organisation: &str, amount: u64, now: Instant) {
        if let Some(window) = self.windows.get_mut(organisation) {
            window.give_back(amount, now);
        }
    }

    /// Lists what was drawn, by organisation.
    pub fn usage(&self, now: Instant) -> Vec<Usage> {
        let windows = self.windows.iter();
        windows
            .map(|(name, window)| Usage {
                organisation: name_hash(name),
                total: window.drawn(),
                sum: window.known_sum(now),
            })
            .collect()
    }

    /// Takes in what another front has drawn.
    pub fn merge_usage(&mut self, peer: PeerId, usage: &[Usage], now: Instant) {
        for (name, window) in &mut self.windows {
            let hash = name_hash(name);
            if let Some(usage) = usage.iter().find(|d| d.organisation == hash) {
                window.on_peer(peer, usage.total, usage.sum, now);
            }
        }
    }

    /// Returns what must not be forgotten at a restart.
    pub fn snapshot(&self, now: Instant) -> UsageSnapshot {
        let windows = self.windows.iter();
        let nearly_used = windows.filter_map(|(name, w)| Some((name.clone(), w.hot_sum(now)?)));
        UsageSnapshot {
            sums: nearly_used.collect(),
        }
    }

    /// Takes in what was kept of the time before the start.
    pub fn restore(&mut self, snapshots: &[UsageSnapshot], now: Instant) {
        for (name, window) in &mut self.windows {
            let sums = snapshots.iter().filter_map(|s| s.sums.get(name));
            window.on_kept(sums.max().copied(), now);
        }
    }

    /// Notes a request to a pool.
    pub fn record_request(&mut self, pool: &SmolStr, bounds: &Bounds, now: Instant) {
        self.retry_budget(pool, bounds).on_request(now);
    }

    /// Returns whether a request may be sent to a second endpoint of a pool, and counts it.
    pub fn try_acquire_retry(
        &mut self,
        pool: &SmolStr,
        bounds: &Bounds,
        liveness: &Hearing,
        now: Instant,
    ) -> bool {
        let processes = liveness.known(now);
        self.retry_budget(pool, bounds).take(processes, now)
    }

    fn retry_budget(&mut self, pool: &SmolStr, bounds: &Bounds) -> &mut RetryShare {
        self.retry_budgets.entry(pool.clone()).or_insert_with(|| {
            RetryShare::new(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window)
        })
    }
}

fn name_hash(name: &str) -> u32 {
    pools::short_hash(hash_of(name))
}

/// The part of the tolerance of a limit that is used, as totals of other fronts are a message old.
const TOLERANCE_SHARE: f64 = 0.4;

fn allowance(limit: &RateLimit, bounds: &Bounds) -> Allowance {
    let window = bounds.limit_window;
    let allowed = limit.rate_per_s as f64 * window.0 as f64 / 1_000.0 + limit.burst as f64;
    let slack = if limit.counts_tokens {
        bounds.limit_slack
    } else {
        0.0
    };
    let tolerance = allowed * bounds.limit_overage + slack;
    Allowance {
        window,
        amount: (allowed + tolerance * TOLERANCE_SHARE) as u64,
    }
}
