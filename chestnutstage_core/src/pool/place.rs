//! Placement of a request: where it goes, or a refusal with the time to come back.
//!
//! What is asked and what comes out stands here; [`super::prompt`] chooses among model engines and [`super::plain`] among
//! the endpoints of other services.

use core::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{Grant, Key, Listing, Pool, Site};
use crate::ids::ModelId;
use crate::time::Time;

/// Shortest time after which to come back.
pub(super) const RETRY_MIN: Duration = Duration::from_millis(300);
/// Longest time after which to come back.
const RETRY_MAX: Duration = Duration::from_secs(3);

/// What a request needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand<'a> {
    /// Its service.
    pub service: &'a ModelId,
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Tokens that the answer may have.
    pub output: u64,
    /// Time left until the first event is late.
    pub first: Duration,
    /// Longest pause between events that is on time.
    pub gap: Duration,
    /// Time left until the caller gives up.
    pub remaining: Duration,
    /// Endpoints that were tried already.
    pub tried: &'a [Key],
    /// Number between zero and one that spreads those who come back.
    pub jitter: f64,
}

/// An endpoint that reads a part of a prompt for another one.
#[derive(Debug, Clone, PartialEq)]
pub struct Helper {
    /// The endpoint.
    pub key: Key,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Memory to reserve there, in tokens; zero where the writer's own memory holds the part.
    pub reserve: u64,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Number of the grant.
    pub number: u64,
    /// The endpoint that gets the request.
    pub key: Key,
    /// What the list says of it.
    pub listing: Listing,
    /// Memory to reserve at the endpoint itself, in tokens.
    pub reserve: u64,
    /// Endpoints that help to read the prompt.
    pub helpers: Vec<Helper>,
    /// Positions of the endpoints in the order that all instances share, the writer's first.
    pub ranks: Vec<usize>,
    /// Expected time until the first event.
    pub expected: Duration,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display, Serialize, Deserialize)]
pub enum Cause {
    /// No endpoint of the service takes work.
    #[display("no endpoint")]
    NoEndpoint,
    /// All slots are taken.
    #[display("no slot")]
    NoSlot,
    /// The answer would come too late.
    #[display("too late")]
    TooLate,
    /// No memory for the prompt.
    #[display("no memory")]
    NoMemory,
}

/// A request that was not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{cause}; come back after {retry:?}")]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// When there may be room.
    pub retry: Duration,
}

/// A placement with the grant that goes with it and the endpoint that gets the request.
pub(super) type Granting = (Key, Grant, Placement);

impl Refusal {
    pub(super) fn new(cause: Cause, wait: Duration, jitter: f64) -> Self {
        let retry = wait.clamp(RETRY_MIN, RETRY_MAX).mul_f64(1.0 + 0.5 * jitter);
        Self { cause, retry }
    }
}

impl Pool {
    /// Places a request and grants the work, or refuses it.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when no placement serves the request in time; nothing was granted.
    pub fn place(&mut self, now: Time, demand: &Demand<'_>) -> Result<Placement, Refusal> {
        let loads = self.loads(now);
        let (key, grant, placement) = match self.engines.get(demand.service) {
            None => self.place_plain(now, demand, &loads)?,
            Some(costs) => self.place_prompt(now, demand, costs, &loads)?,
        };
        self.next += 1;
        self.mine.insert(self.next, grant);
        if let Some(site) = self.sites.get_mut(&key) {
            site.cold.count(now);
        }
        Ok(Placement { number: self.next, ..placement })
    }

    /// Endpoints of a service that take work, those that failed lately only if there is no other.
    pub(super) fn open_sites<'a>(&'a self, now: Time, demand: &Demand<'_>) -> Vec<(usize, Key, &'a Site)> {
        let rate = self.cold_rates.get(demand.service).copied().unwrap_or_default();
        let open: Vec<_> = self
            .sites
            .iter()
            .filter(|(_, s)| s.listing.service == *demand.service && self.takes_work(now, s))
            .enumerate()
            .map(|(rank, (k, s))| (rank, *k, s))
            .filter(|(_, k, _)| !demand.tried.contains(k))
            .filter(|(_, _, s)| {
                rate <= 0.0 || now >= s.cold_until || s.cold.has_room(now, rate, self.sharers())
            })
            .collect();
        let sound: Vec<_> = open.iter().copied().filter(|(_, _, s)| now >= s.paused_until).collect();
        if sound.is_empty() { open } else { sound }
    }
}
