//! How a configuration reaches the processes, and what is refused on the way.

#![allow(clippy::unwrap_used)] // A test stops at what it does not expect.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::sync::{mpsc, watch};

use sesamehaven::config::Index;
use sesamehaven::delivery::Policy;
use sesamehaven::id::{DaemonName, Generation};
use sesamehaven::parts::Scope;
use sesamehaven::unit::Millis;
use sesamehaven_daemons::feed::{Feed, FeedConfig, FromPeer, Peers, ToPeer};
use sesamehaven_daemons::platform::Platform;
use sesamehaven_system_tests::{Fleet, platform, sample, wait};

async fn fleet_with_entry() -> Fleet {
    let mut fleet = Fleet::new().await.unwrap();
    fleet
        .add_engine("engine-1", "model-a", "agent-1", &[])
        .await
        .unwrap();
    fleet.configure_entries(&["entry-1", "entry-2"]);
    fleet.apply().await.unwrap();
    fleet.apply().await.unwrap();
    fleet.start_entry("entry-1", "").await.unwrap();
    serves(&fleet, 2).await;
    fleet
}

async fn serves(fleet: &Fleet, generation: u64) {
    daemon_serves(fleet, "entry-1", generation).await;
}

async fn daemon_serves(fleet: &Fleet, name: &str, generation: u64) {
    let admin = fleet.daemon(name).admin();
    wait::until(
        &format!("{name} to serve generation {generation}"),
        async || {
            let status: Value = fleet.http.get_json(admin, "/status").await.ok()?;
            (status["generation"] == generation).then_some(())
        },
    )
    .await
    .unwrap();
}

async fn refused(fleet: &Fleet, reason: &str) {
    let admin = fleet.daemon("entry-1").admin();
    let counter = format!("config_refusals_total{{reason=\"{reason}\"}}");
    wait::until(&counter, async || {
        let metrics = fleet.http.get(admin, "/metrics").await.ok()?;
        metrics.text().contains(&counter).then_some(())
    })
    .await
    .unwrap();
}

async fn put(fleet: &Fleet, path: &str, value: impl Into<Bytes>) {
    let url = format!("http://{}/objects/{path}", fleet.platform());
    fleet.http.send("PUT", &url, &[], value).await.unwrap();
}

#[actix_rt::test]
async fn a_head_that_goes_backwards_is_refused_and_alarmed() {
    let mut fleet = fleet_with_entry().await;
    let (http, at) = (fleet.http.clone(), fleet.platform());
    platform::store(&http, at, Generation(1), &fleet.configuration)
        .await
        .unwrap();
    refused(&fleet, "backward").await;
    serves(&fleet, 2).await;

    // The same generation with other content is refused as well.
    let mut other = fleet.configuration.clone();
    other.entries.truncate(1);
    platform::store(&http, at, Generation(2), &other)
        .await
        .unwrap();
    refused(&fleet, "forked").await;
    serves(&fleet, 2).await;

    fleet.apply().await.unwrap();
    serves(&fleet, 3).await;
}

#[actix_rt::test]
async fn parts_that_do_not_match_their_digest_are_refused() {
    let fleet = fleet_with_entry().await;
    let mut changed = fleet.configuration.clone();
    changed.entries.truncate(1);
    let part = serde_json::to_vec(&changed).unwrap();
    let head = platform::Head::of_part(Generation(3), &part);
    let path = format!("config/parts/{}", head.parts[0]);
    put(&fleet, &path, "{}").await;
    put(&fleet, "config/head", serde_json::to_vec(&head).unwrap()).await;
    refused(&fleet, "digest_mismatch").await;
    serves(&fleet, 2).await;

    put(&fleet, &path, part).await;
    serves(&fleet, 3).await;

    let mut forged = head;
    forged.generation = Generation(4);
    forged.parts.clear();
    put(&fleet, "config/head", serde_json::to_vec(&forged).unwrap()).await;
    refused(&fleet, "malformed_head").await;
    serves(&fleet, 3).await;
}

#[rstest]
#[case::agent("agent-1")]
#[case::entry("entry-1")]
#[actix_rt::test]
async fn a_daemon_restarted_during_an_outage_takes_the_configuration_of_its_peer(
    #[case] restarted: &str,
) {
    let mut fleet = fleet_with_entry().await;
    fleet.start_agent("agent-1", "").await.unwrap();
    fleet.wait_for_endpoints("entry-1", 1).await.unwrap();
    fleet.apply().await.unwrap();
    for name in ["entry-1", "agent-1"] {
        daemon_serves(&fleet, name, 3).await;
    }
    let down = json!({ "down": true });
    let (http, at) = (fleet.http.clone(), fleet.platform());
    http.post_json(at, "/control/faults", &down).await.unwrap();
    fleet.restart(restarted).await.unwrap();
    daemon_serves(&fleet, restarted, 3).await;
    fleet.wait_until_ready().await.unwrap();
    fleet.wait_for_endpoints("entry-1", 1).await.unwrap();
}

#[actix_rt::test]
async fn a_daemon_without_any_configuration_is_not_ready_and_says_so() {
    let mut fleet = Fleet::new().await.unwrap();
    let (http, at) = (fleet.http.clone(), fleet.platform());
    http.post_json(at, "/control/faults", &json!({ "down": true }))
        .await
        .unwrap();
    fleet.start_entry("entry-1", "").await.unwrap();
    let admin = fleet.daemon("entry-1").admin();
    let ready = http.get(admin, "/readyz").await.unwrap();
    assert_eq!(ready.status, 503);
    assert!(
        ready.text().contains("no configuration"),
        "{}",
        ready.text()
    );
    assert_eq!(http.get(admin, "/healthz").await.unwrap().status, 200);
}

/// Feeds of several daemons, joined without sockets.
#[derive(Clone, Default)]
struct Hub(Rc<RefCell<BTreeMap<DaemonName, mpsc::Sender<FromPeer>>>>);

impl Hub {
    /// Starts the feed of a daemon and joins it to the others.
    fn start(&self, me: &str, at: std::net::SocketAddr) -> watch::Receiver<Option<Arc<Index>>> {
        let me: DaemonName = me.parse().unwrap();
        let (from_tx, from_rx) = mpsc::channel(64);
        let (to_tx, to_rx) = mpsc::channel(64);
        self.0.borrow_mut().insert(me.clone(), from_tx);
        let cfg = FeedConfig {
            me: me.clone(),
            platform: Platform::new(at, Millis(1_000)),
            policy: Policy {
                // Only watchers and peers can be in time.
                poll_interval: Millis(600_000),
                ..Policy::default()
            },
            scope: Scope::Whole,
        };
        let peers = Peers {
            rx: from_rx,
            tx: to_tx,
        };
        let rx = Feed::spawn_with_peers(cfg, peers);
        actix_rt::spawn(self.clone().pass_on(me.clone(), to_rx));
        actix_rt::spawn(self.clone().tell(me, rx.clone()));
        rx
    }

    async fn pass_on(self, me: DaemonName, mut rx: mpsc::Receiver<ToPeer>) {
        while let Some(message) = rx.recv().await {
            let (to, message) = match message {
                ToPeer::Ask { peer, generation } => (
                    peer,
                    FromPeer::Asked {
                        peer: me.clone(),
                        generation,
                    },
                ),
                ToPeer::Config { peer, head, parts } => (
                    peer,
                    FromPeer::Config {
                        peer: me.clone(),
                        head,
                        parts,
                    },
                ),
            };
            self.send(&to, message);
        }
    }

    /// Tells everyone what is served, at each change and as heartbeats do.
    async fn tell(self, me: DaemonName, mut rx: watch::Receiver<Option<Arc<Index>>>) {
        loop {
            let generation = rx
                .borrow_and_update()
                .as_ref()
                .map(|index| index.generation);
            if let Some(generation) = generation {
                let others: Vec<_> = self
                    .0
                    .borrow()
                    .keys()
                    .filter(|n| **n != me)
                    .cloned()
                    .collect();
                for other in others {
                    let peer = me.clone();
                    self.send(&other, FromPeer::Generation { peer, generation });
                }
            }
            let beat = tokio::time::sleep(std::time::Duration::from_millis(100));
            tokio::select! {
                changed = rx.changed() => if changed.is_err() { return },
                () = beat => {}
            }
        }
    }

    fn send(&self, to: &DaemonName, message: FromPeer) {
        if let Some(tx) = self.0.borrow().get(to) {
            drop(tx.try_send(message));
        }
    }
}

async fn reaches(rx: &mut watch::Receiver<Option<Arc<Index>>>, generation: u64) {
    let wanted = |index: &Option<Arc<Index>>| {
        index
            .as_ref()
            .is_some_and(|i| i.generation >= Generation(generation))
    };
    let reached = tokio::time::timeout(wait::DEFAULT_TIMEOUT, rx.wait_for(wanted)).await;
    assert!(reached.is_ok(), "generation {generation} was not reached");
}

#[actix_rt::test]
async fn a_restart_during_an_outage_takes_the_highest_of_the_peers() {
    let mut fleet = Fleet::new().await.unwrap();
    fleet.configure_entries(&["entry-1", "entry-2"]);
    fleet
        .configuration
        .agents
        .extend(["agent-1", "agent-2"].map(sample::daemon));
    fleet.apply().await.unwrap();
    let (hub, at) = (Hub::default(), fleet.platform());
    let mut feeds: Vec<_> = ["entry-1", "entry-2", "agent-1", "agent-2"]
        .map(|name| hub.start(name, at))
        .into();
    for feed in &mut feeds {
        reaches(feed, 1).await;
    }
    for generation in 2..=4 {
        fleet.apply().await.unwrap();
        for feed in &mut feeds {
            reaches(feed, generation).await;
        }
    }
    // Not everyone fetched each change from the platform: the entries watch, the agents ask them.
    let counts: Value = fleet.http.get_json(at, "/control/counts").await.unwrap();
    println!("calls by four feeds over four generations: {counts}");

    let faults = json!({ "down": true });
    fleet
        .http
        .post_json(at, "/control/faults", &faults)
        .await
        .unwrap();
    let mut alone = Hub::default().start("entry-1", at);
    let mut restarted = hub.start("agent-2", at);
    reaches(&mut restarted, 4).await;
    assert_eq!(
        restarted.borrow().as_ref().unwrap().configuration,
        fleet.configuration
    );
    // Without a peer there is nothing to serve, and the daemon is not ready.
    assert!(alone.borrow_and_update().is_none());
}
