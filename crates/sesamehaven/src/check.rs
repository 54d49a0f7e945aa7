//! Validation of a complete configuration before it is accepted.
//!
//! Validation reports all findings at once, so that an operator can fix a
//! configuration in one pass. Only [`check`] decides whether a configuration is
//! acceptable. Daemons serve accepted configurations without validating them again,
//! so daemons of different builds never disagree on the active generation.
//!
//! The rules are listed in [`docs/CONFIGURATION.md`](../../../docs/CONFIGURATION.md).

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::hash::Hash;

use serde::Serialize;
use smol_str::SmolStr;

use crate::config::{Configuration, Daemon, Endpoint, Pool, PoolKind};
use crate::parts;
use crate::unit::Millis;

/// The maximum deadline of a work class.
pub const DEADLINE_MAX: Millis = Millis(24 * 3_600_000);

/// The maximum number of API keys of one organisation.
pub const API_KEYS_MAX: usize = 1_000;

/// An error in a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The path of the field, such as `endpoints[3].pool`.
    pub path: String,
    /// A description of the problem.
    pub problem: String,
    /// A suggestion of how to fix it.
    pub remedy: SmolStr,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.path, self.problem, self.remedy)
    }
}

/// Validates a configuration and returns all errors.
///
/// # Example
///
/// ```
/// use sesamehaven::check::check;
/// use sesamehaven::config::Configuration;
///
/// let findings = check(&Configuration::default());
/// assert_eq!(findings[0].path, "data_centres");
/// ```
pub fn check(configuration: &Configuration) -> Vec<Finding> {
    let mut checker = Checker {
        configuration,
        findings: Vec::new(),
    };
    checker.check_all();
    checker.findings
}

/// A validation in progress: the configuration and the findings so far.
pub(crate) struct Checker<'a> {
    pub(crate) configuration: &'a Configuration,
    findings: Vec<Finding>,
}

impl<'a> Checker<'a> {
    fn check_all(&mut self) {
        self.check_lists_not_empty();
        self.check_names_unique();
        self.check_daemons();
        self.check_pools();
        self.check_endpoints();
        self.check_classes();
        self.check_contracts();
        self.check_organisations();
        self.check_part_sizes();
    }

    pub(crate) fn report(&mut self, path: impl Into<String>, problem: String, remedy: &str) {
        self.findings.push(Finding {
            path: path.into(),
            problem,
            remedy: remedy.into(),
        });
    }

    pub(crate) fn require(&mut self, holds: bool, path: String, problem: &str, remedy: &str) {
        if !holds {
            self.report(path, problem.into(), remedy);
        }
    }

    fn check_lists_not_empty(&mut self) {
        let c = self.configuration;
        let lists = [
            ("data_centres", c.data_centres.is_empty()),
            ("entries", c.entries.is_empty()),
            ("agents", c.agents.is_empty()),
            ("pools", c.pools.is_empty()),
            ("endpoints", c.endpoints.is_empty()),
            ("classes", c.classes.is_empty()),
            ("contracts", c.contracts.is_empty()),
            ("organisations", c.organisations.is_empty()),
        ];
        for (list, empty) in lists {
            self.require(
                !empty,
                list.into(),
                "the list is empty",
                "add at least one item",
            );
        }
    }

    fn check_names_unique(&mut self) {
        let c = self.configuration;
        for (i, name) in duplicates(&c.data_centres) {
            self.report_duplicate(format!("data_centres[{i}]"), name);
        }
        self.check_unique("pools", c.pools.iter().map(|p| &p.name));
        self.check_unique("endpoints", c.endpoints.iter().map(|e| &e.name));
        self.check_unique("classes", c.classes.iter().map(|c| &c.name));
        self.check_unique("contracts", c.contracts.iter().map(|c| &c.name));
        self.check_unique("organisations", c.organisations.iter().map(|o| &o.name));
        self.check_unique("entries", c.entries.iter().map(|d| &d.name));
        self.check_unique("agents", c.agents.iter().map(|d| &d.name));
        let entries: HashSet<_> = c.entries.iter().map(|d| &d.name).collect();
        for (i, agent) in c.agents.iter().enumerate() {
            if entries.contains(&agent.name) {
                self.report_duplicate(format!("agents[{i}].name"), &agent.name);
            }
        }
    }

    pub(crate) fn check_unique<N: Eq + Hash + fmt::Display + 'a>(
        &mut self,
        list: &str,
        names: impl IntoIterator<Item = &'a N>,
    ) {
        for (i, name) in duplicates(names) {
            self.report_duplicate(format!("{list}[{i}].name"), name);
        }
    }

    pub(crate) fn report_duplicate(&mut self, path: String, name: &dyn fmt::Display) {
        let problem = format!("the name `{name}` is given twice");
        self.report(path, problem, "correct or remove one of the two");
    }

    /// Reports `name` if it is not in `known`.
    pub(crate) fn check_reference<N: Eq + Hash + fmt::Display>(
        &mut self,
        path: String,
        kind: &str,
        known: &HashSet<&N>,
        name: &N,
    ) {
        if !known.contains(name) {
            let problem = format!("there is no {kind} `{name}`");
            self.report(path, problem, "correct the name, or add the missing object");
        }
    }

    fn check_daemons(&mut self) {
        let c = self.configuration;
        let known: HashSet<_> = c.data_centres.iter().collect();
        let lists: [(&str, &[Daemon]); 2] = [("entries", &c.entries), ("agents", &c.agents)];
        for (list, daemons) in lists {
            for (i, daemon) in daemons.iter().enumerate() {
                let path = format!("{list}[{i}].data_centre");
                self.check_reference(path, "data centre", &known, &daemon.data_centre);
            }
        }
    }

    fn check_pools(&mut self) {
        let c = self.configuration;
        let served: HashSet<_> = c.endpoints.iter().map(|e| &e.pool).collect();
        for (i, pool) in c.pools.iter().enumerate() {
            let at = format!("pools[{i}]");
            if !served.contains(&pool.name) {
                let problem = format!("the pool `{}` is empty", pool.name);
                self.report(&at, problem, "add an endpoint to it, or remove the pool");
            }
            self.check_pool_limits(&at, pool);
        }
    }

    fn check_pool_limits(&mut self, at: &str, pool: &Pool) {
        self.require(
            pool.queue_requests > 0,
            format!("{at}.queue_requests"),
            "a queue of zero requests refuses everything",
            "use 1 or more",
        );
        self.require(
            pool.reserve_percent < 100,
            format!("{at}.reserve_percent"),
            "a reserve of 100 percent leaves nothing for other tiers",
            "use 0 to 99",
        );
        self.require(
            pool.prefix_weight.is_finite() && pool.prefix_weight >= 0.0,
            format!("{at}.prefix_weight"),
            "the weight is not a number from zero up",
            "use 1 for the default weight, 0 to route by cached prefixes only",
        );
        self.require(
            pool.kind == PoolKind::Model || !pool.preempt,
            format!("{at}.preempt"),
            "running calls of a plain service are never cancelled",
            "remove `preempt`",
        );
    }

    fn check_endpoints(&mut self) {
        let c = self.configuration;
        let pools: HashSet<_> = c.pools.iter().map(|p| &p.name).collect();
        let agents: HashSet<_> = c.agents.iter().map(|a| &a.name).collect();
        let pool_of: HashMap<_, _> = c.pools.iter().map(|p| (&p.name, p)).collect();
        for (i, address) in duplicates(c.endpoints.iter().map(|e| &e.address)) {
            let path = format!("endpoints[{i}].address");
            let problem = format!("another endpoint has the address {address}");
            self.report(path, problem, "give each endpoint an address of its own");
        }
        for (i, endpoint) in c.endpoints.iter().enumerate() {
            let at = format!("endpoints[{i}]");
            self.check_reference(format!("{at}.pool"), "pool", &pools, &endpoint.pool);
            self.check_reference(format!("{at}.agent"), "agent", &agents, &endpoint.agent);
            self.check_endpoint_limits(&at, endpoint);
            if let Some(pool) = pool_of.get(&endpoint.pool) {
                self.check_endpoint_in_pool(&at, endpoint, pool);
            }
        }
    }

    fn check_endpoint_limits(&mut self, at: &str, endpoint: &Endpoint) {
        let address = endpoint.address;
        self.require(
            address.port() != 0 && !address.ip().is_unspecified(),
            format!("{at}.address"),
            "an endpoint cannot be reached at an IP address or port of zero",
            "give the IP address and port at which the agent reaches the endpoint",
        );
        self.require(
            endpoint.concurrency > 0,
            format!("{at}.concurrency"),
            "a concurrency of zero lets nothing run",
            "use 1 or more, or remove the endpoint",
        );
        for (j, load) in duplicates(&endpoint.loads) {
            self.report_duplicate(format!("{at}.loads[{j}]"), load);
        }
    }

    fn check_endpoint_in_pool(&mut self, at: &str, endpoint: &Endpoint, pool: &Pool) {
        self.require(
            pool.kind == PoolKind::Model || endpoint.loads.is_empty(),
            format!("{at}.loads"),
            "a plain service takes no orders to load",
            "remove `loads`",
        );
        let shared =
            u64::from(endpoint.concurrency) * u64::from(100 - pool.reserve_percent.min(100));
        if endpoint.concurrency > 0 && pool.reserve_percent < 100 && shared < 100 {
            let problem = format!(
                "the reserve of pool `{}` leaves less than one request for other tiers",
                pool.name
            );
            let remedy = "raise the concurrency or lower `reserve_percent`";
            self.report(format!("{at}.concurrency"), problem, remedy);
        }
    }

    fn check_part_sizes(&mut self) {
        if let Err(err) = parts::split(self.configuration) {
            self.report(
                "",
                err.to_string(),
                "make this part of the configuration smaller",
            );
        }
    }
}

/// Returns the items that equal an earlier item, with their positions.
pub(crate) fn duplicates<'a, T: Eq + Hash + 'a>(
    items: impl IntoIterator<Item = &'a T>,
) -> Vec<(usize, &'a T)> {
    let mut seen = HashSet::new();
    let items = items.into_iter().enumerate();
    items.filter(|(_, item)| !seen.insert(*item)).collect()
}
