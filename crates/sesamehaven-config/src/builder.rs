//! The builder of a configuration.

use std::fmt::Display;
use std::str::FromStr;

use sesamehaven::check::{Finding, check};
use sesamehaven::config::{
    Class, Configuration, Contract, Endpoint, Fencing, Limits, Objective, Organisation, Pool,
    PoolKind, Repeat,
};
use sesamehaven::tier::Tier;
use sesamehaven::unit::{Millis, Tokens};

use crate::error::{Error, Result};
use crate::fleet::{DataCentreBuilder, EndpointBuilder, PoolBuilder};
use crate::grants::{ClassBuilder, ContractBuilder, OrganisationBuilder};

/// Builds a configuration from the objects of a fleet, which may be added in any order.
///
/// Names and values are given as text. Parse errors are collected and returned by
/// [`Builder::finish`], together with the findings of the validation of the complete
/// configuration.
#[derive(Debug, Default)]
pub struct Builder {
    pub(crate) configuration: Configuration,
    pub(crate) errors: ParseErrors,
}

/// The parse errors collected so far.
#[derive(Debug, Default)]
pub(crate) struct ParseErrors(Vec<Finding>);

impl ParseErrors {
    /// Parses a text; records the error and returns [`None`] if it is invalid.
    pub(crate) fn parse<T>(&mut self, path: impl Display, text: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(err) => {
                self.push(path, format!("`{text}` cannot be parsed"), &err.to_string());
                None
            }
        }
    }

    /// Records a finding.
    pub(crate) fn push(&mut self, path: impl Display, problem: String, remedy: &str) {
        self.0.push(Finding {
            path: path.to_string(),
            problem,
            remedy: remedy.into(),
        });
    }
}

impl Builder {
    /// Creates a builder without any objects.
    pub fn new() -> Self {
        Builder::default()
    }

    /// Adds a data centre and returns a builder that adds its daemons.
    pub fn data_centre(&mut self, name: &str) -> DataCentreBuilder<'_> {
        let path = format!("data centre {name}");
        let name = self.errors.parse(&path, name);
        if let Some(name) = &name {
            self.configuration.data_centres.push(Clone::clone(name));
        }
        DataCentreBuilder {
            builder: self,
            name,
        }
    }

    /// Adds a pool of model engines.
    pub fn model_pool(&mut self, name: &str) -> PoolBuilder<'_> {
        self.pool(name, PoolKind::Model)
    }

    /// Adds a pool of replicas of a service that is not a model engine.
    pub fn service_pool(&mut self, name: &str) -> PoolBuilder<'_> {
        self.pool(name, PoolKind::Service)
    }

    fn pool(&mut self, name: &str, kind: PoolKind) -> PoolBuilder<'_> {
        let pool = self.errors.parse(format!("pool {name}"), name);
        let pool = pool.map(|name| Pool {
            name,
            kind,
            queue_requests: 256,
            reserve_percent: 0,
            preempt: false,
            prefix_weight: 1.0,
        });
        PoolBuilder(push_some(&mut self.configuration.pools, pool))
    }

    /// Adds an endpoint of a pool, which is served by an agent.
    ///
    /// The address is an IP address and a port, such as `10.0.0.7:8000`.
    pub fn endpoint(
        &mut self,
        name: &str,
        pool: &str,
        agent: &str,
        address: &str,
    ) -> EndpointBuilder<'_> {
        let path = format!("endpoint {name}");
        let errors = &mut self.errors;
        let parsed = (
            errors.parse(&path, name),
            errors.parse(format!("{path}, pool"), pool),
            errors.parse(format!("{path}, agent"), agent),
            errors.parse(format!("{path}, address"), address),
        );
        let endpoint = match parsed {
            (Some(name), Some(pool), Some(agent), Some(address)) => Some(Endpoint {
                name,
                pool,
                agent,
                address,
                fencing: Fencing::Ignored,
                concurrency: 64,
                loads: Vec::new(),
            }),
            _ => None,
        };
        EndpointBuilder(push_some(&mut self.configuration.endpoints, endpoint))
    }

    /// Adds a work class with its priority tier, where zero is the most urgent.
    pub fn class(
        &mut self,
        name: &str,
        tier: u8,
        repeat: Repeat,
        deadline: &str,
    ) -> ClassBuilder<'_> {
        let path = format!("class {name}");
        let errors = &mut self.errors;
        let parsed = (
            errors.parse(&path, name),
            errors.parse::<Tier>(format!("{path}, tier"), &tier.to_string()),
            errors.parse(format!("{path}, deadline"), deadline),
        );
        let class = match parsed {
            (Some(name), Some(tier), Some(deadline)) => Some(Class {
                name,
                tier,
                repeat,
                deadline,
                idle: Millis(30_000),
                expected_output: Tokens(128),
                objective: Objective::default(),
            }),
            _ => None,
        };
        ClassBuilder {
            class: push_some(&mut self.configuration.classes, class),
            errors: &mut self.errors,
            path,
        }
    }

    /// Adds a contract that grants classes and pools.
    ///
    /// The first class is the default for requests that name none.
    pub fn contract(
        &mut self,
        name: &str,
        classes: &[&str],
        pools: &[&str],
    ) -> ContractBuilder<'_> {
        let path = format!("contract {name}");
        let errors = &mut self.errors;
        let contract = errors.parse(&path, name).map(|name| Contract {
            name,
            classes: parse_all(errors, &format!("{path}, classes"), classes),
            pools: parse_all(errors, &format!("{path}, pools"), pools),
            limits: Limits::default(),
        });
        ContractBuilder {
            contract: push_some(&mut self.configuration.contracts, contract),
            errors: &mut self.errors,
            path,
        }
    }

    /// Adds an organisation, which is governed by a contract.
    pub fn organisation(&mut self, name: &str, contract: &str) -> OrganisationBuilder<'_> {
        let path = format!("organisation {name}");
        let errors = &mut self.errors;
        let parsed = (
            errors.parse(&path, name),
            errors.parse(format!("{path}, contract"), contract),
        );
        let organisation = match parsed {
            (Some(name), Some(contract)) => Some(Organisation {
                name,
                contract,
                key_digests: Vec::new(),
            }),
            _ => None,
        };
        OrganisationBuilder {
            organisation: push_some(&mut self.configuration.organisations, organisation),
            errors: &mut self.errors,
            path,
        }
    }

    /// Sorts the objects into a canonical order and validates the configuration.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Invalid`] with all parse errors and all findings of the validation.
    pub fn finish(self) -> Result<Configuration> {
        let mut configuration = self.configuration;
        sort(&mut configuration);
        let mut findings = self.errors.0;
        findings.extend(check(&configuration));
        if findings.is_empty() {
            return Ok(configuration);
        }
        Err(Error::Invalid { findings })
    }
}

/// Sorts the objects into a canonical order, so that equal configurations print the same text.
///
/// The classes of a contract keep their order, since the first one is the default.
fn sort(c: &mut Configuration) {
    c.data_centres.sort();
    c.entries.sort_by(|a, b| a.name.cmp(&b.name));
    c.agents.sort_by(|a, b| a.name.cmp(&b.name));
    c.pools.sort_by(|a, b| a.name.cmp(&b.name));
    c.endpoints.sort_by(|a, b| a.name.cmp(&b.name));
    // Classes are sorted by tier first, since a reader looks for the most urgent ones first.
    c.classes
        .sort_by(|a, b| (a.tier, &a.name).cmp(&(b.tier, &b.name)));
    c.contracts.sort_by(|a, b| a.name.cmp(&b.name));
    c.organisations.sort_by(|a, b| a.name.cmp(&b.name));
    c.contracts.iter_mut().for_each(|c| c.pools.sort());
    c.organisations
        .iter_mut()
        .for_each(|o| o.key_digests.sort());
    c.endpoints.iter_mut().for_each(|e| e.loads.sort());
}

/// Parses several texts and skips those that are invalid, whose errors are recorded.
fn parse_all<T>(errors: &mut ParseErrors, path: &str, texts: &[&str]) -> Vec<T>
where
    T: FromStr,
    T::Err: Display,
{
    texts.iter().filter_map(|t| errors.parse(path, t)).collect()
}

/// Appends an item, if there is one, and returns a reference to it.
fn push_some<T>(list: &mut Vec<T>, item: Option<T>) -> Option<&mut T> {
    list.push(item?);
    list.last_mut()
}
