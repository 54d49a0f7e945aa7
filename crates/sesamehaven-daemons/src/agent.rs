//! The agent: the only gate to the endpoints of its VM.
//!
//! One actor holds all requests of the agent. It asks the gate of each endpoint
//! what to accept and what to dispatch, runs the calls, and lets entries read
//! the answers.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix::prelude::*;
use awc::Client;
use metrics::{counter, gauge};
use smallvec::SmallVec;
use spdlog::info;
use tokio::sync::{Notify, mpsc};

use sesamehaven::cache_view::CacheView;
use sesamehaven::config::Index;
use sesamehaven::gate::{Gate, GateConfig, Withdrawal};
use sesamehaven::guard::{self, Slot};
use sesamehaven::home::Bootstrap;
use sesamehaven::id::{DaemonName, EndpointName, Generation, Incarnation, KeyDigest, RequestId};
use sesamehaven::offer_history::OfferHistory;
use sesamehaven::outcome::{Refusal, Refused};
use sesamehaven::quarantine::Quarantine;
use sesamehaven::unit::{Instant, Millis};
use sesamehaven_wire::guard::GuardMessage;
use sesamehaven_wire::link::{Link, LinkConfig, Sender};
use sesamehaven_wire::message::{End, Frame, Report, ToAgent};

use crate::admin::Status;
use crate::agent_offers::Early;
use crate::agent_report::Door;
use crate::claims::Claims;
use crate::clock;
use crate::feed::{FromPeer, ToPeer};
use crate::gossip;
use crate::homes::{self, Homes};
use crate::listing::Listing;
use crate::peer::{self, LinkEvent, LinkId};
use crate::platform::{PLATFORM_TIMEOUT, Platform, VmState};
use crate::run::Run;
use crate::settings::AgentSettings;

/// How often gates are polled although nothing happened.
const TICK: Duration = Duration::from_millis(10);
/// How often the status and the retention of answers are looked after.
const SWEEP: Duration = Duration::from_millis(250);
/// How long work goes on for an entry whose link was lost.
const ORPHAN_GRACE: Millis = Millis(5_000);
/// When to come back to an endpoint that is not there.
const ABSENT_RETRY_AFTER: Millis = Millis(1_000);
/// The prefixes that an engine's cache is taken to hold at most.
const CACHE_PREFIXES: usize = 2_048;

/// What joins the agent's actor to the tasks around it.
pub struct Wiring {
    /// Calls endpoints.
    pub client: Client,
    /// Tells operators about the agent.
    pub status: Status,
    /// Takes reports to the entries.
    pub reports: mpsc::Sender<Report>,
    /// Takes what links say of configurations to the feed.
    pub feed: mpsc::Sender<FromPeer>,
    /// Wakes the process when its VM is listed as leaving.
    pub listed_leaving: Rc<Notify>,
}

/// The actor that holds the agent's state.
pub struct Agent {
    pub(crate) settings: Arc<AgentSettings>,
    pub(crate) incarnation: Incarnation,
    pub(crate) links_cfg: LinkConfig,
    pub(crate) client: Client,
    pub(crate) status: Status,
    pub(crate) reports: mpsc::Sender<Report>,
    pub(crate) index: Arc<Index>,
    pub(crate) doors: BTreeMap<EndpointName, Door>,
    pub(crate) runs: HashMap<RequestId, Run>,
    pub(crate) links: HashMap<LinkId, (DaemonName, Sender)>,
    pub(crate) quarantine: Quarantine,
    pub(crate) crashes: u64,
    pub(crate) feed: mpsc::Sender<FromPeer>,
    pub(crate) listing: Listing,
    pub(crate) listed_leaving: Rc<Notify>,
    pub(crate) offers: OfferHistory,
    pub(crate) early: Vec<Early>,
    pub(crate) claims: Claims,
    pub(crate) claiming: HashMap<RequestId, KeyDigest>,
    pub(crate) homes: Homes,
    pub(crate) platform: Platform,
    pub(crate) next_link: u64,
    pub(crate) report_seq: u64,
    pub(crate) leaving: bool,
    pub(crate) link_address: std::net::SocketAddr,
}

/// A link that an entry has opened.
#[derive(Message)]
#[rtype(result = "()")]
pub struct LinkUp(pub Link);

/// A configuration that is to be in force from now on.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Reconfigure(pub Arc<Index>);

/// What the platform says of slots that no entry remembers a home of.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Opened(Vec<(Slot, Bootstrap)>);

/// The entries' VMs as the platform lists them.
#[derive(Message)]
#[rtype(result = "()")]
pub struct EntriesListed(pub Vec<(DaemonName, VmState)>);

/// Asks the agent to refuse new work and hand back what is queued.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leave;

/// Asks whether anything is still in flight.
#[derive(Message)]
#[rtype(result = "usize")]
pub struct InFlight;

impl Agent {
    /// Builds an agent without a configuration.
    pub fn new(
        settings: Arc<AgentSettings>,
        links_cfg: LinkConfig,
        link_address: std::net::SocketAddr,
        wiring: Wiring,
    ) -> Self {
        let me = guard::Run {
            name: settings.name.clone(),
            incarnation: links_cfg.identity.incarnation,
        };
        let platform = Platform::new(settings.platform, PLATFORM_TIMEOUT);
        Agent {
            incarnation: links_cfg.identity.incarnation,
            settings,
            links_cfg,
            client: wiring.client,
            status: wiring.status,
            reports: wiring.reports,
            index: Arc::default(),
            doors: BTreeMap::new(),
            runs: HashMap::new(),
            links: HashMap::new(),
            quarantine: Quarantine::default(),
            crashes: 0,
            feed: wiring.feed,
            listing: Listing::default(),
            listed_leaving: wiring.listed_leaving,
            offers: OfferHistory::default(),
            early: Vec::new(),
            claims: Claims::default(),
            claiming: HashMap::new(),
            homes: Homes::new(me),
            platform,
            next_link: 0,
            report_seq: 0,
            leaving: false,
            link_address,
        }
    }

    pub(crate) fn on_frame(&mut self, link: LinkId, frame: Frame, cx: &mut Context<Self>) {
        let now = clock::now();
        let (id, msg) = match frame {
            Frame::Request(id, msg) => (id, msg),
            Frame::Notices(notices) => {
                self.quarantine.merge(&notices, now);
                return;
            }
            Frame::Listed(state) => {
                if self.listing.hear(state) && !self.leaving {
                    self.listed_leaving.notify_one();
                }
                return;
            }
            Frame::Guard(GuardMessage::ToHome(messages)) => {
                return self.homes.take(link, messages);
            }
            frame => {
                let Some((peer, _)) = self.links.get(&link) else {
                    return;
                };
                return self.tell_feed(gossip::from_frame(peer.clone(), frame));
            }
        };
        match msg {
            ToAgent::Offer(offer) => self.on_offer(link, id, offer, now, cx),
            ToAgent::Withdraw => self.on_withdraw(link, id, now),
            ToAgent::Cancel => self.on_cancel(link, id, now),
            ToAgent::Credit { acked, window_end } => self.on_credit(link, id, acked, window_end),
            ToAgent::Resume { next, window_end } => self.on_resume(link, id, next, window_end, now),
        }
    }

    pub(crate) fn tell_feed(&self, msg: Option<FromPeer>) {
        gossip::tell(&self.feed, msg);
    }

    /// Asks the platform about slots of keys that no entry remembers a home of.
    pub(crate) fn open_slots(&mut self, cx: &mut Context<Self>) {
        let Some(opening) = self.homes.to_open() else {
            return;
        };
        let platform = self.platform.clone();
        let agent = cx.address();
        actix_rt::spawn(async move {
            let opened = homes::open_slots(&platform, &opening).await;
            agent.do_send(Opened(opened));
        });
    }

    pub(crate) fn on_link_lost(&mut self, link: LinkId) {
        self.homes.link_lost(link);
        let now = clock::now();
        if let Some((peer, _)) = self.links.remove(&link)
            && !self.links.values().any(|(name, _)| *name == peer)
        {
            self.tell_feed(Some(FromPeer::Gone { peer }));
        }
        for run in self.runs.values_mut() {
            let was_last = run.detach(link);
            // A keyed answer may still be asked for by the same caller elsewhere.
            let awaited = run.key.is_some() && run.is_dispatched();
            if was_last && !awaited {
                run.give_up_at = Some(now.after(ORPHAN_GRACE));
            }
        }
    }

    pub(crate) fn tick(&mut self, cx: &mut Context<Self>) {
        let now = clock::now();
        self.answer_early(now);
        let decided = self.claims.tick();
        self.on_claims(decided, cx);
        let names: Vec<_> = self.doors.keys().cloned().collect();
        for name in names {
            self.poll(&name, now, cx);
        }
    }

    /// Forgets answers and tombstones that nobody will ask for, and ends orphans.
    pub(crate) fn sweep(&mut self, cx: &mut Context<Self>) {
        self.homes.sweep();
        self.open_slots(cx);
        let now = clock::now();
        let retention = self.settings.limits.answer_retention;
        self.runs.retain(|_, run| match run.ended {
            Some(ended) if run.key.is_some() => now.since(ended) < retention,
            Some(ended) => now.since(ended) < ORPHAN_GRACE,
            None => true,
        });
        let runs = &self.runs;
        self.offers.evict_expired(now, |id| runs.contains_key(&id));
        self.forget_over_bound();
        for id in self.orphans(now) {
            match self.withdraw(id, now) {
                Withdrawal::AlreadyDispatched => self.cancel(id),
                Withdrawal::Withdrawn => count_refusal(Refusal::Abandoned),
                Withdrawal::Unknown => {}
            }
        }
        self.spread_notices(now);
        // A link whose queue was full when something was due is tried again.
        for (id, run) in &mut self.runs {
            run.pump(*id);
        }
        self.show_status(now);
    }

    /// Forgets the oldest finished answers when all of them hold too much.
    pub(crate) fn forget_over_bound(&mut self) {
        let bound = self.settings.limits.all_answers.len();
        let mut held: usize = self.runs.values().map(Run::held_bytes).sum();
        gauge!("agent_answer_bytes").set(held as f64);
        if held <= bound {
            return;
        }
        let finished = self.runs.iter().filter(|(_, run)| run.is_delivered());
        let mut finished: Vec<_> = finished.map(|(id, run)| (run.ended, *id)).collect();
        finished.sort();
        for (_, id) in finished {
            if held <= bound {
                return;
            }
            let Some(run) = self.runs.remove(&id) else {
                continue;
            };
            held -= run.held_bytes();
            counter!("agent_answers_forgotten_total").increment(1);
        }
    }

    pub(crate) fn orphans(&self, now: Instant) -> Vec<RequestId> {
        let is_orphan = |run: &Run| {
            let due = run.give_up_at.is_some_and(|at| now >= at);
            due && run.ended.is_none() && !run.runs_on
        };
        let orphans = self.runs.iter().filter(|(_, run)| is_orphan(run));
        orphans.map(|(id, _)| *id).collect()
    }

    pub(crate) fn reconfigure(&mut self, index: Arc<Index>) {
        let now = clock::now();
        let mut doors = BTreeMap::new();
        for endpoint in index.endpoints_of(&self.settings.name) {
            let Some(pool) = index.pool(&endpoint.pool) else {
                continue;
            };
            let cfg = GateConfig::from_index(&index, pool, endpoint);
            let mut door = match self.doors.remove(&endpoint.name) {
                Some(door) if door.pool == pool.name => door,
                _ => Door {
                    endpoint: endpoint.clone(),
                    pool: pool.name.clone(),
                    kind: pool.kind,
                    gate: Gate::new(cfg.clone()),
                    healthy: true,
                    proven: true,
                    broken: SmallVec::new(),
                    cache: CacheView::new(CACHE_PREFIXES),
                    summarised: now,
                },
            };
            door.gate.set_config(cfg);
            door.endpoint = endpoint.clone();
            doors.insert(endpoint.name.clone(), door);
        }
        let removed = std::mem::replace(&mut self.doors, doors);
        for (_, mut door) in removed {
            for (id, refused) in door.gate.close(now) {
                self.hand_back(id, refused);
            }
            for id in std::mem::take(&mut door.broken) {
                self.conclude(id, End::Interrupted, now);
            }
        }
        let entries = index.configuration.entries.iter();
        self.homes.expect(entries.map(|e| e.name.clone()).collect());
        let Generation(generation) = index.generation;
        self.links_cfg
            .generation
            .store(generation, Ordering::Relaxed);
        info!("configuration {generation} is in force");
        for (_, tx) in self.links.values() {
            // The next heartbeat says the same.
            let _ = tx.try_send(gossip::nudge(index.generation));
        }
        self.index = index;
        if !self.leaving {
            self.status.set_ready();
        }
    }
}

pub(crate) fn absent(reason: Refusal) -> Refused {
    Refused {
        reason,
        retry_after: ABSENT_RETRY_AFTER,
        admits: None,
    }
}

pub(crate) fn count_refusal(reason: Refusal) {
    counter!("agent_refusals_total", "reason" => reason.code()).increment(1);
}

impl Actor for Agent {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Context<Self>) {
        cx.set_mailbox_capacity(1 << 16);
        cx.run_interval(TICK, |agent, cx| agent.tick(cx));
        cx.run_interval(SWEEP, |agent, cx| agent.sweep(cx));
        let interval = self.settings.limits.report_interval.duration();
        cx.run_interval(interval, |agent, _| agent.report());
    }
}

impl StreamHandler<LinkEvent> for Agent {
    fn handle(&mut self, event: LinkEvent, cx: &mut Context<Self>) {
        match event {
            LinkEvent::Frame(link, frame) => self.on_frame(link, frame, cx),
            LinkEvent::Lost(link) => self.on_link_lost(link),
        }
    }

    // The agent outlives its links, which the provided method would not allow.
    fn finished(&mut self, _: &mut Context<Self>) {}
}

impl Handler<LinkUp> for Agent {
    type Result = ();

    fn handle(&mut self, LinkUp(link): LinkUp, cx: &mut Context<Self>) {
        self.next_link += 1;
        let id = LinkId(self.next_link);
        counter!("agent_links_total").increment(1);
        if self.leaving {
            // A link that does not take the word is closed, which says the same.
            let _ = link.tx.try_send(Frame::Leaving);
        }
        let summary = self.quarantine.summary(clock::now());
        if !summary.is_empty() {
            // A new link has room for its first frames.
            let _ = link.tx.try_send(Frame::Notices(summary));
        }
        let run = guard::Run {
            name: link.peer.name.clone(),
            incarnation: link.peer.incarnation,
        };
        self.homes.link_up(id, run, link.tx.clone());
        let peer = link.peer.name;
        actix_rt::spawn(gossip::follow(
            peer.clone(),
            link.generation,
            self.feed.clone(),
        ));
        self.links.insert(id, (peer, link.tx));
        cx.add_stream(peer::events(id, link.rx));
    }
}

impl Handler<Reconfigure> for Agent {
    type Result = ();

    fn handle(&mut self, Reconfigure(index): Reconfigure, _: &mut Context<Self>) {
        self.reconfigure(index);
    }
}

impl StreamHandler<ToPeer> for Agent {
    fn handle(&mut self, msg: ToPeer, _: &mut Context<Self>) {
        let (peer, frame) = gossip::to_frame(msg);
        let link = self.links.values().find(|(name, _)| *name == peer);
        let sent = link.is_some_and(|(_, tx)| tx.try_send(frame).is_ok());
        if !sent {
            self.tell_feed(Some(FromPeer::Gone { peer }));
        }
    }

    // The agent outlives its feed, which the provided method would not allow.
    fn finished(&mut self, _: &mut Context<Self>) {}
}

impl Handler<Opened> for Agent {
    type Result = ();

    fn handle(&mut self, Opened(slots): Opened, _: &mut Context<Self>) {
        self.homes.opened(slots);
    }
}

impl Handler<EntriesListed> for Agent {
    type Result = ();

    fn handle(&mut self, EntriesListed(vms): EntriesListed, _: &mut Context<Self>) {
        let configured = self.index.configuration.entries.iter();
        let configured = configured.map(|entry| entry.name.clone());
        self.homes.listed(&vms, configured.collect());
    }
}

impl Handler<Leave> for Agent {
    type Result = ();

    fn handle(&mut self, _: Leave, _: &mut Context<Self>) {
        let now = clock::now();
        if !self.leaving {
            info!("leaving: no new work is taken");
        }
        self.leaving = true;
        self.status.set_unready("leaving");
        let mut handed_back = Vec::new();
        for door in self.doors.values_mut() {
            handed_back.extend(door.gate.close(now));
        }
        for (id, refused) in handed_back {
            self.hand_back(id, refused);
        }
        for (_, tx) in self.links.values() {
            // Reports and refusals say the same to an entry that misses this.
            let _ = tx.try_send(Frame::Leaving);
        }
        self.report();
    }
}

impl Handler<InFlight> for Agent {
    type Result = usize;

    fn handle(&mut self, _: InFlight, _: &mut Context<Self>) -> usize {
        let waiting = |run: &&Run| !run.is_delivered() && (run.ended.is_none() || !run.is_unread());
        self.runs.values().filter(waiting).count()
    }
}
