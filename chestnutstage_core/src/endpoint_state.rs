//! What the owner of an endpoint has granted on it.
//!
//! [`EndpointState`] counts exactly what runs on one endpoint by this owner's leave, and adds what may still run by a former
//! owner's. It estimates how long a new request would take and says when silence or slowness shows a cold start.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Serialize, Serializer};

use crate::endpoint::{Endpoint, Report, Size};
use crate::ids::{BootId, Ticket};
use crate::length::{Class, Tokens};
use crate::time::Time;
use crate::window::{Load, Pace, Share, Window};

/// Allowance for links and scheduling in each estimate of a first token.
const SLACK: Duration = Duration::from_millis(50);

/// Slowdown assumed of an endpoint that says it is in cold start.
const COLD_ESTIMATE: f64 = 3.0;
/// Rest of an endpoint after two broken requests in a row; doubles with each further one.
const FAILURE_REST: Duration = Duration::from_millis(250);
/// Longest rest of an endpoint that keeps breaking requests.
const FAILURE_REST_MAX: Duration = Duration::from_secs(10);
/// Lag of load reports behind the truth, at the most.
const REPORT_LAG: Duration = Duration::from_secs(3);

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Service {
    /// Takes new work.
    In,
    /// Finishes what runs and takes nothing new.
    Out,
}

/// One granted request.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Flight {
    pub(crate) size: Size,
    pub(crate) granted: Time,
    pub(crate) expected: Duration,
    pub(crate) deadline: Time,
    pub(crate) started: bool,
    /// When the entry went away without a word, if it did.
    pub(crate) orphaned: Option<Time>,
}

/// An endpoint as its owner sees it.
#[derive(Debug, Serialize)]
pub(crate) struct EndpointState {
    pub(crate) endpoint: Endpoint,
    pub(crate) service: Service,
    pub(crate) window: Window,
    pub(crate) boot: Option<BootId>,
    #[serde(serialize_with = "pairs")]
    pub(crate) flights: BTreeMap<Ticket, Flight>,
    /// Load that a former owner's requests may still put on the endpoint.
    foreign: Load,
    /// No grant before this time: a former owner's grants may still be unused.
    hold: Time,
    /// Whether the last report said that the endpoint is in cold start.
    cold: bool,
    /// No grant before the endpoint has shown by a report or an answer which life it is in.
    verified: bool,
    load: Load,
    memory: Tokens,
    long: u32,
    /// Requests that broke since the last first token.
    failures: u32,
}

/// Shows a map as a list of pairs, for formats whose keys must be text.
fn pairs<S: Serializer>(flights: &BTreeMap<Ticket, Flight>, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(flights)
}

impl EndpointState {
    pub(crate) fn new(endpoint: Endpoint, hold: Time, foreign: bool) -> Self {
        let window = Window::new(endpoint.capacity);
        let foreign = if foreign { endpoint.capacity.warm } else { Load::default() };
        Self {
            endpoint,
            service: Service::In,
            window,
            boot: None,
            flights: BTreeMap::new(),
            foreign,
            hold,
            cold: false,
            verified: false,
            load: Load::default(),
            memory: Tokens(0),
            long: 0,
            failures: 0,
        }
    }

    /// Takes in a new listing, which may have another capacity.
    pub(crate) fn relist(&mut self, endpoint: Endpoint) {
        self.window.resize(endpoint.capacity);
        self.endpoint = endpoint;
    }

    /// Load granted by this owner.
    pub(crate) const fn load(&self) -> Load {
        self.load
    }

    /// Number of long prompts that run.
    pub(crate) const fn long(&self) -> u32 {
        self.long
    }

    /// Whether nothing shorter than a long prompt runs.
    pub(crate) fn only_long(&self) -> bool {
        self.load.requests == self.long
    }

    /// Whether a request of `size` may be granted now.
    pub(crate) fn accepts(&self, now: Time, size: Size, share: Share) -> bool {
        if self.service == Service::Out || self.endpoint.leaving || now < self.hold || !self.verified {
            return false;
        }
        if size.class() == Class::Long && self.window.is_cold() && !self.window.is_warm() {
            return false;
        }
        let limit = self.window.limit(share).minus(self.foreign);
        self.load.fits(size.load(), limit) && self.memory + size.memory() <= self.endpoint.memory
    }

    /// Whether a request of `size` would fit the window if nothing else ran.
    pub(crate) fn could_accept(&self, size: Size, share: Share) -> bool {
        let room = Load::default().fits(size.load(), self.window.limit(share));
        room && (size.class() != Class::Long || !self.window.is_cold() || self.window.is_warm())
    }

    /// Estimated time from grant to first token.
    pub(crate) fn first_token(&self, size: Size, cached: Tokens) -> Duration {
        let class = size.class();
        let ahead: Tokens = self
            .flights
            .values()
            .filter(|f| !f.started && f.size.class() <= class)
            .map(|f| f.size.prompt)
            .sum();
        let own = size.prompt.saturating_sub(cached);
        let prefill = self.endpoint.speed.prefill(ahead + own);
        if self.cold { prefill.mul_f64(COLD_ESTIMATE) + SLACK } else { prefill + SLACK }
    }

    /// Estimated time from grant to the end of the answer.
    pub(crate) fn whole(&self, size: Size, cached: Tokens) -> Duration {
        self.first_token(size, cached) + self.endpoint.speed.decode(size.output)
    }

    pub(crate) fn grant(&mut self, now: Time, ticket: Ticket, size: Size, deadline: Time, cached: Tokens) {
        let expected = self.first_token(size, cached);
        self.load = self.load.plus(size.load());
        self.memory += size.memory();
        self.long += u32::from(size.class() == Class::Long);
        self.flights.insert(
            ticket,
            Flight { size, granted: now, expected, deadline, started: false, orphaned: None },
        );
    }

    /// Takes in the first token of a request.
    pub(crate) fn started(&mut self, now: Time, ticket: Ticket) -> Option<Pace> {
        let used = self.load;
        let flight = self.flights.get_mut(&ticket)?;
        if flight.started {
            return None;
        }
        flight.started = true;
        self.failures = 0;
        self.load.tokens = self.load.tokens.saturating_sub(flight.size.load().tokens);
        let took = now.since(flight.granted);
        let slowdown = took.as_secs_f64() / flight.expected.as_secs_f64();
        if flight.size.class() == Class::Long {
            return Some(Pace::Normal);
        }
        if self.cold {
            // What a cold endpoint does says nothing about what it can bear when warm.
            return Some(Pace::Slow);
        }
        Some(self.window.completed(slowdown, used))
    }

    /// Takes a request off the books.
    pub(crate) fn release(&mut self, ticket: Ticket) -> Option<Flight> {
        let flight = self.flights.remove(&ticket)?;
        let load = flight.size.load();
        self.load.requests = self.load.requests.saturating_sub(load.requests);
        if !flight.started {
            self.load.tokens = self.load.tokens.saturating_sub(load.tokens);
        }
        self.memory = self.memory.saturating_sub(flight.size.memory());
        self.long -= u32::from(flight.size.class() == Class::Long);
        Some(flight)
    }

    /// Whether the endpoint has shown which life it is in.
    pub(crate) const fn is_verified(&self) -> bool {
        self.verified
    }

    /// Takes in that the entry of a request is gone without a word.
    pub(crate) fn orphan(&mut self, now: Time, ticket: Ticket) {
        if let Some(flight) = self.flights.get_mut(&ticket) {
            flight.orphaned.get_or_insert(now);
        }
    }

    /// Orphaned requests that, by a report, no longer run.
    ///
    /// The report counts requests without naming them, so it can only clear all orphans at once: when no more run
    /// than there are requests with a living entry. It lags, so only orphans older than that are cleared.
    pub(crate) fn ended_orphans(&self, now: Time, report: Report) -> Vec<Ticket> {
        let settled = |f: &Flight| f.orphaned.is_some_and(|at| now.since(at) > REPORT_LAG);
        let orphans: Vec<_> = self.flights.iter().filter(|(_, f)| settled(f)).map(|(t, _)| *t).collect();
        let living = self.flights.len() - orphans.len();
        if report.running as usize <= living { orphans } else { Vec::new() }
    }

    /// Takes in that a request broke: no grant until the endpoint has shown which life it is in.
    ///
    /// One broken connection is no more than that. An endpoint that breaks one request after another is left alone
    /// for longer and longer.
    pub(crate) fn failed(&mut self, now: Time) {
        self.verified = false;
        let rest = FAILURE_REST * 2_u32.saturating_pow(self.failures.min(16));
        if self.failures > 0 {
            self.hold = self.hold.max(now + rest.min(FAILURE_REST_MAX));
        }
        self.failures += 1;
    }

    /// Takes in the boot id of an answer; tells whether it closed the window.
    pub(crate) fn seen(&mut self, boot: BootId) -> bool {
        self.verified = true;
        let known = self.boot.replace(boot);
        let rebooted = known.is_some_and(|b| b != boot);
        if rebooted {
            self.window.reset();
        }
        rebooted
    }

    /// Takes in a load report; tells whether it closed the window.
    pub(crate) fn reported(&mut self, report: Report) -> bool {
        let rebooted = self.seen(report.boot);
        self.cold = report.cold;
        self.foreign.requests =
            self.foreign.requests.min(report.running.saturating_sub(self.flights.len() as u32));
        if self.foreign.requests == 0 {
            self.foreign.tokens = Tokens(0);
        }
        if rebooted || (report.cold && !self.window.is_cold()) {
            self.window.reset();
            return true;
        }
        if !report.cold {
            self.window.vouched();
        }
        false
    }

    /// Whether a request is so late with its first token that the endpoint must have turned cold.
    pub(crate) fn overdue(&self, now: Time) -> bool {
        let patience = self.window.patience();
        self.flights.values().any(|f| {
            !f.started && f.size.class() != Class::Long && now.since(f.granted) > f.expected.mul_f64(patience)
        })
    }

    /// Requests to call back, newest first, until the rest fits the window.
    pub(crate) fn excess(&self, share: Share) -> Vec<Ticket> {
        let limit = self.window.limit(share);
        let mut waiting: Vec<_> = self.flights.iter().filter(|(_, f)| !f.started).collect();
        waiting.sort_by_key(|(t, f)| (std::cmp::Reverse(f.granted), **t));
        let mut load = self.load;
        let mut out = Vec::new();
        for (ticket, flight) in waiting {
            if load.fits(Load::default(), limit) {
                break;
            }
            load = load.minus(flight.size.load());
            out.push(*ticket);
        }
        out
    }

    /// When the last of the granted requests is due.
    pub(crate) fn last_deadline(&self) -> Option<Time> {
        self.flights.values().map(|f| f.deadline).max()
    }
}
