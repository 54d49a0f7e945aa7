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
use serde_json::json;
use smallvec::SmallVec;
use spdlog::{info, warn};
use tokio::sync::{Notify, mpsc, oneshot};

use sesamehaven::cache_view::CacheView;
use sesamehaven::claim::{self, Outcome, Reply};
use sesamehaven::config::{Endpoint, Index, PoolKind, Repeat};
use sesamehaven::fair::OrganisationDigest;
use sesamehaven::gate::{Ended, Gate, GateConfig, Step, Verdict, Withdrawal, Work};
use sesamehaven::guard::{self, Slot};
use sesamehaven::home::Bootstrap;
use sesamehaven::id::{
    DaemonName, EndpointName, Generation, Incarnation, KeyDigest, PoolName, RequestId,
};
use sesamehaven::offers::{Heard, Offers, Taking};
use sesamehaven::outcome::{Refusal, Refused};
use sesamehaven::quarantine::{CrashId, Quarantine, Standing};
use sesamehaven::unit::{Instant, Millis};
use sesamehaven_wire::guard::GuardMessage;
use sesamehaven_wire::link::{Link, LinkConfig, Sender};
use sesamehaven_wire::message::{End, Frame, Load, Offer, Report, ToAgent, ToEntry};

use crate::admin::Status;
use crate::call::{self, Call, CallEnd, CallEvent, Progress};
use crate::claims::{self, Claims, Decided, ShardId};
use crate::clock;
use crate::feed::{FromPeer, ToPeer};
use crate::gossip;
use crate::homes::{self, Homes};
use crate::listing::Listing;
use crate::peer::{self, LinkEvent, LinkId};
use crate::platform::{PLATFORM_TIMEOUT, Platform, VmState};
use crate::run::{Reader, Run};
use crate::score::Prefill;
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
/// The length of the summary of an engine's cache.
const SUMMARY_BYTES: usize = 512;
/// The time between two summaries of an engine's cache.
const SUMMARY_INTERVAL: Millis = Millis(1_000);
/// How long after a broken call its endpoint is looked at.
const JUDGE_DELAY: Duration = Duration::from_millis(20);
/// How long a connection has to stay open for an endpoint not to count as crashed.
const JUDGE_OPEN: Duration = Duration::from_millis(30);
/// How long a connection has to stay open for a crashed endpoint to get work again.
const PROBE_OPEN: Duration = Duration::from_millis(200);
/// How long a resumption waits for the request's offer, which may be on its way.
const OFFER_GRACE: Millis = Millis(150);
/// The notices that are sent at once.
const NOTICES_MAX: usize = 64;
/// The pause between two tries to connect to an endpoint that does not answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// One endpoint with its gate.
struct Door {
    endpoint: Endpoint,
    pool: PoolName,
    kind: PoolKind,
    gate: Gate,
    healthy: bool,
    /// Whether it has answered a call since it last crashed.
    proven: bool,
    /// The calls that broke off and have not been judged.
    broken: SmallVec<[RequestId; 4]>,
    /// The prompt prefixes that the engine is taken to hold.
    cache: CacheView,
    /// When the cache was last summarised for the entries.
    summarised: Instant,
}

impl Door {
    /// Summarises the engine's cache, if that is due again.
    fn summary(&mut self, now: Instant) -> bytes::Bytes {
        let is_due = now.since(self.summarised) >= SUMMARY_INTERVAL;
        if self.kind == PoolKind::Service || !is_due {
            return bytes::Bytes::new();
        }
        self.summarised = now;
        let summary = self.cache.summary(SUMMARY_BYTES);
        bytes::Bytes::copy_from_slice(summary.as_bytes())
    }
}

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
    settings: Arc<AgentSettings>,
    incarnation: Incarnation,
    links_cfg: LinkConfig,
    client: Client,
    status: Status,
    reports: mpsc::Sender<Report>,
    index: Arc<Index>,
    doors: BTreeMap<EndpointName, Door>,
    runs: HashMap<RequestId, Run>,
    links: HashMap<LinkId, (DaemonName, Sender)>,
    quarantine: Quarantine,
    crashes: u64,
    feed: mpsc::Sender<FromPeer>,
    listing: Listing,
    listed_leaving: Rc<Notify>,
    offers: Offers,
    early: Vec<Early>,
    claims: Claims,
    claiming: HashMap<RequestId, KeyDigest>,
    homes: Homes,
    platform: Platform,
    next_link: u64,
    report_seq: u64,
    leaving: bool,
    link_address: std::net::SocketAddr,
}

/// A resumption that came before the request's offer.
struct Early {
    link: LinkId,
    id: RequestId,
    next: u64,
    upto: u64,
    until: Instant,
}

/// A link that an entry has opened.
#[derive(Message)]
#[rtype(result = "()")]
pub struct LinkUp(pub Link);

/// A configuration that is to be in force from now on.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Reconfigure(pub Arc<Index>);

/// An endpoint that answered a probe after it had been found unhealthy.
#[derive(Message)]
#[rtype(result = "()")]
struct Recovered(EndpointName);

/// What came of a call of the platform for claims.
#[derive(Message)]
#[rtype(result = "()")]
struct ClaimReplied(ShardId, Reply);

/// What the platform says of slots that no entry remembers a home of.
#[derive(Message)]
#[rtype(result = "()")]
struct Opened(Vec<(Slot, Bootstrap)>);

/// The entries' VMs as the platform lists them.
#[derive(Message)]
#[rtype(result = "()")]
pub struct EntriesListed(pub Vec<(DaemonName, VmState)>);

/// What a probe found out about an endpoint whose calls broke off.
#[derive(Message)]
#[rtype(result = "()")]
struct Judge {
    name: EndpointName,
    answers: bool,
}

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
            incarnation: links_cfg.me.incarnation,
        };
        let platform = Platform::new(settings.platform, PLATFORM_TIMEOUT);
        Agent {
            incarnation: links_cfg.me.incarnation,
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
            offers: Offers::default(),
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

    fn on_frame(&mut self, link: LinkId, frame: Frame, cx: &mut Context<Self>) {
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
            ToAgent::Credit { acked, upto } => self.on_credit(link, id, acked, upto),
            ToAgent::Resume { next, upto } => self.on_resume(link, id, next, upto, now),
        }
    }

    fn on_offer(
        &mut self,
        link: LinkId,
        id: RequestId,
        offer: Box<Offer>,
        now: Instant,
        cx: &mut Context<Self>,
    ) {
        counter!("agent_offers_total").increment(1);
        let Some((_, tx)) = self.links.get(&link).cloned() else {
            return;
        };
        let upto = offer.upto;
        match self.offers.take(id, now) {
            Taking::Take => {}
            Taking::Repeated => return self.on_resume(link, id, 0, upto, now),
            Taking::Refuse => return self.reply(link, id, ToEntry::Unheard),
        }
        let Some(door) = self.doors.get_mut(&offer.endpoint) else {
            self.offers.refuse(id, now);
            let refused = absent(Refusal::Unavailable);
            return self.reply(link, id, ToEntry::Refused(refused));
        };
        let standing = self.quarantine.standing(offer.fingerprint, now);
        if standing == Standing::Quarantined {
            let mut refused = absent(Refusal::Quarantined);
            refused.retry_after = self.quarantine.remaining(offer.fingerprint, now);
            count_refusal(refused.reason);
            self.offers.refuse(id, now);
            return self.reply(link, id, ToEntry::Refused(refused));
        }
        let class = self.index.class(&offer.class);
        let repeat = class.map_or(Repeat::AtMostOnce, |class| class.repeat);
        let mut work = work_of(id, &offer, repeat, now);
        work.suspect = standing == Standing::Suspect;
        let name = door.endpoint.name.clone();
        let verdict = door.gate.offer(work, now);
        let kind = door.kind;
        let (first_token, evicted) = match verdict {
            Verdict::Accepted {
                first_token,
                evicted,
            } => (first_token, evicted),
            Verdict::Refused(refused) => {
                count_refusal(refused.reason);
                self.offers.refuse(id, now);
                return self.reply(link, id, ToEntry::Refused(refused));
            }
        };
        let reader = Reader::new(link, tx, 0, upto);
        let max_bytes = self.settings.limits.answer_buffer.len();
        let mut run = Run::new(offer, kind, max_bytes, reader);
        run.runs_on = kind == PoolKind::Service && repeat != Repeat::Idempotent;
        run.tell(id, &ToEntry::Accepted { first_token });
        self.runs.insert(id, run);
        for (evicted, refused) in evicted {
            counter!("agent_evictions_total").increment(1);
            self.hand_back(evicted, refused);
        }
        self.poll(&name, now, cx);
    }

    fn on_withdraw(&mut self, link: LinkId, id: RequestId, now: Instant) {
        let reply = match self.withdraw(id, now) {
            Withdrawal::Withdrawn => ToEntry::Withdrawn,
            Withdrawal::AlreadyDispatched => ToEntry::AlreadyDispatched,
            Withdrawal::Unknown => self.unknown(id, now),
        };
        self.reply(link, id, reply);
    }

    /// Takes a request out of its queue, and forgets it if that succeeded.
    fn withdraw(&mut self, id: RequestId, now: Instant) -> Withdrawal {
        let Some(run) = self.runs.get(&id) else {
            return Withdrawal::Unknown;
        };
        if run.is_dispatched() {
            return Withdrawal::AlreadyDispatched;
        }
        if let Some(door) = self.doors.get_mut(&run.endpoint) {
            door.gate.withdraw(id, now);
        }
        self.runs.remove(&id);
        self.offers.refuse(id, now);
        Withdrawal::Withdrawn
    }

    /// Tells of a request that is not held: never offered, or forgotten since.
    fn unknown(&mut self, id: RequestId, now: Instant) -> ToEntry {
        match self.offers.ask(id, now) {
            Heard::Never => ToEntry::Unheard,
            Heard::Taken | Heard::Forgotten => ToEntry::End {
                chunks: 0,
                end: End::Forgotten,
            },
        }
    }

    fn on_cancel(&mut self, link: LinkId, id: RequestId, now: Instant) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.detach(link);
        if !run.is_unread() {
            return;
        }
        if run.is_dispatched() {
            run.give_up_at = Some(now.after(self.settings.limits.cancel_grace));
            return;
        }
        count_refusal(Refusal::Abandoned);
        self.withdraw(id, now);
    }

    fn on_credit(&mut self, link: LinkId, id: RequestId, acked: u64, upto: u64) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.credit(link, acked, upto);
        run.pump(id);
        if run.is_delivered() && run.key.is_none() {
            self.runs.remove(&id);
        }
    }

    fn on_resume(&mut self, link: LinkId, id: RequestId, next: u64, upto: u64, now: Instant) {
        counter!("agent_resumes_total").increment(1);
        let Some((_, tx)) = self.links.get(&link).cloned() else {
            return;
        };
        let Some(run) = self.runs.get_mut(&id) else {
            if self.offers.is_new(id) {
                let until = now.after(OFFER_GRACE);
                return self.early.push(Early {
                    link,
                    id,
                    next,
                    upto,
                    until,
                });
            }
            let reply = self.unknown(id, now);
            return self.reply(link, id, reply);
        };
        run.attach(Reader::new(link, tx, next, upto));
        let reply = match run.is_dispatched() {
            true => ToEntry::AlreadyDispatched,
            false => ToEntry::Accepted {
                first_token: Millis(0),
            },
        };
        run.pump(id);
        self.reply(link, id, reply);
    }

    /// Answers resumptions whose offer has come by now, or did not come in time.
    fn answer_early(&mut self, now: Instant) {
        let offers = &self.offers;
        let is_ready = |early: &mut Early| now >= early.until || !offers.is_new(early.id);
        let ready: Vec<Early> = self.early.extract_if(.., is_ready).collect();
        for early in ready {
            if self.offers.is_new(early.id) {
                self.offers.refuse(early.id, now);
            }
            self.on_resume(early.link, early.id, early.next, early.upto, now);
        }
    }

    /// Gives an undispatched request back to its entry.
    fn hand_back(&mut self, id: RequestId, refused: Refused) {
        count_refusal(refused.reason);
        if let Some(run) = self.runs.remove(&id) {
            self.offers.refuse(id, clock::now());
            run.tell(id, &ToEntry::Refused(refused));
        }
    }

    fn reply(&self, link: LinkId, id: RequestId, reply: ToEntry) {
        let Some((_, tx)) = self.links.get(&link) else {
            return;
        };
        if tx.try_send(Frame::Reply(id, reply)).is_err() {
            counter!("agent_replies_lost_total").increment(1);
        }
    }

    /// Does what the gate of an endpoint asks for.
    fn poll(&mut self, name: &EndpointName, now: Instant, cx: &mut Context<Self>) {
        loop {
            let Some(door) = self.doors.get_mut(name) else {
                return;
            };
            let steps = door.gate.poll(now);
            if steps.is_empty() {
                return;
            }
            for step in steps {
                match step {
                    Step::Dispatch(id) => self.dispatch(id, now, cx),
                    Step::Refuse(id, refused) => self.hand_back(id, refused),
                    Step::Cancel(id) => self.cancel(id),
                }
            }
        }
    }

    /// Dispatches a request, after its key was claimed if its class asks for it.
    fn dispatch(&mut self, id: RequestId, now: Instant, cx: &mut Context<Self>) {
        let Some(run) = self.runs.get(&id) else {
            return self.end_in_gate_of_none(id, now);
        };
        let class = run.offer.as_ref().and_then(|o| self.index.class(&o.class));
        let is_claimed = class.is_some_and(|class| class.repeat == Repeat::Claimed);
        match run.key {
            Some(key) if is_claimed => {
                self.claiming.insert(id, key);
                let decided = self.claims.claim(key, id);
                self.on_claims(decided, cx);
            }
            _ => self.dispatch_claimed(id, now, cx),
        }
    }

    fn on_claims(&mut self, (verdicts, due): Decided, cx: &mut Context<Self>) {
        for due in due {
            let platform = self.platform.clone();
            let agent = cx.address();
            actix_rt::spawn(async move {
                let (shard, reply) = claims::call(&platform, due).await;
                agent.do_send(ClaimReplied(shard, reply));
            });
        }
        for (id, verdict) in verdicts {
            self.on_verdict(id, verdict, cx);
        }
    }

    fn on_verdict(&mut self, id: RequestId, verdict: claim::Verdict, cx: &mut Context<Self>) {
        let now = clock::now();
        let key = self.claiming.remove(&id);
        if verdict == claim::Verdict::Claimed {
            if let Some(run) = self.runs.get_mut(&id) {
                run.claimed = true;
            } else if let Some(key) = key {
                // The request was withdrawn meanwhile.
                let decided = self.claims.void(key, id);
                self.on_claims(decided, cx);
            }
            return self.dispatch_claimed(id, now, cx);
        }
        counter!("agent_claims_refused_total").increment(1);
        self.end_in_gate_of_none(id, now);
        match verdict {
            claim::Verdict::PlatformDown => self.hand_back(id, absent(Refusal::PlatformDown)),
            _ => {
                // The key was used, and what came of it is not held here.
                if let Some(run) = self.runs.get_mut(&id) {
                    run.set_end(End::Forgotten, now);
                    run.pump(id);
                }
            }
        }
    }

    fn dispatch_claimed(&mut self, id: RequestId, now: Instant, cx: &mut Context<Self>) {
        let Some(run) = self.runs.get_mut(&id) else {
            return self.end_in_gate_of_none(id, now);
        };
        let Some(door) = self.doors.get_mut(&run.endpoint) else {
            return;
        };
        let Some(offer) = run.offer.take() else {
            return;
        };
        door.cache.add(&offer.prefixes);
        counter!("agent_dispatches_total").increment(1);
        run.set_dispatched();
        if door.kind == PoolKind::Model {
            run.prefill = Some(Prefill::new(offer.tier, offer.prompt.0));
        }
        run.tell(
            id,
            &ToEntry::Dispatched {
                endpoint: run.endpoint.clone(),
            },
        );
        let class = self.index.class(&offer.class);
        let (tx, rx) = oneshot::channel();
        run.cancel = Some(tx);
        let call = Call {
            id,
            endpoint: door.endpoint.clone(),
            idle: class.map_or(Millis(30_000), |class| class.idle),
            offer,
            pace: Rc::clone(&run.pace),
            cancel: rx,
        };
        actix_rt::spawn(call.run(self.client.clone(), cx.address()));
    }

    /// Settles a gate that still counts a request which is not held any more.
    fn end_in_gate_of_none(&mut self, id: RequestId, now: Instant) {
        for door in self.doors.values_mut() {
            door.gate.on_end(id, Ended::Cancelled, now);
        }
    }

    fn cancel(&mut self, id: RequestId) {
        counter!("agent_cancels_total").increment(1);
        let cancel = self.runs.get_mut(&id).and_then(|run| run.cancel.take());
        if let Some(cancel) = cancel {
            // A call that is over has nobody left to tell.
            let _ = cancel.send(());
        }
    }

    fn on_progress(&mut self, id: RequestId, what: Progress, cx: &mut Context<Self>) {
        let now = clock::now();
        match what {
            Progress::Head(head, events) => {
                let Some(run) = self.runs.get_mut(&id) else {
                    return;
                };
                run.events = events;
                if let Some(door) = self.doors.get_mut(&run.endpoint) {
                    door.proven = true;
                }
                run.set_head(head);
                run.pump(id);
            }
            Progress::Piece(piece) => self.on_piece(id, piece, now),
            Progress::Ended(end) => self.on_call_end(id, end, now, cx),
        }
    }

    fn on_piece(&mut self, id: RequestId, piece: bytes::Bytes, now: Instant) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if let (true, Some(door)) = (run.events, self.doors.get_mut(&run.endpoint)) {
            let tokens = count_events(&piece);
            if !run.begun {
                door.gate.on_first_token(id, now);
            }
            door.gate.on_tokens(id, tokens, now);
            counter!("agent_tokens_total").increment(u64::from(tokens));
        }
        run.push(piece);
        run.pump(id);
    }

    fn on_call_end(&mut self, id: RequestId, end: CallEnd, now: Instant, cx: &mut Context<Self>) {
        let Some(run) = self.runs.get_mut(&id) else {
            return self.end_in_gate_of_none(id, now);
        };
        let name = run.endpoint.clone();
        let fingerprint = run.fingerprint;
        let unsent = |_: &mut Prefill| end == CallEnd::NotSent;
        if let Some(prefill) = run.prefill.take_if(unsent) {
            prefill.forget();
        }
        if let (true, Some(key)) = (run.claimed, run.key) {
            let decided = match end {
                CallEnd::Whole => self.claims.record(key, id, Outcome::Answered),
                CallEnd::NotSent => self.claims.void(key, id),
                _ => self.claims.record(key, id, Outcome::Unknown),
            };
            self.on_claims(decided, cx);
        }
        let (ended, told) = match end {
            CallEnd::Whole => (Ended::Whole, End::Whole),
            CallEnd::Broken | CallEnd::NotSent => (Ended::Broken, End::Broken),
            CallEnd::Stalled => (Ended::Stalled, End::Stalled),
            CallEnd::Cancelled => (Ended::Cancelled, End::Cancelled),
        };
        counter!("agent_calls_total", "end" => end_label(told)).increment(1);
        if let Some(door) = self.doors.get_mut(&name) {
            door.gate.on_end(id, ended, now);
        }
        match end {
            CallEnd::NotSent => {
                self.hand_back(id, absent(Refusal::Unavailable));
                self.set_unhealthy(&name, cx);
            }
            CallEnd::Broken => self.judge_later(&name, id, cx),
            CallEnd::Whole | CallEnd::Stalled | CallEnd::Cancelled => {
                if end == CallEnd::Whole {
                    self.quarantine.on_finished(fingerprint);
                }
                self.conclude(id, told, now);
            }
        }
        self.poll(&name, now, cx);
    }

    /// Lets the readers of an answer have its end.
    fn conclude(&mut self, id: RequestId, end: End, now: Instant) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.set_end(end, now);
        run.pump(id);
        if run.is_delivered() && run.key.is_none() {
            self.runs.remove(&id);
        }
    }

    /// Looks shortly after a call broke off whether its endpoint has crashed.
    ///
    /// The entry has the end of the call only after the verdict, so that it
    /// knows of a crash before it may have the request run again.
    fn judge_later(&mut self, name: &EndpointName, id: RequestId, cx: &mut Context<Self>) {
        let Some(door) = self.doors.get_mut(name) else {
            return;
        };
        door.broken.push(id);
        if door.broken.len() > 1 {
            return;
        }
        let address = door.endpoint.address;
        let agent = cx.address();
        let name = name.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(JUDGE_DELAY).await;
            let answers = call::is_alive(address, JUDGE_OPEN).await;
            agent.do_send(Judge { name, answers });
        });
    }

    /// Decides whether calls broke off because their endpoint crashed.
    ///
    /// An endpoint that restarts at once is known by none of its calls going on.
    fn judge(&mut self, name: &EndpointName, answers: bool, cx: &mut Context<Self>) {
        let now = clock::now();
        let Some(door) = self.doors.get_mut(name) else {
            return;
        };
        let broken = std::mem::take(&mut door.broken);
        let crashed = !answers || door.gate.running() == 0;
        if crashed {
            let mut suspects: Vec<_> = door.gate.fingerprints().collect();
            let runs = broken.iter().filter_map(|id| self.runs.get(id));
            suspects.extend(runs.map(|run| run.fingerprint));
            // An endpoint that has not come back after a crash breaks off whatever
            // it is given; that tells against known suspects only.
            let proven = std::mem::take(&mut door.proven);
            suspects.retain(|f| proven || self.quarantine.standing(*f, now) != Standing::Clear);
            self.note_crash(name, &suspects, now);
        }
        for id in broken {
            self.conclude(id, End::Broken, now);
        }
        if crashed {
            // Until it answers again, calls that break off say nothing of their content.
            self.set_unhealthy(name, cx);
        }
    }

    fn note_crash(&mut self, name: &EndpointName, suspects: &[u64], now: Instant) {
        self.crashes += 1;
        counter!("agent_endpoint_crashes_total").increment(1);
        let crash = CrashId::new(name, self.incarnation, self.crashes);
        self.quarantine.on_crash(crash, suspects, now);
        self.spread_notices(now);
    }

    /// Tells the entries what has changed about requests near crashes.
    fn spread_notices(&mut self, now: Instant) {
        let notices = self.quarantine.take_news(NOTICES_MAX, now);
        if notices.is_empty() {
            return;
        }
        for (_, tx) in self.links.values() {
            // An entry that misses this learns of it with the next link.
            let _ = tx.try_send(Frame::Notices(notices.clone()));
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

    /// Refuses work for an endpoint until it can be connected to again.
    fn set_unhealthy(&mut self, name: &EndpointName, cx: &mut Context<Self>) {
        let Some(door) = self.doors.get_mut(name) else {
            return;
        };
        if !door.healthy {
            return;
        }
        door.healthy = false;
        door.gate.set_health(false);
        door.cache.clear();
        counter!("agent_endpoint_losses_total").increment(1);
        warn!("endpoint {name} does not answer");
        let address = door.endpoint.address;
        let agent = cx.address();
        let name = name.clone();
        actix_rt::spawn(async move {
            while !call::is_alive(address, PROBE_OPEN).await {
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
            agent.do_send(Recovered(name));
        });
    }

    /// Asks the platform about slots of keys that no entry remembers a home of.
    fn open_slots(&mut self, cx: &mut Context<Self>) {
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

    fn on_link_lost(&mut self, link: LinkId) {
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

    fn tick(&mut self, cx: &mut Context<Self>) {
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
    fn sweep(&mut self, cx: &mut Context<Self>) {
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
        self.offers.age(now, |id| runs.contains_key(&id));
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
    fn forget_over_bound(&mut self) {
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

    fn orphans(&self, now: Instant) -> Vec<RequestId> {
        let is_orphan = |run: &Run| {
            let due = run.give_up_at.is_some_and(|at| now >= at);
            due && run.ended.is_none() && !run.runs_on
        };
        let orphans = self.runs.iter().filter(|(_, run)| is_orphan(run));
        orphans.map(|(id, _)| *id).collect()
    }

    fn show_status(&self, now: Instant) {
        let doors = self.doors.values().map(|door| {
            let load = door.gate.load(now);
            json!({
                "endpoint": door.endpoint.name,
                "pool": door.pool,
                "healthy": door.healthy,
                "running": load.running,
                "queued": door.gate.queued(),
                "limit": load.limit,
                "prefill_rate": load.prefill_rate,
                "decode_rate": load.decode_rate,
            })
        });
        self.status.set_report(json!({
            "role": "agent",
            "name": self.settings.name,
            "incarnation": self.incarnation,
            "generation": self.index.generation,
            "leaving": self.leaving,
            "vm": self.listing.as_str(),
            "links": self.links.len(),
            "requests": self.runs.len(),
            "endpoints": doors.collect::<Vec<_>>(),
        }));
    }

    fn report(&mut self) {
        let now = clock::now();
        let load = |door: &mut Door| Load {
            prefixes: door.summary(now),
            ..load_of(door, now)
        };
        let endpoints = self.doors.values_mut().map(load).collect();
        self.report_seq += 1;
        let report = Report {
            agent: self.settings.name.clone(),
            data_centre: self.settings.data_centre.clone(),
            incarnation: self.incarnation,
            seq: self.report_seq,
            address: self.link_address,
            generation: self.index.generation,
            leaving: self.leaving,
            endpoints,
        };
        if self.reports.try_send(report).is_err() {
            counter!("agent_reports_skipped_total").increment(1);
        }
    }

    fn reconfigure(&mut self, index: Arc<Index>) {
        let now = clock::now();
        let mut doors = BTreeMap::new();
        for endpoint in index.endpoints_of(&self.settings.name) {
            let Some(pool) = index.pool(&endpoint.pool) else {
                continue;
            };
            let cfg = GateConfig::in_use(&index, pool, endpoint);
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
            for (id, refused) in door.gate.leave(now) {
                self.hand_back(id, refused);
            }
            for id in std::mem::take(&mut door.broken) {
                self.conclude(id, End::Broken, now);
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

fn work_of(id: RequestId, offer: &Offer, repeat: Repeat, now: Instant) -> Work {
    Work {
        id,
        tier: offer.tier,
        organisation: OrganisationDigest::of(&offer.organisation),
        weight: offer.weight,
        prompt: offer.prompt,
        output: offer.output,
        deadline: now.after(offer.remaining),
        repeat,
        fingerprint: offer.fingerprint,
        suspect: false,
    }
}

fn load_of(door: &Door, now: Instant) -> Load {
    let load = door.gate.load(now);
    Load {
        endpoint: door.endpoint.name.clone(),
        pool: door.pool.clone(),
        healthy: door.healthy,
        running: load.running,
        queued: load.queued,
        admits: load.admits,
        prefill_rate: load.prefill_rate.0 as f32,
        decode_rate: load.decode_rate.0 as f32,
        limit: load.limit,
        prefixes: bytes::Bytes::new(),
    }
}

fn absent(reason: Refusal) -> Refused {
    Refused {
        reason,
        retry_after: ABSENT_RETRY_AFTER,
        admits: None,
    }
}

fn count_refusal(reason: Refusal) {
    counter!("agent_refusals_total", "reason" => reason.code()).increment(1);
}

fn end_label(end: End) -> &'static str {
    match end {
        End::Whole => "whole",
        End::Broken => "broken",
        End::Stalled => "stalled",
        End::Cancelled => "cancelled",
        End::Forgotten => "forgotten",
    }
}

/// Counts the server-sent events that end in a part of a stream.
fn count_events(piece: &[u8]) -> u32 {
    let ends = piece.windows(2).filter(|pair| *pair == b"\n\n").count();
    u32::try_from(ends).unwrap_or(u32::MAX)
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

impl Handler<CallEvent> for Agent {
    type Result = ();

    fn handle(&mut self, msg: CallEvent, cx: &mut Context<Self>) {
        self.on_progress(msg.id, msg.what, cx);
    }
}

impl Handler<Reconfigure> for Agent {
    type Result = ();

    fn handle(&mut self, Reconfigure(index): Reconfigure, _: &mut Context<Self>) {
        self.reconfigure(index);
    }
}

impl Handler<Judge> for Agent {
    type Result = ();

    fn handle(&mut self, Judge { name, answers }: Judge, cx: &mut Context<Self>) {
        self.judge(&name, answers, cx);
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

impl Handler<ClaimReplied> for Agent {
    type Result = ();

    fn handle(&mut self, ClaimReplied(shard, reply): ClaimReplied, cx: &mut Context<Self>) {
        let decided = self.claims.on_reply(shard, reply);
        self.on_claims(decided, cx);
    }
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

impl Handler<Recovered> for Agent {
    type Result = ();

    fn handle(&mut self, Recovered(name): Recovered, _: &mut Context<Self>) {
        let Some(door) = self.doors.get_mut(&name) else {
            return;
        };
        door.healthy = true;
        door.gate.set_health(true);
        info!("endpoint {name} answers again");
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
            handed_back.extend(door.gate.leave(now));
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
