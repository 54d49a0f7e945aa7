//! Announcements of endpoints about themselves, as they arrive with responses.

use metrics::{counter, gauge};

use sesamehaven::announcement::Announcement;
use sesamehaven::endpoint_limits::LimitNotice;
use sesamehaven::request_rate::RequestRate;

use crate::clock;
use crate::front::Front;
use crate::protocol::Protocol;

impl<P: Protocol> Front<P> {
    /// Applies what an endpoint said about itself in a response to a request of this front.
    pub(crate) fn on_announcement(&self, pool: &str, endpoint: &str, announcement: Announcement) {
        if let Some(load) = announcement.load {
            self.pools.on_load(pool, endpoint, load);
        }
        self.on_limit(endpoint, announcement.limit);
        if announcement.is_empty() {
            return;
        }
        let started_at = self.endpoints.started_at(endpoint);
        let news = self
            .pools
            .on_announcement(endpoint, started_at, announcement);
        if news.is_draining {
            counter!("front_endpoint_drains_total").increment(1);
            spdlog::info!("endpoint drains", kv: {
                endpoint,
                cause = "announced in a response",
                started_at = started_at.unwrap_or_default()
            });
        }
        if let Some(pause) = news.pause {
            counter!("front_endpoint_pauses_total").increment(1);
            if self.log_limiter.try_acquire(clock::now()) {
                spdlog::info!("endpoint pauses", kv: {
                    endpoint,
                    cause = "announced with a refusal",
                    pause_ms = pause.0
                });
            }
        }
    }

    /// Adds what other fronts have heard of the limits of endpoints.
    pub(crate) fn merge_limits(&self, notices: &[LimitNotice]) {
        if !notices.is_empty() && self.pools.merge_limits(notices) {
            gauge!("front_limited_endpoints").set(self.pools.limited() as f64);
            spdlog::info!("endpoint limits heard", kv: { endpoints = notices.len() });
        }
    }

    /// Records the limit that an endpoint named in a response, or that it named none.
    fn on_limit(&self, endpoint: &str, limit: Option<RequestRate>) {
        if !self.pools.on_limit(endpoint, limit) {
            return;
        }
        gauge!("front_limited_endpoints").set(self.pools.limited() as f64);
        let limit = limit.map_or_else(|| "none".to_owned(), |l| l.to_string());
        spdlog::info!("endpoint limit", kv: { endpoint, per_second = limit });
    }
}
