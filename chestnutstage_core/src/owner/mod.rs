//! The owner of a few endpoints.
//!
//! Each endpoint has one owner among the instances. An entry instance asks an owner for an endpoint; the owner grants
//! one, queues the request, or refuses it at once. The entry then talks to the endpoint itself and tells the owner of
//! the first token and of the end. So all counts are exact at one place, while answers take no second hop.
//!
//! A grant is only good for a short time ([`GRANT_TTL`]), measured at the entry from before it asked: an entry that
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

/// Shortest delay after which a caller is told to come back.
const RETRY_MIN: Duration = Duration::from_secs(1);
/// Time past its deadline after which a request that its entry never ended is taken off the books.
const ORPHAN_GRACE: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct Waiting {
    ask: GrantRequest,
    deadline: Time,
    since: Time,
}

/// The endpoints that one instance owns, and who waits for them.
#[derive(Debug)]
pub struct Owner {
    slots: BTreeMap<EndpointId, EndpointState>,
    queues: BTreeMap<ModelId, Queue>,
    waiting: HashMap<Ticket, Waiting>,
    placed: HashMap<Ticket, EndpointId>,
    limits: Limits,
    share: Share,
    mix: Mix,
    affinity: Affinity,
    /// Usual time from grant to release.
    usual: Duration,
}

impl Owner {
    /// An owner of nothing.
    pub fn new(limits: Limits) -> Self {
        Self {
            slots: BTreeMap::new(),
            queues: BTreeMap::new(),
            waiting: HashMap::new(),
            placed: HashMap::new(),
            limits,
            share: Share::WHOLE,
            mix: Mix::default(),
            affinity: Affinity::default(),
            usual: Duration::from_secs(1),
        }
    }

    /// Replaces the bounds on work by class.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Takes in which part of the roster this instance sees.
    pub const fn set_share(&mut self, share: Share) {
        self.share = share;
    }

    /// Takes over `endpoint`, or takes in its new listing.
    ///
    /// With `former` an earlier owner may have granted work on it: nothing is granted before that owner's grants have
    /// lapsed, and what the endpoint reports as running is counted as load until it ends.
    pub fn adopt(&mut self, now: Time, endpoint: Endpoint, former: bool) {
        if let Some(slots) = self.slots.get_mut(&endpoint.id) {
            slots.relist(endpoint);
            return;
        }
        let hold = if former { now + GRANT_TTL } else { now };
        self.slots.insert(endpoint.id.clone(), EndpointState::new(endpoint, hold, former));
    }

    /// Gives up the endpoints that `keep` does not name.
    ///
    /// What runs there goes on; what waits for a model that has no endpoint here any more is refused.
    pub fn retain(&mut self, now: Time, keep: impl Fn(&EndpointId) -> bool) -> Vec<Action> {
        self.slots.retain(|id, _| keep(id));
        let slots = &self.slots;
        self.placed.retain(|_, id| slots.contains_key(id));
        self.dispatch(now)
    }

    /// Takes an endpoint in or out of service.
    pub fn set_service(&mut self, now: Time, endpoint: &EndpointId, service: Service) -> Vec<Action> {
        let Some(slots) = self.slots.get_mut(endpoint) else {
            return Vec::new();
        };
        if slots.service == service {
            return Vec::new();
        }
        slots.service = service;
        if service == Service::In {
            // Whatever happened while it was out, its caches and weights may be gone.
            slots.window.reset();
        }
        self.dispatch(now)
    }

    /// Endpoints owned.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.slots.values().map(|s| &s.endpoint)
    }

    /// Models that an owned endpoint in service has.
    pub fn models(&self) -> impl Iterator<Item = &ModelId> {
        self.slots.values().filter(|s| s.service == Service::In).flat_map(|s| &s.endpoint.models)
    }

    /// Load granted on `endpoint`, with the load that its window allows.
    pub fn load(&self, endpoint: &EndpointId) -> Option<(Load, Load)> {
        self.slots.get(endpoint).map(|s| (s.load(), s.window.limit(self.share)))
    }

    /// Whether nothing runs or waits here.
    pub fn is_idle(&self) -> bool {
        self.placed.is_empty() && self.waiting.is_empty()
    }

    /// Requests that wait here.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// State of each endpoint, for a dump.
    pub fn dump(&self) -> impl Iterator<Item = impl Serialize + '_> {
        self.slots.values()
    }

    /// Takes a request that must end by `deadline`.
    pub fn request(&mut self, now: Time, ask: GrantRequest, deadline: Time) -> Vec<Action> {
        self.mix.observe(ask.size);
        let ticket = ask.ticket;
        if let Err(refusal) = self.admit(now, &ask, deadline) {
            return vec![Action::Refuse { ticket, refusal }];
        }
        let class = ask.size.class();
        let overtakes = self.queues.get(&ask.model).is_none_or(|q| q.len_ahead(class) == 0);
        if overtakes && let Some(endpoint) = self.best(now, &ask) {
            return vec![self.grant(now, &Waiting { ask, deadline, since: now }, &endpoint)];
        }
        if !ask.may_queue {
            let wait = self.busy_wait(&ask);
            return vec![Action::Refuse { ticket, refusal: Refusal::Busy { wait } }];
        }
        self.enqueue(Waiting { ask, deadline, since: now });
        Vec::new()
    }

    /// Takes in the first token of a request.
    pub fn record_first_token(&mut self, now: Time, ticket: Ticket, cached: Tokens) -> Vec<Action> {
        let Some(id) = self.placed.get(&ticket).cloned() else {
            return Vec::new();
        };
        let Some(slots) = self.slots.get_mut(&id) else {
            return Vec::new();
        };
        self.affinity.confirm(now, ticket, cached);
        let pace = slots.started(now, ticket);
        let mut actions = Vec::new();
        if pace == Some(Pace::Cold) {
            self.recall(&id, Cause::Cold, &mut actions);
        }
        actions.extend(self.dispatch(now));
        actions
    }

    /// Takes in the end of a request, granted or waiting.
    pub fn release(&mut self, now: Time, ticket: Ticket, end: End) -> Vec<Action> {
        self.withdraw(ticket);
        self.affinity.ended(ticket);
        let Some(id) = self.placed.remove(&ticket) else {
            return self.dispatch(now);
        };
        let Some(slots) = self.slots.get_mut(&id) else {
            return self.dispatch(now);
        };
        if let Some(flight) = slots.release(ticket) {
            let took = now.since(flight.granted);
            self.usual = (self.usual * 15 + took) / 16;
        }
        let mut actions = Vec::new();
        if end == End::Broken {
            slots.failed(now);
            actions.push(Action::Probe { endpoint: id });
        }
        actions.extend(self.dispatch(now));
        actions
    }

    /// Takes in that the entry of a request is gone without a word.
    ///
    /// A waiting request is dropped. A granted one may still run: it counts until the endpoint reports that it does
    /// not, or until its deadline has passed.
    pub fn orphan(&mut self, now: Time, ticket: Ticket) -> Vec<Action> {
        self.withdraw(ticket);
        self.affinity.ended(ticket);
        let slots = self.placed.get(&ticket).and_then(|id| self.slots.get_mut(id));
        if let Some(slots) = slots {
            slots.orphan(now, ticket);
        }
        self.dispatch(now)
    }

    /// Endpoint on which a request was granted.
    pub fn granted_endpoint(&self, ticket: Ticket) -> Option<&EndpointId> {
        self.placed.get(&ticket)
    }

    /// Endpoints that have not shown yet which life they are in.
    pub fn unverified(&self) -> impl Iterator<Item = &EndpointId> {
        self.slots.iter().filter(|(_, s)| !s.is_verified()).map(|(id, _)| id)
    }

    /// Takes in what an endpoint says of itself.
    pub fn report(&mut self, now: Time, endpoint: &EndpointId, report: Report) -> Vec<Action> {
        let Some(slots) = self.slots.get_mut(endpoint) else {
            return Vec::new();
        };
        let known = slots.boot;
        let closed = slots.reported(report);
        for ticket in slots.ended_orphans(now, report) {
            slots.release(ticket);
            self.placed.remove(&ticket);
        }
        let mut actions = Vec::new();
        if closed {
            let rebooted = known != Some(report.boot);
            if rebooted {
                self.affinity.forget(endpoint);
            }
            let cause = if rebooted { Cause::Rebooted } else { Cause::Cold };
            self.recall(endpoint, cause, &mut actions);
        }
        actions.extend(self.dispatch(now));
        actions
    }

    /// Takes in the boot id that came with an answer.
    pub fn record_boot(&mut self, now: Time, endpoint: &EndpointId, boot: BootId) -> Vec<Action> {
        let Some(slots) = self.slots.get_mut(endpoint) else {
            return Vec::new();
        };
        if !slots.seen(boot) {
            return self.dispatch(now);
        }
        self.affinity.forget(endpoint);
        let mut actions = Vec::new();
        self.recall(endpoint, Cause::Rebooted, &mut actions);
        actions.extend(self.dispatch(now));
        actions
    }

    /// Takes in a cache event that an endpoint published.
    pub fn cached(&mut self, now: Time, endpoint: &EndpointId, prefix: u64, tokens: Tokens) {
        if self.slots.contains_key(endpoint) {
            self.affinity.published(now, endpoint, prefix, tokens);
        }
    }

    /// Gives up what can't be served in time and closes the windows of endpoints that fell silent.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        self.forget_orphans(now);
        let silent: Vec<_> = self
            .slots
            .iter()
            .filter(|(_, s)| s.overdue(now) && !s.window.is_cold())
            .map(|(id, _)| id.clone())
            .collect();
        for id in silent {
            if let Some(slots) = self.slots.get_mut(&id) {
                slots.window.reset();
            }
            self.recall(&id, Cause::Cold, &mut actions);
        }
        actions.extend(self.dispatch(now));
        actions
    }

    fn serving<'a>(&'a self, model: &'a ModelId) -> impl Iterator<Item = &'a EndpointState> {
        self.slots.values().filter(move |s| {
            s.service == Service::In && !s.endpoint.leaving && s.endpoint.models.contains(model)
        })
    }

    /// The endpoint on which `ask` would start soonest, of those that accept it now.
    fn best(&self, now: Time, ask: &GrantRequest) -> Option<EndpointId> {
        let class = ask.size.class();
        // A request that waits here has found no better place; then an endpoint that failed it is better than none.
        let avoided = |s: &EndpointState| ask.avoid.contains(&s.endpoint.id);
        self.serving(&ask.model)
            .filter(|s| ask.may_queue || !avoided(s))
            .filter(|s| s.accepts(now, ask.size, self.share))
            .filter(|s| class != Class::Long || self.accepts_long(s))
            .min_by_key(|s| {
                let cached = self.affinity.hit(now, &s.endpoint.id, ask.prefix).min(ask.size.prompt);
                let worth =
                    s.endpoint.speed.prefill(cached).min(Duration::from_secs_f64(self.limits.affinity));
                let first = s.first_token(ask.size, Tokens(0)).saturating_sub(worth);
                (avoided(s), first, s.load().requests, &s.endpoint.id)
            })
            .map(|s| s.endpoint.id.clone())
    }

    /// Whether an endpoint may take one more long prompt.
    ///
    /// An endpoint of the reserved part lends itself only while nothing shorter runs there; a short prompt that
    /// arrives goes before the long one's next chunk by its engine priority.
    fn accepts_long(&self, slots: &EndpointState) -> bool {
        if slots.long() >= self.limits.long {
            return false;
        }
        !self.mix.reserves(&slots.endpoint.id, self.limits.reserve) || slots.only_long()
    }

    fn grant(&mut self, now: Time, waiting: &Waiting, id: &EndpointId) -> Action {
        let ask = &waiting.ask;
        let cached = self.affinity.hit(now, id, ask.prefix).min(ask.size.prompt);
        let (mut address, mut zone) = (String::new(), ZoneId::from(""));
        if let Some(slots) = self.slots.get_mut(id) {
            slots.grant(now, ask.ticket, ask.size, waiting.deadline, cached);
            address.clone_from(&slots.endpoint.address);
            zone = slots.endpoint.zone.clone();
        }
        self.affinity.sent(now, id, ask.prefix, ask.ticket, ask.size.prompt);
        self.placed.insert(ask.ticket, id.clone());
        let waited = now.since(waiting.since);
        Action::Grant { ticket: ask.ticket, endpoint: id.clone(), zone, address, waited }
    }

    fn enqueue(&mut self, waiting: Waiting) {
        let ask = &waiting.ask;
        let item = Queued {
            ticket: ask.ticket,
            customer: ask.customer.clone(),
            weight: ask.weight,
            class: ask.size.class(),
            cost: ask.size.memory(),
            deadline: waiting.deadline,
        };
        self.queues.entry(ask.model.clone()).or_default().push(item);
        self.waiting.insert(ask.ticket, waiting);
    }

    fn withdraw(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        self.queues.get_mut(&waiting.ask.model)?.remove(ticket);
        Some(waiting)
    }

    /// Grants what the windows allow, in the queue's order.
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
                let refusal = Refusal::NoEndpoint { retry: RETRY_MIN };
                self.withdraw(ticket);
                actions.push(Action::Refuse { ticket, refusal });
                continue;
            }
            let Some(endpoint) = self.best(now, &waiting.ask) else {
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

    /// Refuses waiting requests that can't finish any more.
    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        let late: Vec<_> = self
            .waiting
            .values()
            .filter(|w| now + self.shortest(w) > w.deadline)
            .map(|w| w.ask.ticket)
            .collect();
        for ticket in late {
            self.withdraw(ticket);
            actions.push(Action::Refuse { ticket, refusal: Refusal::Expired { retry: RETRY_MIN } });
        }
    }

    /// Drops grants whose entry died: past their deadline the endpoint has stopped them.
    fn forget_orphans(&mut self, now: Time) {
        for slots in self.slots.values_mut() {
            if slots.last_deadline().is_none() {
                continue;
            }
            let dead: Vec<_> = slots
                .flights
                .iter()
                .filter(|(_, f)| now > f.deadline + ORPHAN_GRACE)
                .map(|(t, _)| *t)
                .collect();
            for ticket in dead {
                slots.release(ticket);
                self.placed.remove(&ticket);
            }
        }
    }

    /// Calls back what a closed window has no room for.
    fn recall(&mut self, id: &EndpointId, cause: Cause, actions: &mut Vec<Action>) {
        actions.push(Action::Reset { endpoint: id.clone(), cause });
        let Some(slots) = self.slots.get_mut(id) else {
            return;
        };
        for ticket in slots.excess(self.share) {
            slots.release(ticket);
            self.placed.remove(&ticket);
            actions.push(Action::Recall { ticket, endpoint: id.clone(), cause });
        }
    }
}
