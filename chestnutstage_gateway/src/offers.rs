//! Placements that the pool of this instance offers, and claims of engines' last slots.

use std::time::Duration;

use chestnutstage_core::ids::{InstanceId, ModelId};
use chestnutstage_core::pool::{Demand, Grant, Key, LimitReport, Placement, Refusal};
use chestnutstage_core::time::Time;
use chestnutstage_core::waiting::Entry;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use serde::{Deserialize, Serialize};

use crate::dispatcher::Dispatcher;
use crate::held_grant::HeldGrant;

/// Requests a placement; the fields are those of [`Demand`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Place {
    pub(crate) service: ModelId,
    pub(crate) tokens: u64,
    pub(crate) output: u64,
    pub(crate) first: Duration,
    pub(crate) gap: Duration,
    pub(crate) remaining: Duration,
    pub(crate) tried: Vec<Key>,
    pub(crate) jitter: f64,
}

impl Place {
    /// The demand after `age` since it was asked for.
    pub(crate) fn demand(&self, age: Duration) -> Demand<'_> {
        Demand {
            service: &self.service,
            tokens: self.tokens,
            output: self.output,
            first: self.first.saturating_sub(age),
            gap: self.gap,
            remaining: self.remaining.saturating_sub(age),
            tried: &self.tried,
            jitter: self.jitter,
        }
    }
}

/// A placement with its grant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Granted {
    pub(crate) placement: Placement,
    pub(crate) grant: Grant,
    /// Time of the planner's clock, to which the grant's times refer.
    pub(crate) now: Time,
    /// Limits of the endpoints, each of which needs a permit.
    pub(crate) limits: Vec<LimitReport>,
}

/// A placement of this instance's pool.
#[derive(Debug)]
pub(crate) struct Offer {
    pub(crate) granted: Granted,
    pub(crate) held: HeldGrant,
    /// Engine with few free slots, and its home planner, which has to agree.
    pub(crate) claim: Option<(Key, InstanceId)>,
    /// The request, if it counts as placed only once claims and permits are obtained.
    pub(crate) entry: Option<Box<Entry>>,
}

impl Message<Place> for Dispatcher {
    type Reply = Result<Offer, Refusal>;

    async fn handle(&mut self, msg: Place, context: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.offer(self.clock.now(), &msg.demand(Duration::ZERO), context.actor_ref())
    }
}

impl Dispatcher {
    /// Places a request by the pool.
    pub(crate) fn offer(
        &mut self,
        now: Time,
        demand: &Demand<'_>,
        own: &ActorRef<Self>,
    ) -> Result<Offer, Refusal> {
        let placement = self.pool.place(now, demand)?;
        self.granted.notify_one();
        let held = HeldGrant { dispatcher: own.clone(), number: placement.number };
        let grant = self.pool.grant(placement.number).expect("the grant was just recorded").clone();
        let limits = self.pool.limits_on(&grant);
        let claim = self.pool.claim_needed(&grant).map(|(key, home)| (key, home.clone()));
        Ok(Offer { granted: Granted { placement, grant, now, limits }, held, claim, entry: None })
    }
}

/// Asks for agreement to a placement of `planner` on one of the last slots of an engine.
pub(crate) struct ClaimSlot {
    pub(crate) key: Key,
    pub(crate) planner: InstanceId,
}

impl Message<ClaimSlot> for Dispatcher {
    type Reply = bool;

    async fn handle(&mut self, msg: ClaimSlot, _: &mut Context<Self, Self::Reply>) -> bool {
        self.pool.claim_slot(self.clock.now(), msg.key, &msg.planner)
    }
}

/// Records that the home planner of an engine did not agree to a placement.
pub(crate) struct ClaimDenied(pub(crate) Key);

impl Message<ClaimDenied> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: ClaimDenied, _: &mut Context<Self, Self::Reply>) {
        self.pool.record_denial(self.clock.now(), msg.0);
    }
}
