//! Actor for the endpoints that this instance owns.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::Service;
use chestnutstage_core::decision::Decision;
use chestnutstage_core::endpoint::{Endpoint, Kind, Report};
use chestnutstage_core::ids::{BootId, EndpointId, ModelId, Ticket};
use chestnutstage_core::length::Tokens;
use chestnutstage_core::members::ModelSet;
use chestnutstage_core::owner::{Action, End, GrantRequest, Limits, Owner};
use chestnutstage_core::time::Time;
use chestnutstage_core::window::Share;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use metrics::{counter, gauge};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::link::message::{EntryMessage, OwnerMessage};
use crate::shared::Shared;

/// Interval between reads of an endpoint's load report.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between messages to the entry of a queued request.
const QUEUED_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between reads of the load report while the endpoint's boot id is not confirmed.
const VERIFY_INTERVAL: Duration = Duration::from_millis(250);

/// Owner of the endpoints of this instance.
#[derive(Actor)]
pub(crate) struct OwnerActor {
    core: Owner,
    shared: Arc<Shared>,
    entries: HashMap<Ticket, EntryChannel>,
    /// Time of the last read of each endpoint's load report.
    last_polls: HashMap<EndpointId, Time>,
}

/// Channel to the entry of a queued or granted request.
struct EntryChannel {
    model: ModelId,
    messages: mpsc::UnboundedSender<OwnerMessage>,
    granted: bool,
    /// Time of the request or of the last [`OwnerMessage::Queued`].
    last_message: Time,
}

/// A request for a grant.
pub(crate) struct Submit {
    pub(crate) request: GrantRequest,
    pub(crate) remaining: Duration,
    pub(crate) messages: mpsc::UnboundedSender<OwnerMessage>,
}

/// Message from an entry; `None` if the connection to it was lost.
pub(crate) struct EntryReport {
    pub(crate) ticket: Ticket,
    pub(crate) message: Option<EntryMessage>,
}

/// Endpoints that this instance owns, and the settings for them.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Ownership {
    pub(crate) owned: Vec<Endpoint>,
    /// Owned endpoints that are out of service.
    pub(crate) out: BTreeSet<EndpointId>,
    pub(crate) share: Share,
    pub(crate) limits: Limits,
}

/// Load report of an endpoint; `None` if it could not be read.
pub(crate) struct Polled {
    endpoint: EndpointId,
    report: Option<Report>,
}

/// Periodic tick.
pub(crate) struct Tick;

/// Request for a dump of the state.
pub(crate) struct Dump;

/// Asks whether no request is granted or queued.
pub(crate) struct IsIdle;

impl OwnerActor {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            core: Owner::new(Limits::default()),
            shared,
            entries: HashMap::new(),
            last_polls: HashMap::new(),
        }
    }

    fn perform(&mut self, actions: Vec<Action>, me: &ActorRef<Self>) {
        for action in actions {
            self.perform_one(action, me);
        }
    }

    fn perform_one(&mut self, action: Action, me: &ActorRef<Self>) {
        match action {
            Action::Grant { ticket, endpoint, zone, address, waited } => {
                let Some(entry) = self.entries.get_mut(&ticket) else {
                    return;
                };
                entry.granted = true;
                let summary = self.core.summary(&entry.model);
                counter!("chestnutstage_grants_total").increment(1);
                let _ =
                    entry.messages.send(OwnerMessage::Granted { endpoint, zone, address, waited, summary });
            }
            Action::Refuse { ticket, refusal } => {
                let Some(entry) = self.entries.remove(&ticket) else {
                    return;
                };
                let summary = self.core.summary(&entry.model);
                let _ = entry.messages.send(OwnerMessage::Refused { refusal, summary });
            }
            Action::Recall { ticket, endpoint, cause } => {
                let Some(entry) = self.entries.remove(&ticket) else {
                    return;
                };
                self.shared.journal.record_request(ticket.request, Decision::Recalled { endpoint, cause });
                let _ = entry.messages.send(OwnerMessage::Recalled(cause));
            }
            Action::Reset { endpoint, cause } => {
                self.shared.journal.record_fleet(Decision::Reset { endpoint, cause });
            }
            Action::Probe { endpoint } => self.poll(&endpoint, me),
        }
    }

    /// Reads an endpoint's load report in the background.
    fn poll(&mut self, id: &EndpointId, me: &ActorRef<Self>) {
        let now = self.shared.clock.now();
        self.last_polls.insert(id.clone(), now);
        let Some(endpoint) = self.core.endpoints().find(|e| e.id == *id).cloned() else {
            return;
        };
        let (engines, me) = (self.shared.adapters.engines.clone(), me.clone());
        tokio::spawn(async move {
            let report = match endpoint.kind {
                Kind::Engine => engines.load(&endpoint.address).await.ok(),
                // A plain service has no load report, and its capacity does not change.
                Kind::Service => Some(Report { boot: BootId(0), cold: false, running: 0, held: Tokens(0) }),
            };
            let _ = me.tell(Polled { endpoint: endpoint.id, report }).await;
        });
    }

    fn poll_due(&mut self, me: &ActorRef<Self>) {
        let now = self.shared.clock.now();
        let unverified: HashSet<_> = self.core.unverified().cloned().collect();
        let due = |id: &EndpointId, polls: &HashMap<EndpointId, Time>| {
            let interval = if unverified.contains(id) { VERIFY_INTERVAL } else { POLL_INTERVAL };
            polls.get(id).is_none_or(|at| now.since(*at) >= interval)
        };
        let ids: Vec<_> =
            self.core.endpoints().map(|e| e.id.clone()).filter(|id| due(id, &self.last_polls)).collect();
        for id in ids {
            self.poll(&id, me);
        }
    }

    /// Sends [`OwnerMessage::Queued`] for queued requests, so that their entries don't count the owner as lost.
    fn send_queued(&mut self) {
        let now = self.shared.clock.now();
        for entry in self.entries.values_mut() {
            if !entry.granted && now.since(entry.last_message) >= QUEUED_INTERVAL {
                entry.last_message = now;
                let _ = entry.messages.send(OwnerMessage::Queued);
            }
        }
    }

    /// Records the endpoints that are adopted and dropped.
    fn record_ownership(&self, ownership: &Ownership) {
        let had: BTreeSet<_> = self.core.endpoints().map(|e| e.id.clone()).collect();
        let has: BTreeSet<_> = ownership.owned.iter().map(|e| e.id.clone()).collect();
        for endpoint in has.difference(&had).cloned() {
            self.shared.journal.record_fleet(Decision::Adopted { endpoint, former: true });
        }
        for endpoint in had.difference(&has).cloned() {
            self.shared.journal.record_fleet(Decision::Dropped { endpoint });
        }
    }
}

impl Message<Submit> for OwnerActor {
    type Reply = ();

    async fn handle(&mut self, msg: Submit, ctx: &mut Context<Self, Self::Reply>) {
        let now = self.shared.clock.now();
        let entry = EntryChannel {
            model: msg.request.model.clone(),
            messages: msg.messages,
            granted: false,
            last_message: now,
        };
        self.entries.insert(msg.request.ticket, entry);
        let actions = self.core.request(now, msg.request, now + msg.remaining);
        self.perform(actions, ctx.actor_ref());
    }
}

impl Message<EntryReport> for OwnerActor {
    type Reply = ();

    async fn handle(&mut self, msg: EntryReport, ctx: &mut Context<Self, Self::Reply>) {
        let now = self.shared.clock.now();
        let ticket = msg.ticket;
        let actions = match msg.message {
            Some(EntryMessage::Started { cached, boot }) => {
                let mut actions = self.core.record_first_token(now, ticket, cached);
                if let Some(endpoint) = self.core.granted_endpoint(ticket).cloned() {
                    actions.extend(self.core.record_boot(now, &endpoint, boot));
                }
                actions
            }
            Some(EntryMessage::Ended(end)) => {
                self.entries.remove(&ticket);
                self.core.release(now, ticket, end)
            }
            None => {
                self.entries.remove(&ticket);
                self.core.orphan(now, ticket)
            }
        };
        self.perform(actions, ctx.actor_ref());
    }
}

impl Message<Ownership> for OwnerActor {
    type Reply = Result<ModelSet, Infallible>;

    async fn handle(&mut self, ownership: Ownership, ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.shared.clock.now();
        self.record_ownership(&ownership);
        self.core.set_limits(ownership.limits);
        self.core.set_share(ownership.share);
        let keep: HashSet<_> = ownership.owned.iter().map(|e| e.id.clone()).collect();
        for endpoint in ownership.owned {
            let id = endpoint.id.clone();
            self.core.adopt(now, endpoint, true);
            let service = if ownership.out.contains(&id) { Service::Out } else { Service::In };
            let actions = self.core.set_service(now, &id, service);
            self.perform(actions, ctx.actor_ref());
        }
        let actions = self.core.retain(now, |id| keep.contains(id));
        self.perform(actions, ctx.actor_ref());
        self.last_polls.retain(|id, _| keep.contains(id));
        self.poll_due(ctx.actor_ref());
        gauge!("chestnutstage_owned_endpoints").set(keep.len() as f64);
        Ok(ModelSet::of(self.core.models()))
    }
}

impl Message<Polled> for OwnerActor {
    type Reply = ();

    async fn handle(&mut self, msg: Polled, ctx: &mut Context<Self, Self::Reply>) {
        let Some(report) = msg.report else { return };
        let now = self.shared.clock.now();
        let actions = self.core.report(now, &msg.endpoint, report);
        self.perform(actions, ctx.actor_ref());
    }
}

impl Message<Tick> for OwnerActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, ctx: &mut Context<Self, Self::Reply>) {
        let now = self.shared.clock.now();
        let actions = self.core.tick(now);
        self.perform(actions, ctx.actor_ref());
        self.poll_due(ctx.actor_ref());
        self.send_queued();
        gauge!("chestnutstage_queued_requests").set(self.core.queued() as f64);
        let closed: Vec<_> =
            self.entries.iter().filter(|(_, e)| e.messages.is_closed()).map(|(t, _)| *t).collect();
        for ticket in closed {
            self.entries.remove(&ticket);
            let actions = self.core.release(now, ticket, End::Done);
            self.perform(actions, ctx.actor_ref());
        }
    }
}

impl Message<Dump> for OwnerActor {
    type Reply = Result<Value, Infallible>;

    async fn handle(&mut self, _: Dump, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let slots: Vec<_> = self.core.dump().filter_map(|s| serde_json::to_value(s).ok()).collect();
        Ok(json!({"endpoints": slots, "queued": self.core.queued()}))
    }
}

impl Message<IsIdle> for OwnerActor {
    type Reply = bool;

    async fn handle(&mut self, _: IsIdle, _: &mut Context<Self, Self::Reply>) -> bool {
        self.core.is_idle()
    }
}
