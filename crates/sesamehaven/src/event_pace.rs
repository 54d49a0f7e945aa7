//! The speed of an endpoint, by the intervals between the events of its streams.
//!
//! How long a request holds its slot depends on the length of its answer, which is known only at the
//! end, and vaguely at the start. The intervals depend on the endpoint alone, as the events of a pool hold
//! about the same number of tokens.

use crate::unit::Instant;

/// The number of events of one stream in a sample.
const SAMPLE_EVENTS: u32 = 8;
/// The weight of a new sample in the moving average of an endpoint.
///
/// An endpoint that runs a full batch sends more than a sample each 100 ms.
const SAMPLE_WEIGHT: f64 = 0.03;

/// The events of one stream that make no sample yet.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StreamPace {
    since: Option<Instant>,
    events: u32,
}

impl StreamPace {
    /// Records an event, and returns the mean interval between events in milliseconds once there are
    /// enough for a sample.
    pub(crate) fn on_event(&mut self, now: Instant) -> Option<f64> {
        let Some(since) = self.since else {
            self.since = Some(now);
            return None;
        };
        self.events += 1;
        if self.events < SAMPLE_EVENTS {
            return None;
        }
        *self = StreamPace {
            since: Some(now),
            events: 0,
        };
        Some(now.since(since).0 as f64 / f64::from(SAMPLE_EVENTS))
    }
}

/// The moving average of the intervals between events at an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EventPace {
    interval_ms: Option<f64>,
}

impl EventPace {
    /// Records a mean interval.
    pub(crate) fn observe(&mut self, interval_ms: f64) {
        let mean = self.interval_ms.unwrap_or(interval_ms);
        self.interval_ms = Some(mean + SAMPLE_WEIGHT * (interval_ms - mean));
    }

    /// Returns the moving average in milliseconds, or [`None`] without samples.
    pub(crate) fn interval_ms(&self) -> Option<f64> {
        self.interval_ms
    }
}
