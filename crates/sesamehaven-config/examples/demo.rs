//! The configuration of `scripts/demo`, which starts all its daemons and endpoints on loopback.
//!
//! The operating system assigns the ports of the endpoints when the demo starts, so
//! each address is passed as an argument of the form `NAME=IP:PORT`.
//!
//! The API keys of this example are `example-key-of-ORGANISATION`.

use std::env;
use std::process::ExitCode;

use sesamehaven_config::{Builder, Repeat, digest_key};

/// The endpoints with their pool, agent and concurrency limit.
const ENDPOINTS: [(&str, &str, &str, u32); 5] = [
    ("fast-a", "drafting", "agent-1", 24),
    ("fast-b", "drafting", "agent-2", 24),
    ("slow-a", "drafting", "agent-3", 8),
    ("booking-a", "booking", "agent-1", 16),
    ("booking-b", "booking", "agent-3", 16),
];

/// The organisations with their contract.
const ORGANISATIONS: [(&str, &str); 3] = [
    ("crews", "field"),
    ("editors", "desk"),
    ("night-office", "night"),
];

fn main() -> ExitCode {
    let addresses: Vec<String> = env::args().skip(1).collect();
    let is_missing = |name: &str| address(&addresses, name).is_none();
    if let Some((name, ..)) = ENDPOINTS.iter().find(|(name, ..)| is_missing(name)) {
        eprintln!("demo: no address for `{name}`: add the argument {name}=IP:PORT");
        return ExitCode::from(2);
    }
    sesamehaven_config::print(|b| describe(b, &addresses))
}

/// Returns the address of an endpoint from arguments of the form `NAME=IP:PORT`.
fn address<'a>(addresses: &'a [String], name: &str) -> Option<&'a str> {
    let mut pairs = addresses.iter().filter_map(|a| a.split_once('='));
    pairs.find(|(n, _)| *n == name).map(|(_, address)| address)
}

fn describe(b: &mut Builder, addresses: &[String]) {
    b.data_centre("north").entry("entry-1").agent("agent-1");
    b.data_centre("south")
        .entry("entry-2")
        .agent("agent-2")
        .agent("agent-3");
    pools(b);
    for (name, pool, agent, concurrency) in ENDPOINTS {
        let address = address(addresses, name).unwrap_or_default();
        b.endpoint(name, pool, agent, address)
            .concurrency(concurrency);
    }
    classes(b);
    contracts(b);
    for (organisation, contract) in ORGANISATIONS {
        let digest = digest_key(&format!("example-key-of-{organisation}"));
        let digest = digest.map(|d| d.to_string()).unwrap_or_default();
        b.organisation(organisation, contract).key_digest(&digest);
    }
}

fn pools(b: &mut Builder) {
    b.model_pool("drafting")
        .queue_requests(48)
        .reserve_percent(20);
    b.service_pool("booking").queue_requests(128);
}

fn classes(b: &mut Builder) {
    b.class("crew-brief", 0, Repeat::AtMostOnce, "6 s")
        .expected_output(32)
        .objective(95.0, "500 ms", "66 ms");
    b.class("editor-summary", 1, Repeat::AtMostOnce, "10 s")
        .expected_output(64)
        .objective(95.0, "2 s", "66 ms");
    b.class("booking", 1, Repeat::Claimed, "5 s")
        .expected_output(0)
        .objective(99.0, "1 s", "1 s");
    b.class("job-list", 2, Repeat::Idempotent, "5 s")
        .expected_output(0)
        .objective(99.0, "1 s", "1 s");
    b.class("night-roundup", 3, Repeat::AtMostOnce, "15 s")
        .expected_output(64)
        .objective(50.0, "10 s", "200 ms");
}

fn contracts(b: &mut Builder) {
    let field = ["crew-brief", "booking", "job-list"];
    b.contract("field", &field, &["drafting", "booking"]);
    b.contract("desk", &["editor-summary"], &["drafting"]);
    b.contract("night", &["night-roundup"], &["drafting"])
        .concurrency(120);
}
