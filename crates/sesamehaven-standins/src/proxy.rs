//! A proxy that injects faults between two processes, over TCP and UDP.
//!
//! A route listens on an address of its own and passes everything on to its
//! target. Each connection, or UDP flow, carries its own faults, so that the
//! existing ones can go silent while new ones work.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::watch;

/// The direction of bytes through the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the process that connects.
    ToTarget,
    /// Towards the process that connects.
    ToCaller,
}

/// Which directions pass nothing on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BlockedDirections {
    /// Both directions work.
    #[default]
    None,
    /// Neither direction works.
    Both,
    /// Only answers arrive.
    ToTarget,
    /// Only requests arrive.
    ToCaller,
}

impl BlockedDirections {
    /// Returns whether a direction passes nothing on.
    pub fn contains(self, direction: Direction) -> bool {
        match self {
            BlockedDirections::None => false,
            BlockedDirections::Both => true,
            BlockedDirections::ToTarget => direction == Direction::ToTarget,
            BlockedDirections::ToCaller => direction == Direction::ToCaller,
        }
    }
}

/// The faults of a connection or flow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Faults {
    /// How long bytes are held.
    pub delay_ms: u64,
    /// How much longer, at random, a datagram is held at most.
    pub jitter_ms: u64,
    /// Which directions stall.
    pub silent: BlockedDirections,
    /// The share of datagrams that are lost.
    pub drop_percent: f64,
    /// The share of datagrams that arrive twice.
    pub duplicate_percent: f64,
    /// Whether new connections are closed at once.
    pub refuse: bool,
}

impl Faults {
    /// Returns how long bytes are held.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}

/// Which connections a change of faults is for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Those that exist and those to come.
    #[default]
    All,
    /// Only those that exist.
    Existing,
    /// Only those to come.
    New,
}

/// A change of faults; absent fields stay as they are.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultChange {
    /// The route; absent, all routes.
    pub route: Option<SmolStr>,
    /// The connections.
    pub scope: Scope,
    /// Whether existing connections are closed.
    pub cut: bool,
    /// How long bytes are held.
    pub delay_ms: Option<u64>,
    /// How much longer, at random, a datagram is held at most.
    pub jitter_ms: Option<u64>,
    /// Which directions stall.
    pub silent: Option<BlockedDirections>,
    /// The share of datagrams that are lost.
    pub drop_percent: Option<f64>,
    /// The share of datagrams that arrive twice.
    pub duplicate_percent: Option<f64>,
    /// Whether new connections are closed at once.
    pub refuse: Option<bool>,
}

impl FaultChange {
    fn apply(&self, faults: &mut Faults) {
        faults.delay_ms = self.delay_ms.unwrap_or(faults.delay_ms);
        faults.jitter_ms = self.jitter_ms.unwrap_or(faults.jitter_ms);
        faults.silent = self.silent.unwrap_or(faults.silent);
        faults.drop_percent = self.drop_percent.unwrap_or(faults.drop_percent);
        faults.duplicate_percent = self.duplicate_percent.unwrap_or(faults.duplicate_percent);
        faults.refuse = self.refuse.unwrap_or(faults.refuse);
    }
}

/// What a connection has to heed at present.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectionControl {
    /// The faults.
    pub faults: Faults,
    /// Whether to close.
    pub cut: bool,
}

/// The transport of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Transport {
    /// Streams.
    Tcp,
    /// Datagrams.
    Udp,
}

#[derive(Debug)]
struct RouteState {
    target: Option<SocketAddr>,
    faults: Faults,
    connections: Vec<watch::Sender<ConnectionControl>>,
    accepted: u64,
    rng: ChaCha8Rng,
}

/// One listening address and its target.
#[derive(Debug)]
pub struct Route {
    transport: Transport,
    listen: SocketAddr,
    state: Mutex<RouteState>,
}

/// A route as the control interface shows it.
#[derive(Debug, Serialize)]
pub struct RouteView {
    transport: Transport,
    listen: SocketAddr,
    target: Option<SocketAddr>,
    faults: Faults,
    open: usize,
    accepted: u64,
}

/// What happens to a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delivery {
    /// How many copies are sent on.
    pub copies: u32,
    /// How long it is held.
    pub delay: Duration,
}

impl Route {
    /// Builds a route that listens on `listen`.
    pub fn new(
        transport: Transport,
        listen: SocketAddr,
        target: Option<SocketAddr>,
        seed: u64,
    ) -> Arc<Self> {
        let state = RouteState {
            target,
            faults: Faults::default(),
            connections: Vec::new(),
            accepted: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Arc::new(Route {
            transport,
            listen,
            state: Mutex::new(state),
        })
    }

    /// Returns where the route passes on to, once that is known.
    pub fn target(&self) -> Option<SocketAddr> {
        self.state().target
    }

    /// Sets where new connections are passed on to.
    pub fn set_target(&self, target: SocketAddr) {
        self.state().target = Some(target);
    }

    /// Admits a connection or flow, unless new ones are refused.
    pub fn admit(&self) -> Option<watch::Receiver<ConnectionControl>> {
        let mut state = self.state();
        state.accepted += 1;
        if state.faults.refuse {
            return None;
        }
        state.connections.retain(|tx| !tx.is_closed());
        let (tx, rx) = watch::channel(ConnectionControl {
            faults: state.faults,
            cut: false,
        });
        state.connections.push(tx);
        Some(rx)
    }

    /// Decides by the faults of its flow what happens to a datagram.
    pub fn delivery(&self, faults: &Faults) -> Delivery {
        let rng = &mut self.state().rng;
        let dropped = rng.random_bool(share(faults.drop_percent));
        let twice = rng.random_bool(share(faults.duplicate_percent));
        let jitter = rng.random_range(0..=faults.jitter_ms);
        Delivery {
            copies: u32::from(!dropped) * (1 + u32::from(twice)),
            delay: Duration::from_millis(faults.delay_ms + jitter),
        }
    }

    fn change(&self, change: &FaultChange) {
        let mut state = self.state();
        if change.scope != Scope::Existing {
            change.apply(&mut state.faults);
        }
        if change.scope != Scope::New {
            for connection in &state.connections {
                connection.send_modify(|control| {
                    change.apply(&mut control.faults);
                    control.cut |= change.cut;
                });
            }
        }
    }

    fn view(&self) -> RouteView {
        let state = self.state();
        RouteView {
            transport: self.transport,
            listen: self.listen,
            target: state.target,
            faults: state.faults,
            open: state
                .connections
                .iter()
                .filter(|tx| !tx.is_closed())
                .count(),
            accepted: state.accepted,
        }
    }

    fn state(&self) -> MutexGuard<'_, RouteState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

fn share(percent: f64) -> f64 {
    (percent / 100.0).clamp(0.0, 1.0)
}

/// All routes of a proxy, by name.
#[derive(Debug, Clone, Default)]
pub struct Proxy {
    routes: Arc<Mutex<BTreeMap<SmolStr, Arc<Route>>>>,
}

impl Proxy {
    /// Adds a route.
    pub fn add(&self, name: SmolStr, route: Arc<Route>) {
        self.routes().insert(name, route);
    }

    /// Finds a route.
    pub fn route(&self, name: &str) -> Option<Arc<Route>> {
        self.routes().get(name).cloned()
    }

    /// Changes the faults of one route or of all; returns whether any was meant.
    pub fn change(&self, change: &FaultChange) -> bool {
        let routes = self.routes();
        let meant = |name: &SmolStr| change.route.as_ref().is_none_or(|route| route == name);
        let mut any = false;
        for (_, route) in routes.iter().filter(|(name, _)| meant(name)) {
            route.change(change);
            any = true;
        }
        any
    }

    /// Shows all routes.
    pub fn views(&self) -> BTreeMap<SmolStr, RouteView> {
        let routes = self.routes();
        let views = routes.iter().map(|(name, r)| (name.clone(), r.view()));
        views.collect()
    }

    fn routes(&self) -> MutexGuard<'_, BTreeMap<SmolStr, Arc<Route>>> {
        self.routes.lock().unwrap_or_else(|e| e.into_inner())
    }
}
