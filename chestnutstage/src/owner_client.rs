//! Client for the owners in this instance and in others.

use std::sync::Arc;
use std::time::Duration;

use chestnutstage_core::ids::InstanceId;
use chestnutstage_core::owner::{End, GrantRequest};
use kameo::actor::ActorRef;
use tokio::sync::mpsc;

use crate::actor::owner::{EntryReport, OwnerActor, Submit};
use crate::link::message::EntryMessage;
use crate::link::{GrantStream, LinkError, Step};
use crate::shared::Shared;

/// Requests grants from owners.
#[derive(Clone)]
pub(crate) struct OwnerClient {
    pub(crate) shared: Arc<Shared>,
    pub(crate) local: ActorRef<OwnerActor>,
}

impl OwnerClient {
    /// Sends a grant request to `owner`, and returns the channels for its messages and for reports to it.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the owner can't be reached.
    pub(crate) async fn request_grant(
        &self,
        owner: &InstanceId,
        request: GrantRequest,
        remaining: Duration,
    ) -> Result<GrantStream, LinkError> {
        if owner == self.shared.me() {
            return Ok(self.request_local(request, remaining).await);
        }
        let target = self.shared.roster.borrow().target(owner);
        let Some(target) = target else {
            return Err(LinkError {
                step: Step::Connect,
                peer: owner.clone(),
                reason: "not a member".into(),
            });
        };
        self.shared.adapters.links.request_grant(&target, request, remaining).await
    }

    async fn request_local(&self, request: GrantRequest, remaining: Duration) -> GrantStream {
        let (messages, incoming) = mpsc::unbounded_channel();
        let (outgoing, mut reports) = mpsc::unbounded_channel();
        let ticket = request.ticket;
        let _ = self.local.tell(Submit { request, remaining, messages }).await;
        let local = self.local.clone();
        tokio::spawn(async move {
            while let Some(message) = reports.recv().await {
                let ended = matches!(message, EntryMessage::Ended(_));
                let _ = local.tell(EntryReport { ticket, message: Some(message) }).await;
                if ended {
                    return;
                }
            }
            let _ = local.tell(EntryReport { ticket, message: Some(EntryMessage::Ended(End::Done)) }).await;
        });
        GrantStream { incoming, outgoing }
    }
}
