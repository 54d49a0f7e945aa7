//! Checks a configuration as a whole before it is accepted.
//!
//! A check goes through everything and lists all findings at once, so that an
//! operator mends a configuration in one round. Only [`check`] decides what is
//! acceptable; daemons serve what was accepted, so that daemons of two builds
//! never disagree on which generation is in force.
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

/// The longest deadline of a class.
pub const DEADLINE_MAX: Millis = Millis(24 * 3_600_000);

/// The greatest number of API keys of one organisation.
pub const KEYS_MAX: usize = 1_000;

/// One thing that is wrong with a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The path of the field, such as `endpoints[3].pool`.
    pub path: String,
    /// What is wrong.
    pub problem: String,
    /// How to mend it.
    pub remedy: SmolStr,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.path, self.problem, self.remedy)
    }
}

/// Checks a configuration and lists everything that is wrong with it.
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
    checker.run();
    checker.findings
}

/// The findings so far, with what they are about.
pub(crate) struct Checker<'a> {
    pub(crate) configuration: &'a Configuration,
    findings: Vec<Finding>,
}

impl<'a> Checker<'a> {
    fn run(&mut self) {
        self.lists_are_filled();
        self.names_are_unique();
        self.daemons();
        self.pools();
        self.endpoints();
        self.classes();
        self.contracts();
        self.organisations();
        self.size();
    }

    pub(crate) fn find(&mut self, path: impl Into<String>, problem: String, remedy: &str) {
        self.findings.push(Finding {
            path: path.into(),
            problem,
            remedy: remedy.into(),
        });
    }

    pub(crate) fn expect(&mut self, holds: bool, path: String, problem: &str, remedy: &str) {
        if !holds {
            self.find(path, problem.into(), remedy);
        }
    }

    fn lists_are_filled(&mut self) {
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
            self.expect(
                !empty,
                list.into(),
                "the list is empty",
                "give at least one",
            );
        }
    }

    fn names_are_unique(&mut self) {
        let c = self.configuration;
        for (i, name) in repeated(&c.data_centres) {
            self.duplicate(format!("data_centres[{i}]"), name);
        }
        self.unique("pools", c.pools.iter().map(|p| &p.name));
        self.unique("endpoints", c.endpoints.iter().map(|e| &e.name));
        self.unique("classes", c.classes.iter().map(|c| &c.name));
        self.unique("contracts", c.contracts.iter().map(|c| &c.name));
        self.unique("organisations", c.organisations.iter().map(|o| &o.name));
        self.unique("entries", c.entries.iter().map(|d| &d.name));
        self.unique("agents", c.agents.iter().map(|d| &d.name));
        let entries: HashSet<_> = c.entries.iter().map(|d| &d.name).collect();
        for (i, agent) in c.agents.iter().enumerate() {
            if entries.contains(&agent.name) {
                self.duplicate(format!("agents[{i}].name"), &agent.name);
            }
        }
    }

    pub(crate) fn unique<N: Eq + Hash + fmt::Display + 'a>(
        &mut self,
        list: &str,
        names: impl IntoIterator<Item = &'a N>,
    ) {
        for (i, name) in repeated(names) {
            self.duplicate(format!("{list}[{i}].name"), name);
        }
    }

    pub(crate) fn duplicate(&mut self, path: String, name: &dyn fmt::Display) {
        let problem = format!("the name `{name}` is given twice");
        self.find(path, problem, "rename or remove one of the two");
    }

    /// Reports names that are not in `known`.
    pub(crate) fn resolve<N: Eq + Hash + fmt::Display>(
        &mut self,
        path: String,
        kind: &str,
        known: &HashSet<&N>,
        name: &N,
    ) {
        if !known.contains(name) {
            let problem = format!("there is no {kind} `{name}`");
            self.find(path, problem, "correct the name, or add what it names");
        }
    }

    fn daemons(&mut self) {
        let c = self.configuration;
        let known: HashSet<_> = c.data_centres.iter().collect();
        let lists: [(&str, &[Daemon]); 2] = [("entries", &c.entries), ("agents", &c.agents)];
        for (list, daemons) in lists {
            for (i, daemon) in daemons.iter().enumerate() {
                let path = format!("{list}[{i}].data_centre");
                self.resolve(path, "data centre", &known, &daemon.data_centre);
            }
        }
    }

    fn pools(&mut self) {
        let c = self.configuration;
        let served: HashSet<_> = c.endpoints.iter().map(|e| &e.pool).collect();
        for (i, pool) in c.pools.iter().enumerate() {
            let at = format!("pools[{i}]");
            if !served.contains(&pool.name) {
                let problem = format!("the pool `{}` is empty", pool.name);
                self.find(&at, problem, "add an endpoint to it, or remove the pool");
            }
            self.pool_limits(&at, pool);
        }
    }

    fn pool_limits(&mut self, at: &str, pool: &Pool) {
        self.expect(
            pool.queue_requests > 0,
            format!("{at}.queue_requests"),
            "a queue of zero requests refuses everything",
            "use 1 or more",
        );
        self.expect(
            pool.reserve_percent < 100,
            format!("{at}.reserve_percent"),
            "a reserve of 100 percent leaves nothing for other tiers",
            "use 0 to 99",
        );
        self.expect(
            pool.prefix_weight.is_finite() && pool.prefix_weight >= 0.0,
            format!("{at}.prefix_weight"),
            "the weight is not a number from zero up",
            "use 1 for even weight, 0 to ignore cached prefixes",
        );
        self.expect(
            pool.kind == PoolKind::Model || !pool.preempt,
            format!("{at}.preempt"),
            "running calls of a plain service are never cancelled",
            "remove `preempt`",
        );
    }

    fn endpoints(&mut self) {
        let c = self.configuration;
        let pools: HashSet<_> = c.pools.iter().map(|p| &p.name).collect();
        let agents: HashSet<_> = c.agents.iter().map(|a| &a.name).collect();
        let pool_of: HashMap<_, _> = c.pools.iter().map(|p| (&p.name, p)).collect();
        for (i, address) in repeated(c.endpoints.iter().map(|e| &e.address)) {
            let path = format!("endpoints[{i}].address");
            let problem = format!("another endpoint has the address {address}");
            self.find(path, problem, "give each endpoint an address of its own");
        }
        for (i, endpoint) in c.endpoints.iter().enumerate() {
            let at = format!("endpoints[{i}]");
            self.resolve(format!("{at}.pool"), "pool", &pools, &endpoint.pool);
            self.resolve(format!("{at}.agent"), "agent", &agents, &endpoint.agent);
            self.endpoint_limits(&at, endpoint);
            if let Some(pool) = pool_of.get(&endpoint.pool) {
                self.endpoint_in_pool(&at, endpoint, pool);
            }
        }
    }

    fn endpoint_limits(&mut self, at: &str, endpoint: &Endpoint) {
        let address = endpoint.address;
        self.expect(
            address.port() != 0 && !address.ip().is_unspecified(),
            format!("{at}.address"),
            "nothing can be reached at an IP number or port of zero",
            "give the IP number and port at which the agent reaches the endpoint",
        );
        self.expect(
            endpoint.concurrency > 0,
            format!("{at}.concurrency"),
            "a concurrency of zero lets nothing run",
            "use 1 or more, or remove the endpoint",
        );
        for (j, load) in repeated(&endpoint.loads) {
            self.duplicate(format!("{at}.loads[{j}]"), load);
        }
    }

    fn endpoint_in_pool(&mut self, at: &str, endpoint: &Endpoint, pool: &Pool) {
        self.expect(
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
            self.find(format!("{at}.concurrency"), problem, remedy);
        }
    }

    fn size(&mut self) {
        if let Err(err) = parts::split(self.configuration) {
            self.find("", err.to_string(), "make the configuration smaller");
        }
    }
}

/// Lists the items that occurred before, with their positions.
pub(crate) fn repeated<'a, T: Eq + Hash + 'a>(
    items: impl IntoIterator<Item = &'a T>,
) -> Vec<(usize, &'a T)> {
    let mut seen = HashSet::new();
    let items = items.into_iter().enumerate();
    items.filter(|(_, item)| !seen.insert(*item)).collect()
}
