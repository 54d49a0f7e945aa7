//! Gossip between fronts: periodic digests, and state transfer to fronts that lag behind.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use metrics::counter;
use tokio::net::{TcpListener, UdpSocket};

use sesamehaven::change_log::ChangeCursor;
use sesamehaven::part_quarantine::{PartId, PartIds, PartNotice};
use sesamehaven::retry_detector::RefusalReport;
use sesamehaven::unit::{Instant, Millis};

use crate::clock;
use crate::front::Front;
use crate::origins::{self, OriginMessage};
use crate::peers::{
    self, DIGEST_MAX_BYTES, Digest, DirectoryState, News, Proximity, StateResponse,
};
use crate::protocol::{ListingRead, Protocol};
use crate::refresh::{self, apply_config, apply_listing};
use crate::rollouts;
use crate::shared_limits::{Usage, UsageChanges};

/// The minimum interval between periodic digests to a group of fronts.
const DIGEST_INTERVAL: Millis = Millis(50);
/// The minimum interval between digests with the usage that has changed and with crash notices.
const CHANGES_INTERVAL: Millis = Millis(100);
/// The minimum interval between full digests, which repeat the whole usage and list other fronts.
///
/// They make up for lost changes and are most of the bytes, so they are rarer than changes.
const FULL_DIGEST_INTERVAL: Millis = Millis(1_000);
/// The interval between digests to a group of fronts is at least this long times their number.
const DIGEST_INTERVAL_PER_PEER: Millis = Millis(2);
/// How often a front checks whether a peer has newer state.
const SYNC_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// How long a front that starts waits for the state of another one.
const SEED_TIMEOUT: Duration = Duration::from_millis(400);
/// The maximum number of notices about requests in a digest that are news to its receivers.
const DIGEST_MAX_NOTICES: usize = 16;
/// The number of requests whose notices each full digest repeats in turn.
const DIGEST_REQUESTS_AGAIN: usize = 16;

/// The maximum number of notices about parts in a digest that are news to its receivers.
const DIGEST_MAX_PART_NEWS: usize = 8;
/// The number of notices about parts, those in quarantine first, that each full digest repeats.
const DIGEST_PART_SUMMARY: usize = 4;
/// The number of further parts whose notices each full digest repeats in turn.
const DIGEST_PARTS_AGAIN: usize = 2;
/// The maximum number of notices about parts for a front that has just started.
const JOIN_MAX_PARTS: usize = 16;
/// The maximum number of notices about limits of endpoints in a digest that are news to its receivers.
const DIGEST_MAX_LIMIT_NEWS: usize = 32;
/// The number of endpoints whose limits each full digest repeats in turn.
const DIGEST_LIMITS_AGAIN: usize = 8;
/// The maximum number of notices about limits for a front that has just started.
const JOIN_MAX_LIMITS: usize = 64;
/// A front that did not run for this long may find old digests in its socket.
const STALL_TIME: Millis = Millis(1_000);
/// How long after such a stall notices are dropped, whose ages may be wrong by the stall.
const STALL_RECOVERY: Millis = Millis(300);

/// How much a digest carries beside the load and the versions of the directory's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DigestDetail {
    /// Nothing else.
    Load,
    /// The usage that has changed, and crash notices.
    Changes,
    /// The whole usage, crash notices and other fronts.
    Full,
}

/// The parts of a digest that depend on who gets it.
#[derive(Debug, Clone)]
struct DigestParts {
    detail: DigestDetail,
    usage: Vec<Usage>,
    refusals: Vec<RefusalReport>,
    news: News,
    leaving: bool,
}

impl DigestParts {
    /// Returns the parts for a front that may know nothing of this one.
    fn full<P: Protocol>(front: &Front<P>) -> Self {
        let now = clock::now();
        DigestParts {
            detail: DigestDetail::Full,
            usage: front.shared_limits.borrow().usage(now),
            refusals: Vec::new(),
            news: News {
                requests: front.quarantine.borrow().latest(DIGEST_MAX_NOTICES, now),
                parts: front.part_quarantine.borrow().summary(JOIN_MAX_PARTS, now),
                limits: front.pools.limits().summary(JOIN_MAX_LIMITS, now),
                rollouts: front.rollouts.reports(now),
            },
            leaving: false,
        }
    }
}

/// What was last sent to a group of fronts, and when.
#[derive(Debug, Default)]
struct DigestSchedule {
    changes: UsageChanges,
    requests: ChangeCursor,
    parts: ChangeCursor,
    limits: ChangeCursor,
    changes_at: Instant,
    full_at: Instant,
}

impl DigestSchedule {
    /// Returns what the next digest tells of endpoints and of requests that crash them.
    ///
    /// Changes are sent once, and a few notices are repeated in turn, so that the size of a digest grows
    /// neither with what a front knows nor with the fronts.
    fn news<P: Protocol>(&mut self, front: &Front<P>, detail: DigestDetail, now: Instant) -> News {
        let requests = front.quarantine.borrow();
        let parts = front.part_quarantine.borrow();
        let limits = front.pools.limits();
        let mut news = News {
            requests: requests.fresh(&mut self.requests, DIGEST_MAX_NOTICES, now),
            parts: parts.fresh(&mut self.parts, DIGEST_MAX_PART_NEWS, now),
            limits: limits.fresh(&mut self.limits, DIGEST_MAX_LIMIT_NEWS, now),
            rollouts: front.rollouts.reports(now),
        };
        if detail == DigestDetail::Full {
            let again = requests.again(&mut self.requests, DIGEST_REQUESTS_AGAIN, now);
            news.requests.extend(again);
            news.parts.extend(parts.summary(DIGEST_PART_SUMMARY, now));
            news.parts
                .extend(parts.again(&mut self.parts, DIGEST_PARTS_AGAIN, now));
            news.limits
                .extend(limits.again(&mut self.limits, DIGEST_LIMITS_AGAIN, now));
        }
        news
    }

    fn next(&mut self, now: Instant) -> DigestDetail {
        if now.since(self.full_at) >= FULL_DIGEST_INTERVAL {
            (self.full_at, self.changes_at) = (now, now);
            return DigestDetail::Full;
        }
        if now.since(self.changes_at) >= CHANGES_INTERVAL {
            self.changes_at = now;
            return DigestDetail::Changes;
        }
        DigestDetail::Load
    }
}

/// Sends digests to a group of other fronts periodically.
pub async fn send_digests<P: Protocol>(
    front: Rc<Front<P>>,
    socket: Rc<UdpSocket>,
    proximity: Proximity,
) {
    let mut schedule = DigestSchedule::default();
    loop {
        let targets = front.peers.borrow().targets(proximity);
        let now = clock::now();
        let mut parts = match schedule.next(now) {
            DigestDetail::Full => DigestParts::full(&front),
            detail => DigestParts {
                detail,
                usage: Vec::new(),
                refusals: Vec::new(),
                news: News::default(),
                leaving: false,
            },
        };
        if parts.detail != DigestDetail::Load {
            parts.news = schedule.news(&front, parts.detail, now);
        }
        if parts.detail == DigestDetail::Changes {
            let limits = front.shared_limits.borrow();
            parts.usage = limits.usage_changes(&mut schedule.changes);
        }
        if proximity == Proximity::Near {
            parts.refusals = front.retry_detector.borrow().report(now);
        }
        send_digest(&front, &socket, &targets, parts);
        tokio::time::sleep(digest_interval(targets.len()).duration()).await;
    }
}

/// Returns the interval between digests to a group of fronts.
///
/// It grows with the group, so that the cost of digests does not.
pub fn digest_interval(targets: usize) -> Millis {
    let interval = DIGEST_INTERVAL_PER_PEER.0 * targets as u64;
    Millis(interval.max(DIGEST_INTERVAL.0))
}

/// Applies the loads that the other fronts report, and ends what lasts only for a time.
pub async fn apply_peer_loads<P: Protocol>(front: Rc<Front<P>>) {
    loop {
        let loads = front.peers.borrow().loads(clock::now());
        front.pools.set_peer_loads(&loads);
        front.stalls.on_tick(clock::now());
        refresh::drop_retained(&front);
        tokio::time::sleep(DIGEST_INTERVAL.duration()).await;
    }
}

/// Notifies the other fronts that this one is leaving.
pub fn announce_leave<P: Protocol>(front: &Front<P>, socket: &UdpSocket) {
    let parts = DigestParts {
        leaving: true,
        ..DigestParts::full(front)
    };
    for proximity in [Proximity::Near, Proximity::Far] {
        let targets = front.peers.borrow().targets(proximity);
        send_digest(front, socket, &targets, parts.clone());
    }
}

fn send_digest<P: Protocol>(
    front: &Front<P>,
    socket: &UdpSocket,
    to: &[SocketAddr],
    parts: DigestParts,
) {
    let now = clock::now();
    let mut digest = front.peers.borrow_mut().digest(now);
    digest.leaving = parts.leaving;
    digest.config_version = front.config.version();
    digest.config_age = front.config.age(now).0;
    digest.listing_digest = front.endpoints.digest();
    digest.listing_age = front.endpoints.age(now).0;
    digest.load = front.pools.local_load();
    digest.usage = parts.usage;
    digest.refusals = parts.refusals;
    if parts.detail != DigestDetail::Load {
        digest.news = (parts.news != News::default()).then_some(parts.news);
    }
    if parts.detail != DigestDetail::Full {
        digest.peers.clear();
    }
    let buf = match peers::encode(&mut digest) {
        Ok(buf) => buf,
        Err(err) => {
            spdlog::error!("failed to encode digest", kv: { reason = err.to_string() });
            return;
        }
    };
    for peer in to {
        // A lost digest is superseded by the next one.
        if socket.try_send_to(&buf, *peer).is_err() {
            counter!("front_digests_unsent_total").increment(1);
        }
    }
}

/// Receives and applies the digests of the other fronts.
pub async fn receive_digests<P: Protocol>(front: Rc<Front<P>>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; DIGEST_MAX_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(err) => {
                // An unreachable peer surfaces as a socket error.
                counter!("front_digests_unread_total").increment(1);
                spdlog::debug!("failed to receive digest", kv: { reason = err.to_string() });
                tokio::task::yield_now().await;
                continue;
            }
        };
        if buf[..len].first() == Some(&origins::MESSAGE_TAG) {
            match postcard::from_bytes::<OriginMessage>(&buf[..len]) {
                Ok(message) => origins::on_message(&front, &socket, from, &message),
                Err(_) => counter!("front_digests_unread_total").increment(1),
            }
            continue;
        }
        let Ok(digest) = postcard::from_bytes::<Digest>(&buf[..len]) else {
            counter!("front_digests_unread_total").increment(1);
            continue;
        };
        on_digest(&front, &socket, from, &digest);
    }
}

fn on_digest<P: Protocol>(front: &Front<P>, socket: &UdpSocket, from: SocketAddr, digest: &Digest) {
    let now = clock::now();
    let (is_new, unknown) = {
        let mut peers = front.peers.borrow_mut();
        let has_joined = !digest.leaving && !peers.is_known(from, digest.from);
        let is_new = peers.on_digest(from, digest, now);
        let mut unknown = peers.unknown_peers(digest);
        // A front that has just started learns of the others at once.
        unknown.extend(has_joined.then_some(from));
        (is_new, unknown)
    };
    if !is_new {
        return;
    }
    if digest.listing_digest != 0 && !front.stalls.is_recovering(now) {
        let confirmed_at = Instant(now.0.saturating_sub(digest.listing_age));
        front.endpoints.on_resumed(front.stalls.resumed_at(now));
        front.endpoints.on_confirmed_elsewhere(confirmed_at);
    }
    let mut shared_limits = front.shared_limits.borrow_mut();
    // Only a full digest names other fronts.
    let is_whole = !digest.peers.is_empty();
    shared_limits.merge_usage(digest.from, &digest.usage, is_whole, now);
    drop(shared_limits);
    if let Some(news) = &digest.news {
        if front.quarantine.borrow_mut().merge(&news.requests, now) {
            counter!("front_quarantine_news_total").increment(1);
        }
        if !front.stalls.is_recovering(now) {
            merge_part_notices(front, &news.parts, now);
            front.merge_limits(&news.limits);
            rollouts::merge_reports(front, digest.from, &news.rollouts, now);
        }
    }
    front
        .retry_detector
        .borrow_mut()
        .merge(&digest.refusals, now);
    if !unknown.is_empty() {
        send_digest(front, socket, &unknown, DigestParts::full(front));
    }
}

fn merge_part_notices<P: Protocol>(front: &Front<P>, notices: &[PartNotice], now: Instant) {
    if notices.is_empty() {
        return;
    }
    let mut quarantine = front.part_quarantine.borrow_mut();
    let before = quarantine.quarantined();
    let news = quarantine.merge(notices, now);
    let is_quarantined = |part: &PartId| quarantine.is_quarantined(*part);
    let quarantined: PartIds = news.iter().copied().filter(is_quarantined).collect();
    let has_changed = quarantine.quarantined() != before;
    drop(quarantine);
    if !news.is_empty() {
        counter!("front_quarantine_news_total").increment(1);
    }
    if has_changed {
        front.on_quarantined(&quarantined, "another front");
    }
}

/// Detects that this process did not run for a time.
#[derive(Debug, Default)]
pub struct StallDetector {
    last_tick: Cell<Instant>,
    recovers_at: Cell<Instant>,
    /// The tick before the last stall, and when the process resumed after it.
    last_stall: Cell<(Instant, Instant)>,
}

impl StallDetector {
    fn on_tick(&self, now: Instant) {
        self.is_recovering(now);
        self.last_tick.set(now);
    }

    /// Returns whether digests that arrive now may have waited in the socket during a stall.
    pub(crate) fn is_recovering(&self, now: Instant) -> bool {
        let last_tick = self.last_tick.get();
        if last_tick > Instant(0) && now.since(last_tick) >= STALL_TIME {
            self.recovers_at.set(now.after(STALL_RECOVERY));
            if self.last_stall.get().0 != last_tick {
                self.last_stall.set((last_tick, now));
            }
        }
        now < self.recovers_at.get()
    }

    /// Returns when the process resumed after its last stall, or zero if it had none.
    pub(crate) fn resumed_at(&self, now: Instant) -> Instant {
        self.is_recovering(now);
        self.last_stall.get().1
    }
}

/// Asks the fronts that are known at the start for their state, all at once.
///
/// They may know a newer configuration than the directory, which can be an older copy of itself.
pub async fn ask_seeds<P: Protocol>(front: Rc<Front<P>>) {
    let seeds = front.peers.borrow().seed_addresses();
    join_all(seeds.into_iter().map(|seed| ask(&front, seed))).await;
    front.start_gate.on_peers_asked();
}

async fn ask<P: Protocol>(front: &Front<P>, seed: SocketAddr) {
    let sent = clock::now();
    let local = front.directory_state(sent);
    let asked = peers::fetch_state(seed, &local);
    match tokio::time::timeout(SEED_TIMEOUT, asked).await {
        Ok(Ok(state)) => apply_state(front, state, sent),
        // It may have failed together with this one.
        Ok(Err(_)) | Err(_) => counter!("front_questions_failed_total").increment(1),
    }
}

/// Fetches state from a peer that has a newer or fresher configuration or endpoint list.
pub async fn sync_from_peers<P: Protocol>(front: Rc<Front<P>>) {
    loop {
        tokio::time::sleep(SYNC_CHECK_INTERVAL).await;
        let sent = clock::now();
        let local = front.directory_state(sent);
        let fresher = front.peers.borrow().most_current_peer(&local, sent);
        let Some(peer) = fresher else { continue };
        match peers::fetch_state(peer, &local).await {
            Ok(state) => apply_state(&front, state, sent),
            Err(err) => {
                counter!("front_questions_failed_total").increment(1);
                spdlog::info!("failed to fetch state from peer", kv: {
                    peer = peer.to_string(),
                    reason = err.to_string()
                });
            }
        }
    }
}

impl<P: Protocol> Front<P> {
    fn directory_state(&self, now: Instant) -> DirectoryState {
        DirectoryState {
            config_version: self.config.version(),
            config_age: self.config.age(now),
            listing_digest: self.endpoints.digest(),
            listing_age: self.endpoints.age(now),
        }
    }
}

fn apply_state<P: Protocol>(front: &Front<P>, state: StateResponse, sent: Instant) {
    let confirmed_at = Instant(sent.0.saturating_sub(state.config_age));
    match state.config {
        Some(raw) => apply_config(front, raw, confirmed_at, "front"),
        None if state.config_version == front.config.version() => {
            front.config.confirm(confirmed_at)
        }
        None => {}
    }
    let confirmed_at = Instant(sent.0.saturating_sub(state.listing_age));
    match state.endpoints {
        Some(listing) => {
            let reports = state.reports;
            apply_listing(
                front,
                ListingRead { listing, reports },
                state.era,
                confirmed_at,
            );
        }
        None if state.listing_digest == front.endpoints.digest() => {
            front.endpoints.confirm(confirmed_at)
        }
        None => {}
    }
}

/// Serves the directory state to other fronts.
pub async fn serve_state<P: Protocol>(front: Rc<Front<P>>, listener: TcpListener) {
    loop {
        let Ok((io, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let front = Rc::clone(&front);
        actix_rt::spawn(async move {
            let current = |known_version: u64, known_listing: u64| {
                let now = clock::now();
                let config_version = front.config.version();
                let listing_digest = front.endpoints.digest();
                let is_known = listing_digest == known_listing;
                StateResponse {
                    config_version,
                    config_age: front.config.age(now).0,
                    config: (config_version > known_version).then(|| front.config.raw()),
                    listing_age: front.endpoints.age(now).0,
                    listing_digest,
                    endpoints: (!is_known).then(|| front.endpoints.confirmed_listing()),
                    reports: match is_known {
                        true => HashMap::new(),
                        false => front.endpoints.reports(),
                    },
                    era: front.restore_guard.borrow().era(),
                }
            };
            if peers::serve_state(io, current).await.is_err() {
                counter!("front_questions_unanswered_total").increment(1);
            }
        });
    }
}
