//! What goes wrong during a scene.

use sesamehaven::placement::DispatchOutcome;

use crate::engine::Id;
use crate::scene::Trouble;
use crate::world::World;

/// How long an engine that came back is cold, in milliseconds.
const COLD_MS: f64 = 3_000.0;

impl World {
    pub(crate) fn active(&self) -> impl Iterator<Item = Trouble> + '_ {
        let now = self.now;
        let active = self
            .scene
            .phases
            .iter()
            .filter(move |p| (p.from_ms..p.to_ms).contains(&now));
        active.map(|p| p.trouble)
    }

    pub(crate) fn disturb(&mut self) {
        let share = |share: f64, n: usize| (share * n as f64).round() as usize;
        for phase in self.scene.phases.clone() {
            let starts = phase.from_ms == self.now;
            let ends = phase.to_ms == self.now;
            match phase.trouble {
                Trouble::Slow { share: part, x } if starts || ends => {
                    let x = if starts { x } else { 1.0 / x };
                    let count = share(part, self.engines.len());
                    self.engines[..count].iter_mut().for_each(|e| e.factor *= x);
                }
                Trouble::Grey {
                    share: part,
                    failing,
                } if starts || ends => {
                    let count = share(part, self.engines.len());
                    let failing = if starts { failing } else { 0.0 };
                    self.engines[..count]
                        .iter_mut()
                        .for_each(|e| e.failing = failing);
                }
                Trouble::Lost { share: part } if starts => {
                    (0..share(part, self.engines.len())).for_each(|e| self.lose(e));
                }
                Trouble::Lost { share: part } if ends => {
                    (0..share(part, self.engines.len())).for_each(|e| self.revive(e));
                }
                Trouble::Release { gap_ms } => self.release(phase.from_ms, gap_ms),
                Trouble::FrontsLost if starts => self.lose_fronts(),
                Trouble::FrontsLost if ends => {
                    self.fronts.iter_mut().for_each(|f| f.is_up = true);
                }
                _ => {}
            }
        }
    }

    fn lose(&mut self, engine: usize) {
        for id in self.engines[engine].crash() {
            self.break_off(id);
        }
    }

    fn revive(&mut self, engine: usize) {
        let now = self.now as f64;
        let engine = &mut self.engines[engine];
        (engine.is_up, engine.is_ready) = (true, true);
        engine.cold_until = now + COLD_MS;
    }

    /// Drains one engine after the other for a gap, and starts it again cold.
    fn release(&mut self, from: u64, gap: u64) {
        let since = self.now.saturating_sub(from);
        if self.now < from || !since.is_multiple_of(gap) {
            return;
        }
        let turn = (since / gap) as usize;
        if let Some(before) = turn.checked_sub(1).filter(|t| *t < self.engines.len()) {
            self.lose(before);
            self.revive(before);
        }
        if let Some(engine) = self.engines.get_mut(turn) {
            engine.is_ready = false;
        }
        self.list();
    }

    fn lose_fronts(&mut self) {
        for at in (0..self.fronts.len()).step_by(4) {
            self.fronts[at].is_up = false;
        }
        let mut lost: Vec<Id> = self
            .requests
            .iter()
            .filter(|(_, r)| !self.fronts[r.front].is_up)
            .map(|(id, _)| *id)
            .collect();
        // The map has no order, and the replay must have one.
        lost.sort_unstable();
        for id in lost {
            self.stop_run(id, DispatchOutcome::Neutral);
            if let Some(req) = self.requests.remove(&id) {
                self.tally.fail(&req);
            }
        }
    }
}
