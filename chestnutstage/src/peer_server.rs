//! Server of requests from other instances.

use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::ids::{InstanceId, Ticket};
use chestnutstage_core::owner::GrantRequest;
use futures::FutureExt;
use futures::future::BoxFuture;
use kameo::actor::ActorRef;
use tokio::sync::mpsc;

use crate::actor::members::{GossipReceived, MembersActor};
use crate::actor::owner::{EntryReport, OwnerActor, Submit};
use crate::dump;
use crate::link::PeerHandler;
use crate::link::message::{EntryMessage, OwnerMessage, Reply, Request, Target};
use crate::rate_limiter::RateLimiter;
use crate::rollout;
use crate::shared::{Shared, lock};

/// Timeout of a probe on behalf of another member.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Answers requests from peers.
pub(crate) struct PeerServer {
    pub(crate) shared: Arc<Shared>,
    pub(crate) owner: ActorRef<OwnerActor>,
    pub(crate) members: ActorRef<MembersActor>,
    pub(crate) rate_limiter: Arc<RateLimiter>,
}

impl PeerServer {
    async fn answer(&self, from: &InstanceId, request: Request) -> Reply {
        let shared = &self.shared;
        match request {
            Request::Gossip(gossip) if gossip.from != *from => Reply::Unsupported,
            Request::Gossip(gossip) => match self.members.ask(GossipReceived(gossip)).await {
                Ok(gossip) => Reply::Gossip(gossip),
                Err(_) => Reply::Unsupported,
            },
            Request::Reach { peer, address } => {
                Reply::Reached(self.probe(Target { id: peer, address }).await)
            }
            Request::Roster => Reply::Roster(shared.roster.borrow().members.clone()),
            Request::Changes { after } => shared.config.changes(after, shared.clock.now()),
            Request::Spread { entries, targets } => {
                Reply::Spread { acked: rollout::apply_and_forward(shared, entries, targets).await }
            }
            Request::Borrow { customer, amount } => {
                Reply::Lent(self.rate_limiter.lend(shared, &customer, amount))
            }
            Request::Knows { request } => Reply::Known(lock(&shared.serving).contains(&request)),
            Request::Explain { request } => Reply::Document(dump::explain(shared, request).to_string()),
            Request::State => Reply::Document(dump::state(shared, &self.owner).await.to_string()),
            Request::Version => {
                let ready = shared.check_current().is_ok() && !shared.is_leaving();
                Reply::Version { version: shared.config.version(), ready }
            }
            Request::Ask { .. } => Reply::Unsupported,
        }
    }

    async fn probe(&self, target: Target) -> bool {
        let call = self.shared.adapters.links.call(&target, Request::Version, PROBE_TIMEOUT);
        matches!(call.await, Ok(Reply::Version { .. }))
    }
}

impl PeerHandler for PeerServer {
    type Reply = Reply;

    fn handle<'a>(&'a self, from: &'a InstanceId, request: Request) -> BoxFuture<'a, Reply> {
        self.answer(from, request).boxed()
    }

    fn handle_grant(
        &self,
        request: GrantRequest,
        remaining: Duration,
        messages: mpsc::UnboundedSender<OwnerMessage>,
    ) {
        let owner = self.owner.clone();
        tokio::spawn(async move { owner.tell(Submit { request, remaining, messages }).await });
    }

    fn handle_entry(&self, ticket: Ticket, message: Option<EntryMessage>) {
        let owner = self.owner.clone();
        tokio::spawn(async move { owner.tell(EntryReport { ticket, message }).await });
    }
}
