//! The owner of a set of endpoints: admission, queueing and grants.
//!
//! Each endpoint has one owner among the instances. An entry instance requests a grant from an owner, which grants an
//! endpoint, queues the request, or refuses it at once. The entry then talks to the endpoint directly and reports the
//! first token and the end of the request to the owner. One instance thus has the exact load of an endpoint, and
//! responses need no extra hop through the owner.
//!
//! A grant expires after [`GRANT_TTL`], which the entry measures from before it sent the request, so that an entry that
//! was paused can't start work on an old grant.

mod estimate;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::Serialize;

use crate::affinity::Affinity;
use crate::endpoint::{Endpoint, Report};
use crate::endpoint_state::{EndpointState, Service};
pub use crate::grant::{Action, Cause, End, GRANT_TTL, GrantRequest, Limits, Summary};
use crate::ids::{BootId, EndpointId, ModelId, Ticket, ZoneId};
use crate::length::{Class, Tokens};
use crate::mix::Mix;
use crate::outcome::Refusal;
use crate::queue::{Queue, Queued};
use crate::time::Time;
use crate::window::{Load, Pace, Share};

/// Minimum retry delay returned to a caller.
const RETRY_DELAY_MIN: Duration = Duration::from_secs(1);
/// Time after a request's deadline at which its grant is dropped if the entry never reported its end.
const EXPIRED_GRANT_GRACE: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct Waiting {
    request: GrantRequest,
    deadline: Time,
    since: Time,
}

/// The endpoints that one instance owns, and the requests that wait for them.
#[derive(Debug)]
pub struct Owner {
    states: BTreeMap<EndpointId, EndpointState>,
    queues: BTreeMap<ModelId, Queue>,
    waiting: HashMap<Ticket, Waiting>,
    granted: HashMap<Ticket, EndpointId>,
    limits: Limits,
    share: Share,
    mix: Mix,
    affinity: Affinity,
    /// Moving average of the time from grant to release.
    mean_duration: Duration,
}

impl Owner {
    /// Creates an owner without endpoints.
    pub fn new(limits: Limits) -> Self {
        Self {
            states: BTreeMap::new(),
            queues: BTreeMap::new(),
            waiting: HashMap::new(),
            granted: HashMap::new(),
            limits,
            share: Share::WHOLE,
            mix: Mix::default(),
            affinity: Affinity::default(),
            mean_duration: Duration::from_secs(1),
        }
    }

    /// Replaces the limits on work by class.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Sets the part of the roster that this instance sees, by which it scales its windows.
    pub const fn set_share(&mut self, share: Share) {
        self.share = share;
    }

    /// Adopts `endpoint`, or updates its listing if it is owned already.
    ///
    /// If `former` is set, an earlier owner may have granted work on it: nothing is granted until that owner's grants
    /// have expired, and requests that the endpoint reports as running count as load until they end.
    pub fn adopt(&mut self, now: Time, endpoint: Endpoint, former: bool) {
        if let Some(state) = self.states.get_mut(&endpoint.id) {
            state.update_listing(endpoint);
            return;
        }
        let hold = if former { now + GRANT_TTL } else { now };
        self.states.insert(endpoint.id.clone(), EndpointState::new(endpoint, hold, former));
    }

    /// Drops the endpoints for which `keep` returns false.
    ///
    /// Requests that run there continue. Queued requests for a model that no remaining endpoint serves are refused.
    pub fn retain(&mut self, now: Time, keep: impl Fn(&EndpointId) -> bool) -> Vec<Action> {
        self.states.retain(|id, _| keep(id));
        let states = &self.states;
        self.granted.retain(|_, id| states.contains_key(id));
        self.dispatch(now)
    }

    /// Puts an endpoint in or out of service.
    pub fn set_service(&mut self, now: Time, endpoint: &EndpointId, service: Service) -> Vec<Action> {
        let Some(state) = self.states.get_mut(endpoint) else {
            return Vec::new();
        };
        if state.service == service {
            return Vec::new();
        }
        state.service = service;
        if service == Service::In {
            // Its caches and weights may have been dropped while it was out of service.
            state.window.reset();
        }
        self.dispatch(now)
    }

    /// Returns the owned endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.states.values().map(|s| &s.endpoint)
    }

    /// Returns the models of the owned endpoints that are in service.
    pub fn models(&self) -> impl Iterator<Item = &ModelId> {
        self.states.values().filter(|s| s.service == Service::In).flat_map(|s| &s.endpoint.models)
    }

    /// Returns the load granted on `endpoint`, and the load that its window allows.
    pub fn load(&self, endpoint: &EndpointId) -> Option<(Load, Load)> {
        self.states.get(endpoint).map(|s| (s.load(), s.window.limit(self.share)))
    }

    /// Returns whether no request is granted or queued.
    pub fn is_idle(&self) -> bool {
        self.granted.is_empty() && self.waiting.is_empty()
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the state of each endpoint, for the state dump.
    pub fn dump(&self) -> impl Iterator<Item = impl Serialize + '_> {
        self.states.values()
    }

    /// Grants, queues or refuses a request that must end by `deadline`.
    pub fn request(&mut self, now: Time, request: GrantRequest, deadline: Time) -> Vec<Action> {
        self.mix.record(request.size);
        let ticket = request.ticket;
        if let Err(refusal) = self.admit(now, &request, deadline) {
            return vec![Action::Refuse { ticket, refusal }];
        }
        let class = request.size.class();
        let none_ahead = self.queues.get(&request.model).is_none_or(|q| q.len_ahead(class) == 0);
        if none_ahead && let Some(endpoint) = self.fastest_endpoint(now, &request) {
            return vec![self.grant(now, &Waiting { request, deadline, since: now }, &endpoint)];
        }
        if !request.may_queue {
            let wait = self.retry_wait(&request);
            return vec![Action::Refuse { ticket, refusal: Refusal::Busy { wait } }];
        }
        self.enqueue(Waiting { request, deadline, since: now });
        Vec::new()
    }

    /// Records the first token of a request, of whose prompt `cached` tokens came from the KV cache.
    pub fn record_first_token(&mut self, now: Time, ticket: Ticket, cached: Tokens) -> Vec<Action> {
        let Some(id) = self.granted.get(&ticket).cloned() else {
            return Vec::new();
        };
        let Some(state) = self.states.get_mut(&id) else {
            return Vec::new();
        };
        self.affinity.record_hit(now, ticket, cached);
        let pace = state.record_first_token(now, ticket);
        let mut actions = Vec::new();
        if pace == Some(Pace::Cold) {
            self.recall(&id, Cause::Cold, &mut actions);
        }
        actions.extend(self.dispatch(now));
        actions
    }

    /// Records the end of a granted or queued request.
    pub fn release(&mut self, now: Time, ticket: Ticket, end: End) -> Vec<Action> {
        self.withdraw(ticket);
        self.affinity.forget_request(ticket);
        let Some(id) = self.granted.remove(&ticket) else {
            return self.dispatch(now);
        };
        let Some(state) = self.states.get_mut(&id) else {
            return self.dispatch(now);
        };
        if let Some(request) = state.release(ticket) {
            let elapsed = now.since(request.granted);
            self.mean_duration = (self.mean_duration * 15 + elapsed) / 16;
        }
        let mut actions = Vec::new();
        if end == End::Broken {
            state.record_failure(now);
            actions.push(Action::Probe { endpoint: id });
        }
        actions.extend(self.dispatch(now));
        actions
    }

    /// Records that the connection to the entry of a request was lost.
    ///
    /// A queued request is dropped. A granted one may still run, so it counts as load until the endpoint reports that
    /// it has ended, or until a grace period after its deadline.
    pub fn orphan(&mut self, now: Time, ticket: Ticket) -> Vec<Action> {
        self.withdraw(ticket);
        self.affinity.forget_request(ticket);
        let state = self.granted.get(&ticket).and_then(|id| self.states.get_mut(id));
        if let Some(state) = state {
            state.mark_orphaned(now, ticket);
        }
        self.dispatch(now)
    }

    /// Returns the endpoint on which a request was granted.
    pub fn granted_endpoint(&self, ticket: Ticket) -> Option<&EndpointId> {
        self.granted.get(&ticket)
    }

    /// Returns the endpoints whose current boot id is not confirmed yet.
    pub fn unverified(&self) -> impl Iterator<Item = &EndpointId> {
        self.states.iter().filter(|(_, s)| !s.is_verified()).map(|(id, _)| id)
    }

    /// Records an endpoint's load report.
    pub fn report(&mut self, now: Time, endpoint: &EndpointId, report: Report) -> Vec<Action> {
        let Some(state) = self.states.get_mut(endpoint) else {
            return Vec::new();
        };
        let known = state.boot;
        let closed = state.record_report(report);
        for ticket in state.ended_orphans(now, report) {
            state.release(ticket);
            self.granted.remove(&ticket);
        }
        let mut actions = Vec::new();
        if closed {
            let rebooted = known != Some(report.boot);
            if rebooted {
                self.affinity.forget_endpoint(endpoint);
            }
            let cause = if rebooted { Cause::Rebooted } else { Cause::Cold };
            self.recall(endpoint, cause, &mut actions);
        }
        actions.extend(self.dispatch(now));
        actions
    }

    /// Records the boot id that an endpoint sent with a response.
    pub fn record_boot(&mut self, now: Time, endpoint: &EndpointId, boot: BootId) -> Vec<Action> {
        let Some(state) = self.states.get_mut(endpoint) else {
            return Vec::new();
        };
        if !state.record_boot(boot) {
            return self.dispatch(now);
        }
        self.affinity.forget_endpoint(endpoint);
        let mut actions = Vec::new();
        self.recall(endpoint, Cause::Rebooted, &mut actions);
        actions.extend(self.dispatch(now));
        actions
    }

    /// Records a cache event that an endpoint published.
    pub fn record_cache_event(&mut self, now: Time, endpoint: &EndpointId, prefix: u64, tokens: Tokens) {
        if self.states.contains_key(endpoint) {
            self.affinity.record_cached(now, endpoint, prefix, tokens);
        }
    }

    /// Refuses queued requests that can't finish in time, and closes the windows of endpoints whose first tokens are
    /// overdue.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        self.drop_expired_grants(now);
        let overdue: Vec<_> = self
            .states
            .iter()
            .filter(|(_, s)| s.overdue(now) && !s.window.is_cold())
            .map(|(id, _)| id.clone())
            .collect();
        for id in overdue {
            if let Some(state) = self.states.get_mut(&id) {
                state.window.reset();
            }
            self.recall(&id, Cause::Cold, &mut actions);
        }
        actions.extend(self.dispatch(now));
        actions
    }

    fn serving<'a>(&'a self, model: &'a ModelId) -> impl Iterator<Item = &'a EndpointState> {
        self.states.values().filter(move |s| {
            s.service == Service::In && !s.endpoint.leaving && s.endpoint.models.contains(model)
        })
    }

    /// Returns the endpoint with the earliest expected first token, of those that accept `request` now.
    fn fastest_endpoint(&self, now: Time, request: &GrantRequest) -> Option<EndpointId> {
        let class = request.size.class();
        // A request that may queue has found no free endpoint at the owners that it tried, so that an endpoint that
        // failed it before is better than none.
        let avoided = |s: &EndpointState| request.avoid.contains(&s.endpoint.id);
        self.serving(&request.model)
            .filter(|s| request.may_queue || !avoided(s))
            .filter(|s| s.accepts(now, request.size, self.share))
            .filter(|s| class != Class::Long || self.accepts_long(s))
            .min_by_key(|s| {
                let cached =
                    self.affinity.cached_tokens(now, &s.endpoint.id, request.prefix).min(request.size.prompt);
                let saved =
                    s.endpoint.speed.prefill(cached).min(Duration::from_secs_f64(self.limits.affinity));
                let first = s.time_to_first_token(request.size, Tokens(0)).saturating_sub(saved);
                (avoided(s), first, s.load().requests, &s.endpoint.id)
            })
            .map(|s| s.endpoint.id.clone())
    }

    /// Returns whether an endpoint may run one more long prompt.
    ///
    /// A reserved endpoint accepts one only while nothing shorter runs there. A short prompt that arrives later has a
    /// higher engine priority, so that it runs before the long prompt's next chunk.
    fn accepts_long(&self, state: &EndpointState) -> bool {
        if state.long_count() >= self.limits.long {
            return false;
        }
        !self.mix.is_reserved(&state.endpoint.id, self.limits.reserve) || state.runs_only_long()
    }

    fn grant(&mut self, now: Time, waiting: &Waiting, id: &EndpointId) -> Action {
        let request = &waiting.request;
        let cached = self.affinity.cached_tokens(now, id, request.prefix).min(request.size.prompt);
        let (mut address, mut zone) = (String::new(), ZoneId::from(""));
        if let Some(state) = self.states.get_mut(id) {
            state.grant(now, request.ticket, request.size, waiting.deadline, cached);
            address.clone_from(&state.endpoint.address);
            zone = state.endpoint.zone.clone();
        }
        self.affinity.record_sent(now, id, request.prefix, request.ticket, request.size.prompt);
        self.granted.insert(request.ticket, id.clone());
        let waited = now.since(waiting.since);
        Action::Grant { ticket: request.ticket, endpoint: id.clone(), zone, address, waited }
    }

    fn enqueue(&mut self, waiting: Waiting) {
        let request = &waiting.request;
        let item = Queued {
            ticket: request.ticket,
            customer: request.customer.clone(),
            weight: request.weight,
            class: request.size.class(),
            cost: request.size.memory(),
            deadline: waiting.deadline,
        };
        self.queues.entry(request.model.clone()).or_default().push(item);
        self.waiting.insert(request.ticket, waiting);
    }

    fn withdraw(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.queues.get_mut(&waiting.request.model)?.remove(ticket);
        Some(waiting)
    }

    /// Grants queued requests in the queue's order, as far as the windows allow.
    fn dispatch(&mut self, now: Time) -> Vec<Action> {
        let models: Vec<_> =
            self.queues.iter().filter(|(_, q)| !q.is_empty()).map(|(m, _)| m.clone()).collect();
        let mut actions = Vec::new();
        for model in models {
            for class in Class::ALL {
                self.dispatch_class(now, &model, class, &mut actions);
            }
        }
        actions
    }

    fn dispatch_class(&mut self, now: Time, model: &ModelId, class: Class, actions: &mut Vec<Action>) {
        loop {
            let Some(ticket) = self.queues.get(model).and_then(|q| q.peek(class)).map(|q| q.ticket) else {
                return;
            };
            let Some(waiting) = self.waiting.get(&ticket) else {
                return;
            };
            if self.serving(model).next().is_none() {
                let refusal = Refusal::NoEndpoint { retry: RETRY_DELAY_MIN };
                self.withdraw(ticket);
                actions.push(Action::Refuse { ticket, refusal });
                continue;
            }
            let Some(endpoint) = self.fastest_endpoint(now, &waiting.request) else {
                return;
            };
            if let Some(queue) = self.queues.get_mut(model) {
                queue.serve(ticket);
            }
            if let Some(waiting) = self.waiting.remove(&ticket) {
                actions.push(self.grant(now, &waiting, &endpoint));
            }
        }
    }

    /// Refuses queued requests that can no longer finish within their deadlines.
    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        let expired: Vec<_> = self
            .waiting
            .values()
            .filter(|w| now + self.min_service_time(w) > w.deadline)
            .map(|w| w.request.ticket)
            .collect();
        for ticket in expired {
            self.withdraw(ticket);
            actions.push(Action::Refuse { ticket, refusal: Refusal::Expired { retry: RETRY_DELAY_MIN } });
        }
    }

    /// Drops grants whose entry never reported the end: the endpoint stops a request at its deadline.
    fn drop_expired_grants(&mut self, now: Time) {
        for state in self.states.values_mut() {
            if state.last_deadline().is_none() {
                continue;
            }
            let expired: Vec<_> = state
                .in_flight
                .iter()
                .filter(|(_, f)| now > f.deadline + EXPIRED_GRANT_GRACE)
                .map(|(t, _)| *t)
                .collect();
            for ticket in expired {
                state.release(ticket);
                self.granted.remove(&ticket);
            }
        }
    }

    /// Recalls the requests that exceed a closed window.
    fn recall(&mut self, id: &EndpointId, cause: Cause, actions: &mut Vec<Action>) {
        actions.push(Action::Reset { endpoint: id.clone(), cause });
        let Some(state) = self.states.get_mut(id) else {
            return;
        };
        for ticket in state.over_limit(self.share) {
            state.release(ticket);
            self.granted.remove(&ticket);
            actions.push(Action::Recall { ticket, endpoint: id.clone(), cause });
        }
    }
}
