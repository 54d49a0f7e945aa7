//! Sums over sliding windows.

use std::collections::VecDeque;

use crate::unit::{Instant, Millis};

/// The number of buckets of a sliding window.
const BUCKETS: u64 = 40;
/// The number of spans of a window whose usage is persisted separately.
const SPANS: u64 = 8;

/// A sum over a sliding window, in buckets.
#[derive(Debug, Clone)]
pub(crate) struct SlidingWindow {
    span: Millis,
    buckets: VecDeque<(u64, f64)>,
    pub(crate) sum: f64,
}

impl SlidingWindow {
    pub(crate) fn new(span: Millis) -> Self {
        SlidingWindow {
            span,
            buckets: VecDeque::new(),
            sum: 0.0,
        }
    }

    pub(crate) fn span(&self) -> Millis {
        self.span
    }

    fn bucket_ms(&self) -> u64 {
        (self.span.0 / BUCKETS).max(1)
    }

    pub(crate) fn add(&mut self, amount: f64, now: Instant) {
        let bucket = now.0 / self.bucket_ms();
        match self.buckets.back_mut() {
            Some((last, n)) if *last >= bucket => *n += amount,
            _ => self.buckets.push_back((bucket, amount)),
        }
        self.sum += amount;
    }

    /// Takes back an amount that was added at a time, unless it has expired.
    pub(crate) fn remove(&mut self, amount: f64, added_at: Instant) {
        let added = added_at.0 / self.bucket_ms();
        let bucket = self.buckets.iter_mut().find(|(bucket, _)| *bucket == added);
        if let Some((_, n)) = bucket {
            *n -= amount;
            self.sum -= amount;
        }
    }

    /// Distributes an amount evenly over an empty window.
    pub(crate) fn spread(&mut self, amount: f64, now: Instant) {
        let newest = now.0 / self.bucket_ms();
        let each = amount / BUCKETS as f64;
        let oldest = (newest + 1).saturating_sub(BUCKETS);
        self.buckets
            .extend((oldest..=newest).map(|bucket| (bucket, each)));
        self.sum = self.buckets.iter().map(|(_, n)| n).sum();
    }

    /// Returns the amounts by age, rounded up, the latest span first.
    pub(crate) fn spans(&self, now: Instant) -> Vec<u64> {
        let newest = now.0 / self.bucket_ms();
        let mut amounts = vec![0.0; SPANS as usize];
        for (bucket, n) in &self.buckets {
            let span = newest.saturating_sub(*bucket) * SPANS / BUCKETS;
            amounts[span.min(SPANS - 1) as usize] += n;
        }
        // A span with more refunds than consumption reduces the next older one.
        let mut refunds = 0.0;
        let spans = amounts.into_iter().map(|amount| {
            let left: f64 = amount + refunds;
            refunds = left.min(0.0);
            left.max(0.0).ceil() as u64
        });
        spans.collect()
    }

    /// Fills an empty window with amounts by age, each counted at the lowest age of its span.
    pub(crate) fn set_spans(&mut self, spans: &[u64], now: Instant) {
        let newest = now.0 / self.bucket_ms();
        let ages = (0..).map(|span| span * BUCKETS / SPANS);
        let dated: Vec<(u64, f64)> = ages
            .zip(spans)
            .take(SPANS as usize)
            .map(|(age, n)| (newest.saturating_sub(age), *n as f64))
            .collect();
        self.buckets.extend(dated.into_iter().rev());
        self.sum = self.buckets.iter().map(|(_, n)| n).sum();
    }

    pub(crate) fn clear(&mut self) {
        self.buckets.clear();
        self.sum = 0.0;
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        let oldest = (now.0 / self.bucket_ms()).saturating_sub(BUCKETS);
        while let Some((bucket, n)) = self.buckets.front().copied()
            && bucket < oldest
        {
            self.buckets.pop_front();
            self.sum -= n;
        }
        if self.buckets.is_empty() {
            self.sum = 0.0;
        }
    }

    /// Returns how long it takes until `excess` has left the window.
    pub(crate) fn wait_for(&self, excess: f64, now: Instant) -> Millis {
        let mut left = excess;
        for (bucket, n) in &self.buckets {
            left -= n;
            if left <= 0.0 {
                let expiry = Instant((bucket + BUCKETS + 1) * self.bucket_ms());
                return expiry.since(now);
            }
        }
        self.span
    }
}
