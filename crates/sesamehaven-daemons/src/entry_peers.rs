//! Agents as seen by an entry: reports, links and link loss.

use std::net::SocketAddr;
use std::time::Duration;

use actix::prelude::*;
use metrics::counter;
use spdlog::{info, warn};

use sesamehaven::gate::LoadView;
use sesamehaven::guard::Run;
use sesamehaven::id::{DaemonName, EndpointName, Incarnation, RequestId};
use sesamehaven::lifecycle::Event;
use sesamehaven::router::Router;
use sesamehaven::unit::{Instant, TokenRate};
use sesamehaven_wire::link::{self, Link, Sender};
use sesamehaven_wire::message::{Frame, Load, Report, Role};

use crate::active::Active;
use crate::clock;
use crate::entry::Entry;
use crate::feed::FromPeer;
use crate::feed_link;
use crate::part_notices;
use crate::peer::{self, LinkId};

/// Delay between two attempts to open a link.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// State of an agent as seen by this entry.
pub(crate) struct Peer {
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Incarnation,
    pub(crate) link: Option<(LinkId, Sender)>,
    pub(crate) connecting: bool,
    pub(crate) leaving: bool,
    pub(crate) last_report: Instant,
}

/// Delivers a load report received from an agent.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ReportReceived(pub Report);

/// Delivers the result of an attempt to open a link.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Connected(DaemonName, Result<Link, sesamehaven_wire::Error>);

impl Entry {
    pub(crate) fn on_report(&mut self, report: Report, cx: &mut Context<Self>) {
        let now = clock::now();
        let known = self.peers.get(&report.agent);
        let is_older = known.is_some_and(|peer| peer.incarnation > report.incarnation);
        if is_older {
            counter!("entry_stale_reports_total").increment(1);
            return;
        }
        let replaced = known.is_some_and(|peer| peer.incarnation < report.incarnation);
        if replaced {
            self.on_agent_restarted(&report.agent);
            self.peers.remove(&report.agent);
        }
        let peer = self.peers.entry(report.agent.clone()).or_insert_with(|| {
            info!("discovered agent {} at {}", report.agent, report.address);
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
        self.notify_feed(Some(FromPeer::Generation {
            peer: report.agent.clone(),
            generation: report.generation,
        }));
        self.connect(&report.agent, cx);
    }

    pub(crate) fn on_load(&mut self, agent: &DaemonName, load: &Load, seq: u64, now: Instant) {
        let known = self.agents_of.get(&load.endpoint);
        if known != Some(agent) {
            self.agents_of.insert(load.endpoint.clone(), agent.clone());
        }
        let Some(pool) = self.index.pool(&load.pool) else {
            return;
        };
        let router = self.routers.entry(load.pool.clone());
        let router = router.or_insert_with(|| Router::for_pool(pool));
        router.set_pool(pool);
        router.on_report(&load.endpoint, view_of(load), seq, now);
        router.on_prefixes(&load.endpoint, &load.prefixes);
    }

    /// Opens a link to an agent unless one is open or being opened.
    pub(crate) fn connect(&mut self, name: &DaemonName, cx: &mut Context<Self>) {
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
                tokio::time::sleep(CONNECT_RETRY_DELAY).await;
            }
            entry.do_send(Connected(name, link));
        });
    }

    pub(crate) fn on_connected(&mut self, name: &DaemonName, link: Link, cx: &mut Context<Self>) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        // Another process may listen on the agent's former address.
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
            // The send queue of a new link has room for its first frames.
            let _ = link.tx.try_send(Frame::Notices(summary));
        }
        part_notices::send_summary(&self.part_quarantine, &link.tx);
        peer.link = Some((id, link.tx));
        self.links.insert(id, name.clone());
        actix_rt::spawn(feed_link::forward_generations(
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
            return self.on_agent_restarted(name);
        }
        for id in self.requests_at(name) {
            self.on_event(id, Event::LinkUp);
        }
    }

    pub(crate) fn on_link_lost(&mut self, link: LinkId, cx: &mut Context<Self>) {
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
        self.notify_feed(Some(FromPeer::Disconnected { peer: name.clone() }));
        counter!("entry_link_losses_total").increment(1);
        warn!("link to agent {name} lost");
        let now = clock::now();
        let endpoints = self.endpoints_of(&name);
        for router in self.routers.values_mut() {
            endpoints.iter().for_each(|e| router.on_link_lost(e, now));
        }
        for id in self.requests_at(&name) {
            self.on_event(id, Event::LinkLost);
        }
        self.connect(&name, cx);
    }

    pub(crate) fn on_agent_restarted(&mut self, name: &DaemonName) {
        warn!("agent {name} restarted");
        self.forget_endpoints(name);
        for id in self.requests_at(name) {
            self.on_event(id, Event::AgentLost);
        }
    }

    pub(crate) fn forget_endpoints(&mut self, agent: &DaemonName) {
        for endpoint in self.endpoints_of(agent) {
            self.agents_of.remove(&endpoint);
            for router in self.routers.values_mut() {
                router.forget(&endpoint);
            }
        }
    }

    pub(crate) fn endpoints_of(&self, agent: &DaemonName) -> Vec<EndpointName> {
        let endpoints = self.agents_of.iter().filter(|(_, a)| *a == agent);
        endpoints.map(|(endpoint, _)| endpoint.clone()).collect()
    }

    pub(crate) fn requests_at(&self, agent: &DaemonName) -> Vec<RequestId> {
        let is_at_agent = |active: &Active| {
            let target = active.lifecycle.target();
            target.is_some_and(|target| target.agent == *agent)
        };
        let requests = self.active.iter().filter(|(_, active)| is_at_agent(active));
        requests.map(|(id, _)| *id).collect()
    }
}

impl Handler<ReportReceived> for Entry {
    type Result = ();

    fn handle(&mut self, ReportReceived(report): ReportReceived, cx: &mut Context<Self>) {
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
