//! Conversations with owners, in this instance or in another.

use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::ids::InstanceId;
use chestnutstage_core::owner::{End, GrantRequest};
use kameo::actor::ActorRef;
use tokio::sync::mpsc;

use crate::actor::owner::{OwnerActor, Submit, Tell};
use crate::link::message::EntryMessage;
use crate::link::{GrantStream, LinkError, Step};
use crate::shared::Shared;

/// Way to all owners.
#[derive(Clone)]
pub(crate) struct Owners {
    pub(crate) shared: Arc<Shared>,
    pub(crate) local: ActorRef<OwnerActor>,
}

impl Owners {
    /// Opens a conversation with `owner`.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the owner can't be reached.
    pub(crate) async fn ask(
        &self,
        owner: &InstanceId,
        ask: GrantRequest,
        remaining: Duration,
    ) -> Result<GrantStream, LinkError> {
        if owner == self.shared.me() {
            return Ok(self.ask_local(ask, remaining).await);
        }
        let target = self.shared.roster.borrow().target(owner);
        let Some(target) = target else {
            return Err(LinkError {
                step: Step::Connect,
                peer: owner.clone(),
                reason: "not a member".into(),
            });
        };
        self.shared.adapters.links.request_grant(&target, ask, remaining).await
    }

    async fn ask_local(&self, ask: GrantRequest, remaining: Duration) -> GrantStream {
        let (words_in, words) = mpsc::unbounded_channel();
        let (tell, mut told) = mpsc::unbounded_channel();
        let ticket = ask.ticket;
        let _ = self.local.tell(Submit { ask, remaining, words: words_in }).await;
        let local = self.local.clone();
        tokio::spawn(async move {
            while let Some(word) = told.recv().await {
                let over = matches!(word, EntryMessage::Ended(_));
                let _ = local.tell(Tell { ticket, word: Some(word) }).await;
                if over {
                    return;
                }
            }
            let _ = local.tell(Tell { ticket, word: Some(EntryMessage::Ended(End::Done)) }).await;
        });
        GrantStream { incoming: words, outgoing: tell }
    }
}
