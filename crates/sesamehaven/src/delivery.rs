//! Decides which configuration a process serves and where it fetches it from.
//!
//! Entries watch the platform. Agents, which are far more numerous, learn of a new
//! generation from the messages of entries, fetch it from the peer that has it, and
//! poll the platform infrequently. An agent that does not receive messages from
//! enough entries watches the platform itself, so it does not depend on failed
//! processes. Regardless of the source, a process never serves a generation lower
//! than one that it has served, and does not start with one lower than that of a
//! peer.
//!
//! The alternatives that were considered are described in
//! [`docs/CONFIGURATION.md`](../../../docs/CONFIGURATION.md).

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::election::rank;
use crate::id::{DaemonName, Digest, Generation};
use crate::unit::{Instant, Millis};

/// The version of a configuration: its generation and the digest of its head, which
/// covers all parts.
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

/// The intervals and timeouts with which a process looks for a new configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// The number of watchers from which a process must receive messages to stop
    /// watching the platform itself.
    pub min_watchers: usize,
    /// The time that a starting process waits for messages of its peers before it
    /// serves.
    pub startup_wait: Millis,
    /// The timeout of a watch of the platform.
    pub watch_timeout: Millis,
    /// The interval at which a process that does not watch polls the platform.
    pub poll_interval: Millis,
    /// The backoff after the first failure. It doubles with each further failure.
    pub retry_min: Millis,
    /// The maximum backoff after failures.
    pub retry_max: Millis,
    /// The timeout of a fetch from a peer.
    pub peer_timeout: Millis,
    /// The lifetime of a peer's hint that is not repeated.
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

/// The decision on a configuration that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The configuration becomes active.
    Serve,
    /// The configuration is deferred, since peers may have a newer one. The caller
    /// keeps it until [`Step::OfferDeferred`].
    Defer,
    /// The configuration is already active.
    InForce,
    /// The configuration is older than the active one and is rejected.
    Backward,
    /// The configuration has the generation of the active one but different content,
    /// and is rejected.
    Forked,
}

/// The kind of a read of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Read {
    /// Reads the current version, which also detects a head that went backwards.
    Get,
    /// Waits for the next version.
    Watch,
}

/// The next step of the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read the platform's head and the parts that are missing.
    ReadPlatform(Read),
    /// Fetch the configuration that a peer serves.
    Fetch(DaemonName),
    /// Offer the deferred configuration again.
    OfferDeferred,
    /// Wait until the given time or the next event.
    Wait(Instant),
}

/// The generation that a peer last reported.
#[derive(Debug, Clone, Copy)]
struct Hint {
    generation: Generation,
    received_at: Instant,
    /// The earliest time of the next fetch from the peer.
    not_before: Instant,
}

/// The state of reading the platform.
#[derive(Debug, Clone, Copy)]
enum PlatformRead {
    Reading,
    Idle { not_before: Instant, read: Read },
}

/// The configuration delivery state of one process.
///
/// # Example
///
/// ```
/// use sesamehaven::delivery::{Delivery, ConfigVersion, Policy, Verdict};
/// use sesamehaven::id::{Digest, Generation};
/// use sesamehaven::unit::Instant;
///
/// let version = |n| ConfigVersion { generation: Generation(n), digest: Digest::of(b"") };
/// let mut delivery = Delivery::new("entry-1".parse()?, Policy::default(), Instant(0));
/// assert_eq!(delivery.offer(version(7), Instant(300)), Verdict::Serve);
/// assert_eq!(delivery.offer(version(6), Instant(400)), Verdict::Backward);
/// # Ok::<(), sesamehaven::Error>(())
/// ```
#[derive(Debug)]
pub struct Delivery {
    me: DaemonName,
    policy: Policy,
    started: Instant,
    in_force: Option<ConfigVersion>,
    deferred: Option<ConfigVersion>,
    is_watching: bool,
    watchers: BTreeSet<DaemonName>,
    platform: PlatformRead,
    failures: u32,
    hints: BTreeMap<DaemonName, Hint>,
    fetching: Option<(DaemonName, Instant)>,
}

impl Delivery {
    /// Creates the state of a process that starts without a configuration.
    pub fn new(me: DaemonName, policy: Policy, now: Instant) -> Self {
        Delivery {
            me,
            policy,
            started: now,
            in_force: None,
            deferred: None,
            is_watching: true,
            watchers: BTreeSet::new(),
            platform: PlatformRead::Idle {
                not_before: now,
                read: Read::Get,
            },
            failures: 0,
            hints: BTreeMap::new(),
            fetching: None,
        }
    }

    /// Returns the version that this process serves; [`None`] if it is not ready.
    pub fn in_force(&self) -> Option<ConfigVersion> {
        self.in_force
    }

    /// Returns whether this process watches the platform.
    pub fn is_watcher(&self) -> bool {
        self.is_watching
    }

    /// Sets the processes that watch the platform, as returned by
    /// [`watchers`](crate::election::watchers).
    pub fn set_watchers(&mut self, watchers: BTreeSet<DaemonName>, now: Instant) {
        self.watchers = watchers;
        self.update_watcher(now);
    }

    /// Offers a configuration whose parts are all available, and returns the decision.
    pub fn offer(&mut self, version: ConfigVersion, now: Instant) -> Verdict {
        let verdict = self.evaluate(version, now);
        match verdict {
            Verdict::Serve => {
                self.in_force = Some(version);
                self.deferred = None;
                self.hints.values_mut().for_each(|h| h.not_before = now);
            }
            Verdict::Defer
                if self
                    .deferred
                    .is_none_or(|d| d.generation < version.generation) =>
            {
                self.deferred = Some(version);
            }
            _ => {}
        }
        verdict
    }

    /// Returns the decision on a configuration without accepting it, to determine
    /// whether its parts are needed.
    pub fn evaluate(&self, version: ConfigVersion, now: Instant) -> Verdict {
        let Some(in_force) = self.in_force else {
            let startup_ended = now >= self.startup_ends_at();
            let is_behind = self
                .highest_hint(now)
                .is_some_and(|g| g > version.generation);
            return match startup_ended && !is_behind {
                true => Verdict::Serve,
                false => Verdict::Defer,
            };
        };
        if version == in_force {
            return Verdict::InForce;
        }
        match version.generation.cmp(&in_force.generation) {
            std::cmp::Ordering::Greater => Verdict::Serve,
            std::cmp::Ordering::Equal => Verdict::Forked,
            std::cmp::Ordering::Less => Verdict::Backward,
        }
    }

    /// Records the generation reported in a message of a peer.
    pub fn hint(&mut self, peer: DaemonName, generation: Generation, now: Instant) {
        let not_before = self.hints.get(&peer).map_or(now, |h| h.not_before);
        let hint = Hint {
            generation,
            received_at: now,
            not_before,
        };
        self.hints.insert(peer, hint);
    }

    /// Records that the connection to a peer was lost.
    pub fn peer_gone(&mut self, peer: &DaemonName, now: Instant) {
        self.peer_answered(peer, now);
        self.hints.remove(peer);
    }

    /// Records that a fetch from a peer finished, successfully or not.
    ///
    /// The next fetch from this peer is delayed by `peer_timeout`, since its response
    /// may have been unusable, unless a configuration is served in the meantime.
    pub fn peer_answered(&mut self, peer: &DaemonName, now: Instant) {
        if self.fetching.as_ref().is_some_and(|(p, _)| p == peer) {
            self.fetching = None;
        }
        if let Some(hint) = self.hints.get_mut(peer) {
            hint.not_before = now.after(self.policy.peer_timeout);
        }
    }

    /// Records that the platform was read, regardless of the verdict.
    pub fn platform_answered(&mut self, read: Read, now: Instant) {
        self.failures = 0;
        // A watch cannot detect a version that went backwards, so reads and watches
        // alternate.
        let (not_before, read) = match (self.is_watching, read) {
            (true, Read::Get) => (now, Read::Watch),
            (true, Read::Watch) => (now, Read::Get),
            (false, _) => (
                now.after(self.with_jitter(self.policy.poll_interval)),
                Read::Get,
            ),
        };
        self.platform = PlatformRead::Idle { not_before, read };
    }

    /// Records that the platform contains no configuration.
    pub fn platform_empty(&mut self, read: Read, now: Instant) {
        if read == Read::Watch {
            return self.platform_failed(now);
        }
        self.platform = PlatformRead::Idle {
            not_before: now,
            read: Read::Watch,
        };
    }

    /// Records that reading the platform failed.
    pub fn platform_failed(&mut self, now: Instant) {
        let factor = 1 << self.failures.min(16);
        let pause = Millis(self.policy.retry_min.0.saturating_mul(factor));
        self.failures += 1;
        self.platform = PlatformRead::Idle {
            not_before: now.after(self.with_jitter(pause.min(self.policy.retry_max))),
            read: Read::Get,
        };
    }

    /// Returns the next step and records it as in progress.
    pub fn next(&mut self, now: Instant) -> Step {
        self.expire(now);
        self.update_watcher(now);
        if let Some(deferred) = self.deferred
            && self.evaluate(deferred, now) == Verdict::Serve
        {
            self.deferred = None;
            return Step::OfferDeferred;
        }
        if let Some(peer) = self.peer_ahead(now) {
            let deadline = now.after(self.policy.peer_timeout);
            self.fetching = Some((peer.clone(), deadline));
            return Step::Fetch(peer);
        }
        if let PlatformRead::Idle { not_before, read } = self.platform
            && not_before <= now
        {
            self.platform = PlatformRead::Reading;
            return Step::ReadPlatform(read);
        }
        Step::Wait(self.next_wakeup(now))
    }

    fn startup_ends_at(&self) -> Instant {
        self.started.after(self.policy.startup_wait)
    }

    fn highest_hint(&self, now: Instant) -> Option<Generation> {
        let lifetime = self.policy.hint_lifetime;
        let current = self
            .hints
            .values()
            .filter(|h| now.since(h.received_at) <= lifetime);
        current.map(|h| h.generation).max()
    }

    fn expire(&mut self, now: Instant) {
        let lifetime = self.policy.hint_lifetime;
        self.hints
            .retain(|_, h| now.since(h.received_at) <= lifetime);
        if let Some((peer, deadline)) = self.fetching.clone()
            && deadline <= now
        {
            self.peer_answered(&peer, now);
        }
    }

    /// Starts or stops watching the platform.
    ///
    /// The process watches if it is a watcher, serves no configuration yet, or has
    /// current hints of fewer than `min_watchers` watchers.
    fn update_watcher(&mut self, now: Instant) {
        let active_watchers = self.hints.keys().filter(|n| self.watchers.contains(*n));
        let must_watch =
            self.watchers.contains(&self.me) || active_watchers.count() < self.policy.min_watchers;
        let is_watching = must_watch || self.in_force.is_none();
        if is_watching == self.is_watching {
            return;
        }
        self.is_watching = is_watching;
        if let PlatformRead::Idle { .. } = self.platform {
            let pause = match is_watching {
                true => Millis(0),
                false => self.with_jitter(self.policy.poll_interval),
            };
            self.platform = PlatformRead::Idle {
                not_before: now.after(pause),
                read: Read::Get,
            };
        }
    }

    /// Returns the peer with the highest newer generation, after the startup wait.
    fn peer_ahead(&self, now: Instant) -> Option<DaemonName> {
        if self.fetching.is_some() || (self.in_force.is_none() && now < self.startup_ends_at()) {
            return None;
        }
        let served = self.in_force.map_or(Generation(0), |v| v.generation);
        let newer = self.hints.iter();
        let newer = newer.filter(|(_, h)| h.generation > served && h.not_before <= now);
        let highest = newer.max_by_key(|(name, h)| (h.generation, rank(&self.me, name)));
        highest.map(|(name, _)| name.clone())
    }

    fn next_wakeup(&self, now: Instant) -> Instant {
        let mut wakeup = now.after(self.policy.poll_interval);
        let mut consider_wakeup = |at: Instant| {
            if at > now {
                wakeup = wakeup.min(at);
            }
        };
        if let PlatformRead::Idle { not_before, .. } = self.platform {
            consider_wakeup(not_before);
        }
        if let Some((_, deadline)) = &self.fetching {
            consider_wakeup(*deadline);
        }
        if self.in_force.is_none() {
            consider_wakeup(self.startup_ends_at());
        }
        for hint in self.hints.values() {
            consider_wakeup(hint.not_before);
            consider_wakeup(
                hint.received_at
                    .after(Millis(self.policy.hint_lifetime.0 + 1)),
            );
        }
        wakeup
    }

    /// Extends a delay by up to a quarter, by an amount that differs between processes.
    fn with_jitter(&self, pause: Millis) -> Millis {
        let quarter = pause.0 / 4 + 1;
        Millis(pause.0 + rank(&self.me, &self.me) % quarter)
    }
}
