//! Placement of a request on one or more endpoints, or its refusal with a retry delay.
//!
//! This module contains the input and the result of a placement; [`super::prompt`] chooses among model engines and
//! [`super::plain`] among the endpoints of other services.

use core::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{Grant, Key, Listing, Pool, Site};
use crate::ids::ModelId;
use crate::time::Time;

/// Minimum retry delay after a refusal, before jitter.
pub(super) const RETRY_MIN: Duration = Duration::from_millis(300);
/// Maximum retry delay after a refusal, before jitter.
const RETRY_MAX: Duration = Duration::from_secs(3);

/// Requirements of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand<'a> {
    /// Service that it calls.
    pub service: &'a ModelId,
    /// Length of the prompt, in tokens.
    pub tokens: u64,
    /// Tokens of KV memory planned for the answer.
    pub output: u64,
    /// Remaining time until the first event is late.
    pub first: Duration,
    /// Longest gap between events that is on time.
    pub gap: Duration,
    /// Remaining time until the caller's timeout.
    pub remaining: Duration,
    /// Endpoints that earlier attempts used.
    pub tried: &'a [Key],
    /// Random number between zero and one that spreads retries over time.
    pub jitter: f64,
}

impl Demand<'_> {
    /// KV memory that the prompt and its answer take, in tokens.
    pub(super) const fn memory(&self) -> u64 {
        self.tokens.saturating_add(self.output)
    }
}

/// An endpoint that prefills a part of a prompt for the decode endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Helper {
    /// Key of the endpoint.
    pub key: Key,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// KV memory to reserve there, in tokens; zero if the memory of the decode endpoint holds the part.
    pub reserve: u64,
}

/// Endpoints chosen for a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// Number of the grant.
    pub number: u64,
    /// Key of the endpoint that the request is sent to.
    pub key: Key,
    /// Its list entry.
    pub listing: Listing,
    /// KV memory to reserve on this endpoint, in tokens.
    pub reserve: u64,
    /// Endpoints that prefill parts of the prompt.
    pub helpers: Vec<Helper>,
    /// Ranks of the endpoints in the order that all instances share, that of the decode endpoint first.
    pub ranks: Vec<usize>,
    /// Expected time to first event.
    pub expected: Duration,
}

/// Reason of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display, Serialize, Deserialize)]
pub enum Cause {
    /// No endpoint of the service accepts work.
    #[display("no endpoint")]
    NoEndpoint,
    /// All slots are taken.
    #[display("no slot")]
    NoSlot,
    /// The answer would be too late.
    #[display("too late")]
    TooLate,
    /// Not enough KV memory for the prompt.
    #[display("no memory")]
    NoMemory,
    /// All endpoints limit their requests, and no permit is left.
    #[display("request limit")]
    Limited,
    /// The prompt contains a part that ends engines.
    #[display("quarantined part")]
    Quarantined,
    /// Endpoints ended under repeats of the request.
    #[display("quarantined request")]
    CrashingRequest,
    /// Neither this instance nor a peer reaches any endpoint.
    #[display("no path")]
    NoPath,
}

/// Refusal of a request that can't be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{cause}; retry after {retry:?}")]
pub struct Refusal {
    /// Why it was refused.
    pub cause: Cause,
    /// Time to wait before a retry.
    pub retry: Duration,
}

/// Key of the endpoint that the request is sent to, with the grant and the placement.
pub(super) type GrantedPlacement = (Key, Grant, Placement);

impl Refusal {
    pub(super) fn new(cause: Cause, wait: Duration, jitter: f64) -> Self {
        let retry = wait.clamp(RETRY_MIN, RETRY_MAX).mul_f64(1.0 + 0.5 * jitter);
        Self { cause, retry }
    }
}

impl Pool {
    /// Places a request and records the grant.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] if no placement serves the request in time; no grant is recorded then.
    pub fn place(&mut self, now: Time, demand: &Demand<'_>) -> Result<Placement, Refusal> {
        self.update_learned(now);
        let loads = self.loads(now);
        let (key, grant, placement) = match self.engines.get(demand.service) {
            None => self.place_plain(now, demand, &loads)?,
            Some(costs) => self.place_prompt(now, demand, costs, &loads)?,
        };
        let inflight = loads.get(&key).map_or(0, |load| load.held) + 1;
        let forecast = self.forecast(now, key, grant.work, inflight, placement.expected);
        self.adopt_grant(grant);
        // A request that was tried elsewhere may resume its answer.
        if let Some(forecast) = forecast.filter(|_| demand.tried.is_empty()) {
            self.forecasts.insert(self.last_number, forecast);
        }
        if let Some(site) = self.sites.get_mut(&key) {
            site.cold_gate.record(now);
        }
        Ok(Placement { number: self.last_number, ..placement })
    }

    /// Endpoints of a service that accept work. Endpoints in backoff are included only if there are no
    /// others.
    pub(super) fn open_sites<'a>(&'a self, now: Time, demand: &Demand<'_>) -> Vec<(usize, Key, &'a Site)> {
        let rate = self.cold_rates.get(demand.service).copied().unwrap_or_default();
        let open: Vec<_> = self
            .sites
            .iter()
            .filter(|(k, s)| s.listing.service == *demand.service && self.accepts_work(now, **k, s))
            .enumerate()
            .map(|(rank, (k, s))| (rank, *k, s))
            .filter(|(_, k, _)| !demand.tried.contains(k))
            .filter(|(_, k, _)| self.permit_due(*k).is_none_or(|due| now >= due))
            .filter(|(_, _, s)| {
                rate <= 0.0
                    || now >= s.cold_until
                    || (!self.alone && s.cold_gate.has_room(now, rate, self.rate_shares()))
            })
            .collect();
        let healthy: Vec<_> = open.iter().copied().filter(|(_, _, s)| now >= s.paused_until).collect();
        if healthy.is_empty() { open } else { healthy }
    }

    /// Refuses a request for which no endpoint is open. `wait` is the time to come back, unless that is when a permit for a limited
    /// endpoint may be asked for.
    pub(super) fn refuse_closed(&self, now: Time, demand: &Demand<'_>, wait: Duration) -> Refusal {
        let open = self.sites.iter().filter(|(k, s)| {
            s.listing.service == *demand.service
                && self.accepts_work(now, **k, s)
                && !demand.tried.contains(k)
        });
        match open.filter_map(|(key, _)| self.permit_due(*key)).min() {
            Some(due) => Refusal::new(Cause::Limited, due.since(now), demand.jitter),
            None => Refusal::new(Cause::NoEndpoint, wait, demand.jitter),
        }
    }
}
