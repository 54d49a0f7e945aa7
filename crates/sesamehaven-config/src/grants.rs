//! Builders for the objects that grant access: classes, contracts and organisations.

use sesamehaven::config::{Class, Contract, Limits, Organisation};
use sesamehaven::unit::Tokens;

use crate::builder::ParseErrors;

/// Sets the parameters of a work class.
#[derive(Debug)]
pub struct ClassBuilder<'a> {
    pub(crate) class: Option<&'a mut Class>,
    pub(crate) errors: &'a mut ParseErrors,
    pub(crate) path: String,
}

impl ClassBuilder<'_> {
    /// Sets the idle timeout between two parts of a response, such as `10 s`.
    pub fn idle(mut self, span: &str) -> Self {
        let idle = self.errors.parse(format!("{}, idle", self.path), span);
        if let (Some(class), Some(idle)) = (&mut self.class, idle) {
            class.idle = idle;
        }
        self
    }

    /// Sets the expected length of a response, in tokens.
    pub fn expected_output(mut self, tokens: u64) -> Self {
        if let Some(class) = &mut self.class {
            class.expected_output = Tokens(tokens);
        }
        self
    }

    /// Sets the service level objective of the class.
    ///
    /// At least `percent` percent of the requests must meet both the time to first token
    /// and the time between tokens.
    pub fn objective(mut self, percent: f64, first_token: &str, between_tokens: &str) -> Self {
        let path = format!("{}, objective", self.path);
        let first_token = self.errors.parse(&path, first_token);
        let between_tokens = self.errors.parse(&path, between_tokens);
        if let (Some(class), Some(first_token), Some(between_tokens)) =
            (&mut self.class, first_token, between_tokens)
        {
            class.objective.percent = percent;
            class.objective.first_token = first_token;
            class.objective.between_tokens = between_tokens;
        }
        self
    }
}

/// Sets the limits that a contract imposes on each of its organisations.
#[derive(Debug)]
pub struct ContractBuilder<'a> {
    pub(crate) contract: Option<&'a mut Contract>,
    pub(crate) errors: &'a mut ParseErrors,
    pub(crate) path: String,
}

impl ContractBuilder<'_> {
    /// Limits the request rate.
    pub fn requests_per_second(self, rate: f64) -> Self {
        self.with(|l| l.requests_per_second = Some(rate))
    }

    /// Limits the rate of estimated tokens, counting prompt and response.
    pub fn tokens_per_second(self, rate: f64) -> Self {
        self.with(|l| l.tokens_per_second = Some(rate))
    }

    /// Limits the number of requests in flight.
    pub fn concurrency(self, requests: u32) -> Self {
        self.with(|l| l.concurrency = Some(requests))
    }

    /// Sets the fair-queueing weight among organisations within a tier.
    pub fn weight(self, weight: u32) -> Self {
        self.with(|l| l.weight = Some(weight))
    }

    /// Limits the size of a request body, such as `256 KiB`.
    pub fn body(self, size: &str) -> Self {
        let body = self.errors.parse(format!("{}, body", self.path), size);
        self.with(|l| l.body = body)
    }

    fn with(mut self, set: impl FnOnce(&mut Limits)) -> Self {
        if let Some(contract) = &mut self.contract {
            set(&mut contract.limits);
        }
        self
    }
}

/// Adds API keys to an organisation.
#[derive(Debug)]
pub struct OrganisationBuilder<'a> {
    pub(crate) organisation: Option<&'a mut Organisation>,
    pub(crate) errors: &'a mut ParseErrors,
    pub(crate) path: String,
}

impl OrganisationBuilder<'_> {
    /// Adds an API key by its digest, as printed by `sesamectl digest-key`.
    pub fn key_digest(mut self, digest: &str) -> Self {
        let digest = self.errors.parse(format!("{}, key", self.path), digest);
        if let (Some(organisation), Some(digest)) = (&mut self.organisation, digest) {
            organisation.key_digests.push(digest);
        }
        self
    }
}
