//! Engines that report their load with the first event of a response, and fluctuations of their speed.

use std::collections::VecDeque;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use sesamehaven::endpoint_load::EndpointLoad;
use sesamehaven::unit::Instant;

use crate::scenario::FLUCTUATION;
use crate::simulation::{Policy, Simulation};

/// Separates the draws of fluctuations from those of the load.
const FLUCTUATION_SEED: u64 = 0x5eed;

/// A report on its way to a front.
#[derive(Debug)]
struct Report {
    arrives_at: u64,
    front: usize,
    engine: usize,
    load: EndpointLoad,
}

/// The reports on their way, and the random numbers of fluctuations.
#[derive(Debug)]
pub(crate) struct Reporting {
    rng: ChaCha8Rng,
    on_the_way: VecDeque<Report>,
}

impl Reporting {
    pub(crate) fn new(seed: u64) -> Self {
        Reporting {
            rng: ChaCha8Rng::seed_from_u64(seed ^ FLUCTUATION_SEED),
            on_the_way: VecDeque::new(),
        }
    }
}

impl Simulation {
    /// Slows down some of the engines that report their load for a short time.
    pub(crate) fn fluctuate(&mut self) {
        let Some(reports) = self.scenario.reports else {
            return;
        };
        if !self.now.is_multiple_of(reports.interval_ms) {
            return;
        }
        for engine in &mut self.engines {
            let is_slow = self.reports.rng.random_bool(reports.fluctuating);
            engine.fluctuation = if is_slow { FLUCTUATION } else { 1.0 };
        }
    }

    /// Sends an engine's load to a front with a response.
    pub(crate) fn report(&mut self, front: usize, engine: usize) {
        let Some(reports) = self.scenario.reports else {
            return;
        };
        if self.policy != Policy::Sesamehaven || !self.engines[engine].is_up {
            return;
        }
        self.reports.on_the_way.push_back(Report {
            arrives_at: self.now + reports.age_ms,
            front,
            engine,
            load: self.engines[engine].load(),
        });
    }

    pub(crate) fn deliver_reports(&mut self) {
        let now = self.now;
        while let Some(report) = self
            .reports
            .on_the_way
            .pop_front_if(|r| r.arrives_at <= now)
        {
            let dispatcher = &mut self.fronts[report.front].dispatcher;
            dispatcher.on_load(&self.names[report.engine], report.load, Instant(now));
        }
    }
}
