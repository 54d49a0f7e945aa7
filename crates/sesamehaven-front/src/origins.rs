//! The software versions that began streams, as fronts remember them together.
//!
//! A front tells a few others of each stream that it begins, by UDP, and asks all others about a
//! stream that a caller takes up and that it does not know. The decisions are in
//! [`sesamehaven::stream_origin`]; see
//! [`docs/FRONT.md`](../../../docs/FRONT.md#streams-and-versions).

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use metrics::{counter, gauge};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use smol_str::SmolStr;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use sesamehaven::software_version::PoolVersion;
use sesamehaven::stream_origin::{
    Continuation, StreamId, StreamOrigin, StreamOrigins, VersionHistory,
};
use sesamehaven::unit::{Instant, Millis};

use crate::clock;
use crate::failure::{Failure, ServeResult};
use crate::front::Front;
use crate::job::Job;
use crate::peers::Proximity;
use crate::protocol::{EndpointEntry, Listing, Protocol};
use crate::routing_table::{RetryPolicy, Route};
use crate::saved_versions::VersionSnapshot;

/// The error code of a stream whose software version serves no more.
const VERSION_GONE: &str = "version_gone";
/// The error code of a stream that no front remembers and that could be of several versions.
const ORIGIN_UNKNOWN: &str = "origin_unknown";
/// Retry-After of a stream of unknown origin while the versions from before the start are not read yet.
const NOT_RESTORED_RETRY_AFTER: Millis = Millis(400);
/// The first byte of messages about origins, which digests never have.
pub(crate) const MESSAGE_TAG: u8 = 0xa1;
/// The maximum number of streams in a message, so that it fits into one datagram.
const MESSAGE_MAX_STREAMS: usize = 256;
/// The interval in which new origins and questions are collected for one message.
const SEND_INTERVAL: Duration = Duration::from_millis(20);
/// The interval in which origins are offered again while no front can remember them.
const UNSENT_INTERVAL: Duration = Duration::from_millis(200);
/// How long the other fronts have to answer a question.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// How often a question is asked, as datagrams may be lost.
const MAX_QUESTIONS: usize = 2;

/// Origins that the sender knows, and streams that it asks about.
///
/// Encoded by position with postcard: the order and the types of the fields are the wire format.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OriginMessage {
    tag: u8,
    known: Vec<StreamOrigin>,
    asked: Vec<StreamId>,
}

/// A stream that this front has begun or goes on with, until it is dropped.
#[derive(Debug)]
pub struct RunningStream {
    running: Rc<RefCell<HashMap<StreamId, PoolVersion>>>,
    stream: StreamId,
}

impl Drop for RunningStream {
    fn drop(&mut self) {
        self.running.borrow_mut().remove(&self.stream);
    }
}

/// What a front remembers of the origins of streams and of the versions that serve.
#[derive(Debug, Default)]
pub struct Origins {
    streams: RefCell<StreamOrigins>,
    running: Rc<RefCell<HashMap<StreamId, PoolVersion>>>,
    history: RefCell<HashMap<SmolStr, VersionHistory>>,
    new: RefCell<Vec<StreamOrigin>>,
    asked: RefCell<Vec<StreamId>>,
    /// Whether this is the first start of the whole deployment, so that no version served before.
    is_first_start: bool,
    /// Whether the record of the versions from before the start was read.
    is_restored: Cell<bool>,
    has_new_version: Notify,
    has_outgoing: Notify,
    has_learned: Notify,
}

impl Origins {
    /// Creates an empty memory; on the first start of a deployment there is nothing to remember.
    pub fn new(is_first_start: bool) -> Self {
        Origins {
            is_first_start,
            ..Origins::default()
        }
    }

    /// Records the versions that are listed now.
    pub fn on_listing(&self, listing: &Listing, now: Instant) {
        let mut listed: HashMap<&SmolStr, Vec<PoolVersion>> = HashMap::new();
        for entry in &listing.entries {
            let version = PoolVersion::new(&entry.pool, &entry.version);
            listed.entry(&entry.pool).or_default().push(version);
        }
        let mut history = self.history.borrow_mut();
        let mut has_new = false;
        for (pool, known) in history.iter_mut() {
            has_new |= known.on_listing(listed.remove(pool).unwrap_or_default(), now);
        }
        for (pool, versions) in listed {
            let known = history.entry(pool.clone()).or_default();
            has_new |= known.on_listing(versions, now);
        }
        if has_new {
            self.has_new_version.notify_one();
        }
    }

    /// Waits until a version is listed that was not before.
    pub(crate) async fn new_version(&self) {
        self.has_new_version.notified().await;
    }

    /// Marks the endpoints of a version that is not saved yet as not ready, unless its pool has no others.
    ///
    /// Returns whether there are any.
    pub(crate) fn withhold_unsaved(&self, entries: &mut [EndpointEntry], now: Instant) -> bool {
        let history = self.history.borrow();
        let is_withheld = |entry: &EndpointEntry| {
            let version = PoolVersion::new(&entry.pool, &entry.version);
            let known = history.get(&entry.pool);
            known.is_some_and(|h| h.is_withheld(version, now))
        };
        let (withheld, others): (Vec<_>, Vec<_>) = entries
            .iter_mut()
            .filter(|e| e.is_ready)
            .partition(|e| is_withheld(e));
        let mut has_withheld = false;
        for entry in withheld {
            if others.iter().any(|o| o.pool == entry.pool) {
                entry.is_ready = false;
                has_withheld = true;
            }
        }
        has_withheld
    }

    /// Returns what must survive a restart of all fronts.
    pub fn snapshot(&self, now: Instant) -> VersionSnapshot {
        VersionSnapshot::new(&self.history.borrow(), &self.running.borrow(), now)
    }

    /// Records that the directory has saved a snapshot; returns whether it has a version that the one
    /// before had not.
    pub(crate) fn on_saved(&self, snapshot: &VersionSnapshot) -> bool {
        let mut history = self.history.borrow_mut();
        let mut has_new = false;
        for (pool, saved) in snapshot.versions() {
            if let Some(known) = history.get_mut(pool) {
                has_new |= known.on_recorded(&saved);
            }
        }
        has_new
    }

    /// Restores what was saved before the start.
    pub fn restore<'a>(
        &self,
        snapshots: impl IntoIterator<Item = &'a VersionSnapshot>,
        now: Instant,
    ) {
        let mut origins = Vec::new();
        let mut history = self.history.borrow_mut();
        for snapshot in snapshots {
            for (pool, versions) in snapshot.versions() {
                let known = history.entry(pool.clone()).or_default();
                known.restore(versions, now);
            }
            origins.extend(snapshot.origins());
        }
        drop(history);
        self.learn(&origins);
        self.is_restored.set(true);
    }

    /// Returns whether the record from before the start was read.
    pub(crate) fn is_restored(&self) -> bool {
        self.is_restored.get()
    }

    /// Makes the record be read again, since versions may have come and gone unseen.
    fn require_restore(&self) {
        self.is_restored.set(false);
    }

    /// Returns whether all versions of a route's pools are known that streams may be of.
    fn is_complete(&self, route: &Route, now: Instant) -> bool {
        let history = self.history.borrow();
        let known = |pool| history.get(pool).is_some_and(|h| h.is_complete(now));
        let is_known = self.is_first_start || route.pools.iter().all(|(pool, _)| known(pool));
        is_known && self.is_restored()
    }

    /// Records a stream that this front has begun, and tells others of it.
    pub fn begin(&self, origin: StreamOrigin) -> RunningStream {
        self.learn(&[origin]);
        self.new.borrow_mut().push(origin);
        self.has_outgoing.notify_one();
        self.go_on(origin)
    }

    /// Records that this front goes on with a stream that another one may have begun.
    pub(crate) fn go_on(&self, StreamOrigin { stream, version }: StreamOrigin) -> RunningStream {
        self.running.borrow_mut().insert(stream, version);
        RunningStream {
            running: Rc::clone(&self.running),
            stream,
        }
    }

    fn learn(&self, origins: &[StreamOrigin]) {
        let now = clock::now();
        let mut streams = self.streams.borrow_mut();
        origins.iter().for_each(|o| streams.record(*o, now));
        gauge!("front_stream_origin_requests").set(streams.len() as f64);
        drop(streams);
        self.has_learned.notify_waiters();
    }

    /// Returns the version that began a stream, asking the other fronts if need be.
    async fn find(&self, stream: StreamId) -> Option<PoolVersion> {
        for _ in 0..MAX_QUESTIONS {
            let answered = async {
                loop {
                    let mut learned = pin!(self.has_learned.notified());
                    learned.as_mut().enable();
                    if let Some(version) = self.known(stream) {
                        return version;
                    }
                    learned.await;
                }
            };
            if let Some(version) = self.known(stream) {
                return Some(version);
            }
            self.asked.borrow_mut().push(stream);
            self.has_outgoing.notify_one();
            if let Ok(version) = tokio::time::timeout(ANSWER_TIMEOUT, answered).await {
                return Some(version);
            }
        }
        None
    }

    fn known(&self, stream: StreamId) -> Option<PoolVersion> {
        self.streams.borrow().find(stream, clock::now())
    }

    /// Returns the versions of a route's pools that have served lately, each with its pool.
    fn recent(&self, route: &Route) -> SmallVec<[(SmolStr, PoolVersion); 4]> {
        let now = clock::now();
        let history = self.history.borrow();
        let mut recent = SmallVec::new();
        for (pool, _) in &route.pools {
            let Some(known) = history.get(pool) else {
                continue;
            };
            recent.extend(known.recent(now).map(|v| (pool.clone(), v)));
        }
        recent
    }
}

/// Returns the pool and the software version at which the stream goes on that a request takes up, or
/// [`None`] if the request takes up no stream.
///
/// # Errors
///
/// Fails if the version serves no more, or if nobody knows it and it could be one of several. The
/// request has not run then.
pub(crate) async fn continuation<P: Protocol>(
    job: &Job<P>,
) -> ServeResult<Option<(SmolStr, PoolVersion)>> {
    if job.meta.last_event_id.is_none() || job.route.retry_policy != RetryPolicy::Resume {
        return Ok(None);
    }
    let origins = &job.front.origins;
    let origin = match &job.meta.resumes {
        Some(first) => origins.find(StreamId::new(first)).await,
        None => None,
    };
    // Endpoints of another version may have begun the stream since the list was read.
    let is_listed = origin.is_some() || job.front.wait_for_list_at(job.arrived).await;
    if job.front.endpoints.take_gap() {
        origins.require_restore();
    }
    let recent = origins.recent(&job.route);
    let serves = |(pool, version): &&(SmolStr, PoolVersion)| job.front.pools.serves(pool, *version);
    let all: SmallVec<[PoolVersion; 4]> = recent.iter().map(|(_, v)| *v).collect();
    let serving: SmallVec<[PoolVersion; 4]> =
        recent.iter().filter(serves).map(|(_, v)| *v).collect();
    let is_complete = is_listed && origins.is_complete(&job.route, clock::now());
    let decision = Continuation::decide(origin, &all, is_complete, &serving);
    log_take_up(job, origin, decision, serving.len(), all.len());
    match decision {
        Continuation::At(version) => Ok(recent.into_iter().find(|(_, v)| *v == version)),
        Continuation::Gone => Err(Failure::not_resumable(
            VERSION_GONE,
            "the software version that began the stream serves no more; begin it anew",
        )),
        Continuation::Unknown if !is_listed || !origins.is_restored() => Err(Failure::unavailable(
            ORIGIN_UNKNOWN,
            "this front has not read yet which software versions serve and served before",
            NOT_RESTORED_RETRY_AFTER,
        )),
        Continuation::Unknown => Err(Failure::not_resumable(
            ORIGIN_UNKNOWN,
            "no front remembers which software version began the stream; begin it anew",
        )),
    }
}

/// Logs and counts a request that takes up a stream, with what decided where it goes on.
fn log_take_up<P: Protocol>(
    job: &Job<P>,
    origin: Option<PoolVersion>,
    decision: Continuation,
    serving: usize,
    recent: usize,
) {
    let outcome = match decision {
        Continuation::At(_) => "goes_on",
        Continuation::Gone => VERSION_GONE,
        Continuation::Unknown => ORIGIN_UNKNOWN,
    };
    counter!("front_streams_taken_up_total", "outcome" => outcome).increment(1);
    let first = job.meta.resumes.as_deref().unwrap_or_default();
    let last = job.meta.last_event_id.unwrap_or_default();
    let origin = origin.map_or_else(SmolStr::default, |v| SmolStr::new(v.to_string()));
    let detail = format_args!(
        "{first} after event {last}: {outcome}, origin {origin}, {serving} of {recent} recent \
         versions serve"
    );
    job.log("taken_up", "", detail);
}

/// Sends new origins to the fronts that remember them for this one, and questions to all.
pub async fn send_origins<P: Protocol>(front: Rc<Front<P>>, socket: Rc<UdpSocket>) {
    let origins = &front.origins;
    loop {
        let outgoing = origins.has_outgoing.notified();
        let has_unsent = !origins.new.borrow().is_empty();
        match has_unsent {
            // Origins wait for the first front that can remember them.
            true => drop(tokio::time::timeout(UNSENT_INTERVAL, outgoing).await),
            false => outgoing.await,
        }
        let asked = origins.asked.take();
        let (keepers, all) = {
            let peers = front.peers.borrow();
            let mut all = peers.targets(Proximity::Near);
            all.extend(peers.targets(Proximity::Far));
            (peers.keepers(clock::now()), all)
        };
        let mut new = origins.new.take();
        if keepers.is_empty() {
            let excess = new.len().saturating_sub(MESSAGE_MAX_STREAMS);
            new.drain(..excess);
            origins.new.replace(std::mem::take(&mut new));
        }
        for known in new.chunks(MESSAGE_MAX_STREAMS) {
            send(&socket, &keepers, known, &[]);
        }
        for asked in asked.chunks(MESSAGE_MAX_STREAMS) {
            send(&socket, &all, &[], asked);
        }
        tokio::time::sleep(SEND_INTERVAL).await;
    }
}

/// Applies a message of another front, and answers its questions as far as this front can.
pub(crate) fn on_message<P: Protocol>(
    front: &Front<P>,
    socket: &UdpSocket,
    from: SocketAddr,
    message: &OriginMessage,
) {
    if !message.known.is_empty() {
        front.origins.learn(&message.known);
    }
    let asked = message.asked.iter().take(MESSAGE_MAX_STREAMS);
    let answers: Vec<StreamOrigin> = asked
        .filter_map(|stream| {
            let version = front.origins.known(*stream)?;
            Some(StreamOrigin {
                stream: *stream,
                version,
            })
        })
        .collect();
    if !answers.is_empty() {
        send(socket, &[from], &answers, &[]);
    }
}

fn send(socket: &UdpSocket, to: &[SocketAddr], known: &[StreamOrigin], asked: &[StreamId]) {
    let message = OriginMessage {
        tag: MESSAGE_TAG,
        known: known.to_vec(),
        asked: asked.to_vec(),
    };
    let buf = match postcard::to_stdvec(&message) {
        Ok(buf) => buf,
        Err(err) => {
            spdlog::error!("failed to encode origins of streams", kv: { reason = err.to_string() });
            return;
        }
    };
    for peer in to {
        // Origins go to several fronts, and questions are repeated.
        if socket.try_send_to(&buf, *peer).is_err() {
            counter!("front_origins_unsent_total").increment(1);
        }
    }
}
