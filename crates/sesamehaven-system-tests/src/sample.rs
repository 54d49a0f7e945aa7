//! Small configurations for tests.

use std::net::SocketAddr;

use sesamehaven::Tier;
use sesamehaven::config::{
    Class, Configuration, Contract, Daemon, Endpoint, Fencing, Limits, Objective, Organisation,
    Pool, PoolKind, Repeat,
};
use sesamehaven::id::Digest;
use sesamehaven::unit::{Millis, Tokens};

/// The data centre of every sample daemon.
pub const DATA_CENTRE: &str = "dc-1";

/// The organisation whose contract grants every class and pool.
pub const ORGANISATION: &str = "org-1";

/// The API key of [`ORGANISATION`].
pub const API_KEY: &str = "key-of-org-1";

/// Returns a configuration with five work classes and no daemons.
///
/// The classes `urgent` (tier 0), `normal` (tier 1) and `batch` (tier 3) are
/// idempotent. `once` (tier 1) runs at most once, and `claimed` (tier 0) needs a
/// claim to run.
pub fn configuration() -> Configuration {
    let classes = vec![
        class("normal", 1, Repeat::Idempotent),
        class("urgent", 0, Repeat::Idempotent),
        class("batch", 3, Repeat::Idempotent),
        class("once", 1, Repeat::AtMostOnce),
        class("claimed", 0, Repeat::Claimed),
    ];
    let contract = Contract {
        name: name("all"),
        classes: classes.iter().map(|c| c.name.clone()).collect(),
        pools: Vec::new(),
        limits: Limits::default(),
    };
    Configuration {
        data_centres: vec![name(DATA_CENTRE)],
        classes,
        contracts: vec![contract],
        organisations: vec![organisation(ORGANISATION, API_KEY)],
        ..Configuration::default()
    }
}

/// Returns a work class with a deadline of 20 s.
pub fn class(class: &str, tier: u8, repeat: Repeat) -> Class {
    Class {
        name: name(class),
        tier: Tier::new(tier).unwrap_or(Tier::LEAST_URGENT),
        repeat,
        deadline: Millis(20_000),
        idle: Millis(10_000),
        expected_output: Tokens(32),
        objective: Objective::default(),
    }
}

/// Returns an organisation with the contract `all`.
pub fn organisation(organisation: &str, api_key: &str) -> Organisation {
    Organisation {
        name: name(organisation),
        contract: name("all"),
        key_digests: vec![Digest::of(api_key.as_bytes())],
    }
}

/// Returns a daemon in [`DATA_CENTRE`].
pub fn daemon(daemon: &str) -> Daemon {
    Daemon {
        name: name(daemon),
        data_centre: name(DATA_CENTRE),
    }
}

/// Adds a pool and grants it in every contract.
pub fn add_pool(configuration: &mut Configuration, pool: &str, kind: PoolKind) {
    configuration.pools.push(Pool {
        name: name(pool),
        kind,
        queue_requests: 256,
        reserve_percent: 0,
        preempt: false,
        prefix_weight: 1.0,
    });
    for contract in &mut configuration.contracts {
        contract.pools.push(name(pool));
    }
}

/// Adds an endpoint of a pool that an agent dispatches to.
pub fn add_endpoint(
    configuration: &mut Configuration,
    endpoint: &str,
    pool: &str,
    agent: &str,
    address: SocketAddr,
) {
    configuration.endpoints.push(Endpoint {
        name: name(endpoint),
        pool: name(pool),
        agent: name(agent),
        address,
        fencing: Fencing::Checked,
        concurrency: 64,
        loads: Vec::new(),
    });
}

/// Parses a name that is written in a test.
///
/// # Panics
///
/// Panics when the name is not valid, which is a bug in the test.
pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Display,
{
    match text.parse() {
        Ok(name) => name,
        Err(e) => panic!("{e}"),
    }
}
