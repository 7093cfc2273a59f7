//! State of one endpoint at its owner.
//!
//! [`EndpointState`] has the exact load that this owner granted on an endpoint, plus the load that a former owner's
//! requests may still put on it. It estimates how long a new request would take, and detects a cold start by slow or
//! overdue first tokens.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Serialize, Serializer};

use crate::endpoint::{Endpoint, Report, Size};
use crate::ids::{BootId, Ticket};
use crate::length::{Class, Tokens};
use crate::time::Time;
use crate::window::{Load, Pace, Share, Window};

/// Allowance for network and scheduling delays in each estimate of the time to first token.
const FIRST_TOKEN_SLACK: Duration = Duration::from_millis(50);

/// Factor on the prefill time of an endpoint that reports a cold start.
const COLD_PREFILL_FACTOR: f64 = 3.0;
/// Base of the pause in grants after consecutive broken requests. The first one causes no pause, the second one twice
/// this time, and each further one doubles it.
const FAILURE_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum pause in grants on an endpoint that keeps breaking requests.
const FAILURE_BACKOFF_MAX: Duration = Duration::from_secs(10);
/// Maximum delay of load reports behind the endpoint's actual state.
const REPORT_LAG_MAX: Duration = Duration::from_secs(3);

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Service {
    /// Accepts new requests.
    In,
    /// Finishes its running requests and accepts no new ones.
    Out,
}

/// A granted request that has not ended.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct InFlight {
    pub(crate) size: Size,
    pub(crate) granted: Time,
    pub(crate) expected: Duration,
    pub(crate) deadline: Time,
    pub(crate) started: bool,
    /// Time at which the connection to the entry was lost, if it was.
    pub(crate) orphaned: Option<Time>,
}

/// An endpoint, with the load and the window that its owner keeps for it.
#[derive(Debug, Serialize)]
pub(crate) struct EndpointState {
    pub(crate) endpoint: Endpoint,
    pub(crate) service: Service,
    pub(crate) window: Window,
    pub(crate) boot: Option<BootId>,
    #[serde(rename = "flights", serialize_with = "serialize_pairs")]
    pub(crate) in_flight: BTreeMap<Ticket, InFlight>,
    /// Load that a former owner's requests may still put on the endpoint.
    #[serde(rename = "foreign")]
    former_load: Load,
    /// No grants before this time: requests may still start on a former owner's grants until then, or the endpoint
    /// broke requests.
    hold: Time,
    /// Whether the endpoint was in cold start by its last report.
    cold: bool,
    /// Whether a report or response has confirmed the endpoint's current boot id; there are no grants until then.
    verified: bool,
    load: Load,
    memory: Tokens,
    long: u32,
    /// Broken requests since the last first token.
    failures: u32,
}

/// Serializes a map as a list of pairs, for formats whose keys must be strings.
fn serialize_pairs<S: Serializer>(
    map: &BTreeMap<Ticket, InFlight>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(map)
}

impl EndpointState {
    pub(crate) fn new(endpoint: Endpoint, hold: Time, former: bool) -> Self {
        let window = Window::new(endpoint.capacity);
        let former_load = if former { endpoint.capacity.warm } else { Load::default() };
        Self {
            endpoint,
            service: Service::In,
            window,
            boot: None,
            in_flight: BTreeMap::new(),
            former_load,
            hold,
            cold: false,
            verified: false,
            load: Load::default(),
            memory: Tokens(0),
            long: 0,
            failures: 0,
        }
    }

    /// Replaces the endpoint's listing, whose capacity may differ.
    pub(crate) fn update_listing(&mut self, endpoint: Endpoint) {
        self.window.resize(endpoint.capacity);
        self.endpoint = endpoint;
    }

    /// Returns the load granted by this owner.
    pub(crate) const fn load(&self) -> Load {
        self.load
    }

    /// Returns the number of long prompts in flight.
    pub(crate) const fn long_count(&self) -> u32 {
        self.long
    }

    /// Returns whether all requests in flight are long prompts.
    pub(crate) fn runs_only_long(&self) -> bool {
        self.load.requests == self.long
    }

    /// Returns whether a request of `size` may be granted now.
    pub(crate) fn accepts(&self, now: Time, size: Size, share: Share) -> bool {
        if self.service == Service::Out || self.endpoint.leaving || now < self.hold || !self.verified {
            return false;
        }
        if size.class() == Class::Long && self.window.is_cold() && !self.window.is_warm() {
            return false;
        }
        let limit = self.window.limit(share).minus(self.former_load);
        self.load.fits(size.load(), limit) && self.memory + size.memory() <= self.endpoint.memory
    }

    /// Returns whether a request of `size` would fit the window if nothing else ran.
    pub(crate) fn fits_when_idle(&self, size: Size, share: Share) -> bool {
        let fits = Load::default().fits(size.load(), self.window.limit(share));
        fits && (size.class() != Class::Long || !self.window.is_cold() || self.window.is_warm())
    }

    /// Estimates the time from grant to first token.
    pub(crate) fn time_to_first_token(&self, size: Size, cached: Tokens) -> Duration {
        let class = size.class();
        let ahead: Tokens = self
            .in_flight
            .values()
            .filter(|f| !f.started && f.size.class() <= class)
            .map(|f| f.size.prompt)
            .sum();
        let own = size.prompt.saturating_sub(cached);
        let prefill = self.endpoint.speed.prefill(ahead + own);
        if self.cold {
            prefill.mul_f64(COLD_PREFILL_FACTOR) + FIRST_TOKEN_SLACK
        } else {
            prefill + FIRST_TOKEN_SLACK
        }
    }

    /// Estimates the time from grant to the end of the response.
    pub(crate) fn total_time(&self, size: Size, cached: Tokens) -> Duration {
        self.time_to_first_token(size, cached) + self.endpoint.speed.decode(size.output)
    }

    pub(crate) fn grant(&mut self, now: Time, ticket: Ticket, size: Size, deadline: Time, cached: Tokens) {
        let expected = self.time_to_first_token(size, cached);
        self.load = self.load.plus(size.load());
        self.memory += size.memory();
        self.long += u32::from(size.class() == Class::Long);
        self.in_flight.insert(
            ticket,
            InFlight { size, granted: now, expected, deadline, started: false, orphaned: None },
        );
    }

    /// Records the first token of a request.
    pub(crate) fn record_first_token(&mut self, now: Time, ticket: Ticket) -> Option<Pace> {
        let used = self.load;
        let request = self.in_flight.get_mut(&ticket)?;
        if request.started {
            return None;
        }
        request.started = true;
        self.failures = 0;
        self.load.tokens = self.load.tokens.saturating_sub(request.size.load().tokens);
        let elapsed = now.since(request.granted);
        let slowdown = elapsed.as_secs_f64() / request.expected.as_secs_f64();
        if request.size.class() == Class::Long {
            return Some(Pace::Normal);
        }
        if self.cold {
            // Its speed during a cold start says nothing about the load that it can carry when warm.
            return Some(Pace::Slow);
        }
        Some(self.window.record_slowdown(slowdown, used))
    }

    /// Removes a request and its load.
    pub(crate) fn release(&mut self, ticket: Ticket) -> Option<InFlight> {
        let request = self.in_flight.remove(&ticket)?;
        let load = request.size.load();
        self.load.requests = self.load.requests.saturating_sub(load.requests);
        if !request.started {
            self.load.tokens = self.load.tokens.saturating_sub(load.tokens);
        }
        self.memory = self.memory.saturating_sub(request.size.memory());
        self.long -= u32::from(request.size.class() == Class::Long);
        Some(request)
    }

    /// Returns whether the endpoint's current boot id is confirmed.
    pub(crate) const fn is_verified(&self) -> bool {
        self.verified
    }

    /// Records that the connection to the entry of a request was lost.
    pub(crate) fn mark_orphaned(&mut self, now: Time, ticket: Ticket) {
        if let Some(request) = self.in_flight.get_mut(&ticket) {
            request.orphaned.get_or_insert(now);
        }
    }

    /// Returns the orphaned requests that have ended according to a report.
    ///
    /// A report has the number of running requests but not their ids, so the orphans can only be cleared together: when
    /// it is at most the number of other requests in flight. Orphans more recent than [`REPORT_LAG_MAX`] are not
    /// cleared, because the report may be older.
    pub(crate) fn ended_orphans(&self, now: Time, report: Report) -> Vec<Ticket> {
        let settled = |f: &InFlight| f.orphaned.is_some_and(|at| now.since(at) > REPORT_LAG_MAX);
        let orphans: Vec<_> = self.in_flight.iter().filter(|(_, f)| settled(f)).map(|(t, _)| *t).collect();
        let others = self.in_flight.len() - orphans.len();
        if report.running as usize <= others { orphans } else { Vec::new() }
    }

    /// Records that a request broke; there are no grants until the endpoint's boot id is confirmed again.
    ///
    /// A single broken connection has no further effect. After consecutive ones, grants pause with exponential backoff.
    pub(crate) fn record_failure(&mut self, now: Time) {
        self.verified = false;
        let backoff = FAILURE_BACKOFF * 2_u32.saturating_pow(self.failures.min(16));
        if self.failures > 0 {
            self.hold = self.hold.max(now + backoff.min(FAILURE_BACKOFF_MAX));
        }
        self.failures += 1;
    }

    /// Records the boot id of a response or report; returns whether it closed the window.
    pub(crate) fn record_boot(&mut self, boot: BootId) -> bool {
        self.verified = true;
        let known = self.boot.replace(boot);
        let rebooted = known.is_some_and(|b| b != boot);
        if rebooted {
            self.window.reset();
        }
        rebooted
    }

    /// Records a load report; returns whether it closed the window.
    pub(crate) fn record_report(&mut self, report: Report) -> bool {
        let rebooted = self.record_boot(report.boot);
        self.cold = report.cold;
        self.former_load.requests =
            self.former_load.requests.min(report.running.saturating_sub(self.in_flight.len() as u32));
        if self.former_load.requests == 0 {
            self.former_load.tokens = Tokens(0);
        }
        if rebooted || (report.cold && !self.window.is_cold()) {
            self.window.reset();
            return true;
        }
        if !report.cold {
            self.window.record_warm_report();
        }
        false
    }

    /// Returns whether a first token is so late that the endpoint is assumed to be in cold start.
    pub(crate) fn overdue(&self, now: Time) -> bool {
        let factor = self.window.overdue_factor();
        self.in_flight.values().any(|f| {
            !f.started && f.size.class() != Class::Long && now.since(f.granted) > f.expected.mul_f64(factor)
        })
    }

    /// Returns the requests to recall, newest first, until the remaining load fits the window.
    pub(crate) fn over_limit(&self, share: Share) -> Vec<Ticket> {
        let limit = self.window.limit(share);
        let mut unstarted: Vec<_> = self.in_flight.iter().filter(|(_, f)| !f.started).collect();
        unstarted.sort_by_key(|(t, f)| (std::cmp::Reverse(f.granted), **t));
        let mut load = self.load;
        let mut recalled = Vec::new();
        for (ticket, request) in unstarted {
            if load.fits(Load::default(), limit) {
                break;
            }
            load = load.minus(request.size.load());
            recalled.push(*ticket);
        }
        recalled
    }

    /// Returns the latest deadline of the requests in flight.
    pub(crate) fn last_deadline(&self) -> Option<Time> {
        self.in_flight.values().map(|f| f.deadline).max()
    }
}
