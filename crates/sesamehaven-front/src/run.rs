//! The life of a front process: its listeners, its signals, its end.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{HttpService, KeepAlive, Request, Response, StatusCode};
use actix_rt::signal::unix::{Signal, SignalKind, signal};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::Bytes;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;

use sesamehaven::unit::{Instant, Millis};

use crate::body::Body;
use crate::clock;
use crate::dialect::{Dialect, Directory};
use crate::front::Front;
use crate::gossip;
use crate::refresh;
use crate::serve::serve;
use crate::settings::Settings;

/// How long a connection of a caller may be idle; callers are told to stay below by the configuration.
const IDLE: Duration = Duration::from_secs(20);
/// How long a connection that is being closed waits for the caller's end.
const DISCONNECT: Duration = Duration::from_millis(500);
/// The connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// How long the balancer takes to notice that a front is not ready.
const BALANCER_LAG: Millis = Millis(2_800);
/// How long before the end of the grace period the process ends by itself.
const GRACE_MARGIN: Millis = Millis(400);
/// How long a draining front must be idle before it ends.
const SETTLED: Millis = Millis(150);
/// How often a draining front looks whether it is idle.
const DRAIN_TICK: Duration = Duration::from_millis(50);
/// How often the settings are looked at when no signal says that they changed.
const SETTINGS_EVERY: Duration = Duration::from_secs(5);

/// Runs a front until SIGTERM, and lets it finish what is in flight.
///
/// `reload` reads the settings again; it is called at SIGHUP and now and then.
///
/// # Errors
///
/// Fails when an address cannot be listened on.
pub fn run<D: Dialect>(
    settings: Settings,
    directory: impl Directory,
    reload: impl Fn() -> crate::Result<Settings> + 'static,
) -> io::Result<()> {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(io::Error::other)?;
    actix_rt::System::new().block_on(main::<D>(settings, Rc::new(directory), reload, handle))
}

async fn main<D: Dialect>(
    settings: Settings,
    directory: Rc<impl Directory>,
    reload: impl Fn() -> crate::Result<Settings> + 'static,
    metrics: PrometheusHandle,
) -> io::Result<()> {
    // Until there is a handler, a signal ends the process.
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let front = Rc::new(Front::<D>::new(
        settings.clone(),
        u64::from(rand::random::<u32>()),
    ));
    let (udp, tcp) = gossip::socket(settings.peers).await?;
    let udp = Rc::new(udp);
    spdlog::info!("front started", kv: {
        name = settings.name.as_str(),
        listen = settings.listen.to_string(),
        peers = settings.peers.to_string(),
        seeds = settings.seeds.len()
    });
    actix_rt::spawn(refresh::configuration(
        Rc::clone(&front),
        Rc::clone(&directory),
    ));
    actix_rt::spawn(refresh::endpoints(Rc::clone(&front), Rc::clone(&directory)));
    actix_rt::spawn(refresh::keep_spending(Rc::clone(&front), directory));
    actix_rt::spawn(gossip::tell(Rc::clone(&front), Rc::clone(&udp)));
    actix_rt::spawn(gossip::listen(Rc::clone(&front), Rc::clone(&udp)));
    actix_rt::spawn(gossip::catch_up(Rc::clone(&front)));
    actix_rt::spawn(gossip::answer(Rc::clone(&front), tcp));
    actix_rt::spawn(reread(Rc::clone(&front), hangup, reload));
    let pools = Rc::clone(&front.pools);
    actix_rt::spawn(async move { pools.run().await });
    let (close, closing) = watch::channel(false);
    listen_for_callers(&front, &settings, closing)?;
    listen_for_admin(&front, &settings, metrics)?;
    terminate.recv().await;
    drain(&front, close).await;
    gossip::say_leaving(&front, &udp);
    spdlog::info!("front stopped", kv: { in_flight = front.active.get() });
    spdlog::default_logger().flush();
    Ok(())
}

/// Finishes what is in flight, and returns when the process may end.
///
/// Callers that the balancer still sends are served until it has noticed. Then
/// idle connections are closed, so that no request comes too late to be finished.
async fn drain<D: Dialect>(front: &Front<D>, close: watch::Sender<bool>) {
    let since = clock::now();
    front.is_draining.set(true);
    spdlog::info!("front draining", kv: { in_flight = front.active.get() });
    let grace = front.settings.borrow().bounds.grace;
    let last = since.after(Millis(grace.0.saturating_sub(GRACE_MARGIN.0)));
    let mut idle_since: Option<Instant> = None;
    loop {
        let now = clock::now();
        if now.since(since) >= BALANCER_LAG {
            close.send_replace(true);
        }
        match front.active.get() {
            0 => {
                idle_since.get_or_insert(now);
            }
            _ => idle_since = None,
        }
        let settled = idle_since.is_some_and(|at| now.since(at) >= SETTLED);
        if now >= last || (settled && *close.borrow()) {
            return;
        }
        tokio::time::sleep(DRAIN_TICK).await;
    }
}

/// Takes over changed settings, at SIGHUP and when they changed without one.
async fn reread<D: Dialect>(
    front: Rc<Front<D>>,
    mut hangup: Signal,
    reload: impl Fn() -> crate::Result<Settings>,
) {
    loop {
        // Either way the settings are read again.
        let _ = tokio::time::timeout(SETTINGS_EVERY, hangup.recv()).await;
        match reload() {
            Ok(settings) if settings != *front.settings.borrow() => {
                spdlog::info!("settings reloaded", kv: { seeds = settings.seeds.len() });
                front.peers.borrow_mut().set_seeds(settings.seeds.clone());
                *front.settings.borrow_mut() = settings;
            }
            Ok(_) => {}
            Err(err) => {
                spdlog::error!("settings not reloaded, those in force stay", kv: { reason = err.to_string() });
            }
        }
    }
}

fn listen_for_callers<D: Dialect>(
    front: &Rc<Front<D>>,
    settings: &Settings,
    closing: watch::Receiver<bool>,
) -> io::Result<()> {
    let listener = bind(settings.listen)?;
    let front = Rc::clone(front);
    let handler = move |req: Request| {
        let front = Rc::clone(&front);
        async move { Ok::<_, Infallible>(serve(front, req).await) }
    };
    actix_rt::spawn(accept(listener, handler, closing));
    Ok(())
}

fn listen_for_admin<D: Dialect>(
    front: &Rc<Front<D>>,
    settings: &Settings,
    metrics: PrometheusHandle,
) -> io::Result<()> {
    let path = settings.ready_path.clone();
    let state = Rc::clone(front);
    let ready = move |req: Request| {
        let status = match req.path() == path && state.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        async move { Ok::<_, Infallible>(Response::with_body(status, Body::Whole(Bytes::new()))) }
    };
    // The balancer's questions and those for metrics are answered to the end.
    let (_, never) = watch::channel(false);
    actix_rt::spawn(accept(bind(settings.ready)?, ready, never.clone()));
    let Some(admin) = settings.admin else {
        return Ok(());
    };
    let pools = Rc::clone(&front.pools);
    let page = move |_: Request| {
        pools.publish();
        let text = Bytes::from(metrics.render());
        async move { Ok::<_, Infallible>(Response::with_body(StatusCode::OK, Body::Whole(text))) }
    };
    match bind(admin) {
        Ok(listener) => {
            actix_rt::spawn(accept(listener, page, never));
        }
        // Callers are served without metrics, too.
        Err(err) => {
            spdlog::error!("metrics are not served", kv: { address = admin.to_string(), reason = err.to_string() });
        }
    }
    Ok(())
}

/// Waits until connections are to be closed after their current request.
async fn closed(mut closing: watch::Receiver<bool>) {
    if closing.wait_for(|is_closing| *is_closing).await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections and serves the requests on them.
///
/// Half-closed connections count as left: a caller that closes has no use for an answer.
async fn accept<H, F>(listener: TcpListener, handler: H, closing: watch::Receiver<bool>)
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Result<Response<Body>, Infallible>> + 'static,
{
    let signal = closing.clone();
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(IDLE))
        .client_request_timeout(IDLE)
        .client_disconnect_timeout(DISCONNECT)
        .h1_allow_half_closed(false)
        .tcp_nodelay(true)
        .graceful_shutdown_signal(move || closed(signal.clone()))
        .h1(fn_service(handler))
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        spdlog::error!("connections cannot be served");
        return;
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closed(closing.clone()) => return,
        };
        match accepted {
            Ok((io, _)) => {
                actix_rt::spawn(service.call(io));
            }
            Err(err) => {
                metrics::counter!("front_accept_errors_total").increment(1);
                spdlog::warn!("connection not accepted", kv: { reason = err.to_string() });
                tokio::time::sleep(DRAIN_TICK).await;
            }
        }
    }
}
