//! Synchronization between the instances: an instance whose copy of a topic is outdated fetches a snapshot from a peer.

use std::collections::BTreeSet;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use chestnutstage_core::ids::InstanceId;
use log::info;
use quinn::Connection;
use tokio::time::{sleep, timeout};

use crate::conversation::{Conversation, PeerRequest};
use crate::external::Topic;
use crate::peers::Peers;
use crate::store_cache::TopicSnapshot;

/// Timeout of a fetch from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two fetches of endpoints or members by an instance that is not a planner: planners decide by their own
/// copies, and a snapshot grows with the deployment.
const ENTRY_FETCH_INTERVAL: Duration = Duration::from_secs(1);

impl Peers {
    /// Fetches a topic from a peer, unless a fetch of the same topic is under way.
    pub(crate) fn fetch(self: &Arc<Self>, topic: Topic, peer: &InstanceId, connection: &Connection) {
        if !self.lock_fetching().insert(topic) {
            return;
        }
        let (peers, peer, connection) = (self.clone(), peer.clone(), connection.clone());
        tokio::spawn(async move {
            let requested = peers.shared.clock.now();
            match timeout(FETCH_TIMEOUT, request_topic(peer, &connection, topic)).await {
                Ok(Ok(snapshot)) => peers.shared.store_cache.apply_snapshot(snapshot, requested).await,
                Ok(Err(e)) => info!(topic:%; "fetch of the topic from a peer failed: {e}"),
                Err(_) => info!(topic:%; "fetch of the topic from a peer timed out"),
            }
            if topic != Topic::Operators && !peers.shared.store_cache.is_planner() {
                sleep(ENTRY_FETCH_INTERVAL).await;
            }
            peers.lock_fetching().remove(&topic);
        });
    }

    fn lock_fetching(&self) -> MutexGuard<'_, BTreeSet<Topic>> {
        self.fetching.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a snapshot of a topic to a peer.
    pub(crate) async fn send_topic(
        &self,
        conversation: &mut Conversation,
        topic: Topic,
    ) -> Result<(), String> {
        let snapshot = self.shared.store_cache.snapshot(topic).ok_or("the topic has not been read yet")?;
        conversation.send(&snapshot).await
    }
}

async fn request_topic(
    peer: InstanceId,
    connection: &Connection,
    topic: Topic,
) -> Result<TopicSnapshot, String> {
    let mut conversation = Conversation::open(Some(peer), connection, &PeerRequest::Topic(topic)).await?;
    conversation.receive_response().await
}
