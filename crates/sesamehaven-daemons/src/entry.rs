//! The entry: takes callers' requests to agents and answers back.
//!
//! One actor holds all requests of the entry. Threads that speak HTTP submit
//! requests to it; what happens to each is decided by its [`Lifecycle`], and where
//! it goes by the [`Router`] of its pool.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix::prelude::*;
use metrics::counter;
use serde_json::json;
use smallvec::SmallVec;
use spdlog::info;
use tokio::sync::mpsc;

use sesamehaven::config::{Index, Objective, Repeat};
use sesamehaven::fair::OrganisationDigest;
use sesamehaven::gate::RunOutcome;
use sesamehaven::guard::Run;
use sesamehaven::id::{DaemonName, EndpointName, Generation, PoolName, RequestId};
use sesamehaven::lifecycle::{Event, ExecutionPolicy, Lifecycle, Step};
use sesamehaven::outcome::{Refusal, Refused};
use sesamehaven::quarantine::{Notice, Quarantine};
use sesamehaven::quota::Quota;
use sesamehaven::retry::RetryBudget;
use sesamehaven::router::Router;
use sesamehaven::unit::Millis;
use sesamehaven_wire::link::LinkConfig;
use sesamehaven_wire::message::{Frame, ToAgent};

use crate::active::Active;
use crate::admin::Status;
use crate::caller::{CallerGone, Consumed, Job, Submit, ToCaller};
use crate::clock;
use crate::entry_peers::Peer;
use crate::feed::{FromPeer, ToPeer};
use crate::gossip;
use crate::keys::{Keyed, Keys};
use crate::peer::{LinkEvent, LinkId};
use crate::score::Score;
use crate::settings::EntrySettings;

/// How often requests whose time may have come are looked at.
const TICK: Duration = Duration::from_millis(10);
/// How often the status is renewed.
const SWEEP: Duration = Duration::from_millis(250);
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

/// The actor that holds the entry's state.
pub struct Entry {
    pub(crate) settings: Arc<EntrySettings>,
    pub(crate) links_cfg: LinkConfig,
    pub(crate) status: Status,
    pub(crate) index: Arc<Index>,
    pub(crate) peers: BTreeMap<DaemonName, Peer>,
    pub(crate) agents_of: HashMap<EndpointName, DaemonName>,
    pub(crate) links: HashMap<LinkId, DaemonName>,
    pub(crate) routes: HashMap<PoolName, Router>,
    pub(crate) active: HashMap<RequestId, Active>,
    pub(crate) keys: Keys,
    pub(crate) retries: HashMap<PoolName, RetryBudget>,
    pub(crate) quota: Quota,
    pub(crate) quarantine: Quarantine,
    pub(crate) feed: mpsc::Sender<FromPeer>,
    pub(crate) next_link: u64,
    pub(crate) leaving: bool,
}

/// A configuration that is to be in force from now on.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Reconfigure(pub Arc<Index>);

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
            incarnation: links_cfg.identity.incarnation,
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

    pub(crate) fn submit(&mut self, id: RequestId, job: Box<Job>, tx: mpsc::Sender<ToCaller>) {
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
        let terms = ExecutionPolicy {
            repeat: job.repeat,
            guarded,
            deadline: job.deadline,
        };
        let active = Active {
            flight: Lifecycle::new(terms),
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

    /// Feeds an event to a request and takes the steps that follow.
    pub(crate) fn drive(&mut self, id: RequestId, event: Event<Place>) {
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        let before = active.flight.target().cloned();
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

    pub(crate) fn take_step(&mut self, id: RequestId, step: Step<Place>, before: Option<&Place>) {
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
                self.settle_route(id, RunOutcome::Cancelled);
                self.request(id, &place, ToAgent::Cancel);
            }
            Step::Resume(place) => self.resume(id, &place),
            Step::NotRun(refused) => self.tell_not_run(id, refused),
            Step::Unknown(doubt) => {
                counter!("entry_unknown_total", "reason" => doubt.code()).increment(1);
                self.settle_route(id, RunOutcome::Failed);
                if let Some(place) = before {
                    self.request(id, place, ToAgent::Cancel);
                }
                self.tell(id, ToCaller::Unknown(doubt));
            }
            Step::Finish => self.finish(id, before),
        }
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
        let window_end = active.upto;
        self.request(id, place, ToAgent::Resume { next, window_end });
    }

    pub(crate) fn request(&mut self, id: RequestId, place: &Place, msg: ToAgent) {
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

    pub(crate) fn tell_not_run(&mut self, id: RequestId, refused: Refused) {
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

    pub(crate) fn finish(&mut self, id: RequestId, place: Option<&Place>) {
        self.settle_route(id, RunOutcome::Completed);
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
            self.request(
                id,
                place,
                ToAgent::Credit {
                    acked,
                    window_end: acked,
                },
            );
        }
        self.tell(id, ToCaller::Whole);
    }

    pub(crate) fn on_frame(&mut self, link: LinkId, frame: Frame) {
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
    pub(crate) fn on_notices(&mut self, from: &DaemonName, notices: &[Notice]) {
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

    pub(crate) fn tell_feed(&self, msg: Option<FromPeer>) {
        gossip::tell(&self.feed, msg);
    }

    pub(crate) fn tick(&mut self) {
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

    pub(crate) fn sweep(&mut self, cx: &mut Context<Self>) {
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
            "incarnation": self.links_cfg.identity.incarnation,
            "generation": self.index.generation,
            "leaving": self.leaving,
            "requests": self.active.len(),
            "endpoints": self.agents_of.len(),
            "agents": agents.collect::<Vec<_>>(),
        }));
    }
}

/// Refuses a request whose pool has no endpoint that this entry knows of.
pub(crate) fn nowhere() -> Refused {
    Refused {
        reason: Refusal::Unavailable,
        retry_after: NOWHERE_RETRY_AFTER,
        admits: None,
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
        let window_end = active.upto;
        let place = active.flight.target().cloned();
        if let Some(place) = place {
            self.request(msg.id, &place, ToAgent::Credit { acked, window_end });
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
