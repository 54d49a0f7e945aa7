//! The dispatchers of all pools, joined to the tasks of the requests that wait for them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use metrics::gauge;
use smol_str::SmolStr;
use tokio::sync::{Notify, oneshot};

use sesamehaven::backlog::Ticket;
use sesamehaven::digest::hash_of;
use sesamehaven::dispatcher::{Dispatcher, Refusal, Step, Work};
use sesamehaven::placement::{DispatchOutcome, ListedEndpoint};
use sesamehaven::unit::Millis;

use crate::clock;
use crate::dialect::Entry;
use crate::peers::{Load, Loads};

/// How often waiting requests are looked at when no place becomes free meanwhile.
const TICK: Duration = Duration::from_millis(20);

/// Why a request has no place; it has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// The reason.
    pub why: Refusal,
    /// When the caller may come back.
    pub retry_after: Millis,
}

type Turn = Result<SmolStr, Refused>;

/// The queues and endpoints of all pools.
#[derive(Debug, Default)]
pub struct Pools {
    seed: u64,
    pools: RefCell<HashMap<SmolStr, Dispatcher>>,
    turns: RefCell<HashMap<Ticket, oneshot::Sender<Turn>>>,
    next: Cell<u64>,
    queued: Notify,
}

/// A place at an endpoint, which is free again when this is dropped.
#[derive(Debug)]
pub struct Place {
    pools: Rc<Pools>,
    pool: SmolStr,
    ticket: Ticket,
    /// The endpoint's incarnation.
    pub endpoint: SmolStr,
    ended: Option<DispatchOutcome>,
}

impl Place {
    /// Says how the request has ended, and frees the place.
    pub fn end(mut self, ended: DispatchOutcome) {
        self.ended = Some(ended);
    }

    /// Says that the endpoint cannot be reached, and frees the place.
    pub fn unreachable(self) {
        let (ticket, now) = (self.ticket, clock::now());
        self.pools
            .step(&self.pool, |d| d.on_unreachable(ticket, now));
    }

    /// Says that the endpoint had no room, and frees the place.
    pub fn full(self) {
        let (ticket, now) = (self.ticket, clock::now());
        self.pools.step(&self.pool, |d| d.on_full(ticket, now));
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let ended = self.ended.unwrap_or(DispatchOutcome::Neutral);
        let (ticket, now) = (self.ticket, clock::now());
        self.pools
            .step(&self.pool, |d| d.on_end(ticket, ended, now));
    }
}

/// A request that waits; dropping it takes it out of the queue.
struct Queued {
    pools: Rc<Pools>,
    pool: SmolStr,
    ticket: Ticket,
    turn: oneshot::Receiver<Turn>,
    is_over: bool,
}

impl Drop for Queued {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        self.pools.turns.borrow_mut().remove(&self.ticket);
        let (ticket, now) = (self.ticket, clock::now());
        self.pools.step(&self.pool, |d| {
            d.on_caller_gone(ticket);
            d.on_end(ticket, DispatchOutcome::Neutral, now)
        });
    }
}

impl Pools {
    /// Builds the pools of a front, whose own order of endpoints follows from its seed.
    pub fn new(seed: u64) -> Self {
        Pools {
            seed,
            ..Pools::default()
        }
    }

    /// Takes over the endpoints that the directory lists.
    pub fn set_entries(&self, entries: &[Entry], data_centre: &str) {
        let mut listed: HashMap<SmolStr, Vec<ListedEndpoint>> = HashMap::new();
        for entry in entries {
            listed
                .entry(entry.pool.clone())
                .or_default()
                .push(ListedEndpoint {
                    id: entry.id.clone(),
                    slots: entry.places,
                    is_near: entry.data_centre == data_centre,
                    is_ready: entry.is_ready,
                });
        }
        {
            let mut pools = self.pools.borrow_mut();
            for (name, pool) in pools.iter_mut() {
                pool.set_endpoints(listed.remove(name).unwrap_or_default());
            }
            for (name, listed) in listed {
                let mut pool = Dispatcher::new(self.seed);
                pool.set_endpoints(listed);
                pools.insert(name, pool);
            }
        }
        self.tick();
    }

    /// Notes what the other fronts run, and what waits there.
    pub fn set_peers(&self, loads: &Loads) {
        for (name, pool) in self.pools.borrow_mut().iter_mut() {
            let waiting = loads.waiting.get(&short(hash_of(name)));
            let running = |hash: u64| loads.running.get(&short(hash)).copied();
            let waiting = waiting.copied().unwrap_or_default();
            pool.set_peers(loads.fronts, waiting, clock::now(), |hash| {
                running(hash).unwrap_or_default()
            });
        }
        self.tick();
    }

    /// Returns what this front runs at each endpoint, and what waits for each pool.
    pub fn demand(&self) -> Load {
        let pools = self.pools.borrow();
        let running = pools.values().flat_map(Dispatcher::running);
        let waiting = pools.iter().filter(|(_, pool)| pool.waiting() > 0);
        Load {
            running: running.map(|(hash, n)| (short(hash), n)).collect(),
            waiting: waiting
                .map(|(name, pool)| (short(hash_of(name)), pool.waiting() as u32))
                .collect(),
        }
    }

    /// Returns the places of a pool that are free, all of them, and the requests that wait.
    pub fn load(&self, pool: &str) -> (u32, u32, usize) {
        let pools = self.pools.borrow();
        let Some(pool) = pools.get(pool) else {
            return (0, 0, 0);
        };
        let (free, places) = pool.slots();
        (free, places, pool.waiting())
    }

    /// Waits for a place at an endpoint.
    ///
    /// # Errors
    ///
    /// Returns when to come back if there is none in time.
    pub async fn acquire(self: &Rc<Self>, pool: &SmolStr, work: Work) -> Result<Place, Refused> {
        let no_pool = Refused {
            why: Refusal::NoEndpoint,
            retry_after: NO_POOL_RETRY_AFTER,
        };
        if !self.pools.borrow().contains_key(pool) {
            return Err(no_pool);
        }
        let ticket = Ticket(self.next.replace(self.next.get() + 1));
        let (tx, turn) = oneshot::channel();
        self.turns.borrow_mut().insert(ticket, tx);
        let mut queued = Queued {
            pools: Rc::clone(self),
            pool: pool.clone(),
            ticket,
            turn,
            is_over: false,
        };
        self.step(pool, |d| d.on_arrival(ticket, work, clock::now()));
        self.queued.notify_one();
        let turn = (&mut queued.turn).await;
        queued.is_over = true;
        let endpoint = turn.unwrap_or(Err(no_pool))?;
        Ok(Place {
            pools: Rc::clone(self),
            pool: pool.clone(),
            ticket,
            endpoint,
            ended: None,
        })
    }

    /// Keeps the queues moving for as long as the process runs.
    pub async fn run(&self) {
        loop {
            if self.pools.borrow().values().all(|p| p.waiting() == 0) {
                self.queued.notified().await;
            }
            tokio::time::sleep(TICK).await;
            self.tick();
        }
    }

    fn tick(&self) {
        let names: Vec<SmolStr> = self.pools.borrow().keys().cloned().collect();
        for name in &names {
            self.step(name, |d| d.on_tick(clock::now()));
        }
    }

    /// Sets the gauges of all pools, for whoever reads the metrics.
    pub fn publish(&self) {
        for (name, pool) in self.pools.borrow().iter() {
            let (free, _) = pool.slots();
            gauge!("front_free_slots", "pool" => name.to_string()).set(free);
            gauge!("front_waiting_requests", "pool" => name.to_string()).set(pool.waiting() as f64);
        }
    }

    /// Gives an event to a dispatcher and carries out what follows.
    fn step(
        &self,
        pool: &str,
        event: impl FnOnce(&mut Dispatcher) -> sesamehaven::dispatcher::Steps,
    ) {
        let steps = match self.pools.borrow_mut().get_mut(pool) {
            Some(dispatcher) => event(dispatcher),
            None => return,
        };
        for step in steps {
            let (ticket, turn) = match step {
                Step::Start { ticket, endpoint } => (ticket, Ok(endpoint)),
                Step::Refuse {
                    ticket,
                    reason,
                    retry_after,
                } => (
                    ticket,
                    Err(Refused {
                        why: reason,
                        retry_after,
                    }),
                ),
            };
            let tx = self.turns.borrow_mut().remove(&ticket);
            if let Some(tx) = tx {
                // A caller that has left frees its place by dropping the queue entry.
                let _ = tx.send(turn);
            }
        }
    }
}

/// When to come back to a pool of which no endpoint is known.
const NO_POOL_RETRY_AFTER: Millis = Millis(500);

/// Shortens a hash to what goes into digests.
pub(crate) fn short(hash: u64) -> u32 {
    (hash >> 32) as u32
}
