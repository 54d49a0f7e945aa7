//! Limits shared by all fronts: rate limits of organisations and retry budgets of pools.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use sesamehaven::digest::{hash_of, short_hash};
use sesamehaven::limit_use::LimitUse;
use sesamehaven::shared_limit::{PeerId, PeerTracker, SavedUsage, SharedWindow, WindowLimit};
use sesamehaven::shared_retry_budget::{BudgetLevel, SharedRetryBudget};
use sesamehaven::unit::{Instant, Millis};

use crate::routing_table::{RateLimit, RoutingTable};
use crate::settings::Bounds;

/// The usage of limits, saved so that it survives a restart of all fronts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSnapshot {
    /// The usage of all fronts within the window, by organisation, of nearly exhausted limits.
    ///
    /// Fronts that save no ages read and write this alone.
    pub sums: BTreeMap<SmolStr, u64>,
    /// The same with its ages, of all limits that are used to a degree; [`None`] if the front saves
    /// none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ages: Option<BTreeMap<SmolStr, SavedUsage>>,
}

impl UsageSnapshot {
    /// Returns the usage of an organisation; a sum without ages counts as the latest.
    fn saved_usage(&self, organisation: &str) -> Option<SavedUsage> {
        let ages = self.ages.as_ref().and_then(|ages| ages.get(organisation));
        let without_ages = || {
            Some(SavedUsage {
                by_age: vec![*self.sums.get(organisation)?],
                ..SavedUsage::default()
            })
        };
        ages.cloned().or_else(without_ages)
    }
}

/// Returns the least usage that expires no earlier than any of the given ones.
///
/// Snapshots of fronts that no longer save cannot be told from current ones.
fn latest_of(usages: impl Iterator<Item = SavedUsage>) -> Option<SavedUsage> {
    usages.reduce(|a, b| {
        let (mut sum_a, mut sum_b, mut sum) = (0, 0, 0);
        let spans = (0..a.by_age.len().max(b.by_age.len())).map(|n| {
            sum_a += a.by_age.get(n).copied().unwrap_or_default();
            sum_b += b.by_age.get(n).copied().unwrap_or_default();
            let previous = std::mem::replace(&mut sum, sum_a.max(sum_b));
            sum - previous
        });
        SavedUsage {
            by_age: spans.collect(),
            busiest: a.busiest.max(b.busiest),
            save_interval_ms: a.save_interval_ms.max(b.save_interval_ms),
            since_loss: a.since_loss.max(b.since_loss),
        }
    })
}

/// The usage of an organisation's limit at one front.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The hash of the organisation's name.
    pub organisation: u32,
    /// The total usage at this front since it started.
    pub total: u64,
    /// The usage of all fronts within the window, if this one knows it.
    pub sum: Option<u64>,
}

/// The totals that a group of other fronts was last sent, by the hash of the organisation's name.
#[derive(Debug, Default)]
pub struct UsageChanges {
    totals: HashMap<u32, u64>,
}

/// The usage of each limit at this front, and what the other fronts reported.
#[derive(Debug, Default)]
pub struct SharedLimits {
    windows: HashMap<SmolStr, SharedWindow>,
    retry_budgets: HashMap<SmolStr, SharedRetryBudget>,
    /// Whether there has been a configuration since the start.
    has_table: bool,
}

impl SharedLimits {
    /// Applies the limits of a configuration, keeping the usage so far.
    pub fn set_table(&mut self, table: &RoutingTable, bounds: &Bounds, now: Instant) {
        let mut previous = std::mem::take(&mut self.windows);
        // Only what was limited before the start may have been used up.
        let create = match std::mem::replace(&mut self.has_table, true) {
            true => SharedWindow::added,
            false => SharedWindow::new,
        };
        for organisation in table.organisations() {
            let Some(limit) = organisation.limit else {
                continue;
            };
            let window_limit = window_limit(&limit, bounds);
            let window = self.windows.entry(organisation.name.clone());
            let mut carried = || previous.remove(&organisation.name);
            window
                .or_insert_with(|| carried().unwrap_or_else(|| create(window_limit, now)))
                .set_limit(window_limit);
        }
    }

    /// Charges an amount to an organisation's limit.
    ///
    /// # Errors
    ///
    /// Returns the time until enough is available.
    pub fn charge(
        &mut self,
        organisation: &str,
        amount: u64,
        liveness: &PeerTracker,
        now: Instant,
    ) -> Result<(), Millis> {
        match self.windows.get_mut(organisation) {
            Some(window) => window.consume(amount, liveness.limit_share(now), now),
            None => Ok(()),
        }
    }

    /// Refunds the charge of a request that has not run.
    pub fn refund(&mut self, organisation: &str, amount: u64, now: Instant) {
        if let Some(window) = self.windows.get_mut(organisation) {
            window.refund(amount, now);
        }
    }

    /// Returns how much of its limit an organisation has used at all fronts.
    ///
    /// Without a limit, or while its use is unknown after a start, it counts as average.
    pub fn limit_use(&self, organisation: Option<&str>, now: Instant) -> LimitUse {
        let window = organisation.and_then(|name| self.windows.get(name));
        let known = window.and_then(|window| window.limit_use(now));
        known.unwrap_or_else(|| {
            LimitUse::mean(self.windows.values().filter_map(|w| w.limit_use(now)))
        })
    }

    /// Returns the usage of this front, by organisation.
    pub fn usage(&self, now: Instant) -> Vec<Usage> {
        let windows = self.windows.iter();
        windows
            .map(|(name, window)| Usage {
                organisation: name_hash(name),
                total: window.consumed(),
                sum: window.reported_usage(now),
            })
            .collect()
    }

    /// Returns the usage that has changed since it was last reported, without the sums that only
    /// fronts that have just started need.
    ///
    /// Totals are cumulative, so a lost change is made up for by the next one or by a full report.
    pub fn usage_changes(&self, changes: &mut UsageChanges) -> Vec<Usage> {
        let windows = self.windows.iter();
        let totals = windows.map(|(name, window)| (name_hash(name), window.consumed()));
        let changed = totals.filter(|(name, total)| {
            let previous = changes.totals.insert(*name, *total);
            previous.unwrap_or_default() != *total
        });
        let usage = changed.map(|(organisation, total)| Usage {
            organisation,
            total,
            sum: None,
        });
        usage.collect()
    }

    /// Merges the usage that another front reported; only a whole report has the sums that the front knows.
    pub fn merge_usage(&mut self, peer: PeerId, usage: &[Usage], is_whole: bool, now: Instant) {
        for (name, window) in &mut self.windows {
            let hash = name_hash(name);
            if let Some(usage) = usage.iter().find(|d| d.organisation == hash) {
                window.on_peer(peer, usage.total, usage.sum, now);
                if is_whole && usage.sum.is_none() {
                    window.on_recent_start(peer, now);
                }
            }
        }
    }

    /// Returns whether the usage of an organisation before the start is not known yet.
    pub fn is_usage_unknown(&self, organisation: &str, now: Instant) -> bool {
        let window = self.windows.get(organisation);
        window.is_some_and(|w| w.usage(now).is_none())
    }

    /// Returns the usage that must survive a restart, with the interval between saves if it is long.
    pub fn snapshot(&self, save_interval: Millis, now: Instant) -> UsageSnapshot {
        let windows = self.windows.iter();
        let nearly_used = windows.filter_map(|(name, w)| Some((name.clone(), w.high_usage(now)?)));
        let windows = self.windows.iter();
        let used = windows.filter_map(|(name, w)| {
            let usage = SavedUsage {
                save_interval_ms: save_interval.0,
                ..w.saved_usage(now)?
            };
            Some((name.clone(), usage))
        });
        UsageSnapshot {
            sums: nearly_used.collect(),
            ages: Some(used.collect()),
        }
    }

    /// Restores the usage from before the start.
    pub fn restore(&mut self, snapshots: &[&UsageSnapshot], now: Instant) {
        let has_ages = snapshots.iter().any(|s| s.ages.is_some());
        for (name, window) in &mut self.windows {
            if has_ages {
                let usage = latest_of(snapshots.iter().filter_map(|s| s.saved_usage(name)));
                window.on_restored_with_ages(usage.as_ref(), now);
                continue;
            }
            let sums = snapshots.iter().filter_map(|s| s.sums.get(name));
            window.on_restored(sums.max().copied(), now);
        }
    }

    /// Counts a request to a pool, which adds to its retry budget.
    pub fn record_request(
        &mut self,
        pool: &SmolStr,
        bounds: &Bounds,
        liveness: &PeerTracker,
        now: Instant,
    ) {
        let processes = liveness.total_processes(now);
        self.retry_budget(pool, bounds, now)
            .on_request(processes, now);
    }

    /// Consumes one retry from a pool's budget, if one is left.
    pub fn try_acquire_retry(
        &mut self,
        pool: &SmolStr,
        bounds: &Bounds,
        liveness: &PeerTracker,
        now: Instant,
    ) -> bool {
        let processes = liveness.total_processes(now);
        self.retry_budget(pool, bounds, now)
            .try_consume(processes, now)
    }

    /// Returns how much this front has left of its share of a pool's retry budget.
    pub fn retry_level(
        &mut self,
        pool: &SmolStr,
        bounds: &Bounds,
        liveness: &PeerTracker,
        now: Instant,
    ) -> BudgetLevel {
        let processes = liveness.total_processes(now);
        self.retry_budget(pool, bounds, now).level(processes, now)
    }

    fn retry_budget(
        &mut self,
        pool: &SmolStr,
        bounds: &Bounds,
        now: Instant,
    ) -> &mut SharedRetryBudget {
        let (ratio, slack) = (bounds.retry_ratio, bounds.retry_slack);
        let budgets = self.retry_budgets.entry(pool.clone());
        budgets.or_insert_with(|| SharedRetryBudget::new(ratio, slack, bounds.retry_window, now))
    }
}

fn name_hash(name: &str) -> u32 {
    short_hash(hash_of(name))
}

/// The used share of a limit's tolerance; the rest covers the totals of other fronts, which
/// lag by one message.
const TOLERANCE_SHARE: f64 = 0.4;

fn window_limit(limit: &RateLimit, bounds: &Bounds) -> WindowLimit {
    let window = bounds.limit_window;
    let allowed = limit.rate_per_s as f64 * window.0 as f64 / 1_000.0 + limit.burst as f64;
    let slack = if limit.counts_tokens {
        bounds.limit_slack
    } else {
        0.0
    };
    let tolerance = allowed * bounds.limit_overage + slack;
    WindowLimit {
        window,
        amount: (allowed + tolerance * TOLERANCE_SHARE) as u64,
    }
}
