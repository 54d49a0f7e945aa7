//! Membership and state exchange between the fronts of a deployment.
//!
//! Each front sends a digest to every other front by UDP several times a second: the requests in
//! flight at each endpoint, the usage of each limit, the version of the configuration and its age.
//! Digests carry totals, so that the next one makes up for a lost one. A front that lags behind
//! fetches the state of another one over TCP; the age of the response counts from the time at which
//! the request was sent. See [`docs/FRONT.md`](../../../docs/FRONT.md#what-fronts-tell-each-other).

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use smol_str::SmolStr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use sesamehaven::digest::{hash_of, short_hash};
use sesamehaven::endpoint_limits::LimitNotice;
use sesamehaven::part_quarantine::PartNotice;
use sesamehaven::quarantine::Notice;
use sesamehaven::restore::{Era, Report};
use sesamehaven::retry_detector::RefusalReport;
use sesamehaven::rollout::RolloutReport;
use sesamehaven::shared_limit::{PeerId, PeerTracker};
use sesamehaven::unit::{Instant, Millis};

use crate::load::{Load, Loads};
use crate::protocol::Listing;
use crate::shared_limits::Usage;

/// The version of the digest format; digests of other versions are dropped.
const DIGEST_VERSION: u8 = 7;
/// The maximum size of a digest in bytes, which common networks deliver as one datagram.
pub(crate) const DIGEST_MAX_BYTES: usize = 8 << 10;
/// How long a front is retained as a peer after its last digest.
const PEER_RETENTION: Millis = Millis(15_000);
/// The maximum age of a peer's digest for its load and directory state to be used.
const REPORT_MAX_AGE: Millis = Millis(1_500);
/// How long after its last digest a front counts as live.
const LIVENESS_TIMEOUT: Millis = Millis(1_000);
/// The timeout of a state exchange with a peer.
const STATE_EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);
/// The maximum size of a state response, in bytes.
const STATE_MAX_BYTES: u32 = 8 << 20;
/// The number of fronts in the same data centre that remember the origins of a front's streams.
const NEAR_KEEPERS: usize = 3;
/// The number of fronts in other data centres that do.
const FAR_KEEPERS: usize = 2;
/// The maximum number of peers listed in a digest.
const DIGEST_MAX_PEERS: usize = 24;

/// Whether another front is in the data centre of this one.
///
/// Links inside a data centre are fast and not charged, so near fronts hear from each other more
/// often than from the rest of a large fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proximity {
    /// It is in the same data centre.
    Near,
    /// It is in another data centre, or its data centre is not known yet.
    Far,
}

/// What a front has learnt of endpoints and of requests that crash them.
///
/// Encoded by position with postcard: the order and the types of the fields are the wire format.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Notices about requests suspected of crashing endpoints.
    pub requests: Vec<Notice>,
    /// Notices about parts of prompts suspected of crashing endpoints.
    pub parts: Vec<PartNotice>,
    /// The limits that endpoints have named.
    pub limits: Vec<LimitNotice>,
    /// The rollouts that are under way.
    pub rollouts: Vec<RolloutReport>,
}

/// The state that a front broadcasts several times a second.
///
/// Encoded by position with postcard: the order and the types of the fields are the wire format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    version: u8,
    /// The incarnation of the sender.
    pub from: PeerId,
    /// The hash of the name of the sender's data centre.
    pub data_centre: u32,
    /// The sequence number, which increases with each digest.
    pub seq: u64,
    /// The number of live fronts that the sender sees, including itself.
    #[serde(rename = "hears")]
    pub live_fronts: u32,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// The version of the sender's configuration.
    #[serde(rename = "config")]
    pub config_version: u64,
    /// The time since that version was known to be the newest, in milliseconds.
    pub config_age: u64,
    /// The hash of the sender's endpoint list.
    #[serde(rename = "listing")]
    pub listing_digest: u64,
    /// The time since that list was confirmed, in milliseconds.
    pub listing_age: u64,
    /// The requests running and waiting at the sender.
    pub load: Load,
    /// The sender's usage of the organisations' limits, or the part of it that has changed.
    #[serde(rename = "drawn")]
    pub usage: Vec<Usage>,
    /// The sender's latest refusals, for fronts of the same data centre: their callers come back
    /// there.
    pub refusals: Vec<RefusalReport>,
    /// What was learnt of endpoints and of requests that crash them, if anything.
    pub news: Option<News>,
    /// The addresses of other fronts.
    pub peers: Vec<SocketAddr>,
}

#[derive(Debug)]
struct Peer {
    id: PeerId,
    address_hash: u64,
    data_centre: u32,
    seq: u64,
    last_seen: Instant,
    load: Load,
    config_version: u64,
    config_age: Millis,
    listing_digest: u64,
    listing_age: Millis,
}

/// The other fronts, as of their last digests.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddr,
    id: PeerId,
    data_centre: u32,
    seq: u64,
    seeds: Vec<IpAddr>,
    peers: HashMap<SocketAddr, Peer>,
    /// The fronts that count as live.
    pub liveness: PeerTracker,
}

impl Peers {
    /// Creates the view of a front that has only its seeds.
    pub fn new(own: SocketAddr, incarnation: u64, data_centre: &str, seeds: Vec<IpAddr>) -> Self {
        let mut peers = Peers {
            own,
            id: hash_of(format!("{own}/{incarnation}")),
            data_centre: short_hash(hash_of(data_centre)),
            seq: 0,
            seeds: Vec::new(),
            peers: HashMap::new(),
            liveness: PeerTracker::default(),
        };
        peers.set_seeds(seeds);
        peers
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, mut seeds: Vec<IpAddr>) {
        seeds.retain(|ip| *ip != self.own.ip());
        self.liveness.set_expected_peers(seeds.len());
        self.seeds = seeds;
    }

    /// Returns the addresses of the seeds.
    pub fn seed_addresses(&self) -> SmallVec<[SocketAddr; 3]> {
        let port = self.own.port();
        let seeds = self.seeds.iter();
        seeds.map(|ip| SocketAddr::new(*ip, port)).collect()
    }

    /// Creates the next digest, with the membership fields filled in.
    pub fn digest(&mut self, now: Instant) -> Digest {
        self.peers
            .retain(|_, p| now.since(p.last_seen) <= PEER_RETENTION);
        self.seq += 1;
        Digest {
            version: DIGEST_VERSION,
            from: self.id,
            data_centre: self.data_centre,
            seq: self.seq,
            live_fronts: self.liveness.live_processes(now) as u32,
            leaving: false,
            config_version: 0,
            config_age: 0,
            listing_digest: 0,
            listing_age: 0,
            load: Load::default(),
            usage: Vec::new(),
            refusals: Vec::new(),
            news: None,
            peers: self.peers.keys().take(DIGEST_MAX_PEERS).copied().collect(),
        }
    }

    /// Returns the destinations of digests: the known peers of a proximity and, among the far ones,
    /// seeds that are not known yet.
    pub fn targets(&self, proximity: Proximity) -> Vec<SocketAddr> {
        let known = self.peers.iter();
        let mut targets: Vec<SocketAddr> = known
            .filter(|(_, p)| self.proximity(p) == proximity)
            .map(|(address, _)| *address)
            .collect();
        if proximity == Proximity::Far {
            let seeds = self.seed_addresses().into_iter();
            targets.extend(seeds.filter(|a| !self.peers.contains_key(a)));
        }
        targets
    }

    fn proximity(&self, peer: &Peer) -> Proximity {
        match peer.data_centre == self.data_centre {
            true => Proximity::Near,
            false => Proximity::Far,
        }
    }

    /// Processes a digest, and returns whether it was applied.
    pub fn on_digest(&mut self, from: SocketAddr, digest: &Digest, now: Instant) -> bool {
        if digest.version != DIGEST_VERSION || digest.from == self.id || from == self.own {
            return false;
        }
        if digest.leaving {
            self.peers.remove(&from);
            self.liveness.on_leave(digest.from);
            return true;
        }
        if let Some(known) = self.peers.get(&from) {
            let is_stale = known.id == digest.from && known.seq >= digest.seq;
            if is_stale {
                return false;
            }
            if known.id != digest.from {
                self.liveness.on_leave(known.id);
            }
        }
        self.liveness
            .on_message(digest.from, digest.live_fronts as usize, now);
        let known = self.peers.get(&from).map(|p| p.address_hash);
        let peer = Peer {
            id: digest.from,
            address_hash: known.unwrap_or_else(|| hash_of(from.to_string())),
            data_centre: digest.data_centre,
            seq: digest.seq,
            last_seen: now,
            load: digest.load.clone(),
            config_version: digest.config_version,
            config_age: Millis(digest.config_age),
            listing_digest: digest.listing_digest,
            listing_age: Millis(digest.listing_age),
        };
        self.peers.insert(from, peer);
        true
    }

    /// Returns whether the front at an address is known in its present incarnation.
    pub fn is_known(&self, address: SocketAddr, id: PeerId) -> bool {
        self.peers.get(&address).is_some_and(|p| p.id == id)
    }

    /// Returns the fronts that a digest lists and that are not known yet.
    pub fn unknown_peers(&self, digest: &Digest) -> Vec<SocketAddr> {
        let named = digest.peers.iter().copied();
        named
            .filter(|a| *a != self.own && !self.peers.contains_key(a))
            .collect()
    }

    fn seen_within(
        &self,
        window: Millis,
        now: Instant,
    ) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        self.peers
            .iter()
            .filter(move |(_, p)| now.since(p.last_seen) <= window)
    }

    /// Returns the number of live fronts whose address is lower than this one's.
    ///
    /// Work that only a few fronts need to do is done by those with the lowest rank.
    pub fn rank(&self, now: Instant) -> usize {
        let live = self.seen_within(LIVENESS_TIMEOUT, now);
        live.filter(|(address, _)| **address < self.own).count()
    }

    /// Returns the live fronts that remember the origins of this one's streams: the next few by
    /// address in this data centre and in the others.
    pub fn keepers(&self, now: Instant) -> Vec<SocketAddr> {
        let mut keepers = Vec::new();
        for (proximity, count) in [
            (Proximity::Near, NEAR_KEEPERS),
            (Proximity::Far, FAR_KEEPERS),
        ] {
            let live = self.seen_within(LIVENESS_TIMEOUT, now);
            let mut next: Vec<SocketAddr> = live
                .filter(|(_, p)| self.proximity(p) == proximity)
                .map(|(address, _)| *address)
                .collect();
            next.sort_by_key(|address| (*address < self.own, *address));
            keepers.extend(next.into_iter().take(count));
        }
        keepers
    }

    /// Returns the aggregate load of the other fronts.
    pub fn loads(&self, now: Instant) -> Loads {
        let mut loads = Loads::default();
        let live = self.seen_within(REPORT_MAX_AGE, now);
        live.for_each(|(_, p)| loads.add(p.address_hash, &p.load));
        loads
    }

    /// Returns a peer with a newer configuration or with a different, fresher endpoint list.
    ///
    /// If there is none, returns the peer with the freshest state of the same configuration, if its
    /// gain exceeds `MIN_FRESHNESS_GAIN`.
    pub fn most_current_peer(&self, local: &DirectoryState, now: Instant) -> Option<SocketAddr> {
        let live = self.seen_within(REPORT_MAX_AGE, now);
        let gain = |p: &Peer| {
            let since = now.since(p.last_seen).0;
            // The ages were read from a datagram, so any number is possible.
            let fresher =
                |own: Millis, age: Millis| own.0.saturating_sub(age.0.saturating_add(since));
            let config = fresher(local.config_age, p.config_age);
            let listing = fresher(local.listing_age, p.listing_age);
            let is_ahead = p.config_version > local.config_version
                || (p.listing_digest != local.listing_digest && listing > 0);
            match is_ahead {
                true => u64::MAX,
                false if p.config_version < local.config_version => 0,
                false => config.max(listing),
            }
        };
        let (gain, address) = live
            .map(|(a, p)| (gain(p), *a))
            .max_by_key(|(gain, _)| *gain)?;
        (gain > MIN_FRESHNESS_GAIN.0).then_some(address)
    }
}

/// The minimum gain in freshness for which state is fetched from a peer.
const MIN_FRESHNESS_GAIN: Millis = Millis(300);

/// The version and age of the directory state that a front holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryState {
    /// The version of the configuration.
    pub config_version: u64,
    /// The time since it was known to be the newest.
    pub config_age: Millis,
    /// The hash of the endpoint list.
    pub listing_digest: u64,
    /// The time since it was confirmed.
    pub listing_age: Millis,
}

/// The response to a request for directory state.
///
/// Encoded by position with postcard: the order and the types of the fields are the wire format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateResponse {
    /// The version of the configuration in force at the responder.
    #[serde(rename = "version")]
    pub config_version: u64,
    /// The time since that version was known to be the newest, in milliseconds.
    #[serde(rename = "age")]
    pub config_age: u64,
    /// The configuration, if it is newer than the requester's.
    pub config: Option<Bytes>,
    /// The time since the endpoint list was confirmed, in milliseconds.
    pub listing_age: u64,
    /// The hash of the endpoint list.
    #[serde(rename = "listing")]
    pub listing_digest: u64,
    /// The endpoint list, if it differs from the requester's.
    pub endpoints: Option<Listing>,
    /// The last reports of the endpoints in it.
    pub reports: HashMap<SmolStr, Report>,
    /// The newest era of the directory that the responder knows.
    pub era: Option<Era>,
}

/// Fetches directory state from a peer.
///
/// The request names the local versions, so that only changed parts are returned.
///
/// # Errors
///
/// Fails if the peer does not respond in time or violates the protocol.
pub async fn fetch_state(peer: SocketAddr, local: &DirectoryState) -> io::Result<StateResponse> {
    let exchange = async {
        let mut io = TcpStream::connect(peer).await?;
        io.write_u64(local.config_version).await?;
        io.write_u64(local.listing_digest).await?;
        let len = io.read_u32().await?;
        if len > STATE_MAX_BYTES {
            return Err(io::Error::from(io::ErrorKind::InvalidData));
        }
        let mut buf = vec![0; len as usize];
        io.read_exact(&mut buf).await?;
        postcard::from_bytes(&buf).map_err(io::Error::other)
    };
    let result = tokio::time::timeout(STATE_EXCHANGE_TIMEOUT, exchange).await;
    result.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Serves a peer's request for directory state.
///
/// # Errors
///
/// Fails if the peer disconnects or does not send its request in time.
pub async fn serve_state(
    mut io: TcpStream,
    current: impl Fn(u64, u64) -> StateResponse,
) -> io::Result<()> {
    let exchange = async {
        let version = io.read_u64().await?;
        let listing = io.read_u64().await?;
        let buf = postcard::to_stdvec(&current(version, listing)).map_err(io::Error::other)?;
        let len = u32::try_from(buf.len()).map_err(io::Error::other)?;
        io.write_u32(len).await?;
        io.write_all(&buf).await?;
        io.shutdown().await
    };
    let result = tokio::time::timeout(STATE_EXCHANGE_TIMEOUT, exchange).await;
    result.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Encodes a digest, dropping notices, peers and refusals if it would exceed the maximum size.
///
/// The rest is always encoded in full, even if it exceeds the maximum size.
pub fn encode(digest: &mut Digest) -> postcard::Result<Vec<u8>> {
    let full = postcard::to_stdvec(digest)?;
    if full.len() <= DIGEST_MAX_BYTES {
        return Ok(full);
    }
    digest.peers.clear();
    digest.refusals.clear();
    let without_hints = postcard::to_stdvec(digest)?;
    if without_hints.len() <= DIGEST_MAX_BYTES {
        return Ok(without_hints);
    }
    digest.news = None;
    postcard::to_stdvec(digest)
}
