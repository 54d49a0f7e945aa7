//! The choice of an endpoint of a version that is tried.

use smallvec::SmallVec;

use crate::digest::mix_bits;
use crate::exposure::Access;
use crate::pool_endpoint::PoolEndpoint;
use crate::unit::Instant;

/// The mean load of the endpoints that are used, as a share of their slots.
const MEAN_LOAD: f64 = 0.7;
/// The number of endpoints that are used at least.
const MIN_ENDPOINTS: usize = 3;

/// Chooses an endpoint of the version that is tried, which has a slot free at once.
///
/// All processes fill the same few endpoints, so that these run at full load, and choose the less loaded of
/// two of them, so that counts that are out of date do not lead all to the same one.
pub(crate) fn choose<'a>(
    open: impl Iterator<Item = &'a PoolEndpoint>,
    draw: u64,
    now: Instant,
    has_room: impl Fn(&PoolEndpoint) -> bool,
) -> Option<&'a PoolEndpoint> {
    let takes = |e: &&PoolEndpoint| e.access == Access::Candidate;
    let mut candidates: SmallVec<[&PoolEndpoint; 64]> = open.filter(takes).collect();
    candidates.sort_by_key(|e| mix_bits(e.hash));
    let running: u32 = candidates.iter().map(|e| e.load(now)).sum();
    let slots = candidates.first()?.listed.slots.max(1);
    let needed = f64::from(running) / (f64::from(slots) * MEAN_LOAD);
    candidates.truncate((needed.ceil() as usize + 1).max(MIN_ENDPOINTS));
    let count = candidates.len() as u64;
    let picks = [draw % count, (draw >> 32) % count];
    let picked = picks.iter().filter_map(|at| candidates.get(*at as usize));
    let has_slot = |e: &&&PoolEndpoint| e.load(now) < e.listed.slots && has_room(e);
    picked
        .copied()
        .filter(|e| has_slot(&e))
        .min_by_key(|e| e.load(now))
}
