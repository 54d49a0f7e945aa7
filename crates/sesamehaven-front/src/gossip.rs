//! The tasks that carry knowledge between fronts: digests, questions and answers.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use metrics::counter;
use tokio::net::{TcpListener, UdpSocket};

use sesamehaven::unit::{Instant, Millis};

use crate::clock;
use crate::dialect::Dialect;
use crate::front::Front;
use crate::peers::{self, DIGEST_MAX_BYTES, Digest, Known, Told};
use crate::refresh::{take_config, take_endpoints};

/// How often a digest goes to the other fronts, at the least.
const DIGEST_EVERY: Millis = Millis(50);
/// How often a digest also tells what changes slowly.
const SLOW_PARTS_EVERY: Millis = Millis(100);
/// The pause between digests for each other front, which bounds their cost in large fleets.
const DIGEST_EVERY_PER_PEER: Millis = Millis(2);
/// How often a front looks whether another one knows more.
const COMPARE_EVERY: Duration = Duration::from_millis(300);
/// The notices of crashes that a digest carries.
const NOTICES_MAX: usize = 16;

/// Tells the other fronts several times a second what this one does.
pub async fn tell<D: Dialect>(front: Rc<Front<D>>, socket: Rc<UdpSocket>) {
    loop {
        let targets = front.peers.borrow().targets();
        send_digest(&front, &socket, &targets, false);
        let loads = front.peers.borrow().loads(clock::now());
        front.pools.set_peers(&loads);
        let pause = DIGEST_EVERY
            .0
            .max(DIGEST_EVERY_PER_PEER.0 * targets.len() as u64);
        tokio::time::sleep(Millis(pause).duration()).await;
    }
}

/// Tells the other fronts that this one leaves.
pub fn say_leaving<D: Dialect>(front: &Front<D>, socket: &UdpSocket) {
    let targets = front.peers.borrow().targets();
    send_digest(front, socket, &targets, true);
}

fn send_digest<D: Dialect>(front: &Front<D>, socket: &UdpSocket, to: &[SocketAddr], leaving: bool) {
    let now = clock::now();
    let mut digest = front.peers.borrow_mut().digest(now);
    digest.leaving = leaving;
    digest.config = front.knowledge.version();
    digest.config_age = front.knowledge.age(now).0;
    digest.listing = front.listed.digest();
    digest.listing_age = front.listed.age(now).0;
    digest.load = front.pools.demand();
    digest.is_full = leaving || now.since(front.told_all.get()) >= SLOW_PARTS_EVERY;
    if digest.is_full {
        front.told_all.set(now);
        digest.drawn = front.spending.borrow().drawn(now);
        let mut notices = front.quarantine.borrow().summary(now);
        notices.truncate(NOTICES_MAX);
        digest.notices = notices;
    } else {
        digest.peers.clear();
    }
    let buf = match peers::encode(&mut digest) {
        Ok(buf) => buf,
        Err(err) => {
            spdlog::error!("digest not sent", kv: { reason = err.to_string() });
            return;
        }
    };
    for peer in to {
        // A digest that cannot be sent is made good by the next one.
        if socket.try_send_to(&buf, *peer).is_err() {
            counter!("front_digests_unsent_total").increment(1);
        }
    }
}

/// Takes in what the other fronts tell.
pub async fn listen<D: Dialect>(front: Rc<Front<D>>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; DIGEST_MAX_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(err) => {
                // An unreachable peer shows up as an error of the socket.
                counter!("front_digests_unread_total").increment(1);
                spdlog::debug!("digest not read", kv: { reason = err.to_string() });
                tokio::task::yield_now().await;
                continue;
            }
        };
        let Ok(digest) = postcard::from_bytes::<Digest>(&buf[..len]) else {
            counter!("front_digests_unread_total").increment(1);
            continue;
        };
        on_digest(&front, &socket, from, &digest);
    }
}

fn on_digest<D: Dialect>(front: &Front<D>, socket: &UdpSocket, from: SocketAddr, digest: &Digest) {
    let now = clock::now();
    let (is_news, strangers) = {
        let mut peers = front.peers.borrow_mut();
        (peers.on_digest(from, digest, now), peers.strangers(digest))
    };
    if !is_news {
        return;
    }
    let mut spending = front.spending.borrow_mut();
    spending.on_peer(digest.from, &digest.drawn, now);
    drop(spending);
    front.quarantine.borrow_mut().merge(&digest.notices, now);
    if !strangers.is_empty() {
        send_digest(front, socket, &strangers, false);
    }
}

/// Asks another front when that one knows of a newer or fresher configuration.
pub async fn catch_up<D: Dialect>(front: Rc<Front<D>>) {
    loop {
        tokio::time::sleep(COMPARE_EVERY).await;
        let sent = clock::now();
        let known = Known {
            config: front.knowledge.version(),
            config_age: front.knowledge.age(sent),
            listing: front.listed.digest(),
            listing_age: front.listed.age(sent),
        };
        let informed = front.peers.borrow().better_informed(&known, sent);
        let Some(peer) = informed else { continue };
        match peers::ask(peer, &known).await {
            Ok(told) => take_told(&front, told, sent),
            Err(err) => {
                counter!("front_questions_failed_total").increment(1);
                spdlog::info!("other front did not answer", kv: {
                    peer = peer.to_string(),
                    reason = err.to_string()
                });
            }
        }
    }
}

fn take_told<D: Dialect>(front: &Front<D>, told: Told, sent: Instant) {
    let as_of = Instant(sent.0.saturating_sub(told.age));
    match told.config {
        Some(raw) => take_config(front, raw, as_of, "front"),
        None if told.version == front.knowledge.version() => front.knowledge.confirm(as_of),
        None => {}
    }
    let as_of = Instant(sent.0.saturating_sub(told.listing_age));
    match told.endpoints {
        Some(listing) => take_endpoints(front, listing, as_of),
        None if told.listing == front.listed.digest() => front.listed.confirm(as_of),
        None => {}
    }
}

/// Answers the questions of other fronts.
pub async fn answer<D: Dialect>(front: Rc<Front<D>>, listener: TcpListener) {
    loop {
        let Ok((io, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let front = Rc::clone(&front);
        actix_rt::spawn(async move {
            let told = |known: u64, known_listing: u64| {
                let now = clock::now();
                let version = front.knowledge.version();
                let listing = front.listed.digest();
                Told {
                    version,
                    age: front.knowledge.age(now).0,
                    config: (version > known).then(|| front.knowledge.raw()),
                    listing_age: front.listed.age(now).0,
                    listing,
                    endpoints: (listing != known_listing).then(|| front.listed.listing()),
                }
            };
            if peers::answer(io, told).await.is_err() {
                counter!("front_questions_unanswered_total").increment(1);
            }
        });
    }
}

/// Opens the socket on which fronts talk to each other.
///
/// # Errors
///
/// Fails when the address is taken or not of this VM.
pub async fn socket(address: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    Ok((
        UdpSocket::bind(address).await?,
        TcpListener::bind(address).await?,
    ))
}
