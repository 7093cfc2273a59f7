//! The actor that keeps the membership.

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

/// Time limit of a direct probe.
const PROBE_LIMIT: Duration = Duration::from_millis(500);
/// Time limit of a probe through another member.
const REACH_LIMIT: Duration = Duration::from_secs(1);

/// Keeper of the membership.
#[derive(Actor)]
pub(crate) struct MembersActor {
    core: Members,
    shared: Arc<Shared>,
    committer: ActorRef<Committer>,
}

/// News from a peer; the reply is this instance's.
pub(crate) struct Heard(pub(crate) Gossip);

/// An answer to a probe that was sent at `asked`.
pub(crate) struct Answered {
    asked: Time,
    gossip: Gossip,
}

/// A member answered neither directly nor through others.
pub(crate) struct Unreachable(InstanceId);

/// All members that a peer knows.
pub(crate) struct Learned(Vec<Member>);

/// The platform's list.
pub(crate) struct Listed(pub(crate) BTreeMap<InstanceId, SocketAddr>);

/// Models of which this instance owns endpoints.
pub(crate) struct Owns(pub(crate) ModelSet);

/// This instance is leaving, or has left.
pub(crate) struct Leave(pub(crate) Health);

/// Time passes.
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

    /// Shows the members to the rest of the instance.
    fn publish(&self) {
        let share = self.core.share();
        let roster = Roster { members: self.core.all().cloned().collect(), share: Some(share) };
        self.shared.roster.send_replace(Arc::new(roster));
        self.assure();
    }

    fn assure(&self) {
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
        let helpers = self.core.indirect_probers(&target.id);
        let newcomer = self.core.all().count() == 1;
        let (shared, me) = (self.shared.clone(), me.clone());
        tokio::spawn(async move {
            let links = &shared.adapters.links;
            let asked = shared.clock.now();
            match links.call(&target, Request::Gossip(gossip), PROBE_LIMIT).await {
                Ok(Reply::Gossip(gossip)) => {
                    let _ = me.tell(Answered { asked, gossip }).await;
                    if newcomer
                        && let Ok(Reply::Roster(all)) =
                            links.call(&target, Request::Roster, REACH_LIMIT).await
                    {
                        let _ = me.tell(Learned(all)).await;
                    }
                }
                answer => {
                    debug!(peer:% = target.id; "probe: {answer:?}");
                    if !reached_by_others(&shared, &target, helpers).await {
                        let _ = me.tell(Unreachable(target.id)).await;
                    }
                }
            }
        });
    }

    /// Takes in what rides on a message.
    fn hear(&mut self, gossip: Gossip, me: &ActorRef<Self>) {
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

/// Whether some helper reaches `target`.
async fn reached_by_others(shared: &Shared, target: &Target, helpers: Vec<(InstanceId, SocketAddr)>) -> bool {
    let calls = helpers.into_iter().map(|(id, address)| async move {
        let helper = Target { id, address };
        let request = Request::Reach { peer: target.id.clone(), address: target.address };
        matches!(shared.adapters.links.call(&helper, request, REACH_LIMIT).await, Ok(Reply::Reached(true)))
    });
    futures::future::join_all(calls).await.into_iter().any(|reached| reached)
}

impl Message<Heard> for MembersActor {
    type Reply = Result<Gossip, Infallible>;

    async fn handle(&mut self, msg: Heard, ctx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.hear(msg.0, ctx.actor_ref());
        Ok(self.gossip())
    }
}

impl Message<Answered> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, msg: Answered, ctx: &mut Context<Self, Self::Reply>) {
        if let Some(fresh) = msg.gossip.fresh {
            lock(&self.shared.config.tracker).record_peer_assurance(msg.asked, fresh);
        }
        let alive = self.core.all().any(|m| m.id == msg.gossip.from);
        self.hear(msg.gossip, ctx.actor_ref());
        if alive {
            self.assure();
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

impl Message<Learned> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, msg: Learned, ctx: &mut Context<Self, Self::Reply>) {
        let actions = self.core.apply_roster(self.shared.clock.now(), msg.0);
        self.perform(actions, ctx.actor_ref());
    }
}

impl Message<Listed> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, msg: Listed, ctx: &mut Context<Self, Self::Reply>) {
        let actions = self.core.set_listed(msg.0);
        self.perform(actions, ctx.actor_ref());
        self.publish();
    }
}

impl Message<Owns> for MembersActor {
    type Reply = ();

    async fn handle(&mut self, msg: Owns, _: &mut Context<Self, Self::Reply>) {
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
        // The watchers need not find out by themselves.
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
            // The only instance on the roster has nobody to hear from.
            self.assure();
        }
    }
}
