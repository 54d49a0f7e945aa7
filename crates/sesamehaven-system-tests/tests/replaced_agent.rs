//! A run that an agent began before it was replaced under its name.
#![allow(clippy::unwrap_used, clippy::expect_used)] // Helper functions are used in tests only.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use sesamehaven::Tier;
use sesamehaven::config::PoolKind;
use sesamehaven::id::{Generation, Incarnation, RequestId};
use sesamehaven::outcome::{Refusal, Refused};
use sesamehaven::unit::Millis;
use sesamehaven_system_tests::proxy::{Proxy, Transport};
use sesamehaven_system_tests::sample::{self, DATA_CENTRE};
use sesamehaven_system_tests::settings::link_key;
use sesamehaven_system_tests::{Fleet, wait};
use sesamehaven_wire::auth::Psk;
use sesamehaven_wire::link::{Identity, Link, LinkConfig, accept};
use sesamehaven_wire::message::{End, Frame, Head, Load, Report, Role, ToAgent, ToEntry};
use sesamehaven_wire::report::ReportSender;

const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer key-of-org-1");
const REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// The events of each run, all but the last.
const EVENTS: usize = 4;

/// An agent whose replies the test decides.
struct ScriptedAgent {
    name: &'static str,
    incarnation: u64,
    listener: TcpListener,
    reports: Option<JoinHandle<()>>,
}

impl Drop for ScriptedAgent {
    fn drop(&mut self) {
        if let Some(reports) = &self.reports {
            reports.abort();
        }
    }
}

impl ScriptedAgent {
    async fn listen(name: &'static str, incarnation: u64) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        ScriptedAgent {
            name,
            incarnation,
            listener: TcpListener::bind(any_port).await.unwrap(),
            reports: None,
        }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    fn identity(&self) -> Identity {
        Identity {
            role: Role::Agent,
            name: sample::name(self.name),
            data_centre: sample::name(DATA_CENTRE),
            incarnation: Incarnation(self.incarnation),
        }
    }

    /// Reports one idle endpoint to an entry, and accepts the entry's link.
    async fn join(&mut self, entry: SocketAddr, address: SocketAddr, endpoint: &str) -> Link {
        let mut report = Report {
            agent: sample::name(self.name),
            data_centre: sample::name(DATA_CENTRE),
            incarnation: Incarnation(self.incarnation),
            seq: 0,
            address,
            generation: Generation(1),
            leaving: false,
            endpoints: vec![idle(endpoint)],
        };
        let psk = Psk::new(link_key().0);
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut sender = ReportSender::bind(any_port, Some(&psk)).await.unwrap();
        self.reports = Some(actix_rt::spawn(async move {
            loop {
                sender.send(&mut report, &[entry]).await.unwrap();
                sleep(REPORT_INTERVAL).await;
            }
        }));
        let mut cfg = LinkConfig::new(self.identity(), Arc::new(AtomicU64::new(1)));
        cfg.psk = Some(psk);
        let (stream, _) = self.listener.accept().await.unwrap();
        accept(stream, &cfg).await.unwrap()
    }
}

fn idle(endpoint: &str) -> Load {
    Load {
        endpoint: sample::name(endpoint),
        pool: sample::name("model-a"),
        healthy: true,
        running: 0,
        queued: [0; Tier::COUNT],
        admits: Some(Tier::LEAST_URGENT),
        prefill_rate: 1_000.0,
        decode_rate: 100.0,
        limit: 8,
        prefixes: Bytes::new(),
    }
}

/// Waits for an offer, accepts it and returns its id.
async fn accept_offer(link: &mut Link) -> RequestId {
    let offer = async {
        loop {
            match link.rx.recv().await.expect("the link closed") {
                Frame::Request(id, ToAgent::Offer(_)) => return id,
                _ => continue,
            }
        }
    };
    let id = timeout(wait::DEFAULT_TIMEOUT, offer).await;
    let id = id.expect("no offer");
    let first_token = Millis(0);
    reply(link, id, ToEntry::Accepted { first_token }).await;
    id
}

async fn reply(link: &Link, id: RequestId, reply: ToEntry) {
    link.tx.send(Frame::Reply(id, reply)).await.unwrap();
}

/// Sends the head and all events but the last of a run.
async fn stream(link: &Link, id: RequestId, version: &str) {
    let head = Head {
        status: 200,
        headers: vec![(
            "content-type".into(),
            Bytes::from_static(b"text/event-stream"),
        )],
    };
    reply(link, id, ToEntry::Head(head)).await;
    for seq in 0..EVENTS as u64 {
        let data = event(version).into();
        reply(link, id, ToEntry::Chunk { seq, data }).await;
    }
}

fn event(version: &str) -> String {
    format!("data: {version}\n\n")
}

#[actix_rt::test]
async fn what_a_replaced_agent_still_sends_is_not_part_of_the_answer() {
    let mut fleet = Fleet::new().await.unwrap();
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    for (endpoint, agent) in [
        ("engine-1", "agent-1"),
        ("engine-2", "agent-1"),
        ("engine-3", "agent-2"),
    ] {
        fleet.configure_endpoint(endpoint, "model-a", PoolKind::Model, agent, nowhere);
    }
    fleet.configure_entries(&["entry-1"]);
    fleet.apply().await.unwrap();
    let address = fleet.start_entry("entry-1", "").await.unwrap();
    fleet.wait_until_ready().await.unwrap();
    let entry = fleet.daemon("entry-1").ports().udp.unwrap();
    let admin = fleet.daemon("entry-1").admin();
    let proxy = Proxy::start(&mut fleet, "proxy").await.unwrap();

    let mut older = ScriptedAgent::listen("agent-1", 1).await;
    let route = proxy
        .add_route("older", Transport::Tcp, Some(older.address()))
        .await
        .unwrap();
    let mut link = older.join(entry, route, "engine-1").await;
    fleet.wait_for_endpoints("entry-1", 1).await.unwrap();
    let url = format!("http://{address}/v1/completions");
    let body = json!({ "model": "model-a", "prompt": "a", "stream": true }).to_string();
    let http = fleet.http.clone();
    let answer = actix_rt::spawn(async move {
        let sent = http.send("POST", &url, &[AUTHORIZATION], body).await;
        sent.unwrap().text()
    });
    let id = accept_offer(&mut link).await;
    let endpoint = sample::name("engine-1");
    reply(&link, id, ToEntry::Dispatched { endpoint }).await;

    // What the older run sends from here on is under way for long.
    let silence = json!({ "route": "older", "silent": "to_caller" });
    proxy.set_faults(&silence).await.unwrap();
    stream(&link, id, "v1").await;

    let mut other = ScriptedAgent::listen("agent-2", 2).await;
    let mut other_link = other.join(entry, other.address(), "engine-3").await;
    fleet.wait_for_endpoints("entry-1", 2).await.unwrap();
    let mut newer = ScriptedAgent::listen("agent-1", 3).await;
    drop(older);
    let mut newer_link = newer.join(entry, newer.address(), "engine-2").await;
    let id = accept_offer(&mut other_link).await;
    wait::until("the endpoint of the newer run", async || {
        let status: Value = fleet.http.get_json(admin, "/status").await.ok()?;
        let is_newer = |agent: &Value| agent["incarnation"] == 3 && agent["linked"] == true;
        let has_joined = status["agents"].as_array()?.iter().any(is_newer);
        (has_joined && status["endpoints"] == 2).then_some(())
    })
    .await
    .unwrap();
    let refused = Refused {
        reason: Refusal::Leaving,
        retry_after: Millis(1_000),
        admits: None,
    };
    reply(&other_link, id, ToEntry::Refused(refused)).await;
    let id = accept_offer(&mut newer_link).await;

    proxy
        .set_faults(&json!({ "route": "older", "silent": "none" }))
        .await
        .unwrap();
    wait::until("what the older run sent", async || {
        let late = fleet.http.metric(admin, "entry_late_replies_total").await;
        let chunks = fleet.http.metric(admin, "entry_chunks_total").await;
        let closed = fleet.http.metric(admin, "links_closed_total").await;
        let seen = late.ok()? + chunks.ok()? + closed.ok()?;
        (seen > EVENTS as f64 - 1.0).then_some(())
    })
    .await
    .unwrap();
    stream(&newer_link, id, "v2").await;
    let chunks = EVENTS as u64 + 1;
    let seq = EVENTS as u64;
    let data = Bytes::from_static(b"data: [DONE]\n\n");
    reply(&newer_link, id, ToEntry::Chunk { seq, data }).await;
    let end = End::Complete;
    reply(&newer_link, id, ToEntry::End { chunks, end }).await;

    let expected = event("v2").repeat(EVENTS) + "data: [DONE]\n\n";
    assert_eq!(answer.await.unwrap(), expected);
}
