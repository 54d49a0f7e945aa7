//! The entry: takes callers' requests to agents and answers back.
//!
//! One actor holds all requests of the entry. Threads that speak HTTP submit
//! requests to it; what happens to each is decided by its [`Flight`], and where
//! it goes by the [`Route`] of its pool.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix::prelude::*;
use metrics::{counter, histogram};
use serde_json::json;
use smallvec::SmallVec;
use spdlog::{info, warn};
use tokio::sync::mpsc;

use sesamehaven::config::{Index, Objective, Repeat};
use sesamehaven::fair::OrganisationDigest;
use sesamehaven::flight::{Event, Flight, Step, Terms};
use sesamehaven::gate::{Ended, LoadView};
use sesamehaven::guard::Run;
use sesamehaven::id::{DaemonName, EndpointName, Generation, Incarnation, PoolName, RequestId};
use sesamehaven::outcome::{Refusal, Refused};
use sesamehaven::quarantine::{Notice, Quarantine, Standing};
use sesamehaven::quota::Quota;
use sesamehaven::retry::RetryBudget;
use sesamehaven::route::{self, Choice, Route};
use sesamehaven::unit::{Instant, Millis, TokenRate};
use sesamehaven_wire::link::{self, Link, LinkConfig, Sender};
use sesamehaven_wire::message::{End, Frame, Load, Offer, Report, Role, ToAgent, ToEntry};

use crate::admin::Status;
use crate::caller::{CallerGone, Consumed, Job, Submit, ToCaller};
use crate::clock;
use crate::feed::{FromPeer, ToPeer};
use crate::gossip;
use crate::keys::{Keyed, Keys};
use crate::peer::{self, LinkEvent, LinkId};
use crate::score::Score;
use crate::settings::EntrySettings;

/// How often requests whose time may have come are looked at.
const TICK: Duration = Duration::from_millis(10);
/// How often the status is renewed.
const SWEEP: Duration = Duration::from_millis(250);
/// The pause between two tries to open a link.
const CONNECT_PAUSE: Duration = Duration::from_millis(100);
/// How long an agent may send no report before its link is not renewed.
const REPORT_SILENCE: Millis = Millis(10_000);
/// When to come back to a pool that has no endpoint.
const NOWHERE_RETRY_AFTER: Millis = Millis(1_000);

/// Where a request is offered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// The agent.
    pub agent: DaemonName,
    /// The endpoint behind it.
    pub endpoint: EndpointName,
}

/// An agent as this entry knows it.
pub(crate) struct Peer {
    address: SocketAddr,
    pub(crate) incarnation: Incarnation,
    pub(crate) link: Option<(LinkId, Sender)>,
    connecting: bool,
    pub(crate) leaving: bool,
    last_report: Instant,
}

/// A request that has not had its final word.
pub(crate) struct Active {
    pub(crate) flight: Flight<Place>,
    pub(crate) job: Box<Job>,
    pub(crate) tx: mpsc::Sender<ToCaller>,
    /// Whether the dispatch has to be granted by the home of the key.
    pub(crate) guarded: bool,
    pub(crate) keyed: Keyed,
    admitted: bool,
    excluded: SmallVec<[EndpointName; 4]>,
    refused: Option<Refused>,
    pub(crate) next_chunk: u64,
    upto: u64,
    first_token: bool,
    /// What the outcome is counted by, until the caller is told it.
    pub(crate) score: Option<Score>,
    /// How often the request got a new id, because an agent takes the old one no more.
    pub(crate) attempt: u8,
}

/// The actor that holds the entry's state.
pub struct Entry {
    settings: Arc<EntrySettings>,
    links_cfg: LinkConfig,
    pub(crate) status: Status,
    index: Arc<Index>,
    pub(crate) peers: BTreeMap<DaemonName, Peer>,
    agents_of: HashMap<EndpointName, DaemonName>,
    links: HashMap<LinkId, DaemonName>,
    routes: HashMap<PoolName, Route>,
    pub(crate) active: HashMap<RequestId, Active>,
    pub(crate) keys: Keys,
    retries: HashMap<PoolName, RetryBudget>,
    quota: Quota,
    quarantine: Quarantine,
    feed: mpsc::Sender<FromPeer>,
    next_link: u64,
    leaving: bool,
}

/// An agent's report.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Reported(pub Report);

/// A configuration that is to be in force from now on.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Reconfigure(pub Arc<Index>);

/// The end of a try to open a link.
#[derive(Message)]
#[rtype(result = "()")]
struct Connected(DaemonName, Result<Link, sesamehaven_wire::Error>);

/// Asks the entry to say that it is leaving.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leave;

/// Asks whether anything is still in flight.
#[derive(Message)]
#[rtype(result = "usize")]
pub struct InFlight;

impl Entry {
    /// Builds an entry without a configuration.
    pub fn new(
        settings: Arc<EntrySettings>,
        links_cfg: LinkConfig,
        status: Status,
        feed: mpsc::Sender<FromPeer>,
    ) -> Self {
        let me = Run {
            name: settings.name.clone(),
            incarnation: links_cfg.me.incarnation,
        };
        Entry {
            settings,
            links_cfg,
            status,
            index: Arc::default(),
            peers: BTreeMap::new(),
            agents_of: HashMap::new(),
            links: HashMap::new(),
            routes: HashMap::new(),
            active: HashMap::new(),
            keys: Keys::new(me),
            retries: HashMap::new(),
            quota: Quota::default(),
            quarantine: Quarantine::default(),
            feed,
            next_link: 0,
            leaving: false,
        }
    }

    fn submit(&mut self, id: RequestId, job: Box<Job>, tx: mpsc::Sender<ToCaller>) {
        counter!("entry_requests_total", "tier" => job.tier.to_string()).increment(1);
        let class = self.index.class(&job.class);
        let objective = class.map_or_else(Objective::default, |class| class.objective.clone());
        let mut score = Some(Score::new(&job, objective));
        let guarded = job.key.is_some() && job.repeat != Repeat::Idempotent;
        let admission = self.admit(&job).err();
        if let (Some(refused), false) = (admission, guarded) {
            counter!("entry_not_run_total", "reason" => refused.reason.code()).increment(1);
            let word = ToCaller::NotRun(refused);
            Score::tell(&mut score, &word, &self.status, clock::now());
            // A connection that is gone needs no answer.
            let _ = tx.try_send(word);
            return;
        }
        let terms = Terms {
            repeat: job.repeat,
            guarded,
            deadline: job.deadline,
        };
        let active = Active {
            flight: Flight::new(terms),
            job,
            tx,
            guarded,
            keyed: Keyed {
                refusal: admission,
                ..Keyed::default()
            },
            admitted: admission.is_none(),
            excluded: SmallVec::new(),
            refused: None,
            next_chunk: 0,
            upto: u64::from(self.settings.limits.window_chunks),
            first_token: false,
            score,
            attempt: 0,
        };
        self.active.insert(id, active);
        self.route(id);
    }

    /// Refuses what the organisation's limits and the quarantine do not allow.
    fn admit(&mut self, job: &Job) -> Result<(), Refused> {
        let now = clock::now();
        if self.quarantine.standing(job.fingerprint, now) == Standing::Quarantined {
            return Err(Refused {
                reason: Refusal::Quarantined,
                retry_after: self.quarantine.remaining(job.fingerprint, now),
                admits: None,
            });
        }
        let organisation = OrganisationDigest::of(&job.organisation);
        let tokens = (job.prompt.0 + job.output.0) as f64;
        self.quota.admit(organisation, &job.limits, tokens, now)
    }

    /// Feeds an event to a request and takes the steps that follow.
    pub(crate) fn drive(&mut self, id: RequestId, event: Event<Place>) {
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        let before = active.flight.place().cloned();
        let steps = active.flight.on(event, clock::now());
        let done = active.flight.is_done();
        for step in steps {
            self.take_step(id, step, before.as_ref());
        }
        if done && let Some(active) = self.active.remove(&id) {
            if active.admitted {
                let organisation = OrganisationDigest::of(&active.job.organisation);
                self.quota.on_end(organisation);
            }
            if active.guarded {
                self.forget_key(id, active.keyed.attached);
            }
        }
    }

    fn take_step(&mut self, id: RequestId, step: Step<Place>, before: Option<&Place>) {
        match step {
            Step::Route => {
                counter!("entry_reroutes_total").increment(1);
                self.route(id);
            }
            Step::Rerun => self.rerun(id),
            Step::Claim(place) => self.claim_key(id, &place),
            Step::Release => self.release_key(id),
            Step::Offer(place) => self.offer(id, place),
            Step::Withdraw(place) => self.request(id, &place, ToAgent::Withdraw),
            Step::Cancel(place) => {
                self.settle_route(id, Ended::Cancelled);
                self.request(id, &place, ToAgent::Cancel);
            }
            Step::Resume(place) => self.resume(id, &place),
            Step::NotRun(refused) => self.tell_not_run(id, refused),
            Step::Unknown(doubt) => {
                counter!("entry_unknown_total", "reason" => doubt.code()).increment(1);
                self.settle_route(id, Ended::Broken);
                if let Some(place) = before {
                    self.request(id, place, ToAgent::Cancel);
                }
                self.tell(id, ToCaller::Unknown(doubt));
            }
            Step::Finish => self.finish(id, before),
        }
    }

    /// Chooses a place for a second run if the pool's retry budget allows it.
    fn rerun(&mut self, id: RequestId) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let job = &active.job;
        let suspect = self.quarantine.standing(job.fingerprint, clock::now()) != Standing::Clear;
        let budget = self.retries.entry(job.pool.clone()).or_default();
        if suspect || !budget.retry(job.repeat) {
            counter!("entry_retries_denied_total").increment(1);
            return self.drive(id, Event::Unroutable(nowhere()));
        }
        counter!("entry_retries_total").increment(1);
        self.route(id);
    }

    fn route(&mut self, id: RequestId) {
        let now = clock::now();
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let route = self.routes.get(&active.job.pool);
        let choice = match (active.keyed.refusal, route) {
            (Some(refused), _) => Choice::Refuse(refused),
            (None, Some(route)) => route.choose(&active.route_job(), rand::random(), now),
            (None, None) => Choice::Refuse(nowhere()),
        };
        let event = match choice {
            Choice::Refuse(refused) => self.unroutable(id, refused),
            Choice::Offer(endpoint) => match self.agents_of.get(&endpoint) {
                Some(agent) => Event::Routed(Place {
                    agent: agent.clone(),
                    endpoint,
                }),
                None => Event::Unroutable(nowhere()),
            },
        };
        self.drive(id, event);
    }

    /// Refuses a request, after its key was shown to be fresh if it has one.
    fn unroutable(&mut self, id: RequestId, refused: Refused) -> Event<Place> {
        let needs_proof = |a: &Active| a.guarded && !a.keyed.granted;
        if !self.active.get(&id).is_some_and(needs_proof) {
            return Event::Unroutable(refused);
        }
        let Some(place) = self.proving_place(id) else {
            return Event::Unroutable(refused);
        };
        if let Some(active) = self.active.get_mut(&id) {
            active.keyed.refusal = Some(refused);
        }
        Event::Routed(place)
    }

    fn offer(&mut self, id: RequestId, place: Place) {
        let now = clock::now();
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        if let Some(refused) = active.keyed.refusal {
            return self.drive(id, Event::Refused(refused));
        }
        counter!("entry_offers_total").increment(1);
        active.next_chunk = 0;
        let offer = active.offer(&place, now);
        if let Some(route) = self.routes.get_mut(&active.job.pool) {
            route.on_offer(&place.endpoint, id, &active.route_job(), now);
        }
        active.excluded.push(place.endpoint.clone());
        self.request(id, &place, ToAgent::Offer(Box::new(offer)));
    }

    pub(crate) fn resume(&mut self, id: RequestId, place: &Place) {
        if self.must_wait_to_read(id) {
            return;
        }
        counter!("entry_resumes_total").increment(1);
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let next = active.next_chunk;
        let upto = active.upto;
        self.request(id, place, ToAgent::Resume { next, upto });
    }

    fn request(&mut self, id: RequestId, place: &Place, msg: ToAgent) {
        let link = self.peers.get(&place.agent).and_then(|p| p.link.as_ref());
        let Some((_, tx)) = link else {
            return;
        };
        if self.must_wait_to_read(id) {
            return;
        }
        let id = self.number_at_place(id);
        if tx.try_send(Frame::Request(id, msg)).is_err() {
            counter!("entry_frames_lost_total").increment(1);
        }
    }

    pub(crate) fn tell(&mut self, id: RequestId, word: ToCaller) {
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        Score::tell(&mut active.score, &word, &self.status, clock::now());
        if active.tx.try_send(word).is_err() {
            // The connection is gone; its end of the request says so itself.
            counter!("entry_words_lost_total").increment(1);
        }
    }

    fn tell_not_run(&mut self, id: RequestId, refused: Refused) {
        if let Some(active) = self.active.get(&id)
            && let Some(route) = self.routes.get_mut(&active.job.pool)
        {
            route.on_withdrawn(id);
        }
        if !self.may_tell_not_run(id, refused) {
            return;
        }
        counter!("entry_not_run_total", "reason" => refused.reason.code()).increment(1);
        self.tell(id, ToCaller::NotRun(refused));
    }

    fn finish(&mut self, id: RequestId, place: Option<&Place>) {
        self.settle_route(id, Ended::Whole);
        let Some(active) = self.active.get(&id) else {
            return;
        };
        if let Some(budget) = self.retries.get_mut(&active.job.pool) {
            budget.on_success();
        }
        let tier = active.job.tier.to_string();
        counter!("entry_answers_total", "tier" => tier).increment(1);
        let acked = active.next_chunk;
        if let Some(place) = place {
            self.request(id, place, ToAgent::Credit { acked, upto: acked });
        }
        self.tell(id, ToCaller::Whole);
    }

    fn settle_route(&mut self, id: RequestId, ended: Ended) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        if let Some(route) = self.routes.get_mut(&active.job.pool) {
            route.on_end(id, ended, clock::now());
        }
    }

    fn on_frame(&mut self, link: LinkId, frame: Frame) {
        let Some(agent) = self.links.get(&link).cloned() else {
            return;
        };
        match frame {
            Frame::Reply(id, reply) => self.on_reply(&agent, id, reply),
            Frame::Leaving => {
                if let Some(peer) = self.peers.get_mut(&agent) {
                    peer.leaving = true;
                }
                self.forget_endpoints(&agent);
            }
            Frame::Notices(notices) => self.on_notices(&agent, &notices),
            Frame::Guard(message) => self.on_guard(message),
            frame => self.tell_feed(gossip::from_frame(agent, frame)),
        }
    }

    /// Takes in which requests crash endpoints, and tells the other agents.
    fn on_notices(&mut self, from: &DaemonName, notices: &[Notice]) {
        if !self.quarantine.merge(notices, clock::now()) {
            return;
        }
        counter!("entry_quarantine_news_total").increment(1);
        for (name, peer) in &self.peers {
            if let (true, Some((_, tx))) = (name != from, &peer.link) {
                // A peer that misses this is told by the crash that it meets itself.
                let _ = tx.try_send(Frame::Notices(notices.to_vec()));
            }
        }
    }

    fn tell_feed(&self, msg: Option<FromPeer>) {
        let Some(msg) = msg else {
            return;
        };
        if self.feed.try_send(msg).is_err() {
            counter!("feed_messages_lost_total").increment(1);
        }
    }

    fn on_reply(&mut self, agent: &DaemonName, number: RequestId, reply: ToEntry) {
        let id = match self.active.contains_key(&number.origin()) {
            true => number.origin(),
            false => self.keys.reader(number).unwrap_or(number),
        };
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        // Words of an agent that does not have the request any more are late.
        let place = active.flight.place();
        let is_current = number.attempt(active.attempt) == number;
        if !is_current || place.is_none_or(|place| place.agent != *agent) {
            counter!("entry_late_replies_total").increment(1);
            return;
        }
        let now = clock::now();
        let route = self.routes.get_mut(&active.job.pool);
        let event = match reply {
            ToEntry::Accepted { first_token } => {
                if let Some(route) = route {
                    route.on_accepted(id, first_token, now);
                }
                Event::Accepted
            }
            ToEntry::Refused(refused) => {
                active.refused = Some(refused);
                if refused.reason.is_for_room() {
                    active.excluded.pop();
                }
                if let Some(route) = route {
                    route.on_refused(id, &refused, now);
                }
                Event::Refused(refused)
            }
            ToEntry::Withdrawn => Event::Withdrawn,
            ToEntry::AlreadyDispatched => Event::AlreadyDispatched,
            ToEntry::Unheard => {
                active.renumber();
                if let Some(route) = route {
                    route.on_withdrawn(id);
                }
                self.on_unheard(id);
                Event::Unheard
            }
            ToEntry::Dispatched { .. } => {
                if let Some(route) = route {
                    route.on_dispatched(id, now);
                }
                Event::Dispatched
            }
            ToEntry::Head(head) => {
                self.tell(id, ToCaller::Head(head));
                Event::Head
            }
            ToEntry::Chunk { seq, data } => return self.on_chunk(id, seq, data, now),
            ToEntry::End { chunks, end } => self.end_event(id, chunks, end),
        };
        self.drive(id, event);
    }

    fn on_chunk(&mut self, id: RequestId, seq: u64, data: bytes::Bytes, now: Instant) {
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        if seq < active.next_chunk {
            return;
        }
        if seq > active.next_chunk {
            counter!("entry_chunk_gaps_total").increment(1);
            return self.drive(id, Event::Broken);
        }
        active.next_chunk += 1;
        if let Some(score) = &mut active.score {
            score.on_part(&data, now);
        }
        if !active.first_token {
            active.first_token = true;
            let secs = now.since(active.job.received).duration().as_secs_f64();
            let tier = active.job.tier.to_string();
            histogram!("entry_first_token_seconds", "tier" => tier).record(secs);
        }
        counter!("entry_chunks_total").increment(1);
        self.tell(id, ToCaller::Chunk(data));
    }

    /// Decides whether an answer that has ended is whole.
    fn end_event(&self, id: RequestId, chunks: u64, end: End) -> Event<Place> {
        let received = self.active.get(&id).map_or(0, |active| active.next_chunk);
        match end {
            End::Whole if received == chunks => Event::Whole,
            _ => Event::Broken,
        }
    }

    fn on_report(&mut self, report: Report, cx: &mut Context<Self>) {
        let now = clock::now();
        let known = self.peers.get(&report.agent);
        let is_older = known.is_some_and(|peer| peer.incarnation > report.incarnation);
        if is_older {
            counter!("entry_stale_reports_total").increment(1);
            return;
        }
        let replaced = known.is_some_and(|peer| peer.incarnation < report.incarnation);
        if replaced {
            self.on_agent_lost(&report.agent);
            self.peers.remove(&report.agent);
        }
        let peer = self.peers.entry(report.agent.clone()).or_insert_with(|| {
            info!("agent {} is at {}", report.agent, report.address);
            Peer {
                address: report.address,
                incarnation: report.incarnation,
                link: None,
                connecting: false,
                leaving: false,
                last_report: now,
            }
        });
        peer.address = report.address;
        peer.last_report = now;
        peer.leaving |= report.leaving;
        let usable = peer.link.is_some() && !peer.leaving;
        if peer.leaving {
            self.forget_endpoints(&report.agent);
        } else if usable {
            for load in &report.endpoints {
                self.on_load(&report.agent, load, report.seq, now);
            }
        }
        self.tell_feed(Some(FromPeer::Generation {
            peer: report.agent.clone(),
            generation: report.generation,
        }));
        self.connect(&report.agent, cx);
    }

    fn on_load(&mut self, agent: &DaemonName, load: &Load, seq: u64, now: Instant) {
        let known = self.agents_of.get(&load.endpoint);
        if known != Some(agent) {
            self.agents_of.insert(load.endpoint.clone(), agent.clone());
        }
        let Some(pool) = self.index.pool(&load.pool) else {
            return;
        };
        let route = self.routes.entry(load.pool.clone());
        let route = route.or_insert_with(|| Route::for_pool(pool));
        route.set_pool(pool);
        route.on_report(&load.endpoint, view_of(load), seq, now);
        route.on_prefixes(&load.endpoint, &load.prefixes);
    }

    /// Opens a link to an agent unless there is one.
    fn connect(&mut self, name: &DaemonName, cx: &mut Context<Self>) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        if peer.link.is_some() || peer.connecting {
            return;
        }
        peer.connecting = true;
        let address = peer.address;
        let cfg = self.links_cfg.clone();
        let entry = cx.address();
        let name = name.clone();
        actix_rt::spawn(async move {
            let link = link::connect(address, &cfg).await;
            if link.is_err() {
                tokio::time::sleep(CONNECT_PAUSE).await;
            }
            entry.do_send(Connected(name, link));
        });
    }

    fn on_connected(&mut self, name: &DaemonName, link: Link, cx: &mut Context<Self>) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        // Another process may listen where the agent was.
        let is_agent = link.peer.name == *name && link.peer.role == Role::Agent;
        if !is_agent || link.peer.incarnation < peer.incarnation {
            counter!("entry_wrong_peers_total").increment(1);
            return;
        }
        let same_run = link.peer.incarnation == peer.incarnation;
        peer.incarnation = link.peer.incarnation;
        self.next_link += 1;
        let id = LinkId(self.next_link);
        let summary = self.quarantine.summary(clock::now());
        if !summary.is_empty() {
            // A new link has room for its first frames.
            let _ = link.tx.try_send(Frame::Notices(summary));
        }
        peer.link = Some((id, link.tx));
        self.links.insert(id, name.clone());
        actix_rt::spawn(gossip::follow(
            name.clone(),
            link.generation,
            self.feed.clone(),
        ));
        cx.add_stream(peer::events(id, link.rx));
        counter!("entry_links_total").increment(1);
        let run = Run {
            name: name.clone(),
            incarnation: link.peer.incarnation,
        };
        self.resend_to(&run);
        if !same_run {
            return self.on_agent_lost(name);
        }
        for id in self.requests_at(name) {
            self.drive(id, Event::LinkUp);
        }
    }

    fn on_link_lost(&mut self, link: LinkId, cx: &mut Context<Self>) {
        let Some(name) = self.links.remove(&link) else {
            return;
        };
        let Some(peer) = self.peers.get_mut(&name) else {
            return;
        };
        if peer.link.as_ref().is_none_or(|(id, _)| *id != link) {
            return;
        }
        peer.link = None;
        self.tell_feed(Some(FromPeer::Gone { peer: name.clone() }));
        counter!("entry_link_losses_total").increment(1);
        warn!("the link to agent {name} is lost");
        let now = clock::now();
        let endpoints = self.endpoints_of(&name);
        for route in self.routes.values_mut() {
            endpoints.iter().for_each(|e| route.on_link_lost(e, now));
        }
        for id in self.requests_at(&name) {
            self.drive(id, Event::LinkLost);
        }
        self.connect(&name, cx);
    }

    fn on_agent_lost(&mut self, name: &DaemonName) {
        warn!("agent {name} was restarted");
        self.forget_endpoints(name);
        for id in self.requests_at(name) {
            self.drive(id, Event::AgentLost);
        }
    }

    fn forget_endpoints(&mut self, agent: &DaemonName) {
        for endpoint in self.endpoints_of(agent) {
            self.agents_of.remove(&endpoint);
            for route in self.routes.values_mut() {
                route.forget(&endpoint);
            }
        }
    }

    fn endpoints_of(&self, agent: &DaemonName) -> Vec<EndpointName> {
        let endpoints = self.agents_of.iter().filter(|(_, a)| *a == agent);
        endpoints.map(|(endpoint, _)| endpoint.clone()).collect()
    }

    fn requests_at(&self, agent: &DaemonName) -> Vec<RequestId> {
        let is_there = |active: &Active| {
            let place = active.flight.place();
            place.is_some_and(|place| place.agent == *agent)
        };
        let there = self.active.iter().filter(|(_, active)| is_there(active));
        there.map(|(id, _)| *id).collect()
    }

    fn tick(&mut self) {
        self.tick_keys();
        let now = clock::now();
        let due = self
            .active
            .iter()
            .filter(|(_, a)| a.flight.wake_at() <= now);
        let due: Vec<_> = due.map(|(id, _)| *id).collect();
        for id in due {
            self.drive(id, Event::Tick);
        }
    }

    fn sweep(&mut self, cx: &mut Context<Self>) {
        self.sweep_keys();
        let now = clock::now();
        let unlinked = self.peers.iter().filter(|(_, peer)| {
            peer.link.is_none() && now.since(peer.last_report) < REPORT_SILENCE
        });
        let unlinked: Vec<_> = unlinked.map(|(name, _)| name.clone()).collect();
        for name in unlinked {
            self.connect(&name, cx);
        }
        let agents = self.peers.iter().map(|(name, peer)| {
            json!({
                "agent": name,
                "address": peer.address,
                "incarnation": peer.incarnation,
                "linked": peer.link.is_some(),
                "leaving": peer.leaving,
            })
        });
        self.status.set_report(json!({
            "role": "entry",
            "name": self.settings.name,
            "incarnation": self.links_cfg.me.incarnation,
            "generation": self.index.generation,
            "leaving": self.leaving,
            "requests": self.active.len(),
            "endpoints": self.agents_of.len(),
            "agents": agents.collect::<Vec<_>>(),
        }));
    }
}

impl Active {
    /// Lets the request be offered again where it was not heard of.
    ///
    /// A guarded request keeps its number, by which its home and the readers of
    /// its answer know it, and goes to another endpoint.
    fn renumber(&mut self) {
        if self.guarded {
            return;
        }
        self.attempt = self.attempt.saturating_add(1);
        self.excluded.pop();
    }

    fn route_job(&self) -> route::Job {
        route::Job {
            tier: self.job.tier,
            prompt: self.job.prompt,
            output: self.job.output,
            prefixes: self.job.prefixes.clone(),
            deadline: self.job.deadline,
            suspect: false,
            excluded: self.excluded.clone(),
            refused: self.refused,
        }
    }

    fn offer(&self, place: &Place, now: Instant) -> Offer {
        let job = &self.job;
        Offer {
            pool: job.pool.clone(),
            endpoint: place.endpoint.clone(),
            organisation: job.organisation.clone(),
            class: job.class.clone(),
            tier: job.tier,
            key: job.key,
            remaining: job.deadline.since(now),
            prompt: job.prompt,
            output: job.output,
            prefixes: job.prefixes.clone(),
            weight: job.weight,
            fingerprint: job.fingerprint,
            upto: self.upto,
            method: job.method.clone(),
            path: job.path.clone(),
            headers: job.headers.clone(),
            body: job.body.clone(),
        }
    }
}

/// Refuses a request whose pool has no endpoint that this entry knows of.
fn nowhere() -> Refused {
    Refused {
        reason: Refusal::Unavailable,
        retry_after: NOWHERE_RETRY_AFTER,
        admits: None,
    }
}

fn view_of(load: &Load) -> LoadView {
    LoadView {
        healthy: load.healthy,
        running: load.running,
        queued: load.queued,
        admits: load.admits,
        prefill_rate: TokenRate(f64::from(load.prefill_rate)),
        decode_rate: TokenRate(f64::from(load.decode_rate)),
        limit: load.limit,
    }
}

impl Actor for Entry {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Context<Self>) {
        cx.set_mailbox_capacity(1 << 16);
        cx.run_interval(TICK, |entry, _| entry.tick());
        cx.run_interval(SWEEP, |entry, cx| entry.sweep(cx));
    }
}

impl StreamHandler<ToPeer> for Entry {
    fn handle(&mut self, msg: ToPeer, _: &mut Context<Self>) {
        let (name, frame) = gossip::to_frame(msg);
        let link = self.peers.get(&name).and_then(|peer| peer.link.as_ref());
        let sent = link.is_some_and(|(_, tx)| tx.try_send(frame).is_ok());
        if !sent {
            self.tell_feed(Some(FromPeer::Gone { peer: name }));
        }
    }

    // The entry outlives its feed, which the provided method would not allow.
    fn finished(&mut self, _: &mut Context<Self>) {}
}

impl StreamHandler<LinkEvent> for Entry {
    fn handle(&mut self, event: LinkEvent, cx: &mut Context<Self>) {
        match event {
            LinkEvent::Frame(link, frame) => self.on_frame(link, frame),
            LinkEvent::Lost(link) => self.on_link_lost(link, cx),
        }
    }

    // The entry outlives its links, which the provided method would not allow.
    fn finished(&mut self, _: &mut Context<Self>) {}
}

impl Handler<Submit> for Entry {
    type Result = ();

    fn handle(&mut self, msg: Submit, _: &mut Context<Self>) {
        self.submit(msg.id, msg.job, msg.tx);
    }
}

impl Handler<Consumed> for Entry {
    type Result = ();

    fn handle(&mut self, msg: Consumed, _: &mut Context<Self>) {
        let window = u64::from(self.settings.limits.window_chunks);
        let Some(active) = self.active.get_mut(&msg.id) else {
            return;
        };
        active.upto = active.upto.max(msg.chunks + window);
        let acked = active.next_chunk;
        let upto = active.upto;
        let place = active.flight.place().cloned();
        if let Some(place) = place {
            self.request(msg.id, &place, ToAgent::Credit { acked, upto });
        }
    }
}

impl Handler<CallerGone> for Entry {
    type Result = ();

    fn handle(&mut self, CallerGone(id): CallerGone, _: &mut Context<Self>) {
        if let Some(active) = self.active.get_mut(&id) {
            counter!("entry_callers_gone_total").increment(1);
            Score::abandon(&mut active.score, &self.status, clock::now());
        }
        self.drive(id, Event::CallerGone);
    }
}

impl Handler<Reported> for Entry {
    type Result = ();

    fn handle(&mut self, Reported(report): Reported, cx: &mut Context<Self>) {
        self.on_report(report, cx);
    }
}

impl Handler<Connected> for Entry {
    type Result = ();

    fn handle(&mut self, Connected(name, link): Connected, cx: &mut Context<Self>) {
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.connecting = false;
        }
        match link {
            Ok(link) => self.on_connected(&name, link, cx),
            Err(_) => counter!("entry_connect_failures_total").increment(1),
        }
    }
}

impl Handler<Reconfigure> for Entry {
    type Result = ();

    fn handle(&mut self, Reconfigure(index): Reconfigure, _: &mut Context<Self>) {
        let Generation(generation) = index.generation;
        self.links_cfg
            .generation
            .store(generation, Ordering::Relaxed);
        self.routes.retain(|pool, _| index.pool(pool).is_some());
        let entries = index.configuration.entries.len();
        self.quota
            .set_entries(u32::try_from(entries).unwrap_or(u32::MAX));
        let agents = index.configuration.agents.iter();
        let agents: Vec<_> = agents.map(|a| a.name.clone()).collect();
        self.keys.configure(&agents);
        info!("configuration {generation} is in force");
        for peer in self.peers.values() {
            if let Some((_, tx)) = &peer.link {
                // The next heartbeat says the same.
                let _ = tx.try_send(gossip::nudge(index.generation));
            }
        }
        self.index = index;
        if !self.leaving {
            self.status.set_ready();
        }
    }
}

impl Handler<Leave> for Entry {
    type Result = ();

    fn handle(&mut self, _: Leave, _: &mut Context<Self>) {
        info!("leaving: the balancer is told by readiness");
        self.leaving = true;
        self.status.set_unready("leaving");
    }
}

impl Handler<InFlight> for Entry {
    type Result = usize;

    fn handle(&mut self, _: InFlight, _: &mut Context<Self>) -> usize {
        self.active.len() + usize::from(self.keys.is_releasing())
    }
}
