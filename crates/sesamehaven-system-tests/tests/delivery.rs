//! Delivery of configurations to the daemons, and the rejection of invalid ones.

#![allow(clippy::unwrap_used)] // Tests panic on unexpected results.

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
use sesamehaven_daemons::feed::{Feed, FeedConfig, FromPeer, PeerChannels, ToPeer};
use sesamehaven_daemons::platform::Platform;
use sesamehaven_system_tests::{Fleet, platform, sample, wait};

async fn start_fleet_with_entry() -> Fleet {
    let mut fleet = Fleet::new().await.unwrap();
    fleet
        .add_engine("engine-1", "model-a", "agent-1", &[])
        .await
        .unwrap();
    fleet.configure_entries(&["entry-1", "entry-2"]);
    fleet.apply().await.unwrap();
    fleet.apply().await.unwrap();
    fleet.start_entry("entry-1", "").await.unwrap();
    wait_for_generation(&fleet, 2).await;
    fleet
}

async fn wait_for_generation(fleet: &Fleet, generation: u64) {
    wait_for_generation_at(fleet, "entry-1", generation).await;
}

async fn wait_for_generation_at(fleet: &Fleet, name: &str, generation: u64) {
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

async fn wait_for_refusal(fleet: &Fleet, reason: &str) {
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
async fn an_older_head_is_rejected_and_counted() {
    let mut fleet = start_fleet_with_entry().await;
    let (http, address) = (fleet.http.clone(), fleet.platform());
    platform::store(&http, address, Generation(1), &fleet.configuration)
        .await
        .unwrap();
    wait_for_refusal(&fleet, "backward").await;
    wait_for_generation(&fleet, 2).await;

    // The same generation with different content is rejected as well.
    let mut other = fleet.configuration.clone();
    other.entries.truncate(1);
    platform::store(&http, address, Generation(2), &other)
        .await
        .unwrap();
    wait_for_refusal(&fleet, "forked").await;
    wait_for_generation(&fleet, 2).await;

    fleet.apply().await.unwrap();
    wait_for_generation(&fleet, 3).await;
}

#[actix_rt::test]
async fn parts_that_do_not_match_their_digest_are_rejected() {
    let fleet = start_fleet_with_entry().await;
    let mut changed = fleet.configuration.clone();
    changed.entries.truncate(1);
    let part = serde_json::to_vec(&changed).unwrap();
    let head = platform::Head::of_part(Generation(3), &part);
    let path = format!("config/parts/{}", head.parts[0]);
    put(&fleet, &path, "{}").await;
    put(&fleet, "config/head", serde_json::to_vec(&head).unwrap()).await;
    wait_for_refusal(&fleet, "digest_mismatch").await;
    wait_for_generation(&fleet, 2).await;

    put(&fleet, &path, part).await;
    wait_for_generation(&fleet, 3).await;

    let mut forged = head;
    forged.generation = Generation(4);
    forged.parts.clear();
    put(&fleet, "config/head", serde_json::to_vec(&forged).unwrap()).await;
    wait_for_refusal(&fleet, "malformed_head").await;
    wait_for_generation(&fleet, 3).await;
}

#[rstest]
#[case::agent("agent-1")]
#[case::entry("entry-1")]
#[actix_rt::test]
async fn a_daemon_restarted_during_an_outage_receives_the_configuration_from_its_peer(
    #[case] restarted: &str,
) {
    let mut fleet = start_fleet_with_entry().await;
    fleet.start_agent("agent-1", "").await.unwrap();
    fleet.wait_for_endpoints("entry-1", 1).await.unwrap();
    fleet.apply().await.unwrap();
    for name in ["entry-1", "agent-1"] {
        wait_for_generation_at(&fleet, name, 3).await;
    }
    let down = json!({ "down": true });
    let (http, address) = (fleet.http.clone(), fleet.platform());
    http.post_json(address, "/control/faults", &down)
        .await
        .unwrap();
    fleet.restart(restarted).await.unwrap();
    wait_for_generation_at(&fleet, restarted, 3).await;
    fleet.wait_until_ready().await.unwrap();
    fleet.wait_for_endpoints("entry-1", 1).await.unwrap();
}

#[actix_rt::test]
async fn a_daemon_without_a_configuration_reports_that_it_is_not_ready() {
    let mut fleet = Fleet::new().await.unwrap();
    let (http, address) = (fleet.http.clone(), fleet.platform());
    http.post_json(address, "/control/faults", &json!({ "down": true }))
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

/// Connects the configuration feeds of several daemons without sockets.
#[derive(Clone, Default)]
struct FeedNetwork(Rc<RefCell<BTreeMap<DaemonName, mpsc::Sender<FromPeer>>>>);

impl FeedNetwork {
    /// Starts the feed of a daemon and connects it to the others.
    fn start(
        &self,
        me: &str,
        address: std::net::SocketAddr,
    ) -> watch::Receiver<Option<Arc<Index>>> {
        let me: DaemonName = me.parse().unwrap();
        let (from_tx, from_rx) = mpsc::channel(64);
        let (to_tx, to_rx) = mpsc::channel(64);
        self.0.borrow_mut().insert(me.clone(), from_tx);
        let cfg = FeedConfig {
            me: me.clone(),
            platform: Platform::new(address, Millis(1_000)),
            policy: Policy {
                // Longer than the test, so that changes arrive by watches and peers only.
                poll_interval: Millis(600_000),
                ..Policy::default()
            },
            scope: Scope::Whole,
        };
        let peers = PeerChannels {
            rx: from_rx,
            tx: to_tx,
        };
        let rx = Feed::spawn_with_peers(cfg, peers);
        actix_rt::spawn(self.clone().forward_messages(me.clone(), to_rx));
        actix_rt::spawn(self.clone().announce_generation(me, rx.clone()));
        rx
    }

    /// Forwards the messages of a feed to its peers.
    async fn forward_messages(self, me: DaemonName, mut rx: mpsc::Receiver<ToPeer>) {
        while let Some(message) = rx.recv().await {
            let (to, message) = match message {
                ToPeer::FetchConfig { peer, generation } => (
                    peer,
                    FromPeer::FetchConfig {
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

    /// Announces the served generation to all peers, at each change and periodically like the
    /// heartbeats of links.
    async fn announce_generation(
        self,
        me: DaemonName,
        mut rx: watch::Receiver<Option<Arc<Index>>>,
    ) {
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
            let heartbeat = tokio::time::sleep(std::time::Duration::from_millis(100));
            tokio::select! {
                changed = rx.changed() => if changed.is_err() { return },
                () = heartbeat => {}
            }
        }
    }

    fn send(&self, to: &DaemonName, message: FromPeer) {
        if let Some(tx) = self.0.borrow().get(to) {
            drop(tx.try_send(message));
        }
    }
}

async fn wait_for_feed(rx: &mut watch::Receiver<Option<Arc<Index>>>, generation: u64) {
    let is_reached = |index: &Option<Arc<Index>>| {
        index
            .as_ref()
            .is_some_and(|i| i.generation >= Generation(generation))
    };
    let reached = tokio::time::timeout(wait::DEFAULT_TIMEOUT, rx.wait_for(is_reached)).await;
    assert!(reached.is_ok(), "generation {generation} was not reached");
}

#[actix_rt::test]
async fn a_restart_during_an_outage_takes_the_highest_generation_of_the_peers() {
    let mut fleet = Fleet::new().await.unwrap();
    fleet.configure_entries(&["entry-1", "entry-2"]);
    fleet
        .configuration
        .agents
        .extend(["agent-1", "agent-2"].map(sample::daemon));
    fleet.apply().await.unwrap();
    let (network, address) = (FeedNetwork::default(), fleet.platform());
    let mut feeds: Vec<_> = ["entry-1", "entry-2", "agent-1", "agent-2"]
        .map(|name| network.start(name, address))
        .into();
    for feed in &mut feeds {
        wait_for_feed(feed, 1).await;
    }
    for generation in 2..=4 {
        fleet.apply().await.unwrap();
        for feed in &mut feeds {
            wait_for_feed(feed, generation).await;
        }
    }
    // The counts are printed, not asserted: entries watch the platform and agents fetch changes
    // from them, so not every daemon is expected to read each change from the platform.
    let counts: Value = fleet
        .http
        .get_json(address, "/control/counts")
        .await
        .unwrap();
    println!("calls by four feeds over four generations: {counts}");

    let faults = json!({ "down": true });
    fleet
        .http
        .post_json(address, "/control/faults", &faults)
        .await
        .unwrap();
    let mut isolated = FeedNetwork::default().start("entry-1", address);
    let mut restarted = network.start("agent-2", address);
    wait_for_feed(&mut restarted, 4).await;
    assert_eq!(
        restarted.borrow().as_ref().unwrap().configuration,
        fleet.configuration
    );
    // Without a peer, the feed has no configuration to serve.
    assert!(isolated.borrow_and_update().is_none());
}
