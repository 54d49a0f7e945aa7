//! What the fronts of a deployment tell each other.
//!
//! A digest goes to every other front by UDP several times a second: requests
//! in flight at each endpoint, what was drawn on each limit, the version of the
//! configuration and its age. It carries totals, so that a lost one is made
//! good by the next. A front that falls behind asks another one over TCP; the
//! age of the answer counts from the sending of the question. See
//! [`docs/FRONT.md`](../../../docs/FRONT.md#what-fronts-tell-each-other).

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use sesamehaven::digest::hash_of;
use sesamehaven::quarantine::Notice;
use sesamehaven::shared_limit::{PeerId, PeerTracker};
use sesamehaven::unit::{Instant, Millis};

use crate::dialect::Listing;
use crate::spending::Drawn;

/// The version of the messages; others are dropped.
const VERSION: u8 = 2;
/// The longest digest, which common networks carry whole, in bytes.
pub(crate) const DIGEST_MAX_BYTES: usize = 8 << 10;
/// How long a front counts as known after its last digest.
const PEER_KEPT: Millis = Millis(15_000);
/// How long what another front runs is believed after its last digest.
const RUNNING_KEPT: Millis = Millis(1_500);
/// How long after its last digest a front counts as in touch.
const IN_TOUCH: Millis = Millis(1_000);
/// How long a question to another front may take.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);
/// The longest answer to a question, in bytes.
const ANSWER_MAX_BYTES: u32 = 8 << 20;
/// The most fronts that a digest names.
const NAMED_MAX: usize = 24;

/// What a front runs, and what waits there.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The requests in flight, by the hash of the endpoint.
    pub running: Vec<(u32, u32)>,
    /// The requests that wait for a place, by the hash of the pool.
    pub waiting: Vec<(u32, u32)>,
}

/// The loads of several fronts, summed up.
#[derive(Debug, Default)]
pub struct Loads {
    /// The fronts.
    pub fronts: usize,
    /// The requests in flight, by the hash of the endpoint.
    pub running: HashMap<u32, u32>,
    /// The requests that wait for a place, by the hash of the pool.
    pub waiting: HashMap<u32, u32>,
}

impl Loads {
    fn add(&mut self, load: &Load) {
        self.fronts += 1;
        for (endpoint, n) in &load.running {
            *self.running.entry(*endpoint).or_insert(0) += n;
        }
        for (pool, n) in &load.waiting {
            *self.waiting.entry(*pool).or_insert(0) += n;
        }
    }
}

/// What one front tells the others, several times a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    version: u8,
    /// The incarnation of the front.
    pub from: PeerId,
    /// Grows with each digest.
    pub seq: u64,
    /// How many fronts it hears, with itself.
    pub hears: u32,
    /// Whether the front is about to leave.
    pub leaving: bool,
    /// The version of its configuration.
    pub config: u64,
    /// How long ago its configuration was the newest.
    pub config_age: u64,
    /// A number that changes with the endpoints that it knows.
    pub listing: u64,
    /// How long ago these were listed.
    pub listing_age: u64,
    /// What it runs, and what waits there.
    pub load: Load,
    /// Whether the parts that change slowly are there: what was drawn, notices and peers.
    pub is_full: bool,
    /// What was drawn on the limits of organisations.
    pub drawn: Vec<Drawn>,
    /// What is held against requests that crash endpoints.
    pub notices: Vec<Notice>,
    /// Addresses of other fronts.
    pub peers: Vec<SocketAddr>,
}

#[derive(Debug)]
struct Peer {
    id: PeerId,
    seq: u64,
    heard: Instant,
    load: Load,
    config: u64,
    config_age: Millis,
    listing: u64,
    listing_age: Millis,
}

/// The other fronts, as of their last digests.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddr,
    id: PeerId,
    seq: u64,
    seeds: Vec<IpAddr>,
    peers: HashMap<SocketAddr, Peer>,
    /// Which of them were heard of lately.
    pub hearing: PeerTracker,
}

impl Peers {
    /// Builds the view of a front that knows only its seeds.
    pub fn new(own: SocketAddr, incarnation: u64, seeds: Vec<IpAddr>) -> Self {
        let mut peers = Peers {
            own,
            id: hash_of(format!("{own}/{incarnation}")),
            seq: 0,
            seeds: Vec::new(),
            peers: HashMap::new(),
            hearing: PeerTracker::default(),
        };
        peers.set_seeds(seeds);
        peers
    }

    /// Takes over changed seeds.
    pub fn set_seeds(&mut self, mut seeds: Vec<IpAddr>) {
        seeds.retain(|ip| *ip != self.own.ip());
        self.hearing.set_expected_peers(seeds.len());
        self.seeds = seeds;
    }

    /// Starts the next digest, with the parts that this view holds.
    pub fn digest(&mut self, now: Instant) -> Digest {
        self.peers.retain(|_, p| now.since(p.heard) <= PEER_KEPT);
        self.seq += 1;
        Digest {
            version: VERSION,
            from: self.id,
            seq: self.seq,
            hears: self.hearing.live_processes(now) as u32,
            leaving: false,
            config: 0,
            config_age: 0,
            listing: 0,
            listing_age: 0,
            load: Load::default(),
            is_full: false,
            drawn: Vec::new(),
            notices: Vec::new(),
            peers: self.peers.keys().take(NAMED_MAX).copied().collect(),
        }
    }

    /// Lists where digests go: to the fronts that are known, and to seeds that are not yet.
    pub fn targets(&self) -> Vec<SocketAddr> {
        let seeds = self
            .seeds
            .iter()
            .map(|ip| SocketAddr::new(*ip, self.own.port()));
        let unknown = seeds.filter(|a| !self.peers.contains_key(a));
        self.peers.keys().copied().chain(unknown).collect()
    }

    /// Takes in a digest; returns whether it is news.
    pub fn on_digest(&mut self, from: SocketAddr, digest: &Digest, now: Instant) -> bool {
        if digest.version != VERSION || digest.from == self.id || from == self.own {
            return false;
        }
        if digest.leaving {
            self.peers.remove(&from);
            self.hearing.on_leave(digest.from);
            return true;
        }
        if let Some(known) = self.peers.get(&from) {
            let is_old = known.id == digest.from && known.seq >= digest.seq;
            if is_old {
                return false;
            }
            if known.id != digest.from {
                self.hearing.on_leave(known.id);
            }
        }
        self.hearing
            .on_message(digest.from, digest.hears as usize, now);
        let peer = Peer {
            id: digest.from,
            seq: digest.seq,
            heard: now,
            load: digest.load.clone(),
            config: digest.config,
            config_age: Millis(digest.config_age),
            listing: digest.listing,
            listing_age: Millis(digest.listing_age),
        };
        self.peers.insert(from, peer);
        true
    }

    /// Lists the fronts that a digest names and that are not known yet.
    pub fn strangers(&self, digest: &Digest) -> Vec<SocketAddr> {
        let named = digest.peers.iter().copied();
        named
            .filter(|a| *a != self.own && !self.peers.contains_key(a))
            .collect()
    }

    fn heard(&self, span: Millis, now: Instant) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        self.peers
            .iter()
            .filter(move |(_, p)| now.since(p.heard) <= span)
    }

    /// Returns how many fronts in touch come before this one.
    ///
    /// What only a few fronts need to do is done by the first ones.
    pub fn rank(&self, now: Instant) -> usize {
        let heard = self.heard(IN_TOUCH, now);
        heard.filter(|(address, _)| **address < self.own).count()
    }

    /// Sums up what the other fronts run, and what waits there.
    pub fn loads(&self, now: Instant) -> Loads {
        let mut loads = Loads::default();
        let live = self.heard(RUNNING_KEPT, now);
        live.for_each(|(_, p)| loads.add(&p.load));
        loads
    }

    /// Finds the front that knows of a newer configuration or of other endpoints, or both more freshly.
    pub fn better_informed(&self, known: &Known, now: Instant) -> Option<SocketAddr> {
        let live = self.heard(RUNNING_KEPT, now);
        let gain = |p: &Peer| {
            let since = now.since(p.heard).0;
            let config = known.config_age.0.saturating_sub(p.config_age.0 + since);
            let listing = known.listing_age.0.saturating_sub(p.listing_age.0 + since);
            let is_news = p.config > known.config || (p.listing != known.listing && listing > 0);
            match is_news {
                true => u64::MAX,
                false if p.config < known.config => 0,
                false => config.max(listing),
            }
        };
        let (gain, address) = live
            .map(|(a, p)| (gain(p), *a))
            .max_by_key(|(gain, _)| *gain)?;
        (gain > ASK_GAIN.0).then_some(address)
    }
}

/// How much fresher another front's word must be to be worth a question.
const ASK_GAIN: Millis = Millis(300);

/// What a front knows of the directory, and how old that is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Known {
    /// The version of the configuration.
    pub config: u64,
    /// How long ago it was the newest.
    pub config_age: Millis,
    /// The number of the listing of endpoints.
    pub listing: u64,
    /// How long ago it was listed.
    pub listing_age: Millis,
}

/// The answer to a question about the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The version in force at the front that answers.
    pub version: u64,
    /// How long ago that was the newest.
    pub age: u64,
    /// The configuration, when the one who asks has another version.
    pub config: Option<Bytes>,
    /// How long ago the endpoints were listed.
    pub listing_age: u64,
    /// The number of the listing.
    pub listing: u64,
    /// The endpoints, when the one who asks knows others.
    pub endpoints: Option<Listing>,
}

/// Asks another front for what it knows better, naming what is known.
///
/// # Errors
///
/// Fails when the front does not answer in time, or not in the protocol.
pub async fn ask(peer: SocketAddr, known: &Known) -> io::Result<Told> {
    let exchange = async {
        let mut io = TcpStream::connect(peer).await?;
        io.write_u64(known.config).await?;
        io.write_u64(known.listing).await?;
        let len = io.read_u32().await?;
        if len > ANSWER_MAX_BYTES {
            return Err(io::Error::from(io::ErrorKind::InvalidData));
        }
        let mut buf = vec![0; len as usize];
        io.read_exact(&mut buf).await?;
        postcard::from_bytes(&buf).map_err(io::Error::other)
    };
    let answered = tokio::time::timeout(ASK_TIMEOUT, exchange).await;
    answered.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Answers the question of another front.
///
/// # Errors
///
/// Fails when the other end does not ask in time or leaves.
pub async fn answer(mut io: TcpStream, told: impl Fn(u64, u64) -> Told) -> io::Result<()> {
    let exchange = async {
        let version = io.read_u64().await?;
        let listing = io.read_u64().await?;
        let buf = postcard::to_stdvec(&told(version, listing)).map_err(io::Error::other)?;
        let len = u32::try_from(buf.len()).map_err(io::Error::other)?;
        io.write_u32(len).await?;
        io.write_all(&buf).await?;
        io.shutdown().await
    };
    let answered = tokio::time::timeout(ASK_TIMEOUT, exchange).await;
    answered.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Encodes a digest; parts that would make it too long are left out.
pub fn encode(digest: &mut Digest) -> postcard::Result<Vec<u8>> {
    let whole = postcard::to_stdvec(digest)?;
    if whole.len() <= DIGEST_MAX_BYTES {
        return Ok(whole);
    }
    digest.notices.clear();
    digest.peers.clear();
    postcard::to_stdvec(digest)
}
