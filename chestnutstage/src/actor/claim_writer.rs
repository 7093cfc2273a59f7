//! Actor that batches writes of idempotency claims.
//!
//! The table service handles several hundred writes per second for the whole fleet. Claims that arrive while a call is
//! in progress are therefore written together in the next call.

use std::sync::Arc;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use metrics::{counter, histogram};
use serde_json::Value;
use tokio::sync::oneshot;

use crate::shared::Shared;
use crate::store::{StoreError, Write, WriteResult};

/// Table that holds the claims.
pub(crate) const TABLE: &str = "claims";
/// Maximum number of claims per call.
const GROUP_MAX: usize = 128;

type ClaimWriteResult = Result<WriteResult<Value>, StoreError>;

/// Writes claims in groups, with at most one call to the table service in progress.
#[derive(Actor)]
pub(crate) struct ClaimWriter {
    shared: Arc<Shared>,
    waiting: Vec<WriteClaim>,
    writing: bool,
}

/// A write, and the channel for its result.
pub(crate) struct WriteClaim {
    pub(crate) write: Write<Value>,
    pub(crate) done: oneshot::Sender<ClaimWriteResult>,
}

/// The call in progress has completed.
pub(crate) struct Flushed;

impl ClaimWriter {
    pub(crate) const fn new(shared: Arc<Shared>) -> Self {
        Self { shared, waiting: Vec::new(), writing: false }
    }

    fn flush(&mut self, me: &ActorRef<Self>) {
        if self.writing || self.waiting.is_empty() {
            return;
        }
        self.writing = true;
        let group: Vec<_> = self.waiting.drain(..self.waiting.len().min(GROUP_MAX)).collect();
        counter!("chestnutstage_claim_writes_total").increment(1);
        histogram!("chestnutstage_claim_group_size").record(group.len() as f64);
        let (tables, me) = (self.shared.adapters.tables.clone(), me.clone());
        tokio::spawn(async move {
            let (writes, done): (Vec<_>, Vec<_>) = group.into_iter().map(|p| (p.write, p.done)).unzip();
            match tables.write(TABLE, writes).await {
                Ok(results) => {
                    for (done, result) in done.into_iter().zip(results) {
                        let _ = done.send(Ok(result));
                    }
                }
                Err(e) => {
                    for done in done {
                        let _ = done.send(Err(e.clone()));
                    }
                }
            }
            let _ = me.tell(Flushed).await;
        });
    }
}

impl Message<WriteClaim> for ClaimWriter {
    type Reply = ();

    async fn handle(&mut self, msg: WriteClaim, ctx: &mut Context<Self, Self::Reply>) {
        self.waiting.push(msg);
        self.flush(ctx.actor_ref());
    }
}

impl Message<Flushed> for ClaimWriter {
    type Reply = ();

    async fn handle(&mut self, _: Flushed, ctx: &mut Context<Self, Self::Reply>) {
        self.writing = false;
        self.flush(ctx.actor_ref());
    }
}
