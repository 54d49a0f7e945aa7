//! The disturbances during a scenario.

use sesamehaven::placement::DispatchOutcome;

use crate::engine::Id;
use crate::scenario::Disturbance;
use crate::simulation::Simulation;

/// How long a restarted engine is cold, in milliseconds.
const COLD_MS: f64 = 3_000.0;

impl Simulation {
    pub(crate) fn active_disturbances(&self) -> impl Iterator<Item = Disturbance> + '_ {
        let now = self.now;
        let phases = self
            .scenario
            .phases
            .iter()
            .filter(move |p| (p.from_ms..p.to_ms).contains(&now));
        phases.map(|p| p.disturbance)
    }

    pub(crate) fn apply_disturbances(&mut self) {
        let share = |share: f64, n: usize| (share * n as f64).round() as usize;
        for phase in self.scenario.phases.clone() {
            let starts = phase.from_ms == self.now;
            let ends = phase.to_ms == self.now;
            match phase.disturbance {
                Disturbance::Slow {
                    share: part,
                    factor,
                } if starts || ends => {
                    let factor = if starts { factor } else { 1.0 / factor };
                    let count = share(part, self.engines.len());
                    self.engines[..count]
                        .iter_mut()
                        .for_each(|e| e.time_factor *= factor);
                }
                Disturbance::Grey {
                    share: part,
                    failing,
                } if starts || ends => {
                    let count = share(part, self.engines.len());
                    let failing = if starts { failing } else { 0.0 };
                    self.engines[..count]
                        .iter_mut()
                        .for_each(|e| e.failure_share = failing);
                }
                Disturbance::Lost { share: part } if starts => {
                    (0..share(part, self.engines.len())).for_each(|e| self.crash(e));
                }
                Disturbance::Lost { share: part } if ends => {
                    (0..share(part, self.engines.len())).for_each(|e| self.restart(e));
                }
                Disturbance::Release { gap_ms } => self.release(phase.from_ms, gap_ms),
                Disturbance::FrontsLost if starts => self.stop_fronts(),
                Disturbance::FrontsLost if ends => {
                    self.fronts.iter_mut().for_each(|f| f.is_up = true);
                }
                _ => {}
            }
        }
    }

    fn crash(&mut self, engine: usize) {
        for id in self.engines[engine].crash() {
            self.on_interrupted(id);
        }
    }

    fn restart(&mut self, engine: usize) {
        let now = self.now as f64;
        let engine = &mut self.engines[engine];
        (engine.is_up, engine.is_ready) = (true, true);
        engine.cold_until = now + COLD_MS;
    }

    /// Drains the engines one after the other for `gap` milliseconds and restarts them cold.
    fn release(&mut self, from: u64, gap: u64) {
        let since = self.now.saturating_sub(from);
        if self.now < from || !since.is_multiple_of(gap) {
            return;
        }
        let turn = (since / gap) as usize;
        if let Some(previous) = turn.checked_sub(1).filter(|t| *t < self.engines.len()) {
            self.crash(previous);
            self.restart(previous);
        }
        if let Some(engine) = self.engines.get_mut(turn) {
            engine.is_ready = false;
        }
        self.update_listing();
    }

    fn stop_fronts(&mut self) {
        for at in (0..self.fronts.len()).step_by(4) {
            self.fronts[at].is_up = false;
        }
        let mut lost: Vec<Id> = self
            .requests
            .iter()
            .filter(|(_, r)| !self.fronts[r.front].is_up)
            .map(|(id, _)| *id)
            .collect();
        // The iteration order of the map is random, but the simulation must be deterministic.
        lost.sort_unstable();
        for id in lost {
            self.stop_run(id, DispatchOutcome::Neutral);
            if let Some(req) = self.requests.remove(&id) {
                self.tally.fail(&req);
            }
        }
    }
}
