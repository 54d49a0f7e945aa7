//! The limits that all fronts keep together, by organisation and by pool.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use sesamehaven::digest::hash_of;
use sesamehaven::shared_limit::{
    PeerId, PeerTracker, SharedRetryBudget, SharedWindow, WindowLimit,
};
use sesamehaven::unit::{Instant, Millis};

use crate::pools;
use crate::settings::Bounds;
use crate::table::{Limit, Table};

/// What was drawn on limits that are nearly used up, as it outlives a restart of all fronts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// What all fronts have drawn within the window, by organisation.
    pub sums: BTreeMap<SmolStr, u64>,
}

/// What one front has drawn on the limit of an organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drawn {
    /// The hash of the organisation's name.
    pub organisation: u32,
    /// The total that this front has drawn since it started.
    pub total: u64,
    /// What all fronts have drawn within the window, if this one knows.
    pub sum: Option<u64>,
}

/// What this front has drawn on each limit, and what it knows of the others.
#[derive(Debug, Default)]
pub struct Spending {
    windows: HashMap<SmolStr, SharedWindow>,
    retries: HashMap<SmolStr, SharedRetryBudget>,
}

impl Spending {
    /// Takes over the limits of a configuration, keeping what was drawn.
    pub fn set_table(&mut self, table: &Table, bounds: &Bounds, now: Instant) {
        let mut known = std::mem::take(&mut self.windows);
        for organisation in table.organisations() {
            let Some(limit) = organisation.limit else {
                continue;
            };
            let allowance = allowance(&limit, bounds);
            let window = self.windows.entry(organisation.name.clone());
            let mut kept = || known.remove(&organisation.name);
            window
                .or_insert_with(|| kept().unwrap_or_else(|| SharedWindow::new(allowance, now)))
                .set_limit(allowance);
        }
    }

    /// Draws on the limit of an organisation.
    ///
    /// # Errors
    ///
    /// Returns when there will be enough.
    pub fn draw(
        &mut self,
        organisation: &str,
        amount: u64,
        hearing: &PeerTracker,
        now: Instant,
    ) -> Result<(), Millis> {
        match self.windows.get_mut(organisation) {
            Some(window) => window.consume(amount, hearing.limit_share(now), now),
            None => Ok(()),
        }
    }

    /// Gives back what was drawn for a request that has not run.
    pub fn give_back(&mut self, organisation: &str, amount: u64, now: Instant) {
        if let Some(window) = self.windows.get_mut(organisation) {
            window.refund(amount, now);
        }
    }

    /// Lists what was drawn, by organisation.
    pub fn drawn(&self, now: Instant) -> Vec<Drawn> {
        let all = self.windows.iter();
        all.map(|(name, window)| Drawn {
            organisation: short(name),
            total: window.consumed(),
            sum: window.usage(now),
        })
        .collect()
    }

    /// Takes in what another front has drawn.
    pub fn on_peer(&mut self, peer: PeerId, drawn: &[Drawn], now: Instant) {
        for (name, window) in &mut self.windows {
            let hash = short(name);
            if let Some(drawn) = drawn.iter().find(|d| d.organisation == hash) {
                window.on_peer(peer, drawn.total, drawn.sum, now);
            }
        }
    }

    /// Returns what must not be forgotten at a restart.
    pub fn to_keep(&self, now: Instant) -> Kept {
        let all = self.windows.iter();
        let hot = all.filter_map(|(name, w)| Some((name.clone(), w.high_usage(now)?)));
        Kept {
            sums: hot.collect(),
        }
    }

    /// Takes in what was kept of the time before the start.
    pub fn on_kept(&mut self, kept: &[Kept], now: Instant) {
        for (name, window) in &mut self.windows {
            let sums = kept.iter().filter_map(|k| k.sums.get(name));
            window.on_restored(sums.max().copied(), now);
        }
    }

    /// Notes a request to a pool.
    pub fn on_request(&mut self, pool: &SmolStr, bounds: &Bounds, now: Instant) {
        self.retries(pool, bounds).on_request(now);
    }

    /// Returns whether a request may be sent to a second endpoint of a pool, and counts it.
    pub fn take_retry(
        &mut self,
        pool: &SmolStr,
        bounds: &Bounds,
        hearing: &PeerTracker,
        now: Instant,
    ) -> bool {
        let processes = hearing.total_processes(now);
        self.retries(pool, bounds).try_consume(processes, now)
    }

    fn retries(&mut self, pool: &SmolStr, bounds: &Bounds) -> &mut SharedRetryBudget {
        self.retries.entry(pool.clone()).or_insert_with(|| {
            SharedRetryBudget::new(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window)
        })
    }
}

fn short(name: &str) -> u32 {
    pools::short(hash_of(name))
}

/// The part of the tolerance of a limit that is used, as totals of other fronts are a message old.
const TOLERANCE_USED: f64 = 0.4;

fn allowance(limit: &Limit, bounds: &Bounds) -> WindowLimit {
    let window = bounds.limit_window;
    let promised = limit.rate_per_s as f64 * window.0 as f64 / 1_000.0 + limit.burst as f64;
    let slack = if limit.in_tokens {
        bounds.limit_slack
    } else {
        0.0
    };
    let tolerated = promised * bounds.limit_overage + slack;
    WindowLimit {
        window,
        amount: (promised + tolerated * TOLERANCE_USED) as u64,
    }
}
