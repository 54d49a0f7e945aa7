//! Keeps the configuration of this process up to date.
//!
//! [`Delivery`] makes the decisions; this module reads the platform, exchanges
//! configurations with peers and publishes the one in force. Peers are reached
//! through [`PeerChannels`], which the daemons connect to their links. The rules
//! are described in [`docs/CONFIGURATION.md`](../../../docs/CONFIGURATION.md).

use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use metrics::{counter, gauge};
use tokio::sync::watch;
use tokio::time;

use sesamehaven::config::Index;
use sesamehaven::delivery::{ConfigVersion, Delivery, Policy, Read, Step, Verdict};
use sesamehaven::election::watchers;
use sesamehaven::id::{DaemonName, Generation};
use sesamehaven::parts::{self, Head, Scope};
use sesamehaven::unit::{Instant, Millis};

use crate::feed_cache::{Candidate, ConfigCache, config_version_of};
use crate::feed_peer::{Assembled, Assembly};
use crate::feed_read::read_all;
use crate::platform::{self, Object, Platform, Version};

pub use crate::feed_peer::{FromPeer, PeerChannels, ToPeer};
pub use crate::feed_read::{HEAD_PATH, history_path, part_path};

/// Parameters of a configuration feed.
#[derive(Debug, Clone)]
pub struct FeedConfig {
    /// The name of this daemon.
    pub me: DaemonName,
    /// The platform that stores the configuration.
    pub platform: Platform,
    /// Polling intervals and timeouts.
    pub policy: Policy,
    /// The part of the configuration that this daemon needs; peers are sent all of
    /// it regardless.
    pub scope: Scope,
}

type PendingRead = Pin<Box<dyn Future<Output = ReadResult>>>;

/// The result of reading from the platform.
enum ReadResult {
    Head(Read, platform::Result<Option<Object>>),
    Parts(Read, Result<Candidate, &'static str>),
}

/// The task that follows the configuration.
pub struct Feed {
    cfg: FeedConfig,
    started: time::Instant,
    delivery: Delivery,
    cache: ConfigCache,
    deferred: Option<(Candidate, &'static str)>,
    assembly: Option<Assembly>,
    version: Version,
    last_rejected: Option<ConfigVersion>,
    pending_read: Option<PendingRead>,
    peers: Option<PeerChannels>,
    tx: watch::Sender<Option<Arc<Index>>>,
}

impl Feed {
    /// Follows the configuration at the platform only.
    ///
    /// The task runs on this thread's runtime until all receivers are dropped. The
    /// receivers hold [`None`] until the first configuration is in force.
    pub fn spawn(cfg: FeedConfig) -> watch::Receiver<Option<Arc<Index>>> {
        Self::start(cfg, None)
    }

    /// Follows the configuration at the platform and at peers.
    ///
    /// When the receiver changes, the links should send a ping immediately, since
    /// the generation in it makes peers fetch the configuration.
    pub fn spawn_with_peers(
        cfg: FeedConfig,
        peers: PeerChannels,
    ) -> watch::Receiver<Option<Arc<Index>>> {
        Self::start(cfg, Some(peers))
    }

    fn start(
        mut cfg: FeedConfig,
        peers: Option<PeerChannels>,
    ) -> watch::Receiver<Option<Arc<Index>>> {
        if peers.is_none() {
            cfg.policy.startup_wait = Millis(0);
        }
        let (tx, rx) = watch::channel(None);
        let feed = Feed {
            delivery: Delivery::new(cfg.me.clone(), cfg.policy, Instant(0)),
            started: time::Instant::now(),
            cfg,
            cache: ConfigCache::default(),
            deferred: None,
            assembly: None,
            version: Version::ABSENT,
            last_rejected: None,
            pending_read: None,
            peers,
            tx,
        };
        actix_rt::spawn(feed.run());
        rx
    }

    fn now(&self) -> Instant {
        let millis = self.started.elapsed().as_millis();
        Instant(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    async fn run(mut self) {
        while !self.tx.is_closed() {
            let step = self.delivery.next(self.now());
            gauge!("config_watcher").set(f64::from(u8::from(self.delivery.is_watcher())));
            match step {
                Step::ReadPlatform(read) => self.read_head(read),
                Step::Fetch(peer) => self.fetch_from(peer),
                Step::OfferDeferred => {
                    if let Some((candidate, source)) = self.deferred.take() {
                        self.offer(candidate, source);
                    }
                }
                Step::Wait(until) => self.wait(until).await,
            }
        }
    }

    async fn wait(&mut self, until: Instant) {
        let until = self.started + Millis(until.0).duration();
        let tx = self.tx.clone();
        tokio::select! {
            result = read_finished(&mut self.pending_read) => self.on_read(result),
            message = next_peer_message(&mut self.peers) => self.on_peer_message(message),
            () = time::sleep_until(until) => {}
            () = tx.closed() => {}
        }
    }

    fn read_head(&mut self, read: Read) {
        let platform = self.cfg.platform.clone();
        let (version, wait) = (self.version, self.cfg.policy.watch_timeout);
        self.pending_read = Some(Box::pin(async move {
            let object = match read {
                Read::Get => platform.get(HEAD_PATH).await,
                Read::Watch => platform.watch(HEAD_PATH, version, wait).await,
            };
            ReadResult::Head(read, object)
        }));
    }

    fn on_read(&mut self, result: ReadResult) {
        let now = self.now();
        match result {
            ReadResult::Head(read, Ok(Some(object))) => self.read_parts(read, object),
            // An expired watch does not show whether a head exists.
            ReadResult::Head(read, Ok(None)) if self.version != Version::ABSENT => {
                self.delivery.platform_answered(read, now);
            }
            ReadResult::Head(read, Ok(None)) => self.delivery.platform_empty(read, now),
            ReadResult::Head(_, Err(_)) => self.delivery.platform_failed(now),
            ReadResult::Parts(read, Ok(candidate)) => {
                self.delivery.platform_answered(read, now);
                self.offer(candidate, "platform");
            }
            ReadResult::Parts(_, Err(reason)) => {
                count_refusal(reason);
                self.delivery.platform_failed(now);
            }
        }
    }

    /// Checks a head from the platform and reads its missing parts.
    fn read_parts(&mut self, read: Read, object: Object) {
        let now = self.now();
        self.version = object.version;
        let Ok(head) = Head::from_slice(&object.value) else {
            count_refusal("malformed_head");
            return self.delivery.platform_failed(now);
        };
        let verdict = self.delivery.evaluate(config_version_of(&head), now);
        if !matches!(verdict, Verdict::Serve | Verdict::Defer) {
            self.report_rejected(verdict, config_version_of(&head), "platform");
            return self.delivery.platform_answered(read, now);
        }
        let deferred = self.deferred.as_ref().map(|(c, _)| c.config_version());
        if deferred == Some(config_version_of(&head)) {
            return self.delivery.platform_answered(read, now);
        }
        let cached = head.parts.iter().map(|d| (*d, self.cache.part(d).cloned()));
        let wanted: Vec<_> = cached.collect();
        let platform = self.cfg.platform.clone();
        let raw = object.value;
        self.pending_read = Some(Box::pin(async move {
            let parts = read_all(&platform, wanted).await;
            ReadResult::Parts(read, parts.map(|parts| Candidate { head, raw, parts }))
        }));
    }

    fn fetch_from(&mut self, peer: DaemonName) {
        let served = self.delivery.in_force();
        let generation = served.map_or(Generation(0), |m| m.generation);
        self.assembly = None;
        counter!("config_peer_fetches_total").increment(1);
        self.send(ToPeer::FetchConfig { peer, generation });
    }

    fn send(&self, message: ToPeer) {
        let Some(peers) = &self.peers else {
            return;
        };
        if peers.tx.try_send(message).is_err() {
            counter!("config_peer_messages_dropped_total").increment(1);
        }
    }

    fn on_peer_message(&mut self, message: Option<FromPeer>) {
        let now = self.now();
        match message {
            None => {
                self.peers = None;
            }
            Some(FromPeer::Generation { peer, generation }) => {
                self.delivery.hint(peer, generation, now);
            }
            Some(FromPeer::Disconnected { peer }) => {
                self.delivery.peer_gone(&peer, now);
            }
            Some(FromPeer::FetchConfig { peer, generation }) => self.answer_peer(&peer, generation),
            Some(FromPeer::Config { peer, head, parts }) => self.assemble(&peer, head, parts),
        }
    }

    fn answer_peer(&self, peer: &DaemonName, generation: Generation) {
        counter!("config_peer_answers_total").increment(1);
        for answer in self.cache.answers(generation) {
            self.send(ToPeer::Config {
                peer: peer.clone(),
                head: answer.head,
                parts: answer.parts,
            });
        }
    }

    /// Adds parts received from a peer, and offers the configuration once it is
    /// complete.
    fn assemble(&mut self, peer: &DaemonName, raw: Bytes, parts: Vec<Bytes>) {
        let now = self.now();
        let Ok(head) = Head::from_slice(&raw) else {
            count_refusal("malformed_head");
            return self.delivery.peer_answered(peer, now);
        };
        let config_version = config_version_of(&head);
        let verdict = self.delivery.evaluate(config_version, now);
        if !matches!(verdict, Verdict::Serve | Verdict::Defer) {
            self.report_rejected(verdict, config_version, "peer");
            return self.delivery.peer_answered(peer, now);
        }
        let assembly = match &mut self.assembly {
            Some(assembly) if assembly.config_version() == config_version => assembly,
            other => other.insert(Assembly::new(head, raw)),
        };
        match assembly.add(parts, &self.cache) {
            Assembled::Waiting => {}
            Assembled::UnexpectedPart => {
                count_refusal("digest_mismatch");
                self.assembly = None;
                self.delivery.peer_answered(peer, now);
            }
            Assembled::Complete(candidate) => {
                self.assembly = None;
                self.delivery.peer_answered(peer, now);
                self.offer(candidate, "peer");
            }
        }
    }

    fn offer(&mut self, candidate: Candidate, source: &'static str) {
        let now = self.now();
        let config_version = candidate.config_version();
        if !matches!(
            self.delivery.evaluate(config_version, now),
            Verdict::Serve | Verdict::Defer
        ) {
            let verdict = self.delivery.offer(config_version, now);
            return self.report_rejected(verdict, config_version, source);
        }
        let parts = candidate.parts.iter().map(Bytes::as_ref);
        let index = match parts::index(&candidate.head, self.cfg.scope, parts) {
            Ok(index) => index,
            Err(err) => {
                spdlog::error!(
                    "cannot parse configuration {config_version} from {source}, ignoring it: {err}"
                );
                return count_refusal("malformed_part");
            }
        };
        match self.delivery.offer(config_version, now) {
            Verdict::Serve => self.serve(candidate, index, source),
            Verdict::Defer => self.defer(candidate, source),
            verdict => self.report_rejected(verdict, config_version, source),
        }
    }

    fn defer(&mut self, candidate: Candidate, source: &'static str) {
        let best = self.deferred.as_ref().map(|(c, _)| c.head.generation);
        if best.is_none_or(|g| g < candidate.head.generation) {
            self.deferred = Some((candidate, source));
        }
    }

    fn serve(&mut self, candidate: Candidate, index: Arc<Index>, source: &'static str) {
        let Head {
            generation, author, ..
        } = &candidate.head;
        spdlog::info!("configuration {generation} by {author} in force, received from {source}");
        counter!("config_changes_total", "source" => source).increment(1);
        gauge!("config_generation").set(generation.0 as f64);
        self.deferred = None;
        self.cache.replace(candidate);
        self.delivery.set_watchers(watchers(&index), self.now());
        self.tx.send_replace(Some(index));
    }

    fn report_rejected(
        &mut self,
        verdict: Verdict,
        config_version: ConfigVersion,
        source: &'static str,
    ) {
        let (reason, explanation) = match verdict {
            Verdict::Backward if source == "platform" => {
                ("backward", "is older than the one in force")
            }
            Verdict::Forked => (
                "forked",
                "has the generation of the one in force but different content",
            ),
            _ => return,
        };
        count_refusal(reason);
        if self.last_rejected.replace(config_version) != Some(config_version) {
            let served = self.delivery.in_force();
            let served = served.map_or(Generation(0), |m| m.generation);
            spdlog::error!(
                "{source} offers configuration {config_version}, which {explanation}; \
                 apply a generation above {served}"
            );
        }
    }
}

/// Waits for the pending read, or forever if there is none.
async fn read_finished(pending_read: &mut Option<PendingRead>) -> ReadResult {
    let Some(future) = pending_read else {
        return std::future::pending().await;
    };
    let done = future.await;
    *pending_read = None;
    done
}

/// Waits for a message from peers, or forever if there are no peers.
async fn next_peer_message(peers: &mut Option<PeerChannels>) -> Option<FromPeer> {
    match peers {
        Some(peers) => peers.rx.recv().await,
        None => std::future::pending().await,
    }
}

fn count_refusal(reason: &'static str) {
    counter!("config_refusals_total", "reason" => reason).increment(1);
}
