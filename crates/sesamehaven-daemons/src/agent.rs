//! The agent: admits requests to the endpoints of its VM.
//!
//! All requests to these endpoints pass through it. A single actor owns the state
//! of all requests. It asks the gate of each endpoint which requests to accept and
//! to dispatch, runs the calls, and serves the answers to entries.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix::prelude::*;
use metrics::counter;
use smallvec::SmallVec;
use spdlog::info;
use tokio::sync::{Notify, mpsc};

use sesamehaven::cache_view::CacheView;
use sesamehaven::change_log::ChangeCursor;
use sesamehaven::config::Index;
use sesamehaven::gate::{Gate, GateConfig};
use sesamehaven::guard::{self, Slot};
use sesamehaven::home::Bootstrap;
use sesamehaven::id::{DaemonName, EndpointName, Generation, Incarnation, KeyDigest, RequestId};
use sesamehaven::offer_history::OfferHistory;
use sesamehaven::outcome::{Refusal, Refused};
use sesamehaven::part_quarantine::PartQuarantine;
use sesamehaven::quarantine::Quarantine;
use sesamehaven::unit::Millis;
use sesamehaven_wire::guard::GuardMessage;
use sesamehaven_wire::link::{Link, LinkConfig, Sender};
use sesamehaven_wire::message::{End, Frame, Report, ToAgent};

use crate::admin::Status;
use crate::agent_offers::PendingResume;
use crate::agent_report::EndpointState;
use crate::claims::Claims;
use crate::clock;
use crate::endpoint_client::EndpointClient;
use crate::execution::Execution;
use crate::feed::{FromPeer, ToPeer};
use crate::feed_link;
use crate::homes::{self, Homes};
use crate::listing::OwnVmListing;
use crate::part_notices;
use crate::peer::{self, LinkEvent, LinkId};
use crate::platform::{PLATFORM_TIMEOUT, Platform, VmState};
use crate::settings::AgentSettings;

/// Interval at which gates are polled in the absence of events.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the status is refreshed and expired answers are evicted.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a request continues after the links of all its readers were lost,
/// unless it has a key and was dispatched, or must complete; also the time for which
/// a finished answer without a key is retained.
pub(crate) const ORPHAN_GRACE: Millis = Millis(5_000);
/// Retry delay suggested with refusals for an unavailable endpoint or platform.
const ENDPOINT_RETRY_AFTER: Millis = Millis(1_000);
/// Maximum number of prompt prefixes assumed to be in an engine's cache.
const CACHE_PREFIXES_MAX: usize = 2_048;

/// Channels and handles that connect the agent's actor to the tasks around it.
pub struct AgentHandles {
    /// HTTP client for calls to endpoints.
    pub client: EndpointClient,
    /// Status shown at the admin address.
    pub status: Status,
    /// Queue of load reports to the entries.
    pub reports: mpsc::Sender<Report>,
    /// Queue of peers' configuration messages to the feed.
    pub feed: mpsc::Sender<FromPeer>,
    /// Notified when the platform lists the agent's VM as leaving or gone.
    pub listed_leaving: Rc<Notify>,
}

/// The actor that owns the agent's state.
pub struct Agent {
    pub(crate) settings: Arc<AgentSettings>,
    pub(crate) incarnation: Incarnation,
    pub(crate) links_cfg: LinkConfig,
    pub(crate) client: EndpointClient,
    pub(crate) status: Status,
    pub(crate) reports: mpsc::Sender<Report>,
    pub(crate) index: Arc<Index>,
    pub(crate) endpoints: BTreeMap<EndpointName, EndpointState>,
    pub(crate) executions: HashMap<RequestId, Execution>,
    pub(crate) links: HashMap<LinkId, (DaemonName, Sender)>,
    pub(crate) quarantine: Quarantine,
    pub(crate) part_quarantine: PartQuarantine,
    pub(crate) part_news: ChangeCursor,
    pub(crate) crashes: u64,
    pub(crate) feed: mpsc::Sender<FromPeer>,
    pub(crate) listing: OwnVmListing,
    pub(crate) listed_leaving: Rc<Notify>,
    pub(crate) offers: OfferHistory,
    pub(crate) pending_resumes: Vec<PendingResume>,
    pub(crate) claims: Claims,
    pub(crate) claiming: HashMap<RequestId, KeyDigest>,
    pub(crate) homes: Homes,
    pub(crate) platform: Platform,
    pub(crate) next_link: u64,
    pub(crate) report_seq: u64,
    pub(crate) leaving: bool,
    pub(crate) link_address: std::net::SocketAddr,
}

/// Delivers a link opened by an entry.
#[derive(Message)]
#[rtype(result = "()")]
pub struct LinkUp(pub Link);

/// Puts a configuration in force.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Reconfigure(pub Arc<Index>);

/// Delivers the platform's records about slots whose previous home no entry
/// remembers.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct SlotsResolved(Vec<(Slot, Bootstrap)>);

/// Delivers the states of the entries' VMs in the platform's VM list.
#[derive(Message)]
#[rtype(result = "()")]
pub struct EntriesListed(pub Vec<(DaemonName, VmState)>);

/// Starts draining: refuses new requests and returns queued ones to their entries.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leave;

/// Queries the number of requests that have not ended or whose answers still have
/// readers.
#[derive(Message)]
#[rtype(result = "usize")]
pub struct InFlight;

impl Agent {
    /// Creates an agent that has no configuration yet.
    pub fn new(
        settings: Arc<AgentSettings>,
        links_cfg: LinkConfig,
        link_address: std::net::SocketAddr,
        handles: AgentHandles,
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
            client: handles.client,
            status: handles.status,
            reports: handles.reports,
            index: Arc::default(),
            endpoints: BTreeMap::new(),
            executions: HashMap::new(),
            links: HashMap::new(),
            quarantine: Quarantine::default(),
            part_quarantine: PartQuarantine::default(),
            part_news: ChangeCursor::default(),
            crashes: 0,
            feed: handles.feed,
            listing: OwnVmListing::default(),
            listed_leaving: handles.listed_leaving,
            offers: OfferHistory::default(),
            pending_resumes: Vec::new(),
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
            Frame::PartNotices(notices) => return self.on_part_notices(&notices, now),
            Frame::Listed(state) => {
                if self.listing.update(state) && !self.leaving {
                    self.listed_leaving.notify_one();
                }
                return;
            }
            Frame::Guard(GuardMessage::ToHome(messages)) => {
                return self.homes.on_messages(link, messages);
            }
            frame => {
                let Some((peer, _)) = self.links.get(&link) else {
                    return;
                };
                return self.notify_feed(feed_link::from_frame(peer.clone(), frame));
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

    pub(crate) fn notify_feed(&self, msg: Option<FromPeer>) {
        feed_link::notify(&self.feed, msg);
    }

    /// Queries the platform for slots whose previous home no entry remembers.
    pub(crate) fn resolve_slots(&mut self, cx: &mut Context<Self>) {
        let Some(query) = self.homes.next_slot_query() else {
            return;
        };
        let platform = self.platform.clone();
        let agent = cx.address();
        actix_rt::spawn(async move {
            let resolved = homes::resolve_slots(&platform, &query).await;
            agent.do_send(SlotsResolved(resolved));
        });
    }

    pub(crate) fn on_link_lost(&mut self, link: LinkId) {
        self.homes.link_lost(link);
        let now = clock::now();
        if let Some((peer, _)) = self.links.remove(&link)
            && !self.links.values().any(|(name, _)| *name == peer)
        {
            self.notify_feed(Some(FromPeer::Disconnected { peer }));
        }
        for execution in self.executions.values_mut() {
            let was_last = execution.detach(link);
            // A retry with the same key may still request this answer through
            // another entry.
            let may_be_resumed = execution.key.is_some() && execution.is_dispatched();
            if was_last && !may_be_resumed {
                execution.abandon_at = Some(now.after(ORPHAN_GRACE));
            }
        }
    }

    pub(crate) fn tick(&mut self, cx: &mut Context<Self>) {
        let now = clock::now();
        self.answer_pending_resumes(now);
        let decided = self.claims.tick();
        self.on_claims(decided, cx);
        let names: Vec<_> = self.endpoints.keys().cloned().collect();
        for name in names {
            self.poll(&name, now, cx);
        }
    }

    pub(crate) fn reconfigure(&mut self, index: Arc<Index>) {
        let now = clock::now();
        let mut endpoints = BTreeMap::new();
        for endpoint in index.endpoints_of(&self.settings.name) {
            let Some(pool) = index.pool(&endpoint.pool) else {
                continue;
            };
            let cfg = GateConfig::from_index(&index, pool, endpoint);
            let mut state = match self.endpoints.remove(&endpoint.name) {
                Some(state) if state.pool == pool.name => state,
                _ => EndpointState {
                    endpoint: endpoint.clone(),
                    pool: pool.name.clone(),
                    kind: pool.kind,
                    gate: Gate::new(cfg.clone()),
                    healthy: true,
                    answered_since_crash: true,
                    unassessed: SmallVec::new(),
                    cache: CacheView::new(CACHE_PREFIXES_MAX),
                    last_summary: now,
                },
            };
            state.gate.set_config(cfg);
            state.endpoint = endpoint.clone();
            endpoints.insert(endpoint.name.clone(), state);
        }
        let removed = std::mem::replace(&mut self.endpoints, endpoints);
        for (_, mut state) in removed {
            for (id, refused) in state.gate.close(now) {
                self.return_to_entry(id, refused);
            }
            for id in std::mem::take(&mut state.unassessed) {
                self.finish(id, End::Interrupted, now);
            }
        }
        let entries = index.configuration.entries.iter();
        self.homes
            .set_entries(entries.map(|e| e.name.clone()).collect());
        let Generation(generation) = index.generation;
        self.links_cfg
            .generation
            .store(generation, Ordering::Relaxed);
        info!("applied configuration {generation}");
        for (_, tx) in self.links.values() {
            // The next heartbeat carries the same generation.
            let _ = tx.try_send(feed_link::generation_ping(index.generation));
        }
        self.index = index;
        if !self.leaving {
            self.status.set_ready();
        }
    }
}

pub(crate) fn refused_for(reason: Refusal) -> Refused {
    Refused {
        reason,
        retry_after: ENDPOINT_RETRY_AFTER,
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
        cx.run_interval(TICK_INTERVAL, |agent, cx| agent.tick(cx));
        cx.run_interval(SWEEP_INTERVAL, |agent, cx| agent.sweep(cx));
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

    // The provided method would stop the actor when a link closes.
    fn finished(&mut self, _: &mut Context<Self>) {}
}

impl Handler<LinkUp> for Agent {
    type Result = ();

    fn handle(&mut self, LinkUp(link): LinkUp, cx: &mut Context<Self>) {
        self.next_link += 1;
        let id = LinkId(self.next_link);
        counter!("agent_links_total").increment(1);
        if self.leaving {
            // A link that cannot take the frame is closed, which has
            // the same effect.
            let _ = link.tx.try_send(Frame::Leaving);
        }
        let summary = self.quarantine.summary(clock::now());
        if !summary.is_empty() {
            // The send queue of a new link has room for its first frames.
            let _ = link.tx.try_send(Frame::Notices(summary));
        }
        part_notices::send_summary(&self.part_quarantine, &link.tx);
        let run = guard::Run {
            name: link.peer.name.clone(),
            incarnation: link.peer.incarnation,
        };
        self.homes.link_up(id, run, link.tx.clone());
        let peer = link.peer.name;
        actix_rt::spawn(feed_link::forward_generations(
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
        let (peer, frame) = feed_link::to_frame(msg);
        let link = self.links.values().find(|(name, _)| *name == peer);
        let sent = link.is_some_and(|(_, tx)| tx.try_send(frame).is_ok());
        if !sent {
            self.notify_feed(Some(FromPeer::Disconnected { peer }));
        }
    }

    // The provided method would stop the actor when the feed ends.
    fn finished(&mut self, _: &mut Context<Self>) {}
}

impl Handler<SlotsResolved> for Agent {
    type Result = ();

    fn handle(&mut self, SlotsResolved(slots): SlotsResolved, _: &mut Context<Self>) {
        self.homes.on_slots_resolved(slots);
    }
}

impl Handler<EntriesListed> for Agent {
    type Result = ();

    fn handle(&mut self, EntriesListed(vms): EntriesListed, _: &mut Context<Self>) {
        let configured = self.index.configuration.entries.iter();
        let configured = configured.map(|entry| entry.name.clone());
        self.homes.on_vm_list(&vms, configured.collect());
    }
}

impl Handler<Leave> for Agent {
    type Result = ();

    fn handle(&mut self, _: Leave, _: &mut Context<Self>) {
        let now = clock::now();
        if !self.leaving {
            info!("draining: refusing new requests");
        }
        self.leaving = true;
        self.status.set_unready("leaving");
        let mut returned = Vec::new();
        for state in self.endpoints.values_mut() {
            returned.extend(state.gate.close(now));
        }
        for (id, refused) in returned {
            self.return_to_entry(id, refused);
        }
        for (_, tx) in self.links.values() {
            // An entry that misses this frame sees the state in reports and
            // refusals.
            let _ = tx.try_send(Frame::Leaving);
        }
        self.report();
    }
}

impl Handler<InFlight> for Agent {
    type Result = usize;

    fn handle(&mut self, _: InFlight, _: &mut Context<Self>) -> usize {
        let waiting = |execution: &&Execution| {
            !execution.has_ended_without_readers()
                && (execution.ended_at.is_none() || !execution.has_no_readers())
        };
        self.executions.values().filter(waiting).count()
    }
}
