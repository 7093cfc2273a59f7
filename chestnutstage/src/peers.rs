//! Answers to what other instances send.

use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::ids::{InstanceId, Ticket};
use chestnutstage_core::owner::GrantRequest;
use futures::FutureExt;
use futures::future::BoxFuture;
use kameo::actor::ActorRef;
use tokio::sync::mpsc;

use crate::accounts::Accounts;
use crate::actor::members::{Heard, MembersActor};
use crate::actor::owner::{OwnerActor, Submit, Tell};
use crate::dump;
use crate::link::PeerHandler;
use crate::link::message::{EntryMessage, OwnerMessage, Reply, Request, Target};
use crate::shared::{Shared, lock};
use crate::spread;

/// Time limit of a probe on another's behalf.
const REACH_LIMIT: Duration = Duration::from_millis(500);

/// Answers peers.
pub(crate) struct Peers {
    pub(crate) shared: Arc<Shared>,
    pub(crate) owner: ActorRef<OwnerActor>,
    pub(crate) members: ActorRef<MembersActor>,
    pub(crate) accounts: Arc<Accounts>,
}

impl Peers {
    async fn answer(&self, from: &InstanceId, request: Request) -> Reply {
        let shared = &self.shared;
        match request {
            Request::Gossip(gossip) if gossip.from != *from => Reply::Unsupported,
            Request::Gossip(gossip) => match self.members.ask(Heard(gossip)).await {
                Ok(gossip) => Reply::Gossip(gossip),
                Err(_) => Reply::Unsupported,
            },
            Request::Reach { peer, address } => {
                Reply::Reached(self.reach(Target { id: peer, address }).await)
            }
            Request::Roster => Reply::Roster(shared.roster.borrow().members.clone()),
            Request::Changes { after } => shared.config.changes(after, shared.clock.now()),
            Request::Spread { entries, targets } => {
                Reply::Spread { acked: spread::take(shared, entries, targets).await }
            }
            Request::Borrow { customer, amount } => {
                Reply::Lent(self.accounts.lend(shared, &customer, amount))
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

    async fn reach(&self, target: Target) -> bool {
        let call = self.shared.adapters.links.call(&target, Request::Version, REACH_LIMIT);
        matches!(call.await, Ok(Reply::Version { .. }))
    }
}

impl PeerHandler for Peers {
    type Reply = Reply;

    fn handle<'a>(&'a self, from: &'a InstanceId, request: Request) -> BoxFuture<'a, Reply> {
        self.answer(from, request).boxed()
    }

    fn handle_grant(
        &self,
        ask: GrantRequest,
        remaining: Duration,
        words: mpsc::UnboundedSender<OwnerMessage>,
    ) {
        let owner = self.owner.clone();
        tokio::spawn(async move { owner.tell(Submit { ask, remaining, words }).await });
    }

    fn handle_entry(&self, ticket: Ticket, word: Option<EntryMessage>) {
        let owner = self.owner.clone();
        tokio::spawn(async move { owner.tell(Tell { ticket, word }).await });
    }
}
