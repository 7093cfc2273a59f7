//! The actor that owns this instance's endpoints.

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
/// Interval at which a waiting request hears that it still waits.
const QUEUED_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between reads while the endpoint must show that it is alive.
const DOUBT_INTERVAL: Duration = Duration::from_millis(250);

/// Owner of endpoints.
#[derive(Actor)]
pub(crate) struct OwnerActor {
    core: Owner,
    shared: Arc<Shared>,
    entries: HashMap<Ticket, Entry>,
    polls: HashMap<EndpointId, Time>,
}

/// Who waits for an owner's word.
struct Entry {
    model: ModelId,
    words: mpsc::UnboundedSender<OwnerMessage>,
    granted: bool,
    /// When it last heard a word.
    told: Time,
}

/// A request for an endpoint.
pub(crate) struct Submit {
    pub(crate) ask: GrantRequest,
    pub(crate) remaining: Duration,
    pub(crate) words: mpsc::UnboundedSender<OwnerMessage>,
}

/// What an entry says; nothing if it is gone without a word.
pub(crate) struct Tell {
    pub(crate) ticket: Ticket,
    pub(crate) word: Option<EntryMessage>,
}

/// What this instance owns, and what of it is in service.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct View {
    pub(crate) owned: Vec<Endpoint>,
    pub(crate) out: BTreeSet<EndpointId>,
    pub(crate) share: Share,
    pub(crate) limits: Limits,
}

/// A load report, or none if it could not be read.
pub(crate) struct Polled {
    endpoint: EndpointId,
    report: Option<Report>,
}

/// Time passes.
pub(crate) struct Tick;

/// Asks for a dump of the state.
pub(crate) struct Dump;

/// Asks whether nothing runs or waits.
pub(crate) struct IsIdle;

impl OwnerActor {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { core: Owner::new(Limits::default()), shared, entries: HashMap::new(), polls: HashMap::new() }
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
                let _ = entry.words.send(OwnerMessage::Granted { endpoint, zone, address, waited, summary });
            }
            Action::Refuse { ticket, refusal } => {
                let Some(entry) = self.entries.remove(&ticket) else {
                    return;
                };
                let summary = self.core.summary(&entry.model);
                let _ = entry.words.send(OwnerMessage::Refused { refusal, summary });
            }
            Action::Recall { ticket, endpoint, cause } => {
                let Some(entry) = self.entries.remove(&ticket) else {
                    return;
                };
                self.shared.journal.request(ticket.request, Decision::Recalled { endpoint, cause });
                let _ = entry.words.send(OwnerMessage::Recalled(cause));
            }
            Action::Reset { endpoint, cause } => {
                self.shared.journal.fleet(Decision::Reset { endpoint, cause });
            }
            Action::Probe { endpoint } => self.poll(&endpoint, me),
        }
    }

    /// Reads an endpoint's load report in the background.
    fn poll(&mut self, id: &EndpointId, me: &ActorRef<Self>) {
        let now = self.shared.clock.now();
        self.polls.insert(id.clone(), now);
        let Some(endpoint) = self.core.endpoints().find(|e| e.id == *id).cloned() else {
            return;
        };
        let (engines, me) = (self.shared.adapters.engines.clone(), me.clone());
        tokio::spawn(async move {
            let report = match endpoint.kind {
                Kind::Engine => engines.load(&endpoint.address).await.ok(),
                // A plain service reports no load; its capacity does not change.
                Kind::Service => Some(Report { boot: BootId(0), cold: false, running: 0, held: Tokens(0) }),
            };
            let _ = me.tell(Polled { endpoint: endpoint.id, report }).await;
        });
    }

    fn poll_due(&mut self, me: &ActorRef<Self>) {
        let now = self.shared.clock.now();
        let doubtful: HashSet<_> = self.core.unverified().cloned().collect();
        let due = |id: &EndpointId, polls: &HashMap<EndpointId, Time>| {
            let interval = if doubtful.contains(id) { DOUBT_INTERVAL } else { POLL_INTERVAL };
            polls.get(id).is_none_or(|at| now.since(*at) >= interval)
        };
        let ids: Vec<_> =
            self.core.endpoints().map(|e| e.id.clone()).filter(|id| due(id, &self.polls)).collect();
        for id in ids {
            self.poll(&id, me);
        }
    }

    /// Tells those that wait that they still do, so that they don't take the silence for the owner's death.
    fn reassure(&mut self) {
        let now = self.shared.clock.now();
        for entry in self.entries.values_mut() {
            if !entry.granted && now.since(entry.told) >= QUEUED_INTERVAL {
                entry.told = now;
                let _ = entry.words.send(OwnerMessage::Queued);
            }
        }
    }

    /// Journals what is taken over and what is given up.
    fn note_ownership(&self, view: &View) {
        let had: BTreeSet<_> = self.core.endpoints().map(|e| e.id.clone()).collect();
        let has: BTreeSet<_> = view.owned.iter().map(|e| e.id.clone()).collect();
        for endpoint in has.difference(&had).cloned() {
            self.shared.journal.fleet(Decision::Adopted { endpoint, former: true });
        }
        for endpoint in had.difference(&has).cloned() {
            self.shared.journal.fleet(Decision::Dropped { endpoint });
        }
    }
}

impl Message<Submit> for OwnerActor {
    type Reply = ();

    async fn handle(&mut self, msg: Submit, ctx: &mut Context<Self, Self::Reply>) {
        let now = self.shared.clock.now();
        let entry = Entry { model: msg.ask.model.clone(), words: msg.words, granted: false, told: now };
        self.entries.insert(msg.ask.ticket, entry);
        let actions = self.core.request(now, msg.ask, now + msg.remaining);
        self.perform(actions, ctx.actor_ref());
    }
}

impl Message<Tell> for OwnerActor {
    type Reply = ();

    async fn handle(&mut self, msg: Tell, ctx: &mut Context<Self, Self::Reply>) {
        let now = self.shared.clock.now();
        let ticket = msg.ticket;
        let actions = match msg.word {
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

impl Message<View> for OwnerActor {
    type Reply = Result<ModelSet, Infallible>;

    async fn handle(&mut self, view: View, ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.shared.clock.now();
        self.note_ownership(&view);
        self.core.set_limits(view.limits);
        self.core.set_share(view.share);
        let keep: HashSet<_> = view.owned.iter().map(|e| e.id.clone()).collect();
        for endpoint in view.owned {
            let id = endpoint.id.clone();
            self.core.adopt(now, endpoint, true);
            let service = if view.out.contains(&id) { Service::Out } else { Service::In };
            let actions = self.core.set_service(now, &id, service);
            self.perform(actions, ctx.actor_ref());
        }
        let actions = self.core.retain(now, |id| keep.contains(id));
        self.perform(actions, ctx.actor_ref());
        self.polls.retain(|id, _| keep.contains(id));
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
        self.reassure();
        gauge!("chestnutstage_queued_requests").set(self.core.queued() as f64);
        let gone: Vec<_> =
            self.entries.iter().filter(|(_, e)| e.words.is_closed()).map(|(t, _)| *t).collect();
        for ticket in gone {
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
