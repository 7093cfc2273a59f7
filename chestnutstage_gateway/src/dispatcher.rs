//! The actor that keeps the pool: it hands the time in and carries no decision of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::catalog::Directory;
use chestnutstage_core::ids::{InstanceId, ModelId, ZoneId};
use chestnutstage_core::pool::{Demand, Key, Listing, Placement, Pool, Refusal, Snapshot};
use chestnutstage_core::time::Time;
use kameo::Actor;
use kameo::message::{Context, Message};
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::external::{Fact, LoadReport};
use crate::settings::Bounds;

/// Keeper of the pool.
#[derive(Actor)]
pub(crate) struct Dispatcher {
    pool: Pool,
    clock: Clock,
    bounds: Bounds,
    granted: Arc<Notify>,
}

impl Dispatcher {
    /// A dispatcher of an instance in `zone`; `granted` is notified of each new grant.
    pub(crate) fn new(zone: ZoneId, clock: Clock, bounds: Bounds, granted: Arc<Notify>) -> Self {
        Self { pool: Pool::new(zone, rand::random()), clock, bounds, granted }
    }
}

/// A [`Demand`] that owns its parts.
#[derive(Debug, Clone)]
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

impl Message<Place> for Dispatcher {
    type Reply = Result<Placement, Refusal>;

    async fn handle(&mut self, msg: Place, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let demand = Demand {
            service: &msg.service,
            tokens: msg.tokens,
            output: msg.output,
            first: msg.first,
            gap: msg.gap,
            remaining: msg.remaining,
            tried: &msg.tried,
            jitter: msg.jitter,
        };
        let placement = self.pool.place(self.clock.now(), &demand)?;
        self.granted.notify_one();
        Ok(placement)
    }
}

/// Whether work may still be sent to an endpoint.
pub(crate) struct IsOpen(pub(crate) Key);

impl Message<IsOpen> for Dispatcher {
    type Reply = bool;

    async fn handle(&mut self, msg: IsOpen, _: &mut Context<Self, Self::Reply>) -> bool {
        self.pool.is_open(self.clock.now(), msg.0)
    }
}

/// Whether an engine took a request long ago and answers nothing since.
pub(crate) struct IsSilent(pub(crate) Key);

impl Message<IsSilent> for Dispatcher {
    type Reply = bool;

    async fn handle(&mut self, msg: IsSilent, _: &mut Context<Self, Self::Reply>) -> bool {
        self.pool.is_unresponsive(self.clock.now(), msg.0)
    }
}

/// The first event of a grant came.
pub(crate) struct Begun(pub(crate) u64);

impl Message<Begun> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: Begun, _: &mut Context<Self, Self::Reply>) {
        self.pool.record_first_event(self.clock.now(), msg.0);
    }
}

/// A grant has ended.
pub(crate) struct Ended(pub(crate) u64);

impl Message<Ended> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: Ended, _: &mut Context<Self, Self::Reply>) {
        self.pool.end_grant(msg.0);
    }
}

/// An endpoint failed.
pub(crate) struct Failed(pub(crate) Key);

impl Message<Failed> for Dispatcher {
    /// Milliseconds for which it gets nothing new.
    type Reply = u64;

    async fn handle(&mut self, msg: Failed, _: &mut Context<Self, Self::Reply>) -> u64 {
        self.pool.record_failure(self.clock.now(), msg.0).as_millis() as u64
    }
}

/// The endpoint at an address failed.
pub(crate) struct FailedAt(pub(crate) SocketAddr);

impl Message<FailedAt> for Dispatcher {
    type Reply = bool;

    async fn handle(&mut self, msg: FailedAt, _: &mut Context<Self, Self::Reply>) -> bool {
        let Some(key) = self.pool.find_by_address(msg.0) else { return false };
        self.pool.record_failure(self.clock.now(), key);
        true
    }
}

/// The store says something of endpoints.
pub(crate) struct Listings {
    pub(crate) facts: Vec<Fact>,
    /// Whether the facts are all there is.
    pub(crate) whole: bool,
    /// Whether the list was out of reach just before.
    pub(crate) outage: bool,
}

impl Message<Listings> for Dispatcher {
    type Reply = usize;

    async fn handle(&mut self, msg: Listings, _: &mut Context<Self, Self::Reply>) -> usize {
        let now = self.clock.now();
        if msg.whole {
            let named = |id: &_| msg.facts.iter().any(|f| matches!(f, Fact::Listed(l) if l.id == *id));
            let gone: Vec<_> = self.pool.listed().filter(|id| !named(id)).cloned().collect();
            for id in gone {
                self.pool.remove_listing(now, &id, msg.outage);
            }
        }
        for fact in msg.facts {
            match fact {
                Fact::Listed(listing) => _ = self.pool.update_listing(now, listing),
                Fact::Unlisted(id) => self.pool.remove_listing(now, &id, msg.outage),
                _ => {}
            }
        }
        self.pool.listed().count()
    }
}

/// Another version of the catalog, or other zones taken out.
pub(crate) struct Rules {
    pub(crate) directory: Arc<Directory>,
    pub(crate) zones_out: Vec<ZoneId>,
}

impl Message<Rules> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: Rules, _: &mut Context<Self, Self::Reply>) {
        for (id, service) in &msg.directory.catalog().services {
            let rate = service.cold.per_second * self.bounds.cold_factor + self.bounds.cold_extra;
            let rate = if service.cold.per_second > 0.0 { rate } else { 0.0 };
            self.pool.set_service(id.clone(), service.engine, rate);
        }
        self.pool.set_zones_out(msg.zones_out);
    }
}

/// Number of instances of the deployment that are known.
pub(crate) struct Instances(pub(crate) usize);

impl Message<Instances> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: Instances, _: &mut Context<Self, Self::Reply>) {
        self.pool.set_instances(msg.0);
    }
}

/// A peer tells of itself.
pub(crate) struct Heard {
    pub(crate) peer: InstanceId,
    pub(crate) sent: Time,
    pub(crate) snapshot: Snapshot,
}

impl Message<Heard> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: Heard, _: &mut Context<Self, Self::Reply>) {
        self.pool.apply_snapshot(self.clock.now(), msg.peer, msg.sent, msg.snapshot);
    }
}

/// A peer says that it leaves.
pub(crate) struct PeerLeft(pub(crate) InstanceId);

impl Message<PeerLeft> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, msg: PeerLeft, _: &mut Context<Self, Self::Reply>) {
        self.pool.remove_peer(&msg.0);
    }
}

/// Asks for what this instance tells its peers.
pub(crate) struct Tell;

impl Message<Tell> for Dispatcher {
    type Reply = Option<Snapshot>;

    async fn handle(&mut self, _: Tell, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.clock.now();
        self.pool.remove_expired(now);
        Some(self.pool.snapshot(now))
    }
}

/// An engine reported its load; gives the memory and the requests that the pool believes it to hold.
pub(crate) struct Reported(pub(crate) Key, pub(crate) LoadReport);

impl Message<Reported> for Dispatcher {
    type Reply = Option<(u64, u32)>;

    async fn handle(&mut self, msg: Reported, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.clock.now();
        self.pool.set_pace(now, msg.0, msg.1.pace);
        Some(self.pool.estimated_usage(now, msg.0))
    }
}

/// Asks for the model engines.
pub(crate) struct ListEngines;

impl Message<ListEngines> for Dispatcher {
    type Reply = Vec<(Key, Listing)>;

    async fn handle(&mut self, _: ListEngines, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.pool.engines().map(|(key, listing)| (key, listing.clone())).collect()
    }
}

/// Asks for the state, as text.
pub(crate) struct Dump;

impl Message<Dump> for Dispatcher {
    type Reply = String;

    async fn handle(&mut self, _: Dump, _: &mut Context<Self, Self::Reply>) -> String {
        format!("{:#?}", self.pool)
    }
}
