//! Actor that maintains the membership.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::decision::Decision;
use chestnutstage_core::ids::InstanceId;
use chestnutstage_core::members::{Action, Gossip, Health, Member, Members, ModelSet};
use chestnutstage_core::time::Time;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use log::debug;

use super::committer::{CatchUp, Committer};
use crate::link::message::{Reply, Request, Target};
use crate::shared::{Roster, Shared, lock};

/// Timeout of a direct probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a probe through another member, and of the request for a roster.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maintains the membership.
#[derive(Actor)]
pub(crate) struct MembersActor {
    core: Members,
    shared: Arc<Shared>,
    committer: ActorRef<Committer>,
}

/// Gossip from a peer; the reply is this instance's gossip.
pub(crate) struct GossipReceived(pub(crate) Gossip);

/// Answer to a probe that was sent at `asked`.
pub(crate) struct Answered {
    asked: Time,
    gossip: Gossip,
}

/// A member answered neither direct nor indirect probes.
pub(crate) struct Unreachable(InstanceId);

/// Roster of a peer.
pub(crate) struct RosterReceived(Vec<Member>);

/// Instances on the platform's list, or the seeds from the settings until it can be read.
pub(crate) struct SetListed(pub(crate) BTreeMap<InstanceId, SocketAddr>);

/// Models of which this instance owns endpoints.
pub(crate) struct OwnedModels(pub(crate) ModelSet);

/// This instance is leaving, or has left.
pub(crate) struct Leave(pub(crate) Health);

/// Periodic tick.
pub(crate) struct Tick;

impl MembersActor {
    pub(crate) fn new(shared: Arc<Shared>, committer: ActorRef<Committer>, me: Member) -> Self {
        let core = Members::new(shared.clock.now(), me);
        Self { core, shared, committer }
    }

    fn perform(&mut self, actions: Vec<Action>, me: &ActorRef<Self>) {
        let mut changed = false;
        for action in actions {
            match action {
                Action::Probe { peer, address } => self.probe(Target { id: peer, address }, me),
                Action::Changed { peer, health } => {
                    changed = true;
                    self.shared.journal.record_fleet(Decision::Member { peer, health });
                }
            }
        }
        if changed {
            self.publish();
        }
    }

    /// Publishes the members to the other parts of the instance.
    fn publish(&self) {
        let share = self.core.share();
        let roster = Roster { members: self.core.all().cloned().collect(), share: Some(share) };
        self.shared.roster.send_replace(Arc::new(roster));
        self.update_share();
    }

    /// Records the fraction of the roster that is alive.
    fn update_share(&self) {
        lock(&self.shared.config.tracker).set_share(self.shared.clock.now(), self.core.share());
    }

    fn gossip(&mut self) -> Gossip {
        let now = self.shared.clock.now();
        let tracker = lock(&self.shared.config.tracker);
        Gossip {
            from: self.shared.me().clone(),
            version: tracker.version(),
            fresh: tracker.fresh(now),
            news: self.core.next_updates(),
        }
    }

    /// Probes a member in the background.
    fn probe(&mut self, target: Target, me: &ActorRef<Self>) {
        let gossip = self.gossip();
        let probers = self.core.indirect_probers(&target.id);
        let joining = self.core.all().count() == 1;
        let (shared, me) = (self.shared.clone(), me.clone());
        tokio::spawn(async move {
            let links = &shared.adapters.links;
            let asked = shared.clock.now();
            match links.call(&target, Request::Gossip(gossip), PROBE_TIMEOUT).await {
                Ok(Reply::Gossip(gossip)) => {
                    let _ = me.tell(Answered { asked, gossip }).await;
                    if joining
                        && let Ok(Reply::Roster(all)) =
                            links.call(&target, Request::Roster, INDIRECT_PROBE_TIMEOUT).await
                    {
                        let _ = me.tell(RosterReceived(all)).await;
                    }
                }
                answer => {
                    debug!(peer:% = target.id; "direct probe failed; probing through other members: {answer:?}");
                    if !reached_by_others(&shared, &target, probers).await {
                        let _ = me.tell(Unreachable(target.id)).await;
                    }
                }
            }
        });
    }

    /// Applies the gossip that a message carries.
    fn receive_gossip(&mut self, gossip: Gossip, me: &ActorRef<Self>) {
        let behind = {
            let mut tracker = lock(&self.shared.config.tracker);
            tracker.observe(gossip.version);
            tracker.is_behind()
        };
        if behind {
            let _ = self.committer.tell(CatchUp { peer: gossip.from }).try_send();
        }
        let actions = self.core.apply_updates(self.shared.clock.now(), gossip.news);
        self.perform(actions, me);
    }
}

/// Returns whether any of `probers` reaches `target`.
async fn reached_by_others(shared: &Shared, target: &Target, probers: Vec<(InstanceId, SocketAddr)>) -> bool {
    let calls = probers.into_iter().map(|(id, address)| async move {
        let prober = Target { id, address };
        let request = Request::Reach { peer: target.id.clone(), address: target.address };
        matches!(
            shared.adapters.links.call(&prober, request, INDIRECT_PROBE_TIMEOUT).await,
            Ok(Reply::Reached(true))
        )
    });
    futures::future::join_all(calls).await.into_iter().any(|reached| reached)
}

impl Message<GossipReceived> for MembersActor {
    type Reply = Result<Gossip, Infallible>;

    async fn handle(&mut self, msg: GossipReceived, ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.receive_gossip(msg.0, ctx.actor_ref());
        Ok(self.gossip())
    }
}

impl Message<Answered> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, msg: Answered, ctx: &mut Context<Self, Self::Reply>) {
        if let Some(fresh) = msg.gossip.fresh {
            lock(&self.shared.config.tracker).record_peer_assurance(msg.asked, fresh);
        }
        let known = self.core.all().any(|m| m.id == msg.gossip.from);
        self.receive_gossip(msg.gossip, ctx.actor_ref());
        if known {
            self.update_share();
        }
    }
}

impl Message<Unreachable> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, msg: Unreachable, ctx: &mut Context<Self, Self::Reply>) {
        let actions = self.core.mark_unreachable(self.shared.clock.now(), &msg.0);
        self.perform(actions, ctx.actor_ref());
    }
}

impl Message<RosterReceived> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, msg: RosterReceived, ctx: &mut Context<Self, Self::Reply>) {
        let actions = self.core.apply_roster(self.shared.clock.now(), msg.0);
        self.perform(actions, ctx.actor_ref());
    }
}

impl Message<SetListed> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, msg: SetListed, ctx: &mut Context<Self, Self::Reply>) {
        let actions = self.core.set_listed(msg.0);
        self.perform(actions, ctx.actor_ref());
        self.publish();
    }
}

impl Message<OwnedModels> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, msg: OwnedModels, _: &mut Context<Self, Self::Reply>) {
        if self.core.me().models != msg.0 {
            self.core.set_models(msg.0);
            self.publish();
        }
    }
}

impl Message<Leave> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, msg: Leave, ctx: &mut Context<Self, Self::Reply>) {
        self.core.leave(msg.0);
        self.publish();
        // The gossip on these probes announces the departure, so that members need not detect it by failed probes.
        let targets: Vec<_> = self.core.indirect_probers(self.shared.me());
        for (id, address) in targets {
            self.probe(Target { id, address }, ctx.actor_ref());
        }
    }
}

impl Message<Tick> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, ctx: &mut Context<Self, Self::Reply>) {
        let actions = self.core.tick(self.shared.clock.now());
        self.perform(actions, ctx.actor_ref());
        if self.core.share().roster == 1 {
            // The only instance on the roster gets no answers from peers, which otherwise renew the share.
            self.update_share();
        }
    }
}
