//! The actor that groups writes of claims.
//!
//! The table service takes several hundred writes a second from the whole fleet. While one call is under way, the
//! claims that arrive gather for the next.

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
/// Claims in one call, at the most.
const GROUP_MAX: usize = 128;

type Outcome = Result<WriteResult<Value>, StoreError>;

/// Grouper of writes.
#[derive(Actor)]
pub(crate) struct Ledger {
    shared: Arc<Shared>,
    waiting: Vec<Put>,
    writing: bool,
}

/// A write, with where its result goes.
pub(crate) struct Put {
    pub(crate) write: Write<Value>,
    pub(crate) done: oneshot::Sender<Outcome>,
}

/// The call under way has ended.
pub(crate) struct Flushed;

impl Ledger {
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

impl Message<Put> for Ledger {
    type Reply = ();

    async fn handle(&mut self, msg: Put, ctx: &mut Context<Self, Self::Reply>) {
        self.waiting.push(msg);
        self.flush(ctx.actor_ref());
    }
}

impl Message<Flushed> for Ledger {
    type Reply = ();

    async fn handle(&mut self, _: Flushed, ctx: &mut Context<Self, Self::Reply>) {
        self.writing = false;
        self.flush(ctx.actor_ref());
    }
}
