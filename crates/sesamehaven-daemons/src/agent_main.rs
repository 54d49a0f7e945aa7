//! Starts an agent, forwards configurations and links to it, and drains it on
//! shutdown.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, Addr, AsyncContext};
use futures_util::stream;
use metrics::counter;
use spdlog::{info, warn};
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};

use sesamehaven::delivery::Policy;
use sesamehaven::id::DaemonName;
use sesamehaven::parts::Scope;
use sesamehaven_wire::link::{self, LinkConfig};
use sesamehaven_wire::message::{Report, Role};
use sesamehaven_wire::report::ReportSender;

use crate::admin::{self, Status};
use crate::agent::{Agent, AgentHandles, EntriesListed, InFlight, Leave, LinkUp, Reconfigure};
use crate::clock;
use crate::drain;
use crate::endpoint_client::EndpointClient;
use crate::feed::{Feed, FeedConfig, PeerChannels};
use crate::feed_link;
use crate::listing;
use crate::logs;
use crate::peer;
use crate::platform::{PLATFORM_TIMEOUT, Platform, Vm, VmState};
use crate::ports::Ports;
use crate::reload;
use crate::settings::AgentSettings;

/// Interval at which the platform's list of VMs is read.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of reports waiting to be sent.
const REPORT_QUEUE_CAPACITY: usize = 4;

/// Runs an agent until a stop is requested, then waits for the requests in flight, for
/// at most `drain.longest`.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub fn run(settings: AgentSettings) -> io::Result<()> {
    actix::System::new().block_on(serve(Arc::new(settings)))
}

async fn serve(settings: Arc<AgentSettings>) -> io::Result<()> {
    logs::init(&settings.log).map_err(io::Error::other)?;
    reload::on_hangup::<AgentSettings>(&settings.file)?;
    let status = Status::new("no configuration yet");
    let recorder = admin::install_recorder()?;
    let listener = TcpListener::bind(settings.link).await?;
    let bound = listener.local_addr()?;
    let (admin_addr, admin_server) = admin::serve(settings.admin, status.clone(), recorder)?;
    actix_rt::spawn(admin_server);

    let mut links_cfg = peer::link_config(
        Role::Agent,
        &settings.name,
        &settings.data_centre,
        clock::incarnation(),
        settings.link_key,
    );
    settings.links.apply(&mut links_cfg);
    let platform = Platform::new(settings.platform, PLATFORM_TIMEOUT);
    let (reports, reports_rx) = mpsc::channel(REPORT_QUEUE_CAPACITY);
    let sender = ReportSender::bind(local_udp(bound), links_cfg.psk.as_ref())
        .await
        .map_err(io::Error::other)?;

    let listed_leaving = Rc::new(Notify::new());
    let (channels, peers) = feed_link::channel();
    let advertised = settings.advertise.unwrap_or(bound);
    let handles = AgentHandles {
        client: EndpointClient::new(settings.limits.connect_timeout),
        status,
        reports,
        feed: channels.tx,
        listed_leaving: Rc::clone(&listed_leaving),
    };
    let agent = Agent::new(
        Arc::clone(&settings),
        links_cfg.clone(),
        advertised,
        handles,
    );
    let agent = Agent::create(|cx| {
        let mut rx = channels.rx;
        cx.add_stream(stream::poll_fn(move |cx| rx.poll_recv(cx)));
        agent
    });
    actix_rt::spawn(send_reports(
        sender,
        reports_rx,
        Arc::clone(&settings),
        platform.clone(),
        agent.clone(),
    ));
    actix_rt::spawn(accept_links(listener, links_cfg, agent.clone()));
    let feed = FeedConfig {
        me: settings.name.clone(),
        platform,
        policy: Policy::default(),
        scope: Scope::Core,
    };
    actix_rt::spawn(follow_configuration(feed, peers, agent.clone()));
    let ports = Ports {
        admin: Some(admin_addr),
        link: Some(bound),
        ..Ports::default()
    };
    if let Some(path) = &settings.ports_file {
        ports.write(path)?;
    }
    info!("agent {} listens for links on {bound}", settings.name);

    listing::stop_requested(&listed_leaving).await?;
    agent.do_send(Leave);
    let in_flight = || async { agent.send(InFlight).await.unwrap_or(0) };
    drain::wait_until_idle(settings.drain.longest, in_flight).await;
    Ok(())
}

/// Returns a local address for reports that reaches the same hosts as links.
fn local_udp(bound: SocketAddr) -> SocketAddr {
    SocketAddr::new(bound.ip(), 0)
}

async fn accept_links(listener: TcpListener, cfg: LinkConfig, agent: Addr<Agent>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            counter!("agent_accept_failures_total").increment(1);
            continue;
        };
        let cfg = cfg.clone();
        let agent = agent.clone();
        actix_rt::spawn(async move {
            // Failed handshakes are counted by the link itself.
            if let Ok(link) = link::accept(stream, &cfg).await {
                agent.do_send(LinkUp(link));
            }
        });
    }
}

async fn follow_configuration(cfg: FeedConfig, peers: PeerChannels, agent: Addr<Agent>) {
    let mut rx = Feed::spawn_with_peers(cfg, peers);
    while rx.changed().await.is_ok() {
        let index = rx.borrow_and_update().clone();
        if let Some(index) = index {
            agent.do_send(Reconfigure(index));
        }
    }
}

/// Sends reports to the entries named in the settings and in the platform's VM
/// list.
async fn send_reports(
    mut sender: ReportSender,
    mut rx: mpsc::Receiver<Report>,
    settings: Arc<AgentSettings>,
    platform: Platform,
    agent: Addr<Agent>,
) {
    let (listed_tx, mut listed) = tokio::sync::watch::channel(Vec::new());
    actix_rt::spawn(async move {
        loop {
            // During an outage of the platform, reports go to the last listed
            // entries.
            if let Ok(vms) = platform.vms().await {
                listed_tx.send_replace(entries_of(&vms));
                agent.do_send(EntriesListed(states_of(&vms)));
            }
            tokio::time::sleep(VM_LIST_INTERVAL).await;
        }
    });
    let mut peers = settings.entries.clone();
    while let Some(mut report) = rx.recv().await {
        if listed.has_changed().unwrap_or(false) {
            peers.clone_from(&settings.entries);
            peers.extend(listed.borrow_and_update().iter());
            peers.sort();
            peers.dedup();
        }
        if let Err(err) = sender.send(&mut report, &peers).await {
            counter!("agent_report_failures_total").increment(1);
            warn!("cannot send load report: {err}");
        }
    }
}

fn entries_of(vms: &[Vm]) -> Vec<SocketAddr> {
    let entries = vms
        .iter()
        .filter(|vm| vm.role == "entry" && vm.state != VmState::Gone);
    entries.filter_map(|vm| vm.address.parse().ok()).collect()
}

fn states_of(vms: &[Vm]) -> Vec<(DaemonName, VmState)> {
    let entries = vms.iter().filter(|vm| vm.role == "entry");
    let named = entries.filter_map(|vm| Some((vm.name.parse().ok()?, vm.state)));
    named.collect()
}
