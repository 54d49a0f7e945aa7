//! A proxy that injects faults between two processes, over TCP and UDP.
//!
//! Each route listens on its own address and forwards all traffic to its
//! target. Each connection or UDP flow has its own faults, so that existing
//! ones can be blackholed while new ones work.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::watch;

/// The direction of traffic through the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting process to the target.
    ToTarget,
    /// From the target to the connecting process.
    ToCaller,
}

/// The directions in which no traffic is forwarded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BlockedDirections {
    /// Neither direction is blocked.
    #[default]
    None,
    /// Both directions are blocked.
    Both,
    /// Requests are blocked; responses arrive.
    ToTarget,
    /// Responses are blocked; requests arrive.
    ToCaller,
}

impl BlockedDirections {
    /// Returns whether a direction is blocked.
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
    /// The delay added to all traffic.
    pub delay_ms: u64,
    /// The maximum random delay added to each datagram.
    pub jitter_ms: u64,
    /// The blocked directions.
    pub silent: BlockedDirections,
    /// The percentage of datagrams that are lost.
    pub drop_percent: f64,
    /// The percentage of datagrams that arrive duplicated.
    pub duplicate_percent: f64,
    /// Whether new connections are closed immediately.
    pub refuse: bool,
}

impl Faults {
    /// Returns the delay added to all traffic.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}

/// The connections that a change of faults applies to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Existing and future connections.
    #[default]
    All,
    /// Existing connections only.
    Existing,
    /// Future connections only.
    New,
}

/// A change of faults; absent fields remain unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultChange {
    /// The route; if absent, all routes.
    pub route: Option<SmolStr>,
    /// The connections that the change applies to.
    pub scope: Scope,
    /// Whether existing connections are closed; has no effect with the scope `new`.
    pub cut: bool,
    /// The delay added to all traffic.
    pub delay_ms: Option<u64>,
    /// The maximum random delay added to each datagram.
    pub jitter_ms: Option<u64>,
    /// The blocked directions.
    pub silent: Option<BlockedDirections>,
    /// The percentage of datagrams that are lost.
    pub drop_percent: Option<f64>,
    /// The percentage of datagrams that arrive duplicated.
    pub duplicate_percent: Option<f64>,
    /// Whether new connections are closed immediately.
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

/// The faults and close signal of one connection or flow.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectionControl {
    /// The current faults.
    pub faults: Faults,
    /// Whether the connection is to be closed.
    pub cut: bool,
}

/// The transport of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Transport {
    /// TCP connections.
    Tcp,
    /// UDP datagrams.
    Udp,
}

#[derive(Debug)]
struct RouteState {
    target: Option<SocketAddr>,
    faults: Faults,
    connections: Vec<watch::Sender<ConnectionControl>>,
    /// The number of connections and flows so far, including refused ones; a refused
    /// flow counts once for each of its datagrams.
    accepted: u64,
    rng: ChaCha8Rng,
}

/// A listening address and its target.
#[derive(Debug)]
pub struct Route {
    transport: Transport,
    listen: SocketAddr,
    state: Mutex<RouteState>,
}

/// The representation of a route in the control interface.
#[derive(Debug, Serialize)]
pub struct RouteView {
    transport: Transport,
    listen: SocketAddr,
    target: Option<SocketAddr>,
    faults: Faults,
    open: usize,
    accepted: u64,
}

/// How a datagram is delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delivery {
    /// The number of copies forwarded; zero if the datagram is lost.
    pub copies: u32,
    /// The delay before it is forwarded.
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

    /// Returns the target of the route, if it has been set.
    pub fn target(&self) -> Option<SocketAddr> {
        self.state().target
    }

    /// Sets the target of new connections and subsequent datagrams.
    pub fn set_target(&self, target: SocketAddr) {
        self.state().target = Some(target);
    }

    /// Registers a connection or flow, unless new ones are refused.
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

    /// Draws the delivery of a datagram according to the faults of its flow.
    pub fn delivery(&self, faults: &Faults) -> Delivery {
        let rng = &mut self.state().rng;
        let dropped = rng.random_bool(probability(faults.drop_percent));
        let duplicated = rng.random_bool(probability(faults.duplicate_percent));
        let jitter = rng.random_range(0..=faults.jitter_ms);
        Delivery {
            copies: u32::from(!dropped) * (1 + u32::from(duplicated)),
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

fn probability(percent: f64) -> f64 {
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

    /// Returns the route with this name.
    pub fn route(&self, name: &str) -> Option<Arc<Route>> {
        self.routes().get(name).cloned()
    }

    /// Changes the faults of one route or of all; returns whether any route matched.
    pub fn change(&self, change: &FaultChange) -> bool {
        let routes = self.routes();
        let matches = |name: &SmolStr| change.route.as_ref().is_none_or(|route| route == name);
        let mut any_matched = false;
        for (_, route) in routes.iter().filter(|(name, _)| matches(name)) {
            route.change(change);
            any_matched = true;
        }
        any_matched
    }

    /// Returns the representations of all routes.
    pub fn views(&self) -> BTreeMap<SmolStr, RouteView> {
        let routes = self.routes();
        let views = routes.iter().map(|(name, r)| (name.clone(), r.view()));
        views.collect()
    }

    fn routes(&self) -> MutexGuard<'_, BTreeMap<SmolStr, Arc<Route>>> {
        self.routes.lock().unwrap_or_else(|e| e.into_inner())
    }
}
