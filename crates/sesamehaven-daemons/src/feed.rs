//! Keeps the configuration of this process up to date.
//!
//! [`Delivery`] decides; this module reads the platform, speaks to peers and
//! publishes what is in force. Peers are reached through [`Peers`], which the
//! daemons join to their links. The rules are described in
//! [`docs/CONFIGURATION.md`](../../../docs/CONFIGURATION.md).

use std::collections::{HashMap, HashSet};
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt};
use metrics::{counter, gauge};
use tokio::sync::{mpsc, watch};
use tokio::time;

use sesamehaven::config::Index;
use sesamehaven::delivery::{Delivery, Mark, Policy, Read, Step, Verdict, watchers};
use sesamehaven::id::{DaemonName, Digest, Generation};
use sesamehaven::parts::{self, Head};
use sesamehaven::unit::{Instant, Millis};

use crate::feed_shelf::{Candidate, Shelf, mark_of};
use crate::platform::{self, Object, Platform, Version};

/// The path of the head object.
pub const HEAD_PATH: &str = "config/head";

/// How many parts are read from the platform at once.
const PARALLEL_READS: usize = 32;

/// How a process follows the configuration.
#[derive(Debug, Clone)]
pub struct FeedConfig {
    /// The name of this daemon.
    pub me: DaemonName,
    /// Where the configuration is kept.
    pub platform: Platform,
    /// How eagerly to look for a new one.
    pub policy: Policy,
}

/// What the links tell the feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FromPeer {
    /// A message of any kind carried the generation that the peer serves.
    Generation {
        /// Who sent it.
        peer: DaemonName,
        /// What it serves.
        generation: Generation,
    },
    /// The peer asks for the configuration.
    Asked {
        /// Who asks.
        peer: DaemonName,
        /// What it serves, zero for nothing.
        generation: Generation,
    },
    /// The peer sent a configuration, or a share of its parts.
    Config {
        /// Who sent it.
        peer: DaemonName,
        /// The head, as it is stored.
        head: Bytes,
        /// Some of its parts.
        parts: Vec<Bytes>,
    },
    /// The last link to the peer is gone.
    Gone {
        /// Who is gone.
        peer: DaemonName,
    },
}

/// What the feed asks the links to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ToPeer {
    /// Ask the peer for its configuration.
    Ask {
        /// Whom to ask.
        peer: DaemonName,
        /// What this process serves, zero for nothing.
        generation: Generation,
    },
    /// Send the peer a configuration, or a share of its parts.
    Config {
        /// Who asked.
        peer: DaemonName,
        /// The head, as it is stored.
        head: Bytes,
        /// Some of its parts.
        parts: Vec<Bytes>,
    },
}

/// The two ends that join the feed to the links.
#[derive(Debug)]
pub struct Peers {
    /// What the links tell.
    pub rx: mpsc::Receiver<FromPeer>,
    /// What the links are to send; messages are dropped when it is full.
    pub tx: mpsc::Sender<ToPeer>,
}

type Reading = Pin<Box<dyn Future<Output = Done>>>;

/// What came of reading the platform.
enum Done {
    Head(Read, platform::Result<Option<Object>>),
    Parts(Read, Result<Candidate, &'static str>),
}

/// Parts of a peer's configuration, as long as they are not complete.
struct Assembly {
    mark: Mark,
    parts: HashMap<Digest, Bytes>,
}

/// The task that follows the configuration.
pub struct Feed {
    cfg: FeedConfig,
    started: time::Instant,
    delivery: Delivery,
    shelf: Shelf,
    held: Option<Candidate>,
    assembly: Option<Assembly>,
    version: Version,
    alarmed: Option<Mark>,
    lost: HashSet<DaemonName>,
    reading: Option<Reading>,
    peers: Option<Peers>,
    tx: watch::Sender<Option<Arc<Index>>>,
}

impl Feed {
    /// Follows the configuration in the platform alone.
    ///
    /// The task runs on the runtime of this thread until all receivers are
    /// gone. They hold [`None`] until the first configuration is in force.
    pub fn spawn(cfg: FeedConfig) -> watch::Receiver<Option<Arc<Index>>> {
        Self::start(cfg, None)
    }

    /// Follows the configuration in the platform and among peers.
    ///
    /// When the receiver changes, the links should send a ping at once, since
    /// its generation is what brings the peers along.
    pub fn spawn_with_peers(cfg: FeedConfig, peers: Peers) -> watch::Receiver<Option<Arc<Index>>> {
        Self::start(cfg, Some(peers))
    }

    fn start(mut cfg: FeedConfig, peers: Option<Peers>) -> watch::Receiver<Option<Arc<Index>>> {
        if peers.is_none() {
            cfg.policy.settle = Millis(0);
        }
        let (tx, rx) = watch::channel(None);
        let feed = Feed {
            delivery: Delivery::new(cfg.me.clone(), cfg.policy, Instant(0)),
            started: time::Instant::now(),
            cfg,
            shelf: Shelf::default(),
            held: None,
            assembly: None,
            version: Version::ABSENT,
            alarmed: None,
            lost: HashSet::new(),
            reading: None,
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
            match self.delivery.next(self.now()) {
                Step::ReadPlatform(read) => self.read_head(read),
                Step::Fetch(peer) => self.ask(peer),
                Step::OfferHeld => {
                    if let Some(candidate) = self.held.take() {
                        self.offer(candidate, "held");
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
            done = finish(&mut self.reading) => self.done(done),
            heard = hear(&mut self.peers) => self.heard(heard),
            () = time::sleep_until(until) => {}
            () = tx.closed() => {}
        }
    }

    fn read_head(&mut self, read: Read) {
        let platform = self.cfg.platform.clone();
        let (version, wait) = (self.version, self.cfg.policy.watch);
        self.reading = Some(Box::pin(async move {
            let object = match read {
                Read::Get => platform.get(HEAD_PATH).await,
                Read::Watch => platform.watch(HEAD_PATH, version, wait).await,
            };
            Done::Head(read, object)
        }));
    }

    fn done(&mut self, done: Done) {
        let now = self.now();
        match done {
            Done::Head(read, Ok(Some(object))) => self.read_parts(read, object),
            // A watch that has expired says nothing about whether there is a head.
            Done::Head(read, Ok(None)) if self.version != Version::ABSENT => {
                self.delivery.platform_answered(read, now);
            }
            Done::Head(read, Ok(None)) => self.delivery.platform_empty(read, now),
            Done::Head(_, Err(_)) => self.delivery.platform_failed(now),
            Done::Parts(read, Ok(candidate)) => {
                self.delivery.platform_answered(read, now);
                self.offer(candidate, "platform");
            }
            Done::Parts(_, Err(reason)) => {
                refuse(reason);
                self.delivery.platform_failed(now);
            }
        }
    }

    /// Judges a head of the platform and reads the parts that are missing.
    fn read_parts(&mut self, read: Read, object: Object) {
        let now = self.now();
        self.version = object.version;
        let Ok(head) = Head::from_slice(&object.value) else {
            refuse("malformed_head");
            return self.delivery.platform_failed(now);
        };
        let verdict = self.delivery.judge(mark_of(&head), now);
        if !matches!(verdict, Verdict::Serve | Verdict::Hold) {
            self.alarm(verdict, mark_of(&head), "platform");
            return self.delivery.platform_answered(read, now);
        }
        let held = self.held.as_ref().map(Candidate::mark);
        if held == Some(mark_of(&head)) {
            return self.delivery.platform_answered(read, now);
        }
        let in_hand = head.parts.iter().map(|d| (*d, self.shelf.part(d).cloned()));
        let wanted: Vec<_> = in_hand.collect();
        let platform = self.cfg.platform.clone();
        let raw = object.value;
        self.reading = Some(Box::pin(async move {
            let parts = read_all(&platform, wanted).await;
            Done::Parts(read, parts.map(|parts| Candidate { head, raw, parts }))
        }));
    }

    fn ask(&mut self, peer: DaemonName) {
        let served = self.delivery.in_force();
        let generation = served.map_or(Generation(0), |m| m.generation);
        self.assembly = None;
        counter!("config_peer_fetches_total").increment(1);
        self.send(ToPeer::Ask { peer, generation });
    }

    fn send(&self, message: ToPeer) {
        let Some(peers) = &self.peers else {
            return;
        };
        if peers.tx.try_send(message).is_err() {
            counter!("config_peer_messages_dropped_total").increment(1);
        }
    }

    fn heard(&mut self, heard: Option<FromPeer>) {
        let now = self.now();
        match heard {
            None => {
                self.peers = None;
                self.elect();
            }
            Some(FromPeer::Generation { peer, generation }) => {
                if self.lost.remove(&peer) {
                    self.elect();
                }
                self.delivery.hint(peer, generation, now);
            }
            Some(FromPeer::Gone { peer }) => {
                self.delivery.peer_gone(&peer, now);
                self.lost.insert(peer);
                self.elect();
            }
            Some(FromPeer::Asked { peer, generation }) => self.answer(&peer, generation),
            Some(FromPeer::Config { peer, head, parts }) => self.assemble(&peer, head, parts),
        }
    }

    fn answer(&self, peer: &DaemonName, generation: Generation) {
        counter!("config_peer_answers_total").increment(1);
        for answer in self.shelf.answers(generation) {
            self.send(ToPeer::Config {
                peer: peer.clone(),
                head: answer.head,
                parts: answer.parts,
            });
        }
    }

    /// Adds the parts that a peer sent, and takes the configuration when it is complete.
    fn assemble(&mut self, peer: &DaemonName, raw: Bytes, parts: Vec<Bytes>) {
        let now = self.now();
        let Ok(head) = Head::from_slice(&raw) else {
            refuse("malformed_head");
            return self.delivery.peer_failed(peer, now);
        };
        let mark = mark_of(&head);
        let verdict = self.delivery.judge(mark, now);
        if !matches!(verdict, Verdict::Serve | Verdict::Hold) {
            self.alarm(verdict, mark, "peer");
            return self.delivery.peer_answered(peer);
        }
        let assembly = match &mut self.assembly {
            Some(assembly) if assembly.mark == mark => assembly,
            other => other.insert(Assembly {
                mark,
                parts: HashMap::new(),
            }),
        };
        for bytes in parts {
            let digest = Digest::of(&bytes);
            if !head.parts.contains(&digest) {
                refuse("digest_mismatch");
                self.assembly = None;
                return self.delivery.peer_failed(peer, now);
            }
            assembly.parts.insert(digest, bytes);
        }
        let find = |d| assembly.parts.get(d).or_else(|| self.shelf.part(d));
        let found: Option<Vec<Bytes>> = head.parts.iter().map(|d| find(d).cloned()).collect();
        let Some(parts) = found else {
            return;
        };
        self.assembly = None;
        self.delivery.peer_answered(peer);
        self.offer(Candidate { head, raw, parts }, "peer");
    }

    fn offer(&mut self, candidate: Candidate, source: &'static str) {
        let now = self.now();
        let mark = candidate.mark();
        if !matches!(
            self.delivery.judge(mark, now),
            Verdict::Serve | Verdict::Hold
        ) {
            let verdict = self.delivery.offer(mark, now);
            return self.alarm(verdict, mark, source);
        }
        let parts = candidate.parts.iter().map(Bytes::as_ref);
        let index = match parts::index(&candidate.head, parts) {
            Ok(index) => index,
            Err(err) => {
                spdlog::error!("configuration {mark} cannot be read: {err}");
                return refuse("malformed_part");
            }
        };
        match self.delivery.offer(mark, now) {
            Verdict::Serve => self.serve(candidate, index, source),
            Verdict::Hold => self.hold(candidate),
            verdict => self.alarm(verdict, mark, source),
        }
    }

    fn hold(&mut self, candidate: Candidate) {
        let best = self.held.as_ref().map(|c| c.head.generation);
        if best.is_none_or(|g| g < candidate.head.generation) {
            self.held = Some(candidate);
        }
    }

    fn serve(&mut self, candidate: Candidate, index: Arc<Index>, source: &'static str) {
        let Head {
            generation, author, ..
        } = &candidate.head;
        spdlog::info!("configuration {generation} by {author} is in force, from {source}");
        counter!("config_changes_total", "source" => source).increment(1);
        gauge!("config_generation").set(generation.0 as f64);
        self.held = None;
        self.shelf.replace(candidate);
        self.tx.send_replace(Some(index));
        self.elect();
    }

    /// Works out whether this process watches the platform for its data centre.
    fn elect(&mut self) {
        let watcher = {
            let index = self.tx.borrow();
            let Some(index) = index.as_ref() else {
                return;
            };
            let is_lost = |name: &DaemonName| self.lost.contains(name);
            let elected = watchers(index, &self.cfg.me, self.cfg.policy.watchers, is_lost);
            self.peers.is_none() || elected.is_empty() || elected.contains(&&self.cfg.me)
        };
        gauge!("config_watcher").set(f64::from(u8::from(watcher)));
        self.delivery.set_watcher(watcher, self.now());
    }

    fn alarm(&mut self, verdict: Verdict, mark: Mark, source: &'static str) {
        let reason = match verdict {
            Verdict::Backward if source == "platform" => "backward",
            Verdict::Forked => "forked",
            _ => return,
        };
        refuse(reason);
        if self.alarmed.replace(mark) != Some(mark) {
            let served = self.delivery.in_force();
            let served = served.map_or(Generation(0), |m| m.generation);
            spdlog::error!(
                "the {source} offers configuration {mark}, which is {reason} of {served} in force; \
                 apply one above {served}"
            );
        }
    }
}

/// Waits for the platform, for ever when nothing is being read.
async fn finish(reading: &mut Option<Reading>) -> Done {
    let Some(future) = reading else {
        return std::future::pending().await;
    };
    let done = future.await;
    *reading = None;
    done
}

/// Waits for a message of the links, for ever when there are none.
async fn hear(peers: &mut Option<Peers>) -> Option<FromPeer> {
    match peers {
        Some(peers) => peers.rx.recv().await,
        None => std::future::pending().await,
    }
}

/// Reads the parts that are not in hand, several at once.
async fn read_all(
    platform: &Platform,
    wanted: Vec<(Digest, Option<Bytes>)>,
) -> Result<Vec<Bytes>, &'static str> {
    let reads = wanted.into_iter().map(|(digest, bytes)| async move {
        match bytes {
            Some(bytes) => Ok(bytes),
            None => read_part(platform, digest).await,
        }
    });
    let reads = futures_util::stream::iter(reads).buffered(PARALLEL_READS);
    reads.try_collect().await
}

async fn read_part(platform: &Platform, digest: Digest) -> Result<Bytes, &'static str> {
    let read = platform.get(&part_path(digest)).await;
    let object = read.map_err(|_| "part_unread")?.ok_or("part_missing")?;
    match parts::verify(digest, &object.value) {
        Ok(()) => Ok(object.value),
        Err(_) => Err("digest_mismatch"),
    }
}

/// Returns the path of a part.
pub fn part_path(digest: Digest) -> String {
    format!("config/parts/{digest}")
}

/// Returns the path under which the head of a generation is kept.
pub fn history_path(generation: Generation) -> String {
    format!("config/history/{generation}")
}

fn refuse(reason: &'static str) {
    counter!("config_refusals_total", "reason" => reason).increment(1);
}
