//! Decides which configuration a process serves and from where it fetches it.
//!
//! Entries watch the platform. Agents, of which there are many more, hear of a
//! new generation from the messages of entries, fetch it from the peer that is
//! ahead, and poll the platform rarely. An agent that does not hear from enough
//! entries watches as well, so nobody waits for a process that is gone.
//! Whatever the source, a process never serves a generation below
//! one that it has served, and does not begin below one that a peer serves.
//!
//! The ways that were weighed are in
//! [`docs/CONFIGURATION.md`](../../../docs/CONFIGURATION.md).

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::election::rank;
use crate::id::{DaemonName, Digest, Generation};
use crate::unit::{Instant, Millis};

/// A configuration, told apart by its number and its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ConfigVersion {
    /// The generation.
    pub generation: Generation,
    /// The digest of its head.
    pub digest: Digest,
}

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.generation, self.digest)
    }
}

/// How eagerly a process looks for a new configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// How many watchers a process has to hear from not to watch itself.
    pub min_watchers: usize,
    /// How long a starting process listens to its peers before it serves.
    pub startup_wait: Millis,
    /// How long one watch of the platform waits.
    pub watch_timeout: Millis,
    /// How often a process that is no watcher reads the platform.
    pub poll_interval: Millis,
    /// The pause after the first failure; it doubles with each further one.
    pub retry_min: Millis,
    /// The longest pause after failures.
    pub retry_max: Millis,
    /// How long a peer has to answer a fetch.
    pub peer_timeout: Millis,
    /// How long a hint of a peer counts that has not been repeated.
    pub hint_lifetime: Millis,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            min_watchers: 2,
            startup_wait: Millis(250),
            watch_timeout: Millis(30_000),
            poll_interval: Millis(60_000),
            retry_min: Millis(200),
            retry_max: Millis(2_000),
            peer_timeout: Millis(1_000),
            hint_lifetime: Millis(5_000),
        }
    }
}

/// What becomes of a configuration that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is in force from now on.
    Serve,
    /// It may be offered again later, as peers may be ahead of it.
    Defer,
    /// It is the one in force.
    InForce,
    /// It is older than the one in force, and is refused.
    Backward,
    /// It has the generation of the one in force and another content, and is refused.
    Forked,
}

/// How the platform is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Read {
    /// Once, which also finds a head that went backwards.
    Get,
    /// Waiting for the next version.
    Watch,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read the platform's head and the parts that are missing.
    ReadPlatform(Read),
    /// Ask a peer for the configuration that it serves.
    Fetch(DaemonName),
    /// Offer again what was held.
    OfferDeferred,
    /// Do nothing until then, unless something happens.
    Wait(Instant),
}

/// What one peer is known to serve.
#[derive(Debug, Clone, Copy)]
struct Hint {
    generation: Generation,
    heard: Instant,
    not_before: Instant,
}

#[derive(Debug, Clone, Copy)]
enum Platform {
    Reading,
    Idle { not_before: Instant, read: Read },
}

/// The state of one process.
///
/// # Example
///
/// ```
/// use sesamehaven::delivery::{Delivery, ConfigVersion, Policy, Verdict};
/// use sesamehaven::id::{Digest, Generation};
/// use sesamehaven::unit::Instant;
///
/// let mark = |n| ConfigVersion { generation: Generation(n), digest: Digest::of(b"") };
/// let mut delivery = Delivery::new("entry-1".parse()?, Policy::default(), Instant(0));
/// assert_eq!(delivery.offer(mark(7), Instant(300)), Verdict::Serve);
/// assert_eq!(delivery.offer(mark(6), Instant(400)), Verdict::Backward);
/// # Ok::<(), sesamehaven::Error>(())
/// ```
#[derive(Debug)]
pub struct Delivery {
    me: DaemonName,
    policy: Policy,
    started: Instant,
    in_force: Option<ConfigVersion>,
    held: Option<ConfigVersion>,
    watcher: bool,
    watchers: BTreeSet<DaemonName>,
    platform: Platform,
    failures: u32,
    hints: BTreeMap<DaemonName, Hint>,
    fetching: Option<(DaemonName, Instant)>,
}

impl Delivery {
    /// Builds the state of a process that starts without a configuration.
    pub fn new(me: DaemonName, policy: Policy, now: Instant) -> Self {
        Delivery {
            me,
            policy,
            started: now,
            in_force: None,
            held: None,
            watcher: true,
            watchers: BTreeSet::new(),
            platform: Platform::Idle {
                not_before: now,
                read: Read::Get,
            },
            failures: 0,
            hints: BTreeMap::new(),
            fetching: None,
        }
    }

    /// Returns what this process serves; [`None`] says that it is not ready.
    pub fn in_force(&self) -> Option<ConfigVersion> {
        self.in_force
    }

    /// Returns whether this process watches the platform.
    pub fn is_watcher(&self) -> bool {
        self.watcher
    }

    /// Names the processes that watch, as [`watchers`](crate::election::watchers) does.
    pub fn set_watchers(&mut self, watchers: BTreeSet<DaemonName>, now: Instant) {
        self.watchers = watchers;
        self.elect(now);
    }

    /// Judges a configuration whose parts are all in hand.
    pub fn offer(&mut self, mark: ConfigVersion, now: Instant) -> Verdict {
        let verdict = self.evaluate(mark, now);
        match verdict {
            Verdict::Serve => {
                self.in_force = Some(mark);
                self.held = None;
                self.hints.values_mut().for_each(|h| h.not_before = now);
            }
            Verdict::Defer if self.held.is_none_or(|h| h.generation < mark.generation) => {
                self.held = Some(mark);
            }
            _ => {}
        }
        verdict
    }

    /// Judges a configuration without taking it, to learn whether its parts are needed.
    pub fn evaluate(&self, mark: ConfigVersion, now: Instant) -> Verdict {
        let Some(in_force) = self.in_force else {
            let settled = now >= self.settled_at();
            let behind = self.highest_hint(now).is_some_and(|g| g > mark.generation);
            return match settled && !behind {
                true => Verdict::Serve,
                false => Verdict::Defer,
            };
        };
        if mark == in_force {
            return Verdict::InForce;
        }
        match mark.generation.cmp(&in_force.generation) {
            std::cmp::Ordering::Greater => Verdict::Serve,
            std::cmp::Ordering::Equal => Verdict::Forked,
            std::cmp::Ordering::Less => Verdict::Backward,
        }
    }

    /// Notes the generation that a message of a peer carried.
    pub fn hint(&mut self, peer: DaemonName, generation: Generation, now: Instant) {
        let not_before = self.hints.get(&peer).map_or(now, |h| h.not_before);
        let hint = Hint {
            generation,
            heard: now,
            not_before,
        };
        self.hints.insert(peer, hint);
    }

    /// Notes that the connection to a peer is gone.
    pub fn peer_gone(&mut self, peer: &DaemonName, now: Instant) {
        self.peer_answered(peer, now);
        self.hints.remove(peer);
    }

    /// Notes that a fetch from a peer is over, whatever came of it.
    ///
    /// The peer is not asked again at once, as its answer may have been of no use.
    pub fn peer_answered(&mut self, peer: &DaemonName, now: Instant) {
        if self.fetching.as_ref().is_some_and(|(p, _)| p == peer) {
            self.fetching = None;
        }
        if let Some(hint) = self.hints.get_mut(peer) {
            hint.not_before = now.after(self.policy.peer_timeout);
        }
    }

    /// Notes that the platform was read, whatever the verdict.
    pub fn platform_answered(&mut self, read: Read, now: Instant) {
        self.failures = 0;
        // A watch cannot see a version that went back, so a read follows each
        // watch, and a watch each read.
        let (not_before, read) = match (self.watcher, read) {
            (true, Read::Get) => (now, Read::Watch),
            (true, Read::Watch) => (now, Read::Get),
            (false, _) => (now.after(self.spread(self.policy.poll_interval)), Read::Get),
        };
        self.platform = Platform::Idle { not_before, read };
    }

    /// Notes that the platform holds no configuration.
    pub fn platform_empty(&mut self, read: Read, now: Instant) {
        if read == Read::Watch {
            return self.platform_failed(now);
        }
        self.platform = Platform::Idle {
            not_before: now,
            read: Read::Watch,
        };
    }

    /// Notes that reading the platform failed.
    pub fn platform_failed(&mut self, now: Instant) {
        let factor = 1 << self.failures.min(16);
        let pause = Millis(self.policy.retry_min.0.saturating_mul(factor));
        self.failures += 1;
        self.platform = Platform::Idle {
            not_before: now.after(self.spread(pause.min(self.policy.retry_max))),
            read: Read::Get,
        };
    }

    /// Decides what to do, and notes that it is being done.
    pub fn next(&mut self, now: Instant) -> Step {
        self.expire(now);
        self.elect(now);
        if let Some(held) = self.held
            && self.evaluate(held, now) == Verdict::Serve
        {
            self.held = None;
            return Step::OfferDeferred;
        }
        if let Some(peer) = self.peer_ahead(now) {
            let deadline = now.after(self.policy.peer_timeout);
            self.fetching = Some((peer.clone(), deadline));
            return Step::Fetch(peer);
        }
        if let Platform::Idle { not_before, read } = self.platform
            && not_before <= now
        {
            self.platform = Platform::Reading;
            return Step::ReadPlatform(read);
        }
        Step::Wait(self.wake_at(now))
    }

    fn settled_at(&self) -> Instant {
        self.started.after(self.policy.startup_wait)
    }

    fn highest_hint(&self, now: Instant) -> Option<Generation> {
        let lifetime = self.policy.hint_lifetime;
        let fresh = self
            .hints
            .values()
            .filter(|h| now.since(h.heard) <= lifetime);
        fresh.map(|h| h.generation).max()
    }

    fn expire(&mut self, now: Instant) {
        let lifetime = self.policy.hint_lifetime;
        self.hints.retain(|_, h| now.since(h.heard) <= lifetime);
        if let Some((peer, deadline)) = self.fetching.clone()
            && deadline <= now
        {
            self.peer_answered(&peer, now);
        }
    }

    /// Watches the platform unless enough watchers are heard from.
    fn elect(&mut self, now: Instant) {
        let heard = self.hints.keys().filter(|n| self.watchers.contains(*n));
        let alone = self.watchers.contains(&self.me) || heard.count() < self.policy.min_watchers;
        let watcher = alone || self.in_force.is_none();
        if watcher == self.watcher {
            return;
        }
        self.watcher = watcher;
        if let Platform::Idle { .. } = self.platform {
            let pause = match watcher {
                true => Millis(0),
                false => self.spread(self.policy.poll_interval),
            };
            self.platform = Platform::Idle {
                not_before: now.after(pause),
                read: Read::Get,
            };
        }
    }

    /// Finds the peer that is furthest ahead, once a starting process has listened.
    fn peer_ahead(&self, now: Instant) -> Option<DaemonName> {
        if self.fetching.is_some() || (self.in_force.is_none() && now < self.settled_at()) {
            return None;
        }
        let served = self.in_force.map_or(Generation(0), |m| m.generation);
        let ahead = self.hints.iter();
        let ahead = ahead.filter(|(_, h)| h.generation > served && h.not_before <= now);
        let best = ahead.max_by_key(|(name, h)| (h.generation, rank(&self.me, name)));
        best.map(|(name, _)| name.clone())
    }

    fn wake_at(&self, now: Instant) -> Instant {
        let mut wake = now.after(self.policy.poll_interval);
        let mut consider = |at: Instant| {
            if at > now {
                wake = wake.min(at);
            }
        };
        if let Platform::Idle { not_before, .. } = self.platform {
            consider(not_before);
        }
        if let Some((_, deadline)) = &self.fetching {
            consider(*deadline);
        }
        if self.in_force.is_none() {
            consider(self.settled_at());
        }
        for hint in self.hints.values() {
            consider(hint.not_before);
            consider(hint.heard.after(Millis(self.policy.hint_lifetime.0 + 1)));
        }
        wake
    }

    /// Lengthens a pause by up to a quarter, by an amount that differs between processes.
    fn spread(&self, pause: Millis) -> Millis {
        let quarter = pause.0 / 4 + 1;
        Millis(pause.0 + rank(&self.me, &self.me) % quarter)
    }
}
