//! Starts an entry, forwards configurations and reports to it, and drains it on
//! shutdown.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use actix::{Actor, Addr, AsyncContext};
use futures_util::stream;
use metrics::counter;
use spdlog::info;

use sesamehaven::delivery::Policy;
use sesamehaven::parts::Scope;
use sesamehaven_wire::message::Role;
use sesamehaven_wire::report::ReportReceiver;

use crate::admin::{self, Status};
use crate::clock;
use crate::drain;
use crate::entry::{Entry, InFlight, Leave, Reconfigure};
use crate::entry_http::{self, EntryHttp};
use crate::entry_peers::ReportReceived;
use crate::feed::{Feed, FeedConfig};
use crate::feed_link;
use crate::listing;
use crate::logs;
use crate::peer;
use crate::platform::{PLATFORM_TIMEOUT, Platform};
use crate::ports::Ports;
use crate::reload;
use crate::settings::EntrySettings;

/// Runs an entry until a stop is requested, then accepts requests for another
/// `drain.grace` and waits for those in flight, for at most `drain.longest`.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub fn run(settings: EntrySettings) -> io::Result<()> {
    actix::System::new().block_on(serve(Arc::new(settings)))
}

async fn serve(settings: Arc<EntrySettings>) -> io::Result<()> {
    logs::init(&settings.log).map_err(io::Error::other)?;
    reload::on_hangup::<EntrySettings>(&settings.file)?;
    let status = Status::new("no configuration yet");
    let recorder = admin::install_recorder()?;
    let listener = TcpListener::bind(settings.listen)?;
    let bound = listener.local_addr()?;
    let (admin_addr, admin_server) = admin::serve(settings.admin, status.clone(), recorder)?;
    actix_rt::spawn(admin_server);

    let incarnation = clock::incarnation();
    let mut links_cfg = peer::link_config(
        Role::Entry,
        &settings.name,
        &settings.data_centre,
        incarnation,
        settings.link_key,
    );
    settings.links.apply(&mut links_cfg);
    let reports = ReportReceiver::bind(settings.reports, links_cfg.psk.as_ref())
        .await
        .map_err(io::Error::other)?;
    let udp = reports.local_addr().map_err(io::Error::other)?;
    let (channels, peers) = feed_link::channel();
    let entry = Entry::new(Arc::clone(&settings), links_cfg, status, channels.tx);
    let entry = Entry::create(|cx| {
        let mut rx = channels.rx;
        cx.add_stream(stream::poll_fn(move |cx| rx.poll_recv(cx)));
        entry
    });
    actix_rt::spawn(receive_reports(reports, entry.clone()));
    let index = Feed::spawn_with_peers(
        FeedConfig {
            me: settings.name.clone(),
            platform: Platform::new(settings.platform, PLATFORM_TIMEOUT),
            policy: Policy::default(),
            scope: Scope::Whole,
        },
        peers,
    );
    let mut changes = index.clone();
    let follower = entry.clone();
    actix_rt::spawn(async move {
        while changes.changed().await.is_ok() {
            let index = changes.borrow_and_update().clone();
            if let Some(index) = index {
                follower.do_send(Reconfigure(index));
            }
        }
    });
    actix_rt::spawn(listing::poll_vm_list(
        Platform::new(settings.platform, PLATFORM_TIMEOUT),
        entry.clone(),
    ));
    let http = EntryHttp {
        entry: entry.clone(),
        index,
        limits: settings.limits.clone(),
        incarnation,
        salt: rand::random(),
        count: AtomicU32::new(0),
    };
    let server = entry_http::serve(listener, Arc::new(http), settings.drain.longest)?;
    let handle = server.handle();
    actix_rt::spawn(server);
    let ports = Ports {
        http: Some(bound),
        admin: Some(admin_addr),
        udp: Some(udp),
        ..Ports::default()
    };
    if let Some(path) = &settings.ports_file {
        ports.write(path)?;
    }
    info!("entry {} listens for callers on {bound}", settings.name);

    drain::stop_requested().await?;
    entry.do_send(Leave);
    tokio::time::sleep(settings.drain.grace.duration()).await;
    // Stops accepting immediately; connections with requests in flight stay open.
    let stopping = actix_rt::spawn(handle.stop(true));
    let in_flight = || async { entry.send(InFlight).await.unwrap_or(0) };
    drain::wait_until_idle(settings.drain.longest, in_flight).await;
    // Waits until the remaining bytes of answers are sent to callers.
    drop(stopping.await);
    Ok(())
}

async fn receive_reports(mut reports: ReportReceiver, entry: Addr<Entry>) {
    loop {
        match reports.recv().await {
            Ok(report) => entry.do_send(ReportReceived(report)),
            Err(_) => counter!("entry_report_failures_total").increment(1),
        }
    }
}
