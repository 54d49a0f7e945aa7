//! The limits that all fronts keep together, by organisation and by pool.

use std::collections::HashMap;

use smol_str::SmolStr;

use sesamehaven::placement::hash_of;
use sesamehaven::shared_limit::{Hearing, PeerId, RetryShare, SharedBucket};
use sesamehaven::unit::{Instant, Millis};

use crate::settings::Bounds;
use crate::table::Table;

/// What this front has drawn on each limit, and what it knows of the others.
#[derive(Debug, Default)]
pub struct Spending {
    buckets: HashMap<SmolStr, SharedBucket>,
    retries: HashMap<SmolStr, RetryShare>,
}

impl Spending {
    /// Takes over the limits of a configuration, keeping what was drawn.
    pub fn set_table(&mut self, table: &Table, now: Instant) {
        let limited = |name: &SmolStr| {
            let organisations = table.organisations().iter();
            organisations
                .into_iter()
                .any(|o| o.name == *name && o.limit.is_some())
        };
        self.buckets.retain(|name, _| limited(name));
        for organisation in table.organisations() {
            let Some(limit) = organisation.limit else {
                continue;
            };
            let bucket = self.buckets.entry(organisation.name.clone());
            bucket
                .or_insert_with(|| SharedBucket::new(limit.rate_per_s, limit.burst, now))
                .set_limit(limit.rate_per_s, limit.burst);
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
        hearing: &Hearing,
        now: Instant,
    ) -> Result<(), Millis> {
        match self.buckets.get_mut(organisation) {
            Some(bucket) => bucket.draw(amount, hearing.share(now), now),
            None => Ok(()),
        }
    }

    /// Gives back what was drawn for a request that has not run.
    pub fn give_back(&mut self, organisation: &str, amount: u64) {
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.give_back(amount);
        }
    }

    /// Lists the totals drawn, by the hash of the organisation.
    pub fn drawn(&self) -> Vec<(u32, u64)> {
        let all = self.buckets.iter();
        all.map(|(name, b)| (short(name), b.drawn())).collect()
    }

    /// Takes in the totals that another front has drawn.
    pub fn on_peer(&mut self, peer: PeerId, drawn: &[(u32, u64)]) {
        for (name, bucket) in &mut self.buckets {
            let hash = short(name);
            if let Some((_, total)) = drawn.iter().find(|(h, _)| *h == hash) {
                bucket.on_peer(peer, *total);
            }
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
        hearing: &Hearing,
        now: Instant,
    ) -> bool {
        let processes = hearing.known(now);
        self.retries(pool, bounds).take(processes, now)
    }

    fn retries(&mut self, pool: &SmolStr, bounds: &Bounds) -> &mut RetryShare {
        self.retries.entry(pool.clone()).or_insert_with(|| {
            RetryShare::new(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window)
        })
    }
}

fn short(name: &str) -> u32 {
    (hash_of(name) >> 32) as u32
}
