//! Validation of what organisations are granted: classes, contracts, limits and keys.

use std::collections::{HashMap, HashSet};

use crate::check::{API_KEYS_MAX, Checker, DEADLINE_MAX, duplicates};
use crate::config::{Class, Contract, Limits, Organisation, Repeat};
use crate::id::Digest;

impl<'a> Checker<'a> {
    pub(crate) fn check_classes(&mut self) {
        for (i, class) in self.configuration.classes.iter().enumerate() {
            self.check_class(&format!("classes[{i}]"), class);
        }
    }

    fn check_class(&mut self, at: &str, class: &Class) {
        let objective = &class.objective;
        self.require(
            class.deadline.0 > 0,
            format!("{at}.deadline"),
            "a deadline of zero refuses everything",
            "set the time within which a response is useful, such as `30 s`",
        );
        if class.deadline > DEADLINE_MAX {
            let problem = format!("the deadline is over {DEADLINE_MAX}");
            self.report(format!("{at}.deadline"), problem, "use a shorter one");
        }
        self.require(
            class.idle.0 > 0,
            format!("{at}.idle"),
            "a limit of zero breaks off every answer",
            "set the maximum time between two chunks of a response, such as `30 s`",
        );
        self.require(
            objective.percent > 0.0 && objective.percent < 100.0,
            format!("{at}.objective.percent"),
            "the objective leaves no room for any failure, or asks for nothing",
            "use a number above 0 and below 100, such as 95",
        );
        self.require(
            objective.first_token.0 > 0 && objective.first_token <= class.deadline,
            format!("{at}.objective.first_token"),
            "the objective is zero or later than the deadline",
            "use a time above zero and up to the deadline",
        );
        self.require(
            objective.between_tokens.0 > 0,
            format!("{at}.objective.between_tokens"),
            "the time between tokens cannot be zero",
            "use a time above zero",
        );
    }

    pub(crate) fn check_contracts(&mut self) {
        let c = self.configuration;
        let classes: HashSet<_> = c.classes.iter().map(|c| &c.name).collect();
        let pools: HashSet<_> = c.pools.iter().map(|p| &p.name).collect();
        for (i, contract) in c.contracts.iter().enumerate() {
            let at = format!("contracts[{i}]");
            let grants = [
                ("classes", contract.classes.is_empty()),
                ("pools", contract.pools.is_empty()),
            ];
            for (list, empty) in grants {
                let path = format!("{at}.{list}");
                self.require(
                    !empty,
                    path,
                    "the contract grants nothing",
                    "grant at least one",
                );
            }
            for (j, name) in contract.classes.iter().enumerate() {
                self.check_reference(format!("{at}.classes[{j}]"), "work class", &classes, name);
            }
            for (j, name) in contract.pools.iter().enumerate() {
                self.check_reference(format!("{at}.pools[{j}]"), "pool", &pools, name);
            }
            for (j, name) in duplicates(&contract.classes) {
                self.report_duplicate(format!("{at}.classes[{j}]"), name);
            }
            for (j, name) in duplicates(&contract.pools) {
                self.report_duplicate(format!("{at}.pools[{j}]"), name);
            }
            self.check_limits(&format!("{at}.limits"), &contract.limits);
            self.check_contract_consistent(&at, contract);
        }
    }

    fn check_limits(&mut self, at: &str, limits: &Limits) {
        let is_positive = |rate: Option<f64>| rate.is_none_or(|r| r.is_finite() && r > 0.0);
        let given = [
            (
                "requests_per_second",
                is_positive(limits.requests_per_second),
            ),
            ("tokens_per_second", is_positive(limits.tokens_per_second)),
            ("concurrency", limits.concurrency != Some(0)),
            ("weight", limits.weight != Some(0)),
            ("body", limits.body.is_none_or(|b| !b.is_empty())),
        ];
        for (field, is_valid) in given {
            self.require(
                is_valid,
                format!("{at}.{field}"),
                "the limit lets nothing through",
                "use a number above zero, or leave the field out for no limit",
            );
        }
    }

    /// Reports contradictions between a contract's limits, classes and pools.
    fn check_contract_consistent(&mut self, at: &str, contract: &Contract) {
        let c = self.configuration;
        let granted = |class: &&Class| contract.classes.contains(&class.name);
        for class in c.classes.iter().filter(granted) {
            let rate = contract.limits.tokens_per_second.unwrap_or(f64::INFINITY);
            let allowed = rate * class.deadline.0 as f64 / 1_000.0;
            if rate > 0.0 && class.deadline.0 > 0 && allowed < class.expected_output.0 as f64 {
                let problem = format!(
                    "class `{}` expects {} within {}, more than the limit ever allows",
                    class.name, class.expected_output, class.deadline
                );
                let path = format!("{at}.limits.tokens_per_second");
                self.report(path, problem, "raise the limit, or grant another class");
            }
            let last = c.classes.iter().map(|c| c.tier).max();
            if class.repeat == Repeat::Claimed && Some(class.tier) == last {
                self.check_claimed_not_preempted(at, contract, class);
            }
        }
    }

    fn check_claimed_not_preempted(&mut self, at: &str, contract: &Contract, class: &Class) {
        for pool in &self.configuration.pools {
            if !pool.preempt || !contract.pools.contains(&pool.name) {
                continue;
            }
            let problem = format!(
                "class `{}` runs at most once, but pool `{}` may cancel running work of tier {}",
                class.name, pool.name, class.tier
            );
            let remedy = "put the two into different contracts, or remove `preempt` from the pool";
            self.report(format!("{at}.pools"), problem, remedy);
        }
    }

    pub(crate) fn check_organisations(&mut self) {
        let c = self.configuration;
        let contracts: HashSet<_> = c.contracts.iter().map(|c| &c.name).collect();
        let mut owners = HashMap::new();
        for (i, organisation) in c.organisations.iter().enumerate() {
            let at = format!("organisations[{i}]");
            let contract = &organisation.contract;
            self.check_reference(format!("{at}.contract"), "contract", &contracts, contract);
            self.check_keys(&at, organisation, &mut owners);
        }
    }

    fn check_keys(
        &mut self,
        at: &str,
        organisation: &'a Organisation,
        owners: &mut HashMap<Digest, &'a Organisation>,
    ) {
        let keys = &organisation.key_digests;
        let path = format!("{at}.key_digests");
        if keys.is_empty() || keys.len() > API_KEYS_MAX {
            let problem = format!("the organisation has {} API keys", keys.len());
            let remedy = format!("give 1 to {API_KEYS_MAX}");
            self.report(&path, problem, &remedy);
        }
        let empty = Digest::of(b"");
        for (j, digest) in keys.iter().enumerate() {
            let path = format!("{path}[{j}]");
            self.require(
                *digest != empty,
                path.clone(),
                "this is the digest of an empty key",
                "digest the key itself with `sesamectl digest-key`",
            );
            if let Some(owner) = owners.insert(*digest, organisation) {
                let problem = format!("the API key is also one of `{}`", owner.name);
                self.report(
                    path,
                    problem,
                    "remove the key from one of the two places; organisations cannot share a key",
                );
            }
        }
    }
}
