//! Streams of a pool whose endpoints run different software versions.

use std::collections::BTreeSet;

use futures_util::future::try_join_all;
use rstest::rstest;
use serde_json::{Value, json};

use sesamehaven_system_tests::http::ResponseStream;
use sesamehaven_system_tests::proxy::{Proxy, Transport};
use sesamehaven_system_tests::{Fleet, Result};

const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer key-of-org-1");

/// The arguments of an engine of the older and of the newer version.
const OLDER: [&str; 4] = ["--release", "v1", "--decode-rate", "100"];
const NEWER: [&str; 4] = ["--release", "v2", "--decode-rate", "100"];

/// The length of each answer, which is still streaming when a fault is injected.
const ANSWER_TOKENS: usize = 300;

const ENTRIES: [&str; 2] = ["entry-1", "entry-2"];

/// Starts two entries and two agents with one engine each, of different versions. The
/// links to the agents pass through a proxy.
async fn start_fleet() -> Result<(Fleet, Proxy)> {
    let mut fleet = Fleet::new().await?;
    let engines = [
        ("engine-1", "agent-1", OLDER),
        ("engine-2", "agent-2", NEWER),
    ];
    for (engine, agent, args) in engines {
        fleet.add_engine(engine, "model-a", agent, &args).await?;
    }
    fleet.configure_entries(&ENTRIES);
    fleet.apply().await?;
    for entry in ENTRIES {
        fleet.start_entry(entry, "").await?;
    }
    let proxy = Proxy::start(&mut fleet, "proxy").await?;
    for agent in ["agent-1", "agent-2"] {
        let route = proxy.add_route(agent, Transport::Tcp, None).await?;
        let advertise = format!("advertise: \"{route}\"");
        let link = fleet.start_agent(agent, &advertise).await?;
        proxy.set_target(agent, link).await?;
    }
    fleet.wait_until_ready().await?;
    for entry in ENTRIES {
        fleet.wait_for_endpoints(entry, 2).await?;
    }
    Ok((fleet, proxy))
}

/// A stream as its caller received it.
struct Stream {
    key: String,
    class: &'static str,
    text: String,
    rest: ResponseStream,
}

impl Stream {
    /// Sends a request and waits for the first event of its answer.
    async fn open(fleet: &Fleet, entry: &str, class: &'static str, key: String) -> Result<Self> {
        let url = format!("http://{}/v1/completions", fleet.daemon(entry).address());
        let body = json!({
            "model": "model-a", "prompt": key, "max_tokens": ANSWER_TOKENS, "stream": true,
        });
        let headers = [
            AUTHORIZATION,
            ("work-class", class),
            ("idempotency-key", &key),
        ];
        let opened = fleet.http.open("POST", &url, &headers, body.to_string());
        let mut rest = opened.await?;
        let first = rest.next_chunk().await?.unwrap_or_default();
        let text = String::from_utf8_lossy(&first).into_owned();
        Ok(Stream {
            key,
            class,
            text,
            rest,
        })
    }

    /// Reads the stream until it ends or its connection breaks.
    async fn read(&mut self) {
        while let Ok(Some(chunk)) = self.rest.next_chunk().await {
            self.text.push_str(&String::from_utf8_lossy(&chunk));
        }
    }

    fn is_whole(&self) -> bool {
        self.text.ends_with("data: [DONE]\n\n")
    }

    fn is_told_unknown(&self) -> bool {
        let outcome = self.rest.headers.get("request-outcome");
        outcome.is_some_and(|outcome| outcome == "unknown") || self.text.contains("event: error")
    }

    fn events(&self) -> impl Iterator<Item = Value> {
        let events = self.text.lines().filter_map(|l| l.strip_prefix("data: {"));
        let events = events.filter_map(|json| serde_json::from_str(&format!("{{{json}")).ok());
        events.filter(|event: &Value| event["choices"].is_array())
    }

    fn versions(&self) -> BTreeSet<String> {
        let versions = self.events();
        versions
            .map(|event| event["system_fingerprint"].to_string())
            .collect()
    }

    /// Panics unless the events are the beginning of one answer of one version.
    fn check(&self) {
        assert!(self.versions().len() <= 1, "mixed: {:?}", self.versions());
        let tokens: Vec<String> = self
            .events()
            .map(|event| event["choices"][0]["text"].to_string().replace('"', ""))
            .map(|token| token.trim().to_owned())
            .collect();
        let expected: Vec<String> = (0..tokens.len()).map(|n| format!("t{n}")).collect();
        assert_eq!(tokens, expected);
        assert_eq!(self.is_whole(), tokens.len() == ANSWER_TOKENS);
    }
}

/// A fault while streams of both versions are running.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    /// The older engine is replaced at its address by one of the newer version.
    Release,
    /// The agent of the older engine is restarted.
    Agent,
    /// All links are cut.
    Links,
    /// An entry is restarted.
    Entry,
    /// The agent is restarted while the engine is replaced.
    AgentAndRelease,
}

impl Fault {
    async fn inject(self, fleet: &mut Fleet, proxy: &Proxy) -> Result<()> {
        match self {
            Fault::Release => fleet.replace_standin("engine-1", &NEWER).await,
            Fault::Agent => fleet.restart("agent-1").await,
            Fault::Links => proxy.set_faults(&json!({ "cut": true })).await,
            Fault::Entry => fleet.restart("entry-1").await,
            Fault::AgentAndRelease => {
                fleet.restart("agent-1").await?;
                fleet.replace_standin("engine-1", &NEWER).await
            }
        }
    }

    /// Returns whether a stream of this version, that entry `number` serves, has to end whole.
    fn spares(self, version: &BTreeSet<String>, number: usize) -> bool {
        let is_newer = version.contains("\"v2\"");
        match self {
            Fault::Links => true,
            Fault::Entry => number != 0,
            Fault::Release | Fault::Agent | Fault::AgentAndRelease => is_newer,
        }
    }
}

/// Opens streams of both versions at both entries.
async fn open_streams(fleet: &Fleet) -> Result<Vec<Stream>> {
    let mut streams: Vec<Stream> = Vec::new();
    let mut versions = BTreeSet::new();
    while streams.len() < 8 || versions.len() < 2 {
        let number = streams.len();
        let class = ["once", "normal"][number / 2 % 2];
        let key = format!("key-{number}");
        let stream = Stream::open(fleet, ENTRIES[number % 2], class, key).await?;
        versions.extend(stream.versions());
        streams.push(stream);
    }
    Ok(streams)
}

#[rstest]
#[case::a_newer_release_at_its_address(Fault::Release)]
#[case::its_agent_restarts(Fault::Agent)]
#[case::its_agent_restarts_with_a_newer_release(Fault::AgentAndRelease)]
#[case::its_links_are_cut(Fault::Links)]
#[case::its_entry_restarts(Fault::Entry)]
#[actix_rt::test]
async fn a_stream_goes_on_at_the_version_that_began_it_or_not_at_all(#[case] fault: Fault) {
    let (mut fleet, proxy) = start_fleet().await.unwrap();
    let mut streams = open_streams(&fleet).await.unwrap();
    fault.inject(&mut fleet, &proxy).await.unwrap();
    for (number, stream) in streams.iter_mut().enumerate() {
        stream.read().await;
        stream.check();
        let version = stream.versions();
        if fault.spares(&version, number % 2) {
            assert!(stream.is_whole(), "{}: {}", stream.key, stream.text);
        }
    }
    for entry in ENTRIES {
        fleet.wait_for_endpoints(entry, 2).await.unwrap();
    }
    let returns = streams.iter().enumerate().map(async |(number, first)| {
        let entry = ENTRIES[(number + 1) % 2];
        let mut again = Stream::open(&fleet, entry, first.class, first.key.clone()).await?;
        again.read().await;
        Ok(again)
    });
    let returned: Result<Vec<Stream>> = try_join_all(returns).await;
    for (first, again) in streams.iter().zip(returned.unwrap()) {
        again.check();
        if first.class == "once" && again.is_whole() {
            assert_eq!(again.versions(), first.versions(), "{}", first.key);
        }
        assert!(
            again.is_whole() || again.is_told_unknown(),
            "{}",
            again.text
        );
    }
}
