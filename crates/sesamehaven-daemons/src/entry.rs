//! The entry: routes callers' requests to agents and returns their answers.
//!
//! A single actor owns the state of all requests. The HTTP threads submit requests
//! to it; a [`Lifecycle`] decides the progress of each request, and the [`Router`] of
//! its pool selects the endpoint.

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
use sesamehaven::part_quarantine::PartQuarantine;
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
use crate::feed_link;
use crate::keys::{KeyState, Keys};
use crate::peer::{LinkEvent, LinkId};
use crate::settings::EntrySettings;
use crate::slo::SloTracker;

/// Interval at which requests are checked for expired timers.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the status is refreshed and lost links are reopened.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum age of an agent's last report for a lost link to it to be reopened.
const REPORT_TIMEOUT: Millis = Millis(10_000);
/// Retry delay suggested with refusals for which no endpoint can be chosen.
const NO_ENDPOINT_RETRY_AFTER: Millis = Millis(1_000);

/// The agent and endpoint to which a request is offered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The agent that admits requests to the endpoint.
    pub agent: DaemonName,
    /// The endpoint.
    pub endpoint: EndpointName,
}

/// The actor that owns the entry's state.
pub struct Entry {
    pub(crate) settings: Arc<EntrySettings>,
    pub(crate) links_cfg: LinkConfig,
    pub(crate) status: Status,
    pub(crate) index: Arc<Index>,
    pub(crate) peers: BTreeMap<DaemonName, Peer>,
    pub(crate) agents_of: HashMap<EndpointName, DaemonName>,
    pub(crate) links: HashMap<LinkId, DaemonName>,
    pub(crate) routers: HashMap<PoolName, Router>,
    pub(crate) active: HashMap<RequestId, Active>,
    pub(crate) keys: Keys,
    pub(crate) retries: HashMap<PoolName, RetryBudget>,
    pub(crate) quota: Quota,
    pub(crate) quarantine: Quarantine,
    pub(crate) part_quarantine: PartQuarantine,
    pub(crate) feed: mpsc::Sender<FromPeer>,
    pub(crate) next_link: u64,
    pub(crate) leaving: bool,
}

/// Puts a configuration in force.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Reconfigure(pub Arc<Index>);

/// Starts draining: marks the entry as not ready so that load balancers stop
/// sending requests.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leave;

/// Queries the number of requests in flight, plus one while any release of a key is
/// pending.
#[derive(Message)]
#[rtype(result = "usize")]
pub struct InFlight;

impl Entry {
    /// Creates an entry that has no configuration yet.
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
            routers: HashMap::new(),
            active: HashMap::new(),
            keys: Keys::new(me),
            retries: HashMap::new(),
            quota: Quota::default(),
            quarantine: Quarantine::default(),
            part_quarantine: PartQuarantine::default(),
            feed,
            next_link: 0,
            leaving: false,
        }
    }

    pub(crate) fn submit(&mut self, id: RequestId, job: Box<Job>, tx: mpsc::Sender<ToCaller>) {
        counter!("entry_requests_total", "tier" => job.tier.to_string()).increment(1);
        let class = self.index.class(&job.class);
        let objective = class.map_or_else(Objective::default, |class| class.objective.clone());
        let mut slo = Some(SloTracker::new(&job, objective));
        let guarded = job.key.is_some() && job.repeat != Repeat::Idempotent;
        let admission = self.admit(&job).err();
        if let (Some(refused), false) = (admission, guarded) {
            counter!("entry_not_run_total", "reason" => refused.reason.code()).increment(1);
            let message = ToCaller::NotRun(refused);
            SloTracker::record(&mut slo, &message, &self.status, clock::now());
            // A closed connection needs no answer.
            let _ = tx.try_send(message);
            return;
        }
        let policy = ExecutionPolicy {
            repeat: job.repeat,
            guarded,
            deadline: job.deadline,
        };
        let active = Active {
            lifecycle: Lifecycle::new(policy),
            job,
            tx,
            guarded,
            key_state: KeyState {
                refusal: admission,
                ..KeyState::default()
            },
            admitted: admission.is_none(),
            excluded: SmallVec::new(),
            refused: None,
            next_chunk: 0,
            window_end: u64::from(self.settings.limits.window_chunks),
            first_token: false,
            slo,
            attempt: 0,
        };
        self.active.insert(id, active);
        self.route(id);
    }

    /// Passes an event to a request's state machine and applies the resulting
    /// steps.
    pub(crate) fn on_event(&mut self, id: RequestId, event: Event<Target>) {
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        let before = active.lifecycle.target().cloned();
        let steps = active.lifecycle.on(event, clock::now());
        let done = active.lifecycle.is_done();
        for step in steps {
            self.apply_step(id, step, before.as_ref());
        }
        if done && let Some(active) = self.active.remove(&id) {
            if active.admitted {
                let organisation = OrganisationDigest::of(&active.job.organisation);
                self.quota.on_end(organisation);
            }
            if active.guarded {
                self.forget_key(id, active.key_state.attached);
            }
        }
    }

    pub(crate) fn apply_step(
        &mut self,
        id: RequestId,
        step: Step<Target>,
        before: Option<&Target>,
    ) {
        match step {
            Step::Route => {
                counter!("entry_reroutes_total").increment(1);
                self.route(id);
            }
            Step::Rerun => self.retry(id),
            Step::Claim(target) => self.claim_key(id, &target),
            Step::Release => self.release_key(id),
            Step::Offer(target) => self.offer(id, target),
            Step::Withdraw(target) => self.send_to_agent(id, &target, ToAgent::Withdraw),
            Step::Cancel(target) => {
                self.end_route(id, RunOutcome::Cancelled);
                self.send_to_agent(id, &target, ToAgent::Cancel);
            }
            Step::Resume(target) => self.resume(id, &target),
            Step::NotRun(refused) => self.send_not_run(id, refused),
            Step::Unknown(reason) => {
                counter!("entry_unknown_total", "reason" => reason.code()).increment(1);
                self.end_route(id, RunOutcome::Failed);
                if let Some(target) = before {
                    self.send_to_agent(id, target, ToAgent::Cancel);
                }
                self.send_to_caller(id, ToCaller::Unknown(reason));
            }
            Step::Finish => self.finish(id, before),
        }
    }

    pub(crate) fn resume(&mut self, id: RequestId, target: &Target) {
        if self.must_wait_for_answer(id) {
            return;
        }
        counter!("entry_resumes_total").increment(1);
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let next = active.next_chunk;
        let window_end = active.window_end;
        self.send_to_agent(id, target, ToAgent::Resume { next, window_end });
    }

    pub(crate) fn send_to_agent(&mut self, id: RequestId, target: &Target, msg: ToAgent) {
        let link = self.peers.get(&target.agent).and_then(|p| p.link.as_ref());
        let Some((_, tx)) = link else {
            return;
        };
        if self.must_wait_for_answer(id) {
            return;
        }
        let id = self.id_at_target(id);
        if tx.try_send(Frame::Request(id, msg)).is_err() {
            counter!("entry_frames_lost_total").increment(1);
        }
    }

    pub(crate) fn send_to_caller(&mut self, id: RequestId, message: ToCaller) {
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        SloTracker::record(&mut active.slo, &message, &self.status, clock::now());
        if active.tx.try_send(message).is_err() {
            // The caller's connection is closed and reports this itself with
            // `CallerGone`.
            counter!("entry_words_lost_total").increment(1);
        }
    }

    pub(crate) fn send_not_run(&mut self, id: RequestId, refused: Refused) {
        if let Some(active) = self.active.get(&id)
            && let Some(router) = self.routers.get_mut(&active.job.pool)
        {
            router.on_withdrawn(id);
        }
        if !self.resolve_not_run(id, refused) {
            return;
        }
        counter!("entry_not_run_total", "reason" => refused.reason.code()).increment(1);
        self.send_to_caller(id, ToCaller::NotRun(refused));
    }

    pub(crate) fn finish(&mut self, id: RequestId, target: Option<&Target>) {
        self.end_route(id, RunOutcome::Completed);
        let Some(active) = self.active.get(&id) else {
            return;
        };
        if let Some(budget) = self.retries.get_mut(&active.job.pool) {
            budget.on_success();
        }
        let tier = active.job.tier.to_string();
        counter!("entry_answers_total", "tier" => tier).increment(1);
        let acked = active.next_chunk;
        if let Some(target) = target {
            self.send_to_agent(
                id,
                target,
                ToAgent::Credit {
                    acked,
                    window_end: acked,
                },
            );
        }
        self.send_to_caller(id, ToCaller::Complete);
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
            Frame::PartNotices(notices) => self.on_part_notices(&agent, &notices),
            Frame::Guard(message) => self.on_guard(message),
            frame => self.notify_feed(feed_link::from_frame(agent, frame)),
        }
    }

    /// Merges quarantine notices and forwards them to the other agents.
    pub(crate) fn on_notices(&mut self, from: &DaemonName, notices: &[Notice]) {
        if !self.quarantine.merge(notices, clock::now()) {
            return;
        }
        counter!("entry_quarantine_news_total").increment(1);
        for (name, peer) in &self.peers {
            if let (true, Some((_, tx))) = (name != from, &peer.link) {
                // An agent that misses the notice learns of the suspect request
                // when its own endpoint crashes.
                let _ = tx.try_send(Frame::Notices(notices.to_vec()));
            }
        }
    }

    pub(crate) fn notify_feed(&self, msg: Option<FromPeer>) {
        feed_link::notify(&self.feed, msg);
    }

    pub(crate) fn tick(&mut self) {
        self.tick_keys();
        let now = clock::now();
        let due = self
            .active
            .iter()
            .filter(|(_, a)| a.lifecycle.wake_at() <= now);
        let due: Vec<_> = due.map(|(id, _)| *id).collect();
        for id in due {
            self.on_event(id, Event::Tick);
        }
    }

    pub(crate) fn sweep(&mut self, cx: &mut Context<Self>) {
        self.sweep_keys();
        let now = clock::now();
        let unlinked = self.peers.iter().filter(|(_, peer)| {
            peer.link.is_none() && now.since(peer.last_report) < REPORT_TIMEOUT
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

/// Builds the refusal of a request for which no endpoint can be chosen, or whose
/// retry is denied.
pub(crate) fn no_endpoint() -> Refused {
    Refused {
        reason: Refusal::Unavailable,
        retry_after: NO_ENDPOINT_RETRY_AFTER,
        admits: None,
    }
}

impl Actor for Entry {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Context<Self>) {
        cx.set_mailbox_capacity(1 << 16);
        cx.run_interval(TICK_INTERVAL, |entry, _| entry.tick());
        cx.run_interval(SWEEP_INTERVAL, |entry, cx| entry.sweep(cx));
    }
}

impl StreamHandler<ToPeer> for Entry {
    fn handle(&mut self, msg: ToPeer, _: &mut Context<Self>) {
        let (name, frame) = feed_link::to_frame(msg);
        let link = self.peers.get(&name).and_then(|peer| peer.link.as_ref());
        let sent = link.is_some_and(|(_, tx)| tx.try_send(frame).is_ok());
        if !sent {
            self.notify_feed(Some(FromPeer::Disconnected { peer: name }));
        }
    }

    // The provided method would stop the actor when the feed ends.
    fn finished(&mut self, _: &mut Context<Self>) {}
}

impl StreamHandler<LinkEvent> for Entry {
    fn handle(&mut self, event: LinkEvent, cx: &mut Context<Self>) {
        match event {
            LinkEvent::Frame(link, frame) => self.on_frame(link, frame),
            LinkEvent::Lost(link) => self.on_link_lost(link, cx),
        }
    }

    // The provided method would stop the actor when a link closes.
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
        active.window_end = active.window_end.max(msg.chunks + window);
        let acked = active.next_chunk;
        let window_end = active.window_end;
        let target = active.lifecycle.target().cloned();
        if let Some(target) = target {
            self.send_to_agent(msg.id, &target, ToAgent::Credit { acked, window_end });
        }
    }
}

impl Handler<CallerGone> for Entry {
    type Result = ();

    fn handle(&mut self, CallerGone(id): CallerGone, _: &mut Context<Self>) {
        if let Some(active) = self.active.get_mut(&id) {
            counter!("entry_callers_gone_total").increment(1);
            SloTracker::record_abandoned(&mut active.slo, &self.status, clock::now());
        }
        self.on_event(id, Event::CallerGone);
    }
}

impl Handler<Reconfigure> for Entry {
    type Result = ();

    fn handle(&mut self, Reconfigure(index): Reconfigure, _: &mut Context<Self>) {
        let Generation(generation) = index.generation;
        self.links_cfg
            .generation
            .store(generation, Ordering::Relaxed);
        self.routers.retain(|pool, _| index.pool(pool).is_some());
        let entries = index.configuration.entries.len();
        self.quota
            .set_entries(u32::try_from(entries).unwrap_or(u32::MAX));
        let agents = index.configuration.agents.iter();
        let agents: Vec<_> = agents.map(|a| a.name.clone()).collect();
        self.keys.configure(&agents);
        info!("applied configuration {generation}");
        for peer in self.peers.values() {
            if let Some((_, tx)) = &peer.link {
                // The next heartbeat carries the same generation.
                let _ = tx.try_send(feed_link::generation_ping(index.generation));
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
        info!("draining: reporting not ready to load balancers");
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
