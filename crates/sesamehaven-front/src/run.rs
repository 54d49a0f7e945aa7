//! The lifecycle of a front process: listeners, signals and draining.

use std::cell::Cell;
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
use metrics::counter;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;

use sesamehaven::grace::Grace;
use sesamehaven::unit::{Instant, Millis};

use crate::body::Body;
use crate::caller_stream::CallerStream;
use crate::clock;
use crate::front::{CounterGuard, Front};
use crate::gossip;
use crate::listen;
use crate::origins;
use crate::peers::Proximity;
use crate::pools::Pools;
use crate::protocol::{Directory, Protocol};
use crate::refresh;
use crate::rollouts;
use crate::serve::serve;
use crate::settings::Settings;
use crate::snapshot;

/// The timeout for idle connections and for request heads.
///
/// The configuration must announce a shorter idle timeout to callers.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long the front waits for the caller to close a connection that is being shut down.
const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a new connection stays open for its first request while idle ones are being closed.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(300);
/// How long a draining front must be idle before it exits.
const DRAIN_IDLE_TIME: Millis = Millis(150);
/// How often a draining front checks whether it is idle.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The pause after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The pause before a background task that panicked is started again.
const TASK_RESTART_DELAY: Duration = Duration::from_millis(100);
/// How often the settings are re-read without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// How often the samples of histograms are aggregated.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Runs a front until SIGTERM, then drains the requests in flight.
///
/// `reload` reads the settings again; it is called on SIGHUP and periodically.
///
/// # Errors
///
/// Fails if the metrics recorder or a signal handler cannot be installed, or if an address other than
/// that for metrics cannot be bound. One that is in use is waited for.
pub fn run<P: Protocol>(
    settings: Settings,
    directory: impl Directory,
    reload: impl Fn() -> crate::Result<Settings> + 'static,
) -> io::Result<()> {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(io::Error::other)?;
    report_panics();
    actix_rt::System::new().block_on(main::<P>(settings, Rc::new(directory), reload, handle))
}

/// Counts and logs each panic.
///
/// A panic ends only the task that it happens in: one connection of a caller, or one step of a
/// background task.
fn report_panics() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        print(info);
        counter!("front_panics_total").increment(1);
        spdlog::error!("task panicked", kv: { reason = info.to_string() });
    }));
}

/// Runs a background task for the lifetime of the process.
///
/// A task that panics is started again, since a front without it would go on with outdated state.
fn spawn_task<F>(name: &'static str, start: impl Fn() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    actix_rt::spawn(async move {
        while let Err(err) = actix_rt::spawn(start()).await {
            spdlog::error!("background task started again", kv: { name, reason = err.to_string() });
            tokio::time::sleep(TASK_RESTART_DELAY).await;
        }
    });
}

async fn main<P: Protocol>(
    settings: Settings,
    directory: Rc<impl Directory>,
    reload: impl Fn() -> crate::Result<Settings> + 'static,
    metrics: PrometheusHandle,
) -> io::Result<()> {
    // Until a handler is installed, a signal terminates the process.
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let front = Rc::new(Front::<P>::new(
        settings.clone(),
        u64::from(rand::random::<u32>()),
    ));
    let sockets = tokio::select! {
        bound = Sockets::bind(&settings) => bound?,
        _ = terminate.recv() => return Ok(()),
    };
    let (udp, tcp) = (Rc::new(sockets.digests), sockets.states);
    spdlog::info!("front started", kv: {
        name = settings.name.as_str(),
        listen = settings.listen.to_string(),
        peers = settings.peers.to_string(),
        seeds = settings.seeds.len()
    });
    let (shared, dir) = (Rc::clone(&front), Rc::clone(&directory));
    spawn_task("poll_config", move || {
        refresh::poll_config(Rc::clone(&shared), Rc::clone(&dir))
    });
    let (shared, dir) = (Rc::clone(&front), Rc::clone(&directory));
    spawn_task("poll_endpoints", move || {
        refresh::poll_endpoints(Rc::clone(&shared), Rc::clone(&dir))
    });
    let (shared, dir) = (Rc::clone(&front), Rc::clone(&directory));
    spawn_task("rollouts", move || {
        rollouts::run(Rc::clone(&shared), Rc::clone(&dir))
    });
    let shared = Rc::clone(&front);
    spawn_task("save_snapshots", move || {
        snapshot::save_snapshots(Rc::clone(&shared), Rc::clone(&directory))
    });
    for proximity in [Proximity::Near, Proximity::Far] {
        let (shared, socket) = (Rc::clone(&front), Rc::clone(&udp));
        spawn_task("send_digests", move || {
            gossip::send_digests(Rc::clone(&shared), Rc::clone(&socket), proximity)
        });
    }
    let shared = Rc::clone(&front);
    spawn_task("apply_peer_loads", move || {
        gossip::apply_peer_loads(Rc::clone(&shared))
    });
    let (shared, socket) = (Rc::clone(&front), Rc::clone(&udp));
    spawn_task("receive_digests", move || {
        gossip::receive_digests(Rc::clone(&shared), Rc::clone(&socket))
    });
    let shared = Rc::clone(&front);
    spawn_task("ask_seeds", move || gossip::ask_seeds(Rc::clone(&shared)));
    let shared = Rc::clone(&front);
    spawn_task("sync_from_peers", move || {
        gossip::sync_from_peers(Rc::clone(&shared))
    });
    let (shared, socket) = (Rc::clone(&front), Rc::clone(&udp));
    spawn_task("send_origins", move || {
        origins::send_origins(Rc::clone(&shared), Rc::clone(&socket))
    });
    let upkeep = metrics.clone();
    spawn_task("aggregate_metrics", move || {
        aggregate_metrics(upkeep.clone())
    });
    actix_rt::spawn(gossip::serve_state(Rc::clone(&front), tcp));
    actix_rt::spawn(reload_settings(Rc::clone(&front), hangup, reload));
    let pools = Rc::clone(&front.pools);
    spawn_task("run_pools", move || {
        let pools = Rc::clone(&pools);
        async move { pools.run().await }
    });
    let (shutdown_tx, shutdown) = watch::channel(false);
    serve_callers(&front, sockets.callers, shutdown);
    serve_readiness(&front, &settings, sockets.ready);
    if let Some(admin) = settings.admin {
        actix_rt::spawn(serve_metrics(Rc::clone(&front.pools), admin, metrics));
    }
    terminate.recv().await;
    drain(&front, shutdown_tx).await;
    gossip::announce_leave(&front, &udp);
    spdlog::info!("front stopped", kv: { in_flight = front.active_requests.get() });
    spdlog::default_logger().flush();
    Ok(())
}

/// Aggregates the samples of histograms periodically, which are held one by one until then.
async fn aggregate_metrics(metrics: PrometheusHandle) {
    loop {
        tokio::time::sleep(METRICS_UPKEEP_INTERVAL).await;
        metrics.run_upkeep();
    }
}

/// Waits until the requests in flight have finished or the grace period is nearly over.
///
/// What still runs then gets an answer that promises nothing.
///
/// Requests that the load balancer still sends are served until it has noticed. Then idle
/// connections are closed, so that no request arrives too late to finish, and the others once their
/// responses are written.
async fn drain<P: Protocol>(front: &Front<P>, shutdown: watch::Sender<bool>) {
    let grace = Grace::new(clock::now(), front.settings.borrow().bounds.grace_period);
    front.stop.begin(grace);
    spdlog::info!("front draining", kv: { in_flight = front.active_requests.get() });
    let mut idle_since: Option<Instant> = None;
    loop {
        let now = clock::now();
        if grace.is_out_of_balance(now) {
            shutdown.send_replace(true);
        }
        // A response is on its way to the caller until its connection has ended.
        let is_idle = front.active_requests.get() == 0
            && (!*shutdown.borrow() || front.caller_connections.get() == 0);
        match is_idle {
            true => {
                idle_since.get_or_insert(now);
            }
            false => idle_since = None,
        }
        let is_settled = idle_since.is_some_and(|at| now.since(at) >= DRAIN_IDLE_TIME);
        if now >= grace.exits_at() || (is_settled && *shutdown.borrow()) {
            return;
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Reloads the settings on SIGHUP and periodically.
///
/// The name, the addresses, the path of the readiness check and the parameters of existing retry
/// budgets change only on restart.
async fn reload_settings<P: Protocol>(
    front: Rc<Front<P>>,
    mut hangup: Signal,
    reload: impl Fn() -> crate::Result<Settings>,
) {
    loop {
        // The settings are re-read on the signal as well as on the timeout.
        let _ = tokio::time::timeout(SETTINGS_POLL_INTERVAL, hangup.recv()).await;
        match reload() {
            Ok(settings) if settings != *front.settings.borrow() => {
                spdlog::info!("settings reloaded", kv: { seeds = settings.seeds.len() });
                front.peers.borrow_mut().set_seeds(settings.seeds.clone());
                front.body_memory.set_max(settings.max_body_memory.0);
                *front.settings.borrow_mut() = settings;
            }
            Ok(_) => {}
            Err(err) => {
                spdlog::error!("settings not reloaded, those in force stay", kv: { reason = err.to_string() });
            }
        }
    }
}

/// The sockets without which a front does not run.
struct Sockets {
    digests: UdpSocket,
    states: TcpListener,
    ready: TcpListener,
    callers: TcpListener,
}

impl Sockets {
    /// Binds the address for callers last, since their connections are accepted only when all are bound.
    async fn bind(settings: &Settings) -> io::Result<Self> {
        Ok(Sockets {
            digests: listen::udp(settings.peers).await?,
            states: listen::tcp(settings.peers).await?,
            ready: listen::tcp(settings.ready).await?,
            callers: listen::tcp(settings.listen).await?,
        })
    }
}

fn serve_callers<P: Protocol>(
    front: &Rc<Front<P>>,
    listener: TcpListener,
    shutdown: watch::Receiver<bool>,
) {
    let connections = Rc::clone(&front.caller_connections);
    let front = Rc::clone(front);
    let handler = move |req: Request| {
        let front = Rc::clone(&front);
        async move { Ok::<_, Infallible>(serve(front, req).await) }
    };
    actix_rt::spawn(accept(listener, handler, shutdown, connections));
}

/// Serves the health checks of the load balancer until the process exits.
fn serve_readiness<P: Protocol>(front: &Rc<Front<P>>, settings: &Settings, listener: TcpListener) {
    let path = settings.ready_path.clone();
    let state = Rc::clone(front);
    let ready = move |req: Request| {
        let status = match req.path() == path && state.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        async move { Ok::<_, Infallible>(Response::with_body(status, Body::Full(Bytes::new()))) }
    };
    let (_, never) = watch::channel(false);
    actix_rt::spawn(accept(listener, ready, never, Rc::default()));
}

/// Serves the metrics until the process exits. The front also runs without them.
async fn serve_metrics(pools: Rc<Pools>, address: SocketAddr, metrics: PrometheusHandle) {
    let listener = match listen::tcp(address).await {
        Ok(listener) => listener,
        Err(err) => {
            spdlog::error!("failed to bind the metrics address", kv: { reason = err.to_string() });
            return;
        }
    };
    let page = move |_: Request| {
        pools.record_gauges();
        let text = Bytes::from(metrics.render());
        async move { Ok::<_, Infallible>(Response::with_body(StatusCode::OK, Body::Full(text))) }
    };
    let (_, never) = watch::channel(false);
    accept(listener, page, never, Rc::default()).await;
}

/// Waits until a connection that has just been accepted is to be closed after its current request.
///
/// A request that the caller sent before the shutdown must not find its connection closed.
fn shutdown_after_first_request(shutdown: watch::Receiver<bool>) -> impl Future<Output = ()> {
    let first_request = tokio::time::sleep(FIRST_REQUEST_TIME);
    async move {
        tokio::join!(shutdown_requested(shutdown), first_request);
    }
}

/// Waits until connections are to be closed after their current request.
async fn shutdown_requested(mut shutdown: watch::Receiver<bool>) {
    if shutdown
        .wait_for(|is_requested| *is_requested)
        .await
        .is_err()
    {
        std::future::pending::<()>().await;
    }
}

/// Accepts connections and serves the requests on them.
///
/// A half-closed connection counts as disconnected: a caller that closes its side no longer needs
/// the response.
async fn accept<H, F>(
    listener: TcpListener,
    handler: H,
    shutdown: watch::Receiver<bool>,
    connections: Rc<Cell<u32>>,
) where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Result<Response<Body>, Infallible>> + 'static,
{
    let signal = shutdown.clone();
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(CALLER_IDLE_TIMEOUT))
        .client_request_timeout(CALLER_IDLE_TIMEOUT)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || shutdown_after_first_request(signal.clone()))
        .on_connect_ext(|io: &CallerStream, data| {
            data.insert(io.streaming_flag());
        })
        // A connection has room for the future of its handler, also while none runs.
        .h1(fn_service(move |req| Box::pin(handler(req))));
    let Ok(service) = factory.new_service(()).await else {
        spdlog::error!("failed to create the HTTP service");
        return;
    };
    let serve = |io: TcpStream| {
        // The caller may have disconnected already.
        let Ok(address) = io.peer_addr() else { return };
        let Ok(io) = CallerStream::new(io) else {
            return;
        };
        let serving = service.call((io, Some(address)));
        let connections = Rc::clone(&connections);
        actix_rt::spawn(async move {
            let _open = CounterGuard::new(&connections);
            serving.await
        });
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown_requested(shutdown.clone()) => break,
        };
        match accepted {
            Ok((io, _)) => serve(io),
            Err(err) => {
                counter!("front_accept_errors_total").increment(1);
                spdlog::warn!("failed to accept connection", kv: { reason = err.to_string() });
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    for io in queued_connections(listener) {
        serve(io);
    }
}

/// Accepts the connections that wait in the queue of a listener, and closes it.
///
/// They would be reset when it closes, although their callers may have sent a request. The runtime
/// knows only of those that were queued when it last asked the system.
fn queued_connections(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    let listener = listener.into_std().ok();
    std::iter::from_fn(move || {
        let (io, _) = listener.as_ref()?.accept().ok()?;
        io.set_nonblocking(true).ok()?;
        TcpStream::from_std(io).ok()
    })
}
